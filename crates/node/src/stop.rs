//! A planned stop: the signal, and the time since.

use crate::log::note;
use std::io;
use std::time::Duration;
use tokio::signal::unix::{signal, SignalKind};
use tokio::sync::watch;
use tokio::time::{sleep_until, Instant};

pub struct Stop {
    since: watch::Sender<Option<Instant>>,
}

impl Stop {
    pub fn new() -> Stop {
        Stop { since: watch::Sender::new(None) }
    }

    /// Waits for the signal to stop.
    pub async fn listen(&self) -> io::Result<()> {
        let (mut terminate, mut interrupt) =
            (signal(SignalKind::terminate())?, signal(SignalKind::interrupt())?);
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
        note!("stop: finishing what is in hand");
        self.since.send_replace(Some(Instant::now()));
        Ok(())
    }

    pub fn stopping(&self) -> bool {
        self.since.borrow().is_some()
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
