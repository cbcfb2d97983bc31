//! Every size, count and time that bounds the node: filled once at start and handed down. What the settings
//! say of them follows when they change; descriptors and memory are the process's own and stay.

use crate::bodies::Reading;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

/// Connections that are open now, from clients and to backends: here, and in the other process of this node while
/// there is one.
#[derive(Default)]
pub struct Sockets {
    pub clients: Cell<usize>,
    pub backends: Rc<Cell<usize>>,
    pub other_clients: Cell<usize>,
    pub other_backends: Cell<usize>,
}

pub struct Limits {
    /// The head of a command or an answer.
    pub head_bytes: usize,
    /// How bodies of commands and of answers are read.
    pub commands: Reading,
    pub answers: Reading,
    /// How long a client's body that flows may be silent, and a backend's, or a client that reads one.
    pub body_silent: Duration,
    pub flow_silent: Duration,
    /// All bodies that are held at a time, of commands and of answers.
    pub held_bytes: usize,
    /// One line of the list.
    pub line_bytes: usize,
    /// Connections from clients (and commands in hand), those to backends (launches and probes), and those of
    /// clients past the first figure, until idle ones have made room.
    client_sockets: usize,
    backend_sockets: usize,
    pub surplus_sockets: usize,
    pub sockets: Sockets,
    /// Connections from clients that are kept for their next command; past that an answer ends its connection.
    kept_sockets: usize,
    /// Connections from operators, and what they may send of a body that no call has.
    pub admin_sockets: usize,
    pub admin_body_bytes: usize,
    /// How long the other process of this node may take to answer, and between two words of what is held.
    pub peer_wait: Duration,
    pub peer_beat: Duration,
    /// How long such a connection may last.
    pub admin_wait: Duration,
    /// Connections that the kernel may hold until they are accepted.
    pub backlog: u32,
    pub dial: Cell<Duration>,
    /// How long a pooled connection may take to be ready: it has only to notice that its last answer is over.
    pub ready_wait: Duration,
    /// How long nothing may have come on a connection until the next launch goes on it, where second answers have been
    /// seen in the last while: they come some milliseconds after the first. Always, it cost a tenth of the short days.
    pub quiet: Duration,
    pub twice_for: Duration,
    /// How long a connection to a backend may stand idle.
    pub backend_idle: Cell<Duration>,
    /// A probe's answer: it comes beside the queue, so in about a trip.
    pub probe_wait: Duration,
    /// Discovery's answer to a call and its first line: it works through calls in turn. News counts as known six seconds
    /// after discovery had it, and a call that is given up has to be followed by one that is answered.
    pub call_wait: Duration,
    /// A line of the list or a sign of life: a beat of two seconds, and half of one for the way. What a watch misses
    /// counts as told six seconds after it has fallen silent: the rest of that is for the new one.
    pub beat_wait: Duration,
    /// How long after the signal to stop connections are still accepted, and idle ones left open.
    pub accept_on: Duration,
    pub idle_on: Duration,
    /// When whatever is in hand is answered after the signal to stop, and when the node ends even if a client still owes
    /// the rest of a command.
    pub answer_by: Cell<Duration>,
    pub end_by: Cell<Duration>,
    /// How long the kernel's last connections are looked for.
    pub last_look: Duration,
    /// A connection without a command for so long is idle; before, its first may be on the way.
    pub settle: Duration,
    /// How long a connection that has ended is read on, so that its client sees its last answer.
    pub linger: Duration,
    /// How long a connection may take to its first whole head, and how long one that has had a command may be
    /// idle.
    pub first_wait: Duration,
    pub guest_idle: Duration,
    /// How long a command may be in hand at most, whatever its client says.
    pub longest_command: Duration,
    /// Between two looks for idle connections to close.
    pub sweep: Duration,
    /// After an accept that failed: what it lacked comes back, if at all, in its own time.
    pub accept_pause: Duration,
    /// The runtime's clock counts in these: no timer is tighter.
    pub tick: Duration,
    pub notes_per_s: u32,
}

/// Standard streams, the runtime's own, the listeners, discovery, operators, and some that are just being closed.
const KEPT_BACK: usize = 64;
/// Of these: the streams, the runtime, the listeners, discovery, the other process and its door; and operators.
const OWN: usize = 20;
const OPERATORS: usize = 24;
const _: () = assert!(OWN + OPERATORS <= KEPT_BACK);

/// After the signal to stop the kill comes 700 ms after the longest time limit at the soonest, or after this if that is longer.
const KILL_WAITS_FOR: Duration = Duration::from_secs(3);

/// The least that a node can serve with: eight commands at a time, and their windows.
const LEAST_SOCKETS: usize = KEPT_BACK + 16;
const LEAST_MEMORY_MB: usize = 8;

/// Of a body what is read whole, the protocol's figure, and the largest that is passed on.
const WINDOW: usize = 64 << 10;
const LARGEST: usize = 32 << 20;

impl Limits {
    pub fn fill(
        sockets: usize,
        memory_mb: usize,
        dial: Duration,
        idle: Duration,
        limit: Duration,
    ) -> Result<Limits, String> {
        for (key, is, least) in
            [("sockets", sockets, LEAST_SOCKETS), ("memory_mb", memory_mb, LEAST_MEMORY_MB)]
        {
            if is < least {
                return Err(format!("limits.{key}: {is} is too little, {least} is the least"));
            }
        }
        let memory = memory_mb << 20;
        let surplus_sockets = sockets / 16;
        let room = sockets.saturating_sub(KEPT_BACK + surplus_sockets).max(8);
        // A command has one connection on either side; clients keep more of them idle than the pool does.
        let client_sockets = (room * 3 / 5).max(4);
        Ok(Limits {
            head_bytes: 16 << 10,
            // A body has no time limit of its own until its last byte. An honest one comes at 64 kB a second and
            // in pieces: half of that, and two seconds to begin with.
            commands: Reading {
                window: WINDOW,
                most: LARGEST,
                silent: Duration::from_millis(2000),
                rate: 32 << 10,
                early: None,
            },
            // Its launch has a time limit. One that does not say how large it is is held for so long only.
            answers: Reading {
                window: WINDOW,
                most: LARGEST,
                silent: Duration::from_secs(600),
                rate: 32 << 10,
                early: Some(Duration::from_millis(100)),
            },
            // Some trips, and what a client writes until it has read its answer.
            linger: Duration::from_millis(500),
            body_silent: Duration::from_millis(2500),
            // A slow reader's kernel holds some megabytes for it: it is long before it reads on.
            flow_silent: Duration::from_secs(60),
            // The other half is for connections' buffers, the list and the program itself.
            held_bytes: memory / 2,
            line_bytes: 4 << 20,
            client_sockets,
            backend_sockets: (room * 2 / 5).max(4),
            surplus_sockets,
            sockets: Sockets::default(),
            // Clients open a third of the descriptors for commands: half of that may stand idle.
            kept_sockets: sockets / 6,
            // Of those kept back. A call is answered in a millisecond: the others only hold their connection.
            admin_sockets: OPERATORS,
            admin_body_bytes: 64 << 10,
            // An operator's call is owed its answer in a second, and half of that is for the other process.
            peer_wait: Duration::from_millis(600),
            peer_beat: Duration::from_millis(50),
            admin_wait: Duration::from_millis(4000),
            backlog: 1024,
            dial: Cell::new(dial),
            ready_wait: Duration::from_millis(20),
            quiet: Duration::from_millis(10),
            twice_for: Duration::from_secs(60),
            // Whatever the way takes, and however late the node is: half of it is well before.
            backend_idle: Cell::new(idle / 2),
            probe_wait: Duration::from_millis(50),
            call_wait: Duration::from_millis(3300),
            beat_wait: Duration::from_millis(3000),
            accept_on: Duration::from_millis(500),
            idle_on: Duration::from_millis(600),
            answer_by: Cell::new(KILL_WAITS_FOR.min(limit) + Duration::from_millis(550)),
            end_by: Cell::new(KILL_WAITS_FOR.min(limit) + Duration::from_millis(650)),
            last_look: Duration::from_millis(20),
            settle: Duration::from_millis(100),
            // Whoever sends nothing of use is told so, or is gone, within three seconds of coming.
            // An honest head may take two of them.
            first_wait: Duration::from_millis(2600),
            // Clients come back within a few seconds or never; each one kept costs a descriptor and a buffer.
            guest_idle: Duration::from_secs(20),
            longest_command: Duration::from_secs(600),
            sweep: Duration::from_secs(1),
            accept_pause: Duration::from_millis(5),
            tick: Duration::from_millis(1),
            notes_per_s: 5,
        })
    }

    /// What this process may have of a budget, with what the other one holds: a quarter at the least, as that one
    /// takes nothing more and lets go.
    fn left(most: usize, other: &Cell<usize>) -> usize {
        most.saturating_sub(other.get()).max(most / 4)
    }

    pub fn client_sockets(&self) -> usize {
        Limits::left(self.client_sockets, &self.sockets.other_clients)
    }

    pub fn backend_sockets(&self) -> usize {
        Limits::left(self.backend_sockets, &self.sockets.other_backends)
    }

    pub fn kept_sockets(&self) -> usize {
        Limits::left(self.kept_sockets, &self.sockets.other_clients)
    }

    /// Goes by what another file says from now on.
    pub fn follow(&self, other: &Limits) {
        self.dial.set(other.dial.get());
        self.backend_idle.set(other.backend_idle.get());
        // A command in hand may still have the longer one.
        self.answer_by.set(self.answer_by.get().max(other.answer_by.get()));
        self.end_by.set(self.end_by.get().max(other.end_by.get()));
    }
}
