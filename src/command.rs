//! A command in hand and what became of its launches.

use crate::ids::{BackendId, CommandHandle, CommandId, GroupId, ProfileId, ZoneId};
use crate::times::{Micros, Timestamp};

/// How a launch ended, as the caller saw it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    Finished,
    /// The backend answered with an error: it may have run.
    Errored,
    /// Sent back unseen: full or draining.
    Full,
    TimedOut,
    /// No connection: it never ran.
    ConnectFailed,
    ConnectionLost,
    Cancelled,
    /// It was never sent.
    NotSent,
}

impl Outcome {
    /// Whether it shows that the launch never ran: `Full` only where a backend says so before it begins.
    pub fn proves_not_run(self, full_may_have_run: bool) -> bool {
        matches!(self, Outcome::ConnectFailed | Outcome::NotSent)
            || self == Outcome::Full && !full_may_have_run
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LaunchState {
    InFlight,
    NotRun,
    MayHaveRun,
}

#[derive(Clone, Copy, Debug)]
pub struct Launch {
    pub backend: BackendId,
    pub zone: ZoneId,
    pub group: GroupId,
    pub sent_at: Timestamp,
    pub state: LaunchState,
    /// Expected work, and the expected work ahead of it with its own, both in standard microseconds.
    pub expected_work: f64,
    pub work_ahead: f64,
    /// Own launches in flight at the backend with this one.
    pub depth: u32,
    /// From when on it is taken for lost, and whether it has been: it may still be answered.
    pub lost_at: Timestamp,
    pub is_lost: bool,
    /// A new connection was opened for it; and for how long the one that it went on had been idle.
    pub is_new_connection: bool,
    pub connection_idle: Micros,
}

/// Launches a command can have at most, whatever the settings allow.
pub const MOST_LAUNCHES: usize = 8;

#[derive(Clone, Debug)]
pub struct Command {
    pub id: CommandId,
    pub profile: ProfileId,
    pub arrived_at: Timestamp,
    /// When the client gives this try up.
    pub deadline: Timestamp,
    pub work_hint: Option<Micros>,
    pub is_client_retry: bool,
    /// What it is about; commands with equal keys are related, and 0 says nothing.
    pub affinity_key: u64,
    pub is_closed: bool,
    /// Its last byte is still to come, and it cannot be sent again as its first are gone.
    pub is_body_incomplete: bool,
    pub is_body_consumed: bool,
    pub(crate) seen: bool,
    pub(crate) waiting: bool,
    pub(crate) look_at: Timestamp,
    /// Until when it is held for the probes sent on its behalf.
    pub(crate) asked: Timestamp,
    pub(crate) rounds: u8,
    pub(crate) value: f64,
    pub(crate) order: u64,
    launches: [Option<Launch>; MOST_LAUNCHES],
    count: u8,
}

impl Command {
    pub fn new(id: CommandId, profile: ProfileId, now: Timestamp, left: Micros) -> Command {
        Command {
            id,
            profile,
            arrived_at: now,
            deadline: now + left,
            work_hint: None,
            is_client_retry: false,
            affinity_key: 0,
            is_closed: false,
            is_body_incomplete: false,
            is_body_consumed: false,
            seen: false,
            waiting: false,
            look_at: Timestamp(u64::MAX),
            asked: Timestamp(0),
            rounds: 0,
            value: 0.0,
            order: 0,
            launches: [None; MOST_LAUNCHES],
            count: 0,
        }
    }

    pub fn launches(&self) -> impl Iterator<Item = &Launch> {
        self.launches.iter().flatten()
    }

    pub fn launch(&mut self, number: u8) -> Option<&mut Launch> {
        self.launches.get_mut(usize::from(number))?.as_mut()
    }

    /// The first of its launches that may have run, or may yet, leaving this one aside.
    pub(crate) fn may_have_run(&self, but: Option<u8>) -> Option<&Launch> {
        let others = self.launches().enumerate().filter(|(n, _)| Some(*n) != but.map(usize::from));
        others.map(|(_, launch)| launch).find(|launch| launch.state != LaunchState::NotRun)
    }

    pub fn launch_count(&self) -> usize {
        usize::from(self.count)
    }

    pub fn in_flight_count(&self) -> usize {
        self.launches().filter(|l| l.state == LaunchState::InFlight).count()
    }

    /// The first launch out of which an answer is still expected.
    pub(crate) fn awaited(&mut self) -> Option<&mut Launch> {
        self.launches.iter_mut().flatten().find(|l| l.state == LaunchState::InFlight && !l.is_lost)
    }

    /// Its last byte came only now, and a launch that is out began with it: its times count from here.
    pub(crate) fn on_body_complete(&mut self, now: Timestamp) {
        (self.is_body_incomplete, self.is_body_consumed) = (false, true);
        let late = now.since(self.arrived_at);
        (self.arrived_at, self.deadline) = (now, self.deadline + late);
        self.look_at = self.look_at + late;
        for launch in self.launches.iter_mut().flatten().filter(|l| l.state == LaunchState::InFlight) {
            launch.lost_at = launch.lost_at + now.since(launch.sent_at);
            launch.sent_at = now;
            launch.is_lost = false;
        }
    }

    pub(crate) fn add(&mut self, launch: Launch) {
        self.launches[usize::from(self.count)] = Some(launch);
        self.count += 1;
    }
}

/// A command's place among the held.
pub(crate) struct Held {
    pub(crate) value: f64,
    pub(crate) order: u64,
    pub(crate) hand: CommandHandle,
    pub(crate) latest: Timestamp,
}

/// Where a command may still go and until when, and whether it may be turned back.
pub(crate) struct Bounds {
    pub(crate) launch: bool,
    pub(crate) turn_back: bool,
    pub(crate) until: Timestamp,
    pub(crate) zone: Option<ZoneId>,
    pub(crate) group: Option<GroupId>,
}
