//! The list of backends, as messages of discovery's and the configuration tell it.

use crate::desk::{Desk, Line};
use crate::log::note;
use serde_json::Value;
use std::cell::Cell;
use std::collections::hash_map::DefaultHasher;
use std::hash::{BuildHasher, BuildHasherDefault};
use std::rc::Rc;
use yarrowfront::decide::{BackendState, ListEntry, ListUpdateKind};
use yarrowfront::ids::{BackendTypeId, GroupId, ZoneId};
use yarrowfront::times::Timestamp;

pub struct Lister {
    desk: Rc<Desk>,
    /// The version that this node has.
    index: Cell<u64>,
}

fn place(names: &[String], entry: &Value, key: &str) -> Result<usize, String> {
    let name = entry.get(key).and_then(Value::as_str).ok_or_else(|| format!("{key} is not a text"))?;
    names.iter().position(|n| n == name).ok_or_else(|| format!("{key} {name:?} is not in the settings"))
}

fn number(entry: &Value, key: &str) -> Result<u64, String> {
    let n = entry.get(key).and_then(Value::as_f64).filter(|n| (0.0..1e15).contains(n));
    n.map(|n| n as u64).ok_or_else(|| format!("{key} is not a number from 0 on"))
}

/// A name as a number: the same at every node, as the hasher has no key of its own.
pub fn mark(name: &str) -> u64 {
    BuildHasherDefault::<DefaultHasher>::default().hash_one(name)
}

impl Lister {
    pub fn new(desk: Rc<Desk>) -> Lister {
        Lister { desk, index: Cell::new(0) }
    }

    pub fn index(&self) -> u64 {
        self.index.get()
    }

    /// One message of discovery. A bad entry is left out, the others count.
    pub fn told(&self, message: &Value, cached: bool) -> Result<(), String> {
        let entries = message.get("endpoints").and_then(Value::as_array).ok_or("endpoints is not a list")?;
        let whole = message.get("snapshot").and_then(Value::as_bool).unwrap_or(false);
        let mut lines = Vec::with_capacity(entries.len());
        for entry in entries {
            match self.line(entry) {
                Ok(line) => lines.push(line),
                Err(why) => note!("list: an entry is left out: {why}: {entry}"),
            }
        }
        let kind = match (cached, whole) {
            (true, _) => ListUpdateKind::Cached,
            (false, true) => ListUpdateKind::Snapshot,
            (false, false) => ListUpdateKind::Delta,
        };
        self.index.set(number(message, "index").unwrap_or(self.index.get()));
        if !cached {
            self.log_message(whole, &lines);
        }
        self.desk.keep(self.index.get(), kind != ListUpdateKind::Delta, entries);
        self.desk.list(kind, &lines);
        Ok(())
    }

    fn log_message(&self, whole: bool, lines: &[Line]) {
        let count = |state| lines.iter().filter(|(listed, _)| listed.state == state).count();
        note!(
            "list: version {} ({}): {} ready, {} draining, {} gone",
            self.index.get(),
            if whole { "whole" } else { "changes" },
            count(BackendState::Ready),
            count(BackendState::Draining),
            count(BackendState::Gone)
        );
    }

    fn line(&self, entry: &Value) -> Result<Line, String> {
        let name = entry.get("name").and_then(Value::as_str).ok_or("name is not a text")?;
        let state = match entry.get("status").and_then(Value::as_str) {
            Some("ready") => BackendState::Ready,
            Some("draining") => BackendState::Draining,
            Some("gone") => BackendState::Gone,
            _ => return Err("status is unknown".into()),
        };
        match self.whole_line(entry, name, state) {
            // Nothing new goes to it, whatever else its entry says or lacks.
            Err(_) if state != BackendState::Ready => Ok((
                ListEntry { backend: self.desk.id(name), state: BackendState::Gone, ..ListEntry::default() },
                None,
            )),
            line => line,
        }
    }

    fn whole_line(&self, entry: &Value, name: &str, state: BackendState) -> Result<Line, String> {
        let address = entry.get("address").and_then(Value::as_str).and_then(|a| a.parse().ok());
        let address = address.ok_or("address is not an address with a port")?;
        let names = self.desk.names();
        let listed = ListEntry {
            name_hash: mark(name),
            weight: entry
                .get("weight")
                .and_then(Value::as_f64)
                .filter(|w| (1e-3..1e6).contains(w))
                .unwrap_or(1.0),
            zone: ZoneId(place(&names.zones, entry, "zone")? as u16),
            backend_type: BackendTypeId(place(&names.kinds, entry, "type")? as u8),
            group: GroupId(number(entry, "group")? as u16),
            state,
            started_at: Timestamp(number(entry, "since_ms")?.saturating_mul(1000)),
            // Last: an entry that is left out names nobody.
            backend: self.desk.id(name),
        };
        Ok((listed, Some(address)))
    }
}

#[cfg(test)]
mod tests {
    use super::mark;

    /// All nodes, of older builds too, must hold the backends in one order: by numbers given out as names come
    /// in, or by a hasher with a key of its own, each would have another.
    #[test]
    fn a_name_is_the_same_number_everywhere() {
        assert_eq!([mark("s-5be2a07c"), mark("b1")], [8605843283703293279, 5184175751576726796]);
    }
}
