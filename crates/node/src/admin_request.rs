//! Operators' requests: parsing a method and a path, and carrying the request out in this process.

use crate::dispatcher::Dispatcher;
use crate::lifecycle::Stop;
use hyper::Method;
use percent_encoding::percent_decode_str;
use serde::{Deserialize, Serialize};

/// A request of an operator.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Call {
    /// Whether the node is ready.
    Ready,
    /// The fleet view, as JSON or as plain text.
    Fleet {
        plain: bool,
    },
    /// Statistics since the start and of each complete second after this one.
    Counts {
        after: u64,
    },
    /// The state of the sites and what is admitted; and an operator's declaration about one site.
    Sites,
    Site {
        name: String,
        word: String,
    },
    /// The settings in force.
    Settings,
    /// A request of a rollout's leader, which is in the body.
    Rollout,
    /// Takes a backend out of service for maintenance, or puts it back.
    Maint {
        name: String,
        out: bool,
    },
    /// Starts or ends the draining of clients.
    Drain(bool),
}

/// Why a request is invalid.
#[derive(Debug, PartialEq, Eq)]
pub enum Refusal {
    NoSuchPath,
    /// The path exists with this method only.
    Method(&'static str),
}

/// Parses a method and a path.
pub fn call(method: &Method, path: &str) -> Result<Call, Refusal> {
    let (call, right) = match path {
        "/healthcheck" => (Call::Ready, Method::GET),
        "/fleet" => (Call::Fleet { plain: false }, Method::GET),
        "/fleet.txt" => (Call::Fleet { plain: true }, Method::GET),
        "/counts" => (Call::Counts { after: 0 }, Method::GET),
        "/sites" => (Call::Sites, Method::GET),
        "/settings" => (Call::Settings, Method::GET),
        "/rollout" => (Call::Rollout, Method::PUT),
        "/healthcheck/fail" => (Call::Drain(true), Method::PUT),
        "/healthcheck/ok" => (Call::Drain(false), Method::PUT),
        _ if path.starts_with("/sites/") => {
            let (name, word) = path["/sites/".len()..].split_once('/').ok_or(Refusal::NoSuchPath)?;
            let name = percent_decode_str(name).decode_utf8().map_err(|_| Refusal::NoSuchPath)?.into_owned();
            (Call::Site { name, word: word.to_owned() }, Method::PUT)
        }
        _ if path.starts_with("/counts/") => {
            let after = path["/counts/".len()..].parse().map_err(|_| Refusal::NoSuchPath)?;
            (Call::Counts { after }, Method::GET)
        }
        _ => {
            let rest = path.strip_prefix("/backends/").ok_or(Refusal::NoSuchPath)?;
            let (id, word) = rest.split_once('/').ok_or(Refusal::NoSuchPath)?;
            let name = percent_decode_str(id).decode_utf8().map_err(|_| Refusal::NoSuchPath)?.into_owned();
            match word {
                "maint" => (Call::Maint { name, out: true }, Method::PUT),
                "ready" => (Call::Maint { name, out: false }, Method::PUT),
                _ => return Err(Refusal::NoSuchPath),
            }
        }
    };
    match *method == right {
        true => Ok(call),
        false => Err(Refusal::Method(if right == Method::GET { "GET" } else { "PUT" })),
    }
}

impl Call {
    /// Carries the request out and describes the new state; `None` if the backend was never listed.
    pub fn carry_out(&self, dispatcher: &Dispatcher, stop: &Stop) -> Option<String> {
        match self {
            Call::Ready
            | Call::Fleet { .. }
            | Call::Counts { .. }
            | Call::Settings
            | Call::Rollout
            | Call::Sites
            | Call::Site { .. } => None,
            Call::Maint { name, out } => {
                dispatcher.set_maintenance(dispatcher.known_backend(name)?, *out);
                Some(format!("{name} {}", if *out { "is left out" } else { "is used" }))
            }
            Call::Drain(away) => {
                stop.drain(*away);
                Some(if *away { "clients are sent away" } else { "clients are taken" }.to_owned())
            }
        }
    }
}
