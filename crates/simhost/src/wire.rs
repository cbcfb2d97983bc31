//! Frames of the simulator's wire: big-endian, fixed records, one shared tail.

use std::io::{self, Read};

pub const EVENT: usize = 48;
pub const ACTION: usize = 24;
const HEADER: usize = 20;
/// An entry of a list of backends.
const ENTRY: usize = 22;

/// Reads a frame into `frame`; false at the end of input between frames.
pub fn read_frame(input: &mut impl Read, frame: &mut Vec<u8>) -> Result<bool, String> {
    frame.resize(HEADER, 0);
    let mut got = 0;
    while got < HEADER {
        match input.read(&mut frame[got..]) {
            Ok(0) if got == 0 => return Ok(false),
            Ok(0) => return Err(format!("header: input ended after {got} of {HEADER} bytes")),
            Ok(n) => got += n,
            Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
            Err(e) => return Err(format!("header: {e}")),
        }
    }
    let (records, length) = (u32_at(frame, 0) as usize, u32_at(frame, 4) as usize);
    if length < HEADER || (length - HEADER) / EVENT < records {
        return Err(format!("header: length {length} does not hold {records} records"));
    }
    // Grown as bytes arrive: a wrong length must not claim memory at once.
    let body = (length - HEADER) as u64;
    match input.by_ref().take(body).read_to_end(frame) {
        Ok(n) if n as u64 == body => Ok(true),
        Ok(n) => Err(format!("body: input ended after {n} of {body} bytes")),
        Err(e) => Err(format!("body: {e}")),
    }
}

pub struct Batch<'a>(&'a [u8]);

impl<'a> Batch<'a> {
    pub fn new(frame: &'a [u8]) -> Batch<'a> {
        Batch(frame)
    }

    pub fn nanos(&self) -> u64 {
        u64_at(self.0, 8)
    }

    pub fn number(&self) -> u32 {
        u32_at(self.0, 16)
    }

    pub fn events(&self) -> impl Iterator<Item = &'a [u8]> {
        self.0[HEADER..].chunks_exact(EVENT).take(u32_at(self.0, 0) as usize)
    }

    fn tail(&self, event: &[u8], at: usize, each: usize, field: &str) -> Result<&'a [u8], String> {
        let tail = &self.0[HEADER + u32_at(self.0, 0) as usize * EVENT..];
        let (start, count) = (u32_at(event, at) as usize, u32_at(event, at + 4) as usize);
        let end = count.checked_mul(each).and_then(|n| n.checked_add(start));
        end.and_then(|end| tail.get(start..end)).ok_or_else(|| {
            format!("{field}: {count} from {start} lies outside the tail of {} bytes", tail.len())
        })
    }

    pub fn bytes(&self, event: &[u8], at: usize, field: &str) -> Result<&'a [u8], String> {
        self.tail(event, at, 1, field)
    }

    pub fn entries(&self, event: &[u8], at: usize, field: &str) -> Result<&'a [u8], String> {
        self.tail(event, at, ENTRY, field)
    }
}

pub fn entry_chunks(entries: &[u8]) -> std::slice::ChunksExact<'_, u8> {
    entries.chunks_exact(ENTRY)
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

/// The values of a load report, and how many there are.
pub fn report_at(bytes: &[u8], at: usize) -> Result<([f32; 4], usize), String> {
    let count = usize::from(bytes[at]);
    if count > 4 {
        return Err(format!("feedback: {count} values, at most 4"));
    }
    let value = |n: usize| f32::from_bits(u32_at(bytes, at + 1 + 4 * n));
    Ok(([value(0), value(1), value(2), value(3)], count))
}

/// A reply being written: records, then what they refer to.
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
        self.records.resize(start + ACTION, 0);
    }

    pub fn text(&mut self, code: u8, instance: u32, text: &str) {
        let (at, length) = (self.tail.len() as u32, text.len() as u32);
        self.tail.extend_from_slice(text.as_bytes());
        self.action(code, instance, &[&at.to_be_bytes(), &length.to_be_bytes()]);
    }

    pub fn frame(&self, number: u32, out: &mut Vec<u8>) {
        out.clear();
        let length = 12 + self.records.len() + self.tail.len();
        out.extend_from_slice(&((self.records.len() / ACTION) as u32).to_be_bytes());
        out.extend_from_slice(&(length as u32).to_be_bytes());
        out.extend_from_slice(&number.to_be_bytes());
        out.extend_from_slice(&self.records);
        out.extend_from_slice(&self.tail);
    }
}
