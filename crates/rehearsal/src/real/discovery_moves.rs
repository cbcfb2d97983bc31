//! Configurations that move discovery, given to the nodes one after the other.

use crate::real::harness::Stage;
use crate::real::nodes::Crew;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::sleep;

const BETWEEN_NODES: Duration = Duration::from_millis(400);

/// Moves it again and again, as often as the scenario says, until it is aborted.
pub async fn run(stage: Rc<Stage>, crew: Crew) {
    let every = stage
        .scenario
        .stress
        .as_ref()
        .map_or(Duration::ZERO, |stress| stress.discovery_moves_every.duration());
    if every.is_zero() {
        return;
    }
    loop {
        sleep(every).await;
        for node in 0..stage.scenario.nodes as usize {
            if let Err(why) = crew.move_discovery(node) {
                return stage.fail(why);
            }
            sleep(BETWEEN_NODES).await;
        }
    }
}
