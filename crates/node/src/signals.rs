//! Operators' signals. The default action of each would kill the process whatever it is doing, so the
//! handlers are installed first: a signal that arrives during the start is handled when the start is over.
//!
//! tokio's own signal handling ends the process if the read of its self-pipe is interrupted, and loses a
//! signal if the write is. Here the handler sets a flag, and the socket pair only wakes the reader, which
//! also checks the flags periodically.

use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use std::io::{self, ErrorKind};
use std::os::unix::net::UnixStream;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::task::spawn_local;
use tokio::time::timeout;

/// The interval between two checks without a wake-up: short compared with the time between a stop signal and
/// the kill.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Receives one message for each signal; several signals that come together may give one message.
pub struct Signals {
    pub stop: mpsc::UnboundedReceiver<()>,
    pub hangup: mpsc::UnboundedReceiver<()>,
}

/// One kind of signal: a flag that is set when it arrives, and where to report it.
struct SignalKind {
    is_pending: Arc<AtomicBool>,
    sender: mpsc::UnboundedSender<()>,
}

impl Signals {
    /// Installs the handlers: from now on these signals no longer kill the process.
    pub fn listen() -> io::Result<Signals> {
        let (reader, writer) = UnixStream::pair()?;
        reader.set_nonblocking(true)?;
        let (stop, stop_receiver) = SignalKind::register(&[SIGTERM, SIGINT], &writer)?;
        let (hangup, hangup_receiver) = SignalKind::register(&[SIGHUP], &writer)?;
        spawn_local(dispatch_signals(tokio::net::UnixStream::from_std(reader)?, [stop, hangup]));
        Ok(Signals { stop: stop_receiver, hangup: hangup_receiver })
    }
}

impl SignalKind {
    fn register(
        signals: &[i32],
        writer: &UnixStream,
    ) -> io::Result<(SignalKind, mpsc::UnboundedReceiver<()>)> {
        let is_pending = Arc::new(AtomicBool::new(false));
        for signal in signals {
            // In this order, so that the reader finds the flag set when it is woken.
            signal_hook::flag::register(*signal, is_pending.clone())?;
            signal_hook::low_level::pipe::register(*signal, writer.try_clone()?)?;
        }
        let (sender, receiver) = mpsc::unbounded_channel();
        Ok((SignalKind { is_pending, sender }, receiver))
    }
}

async fn dispatch_signals(wakeups: tokio::net::UnixStream, signal_kinds: [SignalKind; 2]) {
    loop {
        let _ = timeout(CHECK_INTERVAL, wakeups.readable()).await;
        drain(&wakeups);
        for signal_kind in &signal_kinds {
            if signal_kind.is_pending.swap(false, Ordering::SeqCst) {
                // The receiver is dropped only while the process shuts down.
                let _ = signal_kind.sender.send(());
            }
        }
    }
}

fn drain(wakeups: &tokio::net::UnixStream) {
    let mut buffer = [0; 64];
    loop {
        match wakeups.try_read(&mut buffer) {
            Ok(count) if count > 0 => {}
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            _ => return,
        }
    }
}
