//! Names on the sockets and the ids that the module knows them by. An id stays what it is for as long as the
//! process runs: other settings may bring their names in another order, change them or leave them out, while
//! commands and backends are still held by the earlier ones.

use yarrowfront::ids::ProfileId;
use yarrowfront::settings::{Profile, Settings};

pub struct Names {
    /// Every zone and kind that there has been, by id.
    pub zones: Vec<String>,
    pub kinds: Vec<String>,
    /// Profiles that commands may come in under now.
    pub profiles: Vec<(String, ProfileId)>,
    /// Every one that there has been, by id; one that has changed is another.
    known: Vec<(String, Profile)>,
    /// The fields of a load report in their order, and the number of the settings that say so.
    pub report: Vec<String>,
    pub turn: u32,
}

/// Each name's place among all that there have been.
fn union(known: &[String], new: &[String], most: usize, path: &str) -> Result<Vec<String>, String> {
    let mut all = known.to_vec();
    all.extend(new.iter().filter(|name| !known.contains(name)).cloned());
    match all.len() > most {
        true => Err(format!("{path}: more than {most} names since the start")),
        false => Ok(all),
    }
}

impl Names {
    pub fn new(
        zones: Vec<String>,
        kinds: Vec<String>,
        profiles: Vec<String>,
        report: Vec<String>,
        terms: &Settings,
    ) -> Names {
        let known: Vec<_> = profiles.iter().cloned().zip(terms.profiles.iter().cloned()).collect();
        let id = |(place, name): (usize, String)| (name, ProfileId(place as u16));
        let profiles = profiles.into_iter().enumerate().map(id).collect();
        Names { zones, kinds, profiles, known, report, turn: 0 }
    }

    /// Names and terms of a new file, with the ids that stand already.
    pub fn followed_by(&self, new: &Names, mut terms: Settings) -> Result<(Names, Settings), String> {
        let zones = union(&self.zones, &new.zones, 1 << 16, "settings.zones")?;
        let kinds = union(&self.kinds, &new.kinds, 1 << 8, "settings.flavors")?;
        let own = new.zones.get(usize::from(terms.zone));
        let own = own.and_then(|name| zones.iter().position(|z| z == name));
        terms.zone = own.unwrap_or(usize::from(terms.zone)) as u16;
        let (mut known, mut profiles) = (self.known.clone(), Vec::new());
        for profile in &new.known {
            let place = known.iter().position(|k| k == profile).unwrap_or_else(|| {
                known.push(profile.clone());
                known.len() - 1
            });
            let id = u16::try_from(place).map_err(|_| "settings.profiles: too many since the start")?;
            profiles.push((profile.0.clone(), ProfileId(id)));
        }
        terms.profiles = known.iter().map(|(_, profile)| profile.clone()).collect();
        let (report, turn) = (new.report.clone(), self.turn + 1);
        Ok((Names { zones, kinds, profiles, known, report, turn }, terms))
    }

    /// What an id stands for.
    pub fn known(&self, id: ProfileId) -> Option<(&str, &Profile)> {
        self.known.get(usize::from(id.0)).map(|(name, profile)| (name.as_str(), profile))
    }

    pub fn profile(&self, name: &str) -> Option<(ProfileId, &Profile)> {
        let (_, id) = self.profiles.iter().find(|(n, _)| n == name)?;
        Some((*id, &self.known[usize::from(id.0)].1))
    }
}

#[cfg(test)]
mod tests {
    use super::Names;
    use serde_json::json;
    use yarrowfront::ids::ProfileId;
    use yarrowfront::settings::Settings;

    fn file(zone: u16, zones: [&str; 2], kinds: [&str; 2], profiles: &[(&str, u64)]) -> (Names, Settings) {
        let profile = |(name, goal): &(&str, u64)| {
            json!({"name": name, "goalTime": goal * 1000, "timeLimit": 500_000_000,
            "idempotency": "repeatable", "payoff": 1.0})
        };
        let json = json!({"balancers": 1, "zone": zone, "discovery": "ask", "limits": {"mostLaunches": 4},
            "profiles": profiles.iter().map(profile).collect::<Vec<_>>(),
            "guarantees": {"startCapacity": 0.2, "warmWithin": 1, "tipMultiple": 4.0, "fall": 1}});
        let terms = Settings::from_json(json.to_string().as_bytes()).expect("good settings");
        let [zones, kinds] = [zones, kinds].map(|names| names.map(String::from).to_vec());
        let profiles = profiles.iter().map(|(name, _)| (*name).to_owned()).collect();
        (Names::new(zones, kinds, profiles, Vec::new(), &terms), terms)
    }

    /// With places for ids a command in hand would end by another profile's rules, and a backend would move to
    /// another zone, whenever a file has them in another order. There and back, all is as it was.
    #[test]
    fn ids_stay_when_names_move() {
        let (first, terms) = file(0, ["a", "b"], ["x", "y"], &[("read", 200), ("pay", 300)]);
        let (second, other) = file(1, ["c", "a"], ["y", "z"], &[("pay", 300), ("read", 250), ("new", 100)]);
        let (names, now) = first.followed_by(&second, other).expect("good");
        assert_eq!(names.zones, ["a", "b", "c"]);
        assert_eq!(names.kinds, ["x", "y", "z"]);
        assert_eq!((now.zone, now.profiles.len(), names.turn), (0, 4, 1));
        let id = |names: &Names, name: &str| names.profile(name).map(|(id, _)| id.0);
        assert_eq!(["read", "pay", "new"].map(|n| id(&names, n)), [Some(2), Some(1), Some(3)]);
        assert_eq!(now.profiles[0], terms.profiles[0], "what came in under the first stays by it");
        let (back, again) = names.followed_by(&first, terms).expect("good");
        assert_eq!(["read", "pay", "new"].map(|n| id(&back, n)), [Some(0), Some(1), None]);
        assert_eq!((again.profiles.len(), back.profiles[1].1), (4, ProfileId(1)));
    }
}
