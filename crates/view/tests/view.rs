//! The membership state machine of a single node, driven by hand-made datagrams and timeouts.

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

fn update(name: &str, host: u8, generation: u64, incarnation: u32, state: MemberState) -> MemberUpdate {
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

fn datagram_from(from: &str, host: u8, generation: u64, kind: Kind, updates: Vec<MemberUpdate>) -> Datagram {
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
        updates: Some(updates),
    }
}

fn receive_updates(view: &mut View, now: u64, updates: Vec<MemberUpdate>) {
    let datagram = datagram_from("teller", 9, 1, Kind::Updates, updates);
    view.receive(Timestamp(now), at(9), &datagram.to_bytes().expect("small"));
}

fn sent_datagrams(view: &mut View) -> Vec<(SocketAddr, Datagram)> {
    std::iter::from_fn(|| view.next_datagram())
        .map(|(at, b)| (at, Datagram::from_bytes(&b).expect("a valid datagram")))
        .collect()
}

/// Runs all timeouts up to `end` (in microseconds) while no other node answers.
fn run_unanswered_until(view: &mut View, end: u64) {
    while view.next_timeout() <= Timestamp(end) {
        let next = view.next_timeout();
        view.handle_timeout(next);
    }
}

/// The later generation takes precedence, then the later incarnation, then the worse state.
#[test]
fn precedence_of_updates() {
    use MemberState::{Alive, Dead, Left, Suspect};
    type Report = (u64, u32, MemberState);
    let cases: [(&str, Report, Report, Report); 10] = [
        ("a death", (7, 0, Suspect), (7, 0, Dead), (7, 0, Dead)),
        ("a death that was not suspected here", (7, 0, Alive), (7, 0, Dead), (7, 0, Suspect)),
        ("a death of an old generation", (8, 0, Alive), (7, 9, Dead), (8, 0, Alive)),
        ("a departure of an old generation", (8, 0, Alive), (7, 9, Left), (8, 0, Alive)),
        ("a refutation", (7, 0, Suspect), (7, 1, Alive), (7, 1, Alive)),
        ("a refutation with an old incarnation", (7, 1, Suspect), (7, 1, Alive), (7, 1, Suspect)),
        ("a refuted death", (7, 0, Dead), (7, 1, Alive), (7, 1, Alive)),
        ("an old suspicion", (7, 2, Alive), (7, 1, Suspect), (7, 2, Alive)),
        ("a new generation", (7, 3, Dead), (8, 0, Alive), (8, 0, Alive)),
        ("a suspicion after a death", (7, 0, Dead), (7, 0, Suspect), (7, 0, Dead)),
    ];
    for (case, before, received, after) in cases {
        let mut view = view();
        // A member is declared dead only after it was suspected.
        let suspected = if before.2 == Dead { Suspect } else { Alive };
        let all = [(before.0, before.1, Alive), (before.0, before.1, suspected), before, received];
        for (now, (generation, incarnation, state)) in (1000..).step_by(1000).zip(all) {
            receive_updates(&mut view, now, vec![update("x", 2, generation, incarnation, state)]);
        }
        let is = view.member("x").map(|m| (m.generation.0, m.incarnation.0, m.state));
        assert_eq!(is, Some(after), "{case}");
    }
}

/// A node outranks whatever is reported about it; its incarnation and generation never decrease.
#[test]
fn node_refutes_reports_about_itself() {
    use MemberState::{Alive, Dead, Left, Suspect};
    let cases = [
        ("suspected", update("me", 1, 50, 0, Suspect), (50, 1)),
        ("dead later", update("me", 1, 50, 7, Dead), (50, 8)),
        ("left", update("me", 1, 50, 0, Left), (50, 1)),
        ("an old generation of it", update("me", 1, 49, 7, Dead), (50, 0)),
        ("a later generation that ended: the clock went back", update("me", 1, 90, 3, Dead), (91, 0)),
        ("a later generation at this address", update("me", 1, 90, 3, Alive), (91, 0)),
        (
            "a later generation at an unknown address",
            MemberUpdate { info: None, ..update("me", 1, 90, 3, Alive) },
            (50, 0),
        ),
    ];
    for (case, report, expected) in cases {
        let mut view = view();
        receive_updates(&mut view, 1000, vec![report]);
        assert_eq!((view.generation().0, view.incarnation().0), expected, "{case}");
    }
}

/// A silent member is probed directly, then indirectly, then suspected, declared dead and forgotten. No member is
/// suspected because this node itself was stalled. A forgotten member does not come back through an old update.
#[test]
fn silent_member_is_suspected_declared_dead_and_forgotten() {
    let mut view = view();
    receive_updates(
        &mut view,
        1000,
        vec![update("x", 2, 7, 0, MemberState::Alive), update("y", 3, 7, 0, MemberState::Alive)],
    );
    run_unanswered_until(&mut view, 300_000);
    let probes: Vec<_> =
        sent_datagrams(&mut view).into_iter().filter(|(_, d)| d.kind == Kind::Ping).collect();
    assert!(probes.iter().any(|(_, d)| d.target.is_some()), "{probes:?}");
    run_unanswered_until(&mut view, 1_000_000);
    let indirect = sent_datagrams(&mut view).iter().filter(|(_, d)| d.kind == Kind::PingReq).count();
    assert!(indirect > 0, "no indirect probe was requested");
    assert_eq!(view.member("x").map(|m| m.state), Some(MemberState::Suspect));
    let mut stopped =
        View::new(Timestamp(0), ViewConfig::with_defaults("f", at(1)), "me", Generation(50), info(1), 1);
    receive_updates(&mut stopped, 1000, vec![update("x", 2, 7, 0, MemberState::Alive)]);
    stopped.handle_timeout(Timestamp(10_000_000));
    let after = stopped.member("x").map(|m| m.state);
    assert_eq!(
        (after, stopped.counters().stalls),
        (Some(MemberState::Alive), 1),
        "a stall of this node must not be held against members"
    );
    run_unanswered_until(&mut view, 60_000_000);
    assert_eq!(view.member("x").map(|m| m.state), Some(MemberState::Dead));
    assert!(view.is_alone());
    run_unanswered_until(&mut view, 700_000_000);
    assert!(view.member("x").is_none(), "the dead member must be forgotten");
    receive_updates(&mut view, 700_000_100, vec![update("x", 2, 7, 0, MemberState::Dead)]);
    assert!(view.member("x").is_none(), "an old death report must not add a member");
}

/// A member that is not considered alive learns of it with the answer to any datagram that it sends.
#[test]
fn suspected_member_is_informed() {
    let mut view = view();
    receive_updates(
        &mut view,
        1000,
        vec![update("x", 2, 7, 0, MemberState::Alive), update("x", 2, 7, 0, MemberState::Dead)],
    );
    sent_datagrams(&mut view);
    let ping = datagram_from("x", 2, 7, Kind::Ping, Vec::new());
    view.receive(Timestamp(2000), at(2), &ping.to_bytes().expect("small"));
    let received: Vec<MemberUpdate> =
        sent_datagrams(&mut view).into_iter().flat_map(|(_, d)| d.updates.unwrap_or_default()).collect();
    assert!(received.iter().any(|n| n.name == "x" && n.state == MemberState::Suspect), "{received:?}");
}

/// Of two processes with one name the earlier one yields while the later one answers, and takes the name back when it no
/// longer does.
#[test]
fn earlier_process_yields_its_name_and_takes_it_back() {
    let mut view = view();
    receive_updates(&mut view, 1000, vec![update("me", 5, 90, 0, MemberState::Alive)]);
    assert_eq!(view.generation(), Generation(50), "the other process must be probed first");
    run_unanswered_until(&mut view, 2_000_000);
    let probes: Vec<_> = sent_datagrams(&mut view).into_iter().filter(|(to, _)| *to == at(5)).collect();
    let (_, ping) = probes.last().expect("a probe of the other process");
    let answer = Datagram { probe_id: ping.probe_id, ..datagram_from("me", 5, 90, Kind::Ack, Vec::new()) };
    let next = view.next_timeout();
    view.receive(next, at(5), &answer.to_bytes().expect("small"));
    assert_eq!(view.displaced_by(), Some(at(5)));
    let changes: Vec<ChangeKind> = std::iter::from_fn(|| view.next_change()).map(|c| c.kind).collect();
    assert!(changes.contains(&ChangeKind::NameTaken), "{changes:?}");
    run_unanswered_until(&mut view, 60_000_000);
    assert_eq!(
        (view.displaced_by(), view.generation()),
        (None, Generation(91)),
        "the other process no longer answers"
    );
}

/// Datagrams from outside the networks, of another fleet or version, and malformed ones are counted and dropped. The number
/// of members is limited, and a flood of probe requests is handled within a bound.
#[test]
fn foreign_datagrams_are_dropped_and_floods_bounded() {
    let mut view = view();
    let good = datagram_from("x", 2, 7, Kind::Ping, vec![update("x", 2, 7, 0, MemberState::Alive)]);
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
    assert_eq!(view.next_datagram(), None, "dropped datagrams must not be answered");
    let config = ViewConfig { max_members: 20, ..ViewConfig::with_defaults("f", at(1)) };
    let mut small = View::new(Timestamp(0), config, "me", Generation(50), info(1), 1);
    for host in 2..60 {
        let name = format!("x{host}");
        let first =
            datagram_from(&name, host, 7, Kind::PingReq, vec![update(&name, host, 7, 0, MemberState::Alive)]);
        for probe_id in 0..40 {
            let next = Datagram { probe_id, target: Some("x2".into()), ..first.clone() };
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

/// An error in the membership file names the line or the key.
#[test]
fn config_errors_name_the_key_or_line() {
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

/// A changed `NodeInfo` raises the incarnation; a changed load does not.
#[test]
fn changed_info_raises_the_incarnation() {
    let mut view = view();
    view.update_self(&info(1), Load { in_flight: 4, ..Load::default() });
    assert_eq!(view.incarnation(), Incarnation(0));
    view.update_self(&NodeInfo { phase: Phase::STOPPING, ..info(1) }, Load::default());
    assert_eq!(view.incarnation(), Incarnation(1));
}

/// A node takes more than its own share only in a settled majority, and less whenever in doubt.
#[test]
fn share_rule() {
    let timing = ViewConfig::with_defaults("f", at(1)).timing;
    let (fresh, long) = (Micros(1_000_000), Micros(timing.takeover_delay.0 * 3));
    let occupancy = |live, missing, extra_nodes| SlotOccupancy {
        live,
        missing,
        extra_nodes,
        owns_slot: true,
        preceding: 0,
    };
    let cases = [
        ("all slots are held", occupancy(10, 0, 0), true, long, (10, ShareReason::Configured)),
        ("just started", occupancy(10, 0, 0), true, fresh, (20, ShareReason::Settling)),
        ("three slots missing", occupancy(7, 3, 0), true, long, (9, ShareReason::SlotsMissing)),
        ("four slots missing", occupancy(6, 4, 0), true, long, (8, ShareReason::SlotsMissing)),
        ("half of the slots is no majority", occupancy(5, 5, 0), true, long, (20, ShareReason::NoMajority)),
        ("no node answers", occupancy(10, 0, 0), false, long, (20, ShareReason::NoMajority)),
        ("two extra nodes", occupancy(10, 0, 2), true, long, (12, ShareReason::ExtraNodes)),
        (
            "no slot of its own",
            SlotOccupancy { owns_slot: false, ..occupancy(10, 0, 1) },
            true,
            fresh,
            (NO_SHARE, ShareReason::ExtraNodes),
        ),
        (
            "no slot of its own, but settled",
            SlotOccupancy { owns_slot: false, ..occupancy(10, 0, 1) },
            true,
            long,
            (11, ShareReason::ExtraNodes),
        ),
    ];
    for (case, found, heard, after, (nodes, reason)) in cases {
        let start = Timestamp(1_000_000);
        let mut tracker = ShareTracker::new(start, timing);
        let mut share = None;
        for step in 0..=after.0 / 100_000 {
            share = Some(tracker.decide(start + Micros(step * 100_000), &found, heard, 10, 3));
        }
        let share: Share = share.expect("at least one decision");
        assert_eq!((share.nodes, share.reason), (nodes, reason), "{case}");
    }
    // In a fleet with one slot another node takes no share, however long it has seen the holder. A random walk of the
    // search found this fault, with a restart of the node that holds the slot.
    let mut without_slot = ShareTracker::new(Timestamp(0), timing);
    let found = SlotOccupancy { live: 1, missing: 0, extra_nodes: 1, owns_slot: false, preceding: 0 };
    let decisions =
        (0..200u64).map(|i| without_slot.decide(Timestamp(i * 100_000), &found, true, 1, 1).nodes);
    assert_eq!(decisions.last(), Some(NO_SHARE));
    // A majority that is lost for a moment only does not count as lost. Lost for longer, the delay starts again.
    let mut tracker = ShareTracker::new(Timestamp(0), timing);
    let mut decide = |at: u64, has_majority: bool| {
        let found = if has_majority { occupancy(7, 3, 0) } else { occupancy(2, 3, 0) };
        tracker.decide(Timestamp(at), &found, true, 10, 0).nodes
    };
    let settled = (0..200u64).map(|i| decide(i * 100_000, true)).last();
    assert_eq!(settled, Some(9));
    assert_eq!(
        [decide(20_100_000, false), decide(21_000_000, true), decide(26_000_000, false)],
        [10, 10, 20]
    );
    // Back in a majority the node keeps to the half share for as long as the others may not have seen it.
    assert_eq!([decide(26_100_000, true), decide(41_000_000, true), decide(41_200_000, true)], [20, 20, 9]);
    // After a long stall the node has not seen any other node yet, and the others may have taken over its share. An answer
    // that arrives before its first decision must not bring back its configured share.
    tracker.resumed(Timestamp(80_000_000));
    let share = tracker.decide(Timestamp(80_100_000), &occupancy(10, 0, 0), true, 10, 0);
    assert_eq!((share.nodes, share.reason), (20, ShareReason::Settling));
}

/// A network contains the addresses of its own IP version that share its prefix.
#[test]
fn network_matching() {
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
