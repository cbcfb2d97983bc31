//! Calls to the admin interfaces of nodes.

use rollout::controller::ActionOutcome;
use rollout::journal::Action;
use rollout::node_report::{NodeReport, PollOutcome};
use serde_json::{json, Value};
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::Duration;
use yarrowfront_fleet::http::{call, call_expecting_ok};

/// The timeout of a poll, which must not wait for a stopped node.
pub const POLL_TIMEOUT: Duration = Duration::from_millis(900);
/// The timeout of an order. A change takes one write to disk.
const ORDER_TIMEOUT: Duration = Duration::from_secs(3);

/// The identity of the leading controller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Leader {
    pub term: u64,
    pub name: String,
}

/// Polls a process for its state and for its seconds after the given one.
pub fn poll(at: SocketAddr, after: u64) -> PollOutcome {
    match call(at, "GET", &format!("/counts/{after}"), "", POLL_TIMEOUT) {
        Ok((200, body)) => serde_json::from_str::<NodeReport>(&body)
            .map_or(PollOutcome::Silent, |report| PollOutcome::Report(Box::new(report))),
        Ok(_) => PollOutcome::Silent,
        Err(error) if error.kind() == ErrorKind::ConnectionRefused => PollOutcome::Gone,
        Err(_) => PollOutcome::Silent,
    }
}

/// Polls a process without any seconds.
pub fn poll_without_seconds(at: SocketAddr) -> PollOutcome {
    poll(at, u64::MAX >> 1)
}

/// The preference between two processes of one node: the greater one wins. A serving process comes first, and of two
/// serving ones the later.
pub fn rank(poll: &PollOutcome) -> (u64, u64) {
    match poll {
        PollOutcome::Report(report) => (2 + u64::from(report.is_serving()), report.generation),
        PollOutcome::Silent => (1, 0),
        PollOutcome::Gone => (0, 0),
    }
}

/// The settings that a node uses.
pub fn settings(at: SocketAddr) -> Result<Value, String> {
    let body = call_expecting_ok(at, "GET", "/settings", "", ORDER_TIMEOUT)?;
    serde_json::from_str(&body).map_err(|e| e.to_string())
}

/// Sends an order of the leader to a node.
fn put_order(at: SocketAddr, leader: &Leader, mut order: Value) -> ActionOutcome {
    (order["term"], order["by"]) = (leader.term.into(), leader.name.clone().into());
    match call(at, "PUT", "/rollout", &order.to_string(), ORDER_TIMEOUT) {
        Ok((200, _)) => ActionOutcome::Done,
        Ok((status @ (400 | 404 | 409 | 413 | 422 | 500), why)) => {
            ActionOutcome::Refused(format!("{status}: {}", why.trim()))
        }
        Ok((status, why)) => ActionOutcome::Unknown(format!("{status}: {}", why.trim())),
        Err(error) => ActionOutcome::Unknown(error.to_string()),
    }
}

/// Announces the leader to a node.
pub fn announce_leader(at: SocketAddr, leader: &Leader) -> ActionOutcome {
    put_order(at, leader, json!({"what": "lead"}))
}

/// The digest that these settings have at a node, or why the node would reject them.
pub fn validate_settings(at: SocketAddr, settings: &Value) -> Result<String, String> {
    let order = json!({"what": "weigh", "settings": settings});
    call_expecting_ok(at, "PUT", "/rollout", &order.to_string(), ORDER_TIMEOUT)
        .map(|digest| digest.trim().to_owned())
}

/// A change of settings: the former and the new ones with their digests, and the lease of a trial.
#[derive(Clone, Debug)]
pub struct SettingsChange {
    pub former: Value,
    pub new: Value,
    pub digests: (String, String),
    pub trial_lease_ms: u64,
}

/// Carries out an action of a change of settings at a node.
pub fn execute(at: SocketAddr, leader: &Leader, action: Action, change: &SettingsChange) -> ActionOutcome {
    let attempt = |from: &str, settings: &Value| {
        put_order(
            at,
            leader,
            json!({"what": "try", "from": from, "settings": settings, "for_ms": change.trial_lease_ms}),
        )
    };
    let (former, new) = (&change.digests.0, &change.digests.1);
    match action {
        Action::Apply => attempt(former, &change.new),
        Action::RenewTrial => put_order(at, leader, json!({"what": "keep", "for_ms": change.trial_lease_ms})),
        Action::Confirm => put_order(at, leader, json!({"what": "confirm"})),
        Action::RevertTrial => put_order(at, leader, json!({"what": "back"})),
        Action::RevertConfirmed => match attempt(new, &change.former) {
            ActionOutcome::Done => put_order(at, leader, json!({"what": "confirm"})),
            other => other,
        },
    }
}
