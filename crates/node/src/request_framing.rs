//! Heads that tell two lengths. hyper settles `Content-Length` beside `Transfer-Encoding` by itself and hands on
//! neither the clash nor the loser, though whoever is next in line may settle it the other way and find a second
//! command in the body. So the bytes are looked at on their way in, as far as heads go. And the end of a client's
//! connection, which hyper looks for only while it holds nothing behind the command in hand: what comes behind one is
//! kept here until its turn.

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

/// How much of a line is kept: the longer of the two names, and any length that can be one.
const KEPT: usize = 64;

/// Read at a time of what comes behind a command: a head and a small body.
const BEHIND: usize = 1024;

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
    /// The number of the first head that tells both lengths, counted from one.
    clash: Option<usize>,
}

impl Heads {
    pub fn new() -> Heads {
        let line = Vec::with_capacity(KEPT);
        Heads { at: At::Head, line, lines: 0, length: None, coded: false, ended: 0, clash: None }
    }

    /// Whether part of a head is here and the rest is not.
    fn part(&self) -> bool {
        matches!(self.at, At::Head) && (self.lines > 0 || !self.line.is_empty())
    }

    /// Whether what has come so far ends with a whole command.
    fn whole(&self) -> bool {
        matches!(self.at, At::Head) && self.ended > 0 && !self.part()
    }

    /// Follows what has come up to the end of a command; how many bytes that were.
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

    /// A line is whole.
    fn line_ends(&mut self) {
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

/// Follows the heads on a client's connection as they are read.
pub struct Followed {
    heads: Heads,
    guest: Rc<Guest>,
    /// What has come behind the command in hand, and how much of it is kept at most.
    behind: Vec<u8>,
    most: usize,
}

impl Followed {
    pub fn new(guest: Rc<Guest>, most: usize) -> Followed {
        Followed { heads: Heads::new(), guest, behind: Vec::new(), most }
    }

    /// Reads on. Whoever waits for more sees the end as it comes, and until it does there may be something unread: hyper
    /// reads no further where nobody takes what it has read.
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

    /// While a command is in hand nothing behind it is handed on, so that its client's end is seen as it comes.
    fn look_behind(&mut self, mut stream: Pin<&mut Transport>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        loop {
            if !self.behind.is_empty() {
                self.guest.part.set(true);
                self.guest.when_answered(cx.waker());
            }
            // Whoever sends so much ahead is no client of the protocol's. Its end is looked for behind what lies unread.
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

/// Whether the other side has ended it, also where what came before that is still to be read.
fn ended(stream: &TcpStream) -> bool {
    let ready = pin!(stream.ready(Interest::READABLE)).poll(&mut Context::from_waker(Waker::noop()));
    matches!(ready, Poll::Ready(Ok(ready)) if ready.is_read_closed())
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
                    // Handed on up to the end of each, and no further: what comes behind one waits for its answer.
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
