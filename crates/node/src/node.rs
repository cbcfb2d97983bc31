//! What all stages of serving a command share.

use crate::bodies::Room;
use crate::dispatcher::Desk;
use crate::launch::Launcher;
use crate::lifecycle::Stop;
use crate::limits::Limits;
use crate::sites::Sites;
use std::rc::Rc;

pub struct Node {
    pub desk: Rc<Desk>,
    pub launcher: Launcher,
    pub limits: Rc<Limits>,
    pub room: Room,
    pub stop: Rc<Stop>,
    pub sites: Option<Rc<Sites>>,
}
