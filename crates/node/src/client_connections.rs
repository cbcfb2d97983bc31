//! Connections from clients that are here, and what is open on each of them.

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
    pub commands: Cell<usize>,
    /// Heads that hyper has handed on, and which of them told two lengths.
    heads: Cell<usize>,
    pub clash: Cell<Option<usize>>,
    /// Heads that hyper has handed on and that are not answered, and whether part of another is here.
    open: Cell<usize>,
    pub part: Cell<bool>,
    /// A whole command has come on it.
    known: Cell<bool>,
    idle_since: Cell<Instant>,
    pub came: Instant,
    /// Whoever drives it is to look at it again: at what follows, and whether it is blind.
    pub look: Notify,
    /// To be closed once what is in hand is answered.
    pub close: Cell<bool>,
    /// What its client has sent may lie unread, and with it the client's end; that was seen all the same.
    unread: Cell<bool>,
    pub gone: Cell<bool>,
    /// Who reads it, to be told when what was kept behind a command may be handed on.
    reader: Cell<Option<Waker>>,
    /// Since when its client has not read on, and something is still to be written to it.
    stuck: Cell<Option<Instant>>,
    /// To be closed, even in the middle of a head that does not get on.
    pub evicted: Cell<bool>,
}

#[derive(Default)]
pub struct Guests {
    pub here: RefCell<Slab<Rc<Guest>>>,
    /// Commands in hand, over all connections.
    pub commands: Cell<usize>,
    /// Connections that have had a command.
    pub known: Cell<usize>,
    pub left: Notify,
}

pub struct Busy(Rc<Guest>);

pub struct Open(Rc<Guest>);

impl Guests {
    /// Whether an answer is owed on any of them (`Guest::owed`).
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

    /// A head has been read. False if it told two lengths, so that nobody knows where its command ends.
    pub fn head(&self) -> bool {
        self.heads.set(self.heads.get() + 1);
        self.idle_since.set(Instant::now());
        self.clash.get() != Some(self.heads.get())
    }

    /// When it has been silent, or in the middle of a head, for too long.
    pub fn due(&self, limits: &Limits) -> Instant {
        match self.known.get() {
            true => self.idle_since.get() + limits.guest_idle,
            false => self.idle_since.get() + limits.first_wait,
        }
    }

    /// Has it end once what is in hand is answered.
    pub fn close(&self) {
        self.close.set(true);
        self.look.notify_one();
    }

    pub fn evict(&self) {
        self.evicted.set(true);
        self.close();
    }

    /// Something from its client is open on it for as long as this lives.
    pub fn open(self: &Rc<Guest>) -> Open {
        self.open.set(self.open.get() + 1);
        Open(self.clone())
    }

    /// Of so many heads that have been read, the last one's command is not answered: hyper has still to hand it on, its
    /// answer is not made, or still flows.
    pub fn in_hand(&self, heads: usize) -> bool {
        self.heads.get() < heads || self.open.get() > 0 || self.commands.get() > 0
    }

    /// Tells this one once the command in hand is answered: hyper takes it that whoever has nothing to read does so.
    pub fn when_answered(&self, reader: &Waker) {
        self.reader.set(Some(reader.clone()));
    }

    fn answered(&self) {
        if let Some(reader) = self.reader.take() {
            reader.wake();
        }
    }

    /// Whether something may lie unread from now on.
    pub fn unread(&self, may: bool) {
        self.unread.set(may);
    }

    /// A command is in hand, and its client's end would not be read.
    pub fn blind(&self) -> bool {
        self.unread.get() && self.commands.get() > 0
    }

    /// Whether its client would not take all that was written just now.
    pub fn writes(&self, stuck: bool) {
        self.stuck.set(stuck.then(|| self.stuck.get().unwrap_or_else(Instant::now)));
    }

    /// An answer is owed on it: its command is in hand, or its client still has to read the rest of it, for which it
    /// has so long.
    pub fn owed(&self, most: Duration) -> bool {
        self.commands.get() > 0 || self.stuck.get().is_some_and(|since| since.elapsed() < most)
    }

    /// Part of a command is here, or all of one that is not answered.
    fn begun(&self) -> bool {
        self.open.get() > 0 || self.part.get()
    }

    /// Nothing that its client has sent is lost when it ends now.
    pub fn idle(&self, least: Duration) -> bool {
        !self.begun() && self.commands.get() == 0 && self.idle_since.get().elapsed() >= least
    }

    /// A command is on it for as long as this lives.
    pub fn busy(self: &Rc<Guest>) -> Busy {
        if !self.known.replace(true) {
            self.guests.known.set(self.guests.known.get() + 1);
        }
        self.commands.set(self.commands.get() + 1);
        self.guests.commands.set(self.guests.commands.get() + 1);
        Busy(self.clone())
    }

    /// Whether there are more connections than are to be kept.
    pub fn crowded(&self, limits: &Limits) -> bool {
        self.guests.known.get() > limits.kept_sockets()
            || self.guests.here.borrow().len() > limits.client_sockets()
    }

    /// Whether there are more commands in hand than there is room for.
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

/// Closes the connection that has been idle for longest, if any is: first of those with nothing of a command on them,
/// and of those on which no command has come yet. One that has just come is not idle: it would be closed with its first
/// command unread.
pub fn close_idle(guests: &Slab<Rc<Guest>>, least: Duration) {
    let idle = guests.iter().map(|(_, g)| g).filter(|g| g.commands.get() == 0 && g.stuck.get().is_none());
    let idle = idle.filter(|g| g.idle_since.get().elapsed() >= least);
    // Whoever has sent part of a command goes last: the rest may be on its way.
    if let Some(guest) = idle.min_by_key(|g| (g.begun(), g.known.get(), g.idle_since.get())) {
        // Looked at again only after it had the time to go.
        guest.idle_since.set(Instant::now());
        guest.evict();
    }
}
