//! Calls at nodes' second addresses, several at a time.

use rollout::controller::Came;
use rollout::journal::Deed;
use rollout::node_report::{Here, Told};
use serde_json::{json, Value};
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::Duration;
use yarrowfront_fleet::http::{asked, call};

/// What a node tells: a look must not wait for one that is stopped.
pub const LOOK: Duration = Duration::from_millis(900);
/// A change takes a write to disk, and no more.
const SAY: Duration = Duration::from_secs(3);

/// Who leads.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Leader {
    pub term: u64,
    pub by: String,
}

/// What a process tells of itself and of the seconds after that one.
pub fn look(at: SocketAddr, after: u64) -> Told {
    match call(at, "GET", &format!("/counts/{after}"), "", LOOK) {
        Ok((200, body)) => {
            serde_json::from_str::<Here>(&body).map_or(Told::Silent, |here| Told::Here(Box::new(here)))
        }
        Ok(_) => Told::Silent,
        Err(error) if error.kind() == ErrorKind::ConnectionRefused => Told::Gone,
        Err(_) => Told::Silent,
    }
}

/// The same of a process whose seconds are of no interest.
pub fn glance(at: SocketAddr) -> Told {
    look(at, u64::MAX >> 1)
}

/// Of two processes of one node the one that serves goes before, and of two that do the later.
pub fn rank(told: &Told) -> (u64, u64) {
    match told {
        Told::Here(here) => (2 + u64::from(here.serves()), here.life),
        Told::Silent => (1, 0),
        Told::Gone => (0, 0),
    }
}

/// The settings that a node goes by.
pub fn settings(at: SocketAddr) -> Result<Value, String> {
    let body = asked(at, "GET", "/settings", "", SAY)?;
    serde_json::from_str(&body).map_err(|e| e.to_string())
}

/// Says a word of the leader's.
fn say(at: SocketAddr, leader: &Leader, mut word: Value) -> Came {
    (word["term"], word["by"]) = (leader.term.into(), leader.by.clone().into());
    match call(at, "PUT", "/rollout", &word.to_string(), SAY) {
        Ok((200, _)) => Came::Done,
        Ok((status @ (400 | 404 | 409 | 413 | 422 | 500), why)) => {
            Came::Refused(format!("{status}: {}", why.trim()))
        }
        Ok((status, why)) => Came::Unknown(format!("{status}: {}", why.trim())),
        Err(error) => Came::Unknown(error.to_string()),
    }
}

/// Says that it leads.
pub fn lead(at: SocketAddr, leader: &Leader) -> Came {
    say(at, leader, json!({"what": "lead"}))
}

/// The digest that these settings have at a node, or why it would not take them.
pub fn weigh(at: SocketAddr, settings: &Value) -> Result<String, String> {
    let word = json!({"what": "weigh", "settings": settings});
    asked(at, "PUT", "/rollout", &word.to_string(), SAY).map(|digest| digest.trim().to_owned())
}

/// A change of settings, by its texts and their digests.
#[derive(Clone, Debug)]
pub struct Texts {
    pub former: Value,
    pub new: Value,
    pub digests: (String, String),
    pub word_ms: u64,
}

/// Does one thing to a node.
pub fn settle(at: SocketAddr, leader: &Leader, deed: Deed, texts: &Texts) -> Came {
    let attempt = |from: &str, settings: &Value| {
        say(at, leader, json!({"what": "try", "from": from, "settings": settings, "for_ms": texts.word_ms}))
    };
    let (former, new) = (&texts.digests.0, &texts.digests.1);
    match deed {
        Deed::Change => attempt(former, &texts.new),
        Deed::Keep => say(at, leader, json!({"what": "keep", "for_ms": texts.word_ms})),
        Deed::Confirm => say(at, leader, json!({"what": "confirm"})),
        Deed::Back => say(at, leader, json!({"what": "back"})),
        Deed::Return => match attempt(new, &texts.former) {
            Came::Done => say(at, leader, json!({"what": "confirm"})),
            other => other,
        },
    }
}
