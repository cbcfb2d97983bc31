//! The list of backends: parses discovery's messages and the list cached in the configuration.

use crate::dispatcher::{AddressedEntry, Dispatcher};
use crate::log::note;
use serde_json::Value;
use std::cell::Cell;
use std::collections::hash_map::DefaultHasher;
use std::hash::{BuildHasher, BuildHasherDefault};
use std::rc::Rc;
use yarrowfront::decide::{ListKind, Listed, State};
use yarrowfront::ids::{GroupId, KindId, ZoneId};
use yarrowfront::times::Moment;

pub struct Lister {
    dispatcher: Rc<Dispatcher>,
    /// The list version that this node has.
    index: Cell<u64>,
}

fn place(names: &[String], entry: &Value, key: &str) -> Result<usize, String> {
    let name = entry.get(key).and_then(Value::as_str).ok_or_else(|| format!("{key} is not a string"))?;
    names.iter().position(|n| n == name).ok_or_else(|| format!("{key} {name:?} is not in the settings"))
}

fn number(entry: &Value, key: &str) -> Result<u64, String> {
    let n = entry.get(key).and_then(Value::as_f64).filter(|n| (0.0..1e15).contains(n));
    n.map(|n| n as u64).ok_or_else(|| format!("{key} is not a non-negative number"))
}

/// A hash of a name that is the same at every node, as the hasher has no random key.
pub fn mark(name: &str) -> u64 {
    BuildHasherDefault::<DefaultHasher>::default().hash_one(name)
}

impl Lister {
    pub fn new(dispatcher: Rc<Dispatcher>) -> Lister {
        Lister { dispatcher, index: Cell::new(0) }
    }

    pub fn index(&self) -> u64 {
        self.index.get()
    }

    /// Applies one message of discovery. Invalid entries are skipped and the others are used.
    pub fn told(&self, message: &Value, cached: bool) -> Result<(), String> {
        let entries =
            message.get("endpoints").and_then(Value::as_array).ok_or("endpoints is not an array")?;
        let whole = message.get("snapshot").and_then(Value::as_bool).unwrap_or(false);
        let mut lines = Vec::with_capacity(entries.len());
        for entry in entries {
            match self.line(entry) {
                Ok(line) => lines.push(line),
                Err(why) => note!("list: skipped an entry: {why}: {entry}"),
            }
        }
        let kind = match (cached, whole) {
            (true, _) => ListKind::Cached,
            (false, true) => ListKind::Whole,
            (false, false) => ListKind::Changes,
        };
        self.index.set(number(message, "index").unwrap_or(self.index.get()));
        if !cached {
            self.log_message(whole, &lines);
        }
        self.dispatcher.store_list_message(self.index.get(), kind != ListKind::Changes, entries);
        self.dispatcher.apply_list(kind, &lines);
        Ok(())
    }

    fn log_message(&self, whole: bool, lines: &[AddressedEntry]) {
        let count = |state| lines.iter().filter(|(listed, _)| listed.state == state).count();
        note!(
            "list: version {} ({}): {} ready, {} draining, {} gone",
            self.index.get(),
            if whole { "snapshot" } else { "changes" },
            count(State::Ready),
            count(State::Draining),
            count(State::Gone)
        );
    }

    fn line(&self, entry: &Value) -> Result<AddressedEntry, String> {
        let name = entry.get("name").and_then(Value::as_str).ok_or("name is not a string")?;
        let state = match entry.get("status").and_then(Value::as_str) {
            Some("ready") => State::Ready,
            Some("draining") => State::Draining,
            Some("gone") => State::Gone,
            _ => return Err("status is unknown".into()),
        };
        match self.whole_line(entry, name, state) {
            // No new command goes to it, so the other fields of its entry may be missing or invalid.
            Err(_) if state != State::Ready => Ok((
                Listed { backend: self.dispatcher.backend_id(name), state: State::Gone, ..Listed::default() },
                None,
            )),
            line => line,
        }
    }

    fn whole_line(&self, entry: &Value, name: &str, state: State) -> Result<AddressedEntry, String> {
        let address = entry.get("address").and_then(Value::as_str).and_then(|a| a.parse().ok());
        let address = address.ok_or("address is not an IP address with a port")?;
        let names = self.dispatcher.names();
        let listed = Listed {
            mark: mark(name),
            size: entry
                .get("weight")
                .and_then(Value::as_f64)
                .filter(|w| (1e-3..1e6).contains(w))
                .unwrap_or(1.0),
            zone: ZoneId(place(&names.zones, entry, "zone")? as u16),
            kind: KindId(place(&names.kinds, entry, "type")? as u8),
            group: GroupId(number(entry, "group")? as u16),
            state,
            started: Moment(number(entry, "since_ms")?.saturating_mul(1000)),
            // Last, so that an invalid entry does not use up an id.
            backend: self.dispatcher.backend_id(name),
        };
        Ok((listed, Some(address)))
    }
}

#[cfg(test)]
mod tests {
    use super::mark;

    /// All nodes, including those of older builds, must put the backends in the same order. With numbers
    /// assigned in order of arrival, or a randomly keyed hasher, each node would have its own order.
    #[test]
    fn a_name_is_the_same_number_everywhere() {
        assert_eq!([mark("s-5be2a07c"), mark("b1")], [8605843283703293279, 5184175751576726796]);
    }
}
