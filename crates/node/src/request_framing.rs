//! Tracks the message boundaries on a client's connection, for two purposes.
//!
//! Request smuggling: hyper resolves a request with both `Content-Length` and `Transfer-Encoding` by itself
//! and passes on neither the conflict nor the header that it ignored. The next hop may resolve it the other
//! way and find a second command in the body. So the heads are parsed here as well, on their way in.
//!
//! Disconnects: hyper detects that a client has closed only while it holds no data behind the request in
//! progress. What arrives behind one is therefore held back here until its turn.

use crate::client_connections::ClientConnection;
use crate::held_back::HeldBack;
use crate::observed_stream::StreamObserver;
use crate::receive_time::last_data_at;
use crate::request_arrival::ReceivedPart;
use crate::transport::Transport;
use std::future::Future;
use std::io;
use std::pin::{pin, Pin};
use std::rc::Rc;
use std::task::{ready, Context, Poll, Waker};
use tokio::io::{AsyncRead, Interest, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::Instant;

/// The bytes that are kept of a header line: enough for the longer of the two names and any valid length.
const MAX_LINE_BYTES: usize = 64;

/// The read size in bytes for data behind a command.
const READ_BYTES: usize = 4096;

enum ParserState {
    Head,
    Body(u64),
    /// In a chunked body: the chunk size line, the chunk with its remaining bytes, the line end after it,
    /// and the trailers.
    ChunkSize,
    Chunk(u64),
    ChunkEnd,
    Trailers,
    /// The framing is invalid. hyper cannot read it either and closes the connection.
    Invalid,
}

/// A parser of the request framing on one connection.
pub struct FramingParser {
    state: ParserState,
    line: Vec<u8>,
    /// Non-empty lines of the present head.
    head_lines: usize,
    /// The `Content-Length` of the present head.
    content_length: Option<u64>,
    /// Whether the present head has a `Transfer-Encoding`.
    is_chunked: bool,
    /// The number of heads that are complete.
    heads_complete: usize,
    /// The number of the first head that states both lengths, counting from one.
    conflicting_head: Option<usize>,
}

impl FramingParser {
    /// A parser at the start of a connection.
    pub fn new() -> FramingParser {
        let line = Vec::with_capacity(MAX_LINE_BYTES);
        FramingParser {
            state: ParserState::Head,
            line,
            head_lines: 0,
            content_length: None,
            is_chunked: false,
            heads_complete: 0,
            conflicting_head: None,
        }
    }

    /// Whether a head was received in part.
    fn has_partial_head(&self) -> bool {
        matches!(self.state, ParserState::Head) && (self.head_lines > 0 || !self.line.is_empty())
    }

    /// Whether the received data ends exactly at the end of a request.
    fn is_at_request_end(&self) -> bool {
        matches!(self.state, ParserState::Head) && self.heads_complete > 0 && !self.has_partial_head()
    }

    /// The bytes of the body that are still to come, if the request states its length.
    fn missing_bytes(&self) -> Option<u64> {
        match self.state {
            ParserState::Body(left) => Some(left),
            _ => None,
        }
    }

    /// Parses data up to the end of a request and returns how many bytes that were.
    fn parse(&mut self, all: &[u8]) -> usize {
        let mut bytes = all;
        while !bytes.is_empty() {
            match self.state {
                ParserState::Invalid => return all.len(),
                ParserState::Body(left) | ParserState::Chunk(left) => {
                    let available = (bytes.len() as u64).min(left);
                    bytes = &bytes[available as usize..];
                    self.state = match (&self.state, left - available) {
                        (ParserState::Body(_), 0) => ParserState::Head,
                        (ParserState::Body(_), left) => ParserState::Body(left),
                        (_, 0) => ParserState::ChunkEnd,
                        (_, left) => ParserState::Chunk(left),
                    };
                }
                ParserState::Head
                | ParserState::ChunkSize
                | ParserState::ChunkEnd
                | ParserState::Trailers => {
                    let (line_part, rest) = match bytes.iter().position(|&b| b == b'\n') {
                        Some(end) => (&bytes[..end], Some(&bytes[end + 1..])),
                        None => (bytes, None),
                    };
                    let free_bytes = MAX_LINE_BYTES - self.line.len();
                    self.line.extend_from_slice(&line_part[..line_part.len().min(free_bytes)]);
                    bytes = rest.unwrap_or_default();
                    if rest.is_none() {
                        continue;
                    }
                    match self.state {
                        ParserState::Head => self.end_head_line(),
                        _ => self.end_chunk_line(),
                    }
                }
            }
            if self.is_at_request_end() {
                break;
            }
        }
        all.len() - bytes.len()
    }

    /// Handles the end of a line within a chunked body.
    fn end_chunk_line(&mut self) {
        let line = self.line.trim_ascii_end();
        self.state = match self.state {
            ParserState::ChunkEnd => ParserState::ChunkSize,
            ParserState::Trailers if line.is_empty() => ParserState::Head,
            ParserState::Trailers => ParserState::Trailers,
            _ => {
                let size = line.split(|&b| b == b';').next().unwrap_or_default();
                let size =
                    std::str::from_utf8(size).ok().and_then(|s| u64::from_str_radix(s.trim(), 16).ok());
                match size {
                    Some(0) => ParserState::Trailers,
                    Some(size) => ParserState::Chunk(size),
                    None => ParserState::Invalid,
                }
            }
        };
        self.line.clear();
    }

    /// Handles the end of a line of a head.
    fn end_head_line(&mut self) {
        let empty = self.line.is_empty() || self.line == b"\r";
        if !empty {
            self.head_lines += 1;
            if let Some(colon) = self.line.iter().position(|&b| b == b':') {
                let (name, value) = (&self.line[..colon], &self.line[colon + 1..]);
                self.is_chunked |= name.eq_ignore_ascii_case(b"transfer-encoding");
                if name.eq_ignore_ascii_case(b"content-length") {
                    let number = std::str::from_utf8(value).ok().and_then(|v| v.trim().parse().ok());
                    // hyper closes the connection if this is not a number.
                    self.content_length = Some(number.unwrap_or(u64::MAX));
                }
            }
        }
        self.line.clear();
        // Empty lines before a head are ignored.
        if !empty || self.head_lines == 0 {
            return;
        }
        self.heads_complete += 1;
        self.head_lines = 0;
        let (content_length, is_chunked) = (self.content_length.take(), std::mem::take(&mut self.is_chunked));
        self.state = match (content_length, is_chunked) {
            (_, true) => ParserState::ChunkSize,
            (Some(content_length), false) if content_length > 0 => ParserState::Body(content_length),
            _ => ParserState::Head,
        };
        if content_length.is_some() && is_chunked {
            self.conflicting_head = self.conflicting_head.or(Some(self.heads_complete));
        }
    }
}

/// Observes the requests on a client's connection while hyper reads them.
pub struct RequestObserver {
    parser: FramingParser,
    client: Rc<ClientConnection>,
    /// Data that arrived behind the command in flight, and whether there was no room for more of it.
    held_back: HeldBack,
    is_full: bool,
    /// When the newest data of the last read had come.
    arrived_at: Instant,
}

impl RequestObserver {
    pub fn new(client: Rc<ClientConnection>, held_back: HeldBack) -> RequestObserver {
        RequestObserver {
            parser: FramingParser::new(),
            client,
            held_back,
            is_full: false,
            arrived_at: Instant::now(),
        }
    }

    /// Reads on. While a read is pending, the client's close is seen as soon as it comes. After a read that
    /// returned, unread data may be waiting, because hyper reads no further until the data is consumed.
    fn read_more(
        &mut self,
        mut stream: Pin<&mut Transport>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let read = stream.as_mut().poll_read(cx, buf);
        self.client.set_may_have_unread(read.is_ready());
        match read {
            Poll::Pending => self.client.arrival.record_empty_queue(),
            Poll::Ready(_) => self.arrived_at = last_data_at(stream.tcp()),
        }
        read
    }

    /// Records the part of a request that is passed on to hyper, and had come by this time.
    fn record_part(&self, bytes: usize, arrived_at: Instant) {
        if bytes > 0 {
            self.client.arrival.record_part(&ReceivedPart {
                arrived_at,
                bytes,
                is_last: self.parser.is_at_request_end(),
                missing_bytes: self.parser.missing_bytes(),
            });
        }
    }

    /// While a command is in flight, the data behind it is held back, so that the client's close is still
    /// seen.
    fn hold_back(&mut self, mut stream: Pin<&mut Transport>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        loop {
            if !self.held_back.is_empty() {
                self.client.has_partial_request.set(true);
                self.client.wake_when_answered(cx.waker());
            }
            // A client that follows the protocol never sends as much ahead as there is room for. From here on its close
            // is detected behind the unread data.
            if !self.held_back.make_room(READ_BYTES) {
                self.client.set_may_have_unread(true);
                if !std::mem::replace(&mut self.is_full, true) {
                    self.client.recheck.notify_one();
                }
                return Poll::Pending;
            }
            self.is_full = false;
            let mut buffer = [0; READ_BYTES];
            let mut read_buf = ReadBuf::new(&mut buffer);
            ready!(self.read_more(stream.as_mut(), cx, &mut read_buf))?;
            if read_buf.filled().is_empty() {
                return Poll::Ready(Ok(()));
            }
            self.held_back.extend(read_buf.filled(), self.arrived_at);
        }
    }
}

impl StreamObserver for RequestObserver {
    fn read(
        &mut self,
        stream: Pin<&mut Transport>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.parser.is_at_request_end() && self.client.has_unanswered_request(self.parser.heads_complete) {
            return self.hold_back(stream, cx);
        }
        let before = buf.filled().len();
        if self.held_back.is_empty() {
            ready!(self.read_more(stream, cx, buf))?;
            let request_bytes = self.parser.parse(&buf.filled()[before..]);
            self.held_back.extend(&buf.filled()[before + request_bytes..], self.arrived_at);
            buf.set_filled(before + request_bytes);
            self.record_part(request_bytes, self.arrived_at);
        } else {
            let held_back = self.held_back.front();
            let available = &held_back[..held_back.len().min(buf.remaining())];
            let request_bytes = self.parser.parse(available);
            buf.put_slice(&available[..request_bytes]);
            let arrived_at = self.held_back.consume(request_bytes).unwrap_or(self.arrived_at);
            self.record_part(request_bytes, arrived_at);
        }
        self.client.conflicting_head.set(self.parser.conflicting_head);
        self.client.has_partial_request.set(self.parser.has_partial_head() || !self.held_back.is_empty());
        Poll::Ready(Ok(()))
    }

    fn on_write(&self, is_stalled: bool) {
        self.client.record_write(is_stalled);
    }

    fn on_flush(&self, stream: &Transport) {
        if self.client.cannot_detect_close() && is_closed_by_peer(stream.tcp()) {
            self.client.close_detected.set(true);
            self.client.recheck.notify_one();
        }
    }
}

/// Whether the client has closed its side, even if data that it sent before is still unread.
pub fn is_closed_by_peer(stream: &TcpStream) -> bool {
    let ready = pin!(stream.ready(Interest::READABLE)).poll(&mut Context::from_waker(Waker::noop()));
    matches!(ready, Poll::Ready(Ok(ready)) if ready.is_read_closed())
}

#[cfg(test)]
mod tests {
    use super::FramingParser;

    /// A head with two lengths must be detected whatever precedes it on the connection and wherever the data
    /// is split. While chunked bodies were not parsed, such a head passed undetected behind one, and the
    /// request hidden in its body was forwarded.
    #[test]
    fn conflicting_lengths_are_detected_after_any_body() {
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
                let (mut parser, mut ends) = (FramingParser::new(), Vec::new());
                let mut position = 0;
                for mut chunk in [first, rest] {
                    while !chunk.is_empty() {
                        let request_bytes = parser.parse(chunk);
                        (position, chunk) = (position + request_bytes, &chunk[request_bytes..]);
                        if parser.is_at_request_end() {
                            ends.push(position);
                        }
                    }
                }
                assert_eq!(parser.conflicting_head, found, "{text:?} at {cut}");
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
