//! The open connections from clients, and which requests and commands are in progress on each of them.

use crate::limits::Limits;
use slab::Slab;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::task::Waker;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::Instant;

/// A connection from a client.
pub struct Guest {
    guests: Rc<Guests>,
    /// Commands in flight on this connection.
    pub commands: Cell<usize>,
    /// The number of request heads that hyper has delivered, and the number of the first head that stated
    /// two body lengths.
    heads: Cell<usize>,
    pub clash: Cell<Option<usize>>,
    /// The number of requests that hyper has delivered and that are not answered yet, and whether part of a
    /// further request was received.
    open: Cell<usize>,
    pub part: Cell<bool>,
    /// A complete command has been received on it.
    known: Cell<bool>,
    idle_since: Cell<Instant>,
    pub came: Instant,
    /// Notifies the connection's task to check its state again: what follows the current request, and
    /// whether it can still detect the client's close.
    pub look: Notify,
    /// Close the connection once the commands in flight are answered.
    pub close: Cell<bool>,
    /// Data from the client may be waiting unread, which hides the client's close behind it; and whether
    /// that close was detected nevertheless.
    unread: Cell<bool>,
    pub gone: Cell<bool>,
    /// The waker of the task that reads from it, woken when the data held back behind a command may be
    /// delivered.
    reader: Cell<Option<Waker>>,
    /// Since when the client has accepted no data although some is waiting to be written.
    stuck: Cell<Option<Instant>>,
    /// Close the connection even in the middle of a head that makes no progress.
    pub evicted: Cell<bool>,
}

#[derive(Default)]
pub struct Guests {
    pub here: RefCell<Slab<Rc<Guest>>>,
    /// Commands in flight on all connections.
    pub commands: Cell<usize>,
    /// The number of connections that have received a command.
    pub known: Cell<usize>,
    /// Notified when a connection has ended.
    pub left: Notify,
}

/// Keeps a command counted as in flight while it exists.
pub struct Busy(Rc<Guest>);

/// Keeps a request counted as unanswered while it exists.
pub struct Open(Rc<Guest>);

impl Guests {
    /// Whether an answer is owed on any connection (see `Guest::owed`).
    pub fn owed(&self, most: Duration) -> bool {
        self.here.borrow().iter().any(|(_, guest)| guest.owed(most))
    }
}

impl Guest {
    pub fn new(guests: Rc<Guests>) -> Guest {
        let (look, clash, close) = (Notify::new(), Cell::default(), Cell::default());
        let (commands, heads, open, known, evicted, part, stuck, unread, gone) = Default::default();
        Guest {
            guests,
            commands,
            heads,
            clash,
            open,
            part,
            known,
            idle_since: Cell::new(Instant::now()),
            came: Instant::now(),
            look,
            close,
            unread,
            gone,
            reader: Cell::default(),
            stuck,
            evicted,
        }
    }

    /// Records that hyper has delivered a head. Returns false if it stated two body lengths, so that the end
    /// of its body is ambiguous.
    pub fn head(&self) -> bool {
        self.heads.set(self.heads.get() + 1);
        self.idle_since.set(Instant::now());
        self.clash.get() != Some(self.heads.get())
    }

    /// When the connection will have been idle, or stuck in the middle of a head, for too long.
    pub fn due(&self, limits: &Limits) -> Instant {
        match self.known.get() {
            true => self.idle_since.get() + limits.guest_idle,
            false => self.idle_since.get() + limits.first_wait,
        }
    }

    /// Closes the connection once the commands in flight are answered.
    pub fn close(&self) {
        self.close.set(true);
        self.look.notify_one();
    }

    pub fn evict(&self) {
        self.evicted.set(true);
        self.close();
    }

    /// Counts a request as unanswered for as long as the returned guard exists.
    pub fn open(self: &Rc<Guest>) -> Open {
        self.open.set(self.open.get() + 1);
        Open(self.clone())
    }

    /// Given the number of heads that were read, whether the last one is not answered yet: hyper has still
    /// to deliver it, its answer is not ready, or the answer is still streaming.
    pub fn in_hand(&self, heads: usize) -> bool {
        self.heads.get() < heads || self.open.get() > 0 || self.commands.get() > 0
    }

    /// Wakes this reader once the command in flight is answered: hyper assumes that a reader that returned
    /// no data will wake it.
    pub fn when_answered(&self, reader: &Waker) {
        self.reader.set(Some(reader.clone()));
    }

    fn answered(&self) {
        if let Some(reader) = self.reader.take() {
            reader.wake();
        }
    }

    /// Records whether unread data may be waiting from now on.
    pub fn unread(&self, may: bool) {
        self.unread.set(may);
    }

    /// A command is in flight, and the client's close would not be detected.
    pub fn blind(&self) -> bool {
        self.unread.get() && self.commands.get() > 0
    }

    /// Records whether the client has accepted all data of the latest write.
    pub fn writes(&self, stuck: bool) {
        self.stuck.set(stuck.then(|| self.stuck.get().unwrap_or_else(Instant::now)));
    }

    /// Whether an answer is owed: a command is in flight, or the client still has to read the rest of an
    /// answer and has not been stalled for this long yet.
    pub fn owed(&self, most: Duration) -> bool {
        self.commands.get() > 0 || self.stuck.get().is_some_and(|since| since.elapsed() < most)
    }

    /// Part of a request was received, or all of one that is not answered.
    fn begun(&self) -> bool {
        self.open.get() > 0 || self.part.get()
    }

    /// Whether closing the connection now loses nothing that the client has sent.
    pub fn idle(&self, least: Duration) -> bool {
        !self.begun() && self.commands.get() == 0 && self.idle_since.get().elapsed() >= least
    }

    /// Counts a command as in flight for as long as the returned guard exists.
    pub fn busy(self: &Rc<Guest>) -> Busy {
        if !self.known.replace(true) {
            self.guests.known.set(self.guests.known.get() + 1);
        }
        self.commands.set(self.commands.get() + 1);
        self.guests.commands.set(self.guests.commands.get() + 1);
        Busy(self.clone())
    }

    /// Whether there are more connections than may be kept open between commands.
    pub fn crowded(&self, limits: &Limits) -> bool {
        self.guests.known.get() > limits.kept_sockets()
            || self.guests.here.borrow().len() > limits.client_sockets()
    }

    /// Whether there are more commands in flight than are allowed.
    pub fn full(&self, limits: &Limits) -> bool {
        self.guests.commands.get() > limits.client_sockets()
    }
}

impl Drop for Guest {
    fn drop(&mut self) {
        if self.known.get() {
            self.guests.known.set(self.guests.known.get() - 1);
        }
    }
}

impl Drop for Open {
    fn drop(&mut self) {
        self.0.open.set(self.0.open.get() - 1);
        self.0.answered();
        self.0.idle_since.set(Instant::now());
    }
}

impl Drop for Busy {
    fn drop(&mut self) {
        self.0.commands.set(self.0.commands.get() - 1);
        self.0.answered();
        self.0.guests.commands.set(self.0.guests.commands.get() - 1);
        self.0.idle_since.set(Instant::now());
    }
}

/// Closes the connection that has been idle longest, if there is one. Connections on which nothing of a
/// request was received come first, and among those the ones that never had a command. A connection that was
/// just accepted does not count as idle, because it would be closed before its first command is read.
pub fn close_idle(guests: &Slab<Rc<Guest>>, least: Duration) {
    let idle = guests.iter().map(|(_, g)| g).filter(|g| g.commands.get() == 0 && g.stuck.get().is_none());
    let idle = idle.filter(|g| g.idle_since.get().elapsed() >= least);
    // Connections with part of a request come last, because the rest may be on its way.
    if let Some(guest) = idle.min_by_key(|g| (g.begun(), g.known.get(), g.idle_since.get())) {
        // This resets the idle time, so that the connection is not picked again before it had time to close.
        guest.idle_since.set(Instant::now());
        guest.evict();
    }
}
