//! One launch: a command's bytes to one backend, and what came of it.

use crate::desk::Desk;
use crate::intake::onward;
use crate::log::note;
use crate::pool::{Exchange, NoLease, Pool};
use crate::probe;
use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{HeaderMap, HeaderValue};
use hyper::{Method, Request, Response, StatusCode, Uri};
use std::convert::Infallible;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use tokio::time::timeout_at;
use tower::Service;
use yarrowfront::command::Outcome;
use yarrowfront::ids::BackendId;
use yarrowfront::times::Moment;

pub const TIME_LEFT: &str = "x-time-left-ms";
const UNPROCESSED: &str = "x-unprocessed";
const BACKEND_LOAD: &str = "x-backend-load";

/// What goes on of a command, as it came.
pub struct Cargo {
    pub method: Method,
    pub uri: Uri,
    pub headers: HeaderMap,
    pub body: Bytes,
}

pub struct Launch {
    pub cargo: Rc<Cargo>,
    pub number: u8,
    pub backend: BackendId,
    pub address: Option<SocketAddr>,
    /// When the command's client gives up.
    pub ends: Moment,
}

/// A backend's answer, read whole.
pub struct Answer {
    pub headers: HeaderMap,
    pub body: Bytes,
}

/// How a launch ended.
pub struct Done {
    pub number: u8,
    pub backend: BackendId,
    pub outcome: Outcome,
    pub answer: Option<Answer>,
    /// Its load report, and by which turn of the names it was read.
    pub report: Option<(u32, Vec<f32>)>,
}

impl Done {
    /// Nothing has come of it but this.
    pub fn bare(number: u8, backend: BackendId, outcome: Outcome) -> Done {
        Done { number, backend, outcome, answer: None, report: None }
    }
}

#[derive(Clone)]
pub struct Launcher {
    pub pool: Rc<Pool>,
    pub desk: Rc<Desk>,
}

impl Service<Launch> for Launcher {
    type Response = Done;
    type Error = Infallible;
    type Future = Pin<Box<dyn Future<Output = Result<Done, Infallible>>>>;

    fn poll_ready(&mut self, _: &mut Context<'_>) -> Poll<Result<(), Infallible>> {
        Poll::Ready(Ok(()))
    }

    fn call(&mut self, launch: Launch) -> Self::Future {
        let launcher = self.clone();
        Box::pin(async move {
            let done = launcher.run(launch).await;
            if !matches!(done.outcome, Outcome::Finished | Outcome::Full) {
                let name = launcher.desk.name(done.backend);
                note!("launch: {name}: {}", words(done.outcome));
            }
            Ok(done)
        })
    }
}

impl Launcher {
    async fn run(&self, launch: Launch) -> Done {
        let (number, backend) = (launch.number, launch.backend);
        let mut done = Done::bare(number, backend, Outcome::Unsent);
        let until = self.desk.clock.instant(launch.ends);
        let Some(address) = launch.address else { return done };
        loop {
            let lease = match timeout_at(until, self.pool.lease(backend, address)).await {
                Ok(Ok(lease)) => lease,
                Ok(Err(NoLease::Unreachable)) => {
                    done.outcome = Outcome::Unreachable;
                    return done;
                }
                // No socket for it, or the client's time ran out while one was opened: nobody is to blame.
                Ok(Err(NoLease::Full)) | Err(_) => return done,
            };
            let exchange = self.pool.exchange(backend, lease, self.request(&launch));
            match timeout_at(until, exchange).await {
                Ok(Exchange::Stale) => continue,
                Ok(Exchange::Came(response)) => self.read(&mut done, response),
                Ok(Exchange::Unreachable) => done.outcome = Outcome::Unreachable,
                Ok(Exchange::Broken) => done.outcome = Outcome::Broken,
                Err(_) => done.outcome = Outcome::TimedOut,
            }
            return done;
        }
    }

    /// The command as it came, but for the time that it still has.
    fn request(&self, launch: &Launch) -> Request<Full<Bytes>> {
        let mut request = Request::new(Full::new(launch.cargo.body.clone()));
        *request.method_mut() = launch.cargo.method.clone();
        *request.uri_mut() = launch.cargo.uri.clone();
        *request.headers_mut() = launch.cargo.headers.clone();
        let left = launch.ends.since(self.desk.clock.now()).0 / 1000;
        request.headers_mut().insert(TIME_LEFT, HeaderValue::from(left));
        request
    }

    fn read(&self, done: &mut Done, response: Response<Bytes>) {
        let (head, body) = response.into_parts();
        if let Some(load) = head.headers.get(BACKEND_LOAD) {
            let names = self.desk.names();
            done.report = probe::report(&names.report, load.as_bytes()).map(|values| (names.turn, values));
        }
        let unprocessed = head.headers.get(UNPROCESSED).is_some_and(|v| v.as_bytes().trim_ascii() == b"1");
        done.outcome = match head.status {
            StatusCode::OK => Outcome::Finished,
            StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if unprocessed => Outcome::Full,
            _ => Outcome::Errored,
        };
        if done.outcome == Outcome::Finished {
            let mut headers = onward(head.headers);
            headers.remove(BACKEND_LOAD);
            done.answer = Some(Answer { headers, body });
        }
    }
}

/// For the log, in the on-call page's words.
fn words(outcome: Outcome) -> &'static str {
    match outcome {
        Outcome::Finished => "finished",
        Outcome::Full => "full or draining",
        Outcome::Errored => "answered with an error",
        Outcome::TimedOut => "no answer in the command's time",
        Outcome::Unreachable => "no connection",
        Outcome::Broken => "the connection broke while it was out",
        Outcome::Cancelled => "called off",
        Outcome::Unsent => "not sent: no time or no socket left for a connection",
    }
}
