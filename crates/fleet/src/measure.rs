//! Measurements on the virtual network.

use crate::net::{DatagramModel, VirtualNetwork};
use std::net::SocketAddr;
use yarrowfront::times::Micros;
use yarrowfront_view::config::ViewConfig;

fn config(listen: SocketAddr) -> ViewConfig {
    ViewConfig::with_defaults("virtual", listen)
}

/// Starts a fleet with this percentage of loss and runs it until all views agree. Also returns how long that took.
pub fn start_settled_fleet(seed: u64, nodes: usize, loss_percent: f64) -> (VirtualNetwork, Option<Micros>) {
    let mut net = VirtualNetwork::new(seed, config);
    for node in 0..nodes {
        net.start(node, nodes as u32, &[0, 1, 2]);
    }
    net.model = DatagramModel { loss_percent, ..DatagramModel::default() };
    let settle_time = net.run_until_agreed(Micros(120_000_000));
    (net, settle_time)
}

/// The time until the first node, 99% of the nodes and all nodes knew of a death.
#[derive(Clone, Copy, Debug, serde::Serialize)]
pub struct DeathDetection {
    pub first: Seconds,
    pub percent_99: Seconds,
    pub all: Seconds,
}

/// Seconds, for a table; `None` if the event did not happen in time.
pub type Seconds = Option<f64>;

fn seconds(span: Micros) -> f64 {
    span.as_f64() / 1e6
}

/// Kills a node and measures how long the others take to learn of it.
pub fn measure_death(net: &mut VirtualNetwork, of: usize) -> DeathDetection {
    let start = net.now;
    net.kill(of);
    let live = net.running_nodes().len();
    let (mut first, mut percent_99, mut all) = (None, None, None);
    while all.is_none() && net.now.since(start) < Micros(30_000_000) {
        net.run(Micros::from_millis(10));
        let aware = net.count_aware_of_death(of);
        let at = Some(seconds(net.now.since(start)));
        first = first.or(at.filter(|_| aware > 0));
        percent_99 = percent_99.or(at.filter(|_| aware * 100 >= live * 99));
        all = all.or(at.filter(|_| aware == live));
    }
    DeathDetection { first, percent_99, all }
}

/// The traffic and the false reports while nothing happens.
#[derive(Clone, Copy, Debug, serde::Serialize)]
pub struct IdleStats {
    /// The mean over all nodes of bytes sent per second, the greatest value of a node, and the most bytes of any node in one
    /// second.
    pub mean_bytes_per_s: f64,
    pub max_bytes_per_s: f64,
    pub peak_second_bytes: u64,
    /// False death reports in the whole fleet per hour, and suspicions per minute.
    pub false_deaths_per_hour: f64,
    pub suspicions_per_minute: f64,
}

/// Runs the fleet without any event for this time.
pub fn measure_idle(net: &mut VirtualNetwork, span: Micros) -> IdleStats {
    let start = net.now;
    for node in &mut net.nodes {
        (node.bytes_sent, node.peak_second_bytes, node.current_second) = (0, 0, (0, 0));
    }
    (net.reported_deaths, net.suspicions) = (Vec::new(), 0);
    net.run(span);
    let elapsed = seconds(net.now.since(start));
    let bytes = |node: &crate::net::Node| node.bytes_sent as f64 / elapsed;
    IdleStats {
        mean_bytes_per_s: net.nodes.iter().map(bytes).sum::<f64>() / net.nodes.len() as f64,
        max_bytes_per_s: net.nodes.iter().map(bytes).fold(0.0, f64::max),
        peak_second_bytes: net.nodes.iter().map(|node| node.peak_second_bytes).max().unwrap_or(0),
        false_deaths_per_hour: net.reported_deaths.len() as f64 / elapsed * 3600.0,
        suspicions_per_minute: net.suspicions as f64 / elapsed * 60.0,
    }
}

/// The time until the views agree within the parts of a partition, and until all agree after its end.
#[derive(Clone, Copy, Debug, serde::Serialize)]
pub struct PartitionTimes {
    pub apart: Seconds,
    pub together: Seconds,
    /// The most bytes that any node sent in one second, over both periods.
    pub peak_second_bytes: u64,
}

/// Splits the fleet into parts of these relative sizes for the time `apart` and heals it.
pub fn measure_partition(net: &mut VirtualNetwork, parts: &[usize], apart: Micros) -> PartitionTimes {
    for node in &mut net.nodes {
        node.peak_second_bytes = 0;
    }
    let total: usize = parts.iter().sum();
    let count = net.nodes.len();
    for (index, node) in net.nodes.iter_mut().enumerate() {
        let position = index * total / count;
        let part = parts.iter().scan(0, |end, size| {
            *end += size;
            Some(*end)
        });
        node.partition = part.filter(|end| position >= *end).count() as u32;
    }
    let start = net.now;
    let apart_time = net.run_until_agreed(apart);
    net.run(Micros(apart.0.saturating_sub(net.now.since(start).0)));
    net.nodes.iter_mut().for_each(|node| node.partition = 0);
    let together = net.run_until_agreed(Micros(120_000_000));
    let peak_second_bytes = net.nodes.iter().map(|node| node.peak_second_bytes).max().unwrap_or(0);
    PartitionTimes { apart: apart_time.map(seconds), together: together.map(seconds), peak_second_bytes }
}
