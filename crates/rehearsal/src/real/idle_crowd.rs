//! Clients that connect to a node and send nothing; they reconnect when they are closed.

use crate::real::harness::Harness;
use crate::real::nodes::NodeSupervisor;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::sleep;

/// The connections to a node are opened over this time.
const RAMP_UP: Duration = Duration::from_secs(2);
/// Wait before a closed connection is opened again.
const RECONNECT_DELAY: Duration = Duration::from_secs(1);

/// Holds the scenario's number of idle connections to each node, until the task is aborted.
pub async fn hold_connections(harness: Rc<Harness>, supervisor: NodeSupervisor) {
    let count = harness.scenario.stress.as_ref().map_or(0, |stress| stress.idle_crowd);
    let mut connections = JoinSet::new();
    for node in 0..harness.scenario.nodes as usize {
        let port = supervisor.client_port(node);
        (0..count).for_each(|n| drop(connections.spawn_local(hold_connection(port, RAMP_UP * n / count))));
    }
    while connections.join_next().await.is_some() {}
}

async fn hold_connection(port: u16, delay: Duration) {
    sleep(delay).await;
    loop {
        if let Ok(mut stream) = TcpStream::connect(("127.0.0.1", port)).await {
            let _ = stream.read(&mut [0; 64]).await;
        }
        sleep(RECONNECT_DELAY).await;
    }
}
