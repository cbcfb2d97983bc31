//! A planned stop: the signal, and the times that follow from it.

use crate::limits::Limits;
use crate::log::note;
use std::io;
use std::rc::Rc;
use tokio::signal::unix::{signal, SignalKind};
use tokio::sync::watch;
use tokio::time::{sleep_until, Instant};

pub struct Stop {
    limits: Rc<Limits>,
    since: watch::Sender<Option<Instant>>,
}

impl Stop {
    pub fn new(limits: Rc<Limits>) -> Stop {
        Stop { limits, since: watch::Sender::new(None) }
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

    async fn asked(&self) -> Instant {
        let mut since = self.since.subscribe();
        let asked = since.wait_for(Option::is_some).await.ok().and_then(|at| *at);
        match asked {
            Some(at) => at,
            None => std::future::pending().await,
        }
    }

    /// Over once the last new connections have come.
    pub async fn accepted(&self) {
        let at = self.asked().await + self.limits.accept_on;
        sleep_until(at).await;
    }

    /// Over once connections without a command on them may be closed.
    pub async fn idle(&self) {
        let at = self.asked().await + self.limits.idle_on;
        sleep_until(at).await;
    }

    /// Over when nothing may be waited for any more.
    pub async fn ended(&self) {
        let at = self.asked().await + self.limits.end_by;
        sleep_until(at).await;
    }
}
