//! What operators say by signals. Until a process listens each of them ends it, whatever it has begun: with this one that
//! comes during the start is heard when that is over.
//!
//! The runtime's own signals take a read that is interrupted for a fault and end the process, and lose a signal whose write
//! is. Here a signal sets a flag, and the pair of sockets only says that it is time to look; now and then that is looked at unasked.

use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use std::io::{self, ErrorKind};
use std::os::unix::net::UnixStream;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::task::spawn_local;
use tokio::time::timeout;

/// Between two looks that nothing asked for: short beside what is left after a stop before the kill.
const LOOK: Duration = Duration::from_millis(100);

/// Tells of each signal, of several that came together once.
pub struct Signals {
    pub stop: mpsc::UnboundedReceiver<()>,
    pub hangup: mpsc::UnboundedReceiver<()>,
}

/// A kind of signal, whether one has come, and whom to tell.
struct Kind {
    came: Arc<AtomicBool>,
    to: mpsc::UnboundedSender<()>,
}

impl Signals {
    /// From now on no signal of these ends the process by itself.
    pub fn listen() -> io::Result<Signals> {
        let (reader, writer) = UnixStream::pair()?;
        reader.set_nonblocking(true)?;
        let (stop, told_to_stop) = Kind::register(&[SIGTERM, SIGINT], &writer)?;
        let (hangup, told_to_reload) = Kind::register(&[SIGHUP], &writer)?;
        spawn_local(deliver(tokio::net::UnixStream::from_std(reader)?, [stop, hangup]));
        Ok(Signals { stop: told_to_stop, hangup: told_to_reload })
    }
}

impl Kind {
    fn register(signals: &[i32], writer: &UnixStream) -> io::Result<(Kind, mpsc::UnboundedReceiver<()>)> {
        let came = Arc::new(AtomicBool::new(false));
        for signal in signals {
            // In this order: whoever is woken finds the flag.
            signal_hook::flag::register(*signal, came.clone())?;
            signal_hook::low_level::pipe::register(*signal, writer.try_clone()?)?;
        }
        let (to, told) = mpsc::unbounded_channel();
        Ok((Kind { came, to }, told))
    }
}

async fn deliver(woken: tokio::net::UnixStream, kinds: [Kind; 2]) {
    loop {
        let _ = timeout(LOOK, woken.readable()).await;
        empty(&woken);
        for kind in &kinds {
            if kind.came.swap(false, Ordering::SeqCst) {
                // Nobody listens only when the process is coming down.
                let _ = kind.to.send(());
            }
        }
    }
}

fn empty(woken: &tokio::net::UnixStream) {
    let mut some = [0; 64];
    loop {
        match woken.try_read(&mut some) {
            Ok(count) if count > 0 => {}
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            _ => return,
        }
    }
}
