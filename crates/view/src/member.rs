//! The books on one member, and how long a suspicion of it lasts.

use crate::node_info::{Generation, Incarnation, Load, MemberState, NodeInfo};
use yarrowfront::times::{Micros, Timestamp};

/// So many that suspect it independently make a suspicion as short as it gets (Lifeguard's K).
pub const MAX_CONFIRMATIONS: usize = 3;
/// The shortest suspicion, in periods, at the least and for each tenfold of members; and how much longer one without
/// confirmation lasts. With 2.0 and 3.0 a thousand nodes knew a death in up to 3.4 s (docs/view.md). Two periods at the
/// least were too few where a refutation has to come round a way that is cut: one of six live nodes was called dead.
const MIN_SUSPICION_PERIODS: f64 = 4.0;
const SUSPICION_PERIODS_PER_DECADE: f64 = 1.5;
const MAX_SUSPICION_FACTOR: f64 = 2.5;

#[derive(Clone, Debug)]
pub struct Member {
    pub generation: Generation,
    pub incarnation: Incarnation,
    pub state: MemberState,
    pub info: NodeInfo,
    /// The edition that the card came with.
    pub info_incarnation: Incarnation,
    /// Since when it stands so, and by whose word.
    pub state_since: Timestamp,
    pub reported_by: String,
    /// When it was last heard itself, and what it then said of its load.
    pub last_heard: Option<Timestamp>,
    pub load: Option<Load>,
    /// Of asks and answers: how long they take, how many were sent, and how many were lost.
    pub rtt: Option<Micros>,
    pub probes_sent: u64,
    pub probes_lost: u64,
    /// When its suspicion is over, or it is forgotten.
    pub(crate) timer: Option<Timestamp>,
    /// Who suspects it.
    pub(crate) suspected_by: Vec<String>,
    /// Told last that it is not taken to be alive.
    pub(crate) last_accused: Option<Timestamp>,
}

impl Member {
    /// What is believed of it, as it compares: the greater holds.
    pub fn rank(&self) -> (Generation, Incarnation, MemberState) {
        (self.generation, self.incarnation, self.state)
    }
}

/// How long a suspicion lasts from its beginning, with so many members and suspecters.
pub(crate) fn suspicion_timeout(period: Micros, members: usize, suspected_by: usize) -> Micros {
    let least = (SUSPICION_PERIODS_PER_DECADE * (members.max(10) as f64).log10()).max(MIN_SUSPICION_PERIODS);
    let most = least * MAX_SUSPICION_FACTOR;
    let others = MAX_CONFIRMATIONS.min(members.saturating_sub(2));
    let part = match others {
        0 => 1.0,
        // The first suspecter confirms nothing.
        k => ((suspected_by.max(1) as f64).ln() / (k as f64 + 1.0).ln()).min(1.0),
    };
    period.scaled((most - (most - least) * part).max(least))
}
