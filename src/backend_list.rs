//! What the list of backends says.

use crate::ids::{BackendId, GroupId, KindId, ZoneId};
use crate::times::Moment;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListKind {
    Changes,
    Whole,
    Cached,
    /// A call failed, or the watch was ended.
    Failed,
    /// The watch has fallen silent: what it misses counts as told soon.
    Silent,
}

impl ListKind {
    /// Nothing is told: the list holds as it is known.
    pub fn tells_nothing(self) -> bool {
        matches!(self, ListKind::Failed | ListKind::Silent)
    }
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum State {
    #[default]
    Gone,
    Ready,
    Draining,
}

/// One line of the list of backends.
#[derive(Clone, Copy, Debug, Default)]
pub struct Listed {
    pub backend: BackendId,
    /// Says the same of it at every node.
    pub mark: u64,
    /// What it is registered as able to do, beside the others.
    pub size: f64,
    pub zone: ZoneId,
    pub kind: KindId,
    pub group: GroupId,
    pub state: State,
    pub started: Moment,
}
