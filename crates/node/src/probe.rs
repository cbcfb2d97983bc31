//! Probes a backend for its load, and parses load reports.

use crate::bodies::{OutgoingBody, ReadBody};
use crate::dispatcher::Dispatcher;
use crate::limits::Limits;
use crate::log::log;
use crate::pool::{Exchange, Pool};
use bytes::Bytes;
use hyper::header::{HeaderValue, HOST};
use hyper::{Request, StatusCode, Uri};
use serde_json::Value;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::time::timeout;
use yarrowfront::ids::BackendId;

/// The names of a report's fields in the settings, and their names on the wire.
const WIRE_NAMES: [(&str, &str); 6] = [
    ("outstanding", "inflight"),
    ("backlog", "queue"),
    ("utilization", "util"),
    ("recent_ms", "latency_ms"),
    ("throughput", "qps"),
    ("errors_per_s", "eps"),
];

/// Returns the values of a load report in the order of the settings; `None` if a value is missing or
/// invalid.
pub fn parse_report(names: &[String], bytes: &[u8]) -> Option<Vec<f32>> {
    let json: Value = serde_json::from_slice(bytes).ok().unwrap_or_default();
    let value = |name: &String| {
        let known = WIRE_NAMES.iter().find(|(settings, _)| settings == name);
        let field = json.get(name).or_else(|| json.get(known?.1))?;
        field.as_f64().filter(|v| (0.0..1e9).contains(v)).map(|v| v as f32)
    };
    let values: Option<Vec<f32>> = names.iter().map(value).collect();
    if values.is_none() {
        log!("load report ignored: {:?}", String::from_utf8_lossy(&bytes[..bytes.len().min(200)]));
    }
    values
}

/// Sends probes to backends.
#[derive(Clone)]
pub struct Prober {
    pub dispatcher: Rc<Dispatcher>,
    pub pool: Rc<Pool>,
    pub limits: Rc<Limits>,
}

impl Prober {
    /// Probes a backend and reports the result to the dispatcher.
    pub async fn probe(self, backend: BackendId) {
        let sent = self.dispatcher.clock.now();
        let load_values = match self.dispatcher.address(backend) {
            Some(address) => {
                timeout(self.limits.probe_timeout, self.fetch_report(backend, address)).await.ok().flatten()
            }
            None => None,
        };
        let round_trip = self.dispatcher.clock.now().since(sent);
        self.dispatcher.record_probe(
            backend,
            load_values.is_some(),
            round_trip,
            load_values.as_deref().unwrap_or_default(),
        );
    }

    /// Returns the report: empty if the backend answers without a valid one, and `None` if it does not
    /// answer.
    async fn fetch_report(&self, backend: BackendId, address: SocketAddr) -> Option<Vec<f32>> {
        let host = HeaderValue::from_str(&address.to_string()).ok()?;
        loop {
            let lease = self.pool.lease(backend, address).await.ok()?;
            let mut request = Request::new(OutgoingBody::from(Bytes::new()));
            *request.uri_mut() = Uri::from_static("/metrics/load");
            request.headers_mut().insert(HOST, host.clone());
            return match self.pool.exchange(backend, lease, request, || None).await {
                Exchange::Stale(_) => continue,
                Exchange::Answered(response) if response.status() == StatusCode::OK => {
                    match response.body() {
                        ReadBody::Buffered(body) => Some(
                            parse_report(&self.dispatcher.names().report_fields, body).unwrap_or_default(),
                        ),
                        ReadBody::Streaming(_) => None,
                    }
                }
                _ => None,
            };
        }
    }
}

#[cfg(test)]
mod tests {
    use super::parse_report;

    /// Reports use the wire names of the fields and the settings those of the simulator. If the names were
    /// not mapped, every report would be ignored. An incomplete report must not be used at all.
    #[test]
    fn reports_are_parsed_under_either_field_name() {
        let names = ["outstanding", "backlog", "utilization"].map(String::from);
        let cases: [(&str, Option<[f32; 3]>); 8] = [
            (r#"{"inflight":7,"queue":2,"util":0.5}"#, Some([7.0, 2.0, 0.5])),
            (r#"{"util":0.5,"queue":2,"inflight":7,"more":[]}"#, Some([7.0, 2.0, 0.5])),
            (r#"{"outstanding":7,"backlog":2,"utilization":0.5}"#, Some([7.0, 2.0, 0.5])),
            (r#"{"inflight":7,"util":0.5}"#, None),
            (r#"{"inflight":-7,"queue":2,"util":0.5}"#, None),
            (r#"{"inflight":"7","queue":2,"util":0.5}"#, None),
            ("[7,2,0.5]", None),
            ("busy", None),
        ];
        for (text, values) in cases {
            assert_eq!(parse_report(&names, text.as_bytes()), values.map(Vec::from), "{text}");
        }
    }
}
