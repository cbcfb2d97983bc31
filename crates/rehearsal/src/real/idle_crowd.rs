//! Clients that connect to a node and say nothing: they come again when they are sent away.

use crate::real::harness::Stage;
use crate::real::nodes::Crew;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::sleep;

/// All of them have come after this.
const COMES_IN: Duration = Duration::from_secs(2);
const PAUSE: Duration = Duration::from_secs(1);

/// Holds as many connections to each node as the scenario says, until it is aborted.
pub async fn hold(stage: Rc<Stage>, crew: Crew) {
    let count = stage.scenario.stress.as_ref().map_or(0, |stress| stress.idle_crowd);
    let mut all = JoinSet::new();
    for node in 0..stage.scenario.nodes as usize {
        let door = crew.door(node);
        (0..count).for_each(|n| drop(all.spawn_local(stand_at(door, COMES_IN * n / count))));
    }
    while all.join_next().await.is_some() {}
}

async fn stand_at(door: u16, after: Duration) {
    sleep(after).await;
    loop {
        if let Ok(mut stream) = TcpStream::connect(("127.0.0.1", door)).await {
            let _ = stream.read(&mut [0; 64]).await;
        }
        sleep(PAUSE).await;
    }
}
