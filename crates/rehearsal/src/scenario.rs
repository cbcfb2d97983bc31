//! Scenario files in TOML. Errors name the line of the file and the key.

use crate::span::Time;
use links::schedule::Schedule;
use serde::{Deserialize, Serialize};
use std::path::Path;
use toml_edit::{Document, Item};

/// A scenario. All times count from its start.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    pub name: String,
    #[serde(default)]
    pub about: String,
    /// No command is due after this time.
    pub length: Time,
    /// Commands that are due before this time are played but not counted.
    #[serde(default = "default_settle")]
    pub settle: Time,
    pub nodes: u32,
    #[serde(default = "default_one_u16")]
    pub zones: u16,
    pub load: Load,
    #[serde(default)]
    pub clients: Clients,
    #[serde(default)]
    pub list: List,
    #[serde(default)]
    pub net: Net,
    #[serde(default)]
    pub allow: Allowances,
    pub backends: Vec<BackendKind>,
    pub profiles: Vec<Profile>,
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub customers: Vec<Customer>,
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub troubles: Vec<Trouble>,
    /// If present, the nodes keep a view of the fleet's membership. Only on the real clock, like the next two keys.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub view: Option<ViewSettings>,
    /// Faults on the links between processes and on nodes' processes.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub faults: Vec<FaultEntry>,
    /// Additional random faults.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub drawn: Option<RandomFaults>,
    /// Stress that a soak adds. Only on the real clock.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub stress: Option<Stress>,
    /// The nodes' plan for the loss of sites, as the TOML text of an operators' file. The sites are named like the zones:
    /// `zone-0`, `zone-1` and so on. Only on the real clock.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub site_plan: Option<String>,
}

/// What a soak does to nodes in addition to troubles and faults on links.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Stress {
    /// A planned stop ends with a kill at the earliest time that is allowed, and clients use the open connections of the
    /// node until then.
    pub used_until_kill: bool,
    /// A planned stop is requested by a series of signals, with reloads of the configuration among them.
    pub signal_series: bool,
    /// The number of idle connections to each node on which clients never send anything.
    pub idle_crowd: u32,
    /// When a backend starts to drain, discovery ends its watches instead of sending the change.
    pub watches_end: bool,
    /// How long discovery takes to serve a request for the list; it serves one request after the other.
    pub list_turn: Time,
    /// The interval at which all nodes, one after the other, get a configuration with another address of discovery; 0 means
    /// never.
    pub discovery_moves_every: Time,
    /// One in this many of the nodes' socket calls is cut short: it is interrupted or transfers less than asked for. 0 means
    /// none.
    pub short_calls: u32,
    /// One in this many accepts, or outgoing connections, of the nodes fails; 0 means none.
    pub failing_accepts: u32,
    pub failing_dials: u32,
    /// The size in bytes of the kernel's record of a TCP connection, as another version of Linux has it; 0 means the size of
    /// this machine's kernel.
    pub tcp_info_bytes: u32,
    /// The share of the backends' answers that come in drawn forms: framing, size, pace and who breaks them off.
    pub answer_forms: f64,
}

/// The timing of the nodes' view of the membership.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ViewSettings {
    /// The interval between probes of other members.
    pub period: Time,
    /// How long a member has to be dead before the others take over its share.
    pub sure: Time,
    /// How long after it last saw a majority a node gives up the share that others may take over.
    pub release: Time,
    /// How soon after the last fault all nodes have to agree.
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

/// A fault in the text form of a schedule: `one-way n0 n1`, `apart n0 n2`, `lossy n3 20`, `late n1 40`, `heal`, `kill n2`,
/// `term n2`, `stop n0`, `cont n0`, `start n2`. Nodes are named `n0`, `n1` and so on, backends `b0`, `b1` and so on, and the
/// other processes `discovery` and `clients`.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FaultEntry {
    pub at: Time,
    pub what: String,
}

/// Random faults, determined by the seed of the play. The last one is early enough for all nodes to agree before the end.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RandomFaults {
    /// The number of faults.
    pub faults: usize,
}

fn default_settle() -> Time {
    Time::seconds(2)
}

fn default_one_u16() -> u16 {
    1
}

/// How the rate of commands varies over time.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum LoadShape {
    /// Poisson arrivals at a constant rate.
    Poisson,
    /// Poisson arrivals that alternate between two rates: bursts of two seconds and calm of six seconds on average.
    Bursts,
    /// Poisson arrivals at a rate that rises and falls in waves.
    Wandering,
    /// Arrivals at equal intervals.
    Even,
}

/// The offered load.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Load {
    /// The offered load as a share of the capacity of the warm fleet.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub share: Option<f64>,
    /// The offered load in commands per second. Either this or `share` is given.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub per_s: Option<f64>,
    #[serde(default = "default_shape")]
    pub shape: LoadShape,
    /// By which share of itself the rate varies.
    #[serde(default)]
    pub swing: f64,
}

fn default_shape() -> LoadShape {
    LoadShape::Poisson
}

/// Whether and when clients retry.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RetryMode {
    Never,
    AtOnce,
    /// After `wait`, with a random variation of half of it in both directions.
    Wait,
    /// After the time in `Retry-After`, or like `Wait` if the answer has none.
    Advised,
}

/// The behaviour of clients.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Clients {
    #[serde(rename = "again")]
    pub retry_mode: RetryMode,
    /// The maximum number of attempts after the first one.
    pub retries: u32,
    /// The mean delay before a retry.
    pub wait: Time,
    /// The share of commands whose client leaves before its time limit.
    pub leaving: f64,
    /// How long after the start of an attempt such a client leaves.
    pub leave_after: Time,
    /// Whether retries are marked as such.
    pub mark_repeats: bool,
    /// The error of the clients' hints of the work, as a coefficient of variation; with 0 they give no hints.
    pub hints: f64,
    /// How long commands are still sent to a node that has died.
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

/// How nodes get discovery's list of backends.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ListMode {
    /// Nodes have to request the list, and watch its changes from then on.
    Ask,
    /// Discovery pushes the list to nodes from their start on.
    Watch,
}

/// Discovery's list of backends.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct List {
    pub mode: ListMode,
    /// The time from a backend's death until the list shows it.
    pub notice: Time,
    /// The time from a backend's start until the list shows it.
    pub add: Time,
    /// The longest time from a change of the list until a node has it.
    pub trip: Time,
    /// A node has to request the list, or be watching it, at least this often.
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

/// Network latencies and faults.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Net {
    /// One-way latency within a zone.
    pub same: Time,
    /// One-way latency between zones.
    pub cross: Time,
    /// One-way latency between a client and a node.
    pub client: Time,
    /// The mean of the exponential jitter that is added to each latency.
    pub jitter: Time,
    /// The share of launches whose connection is reset after the command was written.
    pub resets: f64,
    /// The connect timeout of a launch.
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

/// What the deployment allows to nodes, and which guarantees it demands.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Allowances {
    /// The maximum number of launches per command.
    pub launches: u32,
    /// Whether a command may have several launches in flight.
    pub second_copies: bool,
    /// Whether nodes may probe backends.
    pub probes: bool,
    /// The longest `Retry-After` that a rejection may give; without it rejections give none.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub come_back: Option<Time>,
    /// The penalties of a probe and of a launch to another zone: the settings `penalties.probe` and `penalties.crossZone`.
    pub probe_price: f64,
    pub crossing_price: f64,
    /// Passed to nodes as the setting `surplusPayoff`.
    pub surplus_payoff: f64,
    /// Launches to a backend may start this long after the node was told that it drains or is gone.
    pub drain_grace: Time,
    /// The work sent to a cold backend within `push_span` has to stay below `push_over` times what it can do then.
    pub push_over: f64,
    pub push_span: Time,
    /// The share of the commands of each profile that may miss its goal time, if operators state one.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub tail_miss: Option<f64>,
}

impl Default for Allowances {
    fn default() -> Allowances {
        Allowances {
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

/// Which commands a backend stops when their node cancels them.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum CancelEffect {
    /// None: cancelled commands are executed all the same.
    None,
    /// Those that are still in the queue.
    Waiting,
    /// Those in the queue and those being executed.
    All,
}

/// Recurring episodes in which a backend is slow; the times between and in them are exponential.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Episodes {
    /// The mean time between episodes.
    pub every: Time,
    /// The mean length of an episode.
    pub length: Time,
    /// The factor applied to the speed during an episode.
    #[serde(default)]
    pub speed: f64,
}

/// Congestion collapse: a backend under overload slows down, and stays slow until it is mostly idle.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Collapse {
    /// The number of commands per core, queued ones included, at which it collapses.
    pub at: f64,
    /// The factor applied to its speed meanwhile.
    pub speed: f64,
    /// The number of commands per core at which it recovers.
    pub until: f64,
}

/// A number of backends of one kind.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BackendKind {
    /// The name of the kind.
    pub kind: String,
    pub count: u32,
    #[serde(default = "default_one_u16")]
    pub cores: u16,
    /// The mean work per microsecond on each core.
    #[serde(default = "default_one_f64")]
    pub speed: f64,
    /// The coefficient of variation of the speed among backends of the kind.
    #[serde(default)]
    pub spread: f64,
    /// The length of the queue per core, in commands.
    #[serde(default = "default_queue")]
    pub queue: f64,
    /// The number of backends in a group. Backends of one group share the memory of idempotency keys.
    #[serde(default = "default_one_u16")]
    pub group: u16,
    /// The share of its capacity that a backend has at its start.
    #[serde(default = "default_cold")]
    pub cold: f64,
    /// The time from its start until it has its whole capacity.
    #[serde(default = "default_warm")]
    pub warm: Time,
    /// The share of the speed that is lost for each command beyond two per core.
    #[serde(default)]
    pub crowding: f64,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub collapse: Option<Collapse>,
    /// Stalls, such as pauses of garbage collection.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub stalls: Option<Episodes>,
    /// Slowdowns by noisy neighbours on the same machine.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub neighbours: Option<Episodes>,
    /// The share of commands that are answered with an error at once.
    #[serde(default)]
    pub errors: f64,
    #[serde(default = "default_stops")]
    pub stops: CancelEffect,
    /// How long a backend is down after it crashed from too much work while cold; with 0 it never crashes.
    #[serde(default = "default_down")]
    pub falls: Time,
    /// The work that a probe costs it.
    #[serde(default = "default_probe_work")]
    pub probe_work: Time,
    /// The work that a new connection costs it.
    #[serde(default = "default_probe_work")]
    pub connection_work: Time,
    /// The interval at which its load report is refreshed.
    #[serde(default = "default_refresh")]
    pub refresh: Time,
}

fn default_one_f64() -> f64 {
    1.0
}

fn default_queue() -> f64 {
    8.0
}

fn default_cold() -> f64 {
    0.4
}

fn default_warm() -> Time {
    Time::seconds(5)
}

fn default_stops() -> CancelEffect {
    CancelEffect::Waiting
}

fn default_down() -> Time {
    Time::seconds(3)
}

fn default_probe_work() -> Time {
    Time(50)
}

fn default_refresh() -> Time {
    Time::millis(2)
}

/// Whether a command may be executed more than once.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum CommandEffect {
    /// It may be executed any number of times.
    Repeatable,
    /// It carries an idempotency key, so that backends of the scope execute it once.
    Tagged,
    /// It must be executed once at most.
    OnceOnly,
}

/// The backends that share the memory of idempotency keys.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Scope {
    All,
    Zone,
    Group,
}

/// The distribution of the work of commands.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum WorkDistribution {
    Fixed,
    Exponential,
    Lognormal,
}

/// A class of commands.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Profile {
    pub name: String,
    /// Its part of the commands, relative to the shares of the other profiles.
    #[serde(default = "default_one_f64")]
    pub share: f64,
    pub effect: CommandEffect,
    #[serde(default = "default_scope")]
    pub scope: Scope,
    /// How long an idempotency key is remembered.
    #[serde(default = "default_memory")]
    pub memory: Time,
    /// A command that finishes within this time counts as served.
    pub goal: Time,
    /// The time after which the client gives up.
    pub limit: Time,
    /// The value of a command that is served.
    #[serde(default = "default_one_f64")]
    pub payoff: f64,
    /// The mean work, as time on a core of speed one.
    pub work: Time,
    #[serde(default = "default_law")]
    pub law: WorkDistribution,
    /// The coefficient of variation of the work, for `lognormal`.
    #[serde(default = "default_one_f64")]
    pub spread: f64,
}

fn default_scope() -> Scope {
    Scope::All
}

fn default_memory() -> Time {
    Time::seconds(10)
}

fn default_law() -> WorkDistribution {
    WorkDistribution::Exponential
}

/// A customer whose clients send commands; a tenant in the node's settings.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Customer {
    pub name: String,
    /// Its part of the commands, relative to the shares of the other customers.
    pub share: f64,
    pub quota_per_s: f64,
}

/// What a trouble does. `strength`, `down` and `every` are fields of `Trouble`.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum TroubleKind {
    /// Backends drain one after the other, and are replaced by new ones or restarted under their names.
    RollingDeploy,
    /// Backends die at the same time and come back cold after `down`.
    Deaths,
    /// Nodes are stopped as planned and restarted, one after the other.
    NodeRestarts,
    /// Nodes are killed and restarted, one after the other.
    NodeDeaths,
    /// The backends of a zone are cut off from the network and reconnected at the end. Their processes keep their state.
    ZoneLoss,
    /// Discovery answers nothing, and its watches end.
    ListOutage,
    /// Backends stall about every `every` for about `down`.
    Stalls,
    /// Backends accept commands and never answer.
    Hangs,
    /// Backends run at `strength` of their speed.
    Slow,
    /// Backends answer the share `strength` of commands with an error at once.
    Errors,
    /// The load is multiplied by `strength`; only that of `customer` if one is given.
    Burst,
    /// The connections of the share `strength` of the launches are reset.
    Resets,
    /// The share `strength` of the answers never arrives, while their connections stay open.
    LostAnswers,
    /// `down` is added to each one-way latency between nodes and backends.
    Delay,
}

impl TroubleKind {
    /// All kinds, in the order in which the search combines them.
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

    /// The kind as text for reports.
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

/// A trouble that backends, nodes, discovery, the load or the network get into.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Trouble {
    pub kind: TroubleKind,
    /// When it starts.
    pub at: Time,
    #[serde(default)]
    pub length: Time,
    /// The share of the backends or nodes that it affects.
    #[serde(default = "default_one_f64")]
    pub share: f64,
    #[serde(default = "default_one_f64")]
    pub strength: f64,
    /// How long what it stops is down; the delay for `Delay`.
    #[serde(default = "default_down")]
    pub down: Time,
    /// The mean time between stalls.
    #[serde(default = "default_down")]
    pub every: Time,
    /// In a rolling deploy: backends are replaced by new ones under new names, not by new processes under the old names.
    #[serde(default)]
    pub swap: bool,
    /// The zone that is lost.
    #[serde(default)]
    pub zone: u16,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub customer: Option<String>,
}

impl Trouble {
    /// When it ends.
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
            down: default_down(),
            every: default_down(),
            swap: false,
            zone: 0,
            customer: None,
        }
    }
}

/// An error in a scenario: the path of the key, and what is wrong with its value.
type Invalid = (String, String);

fn invalid<T>(key: impl Into<String>, why: impl Into<String>) -> Result<T, Invalid> {
    Err((key.into(), why.into()))
}

impl Scenario {
    /// Reads and checks a file. The error names the file, the line and the key.
    pub fn read(path: &Path) -> Result<Scenario, String> {
        let name = path.display();
        let text = std::fs::read_to_string(path).map_err(|e| format!("{name}: {e}"))?;
        Scenario::parse(&text).map_err(|(line, why)| format!("{name}:{line}: {why}"))
    }

    /// Reads and checks a text. The error is the line, counted from 1, and what is wrong there.
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
            .map_err(|(key, why)| (key_position(text, &key).map_or(1, line), format!("{key}: {why}")))?;
        Ok(scenario)
    }

    /// Checks what the types do not express. The error is the path of a key, and what is wrong there.
    pub fn check(&self) -> Result<(), Invalid> {
        let is_share = |key: &str, n: f64| match (0.0..=1.0).contains(&n) {
            true => Ok(()),
            false => invalid(key, format!("{n} is not a share from 0 to 1")),
        };
        let in_range = |key: &str, n: f64, min: f64, max: f64| match (min..=max).contains(&n) {
            true => Ok(()),
            false => invalid(key, format!("{n} is not from {min} to {max}")),
        };
        in_range("length", self.length.micros() / 1e6, 0.1, 7200.0)?;
        if self.settle >= self.length {
            return invalid(
                "settle",
                "it has to be shorter than the scenario; otherwise no command is counted",
            );
        }
        in_range("nodes", f64::from(self.nodes), 1.0, 2000.0)?;
        in_range("zones", f64::from(self.zones), 1.0, 64.0)?;
        match (self.load.share, self.load.per_s) {
            (Some(n), None) => in_range("load.share", n, 0.0, 100.0)?,
            (None, Some(n)) => in_range("load.per_s", n, 0.0, 1e6)?,
            _ => return invalid("load", "give either share or per_s"),
        }
        is_share("load.swing", self.load.swing)?;
        is_share("clients.leaving", self.clients.leaving)?;
        in_range("clients.retries", f64::from(self.clients.retries), 0.0, 100.0)?;
        in_range("clients.hints", self.clients.hints, 0.0, 10.0)?;
        is_share("net.resets", self.net.resets)?;
        in_range("allow.launches", f64::from(self.allow.launches), 1.0, 8.0)?;
        in_range("allow.push_over", self.allow.push_over, 0.1, 1000.0)?;
        if self.allow.push_span == Time(0) {
            return invalid("allow.push_span", "it must not be 0");
        }
        if let Some(miss) = self.allow.tail_miss {
            in_range("allow.tail_miss", miss, 0.0001, 0.5)?;
        }
        if self.list.ask_within < Time::millis(500) {
            return invalid(
                "list.ask_within",
                "it has to be at least 500ms, because nodes cannot request the list more often",
            );
        }
        if self.backends.is_empty() {
            return invalid("backends", "there are none");
        }
        for (i, kind) in self.backends.iter().enumerate() {
            let key = |name: &str| format!("backends[{i}].{name}");
            in_range(&key("count"), f64::from(kind.count), 1.0, 5000.0)?;
            in_range(&key("cores"), f64::from(kind.cores), 1.0, 256.0)?;
            in_range(&key("speed"), kind.speed, 0.001, 1000.0)?;
            in_range(&key("spread"), kind.spread, 0.0, 2.0)?;
            in_range(&key("queue"), kind.queue, 0.0, 10_000.0)?;
            in_range(&key("group"), f64::from(kind.group), 1.0, 5000.0)?;
            in_range(&key("cold"), kind.cold, 0.01, 1.0)?;
            in_range(&key("crowding"), kind.crowding, 0.0, 1.0)?;
            is_share(&key("errors"), kind.errors)?;
            for (name, episodes) in [("stalls", kind.stalls), ("neighbours", kind.neighbours)] {
                let Some(episodes) = episodes else { continue };
                if episodes.every == Time(0) || episodes.length == Time(0) {
                    return invalid(key(name), "every and length must be greater than 0");
                }
                is_share(&key(&format!("{name}.speed")), episodes.speed)?;
            }
            if let Some(collapse) = kind.collapse {
                in_range(&key("collapse.speed"), collapse.speed, 0.01, 1.0)?;
                if collapse.until >= collapse.at {
                    return invalid(
                        key("collapse.until"),
                        "until has to be less than at; otherwise it recovers as soon as it collapses",
                    );
                }
            }
        }
        if self.profiles.is_empty() {
            return invalid("profiles", "there are none");
        }
        for (i, profile) in self.profiles.iter().enumerate() {
            let key = |name: &str| format!("profiles[{i}].{name}");
            in_range(&key("share"), profile.share, 0.0, 1e6)?;
            in_range(&key("payoff"), profile.payoff, 0.0, 1e9)?;
            in_range(&key("spread"), profile.spread, 0.0, 20.0)?;
            if profile.work == Time(0) {
                return invalid(key("work"), "a command without work is not supported");
            }
            if profile.goal > profile.limit {
                return invalid(key("goal"), "the goal time is longer than the time limit");
            }
            if self.profiles[..i].iter().any(|p| p.name == profile.name) {
                return invalid(key("name"), format!("{:?} is given twice", profile.name));
            }
        }
        if self.profiles.iter().map(|p| p.share).sum::<f64>() <= 0.0 {
            return invalid("profiles", "the sum of their shares is 0");
        }
        for (i, customer) in self.customers.iter().enumerate() {
            in_range(&format!("customers[{i}].share"), customer.share, 0.0, 1e6)?;
            in_range(&format!("customers[{i}].quota_per_s"), customer.quota_per_s, 0.0, 1e9)?;
        }
        for (i, trouble) in self.troubles.iter().enumerate() {
            let key = |name: &str| format!("troubles[{i}].{name}");
            if trouble.at >= self.length {
                return invalid(key("at"), "it starts after the end of the scenario");
            }
            is_share(&key("share"), trouble.share)?;
            in_range(&key("strength"), trouble.strength, 0.0, 1000.0)?;
            if matches!(trouble.kind, TroubleKind::Errors | TroubleKind::Resets | TroubleKind::LostAnswers) {
                is_share(&key("strength"), trouble.strength)?;
            }
            if trouble.zone >= self.zones {
                return invalid(key("zone"), format!("there are {} zones, counted from 0", self.zones));
            }
            if let Some(name) = &trouble.customer {
                if !self.customers.iter().any(|c| &c.name == name) {
                    return invalid(key("customer"), format!("there is no customer {name:?}"));
                }
            }
            if trouble.kind == TroubleKind::Stalls && trouble.every == Time(0) {
                return invalid(key("every"), "stalls need a time between them; use hangs instead");
            }
        }
        self.check_faults()
    }

    /// Whether it can only be played with real processes.
    pub fn needs_processes(&self) -> bool {
        self.view.is_some() || !self.faults.is_empty() || self.drawn.is_some() || self.site_plan.is_some()
    }

    /// All faults on links and processes in the order of time. The seed determines the random ones.
    pub fn schedule(&self, seed: u64) -> Result<Schedule, String> {
        let line = |fault: &FaultEntry| format!("{} {}\n", fault.at.0 / 1000, fault.what);
        let mut schedule: Schedule = self.faults.iter().map(line).collect::<String>().parse()?;
        if let Some(drawn) = &self.drawn {
            let names: Vec<String> = (0..self.nodes).map(|node| format!("n{node}")).collect();
            let agree = self.view.as_ref().map_or(Time(0), |view| view.agree);
            let fault_period = Time(self.length.0.saturating_sub(agree.0 + 1_000_000)).duration();
            schedule.0.extend(Schedule::generate(seed, &names, drawn.faults, fault_period).0);
        }
        schedule.0.sort_by_key(|step| step.at_ms);
        Ok(schedule)
    }

    /// The same scenario with exactly these faults.
    pub fn with_faults(&self, schedule: &Schedule) -> Scenario {
        let fault = |step: &links::schedule::ScheduledFault| FaultEntry {
            at: Time::millis(step.at_ms),
            what: step.fault.to_string(),
        };
        Scenario { faults: schedule.0.iter().map(fault).collect(), drawn: None, ..self.clone() }
    }

    fn check_faults(&self) -> Result<(), Invalid> {
        let is_known = |name: &str| {
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
                return invalid(key("at"), "it is after the scenario's end");
            }
            let read: Result<Schedule, String> = format!("{} {}", fault.at.0 / 1000, fault.what).parse();
            let Ok(read) = read else {
                return invalid(key("what"), format!("{:?} is no fault", fault.what));
            };
            let names: Vec<&String> = read.0.iter().flat_map(|step| step.fault.targets()).collect();
            if let Some(name) = names.iter().find(|name| !is_known(name)) {
                return invalid(key("what"), format!("{name:?} is nobody here"));
            }
            let affects_process = |step: &links::schedule::ScheduledFault| step.fault.is_process_fault();
            if read.0.iter().any(affects_process) && !names.iter().all(|name| name.starts_with('n')) {
                return invalid(key("what"), "only nodes have processes that this fault can be applied to");
            }
        }
        if let Some(plan) = &self.site_plan {
            let plan = sites::plan::Plan::from_toml(plan).map_err(|why| ("site_plan".to_owned(), why))?;
            let mut names = (0..self.zones).map(crate::model::settings::zone_name);
            let missing = names.find(|name| !plan.sites.iter().any(|site| site.name == *name));
            if let Some(name) = missing {
                return invalid("site_plan", format!("it has no site {name}"));
            }
        }
        if let Some(view) = &self.view {
            if view.sure.0 < view.release.0 * 4 {
                return invalid("view.sure", "it has to be at least four times release");
            }
            if view.release.0 < view.period.0 * 4 {
                return invalid("view.release", "it has to be at least four times period");
            }
        }
        if self.drawn.is_some()
            && self.length.0 <= self.view.as_ref().map_or(0, |view| view.agree.0) + 2_000_000
        {
            return invalid(
                "drawn",
                "the scenario is too short for faults before the time in which all nodes have to agree",
            );
        }
        Ok(())
    }

    /// Work per microsecond of the warm fleet.
    pub fn capacity(&self) -> f64 {
        self.backends.iter().map(|k| f64::from(k.count) * f64::from(k.cores) * k.speed).sum()
    }

    /// The mean work of a command, in microseconds on a core of speed one.
    pub fn mean_work(&self) -> f64 {
        let shares: f64 = self.profiles.iter().map(|p| p.share).sum();
        self.profiles.iter().map(|p| p.share * p.work.micros()).sum::<f64>() / shares
    }

    /// Commands per second, without bursts and troubles.
    pub fn rate(&self) -> f64 {
        let share = self.load.share.map(|share| share * self.capacity() * 1e6 / self.mean_work());
        share.or(self.load.per_s).unwrap_or_default()
    }
}

/// The dotted path of the innermost key whose value contains this position of the text.
fn key_at(text: &str, at: usize) -> Option<String> {
    let document = Document::parse(text).ok()?;
    let mut best = None;
    visit_items(document.as_item(), String::new(), &mut |path, start, end| {
        if (start..=end).contains(&at) && !path.is_empty() {
            best = Some(path.to_owned());
        }
    });
    best
}

/// The position of the key with this dotted path, or of the nearest parent that is in the text.
fn key_position(text: &str, key: &str) -> Option<usize> {
    let document = Document::parse(text).ok()?;
    let (mut best, mut length) = (None, 0);
    visit_items(document.as_item(), String::new(), &mut |path, start, _| {
        let above =
            key.strip_prefix(path).is_some_and(|rest| matches!(rest.chars().next(), None | Some('.' | '[')));
        if above && path.len() > length {
            (best, length) = (Some(start), path.len());
        }
    });
    best
}

fn visit_items(item: &Item, path: String, visit: &mut impl FnMut(&str, usize, usize)) {
    if let Some(span) = item.span() {
        visit(&path, span.start, span.end);
    }
    let dot = if path.is_empty() { "" } else { "." };
    if let Some(table) = item.as_table_like() {
        for (name, child) in table.iter() {
            visit_items(child, format!("{path}{dot}{name}"), visit);
        }
    } else if let Some(tables) = item.as_array_of_tables() {
        for (i, table) in tables.iter().enumerate() {
            let inner = format!("{path}[{i}]");
            if let Some(span) = table.span() {
                visit(&inner, span.start, span.end);
            }
            for (name, child) in table.iter() {
                visit_items(child, format!("{inner}.{name}"), visit);
            }
        }
    }
}
