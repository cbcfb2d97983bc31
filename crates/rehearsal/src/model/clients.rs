//! What a client does after an attempt has ended: whether it retries, and when.

use crate::rng::SeededRng;
use crate::scenario::{CommandEffect, RetryMode, Scenario};
use yarrowfront::times::Micros;

/// How an attempt ended for its client.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum AttemptOutcome {
    Finished,
    /// The node rejected it, with a `Retry-After` if it gave one.
    Rejected(Option<Micros>),
    Errored,
    /// No whole answer: the connection broke, or nothing took the attempt from it.
    Lost,
    /// No connection to a node was established, so that no node can have received it.
    NotConnected,
    /// The client's time limit was over.
    TimedOut,
}

/// The delay before the next attempt, if there is one. `attempts` is the number of attempts so far.
pub fn retry_delay(
    scenario: &Scenario,
    profile: u16,
    attempts: u32,
    outcome: AttemptOutcome,
    rng: &mut SeededRng,
) -> Option<Micros> {
    let clients = &scenario.clients;
    let effect = scenario.profiles[usize::from(profile)].effect;
    let retry_is_safe = match outcome {
        AttemptOutcome::Finished => return None,
        AttemptOutcome::Rejected(_) | AttemptOutcome::NotConnected => true,
        // It may have been executed, so that only repeatable commands are retried.
        AttemptOutcome::Errored | AttemptOutcome::Lost | AttemptOutcome::TimedOut => {
            effect == CommandEffect::Repeatable
        }
    };
    if !retry_is_safe || attempts > clients.retries || clients.retry_mode == RetryMode::Never {
        return None;
    }
    let delay = clients.wait.span().scaled(0.5 + rng.uniform());
    Some(match (clients.retry_mode, outcome) {
        (RetryMode::AtOnce, _) => Micros(0),
        (RetryMode::Advised, AttemptOutcome::Rejected(Some(advised))) => advised,
        _ => delay,
    })
}
