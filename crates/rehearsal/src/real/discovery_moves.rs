//! Moves discovery to new addresses by configuration reloads, one node after the other.

use crate::real::harness::Harness;
use crate::real::nodes::NodeSupervisor;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::sleep;

const NODE_INTERVAL: Duration = Duration::from_millis(400);

/// Moves discovery at the interval that the scenario sets, until the task is aborted.
pub async fn run(harness: Rc<Harness>, supervisor: NodeSupervisor) {
    let interval = harness
        .scenario
        .stress
        .as_ref()
        .map_or(Duration::ZERO, |stress| stress.discovery_moves_every.duration());
    if interval.is_zero() {
        return;
    }
    loop {
        sleep(interval).await;
        for node in 0..harness.scenario.nodes as usize {
            if let Err(reason) = supervisor.move_discovery(node) {
                return harness.report_error(reason);
            }
            sleep(NODE_INTERVAL).await;
        }
    }
}
