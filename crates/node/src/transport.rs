//! A TCP connection whose reads and writes go on until the kernel reports `WouldBlock`.
//!
//! After a short read or write, tokio assumes that the socket is drained or full and waits for the next
//! event of the kernel. If Linux ends a call early, for example on an interrupt, data remains for which no
//! event comes; it was then left unread until the connection ended.

use crate::log::log;
use rustix::io::Errno;
use rustix::net::{shutdown, Shutdown};
use std::cell::Cell;
use std::fmt;
use std::io::{self, ErrorKind, IoSlice};
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::{Rc, Weak};
use std::task::{ready, Context, Poll};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

/// A TCP connection that avoids tokio's assumptions about short reads and writes.
pub struct Transport(Rc<TcpStream>);

/// Whether to retry the call: it was interrupted, or the socket was not ready after all.
fn should_retry(error: &io::Error) -> bool {
    matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted)
}

/// Whether a connect failed because this machine lacks a resource, which says nothing about the peer.
fn is_local(error: &io::Error) -> bool {
    const LOCAL_ERRORS: [Errno; 8] = [
        Errno::MFILE,
        Errno::NFILE,
        Errno::NOBUFS,
        Errno::NOMEM,
        Errno::ADDRNOTAVAIL,
        Errno::ADDRINUSE,
        Errno::AGAIN,
        Errno::INTR,
    ];
    LOCAL_ERRORS.iter().any(|local| error.raw_os_error() == Some(local.raw_os_error()))
}

/// Why a peer could not be connected to.
#[derive(Debug)]
pub enum ConnectError {
    TimedOut,
    Failed(io::Error),
}

impl fmt::Display for ConnectError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ConnectError::TimedOut => formatter.write_str("connect timed out"),
            ConnectError::Failed(error) => error.fmt(formatter),
        }
    }
}

impl Transport {
    /// Wraps an open connection and disables Nagle's algorithm, so that small writes are sent at once.
    pub fn new(stream: TcpStream) -> Transport {
        // This fails if the peer has reset the connection, which the first read then reports.
        let _ = stream.set_nodelay(true);
        Transport(Rc::new(stream))
    }

    /// Opens a connection within this time. While this machine lacks a port or a file descriptor, it pauses and
    /// retries without limit, and sets `is_waiting_for_socket` meanwhile: only the peer's failures are returned.
    pub async fn connect(
        address: SocketAddr,
        max_time: Duration,
        retry_pause: Duration,
        is_waiting_for_socket: &Cell<bool>,
    ) -> Result<Transport, ConnectError> {
        loop {
            let connected = timeout(max_time, TcpStream::connect(address)).await;
            match connected.map_err(|_| ConnectError::TimedOut)? {
                Ok(stream) => return Ok(Transport::new(stream)),
                Err(error) if is_local(&error) => {
                    log!("connect: no local socket available to connect: {error}");
                    is_waiting_for_socket.set(true);
                    sleep(retry_pause).await;
                    is_waiting_for_socket.set(false);
                }
                Err(error) => return Err(ConnectError::Failed(error)),
            }
        }
    }

    /// The underlying stream.
    pub fn tcp(&self) -> &TcpStream {
        &self.0
    }

    /// The underlying stream for those who observe it; it closes when the transport is dropped.
    pub fn observe(&self) -> Weak<TcpStream> {
        Rc::downgrade(&self.0)
    }

    fn poll_write_with(
        &self,
        cx: &mut Context<'_>,
        write: impl Fn(&TcpStream) -> io::Result<usize>,
    ) -> Poll<io::Result<usize>> {
        loop {
            ready!(self.0.poll_write_ready(cx))?;
            match write(&self.0) {
                Err(error) if should_retry(&error) => {}
                written => return Poll::Ready(written),
            }
        }
    }
}

impl AsyncRead for Transport {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        loop {
            ready!(self.0.poll_read_ready(cx))?;
            // Into the buffer as it is: filling it with zeros first would make the memory of each idle connection resident.
            match self.0.try_read_buf(buf) {
                Ok(_) => return Poll::Ready(Ok(())),
                Err(error) if should_retry(&error) => {}
                Err(error) => return Poll::Ready(Err(error)),
            }
        }
    }
}

impl AsyncWrite for Transport {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        self.poll_write_with(cx, |stream| stream.try_write(bytes))
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        parts: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.poll_write_with(cx, |stream| stream.try_write_vectored(parts))
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        // What was written is with the kernel already.
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(match shutdown(&*self.0, Shutdown::Write) {
            // The peer has reset the connection, so nothing is left to shut down.
            Err(Errno::NOTCONN) => Ok(()),
            other => other.map_err(io::Error::from),
        })
    }
}
