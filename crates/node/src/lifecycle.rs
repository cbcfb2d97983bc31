//! The node's lifecycle: a planned stop with the time since its signal, draining of clients on the
//! operators' request until they revoke it, and the takeover by a new process.

use crate::log::log;
use std::cell::Cell;
use std::time::Duration;
use tokio::sync::{mpsc, watch};
use tokio::time::{sleep_until, Instant};

/// The state of the node between its start and its exit.
pub struct Lifecycle {
    /// When the stop signal came; `None` before it.
    stopped_at: watch::Sender<Option<Instant>>,
    /// When the draining of clients started; `None` while they are not drained.
    draining_since: watch::Sender<Option<Instant>>,
    /// Whether a new process has taken over the connections.
    has_successor: watch::Sender<bool>,
    /// The task whose failure has stopped the node.
    failed_task: Cell<Option<&'static str>>,
}

impl Lifecycle {
    pub fn new() -> Lifecycle {
        let (stopped_at, draining_since) = (watch::Sender::new(None), watch::Sender::new(None));
        let (has_successor, failed_task) = (watch::Sender::new(false), Cell::new(None));
        Lifecycle { stopped_at, draining_since, has_successor, failed_task }
    }

    /// Waits for the signal to stop.
    pub async fn wait_for_stop_signal(&self, mut signal: mpsc::UnboundedReceiver<()>) {
        if signal.recv().await.is_none() {
            return;
        }
        log!("stop: finishing the commands in flight");
        self.begin_stop();
    }

    /// Begins a stop, unless one has begun already.
    fn begin_stop(&self) {
        self.stopped_at.send_if_modified(|stopped_at| {
            let begins = stopped_at.is_none();
            *stopped_at = stopped_at.or_else(|| Some(Instant::now()));
            begins
        });
    }

    /// Stops the node because one of its tasks has failed.
    pub fn stop_after_failure(&self, task: &'static str) {
        log!("stop: {task} has failed; finishing the commands in flight");
        self.failed_task.set(self.failed_task.get().or(Some(task)));
        self.begin_stop();
    }

    /// The task whose failure has stopped the node, if that was the reason.
    pub fn failed_task(&self) -> Option<&'static str> {
        self.failed_task.get()
    }

    pub fn is_stopping(&self) -> bool {
        self.stopped_at.borrow().is_some()
    }

    /// Starts or ends the draining of clients. Repeating a request does not change its start time.
    pub fn set_draining(&self, drain: bool) {
        self.draining_since.send_if_modified(|since| {
            let changed = since.is_some() != drain;
            *since = drain.then(|| since.unwrap_or_else(Instant::now));
            changed
        });
    }

    pub fn is_draining(&self) -> bool {
        self.draining_since.borrow().is_some()
    }

    /// Whether connections are closed once their commands are answered: the node is stopping, clients are
    /// drained, or a new process has taken over.
    pub fn is_closing_connections(&self) -> bool {
        self.is_stopping() || self.is_draining() || self.has_successor()
    }

    /// Sets whether a new process accepts the connections from now on.
    pub fn set_has_successor(&self, has_successor: bool) {
        self.has_successor.send_replace(has_successor);
    }

    pub fn has_successor(&self) -> bool {
        *self.has_successor.borrow()
    }

    /// Completes as soon as a new process accepts the connections, or with `false` as soon as none does.
    pub async fn wait_for_successor(&self, expected: bool) {
        let mut has_successor = self.has_successor.subscribe();
        if has_successor.wait_for(|current| *current == expected).await.is_err() {
            std::future::pending().await
        }
    }

    /// Completes once clients have been drained for this long without a break.
    pub async fn wait_until_draining_for(&self, delay: Duration) {
        let mut draining_since = self.draining_since.subscribe();
        loop {
            let since = *draining_since.borrow_and_update();
            tokio::select! {
                () = sleep_until(since.unwrap_or_else(Instant::now) + delay), if since.is_some() => return,
                changed = draining_since.changed() => if changed.is_err() { std::future::pending().await },
            }
        }
    }

    /// Completes this long after the stop signal.
    pub async fn wait_until_stopped_for(&self, delay: Duration) {
        let mut stopped_at = self.stopped_at.subscribe();
        let signal_time = stopped_at.wait_for(Option::is_some).await.ok().and_then(|at| *at);
        match signal_time {
            Some(at) => sleep_until(at + delay).await,
            None => std::future::pending().await,
        }
    }
}
