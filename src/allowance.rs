//! How many launches beyond commands' first a node may still make: a count over the last window of time, the
//! strict way where it is not exact. What has been counted is kept in a bounded number of slices.

use crate::settings::RetryBudget;
use crate::times::{Micros, Timestamp};
use std::collections::VecDeque;

/// A slice that the window's edge cuts counts for its launches and not for its commands: at most one in
/// sixty-four commands is lost by it, and no more than twice as many slices are kept at any rate.
const SLICES: u64 = 64;

/// Where none is stated: half of the commands may be launched again, those of twenty seconds in store for a
/// lost zone. With more to spare at once a fleet that starts dials itself full.
pub(crate) const UNSTATED: RetryBudget =
    RetryBudget { spare_launches: 2.0, launches_per_command: 0.5, window: Micros::from_millis(20_000) };

#[derive(Default)]
pub(crate) struct Allowance {
    slices: VecDeque<Slice>,
    /// Until then another process of this node holds what is spare.
    none_spare: Timestamp,
}

struct Slice {
    first: Timestamp,
    last: Timestamp,
    taken: u32,
    further: u32,
}

impl Allowance {
    /// A command has come, or a launch beyond a command's first is made.
    pub(crate) fn count(&mut self, now: Timestamp, budget: RetryBudget, further: bool) {
        let long = Micros(budget.window.0 / SLICES);
        if self.slices.back().is_none_or(|s| now.since(s.first) >= long) {
            self.slices.push_back(Slice { first: now, last: now, taken: 0, further: 0 });
        }
        if self.slices.len() as u64 > 2 * SLICES {
            self.slices.pop_front();
        }
        let slice = self.slices.back_mut().expect("one has just been pushed");
        slice.last = now;
        *(if further { &mut slice.further } else { &mut slice.taken }) += 1;
    }

    /// The launches beyond commands' first that count in the window that ends now, and how many may.
    pub(crate) fn stands(&self, now: Timestamp, budget: RetryBudget) -> (f64, f64) {
        let from = now - budget.window;
        let taken: u32 = self.slices.iter().filter(|s| s.first > from).map(|s| s.taken).sum();
        let further: u32 = self.slices.iter().filter(|s| s.last >= from).map(|s| s.further).sum();
        let spare = if now < self.none_spare { 0.0 } else { budget.spare_launches };
        (f64::from(further), spare + budget.launches_per_command * f64::from(taken))
    }

    /// When the first of the launches that count now no longer does.
    pub(crate) fn eases(&self, now: Timestamp, budget: RetryBudget) -> Timestamp {
        let counts = |s: &&Slice| s.further > 0 && s.last >= now - budget.window;
        self.slices.iter().find(counts).map_or(Timestamp(u64::MAX), |s| s.last + budget.window + Micros(1))
    }

    /// Two processes are one node while both run: the later one has nothing spare until the launches that the
    /// other made no longer count. Each has what its own commands bring it.
    pub(crate) fn beside(&mut self, now: Timestamp, other: bool, budget: RetryBudget) {
        self.none_spare = if other { Timestamp(u64::MAX) } else { now + budget.window + Micros(1) };
    }
}
