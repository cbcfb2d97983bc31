//! Counts the results of this node's own launches and probes by site since the last query: its evidence of
//! whether a site works. Kept only if a site failover plan is configured.

use std::cell::RefCell;
use yarrowfront::command::Outcome;
use yarrowfront::ids::BackendId;

/// Launches and probes that were answered in any way, those that were not answered, and how many of the
/// answers said that the backend was full.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LaunchCounts {
    pub answered: u32,
    pub unanswered: u32,
    pub full: u32,
}

/// The evidence of all sites since the last query.
#[derive(Default)]
pub struct SiteEvidence {
    /// The site of each backend, indexed by `BackendId`.
    site_of: RefCell<Vec<u16>>,
    /// Indexed by site.
    counts: RefCell<Vec<LaunchCounts>>,
}

impl SiteEvidence {
    /// Records the site of a backend.
    pub fn set_site(&self, backend: BackendId, site: u16) {
        let sites = &mut *self.site_of.borrow_mut();
        let index = backend.0 as usize;
        if sites.len() <= index {
            sites.resize(index + 1, 0);
        }
        sites[index] = site;
    }

    fn count(&self, backend: BackendId, change: impl FnOnce(&mut LaunchCounts)) {
        let Some(&site) = self.site_of.borrow().get(backend.0 as usize) else { return };
        let counts = &mut *self.counts.borrow_mut();
        let index = usize::from(site);
        if counts.len() <= index {
            counts.resize(index + 1, LaunchCounts::default());
        }
        change(&mut counts[index]);
    }

    /// Counts a launch that has ended. One that was cancelled or never sent says nothing about the site.
    pub fn count_launch(&self, backend: BackendId, outcome: Outcome) {
        self.count(backend, |counts| match outcome {
            Outcome::Finished | Outcome::Errored => counts.answered += 1,
            Outcome::Full => (counts.answered, counts.full) = (counts.answered + 1, counts.full + 1),
            Outcome::TimedOut | Outcome::ConnectFailed | Outcome::ConnectionLost => counts.unanswered += 1,
            Outcome::Cancelled | Outcome::NotSent => {}
        });
    }

    /// Counts a probe.
    pub fn count_probe(&self, backend: BackendId, was_answered: bool) {
        self.count(backend, |counts| match was_answered {
            true => counts.answered += 1,
            false => counts.unanswered += 1,
        });
    }

    /// Returns the counts since the last call, indexed by site, and resets them.
    pub fn take(&self) -> Vec<LaunchCounts> {
        std::mem::take(&mut self.counts.borrow_mut())
    }
}
