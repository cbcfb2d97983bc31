//! The plan for the loss of sites at work: what this node sees of each site goes to the door, and who asks to come in is
//! told what that says. Only where an operators' file asks for it.

use crate::counts::End;
use crate::desk::Desk;
use crate::fleet::Fleet;
use crate::log::note;
use crate::witness::{Came, Witness};
use serde_json::{json, Value};
use sites::admission::{Admission, SiteAdmission, SiteObservations};
use sites::detection::{DetectionTimes, Evidence, OperatorOverride};
use sites::failover::ClientOrigin;
use sites::plan::{Plan, ProfileId, SiteId};
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{sleep, Instant};
use yarrowfront::times::{Micros, Timestamp};

/// Between two looks at what is known of sites.
const LOOK: Duration = Duration::from_millis(500);
/// Launches count as evidence for so many looks: some seconds without any traffic say nothing.
const LOOKS: usize = 4;
/// How much of a site's backends that were once listed is forgotten with each look: half in six minutes.
const FORGET: f64 = 0.999;
/// A process that is younger has just begun, and one elsewhere that is older by that was there before.
const YOUNG: Micros = Micros::from_millis(30_000);

pub struct Sites {
    door: RefCell<SiteAdmission>,
    desk: Rc<Desk>,
    fleet: Option<Rc<Fleet>>,
    witness: Rc<Witness>,
    /// Of each look of late, what launches came to.
    lately: RefCell<VecDeque<Vec<Came>>>,
    /// Backends that each site has had on the list, fading.
    listed: RefCell<Vec<f64>>,
    warm_within: Cell<Micros>,
}

/// A command that was let in.
pub struct Ticket {
    sites: Rc<Sites>,
    profile: ProfileId,
    goal: Micros,
}

impl Ticket {
    /// It has its end, so long after it came. A client that goes within the goal time says nothing of what can be done.
    pub fn ended(self, end: End, took: Micros) {
        let in_goal = end == End::Finished && took <= self.goal;
        if in_goal || end != End::Left || took > self.goal {
            self.sites.door.borrow_mut().on_command_end(self.profile, in_goal);
        }
    }
}

impl Sites {
    /// Of a node in that site; an error where the plan has none of that name.
    pub fn new(
        plan: Plan,
        own: &str,
        (desk, fleet, witness): (Rc<Desk>, Option<Rc<Fleet>>, Rc<Witness>),
        warm_within: Micros,
    ) -> Result<Rc<Sites>, String> {
        let place = plan.sites.iter().position(|site| site.name == own);
        let own = place
            .map(SiteId)
            .ok_or_else(|| format!("sites: the plan has no site {own:?}, which is this node's"))?;
        let listed = RefCell::new(vec![0.0; plan.sites.len()]);
        let door = RefCell::new(SiteAdmission::new(desk.clock.now(), plan, own, DetectionTimes::default()));
        let (lately, warm_within) = (RefCell::default(), Cell::new(warm_within));
        Ok(Rc::new(Sites { door, desk, fleet, witness, lately, listed, warm_within }))
    }

    /// Goes by another plan of the same sites and profiles.
    pub fn follow(&self, plan: Plan) -> Result<(), String> {
        self.door.borrow_mut().replace_plan(plan)
    }

    pub async fn run(self: Rc<Sites>) {
        loop {
            self.look();
            sleep(LOOK).await;
        }
    }

    fn look(&self) {
        let now = self.desk.clock.now();
        let names: Vec<String> = self.door.borrow().plan.sites.iter().map(|site| site.name.clone()).collect();
        let own = self.door.borrow().own_site();
        let look = self.found(now, &names, own);
        for change in self.door.borrow_mut().observe(now, &look) {
            let (site, e) = (&names[change.site.0], change.evidence);
            let of =
                |part: Option<(u32, u32)>| part.map_or("?".to_owned(), |(here, all)| format!("{here}/{all}"));
            note!(
                "sites: {site} is {}: {} (nodes {}, backends {}, answered {}, without an answer {})",
                change.state.text(),
                change.reason.text(),
                of(e.live_nodes),
                of(e.ready_backends),
                e.answered,
                e.unanswered
            );
        }
    }

    fn found(&self, now: Timestamp, names: &[String], own: SiteId) -> SiteObservations {
        let lately = &mut *self.lately.borrow_mut();
        lately.push_back(self.by_name(names));
        if lately.len() > LOOKS {
            lately.pop_front();
        }
        let sum = |place: usize| {
            lately.iter().fold(Came::default(), |sum, came| {
                let came = came.get(place).copied().unwrap_or_default();
                let (answered, dead) = (sum.answered + came.answered, sum.dead + came.dead);
                Came { answered, dead, slow: sum.slow + came.slow }
            })
        };
        let (ready, cold) = self.desk.listed_by_site(names, now, self.warm_within.get());
        let known = &mut *self.listed.borrow_mut();
        for (known, ready) in known.iter_mut().zip(&ready) {
            *known = (*known * FORGET).max(f64::from(*ready));
        }
        let all: u32 = ready.iter().sum();
        let emptied = all == 0 && known.iter().any(|known| *known >= 1.0);
        let list_age = self.desk.load().4.map_or(Micros(u64::MAX), |age| Micros(age.as_micros() as u64));
        let view = self.fleet.as_ref().map(|fleet| fleet.sites());
        let isolated = view.as_ref().is_some_and(|view| view.isolated);
        let evidence = |place: usize| {
            let came = sum(place);
            let elsewhere = (0..names.len()).filter(|other| *other != place).map(sum);
            let elsewhere = elsewhere.fold((0, 0), |all, came| (all.0 + came.answered, all.1 + came.dead));
            let nodes = view.as_ref().map(|view| view.of.get(&names[place]).copied().unwrap_or_default());
            let listed = (known[place] >= 0.5).then(|| (ready[place], known[place].round() as u32));
            Evidence {
                live_nodes: nodes,
                node_is_isolated: isolated,
                ready_backends: listed,
                list_age,
                list_is_empty: emptied,
                answered: came.answered,
                unanswered: came.dead,
                other_sites: elsewhere,
                slow_answers: came.slow,
            }
        };
        let beside = view.as_ref().and_then(|view| view.of.get(&names[own.0])).map_or(1, |(here, _)| *here);
        let young = now.since(self.desk.clock.began()) < YOUNG;
        let older = |life: u64| life + YOUNG.0 < self.desk.clock.began().0;
        let joined = young && view.as_ref().is_some_and(|view| view.oldest_elsewhere.is_some_and(older));
        let share = f64::from(cold[own.0]) / f64::from(ready[own.0].max(1));
        SiteObservations {
            evidence: (0..names.len()).map(evidence).collect(),
            site_nodes: beside,
            is_new_node: joined,
            cold_share: share,
        }
    }

    /// What launches came to, in the plan's order of sites.
    fn by_name(&self, names: &[String]) -> Vec<Came> {
        let (by, zones) = (self.witness.take(), &self.desk.names().zones);
        let of = |name: &String| {
            zones.iter().position(|zone| zone == name).and_then(|place| by.get(place).copied())
        };
        names.iter().map(|name| of(name).unwrap_or_default()).collect()
    }

    /// Whether a command of that profile may come in, on a connection that came then; if not, when it may come back.
    pub fn ask(self: &Rc<Sites>, name: &str, goal: Micros, came: Instant) -> Result<Option<Ticket>, Micros> {
        let door = &mut *self.door.borrow_mut();
        let Some(profile) = door.plan.profiles.iter().position(|profile| profile.name == name).map(ProfileId)
        else {
            return Ok(None);
        };
        let own = door.limiting_since.is_none_or(|since| came < self.desk.clock.instant(since));
        let whose = if own { ClientOrigin::Local } else { ClientOrigin::Displaced };
        match door.admit(whose, profile, self.desk.longest_come_back()) {
            Admission::Admitted => Ok(Some(Ticket { sites: self.clone(), profile, goal })),
            Admission::Rejected(span) => Err(span),
        }
    }

    /// An operator's word on a site; none where there is no such site or word.
    pub fn declare(&self, name: &str, word: &str) -> Option<String> {
        let word = match word {
            "lost" => OperatorOverride::Lost,
            "hold" => OperatorOverride::HoldLost,
            "free" => OperatorOverride::Clear,
            _ => return None,
        };
        let door = &mut *self.door.borrow_mut();
        let place = door.plan.sites.iter().position(|site| site.name == name)?;
        door.set_override(self.desk.clock.now(), SiteId(place), word);
        let said = match word {
            OperatorOverride::Lost => "is declared lost, for an hour at the most",
            OperatorOverride::HoldLost => "is not to come back yet, for an hour at the most",
            OperatorOverride::Clear => "may come back by what is seen of it",
        };
        Some(format!("{name} {said}"))
    }

    /// All of it for programs: spans in milliseconds, work in standard commands a second.
    pub fn told(&self) -> Value {
        let (door, now) = (self.door.borrow(), self.desk.clock.now());
        let (room, open) = door.capacity();
        let site = |id: SiteId| {
            let knowing = door.detector(id);
            let own = id == door.own_site();
            json!({"name": door.plan.site(id).name, "own": own, "state": knowing.state.text(),
                "why": knowing.reason.text(), "since_ms": now.since(knowing.since).0 / 1000})
        };
        let profile = |id: ProfileId| {
            json!({"name": door.plan.profile(id).name, "own": door.admitted_share(ClientOrigin::Local, id),
                "guests": door.admitted_share(ClientOrigin::Displaced, id)})
        };
        json!({"in_force": door.is_limiting(), "room": room, "open": open, "turned_back": door.rejected_count(),
            "sites": door.plan.site_ids().map(site).collect::<Vec<_>>(),
            "let_in": door.plan.profile_ids().map(profile).collect::<Vec<_>>()})
    }
}
