//! Fleets on the virtual network, of sizes that tests with processes cannot reach.

use yarrowfront::times::Micros;
use yarrowfront_fleet::measure::{measure_death, measure_idle, measure_partition, start_settled_fleet};

const SECOND: u64 = 1_000_000;

/// 100 nodes that start at once find each other. A death is known to 99% of them within 3.5 s, and after a partition into
/// two or three parts all views agree within 5 s of its end.
#[test]
fn hundred_nodes_detect_deaths_and_heal() {
    let (mut net, settle_time) = start_settled_fleet(3, 100, 0.0);
    assert!(settle_time.is_some_and(|settle_time| settle_time < Micros(10 * SECOND)), "{settle_time:?}");
    for node in [99, 40] {
        let detection = measure_death(&mut net, node);
        assert!(detection.percent_99.is_some_and(|seconds| seconds < 3.5), "{detection:?}");
    }
    for parts in [&[50, 50][..], &[34, 33, 33]] {
        let (mut net, _) = start_settled_fleet(4, 100, 0.0);
        let times = measure_partition(&mut net, parts, Micros(20 * SECOND));
        assert!(times.apart.is_some(), "{parts:?}: {times:?}");
        assert!(times.together.is_some_and(|seconds| seconds < 5.0), "{parts:?}: {times:?}");
    }
}

/// With 5% loss and no event for 10 minutes no node is declared dead, and traffic stays below 4 kB per second.
#[test]
fn loss_alone_causes_no_false_deaths() {
    let (mut net, _) = start_settled_fleet(5, 30, 5.0);
    let idle = measure_idle(&mut net, Micros(600 * SECOND));
    assert!(idle.false_deaths_per_hour == 0.0 && idle.mean_bytes_per_s < 4000.0, "{idle:?}");
}

/// A site that loses 30% of all its datagrams does not make other nodes declare each other dead.
#[test]
fn lossy_site_does_not_affect_other_sites() {
    let (mut net, _) = start_settled_fleet(6, 30, 0.0);
    net.lossy_site = Some((1, 30.0));
    net.run(Micros(60 * SECOND));
    let among_others = |(_, by, of): &&(_, usize, usize)| by % 3 != 1 && of % 3 != 1;
    assert_eq!(net.reported_deaths.iter().filter(among_others).count(), 0);
}

/// Half of the fleet is killed and restarted at once; a node is stopped for 10 s; two parts heal while a third
/// one is cut off; fleets of two nodes and of one.
#[test]
fn views_agree_after_combined_faults() {
    let (mut net, _) = start_settled_fleet(7, 20, 0.0);
    (10..20).for_each(|node| net.kill(node));
    assert!(net.run_until_agreed(Micros(20 * SECOND)).is_some(), "after half of the fleet was killed");
    (10..20).for_each(|node| net.start(node, 20, &[0, 1, 2]));
    assert!(net.run_until_agreed(Micros(20 * SECOND)).is_some(), "after it was restarted");
    net.reported_deaths.clear();
    net.pause(5, Micros(10 * SECOND));
    net.run(Micros(12 * SECOND));
    assert!(net.run_until_agreed(Micros(10 * SECOND)).is_some(), "after one node was stopped");
    assert!(net.reported_deaths.iter().all(|(_, by, of)| *by != 5 && *of == 5), "{:?}", net.reported_deaths);
    let set_partition = |net: &mut yarrowfront_fleet::net::VirtualNetwork, partition_of: fn(usize) -> u32| {
        net.nodes.iter_mut().enumerate().for_each(|(node, it)| it.partition = partition_of(node));
    };
    set_partition(&mut net, |node| node as u32 % 2);
    net.run(Micros(15 * SECOND));
    set_partition(&mut net, |node| u32::from(node >= 15));
    net.run(Micros(15 * SECOND));
    set_partition(&mut net, |_| 0);
    assert!(net.run_until_agreed(Micros(10 * SECOND)).is_some(), "after all links were healed");
    for nodes in [1, 2] {
        let (mut net, settle_time) = start_settled_fleet(8, nodes, 0.0);
        assert!(settle_time.is_some(), "{nodes}");
        // A node has its whole share only after its share was updated in a majority for long enough.
        for _ in 0..20 {
            net.run(Micros(SECOND));
            net.shares(nodes as u32);
        }
        let shares: Vec<u32> = net.shares(nodes as u32).iter().map(|(_, share)| share.nodes).collect();
        assert_eq!(shares, vec![nodes as u32; nodes]);
    }
}
