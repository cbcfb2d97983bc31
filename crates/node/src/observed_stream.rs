//! A socket, driven by hyper, whose reads and writes are observed.

use crate::transport::Transport;
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Observes the reads and writes on a connection.
pub trait StreamObserver {
    /// Reads from the stream on hyper's behalf.
    fn read(
        &mut self,
        stream: Pin<&mut Transport>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>>;

    /// Called after each write; `_is_stalled` if the peer accepts no more data at present.
    fn on_write(&self, _is_stalled: bool) {}

    /// Called when hyper flushes, which it does after all other work that it can do for now.
    fn on_flush(&self, _stream: &Transport) {}
}

/// A stream together with its observer.
pub struct ObservedStream<W> {
    pub stream: Transport,
    pub observer: W,
}

impl<W: StreamObserver + Unpin> AsyncRead for ObservedStream<W> {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        this.observer.read(Pin::new(&mut this.stream), cx, buf)
    }
}

impl<W: StreamObserver + Unpin> AsyncWrite for ObservedStream<W> {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(cx, bytes);
        self.observer.on_write(written.is_pending());
        written
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        parts: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(cx, parts);
        self.observer.on_write(written.is_pending());
        written
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.observer.on_flush(&self.stream);
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
