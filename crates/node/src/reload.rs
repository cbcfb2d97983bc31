//! Configuration changes while the node serves: a reload of the file on SIGHUP, and trial settings, which an
//! operator's request brings and which are rolled back unless they are confirmed.

use crate::config::{lookup, Config};
use crate::dispatcher::Dispatcher;
use crate::fleet::{Fleet, NodeIdentity};
use crate::lifecycle::Lifecycle;
use crate::limits::Limits;
use crate::log::{log, write_unlimited};
use crate::sites::Sites;
use crate::trial::{write_atomically, ActiveTrial, QueuedAction, Trial, TrialAction, TrialReply};
use hyper::StatusCode;
use serde_json::Value;
use std::cell::Cell;
use std::collections::BTreeSet;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::sync::{mpsc, watch};
use tokio::time::{sleep_until, Instant};

/// The optional stages, each present if its file is configured.
pub type OptionalStages = (Option<Rc<Fleet>>, Option<Rc<Trial>>, Option<Rc<Sites>>);

/// Applies configuration changes: holds the configuration in force and the stages that follow it.
pub struct Reload {
    hangup: mpsc::UnboundedReceiver<()>,
    discovery: watch::Sender<SocketAddr>,
    /// The file as it was last adopted.
    file: Value,
    dispatcher: Rc<Dispatcher>,
    limits: Rc<Limits>,
    lifecycle: Rc<Lifecycle>,
    fleet: Option<Rc<Fleet>>,
    trial: Option<Rc<Trial>>,
    sites: Option<Rc<Sites>>,
    /// The file before the trial, and the digest of the settings in force.
    file_before_trial: Option<Value>,
    settings_digest: Rc<Cell<u64>>,
}

/// Keys that only a restart can change: the node's identity and the resources of the process.
const RESTART_ONLY_KEYS: [&str; 10] = [
    "name",
    "listen",
    "admin",
    "fleet",
    "rollout",
    "sites",
    "seed",
    "limits.cores",
    "limits.memory_mb",
    "limits.sockets",
];

/// Collects the paths of all values that differ, descending into objects.
fn collect_changes(old: Option<&Value>, new: Option<&Value>, path: &str, found: &mut Vec<String>) {
    if let (Some(Value::Object(a)), Some(Value::Object(b))) = (old, new) {
        for key in a.keys().chain(b.keys()).collect::<BTreeSet<_>>() {
            collect_changes(a.get(key), b.get(key), &format!("{path}.{key}"), found);
        }
    } else if old != new {
        found.push(path.to_owned());
    }
}

impl Reload {
    pub fn new(
        hangup: mpsc::UnboundedReceiver<()>,
        discovery: watch::Sender<SocketAddr>,
        file: Value,
        (dispatcher, limits, lifecycle): (Rc<Dispatcher>, Rc<Limits>, Rc<Lifecycle>),
        (fleet, trial, sites): OptionalStages,
    ) -> Reload {
        let settings_digest = Rc::new(Cell::new(NodeIdentity::of(&file, &dispatcher).settings_digest));
        Reload {
            hangup,
            discovery,
            file,
            dispatcher,
            limits,
            lifecycle,
            fleet,
            trial,
            sites,
            file_before_trial: None,
            settings_digest,
        }
    }

    /// The digest of the settings in force, without those that are specific to each node.
    pub fn settings_digest(&self) -> Rc<Cell<u64>> {
        self.settings_digest.clone()
    }

    /// Reloads the file on each signal and handles trial requests. A file with any error changes nothing.
    pub async fn run(mut self, actions: Option<mpsc::UnboundedReceiver<QueuedAction>>) {
        let mut actions = actions;
        loop {
            let expiry = self.trial.as_ref().and_then(|trial| trial.expiry());
            tokio::select! {
                signal = self.hangup.recv() => {
                    if signal.is_none() {
                        return;
                    }
                    // Each signal gets its own line, not subject to the rate limit, as its sender waits for
                    // it.
                    match self.reload_file() {
                        Ok(changed) => {
                            let discovery = *self.discovery.borrow();
                            write_unlimited(format_args!("reload: discovery is at {discovery}; {changed}"));
                        }
                        Err(reason) => write_unlimited(format_args!("reload: the old configuration stays: {reason}")),
                    }
                }
                Some((action, reply)) = next_action(&mut actions) => {
                    let is_query = matches!(action, TrialAction::GetSettings | TrialAction::Check { .. });
                    let answer = self.execute(action);
                    if !is_query {
                        let new_state = answer.as_ref().unwrap_or_else(|(_, reason)| reason);
                        log!("rollout: {new_state}");
                    }
                    let _ = reply.send(answer);
                }
                () = sleep_until(expiry.unwrap_or_else(Instant::now)), if expiry.is_some() => {
                    if let Some(trial) = &self.trial {
                        trial.expired.set(trial.expired.get() + 1);
                    }
                    match self.roll_back() {
                        Ok(new_state) => log!("rollout: the trial has expired without a request from its leader: {new_state}"),
                        Err((_, reason)) => log!("rollout: the trial has expired without a request from its leader: {reason}"),
                    }
                }
            }
        }
    }

    /// The environment variables that apply to a reload. Discovery's address may have changed since the
    /// start, so the file takes precedence over the variable.
    fn variable(name: &str) -> Option<String> {
        (name != "ROUTER_DISCOVERY").then(|| std::env::var(name).ok())?
    }

    fn reload_file(&mut self) -> Result<String, String> {
        if self.file_before_trial.is_some() {
            return Err("settings are on trial in a rollout".to_owned());
        }
        let new = Config::read(Self::variable)?;
        if let Some(path) = RESTART_ONLY_KEYS
            .iter()
            .find(|path| lookup(&self.file, path).ok() != lookup(&new.file, path).ok())
        {
            return Err(format!("{path} takes a restart to change"));
        }
        let new_discovery = new.discovery;
        let changed = self.adopt(new)?;
        self.discovery.send_if_modified(|address| std::mem::replace(address, new_discovery) != new_discovery);
        Ok(changed)
    }

    /// Adopts the settings and the fleet view's configuration from this file.
    fn adopt(&mut self, new: Config) -> Result<String, String> {
        if let (Some(fleet), Some(view)) = (&self.fleet, &new.view) {
            fleet.check_reload(view)?;
        }
        if let (Some(sites), Some(plan)) = (&self.sites, &new.sites) {
            sites.replace_plan(plan.clone())?;
        }
        let mut changed = Vec::new();
        collect_changes(self.file.get("settings"), new.file.get("settings"), "settings", &mut changed);
        // Unchanged settings are not applied again, which would reset what derives from them.
        if !changed.is_empty() {
            let (names, settings) = self.dispatcher.names().merged_with(&new.names, new.settings)?;
            self.limits.adopt(&new.limits);
            self.dispatcher.replace_settings(names, settings);
        }
        let identity = NodeIdentity::of(&new.file, &self.dispatcher);
        self.settings_digest.set(identity.settings_digest);
        if let (Some(fleet), Some(view)) = (&self.fleet, new.view) {
            fleet.adopt(view, identity);
        }
        self.file = new.file;
        Ok(match changed.is_empty() {
            true => "the settings are as they were".to_owned(),
            false => format!("changed: {}", changed.join(", ")),
        })
    }

    /// Carries out a request of the rollout's leader.
    fn execute(&mut self, action: TrialAction) -> TrialReply {
        let Some(trial) = self.trial.clone() else { return Err(conflict("no trial is possible here")) };
        if self.lifecycle.is_stopping() || self.lifecycle.has_successor() {
            return Err(conflict("this process is going"));
        }
        let settings_digest = |cell: &Cell<u64>| format!("{:016x}", cell.get());
        match action {
            TrialAction::Lead => Ok("led".to_owned()),
            TrialAction::GetSettings => Ok(self.file["settings"].to_string()),
            TrialAction::Check { settings } => {
                let unprocessable = |reason| (StatusCode::UNPROCESSABLE_ENTITY, reason);
                let mut file = self.file.clone();
                file["settings"] =
                    with_node_identity(settings, &self.file["settings"]).map_err(unprocessable)?;
                let new = Config::from_file(file, Self::variable).map_err(unprocessable)?;
                let names = self.dispatcher.names().merged_with(&new.names, new.settings);
                names.map_err(unprocessable)?;
                Ok(format!("{:016x}", NodeIdentity::of(&new.file, &self.dispatcher).settings_digest))
            }
            TrialAction::Try { from, settings, for_ms } => {
                let expires_at = Instant::now() + trial.trial_duration(for_ms)?;
                let former_digest = trial.active.borrow().as_ref().map(|active| active.former_digest.clone());
                if former_digest.as_ref().is_some_and(|former| *former != from) {
                    return Err(conflict("other settings are on trial"));
                }
                let current_digest = settings_digest(&self.settings_digest);
                if former_digest.is_none() && current_digest != from {
                    return Err(conflict(&format!("this node goes by {current_digest}")));
                }
                let mut file = self.file.clone();
                let unprocessable = |reason| (StatusCode::UNPROCESSABLE_ENTITY, reason);
                file["settings"] =
                    with_node_identity(settings, &self.file["settings"]).map_err(unprocessable)?;
                let new = Config::from_file(file, Self::variable).map_err(unprocessable)?;
                let previous_file = self.file.clone();
                let changed = self.adopt(new).map_err(unprocessable)?;
                self.file_before_trial.get_or_insert(previous_file);
                *trial.active.borrow_mut() = Some(ActiveTrial { former_digest: from, expires_at });
                Ok(format!("{} on trial; {changed}", settings_digest(&self.settings_digest)))
            }
            TrialAction::Extend { for_ms } => {
                let expires_at = Instant::now() + trial.trial_duration(for_ms)?;
                match trial.active.borrow_mut().as_mut() {
                    Some(active) => active.expires_at = expires_at,
                    None => return Err(conflict("nothing is on trial")),
                }
                Ok(format!("{} goes on", settings_digest(&self.settings_digest)))
            }
            TrialAction::Confirm => {
                if self.file_before_trial.is_some() {
                    self.persist_settings().map_err(|reason| (StatusCode::INTERNAL_SERVER_ERROR, reason))?;
                    self.file_before_trial = None;
                    *trial.active.borrow_mut() = None;
                }
                Ok(format!("{} holds", settings_digest(&self.settings_digest)))
            }
            TrialAction::RollBack => self.roll_back(),
        }
    }

    /// Returns to the former settings if others are on trial.
    fn roll_back(&mut self) -> TrialReply {
        if let Some(trial) = &self.trial {
            *trial.active.borrow_mut() = None;
        }
        let Some(former) = self.file_before_trial.take() else { return Ok("nothing is on trial".to_owned()) };
        let new = Config::from_file(former, Self::variable).and_then(|former| self.adopt(former));
        let changed = new.map_err(|reason| (StatusCode::INTERNAL_SERVER_ERROR, reason))?;
        Ok(format!("{:016x} again; {changed}", self.settings_digest.get()))
    }

    /// Writes the settings to the configuration file; the rest of the file stays as it is.
    fn persist_settings(&self) -> Result<(), String> {
        let path = Self::variable("ROUTER_CONFIG").ok_or("ROUTER_CONFIG is not set")?;
        let written = || -> io::Result<()> {
            let mut file: Value = serde_json::from_slice(&std::fs::read(&path)?)?;
            file["settings"] = self.file["settings"].clone();
            write_atomically(path.as_ref(), &serde_json::to_vec_pretty(&file)?)
        };
        written().map_err(|e| format!("{path}: {e}"))
    }
}

/// The leader's settings with this node's own values: its index, and its zone by name, which may have
/// another index there.
fn with_node_identity(mut settings: Value, own_settings: &Value) -> Result<Value, String> {
    let text =
        |settings: &Value, zone_index: usize| settings["zones"][zone_index].as_str().map(str::to_owned);
    let zone = own_settings["zone"].as_u64().unwrap_or(0) as usize;
    let zone_index = match text(own_settings, zone) {
        Some(name) => {
            let zones = settings["zones"].as_array().map(Vec::as_slice).unwrap_or_default();
            let found = zones.iter().position(|z| z.as_str() == Some(&name));
            found.ok_or_else(|| format!("settings.zones: this node's {name:?} is not there"))?
        }
        None => zone,
    };
    let Some(fields) = settings.as_object_mut() else { return Err("settings are no object".to_owned()) };
    fields.insert("zone".to_owned(), zone_index.into());
    match own_settings.get("me") {
        Some(me) => drop(fields.insert("me".to_owned(), me.clone())),
        None => drop(fields.remove("me")),
    }
    Ok(settings)
}

fn conflict(reason: &str) -> (StatusCode, String) {
    (StatusCode::CONFLICT, reason.to_owned())
}

async fn next_action(actions: &mut Option<mpsc::UnboundedReceiver<QueuedAction>>) -> Option<QueuedAction> {
    match actions {
        Some(actions) => actions.recv().await,
        None => std::future::pending().await,
    }
}

#[cfg(test)]
mod tests {
    use super::with_node_identity;
    use serde_json::json;

    /// The same settings are sent to all nodes. If they replaced each node's own index and zone by the
    /// leader's, all nodes would count as one, and each would take another site's backends for its own.
    #[test]
    fn leader_settings_keep_each_nodes_index_and_zone() {
        let own_settings = json!({"me": 3, "zone": 1, "zones": ["a", "b"], "balancers": 4});
        let new = json!({"me": 0, "zone": 0, "zones": ["b", "c", "a"], "balancers": 4});
        let found = with_node_identity(new, &own_settings).expect("settings");
        assert_eq!((&found["me"], &found["zone"]), (&json!(3), &json!(0)));
        assert!(with_node_identity(json!({"zones": ["a"]}), &own_settings).is_err(), "its site is gone");
        assert!(with_node_identity(json!(7), &own_settings).is_err());
        let nameless =
            with_node_identity(json!({"me": 9, "zone": 2}), &json!({"zone": 0})).expect("settings");
        assert_eq!((nameless.get("me"), &nameless["zone"]), (None, &json!(0)));
    }
}
