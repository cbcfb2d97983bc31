//! Trial settings: the leader of a rollout sends them in a request. Unless further requests from the leader
//! follow in time, the node returns to the former settings by itself. Available only if a rollout file is
//! configured.
//!
//! A leader is identified by a term and a name. The node stores the highest term that it has seen on disk
//! before it accepts a request, and refuses every other leader: one that was cut off and comes back has no
//! authority any more.

use crate::log::log;
use hyper::StatusCode;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::cell::{Cell, RefCell};
use std::io::Write;
use std::path::{Path, PathBuf};
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};
use tokio::time::Instant;

/// The operators' rollout file.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TrialConfig {
    /// The file that stores the leader's term.
    pub term_file: PathBuf,
    /// For how many seconds statistics are kept.
    #[serde(default = "default_seconds")]
    pub seconds: usize,
    /// How long settings may be on trial without a request from the leader, in seconds.
    #[serde(default = "default_longest_trial_s")]
    pub longest_trial_s: u64,
    /// The maximum size of settings in a request, in bytes.
    #[serde(default = "default_settings_bytes")]
    pub settings_bytes: usize,
}

fn default_seconds() -> usize {
    300
}

fn default_longest_trial_s() -> u64 {
    600
}

fn default_settings_bytes() -> usize {
    1 << 20
}

impl TrialConfig {
    /// Parses the file; an error names the line or the key.
    pub fn from_toml(text: &str) -> Result<TrialConfig, String> {
        let config: TrialConfig = toml::from_str(text).map_err(|error| {
            let line = error.span().map_or(0, |at| text[..at.start].matches('\n').count() + 1);
            format!("line {line}: {}", error.message().lines().next().unwrap_or_default())
        })?;
        let ranges = [
            ("seconds", config.seconds as u64, 10, 3600),
            ("longest_trial_s", config.longest_trial_s, 1, 86_400),
            ("settings_bytes", config.settings_bytes as u64, 1 << 10, 16 << 20),
        ];
        for (key, value, min, max) in ranges {
            if !(min..=max).contains(&value) {
                return Err(format!("{key} must be from {min} to {max}, but is {value}"));
            }
        }
        Ok(config)
    }
}

/// The leader of a rollout. A higher term wins, and each term has one leader.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Leader {
    pub term: u64,
    #[serde(rename = "by")]
    pub name: String,
}

/// A request of a rollout's leader.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "what", rename_all = "snake_case")]
pub enum TrialAction {
    /// The sender becomes the leader.
    Lead,
    /// Checks whether the node would accept these settings, and returns their digest. Like `GetSettings`, it
    /// needs no leader.
    #[serde(rename = "weigh")]
    Check { settings: Value },
    /// Returns the settings in force.
    #[serde(rename = "tell")]
    GetSettings,
    /// Puts these settings on trial in place of those with the digest `from`, until this long after the
    /// leader's last request.
    Try { from: String, settings: Value, for_ms: u64 },
    /// Extends the trial until this long from now.
    #[serde(rename = "keep")]
    Extend { for_ms: u64 },
    /// Makes the settings on trial permanent, across restarts.
    Confirm,
    /// Returns to the former settings at once.
    #[serde(rename = "back")]
    RollBack,
}

/// A request together with the leader that sends it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LeaderRequest {
    #[serde(flatten, default)]
    pub leader: Leader,
    #[serde(flatten)]
    pub action: TrialAction,
}

/// The new state, or the reason why the request failed.
pub type TrialReply = Result<String, (StatusCode, String)>;
/// An action with the channel for its reply.
pub type QueuedAction = (TrialAction, oneshot::Sender<TrialReply>);

/// An active trial: the digest of the settings before it, and when it expires.
#[derive(Clone, Debug)]
pub struct ActiveTrial {
    pub former_digest: String,
    pub expires_at: Instant,
}

/// This node's part in rollouts: the leader, and the settings on trial.
pub struct Trial {
    pub config: TrialConfig,
    leader: RefCell<Leader>,
    pub active: RefCell<Option<ActiveTrial>>,
    /// The number of trials since the start that expired without a request from their leader.
    pub expired: Cell<u64>,
    queue: mpsc::UnboundedSender<QueuedAction>,
}

fn conflict(reason: String) -> (StatusCode, String) {
    (StatusCode::CONFLICT, reason)
}

impl Trial {
    /// Returns the queue of requests, which its reader has to carry out.
    pub fn new(config: TrialConfig) -> Result<(Trial, mpsc::UnboundedReceiver<QueuedAction>), String> {
        let file = &config.term_file;
        let leader = match std::fs::read(file) {
            Ok(bytes) => serde_json::from_slice(&bytes)
                .map_err(|e| format!("rollout: {}: invalid stored term: {e}", file.display()))?,
            Err(error) if error.kind() == std::io::ErrorKind::NotFound => Leader::default(),
            Err(error) => return Err(format!("rollout: {}: {error}", file.display())),
        };
        let (queue, actions) = mpsc::unbounded_channel();
        let (leader, active, expired) = (RefCell::new(leader), RefCell::default(), Cell::new(0));
        Ok((Trial { config, leader, active, expired, queue }, actions))
    }

    /// The leader of the present term.
    pub fn leader(&self) -> Leader {
        self.leader.borrow().clone()
    }

    /// Handles a request in its serialized form.
    pub async fn handle(&self, body: &[u8]) -> TrialReply {
        let request: LeaderRequest = serde_json::from_slice(body)
            .map_err(|e| (StatusCode::BAD_REQUEST, format!("no word of a rolling change: {e}")))?;
        if !matches!(request.action, TrialAction::Check { .. } | TrialAction::GetSettings) {
            self.check_leader(&request)?;
        }
        if request.action == TrialAction::Lead {
            return Ok(format!("led by {} in term {}", request.leader.name, request.leader.term));
        }
        self.submit(request.action).await
    }

    /// Has a request carried out and returns the answer.
    pub async fn submit(&self, action: TrialAction) -> TrialReply {
        let (reply, answer) = oneshot::channel();
        let unavailable =
            || (StatusCode::SERVICE_UNAVAILABLE, "this process takes no settings any more".to_owned());
        self.queue.send((action, reply)).map_err(|_| unavailable())?;
        answer.await.map_err(|_| unavailable())?
    }

    /// Checks that the sender is the leader. A higher term is stored on disk before anything else is done
    /// for it.
    fn check_leader(&self, request: &LeaderRequest) -> Result<(), (StatusCode, String)> {
        let known = self.leader();
        if request.leader.term > known.term && request.action == TrialAction::Lead {
            let bytes = serde_json::to_vec(&request.leader).unwrap_or_default();
            write_atomically(&self.config.term_file, &bytes).map_err(|e| {
                (StatusCode::INTERNAL_SERVER_ERROR, format!("the term cannot be remembered: {e}"))
            })?;
            log!("rollout: led by {} in term {}", request.leader.name, request.leader.term);
            *self.leader.borrow_mut() = request.leader.clone();
            return Ok(());
        }
        match request.leader == known && known.term > 0 {
            true => Ok(()),
            false => Err(conflict(format!("led by {:?} in term {}", known.name, known.term))),
        }
    }

    /// Checks the time that a leader requests until its next request.
    pub fn trial_duration(&self, for_ms: u64) -> Result<Duration, (StatusCode, String)> {
        let max = self.config.longest_trial_s * 1000;
        match (100..=max).contains(&for_ms) {
            true => Ok(Duration::from_millis(for_ms)),
            false => Err((StatusCode::BAD_REQUEST, format!("for_ms has to be from 100 to {max}"))),
        }
    }

    /// When the active trial expires.
    pub fn expiry(&self) -> Option<Instant> {
        self.active.borrow().as_ref().map(|active| active.expires_at)
    }
}

/// Replaces a file atomically: a reader finds either the old or the new content, even after a power failure.
pub fn write_atomically(path: &Path, bytes: &[u8]) -> std::io::Result<()> {
    let new = path.with_extension("new");
    let mut file = std::fs::File::create(&new)?;
    file.write_all(bytes)?;
    file.sync_all()?;
    std::fs::rename(&new, path)?;
    match path.parent().filter(|folder| !folder.as_os_str().is_empty()) {
        Some(folder) => std::fs::File::open(folder)?.sync_all(),
        None => Ok(()),
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn request(term: u64, name: &str, action: TrialAction) -> LeaderRequest {
        LeaderRequest { leader: Leader { term, name: name.to_owned() }, action }
    }

    /// A leader that was cut off must not have authority beside its successor, nor may two leaders share a
    /// term. A restarted node must remember its leader.
    #[test]
    fn only_one_leader_is_accepted_at_a_time() {
        let file = std::env::temp_dir().join(format!("yarrowfront-term-{}", std::process::id()));
        let text = format!("term_file = {:?}", file.display().to_string());
        let config = TrialConfig::from_toml(&text).expect("good terms");
        let _ = std::fs::remove_file(&file);
        let (trial, _asked) = Trial::new(config.clone()).expect("a trial");
        let admitted =
            |trial: &Trial, term, name, action| trial.check_leader(&request(term, name, action)).is_ok();
        assert!(!admitted(&trial, 0, "", TrialAction::Confirm), "nobody leads yet");
        assert!(!admitted(&trial, 3, "a", TrialAction::Confirm), "it has not said that it leads");
        assert!(admitted(&trial, 3, "a", TrialAction::Lead));
        assert!(admitted(&trial, 3, "a", TrialAction::Extend { for_ms: 100 }));
        assert!(!admitted(&trial, 3, "b", TrialAction::Lead), "of one term there is one leader");
        assert!(!admitted(&trial, 2, "b", TrialAction::Lead));
        assert!(admitted(&trial, 4, "b", TrialAction::Lead));
        assert!(!admitted(&trial, 3, "a", TrialAction::RollBack), "its time is over");
        let (again, _asked) = Trial::new(config.clone()).expect("a trial");
        assert_eq!(again.leader(), Leader { term: 4, name: "b".to_owned() });
        std::fs::write(&file, "half a ter").expect("written");
        assert!(Trial::new(config).is_err(), "a term that cannot be read is not none");
        let _ = std::fs::remove_file(&file);
    }

    /// The example file for operators states the default values.
    #[test]
    fn example_file_states_the_defaults() {
        let example =
            TrialConfig::from_toml(include_str!("../../../deploy/rollout.example.toml")).expect("terms");
        let bare = format!("term_file = {:?}", example.term_file.display().to_string());
        assert_eq!(TrialConfig::from_toml(&bare), Ok(example));
    }

    /// An error in the operators' file must name the key or the line.
    #[test]
    fn errors_name_the_key_or_line() {
        let cases = [
            ("", "term_file"),
            ("term_file = 3", "line 1"),
            ("term_file = \"t\"\nseconds = 1", "seconds"),
            ("term_file = \"t\"\nlongest_trial_s = 0", "longest_trial_s"),
            ("term_file = \"t\"\nterm = 1", "line 2"),
        ];
        for (text, key) in cases {
            let reason = TrialConfig::from_toml(text).expect_err(text);
            assert!(reason.contains(key), "{text}: {reason}");
        }
    }
}
