//! A node as a process on loopback sockets, with toy backends and a toy discovery around it.

#[path = "../../../../tests/help/mod.rs"]
mod help;
pub mod shim;

use serde_json::{json, Value};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, ChildStderr, Command, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering::SeqCst};
use std::sync::{mpsc, Arc, Mutex};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

/// A message as it was read: the first line, the headers in lower case, the body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub start_line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n == name).map(|(_, v)| v.as_str())
    }

    pub fn status(&self) -> u16 {
        self.start_line.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
    }
}

/// The next message on a connection; none when it has ended.
pub fn read_message(stream: &mut TcpStream) -> Option<Message> {
    let (mut bytes, mut one) = (Vec::new(), [0]);
    while !bytes.ends_with(b"\r\n\r\n") {
        stream.read_exact(&mut one).ok()?;
        bytes.push(one[0]);
    }
    let text = String::from_utf8_lossy(&bytes).into_owned();
    let mut lines = text.lines();
    let first = lines.next()?.to_owned();
    let head = lines.filter_map(|l| l.split_once(": ").map(|(n, v)| (n.to_lowercase(), v.to_owned())));
    let mut message = Message { start_line: first, headers: head.collect(), body: Vec::new() };
    let length = message.header("content-length").and_then(|l| l.parse().ok());
    if message.header("transfer-encoding") == Some("chunked") {
        message.body = chunks(stream)?;
    } else if let Some(length) = length {
        message.body.resize(length, 0);
        stream.read_exact(&mut message.body).ok()?;
    } else if message.status() == 200 {
        stream.read_to_end(&mut message.body).ok()?;
    }
    Some(message)
}

/// A body by its chunks; none if the last one does not come.
fn chunks(stream: &mut TcpStream) -> Option<Vec<u8>> {
    let mut body = Vec::new();
    loop {
        let (mut size, mut one) = (Vec::new(), [0]);
        while !size.ends_with(b"\r\n") {
            stream.read_exact(&mut one).ok()?;
            size.push(one[0]);
        }
        let text = String::from_utf8_lossy(&size);
        let size = usize::from_str_radix(text.trim().split(';').next()?, 16).ok()?;
        let start = body.len();
        body.resize(start + size + 2, 0);
        stream.read_exact(&mut body[start..]).ok()?;
        body.truncate(start + size);
        if size == 0 {
            return Some(body);
        }
    }
}

/// So many bytes, each of which tells where it stands.
pub fn bytes(count: usize) -> Vec<u8> {
    let mut bytes = (0..251u8).collect::<Vec<_>>().repeat(count / 251 + 1);
    bytes.truncate(count);
    bytes
}

/// What has a watch fall silent, as a cut network does.
pub const SILENCE: &str = "silence";

/// A discovery that tells its watches what it is sent: its channel, its address, and how many watches came.
pub fn start_discovery(own: &str) -> (mpsc::Sender<String>, SocketAddr, Arc<AtomicUsize>) {
    let (list, lines) = mpsc::channel::<String>();
    let watches = Arc::new(AtomicUsize::new(0));
    let (discovery, told) = bind_listener(own);
    let watched = watches.clone();
    spawn(move || {
        let mut silent = Vec::new();
        for mut stream in discovery.incoming().flatten() {
            if read_message(&mut stream).is_none() {
                continue;
            }
            let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n\n\r\n";
            let _ = stream.write_all(head.as_bytes());
            watched.fetch_add(1, SeqCst);
            // With a beat every two seconds, as the protocol has it; an empty text ends the watch.
            loop {
                let line = match lines.recv_timeout(Duration::from_secs(2)) {
                    Ok(line) if line.is_empty() => break,
                    Ok(line) if line == SILENCE => {
                        silent.push(stream);
                        break;
                    }
                    Ok(line) => line,
                    Err(mpsc::RecvTimeoutError::Timeout) => String::new(),
                    Err(mpsc::RecvTimeoutError::Disconnected) => return,
                };
                let chunk = format!("{:x}\r\n{line}\n\r\n", line.len() + 1);
                if stream.write_all(chunk.as_bytes()).is_err() {
                    break;
                }
            }
        }
    });
    (list, told, watches)
}

/// What a backend does with a launch.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum BackendAction {
    Succeed,
    Late,
    Status(u16, &'static str),
    Break,
    HalfAnswer,
    /// A good answer that is larger than the protocol has it.
    Large,
    /// An answer that tells of gigabytes, and goes on.
    Huge,
    /// Answers, and closes the connection without having said so.
    FinishAndClose,
    /// So many bytes, by their length; in chunks cut anywhere, with all that chunks may have; by their end.
    Sized(usize),
    Chunked(usize),
    ByEnd(usize),
    /// So many of them, and then nothing for longer than any command's time, and then the rest.
    Pause(usize),
    /// So many are told, and half of them come.
    Half(usize),
    /// A small answer, byte by byte.
    Trickle,
    /// Just this.
    Text(&'static str),
}

pub const DONE: &str =
    "HTTP/1.1 200 OK\r\nX-Kept: yes\r\nKeep-Alive: timeout=9\r\nContent-Length: 9\r\n\r\nfrom \x01\x02\r\n";

/// What every backend says to a probe.
pub const LOAD_REPORT: &str = r#"{"inflight":0,"queue":0,"util":0.1}"#;

pub fn respond(act: BackendAction, stream: &mut TcpStream) -> bool {
    if act == BackendAction::Late {
        sleep(Duration::from_millis(150));
    }
    if let Some(ok) = long(act, stream) {
        return ok;
    }
    let text = match act {
        BackendAction::Succeed | BackendAction::Late | BackendAction::FinishAndClose => DONE.to_owned(),
        BackendAction::Text(text) => text.to_owned(),
        BackendAction::Status(code, more) => {
            format!("HTTP/1.1 {code} Odd\r\n{more}Content-Length: 0\r\n\r\n")
        }
        BackendAction::Break => String::new(),
        BackendAction::Large => DONE.replace("Length: 9", "Length: 400009") + &"x".repeat(400_000),
        BackendAction::Huge => DONE.replace("Length: 9", "Length: 3221225472"),
        BackendAction::HalfAnswer => DONE[..DONE.len() - 4].to_owned(),
        _ => String::new(),
    };
    stream.write_all(text.as_bytes()).is_ok()
        && !matches!(act, BackendAction::Break | BackendAction::HalfAnswer | BackendAction::FinishAndClose)
}

/// The acts that need more than one text to write.
fn long(act: BackendAction, stream: &mut TcpStream) -> Option<bool> {
    let mut write = |bytes: &[u8]| stream.write_all(bytes).is_ok();
    let head = |more: String| format!("HTTP/1.1 200 OK\r\n{more}\r\n");
    let sized = |count: usize| head(format!("Content-Length: {count}\r\n"));
    let ok = match act {
        BackendAction::Sized(count) => write(sized(count).as_bytes()) && write(&bytes(count)),
        BackendAction::Pause(count) => {
            let (all, first) = (bytes(count), count / 2);
            let started = write(sized(count).as_bytes()) && write(&all[..first]);
            sleep(Duration::from_millis(2500));
            started && write(&all[first..])
        }
        BackendAction::Half(count) => {
            let _ = write(sized(count).as_bytes()) && write(&bytes(count / 2));
            false
        }
        BackendAction::ByEnd(count) => {
            let _ = write(b"HTTP/1.0 200 OK\r\n\r\n") && write(&bytes(count));
            false
        }
        BackendAction::Chunked(count) => {
            let all = bytes(count);
            let mut sent = write(head("Transfer-Encoding: chunked\r\n".to_owned()).as_bytes());
            let mut rest = &all[..];
            for size in [1, 7, 4096, 70_000, 333].into_iter().cycle() {
                let part = rest.split_off(..size.min(rest.len())).unwrap_or_default();
                if part.is_empty() {
                    break;
                }
                let line = format!("{:x};part=\"yes\"\r\n", part.len());
                sent = sent && write(line.as_bytes()) && write(part) && write(b"\r\n");
            }
            sent && write(b"0\r\nX-Trailer: yes\r\n\r\n")
        }
        BackendAction::Trickle => DONE.bytes().all(|byte| {
            sleep(Duration::from_millis(1));
            write(&[byte])
        }),
        _ => return None,
    };
    Some(ok)
}

/// All launches that any backend of a test has read, with the backend's number.
pub type Launches = Arc<Mutex<Vec<(usize, Message)>>>;

pub struct World {
    pub node: Child,
    pub listen: SocketAddr,
    pub launches: Launches,
    pub probes: Arc<Mutex<Vec<Message>>>,
    /// Lines for whoever watches the list.
    pub list: mpsc::Sender<String>,
    pub watches: Arc<AtomicUsize>,
    pub entries: Vec<Value>,
    pub config: Value,
    pub folder: PathBuf,
    pub log: BufReader<ChildStderr>,
}

impl Drop for World {
    fn drop(&mut self) {
        let _ = self.node.kill();
        let _ = self.node.wait();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// Held while a process is started and while a port is let go: between fork and exec a child has all sockets of
/// this one, and a port that is closed meanwhile is still taken when its node comes up.
pub static STARTING: Mutex<()> = Mutex::new(());

pub fn lock_process_start() -> std::sync::MutexGuard<'static, ()> {
    STARTING.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
}

pub static WORLDS: AtomicUsize = AtomicUsize::new(0);

/// A loopback address of its own for each node and its surroundings: ports that are free for a moment only
/// must not be taken by another test.
pub fn unique_loopback_address() -> String {
    let (number, process) = (WORLDS.fetch_add(1, SeqCst), std::process::id());
    format!("127.{}.{}.{}", 16 + process / 250 % 200, 1 + process % 250, 1 + number % 250)
}

pub fn bind_listener(address: &str) -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind((address, 0)).expect("a free port");
    let at = listener.local_addr().expect("its address");
    (listener, at)
}

pub fn default_settings() -> Value {
    let mut settings = help::terms();
    settings["balancers"] = 1.into();
    settings["zones"] = json!(["here"]);
    settings["flavors"] = json!(["small"]);
    let names = ["read", "mark", "pay"];
    let kinds = ["repeatable", "by_key", "once"];
    let profile = |(name, kind): (&&str, &&str)| {
        let mut profile = settings["profiles"][0].clone();
        (profile["name"], profile["idempotency"]) = ((*name).into(), (*kind).into());
        profile
    };
    let profiles: Vec<Value> = names.iter().zip(&kinds).map(profile).collect();
    settings["profiles"] = profiles.into();
    settings["limits"]["dialTimeout"] = 200_000_000.into();
    settings["limits"]["connIdle"] = 30_000_000_000u64.into();
    settings
}

pub fn start(config: &Value, variables: &[(&str, &str)]) -> (Child, PathBuf) {
    let folder = std::env::temp_dir().join(format!("yarrowfront-test-{}", unique_loopback_address()));
    std::fs::create_dir_all(&folder).expect("a folder");
    let file = folder.join("config.json");
    std::fs::write(&file, config.to_string()).expect("a file");
    (start_node_in(&folder, &file, variables), folder)
}

/// Starts a process that has begun to read its start, and reads until that is let go.
pub fn start_held(folder: &Path, variables: &[(&str, &str)]) -> (Child, PathBuf, std::fs::File) {
    let file = folder.join("start");
    assert!(Command::new("mkfifo").arg(&file).status().expect("mkfifo").success());
    let child = start_node_in(folder, &file, variables);
    let told = std::fs::File::options().write(true).open(&file).expect("somebody reads");
    (child, file, told)
}

/// The node, or where another package's tests stand around it that one's.
pub fn node_program() -> &'static str {
    let own = option_env!("CARGO_BIN_EXE_yarrowfront");
    own.or(option_env!("CARGO_BIN_EXE_yarrowfront-tested")).expect("a program")
}

/// Starts a process of the node by that file, in a folder that its processes share.
pub fn start_node_in(folder: &Path, file: &Path, variables: &[(&str, &str)]) -> Child {
    let mut command = Command::new(node_program());
    command.env_clear().env("ROUTER_CONFIG", file).env("TMPDIR", folder).envs(variables.iter().copied());
    command.stderr(Stdio::piped()).stdout(Stdio::null());
    let _alone = lock_process_start();
    command.spawn().expect("the node starts")
}

/// A backend on an address of its own, and its entry on the list.
pub fn backend(
    own: &str,
    number: usize,
    acts: fn(usize) -> BackendAction,
    launches: &Launches,
    probes: &Arc<Mutex<Vec<Message>>>,
) -> Value {
    let (listener, address) = bind_listener(own);
    stand(listener, number, acts, launches, probes);
    entry(&format!("b{number}"), address)
}

/// A backend's entry on the list.
pub fn entry(name: &str, at: SocketAddr) -> Value {
    json!({
        "name": name, "address": at.to_string(), "zone": "here", "type": "small",
        "group": 1, "status": "ready", "weight": 1.0, "since_ms": 0,
    })
}

/// Takes connections there as the backend of that number from now on.
pub fn stand(
    listener: TcpListener,
    number: usize,
    acts: fn(usize) -> BackendAction,
    launches: &Launches,
    probes: &Arc<Mutex<Vec<Message>>>,
) {
    let (launches, probes) = (launches.clone(), probes.clone());
    spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let (launches, probes) = (launches.clone(), probes.clone());
            spawn(move || {
                while let Some(message) = read_message(&mut stream) {
                    if message.start_line.starts_with("GET /metrics/load ") {
                        probes.lock().expect("probes").push(message);
                        let head =
                            format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", LOAD_REPORT.len());
                        let _ = stream.write_all((head + LOAD_REPORT).as_bytes());
                        continue;
                    }
                    let count = {
                        let mut all = launches.lock().expect("launches");
                        all.push((number, message));
                        all.len() - 1
                    };
                    if !respond(acts(count), &mut stream) {
                        break;
                    }
                }
            });
        }
    });
}

impl World {
    /// So many backends, which act by the number of the launch over all of them.
    pub fn new(backends: usize, acts: fn(usize) -> BackendAction, change: fn(&mut Value)) -> World {
        World::with_variables(backends, acts, change, &[])
    }

    /// The same with variables in the node's environment.
    pub fn with_variables(
        backends: usize,
        acts: fn(usize) -> BackendAction,
        change: fn(&mut Value),
        variables: &[(&str, &str)],
    ) -> World {
        let (launches, own): (Launches, String) = (Arc::default(), unique_loopback_address());
        let probes: Arc<Mutex<Vec<Message>>> = Arc::default();
        let mut entries = Vec::new();
        for number in 0..backends {
            entries.push(backend(&own, number, acts, &launches, &probes));
        }
        let (list, told, watches) = start_discovery(&own);
        let listen = {
            let _alone = lock_process_start();
            bind_listener(&own).1
        };
        let mut config = json!({
            "name": "n1", "listen": listen.to_string(), "discovery": told.to_string(),
            "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "known": {"index": 4, "snapshot": true, "endpoints": entries}, "settings": default_settings(),
        });
        change(&mut config);
        let (mut node, folder) = start(&config, variables);
        let mut log = BufReader::new(node.stderr.take().expect("a log"));
        let mut line = String::new();
        log.read_line(&mut line).expect("a line");
        assert!(line.contains("listening on"), "the node does not come up: {line}");
        let world = World { node, listen, launches, probes, list, watches, entries, config, folder, log };
        assert_eq!(world.ask(UP).status(), 200);
        world
    }

    /// The same with a second address, and that address.
    pub fn with_admin(backends: usize, acts: fn(usize) -> BackendAction) -> (World, SocketAddr) {
        let world = World::new(backends, acts, |config| {
            config["admin"] = second_address(config).to_string().into();
        });
        let admin = world.admin();
        (world, admin)
    }

    /// Its second address, where it has one.
    pub fn admin(&self) -> SocketAddr {
        self.config["admin"].as_str().and_then(|a| a.parse().ok()).expect("an address")
    }

    pub fn connect(&self) -> TcpStream {
        dial(self.listen)
    }

    pub fn ask(&self, text: &str) -> Message {
        let mut stream = self.connect();
        stream.write_all(text.as_bytes()).expect("written");
        read_message(&mut stream).unwrap_or_default()
    }

    pub fn command(&self, profile: &str) -> Message {
        self.ask(&command_request(profile, "a body", ""))
    }

    pub fn signal(&self, name: &str) {
        send_signal(&self.node, name);
    }

    /// Puts another text in the place of the configuration and says so; the line that the node writes then.
    pub fn reload(&mut self, text: &str) -> String {
        std::fs::write(self.folder.join("config.json"), text).expect("a file");
        self.signal("-HUP");
        let mut line = String::new();
        while !line.starts_with("reload:") {
            line.clear();
            assert!(self.log.read_line(&mut line).expect("a log") > 0, "the node has ended");
        }
        line
    }

    pub fn launched(&self) -> usize {
        self.launches.lock().expect("launches").len()
    }
}

pub const UP: &str = "GET /up HTTP/1.1\r\nHost: n\r\n\r\n";

pub fn send_signal(node: &Child, name: &str) {
    let pid = node.id().to_string();
    let _alone = lock_process_start();
    assert!(Command::new("kill").args([name, &pid]).status().expect("kill").success());
}

pub fn dial(at: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(at).expect("it listens");
    stream.set_read_timeout(Some(Duration::from_secs(10))).expect("a limit");
    stream.set_nodelay(true).expect("pieces go out as they are");
    stream
}

/// An operator's call: one to a connection.
pub fn call_admin(at: SocketAddr, text: &str) -> Message {
    let mut stream = dial(at);
    stream.write_all(format!("{text} HTTP/1.1\r\nHost: n\r\n\r\n").as_bytes()).expect("written");
    let message = read_message(&mut stream).unwrap_or_default();
    assert_eq!(stream.read(&mut [0]).ok(), Some(0), "one call to a connection: {text}");
    message
}

/// A free place for a second address of this node.
pub fn second_address(config: &Value) -> SocketAddr {
    let _alone = lock_process_start();
    let listen = config["listen"].as_str().expect("an address");
    let own = listen.rsplit_once(':').expect("a port").0;
    // The place that its clients' is to be is free as well until the node has it.
    std::iter::repeat_with(|| bind_listener(own).1).find(|at| at.to_string() != listen).expect("another port")
}

pub fn wait_until(what: &str, mut holds: impl FnMut() -> bool) {
    let start = Instant::now();
    while !holds() {
        assert!(start.elapsed() < Duration::from_secs(20), "waited in vain: {what}");
        sleep(Duration::from_millis(10));
    }
}

pub static COMMANDS: AtomicUsize = AtomicUsize::new(0);

/// A command with an id of its own, as each has.
pub fn command_request(profile: &str, body: &str, more: &str) -> String {
    let id = COMMANDS.fetch_add(1, SeqCst);
    format!(
        "POST /api HTTP/1.1\r\nHost: o\r\nX-Correlation-Id: 9b1f{id}\r\nX-Service-Class: {profile}\r\n\
         X-Time-Left-Ms: 450\r\nIdempotency-Key: 5c0f\r\n{more}Content-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// A command whose client waits for so many milliseconds.
pub fn asked(profile: &str, body: &str, millis: u64) -> String {
    command_request(profile, body, "").replace("Ms: 450", &format!("Ms: {millis}"))
}

/// Waits until a process beside the first says that it has taken over.
pub fn wait_until_ready(admin: SocketAddr) {
    wait_until("the new process is ready", || {
        let Ok(mut stream) = TcpStream::connect(admin) else { return false };
        let asked = stream.write_all(b"GET /healthcheck HTTP/1.1\r\nHost: n\r\n\r\n");
        asked.is_ok() && read_message(&mut stream).is_some_and(|m| m.status() == 200)
    });
}
