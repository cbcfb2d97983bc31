//! Where a lost site's load goes, and what is rejected first.
//!
//! Guarantees: no site is assigned more than its capacity. Each profile keeps its floor while there is capacity for
//! all floors. Of two profiles, the one with the higher payoff per unit of work never gets the smaller share, and two
//! with nearly equal payoff get nearly equal shares. A site's own clients keep the stated share. A site serves its
//! own clients and those of a lost site, and never passes load on.

use crate::plan::{LoadLevel, Plan, ProfileId, SiteId};
use std::collections::{BTreeMap, BTreeSet};

/// Exponent by which the admitted share falls with payoff density: at half the density a sixty-fourth is admitted. A
/// larger exponent comes closer to the optimum, but turns a rounding error between two profiles into a cliff.
const SHARE_EXPONENT: f64 = 6.0;
/// Rates below this count as zero.
const EPSILON: f64 = 1e-9;

/// Admitted share of each profile at this capacity (standard commands per second); `demand` is in commands per
/// second.
pub fn admitted_shares(
    plan: &Plan,
    demand: &BTreeMap<ProfileId, f64>,
    capacity: f64,
) -> BTreeMap<ProfileId, f64> {
    let work = |share: &dyn Fn(ProfileId) -> f64| -> f64 {
        demand.iter().map(|(id, demand)| demand * plan.profile(*id).work * share(*id)).sum()
    };
    let floor_work = work(&|id| plan.profile(id).floor);
    let for_all = |share: &dyn Fn(ProfileId) -> f64| demand.keys().map(|id| (*id, share(*id))).collect();
    if work(&|_| 1.0) <= capacity + EPSILON {
        return for_all(&|_| 1.0);
    }
    if floor_work >= capacity {
        // The capacity is too small even for the floors: all profiles are cut alike.
        return for_all(&|id| plan.profile(id).floor * (capacity / floor_work.max(EPSILON)).max(0.0));
    }
    let share = |id: ProfileId, cutoff: f64| {
        let profile = plan.profile(id);
        (profile.density() / cutoff).powf(SHARE_EXPONENT).min(1.0).max(profile.floor)
    };
    // The higher the cutoff, the less is admitted.
    let highest_density = plan.profiles.iter().map(|p| p.density()).fold(1e-9, f64::max);
    let (mut low, mut high) = (highest_density * 1e-9, highest_density * 1e9);
    for _ in 0..200 {
        let cutoff = (low * high).sqrt();
        match work(&|id| share(id, cutoff)) > capacity {
            true => low = cutoff,
            false => high = cutoff,
        }
    }
    for_all(&|id| share(id, high))
}

/// How load is distributed after a loss.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FailoverPlan {
    /// Commands per second, by the clients' site, the serving site and the profile.
    pub routed: BTreeMap<(SiteId, SiteId, ProfileId), f64>,
    /// Rejected commands per second, by the clients' site and the profile.
    pub rejected: BTreeMap<(SiteId, ProfileId), f64>,
    /// Payoff per second of the commands that are served.
    pub served_payoff: f64,
    /// Payoff per second of all commands that are requested.
    pub requested_payoff: f64,
}

impl FailoverPlan {
    /// Work assigned to a site, in standard commands per second.
    pub fn assigned_work(&self, plan: &Plan, site: SiteId) -> f64 {
        let to = self.routed.iter().filter(|((_, to, _), _)| *to == site);
        to.map(|((_, _, profile), rate)| rate * plan.profile(*profile).work).sum()
    }

    /// Share of a profile's demand that is rejected.
    pub fn rejected_share(&self, profile: ProfileId) -> f64 {
        let rejected: f64 =
            self.rejected.iter().filter(|((_, p), _)| *p == profile).map(|(_, rate)| rate).sum();
        let routed: f64 =
            self.routed.iter().filter(|((_, _, p), _)| *p == profile).map(|(_, rate)| rate).sum();
        if rejected + routed > EPSILON {
            rejected / (rejected + routed)
        } else {
            0.0
        }
    }
}

/// Distributes the planned load after the loss of these sites.
pub fn plan_failover(plan: &Plan, lost: &BTreeSet<SiteId>, load_level: LoadLevel) -> FailoverPlan {
    let live_sites: Vec<SiteId> = plan.site_ids().filter(|site| !lost.contains(site)).collect();
    let mut free_capacity: BTreeMap<SiteId, f64> =
        live_sites.iter().map(|site| (*site, plan.usable_capacity(*site))).collect();
    let mut failover = FailoverPlan::default();
    let work = |profile: ProfileId| plan.profile(profile).work;
    for site in plan.site_ids() {
        for profile in plan.profile_ids() {
            failover.requested_payoff +=
                plan.demand(site, profile, load_level) * plan.profile(profile).payoff;
        }
    }
    // Each site's own clients come first, up to their reserved share; the rest competes with the lost sites' clients.
    let mut remaining: BTreeMap<(SiteId, ProfileId), f64> = BTreeMap::new();
    for site in &live_sites {
        let demand = demand_by_profile(plan, *site, load_level);
        let shares = admitted_shares(plan, &demand, plan.usable_capacity(*site) * plan.own_share);
        for (profile, demand) in demand {
            let kept = demand * shares[&profile];
            assign(&mut failover, &mut free_capacity, (*site, *site, profile), kept, work(profile));
            remaining.insert((*site, profile), demand - kept);
        }
    }
    for site in lost {
        remaining.extend(
            demand_by_profile(plan, *site, load_level)
                .into_iter()
                .map(|(profile, demand)| ((*site, profile), demand)),
        );
    }
    let total_free: f64 = free_capacity.values().sum();
    let mut total_remaining: BTreeMap<ProfileId, f64> = BTreeMap::new();
    remaining.iter().for_each(|((_, profile), rate)| *total_remaining.entry(*profile).or_default() += rate);
    let shares = admitted_shares(plan, &total_remaining, total_free);
    // Highest payoff density first, and among equals those with the fewest reachable sites.
    let mut order: Vec<(SiteId, ProfileId)> = remaining.keys().copied().collect();
    let reachable_sites = |from: SiteId, profile: ProfileId| {
        live_sites.iter().filter(|to| plan.can_serve(from, **to, profile)).count()
    };
    order.sort_by(|a, b| {
        let density = |origin: &(SiteId, ProfileId)| plan.profile(origin.1).density();
        density(b).total_cmp(&density(a)).then(reachable_sites(a.0, a.1).cmp(&reachable_sites(b.0, b.1)))
    });
    // Two passes: load that finds no place by its share may get capacity that others could not use.
    let mut unplaced = remaining.clone();
    for by_share in [true, false] {
        for (from, profile) in &order {
            let wanted = match by_share {
                true => remaining[&(*from, *profile)] * shares[profile],
                false => unplaced[&(*from, *profile)],
            };
            let placed =
                place_load(plan, &mut failover, &mut free_capacity, &live_sites, (*from, *profile), wanted);
            *unplaced.entry((*from, *profile)).or_default() -= placed;
        }
    }
    failover.rejected = unplaced.into_iter().filter(|(_, rate)| *rate > EPSILON).collect();
    failover.served_payoff =
        failover.routed.iter().map(|((_, _, profile), rate)| rate * plan.profile(*profile).payoff).sum();
    failover
}

fn demand_by_profile(plan: &Plan, site: SiteId, load_level: LoadLevel) -> BTreeMap<ProfileId, f64> {
    plan.profile_ids().map(|profile| (profile, plan.demand(site, profile, load_level))).collect()
}

/// Assigns a rate to a site and takes it from the site's free capacity.
fn assign(
    failover: &mut FailoverPlan,
    free_capacity: &mut BTreeMap<SiteId, f64>,
    (from, to, profile): (SiteId, SiteId, ProfileId),
    rate: f64,
    work: f64,
) {
    if rate > 0.0 {
        *failover.routed.entry((from, to, profile)).or_default() += rate;
        *free_capacity.entry(to).or_default() -= rate * work;
    }
}

/// Distributes load over the reachable sites in proportion to their free capacity. Returns the rate that was placed.
fn place_load(
    plan: &Plan,
    failover: &mut FailoverPlan,
    free_capacity: &mut BTreeMap<SiteId, f64>,
    live_sites: &[SiteId],
    (from, profile): (SiteId, ProfileId),
    wanted: f64,
) -> f64 {
    let work = plan.profile(profile).work;
    let free_rate = |free_capacity: &BTreeMap<SiteId, f64>, to: &SiteId| free_capacity[to].max(0.0) / work;
    // Load of a live site stays there. Only a lost site's load goes elsewhere, or two sites could pass load to each
    // other.
    let targets: Vec<SiteId> = match live_sites.contains(&from) {
        true => vec![from],
        false => live_sites.iter().copied().filter(|to| plan.can_serve(from, *to, profile)).collect(),
    };
    let total_free: f64 = targets.iter().map(|to| free_rate(free_capacity, to)).sum();
    let placed = wanted.min(total_free).max(0.0);
    if placed <= EPSILON {
        return 0.0;
    }
    let parts: Vec<(SiteId, f64)> =
        targets.iter().map(|to| (*to, placed * free_rate(free_capacity, to) / total_free)).collect();
    for (to, rate) in parts {
        assign(failover, free_capacity, (from, to, profile), rate, work);
    }
    placed
}

/// The highest payoff per second that any distribution could serve, without reserved shares. This is a linear
/// program, and serving the highest payoff density first solves it, as each unit of work needs one unit of one site's
/// capacity.
pub fn max_payoff(plan: &Plan, lost: &BTreeSet<SiteId>, load_level: LoadLevel) -> f64 {
    let live_sites: Vec<SiteId> = plan.site_ids().filter(|site| !lost.contains(site)).collect();
    let mut demands: Vec<(SiteId, ProfileId)> =
        plan.site_ids().flat_map(|site| plan.profile_ids().map(move |profile| (site, profile))).collect();
    demands.sort_by(|a, b| plan.profile(b.1).density().total_cmp(&plan.profile(a.1).density()));
    let mut free_capacity: Vec<f64> = live_sites.iter().map(|site| plan.usable_capacity(*site)).collect();
    let mut flow = vec![vec![0.0; live_sites.len()]; demands.len()];
    let reachable: Vec<Vec<bool>> = demands
        .iter()
        .map(|(from, profile)| {
            // Load of a live site stays there, as in the planned distribution.
            let is_local = live_sites.contains(from);
            live_sites
                .iter()
                .map(|to| if is_local { to == from } else { plan.can_serve(*from, *to, *profile) })
                .collect()
        })
        .collect();
    let mut served = 0.0;
    for (demand_index, (from, profile)) in demands.iter().enumerate() {
        let mut unplaced_work = plan.demand(*from, *profile, load_level) * plan.profile(*profile).work;
        while unplaced_work > EPSILON {
            let Some(placed_work) =
                augment(demand_index, unplaced_work, &reachable, &mut flow, &mut free_capacity)
            else {
                break;
            };
            unplaced_work -= placed_work;
            served += placed_work * plan.profile(*profile).density();
        }
    }
    served
}

/// Finds one augmenting path from a demand to free capacity, moving earlier assignments if necessary. Returns the
/// work that was placed.
fn augment(
    start_demand: usize,
    wanted: f64,
    reachable: &[Vec<bool>],
    flow: &mut [Vec<f64>],
    free_capacity: &mut [f64],
) -> Option<f64> {
    let site_count = free_capacity.len();
    let mut predecessors: Vec<Option<(usize, Option<usize>)>> = vec![None; site_count];
    let mut queue: Vec<usize> = Vec::new();
    for site in (0..site_count).filter(|site| reachable[start_demand][*site]) {
        predecessors[site] = Some((start_demand, None));
        queue.push(site);
    }
    let mut next = 0;
    let mut end = None;
    while next < queue.len() {
        let site = queue[next];
        next += 1;
        if free_capacity[site] > EPSILON {
            end = Some(site);
            break;
        }
        for (demand, flows) in flow.iter().enumerate().filter(|(_, flows)| flows[site] > EPSILON) {
            for other in (0..site_count).filter(|other| reachable[demand][*other]) {
                if predecessors[other].is_none() {
                    predecessors[other] = Some((demand, Some(site)));
                    queue.push(other);
                }
            }
            let _ = flows;
        }
    }
    let mut amount = wanted.min(free_capacity[end?]);
    let mut at = end?;
    while let Some((demand, Some(from))) = predecessors[at] {
        amount = amount.min(flow[demand][from]);
        at = from;
    }
    let mut at = end?;
    free_capacity[at] -= amount;
    while let Some((demand, from)) = predecessors[at] {
        flow[demand][at] += amount;
        let Some(from) = from else { break };
        flow[demand][from] -= amount;
        at = from;
    }
    Some(amount)
}

/// Whether clients were at this site before the loss, or came with it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClientOrigin {
    Local,
    Displaced,
}

/// Commands per second by profile.
type Rates = BTreeMap<ProfileId, f64>;

/// Admission at a site during a loss. It starts from the plan and follows what is observed, as the plan may be wrong
/// by half in either direction.
#[derive(Clone, Debug)]
pub struct AdmissionGate {
    /// Capacity by the plan, in standard commands per second.
    planned_capacity: f64,
    /// The current estimate of the capacity, in standard commands per second.
    pub capacity: f64,
    /// Largest recent work rate done within the goal time, decaying: the node can do that much, whatever the plan
    /// says.
    recent_throughput: f64,
    /// Seconds for which the capacity has been raised without interruption.
    opening_s: f64,
    /// Counts since the last verdict.
    window: VerdictWindow,
    /// Recent demand in commands per second, of local and of displaced clients.
    demand: [Rates; 2],
    /// Admitted shares of local and of displaced clients.
    shares: [Rates; 2],
}

/// Counts of one second: commands requested by local and displaced clients, commands admitted, and of the commands
/// admitted earlier those that ended, in total and within the goal time.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct SecondCounts {
    pub requested: [Rates; 2],
    pub admitted: Rates,
    pub ended: Rates,
    pub within_goal: Rates,
}

/// Counts judged together: seconds, work admitted, and commands that ended, in total and late.
#[derive(Clone, Copy, Debug, Default)]
struct VerdictWindow {
    seconds: f64,
    admitted_work: f64,
    ended: f64,
    late: f64,
}

/// Verdict on the admitted commands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Verdict {
    Good,
    Acceptable,
    Bad,
}

impl VerdictWindow {
    fn add(&mut self, admitted_work: f64, ended: f64, late: f64) {
        self.seconds += 1.0;
        self.admitted_work += admitted_work;
        self.ended += ended;
        self.late += late;
    }

    /// `None` while so few commands have ended that one or two late ones would decide. Enough late ones decide
    /// earlier, as they are too many whatever the others do.
    fn verdict(&self) -> Option<Verdict> {
        let ended = self.ended.max(MIN_ENDED);
        let is_bad = self.late > ended * (1.0 - CLOSE_BELOW);
        let is_good = self.late < ended * (1.0 - OPEN_ABOVE);
        match (is_bad, self.ended >= MIN_ENDED) {
            (true, _) => Some(Verdict::Bad),
            (false, true) if is_good => Some(Verdict::Good),
            (false, true) => Some(Verdict::Acceptable),
            (false, false) => None,
        }
    }
}

/// Share of ended commands that must be in time for more to be admitted.
const OPEN_ABOVE: f64 = 0.97;
/// Share of ended commands in time below which less is admitted.
const CLOSE_BELOW: f64 = 0.92;
/// Commands judged together at least: of 60, one late one still opens and five close. At nodes with twenty commands a
/// second, verdicts on single seconds closed the gate after one or two late commands: 0.792 of the payoff against
/// 0.853 without a plan. Share of the possible served in the model of the test `few_commands_do_not_close_the_gate`:
/// at 20 a second 1 gives 0.68, 40 gives 0.89 and 60 gives 0.91.
const MIN_ENDED: f64 = 60.0;
/// Factor by which a good second raises the capacity, to the power of the seconds for which it has been rising: a plan
/// that is too low by half is corrected in about eight seconds.
const OPEN_FACTOR_PER_S: f64 = 1.03;
/// Limit of that power.
const MAX_OPENING_S: f64 = 4.0;
/// Factor of the capacity after a bad verdict: half of it is left within seven steps.
const CLOSE_FACTOR: f64 = 0.9;
/// The capacity estimate stays within this factor of the plan.
const MAX_PLAN_ERROR_FACTOR: f64 = 3.0;
/// Share of the largest throughput that is left after one second: half after half a minute.
const THROUGHPUT_DECAY_PER_S: f64 = 0.98;
/// Weight of one second in the moving average of the demand.
const DEMAND_WEIGHT_PER_S: f64 = 0.3;

impl AdmissionGate {
    /// With the planned capacity of a site, or of one node's share of it.
    pub fn new(plan: &Plan, capacity: f64) -> AdmissionGate {
        let all: Rates = plan.profile_ids().map(|profile| (profile, 1.0)).collect();
        AdmissionGate {
            planned_capacity: capacity,
            capacity,
            recent_throughput: 0.0,
            opening_s: 0.0,
            window: VerdictWindow::default(),
            demand: Default::default(),
            shares: [all.clone(), all],
        }
    }

    /// Sets a new planned capacity; the estimate keeps its ratio to the plan.
    pub fn set_planned_capacity(&mut self, capacity: f64) {
        self.capacity *= capacity / self.planned_capacity.max(EPSILON);
        self.planned_capacity = capacity;
    }

    /// Takes in one second. Without a limit in force it only learns the demand.
    pub fn on_second(&mut self, plan: &Plan, counts: &SecondCounts, is_limiting: bool) {
        for (demand, requested) in self.demand.iter_mut().zip(&counts.requested) {
            for profile in plan.profile_ids() {
                let rate = requested.get(&profile).copied().unwrap_or(0.0);
                let demand = demand.entry(profile).or_insert(rate);
                *demand += (rate - *demand) * DEMAND_WEIGHT_PER_S;
            }
        }
        let work = |of: &Rates| -> f64 { of.iter().map(|(id, rate)| rate * plan.profile(*id).work).sum() };
        let (admitted_work, work_within_goal) = (work(&counts.admitted), work(&counts.within_goal));
        self.recent_throughput = (self.recent_throughput * THROUGHPUT_DECAY_PER_S).max(work_within_goal);
        if !is_limiting {
            (self.capacity, self.window) =
                (self.planned_capacity.max(self.recent_throughput), VerdictWindow::default());
            self.shares.iter_mut().for_each(|shares| shares.values_mut().for_each(|share| *share = 1.0));
            return;
        }
        let total = |of: &Rates| of.values().sum::<f64>();
        let ended = total(&counts.ended);
        self.window.add(admitted_work, ended, ended - total(&counts.within_goal));
        if let Some(verdict) = self.window.verdict() {
            let window = std::mem::take(&mut self.window);
            // Raised only if it limits anything: without that demand nothing is learned about the capacity.
            let is_limited = self.shares.iter().flat_map(BTreeMap::values).any(|share| *share < 1.0);
            let opens = verdict == Verdict::Good && is_limited;
            self.opening_s = if opens { (self.opening_s + window.seconds).min(MAX_OPENING_S) } else { 0.0 };
            // Reduced from the work really admitted, as it would take long to leave a plan that promises too much.
            let capacity = match verdict {
                Verdict::Bad => self.capacity.min(window.admitted_work / window.seconds) * CLOSE_FACTOR,
                Verdict::Good | Verdict::Acceptable => self.capacity * OPEN_FACTOR_PER_S.powf(self.opening_s),
            };
            self.capacity = capacity.clamp(
                self.planned_capacity / MAX_PLAN_ERROR_FACTOR,
                self.planned_capacity * MAX_PLAN_ERROR_FACTOR,
            );
        }
        // Local clients come first, up to their reserved share; the rest competes with displaced clients.
        let local_shares = admitted_shares(plan, &self.demand[0], self.capacity * plan.own_share);
        let local_demand = |profile: &ProfileId| self.demand[0].get(profile).copied().unwrap_or(0.0);
        let mut remaining_demand = self.demand[1].clone();
        for (profile, share) in &local_shares {
            *remaining_demand.entry(*profile).or_default() += local_demand(profile) * (1.0 - share);
        }
        let local_work: f64 =
            local_shares.iter().map(|(id, share)| local_demand(id) * share * plan.profile(*id).work).sum();
        let remaining_shares =
            admitted_shares(plan, &remaining_demand, (self.capacity - local_work).max(0.0));
        self.shares[0] = local_shares
            .iter()
            .map(|(id, share)| (*id, share + (1.0 - share) * remaining_shares[id]))
            .collect();
        self.shares[1] = remaining_shares;
    }

    /// Share of a profile's commands that is admitted.
    pub fn admitted_share(&self, origin: ClientOrigin, profile: ProfileId) -> f64 {
        let shares = &self.shares[usize::from(origin == ClientOrigin::Displaced)];
        shares.get(&profile).copied().unwrap_or(1.0)
    }
}
