//! What all stages of serving a command share.

use crate::body_memory::BodyMemory;
use crate::dispatcher::Dispatcher;
use crate::handover::Peer;
use crate::launch::Launcher;
use crate::lifecycle::Lifecycle;
use crate::limits::Limits;
use crate::sites::Sites;
use std::rc::Rc;

/// The shared parts of a running node.
pub struct Node {
    pub dispatcher: Rc<Dispatcher>,
    pub launcher: Launcher,
    pub limits: Rc<Limits>,
    pub body_memory: BodyMemory,
    pub lifecycle: Rc<Lifecycle>,
    pub peer: Rc<Peer>,
    pub sites: Option<Rc<Sites>>,
}
