//! What operators plan for: sites and their capacity, demand, and round-trip times between sites.

use serde::Deserialize;
use std::collections::{BTreeMap, BTreeSet};

/// A site or a profile, by its index in the plan.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SiteId(pub usize);
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ProfileId(pub usize);

#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Site {
    pub name: String,
    /// Standard commands per second that its backends do when all are warm.
    pub capacity: f64,
}

/// A class of commands.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Profile {
    pub name: String,
    /// Work of one command, in standard commands.
    pub work: f64,
    /// Payoff of an answer within the goal time.
    pub payoff: f64,
    /// Time within which an answer counts.
    pub goal_ms: f64,
    /// Time of an answer within the clients' own site.
    pub answer_ms: f64,
    /// Share of the demand that is admitted even if other profiles have a higher payoff density.
    #[serde(default)]
    pub floor: f64,
}

impl Profile {
    /// Payoff per unit of work.
    pub fn density(&self) -> f64 {
        self.payoff / self.work
    }
}

/// Demand in commands per second.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct DemandRate {
    pub usual: f64,
    pub peak: f64,
}

/// Which demand to plan for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadLevel {
    Usual,
    Peak,
}

/// A checked plan.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    pub sites: Vec<Site>,
    pub profiles: Vec<Profile>,
    demand_rates: BTreeMap<(SiteId, ProfileId), DemandRate>,
    /// Round-trip time in milliseconds between sites; without an entry there is no path.
    round_trips_ms: BTreeMap<(SiteId, SiteId), f64>,
    /// Share of each site's capacity that is kept free.
    pub headroom: f64,
    /// Share of each site's capacity that is reserved for its own clients while they need it.
    pub own_share: f64,
}

/// The file's form of a plan.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct PlanFile {
    #[serde(default = "default_headroom")]
    headroom: f64,
    #[serde(default = "default_own_share")]
    own: f64,
    sites: Vec<Site>,
    profiles: Vec<Profile>,
    demand: Vec<DemandEntry>,
    #[serde(default)]
    ways: Vec<PathEntry>,
}

/// Default headroom: plans are typically wrong by a tenth before anybody notices.
fn default_headroom() -> f64 {
    0.1
}

fn default_own_share() -> f64 {
    0.5
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct DemandEntry {
    site: String,
    profile: String,
    usual: f64,
    highest: f64,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct PathEntry {
    from: String,
    to: String,
    /// Round-trip time in milliseconds, valid in the other direction too unless that has an entry of its own.
    ms: f64,
}

impl Plan {
    /// Reads and checks a plan; an error names the line or the key.
    pub fn from_toml(text: &str) -> Result<Plan, String> {
        let file: PlanFile = toml::from_str(text).map_err(|error| {
            let line = error.span().map_or(0, |at| text[..at.start].matches('\n').count() + 1);
            format!("line {line}: {}", error.message().lines().next().unwrap_or_default())
        })?;
        let check_range = |key: String, value: f64, min: f64, max: f64| match (min..=max).contains(&value) {
            true => Ok(()),
            false => Err(format!("{key} must be between {min} and {max}, but is {value}")),
        };
        check_range("headroom".into(), file.headroom, 0.0, 0.9)?;
        check_range("own".into(), file.own, 0.0, 1.0)?;
        if file.sites.len() < 2 {
            return Err("sites: at least two are needed".to_owned());
        }
        let mut names = BTreeSet::new();
        for (i, site) in file.sites.iter().enumerate() {
            check_range(format!("sites[{i}].capacity"), site.capacity, 0.001, 1e9)?;
            if !names.insert(&site.name) {
                return Err(format!("sites[{i}].name: {:?} is duplicated", site.name));
            }
        }
        let mut names = BTreeSet::new();
        for (i, profile) in file.profiles.iter().enumerate() {
            let key = |name: &str| format!("profiles[{i}].{name}");
            check_range(key("work"), profile.work, 1e-6, 1e6)?;
            check_range(key("payoff"), profile.payoff, 0.0, 1e9)?;
            check_range(key("goal_ms"), profile.goal_ms, 0.1, 1e7)?;
            check_range(key("answer_ms"), profile.answer_ms, 0.0, profile.goal_ms)?;
            check_range(key("floor"), profile.floor, 0.0, 1.0)?;
            if !names.insert(&profile.name) {
                return Err(format!("profiles[{i}].name: {:?} is duplicated", profile.name));
            }
        }
        let site = |key: String, name: &str| {
            let found = file.sites.iter().position(|site| site.name == name).map(SiteId);
            found.ok_or_else(|| format!("{key}: no site is named {name:?}"))
        };
        let mut demand_rates = BTreeMap::new();
        for (i, demand) in file.demand.iter().enumerate() {
            let key = |name: &str| format!("demand[{i}].{name}");
            let profile =
                file.profiles.iter().position(|profile| profile.name == demand.profile).map(ProfileId);
            let profile = profile
                .ok_or_else(|| format!("{}: no profile is named {:?}", key("profile"), demand.profile))?;
            check_range(key("usual"), demand.usual, 0.0, 1e9)?;
            check_range(key("highest"), demand.highest, demand.usual, 1e9)?;
            let entry = (site(key("site"), &demand.site)?, profile);
            let (usual, highest) = (demand.usual, demand.highest);
            if demand_rates.insert(entry, DemandRate { usual, peak: highest }).is_some() {
                return Err(format!(
                    "{}: {} of {} is duplicated",
                    key("profile"),
                    demand.profile,
                    demand.site
                ));
            }
        }
        let mut round_trips_ms = BTreeMap::new();
        for (i, path) in file.ways.iter().enumerate() {
            let key = |name: &str| format!("ways[{i}].{name}");
            check_range(key("ms"), path.ms, 0.0, 1e7)?;
            let (from, to) = (site(key("from"), &path.from)?, site(key("to"), &path.to)?);
            if from == to || round_trips_ms.insert((from, to), path.ms).is_some() {
                return Err(format!(
                    "{}: the path from {} to {} is duplicated or stays in one site",
                    key("to"),
                    path.from,
                    path.to
                ));
            }
        }
        for ((from, to), ms) in round_trips_ms.clone() {
            round_trips_ms.entry((to, from)).or_insert(ms);
        }
        let PlanFile { sites, profiles, headroom, own, .. } = file;
        Ok(Plan { sites, profiles, demand_rates, round_trips_ms, headroom, own_share: own })
    }

    pub fn site_ids(&self) -> impl Iterator<Item = SiteId> + use<> {
        (0..self.sites.len()).map(SiteId)
    }

    pub fn profile_ids(&self) -> impl Iterator<Item = ProfileId> + use<> {
        (0..self.profiles.len()).map(ProfileId)
    }

    pub fn site(&self, id: SiteId) -> &Site {
        &self.sites[id.0]
    }

    pub fn profile(&self, id: ProfileId) -> &Profile {
        &self.profiles[id.0]
    }

    /// Commands per second of a site's own clients.
    pub fn demand(&self, site: SiteId, profile: ProfileId, load_level: LoadLevel) -> f64 {
        let rate = self.demand_rates.get(&(site, profile)).copied().unwrap_or_default();
        match load_level {
            LoadLevel::Usual => rate.usual,
            LoadLevel::Peak => rate.peak,
        }
    }

    /// Work that a site may be assigned, in standard commands per second.
    pub fn usable_capacity(&self, site: SiteId) -> f64 {
        self.site(site).capacity * (1.0 - self.headroom)
    }

    /// Whether a command of that site's clients can be answered there within its goal time. Without a stated path it
    /// cannot.
    pub fn can_serve(&self, from: SiteId, to: SiteId, profile: ProfileId) -> bool {
        let round_trip_ms =
            if from == to { Some(0.0) } else { self.round_trips_ms.get(&(from, to)).copied() };
        let profile = self.profile(profile);
        round_trip_ms.is_some_and(|ms| ms + profile.answer_ms <= profile.goal_ms)
    }
}
