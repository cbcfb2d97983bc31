//! A command that the node has in progress, and its launches.

use crate::ids::{BackendId, CommandHandle, CommandId, GroupId, ProfileId, ZoneId};
use crate::times::{Micros, Timestamp};

/// How a launch ended, as the caller saw it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// A successful answer.
    Finished,
    /// The backend answered with an error: the command may have run.
    Errored,
    /// The backend refused the command before processing it, because it was full or draining.
    Full,
    /// No answer within the command's time.
    TimedOut,
    /// No connection could be opened: the command never ran.
    ConnectFailed,
    /// The connection broke while the launch was in flight.
    ConnectionLost,
    /// The node stopped waiting for the answer.
    Cancelled,
    /// The launch was never sent.
    NotSent,
}

impl Outcome {
    /// Whether the outcome proves that the command did not run. `Full` proves it only if backends refuse before they
    /// begin.
    pub fn proves_not_run(self, full_may_have_run: bool) -> bool {
        matches!(self, Outcome::ConnectFailed | Outcome::NotSent)
            || self == Outcome::Full && !full_may_have_run
    }
}

/// Whether a launch is in flight, and if not, whether the command may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LaunchState {
    InFlight,
    NotRun,
    MayHaveRun,
}

/// One attempt of a command at a backend.
#[derive(Clone, Copy, Debug)]
pub struct Launch {
    pub backend: BackendId,
    pub zone: ZoneId,
    pub group: GroupId,
    pub sent_at: Timestamp,
    pub state: LaunchState,
    /// Expected work of the command in standard microseconds.
    pub expected_work: f64,
    /// Expected work at the backend including this command, in standard microseconds.
    pub work_ahead: f64,
    /// Own launches in flight at the backend, including this one.
    pub depth: u32,
    /// When the launch starts to count as lost.
    pub lost_at: Timestamp,
    /// Whether it counts as lost. It may still be answered.
    pub is_lost: bool,
    /// Whether a new connection was opened for it.
    pub is_new_connection: bool,
    /// How long its connection had been idle before.
    pub connection_idle: Micros,
}

/// Upper bound on the launches of a command, whatever the settings allow.
pub const MAX_LAUNCHES: usize = 8;

/// A client's request.
#[derive(Clone, Debug)]
pub struct Command {
    pub id: CommandId,
    pub profile: ProfileId,
    /// Start of the goal time.
    pub arrived_at: Timestamp,
    /// When the client gives up this attempt.
    pub deadline: Timestamp,
    /// The client's hint of the work, in microseconds.
    pub work_hint: Option<Micros>,
    /// The client has sent the same command before.
    pub is_client_retry: bool,
    /// What the command is about: commands with equal keys are related, and 0 means no key.
    pub affinity_key: u64,
    /// It has been answered or rejected, or its client has gone.
    pub is_closed: bool,
    /// The last byte of the body has not arrived. It cannot be launched again, as its first bytes are not kept.
    pub is_body_incomplete: bool,
    /// The body has been streamed to a backend, so it cannot be launched again.
    pub is_body_consumed: bool,
    /// It has been counted as an arrival.
    pub(crate) is_registered: bool,
    pub(crate) is_queued: bool,
    /// When a decision is to be made again; the largest value means never.
    pub(crate) reevaluate_at: Timestamp,
    /// Until when it waits for the probes sent on its behalf.
    pub(crate) probing_until: Timestamp,
    pub(crate) probe_rounds: u8,
    /// Payoff per unit of work: its priority in the queue and for admission.
    pub(crate) payoff_density: f64,
    pub(crate) arrival_order: u64,
    launches: [Option<Launch>; MAX_LAUNCHES],
    launch_count: u8,
}

impl Command {
    pub fn new(id: CommandId, profile: ProfileId, now: Timestamp, time_left: Micros) -> Command {
        Command {
            id,
            profile,
            arrived_at: now,
            deadline: now + time_left,
            work_hint: None,
            is_client_retry: false,
            affinity_key: 0,
            is_closed: false,
            is_body_incomplete: false,
            is_body_consumed: false,
            is_registered: false,
            is_queued: false,
            reevaluate_at: Timestamp(u64::MAX),
            probing_until: Timestamp(0),
            probe_rounds: 0,
            payoff_density: 0.0,
            arrival_order: 0,
            launches: [None; MAX_LAUNCHES],
            launch_count: 0,
        }
    }

    pub fn launches(&self) -> impl Iterator<Item = &Launch> {
        self.launches.iter().flatten()
    }

    pub fn launch(&mut self, number: u8) -> Option<&mut Launch> {
        self.launches.get_mut(usize::from(number))?.as_mut()
    }

    /// The first launch that has run, may have run or may still run, leaving out launch `except`.
    pub(crate) fn first_that_may_have_run(&self, except: Option<u8>) -> Option<&Launch> {
        let others = self
            .launches()
            .enumerate()
            .filter(|(launch_number, _)| Some(*launch_number) != except.map(usize::from));
        others.map(|(_, launch)| launch).find(|launch| launch.state != LaunchState::NotRun)
    }

    pub fn launch_count(&self) -> usize {
        usize::from(self.launch_count)
    }

    /// Launches in flight, including lost ones.
    pub fn in_flight_count(&self) -> usize {
        self.launches().filter(|l| l.state == LaunchState::InFlight).count()
    }

    /// The first launch in flight that is not lost.
    pub(crate) fn awaited_launch(&mut self) -> Option<&mut Launch> {
        self.launches.iter_mut().flatten().find(|l| l.state == LaunchState::InFlight && !l.is_lost)
    }

    /// The last byte of the body was passed on after a launch had begun. The command's time counts from when the
    /// client had written that byte, and the launch's time from now.
    pub(crate) fn on_body_complete(&mut self, now: Timestamp, ended_at: Timestamp) {
        (self.is_body_incomplete, self.is_body_consumed) = (false, true);
        let delay = ended_at.since(self.arrived_at);
        (self.arrived_at, self.deadline) = (self.arrived_at + delay, self.deadline + delay);
        self.reevaluate_at = self.reevaluate_at + delay;
        for launch in self.launches.iter_mut().flatten().filter(|l| l.state == LaunchState::InFlight) {
            launch.lost_at = launch.lost_at + now.since(launch.sent_at);
            launch.sent_at = now;
            launch.is_lost = false;
        }
    }

    pub(crate) fn add_launch(&mut self, launch: Launch) {
        self.launches[usize::from(self.launch_count)] = Some(launch);
        self.launch_count += 1;
    }
}

/// An entry of the queue of commands that wait for a backend.
pub(crate) struct QueuedCommand {
    pub(crate) payoff_density: f64,
    pub(crate) arrival_order: u64,
    pub(crate) handle: CommandHandle,
    pub(crate) latest_start: Timestamp,
}

/// Where a command may still be launched and until when, and whether it may be rejected.
pub(crate) struct LaunchBounds {
    pub(crate) may_launch: bool,
    pub(crate) may_reject: bool,
    pub(crate) until: Timestamp,
    pub(crate) zone: Option<ZoneId>,
    pub(crate) group: Option<GroupId>,
}
