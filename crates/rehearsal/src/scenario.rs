//! Scenario files: what is played. Every fault is told with the file's line and the key.

use crate::span::Time;
use links::schedule::Schedule;
use serde::{Deserialize, Serialize};
use std::path::Path;
use toml_edit::{Document, Item};

/// A whole scenario. All times are spans from its start.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    pub name: String,
    #[serde(default)]
    pub about: String,
    pub length: Time,
    /// What comes before it is played but not counted.
    #[serde(default = "settle")]
    pub settle: Time,
    pub nodes: u32,
    #[serde(default = "one")]
    pub zones: u16,
    pub load: Load,
    #[serde(default)]
    pub clients: Clients,
    #[serde(default)]
    pub list: List,
    #[serde(default)]
    pub net: Net,
    #[serde(default)]
    pub allow: Allow,
    pub backends: Vec<BackendKind>,
    pub profiles: Vec<Profile>,
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub customers: Vec<Customer>,
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub troubles: Vec<Trouble>,
    /// The nodes keep a view of each other. On the real clock alone, as are the next two.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub view: Option<ViewSettings>,
    /// Faults on the ways between processes, and on nodes' processes.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub faults: Vec<FaultAt>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub drawn: Option<Drawn>,
    /// Hardships of a soak. On the real clock alone.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub stress: Option<Stress>,
    /// The nodes' plan for the loss of sites, as in their operators' file; the sites are called as zones are, `zone-0` and
    /// on. On the real clock alone.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub site_plan: Option<String>,
}

/// What a soak does to nodes beside troubles and faults on the ways.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Stress {
    /// A planned stop ends in a kill, at the earliest time that there may be one, and clients go on using the open
    /// connections of the node until then.
    pub used_until_kill: bool,
    /// A planned stop is told in a series of signals, new configurations among them.
    pub signal_series: bool,
    /// Connections to each node on which nobody says anything.
    pub idle_crowd: u32,
    /// Watches are ended instead of told that a backend drains.
    pub watches_end: bool,
    /// What a call for the list takes of discovery's time: it works through calls in turn.
    pub list_turn: Time,
    /// All nodes, one after the other, are given a configuration that moves discovery, again and again so long after; never
    /// at 0.
    pub discovery_moves_every: Time,
    /// One in so many of the nodes' socket calls ends short, and of their accepts and dials fails; none at 0.
    pub short_calls: u32,
    pub failing_accepts: u32,
    pub failing_dials: u32,
}

/// The times of the nodes' view, and how soon after the last fault all have to agree.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ViewSettings {
    pub period: Time,
    pub sure: Time,
    pub release: Time,
    pub agree: Time,
}

impl Default for ViewSettings {
    fn default() -> ViewSettings {
        ViewSettings {
            period: Time::millis(200),
            sure: Time::millis(4800),
            release: Time::millis(1200),
            agree: Time::seconds(10),
        }
    }
}

/// A fault in the words of a schedule: `one-way n0 n1`, `apart n0 n2`, `lossy n3 20`, `late n1 40`, `heal`, `kill n2`,
/// `term n2`, `stop n0`, `cont n0`, `start n2`. Backends are b0 and on, the others `discovery` and `clients`.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FaultAt {
    pub at: Time,
    pub what: String,
}

/// So many faults more, drawn from the play's seed; the last of them early enough for all to agree.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Drawn {
    pub faults: usize,
}

fn settle() -> Time {
    Time::seconds(2)
}

fn one() -> u16 {
    1
}

#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum LoadShape {
    Poisson,
    /// Poisson between two rates: bursts of two seconds in the mean, calm of six.
    Bursts,
    /// Poisson at a rate that wanders up and down over the scenario.
    Wandering,
    /// Evenly apart.
    Even,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Load {
    /// Commands asked for, as a share of what the warm fleet can do.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub share: Option<f64>,
    /// The same in commands a second.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub per_s: Option<f64>,
    #[serde(default = "poisson")]
    pub shape: LoadShape,
    /// How far the rate moves: by this part of itself.
    #[serde(default)]
    pub swing: f64,
}

fn poisson() -> LoadShape {
    LoadShape::Poisson
}

#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RetryMode {
    Never,
    AtOnce,
    /// After `wait`, spread by half.
    Wait,
    /// As `Retry-After` says, or after `wait` where it says nothing.
    Advised,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Clients {
    #[serde(rename = "again")]
    pub retry_mode: RetryMode,
    /// Tries after the first one.
    pub retries: u32,
    pub wait: Time,
    /// The share that leaves before its time limit, and when.
    pub leaving: f64,
    pub leave_after: Time,
    /// Whether a repeat says that it is one.
    pub mark_repeats: bool,
    /// Guesses at the work: their error as a coefficient of variation; 0 gives none.
    pub hints: f64,
    /// How long the front goes on sending to a node that has died.
    pub notice: Time,
}

impl Default for Clients {
    fn default() -> Clients {
        Clients {
            retry_mode: RetryMode::Wait,
            retries: 2,
            wait: Time::millis(100),
            leaving: 0.0,
            leave_after: Time::millis(150),
            mark_repeats: true,
            hints: 0.0,
            notice: Time::seconds(1),
        }
    }
}

/// How nodes come by the list.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ListMode {
    /// They must ask for it, and follow its changes from then on.
    Ask,
    /// It is told to them from their start on.
    Watch,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct List {
    pub mode: ListMode,
    /// From a backend's death until the list tells of it.
    pub notice: Time,
    /// From its start until the list tells of it.
    pub add: Time,
    /// From a change of the list until a node has it, at most.
    pub trip: Time,
    /// Within this a node must have asked for the list or watched it.
    pub ask_within: Time,
}

impl Default for List {
    fn default() -> List {
        List {
            mode: ListMode::Ask,
            notice: Time::millis(1500),
            add: Time::millis(500),
            trip: Time::millis(100),
            ask_within: Time::seconds(8),
        }
    }
}

#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Net {
    /// One way, within a zone and between two.
    pub same: Time,
    pub cross: Time,
    /// One way, between a client and its node.
    pub client: Time,
    /// The mean of what comes on top, exponential.
    pub jitter: Time,
    /// The share of launches whose connection breaks off after the command was written.
    pub resets: f64,
    /// After so long without a connection a launch is given up.
    pub dial: Time,
}

impl Default for Net {
    fn default() -> Net {
        Net {
            same: Time(150),
            cross: Time(400),
            client: Time(500),
            jitter: Time(50),
            resets: 0.0,
            dial: Time::millis(200),
        }
    }
}

#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Allow {
    pub launches: u32,
    pub second_copies: bool,
    pub probes: bool,
    /// The longest come-back time that may be told; none means that it may not be told.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub come_back: Option<Time>,
    pub probe_price: f64,
    pub crossing_price: f64,
    pub surplus_payoff: f64,
    pub drain_grace: Time,
    /// Work sent to a cold backend within `push_span` stays under `push_over` times what it can do then.
    pub push_over: f64,
    pub push_span: Time,
    /// The share of commands of each profile that may miss its goal time, where the operators state one.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub tail_miss: Option<f64>,
}

impl Default for Allow {
    fn default() -> Allow {
        Allow {
            launches: 3,
            second_copies: true,
            probes: false,
            come_back: Some(Time::seconds(2)),
            probe_price: 0.002,
            crossing_price: 0.0,
            surplus_payoff: 0.2,
            drain_grace: Time::millis(500),
            push_over: 4.0,
            push_span: Time::seconds(2),
            tail_miss: None,
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Stops {
    /// Work goes on whatever its node does.
    None,
    /// What still waits is dropped when its node gives it up.
    Waiting,
    All,
}

/// Every so often, for so long; both exponential in the mean.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Episodes {
    pub every: Time,
    pub length: Time,
    /// What is left of the speed meanwhile.
    #[serde(default)]
    pub speed: f64,
}

/// Under overload a backend slows down, and stays slow until it is mostly idle.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Collapse {
    /// Commands held per core at which it collapses, what is left of its speed, and at how many it recovers.
    pub at: f64,
    pub speed: f64,
    pub until: f64,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BackendKind {
    pub kind: String,
    pub count: u32,
    #[serde(default = "one")]
    pub cores: u16,
    #[serde(default = "whole")]
    pub speed: f64,
    /// Coefficient of variation of the speed among backends of the kind.
    #[serde(default)]
    pub spread: f64,
    /// Commands that may wait, for each core.
    #[serde(default = "queue")]
    pub queue: f64,
    /// Backends of one group share the memory of tags.
    #[serde(default = "one")]
    pub group: u16,
    /// The share of capacity after a start, and the time to the whole.
    #[serde(default = "cold")]
    pub cold: f64,
    #[serde(default = "warm")]
    pub warm: Time,
    /// Speed lost for each command held beyond two a core, as a part.
    #[serde(default)]
    pub crowding: f64,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub collapse: Option<Collapse>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub stalls: Option<Episodes>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub neighbours: Option<Episodes>,
    #[serde(default)]
    pub errors: f64,
    #[serde(default = "waiting")]
    pub stops: Stops,
    /// Whether a cold one falls over when it is pushed, and how long it is down then.
    #[serde(default = "down")]
    pub falls: Time,
    /// What a probe and a new connection cost it.
    #[serde(default = "probe_work")]
    pub probe_work: Time,
    #[serde(default = "probe_work")]
    pub connection_work: Time,
    /// How old a load report may be.
    #[serde(default = "refresh")]
    pub refresh: Time,
}

fn whole() -> f64 {
    1.0
}

fn queue() -> f64 {
    8.0
}

fn cold() -> f64 {
    0.4
}

fn warm() -> Time {
    Time::seconds(5)
}

fn waiting() -> Stops {
    Stops::Waiting
}

fn down() -> Time {
    Time::seconds(3)
}

fn probe_work() -> Time {
    Time(50)
}

fn refresh() -> Time {
    Time::millis(2)
}

#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum CommandEffect {
    Repeatable,
    Tagged,
    OnceOnly,
}

#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Scope {
    All,
    Zone,
    Group,
}

#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum WorkDistribution {
    Fixed,
    Exponential,
    Lognormal,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Profile {
    pub name: String,
    /// Its part of the commands, beside those of the others.
    #[serde(default = "whole")]
    pub share: f64,
    pub effect: CommandEffect,
    #[serde(default = "all")]
    pub scope: Scope,
    /// How long a backend's scope remembers a tag.
    #[serde(default = "memory")]
    pub memory: Time,
    pub goal: Time,
    pub limit: Time,
    #[serde(default = "whole")]
    pub payoff: f64,
    /// Work in the mean, on a core of speed one.
    pub work: Time,
    #[serde(default = "exponential")]
    pub law: WorkDistribution,
    /// Coefficient of variation, for `lognormal`.
    #[serde(default = "whole")]
    pub spread: f64,
}

fn all() -> Scope {
    Scope::All
}

fn memory() -> Time {
    Time::seconds(10)
}

fn exponential() -> WorkDistribution {
    WorkDistribution::Exponential
}

#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Customer {
    pub name: String,
    pub share: f64,
    pub quota_per_s: f64,
}

#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum TroubleKind {
    /// Backends drain one after the other and are replaced by new ones, or start anew under their names.
    RollingDeploy,
    /// Backends die at once and come back cold after `down`.
    Deaths,
    /// Nodes are restarted one after the other: by plan, or killed.
    NodeRestarts,
    NodeDeaths,
    /// A zone's backends are cut off: silent, and back as they were.
    ZoneLoss,
    /// The list answers nothing and its watches end.
    ListOutage,
    /// Backends stop every `every`, for `down`.
    Stalls,
    /// Backends take work and answer nothing.
    Hangs,
    /// Backends run at `strength` of their speed.
    Slow,
    /// Backends answer a share `strength` with an error at once.
    Errors,
    /// Load times `strength`; of one customer where one is named.
    Burst,
    /// A share `strength` of the launches breaks off.
    Resets,
    /// A share `strength` of the answers never comes, on connections that stay open.
    LostAnswers,
    /// `down` comes on top of each way between nodes and backends.
    Delay,
}

impl TroubleKind {
    pub const ALL: [TroubleKind; 14] = [
        TroubleKind::RollingDeploy,
        TroubleKind::Deaths,
        TroubleKind::NodeRestarts,
        TroubleKind::NodeDeaths,
        TroubleKind::ZoneLoss,
        TroubleKind::ListOutage,
        TroubleKind::Stalls,
        TroubleKind::Hangs,
        TroubleKind::Slow,
        TroubleKind::Errors,
        TroubleKind::Burst,
        TroubleKind::Resets,
        TroubleKind::LostAnswers,
        TroubleKind::Delay,
    ];

    pub fn label(self) -> &'static str {
        match self {
            TroubleKind::RollingDeploy => "rolling deploy",
            TroubleKind::Deaths => "deaths",
            TroubleKind::NodeRestarts => "node restarts",
            TroubleKind::NodeDeaths => "node deaths",
            TroubleKind::ZoneLoss => "zone loss",
            TroubleKind::ListOutage => "list outage",
            TroubleKind::Stalls => "stalls",
            TroubleKind::Hangs => "hangs",
            TroubleKind::Slow => "slow backends",
            TroubleKind::Errors => "errors",
            TroubleKind::Burst => "burst",
            TroubleKind::Resets => "resets",
            TroubleKind::LostAnswers => "lost answers",
            TroubleKind::Delay => "delay",
        }
    }
}

#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Trouble {
    pub kind: TroubleKind,
    pub at: Time,
    #[serde(default)]
    pub length: Time,
    /// The part of the backends or nodes it meets.
    #[serde(default = "whole")]
    pub share: f64,
    #[serde(default = "whole")]
    pub strength: f64,
    #[serde(default = "down")]
    pub down: Time,
    #[serde(default = "down")]
    pub every: Time,
    /// In a deploy: new machines under new names, not new processes under the old.
    #[serde(default)]
    pub swap: bool,
    #[serde(default)]
    pub zone: u16,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub customer: Option<String>,
}

impl Trouble {
    pub fn end(&self) -> Time {
        Time(self.at.0 + self.length.0)
    }
}

impl Default for Trouble {
    fn default() -> Trouble {
        Trouble {
            kind: TroubleKind::Burst,
            at: Time(0),
            length: Time(0),
            share: 1.0,
            strength: 1.0,
            down: down(),
            every: down(),
            swap: false,
            zone: 0,
            customer: None,
        }
    }
}

/// A fault: the path of the key it lies in, and what is wrong there.
type Fault = (String, String);

fn fault<T>(key: impl Into<String>, why: impl Into<String>) -> Result<T, Fault> {
    Err((key.into(), why.into()))
}

impl Scenario {
    /// Reads and checks a file. The error names the file, the line and the key.
    pub fn read(path: &Path) -> Result<Scenario, String> {
        let name = path.display();
        let text = std::fs::read_to_string(path).map_err(|e| format!("{name}: {e}"))?;
        Scenario::parse(&text).map_err(|(line, why)| format!("{name}:{line}: {why}"))
    }

    /// The same from a text. The error is a line, from 1 on, and what is wrong there.
    pub fn parse(text: &str) -> Result<Scenario, (usize, String)> {
        let line = |at: usize| 1 + text[..at.min(text.len())].matches('\n').count();
        let parsed: Result<Scenario, toml::de::Error> = toml::from_str(text);
        let scenario = parsed.map_err(|e| {
            let at = e.span().map_or(0, |s| s.start);
            let key = key_at(text, at).map_or(String::new(), |key| format!("{key}: "));
            (line(at), format!("{key}{}", e.message()))
        })?;
        scenario
            .check()
            .map_err(|(key, why)| (place_of(text, &key).map_or(1, line), format!("{key}: {why}")))?;
        Ok(scenario)
    }

    pub fn check(&self) -> Result<(), Fault> {
        let share = |key: &str, n: f64| match (0.0..=1.0).contains(&n) {
            true => Ok(()),
            false => fault(key, format!("{n} is no share from 0 to 1")),
        };
        let over = |key: &str, n: f64, low: f64, high: f64| match (low..=high).contains(&n) {
            true => Ok(()),
            false => fault(key, format!("{n} is not from {low} to {high}")),
        };
        over("length", self.length.micros() / 1e6, 0.1, 7200.0)?;
        if self.settle >= self.length {
            return fault("settle", "nothing is left to count: it is as long as the scenario");
        }
        over("nodes", f64::from(self.nodes), 1.0, 2000.0)?;
        over("zones", f64::from(self.zones), 1.0, 64.0)?;
        match (self.load.share, self.load.per_s) {
            (Some(n), None) => over("load.share", n, 0.0, 100.0)?,
            (None, Some(n)) => over("load.per_s", n, 0.0, 1e6)?,
            _ => return fault("load", "give either share or per_s"),
        }
        share("load.swing", self.load.swing)?;
        share("clients.leaving", self.clients.leaving)?;
        over("clients.retries", f64::from(self.clients.retries), 0.0, 100.0)?;
        over("clients.hints", self.clients.hints, 0.0, 10.0)?;
        share("net.resets", self.net.resets)?;
        over("allow.launches", f64::from(self.allow.launches), 1.0, 8.0)?;
        over("allow.push_over", self.allow.push_over, 0.1, 1000.0)?;
        if self.allow.push_span == Time(0) {
            return fault("allow.push_span", "a span of nothing has no budget");
        }
        if let Some(miss) = self.allow.tail_miss {
            over("allow.tail_miss", miss, 0.0001, 0.5)?;
        }
        if self.list.ask_within < Time::millis(500) {
            return fault("list.ask_within", "no node can ask that often: 500ms at least");
        }
        if self.backends.is_empty() {
            return fault("backends", "there is none");
        }
        for (i, kind) in self.backends.iter().enumerate() {
            let key = |name: &str| format!("backends[{i}].{name}");
            over(&key("count"), f64::from(kind.count), 1.0, 5000.0)?;
            over(&key("cores"), f64::from(kind.cores), 1.0, 256.0)?;
            over(&key("speed"), kind.speed, 0.001, 1000.0)?;
            over(&key("spread"), kind.spread, 0.0, 2.0)?;
            over(&key("queue"), kind.queue, 0.0, 10_000.0)?;
            over(&key("group"), f64::from(kind.group), 1.0, 5000.0)?;
            over(&key("cold"), kind.cold, 0.01, 1.0)?;
            over(&key("crowding"), kind.crowding, 0.0, 1.0)?;
            share(&key("errors"), kind.errors)?;
            for (name, spells) in [("stalls", kind.stalls), ("neighbours", kind.neighbours)] {
                let Some(spells) = spells else { continue };
                if spells.every == Time(0) || spells.length == Time(0) {
                    return fault(key(name), "every and length must be more than nothing");
                }
                share(&key(&format!("{name}.speed")), spells.speed)?;
            }
            if let Some(collapse) = kind.collapse {
                over(&key("collapse.speed"), collapse.speed, 0.01, 1.0)?;
                if collapse.until >= collapse.at {
                    return fault(key("collapse.until"), "it would never collapse: until is not under at");
                }
            }
        }
        if self.profiles.is_empty() {
            return fault("profiles", "there is none");
        }
        for (i, profile) in self.profiles.iter().enumerate() {
            let key = |name: &str| format!("profiles[{i}].{name}");
            over(&key("share"), profile.share, 0.0, 1e6)?;
            over(&key("payoff"), profile.payoff, 0.0, 1e9)?;
            over(&key("spread"), profile.spread, 0.0, 20.0)?;
            if profile.work == Time(0) {
                return fault(key("work"), "a command without work cannot be modelled");
            }
            if profile.goal > profile.limit {
                return fault(key("goal"), "the goal time is past the time limit");
            }
            if self.profiles[..i].iter().any(|p| p.name == profile.name) {
                return fault(key("name"), format!("{:?} is there twice", profile.name));
            }
        }
        if self.profiles.iter().map(|p| p.share).sum::<f64>() <= 0.0 {
            return fault("profiles", "their shares come to nothing");
        }
        for (i, customer) in self.customers.iter().enumerate() {
            over(&format!("customers[{i}].share"), customer.share, 0.0, 1e6)?;
            over(&format!("customers[{i}].quota_per_s"), customer.quota_per_s, 0.0, 1e9)?;
        }
        for (i, trouble) in self.troubles.iter().enumerate() {
            let key = |name: &str| format!("troubles[{i}].{name}");
            if trouble.at >= self.length {
                return fault(key("at"), "it starts after the scenario's end");
            }
            share(&key("share"), trouble.share)?;
            over(&key("strength"), trouble.strength, 0.0, 1000.0)?;
            if matches!(trouble.kind, TroubleKind::Errors | TroubleKind::Resets | TroubleKind::LostAnswers) {
                share(&key("strength"), trouble.strength)?;
            }
            if trouble.zone >= self.zones {
                return fault(key("zone"), format!("there are {} zones, counted from 0", self.zones));
            }
            if let Some(name) = &trouble.customer {
                if !self.customers.iter().any(|c| &c.name == name) {
                    return fault(key("customer"), format!("{name:?} is no customer"));
                }
            }
            if trouble.kind == TroubleKind::Stalls && trouble.every == Time(0) {
                return fault(key("every"), "stalls without a pause between them: use hangs");
            }
        }
        self.check_faults()
    }

    /// Whether it takes real processes to play it.
    pub fn needs_processes(&self) -> bool {
        self.view.is_some() || !self.faults.is_empty() || self.drawn.is_some() || self.site_plan.is_some()
    }

    /// All faults on ways and processes, in their order; drawn ones by this seed.
    pub fn schedule(&self, seed: u64) -> Result<Schedule, String> {
        let line = |fault: &FaultAt| format!("{} {}\n", fault.at.0 / 1000, fault.what);
        let mut schedule: Schedule = self.faults.iter().map(line).collect::<String>().parse()?;
        if let Some(drawn) = &self.drawn {
            let names: Vec<String> = (0..self.nodes).map(|node| format!("n{node}")).collect();
            let agree = self.view.as_ref().map_or(Time(0), |view| view.agree);
            let span = Time(self.length.0.saturating_sub(agree.0 + 1_000_000)).duration();
            schedule.0.extend(Schedule::draw(seed, &names, drawn.faults, span).0);
        }
        schedule.0.sort_by_key(|step| step.at);
        Ok(schedule)
    }

    /// The same with these faults alone.
    pub fn with_faults(&self, schedule: &Schedule) -> Scenario {
        let fault = |step: &links::schedule::Step| FaultAt {
            at: Time::millis(step.at),
            what: step.fault.to_string(),
        };
        Scenario { faults: schedule.0.iter().map(fault).collect(), drawn: None, ..self.clone() }
    }

    fn check_faults(&self) -> Result<(), Fault> {
        let known = |name: &str| {
            let number = |letter: char| name.strip_prefix(letter).and_then(|n| n.parse::<u32>().ok());
            let backends: u32 = self.backends.iter().map(|kind| kind.count).sum();
            number('n').is_some_and(|n| n < self.nodes)
                || number('b').is_some_and(|b| b < backends)
                || name == "discovery"
                || name == "clients"
        };
        for (i, fault) in self.faults.iter().enumerate() {
            let key = |name: &str| format!("faults[{i}].{name}");
            if fault.at >= self.length {
                return self::fault(key("at"), "it is after the scenario's end");
            }
            let read: Result<Schedule, String> = format!("{} {}", fault.at.0 / 1000, fault.what).parse();
            let Ok(read) = read else {
                return self::fault(key("what"), format!("{:?} is no fault", fault.what));
            };
            let names: Vec<&String> = read.0.iter().flat_map(|step| step.fault.names()).collect();
            if let Some(name) = names.iter().find(|name| !known(name)) {
                return self::fault(key("what"), format!("{name:?} is nobody here"));
            }
            let process = |step: &links::schedule::Step| step.fault.of_process();
            if read.0.iter().any(process) && !names.iter().all(|name| name.starts_with('n')) {
                return self::fault(key("what"), "only nodes have processes to do that to");
            }
        }
        if let Some(plan) = &self.site_plan {
            let plan = sites::plan::Plan::from_toml(plan).map_err(|why| ("site_plan".to_owned(), why))?;
            let mut names = (0..self.zones).map(crate::model::settings::zone_name);
            let missing = names.find(|name| !plan.sites.iter().any(|site| site.name == *name));
            if let Some(name) = missing {
                return self::fault("site_plan", format!("{name} is not in it"));
            }
        }
        if let Some(view) = &self.view {
            if view.sure.0 < view.release.0 * 4 {
                return self::fault("view.sure", "it has to be at least four times release");
            }
            if view.release.0 < view.period.0 * 4 {
                return self::fault("view.release", "it has to be at least four times period");
            }
        }
        if self.drawn.is_some()
            && self.length.0 <= self.view.as_ref().map_or(0, |view| view.agree.0) + 2_000_000
        {
            return self::fault("drawn", "no time is left for faults before all have to agree");
        }
        Ok(())
    }

    /// Work that the warm fleet does in a microsecond.
    pub fn capacity(&self) -> f64 {
        self.backends.iter().map(|k| f64::from(k.count) * f64::from(k.cores) * k.speed).sum()
    }

    /// Mean work of a command, in microseconds on a core of speed one.
    pub fn mean_work(&self) -> f64 {
        let shares: f64 = self.profiles.iter().map(|p| p.share).sum();
        self.profiles.iter().map(|p| p.share * p.work.micros()).sum::<f64>() / shares
    }

    /// Commands a second, before bursts and troubles.
    pub fn rate(&self) -> f64 {
        let share = self.load.share.map(|share| share * self.capacity() * 1e6 / self.mean_work());
        share.or(self.load.per_s).unwrap_or_default()
    }
}

/// The dotted path of the key whose value holds this place of the text.
fn key_at(text: &str, at: usize) -> Option<String> {
    let document = Document::parse(text).ok()?;
    let mut best = None;
    walk(document.as_item(), String::new(), &mut |path, start, end| {
        if (start..=end).contains(&at) && !path.is_empty() {
            best = Some(path.to_owned());
        }
    });
    best
}

/// Where the key of a dotted path stands, or the nearest one above it.
fn place_of(text: &str, key: &str) -> Option<usize> {
    let document = Document::parse(text).ok()?;
    let (mut best, mut length) = (None, 0);
    walk(document.as_item(), String::new(), &mut |path, start, _| {
        let above =
            key.strip_prefix(path).is_some_and(|rest| matches!(rest.chars().next(), None | Some('.' | '[')));
        if above && path.len() > length {
            (best, length) = (Some(start), path.len());
        }
    });
    best
}

fn walk(item: &Item, path: String, visit: &mut impl FnMut(&str, usize, usize)) {
    if let Some(span) = item.span() {
        visit(&path, span.start, span.end);
    }
    let dot = if path.is_empty() { "" } else { "." };
    if let Some(table) = item.as_table_like() {
        for (name, child) in table.iter() {
            walk(child, format!("{path}{dot}{name}"), visit);
        }
    } else if let Some(tables) = item.as_array_of_tables() {
        for (i, table) in tables.iter().enumerate() {
            let inner = format!("{path}[{i}]");
            if let Some(span) = table.span() {
                visit(&inner, span.start, span.end);
            }
            for (name, child) in table.iter() {
                walk(child, format!("{inner}.{name}"), visit);
            }
        }
    }
}
