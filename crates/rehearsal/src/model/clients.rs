//! What a client does when a try has ended: whether it tries again, and when.

use crate::draw::Draw;
use crate::scenario::{Again, EffectOf, Scenario};
use yarrowfront::times::Micros;

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum TryEnd {
    Finished,
    /// With the come-back time, if one was told.
    TurnedBack(Option<Micros>),
    Errored,
    /// No whole answer: its connection broke, or nobody took it.
    Lost,
    /// Nobody could have taken it: no connection came up.
    Refused,
    /// The client's time for it was over.
    TimedOut,
}

/// After how long the next try starts, if there is one.
pub fn again(scenario: &Scenario, profile: u16, tries: u32, end: TryEnd, draw: &mut Draw) -> Option<Micros> {
    let clients = &scenario.clients;
    let effect = scenario.profiles[usize::from(profile)].effect;
    let harmless = match end {
        TryEnd::Finished => return None,
        TryEnd::TurnedBack(_) | TryEnd::Refused => true,
        // It may have run: only what may be repeated goes out again.
        TryEnd::Errored | TryEnd::Lost | TryEnd::TimedOut => effect == EffectOf::Repeatable,
    };
    if !harmless || tries > clients.retries || clients.again == Again::Never {
        return None;
    }
    let wait = clients.wait.span().scaled(0.5 + draw.unit());
    Some(match (clients.again, end) {
        (Again::AtOnce, _) => Micros(0),
        (Again::Advised, TryEnd::TurnedBack(Some(told))) => told,
        _ => wait,
    })
}
