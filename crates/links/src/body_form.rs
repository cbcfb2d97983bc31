//! Forms of HTTP/1.1 messages with a body: how the end of the body is told, its size, the pace at which its sender writes it,
//! and how the sender ends it. They are drawn from a seed.

use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::time::Duration;

/// The size up to which the protocol times the last byte of a body. Of a larger one the first bytes are timed.
pub const LONG_BODY_BYTES: usize = 64 << 10;

/// How the end of a body is told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    Length,
    Chunked,
    /// The connection ends with the body.
    UntilClose,
}

/// How a sender ends a body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    Whole,
    /// It writes no more after this many bytes, and keeps the connection open.
    StallsAfter(usize),
    /// It resets the connection after this many bytes.
    BreaksAfter(usize),
}

/// A part of a body that is written at once, after a pause.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Piece {
    pub pause: Duration,
    pub bytes: usize,
}

/// The form of one message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BodyForm {
    pub framing: Framing,
    /// The time before the head is written. The first piece follows after its own pause.
    pub head_after: Duration,
    pub pieces: Vec<Piece>,
    pub ending: Ending,
}

/// Bytes to write after a pause.
pub struct TimedWrite {
    pub pause: Duration,
    pub bytes: Vec<u8>,
}

/// A random number of milliseconds in this range.
fn millis(rng: &mut ChaCha8Rng, range: std::ops::Range<u64>) -> Duration {
    Duration::from_millis(rng.random_range(range))
}

/// Cuts a body into pieces, given the size and the pause of each.
fn cut_pieces(total_bytes: usize, mut next: impl FnMut() -> Piece) -> Vec<Piece> {
    let mut pieces = Vec::new();
    let mut left = total_bytes;
    while left > 0 {
        let piece = next();
        let bytes = piece.bytes.clamp(1, left);
        pieces.push(Piece { pause: piece.pause, bytes });
        left -= bytes;
    }
    pieces
}

/// A body is written in no more lumps than about this.
const MAX_LUMPS: usize = 6;

/// Draws the pace at which a sender writes a body.
fn draw_pieces(rng: &mut ChaCha8Rng, total_bytes: usize) -> Vec<Piece> {
    let mut pieces = match rng.random_range(0..5) {
        // All at once.
        0 => cut_pieces(total_bytes, || Piece { pause: Duration::ZERO, bytes: total_bytes }),
        // Evenly.
        1 => {
            let piece =
                Piece { pause: millis(rng, 20..600), bytes: total_bytes / rng.random_range(3..12) + 1 };
            cut_pieces(total_bytes, || piece)
        }
        // In a trickle.
        2 => {
            let bytes = (total_bytes / rng.random_range(50..200)).max(64);
            let piece = Piece { pause: millis(rng, 2..25), bytes };
            cut_pieces(total_bytes, || piece)
        }
        // In lumps with pauses of different lengths.
        3 => {
            let least_bytes = total_bytes / MAX_LUMPS;
            let first = Piece { pause: millis(rng, 0..300), bytes: rng.random_range(15_000..64_000) };
            let mut first = Some(first);
            cut_pieces(total_bytes, || {
                let bytes = rng.random_range(15_000..64_000).max(least_bytes);
                first.take().unwrap_or(Piece { pause: millis(rng, 300..1300), bytes })
            })
        }
        // With one long pause anywhere.
        _ => {
            let bytes = rng.random_range(0..total_bytes.max(1));
            let mut first = Some(Piece { pause: Duration::ZERO, bytes });
            let rest = Piece { pause: millis(rng, 300..2500), bytes: total_bytes };
            cut_pieces(total_bytes, || first.take().unwrap_or(rest))
        }
    };
    // The first piece often comes with the head.
    if rng.random_bool(0.7) {
        pieces.iter_mut().take(1).for_each(|piece| piece.pause = Duration::ZERO);
    }
    pieces
}

impl BodyForm {
    /// Draws the form of a seed, with at most this many bytes.
    pub fn draw(seed: u64, max_bytes: usize) -> BodyForm {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let framings = [Framing::Length, Framing::Chunked, Framing::UntilClose];
        let framing = *framings.choose(&mut rng).unwrap_or(&Framing::Length);
        let total_bytes = match rng.random_range(0..10) {
            0 => rng.random_range(0..1000),
            1 | 2 => rng.random_range(1000..=LONG_BODY_BYTES),
            3 => rng.random_range(300_000..4_000_000),
            _ => rng.random_range(LONG_BODY_BYTES + 1..300_000),
        };
        let total_bytes = total_bytes.min(max_bytes);
        let head_after = if rng.random_bool(0.5) { Duration::ZERO } else { millis(&mut rng, 0..300) };
        let pieces = draw_pieces(&mut rng, total_bytes);
        let ends_after = rng.random_range(0..total_bytes.max(1));
        let ending = match rng.random_range(0..10) {
            0 | 1 => Ending::StallsAfter(ends_after),
            2 => Ending::BreaksAfter(ends_after),
            _ => Ending::Whole,
        };
        BodyForm { framing, head_after, pieces, ending }
    }

    /// The size of the whole body.
    pub fn total_bytes(&self) -> usize {
        self.pieces.iter().map(|piece| piece.bytes).sum()
    }

    /// Whether the first bytes of the body are timed and not its last.
    pub fn is_long(&self) -> bool {
        self.total_bytes() > LONG_BODY_BYTES
    }

    /// How many bytes of the body are given before it stalls or breaks.
    pub fn given_bytes(&self) -> usize {
        match self.ending {
            Ending::Whole => self.total_bytes(),
            Ending::StallsAfter(bytes) | Ending::BreaksAfter(bytes) => bytes,
        }
    }

    /// How many bytes of the body are given within this time, if they are taken at once.
    pub fn bytes_within(&self, time: Duration) -> usize {
        let mut at = self.head_after;
        let mut bytes = 0;
        for piece in &self.pieces {
            at += piece.pause;
            if at > time {
                break;
            }
            bytes += piece.bytes;
        }
        bytes.min(self.given_bytes())
    }

    /// When the first bytes of the body are given.
    pub fn first_bytes_after(&self) -> Duration {
        self.head_after + self.pieces.first().map_or(Duration::ZERO, |piece| piece.pause)
    }

    /// The same form with all pauses shortened, if its sender took longer than this.
    pub fn shortened_to(mut self, max_duration: Duration) -> BodyForm {
        let duration = self.duration();
        if duration > max_duration {
            let share = max_duration.as_secs_f64() / duration.as_secs_f64();
            self.head_after = self.head_after.mul_f64(share);
            self.pieces.iter_mut().for_each(|piece| piece.pause = piece.pause.mul_f64(share));
        }
        self
    }

    /// How long the sender takes for all pieces.
    pub fn duration(&self) -> Duration {
        self.head_after + self.pieces.iter().map(|piece| piece.pause).sum::<Duration>()
    }

    /// The writes of a message with this body, given its start line and further header lines, each with its line end. A body
    /// of unknown length ends with the connection, which is up to the caller.
    pub fn writes(&self, start: &str, body: &[u8]) -> Vec<TimedWrite> {
        let length_line = match self.framing {
            Framing::Length => format!("Content-Length: {}\r\n", body.len()),
            Framing::Chunked => "Transfer-Encoding: chunked\r\n".to_owned(),
            Framing::UntilClose => String::new(),
        };
        let head = format!("{start}{length_line}\r\n");
        let mut writes = vec![TimedWrite { pause: self.head_after, bytes: head.into_bytes() }];
        let encode = |part: TimedWrite| TimedWrite { pause: part.pause, bytes: self.encode(&part.bytes) };
        writes.extend(self.parts(body).into_iter().map(encode));
        if self.framing == Framing::Chunked && self.ending == Ending::Whole {
            writes.push(TimedWrite { pause: Duration::ZERO, bytes: b"0\r\n\r\n".to_vec() });
        }
        writes
    }

    /// The parts of this body in which it is given, without their framing.
    pub fn parts(&self, body: &[u8]) -> Vec<TimedWrite> {
        let mut parts = Vec::new();
        let mut rest = &body[..self.given_bytes().min(body.len())];
        for piece in &self.pieces {
            let (part, left) = rest.split_at(piece.bytes.min(rest.len()));
            rest = left;
            if part.is_empty() {
                break;
            }
            parts.push(TimedWrite { pause: piece.pause, bytes: part.to_vec() });
        }
        parts
    }

    fn encode(&self, part: &[u8]) -> Vec<u8> {
        match self.framing {
            Framing::Chunked => [format!("{:x}\r\n", part.len()).as_bytes(), part, b"\r\n"].concat(),
            Framing::Length | Framing::UntilClose => part.to_vec(),
        }
    }
}

#[cfg(test)]
mod tests {
    use super::{BodyForm, Ending, Framing};

    /// A seed always draws the same form, all kinds are drawn, and the pieces are the whole body.
    #[test]
    fn seeds_draw_forms_of_every_kind() {
        const MAX_BYTES: usize = 1 << 20;
        let forms: Vec<BodyForm> = (0..500).map(|seed| BodyForm::draw(seed, MAX_BYTES)).collect();
        for (seed, form) in forms.iter().enumerate() {
            assert_eq!(*form, BodyForm::draw(seed as u64, MAX_BYTES));
            assert!(form.total_bytes() <= MAX_BYTES && form.given_bytes() <= form.total_bytes());
            assert_eq!(form.bytes_within(form.duration()), form.given_bytes(), "seed {seed}");
            let body = vec![b'x'; form.total_bytes()];
            let written: usize =
                form.writes("GET / HTTP/1.1\r\n", &body).iter().map(|write| write.bytes.len()).sum();
            assert!(written >= form.given_bytes(), "seed {seed}");
        }
        for framing in [Framing::Length, Framing::Chunked, Framing::UntilClose] {
            for is_long in [false, true] {
                let is_drawn = |form: &&BodyForm| form.framing == framing && form.is_long() == is_long;
                let endings: Vec<Ending> = forms.iter().filter(is_drawn).map(|form| form.ending).collect();
                assert!(endings.contains(&Ending::Whole), "{framing:?}, long: {is_long}");
                assert!(endings.iter().any(|ending| matches!(ending, Ending::StallsAfter(_))));
                assert!(endings.iter().any(|ending| matches!(ending, Ending::BreaksAfter(_))));
            }
        }
    }
}
