//! Site failover: collects what this node observes of each site, and admits or rejects commands accordingly.
//! Runs only if a site failover plan is configured.

use crate::counts::CommandEnd;
use crate::dispatcher::Dispatcher;
use crate::fleet::Fleet;
use crate::log::log;
use crate::site_evidence::{LaunchCounts, SiteEvidence};
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

/// The interval between two evaluations of the sites.
const EVALUATION_INTERVAL: Duration = Duration::from_millis(500);
/// The number of intervals over which launches count as evidence. A few seconds without traffic are no
/// evidence.
const EVIDENCE_INTERVALS: usize = 4;
/// The factor by which the number of a site's backends that were once listed decays per interval: it halves
/// in six minutes.
const LISTED_DECAY: f64 = 0.999;
/// A process younger than this has just started; a process elsewhere that is older than this one by at least
/// as much was running before.
const NEW_PROCESS_AGE: Micros = Micros::from_millis(30_000);

/// The site failover stage of a node.
pub struct Sites {
    /// Admits commands by site, and keeps the state of each site.
    admission: RefCell<SiteAdmission>,
    dispatcher: Rc<Dispatcher>,
    fleet: Option<Rc<Fleet>>,
    site_evidence: Rc<SiteEvidence>,
    /// The results of launches in each of the latest intervals, by site.
    recent_counts: RefCell<VecDeque<Vec<LaunchCounts>>>,
    /// The number of backends that each site has had on the list, decaying over time.
    listed_backends: RefCell<Vec<f64>>,
    warm_up_time: Cell<Micros>,
}

/// The admission of a command.
pub struct AdmissionTicket {
    sites: Rc<Sites>,
    profile: ProfileId,
    goal_time: Micros,
}

impl AdmissionTicket {
    /// Records how the command ended and how long it took. A client that gives up within the goal time says
    /// nothing about the capacity.
    pub fn record_end(self, end: CommandEnd, latency: Micros) {
        let within_goal = end == CommandEnd::Finished && latency <= self.goal_time;
        if within_goal || end != CommandEnd::ClientGone || latency > self.goal_time {
            self.sites.admission.borrow_mut().on_command_end(self.profile, within_goal);
        }
    }
}

impl Sites {
    /// Creates the stage for a node in this site; an error if the plan has no such site.
    pub fn new(
        plan: Plan,
        own_site: &str,
        (dispatcher, fleet, site_evidence): (Rc<Dispatcher>, Option<Rc<Fleet>>, Rc<SiteEvidence>),
        warm_up_time: Micros,
    ) -> Result<Rc<Sites>, String> {
        let index = plan.sites.iter().position(|site| site.name == own_site);
        let own_site = index
            .map(SiteId)
            .ok_or_else(|| format!("sites: the plan has no entry for this node's site {own_site:?}"))?;
        let listed_backends = RefCell::new(vec![0.0; plan.sites.len()]);
        let admission = RefCell::new(SiteAdmission::new(
            dispatcher.clock.now(),
            plan,
            own_site,
            DetectionTimes::default(),
        ));
        let (recent_counts, warm_up_time) = (RefCell::default(), Cell::new(warm_up_time));
        Ok(Rc::new(Sites {
            admission,
            dispatcher,
            fleet,
            site_evidence,
            recent_counts,
            listed_backends,
            warm_up_time,
        }))
    }

    /// Adopts a changed plan for the same sites and profiles.
    pub fn replace_plan(&self, plan: Plan) -> Result<(), String> {
        self.admission.borrow_mut().replace_plan(plan)
    }

    /// Evaluates the sites in regular intervals.
    pub async fn run(self: Rc<Sites>) {
        loop {
            self.evaluate();
            sleep(EVALUATION_INTERVAL).await;
        }
    }

    fn evaluate(&self) {
        let now = self.dispatcher.clock.now();
        let names: Vec<String> =
            self.admission.borrow().plan.sites.iter().map(|site| site.name.clone()).collect();
        let own_site = self.admission.borrow().own_site();
        let observations = self.collect_observations(now, &names, own_site);
        for change in self.admission.borrow_mut().observe(now, &observations) {
            let (site, evidence) = (&names[change.site.0], change.evidence);
            let live_of_known =
                |part: Option<(u32, u32)>| part.map_or("?".to_owned(), |(here, all)| format!("{here}/{all}"));
            log!(
                "sites: {site} is {}: {} (nodes {}, backends {}, answered {}, unanswered {})",
                change.state.text(),
                change.reason.text(),
                live_of_known(evidence.live_nodes),
                live_of_known(evidence.ready_backends),
                evidence.answered,
                evidence.unanswered
            );
        }
    }

    fn collect_observations(&self, now: Timestamp, names: &[String], own_site: SiteId) -> SiteObservations {
        let recent_counts = &mut *self.recent_counts.borrow_mut();
        recent_counts.push_back(self.counts_in_plan_order(names));
        if recent_counts.len() > EVIDENCE_INTERVALS {
            recent_counts.pop_front();
        }
        let sum = |index: usize| {
            recent_counts.iter().fold(LaunchCounts::default(), |sum, counts| {
                let counts = counts.get(index).copied().unwrap_or_default();
                let (answered, unanswered) =
                    (sum.answered + counts.answered, sum.unanswered + counts.unanswered);
                LaunchCounts { answered, unanswered, full: sum.full + counts.full }
            })
        };
        let (ready, cold) = self.dispatcher.listed_backends_by_site(names, now, self.warm_up_time.get());
        let known = &mut *self.listed_backends.borrow_mut();
        for (known, ready) in known.iter_mut().zip(&ready) {
            *known = (*known * LISTED_DECAY).max(f64::from(*ready));
        }
        let all: u32 = ready.iter().sum();
        let list_is_empty = all == 0 && known.iter().any(|known| *known >= 1.0);
        let list_age =
            self.dispatcher.load().4.map_or(Micros(u64::MAX), |age| Micros(age.as_micros() as u64));
        let view = self.fleet.as_ref().map(|fleet| fleet.members_by_site());
        let node_is_isolated = view.as_ref().is_some_and(|view| view.is_isolated);
        let evidence = |index: usize| {
            let counts = sum(index);
            let other_sites = (0..names.len()).filter(|other| *other != index).map(sum);
            let other_sites =
                other_sites.fold((0, 0), |all, counts| (all.0 + counts.answered, all.1 + counts.unanswered));
            let live_nodes =
                view.as_ref().map(|view| view.by_site.get(&names[index]).copied().unwrap_or_default());
            let ready_backends = (known[index] >= 0.5).then(|| (ready[index], known[index].round() as u32));
            Evidence {
                live_nodes,
                node_is_isolated,
                ready_backends,
                list_age,
                list_is_empty,
                answered: counts.answered,
                unanswered: counts.unanswered,
                other_sites,
                slow_answers: counts.full,
            }
        };
        let site_nodes =
            view.as_ref().and_then(|view| view.by_site.get(&names[own_site.0])).map_or(1, |(here, _)| *here);
        let is_young = now.since(self.dispatcher.clock.process_start()) < NEW_PROCESS_AGE;
        let was_running_before =
            |life: u64| life + NEW_PROCESS_AGE.0 < self.dispatcher.clock.process_start().0;
        let is_new_node = is_young
            && view.as_ref().is_some_and(|view| view.oldest_elsewhere.is_some_and(was_running_before));
        let cold_share = f64::from(cold[own_site.0]) / f64::from(ready[own_site.0].max(1));
        SiteObservations {
            evidence: (0..names.len()).map(evidence).collect(),
            site_nodes,
            is_new_node,
            cold_share,
        }
    }

    /// The results of launches, in the plan's order of sites.
    fn counts_in_plan_order(&self, names: &[String]) -> Vec<LaunchCounts> {
        let (by_zone, zones) = (self.site_evidence.take(), &self.dispatcher.names().zones);
        let counts_of = |name: &String| {
            zones.iter().position(|zone| zone == name).and_then(|index| by_zone.get(index).copied())
        };
        names.iter().map(|name| counts_of(name).unwrap_or_default()).collect()
    }

    /// Whether to admit a command of this profile, given when its connection was accepted. A rejected
    /// command gets the time after which it may be retried.
    pub fn admit(
        self: &Rc<Sites>,
        name: &str,
        goal_time: Micros,
        accepted_at: Instant,
    ) -> Result<Option<AdmissionTicket>, Micros> {
        let admission = &mut *self.admission.borrow_mut();
        let Some(profile) =
            admission.plan.profiles.iter().position(|profile| profile.name == name).map(ProfileId)
        else {
            return Ok(None);
        };
        let own_site =
            admission.limiting_since.is_none_or(|since| accepted_at < self.dispatcher.clock.instant(since));
        let origin = if own_site { ClientOrigin::Local } else { ClientOrigin::Displaced };
        match admission.admit(origin, profile, self.dispatcher.max_retry_after()) {
            Admission::Admitted => Ok(Some(AdmissionTicket { sites: self.clone(), profile, goal_time })),
            Admission::Rejected(span) => Err(span),
        }
    }

    /// Applies an operator's declaration about a site; `None` if there is no such site or action.
    pub fn set_override(&self, name: &str, action: &str) -> Option<String> {
        let action = match action {
            "lost" => OperatorOverride::Lost,
            "hold" => OperatorOverride::HoldLost,
            "free" => OperatorOverride::Clear,
            _ => return None,
        };
        let admission = &mut *self.admission.borrow_mut();
        let index = admission.plan.sites.iter().position(|site| site.name == name)?;
        admission.set_override(self.dispatcher.clock.now(), SiteId(index), action);
        let description = match action {
            OperatorOverride::Lost => "is declared lost, for an hour at the most",
            OperatorOverride::HoldLost => "is not to come back yet, for an hour at the most",
            OperatorOverride::Clear => "may come back by what is seen of it",
        };
        Some(format!("{name} {description}"))
    }

    /// The state as JSON: times in milliseconds, work in standard commands per second.
    pub fn to_json(&self) -> Value {
        let (admission, now) = (self.admission.borrow(), self.dispatcher.clock.now());
        let (room, open) = admission.capacity();
        let site = |id: SiteId| {
            let detector = admission.detector(id);
            let own_site = id == admission.own_site();
            json!({"name": admission.plan.site(id).name, "own": own_site, "state": detector.state.text(),
                "why": detector.reason.text(), "since_ms": now.since(detector.since).0 / 1000})
        };
        let profile = |id: ProfileId| {
            json!({"name": admission.plan.profile(id).name, "own": admission.admitted_share(ClientOrigin::Local, id),
                "guests": admission.admitted_share(ClientOrigin::Displaced, id)})
        };
        json!({"in_force": admission.is_limiting(), "room": room, "open": open, "turned_back": admission.rejected_count(),
            "sites": admission.plan.site_ids().map(site).collect::<Vec<_>>(),
            "let_in": admission.plan.profile_ids().map(profile).collect::<Vec<_>>()})
    }
}
