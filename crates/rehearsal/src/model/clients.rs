//! What a client does when a try has ended: whether it tries again, and when.

use crate::rng::SeededRng;
use crate::scenario::{CommandEffect, RetryMode, Scenario};
use yarrowfront::times::Micros;

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum AttemptOutcome {
    Finished,
    /// With the come-back time, if one was told.
    Rejected(Option<Micros>),
    Errored,
    /// No whole answer: its connection broke, or nobody took it.
    Lost,
    /// Nobody could have taken it: no connection came up.
    NotConnected,
    /// The client's time for it was over.
    TimedOut,
}

/// After how long the next try starts, if there is one.
pub fn retry_delay(
    scenario: &Scenario,
    profile: u16,
    tries: u32,
    end: AttemptOutcome,
    draw: &mut SeededRng,
) -> Option<Micros> {
    let clients = &scenario.clients;
    let effect = scenario.profiles[usize::from(profile)].effect;
    let harmless = match end {
        AttemptOutcome::Finished => return None,
        AttemptOutcome::Rejected(_) | AttemptOutcome::NotConnected => true,
        // It may have run: only what may be repeated goes out again.
        AttemptOutcome::Errored | AttemptOutcome::Lost | AttemptOutcome::TimedOut => {
            effect == CommandEffect::Repeatable
        }
    };
    if !harmless || tries > clients.retries || clients.retry_mode == RetryMode::Never {
        return None;
    }
    let wait = clients.wait.span().scaled(0.5 + draw.uniform());
    Some(match (clients.retry_mode, end) {
        (RetryMode::AtOnce, _) => Micros(0),
        (RetryMode::Advised, AttemptOutcome::Rejected(Some(told))) => told,
        _ => wait,
    })
}
