//! All of it at one node: what is known of each site, what is let in here, and how this site comes back.
//!
//! What it promises: while every site is whole, or no loss is known, everything is let in; who is turned back is told a
//! time to come back that others are not told too; what was let in once is counted once, however it ends.

use crate::detection::{DetectionTimes, Evidence, OperatorOverride, SiteDetector, SiteState, StateReason};
use crate::failover::{AdmissionGate, ClientOrigin, SecondCounts};
use crate::plan::{Plan, ProfileId, SiteId};
use crate::return_ramp::ReturnRamp;
use std::collections::BTreeMap;
use yarrowfront::times::{Micros, Timestamp};

/// Of this site's backends so many just started: it comes back as a whole, and not by a deploy.
const COLD: f64 = 0.5;
/// The least time that anybody is told to stay away.
const LEAST: Micros = Micros::from_millis(500);
/// A second's length, between two steps of what is let in.
const SECOND: Micros = Micros::from_millis(1000);

/// Whether a command may come in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    Admitted,
    /// To come back after that time; the deployment may not let it be told.
    Rejected(Micros),
}

/// What a look finds, site by site in the plan's order.
#[derive(Clone, Debug, Default)]
pub struct SiteObservations {
    pub evidence: Vec<Evidence>,
    /// Nodes of this site that share its clients, this one among them.
    pub site_nodes: u32,
    /// This node has just begun, in a fleet whose other sites have been there for longer.
    pub is_new_node: bool,
    /// Of this site's listed backends, the share that has just started.
    pub cold_share: f64,
}

/// A site's state is another one.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SiteStateChange {
    pub site: SiteId,
    pub state: SiteState,
    pub reason: StateReason,
    pub evidence: Evidence,
}

#[derive(Clone, Debug)]
pub struct SiteAdmission {
    pub plan: Plan,
    own: SiteId,
    sites: Vec<SiteDetector>,
    gate: AdmissionGate,
    coming: ReturnRamp,
    beside: u32,
    credits: BTreeMap<(bool, ProfileId), f64>,
    second: SecondCounts,
    second_at: Timestamp,
    turned_back: u64,
    /// Since when something has been in force: clients that were here before are own ones.
    pub limiting_since: Option<Timestamp>,
}

impl SiteAdmission {
    /// At a node of that site.
    pub fn new(now: Timestamp, plan: Plan, own: SiteId, times: DetectionTimes) -> SiteAdmission {
        let sites = plan.site_ids().map(|_| SiteDetector::new(now, times)).collect();
        let gate = AdmissionGate::new(&plan, plan.usable_capacity(own));
        let (credits, second, turned_back, since) = Default::default();
        let coming = ReturnRamp::healthy(now);
        SiteAdmission {
            plan,
            own,
            sites,
            gate,
            coming,
            beside: 1,
            credits,
            second,
            second_at: now,
            turned_back,
            limiting_since: since,
        }
    }

    /// Goes by another plan of the same sites and profiles; what is known stays.
    pub fn replace_plan(&mut self, plan: Plan) -> Result<(), String> {
        let names = |plan: &Plan| -> (Vec<String>, Vec<String>) {
            let sites = plan.sites.iter().map(|site| site.name.clone()).collect();
            (sites, plan.profiles.iter().map(|profile| profile.name.clone()).collect())
        };
        if names(&plan) != names(&self.plan) {
            return Err("sites: other sites or profiles take a restart".to_owned());
        }
        self.plan = plan;
        Ok(())
    }

    pub fn detector(&self, site: SiteId) -> &SiteDetector {
        &self.sites[site.0]
    }

    pub fn own_site(&self) -> SiteId {
        self.own
    }

    /// Whether a loss or a return is going on, so that not everything is let in.
    pub fn is_limiting(&self) -> bool {
        let elsewhere = self.plan.site_ids().filter(|site| *site != self.own);
        let mut away = elsewhere.map(|site| self.sites[site.0].state);
        away.any(|state| !state.accepts_new_commands() || state == SiteState::Returning)
            || self.coming.load_share() < 1.0
    }

    /// What is let in of a profile's commands, as a share.
    pub fn admitted_share(&self, whose: ClientOrigin, profile: ProfileId) -> f64 {
        self.gate.admitted_share(whose, profile)
    }

    /// What is taken for this node's room, in standard commands a second, and how much of it is open on a return.
    pub fn capacity(&self) -> (f64, f64) {
        (self.gate.capacity, self.coming.load_share())
    }

    pub fn rejected_count(&self) -> u64 {
        self.turned_back
    }

    pub fn set_override(&mut self, now: Timestamp, site: SiteId, word: OperatorOverride) {
        self.sites[site.0].set_override(now, word);
    }

    /// Takes in a look. What has changed is returned, for the log.
    pub fn observe(&mut self, now: Timestamp, look: &SiteObservations) -> Vec<SiteStateChange> {
        let mut changes = Vec::new();
        for (place, evidence) in look.evidence.iter().enumerate().take(self.sites.len()) {
            let site = SiteId(place);
            if site == self.own {
                continue;
            }
            let knowing = &mut self.sites[place];
            // How a return is paced is the returned site's own business: it is through when that says so, by answering.
            if knowing.state == SiteState::Returning {
                knowing.on_return_complete();
            }
            if knowing.observe(now, evidence) {
                changes.push(SiteStateChange {
                    site,
                    state: knowing.state,
                    reason: knowing.reason,
                    evidence: *evidence,
                });
            }
        }
        // A site whose backends have all just started comes back cold, and its clients come at once.
        // In a deploy its nodes stay, and when all sites begin there is nobody who carried the load.
        if look.is_new_node
            && look.cold_share >= COLD
            && self.coming.load_share() >= 1.0
            && self.coming.failed_returns() == 0
        {
            self.coming.start_cold(now);
        }
        if look.cold_share < COLD && self.coming.load_share() >= 1.0 {
            self.coming.reset_backoff();
        }
        self.beside = look.site_nodes.max(1);
        self.tick(now);
        self.limiting_since = match self.is_limiting() {
            true => self.limiting_since.or(Some(now)),
            false => None,
        };
        changes
    }

    fn tick(&mut self, now: Timestamp) {
        let span = now.since(self.second_at);
        if span < SECOND {
            return;
        }
        self.second_at = now;
        let mut second = std::mem::take(&mut self.second);
        let per = 1e6 / span.as_f64();
        let all = second.requested.iter_mut().chain([
            &mut second.admitted,
            &mut second.ended,
            &mut second.within_goal,
        ]);
        all.flat_map(BTreeMap::values_mut).for_each(|count| *count *= per);
        let sum = |of: &BTreeMap<ProfileId, f64>| of.values().sum::<f64>();
        let (answered, good) = (sum(&second.ended) / per, sum(&second.within_goal) / per);
        self.coming.on_answers(now, answered, good);
        let share = self.coming.load_share().max(0.01);
        self.gate.set_planned_capacity(self.plan.usable_capacity(self.own) / f64::from(self.beside) * share);
        self.gate.on_second(&self.plan, &second, self.is_limiting());
    }

    /// A command asks to come in. `longest` is the longest time that may be told, none for not at all.
    pub fn admit(&mut self, whose: ClientOrigin, profile: ProfileId, longest: Micros) -> Admission {
        let guest = whose == ClientOrigin::Displaced;
        *self.second.requested[usize::from(guest)].entry(profile).or_default() += 1.0;
        if self.is_limiting() {
            let credit = self.credits.entry((guest, profile)).or_insert(1.0);
            *credit = (*credit + self.gate.admitted_share(whose, profile)).min(2.0);
            if *credit < 1.0 {
                self.turned_back += 1;
                return Admission::Rejected(self.come_back(longest));
            }
            *credit -= 1.0;
        }
        *self.second.admitted.entry(profile).or_default() += 1.0;
        Admission::Admitted
    }

    /// Evenly over the time that may be told, each a place of its own: by steps of the golden part.
    fn come_back(&self, longest: Micros) -> Micros {
        if longest <= LEAST {
            return longest;
        }
        let part = (self.turned_back as f64 * 0.618_033_988_749_895).fract();
        Micros(LEAST.0 + ((longest.0 - LEAST.0) as f64 * part) as u64)
    }

    /// A command that was let in has its end; whether with its answer, and that within its goal time.
    pub fn on_command_end(&mut self, profile: ProfileId, in_goal: bool) {
        *self.second.ended.entry(profile).or_default() += 1.0;
        if in_goal {
            *self.second.within_goal.entry(profile).or_default() += 1.0;
        }
    }
}
