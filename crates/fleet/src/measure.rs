//! What is measured on the virtual network.

use crate::net::{Law, Net};
use std::net::SocketAddr;
use yarrowfront::times::Micros;
use yarrowfront_view::config::ViewConfig;

fn config(listen: SocketAddr) -> ViewConfig {
    ViewConfig::with_defaults("virtual", listen)
}

/// A fleet of so many that have found each other, at so much loss of a hundred. The second is how long it took.
pub fn settled(seed: u64, nodes: usize, loss: f64) -> (Net, Option<Micros>) {
    let mut net = Net::new(seed, config);
    for node in 0..nodes {
        net.start(node, nodes as u32, &[0, 1, 2]);
    }
    net.law = Law { loss, ..Law::default() };
    let took = net.until_agreed(Micros(120_000_000));
    (net, took)
}

/// How long it took until the first, 99 in a hundred and all of them knew that one had died.
#[derive(Clone, Copy, Debug, serde::Serialize)]
pub struct Death {
    pub first: Seconds,
    pub most: Seconds,
    pub all: Seconds,
}

/// Seconds, for a table; none where it did not come so far.
pub type Seconds = Option<f64>;

fn seconds(span: Micros) -> f64 {
    span.as_f64() / 1e6
}

pub fn death(net: &mut Net, of: usize) -> Death {
    let start = net.now;
    net.kill(of);
    let live = net.up().len();
    let (mut first, mut most, mut all) = (None, None, None);
    while all.is_none() && net.now.since(start) < Micros(30_000_000) {
        net.run(Micros::from_millis(10));
        let know = net.know_death(of);
        let at = Some(seconds(net.now.since(start)));
        first = first.or(at.filter(|_| know > 0));
        most = most.or(at.filter(|_| know * 100 >= live * 99));
        all = all.or(at.filter(|_| know == live));
    }
    Death { first, most, all }
}

/// What it costs and how often it errs while nothing happens.
#[derive(Clone, Copy, Debug, serde::Serialize)]
pub struct Calm {
    /// Bytes a second of a node in the mean, of the one that sent most, and the largest second of any.
    pub mean: f64,
    pub most: f64,
    pub largest: u64,
    /// Deaths that were none, by fleet and hour, and suspicions a minute.
    pub false_deaths: f64,
    pub suspicions: f64,
}

pub fn calm(net: &mut Net, span: Micros) -> Calm {
    let start = net.now;
    for node in &mut net.nodes {
        (node.bytes, node.largest, node.second) = (0, 0, (0, 0));
    }
    (net.deaths, net.suspicions) = (Vec::new(), 0);
    net.run(span);
    let lasted = seconds(net.now.since(start));
    let bytes = |node: &crate::net::Node| node.bytes as f64 / lasted;
    Calm {
        mean: net.nodes.iter().map(bytes).sum::<f64>() / net.nodes.len() as f64,
        most: net.nodes.iter().map(bytes).fold(0.0, f64::max),
        largest: net.nodes.iter().map(|node| node.largest).max().unwrap_or(0),
        false_deaths: net.deaths.len() as f64 / lasted * 3600.0,
        suspicions: net.suspicions as f64 / lasted * 60.0,
    }
}

/// A partition into parts of these shares for so long, and how long it then takes to settle: within the parts, and
/// as one after it is over.
#[derive(Clone, Copy, Debug, serde::Serialize)]
pub struct Healed {
    pub apart: Seconds,
    pub together: Seconds,
    /// The largest second of any node, in bytes, over both.
    pub largest: u64,
}

pub fn partition(net: &mut Net, parts: &[usize], apart: Micros) -> Healed {
    for node in &mut net.nodes {
        node.largest = 0;
    }
    let whole: usize = parts.iter().sum();
    let count = net.nodes.len();
    for (index, node) in net.nodes.iter_mut().enumerate() {
        let place = index * whole / count;
        let part = parts.iter().scan(0, |end, size| {
            *end += size;
            Some(*end)
        });
        node.group = part.filter(|end| place >= *end).count() as u32;
    }
    let start = net.now;
    let settled = net.until_agreed(apart);
    net.run(Micros(apart.0.saturating_sub(net.now.since(start).0)));
    net.nodes.iter_mut().for_each(|node| node.group = 0);
    let together = net.until_agreed(Micros(120_000_000));
    let largest = net.nodes.iter().map(|node| node.largest).max().unwrap_or(0);
    Healed { apart: settled.map(seconds), together: together.map(seconds), largest }
}
