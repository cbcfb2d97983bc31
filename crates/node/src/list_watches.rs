//! The calls to discovery for the list, and the watches that they open.
//!
//! Discovery works through calls in turn, also through those that were given up. So when it moves, a call that waits at its
//! former address is waited for before the present one is called, and a watch there goes on until the present one has
//! answered: no call is made that tells nobody anything, and no node asks twice before others have been answered once.

use crate::desk::Desk;
use crate::limits::Limits;
use crate::list::Lister;
use crate::list_age::ListAge;
use crate::log::note;
use crate::message_reader::MessageReader;
use crate::transport::Transport;
use bytes::Bytes;
use http_body_util::{BodyExt, Empty};
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::{HeaderValue, HOST};
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use serde_json::Value;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{mpsc, watch, Notify};
use tokio::task::{AbortHandle, JoinSet};
use tokio::time::{sleep_until, timeout, timeout_at, Instant};
use yarrowfront::decide::ListUpdateKind;
use yarrowfront::times::Timestamp;

/// From a failed call at the present address to the next one, while a watch at a former address is still open.
const RETRY_BESIDE_FORMER: Duration = Duration::from_millis(1000);
/// A call at a former address is waited for no longer than the protocol has that address serve after a move.
const FORMER_SERVES_FOR: Duration = Duration::from_millis(1500);

/// Calls are numbered as they are made.
type CallNumber = u64;

/// How a call or its watch ends.
enum End {
    /// No message has come for longer than its beats are apart, since then.
    Silent(Timestamp),
    Failed(String),
}

impl From<String> for End {
    fn from(why: String) -> End {
        End::Failed(why)
    }
}

impl From<&str> for End {
    fn from(why: &str) -> End {
        End::Failed(why.to_owned())
    }
}

/// All calls and watches of one process.
pub struct Watches {
    lister: Lister,
    desk: Rc<Desk>,
    limits: Rc<Limits>,
    age: RefCell<ListAge>,
    /// Discovery's address, as the configuration has it, and the address of the newest call.
    present: Cell<SocketAddr>,
    called: Cell<Option<SocketAddr>>,
    newest: Cell<CallNumber>,
    /// The highest number of those that have been answered.
    answered: Cell<CallNumber>,
    answer: Notify,
}

/// The calls and watches that are open, in the loop that owns them.
#[derive(Default)]
struct Open {
    tasks: JoinSet<(CallNumber, End)>,
    handles: BTreeMap<CallNumber, AbortHandle>,
    /// When to call again beside what is open.
    call_at: Option<Instant>,
}

impl Watches {
    pub fn new(lister: Lister, desk: Rc<Desk>, limits: Rc<Limits>, discovery: SocketAddr) -> Rc<Watches> {
        let present = Cell::new(discovery);
        let (age, called, newest, answered, answer) = Default::default();
        Rc::new(Watches { lister, desk, limits, age, present, called, newest, answered, answer })
    }

    /// Calls whenever the module wants the list followed or discovery has moved, and tells the module how that ends.
    pub async fn run(
        self: Rc<Self>,
        mut wanted: mpsc::UnboundedReceiver<()>,
        mut discovery: watch::Receiver<SocketAddr>,
    ) {
        let mut open = Open::default();
        loop {
            let call_at = open.call_at;
            tokio::select! {
                wanted = wanted.recv() => match wanted {
                    None => return,
                    Some(()) if open.handles.contains_key(&self.newest.get()) => {}
                    Some(()) => self.call(&mut open),
                },
                Ok(()) = discovery.changed() => {
                    self.present.set(*discovery.borrow_and_update());
                    self.moved(&mut open);
                }
                () = sleep_until(call_at.unwrap_or_else(Instant::now)), if call_at.is_some() => self.call(&mut open),
                () = self.answer.notified() => {
                    open.close_before(self.answered.get());
                    if self.call_is_due_elsewhere() {
                        self.call(&mut open);
                    }
                }
                Some(task) = open.tasks.join_next(), if !open.tasks.is_empty() => {
                    // One that was closed here, as a later one has been answered, owes nothing.
                    if let Ok((call, end)) = task {
                        self.ended(&mut open, call, end);
                    }
                }
            }
        }
    }

    /// Discovery has moved: calls it there, at once unless a call still waits for its answer.
    fn moved(self: &Rc<Self>, open: &mut Open) {
        self.change_age(|age, now| age.discovery_moved(now));
        let waits = open.handles.contains_key(&self.newest.get()) && self.newest.get() > self.answered.get();
        if !waits {
            self.call(open);
        } else if self.call_is_due_elsewhere() {
            open.call_at.get_or_insert(Instant::now() + FORMER_SERVES_FOR);
        }
    }

    /// Whether the newest call was made at an address where discovery is no longer.
    fn call_is_due_elsewhere(&self) -> bool {
        self.called.get() != Some(self.present.get())
    }

    /// Calls discovery at its present address.
    fn call(self: &Rc<Self>, open: &mut Open) {
        let (address, watches, call) = (self.present.get(), self.clone(), self.newest.get() + 1);
        self.newest.set(call);
        self.called.set(Some(address));
        open.call_at = None;
        let task = async move { (call, watches.watch(call, address).await) };
        open.handles.insert(call, open.tasks.spawn_local(task));
    }

    fn ended(self: &Rc<Self>, open: &mut Open, call: CallNumber, end: End) {
        open.close_before(self.answered.get());
        if open.handles.remove(&call).is_none() {
            return;
        }
        let (newest, elsewhere) = (call == self.newest.get(), self.call_is_due_elsewhere());
        let was_answered = call == self.answered.get();
        let kind = match &end {
            End::Silent(_) => ListUpdateKind::Silent,
            End::Failed(_) => ListUpdateKind::Failed,
        };
        match end {
            End::Silent(since) => {
                note!("list: the watch has ended: no line for a beat and a half");
                self.change_age(|age, _| age.watch_silent(since));
            }
            End::Failed(why) => {
                note!("list: the watch has ended: {why}");
                if was_answered {
                    self.change_age(|age, now| age.watch_ended(now));
                } else if newest && !elsewhere {
                    self.change_age(|age, _| age.call_failed());
                }
            }
        }
        if newest && elsewhere {
            self.call(open);
        } else if open.handles.is_empty() {
            open.call_at = None;
            self.desk.list(kind, &[]);
        } else if newest {
            open.call_at = Some(Instant::now() + RETRY_BESIDE_FORMER);
        }
    }

    fn change_age(&self, change: impl FnOnce(&mut ListAge, Timestamp)) {
        let binds = {
            let mut age = self.age.borrow_mut();
            change(&mut age, self.desk.clock.now());
            age.binds_from()
        };
        self.desk.list_binds_from(binds);
    }

    async fn watch(&self, call: CallNumber, discovery: SocketAddr) -> End {
        match self.connect_and_read(call, discovery).await {
            Ok(()) => "closed by discovery".into(),
            Err(end) => end,
        }
    }

    async fn connect_and_read(&self, call: CallNumber, discovery: SocketAddr) -> Result<(), End> {
        let stream = timeout(self.limits.dial.get(), Transport::connect(discovery)).await;
        let stream = stream.map_err(|_| "no connection in time")?.map_err(|e| e.to_string())?;
        let (mut sender, connection) =
            http1::handshake(TokioIo::new(stream)).await.map_err(|e| e.to_string())?;
        let driver = async {
            let _ = connection.await;
            // The reader below finds out by itself, and may still have lines to read.
            std::future::pending::<()>().await;
        };
        tokio::select! {
            () = driver => Ok(()),
            end = self.read(call, discovery, &mut sender) => end,
        }
    }

    async fn read(
        &self,
        call: CallNumber,
        discovery: SocketAddr,
        sender: &mut SendRequest<Empty<Bytes>>,
    ) -> Result<(), End> {
        let request = self.request(discovery)?;
        let asked = Instant::now();
        note!("list: asks {discovery} for what has changed since version {}", self.lister.index());
        let mut beat = asked + self.limits.call_wait;
        let response = timeout_at(beat, sender.send_request(request)).await;
        let response = response.map_err(|_| "no answer in time")?.map_err(|e| e.to_string())?;
        if response.status() != StatusCode::OK {
            return Err(format!("answered {}", response.status()).into());
        }
        note!("list: {discovery} accepts the watch after {} ms", asked.elapsed().as_millis());
        let (mut body, mut reader, mut heard) = (response.into_body(), MessageReader::default(), None);
        loop {
            // A cut network says nothing at all: silence is the only sign.
            let frame = timeout_at(beat, body.frame()).await;
            let frame = frame.map_err(|_| heard.map_or_else(|| "no line in time".into(), End::Silent))?;
            let frame = frame.ok_or("closed by discovery")?.map_err(|e| e.to_string())?;
            reader.push(frame.data_ref().map_or(&[][..], |d| d));
            // Part of a message proves nothing: whoever is cut off in it has fallen silent.
            while let Some(message) = reader.next() {
                beat = Instant::now() + self.limits.beat_wait;
                self.take(message.trim_ascii(), heard.is_none());
                if heard.is_none() {
                    self.first_message(call, discovery, asked);
                }
                heard = Some(self.desk.clock.now());
            }
            if reader.unfinished() > 0 {
                note!("list: {} bytes of a message are here and its end is not", reader.unfinished());
            }
            if reader.unfinished() > self.limits.line_bytes {
                return Err("a message is too long".into());
            }
        }
    }

    fn request(&self, discovery: SocketAddr) -> Result<Request<Empty<Bytes>>, End> {
        let mut request = Request::new(Empty::new());
        let path = format!("/discovery/hosts?stream=1&index={}", self.lister.index());
        *request.uri_mut() = path.parse().map_err(|e| format!("{e}"))?;
        let host = HeaderValue::from_str(&discovery.to_string()).map_err(|e| e.to_string())?;
        request.headers_mut().insert(HOST, host);
        Ok(request)
    }

    /// The call has been answered: whatever was called before it is closed.
    fn first_message(&self, call: CallNumber, discovery: SocketAddr, asked: Instant) {
        let waited = asked.elapsed().as_millis();
        note!("list: version {} is known {waited} ms after the call", self.lister.index());
        self.answered.set(self.answered.get().max(call));
        self.answer.notify_one();
        self.change_age(|age, _| age.answered(self.present.get() == discovery));
    }

    fn take(&self, line: &[u8], first: bool) {
        self.desk.heard_list();
        if line.is_empty() {
            if first {
                // Nothing has changed since the version asked for: that too is an answer.
                self.desk.list(ListUpdateKind::Delta, &[]);
            }
            return;
        }
        let told = serde_json::from_slice::<Value>(line).map_err(|e| e.to_string());
        if let Err(why) = told.and_then(|message| self.lister.told(&message, false)) {
            note!("list: a line is left out: {why}");
        }
    }
}

impl Open {
    /// Closes all that was called before this one.
    fn close_before(&mut self, call: CallNumber) {
        let later = self.handles.split_off(&call);
        for (_, former) in std::mem::replace(&mut self.handles, later) {
            former.abort();
        }
    }
}
