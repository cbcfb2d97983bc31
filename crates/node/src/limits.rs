//! All sizes, counts and times that bound the node, computed once at the start. Those that derive from the
//! settings follow a reload; file descriptors and memory belong to the process and stay.

use crate::answer_body::AnswerBodyLimits;
use crate::bodies::RequestBodyLimits;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

/// Open connections from clients and to backends, in this process and, while there is one, in the other
/// process of this node.
#[derive(Default)]
pub struct Sockets {
    pub clients: Cell<usize>,
    pub backends: Rc<Cell<usize>>,
    pub other_clients: Cell<usize>,
    pub other_backends: Cell<usize>,
}

/// The limits of one process.
pub struct Limits {
    /// The maximum size of a request's or an answer's head.
    pub max_head_bytes: usize,
    /// How the bodies of requests and of answers are read.
    pub request_bodies: RequestBodyLimits,
    pub answer_bodies: AnswerBodyLimits,
    /// How long the sender of a streaming body may send nothing: a client, and a backend. The second one
    /// also bounds how long a client may take to read on.
    pub client_silence: Duration,
    pub backend_silence: Duration,
    /// The memory budget of all bodies, of requests and of answers, in bytes.
    pub body_memory_bytes: usize,
    /// The maximum size of one message of the list or of the handover, in bytes.
    pub max_message_bytes: usize,
    /// The maximum number of connections from clients (and of commands in flight), the maximum number of
    /// connections to backends (for launches and probes), and how many client connections may exceed the
    /// first number until idle ones have closed.
    max_client_sockets: usize,
    max_backend_sockets: usize,
    pub surplus_client_sockets: usize,
    pub sockets: Sockets,
    /// The maximum number of client connections that stay open between commands; beyond it, each answer
    /// closes its connection.
    max_kept_client_sockets: usize,
    /// The maximum number of connections from operators, and of bytes of a body that their request should
    /// not have.
    pub max_admin_connections: usize,
    pub max_admin_body_bytes: usize,
    /// How long the other process of this node may take to answer, and the interval between two reports of
    /// its usage.
    pub peer_timeout: Duration,
    pub peer_report_interval: Duration,
    /// How long it may take to say whether it has run a command: longer than a process is usually held up.
    pub claim_timeout: Duration,
    /// How long a connection from an operator may last.
    pub admin_timeout: Duration,
    /// The length of the kernel's queue of connections that wait to be accepted.
    pub backlog: u32,
    /// The timeout for connecting to a backend or to discovery.
    pub connect_timeout: Cell<Duration>,
    /// How long a pooled connection may take to become ready: it only has to notice that its last answer is
    /// over.
    pub ready_timeout: Duration,
    /// How long a connection rests after an answer before the next launch uses it. A backend that answers
    /// twice sends the second answer some milliseconds after the first, and on a connection in use it would
    /// be taken for the answer to the next request. When every connection rested after every answer, the
    /// mean score of the short simulated days fell by a tenth, because the next launch had to open a
    /// connection of its own. So connections rest only for `rest_period` after a backend was seen to answer
    /// twice.
    pub rest_after_answer: Duration,
    /// How long after the last sign of a second answer connections rest after each answer.
    pub rest_period: Duration,
    /// How long an idle connection to a backend is kept.
    pub backend_idle_timeout: Cell<Duration>,
    /// The timeout of a probe. A backend answers it without queueing, in about a round trip.
    pub probe_timeout: Duration,
    /// The timeout for discovery's answer to a call and for the first line. Discovery works through calls in
    /// turn. A list change binds the node six seconds after discovery had it, and within that time a call
    /// that timed out must be followed by one that is answered.
    pub discovery_timeout: Duration,
    /// The timeout for the next message or heartbeat on a watch: the heartbeat interval of two seconds, and
    /// half of that for delays. A change that a watch misses binds the node six seconds after the watch has
    /// fallen silent; the rest of that time is for the new watch.
    pub heartbeat_timeout: Duration,
    /// How long after the stop signal connections are still accepted, and how long idle ones stay open.
    pub accept_after_stop: Duration,
    pub keep_idle_after_stop: Duration,
    /// When the commands in flight are answered after the stop signal, and when the node exits even if a
    /// client still owes the rest of a command.
    pub answer_after_stop: Cell<Duration>,
    pub exit_after_stop: Cell<Duration>,
    /// How long the node waits for the last connections in the kernel's queue.
    pub queue_drain_timeout: Duration,
    /// A connection without a command for this long is idle. Before that, its first command may be on its
    /// way.
    pub idle_after: Duration,
    /// The same at the limit of connections, where others wait in the kernel's queue meanwhile.
    pub crowded_idle_after: Duration,
    /// How often a client's close is looked for where it lies behind unread data: a fraction of the tenth of a second
    /// within which nothing may be launched for it any more.
    pub close_check_interval: Duration,
    /// How long a closing connection is still read, so that the client receives its last answer.
    pub close_timeout: Duration,
    /// How long a connection may take to its first complete head, and how long one that had a command may be
    /// idle.
    pub first_head_timeout: Duration,
    pub client_idle_timeout: Duration,
    /// The maximum time that a command may be in flight, whatever its client asks for.
    pub max_command_time: Duration,
    /// How long after its client's time an answer that has begun may still come to its end. Half a second after
    /// its time it would be lost.
    pub late_answer_allowance: Duration,
    /// The interval between two sweeps of idle connections to backends.
    pub sweep_interval: Duration,
    /// The pause after a failed accept. A resource that was lacking becomes free, if ever, without the
    /// node's doing.
    pub accept_retry_pause: Duration,
    /// The resolution of the runtime's timers.
    pub timer_resolution: Duration,
    /// The maximum number of log lines per second from each place in the code.
    pub log_lines_per_s: u32,
}

/// File descriptors reserved for the standard streams, the runtime, the listeners, discovery, operators and
/// connections that are just closing.
const RESERVED_DESCRIPTORS: usize = 64;
/// The part of the reserved descriptors for the streams, the runtime, the listeners, discovery, the other
/// process and the socket for a successor.
const OWN_DESCRIPTORS: usize = 20;
/// The part of the reserved descriptors for connections from operators.
const OPERATOR_DESCRIPTORS: usize = 24;
const _: () = assert!(OWN_DESCRIPTORS + OPERATOR_DESCRIPTORS <= RESERVED_DESCRIPTORS);

/// What a connection takes at most beside the bodies on it, in bytes: its task, and a buffer in each direction.
const CONNECTION_BYTES: usize = 40 << 10;
/// What the program, the list of backends and what is learned of them take, in bytes; in a small process at most a
/// quarter of its memory.
const PROCESS_BYTES: usize = 8 << 20;

/// The process is killed no sooner than 700 ms after the longest time limit, of which at most this much
/// counts.
const MAX_TIME_LIMIT_BEFORE_KILL: Duration = Duration::from_secs(3);

/// The minimum resources: sockets for eight commands at a time, and memory for their windows.
const MIN_SOCKETS: usize = RESERVED_DESCRIPTORS + 16;
const MIN_MEMORY_MB: usize = 8;

/// The size up to which a body is buffered, which the protocol defines, and the largest body that is
/// streamed, in bytes.
const BODY_WINDOW_BYTES: usize = 64 << 10;
/// An answer of unknown length is taken for a long one from this many bytes on: nothing that comes before the window
/// is full tells more, and a long one must not be cut off.
const LONG_ANSWER_BEGINNING_BYTES: usize = 4 << 10;
const MAX_BODY_BYTES: usize = 32 << 20;

impl Limits {
    /// Computes the limits from the resources and timeouts in the configuration. The idle timeout is that
    /// of the backends.
    pub fn compute(
        sockets: usize,
        memory_mb: usize,
        connect_timeout: Duration,
        idle_timeout: Duration,
        longest_time_limit: Duration,
    ) -> Result<Limits, String> {
        for (key, value, minimum) in
            [("sockets", sockets, MIN_SOCKETS), ("memory_mb", memory_mb, MIN_MEMORY_MB)]
        {
            if value < minimum {
                return Err(format!("limits.{key} is {value}; it must be at least {minimum}"));
            }
        }
        let memory_bytes = memory_mb << 20;
        let surplus_client_sockets = sockets / 16;
        // Connections take half of the memory at most.
        let sockets_in_memory = memory_bytes / 2 / CONNECTION_BYTES;
        let usable_sockets = sockets
            .saturating_sub(RESERVED_DESCRIPTORS + surplus_client_sockets)
            .min(sockets_in_memory.saturating_sub(surplus_client_sockets))
            .max(8);
        let connection_bytes = (usable_sockets + surplus_client_sockets) * CONNECTION_BYTES;
        let process_bytes = PROCESS_BYTES.min(memory_bytes / 4);
        let remaining_bytes = memory_bytes.saturating_sub(connection_bytes + process_bytes);
        // Allocated memory is never used without gaps.
        let body_memory_bytes = (remaining_bytes / 4 * 3).clamp(memory_bytes / 8, memory_bytes / 2);
        // A command needs one connection on either side, but clients keep more idle connections than the
        // pool does.
        let max_client_sockets = (usable_sockets * 3 / 5).max(4);
        Ok(Limits {
            max_head_bytes: 16 << 10,
            // A body has no time limit of its own until its last byte. A well-behaved client sends 64 kB per
            // second in pieces: half of that rate is required, after two seconds to begin with.
            request_bodies: RequestBodyLimits {
                window_bytes: BODY_WINDOW_BYTES,
                max_bytes: MAX_BODY_BYTES,
                max_silence: Duration::from_millis(2000),
                min_bytes_per_s: 32 << 10,
            },
            answer_bodies: AnswerBodyLimits {
                window_bytes: BODY_WINDOW_BYTES,
                max_bytes: MAX_BODY_BYTES,
                long_from_bytes: LONG_ANSWER_BEGINNING_BYTES,
                hold_back_long: Duration::from_millis(100),
                // A long answer that is held back for two seconds is lost.
                hold_back_short: Duration::from_millis(1500),
            },
            // A few round trips, and the time until the client stops writing because it has read its answer.
            close_timeout: Duration::from_millis(500),
            client_silence: Duration::from_millis(2500),
            // The kernel buffers some megabytes for a slow reader, so it can take long before it reads on.
            backend_silence: Duration::from_secs(60),
            body_memory_bytes,
            max_message_bytes: 4 << 20,
            max_client_sockets,
            max_backend_sockets: (usable_sockets * 2 / 5).max(4),
            surplus_client_sockets,
            sockets: Sockets::default(),
            // Clients need a third of the descriptors for commands; half as many may be idle.
            max_kept_client_sockets: (sockets / 6).min(max_client_sockets / 2),
            // Part of the reserved descriptors. A request is answered within a millisecond; the rest of its
            // time a connection is only open.
            max_admin_connections: OPERATOR_DESCRIPTORS,
            max_admin_body_bytes: 64 << 10,
            // An operator must have an answer within a second; half of that is for the other process.
            peer_timeout: Duration::from_millis(600),
            peer_report_interval: Duration::from_millis(50),
            claim_timeout: Duration::from_millis(250),
            admin_timeout: Duration::from_millis(4000),
            backlog: 1024,
            connect_timeout: Cell::new(connect_timeout),
            ready_timeout: Duration::from_millis(20),
            rest_after_answer: Duration::from_millis(10),
            rest_period: Duration::from_secs(60),
            // Half of the backend's own idle timeout is early enough, whatever the network delay and however
            // late the node.
            backend_idle_timeout: Cell::new(idle_timeout / 2),
            probe_timeout: Duration::from_millis(50),
            discovery_timeout: Duration::from_millis(3300),
            heartbeat_timeout: Duration::from_millis(3000),
            accept_after_stop: Duration::from_millis(500),
            keep_idle_after_stop: Duration::from_millis(600),
            answer_after_stop: Cell::new(
                MAX_TIME_LIMIT_BEFORE_KILL.min(longest_time_limit) + Duration::from_millis(550),
            ),
            exit_after_stop: Cell::new(
                MAX_TIME_LIMIT_BEFORE_KILL.min(longest_time_limit) + Duration::from_millis(650),
            ),
            queue_drain_timeout: Duration::from_millis(20),
            idle_after: Duration::from_millis(100),
            crowded_idle_after: Duration::from_millis(10),
            close_check_interval: Duration::from_millis(20),
            // A client that sends nothing usable gets an error or is disconnected within three seconds of
            // connecting.
            // A well-behaved client may take two of them for its head.
            first_head_timeout: Duration::from_millis(2600),
            // Clients come back within a few seconds or not at all; each connection costs a descriptor and a
            // buffer.
            client_idle_timeout: Duration::from_secs(20),
            max_command_time: Duration::from_secs(600),
            late_answer_allowance: Duration::from_millis(250),
            sweep_interval: Duration::from_secs(1),
            accept_retry_pause: Duration::from_millis(5),
            timer_resolution: Duration::from_millis(1),
            log_lines_per_s: 5,
        })
    }

    /// The part of a budget that is left for this process, given what the other one uses: at least a
    /// quarter, since the other process takes nothing more and releases what it has.
    fn remaining(budget: usize, other: &Cell<usize>) -> usize {
        budget.saturating_sub(other.get()).max(budget / 4)
    }

    /// The maximum number of client connections, and of commands in flight, at present.
    pub fn max_client_sockets(&self) -> usize {
        Limits::remaining(self.max_client_sockets, &self.sockets.other_clients)
    }

    /// The maximum number of connections to backends at present.
    pub fn max_backend_sockets(&self) -> usize {
        Limits::remaining(self.max_backend_sockets, &self.sockets.other_backends)
    }

    /// The maximum number of client connections that stay open between commands at present.
    pub fn max_kept_client_sockets(&self) -> usize {
        Limits::remaining(self.max_kept_client_sockets, &self.sockets.other_clients)
    }

    /// Adopts the limits of a reloaded configuration.
    pub fn adopt(&self, other: &Limits) {
        self.connect_timeout.set(other.connect_timeout.get());
        self.backend_idle_timeout.set(other.backend_idle_timeout.get());
        // A command in flight may still have the longer time limit.
        self.answer_after_stop.set(self.answer_after_stop.get().max(other.answer_after_stop.get()));
        self.exit_after_stop.set(self.exit_after_stop.get().max(other.exit_after_stop.get()));
    }
}
