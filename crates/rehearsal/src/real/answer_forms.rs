//! Answers in drawn forms. Clients know the form of each answer, and backends record how they ended it, so that an answer that a
//! node broke off can be told from one that its backend broke off.

use crate::real::harness::Harness;
use crate::rng::{RngStream, SeededRng};
use crate::scenario::Scenario;
use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use links::body_form::{BodyForm, Ending, Framing};
use std::cell::RefCell;
use std::collections::{HashSet, VecDeque};
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::time::{sleep, Sleep};

/// The largest body, and the longest time that a backend takes for one.
const MAX_BODY_BYTES: usize = 300_000;
const MAX_DURATION: Duration = Duration::from_millis(2500);

/// Of an answer of unknown length with more bytes than this a node cannot know that it is not a long one.
const MAX_SHORT_BEGINNING_BYTES: usize = 4 << 10;

/// The numbers of attempts start anew in the upper half in each rehearsal.
const ATTEMPT_NUMBER_MASK: u64 = 0xffff_ffff;

/// The forms of a run's answers, and which of them their backends did not end as they should.
pub struct AnswerForms {
    seed: u64,
    share: f64,
    broken_by_backend: RefCell<HashSet<u64>>,
}

impl AnswerForms {
    /// The forms of a play of this scenario.
    pub fn new(scenario: &Scenario, seed: u64) -> AnswerForms {
        let share = scenario.stress.as_ref().map_or(0.0, |stress| stress.answer_forms);
        AnswerForms { seed, share, broken_by_backend: RefCell::default() }
    }

    /// The form of the answers to an attempt; `None` for an ordinary small one.
    pub fn form_of(&self, attempt: u64) -> Option<BodyForm> {
        let mut rng = SeededRng::with_index(self.seed, RngStream::Answers, attempt & ATTEMPT_NUMBER_MASK);
        rng.chance(self.share).then(|| {
            let form = BodyForm::draw(rng.next_u64(), MAX_BODY_BYTES);
            without_unknowable_ends(form).shortened_to(MAX_DURATION)
        })
    }

    /// Whether a backend broke off an answer to this attempt, or let it stall.
    pub fn is_broken_by_backend(&self, attempt: u64) -> bool {
        self.broken_by_backend.borrow().contains(&attempt)
    }
}

/// Replaces ends of which a node cannot know what is owed: whether an answer of unknown length is a long one that pauses or a short
/// one that stalls, and whether the reset of one that ends with its connection was its end.
fn without_unknowable_ends(mut form: BodyForm) -> BodyForm {
    let is_known = form.framing == Framing::Length;
    let is_long_stall = form.is_long() || !is_known && form.given_bytes() > MAX_SHORT_BEGINNING_BYTES;
    match form.ending {
        Ending::StallsAfter(_) if is_long_stall => form.ending = Ending::Whole,
        Ending::BreaksAfter(_) if form.framing == Framing::UntilClose => form.ending = Ending::Whole,
        _ => {}
    }
    if !form.is_long() && form.given_bytes() > MAX_SHORT_BEGINNING_BYTES {
        form.framing = Framing::Length;
    }
    form
}

/// The body of an answer, given as its form says.
pub struct PacedBody {
    parts: VecDeque<(Duration, Bytes)>,
    pause: Option<Pin<Box<Sleep>>>,
    /// What is still to come, if the length is told.
    missing_bytes: Option<u64>,
    ending: Ending,
    is_ended: bool,
    harness: Rc<Harness>,
    backend: usize,
    attempt: u64,
    connection_epoch: u64,
}

impl PacedBody {
    /// This content in this form. It is padded with blanks, or is longer than the form if it has to be.
    pub fn new(
        harness: &Rc<Harness>,
        backend: usize,
        attempt: u64,
        form: &BodyForm,
        mut content: Vec<u8>,
    ) -> PacedBody {
        let size = form.total_bytes().max(content.len());
        content.resize(size, b' ');
        let mut parts: VecDeque<(Duration, Bytes)> =
            form.parts(&content).into_iter().map(|part| (part.pause, Bytes::from(part.bytes))).collect();
        if form.ending == Ending::Whole {
            let given = parts.iter().map(|(_, bytes)| bytes.len()).sum::<usize>();
            parts.push_back((Duration::ZERO, Bytes::copy_from_slice(&content[given..])));
        }
        PacedBody {
            parts,
            pause: None,
            missing_bytes: (form.framing == Framing::Length).then_some(size as u64),
            ending: form.ending,
            is_ended: false,
            harness: harness.clone(),
            backend,
            attempt,
            connection_epoch: *harness.control(backend).connection_epoch.borrow(),
        }
    }

    fn record_break(&self) {
        self.harness.answer_forms.broken_by_backend.borrow_mut().insert(self.attempt);
    }

    /// Whether the backend has ended its connections, or the network has.
    fn is_connection_lost(&self) -> bool {
        let epoch = *self.harness.control(self.backend).connection_epoch.borrow();
        epoch != self.connection_epoch || !self.harness.is_up(self.backend)
    }

    fn end(&mut self) -> Poll<Option<Result<Frame<Bytes>, &'static str>>> {
        match self.ending {
            Ending::Whole => {
                self.is_ended = true;
                Poll::Ready(None)
            }
            Ending::StallsAfter(_) => {
                self.record_break();
                Poll::Pending
            }
            Ending::BreaksAfter(_) => {
                self.record_break();
                Poll::Ready(Some(Err("broken off")))
            }
        }
    }
}

impl Body for PacedBody {
    type Data = Bytes;
    type Error = &'static str;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, &'static str>>> {
        let Some(&(pause, _)) = self.parts.front() else { return self.end() };
        let timer = self.pause.get_or_insert_with(|| Box::pin(sleep(pause)));
        if timer.as_mut().poll(cx).is_pending() {
            return Poll::Pending;
        }
        if self.harness.is_cut_off(self.backend) {
            // Nothing more passes until the network is back, which resets the connection.
            self.record_break();
            return Poll::Pending;
        }
        self.pause = None;
        let bytes = self.parts.pop_front().map(|(_, bytes)| bytes).unwrap_or_default();
        self.missing_bytes = self.missing_bytes.map(|missing| missing.saturating_sub(bytes.len() as u64));
        Poll::Ready(Some(Ok(Frame::data(bytes))))
    }

    fn size_hint(&self) -> SizeHint {
        self.missing_bytes.map_or_else(SizeHint::default, SizeHint::with_exact)
    }
}

impl Drop for PacedBody {
    fn drop(&mut self) {
        if !self.is_ended && self.is_connection_lost() {
            self.record_break();
        }
    }
}

#[cfg(test)]
mod tests {
    use super::{without_unknowable_ends, MAX_BODY_BYTES};
    use links::body_form::{BodyForm, Ending, Framing};

    /// Forms stay as drawn where a node can know what is owed, so that every kind of end is played.
    #[test]
    fn forms_keep_the_ends_that_can_be_judged() {
        let forms = (0..2000).map(|seed| BodyForm::draw(seed, MAX_BODY_BYTES));
        let kept: Vec<BodyForm> =
            forms.filter(|form| without_unknowable_ends(form.clone()) == *form).collect();
        for framing in [Framing::Length, Framing::Chunked, Framing::UntilClose] {
            let is_kept = |ending: fn(&Ending) -> bool| {
                kept.iter().any(|form| form.framing == framing && form.is_long() && ending(&form.ending))
            };
            assert!(is_kept(|ending| *ending == Ending::Whole));
            assert_eq!(
                is_kept(|ending| matches!(ending, Ending::BreaksAfter(_))),
                framing != Framing::UntilClose
            );
            assert!(!is_kept(|ending| matches!(ending, Ending::StallsAfter(_))));
        }
        assert!(kept.iter().any(|form| matches!(form.ending, Ending::StallsAfter(_))));
    }
}
