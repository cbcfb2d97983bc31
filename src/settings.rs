//! The deployment's settings as typed values, read from JSON at the start and on a reload.

use crate::times::Micros;
use serde_json::Value;

/// Whether a command may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// It may run any number of times.
    Repeatable,
    /// Backends within the dedup scope recognise a repeated command by its idempotency key.
    ByKey,
    /// It must not run twice.
    Once,
}

/// The backends among which an idempotency key is recognised.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DedupScope {
    All,
    Zone,
    Group,
}

/// A class of commands with the same service goal.
#[derive(Clone, Debug, PartialEq)]
pub struct Profile {
    /// Time within which an answer earns the payoff.
    pub goal_time: Micros,
    /// Time after which a client gives up.
    pub time_limit: Micros,
    pub idempotency: Idempotency,
    pub dedup_scope: DedupScope,
    /// How long backends remember an idempotency key.
    pub dedup_window: Micros,
    /// Value of an answer within the goal time; per command, or per unit of work if `payoff_is_per_work`.
    pub payoff: f64,
}

/// Budget of one node for launches beyond each command's first: in any window at most `spare_launches`, plus
/// `launches_per_command` for each command received in it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudget {
    pub spare_launches: f64,
    pub launches_per_command: f64,
    pub window: Micros,
}

#[derive(Clone, Debug, Default)]
pub struct Settings {
    /// Number of nodes that share the backends.
    pub node_count: u32,
    /// Index of this node among them.
    pub node_index: u32,
    /// Zone of this node.
    pub zone: u16,
    pub profiles: Vec<Profile>,
    pub payoff_is_per_work: bool,
    /// Whether the node calls discovery for the list, rather than having it pushed by an agent.
    pub list_is_requested: bool,
    /// Longest time between two calls for the list while no watch is open.
    pub list_request_interval: Micros,
    /// Whether nodes may ask backends for load reports.
    pub probes_allowed: bool,
    /// Index in a load report of the number of commands in flight.
    pub report_in_flight_index: Option<usize>,
    /// Index in a load report of the number of queued commands.
    pub report_queue_index: Option<usize>,
    /// Index in a load report of the utilization of the backend's cores, from 0 to 1.
    pub report_utilization_index: Option<usize>,
    /// Reports come with answers too, not only with probes.
    pub reports_piggybacked: bool,
    /// The weight in the list is a backend's size divided by one more than its commands in flight per core.
    pub weights_are_live: bool,
    /// Launches allowed per command.
    pub max_launches: usize,
    /// Whether two launches of a command may be in flight at the same time.
    pub concurrent_launches_allowed: bool,
    /// Whether a launch can be cancelled.
    pub cancel_supported: bool,
    /// A backend that has recently seen a key needs less work for further commands with it.
    pub key_affinity: bool,
    /// Time after which a connection without a launch is closed.
    pub connection_idle_timeout: Micros,
    /// Longest retry-after that a client may be given; zero if none may be given.
    pub max_retry_after: Micros,
    /// Cost of a probe, in units of payoff.
    pub probe_penalty: f64,
    /// Cost of a launch in another zone, in units of payoff.
    pub cross_zone_penalty: f64,
    /// Cost of an open connection, in units of payoff.
    pub connection_penalty: f64,
    /// Share of its capacity that a backend has when it starts.
    pub initial_capacity: f64,
    /// Time until a started backend has its whole capacity.
    pub warm_up_time: Micros,
    /// A cold backend collapses if it is given this multiple of what it can do throughout `collapse_window`.
    pub collapse_load_multiple: f64,
    pub collapse_window: Micros,
    /// Time after a backend is known to drain or to be gone in which it may still get launches.
    pub drain_grace: Micros,
    /// Budget for further launches, if the settings state one.
    pub retry_budget: Option<RetryBudget>,
    /// A backend that refuses a command as full may have run it all the same.
    pub full_may_have_run: bool,
    /// A backend listed as gone, or taken into maintenance, without having drained may still get launches.
    pub only_draining_is_binding: bool,
    /// Weight of the availability nines in the score of the service.
    pub log_loss_weight: f64,
    /// Number of nines that count in full.
    pub max_nines: f64,
}

/// A value in a JSON object with its path, so that errors name the key.
struct Key<'a> {
    value: &'a Value,
    path: String,
}

impl<'a> Key<'a> {
    /// The value of this key, unless it is absent or null.
    fn optional(&self, name: &str) -> Option<Key<'a>> {
        let value = self.value.get(name).filter(|v| !v.is_null())?;
        let separator = if self.path.is_empty() { "" } else { "." };
        Some(Key { value, path: format!("{}{separator}{name}", self.path) })
    }

    fn required(&self, name: &str) -> Result<Key<'a>, String> {
        let separator = if self.path.is_empty() { "" } else { "." };
        self.optional(name).ok_or_else(|| format!("settings: {}{separator}{name} is missing", self.path))
    }

    fn number(&self, min: f64, max: f64) -> Result<f64, String> {
        let n = self.value.as_f64().ok_or_else(|| format!("settings: {} is not a number", self.path))?;
        if (min..=max).contains(&n) {
            Ok(n)
        } else {
            Err(format!("settings: {} is out of its range: {n}", self.path))
        }
    }

    /// A duration, stated in nanoseconds and rounded down to microseconds: the shorter one is the safer value, except
    /// where it is rounded up.
    fn duration(&self) -> Result<Micros, String> {
        Ok(Micros((self.number(0.0, 1e18)? / 1000.0) as u64))
    }

    fn flag(&self) -> Result<bool, String> {
        self.value.as_bool().ok_or_else(|| format!("settings: {} is not true or false", self.path))
    }

    fn one_of<T: Copy>(&self, values: &[(&str, T)]) -> Result<T, String> {
        let text = self.value.as_str().unwrap_or_default();
        let found = values.iter().find(|(w, _)| *w == text);
        found.map(|(_, t)| *t).ok_or_else(|| format!("settings: {} has an unknown value", self.path))
    }

    fn items(&self) -> Result<Vec<Key<'a>>, String> {
        let array = self.value.as_array().ok_or_else(|| format!("settings: {} is not a list", self.path))?;
        let item = |(i, value)| Key { value, path: format!("{}[{i}]", self.path) };
        Ok(array.iter().enumerate().map(item).collect())
    }
}

/// Upper bound for numbers without a range of their own.
const MAX_NUMBER: f64 = 1e15;

fn profile(key: &Key) -> Result<Profile, String> {
    let idempotencies = [
        ("repeatable", Idempotency::Repeatable),
        ("by_key", Idempotency::ByKey),
        ("once", Idempotency::Once),
    ];
    let idempotency = key.required("idempotency")?.one_of(&idempotencies)?;
    let dedup_scopes = [("all", DedupScope::All), ("zone", DedupScope::Zone), ("cell", DedupScope::Group)];
    let is_by_key = idempotency == Idempotency::ByKey;
    Ok(Profile {
        goal_time: key.required("goalTime")?.duration()?,
        time_limit: key.required("timeLimit")?.duration()?,
        idempotency,
        dedup_scope: if is_by_key { key.required("group")?.one_of(&dedup_scopes)? } else { DedupScope::All },
        dedup_window: if is_by_key { key.required("memorySpan")?.duration()? } else { Micros(0) },
        payoff: key.required("payoff")?.number(0.0, MAX_NUMBER)?,
    })
}

/// The retry budget: all three keys are stated, or none.
fn retry_budget(guarantees: &Key) -> Result<Option<RetryBudget>, String> {
    let names = ["spareAttempts", "repeatRatio", "extraWindow"];
    if names.iter().all(|name| guarantees.optional(name).is_none()) {
        return Ok(None);
    }
    let [spare_launches, launches_per_command, window] = names.map(|name| guarantees.required(name));
    let window = window?;
    // Rounded up, as a longer window is the stricter one.
    let window_duration = Micros(window.duration()?.0 + 1);
    if window_duration.0 == 1 {
        return Err(format!("settings: {} must be greater than zero", window.path));
    }
    Ok(Some(RetryBudget {
        spare_launches: spare_launches?.number(0.0, 1e9)?,
        launches_per_command: launches_per_command?.number(0.0, 1e6)?,
        window: window_duration,
    }))
}

impl Settings {
    /// Reads and checks the settings; an error names the key.
    pub fn from_json(text: &[u8]) -> Result<Settings, String> {
        let value: Value = serde_json::from_slice(text).map_err(|e| format!("settings: not JSON: {e}"))?;
        let top = Key { value: &value, path: String::new() };
        let (limits, guarantees) = (top.required("limits")?, top.required("guarantees")?);
        let list_is_requested = top.required("discovery")?.one_of(&[("ask", true), ("push", false)])?;
        let penalty = |name| match top.optional("penalties").and_then(|p| p.optional(name)) {
            Some(key) => key.number(0.0, MAX_NUMBER),
            None => Ok(0.0),
        };
        let limit_flag = |name| limits.optional(name).map_or(Ok(false), |key| key.flag());
        let guarantee_flag = |name| guarantees.optional(name).map_or(Ok(false), |key| key.flag());
        let goal_number = |name, min| match top.optional("goal").and_then(|g| g.optional(name)) {
            Some(key) => key.number(min, MAX_NUMBER),
            None => Ok(0.0),
        };
        let retry_after_allowed = limit_flag("retryAfter")?;
        let report_names = match top.optional("report").and_then(|r| r.optional("names")) {
            Some(key) => key.items()?.iter().map(|k| k.value.as_str().unwrap_or_default()).collect(),
            None => Vec::new(),
        };
        let report_modes = [("piggyback", true), ("pull", false), ("silent", false)];
        let reports_piggybacked = match top.optional("report").and_then(|r| r.optional("how")) {
            Some(key) => key.one_of(&report_modes)?,
            None => false,
        };
        let report_index = |name| report_names.iter().position(|n| *n == name);
        let payoff_units = [("request", false), ("work", true)];
        Ok(Settings {
            node_count: top.required("balancers")?.number(0.0, 1e6)? as u32,
            node_index: top.optional("me").map_or(Ok(0.0), |k| k.number(0.0, 1e6))? as u32,
            zone: top.required("zone")?.number(0.0, 65535.0)? as u16,
            profiles: top.required("profiles")?.items()?.iter().map(profile).collect::<Result<_, _>>()?,
            payoff_is_per_work: top.optional("payoffPer").map_or(Ok(false), |k| k.one_of(&payoff_units))?,
            list_is_requested,
            list_request_interval: guarantees
                .optional("askWithin")
                .map_or(Ok(Micros(10_000_000)), |k| k.duration())?,
            probes_allowed: limit_flag("mayProbe")?,
            report_in_flight_index: report_index("outstanding"),
            report_queue_index: report_index("backlog"),
            report_utilization_index: report_index("utilization"),
            reports_piggybacked,
            weights_are_live: top.optional("weights").is_some_and(|key| key.value.as_str() == Some("live")),
            max_launches: limits.required("mostLaunches")?.number(1.0, 1e6)? as usize,
            concurrent_launches_allowed: limit_flag("secondCopies")?,
            cancel_supported: limit_flag("cancel")?,
            key_affinity: top
                .optional("familyInfo")
                .and_then(|f| f.optional("warmKeys"))
                .map_or(Ok(false), |k| k.flag())?,
            connection_idle_timeout: limits
                .optional("connIdle")
                .map_or(Ok(Micros(0)), |key| key.duration())?,
            max_retry_after: match retry_after_allowed {
                true => limits.required("maxRetryAfter")?.duration()?,
                false => Micros(0),
            },
            probe_penalty: penalty("probe")?,
            cross_zone_penalty: penalty("crossZone")?,
            connection_penalty: penalty("connection")?,
            initial_capacity: guarantees.required("startCapacity")?.number(0.0, 1.0)?,
            warm_up_time: Micros(guarantees.required("warmWithin")?.duration()?.0 + 1),
            collapse_load_multiple: guarantees.required("tipMultiple")?.number(0.0, MAX_NUMBER)?,
            collapse_window: guarantees.required("fall")?.duration()?,
            drain_grace: guarantees.optional("drainGrace").map_or(Ok(Micros(0)), |key| key.duration())?,
            retry_budget: retry_budget(&guarantees)?,
            full_may_have_run: guarantee_flag("mayShedBegun")?,
            only_draining_is_binding: guarantee_flag("removalNotBinding")?,
            log_loss_weight: goal_number("logLossPart", 0.0)?,
            max_nines: goal_number("topNines", 0.01)?,
        })
    }
}
