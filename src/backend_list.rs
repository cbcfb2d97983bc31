//! What the list of backends says.

use crate::ids::{BackendId, BackendTypeId, GroupId, ZoneId};
use crate::times::Timestamp;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListUpdateKind {
    Delta,
    Snapshot,
    Cached,
    /// A call failed, or the watch was ended.
    Failed,
    /// The watch has fallen silent: what it misses counts as told soon.
    Silent,
}

impl ListUpdateKind {
    /// Nothing is told: the list holds as it is known.
    pub fn is_failure(self) -> bool {
        matches!(self, ListUpdateKind::Failed | ListUpdateKind::Silent)
    }
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum BackendState {
    #[default]
    Gone,
    Ready,
    Draining,
}

/// One line of the list of backends.
#[derive(Clone, Copy, Debug, Default)]
pub struct ListEntry {
    pub backend: BackendId,
    /// Says the same of it at every node.
    pub name_hash: u64,
    /// What it is registered as able to do, beside the others.
    pub weight: f64,
    pub zone: ZoneId,
    pub backend_type: BackendTypeId,
    pub group: GroupId,
    pub state: BackendState,
    pub started_at: Timestamp,
}
