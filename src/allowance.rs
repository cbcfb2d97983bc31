//! Retry budget of a node: counts the launches beyond each command's first over a sliding window. Where the count is
//! not exact it errs on the strict side. The counts are kept in a bounded number of time slices.

use crate::settings::RetryBudget;
use crate::times::{Micros, Timestamp};
use std::collections::VecDeque;

/// Slices per window. A slice that the start of the window cuts counts with its launches but without its commands.
/// That leaves out at most one in 64 commands, and never more than twice as many slices are kept.
const SLICES: u64 = 64;

/// Budget for settings that state none: half of the commands may be launched again, and the commands of twenty
/// seconds count, as a reserve for the loss of a zone. With more launches to spare at once, the dials of a starting
/// fleet would fill its backends.
pub(crate) const DEFAULT_RETRY_BUDGET: RetryBudget =
    RetryBudget { spare_launches: 2.0, launches_per_command: 0.5, window: Micros::from_millis(20_000) };

/// Recent commands and further launches of this node.
#[derive(Default)]
pub(crate) struct RetryAllowance {
    slices: VecDeque<Slice>,
    /// Before this time only another process of this node may use the spare launches.
    no_spare_until: Timestamp,
}

/// Commands and further launches between two times.
struct Slice {
    first_at: Timestamp,
    last_at: Timestamp,
    commands: u32,
    further_launches: u32,
}

impl RetryAllowance {
    /// Counts a new command, or a launch beyond a command's first (`is_further`).
    pub(crate) fn record(&mut self, now: Timestamp, budget: RetryBudget, is_further: bool) {
        let slice_length = Micros(budget.window.0 / SLICES);
        if self.slices.back().is_none_or(|slice| now.since(slice.first_at) >= slice_length) {
            self.slices.push_back(Slice { first_at: now, last_at: now, commands: 0, further_launches: 0 });
        }
        if self.slices.len() as u64 > 2 * SLICES {
            self.slices.pop_front();
        }
        let slice = self.slices.back_mut().expect("a slice has just been pushed");
        slice.last_at = now;
        *(if is_further { &mut slice.further_launches } else { &mut slice.commands }) += 1;
    }

    /// The further launches that count in the window that ends now, and how many are allowed.
    pub(crate) fn usage(&self, now: Timestamp, budget: RetryBudget) -> (f64, f64) {
        let window_start = now - budget.window;
        let commands: u32 = self
            .slices
            .iter()
            .filter(|slice| slice.first_at > window_start)
            .map(|slice| slice.commands)
            .sum();
        let further_launches: u32 = self
            .slices
            .iter()
            .filter(|slice| slice.last_at >= window_start)
            .map(|slice| slice.further_launches)
            .sum();
        let spare_launches = if now < self.no_spare_until { 0.0 } else { budget.spare_launches };
        (f64::from(further_launches), spare_launches + budget.launches_per_command * f64::from(commands))
    }

    /// When the oldest of the counted launches leaves the window.
    pub(crate) fn next_free_at(&self, now: Timestamp, budget: RetryBudget) -> Timestamp {
        let is_counted = |slice: &&Slice| slice.further_launches > 0 && slice.last_at >= now - budget.window;
        self.slices
            .iter()
            .find(is_counted)
            .map_or(Timestamp(u64::MAX), |slice| slice.last_at + budget.window + Micros(1))
    }

    /// Sets whether the node's previous process still runs. While both run they share one budget: the later process
    /// has no spare launches until those of the earlier one have left the window. Each may use what its own commands
    /// add.
    pub(crate) fn set_predecessor_running(&mut self, now: Timestamp, is_running: bool, budget: RetryBudget) {
        self.no_spare_until = if is_running { Timestamp(u64::MAX) } else { now + budget.window + Micros(1) };
    }
}
