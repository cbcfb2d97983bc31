//! Slow start for a site that returns: its load grows by steps that answers earn, no faster than the sites that
//! carried its load release it.
//!
//! Guarantees: the share grows only by a step earned since the last one. A loss sets it to zero at once. Each failed
//! return makes the next wait longer, up to a limit, and a complete return resets that. The share released elsewhere
//! never exceeds what the returned site has taken.

use yarrowfront::times::{Micros, Timestamp};

/// Share of its load that a site gets in the first step.
const FIRST_SHARE: f64 = 0.05;
/// Growth factor of each further step.
const SHARE_GROWTH: f64 = 1.6;
/// Answers needed to judge a step.
const MIN_ANSWERS_PER_STEP: f64 = 30.0;
/// Share of the answers that has to be within the goal time for the next step.
const MIN_WITHIN_GOAL_SHARE: f64 = 0.95;
/// Shortest duration of a step.
const STEP_INTERVAL: Micros = Micros::from_millis(2000);
/// Wait after a loss; it doubles with each loss during a return.
const MIN_BACKOFF: Micros = Micros::from_millis(2000);
/// Upper limit of the wait.
const MAX_BACKOFF: Micros = Micros::from_millis(120_000);

/// State of the return of one site.
#[derive(Clone, Debug)]
pub struct ReturnRamp {
    /// Share of its load that it is given.
    load_share: f64,
    /// Start of the current step.
    step_at: Timestamp,
    /// Answers in the current step.
    answered: f64,
    /// Of these, answers within the goal time.
    within_goal: f64,
    backoff: Micros,
    /// Losses since the site was last healthy.
    losses: u32,
    /// Earliest time for the next return.
    return_allowed_at: Timestamp,
    is_lost: bool,
}

impl ReturnRamp {
    /// For a healthy site.
    pub fn healthy(now: Timestamp) -> ReturnRamp {
        let (answered, within_goal, losses, is_lost) = (0.0, 0.0, 0, false);
        ReturnRamp {
            load_share: 1.0,
            step_at: now,
            answered,
            within_goal,
            backoff: MIN_BACKOFF,
            losses,
            return_allowed_at: now,
            is_lost,
        }
    }

    /// Share of its load that the site is given.
    pub fn load_share(&self) -> f64 {
        self.load_share
    }

    /// Share of the load that other sites may release: what the returned site has taken, not what it is about to be
    /// given.
    pub fn releasable_share(&self) -> f64 {
        if self.is_lost {
            0.0
        } else if self.load_share >= 1.0 {
            1.0
        } else {
            self.load_share / SHARE_GROWTH
        }
    }

    /// The site is lost, possibly during its return.
    pub fn on_lost(&mut self, now: Timestamp) {
        if !self.is_lost {
            if self.load_share < 1.0 {
                self.backoff = Micros((self.backoff.0 * 2).min(MAX_BACKOFF.0));
            }
            self.losses += 1;
        }
        (self.load_share, self.is_lost) = (0.0, true);
        self.return_allowed_at = now + self.backoff;
    }

    /// Starts the return of this node's own site, whose nodes have just started. It needs no wait: as far as this node
    /// knows, no other site carries its load any more.
    pub fn start_cold(&mut self, now: Timestamp) {
        (self.is_lost, self.load_share, self.step_at, self.losses) = (false, FIRST_SHARE, now, 1);
        (self.answered, self.within_goal) = (0.0, 0.0);
    }

    /// The site can be reached again.
    pub fn on_return(&mut self, now: Timestamp) {
        if self.is_lost && now >= self.return_allowed_at {
            (self.is_lost, self.load_share, self.step_at) = (false, FIRST_SHARE, now);
            (self.answered, self.within_goal) = (0.0, 0.0);
        }
    }

    /// Takes in the answers to its load. Returns true once its whole load is open.
    pub fn on_answers(&mut self, now: Timestamp, answered: f64, within_goal: f64) -> bool {
        if self.is_lost || self.load_share >= 1.0 {
            return !self.is_lost;
        }
        (self.answered, self.within_goal) = (self.answered + answered, self.within_goal + within_goal);
        if now.since(self.step_at) < STEP_INTERVAL || self.answered < MIN_ANSWERS_PER_STEP {
            return false;
        }
        match self.within_goal >= self.answered * MIN_WITHIN_GOAL_SHARE {
            true => self.load_share = (self.load_share * SHARE_GROWTH).min(1.0),
            // Not lost, but unable to carry this share: back by one step.
            false => self.load_share = (self.load_share / SHARE_GROWTH).max(FIRST_SHARE),
        }
        (self.step_at, self.answered, self.within_goal) = (now, 0.0, 0.0);
        if self.load_share >= 1.0 {
            self.backoff = MIN_BACKOFF;
        }
        self.load_share >= 1.0
    }

    /// Nothing of the site is cold any more, so earlier losses no longer count.
    pub fn reset_backoff(&mut self) {
        (self.backoff, self.losses) = (MIN_BACKOFF, 0);
    }

    /// Losses since the site was last healthy.
    pub fn losses(&self) -> u32 {
        self.losses
    }

    /// How long it is kept away after a loss.
    pub fn backoff(&self) -> Micros {
        self.backoff
    }
}
