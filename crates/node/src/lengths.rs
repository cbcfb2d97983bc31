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
    /// Of a body in chunks: a size, so many bytes, the end of their line, what follows the last one.
    Size,
    Chunk(u64),
    ChunkEnd,
    Trailers,
    /// This cannot be followed, and nobody can read it: the connection ends with it.
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
                At::Body(left) | At::Chunk(left) => {
                    let here = (bytes.len() as u64).min(left);
                    bytes = &bytes[here as usize..];
                    self.at = match (&self.at, left - here) {
                        (At::Body(_), 0) => At::Head,
                        (At::Body(_), left) => At::Body(left),
                        (_, 0) => At::ChunkEnd,
                        (_, left) => At::Chunk(left),
                    };
                }
                At::Head | At::Size | At::ChunkEnd | At::Trailers => {
                    let (part, rest) = match bytes.iter().position(|&b| b == b'\n') {
                        Some(end) => (&bytes[..end], Some(&bytes[end + 1..])),
                        None => (bytes, None),
                    };
                    let room = KEPT - self.line.len();
                    self.line.extend_from_slice(&part[..part.len().min(room)]);
                    bytes = rest.unwrap_or_default();
                    if rest.is_none() {
                        continue;
                    }
                    if matches!(self.at, At::Head) {
                        if self.line_ends() {
                            return Some(self.ended);
                        }
                    } else {
                        self.chunk_line_ends();
                    }
                }
            }
        }
        None
    }

    /// A line among chunks is whole.
    fn chunk_line_ends(&mut self) {
        let line = self.line.trim_ascii_end();
        self.at = match self.at {
            At::ChunkEnd => At::Size,
            At::Trailers if line.is_empty() => At::Head,
            At::Trailers => At::Trailers,
            _ => {
                let size = line.split(|&b| b == b';').next().unwrap_or_default();
                let size =
                    std::str::from_utf8(size).ok().and_then(|s| u64::from_str_radix(s.trim(), 16).ok());
                match size {
                    Some(0) => At::Trailers,
                    Some(size) => At::Chunk(size),
                    None => At::Over,
                }
            }
        };
        self.line.clear();
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
            (_, true) => At::Size,
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

#[cfg(test)]
mod tests {
    use super::Heads;

    /// A head with two lengths is found behind whatever came before it on the connection, wherever what comes is cut:
    /// behind chunks that were not followed one went through, and what hid in its body was passed on.
    #[test]
    fn heads_behind_bodies() {
        let plain = "POST /api HTTP/1.1\r\nContent-Length: 3\r\n\r\na\nb";
        let chunked = "POST /api HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n\
            3;a=\"b\"\r\na\r\n\r\nA\r\n0123456789\r\n0\r\nX: content-length: 3\r\n\r\n";
        let both = "POST /api HTTP/1.1\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n";
        let cases = [
            (vec![plain, chunked, plain, chunked], None),
            (vec![both], Some(1)),
            (vec![plain, both], Some(2)),
            (vec![chunked, both], Some(2)),
            (vec!["\r\n", chunked, chunked, plain, both], Some(4)),
            (vec!["POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nno size\r\n", both], None),
        ];
        for (parts, found) in cases {
            let text = parts.concat();
            for cut in 0..text.len() {
                let (first, rest) = text.as_bytes().split_at(cut);
                let mut heads = Heads::new();
                assert_eq!(heads.follow(first).or_else(|| heads.follow(rest)), found, "{text:?} at {cut}");
            }
        }
    }
}
