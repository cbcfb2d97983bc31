//! All of it at one node: what is known of each site, what is let in here, and how this site comes back.
//!
//! What it promises: while every site is whole, or no loss is known, everything is let in; who is turned back is told a
//! time to come back that others are not told too; what was let in once is counted once, however it ends.

use crate::detection::{Evidence, Knowing, State, Times, Why, Word};
use crate::failover::{Gate, Second, Whose};
use crate::plan::{Plan, ProfileId, SiteId};
use crate::return_ramp::Coming;
use std::collections::BTreeMap;
use yarrowfront::times::{Moment, Span};

/// Of this site's backends so many just started: it comes back as a whole, and not by a deploy.
const COLD: f64 = 0.5;
/// The least time that anybody is told to stay away.
const LEAST: Span = Span::millis(500);
/// A second's length, between two steps of what is let in.
const SECOND: Span = Span::millis(1000);

/// Whether a command may come in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Said {
    In,
    /// To come back after that time; the deployment may not let it be told.
    Back(Span),
}

/// What a look finds, site by site in the plan's order.
#[derive(Clone, Debug, Default)]
pub struct Look {
    pub evidence: Vec<Evidence>,
    /// Nodes of this site that share its clients, this one among them.
    pub beside: u32,
    /// This node has just begun, in a fleet whose other sites have been there for longer.
    pub joined: bool,
    /// Of this site's listed backends, the share that has just started.
    pub cold: f64,
}

/// A site's state is another one.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Change {
    pub site: SiteId,
    pub state: State,
    pub why: Why,
    pub evidence: Evidence,
}

#[derive(Clone, Debug)]
pub struct Door {
    pub plan: Plan,
    own: SiteId,
    sites: Vec<Knowing>,
    gate: Gate,
    coming: Coming,
    beside: u32,
    credits: BTreeMap<(bool, ProfileId), f64>,
    second: Second,
    second_at: Moment,
    turned_back: u64,
    /// Since when something has been in force: clients that were here before are own ones.
    pub since: Option<Moment>,
}

impl Door {
    /// At a node of that site.
    pub fn new(now: Moment, plan: Plan, own: SiteId, times: Times) -> Door {
        let sites = plan.site_ids().map(|_| Knowing::new(now, times)).collect();
        let gate = Gate::new(&plan, plan.room(own));
        let (credits, second, turned_back, since) = Default::default();
        let coming = Coming::whole(now);
        Door {
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
            since,
        }
    }

    /// Goes by another plan of the same sites and profiles; what is known stays.
    pub fn follow(&mut self, plan: Plan) -> Result<(), String> {
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

    pub fn knows(&self, site: SiteId) -> &Knowing {
        &self.sites[site.0]
    }

    pub fn own(&self) -> SiteId {
        self.own
    }

    /// Whether a loss or a return is going on, so that not everything is let in.
    pub fn in_force(&self) -> bool {
        let elsewhere = self.plan.site_ids().filter(|site| *site != self.own);
        let mut away = elsewhere.map(|site| self.sites[site.0].state);
        away.any(|state| !state.takes() || state == State::Returning) || self.coming.share() < 1.0
    }

    /// What is let in of a profile's commands, as a share.
    pub fn share(&self, whose: Whose, profile: ProfileId) -> f64 {
        self.gate.share(whose, profile)
    }

    /// What is taken for this node's room, in standard commands a second, and how much of it is open on a return.
    pub fn room(&self) -> (f64, f64) {
        (self.gate.room, self.coming.share())
    }

    pub fn turned_back(&self) -> u64 {
        self.turned_back
    }

    pub fn declare(&mut self, now: Moment, site: SiteId, word: Word) {
        self.sites[site.0].declare(now, word);
    }

    /// Takes in a look. What has changed is returned, for the log.
    pub fn look(&mut self, now: Moment, look: &Look) -> Vec<Change> {
        let mut changes = Vec::new();
        for (place, evidence) in look.evidence.iter().enumerate().take(self.sites.len()) {
            let site = SiteId(place);
            if site == self.own {
                continue;
            }
            let knowing = &mut self.sites[place];
            // How a return is paced is the returned site's own business: it is through when that says so, by answering.
            if knowing.state == State::Returning {
                knowing.returned();
            }
            if knowing.look(now, evidence) {
                changes.push(Change { site, state: knowing.state, why: knowing.why, evidence: *evidence });
            }
        }
        // A site whose backends have all just started comes back cold, and its clients come at once.
        // In a deploy its nodes stay, and when all sites begin there is nobody who carried the load.
        if look.joined && look.cold >= COLD && self.coming.share() >= 1.0 && self.coming.tries() == 0 {
            self.coming.begin(now);
        }
        if look.cold < COLD && self.coming.share() >= 1.0 {
            self.coming.settled();
        }
        self.beside = look.beside.max(1);
        self.tick(now);
        self.since = match self.in_force() {
            true => self.since.or(Some(now)),
            false => None,
        };
        changes
    }

    fn tick(&mut self, now: Moment) {
        let span = now.since(self.second_at);
        if span < SECOND {
            return;
        }
        self.second_at = now;
        let mut second = std::mem::take(&mut self.second);
        let per = 1e6 / span.micros();
        let all = second.asked.iter_mut().chain([&mut second.let_in, &mut second.ended, &mut second.in_goal]);
        all.flat_map(BTreeMap::values_mut).for_each(|count| *count *= per);
        let sum = |of: &BTreeMap<ProfileId, f64>| of.values().sum::<f64>();
        let (answered, good) = (sum(&second.ended) / per, sum(&second.in_goal) / per);
        self.coming.saw(now, answered, good);
        let share = self.coming.share().max(0.01);
        self.gate.planned(self.plan.room(self.own) / f64::from(self.beside) * share);
        self.gate.saw(&self.plan, &second, self.in_force());
    }

    /// A command asks to come in. `longest` is the longest time that may be told, none for not at all.
    pub fn ask(&mut self, whose: Whose, profile: ProfileId, longest: Span) -> Said {
        let guest = whose == Whose::Guest;
        *self.second.asked[usize::from(guest)].entry(profile).or_default() += 1.0;
        if self.in_force() {
            let credit = self.credits.entry((guest, profile)).or_insert(1.0);
            *credit = (*credit + self.gate.share(whose, profile)).min(2.0);
            if *credit < 1.0 {
                self.turned_back += 1;
                return Said::Back(self.come_back(longest));
            }
            *credit -= 1.0;
        }
        *self.second.let_in.entry(profile).or_default() += 1.0;
        Said::In
    }

    /// Evenly over the time that may be told, each a place of its own: by steps of the golden part.
    fn come_back(&self, longest: Span) -> Span {
        if longest <= LEAST {
            return longest;
        }
        let part = (self.turned_back as f64 * 0.618_033_988_749_895).fract();
        Span(LEAST.0 + ((longest.0 - LEAST.0) as f64 * part) as u64)
    }

    /// A command that was let in has its end; whether with its answer, and that within its goal time.
    pub fn ended(&mut self, profile: ProfileId, in_goal: bool) {
        *self.second.ended.entry(profile).or_default() += 1.0;
        if in_goal {
            *self.second.in_goal.entry(profile).or_default() += 1.0;
        }
    }
}
