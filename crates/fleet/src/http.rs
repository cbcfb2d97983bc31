//! Calls to the admin interfaces of nodes: one request per connection, limited in time and bytes.

use std::io::{Error, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// The largest response that is read: the view of a fleet of 2,000 members, or the counts of an hour's seconds.
const MAX_RESPONSE_BYTES: usize = 8 << 20;

/// Makes a request and returns the status and the body. The timeout covers the whole call.
pub fn call(
    at: SocketAddr,
    method: &str,
    path: &str,
    body: &str,
    timeout: Duration,
) -> Result<(u16, String), Error> {
    let deadline = Instant::now() + timeout;
    let mut stream = TcpStream::connect_timeout(&at, timeout)?;
    stream.set_write_timeout(Some(timeout))?;
    let length = body.len();
    let head = format!(
        "{method} {path} HTTP/1.1\r\nHost: node\r\nConnection: close\r\nContent-Length: {length}\r\n\r\n"
    );
    stream.write_all((head + body).as_bytes())?;
    let (mut bytes, mut chunk) = (Vec::new(), [0; 16384]);
    while bytes.len() < MAX_RESPONSE_BYTES {
        // The remaining time is checked for each read: a response that arrives byte by byte would never time out otherwise.
        let remaining = deadline.saturating_duration_since(Instant::now());
        if remaining.is_zero() {
            return Err(std::io::ErrorKind::TimedOut.into());
        }
        stream.set_read_timeout(Some(remaining))?;
        match stream.read(&mut chunk)? {
            0 => break,
            size => bytes.extend_from_slice(&chunk[..size]),
        }
    }
    let text = String::from_utf8_lossy(&bytes);
    let (head, body) = text.split_once("\r\n\r\n").ok_or_else(|| Error::other("no HTTP answer"))?;
    let status = head.split(' ').nth(1).and_then(|status| status.parse().ok());
    let length = head
        .lines()
        .filter_map(|line| line.split_once(": "))
        .find(|(n, _)| n.eq_ignore_ascii_case("content-length"));
    let is_complete = length.is_none_or(|(_, length)| length.trim().parse() == Ok(body.len()));
    match status.filter(|_| is_complete) {
        Some(status) => Ok((status, body.to_owned())),
        None => Err(Error::other("half an HTTP answer")),
    }
}

/// Makes a request and returns the body of a 200 response, or an error that describes the actual response.
pub fn call_expecting_ok(
    at: SocketAddr,
    method: &str,
    path: &str,
    body: &str,
    timeout: Duration,
) -> Result<String, String> {
    match call(at, method, path, body, timeout) {
        Ok((200, body)) => Ok(body),
        Ok((status, body)) => Err(format!("{status}: {}", body.trim())),
        Err(error) => Err(error.to_string()),
    }
}
