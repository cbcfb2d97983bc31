//! What this node's own launches to each site came to, since it was last asked: its evidence of whether a site is there.
//! Kept only where a plan for the loss of sites asks for it.

use std::cell::RefCell;
use yarrowfront::command::Outcome;
use yarrowfront::ids::BackendId;

/// Launches and probes that were answered, in any way; those without an answer; and of the answered the full.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Came {
    pub answered: u32,
    pub dead: u32,
    pub slow: u32,
}

#[derive(Default)]
pub struct Witness {
    /// Each backend's site, by their ids.
    site_of: RefCell<Vec<u16>>,
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

    /// A launch has ended. What was called off or never sent says nothing.
    pub fn came(&self, backend: BackendId, outcome: Outcome) {
        self.count(backend, |came| match outcome {
            Outcome::Finished | Outcome::Errored => came.answered += 1,
            Outcome::Full => (came.answered, came.slow) = (came.answered + 1, came.slow + 1),
            Outcome::TimedOut | Outcome::ConnectFailed | Outcome::ConnectionLost => came.dead += 1,
            Outcome::Cancelled | Outcome::NotSent => {}
        });
    }

    pub fn probed(&self, backend: BackendId, found: bool) {
        self.count(backend, |came| match found {
            true => came.answered += 1,
            false => came.dead += 1,
        });
    }

    /// All since the last call, by site.
    pub fn take(&self) -> Vec<Came> {
        std::mem::take(&mut self.by.borrow_mut())
    }
}
