//! The books on one member, and how long a suspicion of it lasts.

use crate::card::{Card, Edition, Life, Load, Standing};
use yarrowfront::times::{Micros, Timestamp};

/// So many that suspect it independently make a suspicion as short as it gets (Lifeguard's K).
pub const CONFIRMERS: usize = 3;
/// The shortest suspicion, in periods, at the least and for each tenfold of members; and how much longer one without
/// confirmation lasts. With 2.0 and 3.0 a thousand nodes knew a death in up to 3.4 s (docs/view.md). Two periods at the
/// least were too few where a refutation has to come round a way that is cut: one of six live nodes was called dead.
const LEAST: f64 = 4.0;
const SHORTEST: f64 = 1.5;
const LONGEST: f64 = 2.5;

#[derive(Clone, Debug)]
pub struct Member {
    pub life: Life,
    pub edition: Edition,
    pub standing: Standing,
    pub card: Card,
    /// The edition that the card came with.
    pub carded: Edition,
    /// Since when it stands so, and by whose word.
    pub since: Timestamp,
    pub by: String,
    /// When it was last heard itself, and what it then said of its load.
    pub heard: Option<Timestamp>,
    pub load: Option<Load>,
    /// Of asks and answers: how long they take, how many were sent, and how many were lost.
    pub trip: Option<Micros>,
    pub asked: u64,
    pub lost: u64,
    /// When its suspicion is over, or it is forgotten.
    pub(crate) timer: Option<Timestamp>,
    /// Who suspects it.
    pub(crate) suspecters: Vec<String>,
    /// Told last that it is not taken to be alive.
    pub(crate) accused: Option<Timestamp>,
}

impl Member {
    /// What is believed of it, as it compares: the greater holds.
    pub fn rank(&self) -> (Life, Edition, Standing) {
        (self.life, self.edition, self.standing)
    }
}

/// How long a suspicion lasts from its beginning, with so many members and suspecters.
pub(crate) fn suspicion(period: Micros, members: usize, suspecters: usize) -> Micros {
    let least = (SHORTEST * (members.max(10) as f64).log10()).max(LEAST);
    let most = least * LONGEST;
    let others = CONFIRMERS.min(members.saturating_sub(2));
    let part = match others {
        0 => 1.0,
        // The first suspecter confirms nothing.
        k => ((suspecters.max(1) as f64).ln() / (k as f64 + 1.0).ln()).min(1.0),
    };
    period.scaled((most - (most - least) * part).max(least))
}
