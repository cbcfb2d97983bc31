//! The node's lifecycle: a planned stop with the time since its signal, draining of clients on the
//! operators' request until they revoke it, and the takeover by a new process.

use crate::log::note;
use std::time::Duration;
use tokio::sync::{mpsc, watch};
use tokio::time::{sleep_until, Instant};

pub struct Stop {
    /// When the stop signal came.
    since: watch::Sender<Option<Instant>>,
    /// Since when clients are drained.
    away: watch::Sender<Option<Instant>>,
    /// Whether a new process has taken over the connections.
    successor: watch::Sender<bool>,
}

impl Stop {
    pub fn new() -> Stop {
        let (since, away) = (watch::Sender::new(None), watch::Sender::new(None));
        Stop { since, away, successor: watch::Sender::new(false) }
    }

    /// Waits for the signal to stop.
    pub async fn listen(&self, mut signal: mpsc::UnboundedReceiver<()>) {
        if signal.recv().await.is_none() {
            return;
        }
        note!("stop: finishing the commands in flight");
        self.since.send_replace(Some(Instant::now()));
    }

    pub fn stopping(&self) -> bool {
        self.since.borrow().is_some()
    }

    /// Starts or ends the draining of clients. Repeating a request does not change its start time.
    pub fn drain(&self, away: bool) {
        self.away.send_if_modified(|since| {
            let changed = since.is_some() != away;
            *since = away.then(|| since.unwrap_or_else(Instant::now));
            changed
        });
    }

    pub fn drained(&self) -> bool {
        self.away.borrow().is_some()
    }

    /// Whether connections are to be closed after their answers, for any of the reasons.
    pub fn leaving(&self) -> bool {
        self.stopping() || self.drained() || self.succeeded()
    }

    /// Sets whether a new process accepts the connections from now on.
    pub fn succeeded_by(&self, there: bool) {
        self.successor.send_replace(there);
    }

    pub fn succeeded(&self) -> bool {
        *self.successor.borrow()
    }

    /// Completes when a new process accepts the connections, or when none does any more.
    pub async fn succession(&self, there: bool) {
        let mut successor = self.successor.subscribe();
        if successor.wait_for(|is| *is == there).await.is_err() {
            std::future::pending().await
        }
    }

    /// Completes this long after the request to drain clients, if it still holds then.
    pub async fn away_for(&self, span: Duration) {
        let mut away = self.away.subscribe();
        loop {
            let since = *away.borrow_and_update();
            tokio::select! {
                () = sleep_until(since.unwrap_or_else(Instant::now) + span), if since.is_some() => return,
                changed = away.changed() => if changed.is_err() { std::future::pending().await },
            }
        }
    }

    /// Completes this long after the stop signal.
    pub async fn past(&self, span: Duration) {
        let mut since = self.since.subscribe();
        let asked = since.wait_for(Option::is_some).await.ok().and_then(|at| *at);
        match asked {
            Some(at) => sleep_until(at + span).await,
            None => std::future::pending().await,
        }
    }
}
