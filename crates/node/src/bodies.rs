//! Bodies of commands and answers: read whole, and counted for as long as any part of one is held.

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use std::sync::atomic::{AtomicUsize, Ordering::Relaxed};
use std::sync::Arc;

/// Why a body could not be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unread {
    TooLarge,
    /// The node holds as many bytes as it may.
    NoRoom,
    Broken,
}

/// The bytes that all bodies together may take. Shared by both directions.
#[derive(Clone)]
pub struct Room {
    most: usize,
    held: Arc<AtomicUsize>,
    /// What the other process of this node holds.
    others: Arc<AtomicUsize>,
}

/// One body's bytes and its part of the room.
struct Kept {
    bytes: Vec<u8>,
    room: Room,
}

impl AsRef<[u8]> for Kept {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl Drop for Kept {
    fn drop(&mut self) {
        self.room.held.fetch_sub(self.bytes.len(), Relaxed);
    }
}

impl Room {
    pub fn new(most: usize) -> Room {
        Room { most, held: Arc::default(), others: Arc::default() }
    }

    fn free(&self) -> usize {
        self.most.saturating_sub(self.held.load(Relaxed) + self.others.load(Relaxed))
    }

    pub fn held(&self) -> usize {
        self.held.load(Relaxed)
    }

    pub fn others_hold(&self, bytes: usize) {
        self.others.store(bytes, Relaxed);
    }

    /// A body of so many bytes at most. One that is too large is read on up to the second figure all the same,
    /// as a connection that is closed with something unread takes the reply with it; past that, or told to go
    /// past that, it is refused at once.
    pub async fn whole(&self, mut body: Incoming, most: usize, read_on: usize) -> Result<Bytes, Unread> {
        let (told, last) = (body.size_hint().lower(), read_on.max(most));
        if told > last as u64 {
            return Err(Unread::TooLarge);
        }
        if told <= most as u64 && told > self.free() as u64 {
            return Err(Unread::NoRoom);
        }
        let mut kept = Kept { bytes: Vec::new(), room: self.clone() };
        if told <= most as u64 {
            kept.bytes.reserve_exact(told as usize);
        }
        let mut length = 0;
        while let Some(frame) = body.frame().await {
            let Ok(data) = frame.map_err(|_| Unread::Broken)?.into_data() else { continue };
            length += data.len();
            if length > last {
                break;
            }
            if length <= most {
                if data.len() > self.free() {
                    return Err(Unread::NoRoom);
                }
                self.held.fetch_add(data.len(), Relaxed);
                kept.bytes.extend_from_slice(&data);
            }
        }
        match length <= most {
            true => Ok(Bytes::from_owner(kept)),
            false => Err(Unread::TooLarge),
        }
    }
}
