//! Tracks the message boundaries on a client's connection, for two purposes.
//!
//! Request smuggling: hyper resolves a request with both `Content-Length` and `Transfer-Encoding` by itself
//! and passes on neither the conflict nor the header that it ignored. The next hop may resolve it the other
//! way and find a second command in the body. So the heads are parsed here as well, on their way in.
//!
//! Disconnects: hyper detects that a client has closed only while it holds no data behind the request in
//! progress. What arrives behind one is therefore held back here until its turn.

use crate::client_connections::Guest;
use crate::observed_stream::Watch;
use crate::transport::Transport;
use std::future::Future;
use std::io;
use std::pin::{pin, Pin};
use std::rc::Rc;
use std::task::{ready, Context, Poll, Waker};
use tokio::io::{AsyncRead, Interest, ReadBuf};
use tokio::net::TcpStream;

/// The bytes that are kept of a header line: enough for the longer of the two names and any valid length.
const KEPT: usize = 64;

/// The read size in bytes for data behind a command: a head and a small body.
const BEHIND: usize = 1024;

enum At {
    Head,
    Body(u64),
    /// In a chunked body: the chunk size line, the chunk with its remaining bytes, the line end after it,
    /// and the trailers.
    Size,
    Chunk(u64),
    ChunkEnd,
    Trailers,
    /// The framing is invalid. hyper cannot read it either and closes the connection.
    Over,
}

/// A parser of the request framing on one connection.
pub struct Heads {
    at: At,
    line: Vec<u8>,
    /// Non-empty lines of the present head.
    lines: usize,
    /// The `Content-Length` of the present head.
    length: Option<u64>,
    /// Whether the present head has a `Transfer-Encoding`.
    coded: bool,
    /// The number of heads that are complete.
    ended: usize,
    /// The number of the first head that states both lengths, counting from one.
    clash: Option<usize>,
}

impl Heads {
    pub fn new() -> Heads {
        let line = Vec::with_capacity(KEPT);
        Heads { at: At::Head, line, lines: 0, length: None, coded: false, ended: 0, clash: None }
    }

    /// Whether a head was received in part.
    fn part(&self) -> bool {
        matches!(self.at, At::Head) && (self.lines > 0 || !self.line.is_empty())
    }

    /// Whether the received data ends exactly at the end of a request.
    fn whole(&self) -> bool {
        matches!(self.at, At::Head) && self.ended > 0 && !self.part()
    }

    /// Parses data up to the end of a request and returns how many bytes that were.
    fn follow(&mut self, all: &[u8]) -> usize {
        let mut bytes = all;
        while !bytes.is_empty() {
            match self.at {
                At::Over => return all.len(),
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
                    match self.at {
                        At::Head => self.line_ends(),
                        _ => self.chunk_line_ends(),
                    }
                }
            }
            if self.whole() {
                break;
            }
        }
        all.len() - bytes.len()
    }

    /// Handles the end of a line within a chunked body.
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

    /// Handles the end of a line of a head.
    fn line_ends(&mut self) {
        let empty = self.line.is_empty() || self.line == b"\r";
        if !empty {
            self.lines += 1;
            if let Some(colon) = self.line.iter().position(|&b| b == b':') {
                let (name, value) = (&self.line[..colon], &self.line[colon + 1..]);
                self.coded |= name.eq_ignore_ascii_case(b"transfer-encoding");
                if name.eq_ignore_ascii_case(b"content-length") {
                    let number = std::str::from_utf8(value).ok().and_then(|v| v.trim().parse().ok());
                    // hyper closes the connection if this is not a number.
                    self.length = Some(number.unwrap_or(u64::MAX));
                }
            }
        }
        self.line.clear();
        // Empty lines before a head are ignored.
        if !empty || self.lines == 0 {
            return;
        }
        self.ended += 1;
        self.lines = 0;
        let (length, coded) = (self.length.take(), std::mem::take(&mut self.coded));
        self.at = match (length, coded) {
            (_, true) => At::Size,
            (Some(length), false) if length > 0 => At::Body(length),
            _ => At::Head,
        };
        if length.is_some() && coded {
            self.clash = self.clash.or(Some(self.ended));
        }
    }
}

/// Observes the requests on a client's connection while hyper reads them.
pub struct Followed {
    heads: Heads,
    guest: Rc<Guest>,
    /// Data that arrived behind the command in flight, and the maximum that is held back, in bytes.
    behind: Vec<u8>,
    most: usize,
}

impl Followed {
    pub fn new(guest: Rc<Guest>, most: usize) -> Followed {
        Followed { heads: Heads::new(), guest, behind: Vec::new(), most }
    }

    /// Reads on. While a read is pending, the client's close is seen as soon as it comes. After a read that
    /// returned, unread data may be waiting, because hyper reads no further until the data is consumed.
    fn more(
        &self,
        stream: Pin<&mut Transport>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let read = stream.poll_read(cx, buf);
        self.guest.unread(read.is_ready());
        read
    }

    /// While a command is in flight, the data behind it is held back, so that the client's close is still
    /// seen.
    fn look_behind(&mut self, mut stream: Pin<&mut Transport>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        loop {
            if !self.behind.is_empty() {
                self.guest.part.set(true);
                self.guest.when_answered(cx.waker());
            }
            // A client that follows the protocol never sends this much ahead. From here on its close is
            // detected behind the unread data.
            if self.behind.len() >= self.most {
                return Poll::Pending;
            }
            let mut room = [0; BEHIND];
            let mut some = ReadBuf::new(&mut room);
            ready!(self.more(stream.as_mut(), cx, &mut some))?;
            if some.filled().is_empty() {
                return Poll::Ready(Ok(()));
            }
            self.behind.extend_from_slice(some.filled());
            if self.behind.len() >= self.most {
                self.guest.look.notify_one();
            }
        }
    }
}

impl Watch for Followed {
    fn read(
        &mut self,
        stream: Pin<&mut Transport>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.heads.whole() && self.guest.in_hand(self.heads.ended) {
            return self.look_behind(stream, cx);
        }
        let before = buf.filled().len();
        if self.behind.is_empty() {
            ready!(self.more(stream, cx, buf))?;
            let own = self.heads.follow(&buf.filled()[before..]);
            self.behind.extend_from_slice(&buf.filled()[before + own..]);
            buf.set_filled(before + own);
        } else {
            let here = self.behind.len().min(buf.remaining());
            let own = self.heads.follow(&self.behind[..here]);
            buf.put_slice(&self.behind[..own]);
            self.behind.drain(..own);
        }
        self.guest.clash.set(self.heads.clash);
        self.guest.part.set(self.heads.part() || !self.behind.is_empty());
        Poll::Ready(Ok(()))
    }

    fn wrote(&self, stuck: bool) {
        self.guest.writes(stuck);
    }

    fn rests(&self, stream: &Transport) {
        if self.guest.blind() && ended(stream.tcp()) {
            self.guest.gone.set(true);
            self.guest.look.notify_one();
        }
    }
}

/// Whether the client has closed its side, even if data that it sent before is still unread.
fn ended(stream: &TcpStream) -> bool {
    let ready = pin!(stream.ready(Interest::READABLE)).poll(&mut Context::from_waker(Waker::noop()));
    matches!(ready, Poll::Ready(Ok(ready)) if ready.is_read_closed())
}

#[cfg(test)]
mod tests {
    use super::Heads;

    /// A head with two lengths must be detected whatever precedes it on the connection and wherever the data
    /// is split. While chunked bodies were not parsed, such a head passed undetected behind one, and the
    /// request hidden in its body was forwarded.
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
                let (mut heads, mut ends) = (Heads::new(), Vec::new());
                let mut at = 0;
                for mut part in [first, rest] {
                    while !part.is_empty() {
                        let own = heads.follow(part);
                        (at, part) = (at + own, &part[own..]);
                        if heads.whole() {
                            ends.push(at);
                        }
                    }
                }
                assert_eq!(heads.clash, found, "{text:?} at {cut}");
                if found.is_none() && !text.contains("no size") {
                    // Data is delivered up to the end of each request and no further: what follows waits for
                    // the answer.
                    let sizes = parts.iter().scan(0, |end, part| {
                        *end += part.len();
                        Some(*end)
                    });
                    assert_eq!(ends, sizes.collect::<Vec<_>>(), "{text:?} at {cut}");
                }
            }
        }
    }
}
