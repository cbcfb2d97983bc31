//! The state machine by hand: one node, and what is said to it.

use std::net::SocketAddr;
use yarrowfront::times::{Micros, Timestamp};
use yarrowfront_view::config::{Network, ViewConfig};
use yarrowfront_view::node_info::{Generation, Incarnation, Load, MemberState, NodeInfo, Phase};
use yarrowfront_view::share::{Share, ShareReason, ShareTracker, SlotOccupancy, NO_SHARE};
use yarrowfront_view::view::{ChangeKind, View};
use yarrowfront_view::wire::{Datagram, Kind, MemberUpdate, VERSION};

fn at(host: u8) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, host], 7946))
}

fn info(host: u8) -> NodeInfo {
    NodeInfo {
        address: at(host),
        site: "s".into(),
        build: "b".into(),
        settings_digest: 0,
        phase: Phase::SERVING,
        slot: host.into(),
        slots: 4,
    }
}

fn view() -> View {
    View::new(Timestamp(0), ViewConfig::with_defaults("f", at(1)), "me", Generation(50), info(1), 1)
}

fn news(name: &str, host: u8, generation: u64, incarnation: u32, state: MemberState) -> MemberUpdate {
    let (generation, incarnation) = (Generation(generation), Incarnation(incarnation));
    MemberUpdate {
        name: name.into(),
        generation,
        incarnation,
        state,
        reported_by: None,
        info_incarnation: Incarnation(0),
        info: Some(info(host)),
    }
}

fn said(from: &str, host: u8, generation: u64, kind: Kind, news: Vec<MemberUpdate>) -> Datagram {
    Datagram {
        version: VERSION,
        fleet: "f".into(),
        kind,
        probe_id: 9,
        sender: from.into(),
        generation: Generation(generation),
        incarnation: Incarnation(0),
        address: at(host),
        target: None,
        digest: 0,
        present_count: 2,
        load: None,
        checksums: None,
        is_final: None,
        wants_info: None,
        updates: Some(news),
    }
}

fn tell(view: &mut View, now: u64, news: Vec<MemberUpdate>) {
    let told = said("teller", 9, 1, Kind::Updates, news);
    view.receive(Timestamp(now), at(9), &told.to_bytes().expect("small"));
}

fn sent(view: &mut View) -> Vec<(SocketAddr, Datagram)> {
    std::iter::from_fn(|| view.next_datagram())
        .map(|(at, b)| (at, Datagram::from_bytes(&b).expect("our words")))
        .collect()
}

/// Plays on alone, with nobody answering, until then.
fn alone_until(view: &mut View, end: u64) {
    while view.next_timeout() <= Timestamp(end) {
        let next = view.next_timeout();
        view.handle_timeout(next);
    }
}

/// Which word holds over which: the later life, then the later edition, then the worse.
#[test]
fn what_holds() {
    use MemberState::{Alive, Dead, Left, Suspect};
    type Said = (u64, u32, MemberState);
    let cases: [(&str, Said, Said, Said); 10] = [
        ("a death", (7, 0, Suspect), (7, 0, Dead), (7, 0, Dead)),
        ("a death that nobody here suspected", (7, 0, Alive), (7, 0, Dead), (7, 0, Suspect)),
        ("an old life's death", (8, 0, Alive), (7, 9, Dead), (8, 0, Alive)),
        ("an old life's leaving", (8, 0, Alive), (7, 9, Left), (8, 0, Alive)),
        ("a refutation", (7, 0, Suspect), (7, 1, Alive), (7, 1, Alive)),
        ("too old a refutation", (7, 1, Suspect), (7, 1, Alive), (7, 1, Suspect)),
        ("a refuted death", (7, 0, Dead), (7, 1, Alive), (7, 1, Alive)),
        ("an old suspicion", (7, 2, Alive), (7, 1, Suspect), (7, 2, Alive)),
        ("a new life", (7, 3, Dead), (8, 0, Alive), (8, 0, Alive)),
        ("a suspicion after a death", (7, 0, Dead), (7, 0, Suspect), (7, 0, Dead)),
    ];
    for (what, before, then, after) in cases {
        let mut view = view();
        // Nobody is dead who was not suspected.
        let suspected = if before.2 == Dead { Suspect } else { Alive };
        let all = [(before.0, before.1, Alive), (before.0, before.1, suspected), before, then];
        for (now, (generation, incarnation, state)) in (1000..).step_by(1000).zip(all) {
            tell(&mut view, now, vec![news("x", 2, generation, incarnation, state)]);
        }
        let is = view.member("x").map(|m| (m.generation.0, m.incarnation.0, m.state));
        assert_eq!(is, Some(after), "{what}");
    }
}

/// Whatever is said of it, a node says something that holds over that; its edition and its life never go back.
#[test]
fn refutes_what_is_said_of_it() {
    use MemberState::{Alive, Dead, Left, Suspect};
    let cases = [
        ("suspected", news("me", 1, 50, 0, Suspect), (50, 1)),
        ("dead later", news("me", 1, 50, 7, Dead), (50, 8)),
        ("left", news("me", 1, 50, 0, Left), (50, 1)),
        ("an old life of it", news("me", 1, 49, 7, Dead), (50, 0)),
        ("a later life that ended: the clock went back", news("me", 1, 90, 3, Dead), (91, 0)),
        ("a later life here", news("me", 1, 90, 3, Alive), (91, 0)),
        (
            "a later life nobody knows where",
            MemberUpdate { info: None, ..news("me", 1, 90, 3, Alive) },
            (50, 0),
        ),
    ];
    for (what, news, then) in cases {
        let mut view = view();
        tell(&mut view, 1000, vec![news]);
        assert_eq!((view.generation().0, view.incarnation().0), then, "{what}");
    }
}

/// A silent member is asked, asked through others, suspected and called dead in that order; while this node was itself
/// kept from its work nobody is. What has been forgotten does not come back by an old word.
#[test]
fn a_silent_member() {
    let mut view = view();
    tell(
        &mut view,
        1000,
        vec![news("x", 2, 7, 0, MemberState::Alive), news("y", 3, 7, 0, MemberState::Alive)],
    );
    alone_until(&mut view, 300_000);
    let asked: Vec<_> = sent(&mut view).into_iter().filter(|(_, d)| d.kind == Kind::Ping).collect();
    assert!(asked.iter().any(|(_, d)| d.target.is_some()), "{asked:?}");
    alone_until(&mut view, 1_000_000);
    let through = sent(&mut view).iter().filter(|(_, d)| d.kind == Kind::PingReq).count();
    assert!(through > 0, "others are asked to ask");
    assert_eq!(view.member("x").map(|m| m.state), Some(MemberState::Suspect));
    let mut stopped =
        View::new(Timestamp(0), ViewConfig::with_defaults("f", at(1)), "me", Generation(50), info(1), 1);
    tell(&mut stopped, 1000, vec![news("x", 2, 7, 0, MemberState::Alive)]);
    stopped.handle_timeout(Timestamp(10_000_000));
    let after = stopped.member("x").map(|m| m.state);
    assert_eq!(
        (after, stopped.counters().stalls),
        (Some(MemberState::Alive), 1),
        "its own stop is nobody's fault"
    );
    alone_until(&mut view, 60_000_000);
    assert_eq!(view.member("x").map(|m| m.state), Some(MemberState::Dead));
    assert!(view.is_alone());
    alone_until(&mut view, 700_000_000);
    assert!(view.member("x").is_none(), "forgotten");
    tell(&mut view, 700_000_100, vec![news("x", 2, 7, 0, MemberState::Dead)]);
    assert!(view.member("x").is_none(), "an old word of the dead is no news");
}

/// A member that hears that it is suspected says so at once, by any datagram; whoever calls it dead is told.
#[test]
fn accused_are_told() {
    let mut view = view();
    tell(
        &mut view,
        1000,
        vec![news("x", 2, 7, 0, MemberState::Alive), news("x", 2, 7, 0, MemberState::Dead)],
    );
    sent(&mut view);
    let ask = said("x", 2, 7, Kind::Ping, Vec::new());
    view.receive(Timestamp(2000), at(2), &ask.to_bytes().expect("small"));
    let told: Vec<MemberUpdate> =
        sent(&mut view).into_iter().flat_map(|(_, d)| d.updates.unwrap_or_default()).collect();
    assert!(told.iter().any(|n| n.name == "x" && n.state == MemberState::Suspect), "{told:?}");
}

/// A second process of the same name: the earlier one gives way while the later one answers, and takes its name back
/// when it does not.
#[test]
fn one_name_at_two_addresses() {
    let mut view = view();
    tell(&mut view, 1000, vec![news("me", 5, 90, 0, MemberState::Alive)]);
    assert_eq!(view.generation(), Generation(50), "not before it was asked");
    alone_until(&mut view, 2_000_000);
    let asked: Vec<_> = sent(&mut view).into_iter().filter(|(to, _)| *to == at(5)).collect();
    let (_, ask) = asked.last().expect("the other one is asked");
    let answer = Datagram { probe_id: ask.probe_id, ..said("me", 5, 90, Kind::Ack, Vec::new()) };
    let next = view.next_timeout();
    view.receive(next, at(5), &answer.to_bytes().expect("small"));
    assert_eq!(view.displaced_by(), Some(at(5)));
    let changes: Vec<ChangeKind> = std::iter::from_fn(|| view.next_change()).map(|c| c.kind).collect();
    assert!(changes.contains(&ChangeKind::NameTaken), "{changes:?}");
    alone_until(&mut view, 60_000_000);
    assert_eq!((view.displaced_by(), view.generation()), (None, Generation(91)), "it answers no more");
}

/// What comes from elsewhere, in another fleet's name, or in no words of ours is counted and dropped; there is room for
/// so many members only, and a flood of asks is answered within a bound.
#[test]
fn strangers_and_floods() {
    let mut view = view();
    let good = said("x", 2, 7, Kind::Ping, vec![news("x", 2, 7, 0, MemberState::Alive)]);
    let bytes = |datagram: &Datagram| datagram.to_bytes().expect("small");
    view.receive(Timestamp(1), SocketAddr::from(([10, 0, 0, 1], 7946)), &bytes(&good));
    view.receive(Timestamp(2), at(2), &bytes(&Datagram { fleet: "g".into(), ..good.clone() }));
    view.receive(Timestamp(3), at(2), &bytes(&Datagram { version: 9, ..good.clone() }));
    view.receive(Timestamp(4), at(2), b"?");
    let outside = SocketAddr::from(([10, 0, 0, 1], 7946));
    view.receive(Timestamp(5), at(2), &bytes(&Datagram { address: outside, ..good.clone() }));
    let counts = view.counters();
    let dropped = [
        counts.outside_networks,
        counts.other_fleet,
        counts.other_version,
        counts.malformed,
        counts.datagrams_received,
    ];
    assert_eq!(dropped, [2, 1, 1, 1, 0]);
    assert_eq!(view.next_datagram(), None, "nothing is owed to them");
    let config = ViewConfig { max_members: 20, ..ViewConfig::with_defaults("f", at(1)) };
    let mut small = View::new(Timestamp(0), config, "me", Generation(50), info(1), 1);
    for host in 2..60 {
        let name = format!("x{host}");
        let first = said(&name, host, 7, Kind::PingReq, vec![news(&name, host, 7, 0, MemberState::Alive)]);
        for ask in 0..40 {
            let next = Datagram { probe_id: ask, target: Some("x2".into()), ..first.clone() };
            small.receive(Timestamp(1000), at(host), &bytes(&next));
        }
    }
    assert_eq!((small.present_count(), small.members().count()), (20, 19));
    assert!(
        small.counters().member_limit_reached > 0 && small.pending_counts().0 <= 512,
        "{:?}",
        small.pending_counts()
    );
}

/// The operators' file: what is wrong in it is named, with its line or its key.
#[test]
fn bad_files() {
    let good = "fleet = \"f\"\nlisten = \"127.0.0.1:7946\"\nnetworks = [\"127.0.0.0/8\"]\n";
    assert!(ViewConfig::from_toml(good).is_ok());
    let cases = [
        ("fleet = \"f\"\nlisten = \"here\"\nnetworks = []", "line 2"),
        ("fleet = \"f\"\nlisten = \"127.0.0.1:7946\"\nnetworks = []", "networks"),
        ("fleet = \"f\"\nlisten = \"127.0.0.1:7946\"\nnetworks = [\"127.0.0.0/33\"]", "line 3"),
        ("fleet = \"f\"\nlisten = \"0.0.0.0:7946\"\nnetworks = [\"127.0.0.0/8\"]", "address"),
        ("fleet = \"\"\nlisten = \"127.0.0.1:7946\"\nnetworks = [\"127.0.0.0/8\"]", "fleet"),
        (&(good.to_owned() + "seeds = [\"10.0.0.1:7946\"]"), "seeds[0]"),
        (&(good.to_owned() + "seed = []"), "line 4"),
        (&(good.to_owned() + "[times]\nperiod = 0"), "times.period"),
        (&(good.to_owned() + "[times]\nsure = 4000"), "times.sure"),
    ];
    for (text, key) in cases {
        let why = ViewConfig::from_toml(text).expect_err(text);
        assert!(why.contains(key), "{text}: {why}");
    }
}

/// A node's card changes by a new edition; its load does not.
#[test]
fn cards_and_loads() {
    let mut view = view();
    view.update_self(&info(1), Load { in_flight: 4, ..Load::default() });
    assert_eq!(view.incarnation(), Incarnation(0));
    view.update_self(&NodeInfo { phase: Phase::STOPPING, ..info(1) }, Load::default());
    assert_eq!(view.incarnation(), Incarnation(1));
}

/// The rule of portions: more than its own only for a settled majority, less whenever in doubt.
#[test]
fn portions() {
    let timing = ViewConfig::with_defaults("f", at(1)).timing;
    let (fresh, long) = (Micros(1_000_000), Micros(timing.takeover_delay.0 * 3));
    let seen = |seen, missing, extra| SlotOccupancy {
        live: seen,
        missing,
        extra_nodes: extra,
        owns_slot: true,
        preceding: 0,
    };
    let cases = [
        ("all there", seen(10, 0, 0), true, long, (10, ShareReason::Configured)),
        ("just begun", seen(10, 0, 0), true, fresh, (20, ShareReason::Settling)),
        ("three missing", seen(7, 3, 0), true, long, (9, ShareReason::SlotsMissing)),
        ("four missing", seen(6, 4, 0), true, long, (8, ShareReason::SlotsMissing)),
        ("half is no majority", seen(5, 5, 0), true, long, (20, ShareReason::NoMajority)),
        ("nobody answers", seen(10, 0, 0), false, long, (20, ShareReason::NoMajority)),
        ("two too many", seen(10, 0, 2), true, long, (12, ShareReason::ExtraNodes)),
        (
            "no place of its own",
            SlotOccupancy { owns_slot: false, ..seen(10, 0, 1) },
            true,
            fresh,
            (NO_SHARE, ShareReason::ExtraNodes),
        ),
        (
            "none, but settled",
            SlotOccupancy { owns_slot: false, ..seen(10, 0, 1) },
            true,
            long,
            (11, ShareReason::ExtraNodes),
        ),
    ];
    for (what, found, heard, after, (nodes, why)) in cases {
        let start = Timestamp(1_000_000);
        let mut sharer = ShareTracker::new(start, timing);
        let mut share = None;
        for step in 0..=after.0 / 100_000 {
            share = Some(sharer.decide(start + Micros(step * 100_000), &found, heard, 10, 3));
        }
        let share: Share = share.expect("a look");
        assert_eq!((share.nodes, share.reason), (nodes, why), "{what}");
    }
    // Of a fleet of one place another node takes nothing, however long it has seen it: found by a walk of the search, in
    // which the one with the place started again.
    let mut beside = ShareTracker::new(Timestamp(0), timing);
    let found = SlotOccupancy { live: 1, missing: 0, extra_nodes: 1, owns_slot: false, preceding: 0 };
    let looks = (0..200u64).map(|i| beside.decide(Timestamp(i * 100_000), &found, true, 1, 1).nodes);
    assert_eq!(looks.last(), Some(NO_SHARE));
    // Touch lost for a moment is no loss; for longer it is, and then all begins again.
    let mut sharer = ShareTracker::new(Timestamp(0), timing);
    let mut look = |at: u64, there: bool| {
        let found = if there { seen(7, 3, 0) } else { seen(2, 3, 0) };
        sharer.decide(Timestamp(at), &found, true, 10, 0).nodes
    };
    let steps = (0..200u64).map(|i| look(i * 100_000, true)).last();
    assert_eq!(steps, Some(9));
    assert_eq!([look(20_100_000, false), look(21_000_000, true), look(26_000_000, false)], [10, 10, 20]);
    // Back among a majority it keeps to the half for as long as the others may not have seen it.
    assert_eq!([look(26_100_000, true), look(41_000_000, true), look(41_200_000, true)], [20, 20, 9]);
    // Stopped for long and awake again it has seen nobody yet, and the others may have taken over from it: an answer
    // that comes before its first look must not have it at its stated portion.
    sharer.resumed(Timestamp(80_000_000));
    let share = sharer.decide(Timestamp(80_100_000), &seen(10, 0, 0), true, 10, 0);
    assert_eq!((share.nodes, share.reason), (20, ShareReason::Settling));
}

/// Networks by their first bits, in either version.
#[test]
fn networks() {
    let cases = [
        ("10.2.0.0/16", "10.2.9.9", true),
        ("10.2.0.0/16", "10.3.0.0", false),
        ("10.2.0.0/32", "10.2.0.1", false),
        ("0.0.0.0/0", "9.9.9.9", true),
        ("0.0.0.0/0", "::1", false),
        ("fd00::/8", "fd12::3", true),
        ("fd00::/8", "fe00::3", false),
        ("::/0", "::ffff:9.9.9.9", true),
    ];
    for (network, ip, has) in cases {
        let network: Network = network.parse().expect("a network");
        assert_eq!(network.contains(ip.parse().expect("an address")), has, "{network:?} {ip}");
    }
}
