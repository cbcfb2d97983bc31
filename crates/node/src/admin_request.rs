//! Operators' requests: parsing a method and a path, and carrying the request out in this process.

use crate::dispatcher::Dispatcher;
use crate::lifecycle::Lifecycle;
use hyper::Method;
use percent_encoding::percent_decode_str;
use serde::{Deserialize, Serialize};

/// A request of an operator.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum AdminRequest {
    /// Whether the node is ready.
    Ready,
    /// The fleet view, as JSON or as plain text.
    Fleet { plain: bool },
    /// Statistics since the start and of each complete second after this one.
    Counts { after: u64 },
    /// The state of the sites and what is admitted; and an operator's declaration about one site.
    Sites,
    Site {
        name: String,
        #[serde(rename = "word")]
        action: String,
    },
    /// The counters of this process, as text.
    Metrics,
    /// The settings in force.
    Settings,
    /// A request of a rollout's leader, which is in the body.
    Rollout,
    /// Takes a backend out of service for maintenance, or puts it back.
    #[serde(rename = "maint")]
    Maintenance {
        name: String,
        #[serde(rename = "out")]
        enter: bool,
    },
    /// Starts or ends the draining of clients.
    Drain(bool),
}

/// Why a request is invalid.
#[derive(Debug, PartialEq, Eq)]
pub enum RequestError {
    NoSuchPath,
    /// The path exists with this method only.
    Method(&'static str),
}

/// Parses a method and a path.
pub fn parse_request(method: &Method, path: &str) -> Result<AdminRequest, RequestError> {
    let (request, expected_method) = match path {
        "/healthcheck" => (AdminRequest::Ready, Method::GET),
        "/fleet" => (AdminRequest::Fleet { plain: false }, Method::GET),
        "/fleet.txt" => (AdminRequest::Fleet { plain: true }, Method::GET),
        "/counts" => (AdminRequest::Counts { after: 0 }, Method::GET),
        "/metrics" => (AdminRequest::Metrics, Method::GET),
        "/sites" => (AdminRequest::Sites, Method::GET),
        "/settings" => (AdminRequest::Settings, Method::GET),
        "/rollout" => (AdminRequest::Rollout, Method::PUT),
        "/healthcheck/fail" => (AdminRequest::Drain(true), Method::PUT),
        "/healthcheck/ok" => (AdminRequest::Drain(false), Method::PUT),
        _ if path.starts_with("/sites/") => {
            let (name, action) = path["/sites/".len()..].split_once('/').ok_or(RequestError::NoSuchPath)?;
            let name =
                percent_decode_str(name).decode_utf8().map_err(|_| RequestError::NoSuchPath)?.into_owned();
            (AdminRequest::Site { name, action: action.to_owned() }, Method::PUT)
        }
        _ if path.starts_with("/counts/") => {
            let after = path["/counts/".len()..].parse().map_err(|_| RequestError::NoSuchPath)?;
            (AdminRequest::Counts { after }, Method::GET)
        }
        _ => {
            let rest = path.strip_prefix("/backends/").ok_or(RequestError::NoSuchPath)?;
            let (id, action) = rest.split_once('/').ok_or(RequestError::NoSuchPath)?;
            let name =
                percent_decode_str(id).decode_utf8().map_err(|_| RequestError::NoSuchPath)?.into_owned();
            match action {
                "maint" => (AdminRequest::Maintenance { name, enter: true }, Method::PUT),
                "ready" => (AdminRequest::Maintenance { name, enter: false }, Method::PUT),
                _ => return Err(RequestError::NoSuchPath),
            }
        }
    };
    match *method == expected_method {
        true => Ok(request),
        false => Err(RequestError::Method(if expected_method == Method::GET { "GET" } else { "PUT" })),
    }
}

impl AdminRequest {
    /// Carries the request out and describes the new state; `None` if the backend was never listed.
    pub fn execute(&self, dispatcher: &Dispatcher, lifecycle: &Lifecycle) -> Option<String> {
        match self {
            AdminRequest::Ready
            | AdminRequest::Fleet { .. }
            | AdminRequest::Counts { .. }
            | AdminRequest::Metrics
            | AdminRequest::Settings
            | AdminRequest::Rollout
            | AdminRequest::Sites
            | AdminRequest::Site { .. } => None,
            AdminRequest::Maintenance { name, enter } => {
                dispatcher.set_maintenance(dispatcher.known_backend(name)?, *enter);
                Some(format!("{name} {}", if *enter { "is left out" } else { "is used" }))
            }
            AdminRequest::Drain(drain) => {
                lifecycle.set_draining(*drain);
                Some(if *drain { "clients are sent away" } else { "clients are taken" }.to_owned())
            }
        }
    }
}
