//! One launch: a command's bytes to one backend, and what came of it.

use crate::bodies::{Out, Over, Start};
use crate::cargo::{Answer, Cargo, Done, Load, Reins, TIME_LEFT};
use crate::desk::Desk;
use crate::log::note;
use crate::pool::{Exchange, NoLease, Pool};
use crate::probe;
use crate::reply::onward;
use bytes::Bytes;
use hyper::header::HeaderValue;
use hyper::{Request, Response, StatusCode};
use std::cell::Cell;
use std::convert::Infallible;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::{sleep, sleep_until, timeout_at};
use tower::Service;
use yarrowfront::command::Outcome;
use yarrowfront::ids::{BackendId, CommandHandle};
use yarrowfront::times::Timestamp;

const UNPROCESSED: &str = "x-unprocessed";
const BACKEND_LOAD: &str = "x-backend-load";

pub struct Launch {
    pub cargo: Rc<Cargo>,
    pub hand: CommandHandle,
    pub number: u8,
    pub backend: BackendId,
    pub address: Option<SocketAddr>,
    /// When the command's client gives up; for a body that flows, how long after its last byte.
    pub ends: Timestamp,
    /// Told once the last byte of a body that flows is on its way.
    pub flowed: Rc<watch::Sender<bool>>,
    pub reins: Rc<Reins>,
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
        let mut done = Done::bare(number, backend, Outcome::NotSent);
        let until = self.desk.clock.instant(launch.ends);
        // A body that is gone is never sent as an empty one.
        let Some(address) = launch.address.filter(|_| !launch.cargo.spent()) else { return done };
        let left = launch.ends.since(self.desk.clock.now());
        let over: Rc<Cell<Option<Over>>> = Rc::default();
        let mut request = self.request(&launch, &over);
        loop {
            // What may not be written any more is given up at once, whenever its connection would come up.
            let stands = self.desk.clock.instant(self.desk.stands(launch.hand, number).min(launch.ends));
            let lease = match timeout_at(stands, self.pool.lease(backend, address)).await {
                Ok(Ok(lease)) => lease,
                Ok(Err(NoLease::Unreachable)) => {
                    done.outcome = Outcome::ConnectFailed;
                    put_back(&launch, request);
                    return done;
                }
                // No socket for it, or its time ran out while one was opened: nobody is to blame.
                Ok(Err(NoLease::Full)) | Err(_) => {
                    put_back(&launch, request);
                    return done;
                }
            };
            // The last look: what held when it was placed may have ended while it waited for its connection, or
            // while it was found that a pooled one had been closed.
            let there = self.desk.address(backend) == Some(address);
            let stands = self.desk.clock.now() < self.desk.stands(launch.hand, number);
            if launch.reins.is_off() || !there || !stands {
                // Its handshake is paid for; one that leads to where nobody is sent any more the sweep closes.
                self.pool.give_back(backend, lease);
                put_back(&launch, request);
                return done;
            }
            launch.reins.writes(true);
            // As it is now: told before the wait, it promised the backend time that its client no longer has. Of a body
            // that flows it counts from the last byte.
            let now = self.desk.clock.now();
            let still = if launch.cargo.flows() { left } else { launch.ends.since(now) };
            request.headers_mut().insert(TIME_LEFT, HeaderValue::from(still.0 / 1000));
            let late = async {
                if launch.cargo.flows() {
                    // Its client's time counts from its last byte, and that is for its client to send.
                    let _ = launch.flowed.subscribe().wait_for(|flowed| *flowed).await;
                    sleep(Duration::from_micros(left.0)).await;
                } else {
                    sleep_until(until).await;
                }
            };
            let exchange = self.pool.exchange(backend, lease, request);
            let came = tokio::select! {
                biased;
                came = exchange => Some(came),
                () = late => None,
            };
            match came {
                Some(Exchange::Stale(again)) => {
                    launch.reins.writes(false);
                    request = again;
                    continue;
                }
                Some(Exchange::Came(response)) => self.read(&mut done, response),
                Some(Exchange::Unreachable(request)) => {
                    put_back(&launch, request);
                    done.outcome = Outcome::ConnectFailed;
                }
                Some(Exchange::Broken) => {
                    done.outcome = match over.get() {
                        // Its last byte was never written, so it never ran.
                        Some(Over::Broken) => Outcome::NotSent,
                        None if launch.cargo.flows() => Outcome::ConnectFailed,
                        _ => Outcome::ConnectionLost,
                    };
                }
                None => done.outcome = Outcome::TimedOut,
            }
            return done;
        }
    }

    /// The command as it came; the time that it still has is told when it is written.
    fn request(&self, launch: &Launch, over: &Rc<Cell<Option<Over>>>) -> Request<Out> {
        let body = match &launch.cargo.body {
            Load::Whole(body) => Out::from(body.clone()),
            Load::Flows(flow) => match flow.take() {
                Some(mut flow) => {
                    let (over, flowed) = (over.clone(), launch.flowed.clone());
                    flow.when_over(move |how| {
                        over.set(Some(how));
                        flowed.send_replace(true);
                    });
                    Out::Flows(flow)
                }
                None => Out::from(Bytes::new()),
            },
        };
        let mut request = Request::new(body);
        *request.method_mut() = launch.cargo.method.clone();
        *request.uri_mut() = launch.cargo.uri.clone();
        *request.headers_mut() = launch.cargo.headers.clone();
        request
    }

    fn read(&self, done: &mut Done, response: Response<Start>) {
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

/// A body of which nothing was sent is there for another launch.
fn put_back(launch: &Launch, request: Request<Out>) {
    if let (Load::Flows(place), Out::Flows(flow)) = (&launch.cargo.body, request.into_body()) {
        place.replace(Some(flow));
    }
}

/// For the log, in the on-call page's words.
fn words(outcome: Outcome) -> &'static str {
    match outcome {
        Outcome::Finished => "finished",
        Outcome::Full => "full or draining",
        Outcome::Errored => "answered with an error",
        Outcome::TimedOut => "no answer in the command's time",
        Outcome::ConnectFailed => "no connection",
        Outcome::ConnectionLost => "the connection broke while it was out",
        Outcome::Cancelled => "called off",
        Outcome::NotSent => "not sent: no time or no socket left, its client or the backend gone",
    }
}
