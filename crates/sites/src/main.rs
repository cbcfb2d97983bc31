//! `yarrowfront-sites`: looks at a plan for the loss of sites.
#![forbid(unsafe_code)]

use clap::{Parser, Subcommand};
use sites::failover::{max_payoff, plan_failover};
use sites::plan::{LoadLevel, Plan, SiteId};
use std::collections::BTreeSet;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

#[derive(Parser)]
#[command(version, about = "Looks at a plan for the loss of yarrowfront's sites")]
struct Arguments {
    #[command(subcommand)]
    what: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Reads the plan, and tells of each loss of one site what it comes to. Ends with 1 where the plan is bad.
    Check { plan: PathBuf },
    /// Where everything goes, for each loss of one site, and of two where that is asked for.
    Table {
        plan: PathBuf,
        #[arg(long)]
        pairs: bool,
        /// At the usual hour in place of the highest.
        #[arg(long)]
        usual: bool,
    },
}

fn read(path: &Path) -> Result<Plan, String> {
    let text = std::fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()))?;
    Plan::from_toml(&text).map_err(|why| format!("{}: {why}", path.display()))
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

/// All that is asked, as a part of what the sites that are left may be given.
fn load(plan: &Plan, lost: &BTreeSet<SiteId>, hour: LoadLevel) -> f64 {
    let work = |site: SiteId| -> f64 {
        plan.profile_ids().map(|profile| plan.demand(site, profile, hour) * plan.profile(profile).work).sum()
    };
    let room: f64 =
        plan.site_ids().filter(|site| !lost.contains(site)).map(|site| plan.usable_capacity(site)).sum();
    plan.site_ids().map(work).sum::<f64>() / room
}

fn check(plan: &Plan) {
    for hour in [LoadLevel::Usual, LoadLevel::Peak] {
        let when = if hour == LoadLevel::Usual { "usual" } else { "highest" };
        for lost in losses(plan, false) {
            let found = plan_failover(plan, &lost, hour);
            let refused = |profile| {
                let share = found.rejected_share(profile);
                (share > 0.001).then(|| format!("{:.0}% of `{}`", share * 100.0, plan.profile(profile).name))
            };
            let refused: Vec<String> = plan.profile_ids().filter_map(refused).collect();
            let refused = if refused.is_empty() { "nothing".to_owned() } else { refused.join(", ") };
            println!(
                "{when} hour, loss of {}: {:.0}% of what is left; refuses {refused}; serves {:.1}% of the payoff, {:.1}% of the best",
                names(plan, &lost),
                load(plan, &lost, hour) * 100.0,
                found.served_payoff / found.requested_payoff.max(1e-9) * 100.0,
                found.served_payoff / max_payoff(plan, &lost, hour).max(1e-9) * 100.0,
            );
        }
    }
}

fn table(plan: &Plan, pairs: bool, hour: LoadLevel) {
    println!("| lost | from | profile | to | commands a second |");
    println!("| --- | --- | --- | --- | --- |");
    for lost in losses(plan, pairs) {
        let found = plan_failover(plan, &lost, hour);
        for ((from, to, profile), rate) in found.routed.iter().filter(|((from, to, _), _)| from != to) {
            let name = |site: SiteId| &plan.site(site).name;
            let (from, to) = (name(*from), name(*to));
            println!(
                "| {} | {from} | {} | {to} | {rate:.1} |",
                names(plan, &lost),
                plan.profile(*profile).name
            );
        }
        for ((from, profile), rate) in &found.rejected {
            let (from, profile) = (&plan.site(*from).name, &plan.profile(*profile).name);
            println!("| {} | {from} | {profile} | refused | {rate:.1} |", names(plan, &lost));
        }
    }
}

fn main() -> ExitCode {
    let done = match Arguments::parse().what {
        Command::Check { plan } => read(&plan).map(|plan| check(&plan)),
        Command::Table { plan, pairs, usual } => {
            let hour = if usual { LoadLevel::Usual } else { LoadLevel::Peak };
            read(&plan).map(|plan| table(&plan, pairs, hour))
        }
    };
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(why) => {
            eprintln!("yarrowfront-sites: {why}");
            ExitCode::FAILURE
        }
    }
}
