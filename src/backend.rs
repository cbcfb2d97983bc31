//! What a node has in its books of one backend, and of one profile: figures and sums, and no choice.

use crate::backend_list::ListEntry;
use crate::command::Launch;
use crate::times::Timestamp;

#[derive(Default)]
pub(crate) struct Backend {
    pub(crate) listed: ListEntry,
    pub(crate) token: Option<Timestamp>,
    pub(crate) served: bool,
    /// The operators have called it back, and nothing has gone there yet.
    pub(crate) untried: bool,
    pub(crate) in_flight: u32,
    /// Expected work of our launches in flight, in standard microseconds.
    pub(crate) pending: f64,
    /// Work given up on that may still fill the backend, as of `ghost_at`.
    pub(crate) ghost: f64,
    pub(crate) ghost_at: Timestamp,
    /// Since when it has owed us an answer without giving any.
    pub(crate) quiet_since: Timestamp,
    /// Time taken for each unit of expected work ahead; and the same where nothing was ahead.
    pub(crate) pace: f64,
    pub(crate) solo: f64,
    pub(crate) answers: u32,
    pub(crate) cap: f64,
    pub(crate) good: f64,
    pub(crate) bad: f64,
    pub(crate) weighed_at: Timestamp,
    /// Commands of others there, by the last report.
    pub(crate) others: f64,
    pub(crate) report_at: Timestamp,
    /// The largest size that the list has told.
    pub(crate) nominal: f64,
    pub(crate) probe_out: Option<Timestamp>,
    /// The last probe found nobody.
    pub(crate) down: bool,
    pub(crate) poured: f64,
    pub(crate) poured_at: Timestamp,
    /// Connections that our answers left open, and when the last of them was used.
    pub(crate) open: u32,
    pub(crate) used_at: Timestamp,
}

impl Backend {
    /// One of whom nothing is known but its line in the list and its kind's pace.
    pub(crate) fn fresh(now: Timestamp, listed: ListEntry, pace: f64, poured: f64) -> Backend {
        let (ghost_at, quiet_since, weighed_at, poured_at) = (now, now, now, now);
        let known =
            Backend { listed, nominal: listed.weight, pace, solo: pace, cap: 1.0, ..Backend::default() };
        Backend { ghost_at, quiet_since, weighed_at, poured, poured_at, ..known }
    }

    /// Goes by a new line of the list. A start that the operators told of is not taken back by an older one.
    /// What others have there for each core, if sizes are live: the largest told over this one, less one and
    /// ours.
    pub(crate) fn relist(&mut self, line: ListEntry) -> f64 {
        self.listed = ListEntry { started_at: self.listed.started_at, ..line };
        self.nominal = self.nominal.max(line.weight);
        (self.nominal / line.weight.max(1e-3) - 1.0 - f64::from(self.in_flight)).max(0.0)
    }

    pub(crate) fn ghost_left(&self, now: Timestamp) -> f64 {
        (self.ghost - now.since(self.ghost_at).as_f64() / self.pace).max(0.0)
    }

    /// Work given up on goes on there for all we know.
    pub(crate) fn haunt(&mut self, now: Timestamp, cost: f64) {
        (self.ghost, self.ghost_at) = (self.ghost_left(now) + cost, now);
    }

    /// A launch holds a place.
    pub(crate) fn occupy(&mut self, now: Timestamp, cost: f64) {
        if self.in_flight == 0 {
            self.quiet_since = now;
        }
        self.in_flight += 1;
        self.pending += cost;
    }

    /// A launch holds its place no longer.
    pub(crate) fn release(&mut self, launch: &Launch) {
        self.in_flight -= 1;
        self.pending = if self.in_flight == 0 { 0.0 } else { (self.pending - launch.expected_work).max(0.0) };
    }
}

/// What is learned by profile: the usual work, and how far hints tell it.
pub(crate) struct Row {
    pub(crate) mean: f64,
    pub(crate) answers: f64,
    /// When a command of it was last sent anywhere.
    pub(crate) launched_at: Timestamp,
    /// Mean and spread of the hints, and how work goes along with them.
    pub(crate) hint: f64,
    pub(crate) spread: f64,
    pub(crate) along: f64,
}

impl Row {
    pub(crate) fn new(mean: f64) -> Row {
        Row { mean, answers: 0.0, launched_at: Timestamp(0), hint: 0.0, spread: 0.0, along: 0.0 }
    }

    /// What was learned counts as no more than one answer from now on.
    pub(crate) fn learn_anew(&mut self) {
        self.answers = self.answers.min(1.0);
    }

    /// Takes in the work of one command more, and its hint. A node among many sees few answers of a profile:
    /// a new one starts from the usual work, unless its first answer and its goal time both speak for less, and
    /// its first answers count as if four had come before. False for the first, which tells no more than that.
    pub(crate) fn learn(&mut self, work: f64, usual: f64, hint: Option<f64>) -> bool {
        self.answers += 1.0;
        if self.answers == 1.0 {
            self.mean = usual.min(work.max(self.mean));
            self.hint = hint.unwrap_or(0.0);
            return false;
        }
        let over = work.min(4.0 * self.mean) - self.mean;
        self.mean += (1.0 / (self.answers + 3.0)).max(0.02) * over;
        if let Some(hint) = hint {
            let off = (hint - self.hint).min(4.0 * self.hint);
            let weight = (1.0 / self.answers).max(0.02);
            self.hint += weight * off;
            self.spread += weight * (off * off - self.spread);
            self.along += weight * (off * over - self.along);
        }
        true
    }
}
