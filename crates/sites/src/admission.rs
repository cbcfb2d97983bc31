//! Site-loss handling at one node: the state of each site, which commands are admitted, and how this node's own site
//! returns.
//!
//! Guarantees: while every site is healthy, or no loss is known, every command is admitted. A rejected client gets a
//! retry-after of its own, so that clients do not return together. An admitted command is counted exactly once,
//! however it ends.

use crate::detection::{DetectionTimes, Evidence, OperatorOverride, SiteDetector, SiteState, StateReason};
use crate::failover::{AdmissionGate, ClientOrigin, SecondCounts};
use crate::plan::{Plan, ProfileId, SiteId};
use crate::return_ramp::ReturnRamp;
use std::collections::BTreeMap;
use yarrowfront::times::{Micros, Timestamp};

/// Share of this site's backends that must have just started for it to count as a return of the whole site rather
/// than a deploy.
const COLD_RETURN_SHARE: f64 = 0.5;
/// Shortest retry-after given to a client.
const MIN_RETRY_AFTER: Micros = Micros::from_millis(500);
/// Interval of the counts from which the admitted shares are updated.
const COUNT_INTERVAL: Micros = Micros::from_millis(1000);

/// Whether a command is admitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    Admitted,
    /// Rejected, to be retried after this time. The deployment's settings may not allow a retry-after to be sent.
    Rejected(Micros),
}

/// What was observed at one time; evidence is in the plan's order of sites.
#[derive(Clone, Debug, Default)]
pub struct SiteObservations {
    pub evidence: Vec<Evidence>,
    /// Nodes of this site that share its clients, including this one.
    pub site_nodes: u32,
    /// This node has just started, while nodes of other sites have run for longer.
    pub is_new_node: bool,
    /// Share of this site's listed backends that have just started.
    pub cold_share: f64,
}

/// The state of a site has changed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SiteStateChange {
    pub site: SiteId,
    pub state: SiteState,
    pub reason: StateReason,
    pub evidence: Evidence,
}

/// Detectors, admission gate and return ramp of one node.
#[derive(Clone, Debug)]
pub struct SiteAdmission {
    pub plan: Plan,
    own_site: SiteId,
    detectors: Vec<SiteDetector>,
    gate: AdmissionGate,
    return_ramp: ReturnRamp,
    site_nodes: u32,
    /// Credit of each client origin (true: displaced) and profile; one credit admits one command.
    credits: BTreeMap<(bool, ProfileId), f64>,
    current_second: SecondCounts,
    second_started_at: Timestamp,
    /// Commands rejected since the start.
    rejected: u64,
    /// Since when admission has been limited. Clients whose connections are older than that are local.
    pub limiting_since: Option<Timestamp>,
}

impl SiteAdmission {
    /// For a node of `own_site`.
    pub fn new(now: Timestamp, plan: Plan, own_site: SiteId, times: DetectionTimes) -> SiteAdmission {
        let detectors = plan.site_ids().map(|_| SiteDetector::new(now, times)).collect();
        let gate = AdmissionGate::new(&plan, plan.usable_capacity(own_site));
        let (credits, current_second, rejected, limiting_since) = Default::default();
        let return_ramp = ReturnRamp::healthy(now);
        SiteAdmission {
            plan,
            own_site,
            detectors,
            gate,
            return_ramp,
            site_nodes: 1,
            credits,
            current_second,
            second_started_at: now,
            rejected,
            limiting_since,
        }
    }

    /// Replaces the plan by one with the same sites and profiles; what was learned is kept.
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

    /// What is known of a site.
    pub fn detector(&self, site: SiteId) -> &SiteDetector {
        &self.detectors[site.0]
    }

    pub fn own_site(&self) -> SiteId {
        self.own_site
    }

    /// Whether a loss or a return is in progress, so that not all commands are admitted.
    pub fn is_limiting(&self) -> bool {
        let other_sites = self.plan.site_ids().filter(|site| *site != self.own_site);
        let mut states = other_sites.map(|site| self.detectors[site.0].state);
        states.any(|state| !state.accepts_new_commands() || state == SiteState::Returning)
            || self.return_ramp.load_share() < 1.0
    }

    /// Share of a profile's commands that is admitted.
    pub fn admitted_share(&self, origin: ClientOrigin, profile: ProfileId) -> f64 {
        self.gate.admitted_share(origin, profile)
    }

    /// Estimated capacity of this node in standard commands per second, and the share of its load that is open during
    /// a return.
    pub fn capacity(&self) -> (f64, f64) {
        (self.gate.capacity, self.return_ramp.load_share())
    }

    /// Commands rejected since the start.
    pub fn rejected_count(&self) -> u64 {
        self.rejected
    }

    /// Sets an operator's override of a site's state, or removes it.
    pub fn set_override(&mut self, now: Timestamp, site: SiteId, operator_override: OperatorOverride) {
        self.detectors[site.0].set_override(now, operator_override);
    }

    /// Takes in observations and returns the changes of state, for the log.
    pub fn observe(&mut self, now: Timestamp, observations: &SiteObservations) -> Vec<SiteStateChange> {
        let mut changes = Vec::new();
        for (site_index, evidence) in observations.evidence.iter().enumerate().take(self.detectors.len()) {
            let site = SiteId(site_index);
            if site == self.own_site {
                continue;
            }
            let detector = &mut self.detectors[site_index];
            // A returning site paces its own return, which for other sites is complete when it answers.
            if detector.state == SiteState::Returning {
                detector.on_return_complete();
            }
            if detector.observe(now, evidence) {
                changes.push(SiteStateChange {
                    site,
                    state: detector.state,
                    reason: detector.reason,
                    evidence: *evidence,
                });
            }
        }
        // A site whose backends have all just started returns cold, while its clients come at once. In a deploy its
        // nodes stay, and when all sites start together none has carried the load of another.
        if observations.is_new_node
            && observations.cold_share >= COLD_RETURN_SHARE
            && self.return_ramp.load_share() >= 1.0
            && self.return_ramp.losses() == 0
        {
            self.return_ramp.start_cold(now);
        }
        if observations.cold_share < COLD_RETURN_SHARE && self.return_ramp.load_share() >= 1.0 {
            self.return_ramp.reset_backoff();
        }
        self.site_nodes = observations.site_nodes.max(1);
        self.finish_second(now);
        self.limiting_since = match self.is_limiting() {
            true => self.limiting_since.or(Some(now)),
            false => None,
        };
        changes
    }

    /// Closes the counts of the current second and updates the admitted shares from them.
    fn finish_second(&mut self, now: Timestamp) {
        let elapsed = now.since(self.second_started_at);
        if elapsed < COUNT_INTERVAL {
            return;
        }
        self.second_started_at = now;
        let mut counts = std::mem::take(&mut self.current_second);
        let per_second = 1e6 / elapsed.as_f64();
        let rates = counts.requested.iter_mut().chain([
            &mut counts.admitted,
            &mut counts.ended,
            &mut counts.within_goal,
        ]);
        rates.flat_map(BTreeMap::values_mut).for_each(|count| *count *= per_second);
        let total = |of: &BTreeMap<ProfileId, f64>| of.values().sum::<f64>();
        let (answered, within_goal) =
            (total(&counts.ended) / per_second, total(&counts.within_goal) / per_second);
        self.return_ramp.on_answers(now, answered, within_goal);
        let load_share = self.return_ramp.load_share().max(0.01);
        self.gate.set_planned_capacity(
            self.plan.usable_capacity(self.own_site) / f64::from(self.site_nodes) * load_share,
        );
        self.gate.on_second(&self.plan, &counts, self.is_limiting());
    }

    /// Decides on a command. `max_retry_after` is the longest retry-after that may be sent; zero if none may be.
    pub fn admit(&mut self, origin: ClientOrigin, profile: ProfileId, max_retry_after: Micros) -> Admission {
        let is_displaced = origin == ClientOrigin::Displaced;
        *self.current_second.requested[usize::from(is_displaced)].entry(profile).or_default() += 1.0;
        if self.is_limiting() {
            let credit = self.credits.entry((is_displaced, profile)).or_insert(1.0);
            *credit = (*credit + self.gate.admitted_share(origin, profile)).min(2.0);
            if *credit < 1.0 {
                self.rejected += 1;
                return Admission::Rejected(self.retry_after(max_retry_after));
            }
            *credit -= 1.0;
        }
        *self.current_second.admitted.entry(profile).or_default() += 1.0;
        Admission::Admitted
    }

    /// A retry-after within the allowed range. Successive values are a golden-ratio step apart, which spreads them evenly
    /// without repeating any.
    fn retry_after(&self, max_retry_after: Micros) -> Micros {
        if max_retry_after <= MIN_RETRY_AFTER {
            return max_retry_after;
        }
        let position = (self.rejected as f64 * 0.618_033_988_749_895).fract();
        Micros(MIN_RETRY_AFTER.0 + ((max_retry_after.0 - MIN_RETRY_AFTER.0) as f64 * position) as u64)
    }

    /// Counts the end of an admitted command, and whether it was answered within its goal time.
    pub fn on_command_end(&mut self, profile: ProfileId, within_goal: bool) {
        *self.current_second.ended.entry(profile).or_default() += 1.0;
        if within_goal {
            *self.current_second.within_goal.entry(profile).or_default() += 1.0;
        }
    }
}
