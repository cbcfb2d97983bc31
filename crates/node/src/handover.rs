//! The handover to a new process of the same node. The old and the new process act as one node while both
//! run. They meet at a Unix socket in `$TMPDIR`. The old one passes the listening socket itself, so that no
//! connection waits in a queue that nobody accepts from, and all state that must survive. Until one of them
//! ends, each then tells the other what operators request and how much of the shared budgets it uses.

use crate::admin_request::AdminRequest;
use crate::body_memory::BodyMemory;
use crate::command_ids::IdHash;
use crate::dispatcher::Dispatcher;
use crate::guard::{self, Violation};
use crate::lifecycle::Lifecycle;
use crate::limits::Limits;
use crate::log::log;
use rustix::net::{
    recvmsg, sendmsg, RecvAncillaryBuffer, RecvAncillaryMessage, RecvFlags, SendAncillaryBuffer,
    SendAncillaryMessage, SendFlags,
};
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::io::{self, BufRead, BufReader, IoSlice, IoSliceMut, Read, Write};
use std::mem::MaybeUninit;
use std::net::SocketAddr;
use std::os::fd::{AsFd, BorrowedFd, OwnedFd};
use std::os::unix::net::UnixStream as StdUnixStream;
use std::path::{Path, PathBuf};
use std::rc::{Rc, Weak};
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, Interest};
use tokio::net::unix::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, UnixListener, UnixStream};
use tokio::sync::{mpsc, oneshot};
use tokio::task::AbortHandle;
use tokio::time::{interval, sleep, timeout};

/// The version of the messages below. A process with another version is treated as absent.
pub const VERSION: u32 = 1;

/// A message between the two processes: one JSON object per line.
#[derive(Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
enum Message {
    Hello {
        version: u32,
        /// The sender knows the messages about ids.
        #[serde(default, rename = "ids")]
        knows_ids: bool,
    },
    /// There are two processes already, or the node is stopping.
    #[serde(rename = "no")]
    Refused {
        #[serde(rename = "why")]
        reason: String,
    },
    State(State),
    /// From the new process: it can accept connections, and the old one must stop accepting.
    Ready,
    /// From the old process: it has stopped accepting.
    #[serde(rename = "left")]
    StoppedAccepting,
    /// A request of an operator that the other process carries out too.
    #[serde(rename = "call")]
    OperatorRequest(AdminRequest),
    /// The request was carried out.
    #[serde(rename = "done")]
    Confirmed,
    /// From the old process, before anything else: the ids of its commands that must not run again.
    #[serde(rename = "ran")]
    IdsRun {
        ids: Vec<IdHash>,
    },
    /// The sender has accepted a command with this id, which must not run twice, and asks whether it may launch it.
    Claim {
        id: IdHash,
    },
    /// The answer to the oldest claim that was not answered yet.
    #[serde(rename = "claimed")]
    ClaimResult {
        granted: bool,
    },
    /// What the sender uses of the shared budgets.
    #[serde(rename = "held")]
    Usage {
        clients: usize,
        backends: usize,
        bytes: usize,
        /// Client ids of the commands in flight, which would run twice if the other process accepted them
        /// too.
        ids: Vec<String>,
    },
}

/// The state that must survive a process.
#[derive(Debug, Default, Serialize, Deserialize)]
pub struct State {
    #[serde(rename = "left_out")]
    pub in_maintenance: Vec<String>,
    #[serde(rename = "drained")]
    pub is_draining: bool,
    /// In discovery's format.
    pub list: Value,
    /// The generation in the fleet view, if there is one: the new process takes a later one.
    #[serde(default, rename = "life")]
    pub generation: u64,
    /// The sender knows the messages about ids.
    #[serde(default, rename = "ids")]
    pub knows_ids: bool,
}

/// What the old process has passed to this one.
pub struct Handover {
    pub state: State,
    pub listener: std::net::TcpListener,
    pub stream: StdUnixStream,
}

/// The path of the socket at which the processes of the node with this listening address meet; `None`
/// without a shared directory.
pub fn socket_path(shared_dir: Option<String>, listen: SocketAddr) -> Option<PathBuf> {
    shared_dir
        .filter(|shared_dir| !shared_dir.is_empty())
        .map(|shared_dir| Path::new(&shared_dir).join(format!("{listen}.sock")))
}

/// Asks a running process of this node to hand over. `None` if there is none or it does not answer
/// correctly; an error if it refuses.
pub fn request_handover(path: &Path, limits: &Limits) -> Result<Option<Handover>, String> {
    let Ok(stream) = StdUnixStream::connect(path) else { return Ok(None) };
    match receive_state(&stream, limits) {
        Ok(Ok((state, listener))) => Ok(Some(Handover { state, listener, stream })),
        Ok(Err(reason)) => Err(reason),
        Err(error) => {
            log!("handover: cannot use the process at {}: {error}; starting as from nothing", path.display());
            Ok(None)
        }
    }
}

type HandoverReply = Result<(State, std::net::TcpListener), String>;

fn receive_state(stream: &StdUnixStream, limits: &Limits) -> io::Result<HandoverReply> {
    stream.set_read_timeout(Some(limits.peer_timeout))?;
    stream.set_write_timeout(Some(limits.peer_timeout))?;
    (&*stream).write_all(&encode_line(&Message::Hello { version: VERSION, knows_ids: true })?)?;
    let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
    let mut ancillary = RecvAncillaryBuffer::new(&mut space);
    let mut first = [0];
    recvmsg(stream, &mut [IoSliceMut::new(&mut first)], &mut ancillary, RecvFlags::CMSG_CLOEXEC)?;
    let mut socket: Option<OwnedFd> = None;
    for message in ancillary.drain() {
        if let RecvAncillaryMessage::ScmRights(sockets) = message {
            socket = sockets.last();
        }
    }
    // Read byte by byte: what follows this line belongs to the later reader.
    let mut bytes_read = Vec::new();
    let mut reader = BufReader::with_capacity(1, stream.take(limits.max_message_bytes as u64));
    reader.read_until(b'\n', &mut bytes_read)?;
    match (serde_json::from_slice(&bytes_read)?, socket) {
        (Message::State(state), Some(socket)) => Ok(Ok((state, std::net::TcpListener::from(socket)))),
        (Message::Refused { reason }, _) => Ok(Err(reason)),
        _ => Err(io::Error::other("it has sent no socket")),
    }
}

fn encode_line(message: &Message) -> io::Result<Vec<u8>> {
    let mut line = serde_json::to_vec(message)?;
    line.push(b'\n');
    Ok(line)
}

/// The reader of the other process's messages. There is one for the whole connection, as it buffers data.
type Reader = tokio::io::BufReader<OwnedReadHalf>;

/// The connection to the other process.
struct Link {
    outgoing: mpsc::UnboundedSender<Message>,
    /// The requests that wait for the other process's confirmation, oldest first.
    unconfirmed: RefCell<VecDeque<oneshot::Sender<()>>>,
    /// The claims that the other process has not answered yet, oldest first.
    open_claims: RefCell<VecDeque<oneshot::Sender<bool>>>,
    role: Role,
    /// The other process knows the messages about ids.
    peer_knows_ids: bool,
}

impl Link {
    /// Sends a message that the other process confirms, and waits for the confirmation.
    async fn send_and_wait(&self, message: Message, wait: Duration) -> bool {
        let (done, answer) = oneshot::channel();
        self.unconfirmed.borrow_mut().push_back(done);
        self.outgoing.send(message).is_ok() && matches!(timeout(wait, answer).await, Ok(Ok(())))
    }

    /// Sends a claim. Its result comes through the returned channel.
    fn send_claim(&self, id: IdHash) -> oneshot::Receiver<bool> {
        let (result, receiver) = oneshot::channel();
        self.open_claims.borrow_mut().push_back(result);
        let _ = self.outgoing.send(Message::Claim { id });
        receiver
    }

    fn end_oldest_claim(&self, granted: bool) {
        if let Some(result) = self.open_claims.borrow_mut().pop_front() {
            let _ = result.send(granted);
        }
    }

    fn confirm_oldest(&self) {
        if let Some(done) = self.unconfirmed.borrow_mut().pop_front() {
            let _ = done.send(());
        }
    }
}

/// Whether this is the older or the newer of the two processes.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Role {
    Old,
    New,
}

/// This process's side of the link to the other process of the node.
pub struct Peer {
    dispatcher: Rc<Dispatcher>,
    lifecycle: Rc<Lifecycle>,
    limits: Rc<Limits>,
    body_memory: BodyMemory,
    path: Option<PathBuf>,
    /// Weak, because the kernel's queue must close when the accept loop, which reads it, ends.
    listener: Weak<TcpListener>,
    link: RefCell<Option<Rc<Link>>>,
    /// State is being passed to a new process. Until that has succeeded or failed, another one is refused.
    is_sending_state: Cell<bool>,
    /// The task that accepts new processes; a new listener replaces it.
    listener_task: Cell<Option<AbortHandle>>,
    /// Connections are being accepted, or are about to be.
    is_ready: Cell<bool>,
    /// This process's generation in the fleet view, if there is one.
    pub generation: Cell<u64>,
}

impl Peer {
    /// A process that has no link yet.
    pub fn new(
        (dispatcher, lifecycle, limits, body_memory): (Rc<Dispatcher>, Rc<Lifecycle>, Rc<Limits>, BodyMemory),
        path: Option<PathBuf>,
        listener: &Rc<TcpListener>,
    ) -> Rc<Peer> {
        let (link, listener_task, is_ready) = (RefCell::default(), Cell::default(), Cell::new(false));
        let listener = Rc::downgrade(listener);
        let generation = Cell::new(0);
        let is_sending_state = Cell::new(false);
        Rc::new(Peer {
            dispatcher,
            lifecycle,
            limits,
            body_memory,
            path,
            listener,
            link,
            is_sending_state,
            listener_task,
            is_ready,
            generation,
        })
    }

    /// Whether this process accepts connections, or is about to.
    pub fn is_ready(&self) -> bool {
        self.is_ready.get()
    }

    /// Whether the other process of this node is running.
    pub fn has_peer(&self) -> bool {
        self.link.borrow().is_some()
    }

    /// Tells the old process, if there is one, to stop accepting connections. Then this process is ready and
    /// may itself be succeeded.
    pub async fn take_over(self: &Rc<Peer>, old: Option<(StdUnixStream, bool)>) {
        if let Some((stream, old_knows_ids)) = old {
            let stream = stream.set_nonblocking(true).and_then(|()| UnixStream::from_std(stream));
            match stream {
                Ok(stream) => {
                    let (read, write) = stream.into_split();
                    let link = self.open_link(write, Role::New, old_knows_ids);
                    self.dispatcher.set_predecessor_running(true);
                    tokio::task::spawn_local(self.clone().run_link(Reader::new(read), link.clone()));
                    if !link.send_and_wait(Message::Ready, self.limits.peer_timeout).await {
                        let what = "the old process has not confirmed that it stopped accepting";
                        guard::report(Violation::StartedBesideAnother, what);
                    }
                }
                Err(error) => log!("handover: {error}"),
            }
        }
        self.is_ready.set(true);
        self.listen_for_successor();
    }

    /// Whether a command that this process has accepted and that must not run twice may be launched here: the other
    /// process, if there is one, has not run it and will not. A process that does not answer within this time may have.
    pub async fn claim(&self, id: IdHash, max_wait: Duration) -> bool {
        let link = self.link.borrow().clone();
        let Some(link) = link.filter(|link| link.peer_knows_ids) else { return true };
        let result = link.send_claim(id);
        if link.role == Role::Old && !self.lifecycle.has_successor() {
            // The new process reads this before it accepts its first command.
            return true;
        }
        drop(link);
        match timeout(max_wait.min(self.limits.claim_timeout), result).await {
            Ok(Ok(granted)) => granted,
            // The other process has ended.
            Ok(Err(_)) => true,
            Err(_) => false,
        }
    }

    /// Has the other process, if there is one, carry out an operator's request as well.
    pub async fn forward_request(&self, request: &AdminRequest) {
        let link = self.link.borrow().clone();
        if let Some(link) = link {
            if !link
                .send_and_wait(Message::OperatorRequest(request.clone()), self.limits.peer_timeout / 2)
                .await
            {
                log!("handover: the other process has not confirmed an operator's request");
            }
        }
    }

    /// Listens for a successor. The socket file is replaced atomically, since a process that has ended may
    /// have left one.
    fn listen_for_successor(self: &Rc<Peer>) {
        let Some(path) = &self.path else { return };
        let new = path.with_extension("new");
        let _ = std::fs::remove_file(&new);
        let bound =
            UnixListener::bind(&new).and_then(|listener| std::fs::rename(&new, path).map(|()| listener));
        match bound {
            Ok(listener) => {
                let task = tokio::task::spawn_local(self.clone().accept_successors(listener));
                if let Some(previous) = self.listener_task.replace(Some(task.abort_handle())) {
                    previous.abort();
                }
            }
            Err(error) => log!("handover: {}: {error}; no handover is possible", path.display()),
        }
    }

    async fn accept_successors(self: Rc<Peer>, listener: UnixListener) {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => drop(tokio::task::spawn_local(self.clone().handle_successor(stream))),
                Err(error) => {
                    log!("handover: {error}");
                    sleep(self.limits.accept_retry_pause).await;
                }
            }
        }
    }

    /// Handles a connection from a new process, which must identify itself in time.
    async fn handle_successor(self: Rc<Peer>, stream: UnixStream) {
        let (read, mut write) = stream.into_split();
        let mut read = Reader::new(read);
        let hello = timeout(self.limits.peer_timeout, self.read_message(&mut read)).await;
        let Ok(Some(Message::Hello { version: VERSION, knows_ids })) = hello else {
            log!("handover: a connection was not from a new process of this version");
            return;
        };
        let listener = self.listener.upgrade().filter(|_| !self.lifecycle.is_stopping());
        let is_free = self.link.borrow().is_none() && !self.is_sending_state.get();
        let Some(listener) = listener.filter(|_| is_free) else {
            let reason =
                if is_free { "this node is stopping" } else { "two processes of this node run already" };
            let refusal = encode_line(&Message::Refused { reason: reason.to_owned() }).unwrap_or_default();
            let _ = write.write_all(&[b"\n", &refusal[..]].concat()).await;
            return;
        };
        self.is_sending_state.set(true);
        let sent = self.send_state(&mut write, &listener).await;
        self.is_sending_state.set(false);
        match sent {
            Ok(()) => {
                log!("handover: a new process has received this one's state");
                let link = self.open_link(write, Role::Old, knows_ids);
                if knows_ids {
                    let _ = link.outgoing.send(Message::IdsRun { ids: self.dispatcher.ids_run() });
                }
                self.run_link(read, link).await;
            }
            Err(error) => log!("handover: {error}"),
        }
    }

    async fn send_state(&self, write: &mut OwnedWriteHalf, listener: &TcpListener) -> io::Result<()> {
        let stream: &UnixStream = write.as_ref();
        stream.writable().await?;
        stream.try_io(Interest::WRITABLE, || send_socket(stream, listener.as_fd()))?;
        let in_maintenance = self.dispatcher.backends_in_maintenance();
        let generation = self.generation.get();
        let state = State {
            in_maintenance,
            is_draining: self.lifecycle.is_draining(),
            list: self.dispatcher.list_snapshot(),
            generation,
            knows_ids: true,
        };
        let line = encode_line(&Message::State(state))?;
        timeout(self.limits.peer_timeout, write.write_all(&line)).await?
    }

    fn open_link(self: &Rc<Peer>, mut write: OwnedWriteHalf, role: Role, peer_knows_ids: bool) -> Rc<Link> {
        let (outgoing, mut messages) = mpsc::unbounded_channel();
        let (unconfirmed, open_claims) = (RefCell::default(), RefCell::default());
        let link = Rc::new(Link { outgoing, unconfirmed, open_claims, role, peer_knows_ids });
        *self.link.borrow_mut() = Some(link.clone());
        tokio::task::spawn_local(async move {
            while let Some(message) = messages.recv().await {
                let Ok(line) = encode_line(&message) else { break };
                if write.write_all(&line).await.is_err() {
                    break;
                }
            }
        });
        link
    }

    async fn read_message(&self, read: &mut Reader) -> Option<Message> {
        let mut bytes_read = Vec::new();
        read.take(self.limits.max_message_bytes as u64).read_until(b'\n', &mut bytes_read).await.ok()?;
        serde_json::from_slice(&bytes_read).ok()
    }

    fn usage_message(&self) -> Message {
        let (sockets, bytes, ids) =
            (&self.limits.sockets, self.body_memory.held_bytes(), self.dispatcher.client_ids_in_flight());
        Message::Usage { clients: sockets.clients.get(), backends: sockets.backends.get(), bytes, ids }
    }

    /// Exchanges messages with the other process until one of the two ends.
    async fn run_link(self: Rc<Peer>, mut read: Reader, link: Rc<Link>) {
        let role = link.role;
        let (incoming, mut messages) = mpsc::unbounded_channel();
        let reader = self.clone();
        let reading = tokio::task::spawn_local(async move {
            while let Some(message) = reader.read_message(&mut read).await {
                if incoming.send(message).is_err() {
                    break;
                }
            }
        });
        let mut report_interval = interval(self.limits.peer_report_interval);
        loop {
            let message = tokio::select! {
                message = messages.recv() => message,
                _ = report_interval.tick() => {
                    let _ = link.outgoing.send(self.usage_message());
                    continue;
                }
            };
            match message {
                None => break,
                Some(Message::Ready) if role == Role::Old => {
                    log!("handover: the new process accepts connections from here on");
                    self.lifecycle.set_has_successor(true);
                    let _ = link.outgoing.send(self.usage_message());
                    let _ = link.outgoing.send(Message::StoppedAccepting);
                }
                Some(Message::OperatorRequest(request)) => {
                    request.execute(&self.dispatcher, &self.lifecycle);
                    let _ = link.outgoing.send(Message::Confirmed);
                }
                Some(Message::IdsRun { ids }) => {
                    self.dispatcher.take_all_for_peer(&ids);
                }
                Some(Message::Claim { id }) => {
                    let granted = self.dispatcher.take_for_peer(id);
                    let _ = link.outgoing.send(Message::ClaimResult { granted });
                }
                Some(Message::ClaimResult { granted }) => link.end_oldest_claim(granted),
                Some(Message::StoppedAccepting | Message::Confirmed) => link.confirm_oldest(),
                Some(Message::Usage { clients, backends, bytes, ids }) => {
                    self.limits.sockets.other_clients.set(clients);
                    self.limits.sockets.other_backends.set(backends);
                    self.body_memory.set_peer_bytes(bytes);
                    self.dispatcher.set_peer_command_ids(ids);
                }
                Some(other) => log!("handover: ignored an unexpected message: {other:?}"),
            }
        }
        reading.abort();
        *self.link.borrow_mut() = None;
        link.open_claims.borrow_mut().clear();
        self.limits.sockets.other_clients.set(0);
        self.limits.sockets.other_backends.set(0);
        self.body_memory.set_peer_bytes(0);
        self.dispatcher.set_peer_command_ids(Vec::new());
        if role == Role::New {
            self.dispatcher.set_predecessor_running(false);
        }
        if role == Role::Old && !self.lifecycle.is_stopping() {
            log!("handover: the new process is gone; this one continues");
            self.lifecycle.set_has_successor(false);
            self.listen_for_successor();
        }
    }
}

/// Sends a file descriptor along with one byte.
fn send_socket(stream: &UnixStream, socket: BorrowedFd<'_>) -> io::Result<()> {
    let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
    let mut ancillary = SendAncillaryBuffer::new(&mut space);
    let sockets = [socket];
    ancillary.push(SendAncillaryMessage::ScmRights(&sockets));
    sendmsg(stream, &[IoSlice::new(b"\n")], &mut ancillary, SendFlags::NOSIGNAL)?;
    Ok(())
}
