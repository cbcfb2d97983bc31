//! Building blocks for answers: plain text replies, and the headers that are forwarded from one connection
//! to another.

use crate::bodies::OutgoingBody;
use bytes::Bytes;
use hyper::header::{self, HeaderMap, HeaderName, HeaderValue};
use hyper::{Response, StatusCode};
use yarrowfront::times::Micros;

/// An answer to a client or an operator.
pub type Reply = Response<OutgoingBody>;

/// Headers that apply to one connection only and are not forwarded.
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

/// A one-line text reply.
pub fn text_reply(status: StatusCode, text: &str) -> Reply {
    let mut reply = Response::new(OutgoingBody::from(Bytes::from(format!("{text}\n"))));
    *reply.status_mut() = status;
    reply.headers_mut().insert(header::CONTENT_TYPE, HeaderValue::from_static("text/plain"));
    reply
}

/// The reply that rejects a command, with `Retry-After` unless the time is zero.
pub fn rejection(span: Micros) -> Reply {
    let mut reply = text_reply(StatusCode::SERVICE_UNAVAILABLE, "turned back");
    if span > Micros(0) {
        let seconds = format!("{:.3}", span.as_f64() / 1e6);
        if let Ok(value) = HeaderValue::from_str(&seconds) {
            reply.headers_mut().insert(header::RETRY_AFTER, value);
        }
    }
    reply
}

/// Removes the headers that apply only to the connection on which they arrived.
pub fn forwarded_headers(mut headers: HeaderMap) -> HeaderMap {
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
