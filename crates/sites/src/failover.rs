//! Where a lost site's load goes, and what is refused first.
//!
//! What it promises: no site is given more than its room; each profile keeps its floor while there is room for all
//! floors; of two profiles the one with the greater payoff for its work is never let in less, and two that are nearly equal
//! are nearly equally let in; a site's own clients keep the stated share; what goes to a site comes from its own clients or
//! from those of a lost one, never from whoever was passed on to.

use crate::plan::{LoadLevel, Plan, ProfileId, SiteId};
use std::collections::{BTreeMap, BTreeSet};

/// How steeply less dear profiles are let in less: at half of the payoff for its work a sixty-fourth. Steeper comes
/// nearer to the best that there is, and makes a cliff of a rounding error between two profiles.
const STEEP: f64 = 6.0;
const ENOUGH: f64 = 1e-9;

/// What is let in of each profile, as a share, where so much work may be done: `asked` in commands a second.
pub fn admitted_shares(plan: &Plan, asked: &BTreeMap<ProfileId, f64>, room: f64) -> BTreeMap<ProfileId, f64> {
    let work = |share: &dyn Fn(ProfileId) -> f64| -> f64 {
        asked.iter().map(|(id, asked)| asked * plan.profile(*id).work * share(*id)).sum()
    };
    let floors = work(&|id| plan.profile(id).floor);
    let all = |share: &dyn Fn(ProfileId) -> f64| asked.keys().map(|id| (*id, share(*id))).collect();
    if work(&|_| 1.0) <= room + ENOUGH {
        return all(&|_| 1.0);
    }
    if floors >= room {
        // Not even for the floors: all alike, and nobody is let in for nobody's sake.
        return all(&|id| plan.profile(id).floor * (room / floors.max(ENOUGH)).max(0.0));
    }
    let share = |id: ProfileId, cut: f64| {
        let profile = plan.profile(id);
        (profile.density() / cut).powf(STEEP).min(1.0).max(profile.floor)
    };
    // The higher the cut the less is let in.
    let most = plan.profiles.iter().map(|p| p.density()).fold(1e-9, f64::max);
    let (mut low, mut high) = (most * 1e-9, most * 1e9);
    for _ in 0..200 {
        let cut = (low * high).sqrt();
        match work(&|id| share(id, cut)) > room {
            true => low = cut,
            false => high = cut,
        }
    }
    all(&|id| share(id, high))
}

/// What becomes of a loss.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FailoverPlan {
    /// Commands a second from whose clients to which site.
    pub routed: BTreeMap<(SiteId, SiteId, ProfileId), f64>,
    pub rejected: BTreeMap<(SiteId, ProfileId), f64>,
    /// Payoff a second that is served and that is asked for.
    pub served_payoff: f64,
    pub requested_payoff: f64,
}

impl FailoverPlan {
    /// Work that a site is given.
    pub fn assigned_work(&self, plan: &Plan, site: SiteId) -> f64 {
        let to = self.routed.iter().filter(|((_, to, _), _)| *to == site);
        to.map(|((_, _, profile), rate)| rate * plan.profile(*profile).work).sum()
    }

    /// Of all that is asked of a profile, the share that is refused.
    pub fn rejected_share(&self, profile: ProfileId) -> f64 {
        let refused: f64 =
            self.rejected.iter().filter(|((_, p), _)| *p == profile).map(|(_, rate)| rate).sum();
        let goes: f64 = self.routed.iter().filter(|((_, _, p), _)| *p == profile).map(|(_, rate)| rate).sum();
        if refused + goes > ENOUGH {
            refused / (refused + goes)
        } else {
            0.0
        }
    }
}

/// A loss as it is planned for.
pub fn plan_failover(plan: &Plan, lost: &BTreeSet<SiteId>, hour: LoadLevel) -> FailoverPlan {
    let alive: Vec<SiteId> = plan.site_ids().filter(|site| !lost.contains(site)).collect();
    let mut left: BTreeMap<SiteId, f64> =
        alive.iter().map(|site| (*site, plan.usable_capacity(*site))).collect();
    let mut found = FailoverPlan::default();
    let work = |profile: ProfileId| plan.profile(profile).work;
    for site in plan.site_ids() {
        for profile in plan.profile_ids() {
            found.requested_payoff += plan.demand(site, profile, hour) * plan.profile(profile).payoff;
        }
    }
    // Each site's own clients first, up to the share that is theirs; what stands over competes with the lost site's.
    let mut over: BTreeMap<(SiteId, ProfileId), f64> = BTreeMap::new();
    for site in &alive {
        let asked = by_profile(plan, *site, hour);
        let shares = admitted_shares(plan, &asked, plan.usable_capacity(*site) * plan.own_share);
        for (profile, asked) in asked {
            let kept = asked * shares[&profile];
            give(&mut found, &mut left, (*site, *site, profile), kept, work(profile));
            over.insert((*site, profile), asked - kept);
        }
    }
    for site in lost {
        over.extend(
            by_profile(plan, *site, hour).into_iter().map(|(profile, asked)| ((*site, profile), asked)),
        );
    }
    let room: f64 = left.values().sum();
    let mut all: BTreeMap<ProfileId, f64> = BTreeMap::new();
    over.iter().for_each(|((_, profile), rate)| *all.entry(*profile).or_default() += rate);
    let shares = admitted_shares(plan, &all, room);
    // The dearest first, and of those the ones with the fewest places to go.
    let mut order: Vec<(SiteId, ProfileId)> = over.keys().copied().collect();
    let places = |from: SiteId, profile: ProfileId| {
        alive.iter().filter(|to| plan.can_serve(from, **to, profile)).count()
    };
    order.sort_by(|a, b| {
        let density = |place: &(SiteId, ProfileId)| plan.profile(place.1).density();
        density(b).total_cmp(&density(a)).then(places(a.0, a.1).cmp(&places(b.0, b.1)))
    });
    // Twice: what found no place by its share may find one that others could not use.
    let mut open = over.clone();
    for share in [true, false] {
        for (from, profile) in &order {
            let wanted = match share {
                true => over[&(*from, *profile)] * shares[profile],
                false => open[&(*from, *profile)],
            };
            let placed = spread(plan, &mut found, &mut left, &alive, (*from, *profile), wanted);
            *open.entry((*from, *profile)).or_default() -= placed;
        }
    }
    found.rejected = open.into_iter().filter(|(_, rate)| *rate > ENOUGH).collect();
    found.served_payoff =
        found.routed.iter().map(|((_, _, profile), rate)| rate * plan.profile(*profile).payoff).sum();
    found
}

fn by_profile(plan: &Plan, site: SiteId, hour: LoadLevel) -> BTreeMap<ProfileId, f64> {
    plan.profile_ids().map(|profile| (profile, plan.demand(site, profile, hour))).collect()
}

fn give(
    found: &mut FailoverPlan,
    left: &mut BTreeMap<SiteId, f64>,
    (from, to, profile): (SiteId, SiteId, ProfileId),
    rate: f64,
    work: f64,
) {
    if rate > 0.0 {
        *found.routed.entry((from, to, profile)).or_default() += rate;
        *left.entry(to).or_default() -= rate * work;
    }
}

/// To the sites that it can reach, by what room they have left and not in equal parts; how much found a place.
fn spread(
    plan: &Plan,
    found: &mut FailoverPlan,
    left: &mut BTreeMap<SiteId, f64>,
    alive: &[SiteId],
    (from, profile): (SiteId, ProfileId),
    wanted: f64,
) -> f64 {
    let work = plan.profile(profile).work;
    let room = |left: &BTreeMap<SiteId, f64>, to: &SiteId| left[to].max(0.0) / work;
    // At home where it has one; only a lost site's go elsewhere, or nothing stops two from passing to each other.
    let places: Vec<SiteId> = match alive.contains(&from) {
        true => vec![from],
        false => alive.iter().copied().filter(|to| plan.can_serve(from, *to, profile)).collect(),
    };
    let all: f64 = places.iter().map(|to| room(left, to)).sum();
    let placed = wanted.min(all).max(0.0);
    if placed <= ENOUGH {
        return 0.0;
    }
    let parts: Vec<(SiteId, f64)> = places.iter().map(|to| (*to, placed * room(left, to) / all)).collect();
    for (to, rate) in parts {
        give(found, left, (from, to, profile), rate, work);
    }
    placed
}

/// The most payoff a second that any way of dealing it out could serve, whatever is kept for whom: a linear program, which
/// the dearest first solve where each unit of work is one of a site's.
pub fn max_payoff(plan: &Plan, lost: &BTreeSet<SiteId>, hour: LoadLevel) -> f64 {
    let alive: Vec<SiteId> = plan.site_ids().filter(|site| !lost.contains(site)).collect();
    let mut demands: Vec<(SiteId, ProfileId)> =
        plan.site_ids().flat_map(|site| plan.profile_ids().map(move |profile| (site, profile))).collect();
    demands.sort_by(|a, b| plan.profile(b.1).density().total_cmp(&plan.profile(a.1).density()));
    let mut left: Vec<f64> = alive.iter().map(|site| plan.usable_capacity(*site)).collect();
    let mut flow = vec![vec![0.0; alive.len()]; demands.len()];
    let reach: Vec<Vec<bool>> = demands
        .iter()
        .map(|(from, profile)| {
            // Whoever is at home stays there, as in what is planned.
            let home = alive.contains(from);
            alive
                .iter()
                .map(|to| if home { to == from } else { plan.can_serve(*from, *to, *profile) })
                .collect()
        })
        .collect();
    let mut served = 0.0;
    for (place, (from, profile)) in demands.iter().enumerate() {
        let mut wanted = plan.demand(*from, *profile, hour) * plan.profile(*profile).work;
        while wanted > ENOUGH {
            let Some(got) = augment(place, wanted, &reach, &mut flow, &mut left) else { break };
            wanted -= got;
            served += got * plan.profile(*profile).density();
        }
    }
    served
}

/// One way from a demand to free room, moving earlier ones aside where that makes place.
fn augment(
    start: usize,
    wanted: f64,
    reach: &[Vec<bool>],
    flow: &mut [Vec<f64>],
    left: &mut [f64],
) -> Option<f64> {
    let sites = left.len();
    let mut came: Vec<Option<(usize, Option<usize>)>> = vec![None; sites];
    let mut queue: Vec<usize> = Vec::new();
    for site in (0..sites).filter(|site| reach[start][*site]) {
        came[site] = Some((start, None));
        queue.push(site);
    }
    let mut next = 0;
    let mut end = None;
    while next < queue.len() {
        let site = queue[next];
        next += 1;
        if left[site] > ENOUGH {
            end = Some(site);
            break;
        }
        for (demand, flows) in flow.iter().enumerate().filter(|(_, flows)| flows[site] > ENOUGH) {
            for other in (0..sites).filter(|other| reach[demand][*other]) {
                if came[other].is_none() {
                    came[other] = Some((demand, Some(site)));
                    queue.push(other);
                }
            }
            let _ = flows;
        }
    }
    let mut amount = wanted.min(left[end?]);
    let mut at = end?;
    while let Some((demand, Some(from))) = came[at] {
        amount = amount.min(flow[demand][from]);
        at = from;
    }
    let mut at = end?;
    left[at] -= amount;
    while let Some((demand, from)) = came[at] {
        flow[demand][at] += amount;
        let Some(from) = from else { break };
        flow[demand][from] -= amount;
        at = from;
    }
    Some(amount)
}

/// Whose clients: those that were here before a loss, and those that came with it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClientOrigin {
    Local,
    Displaced,
}

type Rates = BTreeMap<ProfileId, f64>;

/// What is let in at a site while a loss is in force: it begins with the plan and follows what is seen, as a plan may be
/// off by half in either direction.
#[derive(Clone, Debug)]
pub struct AdmissionGate {
    /// By the plan, and what is taken for it, in standard commands a second.
    planned: f64,
    pub capacity: f64,
    /// Work done within its goal time, the most of late: so much it can do, whatever the plan says.
    done: f64,
    /// Seconds by which it has opened, one step after the other.
    opened: f64,
    /// Since it was last judged.
    lately: JudgedWindow,
    /// Commands asked for of late, a second; of own clients and of guests.
    asked: [Rates; 2],
    shares: [Rates; 2],
}

/// What a second brought: commands asked for by own clients and by guests, let in, and of those let in before that had
/// their end in it, all and those done in the goal time.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct SecondCounts {
    pub requested: [Rates; 2],
    pub admitted: Rates,
    pub ended: Rates,
    pub within_goal: Rates,
}

/// What is judged together: seconds, the work let in in them, and commands that had their end, all and those not in time.
#[derive(Clone, Copy, Debug, Default)]
struct JudgedWindow {
    seconds: f64,
    taken: f64,
    ended: f64,
    late: f64,
}

/// What came of what was let in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Verdict {
    Good,
    Acceptable,
    Bad,
}

impl JudgedWindow {
    fn add(&mut self, taken: f64, ended: f64, late: f64) {
        self.seconds += 1.0;
        self.taken += taken;
        self.ended += ended;
        self.late += late;
    }

    /// None while so few have ended that one or two late ones would decide; so many late ones decide before that, as
    /// they are too many whatever becomes of the rest.
    fn judged(&self) -> Option<Verdict> {
        let all = self.ended.max(ENOUGH_ENDED);
        let bad = self.late > all * (1.0 - BAD);
        let good = self.late < all * (1.0 - GOOD);
        match (bad, self.ended >= ENOUGH_ENDED) {
            (true, _) => Some(Verdict::Bad),
            (false, true) if good => Some(Verdict::Good),
            (false, true) => Some(Verdict::Acceptable),
            (false, false) => None,
        }
    }
}

/// Of what is let in, so much has to be in time for more to be, and less than that closes.
const GOOD: f64 = 0.97;
const BAD: f64 = 0.92;
/// Commands that are judged together at the least: of 60 one late one still opens, and five close. At nodes with twenty
/// commands a second single seconds closed it by one or two late ones: 0.792 of the payoff for 0.853 without a plan.
/// By the model in `few_commands`, of what can be done: 1 gives 0.68 at 20 a second, 40 gives 0.89, 60 gives 0.91.
const ENOUGH_ENDED: f64 = 60.0;
/// By how much a second opens it: each step that opens after another opens more, to a bound, so that a plan that is too
/// low by half costs some eight seconds; half as much within seven.
const OPEN: f64 = 1.03;
const FASTER: f64 = 4.0;
const CLOSE: f64 = 0.9;
/// A plan that is wrong by more than this is no plan.
const WRONG: f64 = 3.0;
/// How much of the most that was done is left after a second: half after half a minute.
const FADE: f64 = 0.98;
/// How far a second moves what is taken to be asked for.
const FOLLOW: f64 = 0.3;

impl AdmissionGate {
    /// Of so much room by the plan: a site's, or a node's part of it.
    pub fn new(plan: &Plan, room: f64) -> AdmissionGate {
        let all: Rates = plan.profile_ids().map(|profile| (profile, 1.0)).collect();
        AdmissionGate {
            planned: room,
            capacity: room,
            done: 0.0,
            opened: 0.0,
            lately: JudgedWindow::default(),
            asked: Default::default(),
            shares: [all.clone(), all],
        }
    }

    /// The plan's room is another one now: what was learned of it stays as a part of it.
    pub fn set_planned_capacity(&mut self, room: f64) {
        self.capacity *= room / self.planned.max(ENOUGH);
        self.planned = room;
    }

    /// Takes in a second. Where nothing is in force it only learns what is asked for.
    pub fn on_second(&mut self, plan: &Plan, second: &SecondCounts, in_force: bool) {
        for (asked, now) in self.asked.iter_mut().zip(&second.requested) {
            for profile in plan.profile_ids() {
                let now = now.get(&profile).copied().unwrap_or(0.0);
                let asked = asked.entry(profile).or_insert(now);
                *asked += (now - *asked) * FOLLOW;
            }
        }
        let work = |of: &Rates| -> f64 { of.iter().map(|(id, rate)| rate * plan.profile(*id).work).sum() };
        let (taken, in_goal) = (work(&second.admitted), work(&second.within_goal));
        self.done = (self.done * FADE).max(in_goal);
        if !in_force {
            (self.capacity, self.lately) = (self.planned.max(self.done), JudgedWindow::default());
            self.shares.iter_mut().for_each(|shares| shares.values_mut().for_each(|share| *share = 1.0));
            return;
        }
        let count = |of: &Rates| of.values().sum::<f64>();
        let ended = count(&second.ended);
        self.lately.add(taken, ended, ended - count(&second.within_goal));
        if let Some(judged) = self.lately.judged() {
            let lately = std::mem::take(&mut self.lately);
            // Opened only against the bound: what was never asked for says nothing of what could be done.
            let bound = self.shares.iter().flat_map(BTreeMap::values).any(|share| *share < 1.0);
            let opens = judged == Verdict::Good && bound;
            self.opened = if opens { (self.opened + lately.seconds).min(FASTER) } else { 0.0 };
            // Closed down from what was really let in, or a plan that promises too much would take long to be left.
            let room = match judged {
                Verdict::Bad => self.capacity.min(lately.taken / lately.seconds) * CLOSE,
                Verdict::Good | Verdict::Acceptable => self.capacity * OPEN.powf(self.opened),
            };
            self.capacity = room.clamp(self.planned / WRONG, self.planned * WRONG);
        }
        // Own clients first up to the share that is theirs; what stands over competes with the guests'.
        let kept = admitted_shares(plan, &self.asked[0], self.capacity * plan.own_share);
        let own = |profile: &ProfileId| self.asked[0].get(profile).copied().unwrap_or(0.0);
        let mut open = self.asked[1].clone();
        for (profile, share) in &kept {
            *open.entry(*profile).or_default() += own(profile) * (1.0 - share);
        }
        let done: f64 = kept.iter().map(|(id, share)| own(id) * share * plan.profile(*id).work).sum();
        let rest = admitted_shares(plan, &open, (self.capacity - done).max(0.0));
        self.shares[0] = kept.iter().map(|(id, share)| (*id, share + (1.0 - share) * rest[id])).collect();
        self.shares[1] = rest;
    }

    /// Of a profile's commands, the share that is let in.
    pub fn admitted_share(&self, whose: ClientOrigin, profile: ProfileId) -> f64 {
        let shares = &self.shares[usize::from(whose == ClientOrigin::Displaced)];
        shares.get(&profile).copied().unwrap_or(1.0)
    }
}
