//! Rolling changes of several processes of the node, led by a process of the controller, with load, backends, and faults
//! between them and on them.

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
    worse: WorseAt,
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
        // Those that a controller has started too: each tells its own number.
        for node in &mut self.nodes {
            for at in node.admins {
                if let Some(pid) = told(at).and_then(|told| told["pid"].as_u64()) {
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

fn told(at: SocketAddr) -> Option<Value> {
    let mut stream = TcpStream::connect_timeout(&at, Duration::from_secs(1)).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(1))).ok()?;
    stream.write_all(b"GET /counts/9000000000 HTTP/1.1\r\nHost: n\r\n\r\n").ok()?;
    serde_json::from_slice(&read_message(&mut stream)?.body).ok()
}

/// What backends do to commands that come by a node whose build is worse.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Worse {
    /// Every fourth comes back with an error.
    Errors,
    /// All are late.
    Slows,
    /// Those of one profile come back with an error, or find all full.
    OneProfile,
    TurnsBack,
}

/// By the node that a command comes by: its clients say which that is.
type WorseAt = Arc<Mutex<Vec<Option<Worse>>>>;

/// A backend that does what is said of the node that a launch comes by.
fn knowing(own: &str, number: usize, launches: &Launches, worse: &WorseAt) -> Value {
    let (listener, address) = bind_listener(own);
    let (launches, worse) = (launches.clone(), worse.clone());
    spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let (launches, worse) = (launches.clone(), worse.clone());
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
                    let pay = message.header("x-service-class") == Some("pay");
                    let said = worse.lock().expect("faults")[node];
                    let count = {
                        let mut all = launches.lock().expect("launches");
                        // What is turned back unseen has not run.
                        if said != Some(Worse::TurnsBack) || !pay {
                            all.push((number, message));
                        }
                        all.len()
                    };
                    let done = match said {
                        Some(Worse::Errors) if count.is_multiple_of(4) => BackendAction::Status(500, ""),
                        Some(Worse::OneProfile) if pay => BackendAction::Status(500, ""),
                        Some(Worse::TurnsBack) if pay => BackendAction::Status(503, "X-Unprocessed: 1\r\n"),
                        Some(Worse::Slows) => {
                            sleep(Duration::from_millis(260));
                            BackendAction::Succeed
                        }
                        _ => BackendAction::Succeed,
                    };
                    if !respond(done, &mut stream) {
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

/// Clients at nodes, each on a connection that it keeps while it can.
struct Load {
    clients: Vec<JoinHandle<Vec<u16>>>,
    over: Arc<AtomicBool>,
}

impl Fleet {
    /// So many nodes in two sites by turns, each with a way of its own to each of four backends.
    fn new(count: usize) -> Fleet {
        let own = unique_loopback_address();
        let host: IpAddr = unique_loopback_address().parse().expect("an address");
        let launches = Launches::default();
        let worse: WorseAt = Arc::new(Mutex::new(vec![None; count]));
        let backends: Vec<Value> = (0..4).map(|number| knowing(&own, number, &launches, &worse)).collect();
        let (list, discovery, _) = start_discovery(&own);
        let links = Links::new(5);
        let places: Vec<[SocketAddr; 3]> = {
            let _alone = lock_process_start();
            let held: Vec<_> =
                (0..count).map(|_| [bind_listener(&own), bind_listener(&own), bind_listener(&own)]).collect();
            held.iter().map(|places| places.each_ref().map(|(_, at)| *at)).collect()
        };
        let mut common = default_settings();
        common["zones"] = json!(["here", "there"]);
        common["balancers"] = count.into();
        let mut nodes = Vec::new();
        for (node, [listen, admin, other]) in places.into_iter().enumerate() {
            let folder = std::env::temp_dir().join(format!("yarrowfront-test-{own}-n{node}"));
            std::fs::create_dir_all(&folder).expect("a folder");
            let term = folder.join("term");
            let text = format!("term_file = {:?}\n", term.display().to_string());
            std::fs::write(folder.join("rollout.toml"), text).expect("a file");
            let entry = |backend: &Value| {
                let (mut entry, to) = (backend.clone(), backend["name"].as_str().expect("a name"));
                let at = backend["address"].as_str().and_then(|at| at.parse().ok()).expect("an address");
                let way = links.open_tcp(&format!("n{node}"), to, at, host).expect("a way");
                entry["address"] = way.to_string().into();
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
            Fleet { nodes, links, launches, worse, settings: common, folder, controllers, _list: list };
        (0..count).for_each(|node| fleet.start(node));
        fleet.nodes.iter().for_each(|node| wait_until_ready(node.admins[0]));
        fleet
    }

    fn start(&mut self, node: usize) {
        let process = &mut self.nodes[node];
        let label = [("ROUTER_BUILD", "one")];
        let mut child = start_node_in(&process.folder, &process.folder.join("config.json"), &label);
        // Nobody reads its log here: it must not wait for that.
        let mut log = child.stderr.take().expect("a log");
        spawn(move || std::io::copy(&mut log, &mut std::io::sink()));
        process.child = Some(child);
    }

    fn kill(&mut self, node: usize) {
        let mut child = self.nodes[node].child.take().expect("it runs");
        let _ = (child.kill(), child.wait());
    }

    /// A plan in the fleet's folder: what is changed, and what else it says.
    fn plan(&self, name: &str, change: &str, more: &str) -> PathBuf {
        let folder = self.folder.join(name);
        let mut text = format!(
            "name = \"{name}\"\nfolder = \"{}\"\n{}\n{change}\n\
             [margins]\npayoff = 0.05\nprofile = 0.1\nerrored = 0.05\nturned_back = 0.05\nextra = 0.2\nslow = 0.4\nmemory_mb = 40\n\
             [odds]\npass = 0.2\n",
            folder.display(),
            if more.is_empty() { SOON } else { more },
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

    /// A plan for settings that are these but for a change.
    fn settings_plan(&self, name: &str, more: &str, change: impl Fn(&mut Value)) -> PathBuf {
        let mut settings = self.settings.clone();
        change(&mut settings);
        let file = self.folder.join(format!("{name}.json"));
        std::fs::write(&file, settings.to_string()).expect("settings");
        self.plan(name, &format!("[change]\nsettings = {:?}", file.display().to_string()), more)
    }

    fn controller(&mut self, plan: &PathBuf, more: &[&str]) -> usize {
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

    /// How a controller ended: 0 with the new, 2 with the former everywhere, 3 by an error.
    fn ended(&mut self, controller: usize, seconds: u64) -> Option<i32> {
        let start = Instant::now();
        while start.elapsed() < Duration::from_secs(seconds) {
            if let Some(status) = self.controllers[controller].try_wait().expect("a process") {
                return status.code();
            }
            sleep(Duration::from_millis(50));
        }
        panic!("the controller goes on after {seconds} s: {}", self.log());
    }

    fn log(&self) -> String {
        std::fs::read_to_string(self.folder.join("log")).unwrap_or_default()
    }

    fn told(&self, node: usize) -> Option<Value> {
        let both = self.nodes[node].admins.iter().filter_map(|at| told(*at));
        both.max_by_key(|told| (told["state"] == "serving", told["life"].as_u64()))
    }

    /// What the nodes go by, and whether any of it is on trial.
    fn versions(&self, key: &str) -> (BTreeSet<String>, bool) {
        let all: Vec<Value> = (0..self.nodes.len()).filter_map(|node| self.told(node)).collect();
        let versions = all.iter().filter_map(|told| told[key].as_str()).map(str::to_owned).collect();
        (versions, all.iter().any(|told| !told["trial"].is_null()))
    }

    /// Nodes on which something is on trial.
    fn tried(&self) -> Vec<usize> {
        let tried = |node: &usize| self.told(*node).is_some_and(|told| !told["trial"].is_null());
        (0..self.nodes.len()).filter(tried).collect()
    }

    /// Several commands at a time at each of these, each client with some pause between two.
    fn load(&self, nodes: &[usize], pause_ms: u64) -> Load {
        let over = Arc::new(AtomicBool::new(false));
        let client = |node: usize, over: Arc<AtomicBool>| {
            let (listen, by) = (self.nodes[node].listen, format!("X-By: {node}\r\n"));
            spawn(move || {
                let (mut answers, mut kept, mut count) = (Vec::new(), None, 0u32);
                while !over.load(SeqCst) {
                    let stream: Option<TcpStream> = kept.take().or_else(|| TcpStream::connect(listen).ok());
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
                            kept = (reply.header("connection") != Some("close")).then_some(stream);
                        }
                        // An idle connection that ends as a command is sent: the client asks again on another.
                        None if answers.last() != Some(&0) => answers.push(0),
                        None => answers.push(1),
                    }
                    sleep(Duration::from_millis(pause_ms));
                }
                answers
            })
        };
        let clients = nodes.iter().flat_map(|node| [*node; 2]);
        Load { clients: clients.map(|node| client(node, over.clone())).collect(), over }
    }

    /// So many of a hundred commands were answered well, and none that may run once has run twice.
    fn served(&self, load: Load, least: f64) {
        load.over.store(true, SeqCst);
        let answers: Vec<u16> = load.clients.into_iter().flat_map(|c| c.join().expect("a client")).collect();
        let good = answers.iter().filter(|status| **status == 200).count() as f64;
        let all = answers.len() as f64;
        let kinds: BTreeSet<&u16> = answers.iter().collect();
        assert!(all > 100.0 && good / all * 100.0 >= least, "{good} of {all}: {kinds:?}");
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

/// Times of a plan that is through soon.
const SOON: &str = "stages = [\"1 node\", \"1 of each site\", \"100%\"]\nmost_out = 2\n\
    [seconds]\nsettle = 1.0\nwatch = 2.0\nlongest = 40.0\nword = 4.0\nsilent = 2.5\ncommand = 8.0\n";

/// The same of two nodes, by time alone.
const PAIR: &str = "stages = [\"1 node\", \"100%\"]\nmost_out = 2\n\
    [seconds]\nsettle = 0.0\nwatch = 1.0\nlongest = 30.0\nword = 2.0\nsilent = 2.0\ncommand = 5.0\n";

/// Another payoff, which makes no difference to anybody.
fn harmless(settings: &mut Value) {
    settings["profiles"][0]["payoff"] = 1.5.into();
}

const SLOW: Impairment = Impairment {
    blocked: false,
    resets_connections: false,
    loss_percent: 0,
    duplicate_percent: 0,
    reorder_percent: 0,
    latency: Duration::from_millis(260),
    jitter: Duration::ZERO,
    bytes_per_second: 0,
};

/// Settings that make no difference come to hold at all six nodes, in their files too; while they are under way no other
/// controller has a say; clients notice nothing.
#[test]
fn a_change_without_a_difference() {
    let mut fleet = Fleet::new(6);
    let load = fleet.load(&[0, 1, 2, 3, 4, 5], 8);
    let (before, _) = fleet.versions("settings");
    let plan = fleet.settings_plan("good", "", harmless);
    let first = fleet.controller(&plan, &[]);
    wait_until("something is on trial", || !fleet.tried().is_empty());
    let same = fleet.controller(&plan, &[]);
    assert_eq!(fleet.ended(same, 10), Some(3), "one controller for a plan");
    let other = fleet.settings_plan("other", "", |settings| settings["profiles"][1]["payoff"] = 2.0.into());
    let other = fleet.controller(&other, &[]);
    assert_eq!(fleet.ended(other, 10), Some(3), "another's change is on trial");
    // A burst in mid-stage is everybody's.
    let burst = fleet.load(&[0, 1, 2, 3], 1);
    sleep(Duration::from_secs(3));
    fleet.served(burst, 95.0);
    assert_eq!(fleet.ended(first, 100), Some(0), "{}", fleet.log());
    let (after, on_trial) = fleet.versions("settings");
    assert!(after.len() == 1 && after != before && !on_trial, "{before:?} {after:?} {on_trial}");
    for (place, node) in fleet.nodes.iter().enumerate() {
        let file = std::fs::read(node.folder.join("config.json")).expect("a file");
        let file: Value = serde_json::from_slice(&file).expect("JSON");
        assert_eq!(file["settings"]["profiles"][0]["payoff"], 1.5);
        assert_eq!((&file["settings"]["me"], &file["settings"]["zone"]), (&json!(place), &json!(place % 2)));
    }
    let page = std::fs::read_to_string(fleet.folder.join("good/report.md")).expect("a page");
    assert!(
        page.contains("DONE") && page.contains("payoff lost") && page.contains("measure-0.svg"),
        "{page}"
    );
    fleet.served(load, 99.0);
}

/// A changed node whose ways to all backends are slow from then on, as a worse build's are: it is stopped in the first
/// stage, with no other node changed, and all go by the former again. With the verdict not listened to it goes through.
#[test]
fn a_change_that_does_worse() {
    let mut fleet = Fleet::new(4);
    let (before, _) = fleet.versions("settings");
    for deaf in [false, true] {
        let (harmed, others) = (fleet.load(&[0], 8), fleet.load(&[1, 2, 3], 8));
        let name = if deaf { "deaf" } else { "heard" };
        let plan = fleet.settings_plan(name, "", harmless);
        let controller = fleet.controller(&plan, if deaf { &["--deaf"] } else { &[] });
        let start = Instant::now();
        let mut tried = BTreeSet::new();
        while fleet.controllers[controller].try_wait().expect("a process").is_none() {
            assert!(start.elapsed() < Duration::from_secs(90), "{}", fleet.log());
            let now = fleet.tried();
            for node in 0..4 {
                let law = if now.contains(&node) { SLOW } else { Impairment::default() };
                (0..4).for_each(|b| fleet.links.set_impairment(&format!("b{b}"), &format!("n{node}"), law));
            }
            tried.extend(now);
            sleep(Duration::from_millis(100));
        }
        fleet.links.heal();
        fleet.served(harmed, 0.0);
        let code = fleet.controllers[controller].wait().expect("an end").code();
        let (after, on_trial) = fleet.versions("settings");
        assert!(after.len() == 1 && !on_trial, "{after:?}");
        if deaf {
            assert_eq!((code, tried.len()), (Some(0), 4), "{}", fleet.log());
            assert_ne!(after, before);
            fleet.served(others, 0.0);
        } else {
            assert_eq!((code, tried), (Some(2), BTreeSet::from([0])), "{}", fleet.log());
            assert_eq!(after, before);
            let page = std::fs::read_to_string(fleet.folder.join("heard/report.md")).expect("a page");
            assert!(page.contains("GOES BACK"), "{page}");
            // It dips no deeper than the stage's share: whoever calls at the other nodes notices nothing.
            fleet.served(others, 99.0);
        }
    }
}

/// Killed at any record that it writes, whole or torn, a controller goes on when it is started again, and all nodes end
/// with one version that holds.
#[test]
fn killed_at_every_record() {
    let at = |number: u64| {
        let mut fleet = Fleet::new(2);
        let plan = fleet.settings_plan("killed", PAIR, harmless);
        let (before, _) = fleet.versions("settings");
        let number_text = number.to_string();
        let mut arguments = vec!["--deaf", "--end-at", &number_text];
        arguments.extend(number.is_multiple_of(2).then_some("--torn"));
        let first = fleet.controller(&plan, &arguments);
        let code = fleet.ended(first, 60);
        // Past the last record it is not killed at all.
        if code == Some(0) {
            return false;
        }
        assert_eq!(code, None, "it has been killed");
        let second = fleet.controller(&plan, &["--deaf"]);
        let code = fleet.ended(second, 60);
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
    assert!(killed >= 12, "only {killed} records");
}

/// A controller that is stopped in mid-stage says nothing more: nodes go back by themselves. Another takes over and is
/// through; the first, when it goes on, is told that it leads no longer.
#[test]
fn two_controllers() {
    let mut fleet = Fleet::new(2);
    let (before, _) = fleet.versions("settings");
    let plan = fleet.settings_plan("first", PAIR, harmless);
    let first = fleet.controller(&plan, &["--deaf"]);
    wait_until("something is on trial", || !fleet.tried().is_empty());
    send_signal(&fleet.controllers[first], "-STOP");
    let other =
        fleet.settings_plan("second", PAIR, |settings| settings["profiles"][0]["payoff"] = 7.0.into());
    let second = fleet.controller(&other, &["--deaf"]);
    assert_eq!(fleet.ended(second, 10), Some(3), "a change is on trial");
    wait_until("they go back by themselves", || fleet.versions("settings") == (before.clone(), false));
    let second = fleet.controller(&other, &["--deaf", "--take-over"]);
    wait_until("the second's is on trial", || !fleet.tried().is_empty());
    send_signal(&fleet.controllers[first], "-CONT");
    assert_eq!(fleet.ended(first, 10), Some(3), "{}", fleet.log());
    assert_eq!(fleet.ended(second, 60), Some(0), "{}", fleet.log());
    let file = std::fs::read(fleet.nodes[1].folder.join("config.json")).expect("a file");
    let file: Value = serde_json::from_slice(&file).expect("JSON");
    assert_eq!(file["settings"]["profiles"][0]["payoff"], 7.0);
}

/// A rule that is loosened is so only when all else holds everywhere: until then both versions keep to the stricter.
#[test]
fn a_rule_is_loosened_last() {
    let mut fleet = Fleet::new(2);
    let plan = fleet.settings_plan("loose", &format!("loosening = true\n{PAIR}"), |settings| {
        harmless(settings);
        settings["limits"]["mostLaunches"] = 6.into();
    });
    let controller = fleet.controller(&plan, &["--deaf"]);
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
    assert_eq!(fleet.ended(controller, 1), Some(0), "{}", fleet.log());
    let has = |settings: &Value| {
        settings["limits"]["mostLaunches"] == 6 && settings["profiles"][0]["payoff"] == 1.5
    };
    assert!(fleet.nodes.iter().map(settings).all(|settings| has(&settings)), "{}", fleet.log());
    assert!(fleet.log().contains("leg 1"), "{}", fleet.log());
}

/// What stands against a plan is found before anything is changed: a node that is not there, settings that are no settings, a
/// rule that is loosened without a word.
#[test]
fn what_stands_against_a_plan() {
    let mut fleet = Fleet::new(2);
    let (before, _) = fleet.versions("settings");
    let loose = |settings: &mut Value| settings["limits"]["mostLaunches"] = 6.into();
    let broken = |settings: &mut Value| settings["limits"]["mostLaunches"] = "six".into();
    type Change = fn(&mut Value);
    let cases: [(&str, Change, &str); 2] =
        [("loose", loose, "loosens a rule"), ("broken", broken, "mostLaunches")];
    for (name, change, why) in cases {
        let plan = fleet.settings_plan(name, PAIR, change);
        let controller = fleet.controller(&plan, &[]);
        assert_eq!(fleet.ended(controller, 10), Some(3));
        assert!(fleet.log().contains(why), "{name}: {}", fleet.log());
    }
    let plan = fleet.program_plan("words", "", PAIR);
    let text = std::fs::read_to_string(&plan).expect("a plan");
    let lines = text.lines().map(|line| {
        if line.starts_with("words = ") {
            "words = [\"echo\", \"handover 9\"]"
        } else {
            line
        }
    });
    std::fs::write(&plan, lines.collect::<Vec<_>>().join("\n")).expect("a plan");
    let controller = fleet.controller(&plan, &[]);
    assert_eq!(fleet.ended(controller, 10), Some(3));
    assert!(fleet.log().contains("n0 speaks other words than the new program"), "{}", fleet.log());
    let plan = fleet.settings_plan("gone", PAIR, harmless);
    fleet.kill(1);
    let controller = fleet.controller(&plan, &[]);
    assert_eq!(fleet.ended(controller, 10), Some(3));
    assert!(fleet.log().contains("n1: nobody listens"), "{}", fleet.log());
    fleet.start(1);
    wait_until_ready(fleet.nodes[1].admins[0]);
    assert_eq!(fleet.versions("settings"), (before, false));
}

/// A node that does not answer holds it, and when it does it goes on; a changed node that dies takes it back at once, and
/// starts with the former.
#[test]
fn nodes_that_are_lost() {
    let mut fleet = Fleet::new(4);
    let load = fleet.load(&[0, 1], 10);
    let (before, _) = fleet.versions("settings");
    let plan = fleet.settings_plan("lost", "", harmless);
    let controller = fleet.controller(&plan, &[]);
    wait_until("the first is changed", || fleet.tried() == [0]);
    send_signal(fleet.nodes[3].child.as_ref().expect("it runs"), "-STOP");
    wait_until("it holds", || fleet.log().contains("holds: missing: n3"));
    sleep(Duration::from_secs(3));
    assert_eq!(fleet.tried(), [0], "nothing more is changed, and what is on trial is kept");
    send_signal(fleet.nodes[3].child.as_ref().expect("it runs"), "-CONT");
    wait_until("it goes on", || fleet.log().contains("goes on"));
    let busiest = 0;
    load.over.store(true, SeqCst);
    fleet.kill(busiest);
    assert_eq!(fleet.ended_with_start(controller, busiest), Some(2), "{}", fleet.log());
    assert!(fleet.log().contains("n0 is gone after its change"), "{}", fleet.log());
    assert_eq!(fleet.versions("settings"), (before, false));
}

impl Fleet {
    /// The same, where a node is started again meanwhile, as a supervisor does.
    fn ended_with_start(&mut self, controller: usize, node: usize) -> Option<i32> {
        wait_until("it goes back", || self.log().contains("GOES BACK"));
        self.start(node);
        self.ended(controller, 30)
    }

    /// A plan for another program, with the variables that its start has beside a node's own.
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

/// While the ways of all nodes to half of the backends are broken all suffer alike: it is not the change, and when that is
/// over the change is through.
#[test]
fn an_outage_in_mid_stage() {
    let mut fleet = Fleet::new(4);
    let load = fleet.load(&[0, 1, 2, 3], 10);
    let plan = fleet.settings_plan("outage", "", harmless);
    let controller = fleet.controller(&plan, &[]);
    wait_until("the first is changed", || fleet.tried() == [0]);
    sleep(Duration::from_secs(2));
    let broken = Impairment { resets_connections: true, ..Impairment::default() };
    for node in 0..4 {
        (0..3).for_each(|b| {
            fleet.links.set_impairment_both_ways(&format!("n{node}"), &format!("b{b}"), broken)
        });
    }
    sleep(Duration::from_secs(4));
    fleet.links.heal();
    assert_eq!(fleet.ended(controller, 120), Some(0), "{}", fleet.log());
    load.over.store(true, SeqCst);
}

/// Harm that shows in one site alone is found in the stage that reaches that site; the other site's node was no worse.
#[test]
fn worse_in_one_site() {
    let mut fleet = Fleet::new(6);
    let load = fleet.load(&[0, 1, 2, 3, 4, 5], 12);
    let plan = fleet.settings_plan("site", "", harmless);
    let controller = fleet.controller(&plan, &[]);
    let start = Instant::now();
    let mut tried = BTreeSet::new();
    while fleet.controllers[controller].try_wait().expect("a process").is_none() {
        assert!(start.elapsed() < Duration::from_secs(120), "{}", fleet.log());
        let now = fleet.tried();
        for node in [1, 3, 5] {
            let law = if now.contains(&node) { SLOW } else { Impairment::default() };
            (0..4).for_each(|b| fleet.links.set_impairment(&format!("b{b}"), &format!("n{node}"), law));
        }
        tried.extend(now);
        sleep(Duration::from_millis(100));
    }
    assert_eq!(fleet.ended(controller, 1), Some(2), "{}", fleet.log());
    assert_eq!(tried, BTreeSet::from([0, 1]), "{}", fleet.log());
    assert!(fleet.log().contains("stage 1 has passed by its figures"), "{}", fleet.log());
    load.over.store(true, SeqCst);
}

/// A node whose settings it would not take, where nobody has asked it before, and one that is stopped when all go back: the
/// others go back at once, and that one by itself as soon as it can.
#[test]
fn going_back_with_one_that_cannot() {
    let mut fleet = Fleet::new(3);
    let (before, _) = fleet.versions("settings");
    // The last node is of a site that the new settings do not have.
    let file = fleet.nodes[2].folder.join("config.json");
    let mut config: Value = serde_json::from_slice(&std::fs::read(&file).expect("a file")).expect("JSON");
    config["settings"]["zones"] = json!(["here", "there", "elsewhere"]);
    config["settings"]["zone"] = 2.into();
    std::fs::write(&file, config.to_string()).expect("a file");
    let plan = fleet.settings_plan("cannot", "stages = [\"1 node\", \"2 nodes\", \"100%\"]\nmost_out = 1\n[seconds]\nsettle = 0.0\nwatch = 1.0\nlongest = 30.0\nword = 6.0\nsilent = 1.5\ncommand = 5.0\n", harmless);
    let controller = fleet.controller(&plan, &["--deaf"]);
    wait_until("two are changed", || fleet.tried() == [0, 1]);
    send_signal(fleet.nodes[1].child.as_ref().expect("it runs"), "-STOP");
    let order = Command::new(env!("CARGO_BIN_EXE_yarrowfront-rollout"))
        .arg("back")
        .arg(&plan)
        .output()
        .expect("an order");
    assert!(order.status.success(), "{order:?}");
    wait_until("the first is back", || fleet.tried().is_empty());
    assert!(fleet.controllers[controller].try_wait().expect("a process").is_none(), "one is not back yet");
    send_signal(fleet.nodes[1].child.as_ref().expect("it runs"), "-CONT");
    assert_eq!(fleet.ended(controller, 30), Some(2), "{}", fleet.log());
    assert_eq!(fleet.versions("settings"), (before, false));
    // Started again the last one goes by other settings than the rest, and is asked by nobody: it refuses.
    fleet.kill(2);
    fleet.start(2);
    wait_until_ready(fleet.nodes[2].admins[0]);
    let plan = fleet.settings_plan("refused", PAIR, harmless);
    let controller = fleet.controller(&plan, &["--deaf", "--take-over"]);
    sleep(Duration::from_secs(3));
    let log = fleet.log();
    assert!(log.contains("HOLDS AND ASKS: n2 has neither the former nor the new"), "{log}");
    assert_eq!(fleet.tried(), [0; 0], "nothing is changed while a node has something else");
    let _ = fleet.controllers[controller].kill();
}

/// Another program takes over at each of three nodes from the one before, and clients lose no command.
#[test]
fn another_program() {
    let mut fleet = Fleet::new(3);
    let load = fleet.load(&[0, 1, 2], 10);
    let plan = fleet.program_plan("program", "", "");
    let controller = fleet.controller(&plan, &[]);
    assert_eq!(fleet.ended(controller, 120), Some(0), "{}", fleet.log());
    assert_eq!(fleet.versions("build"), (BTreeSet::from(["0.1.0+two".to_owned()]), false));
    fleet.served(load, 98.0);
}

/// Programs that serve, and worse: with errors, slow after some seconds, with errors or turn-backs for one profile alone.
/// Each is stopped with no more than one node of each site changed, what may run once ran once, and the former serves everywhere.
#[test]
fn programs_that_do_worse() {
    let play = |fault: Worse| {
        let mut fleet = Fleet::new(4);
        let load = fleet.load(&[0, 1, 2, 3], 12);
        let plan = fleet.program_plan(&format!("{fault:?}").to_lowercase(), "", "");
        let controller = fleet.controller(&plan, &[]);
        let (start, mut since) = (Instant::now(), [None; 4]);
        while fleet.controllers[controller].try_wait().expect("a process").is_none() {
            assert!(start.elapsed() < Duration::from_secs(120), "{fault:?}: {}", fleet.log());
            for (node, since) in since.iter_mut().enumerate() {
                let new = fleet.told(node).is_some_and(|told| told["build"] == "0.1.0+two");
                *since = if new { since.or(Some(Instant::now())) } else { None };
                let worse =
                    since.is_some_and(|at| fault != Worse::Slows || at.elapsed() > Duration::from_secs(4));
                fleet.worse.lock().expect("faults")[node] = worse.then_some(fault);
            }
            sleep(Duration::from_millis(100));
        }
        assert_eq!(fleet.ended(controller, 1), Some(2), "{fault:?}: {}", fleet.log());
        let log = fleet.log();
        assert!(log.contains("GOES BACK") && !log.contains("stage 2 has passed"), "{fault:?}: {log}");
        assert_eq!(fleet.versions("build"), (BTreeSet::from(["0.1.0+one".to_owned()]), false), "{fault:?}");
        // The worst that a stage of two nodes of four can do.
        fleet.served(load, 40.0);
    };
    std::thread::scope(|scope| {
        for fault in [Worse::Errors, Worse::Slows, Worse::OneProfile, Worse::TurnsBack] {
            scope.spawn(move || play(fault));
        }
    });
}

/// A program that ends at once, one that hangs before it is ready, and one that leaks: each is stopped in the first stage,
/// and the former serves everywhere.
#[test]
fn programs_that_are_no_good() {
    for (fault, why) in
        [("ends", "ends at once"), ("hangs", "not ready within"), ("leaks", "memory has grown")]
    {
        let mut fleet = Fleet::new(2);
        let load = fleet.load(&[0, 1], 15);
        let more = SOON.replace("command = 8.0", "command = 2.0").replace("watch = 2.0", "watch = 20.0");
        let plan = fleet.program_plan(fault, &format!(", \"ROUTER_FAULT={fault}\""), &more);
        let controller = fleet.controller(&plan, &[]);
        assert_eq!(fleet.ended(controller, 60), Some(2), "{fault}: {}", fleet.log());
        assert!(fleet.log().contains(why), "{fault}: {}", fleet.log());
        assert_eq!(fleet.versions("build"), (BTreeSet::from(["0.1.0+one".to_owned()]), false), "{fault}");
        fleet.served(load, 97.0);
    }
}
