//! The configuration of the node: environment variables, and the file that they name.

use crate::limits::Limits;
use crate::names::Names;
use crate::trial::TrialConfig;
use serde_json::Value;
use sites::plan::Plan;
use std::net::SocketAddr;
use std::time::Duration;
use yarrowfront::settings::Settings;
use yarrowfront::times::Micros;
use yarrowfront_view::config::ViewConfig;

/// The complete configuration of a process.
pub struct Config {
    pub name: String,
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    /// A directory that the node's processes share, if there is one.
    pub shared_dir: Option<String>,
    /// The address for operators' requests.
    pub admin: Option<SocketAddr>,
    pub seed: u64,
    pub settings: Settings,
    pub names: Names,
    pub limits: Limits,
    /// The list as this node last had it, as a cache for the start.
    pub cached_list: Option<Value>,
    /// The operators' file for the fleet view, if one is named; without it the node keeps no view.
    pub view: Option<ViewConfig>,
    /// The operators' file for rollouts, if one is named; without it the node keeps no statistics and
    /// accepts no trial settings.
    pub trial: Option<TrialConfig>,
    /// The operators' site failover plan, if one is named; without it the node admits every command.
    pub sites: Option<Plan>,
    /// The whole file, to determine later what a new one changes.
    pub file: Value,
}

/// The program's version with an optional label from its operators (`ROUTER_BUILD`), which tells two builds
/// of a version apart.
pub fn build() -> String {
    let label = std::env::var("ROUTER_BUILD").ok().filter(|label| !label.is_empty());
    let version = env!("CARGO_PKG_VERSION");
    label.map_or(version.to_owned(), |label| {
        format!("{version}+{}", label.chars().take(24).collect::<String>())
    })
}

/// Looks up a value by a dotted path; the error names the path.
pub fn lookup<'a>(value: &'a Value, path: &str) -> Result<&'a Value, String> {
    let found = path.split('.').try_fold(value, |v, key| v.get(key));
    found.filter(|v| !v.is_null()).ok_or_else(|| format!("{path} is missing"))
}

fn string(value: &Value, path: &str) -> Result<String, String> {
    lookup(value, path)?.as_str().map(str::to_owned).ok_or_else(|| format!("{path} is not a string"))
}

fn address(text: &str, path: &str) -> Result<SocketAddr, String> {
    text.parse().map_err(|_| format!("{path} is not an IP address with a port: {text}"))
}

fn number(value: &Value, path: &str) -> Result<f64, String> {
    let n = lookup(value, path)?.as_f64().filter(|n| (1.0..1e15).contains(n));
    n.ok_or_else(|| format!("{path} is not a number of at least 1"))
}

fn duration_from_ns(value: &Value, path: &str) -> Result<Duration, String> {
    number(value, path).map(|n| Duration::from_nanos(n as u64))
}

/// The strings in an array, or under one key of its objects. An absent array counts as empty.
fn strings(value: &Value, path: &str, key: Option<&str>) -> Result<Vec<String>, String> {
    let Ok(list) = lookup(value, path) else { return Ok(Vec::new()) };
    let list = list.as_array().ok_or_else(|| format!("{path} is not an array"))?;
    let item = |(i, v): (usize, &Value)| {
        let v = key.map_or(Some(v), |k| v.get(k));
        v.and_then(Value::as_str).map(str::to_owned).ok_or_else(|| match key {
            Some(key) => format!("{path}[{i}].{key} is not a string"),
            None => format!("{path}[{i}] is not a string"),
        })
    };
    let found: Vec<String> = list.iter().enumerate().map(item).collect::<Result<_, String>>()?;
    match found.iter().enumerate().find(|(i, text)| found[..*i].contains(text)) {
        Some((_, duplicate)) => Err(format!("{path} names {duplicate:?} twice")),
        None => Ok(found),
    }
}

/// The operators' file for the fleet view, with the seeds from their separate file, if it names one.
fn read_view(path: &str) -> Result<ViewConfig, String> {
    let text = std::fs::read_to_string(path).map_err(|e| format!("fleet: {path}: {e}"))?;
    let mut view = ViewConfig::from_toml(&text).map_err(|reason| format!("fleet: {path}: {reason}"))?;
    if let Some(file) = &view.seeds_file {
        view.seeds.extend(read_seeds(file)?);
    }
    Ok(view)
}

/// The operators' file for rollouts.
fn read_trial(path: &str) -> Result<TrialConfig, String> {
    let text = std::fs::read_to_string(path).map_err(|e| format!("rollout: {path}: {e}"))?;
    TrialConfig::from_toml(&text).map_err(|reason| format!("rollout: {path}: {reason}"))
}

/// The operators' site failover plan.
fn read_plan(path: &str) -> Result<Plan, String> {
    let text = std::fs::read_to_string(path).map_err(|e| format!("sites: {path}: {e}"))?;
    Plan::from_toml(&text).map_err(|reason| format!("sites: {path}: {reason}"))
}

/// One address per line; empty lines and lines that begin with `#` are ignored.
pub fn read_seeds(path: &str) -> Result<Vec<SocketAddr>, String> {
    let text = std::fs::read_to_string(path).map_err(|e| format!("seeds_file: {path}: {e}"))?;
    let lines = text.lines().map(str::trim).enumerate();
    let entries = lines.filter(|(_, line)| !line.is_empty() && !line.starts_with('#'));
    let parse_line =
        |(i, line): (usize, &str)| line.parse().map_err(|_| format!("seeds_file: {path}: line {}", i + 1));
    entries.map(parse_line).collect()
}

impl Config {
    /// Reads the file that `ROUTER_CONFIG` names, and the other variables.
    pub fn read(variable: impl Fn(&str) -> Option<String>) -> Result<Config, String> {
        let path = variable("ROUTER_CONFIG").ok_or("ROUTER_CONFIG is not set")?;
        let bytes = std::fs::read(&path).map_err(|e| format!("ROUTER_CONFIG: {path}: {e}"))?;
        let file: Value = serde_json::from_slice(&bytes).map_err(|e| format!("{path}: not JSON: {e}"))?;
        Config::from_file(file, variable)
    }

    /// Reads the configuration from a file that has been parsed already, and from the variables.
    pub fn from_file(file: Value, variable: impl Fn(&str) -> Option<String>) -> Result<Config, String> {
        // An environment variable takes precedence over the file: they differ only if somebody intends it.
        let setting = |name: &str, key: &str| match variable(name) {
            Some(text) => Ok((text, name.to_owned())),
            None => string(&file, key).map(|text| (text, key.to_owned())),
        };
        let (name, _) = setting("ROUTER_NAME", "name")?;
        let (listen, key) = setting("ROUTER_LISTEN", "listen")?;
        let listen = address(&listen, &key)?;
        let (discovery, key) = setting("ROUTER_DISCOVERY", "discovery")?;
        let discovery = address(&discovery, &key)?;
        let admin = match variable("ROUTER_ADMIN").is_some() || lookup(&file, "admin").is_ok() {
            true => Some(setting("ROUTER_ADMIN", "admin")?),
            false => None,
        };
        let admin = admin.map(|(text, key)| address(&text, &key).map(|at| (at, key))).transpose()?;
        if let Some((_, key)) = admin.as_ref().filter(|(at, _)| *at == listen) {
            return Err(format!("{key} must differ from the listening address for clients: {listen}"));
        }
        let admin = admin.map(|(at, _)| at);
        let seed = string(&file, "seed")?;
        let seed = u64::from_str_radix(&seed, 16).map_err(|_| format!("seed is not hexadecimal: {seed}"))?;
        let settings_json = lookup(&file, "settings")?;
        let mut settings = Settings::from_json(settings_json.to_string().as_bytes())?;
        let zones = strings(&file, "settings.zones", None)?;
        if !zones.is_empty() && usize::from(settings.zone) >= zones.len() {
            return Err(format!("settings.zone: there is no zone {} in settings.zones", settings.zone));
        }
        let names = Names::new(
            zones,
            strings(&file, "settings.flavors", None)?,
            strings(&file, "settings.profiles", Some("name"))?,
            strings(&file, "settings.report.names", None)?,
            &settings,
        );
        let longest_time_limit = settings.profiles.iter().map(|p| p.time_limit).max().unwrap_or_default();
        let limits = Limits::compute(
            number(&file, "limits.sockets")? as usize,
            number(&file, "limits.memory_mb")? as usize,
            duration_from_ns(&file, "settings.limits.dialTimeout")?,
            duration_from_ns(&file, "settings.limits.connIdle")?,
            Duration::from_micros(longest_time_limit.0),
        )?;
        // The pool closes idle connections before their backend does, so its idle timeout is the one that
        // counts.
        settings.connection_idle_timeout = Micros(limits.backend_idle_timeout.get().as_micros() as u64);
        let cached_list = file.get("known").filter(|k| !k.is_null()).cloned();
        let shared_dir = variable("TMPDIR");
        let view = match variable("ROUTER_FLEET").is_some() || lookup(&file, "fleet").is_ok() {
            true => Some(read_view(&setting("ROUTER_FLEET", "fleet")?.0)?),
            false => None,
        };
        let trial = match variable("ROUTER_ROLLOUT").is_some() || lookup(&file, "rollout").is_ok() {
            true => Some(read_trial(&setting("ROUTER_ROLLOUT", "rollout")?.0)?),
            false => None,
        };
        let sites = match variable("ROUTER_SITES").is_some() || lookup(&file, "sites").is_ok() {
            true => Some(read_plan(&setting("ROUTER_SITES", "sites")?.0)?),
            false => None,
        };
        if trial.is_some() && admin.is_none() {
            return Err("rollout: an admin address is required".to_owned());
        }
        Ok(Config {
            name,
            listen,
            discovery,
            shared_dir,
            admin,
            seed,
            settings,
            names,
            limits,
            cached_list,
            view,
            trial,
            sites,
            file,
        })
    }
}
