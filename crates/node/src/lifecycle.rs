//! A planned stop: the signal, and the time since. And the operators' word to send clients away, which holds until
//! they take it back.

use crate::log::note;
use std::time::Duration;
use tokio::sync::{mpsc, watch};
use tokio::time::{sleep_until, Instant};

pub struct Stop {
    since: watch::Sender<Option<Instant>>,
    away: watch::Sender<Option<Instant>>,
    /// A new process takes the connections.
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
        note!("stop: finishing what is in hand");
        self.since.send_replace(Some(Instant::now()));
    }

    pub fn stopping(&self) -> bool {
        self.since.borrow().is_some()
    }

    /// Sends clients away from now on, or takes them again. What has been said already keeps its time.
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

    /// Whether clients are to go, one way or the other: their answers end their connections.
    pub fn leaving(&self) -> bool {
        self.stopping() || self.drained() || self.succeeded()
    }

    /// Whether a new process takes the connections from now on.
    pub fn succeeded_by(&self, there: bool) {
        self.successor.send_replace(there);
    }

    pub fn succeeded(&self) -> bool {
        *self.successor.borrow()
    }

    /// Over when a new process takes the connections, or takes them no longer.
    pub async fn succession(&self, there: bool) {
        let mut successor = self.successor.subscribe();
        if successor.wait_for(|is| *is == there).await.is_err() {
            std::future::pending().await
        }
    }

    /// Over so long after the word to send clients away, if it holds then.
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

    /// Over so long after the signal.
    pub async fn past(&self, span: Duration) {
        let mut since = self.since.subscribe();
        let asked = since.wait_for(Option::is_some).await.ok().and_then(|at| *at);
        match asked {
            Some(at) => sleep_until(at + span).await,
            None => std::future::pending().await,
        }
    }
}
