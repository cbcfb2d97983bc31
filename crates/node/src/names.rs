//! Maps names on the wire to the ids that the balancer uses. An id keeps its meaning while the process runs:
//! a reload may reorder names, change what they stand for or remove them while commands and backends still
//! refer to the earlier ones.

use yarrowfront::ids::ProfileId;
use yarrowfront::settings::{Profile, Settings};

/// The names of the present settings with their ids.
pub struct Names {
    /// All zones and backend types since the start, indexed by id.
    pub zones: Vec<String>,
    pub backend_types: Vec<String>,
    /// The profiles that new commands may have.
    pub profiles: Vec<(String, ProfileId)>,
    /// All profiles since the start, indexed by id; a profile that has changed gets a new id.
    all_profiles: Vec<(String, Profile)>,
    /// The fields of a load report in their order, and the revision of the settings that define it.
    pub report_fields: Vec<String>,
    pub revision: u32,
}

/// Appends new names to those that have ids already.
fn append_new(existing: &[String], new: &[String], max: usize, path: &str) -> Result<Vec<String>, String> {
    let mut all = existing.to_vec();
    all.extend(new.iter().filter(|name| !existing.contains(name)).cloned());
    match all.len() > max {
        true => Err(format!("{path}: more than {max} names since the start")),
        false => Ok(all),
    }
}

impl Names {
    /// The names of the first settings, with ids in the order of the file.
    pub fn new(
        zones: Vec<String>,
        backend_types: Vec<String>,
        profiles: Vec<String>,
        report_fields: Vec<String>,
        settings: &Settings,
    ) -> Names {
        let all_profiles: Vec<_> = profiles.iter().cloned().zip(settings.profiles.iter().cloned()).collect();
        let id = |(index, name): (usize, String)| (name, ProfileId(index as u16));
        let profiles = profiles.into_iter().enumerate().map(id).collect();
        Names { zones, backend_types, profiles, all_profiles, report_fields, revision: 0 }
    }

    /// All profiles since the start.
    pub fn all_profiles(&self) -> impl Iterator<Item = &Profile> {
        self.all_profiles.iter().map(|(_, profile)| profile)
    }

    /// Merges the names and settings of a reloaded file, keeping the ids that are assigned already.
    pub fn merged_with(&self, new: &Names, mut settings: Settings) -> Result<(Names, Settings), String> {
        let zones = append_new(&self.zones, &new.zones, 1 << 16, "settings.zones")?;
        let backend_types = append_new(&self.backend_types, &new.backend_types, 1 << 8, "settings.flavors")?;
        let own_zone = new.zones.get(usize::from(settings.zone));
        let own_zone = own_zone.and_then(|name| zones.iter().position(|z| z == name));
        settings.zone = own_zone.unwrap_or(usize::from(settings.zone)) as u16;
        let (mut all_profiles, mut profiles) = (self.all_profiles.clone(), Vec::new());
        for profile in &new.all_profiles {
            let index = all_profiles.iter().position(|k| k == profile).unwrap_or_else(|| {
                all_profiles.push(profile.clone());
                all_profiles.len() - 1
            });
            let id = u16::try_from(index).map_err(|_| "settings.profiles: too many since the start")?;
            profiles.push((profile.0.clone(), ProfileId(id)));
        }
        settings.profiles = all_profiles.iter().map(|(_, profile)| profile.clone()).collect();
        let (report_fields, revision) = (new.report_fields.clone(), self.revision + 1);
        Ok((Names { zones, backend_types, profiles, all_profiles, report_fields, revision }, settings))
    }

    /// The name and the definition of a profile id.
    pub fn definition(&self, id: ProfileId) -> Option<(&str, &Profile)> {
        self.all_profiles.get(usize::from(id.0)).map(|(name, profile)| (name.as_str(), profile))
    }

    /// The profile that new commands with this name get.
    pub fn find_profile(&self, name: &str) -> Option<(ProfileId, &Profile)> {
        let (_, id) = self.profiles.iter().find(|(n, _)| n == name)?;
        Some((*id, &self.all_profiles[usize::from(id.0)].1))
    }
}

#[cfg(test)]
mod tests {
    use super::Names;
    use serde_json::json;
    use yarrowfront::ids::ProfileId;
    use yarrowfront::settings::Settings;

    fn file(
        zone: u16,
        zones: [&str; 2],
        backend_types: [&str; 2],
        profiles: &[(&str, u64)],
    ) -> (Names, Settings) {
        let profile = |(name, goal): &(&str, u64)| {
            json!({"name": name, "goalTime": goal * 1000, "timeLimit": 500_000_000,
            "idempotency": "repeatable", "payoff": 1.0})
        };
        let json = json!({"balancers": 1, "zone": zone, "discovery": "ask", "limits": {"mostLaunches": 4},
            "profiles": profiles.iter().map(profile).collect::<Vec<_>>(),
            "guarantees": {"startCapacity": 0.2, "warmWithin": 1, "tipMultiple": 4.0, "fall": 1}});
        let settings = Settings::from_json(json.to_string().as_bytes()).expect("good settings");
        let [zones, backend_types] = [zones, backend_types].map(|names| names.map(String::from).to_vec());
        let profiles = profiles.iter().map(|(name, _)| (*name).to_owned()).collect();
        (Names::new(zones, backend_types, profiles, Vec::new(), &settings), settings)
    }

    /// If ids were positions in the file, any reordering would end commands in flight by the rules of
    /// another profile and move backends to another zone. Reloading the former file must restore its ids.
    #[test]
    fn ids_survive_a_reload_that_reorders_names() {
        let (first, settings) = file(0, ["a", "b"], ["x", "y"], &[("read", 200), ("pay", 300)]);
        let (second, other) = file(1, ["c", "a"], ["y", "z"], &[("pay", 300), ("read", 250), ("new", 100)]);
        let (names, now) = first.merged_with(&second, other).expect("good");
        assert_eq!(names.zones, ["a", "b", "c"]);
        assert_eq!(names.backend_types, ["x", "y", "z"]);
        assert_eq!((now.zone, now.profiles.len(), names.revision), (0, 4, 1));
        let id = |names: &Names, name: &str| names.find_profile(name).map(|(id, _)| id.0);
        assert_eq!(["read", "pay", "new"].map(|n| id(&names, n)), [Some(2), Some(1), Some(3)]);
        assert_eq!(now.profiles[0], settings.profiles[0], "what came in under the first stays by it");
        let (back, again) = names.merged_with(&first, settings).expect("good");
        assert_eq!(["read", "pay", "new"].map(|n| id(&back, n)), [Some(0), Some(1), None]);
        assert_eq!((again.profiles.len(), back.profiles[1].1), (4, ProfileId(1)));
    }
}
