//! Frames of the simulator's protocol: big-endian, with fixed-size records and one shared tail.

use std::io::{self, Read};

/// Size of an event record of a batch, and of an action record of a reply.
pub const EVENT_BYTES: usize = 48;
pub const ACTION_BYTES: usize = 24;
const HEADER_BYTES: usize = 20;
/// Size of an entry of a backend list.
const ENTRY_BYTES: usize = 22;

/// Reads one frame into `frame`. Returns false if the input ends between frames.
pub fn read_frame(input: &mut impl Read, frame: &mut Vec<u8>) -> Result<bool, String> {
    frame.resize(HEADER_BYTES, 0);
    let mut bytes_read = 0;
    while bytes_read < HEADER_BYTES {
        match input.read(&mut frame[bytes_read..]) {
            Ok(0) if bytes_read == 0 => return Ok(false),
            Ok(0) => return Err(format!("header: input ended after {bytes_read} of {HEADER_BYTES} bytes")),
            Ok(n) => bytes_read += n,
            Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
            Err(e) => return Err(format!("header: {e}")),
        }
    }
    let (records, length) = (u32_at(frame, 0) as usize, u32_at(frame, 4) as usize);
    if length < HEADER_BYTES || (length - HEADER_BYTES) / EVENT_BYTES < records {
        return Err(format!("header: length {length} does not hold {records} records"));
    }
    // The buffer grows as bytes arrive, so that a wrong length does not allocate its memory at once.
    let body = (length - HEADER_BYTES) as u64;
    match input.by_ref().take(body).read_to_end(frame) {
        Ok(n) if n as u64 == body => Ok(true),
        Ok(n) => Err(format!("body: input ended after {n} of {body} bytes")),
        Err(e) => Err(format!("body: {e}")),
    }
}

/// A frame of events.
pub struct Batch<'a>(&'a [u8]);

impl<'a> Batch<'a> {
    pub fn new(frame: &'a [u8]) -> Batch<'a> {
        Batch(frame)
    }

    /// Simulated time in nanoseconds.
    pub fn nanos(&self) -> u64 {
        u64_at(self.0, 8)
    }

    pub fn number(&self) -> u32 {
        u32_at(self.0, 16)
    }

    pub fn events(&self) -> impl Iterator<Item = &'a [u8]> {
        self.0[HEADER_BYTES..].chunks_exact(EVENT_BYTES).take(u32_at(self.0, 0) as usize)
    }

    /// The part of the tail that an event refers to by offset and count.
    fn tail(&self, event: &[u8], at: usize, item_bytes: usize, field: &str) -> Result<&'a [u8], String> {
        let tail = &self.0[HEADER_BYTES + u32_at(self.0, 0) as usize * EVENT_BYTES..];
        let (start, count) = (u32_at(event, at) as usize, u32_at(event, at + 4) as usize);
        let end = count.checked_mul(item_bytes).and_then(|n| n.checked_add(start));
        end.and_then(|end| tail.get(start..end)).ok_or_else(|| {
            format!("{field}: {count} from {start} lies outside the tail of {} bytes", tail.len())
        })
    }

    pub fn bytes(&self, event: &[u8], at: usize, field: &str) -> Result<&'a [u8], String> {
        self.tail(event, at, 1, field)
    }

    pub fn entries(&self, event: &[u8], at: usize, field: &str) -> Result<&'a [u8], String> {
        self.tail(event, at, ENTRY_BYTES, field)
    }
}

pub fn entry_chunks(entries: &[u8]) -> std::slice::ChunksExact<'_, u8> {
    entries.chunks_exact(ENTRY_BYTES)
}

pub fn u16_at(bytes: &[u8], at: usize) -> u16 {
    u16::from_be_bytes(bytes[at..at + 2].try_into().expect("two bytes"))
}

pub fn u32_at(bytes: &[u8], at: usize) -> u32 {
    u32::from_be_bytes(bytes[at..at + 4].try_into().expect("four bytes"))
}

pub fn u64_at(bytes: &[u8], at: usize) -> u64 {
    u64::from_be_bytes(bytes[at..at + 8].try_into().expect("eight bytes"))
}

/// The values of a load report and their number.
pub fn report_at(bytes: &[u8], at: usize) -> Result<([f32; 4], usize), String> {
    let count = usize::from(bytes[at]);
    if count > 4 {
        return Err(format!("feedback: {count} values, at most 4"));
    }
    let value = |n: usize| f32::from_bits(u32_at(bytes, at + 1 + 4 * n));
    Ok(([value(0), value(1), value(2), value(3)], count))
}

/// A reply under construction: records, and the tail that they refer to.
#[derive(Default)]
pub struct Reply {
    records: Vec<u8>,
    tail: Vec<u8>,
}

impl Reply {
    pub fn clear(&mut self) {
        self.records.clear();
        self.tail.clear();
    }

    pub fn action(&mut self, code: u8, instance: u32, fields: &[&[u8]]) {
        let start = self.records.len();
        self.records.push(code);
        self.records.extend_from_slice(&instance.to_be_bytes());
        for field in fields {
            self.records.extend_from_slice(field);
        }
        self.records.resize(start + ACTION_BYTES, 0);
    }

    pub fn text(&mut self, code: u8, instance: u32, text: &str) {
        let (at, length) = (self.tail.len() as u32, text.len() as u32);
        self.tail.extend_from_slice(text.as_bytes());
        self.action(code, instance, &[&at.to_be_bytes(), &length.to_be_bytes()]);
    }

    pub fn frame(&self, number: u32, out: &mut Vec<u8>) {
        out.clear();
        let length = 12 + self.records.len() + self.tail.len();
        out.extend_from_slice(&((self.records.len() / ACTION_BYTES) as u32).to_be_bytes());
        out.extend_from_slice(&(length as u32).to_be_bytes());
        out.extend_from_slice(&number.to_be_bytes());
        out.extend_from_slice(&self.records);
        out.extend_from_slice(&self.tail);
    }
}
