//! Entries and updates of discovery's list of backends.

use crate::ids::{BackendId, BackendTypeId, GroupId, ZoneId};
use crate::times::Timestamp;

/// What an update of the list contains.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListUpdateKind {
    /// The entries that have changed.
    Delta,
    /// The whole list.
    Snapshot,
    /// The whole list as it was saved earlier, not from discovery itself.
    Cached,
    /// The call failed, or the watch ended.
    Failed,
    /// The watch has gone silent: an update that it misses will soon count as known.
    Silent,
}

impl ListUpdateKind {
    /// Whether there are no entries, so that the known list stays in use.
    pub fn is_failure(self) -> bool {
        matches!(self, ListUpdateKind::Failed | ListUpdateKind::Silent)
    }
}

/// Whether a backend takes new commands, by the list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum BackendState {
    #[default]
    Gone,
    Ready,
    Draining,
}

/// One entry of the list of backends.
#[derive(Clone, Copy, Debug, Default)]
pub struct ListEntry {
    pub backend: BackendId,
    /// Hash of its name, the same at every node.
    pub name_hash: u64,
    /// Its registered capacity relative to other backends.
    pub weight: f64,
    pub zone: ZoneId,
    pub backend_type: BackendTypeId,
    pub group: GroupId,
    pub state: BackendState,
    /// When it started; 0 for a start long ago.
    pub started_at: Timestamp,
}
