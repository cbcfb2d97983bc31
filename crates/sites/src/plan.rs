//! What the operators know beforehand: sites and what they can do, what is asked of them, what the ways cost.

use serde::Deserialize;
use std::collections::{BTreeMap, BTreeSet};

/// A site or a profile, by its place in the plan.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SiteId(pub usize);
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ProfileId(pub usize);

#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Site {
    pub name: String,
    /// Standard commands a second that its backends do, all of them warm.
    pub capacity: f64,
}

#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Profile {
    pub name: String,
    /// Of a standard command.
    pub work: f64,
    pub payoff: f64,
    /// Within which an answer counts, and what one takes at home, in milliseconds.
    pub goal_ms: f64,
    pub answer_ms: f64,
    /// Of what is asked for, so much is let in whatever is dearer.
    #[serde(default)]
    pub floor: f64,
}

impl Profile {
    /// Payoff for each unit of work.
    pub fn density(&self) -> f64 {
        self.payoff / self.work
    }
}

/// Commands a second.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct DemandRate {
    pub usual: f64,
    pub highest: f64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadLevel {
    Usual,
    Peak,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    pub sites: Vec<Site>,
    pub profiles: Vec<Profile>,
    asked: BTreeMap<(SiteId, ProfileId), DemandRate>,
    ways: BTreeMap<(SiteId, SiteId), f64>,
    /// Of each site's capacity: kept free, and kept for its own clients where they ask for it.
    pub headroom: f64,
    pub own_share: f64,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct File {
    #[serde(default = "headroom")]
    headroom: f64,
    #[serde(default = "own")]
    own: f64,
    sites: Vec<Site>,
    profiles: Vec<Profile>,
    demand: Vec<Demand>,
    #[serde(default)]
    ways: Vec<Way>,
}

/// A plan is off by a tenth before anybody looks.
fn headroom() -> f64 {
    0.1
}

fn own() -> f64 {
    0.5
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Demand {
    site: String,
    profile: String,
    usual: f64,
    highest: f64,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Way {
    from: String,
    to: String,
    /// There and back, in milliseconds; the same in the other direction unless that is said too.
    ms: f64,
}

impl Plan {
    /// Reads and checks it; an error names the line or the key.
    pub fn from_toml(text: &str) -> Result<Plan, String> {
        let file: File = toml::from_str(text).map_err(|error| {
            let line = error.span().map_or(0, |at| text[..at.start].matches('\n').count() + 1);
            format!("line {line}: {}", error.message().lines().next().unwrap_or_default())
        })?;
        let within = |key: String, value: f64, least: f64, most: f64| match (least..=most).contains(&value) {
            true => Ok(()),
            false => Err(format!("{key} has to be from {least} to {most}, and is {value}")),
        };
        within("headroom".into(), file.headroom, 0.0, 0.9)?;
        within("own".into(), file.own, 0.0, 1.0)?;
        if file.sites.len() < 2 {
            return Err("sites: there have to be two at least".to_owned());
        }
        let mut names = BTreeSet::new();
        for (i, site) in file.sites.iter().enumerate() {
            within(format!("sites[{i}].capacity"), site.capacity, 0.001, 1e9)?;
            if !names.insert(&site.name) {
                return Err(format!("sites[{i}].name: {:?} is there twice", site.name));
            }
        }
        let mut names = BTreeSet::new();
        for (i, profile) in file.profiles.iter().enumerate() {
            let key = |name: &str| format!("profiles[{i}].{name}");
            within(key("work"), profile.work, 1e-6, 1e6)?;
            within(key("payoff"), profile.payoff, 0.0, 1e9)?;
            within(key("goal_ms"), profile.goal_ms, 0.1, 1e7)?;
            within(key("answer_ms"), profile.answer_ms, 0.0, profile.goal_ms)?;
            within(key("floor"), profile.floor, 0.0, 1.0)?;
            if !names.insert(&profile.name) {
                return Err(format!("profiles[{i}].name: {:?} is there twice", profile.name));
            }
        }
        let site = |key: String, name: &str| {
            let found = file.sites.iter().position(|site| site.name == name).map(SiteId);
            found.ok_or_else(|| format!("{key}: there is no site {name:?}"))
        };
        let mut asked = BTreeMap::new();
        for (i, demand) in file.demand.iter().enumerate() {
            let key = |name: &str| format!("demand[{i}].{name}");
            let profile =
                file.profiles.iter().position(|profile| profile.name == demand.profile).map(ProfileId);
            let profile = profile
                .ok_or_else(|| format!("{}: there is no profile {:?}", key("profile"), demand.profile))?;
            within(key("usual"), demand.usual, 0.0, 1e9)?;
            within(key("highest"), demand.highest, demand.usual, 1e9)?;
            let place = (site(key("site"), &demand.site)?, profile);
            let (usual, highest) = (demand.usual, demand.highest);
            if asked.insert(place, DemandRate { usual, highest }).is_some() {
                return Err(format!(
                    "{}: {} of {} is there twice",
                    key("profile"),
                    demand.profile,
                    demand.site
                ));
            }
        }
        let mut ways = BTreeMap::new();
        for (i, way) in file.ways.iter().enumerate() {
            let key = |name: &str| format!("ways[{i}].{name}");
            within(key("ms"), way.ms, 0.0, 1e7)?;
            let (from, to) = (site(key("from"), &way.from)?, site(key("to"), &way.to)?);
            if from == to || ways.insert((from, to), way.ms).is_some() {
                return Err(format!(
                    "{}: from {} to {} is there twice, or no way",
                    key("to"),
                    way.from,
                    way.to
                ));
            }
        }
        for ((from, to), ms) in ways.clone() {
            ways.entry((to, from)).or_insert(ms);
        }
        let File { sites, profiles, headroom, own, .. } = file;
        Ok(Plan { sites, profiles, asked, ways, headroom, own_share: own })
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

    /// Commands a second of a site's own clients.
    pub fn demand(&self, site: SiteId, profile: ProfileId, hour: LoadLevel) -> f64 {
        let asked = self.asked.get(&(site, profile)).copied().unwrap_or_default();
        match hour {
            LoadLevel::Usual => asked.usual,
            LoadLevel::Peak => asked.highest,
        }
    }

    /// What a site may be given, in standard commands a second.
    pub fn usable_capacity(&self, site: SiteId) -> f64 {
        self.site(site).capacity * (1.0 - self.headroom)
    }

    /// Whether a command of that site's clients can make its goal time there. No way that is told is no way at all.
    pub fn can_serve(&self, from: SiteId, to: SiteId, profile: ProfileId) -> bool {
        let way = if from == to { Some(0.0) } else { self.ways.get(&(from, to)).copied() };
        let profile = self.profile(profile);
        way.is_some_and(|ms| ms + profile.answer_ms <= profile.goal_ms)
    }
}
