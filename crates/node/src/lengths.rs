//! Heads that tell two lengths. hyper settles `Content-Length` beside `Transfer-Encoding` by itself and hands on
//! neither the clash nor the loser, though whoever is next in line may settle it the other way and find a second
//! command in the body. So the bytes are looked at on their way in, as far as heads go.

use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// How much of a line is kept: the longer of the two names, and any length that can be one.
const KEPT: usize = 64;

enum At {
    Head,
    Body(u64),
    /// What comes is no longer followed: the connection ends after the command that is on it.
    Over,
}

/// Follows the heads on one connection.
pub struct Heads {
    at: At,
    line: Vec<u8>,
    /// Lines of this head.
    lines: usize,
    length: Option<u64>,
    coded: bool,
    ended: usize,
}

impl Heads {
    pub fn new() -> Heads {
        let line = Vec::with_capacity(KEPT);
        Heads { at: At::Head, line, lines: 0, length: None, coded: false, ended: 0 }
    }

    /// Whether part of a head is here and the rest is not.
    fn part(&self) -> bool {
        matches!(self.at, At::Head) && (self.lines > 0 || !self.line.is_empty())
    }

    /// Follows what has come; the number of the first head that tells both lengths, counted from one.
    pub fn follow(&mut self, mut bytes: &[u8]) -> Option<usize> {
        while !bytes.is_empty() {
            match self.at {
                At::Over => break,
                At::Body(left) => {
                    let here = bytes.len().min(left as usize);
                    bytes = &bytes[here..];
                    self.at = if left as usize > here { At::Body(left - here as u64) } else { At::Head };
                }
                At::Head => {
                    let (part, rest) = match bytes.iter().position(|&b| b == b'\n') {
                        Some(end) => (&bytes[..end], Some(&bytes[end + 1..])),
                        None => (bytes, None),
                    };
                    let room = KEPT - self.line.len();
                    self.line.extend_from_slice(&part[..part.len().min(room)]);
                    bytes = rest.unwrap_or_default();
                    if rest.is_some() && self.line_ends() {
                        return Some(self.ended);
                    }
                }
            }
        }
        None
    }

    /// A line is whole. True if with it a head is that tells both.
    fn line_ends(&mut self) -> bool {
        let empty = self.line.is_empty() || self.line == b"\r";
        if !empty {
            self.lines += 1;
            if let Some(colon) = self.line.iter().position(|&b| b == b':') {
                let (name, value) = (&self.line[..colon], &self.line[colon + 1..]);
                self.coded |= name.eq_ignore_ascii_case(b"transfer-encoding");
                if name.eq_ignore_ascii_case(b"content-length") {
                    let number = std::str::from_utf8(value).ok().and_then(|v| v.trim().parse().ok());
                    // One that is no number ends the connection by itself.
                    self.length = Some(number.unwrap_or(u64::MAX));
                }
            }
        }
        self.line.clear();
        // Empty lines before a head are none of it.
        if !empty || self.lines == 0 {
            return false;
        }
        self.ended += 1;
        self.lines = 0;
        let (length, coded) = (self.length.take(), std::mem::take(&mut self.coded));
        self.at = match (length, coded) {
            // Chunks are not followed: `coded` ends the connection after it.
            (_, true) => At::Over,
            (Some(length), false) if length > 0 => At::Body(length),
            _ => At::Head,
        };
        length.is_some() && coded
    }
}

/// A client's connection, its heads followed as they are read.
pub struct Followed {
    pub stream: TcpStream,
    pub heads: Heads,
    /// The number of the head that tells two lengths, if one does.
    pub clash: Rc<Cell<Option<usize>>>,
    /// Part of a head is here and the rest is not.
    pub part: Rc<Cell<bool>>,
}

impl AsyncRead for Followed {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(cx, buf))?;
        if let Some(number) = self.heads.follow(&buf.filled()[before..]) {
            self.clash.set(Some(number));
        }
        self.part.set(self.heads.part());
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for Followed {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        parts: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, parts)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
