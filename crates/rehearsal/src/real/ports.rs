//! Ports to listen on that nobody's outgoing connection can take meanwhile: below those that kernels deal out.

use std::io::ErrorKind;
use std::net::TcpListener;
use std::sync::atomic::{AtomicU16, Ordering};

const FIRST: u16 = 18_000;
const COUNT: u16 = 14_000;

/// Two rehearsals on one machine start at different places, or they would meet at every port.
fn start() -> u16 {
    // Those that were started one after the other are an eighth of all ports apart.
    let process = std::process::id();
    (process % 8) as u16 * (COUNT / 8) + (process / 8 % 25) as u16 * 70
}

/// A listener on a port that nobody in this process has been given before.
pub fn listen() -> Result<(TcpListener, u16), String> {
    static NEXT: AtomicU16 = AtomicU16::new(0);
    for _ in 0..COUNT {
        let port = FIRST + (start() + NEXT.fetch_add(1, Ordering::Relaxed) % COUNT) % COUNT;
        match TcpListener::bind(("127.0.0.1", port)) {
            Ok(listener) => return Ok((listener, port)),
            Err(e) if e.kind() == ErrorKind::AddrInUse => {}
            Err(e) => return Err(format!("port {port}: {e}")),
        }
    }
    Err(format!("no port is free from {FIRST} on"))
}

/// The same for tokio.
pub fn listen_here() -> Result<(tokio::net::TcpListener, u16), String> {
    let (listener, port) = listen()?;
    listener.set_nonblocking(true).map_err(|e| format!("port {port}: {e}"))?;
    tokio::net::TcpListener::from_std(listener).map(|l| (l, port)).map_err(|e| format!("port {port}: {e}"))
}
