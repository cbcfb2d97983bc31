//! What a deployment states at start: read once, kept as plain values.

use crate::times::Micros;
use serde_json::Value;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    Repeatable,
    ByKey,
    Once,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DedupScope {
    All,
    Zone,
    Group,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Profile {
    pub goal_time: Micros,
    pub time_limit: Micros,
    pub idempotency: Idempotency,
    pub dedup_scope: DedupScope,
    pub dedup_window: Micros,
    pub payoff: f64,
}

/// Launches of one node beyond each command's first: in any window at most so many, and a share of the
/// commands that it took in the same time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudget {
    pub spare_launches: f64,
    pub launches_per_command: f64,
    pub window: Micros,
}

#[derive(Clone, Debug, Default)]
pub struct Settings {
    pub node_count: u32,
    /// Which of them this one is.
    pub node_index: u32,
    pub zone: u16,
    pub profiles: Vec<Profile>,
    pub payoff_is_per_work: bool,
    pub list_is_requested: bool,
    pub list_request_interval: Micros,
    pub probes_allowed: bool,
    /// Where a load report holds the commands in flight and those queued.
    pub report_in_flight_index: Option<usize>,
    pub report_queue_index: Option<usize>,
    /// And how busy its cores are.
    pub report_utilization_index: Option<usize>,
    /// Reports come with answers, not with probes alone.
    pub reports_piggybacked: bool,
    /// The list gives each backend's size over one more than it holds for each core.
    pub weights_are_live: bool,
    pub max_launches: usize,
    /// Whether two launches of a command may be out at a time.
    pub concurrent_launches_allowed: bool,
    pub cancel_supported: bool,
    /// A backend that met a key lately has less work with it.
    pub key_affinity: bool,
    /// How long a connection without a launch stays open.
    pub connection_idle_timeout: Micros,
    pub max_retry_after: Micros,
    pub probe_penalty: f64,
    pub cross_zone_penalty: f64,
    pub connection_penalty: f64,
    pub initial_capacity: f64,
    pub warm_up_time: Micros,
    pub collapse_load_multiple: f64,
    pub collapse_window: Micros,
    /// For so long after it is known that a backend drains or is gone, it may still be sent to.
    pub drain_grace: Micros,
    /// Where one is stated.
    pub retry_budget: Option<RetryBudget>,
    /// A backend that says that it is full may have run the command all the same.
    pub full_may_have_run: bool,
    /// A backend that is listed as gone, or left out, without having drained may still be sent to.
    pub only_draining_is_binding: bool,
    /// The weight of the nines in what service is judged by, and how many of them count in full.
    pub log_loss_weight: f64,
    pub max_nines: f64,
}

/// Walks down a JSON object and names the key in whatever goes wrong.
struct Key<'a> {
    value: &'a Value,
    path: String,
}

impl<'a> Key<'a> {
    fn maybe(&self, name: &str) -> Option<Key<'a>> {
        let value = self.value.get(name).filter(|v| !v.is_null())?;
        let dot = if self.path.is_empty() { "" } else { "." };
        Some(Key { value, path: format!("{}{dot}{name}", self.path) })
    }

    fn at(&self, name: &str) -> Result<Key<'a>, String> {
        let dot = if self.path.is_empty() { "" } else { "." };
        self.maybe(name).ok_or_else(|| format!("settings: {}{dot}{name} is missing", self.path))
    }

    fn number(&self, low: f64, high: f64) -> Result<f64, String> {
        let n = self.value.as_f64().ok_or_else(|| format!("settings: {} is not a number", self.path))?;
        if (low..=high).contains(&n) {
            Ok(n)
        } else {
            Err(format!("settings: {} is out of its range: {n}", self.path))
        }
    }

    /// Nanoseconds on the wire, rounded down: every use is the shorter the safer, bar those that say so.
    fn span(&self) -> Result<Micros, String> {
        Ok(Micros((self.number(0.0, 1e18)? / 1000.0) as u64))
    }

    fn flag(&self) -> Result<bool, String> {
        self.value.as_bool().ok_or_else(|| format!("settings: {} is not true or false", self.path))
    }

    fn one_of<T: Copy>(&self, words: &[(&str, T)]) -> Result<T, String> {
        let word = self.value.as_str().unwrap_or_default();
        let found = words.iter().find(|(w, _)| *w == word);
        found.map(|(_, t)| *t).ok_or_else(|| format!("settings: {} has an unknown value", self.path))
    }

    fn items(&self) -> Result<Vec<Key<'a>>, String> {
        let list = self.value.as_array().ok_or_else(|| format!("settings: {} is not a list", self.path))?;
        let item = |(i, value)| Key { value, path: format!("{}[{i}]", self.path) };
        Ok(list.iter().enumerate().map(item).collect())
    }
}

const HUGE: f64 = 1e15;

fn profile(key: &Key) -> Result<Profile, String> {
    let effects = [
        ("repeatable", Idempotency::Repeatable),
        ("by_key", Idempotency::ByKey),
        ("once", Idempotency::Once),
    ];
    let effect = key.at("idempotency")?.one_of(&effects)?;
    let among = [("all", DedupScope::All), ("zone", DedupScope::Zone), ("cell", DedupScope::Group)];
    let tagged = effect == Idempotency::ByKey;
    Ok(Profile {
        goal_time: key.at("goalTime")?.span()?,
        time_limit: key.at("timeLimit")?.span()?,
        idempotency: effect,
        dedup_scope: if tagged { key.at("group")?.one_of(&among)? } else { DedupScope::All },
        dedup_window: if tagged { key.at("memorySpan")?.span()? } else { Micros(0) },
        payoff: key.at("payoff")?.number(0.0, HUGE)?,
    })
}

/// The budget of launches: stated whole or not at all.
fn budget(rules: &Key) -> Result<Option<RetryBudget>, String> {
    let names = ["spareAttempts", "repeatRatio", "extraWindow"];
    if names.iter().all(|name| rules.maybe(name).is_none()) {
        return Ok(None);
    }
    let [spare, ratio, window] = names.map(|name| rules.at(name));
    let window = window?;
    // Rounded up: the longer the stricter.
    let span = Micros(window.span()?.0 + 1);
    if span.0 == 1 {
        return Err(format!("settings: {} is nothing", window.path));
    }
    Ok(Some(RetryBudget {
        spare_launches: spare?.number(0.0, 1e9)?,
        launches_per_command: ratio?.number(0.0, 1e6)?,
        window: span,
    }))
}

impl Settings {
    pub fn from_json(text: &[u8]) -> Result<Settings, String> {
        let value: Value = serde_json::from_slice(text).map_err(|e| format!("settings: not JSON: {e}"))?;
        let top = Key { value: &value, path: String::new() };
        let (limits, rules) = (top.at("limits")?, top.at("guarantees")?);
        let must_ask = top.at("discovery")?.one_of(&[("ask", true), ("push", false)])?;
        let price = |name| match top.maybe("penalties").and_then(|p| p.maybe(name)) {
            Some(key) => key.number(0.0, HUGE),
            None => Ok(0.0),
        };
        let flag = |name| limits.maybe(name).map_or(Ok(false), |key| key.flag());
        let rule = |name| rules.maybe(name).map_or(Ok(false), |key| key.flag());
        let goal = |name, least| match top.maybe("goal").and_then(|g| g.maybe(name)) {
            Some(key) => key.number(least, HUGE),
            None => Ok(0.0),
        };
        let come_back = flag("retryAfter")?;
        let names = match top.maybe("report").and_then(|r| r.maybe("names")) {
            Some(key) => key.items()?.iter().map(|k| k.value.as_str().unwrap_or_default()).collect(),
            None => Vec::new(),
        };
        let hows = [("piggyback", true), ("pull", false), ("silent", false)];
        let reports_come = match top.maybe("report").and_then(|r| r.maybe("how")) {
            Some(key) => key.one_of(&hows)?,
            None => false,
        };
        let place = |name| names.iter().position(|n| *n == name);
        let payoffs = [("request", false), ("work", true)];
        Ok(Settings {
            node_count: top.at("balancers")?.number(0.0, 1e6)? as u32,
            node_index: top.maybe("me").map_or(Ok(0.0), |k| k.number(0.0, 1e6))? as u32,
            zone: top.at("zone")?.number(0.0, 65535.0)? as u16,
            profiles: top.at("profiles")?.items()?.iter().map(profile).collect::<Result<_, _>>()?,
            payoff_is_per_work: top.maybe("payoffPer").map_or(Ok(false), |k| k.one_of(&payoffs))?,
            list_is_requested: must_ask,
            list_request_interval: rules.maybe("askWithin").map_or(Ok(Micros(10_000_000)), |k| k.span())?,
            probes_allowed: flag("mayProbe")?,
            report_in_flight_index: place("outstanding"),
            report_queue_index: place("backlog"),
            report_utilization_index: place("utilization"),
            reports_piggybacked: reports_come,
            weights_are_live: top.maybe("weights").is_some_and(|key| key.value.as_str() == Some("live")),
            max_launches: limits.at("mostLaunches")?.number(1.0, 1e6)? as usize,
            concurrent_launches_allowed: flag("secondCopies")?,
            cancel_supported: flag("cancel")?,
            key_affinity: top
                .maybe("familyInfo")
                .and_then(|f| f.maybe("warmKeys"))
                .map_or(Ok(false), |k| k.flag())?,
            connection_idle_timeout: limits.maybe("connIdle").map_or(Ok(Micros(0)), |key| key.span())?,
            max_retry_after: match come_back {
                true => limits.at("maxRetryAfter")?.span()?,
                false => Micros(0),
            },
            probe_penalty: price("probe")?,
            cross_zone_penalty: price("crossZone")?,
            connection_penalty: price("connection")?,
            initial_capacity: rules.at("startCapacity")?.number(0.0, 1.0)?,
            warm_up_time: Micros(rules.at("warmWithin")?.span()?.0 + 1),
            collapse_load_multiple: rules.at("tipMultiple")?.number(0.0, HUGE)?,
            collapse_window: rules.at("fall")?.span()?,
            drain_grace: rules.maybe("drainGrace").map_or(Ok(Micros(0)), |key| key.span())?,
            retry_budget: budget(&rules)?,
            full_may_have_run: rule("mayShedBegun")?,
            only_draining_is_binding: rule("removalNotBinding")?,
            log_loss_weight: goal("logLossPart", 0.0)?,
            max_nines: goal("topNines", 0.01)?,
        })
    }
}
