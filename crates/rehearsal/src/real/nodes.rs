//! The nodes: real processes that are started, stopped and killed as the scenario says. None outlives the rehearsal.

use crate::judge::observation::NodeCrash;
use crate::judge::result::ProcessUsage;
use crate::judge::Observation;
use crate::model::settings::node_settings;
use crate::real::harness::Harness;
use crate::real::{discovery, network, ports};
use crate::rng::{RngStream, SeededRng};
use nix::sys::signal::{kill, Signal};
use nix::unistd::Pid;
use serde_json::json;
use std::cell::{Cell, RefCell};
use std::fs::File;
use std::os::unix::process::ExitStatusExt;
use std::path::PathBuf;
use std::process::Stdio;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::process::{Child, Command};
use tokio::sync::watch;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout, Instant};

/// A node that does not accept commands this long after its start has failed, by the protocol.
pub const START_TIMEOUT: Duration = Duration::from_secs(30);
/// How much longer than the longest time limit a node may take to exit after SIGTERM.
const STOP_TIMEOUT: Duration = Duration::from_millis(1500);

/// SIGKILL follows SIGTERM after the longest time limit, or `MAX_LIMIT_BEFORE_KILL` if that is shorter, plus this delay.
const KILL_DELAY: Duration = Duration::from_millis(700);
const MAX_LIMIT_BEFORE_KILL: Duration = Duration::from_secs(3);
/// A process that has run for less than this gets no SIGHUP.
const MIN_AGE_FOR_SIGNALS: Duration = Duration::from_secs(1);
/// The whole list counts as delivered this long after a configuration that moved discovery, unless the node was
/// answered at the new address since.
const MOVED_LIST_KNOWN_AFTER: Duration = Duration::from_secs(4);
/// Interval between the signals of a series.
const SIGNAL_INTERVAL: Duration = Duration::from_millis(60);

/// How the node processes of a run are started.
#[derive(Clone, Debug)]
pub struct NodeProcessOptions {
    /// The node's program.
    pub program: PathBuf,
    /// The directory for the nodes' logs; without it they are discarded.
    pub log_dir: Option<PathBuf>,
    /// Arguments of the program; the real node takes none.
    pub arguments: Vec<String>,
    /// Additional environment variables.
    pub environment: Vec<(String, String)>,
    /// How long after its start a process may take to accept commands, `START_TIMEOUT` unless it is a test's.
    pub start_timeout: Duration,
}

/// How the start of a node ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum StartOutcome {
    /// It accepts commands.
    Ready,
    /// It has exited or does not accept commands in time, which the judges have been told.
    Crashed,
}

/// A running process of a node.
struct RunningProcess {
    pid: i32,
    /// Whether it was told to exit, so that its exit is not a crash.
    exit_expected: Rc<Cell<bool>>,
    exited: watch::Receiver<bool>,
}

/// A node of the fleet, whether its process runs or not.
struct NodeSlot {
    port: u16,
    /// The port to which clients connect; it differs from `port` when they go through a link.
    client_port: u16,
    admin_port: Option<u16>,
    config_path: PathBuf,
    discovery: RefCell<discovery::DiscoveryEndpoint>,
    /// When its present process was started.
    started_at: Cell<Instant>,
    /// Whether the front end sends new commands to it.
    in_rotation: Cell<bool>,
    /// Whether its process was told to stop and has not exited yet.
    is_stopping: Cell<bool>,
    process: RefCell<Option<RunningProcess>>,
    /// Incremented with every start, so that a delayed task can tell whether the process is still the same.
    start_count: Cell<u32>,
    usage: RefCell<ProcessUsage>,
}

struct SupervisorState {
    harness: Rc<Harness>,
    options: NodeProcessOptions,
    slots: Vec<NodeSlot>,
}

/// Starts, signals and watches the node processes of a run.
#[derive(Clone)]
pub struct NodeSupervisor(Rc<SupervisorState>);

impl NodeSupervisor {
    pub fn new(
        harness: &Rc<Harness>,
        options: &NodeProcessOptions,
        dir: PathBuf,
    ) -> Result<NodeSupervisor, String> {
        let mut slots = Vec::new();
        let nodes = harness.scenario.nodes as usize;
        let with_view = harness.scenario.view.is_some();
        // Datagram ports use the numbers of reserved listening ports, so that no outgoing socket takes them meanwhile.
        let udp: Vec<u16> = match with_view {
            true => (0..nodes).map(|_| ports::listen().map(|(_, port)| port)).collect::<Result<_, _>>()?,
            false => Vec::new(),
        };
        for node in 0..nodes {
            // The port is free again as soon as the listener is dropped, and no one else in this process gets it.
            let (_, port) = ports::listen()?;
            let name = format!("n{node}");
            let endpoint = discovery::start_endpoint(harness, node)?;
            let discovery_port = harness.process_links.tcp_port(&name, "discovery", endpoint.port)?;
            let client_port = harness.process_links.tcp_port("clients", &name, port)?;
            let admin_port = if with_view { Some(ports::listen()?.1) } else { None };
            let seed = SeededRng::with_index(0, RngStream::Nodes, node as u64).next_u64();
            let mut config = json!({
                "name": format!("n{node}"), "listen": format!("127.0.0.1:{port}"),
                "discovery": format!("127.0.0.1:{discovery_port}"), "seed": format!("{seed:016x}"),
                "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
                "known": harness.list_snapshot(node), "settings": node_settings(&harness.scenario, node),
            });
            if let Some(text) =
                network::membership_file(&harness.scenario, &harness.process_links, node, &udp)?
            {
                let path = dir.join(format!("n{node}.toml"));
                std::fs::write(&path, text)
                    .map_err(|e| format!("cannot write a node's membership file: {e}"))?;
                config["fleet"] = path.display().to_string().into();
                config["admin"] = admin_port.map(|port| format!("127.0.0.1:{port}")).into();
            }
            if let Some(text) = &harness.scenario.site_plan {
                let path = dir.join("sites.toml");
                std::fs::write(&path, text).map_err(|e| format!("cannot write the site plan: {e}"))?;
                config["sites"] = path.display().to_string().into();
            }
            let path = dir.join(format!("n{node}.json"));
            std::fs::write(&path, config.to_string())
                .map_err(|e| format!("cannot write a node's configuration: {e}"))?;
            slots.push(NodeSlot {
                port,
                client_port,
                admin_port,
                config_path: path,
                discovery: RefCell::new(endpoint),
                started_at: Cell::new(Instant::now()),
                in_rotation: Cell::new(false),
                is_stopping: Cell::new(false),
                process: RefCell::new(None),
                start_count: Cell::new(0),
                usage: RefCell::new(ProcessUsage { node, ..ProcessUsage::default() }),
            });
        }
        Ok(NodeSupervisor(Rc::new(SupervisorState {
            harness: harness.clone(),
            options: options.clone(),
            slots,
        })))
    }

    /// Starts the nodes one after the other, up to the first that crashes.
    pub async fn start_all(&self) -> Result<StartOutcome, String> {
        for node in 0..self.0.slots.len() {
            if self.start(node).await? == StartOutcome::Crashed {
                return Ok(StartOutcome::Crashed);
            }
        }
        Ok(StartOutcome::Ready)
    }

    /// The port to which clients connect.
    pub fn client_port(&self, node: usize) -> u16 {
        self.0.slots[node].client_port
    }

    /// The admin ports of all running nodes that have one.
    pub fn admin_ports(&self) -> Vec<(usize, u16)> {
        let is_running = |slot: &NodeSlot| {
            slot.process.borrow().as_ref().is_some_and(|process| !process.exit_expected.get())
        };
        let slots = self.0.slots.iter().enumerate().filter(|(_, slot)| is_running(slot));
        slots.filter_map(|(node, slot)| Some((node, slot.admin_port?))).collect()
    }

    /// The nodes to which the front end sends new commands.
    pub fn nodes_in_rotation(&self) -> Vec<usize> {
        let slots = self.0.slots.iter().enumerate();
        slots.filter(|(_, p)| p.in_rotation.get()).map(|(i, _)| i).collect()
    }

    fn spawn_process(&self, node: usize) -> Result<Child, String> {
        let (slot, options) = (&self.0.slots[node], &self.0.options);
        let log = match &options.log_dir {
            None => Stdio::null(),
            Some(dir) => {
                let path = dir.join(format!("n{node}-{}.log", slot.start_count.get()));
                std::fs::create_dir_all(dir).map_err(|e| format!("{}: {e}", dir.display()))?;
                File::create(&path).map_err(|e| format!("{}: {e}", path.display()))?.into()
            }
        };
        let mut command = Command::new(&options.program);
        command.args(&options.arguments);
        command.envs(options.environment.iter().map(|(name, value)| (name, value)));
        for name in ["ROUTER_NAME", "ROUTER_LISTEN", "ROUTER_DISCOVERY"] {
            command.env_remove(name);
        }
        command
            .env("ROUTER_CONFIG", &slot.config_path)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log);
        // This also ends the process when the rehearsal fails halfway.
        command.kill_on_drop(true);
        command.spawn().map_err(|e| format!("{}: {e}", options.program.display()))
    }

    /// Starts a node, or restarts one that was stopped, and waits until it accepts commands. An error means that this
    /// machine cannot start the program.
    pub async fn start(&self, node: usize) -> Result<StartOutcome, String> {
        self.wait_for_exit(node).await;
        let slot = &self.0.slots[node];
        let child = self.spawn_process(node)?;
        let pid = child.id().ok_or("a node exited at once")? as i32;
        let (exit_expected, (end, exited)) = (Rc::new(Cell::new(false)), watch::channel(false));
        slot.start_count.set(slot.start_count.get() + 1);
        slot.started_at.set(Instant::now());
        let exited_at_start = exited.clone();
        *slot.process.borrow_mut() =
            Some(RunningProcess { pid, exit_expected: exit_expected.clone(), exited });
        self.0.harness.observe(Observation::NodeStarted { node });
        spawn_local(self.clone().watch_exit(node, child, exit_expected, end));
        let since = Instant::now();
        while since.elapsed() < self.0.options.start_timeout {
            if self.answers_health_check(node).await {
                slot.in_rotation.set(true);
                return Ok(StartOutcome::Ready);
            }
            // The task that watches the process has reported it, unless a trouble has killed the process meanwhile.
            if *exited_at_start.borrow() {
                return Ok(StartOutcome::Crashed);
            }
            sleep(Duration::from_millis(20)).await;
        }
        self.report_crash(node, NodeCrash::NotReady);
        self.signal_expected_exit(node, Signal::SIGKILL);
        Ok(StartOutcome::Crashed)
    }

    fn report_crash(&self, node: usize, crash: NodeCrash) {
        let at = self.0.harness.now();
        self.0.harness.observe(Observation::NodeCrashed { node, at, crash });
    }

    /// Waits for a process to exit, and reports a crash if the exit was not expected.
    async fn watch_exit(
        self,
        node: usize,
        mut child: Child,
        exit_expected: Rc<Cell<bool>>,
        end: watch::Sender<bool>,
    ) {
        let status = child.wait().await;
        self.0.slots[node].is_stopping.set(false);
        if !exit_expected.get() {
            let slot = &self.0.slots[node];
            slot.in_rotation.set(false);
            let status = status.unwrap_or_default();
            let crash = match status.signal() {
                Some(signal) => NodeCrash::Signalled(signal),
                None => NodeCrash::Exited(status.code().unwrap_or_default()),
            };
            self.report_crash(node, crash);
        }
        let _ = end.send(true);
    }

    async fn answers_health_check(&self, node: usize) -> bool {
        let request = async {
            let mut stream = TcpStream::connect(("127.0.0.1", self.0.slots[node].port)).await?;
            stream.write_all(b"GET /up HTTP/1.1\r\nHost: node\r\nConnection: close\r\n\r\n").await?;
            let mut head = [0; 12];
            stream.read_exact(&mut head).await?;
            std::io::Result::Ok(head)
        };
        matches!(timeout(Duration::from_millis(500), request).await, Ok(Ok(head)) if head.ends_with(b"200"))
    }

    /// Sends a signal on which the process is expected to exit.
    fn signal_expected_exit(&self, node: usize, signal: Signal) {
        self.record_usage(node);
        if let Some(process) = &*self.0.slots[node].process.borrow() {
            process.exit_expected.set(true);
            let _ = kill(Pid::from_raw(process.pid), signal);
        }
    }

    /// A planned stop: the front end sends no new commands to the node.
    pub fn stop(&self, node: usize) {
        let slot = &self.0.slots[node];
        slot.in_rotation.set(false);
        let stress = self.0.harness.scenario.stress.clone().unwrap_or_default();
        if stress.signal_series {
            self.send_signal(node, Signal::SIGHUP);
            self.send_signal(node, Signal::SIGHUP);
        }
        self.signal_expected_exit(node, Signal::SIGTERM);
        slot.is_stopping.set(true);
        if stress.signal_series {
            let supervisor = self.clone();
            spawn_local(async move {
                for signal in [Signal::SIGHUP, Signal::SIGTERM, Signal::SIGHUP] {
                    sleep(SIGNAL_INTERVAL).await;
                    supervisor.signal_while_stopping(node, signal);
                }
            });
        }
        if stress.used_until_kill {
            let (supervisor, start_count) = (self.clone(), slot.start_count.get());
            spawn_local(async move {
                sleep(supervisor.longest_time_limit().min(MAX_LIMIT_BEFORE_KILL) + KILL_DELAY).await;
                let slot = &supervisor.0.slots[node];
                if slot.start_count.get() == start_count && slot.is_stopping.get() {
                    supervisor.0.harness.observe(Observation::StopEndedByKill { node });
                    supervisor.send_signal(node, Signal::SIGKILL);
                }
            });
        }
    }

    /// Reloads the configuration of a serving node with another address of discovery.
    pub fn move_discovery(&self, node: usize) -> Result<(), String> {
        let slot = &self.0.slots[node];
        if !slot.in_rotation.get() || slot.started_at.get().elapsed() < MIN_AGE_FOR_SIGNALS {
            return Ok(());
        }
        let endpoint = discovery::start_endpoint(&self.0.harness, node)?;
        let with_path = |e: std::io::Error| format!("{}: {e}", slot.config_path.display());
        let text = std::fs::read_to_string(&slot.config_path).map_err(with_path)?;
        let mut config: serde_json::Value = serde_json::from_str(&text).map_err(|e| e.to_string())?;
        config["discovery"] = format!("127.0.0.1:{}", endpoint.port).into();
        std::fs::write(&slot.config_path, config.to_string()).map_err(with_path)?;
        self.send_signal(node, Signal::SIGHUP);
        let port = endpoint.port;
        slot.discovery.replace(endpoint);
        let (supervisor, start_count) = (self.clone(), slot.start_count.get());
        spawn_local(async move {
            let harness = &supervisor.0.harness;
            let reachable = harness.discovery_stays_up(MOVED_LIST_KNOWN_AFTER).await;
            let is_same_process = supervisor.0.slots[node].start_count.get() == start_count;
            if reachable && is_same_process && !harness.list_calls.was_answered_at(node, port) {
                harness.record_list_delivery(node, None);
            }
        });
        Ok(())
    }

    fn signal_while_stopping(&self, node: usize, signal: Signal) {
        if self.0.slots[node].is_stopping.get() {
            self.send_signal(node, signal);
        }
    }

    fn longest_time_limit(&self) -> Duration {
        let limits = self.0.harness.scenario.profiles.iter().map(|p| p.limit);
        limits.max().unwrap_or_default().duration()
    }

    /// The nodes that were told to stop and have not exited yet.
    pub fn stopping_nodes(&self) -> Vec<usize> {
        let slots = self.0.slots.iter().enumerate();
        slots.filter(|(_, p)| p.is_stopping.get()).map(|(i, _)| i).collect()
    }

    /// Tells the judges that the commands that the node has accepted so far may remain unanswered.
    fn excuse_accepted_commands(&self, node: usize) {
        self.0.harness.observe(Observation::NodeKilled { node, at: self.0.harness.now() });
    }

    /// Pauses a node's process with SIGSTOP.
    pub fn pause(&self, node: usize) {
        self.send_signal(node, Signal::SIGSTOP);
        self.excuse_accepted_commands(node);
        self.remove_from_rotation_after_notice(node);
    }

    /// Resumes a paused process with SIGCONT; the front end uses it again after its notice time.
    pub fn resume(&self, node: usize) {
        self.send_signal(node, Signal::SIGCONT);
        self.excuse_accepted_commands(node);
        let (supervisor, start_count) = (self.clone(), self.0.slots[node].start_count.get());
        spawn_local(async move {
            // Commands that waited in the kernel's queue for longer than their clients are not expected to be answered.
            sleep(supervisor.0.harness.scenario.clients.notice.duration()).await;
            supervisor.excuse_accepted_commands(node);
            supervisor.0.harness.observe(Observation::NodeResumed { node });
            let slot = &supervisor.0.slots[node];
            if slot.start_count.get() == start_count && slot.process.borrow().is_some() {
                slot.in_rotation.set(true);
            }
        });
    }

    fn send_signal(&self, node: usize, signal: Signal) {
        if let Some(process) = &*self.0.slots[node].process.borrow() {
            let _ = kill(Pid::from_raw(process.pid), signal);
        }
    }

    /// Kills a node; the front end notices after a while.
    pub fn kill(&self, node: usize) {
        self.signal_expected_exit(node, Signal::SIGKILL);
        self.excuse_accepted_commands(node);
        self.remove_from_rotation_after_notice(node);
    }

    /// Takes a node out of rotation after the front end's notice time, unless it has been restarted.
    fn remove_from_rotation_after_notice(&self, node: usize) {
        let (supervisor, start_count) = (self.clone(), self.0.slots[node].start_count.get());
        spawn_local(async move {
            sleep(supervisor.0.harness.scenario.clients.notice.duration()).await;
            let slot = &supervisor.0.slots[node];
            if slot.start_count.get() == start_count {
                slot.in_rotation.set(false);
            }
        });
    }

    /// Waits until a process that was told to exit has exited; kills it and reports a crash if it does not.
    async fn wait_for_exit(&self, node: usize) {
        let process = self.0.slots[node].process.borrow_mut().take();
        let Some(RunningProcess { pid, exit_expected, mut exited }) = process else { return };
        let exit = async { while !*exited.borrow_and_update() && exited.changed().await.is_ok() {} };
        if timeout(self.longest_time_limit() + STOP_TIMEOUT, exit).await.is_err() {
            exit_expected.set(true);
            self.report_crash(node, NodeCrash::DidNotExit);
            let _ = kill(Pid::from_raw(pid), Signal::SIGKILL);
        }
    }

    /// Adds the CPU time and the peak memory of a process, as the kernel reports them, to the node's usage.
    fn record_usage(&self, node: usize) {
        let slot = &self.0.slots[node];
        let Some(pid) = slot.process.borrow().as_ref().map(|process| process.pid) else { return };
        let read = |name: &str| std::fs::read_to_string(format!("/proc/{pid}/{name}")).unwrap_or_default();
        let cpu_ns = read("schedstat").split_whitespace().next().and_then(|n| n.parse::<f64>().ok());
        let peak_kb = read("status")
            .lines()
            .find_map(|l| l.strip_prefix("VmHWM:")?.trim().strip_suffix("kB")?.trim().parse::<f64>().ok());
        let mut usage = slot.usage.borrow_mut();
        usage.cpu_s += cpu_ns.unwrap_or(0.0) / 1e9;
        usage.memory_mb = usage.memory_mb.max(peak_kb.unwrap_or(0.0) / 1024.0);
    }

    /// Stops all nodes and returns their resource usage.
    pub async fn stop_all(&self) -> Vec<ProcessUsage> {
        let nodes = 0..self.0.slots.len();
        nodes.clone().for_each(|node| {
            let is_stopped = self.0.slots[node]
                .process
                .borrow()
                .as_ref()
                .is_some_and(|process| process.exit_expected.get());
            if !is_stopped {
                self.stop(node);
            }
        });
        for node in nodes {
            self.wait_for_exit(node).await;
        }
        self.0.slots.iter().map(|p| p.usage.borrow().clone()).collect()
    }
}
