//! The yarrowfront node: runs the balancer (the decision module) on sockets. This module wires the stages
//! together. Imports go in one direction only: what two stages share is defined in a module below both
//! (`launch_types`, `client_connections`, `node`, `reply`, `admin_request`).
#![forbid(unsafe_code)]

mod accept;
mod admin;
mod admin_request;
mod answer_body;
mod bodies;
mod body_memory;
mod body_stream;
mod client_connections;
mod client_service;
mod command_ids;
mod config;
mod counts;
mod dispatcher;
mod fleet;
mod guard;
mod handover;
mod held_back;
mod launch;
mod launch_types;
mod lifecycle;
mod limits;
mod list;
mod list_age;
mod list_watches;
mod log;
mod message_reader;
mod metrics;
mod names;
mod node;
mod observed_stream;
mod panic_log;
mod pool;
mod probe;
mod receive_time;
mod reload;
mod reply;
mod request_arrival;
mod request_framing;
mod serve;
mod signals;
mod site_evidence;
mod sites;
mod tasks;
mod transport;
mod trial;

use crate::dispatcher::{Clock, Dispatcher};
use crate::log::log;
use crate::tasks::spawn_essential;
use std::process::ExitCode;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{mpsc, watch};
use tokio::task::{spawn_local, LocalSet};
use yarrowfront::decide::{Action, Balancer};

/// Runs the whole program: reads the configuration, serves, and returns the exit code. A bad configuration
/// or listening address is a failure, reported in one line on standard error.
///
/// With `words` as the only argument, it just prints the versions of the protocols that it speaks with other
/// processes: two builds that print the same can run side by side.
pub fn main() -> ExitCode {
    if std::env::args().nth(1).as_deref() == Some("words") {
        println!("{}", protocol_versions());
        return ExitCode::SUCCESS;
    }
    panic_log::install();
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let ended = runtime.map_err(|e| format!("runtime: {e}")).and_then(|runtime| {
        LocalSet::new().block_on(&runtime, async {
            let signals = signals::Signals::listen().map_err(|e| format!("signals: {e}"))?;
            run(config::Config::read(|name| std::env::var(name).ok())?, signals).await
        })
    });
    match ended {
        Ok(()) => ExitCode::SUCCESS,
        Err(text) => {
            log!("yarrowfront: {text}");
            ExitCode::FAILURE
        }
    }
}

/// The protocols spoken between processes, each with its version.
fn protocol_versions() -> String {
    format!(
        "handover {} view {} counts {}",
        handover::VERSION,
        yarrowfront_view::wire::VERSION,
        counts::VERSION
    )
}

async fn run(config: config::Config, signals: signals::Signals) -> Result<(), String> {
    let limits = Rc::new(config.limits);
    log::set_lines_per_second(limits.log_lines_per_s);
    let clock = Clock::start();
    let (list_is_requested, warm_up_time) = (config.settings.list_is_requested, config.settings.warm_up_time);
    let list_request_interval = Duration::from_micros(config.settings.list_request_interval.0);
    let dispatch_settings = dispatcher::DispatchSettings::of(&config.settings);
    let (action_sender, mut actions) = mpsc::unbounded_channel();
    let balancer = Balancer::new(config.settings, config.seed, clock.now());
    let site_evidence = config.sites.as_ref().map(|_| Rc::new(site_evidence::SiteEvidence::default()));
    let counts = config.trial.as_ref().map(|config| Rc::new(counts::Counts::new(config.seconds)));
    let dispatcher = Rc::new(Dispatcher::new(
        balancer,
        config.names,
        clock,
        limits.timer_resolution,
        action_sender,
        (counts, site_evidence.clone()),
        dispatch_settings,
    ));
    let body_memory = body_memory::BodyMemory::new(limits.body_memory_bytes);
    let pool = Rc::new(pool::Pool::new(limits.clone(), body_memory.clone()));

    let list_updater = list::ListUpdater::new(dispatcher.clone());
    if let Some(Err(reason)) = config.cached_list.map(|list| list_updater.apply_message(&list, true)) {
        return Err(format!("known: {reason}"));
    }
    let lifecycle = Rc::new(lifecycle::Lifecycle::new());
    let path = handover::socket_path(config.shared_dir, config.listen);
    let handover = match &path {
        Some(path) => handover::request_handover(path, &limits)?,
        None => None,
    };
    let (mut old_process, mut generation) = (None, 0);
    let listener = match handover {
        Some(handover::Handover { state, listener, stream }) => {
            // Operators' settings come first, so that they apply to the list.
            for name in &state.in_maintenance {
                dispatcher.set_maintenance(dispatcher.backend_id(name), true);
            }
            lifecycle.set_draining(state.is_draining);
            generation = state.generation;
            if let Err(reason) = list_updater.apply_message(&state.list, true) {
                log!("handover: the list could not be used: {reason}");
            }
            old_process = Some((stream, state.knows_ids));
            listener.set_nonblocking(true).and_then(|()| tokio::net::TcpListener::from_std(listener))
        }
        None => accept::bind(config.listen, limits.backlog, path.is_some()),
    };
    let listener = Rc::new(listener.map_err(|e| format!("listen: {e}"))?);
    let shared = (dispatcher.clone(), lifecycle.clone(), limits.clone(), body_memory.clone());
    let peer = handover::Peer::new(shared, path, &listener);
    let fleet = config.view.map(|view| {
        let identity = fleet::NodeIdentity::of(&config.file, &dispatcher);
        let parts = (dispatcher.clone(), lifecycle.clone(), peer.clone());
        fleet::Fleet::new(view, &config.name, identity, (generation, config.seed), parts)
    });
    let sites = match (config.sites, site_evidence) {
        (Some(plan), Some(site_evidence)) => {
            let identity = fleet::NodeIdentity::of(&config.file, &dispatcher).site;
            Some(sites::Sites::new(
                plan,
                &identity,
                (dispatcher.clone(), fleet.clone(), site_evidence),
                warm_up_time,
            )?)
        }
        _ => None,
    };
    let (trial, trial_actions) = config.trial.map(trial::Trial::new).transpose()?.unzip();
    let trial = trial.map(Rc::new);
    let (discovery_sender, discovery) = watch::channel(config.discovery);
    let parts = (dispatcher.clone(), limits.clone(), lifecycle.clone());
    let optional_stages = (fleet.clone(), trial.clone(), sites.clone());
    let reload = reload::Reload::new(signals.hangup, discovery_sender, config.file, parts, optional_stages);
    if let Some(at) = config.admin {
        let listener = accept::bind(at, limits.backlog, false).map_err(|e| format!("admin: {at}: {e}"))?;
        let (dispatcher, lifecycle, limits, peer) =
            (dispatcher.clone(), lifecycle.clone(), limits.clone(), peer.clone());
        let (fleet, sites, settings_digest) = (fleet.clone(), sites.clone(), reload.settings_digest());
        let admin = admin::Admin {
            dispatcher,
            lifecycle,
            limits,
            peer,
            fleet,
            sites,
            trial,
            settings_digest,
            name: config.name.clone(),
            protocol_versions: protocol_versions(),
        };
        spawn_local(Rc::new(admin).run(listener));
    }
    spawn_essential("reload", &lifecycle, reload.run(trial_actions));
    let (list_requests, list_request_receiver) = mpsc::unbounded_channel();
    if !list_is_requested {
        // Where the list is pushed, the node still opens a watch, at once.
        let _ = list_requests.send(());
    }
    let watches =
        list_watches::Watches::new(list_updater, dispatcher.clone(), limits.clone(), config.discovery);
    spawn_essential("list", &lifecycle, watches.run(list_request_receiver, discovery));

    let prober = probe::Prober { dispatcher: dispatcher.clone(), pool: pool.clone(), limits: limits.clone() };
    let (idle_connections, timers) = (pool.clone(), dispatcher.clone());
    spawn_essential("actions", &lifecycle, async move {
        while let Some(action) = actions.recv().await {
            match action {
                Action::Probe(backend) => drop(spawn_local(prober.clone().probe(backend))),
                Action::RequestList => drop(list_requests.send(())),
                Action::CloseIdleConnections(backend) => idle_connections.close(backend),
                // The dispatcher has already woken that command.
                Action::Reevaluate(_) => {}
            }
        }
    });
    spawn_essential("timers", &lifecycle, async move { timers.run_timers().await });
    let (swept_pool, addresses, interval) = (pool.clone(), dispatcher.clone(), limits.sweep_interval);
    spawn_essential("pool", &lifecycle, async move {
        loop {
            tokio::time::sleep(interval).await;
            swept_pool.sweep(|backend| addresses.address(backend));
        }
    });
    let stop_waiter = lifecycle.clone();
    spawn_essential("stop", &lifecycle, async move {
        stop_waiter.wait_for_stop_signal(signals.stop).await;
    });

    let launcher = launch::Launcher {
        pool,
        dispatcher: dispatcher.clone(),
        late_answer_allowance: limits.late_answer_allowance,
    };
    peer.take_over(old_process).await;
    if let Some(fleet) = &fleet {
        spawn_essential("fleet", &lifecycle, fleet.clone().run());
    }
    if let Some(sites) = &sites {
        spawn_essential("sites", &lifecycle, sites.clone().run());
    }
    log!("{}: listening on {}", config.name, config.listen);
    if list_is_requested {
        log!(
            "list: discovery is queried; its changes bind this node after {} ms",
            list_request_interval.as_millis()
        );
    }
    accept::accept_connections(
        listener,
        Rc::new(node::Node {
            dispatcher,
            launcher,
            limits,
            body_memory,
            lifecycle: lifecycle.clone(),
            peer,
            sites,
        }),
    )
    .await;
    if let Some(fleet) = fleet {
        fleet.leave();
    }
    log!("{}: ended: {}", config.name, metrics::summary());
    match lifecycle.failed_task() {
        None => Ok(()),
        Some(task) => Err(format!("{task} has failed")),
    }
}
