//! Ports to listen on, taken from below the ephemeral range so that no outgoing connection can occupy them meanwhile.

use std::io::ErrorKind;
use std::net::TcpListener;
use std::sync::atomic::{AtomicU16, Ordering};

const FIRST_PORT: u16 = 18_000;
const PORT_COUNT: u16 = 14_000;

/// Offset of the first port to try. It depends on the process so that two rehearsals on one machine do not collide at every
/// port.
fn start_offset() -> u16 {
    // Processes that start one after the other are an eighth of all ports apart.
    let process = std::process::id();
    (process % 8) as u16 * (PORT_COUNT / 8) + (process / 8 % 25) as u16 * 70
}

/// Binds a listener on a port that this process has not handed out before.
pub fn listen() -> Result<(TcpListener, u16), String> {
    static NEXT_OFFSET: AtomicU16 = AtomicU16::new(0);
    for _ in 0..PORT_COUNT {
        let port = FIRST_PORT
            + (start_offset() + NEXT_OFFSET.fetch_add(1, Ordering::Relaxed) % PORT_COUNT) % PORT_COUNT;
        match TcpListener::bind(("127.0.0.1", port)) {
            Ok(listener) => return Ok((listener, port)),
            Err(e) if e.kind() == ErrorKind::AddrInUse => {}
            Err(e) => return Err(format!("port {port}: {e}")),
        }
    }
    Err(format!("no free port from {FIRST_PORT} on"))
}

/// The same with a listener for tokio.
pub fn listen_async() -> Result<(tokio::net::TcpListener, u16), String> {
    let (listener, port) = listen()?;
    listener.set_nonblocking(true).map_err(|e| format!("port {port}: {e}"))?;
    tokio::net::TcpListener::from_std(listener).map(|l| (l, port)).map_err(|e| format!("port {port}: {e}"))
}
