//! What a node has learned about a backend and about a profile. It holds numbers and takes no decisions.

use crate::backend_list::ListEntry;
use crate::command::Launch;
use crate::times::Timestamp;

/// State of one backend, as this node knows it.
#[derive(Default)]
pub(crate) struct Backend {
    pub(crate) entry: ListEntry,
    /// Set at the time when the backend was last known to become idle; cleared by a launch.
    pub(crate) idle_token: Option<Timestamp>,
    /// It has answered a launch since it started.
    pub(crate) has_answered: bool,
    /// Operators have returned it from maintenance and nothing has been launched there yet.
    pub(crate) is_untried_after_maintenance: bool,
    /// Own launches in flight that are not lost.
    pub(crate) in_flight: u32,
    /// Expected work of own launches in flight, in standard microseconds.
    pub(crate) pending_work: f64,
    /// Work of abandoned launches that may still occupy the backend, as of `abandoned_at`.
    pub(crate) abandoned_work: f64,
    pub(crate) abandoned_at: Timestamp,
    /// Since when it owes an answer without having given one.
    pub(crate) silent_since: Timestamp,
    /// Microseconds per standard microsecond of expected work, counting all work ahead of an answer.
    pub(crate) time_per_work: f64,
    /// The same for launches with nothing ahead.
    pub(crate) time_per_work_alone: f64,
    /// Answers since the backend started.
    pub(crate) answer_count: u32,
    /// Own launches that may be in flight at the same time; its floor counts.
    pub(crate) concurrency_limit: f64,
    /// Decaying counts of successful and failed launches, as of `evidence_at`.
    pub(crate) successes: f64,
    pub(crate) failures: f64,
    pub(crate) evidence_at: Timestamp,
    /// Commands of other nodes in flight there, by the last report.
    pub(crate) peer_in_flight: f64,
    /// When the last load report arrived.
    pub(crate) reported_at: Timestamp,
    /// Largest weight that the list has given.
    pub(crate) max_weight: f64,
    /// When the probe that is out was sent.
    pub(crate) probe_sent_at: Option<Timestamp>,
    /// The last probe got no answer.
    pub(crate) last_probe_failed: bool,
    /// Level of the leaky bucket that limits the work for a cold backend, as of `cold_level_at`.
    pub(crate) cold_level: f64,
    pub(crate) cold_level_at: Timestamp,
    /// Idle connections that answers have left open, and when the last of them was used.
    pub(crate) open_connections: u32,
    pub(crate) connection_used_at: Timestamp,
}

impl Backend {
    /// A backend of which only its list entry and the mean speed of its type are known.
    pub(crate) fn new(now: Timestamp, entry: ListEntry, time_per_work: f64, cold_level: f64) -> Backend {
        let (abandoned_at, silent_since, evidence_at, cold_level_at) = (now, now, now, now);
        let backend = Backend {
            entry,
            max_weight: entry.weight,
            time_per_work,
            time_per_work_alone: time_per_work,
            concurrency_limit: 1.0,
            ..Backend::default()
        };
        Backend { abandoned_at, silent_since, evidence_at, cold_level, cold_level_at, ..backend }
    }

    /// Takes in a new list entry. A later start that operators have set is not overwritten by an earlier one.
    ///
    /// Returns, for live weights, the commands of other nodes per core: the largest weight over the current one, less
    /// one and less the own launches in flight.
    pub(crate) fn update_entry(&mut self, entry: ListEntry) -> f64 {
        self.entry = ListEntry { started_at: self.entry.started_at, ..entry };
        self.max_weight = self.max_weight.max(entry.weight);
        (self.max_weight / entry.weight.max(1e-3) - 1.0 - f64::from(self.in_flight)).max(0.0)
    }

    /// Abandoned work that the backend has not had time to finish.
    pub(crate) fn abandoned_work_left(&self, now: Timestamp) -> f64 {
        (self.abandoned_work - now.since(self.abandoned_at).as_f64() / self.time_per_work).max(0.0)
    }

    /// Adds the work of an abandoned launch: it may still be running there.
    pub(crate) fn add_abandoned_work(&mut self, now: Timestamp, work: f64) {
        (self.abandoned_work, self.abandoned_at) = (self.abandoned_work_left(now) + work, now);
    }

    /// Counts a launch as in flight.
    pub(crate) fn add_in_flight(&mut self, now: Timestamp, work: f64) {
        if self.in_flight == 0 {
            self.silent_since = now;
        }
        self.in_flight += 1;
        self.pending_work += work;
    }

    /// A launch is no longer in flight.
    pub(crate) fn remove_in_flight(&mut self, launch: &Launch) {
        self.in_flight -= 1;
        self.pending_work =
            if self.in_flight == 0 { 0.0 } else { (self.pending_work - launch.expected_work).max(0.0) };
    }
}

/// What is learned of a profile: its mean work, and how well hints predict it.
pub(crate) struct ProfileStats {
    /// In standard microseconds.
    pub(crate) mean_work: f64,
    pub(crate) answer_count: f64,
    /// When a command of this profile was last launched at any backend.
    pub(crate) last_launch_at: Timestamp,
    /// Mean and variance of the hints, and covariance of hint and work.
    pub(crate) mean_hint: f64,
    pub(crate) hint_variance: f64,
    pub(crate) hint_work_covariance: f64,
}

impl ProfileStats {
    pub(crate) fn new(mean_work: f64) -> ProfileStats {
        ProfileStats {
            mean_work,
            answer_count: 0.0,
            last_launch_at: Timestamp(0),
            mean_hint: 0.0,
            hint_variance: 0.0,
            hint_work_covariance: 0.0,
        }
    }

    /// From now on, what was learned counts as no more than one answer.
    pub(crate) fn discount_history(&mut self) {
        self.answer_count = self.answer_count.min(1.0);
    }

    /// Takes in the work and the hint of one more answered command. A node among many sees few answers of a profile.
    /// A new profile therefore starts from the mean work of all, unless both its first answer and its goal time
    /// suggest less, and its first answers are weighted as if four had come before. Returns false for the first
    /// answer, which is used for nothing else.
    pub(crate) fn add_answer(&mut self, work: f64, mean_work: f64, hint: Option<f64>) -> bool {
        self.answer_count += 1.0;
        if self.answer_count == 1.0 {
            self.mean_work = mean_work.min(work.max(self.mean_work));
            self.mean_hint = hint.unwrap_or(0.0);
            return false;
        }
        let work_deviation = work.min(4.0 * self.mean_work) - self.mean_work;
        self.mean_work += (1.0 / (self.answer_count + 3.0)).max(0.02) * work_deviation;
        if let Some(hint) = hint {
            let hint_deviation = (hint - self.mean_hint).min(4.0 * self.mean_hint);
            let weight = (1.0 / self.answer_count).max(0.02);
            self.mean_hint += weight * hint_deviation;
            self.hint_variance += weight * (hint_deviation * hint_deviation - self.hint_variance);
            self.hint_work_covariance +=
                weight * (hint_deviation * work_deviation - self.hint_work_covariance);
        }
        true
    }
}
