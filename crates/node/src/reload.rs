//! Configuration changes while the node serves: a reload of the file on SIGHUP, and trial settings, which an
//! operator's request brings and which are rolled back unless they are confirmed.

use crate::config::{at, Start};
use crate::dispatcher::Dispatcher;
use crate::fleet::{Fleet, Own};
use crate::lifecycle::Stop;
use crate::limits::Limits;
use crate::log::{line, note};
use crate::sites::Sites;
use crate::trial::{replace, Answer, Asked, On, Trial, Word};
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
pub type Beside = (Option<Rc<Fleet>>, Option<Rc<Trial>>, Option<Rc<Sites>>);

pub struct Reload {
    hangup: mpsc::UnboundedReceiver<()>,
    discovery: watch::Sender<SocketAddr>,
    /// The file as it was last adopted.
    file: Value,
    dispatcher: Rc<Dispatcher>,
    limits: Rc<Limits>,
    stop: Rc<Stop>,
    fleet: Option<Rc<Fleet>>,
    trial: Option<Rc<Trial>>,
    sites: Option<Rc<Sites>>,
    /// The file before the trial, and the digest of the settings in force.
    former: Option<Value>,
    digest: Rc<Cell<u64>>,
}

/// Keys that only a restart can change: the node's identity and the resources of the process.
const FIXED: [&str; 10] = [
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
fn changes(old: Option<&Value>, new: Option<&Value>, path: &str, found: &mut Vec<String>) {
    if let (Some(Value::Object(a)), Some(Value::Object(b))) = (old, new) {
        for key in a.keys().chain(b.keys()).collect::<BTreeSet<_>>() {
            changes(a.get(key), b.get(key), &format!("{path}.{key}"), found);
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
        (dispatcher, limits, stop): (Rc<Dispatcher>, Rc<Limits>, Rc<Stop>),
        (fleet, trial, sites): Beside,
    ) -> Reload {
        let digest = Rc::new(Cell::new(Own::of(&file, &dispatcher).digest));
        Reload {
            hangup,
            discovery,
            file,
            dispatcher,
            limits,
            stop,
            fleet,
            trial,
            sites,
            former: None,
            digest,
        }
    }

    /// The digest of the settings in force, without those that are specific to each node.
    pub fn digest(&self) -> Rc<Cell<u64>> {
        self.digest.clone()
    }

    /// Reloads the file on each signal and handles trial requests. A file with any error changes nothing.
    pub async fn run(mut self, asked: Option<mpsc::UnboundedReceiver<Asked>>) {
        let mut asked = asked;
        loop {
            let due = self.trial.as_ref().and_then(|trial| trial.due());
            tokio::select! {
                came = self.hangup.recv() => {
                    if came.is_none() {
                        return;
                    }
                    // Each signal gets its own line, not subject to the rate limit, as its sender waits for
                    // it.
                    match self.take() {
                        Ok(changed) => {
                            let discovery = *self.discovery.borrow();
                            line(format_args!("reload: discovery is at {discovery}; {changed}"));
                        }
                        Err(why) => line(format_args!("reload: the old configuration stays: {why}")),
                    }
                }
                Some((word, reply)) = next(&mut asked) => {
                    let asked = matches!(word, Word::Tell | Word::Weigh { .. });
                    let answer = self.led(word);
                    if !asked {
                        let now = answer.as_ref().unwrap_or_else(|(_, why)| why);
                        note!("rollout: {now}");
                    }
                    let _ = reply.send(answer);
                }
                () = sleep_until(due.unwrap_or_else(Instant::now)), if due.is_some() => {
                    if let Some(trial) = &self.trial {
                        trial.lapsed.set(trial.lapsed.get() + 1);
                    }
                    match self.back() {
                        Ok(now) => note!("rollout: the trial has expired without a request from its leader: {now}"),
                        Err((_, why)) => note!("rollout: the trial has expired without a request from its leader: {why}"),
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

    fn take(&mut self) -> Result<String, String> {
        if self.former.is_some() {
            return Err("settings are on trial in a rollout".to_owned());
        }
        let new = Start::read(Self::variable)?;
        if let Some(path) = FIXED.iter().find(|path| at(&self.file, path).ok() != at(&new.file, path).ok()) {
            return Err(format!("{path} can be changed only by a restart"));
        }
        let moved = new.discovery;
        let changed = self.adopt(new)?;
        self.discovery.send_if_modified(|at| std::mem::replace(at, moved) != moved);
        Ok(changed)
    }

    /// Adopts the settings and the fleet view's configuration from this file.
    fn adopt(&mut self, new: Start) -> Result<String, String> {
        if let (Some(fleet), Some(view)) = (&self.fleet, &new.view) {
            fleet.may_follow(view)?;
        }
        if let (Some(sites), Some(plan)) = (&self.sites, &new.sites) {
            sites.replace_plan(plan.clone())?;
        }
        let mut changed = Vec::new();
        changes(self.file.get("settings"), new.file.get("settings"), "settings", &mut changed);
        // Unchanged settings are not applied again, which would reset what derives from them.
        if !changed.is_empty() {
            let (names, settings) = self.dispatcher.names().merged_with(&new.names, new.settings)?;
            self.limits.follow(&new.limits);
            self.dispatcher.replace_settings(names, settings);
        }
        let own = Own::of(&new.file, &self.dispatcher);
        self.digest.set(own.digest);
        if let (Some(fleet), Some(view)) = (&self.fleet, new.view) {
            fleet.follow(view, own);
        }
        self.file = new.file;
        Ok(match changed.is_empty() {
            true => "the settings are as they were".to_owned(),
            false => format!("changed: {}", changed.join(", ")),
        })
    }

    /// Carries out a request of the rollout's leader.
    fn led(&mut self, word: Word) -> Answer {
        let Some(trial) = self.trial.clone() else { return Err(conflict("no rollout is configured here")) };
        if self.stop.stopping() || self.stop.succeeded() {
            return Err(conflict("this process is stopping or has been succeeded"));
        }
        let digest = |cell: &Cell<u64>| format!("{:016x}", cell.get());
        match word {
            Word::Lead => Ok("led".to_owned()),
            Word::Tell => Ok(self.file["settings"].to_string()),
            Word::Weigh { settings } => {
                let bad = |why| (StatusCode::UNPROCESSABLE_ENTITY, why);
                let mut file = self.file.clone();
                file["settings"] = kept(settings, &self.file["settings"]).map_err(bad)?;
                let new = Start::of(file, Self::variable).map_err(bad)?;
                let names = self.dispatcher.names().merged_with(&new.names, new.settings);
                names.map_err(bad)?;
                Ok(format!("{:016x}", Own::of(&new.file, &self.dispatcher).digest))
            }
            Word::Try { from, settings, for_ms } => {
                let until = Instant::now() + trial.span(for_ms)?;
                let former = trial.on.borrow().as_ref().map(|on| on.former.clone());
                if former.as_ref().is_some_and(|former| *former != from) {
                    return Err(conflict("other settings are on trial"));
                }
                let own = digest(&self.digest);
                if former.is_none() && own != from {
                    return Err(conflict(&format!("the settings in force here are {own}")));
                }
                let mut file = self.file.clone();
                let bad = |why| (StatusCode::UNPROCESSABLE_ENTITY, why);
                file["settings"] = kept(settings, &self.file["settings"]).map_err(bad)?;
                let new = Start::of(file, Self::variable).map_err(bad)?;
                let before = self.file.clone();
                let changed = self.adopt(new).map_err(bad)?;
                self.former.get_or_insert(before);
                *trial.on.borrow_mut() = Some(On { former: from, until });
                Ok(format!("{} on trial; {changed}", digest(&self.digest)))
            }
            Word::Keep { for_ms } => {
                let until = Instant::now() + trial.span(for_ms)?;
                match trial.on.borrow_mut().as_mut() {
                    Some(on) => on.until = until,
                    None => return Err(conflict("nothing is on trial")),
                }
                Ok(format!("{} goes on", digest(&self.digest)))
            }
            Word::Confirm => {
                if self.former.is_some() {
                    self.write().map_err(|why| (StatusCode::INTERNAL_SERVER_ERROR, why))?;
                    self.former = None;
                    *trial.on.borrow_mut() = None;
                }
                Ok(format!("{} holds", digest(&self.digest)))
            }
            Word::Back => self.back(),
        }
    }

    /// Returns to the former settings if others are on trial.
    fn back(&mut self) -> Answer {
        if let Some(trial) = &self.trial {
            *trial.on.borrow_mut() = None;
        }
        let Some(former) = self.former.take() else { return Ok("nothing is on trial".to_owned()) };
        let new = Start::of(former, Self::variable).and_then(|former| self.adopt(former));
        let changed = new.map_err(|why| (StatusCode::INTERNAL_SERVER_ERROR, why))?;
        Ok(format!("{:016x} again; {changed}", self.digest.get()))
    }

    /// Writes the settings to the configuration file; the rest of the file stays as it is.
    fn write(&self) -> Result<(), String> {
        let path = Self::variable("ROUTER_CONFIG").ok_or("ROUTER_CONFIG is not set")?;
        let written = || -> io::Result<()> {
            let mut file: Value = serde_json::from_slice(&std::fs::read(&path)?)?;
            file["settings"] = self.file["settings"].clone();
            replace(path.as_ref(), &serde_json::to_vec_pretty(&file)?)
        };
        written().map_err(|e| format!("{path}: {e}"))
    }
}

/// The leader's settings with this node's own values: its index, and its zone by name, which may have
/// another index there.
fn kept(mut settings: Value, own: &Value) -> Result<Value, String> {
    let text = |settings: &Value, place: usize| settings["zones"][place].as_str().map(str::to_owned);
    let zone = own["zone"].as_u64().unwrap_or(0) as usize;
    let place = match text(own, zone) {
        Some(name) => {
            let zones = settings["zones"].as_array().map(Vec::as_slice).unwrap_or_default();
            let found = zones.iter().position(|z| z.as_str() == Some(&name));
            found.ok_or_else(|| format!("settings.zones: this node's {name:?} is missing"))?
        }
        None => zone,
    };
    let Some(fields) = settings.as_object_mut() else { return Err("settings is not an object".to_owned()) };
    fields.insert("zone".to_owned(), place.into());
    match own.get("me") {
        Some(me) => drop(fields.insert("me".to_owned(), me.clone())),
        None => drop(fields.remove("me")),
    }
    Ok(settings)
}

fn conflict(why: &str) -> (StatusCode, String) {
    (StatusCode::CONFLICT, why.to_owned())
}

async fn next(asked: &mut Option<mpsc::UnboundedReceiver<Asked>>) -> Option<Asked> {
    match asked {
        Some(asked) => asked.recv().await,
        None => std::future::pending().await,
    }
}

#[cfg(test)]
mod tests {
    use super::kept;
    use serde_json::json;

    /// The same settings are sent to all nodes. If they replaced each node's own index and zone by the
    /// leader's, all nodes would count as one, and each would take another site's backends for its own.
    #[test]
    fn each_node_stays_itself() {
        let own = json!({"me": 3, "zone": 1, "zones": ["a", "b"], "balancers": 4});
        let new = json!({"me": 0, "zone": 0, "zones": ["b", "c", "a"], "balancers": 4});
        let found = kept(new, &own).expect("settings");
        assert_eq!((&found["me"], &found["zone"]), (&json!(3), &json!(0)));
        assert!(kept(json!({"zones": ["a"]}), &own).is_err(), "its site is gone");
        assert!(kept(json!(7), &own).is_err());
        let nameless = kept(json!({"me": 9, "zone": 2}), &json!({"zone": 0})).expect("settings");
        assert_eq!((nameless.get("me"), &nameless["zone"]), (None, &json!(0)));
    }
}
