//! What is known about one member, and how long a suspicion of it lasts.

use crate::node_info::{Generation, Incarnation, Load, MemberState, NodeInfo};
use yarrowfront::times::{Micros, Timestamp};

/// The number of independent confirmations that make a suspicion as short as it gets (Lifeguard's K).
pub const MAX_CONFIRMATIONS: usize = 3;
/// The shortest suspicion, in probe intervals, whatever the size of the fleet. Two intervals were too few where a
/// refutation has to come round a cut link: one of six live nodes was declared dead.
const MIN_SUSPICION_PERIODS: f64 = 4.0;
/// The shortest suspicion, in probe intervals per factor of ten in members. With 2.0 here and 3.0 in
/// `MAX_SUSPICION_FACTOR` a fleet of 1,000 nodes took up to 3.4 s to learn of a death (docs/view.md).
const SUSPICION_PERIODS_PER_DECADE: f64 = 1.5;
/// How much longer than the shortest one a suspicion without confirmation lasts.
const MAX_SUSPICION_FACTOR: f64 = 2.5;

/// The knowledge about one member.
#[derive(Clone, Debug)]
pub struct Member {
    pub generation: Generation,
    pub incarnation: Incarnation,
    pub state: MemberState,
    pub info: NodeInfo,
    /// The incarnation that `info` was announced with.
    pub info_incarnation: Incarnation,
    /// Since when the member is in this state, and the name of the node that reported it.
    pub state_since: Timestamp,
    pub reported_by: String,
    /// When a datagram last came from the member itself, and the load that it then reported.
    pub last_heard: Option<Timestamp>,
    pub load: Option<Load>,
    /// The smoothed round-trip time of probes.
    pub rtt: Option<Micros>,
    /// Direct probes sent, and those that were not answered directly.
    pub probes_sent: u64,
    pub probes_lost: u64,
    /// When the suspicion ends in death, or a dead or departed member is forgotten.
    pub(crate) timer: Option<Timestamp>,
    /// The nodes that suspect the member.
    pub(crate) suspected_by: Vec<String>,
    /// When this node last informed the member that it is not considered alive.
    pub(crate) last_accused: Option<Timestamp>,
}

impl Member {
    /// The precedence of this state of knowledge: the greater of two wins.
    pub fn rank(&self) -> (Generation, Incarnation, MemberState) {
        (self.generation, self.incarnation, self.state)
    }
}

/// The duration of a suspicion, counted from its beginning, for this number of members and of nodes that suspect the
/// member.
pub(crate) fn suspicion_timeout(probe_interval: Micros, members: usize, suspecters: usize) -> Micros {
    let shortest =
        (SUSPICION_PERIODS_PER_DECADE * (members.max(10) as f64).log10()).max(MIN_SUSPICION_PERIODS);
    let longest = shortest * MAX_SUSPICION_FACTOR;
    let confirmations = MAX_CONFIRMATIONS.min(members.saturating_sub(2));
    let part = match confirmations {
        0 => 1.0,
        // The first suspecter confirms nothing.
        k => ((suspecters.max(1) as f64).ln() / (k as f64 + 1.0).ln()).min(1.0),
    };
    probe_interval.scaled((longest - (longest - shortest) * part).max(shortest))
}
