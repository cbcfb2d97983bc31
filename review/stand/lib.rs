//! What the cases share: the node as a process, stand-ins for backends, discovery and clients on loopback, and the
//! record. Standard library only.

use std::fs::{self, File};
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

/// The file `record.txt` of a case: one line for each thing that was sent, answered or run, with the time since the
/// start.
#[derive(Clone)]
pub struct Record {
    started: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn create(path: &Path) -> Record {
        let file = File::create(path).expect("record.txt can be written");
        Record { started: Instant::now(), file: Arc::new(Mutex::new(file)) }
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let at = self.started.elapsed();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{:>5}.{:03} {}", at.as_secs(), at.subsec_millis(), text.as_ref());
    }
}

/// What ends a case: 0 the rule held, 1 it was broken, 2 the case could not run.
pub enum End {
    Held,
    Broken,
    CouldNotRun,
}

/// Runs a case and exits with its code. After `limit` the case could not run. `body` owns the processes that it
/// starts, and they are ended before the exit.
pub fn run_case(limit: Duration, body: impl FnOnce(&Setting) -> io::Result<End>) -> ! {
    let setting = Setting::read();
    let watchdog = setting.record.clone();
    let children = setting.children.clone();
    spawn(move || {
        sleep(limit);
        watchdog.line("the time of the case is over: it could not run");
        end_all(&children);
        std::process::exit(2);
    });
    let end = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| body(&setting)));
    end_all(&setting.children);
    setting.copy_logs();
    let _ = fs::remove_dir_all(&setting.temp);
    let (code, text) = match end {
        Ok(Ok(End::Held)) => (0, "the rule held".to_owned()),
        Ok(Ok(End::Broken)) => (1, "the rule was broken".to_owned()),
        Ok(Ok(End::CouldNotRun)) => (2, "the case could not run".to_owned()),
        Ok(Err(error)) => (2, format!("the case could not run: {error}")),
        Err(_) => (2, "the case could not run: its driver failed".to_owned()),
    };
    setting.record.line(format!("end: {text}"));
    println!("{text}");
    std::process::exit(code);
}

type Children = Arc<Mutex<Vec<u32>>>;

fn end_all(children: &Children) {
    for id in children.lock().unwrap().drain(..) {
        signal(id, "KILL");
    }
}

/// Sends a signal to a process that this case started.
pub fn signal(id: u32, name: &str) {
    let _ =
        Command::new("/bin/sh").args(["-c", &format!("kill -{name} {id}")]).stderr(Stdio::null()).status();
}

/// Where the case runs, and whether with its disruption.
pub struct Setting {
    pub root: PathBuf,
    pub temp: PathBuf,
    pub record: Record,
    pub trouble: bool,
    children: Children,
    logs: Mutex<Vec<PathBuf>>,
}

impl Setting {
    /// `run.sh` gives the project's root, the case's folder and a temporary folder as arguments.
    fn read() -> Setting {
        let arguments: Vec<PathBuf> = std::env::args().skip(1).map(PathBuf::from).collect();
        let [root, folder, temp] = &arguments[..] else {
            eprintln!("usage: case ROOT FOLDER TEMP");
            std::process::exit(2);
        };
        let record = Record::create(&folder.join("record.txt"));
        let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
        record.line(format!("trouble: {}", if trouble { "on" } else { "off" }));
        Setting {
            root: root.clone(),
            temp: temp.clone(),
            record,
            trouble,
            children: Children::default(),
            logs: Mutex::default(),
        }
    }

    fn copy_logs(&self) {
        for log in self.logs.lock().unwrap().iter() {
            for line in fs::read_to_string(log).unwrap_or_default().lines() {
                self.record.line(format!("log of the node: {line}"));
            }
        }
    }

    /// Starts this program once more with these arguments, as a helper of the case. It is ended with the case.
    pub fn start_helper(&self, arguments: &[String]) -> io::Result<Child> {
        let child = Command::new(std::env::current_exe()?).args(arguments).stdin(Stdio::null()).spawn()?;
        self.children.lock().unwrap().push(child.id());
        Ok(child)
    }

    /// Starts a node with the `run` command of the deploy file, and waits until it is ready.
    pub fn start_node(&self, name: &str, config: &str, listen: SocketAddr) -> io::Result<Node> {
        let deploy = fs::read_to_string(self.root.join("deploy/balancer.toml"))?;
        let run = deploy
            .lines()
            .find_map(|line| line.strip_prefix("run = \""))
            .and_then(|rest| rest.split('"').next());
        let run = run.ok_or_else(|| io::Error::other("deploy/balancer.toml has no run"))?;
        let path = self.temp.join(format!("{name}.json"));
        fs::write(&path, config)?;
        let private = self.temp.join(format!("{name}.tmp"));
        fs::create_dir_all(&private)?;
        let log = self.temp.join(format!("{name}.log"));
        let child = Command::new("/bin/sh")
            .args(["-c", run])
            .current_dir(&self.root)
            .env("ROUTER_CONFIG", &path)
            .env("TMPDIR", &private)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(File::create(&log)?)
            .spawn()?;
        self.children.lock().unwrap().push(child.id());
        self.logs.lock().unwrap().push(log);
        self.record.line(format!("node {name}: started with {run:?} at {listen}"));
        let mut node = Node { child, listen };
        let deadline = Instant::now() + Duration::from_secs(20);
        while Instant::now() < deadline {
            if node.has_ended() {
                return Err(io::Error::other("the node ended at its start"));
            }
            if node.is_up() {
                self.record.line(format!("node {name}: ready"));
                return Ok(node);
            }
            sleep(Duration::from_millis(50));
        }
        Err(io::Error::other("the node was not ready within 20 s"))
    }
}

/// A node process. `run_case` ends it.
pub struct Node {
    child: Child,
    pub listen: SocketAddr,
}

impl Node {
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    pub fn has_ended(&mut self) -> bool {
        !matches!(self.child.try_wait(), Ok(None))
    }

    fn is_up(&self) -> bool {
        let Ok(mut stream) = TcpStream::connect(self.listen) else { return false };
        let _ = stream.set_read_timeout(Some(Duration::from_secs(1)));
        let asked = stream.write_all(b"GET /up HTTP/1.1\r\nHost: origin.svc\r\nConnection: close\r\n\r\n");
        asked.is_ok() && Reader::new(stream).read().is_ok_and(|m| m.is_some_and(|m| m.status() == 200))
    }
}

/// An address on loopback with a port that is free now.
pub fn free_address() -> io::Result<SocketAddr> {
    TcpListener::bind("127.0.0.1:0")?.local_addr()
}

/// An HTTP/1.1 message as it was read; header names in lower case.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub start: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> &str {
        self.headers.iter().find(|(n, _)| n == name).map_or("", |(_, value)| value)
    }

    pub fn status(&self) -> u16 {
        self.start.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0)
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).trim_end().to_owned()
    }
}

/// Reads messages from a connection, one after another.
pub struct Reader {
    pub stream: TcpStream,
    bytes: Vec<u8>,
}

impl Reader {
    pub fn new(stream: TcpStream) -> Reader {
        Reader { stream, bytes: Vec::new() }
    }

    /// Whether bytes behind the last message are here.
    pub fn has_more(&mut self) -> bool {
        if !self.bytes.is_empty() {
            return true;
        }
        let _ = self.stream.set_nonblocking(true);
        let mut byte = [0];
        let found = matches!(self.stream.peek(&mut byte), Ok(1));
        let _ = self.stream.set_nonblocking(false);
        found
    }

    fn fill(&mut self) -> io::Result<bool> {
        let mut buffer = [0; 16384];
        let count = self.stream.read(&mut buffer)?;
        self.bytes.extend_from_slice(&buffer[..count]);
        Ok(count > 0)
    }

    fn line(&mut self) -> io::Result<Option<String>> {
        loop {
            if let Some(end) = self.bytes.iter().position(|&byte| byte == b'\n') {
                let line: Vec<u8> = self.bytes.drain(..=end).collect();
                return Ok(Some(String::from_utf8_lossy(&line).trim_end().to_owned()));
            }
            if !self.fill()? {
                return Ok(None);
            }
        }
    }

    fn exactly(&mut self, count: usize) -> io::Result<Vec<u8>> {
        while self.bytes.len() < count {
            if !self.fill()? {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        Ok(self.bytes.drain(..count).collect())
    }

    /// The head of the next message; `None` if the connection has ended between two messages.
    pub fn read_head(&mut self) -> io::Result<Option<Message>> {
        let Some(start) = self.line()? else { return Ok(None) };
        let mut message = Message { start, ..Message::default() };
        loop {
            let Some(line) = self.line()? else { return Err(io::ErrorKind::UnexpectedEof.into()) };
            if line.is_empty() {
                return Ok(Some(message));
            }
            if let Some((name, value)) = line.split_once(':') {
                message.headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
            }
        }
    }

    /// The body behind a head.
    pub fn read_body(&mut self, head: &Message) -> io::Result<Vec<u8>> {
        if !head.header("transfer-encoding").eq_ignore_ascii_case("chunked") {
            return self.exactly(head.header("content-length").parse().unwrap_or(0));
        }
        let mut body = Vec::new();
        loop {
            let size = self.line()?.unwrap_or_default();
            let size = usize::from_str_radix(size.trim(), 16).map_err(io::Error::other)?;
            body.extend_from_slice(&self.exactly(size + 2)?[..size]);
            if size == 0 {
                return Ok(body);
            }
        }
    }

    /// The next message with its body; `None` if the connection has ended between two messages.
    pub fn read(&mut self) -> io::Result<Option<Message>> {
        let Some(mut message) = self.read_head()? else { return Ok(None) };
        message.body = self.read_body(&message)?;
        Ok(Some(message))
    }
}

/// A 200 answer with this body.
pub fn answer(body: &str) -> Vec<u8> {
    format!("HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: {}\r\n\r\n{body}", body.len())
        .into_bytes()
}

/// Starts a stand-in for a backend. `serve` is called in a thread of its own for each connection.
pub fn start_backend(serve: impl Fn(Reader) + Clone + Send + 'static) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    spawn(move || {
        for stream in listener.incoming().flatten() {
            let _ = stream.set_nodelay(true);
            let serve = serve.clone();
            spawn(move || serve(Reader::new(stream)));
        }
    });
    Ok(address)
}

/// A backend on discovery's list.
pub struct Listed {
    pub name: &'static str,
    pub address: SocketAddr,
    /// `a` is the node's own.
    pub zone: &'static str,
    pub group: u32,
    pub status: &'static str,
}

/// A message of discovery, on one line.
pub fn list_message(index: u64, snapshot: bool, backends: &[Listed]) -> String {
    let entries: Vec<String> = backends
        .iter()
        .map(|b| {
            format!(
                r#"{{"name":"{}","address":"{}","zone":"{}","type":"m","group":{},"status":"{}","weight":1.0,"since_ms":0}}"#,
                b.name, b.address, b.zone, b.group, b.status
            )
        })
        .collect();
    format!(r#"{{"index":{index},"snapshot":{snapshot},"endpoints":[{}]}}"#, entries.join(","))
}

/// Starts a stand-in for discovery that gives this list to each call, holds the watch open and beats every 2 s.
pub fn start_discovery(list: String) -> io::Result<SocketAddr> {
    start_backend(move |mut reader| {
        while let Ok(Some(request)) = reader.read() {
            if !request.start.contains("stream=1") {
                let _ = reader.stream.write_all(&answer(&list));
                continue;
            }
            let head =
                "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n";
            let mut line = list.clone();
            let mut chunk = head.to_owned();
            loop {
                chunk += &format!("{:x}\r\n{line}\n\r\n", line.len() + 1);
                if reader.stream.write_all(chunk.as_bytes()).is_err() {
                    return;
                }
                sleep(Duration::from_secs(2));
                (chunk, line) = (String::new(), String::new());
            }
        }
    })
}

/// The configuration of a small deployment: one node, the classes and limits of a package registry. `profiles` and
/// `limits` are JSON that goes into it as it is.
pub fn config(
    listen: SocketAddr,
    discovery: SocketAddr,
    known: &str,
    profiles: &str,
    limits: &str,
) -> String {
    format!(
        r#"{{"name":"n1","listen":"{listen}","discovery":"{discovery}","seed":"8c1f30d27a5be964",
"limits":{limits},"known":{known},
"settings":{{"balancers":1,"zone":0,"zones":["a","b"],"flavors":["m"],"discovery":"ask","profiles":{profiles},"tenants":[],
"limits":{{"mostLaunches":3,"cancel":true,"secondCopies":true,"mayProbe":false,"peers":false,"retryAfter":true,
"maxRetryAfter":2000000000,"dialTimeout":200000000,"connIdle":30000000000}},
"report":{{"how":"silent","names":[]}},"penalties":{{"probe":0.002}},
"guarantees":{{"startCapacity":0.3,"warmWithin":8500000000,"tipMultiple":4.0,"fall":2000000000,
"drainGrace":500000000,"askWithin":10000000000}}}}}}"#
    )
}

/// Limits of a node in a small deployment.
pub const SMALL: &str = r#"{"cores":1.0,"memory_mb":192,"sockets":1024}"#;
