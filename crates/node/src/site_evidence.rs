//! Counts the results of this node's own launches and probes by site since the last query: its evidence of
//! whether a site works. Kept only if a site failover plan is configured.

use std::cell::RefCell;
use yarrowfront::command::Outcome;
use yarrowfront::ids::BackendId;

/// Launches and probes that were answered in any way, those that were not answered, and how many of the
/// answers said that the backend was full.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Came {
    pub answered: u32,
    pub dead: u32,
    pub slow: u32,
}

#[derive(Default)]
pub struct Witness {
    /// The site of each backend, indexed by `BackendId`.
    site_of: RefCell<Vec<u16>>,
    /// Indexed by site.
    by: RefCell<Vec<Came>>,
}

impl Witness {
    pub fn listed(&self, backend: BackendId, site: u16) {
        let sites = &mut *self.site_of.borrow_mut();
        let place = backend.0 as usize;
        if sites.len() <= place {
            sites.resize(place + 1, 0);
        }
        sites[place] = site;
    }

    fn count(&self, backend: BackendId, change: impl FnOnce(&mut Came)) {
        let Some(&site) = self.site_of.borrow().get(backend.0 as usize) else { return };
        let by = &mut *self.by.borrow_mut();
        let place = usize::from(site);
        if by.len() <= place {
            by.resize(place + 1, Came::default());
        }
        change(&mut by[place]);
    }

    /// Counts a launch that has ended. One that was cancelled or never sent says nothing about the site.
    pub fn came(&self, backend: BackendId, outcome: Outcome) {
        self.count(backend, |came| match outcome {
            Outcome::Finished | Outcome::Errored => came.answered += 1,
            Outcome::Full => (came.answered, came.slow) = (came.answered + 1, came.slow + 1),
            Outcome::TimedOut | Outcome::Unreachable | Outcome::Broken => came.dead += 1,
            Outcome::Cancelled | Outcome::Unsent => {}
        });
    }

    pub fn probed(&self, backend: BackendId, found: bool) {
        self.count(backend, |came| match found {
            true => came.answered += 1,
            false => came.dead += 1,
        });
    }

    /// Returns the counts since the last call, indexed by site, and resets them.
    pub fn take(&self) -> Vec<Came> {
        std::mem::take(&mut self.by.borrow_mut())
    }
}
