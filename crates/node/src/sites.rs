//! Site failover: collects what this node observes of each site, and admits or rejects commands accordingly.
//! Runs only if a site failover plan is configured.

use crate::counts::CommandEnd;
use crate::dispatcher::Dispatcher;
use crate::fleet::Fleet;
use crate::log::note;
use crate::site_evidence::{LaunchCounts, SiteEvidence};
use serde_json::{json, Value};
use sites::door::{Door, Look, Said};
use sites::going::Whose;
use sites::knowing::{Evidence, Times, Word};
use sites::plan::{Plan, ProfileId, SiteId};
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{sleep, Instant};
use yarrowfront::times::{Moment, Span};

/// The interval between two evaluations of the sites.
const LOOK: Duration = Duration::from_millis(500);
/// The number of intervals over which launches count as evidence. A few seconds without traffic are no
/// evidence.
const LOOKS: usize = 4;
/// The factor by which the number of a site's backends that were once listed decays per interval: it halves
/// in six minutes.
const FORGET: f64 = 0.999;
/// A process younger than this has just started; a process elsewhere that is older than this one by at least
/// as much was running before.
const YOUNG: Span = Span::millis(30_000);

pub struct Sites {
    /// Admits commands by site, and keeps the state of each site.
    door: RefCell<Door>,
    dispatcher: Rc<Dispatcher>,
    fleet: Option<Rc<Fleet>>,
    site_evidence: Rc<SiteEvidence>,
    /// The results of launches in each of the latest intervals, by site.
    lately: RefCell<VecDeque<Vec<LaunchCounts>>>,
    /// The number of backends that each site has had on the list, decaying over time.
    listed: RefCell<Vec<f64>>,
    warm_within: Cell<Span>,
}

/// The admission of a command.
pub struct Ticket {
    sites: Rc<Sites>,
    profile: ProfileId,
    goal: Span,
}

impl Ticket {
    /// Records how the command ended and how long it took. A client that gives up within the goal time says
    /// nothing about the capacity.
    pub fn record_end(self, end: CommandEnd, took: Span) {
        let in_goal = end == CommandEnd::Finished && took <= self.goal;
        if in_goal || end != CommandEnd::ClientGone || took > self.goal {
            self.sites.door.borrow_mut().ended(self.profile, in_goal);
        }
    }
}

impl Sites {
    /// Creates the stage for a node in this site; an error if the plan has no such site.
    pub fn new(
        plan: Plan,
        own: &str,
        (dispatcher, fleet, site_evidence): (Rc<Dispatcher>, Option<Rc<Fleet>>, Rc<SiteEvidence>),
        warm_within: Span,
    ) -> Result<Rc<Sites>, String> {
        let place = plan.sites.iter().position(|site| site.name == own);
        let own = place
            .map(SiteId)
            .ok_or_else(|| format!("sites: the plan has no entry for this node's site {own:?}"))?;
        let listed = RefCell::new(vec![0.0; plan.sites.len()]);
        let door = RefCell::new(Door::new(dispatcher.clock.now(), plan, own, Times::default()));
        let (lately, warm_within) = (RefCell::default(), Cell::new(warm_within));
        Ok(Rc::new(Sites { door, dispatcher, fleet, site_evidence, lately, listed, warm_within }))
    }

    /// Adopts a changed plan for the same sites and profiles.
    pub fn follow(&self, plan: Plan) -> Result<(), String> {
        self.door.borrow_mut().follow(plan)
    }

    pub async fn run(self: Rc<Sites>) {
        loop {
            self.look();
            sleep(LOOK).await;
        }
    }

    fn look(&self) {
        let now = self.dispatcher.clock.now();
        let names: Vec<String> = self.door.borrow().plan.sites.iter().map(|site| site.name.clone()).collect();
        let own = self.door.borrow().own();
        let look = self.found(now, &names, own);
        for change in self.door.borrow_mut().look(now, &look) {
            let (site, e) = (&names[change.site.0], change.evidence);
            let of =
                |part: Option<(u32, u32)>| part.map_or("?".to_owned(), |(here, all)| format!("{here}/{all}"));
            note!(
                "sites: {site} is {}: {} (nodes {}, backends {}, answered {}, unanswered {})",
                change.state.word(),
                change.why.word(),
                of(e.nodes),
                of(e.listed),
                e.answered,
                e.dead
            );
        }
    }

    fn found(&self, now: Moment, names: &[String], own: SiteId) -> Look {
        let lately = &mut *self.lately.borrow_mut();
        lately.push_back(self.by_name(names));
        if lately.len() > LOOKS {
            lately.pop_front();
        }
        let sum = |place: usize| {
            lately.iter().fold(LaunchCounts::default(), |sum, came| {
                let came = came.get(place).copied().unwrap_or_default();
                let (answered, unanswered) = (sum.answered + came.answered, sum.unanswered + came.unanswered);
                LaunchCounts { answered, unanswered, full: sum.full + came.full }
            })
        };
        let (ready, cold) = self.dispatcher.listed_by_site(names, now, self.warm_within.get());
        let known = &mut *self.listed.borrow_mut();
        for (known, ready) in known.iter_mut().zip(&ready) {
            *known = (*known * FORGET).max(f64::from(*ready));
        }
        let all: u32 = ready.iter().sum();
        let emptied = all == 0 && known.iter().any(|known| *known >= 1.0);
        let list_age = self.dispatcher.load().4.map_or(Span(u64::MAX), |age| Span(age.as_micros() as u64));
        let view = self.fleet.as_ref().map(|fleet| fleet.sites());
        let isolated = view.as_ref().is_some_and(|view| view.isolated);
        let evidence = |place: usize| {
            let came = sum(place);
            let elsewhere = (0..names.len()).filter(|other| *other != place).map(sum);
            let elsewhere =
                elsewhere.fold((0, 0), |all, came| (all.0 + came.answered, all.1 + came.unanswered));
            let nodes = view.as_ref().map(|view| view.of.get(&names[place]).copied().unwrap_or_default());
            let listed = (known[place] >= 0.5).then(|| (ready[place], known[place].round() as u32));
            Evidence {
                nodes,
                isolated,
                listed,
                list_age,
                emptied,
                answered: came.answered,
                dead: came.unanswered,
                elsewhere,
                slow: came.full,
            }
        };
        let beside = view.as_ref().and_then(|view| view.of.get(&names[own.0])).map_or(1, |(here, _)| *here);
        let young = now.since(self.dispatcher.clock.process_start()) < YOUNG;
        let older = |life: u64| life + YOUNG.0 < self.dispatcher.clock.process_start().0;
        let joined = young && view.as_ref().is_some_and(|view| view.oldest_elsewhere.is_some_and(older));
        let share = f64::from(cold[own.0]) / f64::from(ready[own.0].max(1));
        Look { evidence: (0..names.len()).map(evidence).collect(), beside, joined, cold: share }
    }

    /// The results of launches, in the plan's order of sites.
    fn by_name(&self, names: &[String]) -> Vec<LaunchCounts> {
        let (by, zones) = (self.site_evidence.take(), &self.dispatcher.names().zones);
        let of = |name: &String| {
            zones.iter().position(|zone| zone == name).and_then(|place| by.get(place).copied())
        };
        names.iter().map(|name| of(name).unwrap_or_default()).collect()
    }

    /// Whether to admit a command of this profile, given when its connection was accepted. A rejected
    /// command gets the time after which it may be retried.
    pub fn ask(self: &Rc<Sites>, name: &str, goal: Span, came: Instant) -> Result<Option<Ticket>, Span> {
        let door = &mut *self.door.borrow_mut();
        let Some(profile) = door.plan.profiles.iter().position(|profile| profile.name == name).map(ProfileId)
        else {
            return Ok(None);
        };
        let own = door.since.is_none_or(|since| came < self.dispatcher.clock.instant(since));
        let whose = if own { Whose::Own } else { Whose::Guest };
        match door.ask(whose, profile, self.dispatcher.max_retry_after()) {
            Said::In => Ok(Some(Ticket { sites: self.clone(), profile, goal })),
            Said::Back(span) => Err(span),
        }
    }

    /// Applies an operator's declaration about a site; `None` if there is no such site or action.
    pub fn declare(&self, name: &str, word: &str) -> Option<String> {
        let word = match word {
            "lost" => Word::Lost,
            "hold" => Word::Held,
            "free" => Word::Free,
            _ => return None,
        };
        let door = &mut *self.door.borrow_mut();
        let place = door.plan.sites.iter().position(|site| site.name == name)?;
        door.declare(self.dispatcher.clock.now(), SiteId(place), word);
        let said = match word {
            Word::Lost => "is declared lost, for an hour at the most",
            Word::Held => "is not to come back yet, for an hour at the most",
            Word::Free => "may come back by what is seen of it",
        };
        Some(format!("{name} {said}"))
    }

    /// The state as JSON: times in milliseconds, work in standard commands per second.
    pub fn told(&self) -> Value {
        let (door, now) = (self.door.borrow(), self.dispatcher.clock.now());
        let (room, open) = door.room();
        let site = |id: SiteId| {
            let knowing = door.knows(id);
            let own = id == door.own();
            json!({"name": door.plan.site(id).name, "own": own, "state": knowing.state.word(),
                "why": knowing.why.word(), "since_ms": now.since(knowing.since).0 / 1000})
        };
        let profile = |id: ProfileId| {
            json!({"name": door.plan.profile(id).name, "own": door.share(Whose::Own, id),
                "guests": door.share(Whose::Guest, id)})
        };
        json!({"in_force": door.in_force(), "room": room, "open": open, "turned_back": door.turned_back(),
            "sites": door.plan.site_ids().map(site).collect::<Vec<_>>(),
            "let_in": door.plan.profile_ids().map(profile).collect::<Vec<_>>()})
    }
}
