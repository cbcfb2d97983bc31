//! The list of backends: the one known at start, and the watch.

use crate::desk::{Desk, Line};
use crate::limits::Limits;
use crate::log::note;
use crate::message_reader::MessageReader;
use crate::transport::Transport;
use bytes::Bytes;
use http_body_util::{BodyExt, Empty};
use hyper::client::conn::http1;
use hyper::header::{HeaderValue, HOST};
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use serde_json::Value;
use std::collections::hash_map::DefaultHasher;
use std::hash::{BuildHasher, BuildHasherDefault};
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::sync::{mpsc, watch};
use tokio::time::{timeout, timeout_at, Instant};
use yarrowfront::decide::{ListKind, Listed, State};
use yarrowfront::ids::{GroupId, KindId, ZoneId};
use yarrowfront::times::Moment;

/// How a watch ends.
enum End {
    /// No line has come for longer than its beats are apart: whatever it may still miss is news.
    Silent,
    Failed(String),
}

impl From<String> for End {
    fn from(why: String) -> End {
        End::Failed(why)
    }
}

impl From<&str> for End {
    fn from(why: &str) -> End {
        End::Failed(why.to_owned())
    }
}

pub struct Lister {
    pub desk: Rc<Desk>,
    pub limits: Rc<Limits>,
    /// The version that this node has.
    pub index: u64,
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
    /// One message of discovery. A bad entry is left out, the others count.
    pub fn told(&mut self, message: &Value, cached: bool) -> Result<(), String> {
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
            (true, _) => ListKind::Cached,
            (false, true) => ListKind::Whole,
            (false, false) => ListKind::Changes,
        };
        self.index = number(message, "index").unwrap_or(self.index);
        if !cached {
            self.log_message(whole, &lines);
        }
        self.desk.keep(self.index, kind != ListKind::Changes, entries);
        self.desk.list(kind, &lines);
        Ok(())
    }

    fn log_message(&self, whole: bool, lines: &[Line]) {
        let count = |state| lines.iter().filter(|(listed, _)| listed.state == state).count();
        note!(
            "list: version {} ({}): {} ready, {} draining, {} gone",
            self.index,
            if whole { "whole" } else { "changes" },
            count(State::Ready),
            count(State::Draining),
            count(State::Gone)
        );
    }

    fn line(&self, entry: &Value) -> Result<Line, String> {
        let name = entry.get("name").and_then(Value::as_str).ok_or("name is not a text")?;
        let state = match entry.get("status").and_then(Value::as_str) {
            Some("ready") => State::Ready,
            Some("draining") => State::Draining,
            Some("gone") => State::Gone,
            _ => return Err("status is unknown".into()),
        };
        match self.whole_line(entry, name, state) {
            // Nothing new goes to it, whatever else its entry says or lacks.
            Err(_) if state != State::Ready => {
                Ok((Listed { backend: self.desk.id(name), state: State::Gone, ..Listed::default() }, None))
            }
            line => line,
        }
    }

    fn whole_line(&self, entry: &Value, name: &str, state: State) -> Result<Line, String> {
        let address = entry.get("address").and_then(Value::as_str).and_then(|a| a.parse().ok());
        let address = address.ok_or("address is not an address with a port")?;
        let names = self.desk.names();
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
            // Last: an entry that is left out names nobody.
            backend: self.desk.id(name),
        };
        Ok((listed, Some(address)))
    }

    /// Watches whenever the module wants the list followed, and says when that has ended. When discovery has
    /// moved the watch goes along at once: the list as it is known serves on, and nothing has failed.
    pub async fn run(
        mut self,
        mut wanted: mpsc::UnboundedReceiver<()>,
        mut discovery: watch::Receiver<SocketAddr>,
    ) {
        loop {
            tokio::select! {
                wanted = wanted.recv() => if wanted.is_none() { return },
                Ok(()) = discovery.changed() => {}
            }
            let ended = loop {
                let address = *discovery.borrow_and_update();
                tokio::select! {
                    ended = self.watch(address) => break ended,
                    Ok(()) = discovery.changed() => {}
                }
            };
            let kind = match ended {
                Ok(()) => ListKind::Failed,
                Err(End::Silent) => {
                    note!("list: the watch has ended: no line for a beat and a half");
                    ListKind::Silent
                }
                Err(End::Failed(why)) => {
                    note!("list: the watch has ended: {why}");
                    ListKind::Failed
                }
            };
            while wanted.try_recv().is_ok() {}
            self.desk.list(kind, &[]);
        }
    }

    async fn watch(&mut self, discovery: SocketAddr) -> Result<(), End> {
        let stream = timeout(self.limits.dial.get(), Transport::connect(discovery)).await;
        let stream = stream.map_err(|_| "no connection in time")?.map_err(|e| e.to_string())?;
        let (mut sender, connection) =
            http1::handshake(TokioIo::new(stream)).await.map_err(|e| e.to_string())?;
        let driver = async {
            let _ = connection.await;
            // The reader below finds out by itself, and may still have lines to read.
            std::future::pending::<()>().await;
        };
        tokio::select! {
            () = driver => Ok(()),
            end = self.read(discovery, &mut sender) => end,
        }
    }

    async fn read(
        &mut self,
        discovery: SocketAddr,
        sender: &mut http1::SendRequest<Empty<Bytes>>,
    ) -> Result<(), End> {
        let mut request = Request::new(Empty::new());
        let path = format!("/discovery/hosts?stream=1&index={}", self.index);
        *request.uri_mut() = path.parse().map_err(|e| format!("{e}"))?;
        let host = HeaderValue::from_str(&discovery.to_string()).map_err(|e| e.to_string())?;
        request.headers_mut().insert(HOST, host);
        let asked = Instant::now();
        note!("list: asks {discovery} for what has changed since version {}", self.index);
        let mut beat = asked + self.limits.call_wait;
        let response = timeout_at(beat, sender.send_request(request)).await;
        let response = response.map_err(|_| "no answer in time")?.map_err(|e| e.to_string())?;
        if response.status() != StatusCode::OK {
            return Err(format!("answered {}", response.status()).into());
        }
        note!("list: {discovery} accepts the watch after {} ms", asked.elapsed().as_millis());
        let (mut body, mut reader, mut first) = (response.into_body(), MessageReader::default(), true);
        loop {
            // A cut network says nothing at all: silence is the only sign.
            let frame = timeout_at(beat, body.frame()).await;
            let frame = frame.map_err(|_| if first { "no line in time".into() } else { End::Silent })?;
            let frame = frame.ok_or("closed by discovery")?.map_err(|e| e.to_string())?;
            reader.push(frame.data_ref().map_or(&[][..], |d| d));
            // Part of a message proves nothing: whoever is cut off in it has fallen silent.
            while let Some(message) = reader.next() {
                beat = Instant::now() + self.limits.beat_wait;
                self.take(message.trim_ascii(), first);
                if first {
                    note!(
                        "list: version {} is known {} ms after the call",
                        self.index,
                        asked.elapsed().as_millis()
                    );
                }
                first = false;
            }
            if reader.unfinished() > 0 {
                note!("list: {} bytes of a message are here and its end is not", reader.unfinished());
            }
            if reader.unfinished() > self.limits.line_bytes {
                return Err("a message is too long".into());
            }
        }
    }

    fn take(&mut self, line: &[u8], first: bool) {
        self.desk.heard_list();
        if line.is_empty() {
            if first {
                // Nothing has changed since the version asked for: that too is an answer.
                self.desk.list(ListKind::Changes, &[]);
            }
            return;
        }
        let told = serde_json::from_slice::<Value>(line).map_err(|e| e.to_string());
        if let Err(why) = told.and_then(|message| self.told(&message, false)) {
            note!("list: a line is left out: {why}");
        }
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
