//! Fleets on the virtual network: what a few processes cannot show.

use yarrowfront::times::Micros;
use yarrowfront_fleet::measure::{calm, death, partition, settled};

const SECOND: u64 = 1_000_000;

/// A hundred nodes that start at once find each other; a death is known to 99 in a hundred within three seconds and a
/// half, and a partition into halves, or three, is one fleet again within five seconds of its end.
#[test]
fn a_hundred() {
    let (mut net, took) = settled(3, 100, 0.0);
    assert!(took.is_some_and(|took| took < Micros(10 * SECOND)), "{took:?}");
    for node in [99, 40] {
        let death = death(&mut net, node);
        assert!(death.most.is_some_and(|seconds| seconds < 3.5), "{death:?}");
    }
    for parts in [&[50, 50][..], &[34, 33, 33]] {
        let (mut net, _) = settled(4, 100, 0.0);
        let healed = partition(&mut net, parts, Micros(20 * SECOND));
        assert!(healed.apart.is_some(), "{parts:?}: {healed:?}");
        assert!(healed.together.is_some_and(|seconds| seconds < 5.0), "{parts:?}: {healed:?}");
    }
}

/// Nothing happens for ten minutes at a loss of one in twenty: nobody is called dead, under 4 kB a second.
#[test]
fn calm_at_a_loss() {
    let (mut net, _) = settled(5, 30, 5.0);
    let found = calm(&mut net, Micros(600 * SECOND));
    assert!(found.false_deaths == 0.0 && found.mean < 4000.0, "{found:?}");
}

/// A site that loses three in ten of all that it sends and hears does not make the others call each other dead.
#[test]
fn a_lossy_site() {
    let (mut net, _) = settled(6, 30, 0.0);
    net.lossy = Some((1, 30.0));
    net.run(Micros(60 * SECOND));
    let among_others = |(_, by, of): &&(_, usize, usize)| by % 3 != 1 && of % 3 != 1;
    assert_eq!(net.deaths.iter().filter(among_others).count(), 0);
}

/// Half of the fleet killed at once, and started again at once; a node stopped for ten seconds; a third part cut off
/// while two others heal; fleets of two and of one.
#[test]
fn hard_cases() {
    let (mut net, _) = settled(7, 20, 0.0);
    (10..20).for_each(|node| net.kill(node));
    assert!(net.until_agreed(Micros(20 * SECOND)).is_some(), "half is killed");
    (10..20).for_each(|node| net.start(node, 20, &[0, 1, 2]));
    assert!(net.until_agreed(Micros(20 * SECOND)).is_some(), "and starts again");
    net.deaths.clear();
    net.pause(5, Micros(10 * SECOND));
    net.run(Micros(12 * SECOND));
    assert!(net.until_agreed(Micros(10 * SECOND)).is_some(), "one was stopped");
    assert!(net.deaths.iter().all(|(_, by, of)| *by != 5 && *of == 5), "{:?}", net.deaths);
    let group = |net: &mut yarrowfront_fleet::net::Net, of: fn(usize) -> u32| {
        net.nodes.iter_mut().enumerate().for_each(|(node, it)| it.group = of(node));
    };
    group(&mut net, |node| node as u32 % 2);
    net.run(Micros(15 * SECOND));
    group(&mut net, |node| u32::from(node >= 15));
    net.run(Micros(15 * SECOND));
    group(&mut net, |_| 0);
    assert!(net.until_agreed(Micros(10 * SECOND)).is_some(), "all ways are whole");
    for nodes in [1, 2] {
        let (mut net, took) = settled(8, nodes, 0.0);
        assert!(took.is_some(), "{nodes}");
        // A portion is whole only for who has been looked at among a majority for long.
        for _ in 0..20 {
            net.run(Micros(SECOND));
            net.shares(nodes as u32);
        }
        let shares: Vec<u32> = net.shares(nodes as u32).iter().map(|(_, share)| share.nodes).collect();
        assert_eq!(shares, vec![nodes as u32; nodes]);
    }
}
