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
use crate::log::log;
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
use std::panic::resume_unwind;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{mpsc, watch, Notify};
use tokio::task::{AbortHandle, JoinSet};
use tokio::time::{sleep_until, timeout_at, Instant};
use yarrowfront::decide::ListUpdateKind;
use yarrowfront::times::Timestamp;

/// The interval from a failed call at the present address to the next one, while a watch at a former address
/// is still open.
const RETRY_INTERVAL_BESIDE_FORMER: Duration = Duration::from_millis(1000);
/// The timeout of a call at a former address: the protocol has that address serve for this long after a
/// move.
const FORMER_ADDRESS_TIMEOUT: Duration = Duration::from_millis(1500);

/// The number of a call, in the order in which they are made.
type CallNumber = u64;

/// How a call or its watch ended.
enum WatchEnd {
    /// No message has come within the heartbeat timeout after this time.
    Silent(Timestamp),
    Failed(String),
}

impl From<String> for WatchEnd {
    fn from(reason: String) -> WatchEnd {
        WatchEnd::Failed(reason)
    }
}

impl From<&str> for WatchEnd {
    fn from(reason: &str) -> WatchEnd {
        WatchEnd::Failed(reason.to_owned())
    }
}

/// All calls and watches of this process.
pub struct Watches {
    list_updater: ListUpdater,
    dispatcher: Rc<Dispatcher>,
    limits: Rc<Limits>,
    list_age: RefCell<ListAge>,
    /// Discovery's configured address, and the address of the newest call.
    configured_address: Cell<SocketAddr>,
    newest_call_address: Cell<Option<SocketAddr>>,
    newest_call: Cell<CallNumber>,
    /// The highest number of a call that has been answered.
    newest_answered: Cell<CallNumber>,
    answer_received: Notify,
}

/// The open calls and watches, owned by the loop in `run`.
#[derive(Default)]
struct OpenCalls {
    tasks: JoinSet<(CallNumber, WatchEnd)>,
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
        let configured_address = Cell::new(discovery);
        let (list_age, newest_call_address, newest_call, newest_answered, answer_received) =
            Default::default();
        Rc::new(Watches {
            list_updater,
            dispatcher,
            limits,
            list_age,
            configured_address,
            newest_call_address,
            newest_call,
            newest_answered,
            answer_received,
        })
    }

    /// Calls discovery whenever the balancer requests the list or discovery has moved, and reports the
    /// outcome to the balancer.
    pub async fn run(
        self: Rc<Self>,
        mut requests: mpsc::UnboundedReceiver<()>,
        mut discovery: watch::Receiver<SocketAddr>,
    ) {
        let mut open = OpenCalls::default();
        loop {
            let call_at = open.call_at;
            tokio::select! {
                request = requests.recv() => match request {
                    None => return,
                    Some(()) if open.handles.contains_key(&self.newest_call.get()) => {}
                    Some(()) => self.start_call(&mut open),
                },
                Ok(()) = discovery.changed() => {
                    self.configured_address.set(*discovery.borrow_and_update());
                    self.handle_move(&mut open);
                }
                () = sleep_until(call_at.unwrap_or_else(Instant::now)), if call_at.is_some() => self.start_call(&mut open),
                () = self.answer_received.notified() => {
                    open.close_before(self.newest_answered.get());
                    if self.newest_call_is_at_former_address() {
                        self.start_call(&mut open);
                    }
                }
                Some(task) = open.tasks.join_next(), if !open.tasks.is_empty() => match task {
                    Ok((call, end)) => self.handle_end(&mut open, call, end),
                    // Its call would count as open for good, and no other would be made.
                    Err(error) if error.is_panic() => resume_unwind(error.into_panic()),
                    // A call that was aborted because a later one was answered has nothing to report.
                    Err(_) => {}
                },
            }
        }
    }

    /// Handles a move of discovery: calls the new address, at once unless a call is still waiting for its
    /// answer.
    fn handle_move(self: &Rc<Self>, open: &mut OpenCalls) {
        self.update_list_age(|list_age, now| list_age.discovery_moved(now));
        let is_waiting = open.handles.contains_key(&self.newest_call.get())
            && self.newest_call.get() > self.newest_answered.get();
        if !is_waiting {
            self.start_call(open);
        } else if self.newest_call_is_at_former_address() {
            open.call_at.get_or_insert(Instant::now() + FORMER_ADDRESS_TIMEOUT);
        }
    }

    /// Whether the newest call was made at an address that discovery has left.
    fn newest_call_is_at_former_address(&self) -> bool {
        self.newest_call_address.get() != Some(self.configured_address.get())
    }

    /// Calls discovery at its present address.
    fn start_call(self: &Rc<Self>, open: &mut OpenCalls) {
        let (address, watches, call) =
            (self.configured_address.get(), self.clone(), self.newest_call.get() + 1);
        self.newest_call.set(call);
        self.newest_call_address.set(Some(address));
        open.call_at = None;
        let task = async move { (call, watches.run_call(call, address).await) };
        open.handles.insert(call, open.tasks.spawn_local(task));
    }

    fn handle_end(self: &Rc<Self>, open: &mut OpenCalls, call: CallNumber, end: WatchEnd) {
        open.close_before(self.newest_answered.get());
        if open.handles.remove(&call).is_none() {
            return;
        }
        let (is_newest, newest_is_at_former_address) =
            (call == self.newest_call.get(), self.newest_call_is_at_former_address());
        let was_answered = call == self.newest_answered.get();
        let kind = match &end {
            WatchEnd::Silent(_) => ListUpdateKind::Silent,
            WatchEnd::Failed(_) => ListUpdateKind::Failed,
        };
        match end {
            WatchEnd::Silent(since) => {
                log!("list: the watch has ended: no message within the heartbeat timeout");
                self.update_list_age(|list_age, _| list_age.watch_silent(since));
            }
            WatchEnd::Failed(reason) => {
                log!("list: the watch has ended: {reason}");
                if was_answered {
                    self.update_list_age(|list_age, now| list_age.watch_ended(now));
                } else if is_newest && !newest_is_at_former_address {
                    self.update_list_age(|list_age, _| list_age.call_failed());
                }
            }
        }
        if is_newest && newest_is_at_former_address {
            self.start_call(open);
        } else if open.handles.is_empty() {
            open.call_at = None;
            self.dispatcher.apply_list(kind, &[]);
        } else if is_newest {
            open.call_at = Some(Instant::now() + RETRY_INTERVAL_BESIDE_FORMER);
        }
    }

    fn update_list_age(&self, change: impl FnOnce(&mut ListAge, Timestamp)) {
        let expires_at = {
            let mut list_age = self.list_age.borrow_mut();
            change(&mut list_age, self.dispatcher.clock.now());
            list_age.expires_at()
        };
        self.dispatcher.set_list_expiry(expires_at);
    }

    async fn run_call(&self, call: CallNumber, discovery: SocketAddr) -> WatchEnd {
        match self.connect_and_read(call, discovery).await {
            Ok(()) => "closed by discovery".into(),
            Err(end) => end,
        }
    }

    async fn connect_and_read(&self, call: CallNumber, discovery: SocketAddr) -> Result<(), WatchEnd> {
        let (max_time, retry_pause) = (self.limits.connect_timeout.get(), self.limits.accept_retry_pause);
        let connected = Transport::connect(discovery, max_time, retry_pause, &Cell::default()).await;
        let stream = connected.map_err(|error| error.to_string())?;
        let (mut sender, connection) =
            http1::handshake(TokioIo::new(stream)).await.map_err(|e| e.to_string())?;
        let driver = async {
            let _ = connection.await;
            // The reader below detects the end by itself and may still have messages to read.
            std::future::pending::<()>().await;
        };
        tokio::select! {
            () = driver => Ok(()),
            end = self.read_watch(call, discovery, &mut sender) => end,
        }
    }

    async fn read_watch(
        &self,
        call: CallNumber,
        discovery: SocketAddr,
        sender: &mut SendRequest<Empty<Bytes>>,
    ) -> Result<(), WatchEnd> {
        let request = self.build_request(discovery)?;
        let called_at = Instant::now();
        log!("list: requesting from {discovery} the changes since version {}", self.list_updater.version());
        let mut deadline = called_at + self.limits.discovery_timeout;
        let response = timeout_at(deadline, sender.send_request(request)).await;
        let response = response.map_err(|_| "timed out waiting for an answer")?.map_err(|e| e.to_string())?;
        if response.status() != StatusCode::OK {
            return Err(format!("answered {}", response.status()).into());
        }
        log!("list: {discovery} accepted the watch after {} ms", called_at.elapsed().as_millis());
        let (mut body, mut reader, mut last_message_at) =
            (response.into_body(), MessageReader::default(), None);
        loop {
            // A network that is cut reports nothing, so silence is the only sign.
            let frame = timeout_at(deadline, body.frame()).await;
            let frame = frame
                .map_err(|_| last_message_at.map_or_else(|| "no message in time".into(), WatchEnd::Silent))?;
            let frame = frame.ok_or("closed by discovery")?.map_err(|e| e.to_string())?;
            reader.push(frame.data_ref().map_or(&[][..], |d| d));
            // Part of a message does not prove that the watch lives: it may have been cut off there.
            while let Some(message) = reader.next() {
                deadline = Instant::now() + self.limits.heartbeat_timeout;
                self.handle_message(message.trim_ascii(), last_message_at.is_none());
                if last_message_at.is_none() {
                    self.record_answer(call, discovery, called_at);
                }
                last_message_at = Some(self.dispatcher.clock.now());
            }
            if reader.unfinished_bytes() > 0 {
                log!("list: {} bytes of an incomplete message received", reader.unfinished_bytes());
            }
            if reader.unfinished_bytes() > self.limits.max_message_bytes {
                return Err("a message is too long".into());
            }
        }
    }

    fn build_request(&self, discovery: SocketAddr) -> Result<Request<Empty<Bytes>>, WatchEnd> {
        let mut request = Request::new(Empty::new());
        let path = format!("/discovery/hosts?stream=1&index={}", self.list_updater.version());
        *request.uri_mut() = path.parse().map_err(|e| format!("{e}"))?;
        let host = HeaderValue::from_str(&discovery.to_string()).map_err(|e| e.to_string())?;
        request.headers_mut().insert(HOST, host);
        Ok(request)
    }

    /// The call has been answered, so all earlier calls are closed.
    fn record_answer(&self, call: CallNumber, discovery: SocketAddr, called_at: Instant) {
        let waited = called_at.elapsed().as_millis();
        log!("list: version {} received {waited} ms after the call", self.list_updater.version());
        self.newest_answered.set(self.newest_answered.get().max(call));
        self.answer_received.notify_one();
        self.update_list_age(|list_age, _| list_age.answered(self.configured_address.get() == discovery));
    }

    fn handle_message(&self, line: &[u8], is_first: bool) {
        self.dispatcher.record_discovery_contact();
        if line.is_empty() {
            if is_first {
                // Nothing has changed since the requested version, which is an answer as well.
                self.dispatcher.apply_list(ListUpdateKind::Delta, &[]);
            }
            return;
        }
        let message = serde_json::from_slice::<Value>(line).map_err(|e| e.to_string());
        if let Err(reason) = message.and_then(|message| self.list_updater.apply_message(&message, false)) {
            log!("list: skipped an invalid message: {reason}");
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
