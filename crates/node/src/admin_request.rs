//! Operators' calls: what a method and a path ask for, and what is done of it at this process.

use crate::dispatcher::Desk;
use crate::lifecycle::Stop;
use hyper::Method;
use percent_encoding::percent_decode_str;
use serde::{Deserialize, Serialize};

/// What a call asks for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Call {
    Ready,
    /// The view of the fleet, for programs or for people.
    Fleet {
        plain: bool,
    },
    /// Counts since the start, and of the whole seconds after that one.
    Counts {
        after: u64,
    },
    /// What is known of other sites, and what is let in; an operator's word on one.
    Sites,
    Site {
        name: String,
        word: String,
    },
    /// The settings that the node goes by.
    Settings,
    /// A word of whoever leads a rolling change; it stands in the body.
    Rollout,
    Maint {
        name: String,
        out: bool,
    },
    /// Whether clients are to be sent away.
    Drain(bool),
}

/// Why a call is none.
#[derive(Debug, PartialEq, Eq)]
pub enum Refusal {
    NoSuchPath,
    /// The method that would be right there.
    Method(&'static str),
}

/// What a method and a path ask for.
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
    /// Does what is asked, and says what is now so; nothing of a backend that was never listed.
    pub fn carry_out(&self, desk: &Desk, stop: &Stop) -> Option<String> {
        match self {
            Call::Ready
            | Call::Fleet { .. }
            | Call::Counts { .. }
            | Call::Settings
            | Call::Rollout
            | Call::Sites
            | Call::Site { .. } => None,
            Call::Maint { name, out } => {
                desk.maint(desk.known(name)?, *out);
                Some(format!("{name} {}", if *out { "is left out" } else { "is used" }))
            }
            Call::Drain(away) => {
                stop.drain(*away);
                Some(if *away { "clients are sent away" } else { "clients are taken" }.to_owned())
            }
        }
    }
}
