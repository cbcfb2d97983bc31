//! Counters of what this process has done and why. They are kept from the start of the process to its end, cost one
//! addition each, and are shown to operators by `GET /metrics` and in the last line of the log.

use std::cell::Cell;
use std::fmt::Write;

macro_rules! counters {
    ($($(#[$comment:meta])* $counter:ident => $name:literal,)*) => {
        /// What is counted.
        #[derive(Clone, Copy, Debug, PartialEq, Eq)]
        pub enum Counter {
            $($(#[$comment])* $counter,)*
        }

        /// The names of the counters, in the order of `Counter`.
        const NAMES: &[&str] = &[$($name),*];
    };
}

counters! {
    ConnectionsAccepted => "connections_accepted",
    AcceptsFailed => "accepts_failed",
    /// Closed by the client, or at the end of the last answer as announced there.
    ConnectionsEnded => "connections_ended",
    ConnectionsClosedIdle => "connections_closed_idle",
    ConnectionsClosedForRoom => "connections_closed_for_room",
    ConnectionsClosedDraining => "connections_closed_draining",
    ConnectionsClosedStopping => "connections_closed_stopping",
    CommandsAccepted => "commands_accepted",
    CommandsFinished => "commands_finished",
    CommandsRejected => "commands_rejected",
    CommandsFailed => "commands_failed",
    /// The client disconnected before its answer.
    CommandsAbandoned => "commands_abandoned",
    /// Answers that were broken off after they had begun: by their backend, after its silence, as they did not end in their
    /// client's time, as they were too large, or when their client left.
    AnswersBrokenByBackend => "answers_broken_by_backend",
    AnswersBrokenSilent => "answers_broken_silent",
    AnswersBrokenOutOfTime => "answers_broken_out_of_time",
    AnswersBrokenTooLarge => "answers_broken_too_large",
    AnswersBrokenClientLeft => "answers_broken_client_left",
    /// Refused before a decision: a head or body that is not a command.
    RefusedInvalid => "refused_invalid",
    RefusedBodySlow => "refused_body_slow",
    RefusedBodyMemory => "refused_body_memory",
    RefusedTooManyCommands => "refused_too_many_commands",
    RefusedDuplicateId => "refused_duplicate_id",
    RefusedStopping => "refused_stopping",
    RefusedBySite => "refused_by_site",
    Launches => "launches",
    /// Launches beyond the first of their command.
    Relaunches => "relaunches",
    /// Launches that were given up before any of them was written.
    LaunchesNotSent => "launches_not_sent",
    /// Pooled connections that turned out to be closed by their backend.
    StaleConnections => "stale_connections",
    Panics => "panics",
    /// Invariants that were violated, or would have been (see `guard`).
    SendViolations => "send_violations",
    RepeatViolations => "repeat_violations",
    CloseViolations => "close_violations",
    StartViolations => "start_violations",
}

thread_local! {
    static VALUES: [Cell<u64>; NAMES.len()] = const { [const { Cell::new(0) }; NAMES.len()] };
}

/// Counts one occurrence.
pub fn count(counter: Counter) {
    VALUES.with(|values| {
        let value = &values[counter as usize];
        value.set(value.get() + 1);
    });
}

fn all() -> Vec<(&'static str, u64)> {
    VALUES.with(|values| NAMES.iter().copied().zip(values.iter().map(Cell::get)).collect())
}

/// All counters in the text format of Prometheus.
pub fn to_text() -> String {
    all().into_iter().fold(String::new(), |mut text, (name, value)| {
        let _ = writeln!(text, "yarrowfront_{name}_total {value}");
        text
    })
}

/// The counters that are not zero, in one line.
pub fn summary() -> String {
    let nonzero = all().into_iter().filter(|(_, value)| *value > 0);
    nonzero.map(|(name, value)| format!("{name} {value}")).collect::<Vec<_>>().join(", ")
}

#[cfg(test)]
mod tests {
    use super::{count, summary, to_text, Counter, NAMES};

    /// A counter that was added to the list in one place only would be shown under another one's name.
    #[test]
    fn counters_are_shown_under_their_names() {
        count(Counter::ConnectionsAccepted);
        count(Counter::Panics);
        count(Counter::Panics);
        assert_eq!(summary(), "connections_accepted 1, panics 2");
        assert_eq!(to_text().lines().count(), NAMES.len());
        assert!(to_text().contains("yarrowfront_panics_total 2\n"));
    }
}
