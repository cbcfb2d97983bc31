//! What all stages of serving a command share.

use crate::bodies::BodyMemory;
use crate::dispatcher::Dispatcher;
use crate::launch::Launcher;
use crate::lifecycle::Stop;
use crate::limits::Limits;
use crate::sites::Sites;
use std::rc::Rc;

pub struct Node {
    pub dispatcher: Rc<Dispatcher>,
    pub launcher: Launcher,
    pub limits: Rc<Limits>,
    pub room: BodyMemory,
    pub stop: Rc<Stop>,
    pub sites: Option<Rc<Sites>>,
}
