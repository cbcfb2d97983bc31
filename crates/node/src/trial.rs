//! Trial settings: the leader of a rollout sends them in a request, and unless it repeats itself in time,
//! the node returns to the former settings by itself. Available only if a rollout file is configured.
//!
//! A leader is identified by a term and a name. The node stores the highest term that it has seen on disk
//! before it accepts a request, and refuses every other leader: one that was cut off and comes back has no
//! authority any more.

use crate::log::note;
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
pub struct TrialTerms {
    /// The file that stores the leader's term.
    pub term_file: PathBuf,
    /// For how many seconds statistics are kept, and how long settings may be on trial without a request
    /// from the leader.
    #[serde(default = "seconds")]
    pub seconds: usize,
    #[serde(default = "seconds_of_trial")]
    pub longest_trial_s: u64,
    /// The maximum size of settings in a request, in bytes.
    #[serde(default = "bytes")]
    pub settings_bytes: usize,
}

fn seconds() -> usize {
    300
}

fn seconds_of_trial() -> u64 {
    600
}

fn bytes() -> usize {
    1 << 20
}

impl TrialTerms {
    /// Parses the file; an error names the line or the key.
    pub fn from_toml(text: &str) -> Result<TrialTerms, String> {
        let terms: TrialTerms = toml::from_str(text).map_err(|error| {
            let line = error.span().map_or(0, |at| text[..at.start].matches('\n').count() + 1);
            format!("line {line}: {}", error.message().lines().next().unwrap_or_default())
        })?;
        let ranges = [
            ("seconds", terms.seconds as u64, 10, 3600),
            ("longest_trial_s", terms.longest_trial_s, 1, 86_400),
            ("settings_bytes", terms.settings_bytes as u64, 1 << 10, 16 << 20),
        ];
        for (key, value, least, most) in ranges {
            if !(least..=most).contains(&value) {
                return Err(format!("{key} must be from {least} to {most}, but is {value}"));
            }
        }
        Ok(terms)
    }
}

/// The leader of a rollout. A higher term wins, and each term has one leader.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Leader {
    pub term: u64,
    pub by: String,
}

/// A request of a rollout's leader.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "what", rename_all = "snake_case")]
pub enum Word {
    /// The sender becomes the leader.
    Lead,
    /// Checks whether the node would accept these settings, and returns their digest. Like `Tell`, it needs
    /// no leader.
    Weigh { settings: Value },
    /// Returns the settings in force.
    Tell,
    /// Puts these settings on trial in place of those with the digest `from`, until this long after the
    /// leader's last request.
    Try { from: String, settings: Value, for_ms: u64 },
    /// Extends the trial until this long from now.
    Keep { for_ms: u64 },
    /// Makes the settings on trial permanent, across restarts.
    Confirm,
    /// Returns to the former settings at once.
    Back,
}

/// A request together with the leader that sends it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Said {
    #[serde(flatten, default)]
    pub leader: Leader,
    #[serde(flatten)]
    pub word: Word,
}

/// The new state, or the reason why the request failed.
pub type Answer = Result<String, (StatusCode, String)>;
pub type Asked = (Word, oneshot::Sender<Answer>);

/// An active trial: the digest of the settings before it, and when it expires.
#[derive(Clone, Debug)]
pub struct On {
    pub former: String,
    pub until: Instant,
}

pub struct Trial {
    pub terms: TrialTerms,
    leader: RefCell<Leader>,
    pub on: RefCell<Option<On>>,
    /// The number of trials since the start that expired without a request from their leader.
    pub lapsed: Cell<u64>,
    asks: mpsc::UnboundedSender<Asked>,
}

fn conflict(why: String) -> (StatusCode, String) {
    (StatusCode::CONFLICT, why)
}

impl Trial {
    /// Returns the queue of requests, which its reader has to carry out.
    pub fn new(terms: TrialTerms) -> Result<(Trial, mpsc::UnboundedReceiver<Asked>), String> {
        let file = &terms.term_file;
        let leader = match std::fs::read(file) {
            Ok(bytes) => serde_json::from_slice(&bytes)
                .map_err(|e| format!("rollout: {}: invalid stored term: {e}", file.display()))?,
            Err(error) if error.kind() == std::io::ErrorKind::NotFound => Leader::default(),
            Err(error) => return Err(format!("rollout: {}: {error}", file.display())),
        };
        let (asks, asked) = mpsc::unbounded_channel();
        let (leader, on, lapsed) = (RefCell::new(leader), RefCell::default(), Cell::new(0));
        Ok((Trial { terms, leader, on, lapsed, asks }, asked))
    }

    pub fn leader(&self) -> Leader {
        self.leader.borrow().clone()
    }

    /// Handles a request in its serialized form.
    pub async fn told(&self, body: &[u8]) -> Answer {
        let said: Said = serde_json::from_slice(body)
            .map_err(|e| (StatusCode::BAD_REQUEST, format!("not a rollout request: {e}")))?;
        if !matches!(said.word, Word::Weigh { .. } | Word::Tell) {
            self.admit(&said)?;
        }
        if said.word == Word::Lead {
            return Ok(format!("led by {} in term {}", said.leader.by, said.leader.term));
        }
        self.ask(said.word).await
    }

    /// Has a request carried out and returns the answer.
    pub async fn ask(&self, word: Word) -> Answer {
        let (reply, answer) = oneshot::channel();
        let gone =
            || (StatusCode::SERVICE_UNAVAILABLE, "this process accepts no settings any more".to_owned());
        self.asks.send((word, reply)).map_err(|_| gone())?;
        answer.await.map_err(|_| gone())?
    }

    /// Checks that the sender is the leader. A higher term is stored on disk before anything else is done
    /// for it.
    fn admit(&self, said: &Said) -> Result<(), (StatusCode, String)> {
        let known = self.leader();
        if said.leader.term > known.term && said.word == Word::Lead {
            let bytes = serde_json::to_vec(&said.leader).unwrap_or_default();
            replace(&self.terms.term_file, &bytes).map_err(|e| {
                (StatusCode::INTERNAL_SERVER_ERROR, format!("the term cannot be stored: {e}"))
            })?;
            note!("rollout: led by {} in term {}", said.leader.by, said.leader.term);
            *self.leader.borrow_mut() = said.leader.clone();
            return Ok(());
        }
        match said.leader == known && known.term > 0 {
            true => Ok(()),
            false => Err(conflict(format!("led by {:?} in term {}", known.by, known.term))),
        }
    }

    /// Checks the time that a leader requests until its next request.
    pub fn span(&self, for_ms: u64) -> Result<Duration, (StatusCode, String)> {
        let most = self.terms.longest_trial_s * 1000;
        match (100..=most).contains(&for_ms) {
            true => Ok(Duration::from_millis(for_ms)),
            false => Err((StatusCode::BAD_REQUEST, format!("for_ms must be from 100 to {most}"))),
        }
    }

    /// When the active trial expires.
    pub fn due(&self) -> Option<Instant> {
        self.on.borrow().as_ref().map(|on| on.until)
    }
}

/// Replaces a file atomically: a reader finds either the old or the new content, even after a power failure.
pub fn replace(path: &Path, bytes: &[u8]) -> std::io::Result<()> {
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

    fn said(term: u64, by: &str, word: Word) -> Said {
        Said { leader: Leader { term, by: by.to_owned() }, word }
    }

    /// A leader that was cut off must not have authority beside its successor, nor may two leaders share a
    /// term. A restarted node must remember its leader.
    #[test]
    fn one_leader_at_a_time() {
        let file = std::env::temp_dir().join(format!("yarrowfront-term-{}", std::process::id()));
        let text = format!("term_file = {:?}", file.display().to_string());
        let terms = TrialTerms::from_toml(&text).expect("good terms");
        let _ = std::fs::remove_file(&file);
        let (trial, _asked) = Trial::new(terms.clone()).expect("a trial");
        let admitted = |trial: &Trial, term, by, word| trial.admit(&said(term, by, word)).is_ok();
        assert!(!admitted(&trial, 0, "", Word::Confirm), "nobody leads yet");
        assert!(!admitted(&trial, 3, "a", Word::Confirm), "it has not said that it leads");
        assert!(admitted(&trial, 3, "a", Word::Lead));
        assert!(admitted(&trial, 3, "a", Word::Keep { for_ms: 100 }));
        assert!(!admitted(&trial, 3, "b", Word::Lead), "of one term there is one leader");
        assert!(!admitted(&trial, 2, "b", Word::Lead));
        assert!(admitted(&trial, 4, "b", Word::Lead));
        assert!(!admitted(&trial, 3, "a", Word::Back), "its time is over");
        let (again, _asked) = Trial::new(terms.clone()).expect("a trial");
        assert_eq!(again.leader(), Leader { term: 4, by: "b".to_owned() });
        std::fs::write(&file, "half a ter").expect("written");
        assert!(Trial::new(terms).is_err(), "a term that cannot be read is not none");
        let _ = std::fs::remove_file(&file);
    }

    /// The example file for operators states the default values.
    #[test]
    fn the_example() {
        let example =
            TrialTerms::from_toml(include_str!("../../../deploy/rollout.example.toml")).expect("terms");
        let bare = format!("term_file = {:?}", example.term_file.display().to_string());
        assert_eq!(TrialTerms::from_toml(&bare), Ok(example));
    }

    /// An error in the operators' file must name the key or the line.
    #[test]
    fn bad_files() {
        let cases = [
            ("", "term_file"),
            ("term_file = 3", "line 1"),
            ("term_file = \"t\"\nseconds = 1", "seconds"),
            ("term_file = \"t\"\nlongest_trial_s = 0", "longest_trial_s"),
            ("term_file = \"t\"\nterm = 1", "line 2"),
        ];
        for (text, key) in cases {
            let why = TrialTerms::from_toml(text).expect_err(text);
            assert!(why.contains(key), "{text}: {why}");
        }
    }
}
