//! The handover to a new process of the same node. The old and the new process act as one node while both
//! run. They meet at a Unix socket in `$TMPDIR`. The old one passes the listening socket itself, so that no
//! connection waits in a queue that nobody accepts from, and all state that must survive. Until one of them
//! ends, each then tells the other what operators request and how much of the shared budgets it uses.

use crate::admin_request::Call;
use crate::bodies::BodyMemory;
use crate::dispatcher::Dispatcher;
use crate::lifecycle::Stop;
use crate::limits::Limits;
use crate::log::note;
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
enum Word {
    Hello {
        version: u32,
    },
    /// There are two processes already, or the node is stopping.
    No {
        why: String,
    },
    State(State),
    /// From the new process: it can accept connections, and the old one must stop accepting.
    Ready,
    /// From the old process: it has stopped accepting.
    Left,
    /// A request of an operator that the other process carries out too.
    Call(Call),
    /// The request was carried out.
    Done,
    /// What the sender uses of the shared budgets.
    Held {
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
    pub left_out: Vec<String>,
    pub drained: bool,
    /// In discovery's format.
    pub list: Value,
    /// The incarnation in the fleet view, if there is one: the new process takes a later one.
    #[serde(default)]
    pub life: u64,
}

/// What the old process has passed to this one.
pub struct Heritage {
    pub state: State,
    pub listener: std::net::TcpListener,
    pub stream: StdUnixStream,
}

/// The path of the socket at which the processes of the node with this listening address meet; `None`
/// without a shared directory.
pub fn meeting(folder: Option<String>, listen: SocketAddr) -> Option<PathBuf> {
    folder.filter(|folder| !folder.is_empty()).map(|folder| Path::new(&folder).join(format!("{listen}.sock")))
}

/// Asks a running process of this node to hand over. `None` if there is none or it does not answer
/// correctly; an error if it refuses.
pub fn inherit(path: &Path, limits: &Limits) -> Result<Option<Heritage>, String> {
    let Ok(stream) = StdUnixStream::connect(path) else { return Ok(None) };
    match talk(&stream, limits) {
        Ok(Ok((state, listener))) => Ok(Some(Heritage { state, listener, stream })),
        Ok(Err(why)) => Err(why),
        Err(error) => {
            note!(
                "handover: cannot use the process at {}: {error}; starting as from nothing",
                path.display()
            );
            Ok(None)
        }
    }
}

type Given = Result<(State, std::net::TcpListener), String>;

fn talk(stream: &StdUnixStream, limits: &Limits) -> io::Result<Given> {
    stream.set_read_timeout(Some(limits.peer_wait))?;
    stream.set_write_timeout(Some(limits.peer_wait))?;
    (&*stream).write_all(&line(&Word::Hello { version: VERSION })?)?;
    let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
    let mut beside = RecvAncillaryBuffer::new(&mut space);
    let mut first = [0];
    recvmsg(stream, &mut [IoSliceMut::new(&mut first)], &mut beside, RecvFlags::CMSG_CLOEXEC)?;
    let mut given: Option<OwnedFd> = None;
    for message in beside.drain() {
        if let RecvAncillaryMessage::ScmRights(sockets) = message {
            given = sockets.last();
        }
    }
    // Read byte by byte: what follows this line belongs to the later reader.
    let mut text = Vec::new();
    let mut reader = BufReader::with_capacity(1, stream.take(limits.line_bytes as u64));
    reader.read_until(b'\n', &mut text)?;
    match (serde_json::from_slice(&text)?, given) {
        (Word::State(state), Some(socket)) => Ok(Ok((state, std::net::TcpListener::from(socket)))),
        (Word::No { why }, _) => Ok(Err(why)),
        _ => Err(io::Error::other("it has sent no socket")),
    }
}

fn line(word: &Word) -> io::Result<Vec<u8>> {
    let mut line = serde_json::to_vec(word)?;
    line.push(b'\n');
    Ok(line)
}

/// The reader of the other process's messages. There is one for the whole connection, as it buffers data.
type Reader = tokio::io::BufReader<OwnedReadHalf>;

/// The connection to the other process.
struct Link {
    out: mpsc::UnboundedSender<Word>,
    /// The requests that wait for the other process's confirmation, oldest first.
    waiting: RefCell<VecDeque<oneshot::Sender<()>>>,
}

impl Link {
    /// Sends a message that the other process confirms, and waits for the confirmation.
    async fn ask(&self, word: Word, wait: Duration) -> bool {
        let (done, answer) = oneshot::channel();
        self.waiting.borrow_mut().push_back(done);
        self.out.send(word).is_ok() && matches!(timeout(wait, answer).await, Ok(Ok(())))
    }

    fn answered(&self) {
        if let Some(done) = self.waiting.borrow_mut().pop_front() {
            let _ = done.send(());
        }
    }
}

/// Whether this is the older or the newer of the two processes.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Side {
    Old,
    New,
}

pub struct Peer {
    dispatcher: Rc<Dispatcher>,
    stop: Rc<Stop>,
    limits: Rc<Limits>,
    room: BodyMemory,
    path: Option<PathBuf>,
    /// Weak, because the kernel's queue must close when the accept loop, which reads it, ends.
    listener: Weak<TcpListener>,
    link: RefCell<Option<Rc<Link>>>,
    /// State is being passed to a new process. Until that has succeeded or failed, another one is refused.
    telling: Cell<bool>,
    /// The task that accepts new processes; a new listener replaces it.
    door: Cell<Option<AbortHandle>>,
    /// Connections are being accepted, or are about to be.
    ready: Cell<bool>,
    /// This process's incarnation in the fleet view, if there is one.
    pub life: Cell<u64>,
}

impl Peer {
    pub fn new(
        (dispatcher, stop, limits, room): (Rc<Dispatcher>, Rc<Stop>, Rc<Limits>, BodyMemory),
        path: Option<PathBuf>,
        listener: &Rc<TcpListener>,
    ) -> Rc<Peer> {
        let (link, door, ready) = (RefCell::default(), Cell::default(), Cell::new(false));
        let listener = Rc::downgrade(listener);
        let life = Cell::new(0);
        let telling = Cell::new(false);
        Rc::new(Peer { dispatcher, stop, limits, room, path, listener, link, telling, door, ready, life })
    }

    pub fn ready(&self) -> bool {
        self.ready.get()
    }

    /// Whether the other process of this node is running.
    pub fn beside(&self) -> bool {
        self.link.borrow().is_some()
    }

    /// Tells the old process, if there is one, to stop accepting connections. Then this process is ready and
    /// may itself be succeeded.
    pub async fn take_over(self: &Rc<Peer>, old: Option<StdUnixStream>) {
        if let Some(stream) = old {
            let stream = stream.set_nonblocking(true).and_then(|()| UnixStream::from_std(stream));
            match stream {
                Ok(stream) => {
                    let (read, write) = stream.into_split();
                    let link = self.join(write);
                    self.dispatcher.set_predecessor_running(true);
                    tokio::task::spawn_local(self.clone().follow(Reader::new(read), link.clone(), Side::New));
                    if !link.ask(Word::Ready, self.limits.peer_wait).await {
                        note!("handover: the old process has not confirmed that it stopped accepting");
                    }
                }
                Err(error) => note!("handover: {error}"),
            }
        }
        self.ready.set(true);
        self.open_door();
    }

    /// Has the other process, if there is one, carry out an operator's request as well.
    pub async fn tell(&self, call: &Call) {
        let link = self.link.borrow().clone();
        if let Some(link) = link {
            if !link.ask(Word::Call(call.clone()), self.limits.peer_wait / 2).await {
                note!("handover: the other process has not confirmed an operator's request");
            }
        }
    }

    /// Listens for a successor. The socket file is replaced atomically, since a process that has ended may
    /// have left one.
    fn open_door(self: &Rc<Peer>) {
        let Some(path) = &self.path else { return };
        let new = path.with_extension("new");
        let _ = std::fs::remove_file(&new);
        let bound = UnixListener::bind(&new).and_then(|door| std::fs::rename(&new, path).map(|()| door));
        match bound {
            Ok(door) => {
                let task = tokio::task::spawn_local(self.clone().welcome(door));
                if let Some(before) = self.door.replace(Some(task.abort_handle())) {
                    before.abort();
                }
            }
            Err(error) => note!("handover: {}: {error}; no handover is possible", path.display()),
        }
    }

    async fn welcome(self: Rc<Peer>, door: UnixListener) {
        loop {
            match door.accept().await {
                Ok((stream, _)) => drop(tokio::task::spawn_local(self.clone().greet(stream))),
                Err(error) => {
                    note!("handover: {error}");
                    sleep(self.limits.accept_pause).await;
                }
            }
        }
    }

    /// Handles a connection from a new process, which must identify itself in time.
    async fn greet(self: Rc<Peer>, stream: UnixStream) {
        let (read, mut write) = stream.into_split();
        let mut read = Reader::new(read);
        let hello = timeout(self.limits.peer_wait, self.next(&mut read)).await;
        let Ok(Some(Word::Hello { version: VERSION })) = hello else {
            note!("handover: a connection was not from a new process of this version");
            return;
        };
        let listener = self.listener.upgrade().filter(|_| !self.stop.stopping());
        let free = self.link.borrow().is_none() && !self.telling.get();
        let Some(listener) = listener.filter(|_| free) else {
            let why = if free { "this node is stopping" } else { "two processes of this node run already" };
            let no = line(&Word::No { why: why.to_owned() }).unwrap_or_default();
            let _ = write.write_all(&[b"\n", &no[..]].concat()).await;
            return;
        };
        self.telling.set(true);
        let told = self.join_after(&mut write, &listener).await;
        self.telling.set(false);
        match told {
            Ok(()) => {
                note!("handover: a new process has received this one's state");
                let link = self.join(write);
                self.follow(read, link, Side::Old).await;
            }
            Err(error) => note!("handover: {error}"),
        }
    }

    async fn join_after(&self, write: &mut OwnedWriteHalf, listener: &TcpListener) -> io::Result<()> {
        let stream: &UnixStream = write.as_ref();
        stream.writable().await?;
        stream.try_io(Interest::WRITABLE, || pass(stream, listener.as_fd()))?;
        let left_out = self.dispatcher.backends_in_maintenance();
        let life = self.life.get();
        let state =
            State { left_out, drained: self.stop.drained(), list: self.dispatcher.list_snapshot(), life };
        let text = line(&Word::State(state))?;
        timeout(self.limits.peer_wait, write.write_all(&text)).await?
    }

    fn join(self: &Rc<Peer>, mut write: OwnedWriteHalf) -> Rc<Link> {
        let (out, mut words) = mpsc::unbounded_channel();
        let link = Rc::new(Link { out, waiting: RefCell::default() });
        *self.link.borrow_mut() = Some(link.clone());
        tokio::task::spawn_local(async move {
            while let Some(word) = words.recv().await {
                let Ok(text) = line(&word) else { break };
                if write.write_all(&text).await.is_err() {
                    break;
                }
            }
        });
        link
    }

    async fn next(&self, read: &mut Reader) -> Option<Word> {
        let mut text = Vec::new();
        read.take(self.limits.line_bytes as u64).read_until(b'\n', &mut text).await.ok()?;
        serde_json::from_slice(&text).ok()
    }

    fn held(&self) -> Word {
        let (sockets, bytes, ids) =
            (&self.limits.sockets, self.room.held_bytes(), self.dispatcher.client_ids_in_flight());
        Word::Held { clients: sockets.clients.get(), backends: sockets.backends.get(), bytes, ids }
    }

    /// Exchanges messages with the other process until one of the two ends.
    async fn follow(self: Rc<Peer>, mut read: Reader, link: Rc<Link>, side: Side) {
        let (heard, mut words) = mpsc::unbounded_channel();
        let reader = self.clone();
        let reading = tokio::task::spawn_local(async move {
            while let Some(word) = reader.next(&mut read).await {
                if heard.send(word).is_err() {
                    break;
                }
            }
        });
        let mut beat = interval(self.limits.peer_beat);
        loop {
            let word = tokio::select! {
                word = words.recv() => word,
                _ = beat.tick() => {
                    let _ = link.out.send(self.held());
                    continue;
                }
            };
            match word {
                None => break,
                Some(Word::Ready) if side == Side::Old => {
                    note!("handover: the new process accepts connections from here on");
                    self.stop.succeeded_by(true);
                    let _ = link.out.send(self.held());
                    let _ = link.out.send(Word::Left);
                }
                Some(Word::Call(call)) => {
                    call.carry_out(&self.dispatcher, &self.stop);
                    let _ = link.out.send(Word::Done);
                }
                Some(Word::Left | Word::Done) => link.answered(),
                Some(Word::Held { clients, backends, bytes, ids }) => {
                    self.limits.sockets.other_clients.set(clients);
                    self.limits.sockets.other_backends.set(backends);
                    self.room.set_peer_bytes(bytes);
                    self.dispatcher.set_peer_command_ids(ids);
                }
                Some(other) => note!("handover: ignored an unexpected message: {other:?}"),
            }
        }
        reading.abort();
        *self.link.borrow_mut() = None;
        self.limits.sockets.other_clients.set(0);
        self.limits.sockets.other_backends.set(0);
        self.room.set_peer_bytes(0);
        self.dispatcher.set_peer_command_ids(Vec::new());
        if side == Side::New {
            self.dispatcher.set_predecessor_running(false);
        }
        if side == Side::Old && !self.stop.stopping() {
            note!("handover: the new process is gone; this one continues");
            self.stop.succeeded_by(false);
            self.open_door();
        }
    }
}

/// Sends a file descriptor along with one byte.
fn pass(stream: &UnixStream, socket: BorrowedFd<'_>) -> io::Result<()> {
    let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
    let mut beside = SendAncillaryBuffer::new(&mut space);
    let sockets = [socket];
    beside.push(SendAncillaryMessage::ScmRights(&sockets));
    sendmsg(stream, &[IoSlice::new(b"\n")], &mut beside, SendFlags::NOSIGNAL)?;
    Ok(())
}
