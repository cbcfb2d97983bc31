//! How a site that is back is let in again: by steps that answers earn, and no faster than whoever carried its load lets go.
//!
//! What it promises: the share grows only by a step that was earned since the one before; a loss takes it to nothing at
//! once; each try that fails makes the next wait longer, to a bound, and a whole return forgets that; what is let go
//! elsewhere is never more than what the returned site has taken.

use yarrowfront::times::{Micros, Timestamp};

/// Of its whole load: the first step, and by how much each is greater than the last.
const FIRST: f64 = 0.05;
const GROWTH: f64 = 1.6;
/// A step is earned by so many answers, so many of them in time, over so long.
const ANSWERS: f64 = 30.0;
const GOOD: f64 = 0.95;
const STEP: Micros = Micros::from_millis(2000);
/// The wait before the first try, and the longest.
const WAIT: Micros = Micros::from_millis(2000);
const LONGEST: Micros = Micros::from_millis(120_000);

#[derive(Clone, Debug)]
pub struct ReturnRamp {
    /// Of its whole load, what it is given.
    share: f64,
    step_at: Timestamp,
    /// Of this step: answered, and in time.
    answered: f64,
    good: f64,
    wait: Micros,
    tries: u32,
    /// Not before.
    open_at: Timestamp,
    away: bool,
}

impl ReturnRamp {
    /// Of a site that is whole.
    pub fn healthy(now: Timestamp) -> ReturnRamp {
        let (answered, good, tries, away) = (0.0, 0.0, 0, false);
        ReturnRamp { share: 1.0, step_at: now, answered, good, wait: WAIT, tries, open_at: now, away }
    }

    pub fn load_share(&self) -> f64 {
        self.share
    }

    /// How much of the load those that carried it may let go: what it has taken, and not what it is about to be given.
    pub fn releasable_share(&self) -> f64 {
        if self.away {
            0.0
        } else if self.share >= 1.0 {
            1.0
        } else {
            self.share / GROWTH
        }
    }

    /// It is lost, again where it was on its way back.
    pub fn on_lost(&mut self, now: Timestamp) {
        if !self.away {
            if self.share < 1.0 {
                self.wait = Micros((self.wait.0 * 2).min(LONGEST.0));
            }
            self.tries += 1;
        }
        (self.share, self.away) = (0.0, true);
        self.open_at = now + self.wait;
    }

    /// A site that begins as one that comes back: nobody carries its load any more by its own word, so it waits for nothing.
    pub fn start_cold(&mut self, now: Timestamp) {
        (self.away, self.share, self.step_at, self.tries) = (false, FIRST, now, 1);
        (self.answered, self.good) = (0.0, 0.0);
    }

    /// It is there again.
    pub fn on_return(&mut self, now: Timestamp) {
        if self.away && now >= self.open_at {
            (self.away, self.share, self.step_at) = (false, FIRST, now);
            (self.answered, self.good) = (0.0, 0.0);
        }
    }

    /// What came of what it was given. True once its whole load is open.
    pub fn on_answers(&mut self, now: Timestamp, answered: f64, good: f64) -> bool {
        if self.away || self.share >= 1.0 {
            return !self.away;
        }
        (self.answered, self.good) = (self.answered + answered, self.good + good);
        if now.since(self.step_at) < STEP || self.answered < ANSWERS {
            return false;
        }
        match self.good >= self.answered * GOOD {
            true => self.share = (self.share * GROWTH).min(1.0),
            // Not lost, and not yet up to it: a step back, to be earned again.
            false => self.share = (self.share / GROWTH).max(FIRST),
        }
        (self.step_at, self.answered, self.good) = (now, 0.0, 0.0);
        if self.share >= 1.0 {
            self.wait = WAIT;
        }
        self.share >= 1.0
    }

    /// Nothing of it is cold any more: what was lost before is forgotten.
    pub fn reset_backoff(&mut self) {
        (self.wait, self.tries) = (WAIT, 0);
    }

    /// How often it was lost since it was last whole.
    pub fn failed_returns(&self) -> u32 {
        self.tries
    }

    /// How long it is kept away after a loss.
    pub fn backoff(&self) -> Micros {
        self.wait
    }
}
