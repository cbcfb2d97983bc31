//! Rolling changes of several node processes by a controller process, with load, backends, and faults of links and
//! processes.

#[allow(dead_code)]
#[path = "../../node/tests/world/mod.rs"]
mod world;

use links::{Impairment, Links};
use serde_json::{json, Value};
use std::collections::{BTreeSet, HashMap};
use std::fmt::Write as _;
use std::io::Write;
use std::net::{IpAddr, SocketAddr, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering::SeqCst};
use std::sync::{mpsc, Arc, Mutex};
use std::thread::{sleep, spawn, JoinHandle};
use std::time::{Duration, Instant};
use world::*;

struct Process {
    child: Option<Child>,
    listen: SocketAddr,
    admins: [SocketAddr; 2],
    folder: PathBuf,
}

struct Fleet {
    nodes: Vec<Process>,
    links: Links,
    launches: Launches,
    faults: FaultByNode,
    settings: Value,
    folder: PathBuf,
    controllers: Vec<Child>,
    _list: mpsc::Sender<String>,
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for controller in &mut self.controllers {
            let _ = (controller.kill(), controller.wait());
        }
        // Processes that a controller has started are killed by the process id that they report.
        for node in &mut self.nodes {
            for at in node.admins {
                if let Some(pid) = poll_node(at).and_then(|report| report["pid"].as_u64()) {
                    if node.child.as_ref().is_none_or(|child| u64::from(child.id()) != pid) {
                        let _ = Command::new("kill").args(["-KILL", &pid.to_string()]).status();
                    }
                }
            }
            if let Some(child) = &mut node.child {
                let _ = (child.kill(), child.wait());
            }
            let _ = std::fs::remove_dir_all(&node.folder);
        }
        if std::thread::panicking() {
            let log = std::fs::read_to_string(self.folder.join("log")).unwrap_or_default();
            println!("--- the controller\n{log}");
        }
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

fn poll_node(at: SocketAddr) -> Option<Value> {
    let mut stream = TcpStream::connect_timeout(&at, Duration::from_secs(1)).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(1))).ok()?;
    stream.write_all(b"GET /counts/9000000000 HTTP/1.1\r\nHost: n\r\n\r\n").ok()?;
    serde_json::from_slice(&read_message(&mut stream)?.body).ok()
}

/// A fault of a worse build, simulated by what backends do to the commands of a node.
#[derive(Clone, Copy, Debug, PartialEq)]
enum BuildFault {
    /// Every fourth command ends in an error.
    Errors,
    /// All commands are late.
    IsSlow,
    /// The commands of one profile end in an error.
    OneProfile,
    /// The commands of one profile are rejected by all backends.
    Rejects,
}

/// The fault of each node. Clients name the node of a command in the header `X-By`.
type FaultByNode = Arc<Mutex<Vec<Option<BuildFault>>>>;

/// Starts a backend that applies the fault of the node from which a launch comes.
fn start_backend(own: &str, number: usize, launches: &Launches, faults: &FaultByNode) -> Value {
    let (listener, address) = bind_listener(own);
    let (launches, faults) = (launches.clone(), faults.clone());
    spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let (launches, faults) = (launches.clone(), faults.clone());
            spawn(move || {
                let _ = stream.set_nodelay(true);
                while let Some(message) = read_message(&mut stream) {
                    if message.start_line.starts_with("GET /metrics/load ") {
                        let head =
                            format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", LOAD_REPORT.len());
                        let _ = stream.write_all((head + LOAD_REPORT).as_bytes());
                        continue;
                    }
                    let node =
                        message.header("x-by").and_then(|node| node.parse::<usize>().ok()).unwrap_or(0);
                    let is_pay = message.header("x-service-class") == Some("pay");
                    let fault = faults.lock().expect("faults")[node];
                    let count = {
                        let mut all = launches.lock().expect("launches");
                        // A launch that is rejected unprocessed has not run.
                        if fault != Some(BuildFault::Rejects) || !is_pay {
                            all.push((number, message));
                        }
                        all.len()
                    };
                    let action = match fault {
                        Some(BuildFault::Errors) if count.is_multiple_of(4) => BackendAction::Status(500, ""),
                        Some(BuildFault::OneProfile) if is_pay => BackendAction::Status(500, ""),
                        Some(BuildFault::Rejects) if is_pay => {
                            BackendAction::Status(503, "X-Unprocessed: 1\r\n")
                        }
                        Some(BuildFault::IsSlow) => {
                            sleep(Duration::from_millis(260));
                            BackendAction::Succeed
                        }
                        _ => BackendAction::Succeed,
                    };
                    if !respond(action, &mut stream) {
                        break;
                    }
                }
            });
        }
    });
    json!({
        "name": format!("b{number}"), "address": address.to_string(), "zone": "here", "type": "small",
        "group": 1, "status": "ready", "weight": 1.0, "since_ms": 0,
    })
}

/// Clients of nodes, each of which reuses its connection while possible.
struct Load {
    clients: Vec<JoinHandle<Vec<u16>>>,
    stopped: Arc<AtomicBool>,
}

impl Fleet {
    /// Starts nodes that alternate between two sites. Each has a relay of its own to each of four backends.
    fn new(count: usize) -> Fleet {
        let own = unique_loopback_address();
        let host: IpAddr = unique_loopback_address().parse().expect("an address");
        let launches = Launches::default();
        let faults: FaultByNode = Arc::new(Mutex::new(vec![None; count]));
        let backends: Vec<Value> =
            (0..4).map(|number| start_backend(&own, number, &launches, &faults)).collect();
        let (list, discovery, _) = start_discovery(&own);
        let links = Links::new(5);
        let addresses: Vec<[SocketAddr; 3]> = {
            let _alone = lock_process_start();
            let listeners: Vec<_> =
                (0..count).map(|_| [bind_listener(&own), bind_listener(&own), bind_listener(&own)]).collect();
            listeners.iter().map(|addresses| addresses.each_ref().map(|(_, at)| *at)).collect()
        };
        let mut common = default_settings();
        common["zones"] = json!(["here", "there"]);
        common["balancers"] = count.into();
        let mut nodes = Vec::new();
        for (node, [listen, admin, other]) in addresses.into_iter().enumerate() {
            let folder = std::env::temp_dir().join(format!("yarrowfront-test-{own}-n{node}"));
            std::fs::create_dir_all(&folder).expect("a folder");
            let term = folder.join("term");
            let text = format!("term_file = {:?}\n", term.display().to_string());
            std::fs::write(folder.join("rollout.toml"), text).expect("a file");
            let entry = |backend: &Value| {
                let (mut entry, to) = (backend.clone(), backend["name"].as_str().expect("a name"));
                let at = backend["address"].as_str().and_then(|at| at.parse().ok()).expect("an address");
                let relay = links.open_tcp(&format!("n{node}"), to, at, host).expect("a relay");
                entry["address"] = relay.to_string().into();
                entry
            };
            let entries: Vec<Value> = backends.iter().map(entry).collect();
            let mut settings = common.clone();
            (settings["me"], settings["zone"]) = (node.into(), (node % 2).into());
            let config = json!({
                "name": format!("n{node}"), "listen": listen.to_string(), "discovery": discovery.to_string(),
                "admin": admin.to_string(), "seed": format!("8c1f30d27a5be96{node:x}"),
                "limits": {"cores": 1.0, "memory_mb": 64, "sockets": 512},
                "known": {"index": 4, "snapshot": true, "endpoints": entries}, "settings": settings,
                "rollout": folder.join("rollout.toml"),
            });
            std::fs::write(folder.join("config.json"), config.to_string()).expect("a file");
            nodes.push(Process { child: None, listen, admins: [admin, other], folder });
        }
        let folder = std::env::temp_dir().join(format!("yarrowfront-test-{own}-plan"));
        let _ = std::fs::remove_dir_all(&folder);
        std::fs::create_dir_all(&folder).expect("a folder");
        let controllers = Vec::new();
        let mut fleet =
            Fleet { nodes, links, launches, faults, settings: common, folder, controllers, _list: list };
        (0..count).for_each(|node| fleet.start(node));
        fleet.nodes.iter().for_each(|node| wait_until_ready(node.admins[0]));
        fleet
    }

    fn start(&mut self, node: usize) {
        let process = &mut self.nodes[node];
        let label = [("ROUTER_BUILD", "one")];
        let mut child = start_node_in(&process.folder, &process.folder.join("config.json"), &label);
        // The log is drained, so that the node does not block on a full pipe.
        let mut log = child.stderr.take().expect("a log");
        spawn(move || std::io::copy(&mut log, &mut std::io::sink()));
        process.child = Some(child);
    }

    fn kill(&mut self, node: usize) {
        let mut child = self.nodes[node].child.take().expect("it runs");
        let _ = (child.kill(), child.wait());
    }

    /// Writes a plan with this change and further text.
    fn plan(&self, name: &str, change: &str, more: &str) -> PathBuf {
        let folder = self.folder.join(name);
        let mut text = format!(
            "name = \"{name}\"\nfolder = \"{}\"\n{}\n{change}\n\
             [margins]\npayoff = 0.05\nprofile = 0.1\nerrored = 0.05\nturned_back = 0.05\nextra = 0.2\nslow = 0.4\nmemory_mb = 40\n\
             [odds]\npass = 0.2\n",
            folder.display(),
            if more.is_empty() { SHORT_TIMES } else { more },
        );
        for (node, process) in self.nodes.iter().enumerate() {
            let (site, [admin, other]) = (["here", "there"][node % 2], process.admins);
            write!(text, "[[nodes]]\nname = \"n{node}\"\nsite = \"{site}\"\nadmin = \"{admin}\"\nother_admin = \"{other}\"\n")
                .expect("written");
        }
        let path = self.folder.join(format!("{name}.toml"));
        std::fs::write(&path, text).expect("a plan");
        path
    }

    /// Writes a plan that changes the fleet's settings.
    fn settings_plan(&self, name: &str, more: &str, change: impl Fn(&mut Value)) -> PathBuf {
        let mut settings = self.settings.clone();
        change(&mut settings);
        let file = self.folder.join(format!("{name}.json"));
        std::fs::write(&file, settings.to_string()).expect("settings");
        self.plan(name, &format!("[change]\nsettings = {:?}", file.display().to_string()), more)
    }

    fn start_controller(&mut self, plan: &PathBuf, more: &[&str]) -> usize {
        let log = std::fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(self.folder.join("log"))
            .expect("a log");
        let mut command = Command::new(env!("CARGO_BIN_EXE_yarrowfront-rollout"));
        command.arg("run").arg(plan).args(more).stdout(Stdio::null()).stderr(log);
        let child = {
            let _alone = lock_process_start();
            command.spawn().expect("the controller starts")
        };
        self.controllers.push(child);
        self.controllers.len() - 1
    }

    /// Waits for the exit code of a controller: 0 if all nodes have the new version, 2 for the former one, 3 for an error.
    fn wait_for_exit(&mut self, controller: usize, seconds: u64) -> Option<i32> {
        let start = Instant::now();
        while start.elapsed() < Duration::from_secs(seconds) {
            if let Some(status) = self.controllers[controller].try_wait().expect("a process") {
                return status.code();
            }
            sleep(Duration::from_millis(50));
        }
        panic!("the controller is still running after {seconds} s: {}", self.log());
    }

    fn log(&self) -> String {
        std::fs::read_to_string(self.folder.join("log")).unwrap_or_default()
    }

    fn report(&self, node: usize) -> Option<Value> {
        let both = self.nodes[node].admins.iter().filter_map(|at| poll_node(*at));
        both.max_by_key(|report| (report["state"] == "serving", report["life"].as_u64()))
    }

    /// The versions that the nodes report, and whether any node is on trial.
    fn versions(&self, key: &str) -> (BTreeSet<String>, bool) {
        let all: Vec<Value> = (0..self.nodes.len()).filter_map(|node| self.report(node)).collect();
        let versions = all.iter().filter_map(|report| report[key].as_str()).map(str::to_owned).collect();
        (versions, all.iter().any(|report| !report["trial"].is_null()))
    }

    /// The nodes that are on trial.
    fn nodes_on_trial(&self) -> Vec<usize> {
        let changed_nodes =
            |node: &usize| self.report(*node).is_some_and(|report| !report["trial"].is_null());
        (0..self.nodes.len()).filter(changed_nodes).collect()
    }

    /// Starts two clients for each of these nodes, with a pause between their commands.
    fn load(&self, nodes: &[usize], pause_ms: u64) -> Load {
        let stopped = Arc::new(AtomicBool::new(false));
        let client = |node: usize, stopped: Arc<AtomicBool>| {
            let (listen, by) = (self.nodes[node].listen, format!("X-By: {node}\r\n"));
            spawn(move || {
                let (mut answers, mut connection, mut count) = (Vec::new(), None, 0u32);
                while !stopped.load(SeqCst) {
                    let stream: Option<TcpStream> =
                        connection.take().or_else(|| TcpStream::connect(listen).ok());
                    let Some(mut stream) = stream else {
                        answers.push(0);
                        sleep(Duration::from_millis(20));
                        continue;
                    };
                    let _ = (stream.set_nodelay(true), stream.set_read_timeout(Some(Duration::from_secs(5))));
                    count += 1;
                    let profile = if count.is_multiple_of(4) { "pay" } else { "read" };
                    let sent = stream.write_all(command_request(profile, "a body", &by).as_bytes());
                    let reply = sent.ok().and_then(|()| read_message(&mut stream));
                    match reply {
                        Some(reply) => {
                            answers.push(reply.status());
                            connection = (reply.header("connection") != Some("close")).then_some(stream);
                        }
                        // An idle connection that closes while a command is sent: the client retries on another one.
                        None if answers.last() != Some(&0) => answers.push(0),
                        None => answers.push(1),
                    }
                    sleep(Duration::from_millis(pause_ms));
                }
                answers
            })
        };
        let clients = nodes.iter().flat_map(|node| [*node; 2]);
        Load { clients: clients.map(|node| client(node, stopped.clone())).collect(), stopped }
    }

    /// Checks the percentage of successful commands, and that no command that may run only once has run twice.
    fn assert_served(&self, load: Load, min_percent: f64) {
        load.stopped.store(true, SeqCst);
        let answers: Vec<u16> = load.clients.into_iter().flat_map(|c| c.join().expect("a client")).collect();
        let good = answers.iter().filter(|status| **status == 200).count() as f64;
        let all = answers.len() as f64;
        let statuses: BTreeSet<&u16> = answers.iter().collect();
        assert!(all > 100.0 && good / all * 100.0 >= min_percent, "{good} of {all}: {statuses:?}");
        let mut launched: HashMap<String, usize> = HashMap::new();
        for (_, launch) in self.launches.lock().expect("launches").iter() {
            if launch.header("x-service-class") == Some("pay") {
                *launched
                    .entry(launch.header("x-correlation-id").unwrap_or_default().to_owned())
                    .or_default() += 1;
            }
        }
        assert!(launched.values().all(|times| *times == 1), "a command ran twice");
    }
}

/// Stages and times of a plan that completes soon.
const SHORT_TIMES: &str = "stages = [\"1 node\", \"1 of each site\", \"100%\"]\nmost_out = 2\n\
    [seconds]\nsettle = 1.0\nwatch = 2.0\nlongest = 40.0\nword = 4.0\nsilent = 2.5\ncommand = 8.0\n";

/// The same for two nodes, without a time to settle.
const TWO_NODE_TIMES: &str = "stages = [\"1 node\", \"100%\"]\nmost_out = 2\n\
    [seconds]\nsettle = 0.0\nwatch = 1.0\nlongest = 30.0\nword = 2.0\nsilent = 2.0\ncommand = 5.0\n";

/// Changes a payoff, which makes no difference to the service.
fn harmless(settings: &mut Value) {
    settings["profiles"][0]["payoff"] = 1.5.into();
}

const SLOW_LINK: Impairment = Impairment {
    blocked: false,
    resets_connections: false,
    loss_percent: 0,
    duplicate_percent: 0,
    reorder_percent: 0,
    latency: Duration::from_millis(260),
    jitter: Duration::ZERO,
    bytes_per_second: 0,
};

/// Harmless settings are confirmed at all six nodes, also in their files. Meanwhile no other controller can act, and
/// clients notice nothing.
#[test]
fn harmless_settings_are_confirmed_everywhere() {
    let mut fleet = Fleet::new(6);
    let load = fleet.load(&[0, 1, 2, 3, 4, 5], 8);
    let (before, _) = fleet.versions("settings");
    let plan = fleet.settings_plan("good", "", harmless);
    let first = fleet.start_controller(&plan, &[]);
    wait_until("something is on trial", || !fleet.nodes_on_trial().is_empty());
    let same = fleet.start_controller(&plan, &[]);
    assert_eq!(fleet.wait_for_exit(same, 10), Some(3), "only one controller may run a plan");
    let other = fleet.settings_plan("other", "", |settings| settings["profiles"][1]["payoff"] = 2.0.into());
    let other = fleet.start_controller(&other, &[]);
    assert_eq!(fleet.wait_for_exit(other, 10), Some(3), "the change of another controller is on trial");
    // A burst of load during a stage affects changed and unchanged nodes alike.
    let burst = fleet.load(&[0, 1, 2, 3], 1);
    sleep(Duration::from_secs(3));
    fleet.assert_served(burst, 95.0);
    assert_eq!(fleet.wait_for_exit(first, 100), Some(0), "{}", fleet.log());
    let (after, on_trial) = fleet.versions("settings");
    assert!(after.len() == 1 && after != before && !on_trial, "{before:?} {after:?} {on_trial}");
    for (index, node) in fleet.nodes.iter().enumerate() {
        let file = std::fs::read(node.folder.join("config.json")).expect("a file");
        let file: Value = serde_json::from_slice(&file).expect("JSON");
        assert_eq!(file["settings"]["profiles"][0]["payoff"], 1.5);
        assert_eq!((&file["settings"]["me"], &file["settings"]["zone"]), (&json!(index), &json!(index % 2)));
    }
    let page = std::fs::read_to_string(fleet.folder.join("good/report.md")).expect("a page");
    assert!(
        page.contains("DONE") && page.contains("payoff lost") && page.contains("measure-0.svg"),
        "{page}"
    );
    fleet.assert_served(load, 99.0);
}

/// The links of a changed node to all backends become slow, as with worse settings. The change is stopped in the first
/// stage, with no other node changed, and all nodes return to the former settings. With the verdict ignored it passes.
#[test]
fn worse_settings_are_rolled_back_in_the_first_stage() {
    let mut fleet = Fleet::new(4);
    let (before, _) = fleet.versions("settings");
    for ignore_verdict in [false, true] {
        let (harmed, others) = (fleet.load(&[0], 8), fleet.load(&[1, 2, 3], 8));
        let name = if ignore_verdict { "unjudged" } else { "judged" };
        let plan = fleet.settings_plan(name, "", harmless);
        let controller = fleet.start_controller(&plan, if ignore_verdict { &["--deaf"] } else { &[] });
        let start = Instant::now();
        let mut changed_nodes = BTreeSet::new();
        while fleet.controllers[controller].try_wait().expect("a process").is_none() {
            assert!(start.elapsed() < Duration::from_secs(90), "{}", fleet.log());
            let now = fleet.nodes_on_trial();
            for node in 0..4 {
                let law = if now.contains(&node) { SLOW_LINK } else { Impairment::default() };
                (0..4).for_each(|b| fleet.links.set_impairment(&format!("b{b}"), &format!("n{node}"), law));
            }
            changed_nodes.extend(now);
            sleep(Duration::from_millis(100));
        }
        fleet.links.heal();
        fleet.assert_served(harmed, 0.0);
        let code = fleet.controllers[controller].wait().expect("an end").code();
        let (after, on_trial) = fleet.versions("settings");
        assert!(after.len() == 1 && !on_trial, "{after:?}");
        if ignore_verdict {
            assert_eq!((code, changed_nodes.len()), (Some(0), 4), "{}", fleet.log());
            assert_ne!(after, before);
            fleet.assert_served(others, 0.0);
        } else {
            assert_eq!((code, changed_nodes), (Some(2), BTreeSet::from([0])), "{}", fleet.log());
            assert_eq!(after, before);
            let page = std::fs::read_to_string(fleet.folder.join("judged/report.md")).expect("a page");
            assert!(page.contains("ROLLING BACK"), "{page}");
            // Clients of the other nodes notice nothing.
            fleet.assert_served(others, 99.0);
        }
    }
}

/// A controller that is killed at any record of the journal, whole or truncated, continues when it is started again, and
/// all nodes end with one confirmed version.
#[test]
fn controller_killed_at_any_record_continues() {
    let at = |number: u64| {
        let mut fleet = Fleet::new(2);
        let plan = fleet.settings_plan("killed", TWO_NODE_TIMES, harmless);
        let (before, _) = fleet.versions("settings");
        let number_text = number.to_string();
        let mut arguments = vec!["--deaf", "--end-at", &number_text];
        arguments.extend(number.is_multiple_of(2).then_some("--torn"));
        let first = fleet.start_controller(&plan, &arguments);
        let code = fleet.wait_for_exit(first, 60);
        // After the last record the controller is not killed at all.
        if code == Some(0) {
            return false;
        }
        assert_eq!(code, None, "the controller must have been killed");
        let second = fleet.start_controller(&plan, &["--deaf"]);
        let code = fleet.wait_for_exit(second, 60);
        let (after, on_trial) = fleet.versions("settings");
        assert!(
            code == Some(0) && after.len() == 1 && !on_trial,
            "record {number}: {code:?} {after:?} {}",
            fleet.log()
        );
        assert_ne!(after, before, "record {number}");
        true
    };
    let mut killed = 0;
    for batch in (1..=24u64).collect::<Vec<_>>().chunks(8) {
        let runs: Vec<bool> = std::thread::scope(|scope| {
            let runs: Vec<_> = batch.iter().map(|number| scope.spawn(|| at(*number))).collect();
            runs.into_iter().map(|run| run.join().expect("a run")).collect()
        });
        killed += runs.iter().filter(|killed| **killed).count();
        if runs.contains(&false) {
            break;
        }
    }
    assert!(killed >= 12, "only {killed} records were reached");
}

/// When a controller is stopped during a stage its trials expire and the nodes revert by themselves. A second controller
/// takes over and completes its change; the first one ends with an error when it resumes.
#[test]
fn second_controller_takes_over() {
    let mut fleet = Fleet::new(2);
    let (before, _) = fleet.versions("settings");
    let plan = fleet.settings_plan("first", TWO_NODE_TIMES, harmless);
    let first = fleet.start_controller(&plan, &["--deaf"]);
    wait_until("something is on trial", || !fleet.nodes_on_trial().is_empty());
    send_signal(&fleet.controllers[first], "-STOP");
    let other = fleet
        .settings_plan("second", TWO_NODE_TIMES, |settings| settings["profiles"][0]["payoff"] = 7.0.into());
    let second = fleet.start_controller(&other, &["--deaf"]);
    assert_eq!(fleet.wait_for_exit(second, 10), Some(3), "a change is still on trial");
    wait_until("the nodes revert by themselves", || fleet.versions("settings") == (before.clone(), false));
    let second = fleet.start_controller(&other, &["--deaf", "--take-over"]);
    wait_until("the second change is on trial", || !fleet.nodes_on_trial().is_empty());
    send_signal(&fleet.controllers[first], "-CONT");
    assert_eq!(fleet.wait_for_exit(first, 10), Some(3), "{}", fleet.log());
    assert_eq!(fleet.wait_for_exit(second, 60), Some(0), "{}", fleet.log());
    let file = std::fs::read(fleet.nodes[1].folder.join("config.json")).expect("a file");
    let file: Value = serde_json::from_slice(&file).expect("JSON");
    assert_eq!(file["settings"]["profiles"][0]["payoff"], 7.0);
}

/// A rule is loosened only after everything else is confirmed at all nodes. Until then both versions keep the stricter rule.
#[test]
fn loosened_rule_is_applied_last() {
    let mut fleet = Fleet::new(2);
    let plan = fleet.settings_plan("loose", &format!("loosening = true\n{TWO_NODE_TIMES}"), |settings| {
        harmless(settings);
        settings["limits"]["mostLaunches"] = 6.into();
    });
    let controller = fleet.start_controller(&plan, &["--deaf"]);
    let settings = |node: &Process| -> Value {
        serde_json::from_slice(&call_admin(node.admins[0], "GET /settings").body).expect("JSON")
    };
    while fleet.controllers[controller].try_wait().expect("a process").is_none() {
        let all: Vec<Value> = fleet.nodes.iter().map(settings).collect();
        if all.iter().any(|settings| settings["limits"]["mostLaunches"] == 6) {
            assert!(all.iter().all(|settings| settings["profiles"][0]["payoff"] == 1.5), "{all:?}");
        }
        sleep(Duration::from_millis(50));
    }
    assert_eq!(fleet.wait_for_exit(controller, 1), Some(0), "{}", fleet.log());
    let has = |settings: &Value| {
        settings["limits"]["mostLaunches"] == 6 && settings["profiles"][0]["payoff"] == 1.5
    };
    assert!(fleet.nodes.iter().map(settings).all(|settings| has(&settings)), "{}", fleet.log());
    assert!(fleet.log().contains("leg 1"), "{}", fleet.log());
}

/// Obstacles are found before anything is changed: a node that is gone, invalid settings, a program with other protocol
/// versions, and a loosened rule without the operator's consent.
#[test]
fn obstacles_are_found_before_any_change() {
    let mut fleet = Fleet::new(2);
    let (before, _) = fleet.versions("settings");
    let loose = |settings: &mut Value| settings["limits"]["mostLaunches"] = 6.into();
    let broken = |settings: &mut Value| settings["limits"]["mostLaunches"] = "six".into();
    type Change = fn(&mut Value);
    let cases: [(&str, Change, &str); 2] =
        [("loose", loose, "loosens a rule"), ("broken", broken, "mostLaunches")];
    for (name, change, why) in cases {
        let plan = fleet.settings_plan(name, TWO_NODE_TIMES, change);
        let controller = fleet.start_controller(&plan, &[]);
        assert_eq!(fleet.wait_for_exit(controller, 10), Some(3));
        assert!(fleet.log().contains(why), "{name}: {}", fleet.log());
    }
    let plan = fleet.program_plan("words", "", TWO_NODE_TIMES);
    let text = std::fs::read_to_string(&plan).expect("a plan");
    let lines = text.lines().map(|line| {
        if line.starts_with("words = ") {
            "words = [\"echo\", \"handover 9\"]"
        } else {
            line
        }
    });
    std::fs::write(&plan, lines.collect::<Vec<_>>().join("\n")).expect("a plan");
    let controller = fleet.start_controller(&plan, &[]);
    assert_eq!(fleet.wait_for_exit(controller, 10), Some(3));
    assert!(
        fleet.log().contains("n0 speaks other protocol versions than the new program"),
        "{}",
        fleet.log()
    );
    let plan = fleet.settings_plan("gone", TWO_NODE_TIMES, harmless);
    fleet.kill(1);
    let controller = fleet.start_controller(&plan, &[]);
    assert_eq!(fleet.wait_for_exit(controller, 10), Some(3));
    assert!(fleet.log().contains("n1: connection refused at"), "{}", fleet.log());
    fleet.start(1);
    wait_until_ready(fleet.nodes[1].admins[0]);
    assert_eq!(fleet.versions("settings"), (before, false));
}

/// A node that does not answer holds the change until it answers. A changed node that dies causes a rollback at once, and
/// starts with the former settings.
#[test]
fn lost_nodes_hold_or_roll_back_the_change() {
    let mut fleet = Fleet::new(4);
    let load = fleet.load(&[0, 1], 10);
    let (before, _) = fleet.versions("settings");
    let plan = fleet.settings_plan("lost", "", harmless);
    let controller = fleet.start_controller(&plan, &[]);
    wait_until("the first is changed", || fleet.nodes_on_trial() == [0]);
    send_signal(fleet.nodes[3].child.as_ref().expect("it runs"), "-STOP");
    wait_until("the change is on hold", || fleet.log().contains("on hold: missing: n3"));
    sleep(Duration::from_secs(3));
    assert_eq!(fleet.nodes_on_trial(), [0], "nothing more may be changed, and the trial must be renewed");
    send_signal(fleet.nodes[3].child.as_ref().expect("it runs"), "-CONT");
    wait_until("the change resumes", || fleet.log().contains("resumed"));
    let busiest = 0;
    load.stopped.store(true, SeqCst);
    fleet.kill(busiest);
    assert_eq!(fleet.wait_for_exit_with_restart(controller, busiest), Some(2), "{}", fleet.log());
    assert!(fleet.log().contains("n0 is gone after its change"), "{}", fleet.log());
    assert_eq!(fleet.versions("settings"), (before, false));
}

impl Fleet {
    /// As `wait_for_exit`, with a node restarted during the rollback, as a supervisor does.
    fn wait_for_exit_with_restart(&mut self, controller: usize, node: usize) -> Option<i32> {
        wait_until("the rollback begins", || self.log().contains("ROLLING BACK"));
        self.start(node);
        self.wait_for_exit(controller, 30)
    }

    /// Writes a plan for another program, whose start command sets further environment variables.
    fn program_plan(&self, name: &str, variables: &str, more: &str) -> PathBuf {
        let parent = self.nodes[0].folder.display().to_string();
        let parent = parent.strip_suffix("-n0").expect("a folder by name");
        let start = |label: &str, more: &str| {
            format!(
                "[\"env\", \"-i\", \"ROUTER_CONFIG={parent}-{{name}}/config.json\", \"TMPDIR={parent}-{{name}}\", \
                 \"ROUTER_ADMIN={{admin}}\", \"ROUTER_BUILD={label}\"{more}, \"{}\"]",
                node_program()
            )
        };
        let change = format!(
            "[change.program]\nbuild = \"0.1.0+two\"\nformer = \"0.1.0+one\"\nstart = {}\nstart_former = {}\n\
             end = [\"kill\", \"-TERM\", \"{{pid}}\"]\nwords = [\"{}\", \"words\"]",
            start("two", variables),
            start("one", ""),
            node_program(),
        );
        self.plan(name, &change, more)
    }
}

/// While the links of all nodes to three of four backends are broken all nodes do worse alike. The change is not blamed and
/// completes after the outage.
#[test]
fn outage_during_a_stage_is_not_blamed_on_the_change() {
    let mut fleet = Fleet::new(4);
    let load = fleet.load(&[0, 1, 2, 3], 10);
    let plan = fleet.settings_plan("outage", "", harmless);
    let controller = fleet.start_controller(&plan, &[]);
    wait_until("the first is changed", || fleet.nodes_on_trial() == [0]);
    sleep(Duration::from_secs(2));
    let broken = Impairment { resets_connections: true, ..Impairment::default() };
    for node in 0..4 {
        (0..3).for_each(|b| {
            fleet.links.set_impairment_both_ways(&format!("n{node}"), &format!("b{b}"), broken)
        });
    }
    sleep(Duration::from_secs(4));
    fleet.links.heal();
    assert_eq!(fleet.wait_for_exit(controller, 120), Some(0), "{}", fleet.log());
    load.stopped.store(true, SeqCst);
}

/// Harm in one site only is found in the stage that reaches that site. The node of the other site was no worse.
#[test]
fn harm_in_one_site_is_found_there() {
    let mut fleet = Fleet::new(6);
    let load = fleet.load(&[0, 1, 2, 3, 4, 5], 12);
    let plan = fleet.settings_plan("site", "", harmless);
    let controller = fleet.start_controller(&plan, &[]);
    let start = Instant::now();
    let mut changed_nodes = BTreeSet::new();
    while fleet.controllers[controller].try_wait().expect("a process").is_none() {
        assert!(start.elapsed() < Duration::from_secs(120), "{}", fleet.log());
        let now = fleet.nodes_on_trial();
        for node in [1, 3, 5] {
            let law = if now.contains(&node) { SLOW_LINK } else { Impairment::default() };
            (0..4).for_each(|b| fleet.links.set_impairment(&format!("b{b}"), &format!("n{node}"), law));
        }
        changed_nodes.extend(now);
        sleep(Duration::from_millis(100));
    }
    assert_eq!(fleet.wait_for_exit(controller, 1), Some(2), "{}", fleet.log());
    assert_eq!(changed_nodes, BTreeSet::from([0, 1]), "{}", fleet.log());
    assert!(fleet.log().contains("stage 1 has passed by its figures"), "{}", fleet.log());
    load.stopped.store(true, SeqCst);
}

/// A node is stopped when the rollback begins: the other nodes are reverted at once, and the stopped one when it runs again.
/// With a node that has settings of its own a change holds and asks an operator.
#[test]
fn rollback_completes_when_a_stopped_node_returns() {
    let mut fleet = Fleet::new(3);
    let (before, _) = fleet.versions("settings");
    // The last node belongs to a site that the new settings do not contain.
    let file = fleet.nodes[2].folder.join("config.json");
    let mut config: Value = serde_json::from_slice(&std::fs::read(&file).expect("a file")).expect("JSON");
    config["settings"]["zones"] = json!(["here", "there", "elsewhere"]);
    config["settings"]["zone"] = 2.into();
    std::fs::write(&file, config.to_string()).expect("a file");
    let plan = fleet.settings_plan("cannot", "stages = [\"1 node\", \"2 nodes\", \"100%\"]\nmost_out = 1\n[seconds]\nsettle = 0.0\nwatch = 1.0\nlongest = 30.0\nword = 6.0\nsilent = 1.5\ncommand = 5.0\n", harmless);
    let controller = fleet.start_controller(&plan, &["--deaf"]);
    wait_until("two are changed", || fleet.nodes_on_trial() == [0, 1]);
    send_signal(fleet.nodes[1].child.as_ref().expect("it runs"), "-STOP");
    let order = Command::new(env!("CARGO_BIN_EXE_yarrowfront-rollout"))
        .arg("back")
        .arg(&plan)
        .output()
        .expect("an order");
    assert!(order.status.success(), "{order:?}");
    wait_until("the first is back", || fleet.nodes_on_trial().is_empty());
    assert!(
        fleet.controllers[controller].try_wait().expect("a process").is_none(),
        "one node is not reverted yet"
    );
    send_signal(fleet.nodes[1].child.as_ref().expect("it runs"), "-CONT");
    assert_eq!(fleet.wait_for_exit(controller, 30), Some(2), "{}", fleet.log());
    assert_eq!(fleet.versions("settings"), (before, false));
    // After its restart the last node has other settings than the rest, which `--take-over` does not check beforehand.
    fleet.kill(2);
    fleet.start(2);
    wait_until_ready(fleet.nodes[2].admins[0]);
    let plan = fleet.settings_plan("refused", TWO_NODE_TIMES, harmless);
    let controller = fleet.start_controller(&plan, &["--deaf", "--take-over"]);
    sleep(Duration::from_secs(3));
    let log = fleet.log();
    assert!(log.contains("ON HOLD, OPERATOR NEEDED: n2 has neither the former nor the new"), "{log}");
    assert_eq!(fleet.nodes_on_trial(), [0; 0], "nothing may be changed while a node has neither version");
    let _ = fleet.controllers[controller].kill();
}

/// Another program takes over at each of three nodes, and clients lose no commands.
#[test]
fn program_is_replaced_without_losing_commands() {
    let mut fleet = Fleet::new(3);
    let load = fleet.load(&[0, 1, 2], 10);
    let plan = fleet.program_plan("program", "", "");
    let controller = fleet.start_controller(&plan, &[]);
    assert_eq!(fleet.wait_for_exit(controller, 120), Some(0), "{}", fleet.log());
    assert_eq!(fleet.versions("build"), (BTreeSet::from(["0.1.0+two".to_owned()]), false));
    fleet.assert_served(load, 98.0);
}

/// Programs that serve worse: with errors, slow after some seconds, or with errors or rejections for one profile only.
/// Each is stopped with no more than one node of each site changed, no command that may run only once runs twice, and the
/// former program serves everywhere.
#[test]
fn worse_programs_are_rolled_back() {
    let run = |fault: BuildFault| {
        let mut fleet = Fleet::new(4);
        let load = fleet.load(&[0, 1, 2, 3], 12);
        let plan = fleet.program_plan(&format!("{fault:?}").to_lowercase(), "", "");
        let controller = fleet.start_controller(&plan, &[]);
        let (start, mut since) = (Instant::now(), [None; 4]);
        while fleet.controllers[controller].try_wait().expect("a process").is_none() {
            assert!(start.elapsed() < Duration::from_secs(120), "{fault:?}: {}", fleet.log());
            for (node, since) in since.iter_mut().enumerate() {
                let new = fleet.report(node).is_some_and(|report| report["build"] == "0.1.0+two");
                *since = if new { since.or(Some(Instant::now())) } else { None };
                let faults = since
                    .is_some_and(|at| fault != BuildFault::IsSlow || at.elapsed() > Duration::from_secs(4));
                fleet.faults.lock().expect("faults")[node] = faults.then_some(fault);
            }
            sleep(Duration::from_millis(100));
        }
        assert_eq!(fleet.wait_for_exit(controller, 1), Some(2), "{fault:?}: {}", fleet.log());
        let log = fleet.log();
        assert!(log.contains("ROLLING BACK") && !log.contains("stage 2 has passed"), "{fault:?}: {log}");
        assert_eq!(fleet.versions("build"), (BTreeSet::from(["0.1.0+one".to_owned()]), false), "{fault:?}");
        // The worst case with two of four nodes changed.
        fleet.assert_served(load, 40.0);
    };
    std::thread::scope(|scope| {
        for fault in [BuildFault::Errors, BuildFault::IsSlow, BuildFault::OneProfile, BuildFault::Rejects] {
            scope.spawn(move || run(fault));
        }
    });
}

/// A program that ends at once, one that hangs before it is ready, and one that leaks memory: each is stopped in the first
/// stage, and the former program serves everywhere.
#[test]
fn broken_programs_are_stopped_in_the_first_stage() {
    for (fault, why) in
        [("ends", "ends at once"), ("hangs", "not ready within"), ("leaks", "memory has grown")]
    {
        let mut fleet = Fleet::new(2);
        let load = fleet.load(&[0, 1], 15);
        let more =
            SHORT_TIMES.replace("command = 8.0", "command = 2.0").replace("watch = 2.0", "watch = 20.0");
        let plan = fleet.program_plan(fault, &format!(", \"ROUTER_FAULT={fault}\""), &more);
        let controller = fleet.start_controller(&plan, &[]);
        assert_eq!(fleet.wait_for_exit(controller, 60), Some(2), "{fault}: {}", fleet.log());
        assert!(fleet.log().contains(why), "{fault}: {}", fleet.log());
        assert_eq!(fleet.versions("build"), (BTreeSet::from(["0.1.0+one".to_owned()]), false), "{fault}");
        fleet.assert_served(load, 97.0);
    }
}
