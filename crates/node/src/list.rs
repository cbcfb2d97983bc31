//! The list of backends: parses discovery's messages and the list cached in the configuration.

use crate::dispatcher::{AddressedEntry, Dispatcher};
use crate::log::log;
use serde_json::Value;
use std::cell::Cell;
use std::collections::hash_map::DefaultHasher;
use std::hash::{BuildHasher, BuildHasherDefault};
use std::rc::Rc;
use yarrowfront::decide::{BackendState, ListEntry, ListUpdateKind};
use yarrowfront::ids::{BackendTypeId, GroupId, ZoneId};
use yarrowfront::times::Timestamp;

/// Applies discovery's messages to the dispatcher and keeps the list's version.
pub struct ListUpdater {
    dispatcher: Rc<Dispatcher>,
    /// The list version that this node has.
    version: Cell<u64>,
}

fn name_index(names: &[String], entry: &Value, key: &str) -> Result<usize, String> {
    let name = entry.get(key).and_then(Value::as_str).ok_or_else(|| format!("{key} is not a string"))?;
    names.iter().position(|n| n == name).ok_or_else(|| format!("{key} {name:?} is not in the settings"))
}

fn parse_number(entry: &Value, key: &str) -> Result<u64, String> {
    let n = entry.get(key).and_then(Value::as_f64).filter(|n| (0.0..1e15).contains(n));
    n.map(|n| n as u64).ok_or_else(|| format!("{key} is not a non-negative number"))
}

/// A hash of a name that is the same at every node, as the hasher has no random key.
pub fn stable_hash(name: &str) -> u64 {
    BuildHasherDefault::<DefaultHasher>::default().hash_one(name)
}

impl ListUpdater {
    pub fn new(dispatcher: Rc<Dispatcher>) -> ListUpdater {
        ListUpdater { dispatcher, version: Cell::new(0) }
    }

    /// The list version that this node has; discovery is asked for changes since then.
    pub fn version(&self) -> u64 {
        self.version.get()
    }

    /// Applies one message of discovery. Invalid entries are skipped and the others are used.
    pub fn apply_message(&self, message: &Value, is_cached: bool) -> Result<(), String> {
        let entries =
            message.get("endpoints").and_then(Value::as_array).ok_or("endpoints is not an array")?;
        let is_snapshot = message.get("snapshot").and_then(Value::as_bool).unwrap_or(false);
        let mut parsed_entries = Vec::with_capacity(entries.len());
        for entry in entries {
            match self.parse_entry(entry) {
                Ok(entry) => parsed_entries.push(entry),
                Err(reason) => log!("list: skipped an entry: {reason}: {entry}"),
            }
        }
        let kind = match (is_cached, is_snapshot) {
            (true, _) => ListUpdateKind::Cached,
            (false, true) => ListUpdateKind::Snapshot,
            (false, false) => ListUpdateKind::Delta,
        };
        self.version.set(parse_number(message, "index").unwrap_or(self.version.get()));
        if !is_cached {
            self.log_message(is_snapshot, &parsed_entries);
        }
        self.dispatcher.store_list_message(self.version.get(), kind != ListUpdateKind::Delta, entries);
        self.dispatcher.apply_list(kind, &parsed_entries);
        Ok(())
    }

    fn log_message(&self, is_snapshot: bool, parsed_entries: &[AddressedEntry]) {
        let count = |state| parsed_entries.iter().filter(|(entry, _)| entry.state == state).count();
        log!(
            "list: version {} ({}): {} ready, {} draining, {} gone",
            self.version.get(),
            if is_snapshot { "snapshot" } else { "changes" },
            count(BackendState::Ready),
            count(BackendState::Draining),
            count(BackendState::Gone)
        );
    }

    fn parse_entry(&self, entry: &Value) -> Result<AddressedEntry, String> {
        let name = entry.get("name").and_then(Value::as_str).ok_or("name is not a string")?;
        let state = match entry.get("status").and_then(Value::as_str) {
            Some("ready") => BackendState::Ready,
            Some("draining") => BackendState::Draining,
            Some("gone") => BackendState::Gone,
            _ => return Err("status is unknown".into()),
        };
        match self.parse_complete_entry(entry, name, state) {
            // No new command goes to it, so the other fields of its entry may be missing or invalid.
            Err(_) if state != BackendState::Ready => Ok((
                ListEntry {
                    backend: self.dispatcher.backend_id(name),
                    state: BackendState::Gone,
                    ..ListEntry::default()
                },
                None,
            )),
            entry => entry,
        }
    }

    fn parse_complete_entry(
        &self,
        entry: &Value,
        name: &str,
        state: BackendState,
    ) -> Result<AddressedEntry, String> {
        let address = entry.get("address").and_then(Value::as_str).and_then(|a| a.parse().ok());
        let address = address.ok_or("address is not an IP address with a port")?;
        let names = self.dispatcher.names();
        let entry = ListEntry {
            name_hash: stable_hash(name),
            weight: entry
                .get("weight")
                .and_then(Value::as_f64)
                .filter(|w| (1e-3..1e6).contains(w))
                .unwrap_or(1.0),
            zone: ZoneId(name_index(&names.zones, entry, "zone")? as u16),
            backend_type: BackendTypeId(name_index(&names.backend_types, entry, "type")? as u8),
            group: GroupId(parse_number(entry, "group")? as u16),
            state,
            started_at: Timestamp(parse_number(entry, "since_ms")?.saturating_mul(1000)),
            // Last, so that an invalid entry does not use up an id.
            backend: self.dispatcher.backend_id(name),
        };
        Ok((entry, Some(address)))
    }
}

#[cfg(test)]
mod tests {
    use super::stable_hash;

    /// All nodes, including those of older builds, must put the backends in the same order. With numbers
    /// assigned in order of arrival, or a randomly keyed hasher, each node would have its own order.
    #[test]
    fn name_hash_is_the_same_on_all_nodes() {
        assert_eq!(
            [stable_hash("s-5be2a07c"), stable_hash("b1")],
            [8605843283703293279, 5184175751576726796]
        );
    }
}
