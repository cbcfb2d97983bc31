//! The calls to discovery for the list, and the watches that they open.
//!
//! Discovery works through calls one after another, including those that were given up. So when it moves, a
//! call that is waiting at the former address is waited for before the present address is called, and a
//! watch at the former address stays open until the present one has answered. This avoids calls whose answer
//! nobody uses, and no node is answered twice before others were answered once.

use crate::dispatcher::Dispatcher;
use crate::limits::Limits;
use crate::list::ListUpdater;
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

/// The interval from a failed call at the present address to the next one, while a watch at a former address
/// is still open.
const RETRY_BESIDE_FORMER: Duration = Duration::from_millis(1000);
/// The timeout of a call at a former address: the protocol has that address serve for this long after a
/// move.
const FORMER_SERVES_FOR: Duration = Duration::from_millis(1500);

/// The number of a call, in the order in which they are made.
type CallNumber = u64;

/// How a call or its watch ended.
enum End {
    /// No message has come within the heartbeat timeout after this time.
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

/// All calls and watches of this process.
pub struct Watches {
    list_updater: ListUpdater,
    dispatcher: Rc<Dispatcher>,
    limits: Rc<Limits>,
    age: RefCell<ListAge>,
    /// Discovery's configured address, and the address of the newest call.
    present: Cell<SocketAddr>,
    called: Cell<Option<SocketAddr>>,
    newest: Cell<CallNumber>,
    /// The highest number of a call that has been answered.
    answered: Cell<CallNumber>,
    answer: Notify,
}

/// The open calls and watches, owned by the loop in `run`.
#[derive(Default)]
struct OpenCalls {
    tasks: JoinSet<(CallNumber, End)>,
    handles: BTreeMap<CallNumber, AbortHandle>,
    /// When to make another call beside those that are open.
    call_at: Option<Instant>,
}

impl Watches {
    pub fn new(
        list_updater: ListUpdater,
        dispatcher: Rc<Dispatcher>,
        limits: Rc<Limits>,
        discovery: SocketAddr,
    ) -> Rc<Watches> {
        let present = Cell::new(discovery);
        let (age, called, newest, answered, answer) = Default::default();
        Rc::new(Watches { list_updater, dispatcher, limits, age, present, called, newest, answered, answer })
    }

    /// Calls discovery whenever the balancer requests the list or discovery has moved, and reports the
    /// outcome to the balancer.
    pub async fn run(
        self: Rc<Self>,
        mut wanted: mpsc::UnboundedReceiver<()>,
        mut discovery: watch::Receiver<SocketAddr>,
    ) {
        let mut open = OpenCalls::default();
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
                    // A call that was aborted because a later one was answered has nothing to report.
                    if let Ok((call, end)) = task {
                        self.ended(&mut open, call, end);
                    }
                }
            }
        }
    }

    /// Handles a move of discovery: calls the new address, at once unless a call is still waiting for its
    /// answer.
    fn moved(self: &Rc<Self>, open: &mut OpenCalls) {
        self.change_age(|age, now| age.discovery_moved(now));
        let waits = open.handles.contains_key(&self.newest.get()) && self.newest.get() > self.answered.get();
        if !waits {
            self.call(open);
        } else if self.call_is_due_elsewhere() {
            open.call_at.get_or_insert(Instant::now() + FORMER_SERVES_FOR);
        }
    }

    /// Whether the newest call was made at an address that discovery has left.
    fn call_is_due_elsewhere(&self) -> bool {
        self.called.get() != Some(self.present.get())
    }

    /// Calls discovery at its present address.
    fn call(self: &Rc<Self>, open: &mut OpenCalls) {
        let (address, watches, call) = (self.present.get(), self.clone(), self.newest.get() + 1);
        self.newest.set(call);
        self.called.set(Some(address));
        open.call_at = None;
        let task = async move { (call, watches.watch(call, address).await) };
        open.handles.insert(call, open.tasks.spawn_local(task));
    }

    fn ended(self: &Rc<Self>, open: &mut OpenCalls, call: CallNumber, end: End) {
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
                note!("list: the watch has ended: no message within the heartbeat timeout");
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
            self.dispatcher.apply_list(kind, &[]);
        } else if newest {
            open.call_at = Some(Instant::now() + RETRY_BESIDE_FORMER);
        }
    }

    fn change_age(&self, change: impl FnOnce(&mut ListAge, Timestamp)) {
        let binds = {
            let mut age = self.age.borrow_mut();
            change(&mut age, self.dispatcher.clock.now());
            age.binds_from()
        };
        self.dispatcher.list_binds_from(binds);
    }

    async fn watch(&self, call: CallNumber, discovery: SocketAddr) -> End {
        match self.connect_and_read(call, discovery).await {
            Ok(()) => "closed by discovery".into(),
            Err(end) => end,
        }
    }

    async fn connect_and_read(&self, call: CallNumber, discovery: SocketAddr) -> Result<(), End> {
        let stream = timeout(self.limits.dial.get(), Transport::connect(discovery)).await;
        let stream = stream.map_err(|_| "connect timed out")?.map_err(|e| e.to_string())?;
        let (mut sender, connection) =
            http1::handshake(TokioIo::new(stream)).await.map_err(|e| e.to_string())?;
        let driver = async {
            let _ = connection.await;
            // The reader below detects the end by itself and may still have messages to read.
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
        note!("list: requesting from {discovery} the changes since version {}", self.list_updater.version());
        let mut beat = asked + self.limits.call_wait;
        let response = timeout_at(beat, sender.send_request(request)).await;
        let response = response.map_err(|_| "timed out waiting for an answer")?.map_err(|e| e.to_string())?;
        if response.status() != StatusCode::OK {
            return Err(format!("answered {}", response.status()).into());
        }
        note!("list: {discovery} accepted the watch after {} ms", asked.elapsed().as_millis());
        let (mut body, mut reader, mut heard) = (response.into_body(), MessageReader::default(), None);
        loop {
            // A network that is cut reports nothing, so silence is the only sign.
            let frame = timeout_at(beat, body.frame()).await;
            let frame = frame.map_err(|_| heard.map_or_else(|| "no message in time".into(), End::Silent))?;
            let frame = frame.ok_or("closed by discovery")?.map_err(|e| e.to_string())?;
            reader.push(frame.data_ref().map_or(&[][..], |d| d));
            // Part of a message does not prove that the watch lives: it may have been cut off there.
            while let Some(message) = reader.next() {
                beat = Instant::now() + self.limits.beat_wait;
                self.take(message.trim_ascii(), heard.is_none());
                if heard.is_none() {
                    self.first_message(call, discovery, asked);
                }
                heard = Some(self.dispatcher.clock.now());
            }
            if reader.unfinished() > 0 {
                note!("list: {} bytes of an incomplete message received", reader.unfinished());
            }
            if reader.unfinished() > self.limits.line_bytes {
                return Err("a message is too long".into());
            }
        }
    }

    fn request(&self, discovery: SocketAddr) -> Result<Request<Empty<Bytes>>, End> {
        let mut request = Request::new(Empty::new());
        let path = format!("/discovery/hosts?stream=1&index={}", self.list_updater.version());
        *request.uri_mut() = path.parse().map_err(|e| format!("{e}"))?;
        let host = HeaderValue::from_str(&discovery.to_string()).map_err(|e| e.to_string())?;
        request.headers_mut().insert(HOST, host);
        Ok(request)
    }

    /// The call has been answered, so all earlier calls are closed.
    fn first_message(&self, call: CallNumber, discovery: SocketAddr, asked: Instant) {
        let waited = asked.elapsed().as_millis();
        note!("list: version {} received {waited} ms after the call", self.list_updater.version());
        self.answered.set(self.answered.get().max(call));
        self.answer.notify_one();
        self.change_age(|age, _| age.answered(self.present.get() == discovery));
    }

    fn take(&self, line: &[u8], first: bool) {
        self.dispatcher.record_discovery_contact();
        if line.is_empty() {
            if first {
                // Nothing has changed since the requested version, which is an answer as well.
                self.dispatcher.apply_list(ListUpdateKind::Delta, &[]);
            }
            return;
        }
        let told = serde_json::from_slice::<Value>(line).map_err(|e| e.to_string());
        if let Err(why) = told.and_then(|message| self.list_updater.apply_message(&message, false)) {
            note!("list: skipped an invalid message: {why}");
        }
    }
}

impl OpenCalls {
    /// Closes all calls that were made before this one.
    fn close_before(&mut self, call: CallNumber) {
        let later = self.handles.split_off(&call);
        for (_, former) in std::mem::replace(&mut self.handles, later) {
            former.abort();
        }
    }
}
