//! `yarrowfront-sites`: checks a plan for the loss of sites.
#![forbid(unsafe_code)]

use clap::{Parser, Subcommand};
use sites::failover::{max_payoff, plan_failover};
use sites::plan::{LoadLevel, Plan, SiteId};
use std::collections::BTreeSet;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

#[derive(Parser)]
#[command(version, about = "Checks a plan for the loss of yarrowfront's sites")]
struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Reads the plan and summarises the loss of each single site. Exits with 1 if the plan is invalid.
    Check { plan: PathBuf },
    /// Prints where load goes after the loss of each single site, and optionally of each pair.
    Table {
        plan: PathBuf,
        #[arg(long)]
        pairs: bool,
        /// Use the usual demand instead of the highest.
        #[arg(long)]
        usual: bool,
    },
}

fn read(path: &Path) -> Result<Plan, String> {
    let text = std::fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()))?;
    Plan::from_toml(&text).map_err(|error| format!("{}: {error}", path.display()))
}

fn losses(plan: &Plan, pairs: bool) -> Vec<BTreeSet<SiteId>> {
    let mut losses: Vec<BTreeSet<SiteId>> = plan.site_ids().map(|site| BTreeSet::from([site])).collect();
    if pairs && plan.sites.len() > 2 {
        for one in plan.site_ids() {
            losses.extend(
                plan.site_ids().filter(|other| *other > one).map(|other| BTreeSet::from([one, other])),
            );
        }
    }
    losses
}

fn names(plan: &Plan, lost: &BTreeSet<SiteId>) -> String {
    lost.iter().map(|site| plan.site(*site).name.as_str()).collect::<Vec<_>>().join(" and ")
}

/// Total demand as a share of the usable capacity of the remaining sites.
fn load(plan: &Plan, lost: &BTreeSet<SiteId>, load_level: LoadLevel) -> f64 {
    let work = |site: SiteId| -> f64 {
        plan.profile_ids()
            .map(|profile| plan.demand(site, profile, load_level) * plan.profile(profile).work)
            .sum()
    };
    let capacity: f64 =
        plan.site_ids().filter(|site| !lost.contains(site)).map(|site| plan.usable_capacity(site)).sum();
    plan.site_ids().map(work).sum::<f64>() / capacity
}

fn check(plan: &Plan) {
    for load_level in [LoadLevel::Usual, LoadLevel::Peak] {
        let level_name = if load_level == LoadLevel::Usual { "usual" } else { "highest" };
        for lost in losses(plan, false) {
            let failover = plan_failover(plan, &lost, load_level);
            let rejected = |profile| {
                let share = failover.rejected_share(profile);
                (share > 0.001).then(|| format!("{:.0}% of `{}`", share * 100.0, plan.profile(profile).name))
            };
            let rejected: Vec<String> = plan.profile_ids().filter_map(rejected).collect();
            let rejected = if rejected.is_empty() { "nothing".to_owned() } else { rejected.join(", ") };
            println!(
                "{level_name} demand, loss of {}: {:.0}% of the remaining capacity; rejects {rejected}; serves {:.1}% of the payoff, {:.1}% of the optimum",
                names(plan, &lost),
                load(plan, &lost, load_level) * 100.0,
                failover.served_payoff / failover.requested_payoff.max(1e-9) * 100.0,
                failover.served_payoff / max_payoff(plan, &lost, load_level).max(1e-9) * 100.0,
            );
        }
    }
}

fn table(plan: &Plan, pairs: bool, load_level: LoadLevel) {
    println!("| lost | from | profile | to | commands per second |");
    println!("| --- | --- | --- | --- | --- |");
    for lost in losses(plan, pairs) {
        let failover = plan_failover(plan, &lost, load_level);
        for ((from, to, profile), rate) in failover.routed.iter().filter(|((from, to, _), _)| from != to) {
            let name = |site: SiteId| &plan.site(site).name;
            let (from, to) = (name(*from), name(*to));
            println!(
                "| {} | {from} | {} | {to} | {rate:.1} |",
                names(plan, &lost),
                plan.profile(*profile).name
            );
        }
        for ((from, profile), rate) in &failover.rejected {
            let (from, profile) = (&plan.site(*from).name, &plan.profile(*profile).name);
            println!("| {} | {from} | {profile} | rejected | {rate:.1} |", names(plan, &lost));
        }
    }
}

fn main() -> ExitCode {
    let result = match Arguments::parse().command {
        Command::Check { plan } => read(&plan).map(|plan| check(&plan)),
        Command::Table { plan, pairs, usual } => {
            let load_level = if usual { LoadLevel::Usual } else { LoadLevel::Peak };
            read(&plan).map(|plan| table(&plan, pairs, load_level))
        }
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("yarrowfront-sites: {error}");
            ExitCode::FAILURE
        }
    }
}
