//! What answers are made of: a plain line, and headers that go on from one connection to another.

use crate::bodies::Out;
use bytes::Bytes;
use hyper::header::{self, HeaderMap, HeaderName, HeaderValue};
use hyper::{Response, StatusCode};
use yarrowfront::times::Micros;

pub type Reply = Response<Out>;

/// What belongs to one connection and not to the command on it.
const HOP_BY_HOP: [HeaderName; 8] = [
    header::CONNECTION,
    HeaderName::from_static("keep-alive"),
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    header::EXPECT,
    header::CONTENT_LENGTH,
];

pub fn plain(status: StatusCode, text: &str) -> Reply {
    let mut reply = Response::new(Out::from(Bytes::from(format!("{text}\n"))));
    *reply.status_mut() = status;
    reply.headers_mut().insert(header::CONTENT_TYPE, HeaderValue::from_static("text/plain"));
    reply
}

/// A turn-back, with a time to come back where one is told.
pub fn turn_back(span: Micros) -> Reply {
    let mut reply = plain(StatusCode::SERVICE_UNAVAILABLE, "turned back");
    if span > Micros(0) {
        let seconds = format!("{:.3}", span.as_f64() / 1e6);
        if let Ok(value) = HeaderValue::from_str(&seconds) {
            reply.headers_mut().insert(header::RETRY_AFTER, value);
        }
    }
    reply
}

/// Headers as they go on: all but those of the connection they came on.
pub fn onward(mut headers: HeaderMap) -> HeaderMap {
    let named: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|v| v.to_str().ok())
        .flat_map(|v| v.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named.iter().chain(&HOP_BY_HOP) {
        headers.remove(name);
    }
    headers
}
