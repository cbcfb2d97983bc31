//! What the node is told at start: the variables, and the file they name.

use crate::limits::Limits;
use crate::names::Names;
use crate::trial::TrialTerms;
use serde_json::Value;
use sites::plan::Plan;
use std::net::SocketAddr;
use std::time::Duration;
use yarrowfront::settings::Settings;
use yarrowfront::times::Micros;
use yarrowfront_view::config::ViewConfig;

pub struct Start {
    pub name: String,
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    /// A folder that the node's processes share, if there is one.
    pub folder: Option<String>,
    /// Where operators call.
    pub admin: Option<SocketAddr>,
    pub seed: u64,
    pub terms: Settings,
    pub names: Names,
    pub limits: Limits,
    /// The list as this node last had it.
    pub known: Option<Value>,
    /// The operators' file of the view of the fleet, where one is named: without it there is none.
    pub view: Option<ViewConfig>,
    /// The operators' file of rolling changes, where one is named: without it nothing is counted or taken on trial.
    pub trial: Option<TrialTerms>,
    /// The operators' plan for the loss of sites, where one is named: without it everything is let in.
    pub sites: Option<Plan>,
    /// All of the file, to tell what another one changes.
    pub file: Value,
}

/// The program's version, with a label that its operators give it (`ROUTER_BUILD`), to tell two builds apart.
pub fn build() -> String {
    let label = std::env::var("ROUTER_BUILD").ok().filter(|label| !label.is_empty());
    let version = env!("CARGO_PKG_VERSION");
    label.map_or(version.to_owned(), |label| {
        format!("{version}+{}", label.chars().take(24).collect::<String>())
    })
}

/// Walks down to a value and names the key if it isn't there.
pub fn at<'a>(value: &'a Value, path: &str) -> Result<&'a Value, String> {
    let found = path.split('.').try_fold(value, |v, key| v.get(key));
    found.filter(|v| !v.is_null()).ok_or_else(|| format!("{path} is missing"))
}

fn text(value: &Value, path: &str) -> Result<String, String> {
    at(value, path)?.as_str().map(str::to_owned).ok_or_else(|| format!("{path} is not a text"))
}

fn address(text: &str, path: &str) -> Result<SocketAddr, String> {
    text.parse().map_err(|_| format!("{path} is not an address with a port: {text}"))
}

fn number(value: &Value, path: &str) -> Result<f64, String> {
    let n = at(value, path)?.as_f64().filter(|n| (1.0..1e15).contains(n));
    n.ok_or_else(|| format!("{path} is not a number from 1 on"))
}

fn nanos(value: &Value, path: &str) -> Result<Duration, String> {
    number(value, path).map(|n| Duration::from_nanos(n as u64))
}

/// The texts of a list, or of one key of its objects; none where there is no such list.
fn texts(value: &Value, path: &str, key: Option<&str>) -> Result<Vec<String>, String> {
    let Ok(list) = at(value, path) else { return Ok(Vec::new()) };
    let list = list.as_array().ok_or_else(|| format!("{path} is not a list"))?;
    let item = |(i, v): (usize, &Value)| {
        let v = key.map_or(Some(v), |k| v.get(k));
        v.and_then(Value::as_str).map(str::to_owned).ok_or_else(|| match key {
            Some(key) => format!("{path}[{i}].{key} is not a text"),
            None => format!("{path}[{i}] is not a text"),
        })
    };
    let found: Vec<String> = list.iter().enumerate().map(item).collect::<Result<_, String>>()?;
    match found.iter().enumerate().find(|(i, text)| found[..*i].contains(text)) {
        Some((_, twice)) => Err(format!("{path} names {twice:?} twice")),
        None => Ok(found),
    }
}

/// The operators' file of the view, with the seeds that a file of their own names.
fn view(path: &str) -> Result<ViewConfig, String> {
    let text = std::fs::read_to_string(path).map_err(|e| format!("fleet: {path}: {e}"))?;
    let mut view = ViewConfig::from_toml(&text).map_err(|why| format!("fleet: {path}: {why}"))?;
    if let Some(file) = &view.seeds_file {
        view.seeds.extend(seeds(file)?);
    }
    Ok(view)
}

/// The operators' file of rolling changes.
fn trial(path: &str) -> Result<TrialTerms, String> {
    let text = std::fs::read_to_string(path).map_err(|e| format!("rollout: {path}: {e}"))?;
    TrialTerms::from_toml(&text).map_err(|why| format!("rollout: {path}: {why}"))
}

/// The operators' plan for the loss of sites.
fn plan(path: &str) -> Result<Plan, String> {
    let text = std::fs::read_to_string(path).map_err(|e| format!("sites: {path}: {e}"))?;
    Plan::from_toml(&text).map_err(|why| format!("sites: {path}: {why}"))
}

/// One address a line; empty lines and those that begin with `#` say nothing.
pub fn seeds(path: &str) -> Result<Vec<SocketAddr>, String> {
    let text = std::fs::read_to_string(path).map_err(|e| format!("seeds_file: {path}: {e}"))?;
    let lines = text.lines().map(str::trim).enumerate();
    let said = lines.filter(|(_, line)| !line.is_empty() && !line.starts_with('#'));
    let read =
        |(i, line): (usize, &str)| line.parse().map_err(|_| format!("seeds_file: {path}: line {}", i + 1));
    said.map(read).collect()
}

impl Start {
    pub fn read(variable: impl Fn(&str) -> Option<String>) -> Result<Start, String> {
        let path = variable("ROUTER_CONFIG").ok_or("ROUTER_CONFIG is not set")?;
        let bytes = std::fs::read(&path).map_err(|e| format!("ROUTER_CONFIG: {path}: {e}"))?;
        let file: Value = serde_json::from_slice(&bytes).map_err(|e| format!("{path}: not JSON: {e}"))?;
        Start::of(file, variable)
    }

    /// The same of a file that is read already.
    pub fn of(file: Value, variable: impl Fn(&str) -> Option<String>) -> Result<Start, String> {
        // A variable that is set goes before the file: the two say the same unless somebody means it.
        let told = |name: &str, key: &str| match variable(name) {
            Some(text) => Ok((text, name.to_owned())),
            None => text(&file, key).map(|text| (text, key.to_owned())),
        };
        let (name, _) = told("ROUTER_NAME", "name")?;
        let (listen, key) = told("ROUTER_LISTEN", "listen")?;
        let listen = address(&listen, &key)?;
        let (discovery, key) = told("ROUTER_DISCOVERY", "discovery")?;
        let discovery = address(&discovery, &key)?;
        let admin = match variable("ROUTER_ADMIN").is_some() || at(&file, "admin").is_ok() {
            true => Some(told("ROUTER_ADMIN", "admin")?),
            false => None,
        };
        let admin = admin.map(|(text, key)| address(&text, &key).map(|at| (at, key))).transpose()?;
        if let Some((_, key)) = admin.as_ref().filter(|(at, _)| *at == listen) {
            return Err(format!("{key} is where clients connect: {listen}"));
        }
        let admin = admin.map(|(at, _)| at);
        let seed = text(&file, "seed")?;
        let seed = u64::from_str_radix(&seed, 16).map_err(|_| format!("seed is not hexadecimal: {seed}"))?;
        let settings = at(&file, "settings")?;
        let mut terms = Settings::from_json(settings.to_string().as_bytes())?;
        let zones = texts(&file, "settings.zones", None)?;
        if !zones.is_empty() && usize::from(terms.zone) >= zones.len() {
            return Err(format!("settings.zone: there is no zone {} in settings.zones", terms.zone));
        }
        let names = Names::new(
            zones,
            texts(&file, "settings.flavors", None)?,
            texts(&file, "settings.profiles", Some("name"))?,
            texts(&file, "settings.report.names", None)?,
            &terms,
        );
        let longest = terms.profiles.iter().map(|p| p.time_limit).max().unwrap_or_default();
        let limits = Limits::fill(
            number(&file, "limits.sockets")? as usize,
            number(&file, "limits.memory_mb")? as usize,
            nanos(&file, "settings.limits.dialTimeout")?,
            nanos(&file, "settings.limits.connIdle")?,
            Duration::from_micros(longest.0),
        )?;
        // The pool lets go of connections before their backend does: only those it has count.
        terms.connection_idle_timeout = Micros(limits.backend_idle.get().as_micros() as u64);
        let known = file.get("known").filter(|k| !k.is_null()).cloned();
        let folder = variable("TMPDIR");
        let view = match variable("ROUTER_FLEET").is_some() || at(&file, "fleet").is_ok() {
            true => Some(view(&told("ROUTER_FLEET", "fleet")?.0)?),
            false => None,
        };
        let trial = match variable("ROUTER_ROLLOUT").is_some() || at(&file, "rollout").is_ok() {
            true => Some(trial(&told("ROUTER_ROLLOUT", "rollout")?.0)?),
            false => None,
        };
        let sites = match variable("ROUTER_SITES").is_some() || at(&file, "sites").is_ok() {
            true => Some(plan(&told("ROUTER_SITES", "sites")?.0)?),
            false => None,
        };
        if trial.is_some() && admin.is_none() {
            return Err("rollout: nobody can call without an admin address".to_owned());
        }
        Ok(Start {
            name,
            listen,
            discovery,
            folder,
            admin,
            seed,
            terms,
            names,
            limits,
            known,
            view,
            trial,
            sites,
            file,
        })
    }
}
