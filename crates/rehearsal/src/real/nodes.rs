//! The nodes: real processes, started, stopped and killed by plan. None outlives the rehearsal.

use crate::judge::result::ProcessUsage;
use crate::judge::Observation;
use crate::model::settings::node_settings;
use crate::real::stage::Stage;
use crate::real::{discovery, ports, ways};
use crate::rng::{RngStream, SeededRng};
use nix::sys::signal::{kill, Signal};
use nix::unistd::Pid;
use serde_json::json;
use std::cell::{Cell, RefCell};
use std::fs::File;
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

/// A node that does not take commands so long after its start has failed.
const START: Duration = Duration::from_secs(10);
/// What a node may take beyond the longest time limit to end after SIGTERM.
const STOP: Duration = Duration::from_millis(1500);

/// A kill comes so long after the longest time limit, or after this where that is longer, counted from the word to stop.
const KILL_AFTER: Duration = Duration::from_millis(700);
const KILL_WAITS_FOR: Duration = Duration::from_secs(3);
/// A process is sent no signal before this.
const FIRST_SIGNAL: Duration = Duration::from_secs(1);
/// All that discovery has to tell counts as told so long after a configuration that moved it.
const MOVE_COUNTS_AS_TOLD: Duration = Duration::from_secs(4);
const BETWEEN_SIGNALS: Duration = Duration::from_millis(60);

/// How real processes are to be run.
#[derive(Clone, Debug)]
pub struct NodeProcessOptions {
    /// The node's program.
    pub program: PathBuf,
    /// Where the nodes' logs are kept; nowhere if not told.
    pub log_dir: Option<PathBuf>,
    /// What the program is started with: nothing for the node.
    pub arguments: Vec<String>,
    /// And what is added to its environment.
    pub environment: Vec<(String, String)>,
}

/// A process at its place.
struct Life {
    pid: i32,
    /// Whether it was asked to end, so that its end is no crash.
    asked: Rc<Cell<bool>>,
    ended: watch::Receiver<bool>,
}

struct Place {
    port: u16,
    /// Where clients connect, and where it tells of the others, if it does.
    door: u16,
    admin: Option<u16>,
    config: PathBuf,
    discovery: RefCell<discovery::Door>,
    /// When its process was started.
    started: Cell<Instant>,
    in_front: Cell<bool>,
    /// Told to stop, and not ended yet.
    stopping: Cell<bool>,
    life: RefCell<Option<Life>>,
    /// Counted up with every start.
    lives: Cell<u32>,
    seen: RefCell<ProcessUsage>,
}

struct Inner {
    stage: Rc<Stage>,
    means: NodeProcessOptions,
    places: Vec<Place>,
}

#[derive(Clone)]
pub struct Crew(Rc<Inner>);

impl Crew {
    pub fn new(stage: &Rc<Stage>, means: &NodeProcessOptions, folder: PathBuf) -> Result<Crew, String> {
        let mut places = Vec::new();
        let nodes = stage.scenario.nodes as usize;
        let with_view = stage.scenario.view.is_some();
        // Ports for datagrams are of the same numbers: nobody's outgoing socket takes them meanwhile.
        let udp: Vec<u16> = match with_view {
            true => (0..nodes).map(|_| ports::listen().map(|(_, port)| port)).collect::<Result<_, _>>()?,
            false => Vec::new(),
        };
        for node in 0..nodes {
            // Free again as soon as this is dropped, and nobody else here is given it.
            let (_, port) = ports::listen()?;
            let name = format!("n{node}");
            let discovery_door = discovery::start(stage, node)?;
            let discovery = stage.ways.tcp(&name, "discovery", discovery_door.port)?;
            let door = stage.ways.tcp("clients", &name, port)?;
            let admin = if with_view { Some(ports::listen()?.1) } else { None };
            let seed = SeededRng::with_index(0, RngStream::Nodes, node as u64).next_u64();
            let mut config = json!({
                "name": format!("n{node}"), "listen": format!("127.0.0.1:{port}"),
                "discovery": format!("127.0.0.1:{discovery}"), "seed": format!("{seed:016x}"),
                "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
                "known": stage.whole(node), "settings": node_settings(&stage.scenario, node),
            });
            if let Some(text) = ways::view_file(&stage.scenario, &stage.ways, node, &udp)? {
                let path = folder.join(format!("n{node}.toml"));
                std::fs::write(&path, text).map_err(|e| format!("a node's view: {e}"))?;
                config["fleet"] = path.display().to_string().into();
                config["admin"] = admin.map(|port| format!("127.0.0.1:{port}")).into();
            }
            if let Some(text) = &stage.scenario.site_plan {
                let path = folder.join("sites.toml");
                std::fs::write(&path, text).map_err(|e| format!("the plan of sites: {e}"))?;
                config["sites"] = path.display().to_string().into();
            }
            let path = folder.join(format!("n{node}.json"));
            std::fs::write(&path, config.to_string()).map_err(|e| format!("a node's file: {e}"))?;
            places.push(Place {
                port,
                door,
                admin,
                config: path,
                discovery: RefCell::new(discovery_door),
                started: Cell::new(Instant::now()),
                in_front: Cell::new(false),
                stopping: Cell::new(false),
                life: RefCell::new(None),
                lives: Cell::new(0),
                seen: RefCell::new(ProcessUsage { node, ..ProcessUsage::default() }),
            });
        }
        Ok(Crew(Rc::new(Inner { stage: stage.clone(), means: means.clone(), places })))
    }

    pub async fn start_all(&self) -> Result<(), String> {
        for node in 0..self.0.places.len() {
            self.start(node).await?;
        }
        Ok(())
    }

    /// Where clients find it.
    pub fn door(&self, node: usize) -> u16 {
        self.0.places[node].door
    }

    /// The second addresses of all nodes that run.
    pub fn seconds(&self) -> Vec<(usize, u16)> {
        let runs = |place: &Place| place.life.borrow().as_ref().is_some_and(|life| !life.asked.get());
        let places = self.0.places.iter().enumerate().filter(|(_, place)| runs(place));
        places.filter_map(|(node, place)| Some((node, place.admin?))).collect()
    }

    /// The nodes that the front sends to.
    pub fn in_front(&self) -> Vec<usize> {
        let places = self.0.places.iter().enumerate();
        places.filter(|(_, p)| p.in_front.get()).map(|(i, _)| i).collect()
    }

    fn spawn(&self, node: usize) -> Result<Child, String> {
        let (place, means) = (&self.0.places[node], &self.0.means);
        let log = match &means.log_dir {
            None => Stdio::null(),
            Some(folder) => {
                let path = folder.join(format!("n{node}-{}.log", place.lives.get()));
                std::fs::create_dir_all(folder).map_err(|e| format!("{}: {e}", folder.display()))?;
                File::create(&path).map_err(|e| format!("{}: {e}", path.display()))?.into()
            }
        };
        let mut command = Command::new(&means.program);
        command.args(&means.arguments);
        command.envs(means.environment.iter().map(|(name, value)| (name, value)));
        for name in ["ROUTER_NAME", "ROUTER_LISTEN", "ROUTER_DISCOVERY"] {
            command.env_remove(name);
        }
        command.env("ROUTER_CONFIG", &place.config).stdin(Stdio::null()).stdout(Stdio::null()).stderr(log);
        // Also when the rehearsal fails half-way.
        command.kill_on_drop(true);
        command.spawn().map_err(|e| format!("{}: {e}", means.program.display()))
    }

    /// Starts a node, or restarts one that was stopped, and waits until it takes commands.
    pub async fn start(&self, node: usize) -> Result<(), String> {
        self.finish(node).await;
        let place = &self.0.places[node];
        let child = self.spawn(node)?;
        let pid = child.id().ok_or("a node ended at once")? as i32;
        let (asked, (end, ended)) = (Rc::new(Cell::new(false)), watch::channel(false));
        place.lives.set(place.lives.get() + 1);
        place.started.set(Instant::now());
        let at_once = ended.clone();
        *place.life.borrow_mut() = Some(Life { pid, asked: asked.clone(), ended });
        self.0.stage.see(Observation::NodeStarted { node });
        spawn_local(self.clone().mind(node, child, asked, end));
        let since = Instant::now();
        while since.elapsed() < START {
            if self.is_up(node).await {
                place.in_front.set(true);
                return Ok(());
            }
            if *at_once.borrow() {
                return Err(format!("node {node} ended at its start: --logs DIR keeps what it said"));
            }
            sleep(Duration::from_millis(20)).await;
        }
        Err(format!("node {node} does not take commands {} s after its start", START.as_secs()))
    }

    /// Waits for a process's end, and says so if nobody asked for it.
    async fn mind(self, node: usize, mut child: Child, asked: Rc<Cell<bool>>, end: watch::Sender<bool>) {
        let _ = child.wait().await;
        self.0.places[node].stopping.set(false);
        if !asked.get() {
            let place = &self.0.places[node];
            place.in_front.set(false);
            self.0.stage.see(Observation::NodeCrashed { node, at: self.0.stage.now() });
        }
        let _ = end.send(true);
    }

    async fn is_up(&self, node: usize) -> bool {
        let ask = async {
            let mut stream = TcpStream::connect(("127.0.0.1", self.0.places[node].port)).await?;
            stream.write_all(b"GET /up HTTP/1.1\r\nHost: node\r\nConnection: close\r\n\r\n").await?;
            let mut head = [0; 12];
            stream.read_exact(&mut head).await?;
            std::io::Result::Ok(head)
        };
        matches!(timeout(Duration::from_millis(500), ask).await, Ok(Ok(head)) if head.ends_with(b"200"))
    }

    fn signal(&self, node: usize, signal: Signal) {
        self.measure(node);
        if let Some(life) = &*self.0.places[node].life.borrow() {
            life.asked.set(true);
            let _ = kill(Pid::from_raw(life.pid), signal);
        }
    }

    /// A planned stop: the front sends nothing more there.
    pub fn stop(&self, node: usize) {
        let place = &self.0.places[node];
        place.in_front.set(false);
        let stress = self.0.stage.scenario.stress.clone().unwrap_or_default();
        if stress.signal_series {
            self.just_signal(node, Signal::SIGHUP);
            self.just_signal(node, Signal::SIGHUP);
        }
        self.signal(node, Signal::SIGTERM);
        place.stopping.set(true);
        if stress.signal_series {
            let crew = self.clone();
            spawn_local(async move {
                for signal in [Signal::SIGHUP, Signal::SIGTERM, Signal::SIGHUP] {
                    sleep(BETWEEN_SIGNALS).await;
                    crew.signal_while_stopping(node, signal);
                }
            });
        }
        if stress.used_until_kill {
            let (crew, life) = (self.clone(), place.lives.get());
            spawn_local(async move {
                sleep(crew.longest_limit().min(KILL_WAITS_FOR) + KILL_AFTER).await;
                if crew.0.places[node].lives.get() == life {
                    crew.signal_while_stopping(node, Signal::SIGKILL);
                }
            });
        }
    }

    /// Gives a node that serves a configuration with another address of discovery.
    pub fn move_discovery(&self, node: usize) -> Result<(), String> {
        let place = &self.0.places[node];
        if !place.in_front.get() || place.started.get().elapsed() < FIRST_SIGNAL {
            return Ok(());
        }
        let door = discovery::start(&self.0.stage, node)?;
        let failed = |e: std::io::Error| format!("{}: {e}", place.config.display());
        let text = std::fs::read_to_string(&place.config).map_err(failed)?;
        let mut config: serde_json::Value = serde_json::from_str(&text).map_err(|e| e.to_string())?;
        config["discovery"] = format!("127.0.0.1:{}", door.port).into();
        std::fs::write(&place.config, config.to_string()).map_err(failed)?;
        self.just_signal(node, Signal::SIGHUP);
        place.discovery.replace(door);
        let (crew, life) = (self.clone(), place.lives.get());
        spawn_local(async move {
            let reachable = crew.0.stage.list_stays_up(MOVE_COUNTS_AS_TOLD).await;
            if reachable && crew.0.places[node].lives.get() == life {
                crew.0.stage.told(node, None);
            }
        });
        Ok(())
    }

    fn signal_while_stopping(&self, node: usize, signal: Signal) {
        if self.0.places[node].stopping.get() {
            self.just_signal(node, signal);
        }
    }

    fn longest_limit(&self) -> Duration {
        let limits = self.0.stage.scenario.profiles.iter().map(|p| p.limit);
        limits.max().unwrap_or_default().duration()
    }

    /// The nodes that were told to stop and have not ended.
    pub fn stopping(&self) -> Vec<usize> {
        let places = self.0.places.iter().enumerate();
        places.filter(|(_, p)| p.stopping.get()).map(|(i, _)| i).collect()
    }

    /// What it has taken until now cannot be asked of it any more.
    fn excuse(&self, node: usize) {
        self.0.stage.see(Observation::NodeKilled { node, at: self.0.stage.now() });
    }

    /// Stopped in the middle of what it does, and gone on with.
    pub fn pause(&self, node: usize) {
        self.just_signal(node, Signal::SIGSTOP);
        self.excuse(node);
        self.notice(node);
    }

    pub fn go_on(&self, node: usize) {
        self.just_signal(node, Signal::SIGCONT);
        self.excuse(node);
        let (crew, life) = (self.clone(), self.0.places[node].lives.get());
        spawn_local(async move {
            // What waited at its door for longer than its clients do is not asked for any more.
            sleep(crew.0.stage.scenario.clients.notice.duration()).await;
            crew.excuse(node);
            crew.0.stage.see(Observation::NodeResumed { node });
            let place = &crew.0.places[node];
            if place.lives.get() == life && place.life.borrow().is_some() {
                place.in_front.set(true);
            }
        });
    }

    fn just_signal(&self, node: usize, signal: Signal) {
        if let Some(life) = &*self.0.places[node].life.borrow() {
            let _ = kill(Pid::from_raw(life.pid), signal);
        }
    }

    /// Killed outright: the front notices after a while.
    pub fn kill(&self, node: usize) {
        self.signal(node, Signal::SIGKILL);
        self.excuse(node);
        self.notice(node);
    }

    /// The front sends nothing more there after a while, unless it has started anew.
    fn notice(&self, node: usize) {
        let (crew, life) = (self.clone(), self.0.places[node].lives.get());
        spawn_local(async move {
            sleep(crew.0.stage.scenario.clients.notice.duration()).await;
            let place = &crew.0.places[node];
            if place.lives.get() == life {
                place.in_front.set(false);
            }
        });
    }

    /// Sees to it that a process which was told to end has ended.
    async fn finish(&self, node: usize) {
        let life = self.0.places[node].life.borrow_mut().take();
        let Some(Life { pid, asked, mut ended }) = life else { return };
        let over = async { while !*ended.borrow_and_update() && ended.changed().await.is_ok() {} };
        if timeout(self.longest_limit() + STOP, over).await.is_err() {
            asked.set(true);
            self.0.stage.see(Observation::NodeCrashed { node, at: self.0.stage.now() });
            let _ = kill(Pid::from_raw(pid), Signal::SIGKILL);
        }
    }

    /// CPU and memory of a process, from what the kernel tells of it.
    fn measure(&self, node: usize) {
        let place = &self.0.places[node];
        let Some(pid) = place.life.borrow().as_ref().map(|l| l.pid) else { return };
        let read = |name: &str| std::fs::read_to_string(format!("/proc/{pid}/{name}")).unwrap_or_default();
        let nanos = read("schedstat").split_whitespace().next().and_then(|n| n.parse::<f64>().ok());
        let most = read("status")
            .lines()
            .find_map(|l| l.strip_prefix("VmHWM:")?.trim().strip_suffix("kB")?.trim().parse::<f64>().ok());
        let mut seen = place.seen.borrow_mut();
        seen.cpu_s += nanos.unwrap_or(0.0) / 1e9;
        seen.memory_mb = seen.memory_mb.max(most.unwrap_or(0.0) / 1024.0);
    }

    /// Stops all nodes, and tells what they took.
    pub async fn end_all(&self) -> Vec<ProcessUsage> {
        let nodes = 0..self.0.places.len();
        nodes.clone().for_each(|node| {
            let stopped = self.0.places[node].life.borrow().as_ref().is_some_and(|l| l.asked.get());
            if !stopped {
                self.stop(node);
            }
        });
        for node in nodes {
            self.finish(node).await;
        }
        self.0.places.iter().map(|p| p.seen.borrow().clone()).collect()
    }
}
