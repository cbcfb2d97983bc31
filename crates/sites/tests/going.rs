//! Where a lost site's load goes: plans, promises on drawn ones, the best that there is, and a plan that is wrong.

use proptest::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use sites::failover::{
    admitted_shares, max_payoff, plan_failover, AdmissionGate, ClientOrigin, SecondCounts,
};
use sites::plan::{LoadLevel, Plan, ProfileId, SiteId};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write as _;

fn example() -> Plan {
    Plan::from_toml(include_str!("../../../deploy/sites.example.toml")).expect("a plan")
}

/// What is wrong in a plan is named, with its line or its key.
#[test]
fn bad_plans() {
    let good = include_str!("../../../deploy/sites.example.toml");
    let cases = [
        (good.replace("capacity = 1000.0", "capacity = -1.0"), "sites[0].capacity"),
        (good.replace("capacity = 1000.0", "capacty = 1.0"), "line 10"),
        (good.replacen("name = \"north\"", "name = \"south\"", 1), "sites[1].name"),
        (good.replacen("floor = 0.2", "floor = 1.2", 1), "profiles[0].floor"),
        (good.replacen("answer_ms = 60.0", "answer_ms = 600.0", 1), "profiles[0].answer_ms"),
        (good.replacen("highest = 350.0", "highest = 35.0", 1), "demand[0].highest"),
        (good.replacen("profile = \"book\"", "profile = \"cook\"", 1), "demand[0].profile"),
        (good.replace("to = \"north\"", "to = \"south\""), "ways[0].to"),
        (good.replace("headroom = 0.1", "headroom = 1.0"), "headroom"),
        (good[..good.find("[[sites]]\nname = \"north\"").expect("sites")].to_owned() + "\n[[profiles]]\nname=\"p\"\nwork=1.0\npayoff=1.0\ngoal_ms=1.0\nanswer_ms=1.0\n[[demand]]\nsite=\"south\"\nprofile=\"p\"\nusual=1.0\nhighest=1.0\n", "sites: there"),
    ];
    for (text, key) in cases {
        let why = Plan::from_toml(&text).expect_err(key);
        assert!(why.contains(key), "{key}: {why}");
    }
}

/// The loss of the largest site at its highest hour: what is dear goes where it makes its goal time, in unequal parts; what
/// cannot make it across the way, and what is cheap, is refused; and it comes near to the best that there is.
#[test]
fn the_example() {
    let plan = example();
    let lost = BTreeSet::from([SiteId(0)]);
    let found = plan_failover(&plan, &lost, LoadLevel::Peak);
    let goes = |to: usize, profile: usize| {
        found.routed.get(&(SiteId(0), SiteId(to), ProfileId(profile))).copied().unwrap_or(0.0)
    };
    assert!(goes(1, 0) > 0.0 && goes(2, 0) > 0.0 && goes(1, 0) != goes(2, 0), "{found:?}");
    assert_eq!(goes(2, 1), 0.0, "80 ms there and back leave no time for a fetch");
    let refused = |profile: usize| found.rejected_share(ProfileId(profile));
    assert!(refused(2) > refused(1) && refused(1) > refused(0), "{found:?}");
    assert!(found.served_payoff >= 0.95 * max_payoff(&plan, &lost, LoadLevel::Peak), "{found:?}");
    // At the usual hour everything but what is too far has a place.
    let usual = plan_failover(&plan, &lost, LoadLevel::Usual);
    assert!(usual.rejected_share(ProfileId(0)) < 0.01, "{usual:?}");
}

/// A plan of sites and profiles from numbers.
fn drawn(sites: &[f64], profiles: &[(f64, f64, f64)], demand: &[f64], ways: &[f64]) -> Plan {
    let mut text = String::from("headroom = 0.1\nown = 0.5\n");
    for (i, capacity) in sites.iter().enumerate() {
        let _ = writeln!(text, "[[sites]]\nname = \"s{i}\"\ncapacity = {capacity:?}");
    }
    for (i, (work, payoff, floor)) in profiles.iter().enumerate() {
        let _ = writeln!(
            text,
            "[[profiles]]\nname = \"p{i}\"\nwork = {work:?}\npayoff = {payoff:?}\ngoal_ms = 100.0\nanswer_ms = 50.0\nfloor = {floor:?}"
        );
    }
    let mut demand = demand.iter().cycle();
    for site in 0..sites.len() {
        for profile in 0..profiles.len() {
            let rate = demand.next().expect("a rate");
            let _ = writeln!(
                text,
                "[[demand]]\nsite = \"s{site}\"\nprofile = \"p{profile}\"\nusual = 0.0\nhighest = {rate:?}"
            );
        }
    }
    let mut ways = ways.iter().cycle();
    for from in 0..sites.len() {
        for to in from + 1..sites.len() {
            let ms = ways.next().expect("a way");
            let _ = writeln!(text, "[[ways]]\nfrom = \"s{from}\"\nto = \"s{to}\"\nms = {ms:?}");
        }
    }
    Plan::from_toml(&text).unwrap_or_else(|why| panic!("{why}\n{text}"))
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, rng_seed: proptest::test_runner::RngSeed::Fixed(7), ..ProptestConfig::default() })]

    /// Whatever the plan: no site has more than its room, whoever is at home stays there or is refused, nothing is asked for
    /// and forgotten, what cannot make its goal time does not go, and no more is served than the best there is.
    #[test]
    fn promises(
        sites in proptest::collection::vec(10.0..1000.0f64, 2..5),
        profiles in proptest::collection::vec((0.1..4.0f64, 0.1..10.0f64, 0.0..0.3f64), 1..4),
        demand in proptest::collection::vec(0.0..400.0f64, 12),
        ways in proptest::collection::vec(1.0..90.0f64, 6),
        gone in 0usize..4,
    ) {
        let plan = drawn(&sites, &profiles, &demand, &ways);
        let lost = BTreeSet::from([SiteId(gone % sites.len())]);
        let found = plan_failover(&plan, &lost, LoadLevel::Peak);
        for site in plan.site_ids() {
            let room = if lost.contains(&site) { 0.0 } else { plan.usable_capacity(site) };
            prop_assert!(found.assigned_work(&plan, site) <= room * (1.0 + 1e-6) + 1e-6);
        }
        for ((from, to, profile), rate) in &found.routed {
            prop_assert!(*rate >= 0.0 && (from == to || lost.contains(from)));
            prop_assert!(plan.can_serve(*from, *to, *profile));
        }
        for site in plan.site_ids() {
            for profile in plan.profile_ids() {
                let goes: f64 = plan.site_ids().filter_map(|to| found.routed.get(&(site, to, profile))).sum();
                let refused = found.rejected.get(&(site, profile)).copied().unwrap_or(0.0);
                let asked = plan.demand(site, profile, LoadLevel::Peak);
                prop_assert!((goes + refused - asked).abs() < 1e-6 * (1.0 + asked), "{goes} {refused} {asked}");
            }
        }
        prop_assert!(found.served_payoff <= max_payoff(&plan, &lost, LoadLevel::Peak) * (1.0 + 1e-6) + 1e-6);
    }

    /// What is let in fits, keeps floors where all floors fit, and never lets the less dear in more than the dearer; of two
    /// that are equally dear both alike, and a tenth more makes no cliff.
    #[test]
    fn order_without_a_cliff(
        profiles in proptest::collection::vec((0.1..4.0f64, 0.1..10.0f64, 0.0..0.2f64), 2..5),
        rates in proptest::collection::vec(0.1..100.0f64, 5),
        room in 1.0..300.0f64,
    ) {
        let mut profiles = profiles;
        let (work, payoff, _) = profiles[0];
        profiles[1] = (work, payoff * 1.1, profiles[0].2);
        let plan = drawn(&[100.0, 100.0], &profiles, &[1.0], &[1.0]);
        let asked: BTreeMap<ProfileId, f64> = plan.profile_ids().zip(rates).collect();
        let shares = admitted_shares(&plan, &asked, room);
        let work = |share: &dyn Fn(ProfileId) -> f64| -> f64 {
            asked.iter().map(|(id, rate)| rate * plan.profile(*id).work * share(*id)).sum()
        };
        prop_assert!(work(&|id| shares[&id]) <= room * (1.0 + 1e-6));
        let floors = work(&|id| plan.profile(id).floor);
        for (id, share) in &shares {
            prop_assert!((0.0..=1.0).contains(share));
            prop_assert!(floors > room || *share >= plan.profile(*id).floor - 1e-9);
            for (other, than) in &shares {
                let dearer = plan.profile(*id).density() >= plan.profile(*other).density();
                let floor = plan.profile(*other).floor;
                prop_assert!(floors > room || !dearer || *share >= *than - 1e-6 || *than <= floor + 1e-9);
            }
        }
        prop_assert!(floors > room || shares[&ProfileId(1)] <= shares[&ProfileId(0)].max(profiles[0].2) * 1.8 + 1e-6);
    }

    /// The best is the best: no drawn way of dealing out serves more.
    #[test]
    fn nothing_drawn_beats_the_best(
        sites in proptest::collection::vec(10.0..100.0f64, 2..4),
        profiles in proptest::collection::vec((0.5..2.0f64, 0.5..5.0f64, Just(0.0)), 1..4),
        demand in proptest::collection::vec(0.0..80.0f64, 9),
        ways in proptest::collection::vec(1.0..90.0f64, 3),
        order in proptest::collection::vec(0usize..1000, 40),
    ) {
        let plan = drawn(&sites, &profiles, &demand, &ways);
        let lost = BTreeSet::from([SiteId(0)]);
        let mut left: Vec<f64> = plan.site_ids().map(|site| if site.0 == 0 { 0.0 } else { plan.usable_capacity(site) }).collect();
        let mut open: BTreeMap<(SiteId, ProfileId), f64> = plan.site_ids()
            .flat_map(|site| plan.profile_ids().map(move |profile| (site, profile)))
            .map(|place| (place, plan.demand(place.0, place.1, LoadLevel::Peak)))
            .collect();
        let mut served = 0.0;
        for number in order {
            let places: Vec<(SiteId, ProfileId)> = open.keys().copied().collect();
            let (from, profile) = places[number % places.len()];
            let to = SiteId(1 + (number / 7) % (sites.len() - 1));
            if plan.can_serve(from, to, profile) && (from == to || from.0 == 0) {
                let work = plan.profile(profile).work;
                let rate = open[&(from, profile)].min(left[to.0] / work);
                *open.entry((from, profile)).or_default() -= rate;
                left[to.0] -= rate * work;
                served += rate * plan.profile(profile).payoff;
            }
        }
        prop_assert!(served <= max_payoff(&plan, &lost, LoadLevel::Peak) * (1.0 + 1e-6) + 1e-6);
    }
}

/// A plan that promises twice what a site can do, or half of it: what is let in comes to what can be done within a minute,
/// by what is seen; dearer commands are let in first all the way, and own clients no less than guests.
#[test]
fn a_plan_that_is_wrong_by_half() {
    let plan = example();
    for wrong in [0.5, 1.0, 1.5] {
        let mut gate = AdmissionGate::new(&plan, plan.usable_capacity(SiteId(0)));
        let truth = plan.usable_capacity(SiteId(0)) * wrong;
        let asked: BTreeMap<ProfileId, f64> =
            plan.profile_ids().map(|id| (id, plan.demand(SiteId(0), id, LoadLevel::Peak))).collect();
        let work = |of: &BTreeMap<ProfileId, f64>| -> f64 {
            of.iter().map(|(id, rate)| rate * plan.profile(*id).work).sum()
        };
        let mut done = 0.0;
        for _ in 0..90 {
            let share = |whose, id: ProfileId| gate.admitted_share(whose, id);
            for id in plan.profile_ids() {
                assert!(share(ClientOrigin::Local, id) >= share(ClientOrigin::Displaced, id) - 1e-9);
            }
            assert!(
                share(ClientOrigin::Displaced, ProfileId(0)) >= share(ClientOrigin::Displaced, ProfileId(1))
            );
            let both = |id: ProfileId| share(ClientOrigin::Local, id) + share(ClientOrigin::Displaced, id);
            let let_in: BTreeMap<ProfileId, f64> =
                asked.iter().map(|(id, rate)| (*id, rate * both(*id))).collect();
            // Beyond what it can do ever less is in time.
            let over = work(&let_in) / truth;
            let good = if over <= 1.0 { 1.0 } else { over.powi(-4) };
            let in_goal: BTreeMap<ProfileId, f64> =
                let_in.iter().map(|(id, rate)| (*id, rate * good)).collect();
            done = work(&in_goal);
            let ended = let_in.clone();
            gate.on_second(
                &plan,
                &SecondCounts {
                    requested: [asked.clone(), asked.clone()],
                    admitted: let_in,
                    ended,
                    within_goal: in_goal,
                },
                true,
            );
        }
        assert!(done > 0.85 * truth.min(work(&asked) * 2.0), "{wrong}: {done:.0} of {truth:.0}");
    }
}

/// A node with twenty commands a second, a few of which are late by chance alone: what can be done is let in. Verdict by
/// single seconds, one or two late ones kept it closed.
#[test]
fn few_commands() {
    let plan = example();
    let dear = ProfileId(0);
    for per_s in [8.0, 20.0, 200.0] {
        let mut chance = ChaCha8Rng::seed_from_u64(5);
        // What is asked is a fifth more than can be done, and the plan is right.
        let (truth, asked) = (per_s * plan.profile(dear).work, BTreeMap::from([(dear, per_s * 1.2)]));
        let mut gate = AdmissionGate::new(&plan, truth);
        let (mut done, mut let_in_all, seconds) = (0.0, 0.0, 200);
        for _ in 0..seconds {
            let rate = asked[&dear] * gate.admitted_share(ClientOrigin::Local, dear);
            // Drawn singly, as commands come.
            let count = (0..1000).filter(|_| chance.random_bool(rate / 1000.0)).count();
            let late = if rate > per_s { 0.03 + (rate / per_s - 1.0) } else { 0.03 };
            let good = (0..count).filter(|_| !chance.random_bool(late)).count();
            (done, let_in_all) = (done + good as f64, let_in_all + count as f64);
            let one = |count: usize| BTreeMap::from([(dear, count as f64)]);
            let (let_in, ended, in_goal) = (one(count), one(count), one(good));
            let asked = [asked.clone(), BTreeMap::new()];
            gate.on_second(
                &plan,
                &SecondCounts { requested: asked, admitted: let_in, ended, within_goal: in_goal },
                true,
            );
        }
        let part = done / per_s / f64::from(seconds);
        assert!(part > 0.85, "{per_s} a second: {part:.3} of what can be done, {let_in_all} let in");
    }
}

/// Where all that is asked has room nothing is refused: a false alarm costs nothing; and one that is over leaves nothing.
#[test]
fn a_false_alarm() {
    let plan = example();
    let mut gate = AdmissionGate::new(&plan, plan.usable_capacity(SiteId(0)));
    let asked: BTreeMap<ProfileId, f64> =
        plan.profile_ids().map(|id| (id, plan.demand(SiteId(0), id, LoadLevel::Usual))).collect();
    let all = |gate: &AdmissionGate| {
        plan.profile_ids().all(|id| gate.admitted_share(ClientOrigin::Local, id) == 1.0)
    };
    for _ in 0..20 {
        let (let_in, ended, in_goal) = (asked.clone(), asked.clone(), asked.clone());
        gate.on_second(
            &plan,
            &SecondCounts {
                requested: [asked.clone(), BTreeMap::new()],
                admitted: let_in,
                ended,
                within_goal: in_goal,
            },
            true,
        );
        assert!(all(&gate));
    }
    let much: BTreeMap<ProfileId, f64> = asked.iter().map(|(id, rate)| (*id, rate * 5.0)).collect();
    for _ in 0..20 {
        gate.on_second(
            &plan,
            &SecondCounts { requested: [much.clone(), much.clone()], ..SecondCounts::default() },
            true,
        );
    }
    assert!(!all(&gate));
    gate.on_second(&plan, &SecondCounts::default(), false);
    assert!(all(&gate) && gate.capacity == plan.usable_capacity(SiteId(0)));
    // What was done in time before a loss can be done, whatever the plan says.
    let mut low = AdmissionGate::new(&plan, plan.usable_capacity(SiteId(0)) * 0.3);
    let (let_in, ended, in_goal) = (asked.clone(), asked.clone(), asked.clone());
    let second = SecondCounts {
        requested: [asked.clone(), BTreeMap::new()],
        admitted: let_in,
        ended,
        within_goal: in_goal,
    };
    low.on_second(&plan, &second, false);
    low.on_second(&plan, &second, true);
    assert!(all(&low));
}
