//! The state machine by hand: one node, and what is said to it.

use std::net::SocketAddr;
use yarrowfront::times::{Micros, Timestamp};
use yarrowfront_view::card::{Card, Edition, Life, Load, Phase, Standing};
use yarrowfront_view::share::{Places, Share, Sharer, Why, NONE};
use yarrowfront_view::terms::{Network, ViewTerms};
use yarrowfront_view::view::{View, What};
use yarrowfront_view::wire::{Datagram, Kind, News, VERSION};

fn at(host: u8) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, host], 7946))
}

fn card(host: u8) -> Card {
    Card {
        address: at(host),
        site: "s".into(),
        build: "b".into(),
        digest: 0,
        phase: Phase::SERVING,
        place: host.into(),
        places: 4,
    }
}

fn view() -> View {
    View::new(Timestamp(0), ViewTerms::plain("f", at(1)), "me", Life(50), card(1), 1)
}

fn news(name: &str, host: u8, life: u64, edition: u32, standing: Standing) -> News {
    let (life, edition) = (Life(life), Edition(edition));
    News { name: name.into(), life, edition, standing, by: None, carded: Edition(0), card: Some(card(host)) }
}

fn said(from: &str, host: u8, life: u64, kind: Kind, news: Vec<News>) -> Datagram {
    Datagram {
        version: VERSION,
        fleet: "f".into(),
        kind,
        ask: 9,
        from: from.into(),
        life: Life(life),
        edition: Edition(0),
        address: at(host),
        target: None,
        digest: 0,
        here: 2,
        load: None,
        sums: None,
        last: None,
        whole: None,
        news: Some(news),
    }
}

fn tell(view: &mut View, now: u64, news: Vec<News>) {
    let told = said("teller", 9, 1, Kind::Tell, news);
    view.heard(Timestamp(now), at(9), &told.bytes().expect("small"));
}

fn sent(view: &mut View) -> Vec<(SocketAddr, Datagram)> {
    std::iter::from_fn(|| view.outgoing())
        .map(|(at, b)| (at, Datagram::read(&b).expect("our words")))
        .collect()
}

/// Plays on alone, with nobody answering, until then.
fn alone_until(view: &mut View, end: u64) {
    while view.next() <= Timestamp(end) {
        let next = view.next();
        view.due(next);
    }
}

/// Which word holds over which: the later life, then the later edition, then the worse.
#[test]
fn what_holds() {
    use Standing::{Alive, Dead, Left, Suspected};
    type Said = (u64, u32, Standing);
    let cases: [(&str, Said, Said, Said); 10] = [
        ("a death", (7, 0, Suspected), (7, 0, Dead), (7, 0, Dead)),
        ("a death that nobody here suspected", (7, 0, Alive), (7, 0, Dead), (7, 0, Suspected)),
        ("an old life's death", (8, 0, Alive), (7, 9, Dead), (8, 0, Alive)),
        ("an old life's leaving", (8, 0, Alive), (7, 9, Left), (8, 0, Alive)),
        ("a refutation", (7, 0, Suspected), (7, 1, Alive), (7, 1, Alive)),
        ("too old a refutation", (7, 1, Suspected), (7, 1, Alive), (7, 1, Suspected)),
        ("a refuted death", (7, 0, Dead), (7, 1, Alive), (7, 1, Alive)),
        ("an old suspicion", (7, 2, Alive), (7, 1, Suspected), (7, 2, Alive)),
        ("a new life", (7, 3, Dead), (8, 0, Alive), (8, 0, Alive)),
        ("a suspicion after a death", (7, 0, Dead), (7, 0, Suspected), (7, 0, Dead)),
    ];
    for (what, before, then, after) in cases {
        let mut view = view();
        // Nobody is dead who was not suspected.
        let suspected = if before.2 == Dead { Suspected } else { Alive };
        let all = [(before.0, before.1, Alive), (before.0, before.1, suspected), before, then];
        for (now, (life, edition, standing)) in (1000..).step_by(1000).zip(all) {
            tell(&mut view, now, vec![news("x", 2, life, edition, standing)]);
        }
        let is = view.member("x").map(|m| (m.life.0, m.edition.0, m.standing));
        assert_eq!(is, Some(after), "{what}");
    }
}

/// Whatever is said of it, a node says something that holds over that; its edition and its life never go back.
#[test]
fn refutes_what_is_said_of_it() {
    use Standing::{Alive, Dead, Left, Suspected};
    let cases = [
        ("suspected", news("me", 1, 50, 0, Suspected), (50, 1)),
        ("dead later", news("me", 1, 50, 7, Dead), (50, 8)),
        ("left", news("me", 1, 50, 0, Left), (50, 1)),
        ("an old life of it", news("me", 1, 49, 7, Dead), (50, 0)),
        ("a later life that ended: the clock went back", news("me", 1, 90, 3, Dead), (91, 0)),
        ("a later life here", news("me", 1, 90, 3, Alive), (91, 0)),
        ("a later life nobody knows where", News { card: None, ..news("me", 1, 90, 3, Alive) }, (50, 0)),
    ];
    for (what, news, then) in cases {
        let mut view = view();
        tell(&mut view, 1000, vec![news]);
        assert_eq!((view.life().0, view.edition().0), then, "{what}");
    }
}

/// A silent member is asked, asked through others, suspected and called dead in that order; while this node was itself
/// kept from its work nobody is. What has been forgotten does not come back by an old word.
#[test]
fn a_silent_member() {
    let mut view = view();
    tell(&mut view, 1000, vec![news("x", 2, 7, 0, Standing::Alive), news("y", 3, 7, 0, Standing::Alive)]);
    alone_until(&mut view, 300_000);
    let asked: Vec<_> = sent(&mut view).into_iter().filter(|(_, d)| d.kind == Kind::Ask).collect();
    assert!(asked.iter().any(|(_, d)| d.target.is_some()), "{asked:?}");
    alone_until(&mut view, 1_000_000);
    let through = sent(&mut view).iter().filter(|(_, d)| d.kind == Kind::AskFor).count();
    assert!(through > 0, "others are asked to ask");
    assert_eq!(view.member("x").map(|m| m.standing), Some(Standing::Suspected));
    let mut stopped = View::new(Timestamp(0), ViewTerms::plain("f", at(1)), "me", Life(50), card(1), 1);
    tell(&mut stopped, 1000, vec![news("x", 2, 7, 0, Standing::Alive)]);
    stopped.due(Timestamp(10_000_000));
    let after = stopped.member("x").map(|m| m.standing);
    assert_eq!(
        (after, stopped.counts().stalls),
        (Some(Standing::Alive), 1),
        "its own stop is nobody's fault"
    );
    alone_until(&mut view, 60_000_000);
    assert_eq!(view.member("x").map(|m| m.standing), Some(Standing::Dead));
    assert!(view.alone());
    alone_until(&mut view, 700_000_000);
    assert!(view.member("x").is_none(), "forgotten");
    tell(&mut view, 700_000_100, vec![news("x", 2, 7, 0, Standing::Dead)]);
    assert!(view.member("x").is_none(), "an old word of the dead is no news");
}

/// A member that hears that it is suspected says so at once, by any datagram; whoever calls it dead is told.
#[test]
fn accused_are_told() {
    let mut view = view();
    tell(&mut view, 1000, vec![news("x", 2, 7, 0, Standing::Alive), news("x", 2, 7, 0, Standing::Dead)]);
    sent(&mut view);
    let ask = said("x", 2, 7, Kind::Ask, Vec::new());
    view.heard(Timestamp(2000), at(2), &ask.bytes().expect("small"));
    let told: Vec<News> = sent(&mut view).into_iter().flat_map(|(_, d)| d.news.unwrap_or_default()).collect();
    assert!(told.iter().any(|n| n.name == "x" && n.standing == Standing::Suspected), "{told:?}");
}

/// A second process of the same name: the earlier one gives way while the later one answers, and takes its name back
/// when it does not.
#[test]
fn one_name_at_two_addresses() {
    let mut view = view();
    tell(&mut view, 1000, vec![news("me", 5, 90, 0, Standing::Alive)]);
    assert_eq!(view.life(), Life(50), "not before it was asked");
    alone_until(&mut view, 2_000_000);
    let asked: Vec<_> = sent(&mut view).into_iter().filter(|(to, _)| *to == at(5)).collect();
    let (_, ask) = asked.last().expect("the other one is asked");
    let answer = Datagram { ask: ask.ask, ..said("me", 5, 90, Kind::Answer, Vec::new()) };
    let next = view.next();
    view.heard(next, at(5), &answer.bytes().expect("small"));
    assert_eq!(view.displaced(), Some(at(5)));
    let changes: Vec<What> = std::iter::from_fn(|| view.change()).map(|c| c.what).collect();
    assert!(changes.contains(&What::Displaced), "{changes:?}");
    alone_until(&mut view, 60_000_000);
    assert_eq!((view.displaced(), view.life()), (None, Life(91)), "it answers no more");
}

/// What comes from elsewhere, in another fleet's name, or in no words of ours is counted and dropped; there is room for
/// so many members only, and a flood of asks is answered within a bound.
#[test]
fn strangers_and_floods() {
    let mut view = view();
    let good = said("x", 2, 7, Kind::Ask, vec![news("x", 2, 7, 0, Standing::Alive)]);
    let bytes = |datagram: &Datagram| datagram.bytes().expect("small");
    view.heard(Timestamp(1), SocketAddr::from(([10, 0, 0, 1], 7946)), &bytes(&good));
    view.heard(Timestamp(2), at(2), &bytes(&Datagram { fleet: "g".into(), ..good.clone() }));
    view.heard(Timestamp(3), at(2), &bytes(&Datagram { version: 9, ..good.clone() }));
    view.heard(Timestamp(4), at(2), b"?");
    let outside = SocketAddr::from(([10, 0, 0, 1], 7946));
    view.heard(Timestamp(5), at(2), &bytes(&Datagram { address: outside, ..good.clone() }));
    let counts = view.counts();
    let dropped =
        [counts.strangers, counts.other_fleet, counts.other_version, counts.malformed, counts.heard];
    assert_eq!(dropped, [2, 1, 1, 1, 0]);
    assert_eq!(view.outgoing(), None, "nothing is owed to them");
    let terms = ViewTerms { most_members: 20, ..ViewTerms::plain("f", at(1)) };
    let mut small = View::new(Timestamp(0), terms, "me", Life(50), card(1), 1);
    for host in 2..60 {
        let name = format!("x{host}");
        let first = said(&name, host, 7, Kind::AskFor, vec![news(&name, host, 7, 0, Standing::Alive)]);
        for ask in 0..40 {
            let next = Datagram { ask, target: Some("x2".into()), ..first.clone() };
            small.heard(Timestamp(1000), at(host), &bytes(&next));
        }
    }
    assert_eq!((small.here(), small.members().count()), (20, 19));
    assert!(small.counts().no_room > 0 && small.held().0 <= 512, "{:?}", small.held());
}

/// The operators' file: what is wrong in it is named, with its line or its key.
#[test]
fn bad_files() {
    let good = "fleet = \"f\"\nlisten = \"127.0.0.1:7946\"\nnetworks = [\"127.0.0.0/8\"]\n";
    assert!(ViewTerms::from_toml(good).is_ok());
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
        let why = ViewTerms::from_toml(text).expect_err(text);
        assert!(why.contains(key), "{text}: {why}");
    }
}

/// A node's card changes by a new edition; its load does not.
#[test]
fn cards_and_loads() {
    let mut view = view();
    view.told(&card(1), Load { in_hand: 4, ..Load::default() });
    assert_eq!(view.edition(), Edition(0));
    view.told(&Card { phase: Phase::STOPPING, ..card(1) }, Load::default());
    assert_eq!(view.edition(), Edition(1));
}

/// The rule of portions: more than its own only for a settled majority, less whenever in doubt.
#[test]
fn portions() {
    let times = ViewTerms::plain("f", at(1)).times;
    let (fresh, long) = (Micros(1_000_000), Micros(times.sure.0 * 3));
    let seen = |seen, missing, extra| Places { seen, missing, extra, own: true, before: 0 };
    let cases = [
        ("all there", seen(10, 0, 0), true, long, (10, Why::Stated)),
        ("just begun", seen(10, 0, 0), true, fresh, (20, Why::Fresh)),
        ("three missing", seen(7, 3, 0), true, long, (9, Why::Missing)),
        ("four missing", seen(6, 4, 0), true, long, (8, Why::Missing)),
        ("half is no majority", seen(5, 5, 0), true, long, (20, Why::Unsure)),
        ("nobody answers", seen(10, 0, 0), false, long, (20, Why::Unsure)),
        ("two too many", seen(10, 0, 2), true, long, (12, Why::Crowded)),
        ("no place of its own", Places { own: false, ..seen(10, 0, 1) }, true, fresh, (NONE, Why::Crowded)),
        ("none, but settled", Places { own: false, ..seen(10, 0, 1) }, true, long, (11, Why::Crowded)),
    ];
    for (what, found, heard, after, (nodes, why)) in cases {
        let start = Timestamp(1_000_000);
        let mut sharer = Sharer::new(start, times);
        let mut share = None;
        for step in 0..=after.0 / 100_000 {
            share = Some(sharer.choose(start + Micros(step * 100_000), &found, heard, 10, 3));
        }
        let share: Share = share.expect("a look");
        assert_eq!((share.nodes, share.why), (nodes, why), "{what}");
    }
    // Of a fleet of one place another node takes nothing, however long it has seen it: found by a walk of the search, in
    // which the one with the place started again.
    let mut beside = Sharer::new(Timestamp(0), times);
    let found = Places { seen: 1, missing: 0, extra: 1, own: false, before: 0 };
    let looks = (0..200u64).map(|i| beside.choose(Timestamp(i * 100_000), &found, true, 1, 1).nodes);
    assert_eq!(looks.last(), Some(NONE));
    // Touch lost for a moment is no loss; for longer it is, and then all begins again.
    let mut sharer = Sharer::new(Timestamp(0), times);
    let mut look = |at: u64, there: bool| {
        let found = if there { seen(7, 3, 0) } else { seen(2, 3, 0) };
        sharer.choose(Timestamp(at), &found, true, 10, 0).nodes
    };
    let steps = (0..200u64).map(|i| look(i * 100_000, true)).last();
    assert_eq!(steps, Some(9));
    assert_eq!([look(20_100_000, false), look(21_000_000, true), look(26_000_000, false)], [10, 10, 20]);
    // Back among a majority it keeps to the half for as long as the others may not have seen it.
    assert_eq!([look(26_100_000, true), look(41_000_000, true), look(41_200_000, true)], [20, 20, 9]);
    // Stopped for long and awake again it has seen nobody yet, and the others may have taken over from it: an answer
    // that comes before its first look must not have it at its stated portion.
    sharer.awake(Timestamp(80_000_000));
    let share = sharer.choose(Timestamp(80_100_000), &seen(10, 0, 0), true, 10, 0);
    assert_eq!((share.nodes, share.why), (20, Why::Fresh));
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
        assert_eq!(network.has(ip.parse().expect("an address")), has, "{network:?} {ip}");
    }
}
