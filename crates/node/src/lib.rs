//! The yarrowfront node: the decision module on sockets. Here the stages are wired to each other. Imports run one
//! way: what two stages share stands in a file below both (`cargo`, `guests`, `node`, `reply`, `call`).
#![forbid(unsafe_code)]

mod accept;
mod admin;
mod bodies;
mod call;
mod cargo;
mod counts;
mod desk;
mod fleet;
mod guests;
mod handover;
mod intake;
mod launch;
mod lengths;
mod limits;
mod list;
mod list_age;
mod list_watches;
mod log;
mod message_reader;
mod names;
mod node;
mod pool;
mod probe;
mod reload;
mod reply;
mod serve;
mod signals;
mod sites;
mod start;
mod stop;
mod transport;
mod trial;
mod watched;
mod witness;

use crate::desk::{Clock, Desk};
use crate::log::note;
use std::process::ExitCode;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{mpsc, watch};
use tokio::task::{spawn_local, LocalSet};
use yarrowfront::decide::{Action, Balancer};

/// The whole program: reads the start from the variables, serves, and ends with the process's code: failure where the
/// start or a listening address is bad, which is told in one line on standard error.
///
/// With `words` as its one argument it only tells which words it speaks with other processes: two builds that speak the
/// same can stand side by side.
pub fn main() -> ExitCode {
    if std::env::args().nth(1).as_deref() == Some("words") {
        println!("{}", words());
        return ExitCode::SUCCESS;
    }
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let ended = runtime.map_err(|e| format!("runtime: {e}")).and_then(|runtime| {
        LocalSet::new().block_on(&runtime, async {
            let signals = signals::Signals::listen().map_err(|e| format!("signals: {e}"))?;
            run(start::Start::read(|name| std::env::var(name).ok())?, signals).await
        })
    });
    match ended {
        Ok(()) => ExitCode::SUCCESS,
        Err(text) => {
            note!("yarrowfront: {text}");
            ExitCode::FAILURE
        }
    }
}

/// The kinds of words between processes, each with its number.
fn words() -> String {
    format!(
        "handover {} view {} counts {}",
        handover::VERSION,
        yarrowfront_view::wire::VERSION,
        counts::VERSION
    )
}

async fn run(start: start::Start, signals: signals::Signals) -> Result<(), String> {
    let limits = Rc::new(start.limits);
    log::allow(limits.notes_per_s);
    let clock = Clock::start();
    let (must_ask, warm_within) = (start.terms.list_is_requested, start.terms.warm_up_time);
    let ask_within = Duration::from_micros(start.terms.list_request_interval.0);
    let said = (start.terms.full_may_have_run, start.terms.max_retry_after);
    let (errand, mut errands) = mpsc::unbounded_channel();
    let module = Balancer::new(start.terms, start.seed, clock.now());
    let witness = start.sites.as_ref().map(|_| Rc::new(witness::Witness::default()));
    let counts = start.trial.as_ref().map(|terms| Rc::new(counts::Counts::new(terms.seconds)));
    let desk =
        Rc::new(Desk::new(module, start.names, clock, limits.tick, errand, (counts, witness.clone()), said));
    let room = bodies::Room::new(limits.held_bytes);
    let pool = Rc::new(pool::Pool::new(limits.clone(), room.clone()));

    let lister = list::Lister::new(desk.clone());
    if let Some(Err(why)) = start.known.map(|known| lister.told(&known, true)) {
        return Err(format!("known: {why}"));
    }
    let stop = Rc::new(stop::Stop::new());
    let path = handover::meeting(start.folder, start.listen);
    let heritage = match &path {
        Some(path) => handover::inherit(path, &limits)?,
        None => None,
    };
    let (mut old, mut life) = (None, 0);
    let listener = match heritage {
        Some(handover::Heritage { state, listener, stream }) => {
            // What the operators have said first, so that the list finds it so.
            for name in &state.left_out {
                desk.maint(desk.id(name), true);
            }
            stop.drain(state.drained);
            life = state.life;
            if let Err(why) = lister.told(&state.list, true) {
                note!("handover: the list is left out: {why}");
            }
            old = Some(stream);
            listener.set_nonblocking(true).and_then(|()| tokio::net::TcpListener::from_std(listener))
        }
        None => accept::bind(start.listen, limits.backlog, path.is_some()),
    };
    let listener = Rc::new(listener.map_err(|e| format!("listen: {e}"))?);
    let shared = (desk.clone(), stop.clone(), limits.clone(), room.clone());
    let peer = handover::Peer::new(shared, path, &listener);
    let fleet = start.view.map(|view| {
        let own = fleet::Own::of(&start.file, &desk);
        let parts = (desk.clone(), stop.clone(), peer.clone());
        fleet::Fleet::new(view, &start.name, own, (life, start.seed), parts)
    });
    let sites = match (start.sites, witness) {
        (Some(plan), Some(witness)) => {
            let own = fleet::Own::of(&start.file, &desk).site;
            Some(sites::Sites::new(plan, &own, (desk.clone(), fleet.clone(), witness), warm_within)?)
        }
        _ => None,
    };
    let (trial, asked) = start.trial.map(trial::Trial::new).transpose()?.unzip();
    let trial = trial.map(Rc::new);
    let (moved, discovery) = watch::channel(start.discovery);
    let parts = (desk.clone(), limits.clone(), stop.clone());
    let beside = (fleet.clone(), trial.clone(), sites.clone());
    let reload = reload::Reload::new(signals.hangup, moved, start.file, parts, beside);
    if let Some(at) = start.admin {
        let listener = accept::bind(at, limits.backlog, false).map_err(|e| format!("admin: {at}: {e}"))?;
        let (desk, stop, limits, peer) = (desk.clone(), stop.clone(), limits.clone(), peer.clone());
        let (fleet, sites, digest) = (fleet.clone(), sites.clone(), reload.digest());
        let admin = admin::Admin {
            desk,
            stop,
            limits,
            peer,
            fleet,
            sites,
            trial,
            digest,
            name: start.name.clone(),
            words: words(),
        };
        spawn_local(Rc::new(admin).run(listener));
    }
    spawn_local(reload.run(asked));
    let (follow, followed) = mpsc::unbounded_channel();
    if !must_ask {
        // Where the list comes by itself, on sockets that is a watch from the start.
        let _ = follow.send(());
    }
    let watches = list_watches::Watches::new(lister, desk.clone(), limits.clone(), start.discovery);
    spawn_local(watches.run(followed, discovery));

    let prober = probe::Prober { desk: desk.clone(), pool: pool.clone(), limits: limits.clone() };
    let (pool_of_errands, kept) = (pool.clone(), desk.clone());
    spawn_local(async move {
        while let Some(errand) = errands.recv().await {
            match errand {
                Action::Probe(backend) => drop(spawn_local(prober.clone().probe(backend))),
                Action::RequestList => drop(follow.send(())),
                Action::CloseIdleConnections(backend) => pool_of_errands.close(backend),
                // The desk has woken that command itself.
                Action::Reevaluate(_) => {}
            }
        }
    });
    spawn_local(async move { kept.upkeep().await });
    let (swept, addresses, pause) = (pool.clone(), desk.clone(), limits.sweep);
    spawn_local(async move {
        loop {
            tokio::time::sleep(pause).await;
            swept.sweep(|backend| addresses.address(backend));
        }
    });
    let stopped = stop.clone();
    spawn_local(async move { stopped.listen(signals.stop).await });

    let launcher = launch::Launcher { pool, desk: desk.clone() };
    peer.take_over(old).await;
    if let Some(fleet) = &fleet {
        spawn_local(fleet.clone().run());
    }
    if let Some(sites) = &sites {
        spawn_local(sites.clone().run());
    }
    note!("{}: listening on {}", start.name, start.listen);
    if must_ask {
        note!("list: discovery is asked; its news counts as known after {} ms", ask_within.as_millis());
    }
    accept::accept(listener, Rc::new(node::Node { desk, launcher, limits, room, stop, sites })).await;
    if let Some(fleet) = fleet {
        fleet.leave();
    }
    Ok(())
}
