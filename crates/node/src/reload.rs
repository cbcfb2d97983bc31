//! A new configuration while the node serves: SIGHUP, and what is taken over from the file.

use crate::log::note;
use crate::start::Start;
use std::io;
use std::net::SocketAddr;
use tokio::signal::unix::{signal, Signal, SignalKind};
use tokio::sync::watch;

pub struct Reload {
    hangup: Signal,
    discovery: watch::Sender<SocketAddr>,
}

impl Reload {
    /// From here on the signal no longer ends the process.
    pub fn new(discovery: watch::Sender<SocketAddr>) -> io::Result<Reload> {
        Ok(Reload { hangup: signal(SignalKind::hangup())?, discovery })
    }

    /// Reads the file again whenever the signal comes. Where discovery is may change under load; all else in
    /// it takes a restart. A file that is bad in anything changes nothing.
    pub async fn run(mut self) {
        while self.hangup.recv().await.is_some() {
            // The variable was set at the start, and is older than the file.
            let variable = |name: &str| (name != "ROUTER_DISCOVERY").then(|| std::env::var(name).ok())?;
            match Start::read(variable) {
                Ok(Start { discovery, .. }) => {
                    note!("reload: discovery is at {discovery}");
                    self.discovery.send_if_modified(|at| std::mem::replace(at, discovery) != discovery);
                }
                Err(why) => note!("reload: the old configuration stays: {why}"),
            }
        }
    }
}
