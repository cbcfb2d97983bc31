//! The fleet view on a UDP socket: exchanges datagrams, publishes this node's own state, and provides the
//! state of the others to operators and to the balancer. Runs only if a fleet file is configured.

use crate::config::{build, lookup, read_seeds};
use crate::dispatcher::{Dispatcher, NodeShare};
use crate::handover::Peer;
use crate::lifecycle::Lifecycle;
use crate::list::stable_hash;
use crate::log::log;
use serde_json::{json, Value};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::sync::Notify;
use tokio::time::{sleep, sleep_until, Instant};
use yarrowfront::times::{Micros, Timestamp};
use yarrowfront_view::config::ViewConfig;
use yarrowfront_view::member::Member;
use yarrowfront_view::node_info::{Generation, Load, NodeInfo, Phase};
use yarrowfront_view::share::{Share, ShareReason, ShareTracker};
use yarrowfront_view::view::{ChangeKind, View};
use yarrowfront_view::wire::MAX_DATAGRAM_BYTES;

/// The number of datagrams that are read at once: a flood of them must not delay commands for longer than
/// the processing of one command takes.
const DATAGRAMS_PER_READ: usize = 32;
/// The pause between two such reads while more datagrams are waiting. The two constants limit the rate to
/// 16,000 datagrams per second; the kernel drops the rest.
const READ_PAUSE: Duration = Duration::from_millis(2);
/// The interval at which this node's own state is published and its share of the fleet is updated.
const UPDATE_INTERVAL: Micros = Micros::from_millis(200);
/// The interval between two attempts to bind the address while a previous process still has it.
const BIND_RETRY_INTERVAL: Duration = Duration::from_millis(50);
/// The interval between two reads of the seeds file.
const SEEDS_INTERVAL: Duration = Duration::from_secs(5);
/// The number of changes of the view that are kept for operators.
const MAX_RECENT_CHANGES: usize = 64;

/// The members of the fleet by site.
pub struct SiteMembers {
    /// For each site, the number of members that are alive and of all that are known.
    pub by_site: BTreeMap<String, (u32, u32)>,
    /// This node sees no other member, or no majority.
    pub is_isolated: bool,
    /// The earliest generation of a live member in another site.
    pub oldest_elsewhere: Option<u64>,
}

/// What the configuration says about this node.
#[derive(Clone, Debug, PartialEq)]
pub struct NodeIdentity {
    pub site: String,
    pub settings_digest: u64,
    pub slot: u32,
    pub slots: u32,
}

impl NodeIdentity {
    /// Reads this node's identity from its configuration file.
    pub fn of(file: &Value, dispatcher: &Dispatcher) -> NodeIdentity {
        let number = |path| lookup(file, path).ok().and_then(Value::as_f64).unwrap_or(0.0) as u32;
        let zones = &dispatcher.names().zones;
        let site = lookup(file, "settings.zones").ok().and_then(|z| z.get(number("settings.zone") as usize));
        let site = site.and_then(Value::as_str).or(zones.first().map(String::as_str)).unwrap_or_default();
        // The digest compares nodes, so it leaves out the settings that differ between them by design.
        let mut settings = file.get("settings").cloned().unwrap_or_default();
        if let Some(settings) = settings.as_object_mut() {
            settings.retain(|key, _| key != "me" && key != "zone");
        }
        NodeIdentity {
            site: site.chars().take(16).collect(),
            settings_digest: stable_hash(&settings.to_string()),
            slot: number("settings.me"),
            slots: number("settings.balancers").max(1),
        }
    }
}

/// The fleet view together with its socket.
pub struct Fleet {
    view: RefCell<View>,
    share_tracker: RefCell<ShareTracker>,
    share: Cell<Option<Share>>,
    identity: RefCell<NodeIdentity>,
    address: SocketAddr,
    dispatcher: Rc<Dispatcher>,
    lifecycle: Rc<Lifecycle>,
    peer: Rc<Peer>,
    socket: RefCell<Option<Rc<UdpSocket>>>,
    updated_at: Cell<Timestamp>,
    seeds_read_at: Cell<Instant>,
    /// Recent changes of the view, the newest last.
    recent_changes: RefCell<Vec<(Timestamp, String)>>,
    /// Notified when the loop has to act on something other than a datagram or the view's own timer.
    wake: Notify,
}

type Parts = (Rc<Dispatcher>, Rc<Lifecycle>, Rc<Peer>);

impl Fleet {
    /// Creates the view with a generation that is later than the given one.
    pub fn new(
        config: ViewConfig,
        name: &str,
        identity: NodeIdentity,
        (predecessor_generation, seed): (u64, u64),
        (dispatcher, lifecycle, peer): Parts,
    ) -> Rc<Fleet> {
        let now = dispatcher.clock.now();
        let address = config.address.unwrap_or(config.listen);
        let generation = Generation(now.0.max(predecessor_generation + 1));
        peer.generation.set(generation.0);
        let info = node_info(address, &identity, Phase::JOINING);
        let share_tracker = ShareTracker::new(now, config.timing);
        // The seed differs between the two processes of a node.
        let view = View::new(now, config, name, generation, info, seed ^ generation.0);
        Rc::new(Fleet {
            view: RefCell::new(view),
            share_tracker: RefCell::new(share_tracker),
            share: Cell::new(None),
            identity: RefCell::new(identity),
            address,
            dispatcher,
            lifecycle,
            peer,
            socket: RefCell::new(None),
            updated_at: Cell::new(Timestamp(0)),
            seeds_read_at: Cell::new(Instant::now()),
            recent_changes: RefCell::new(Vec::new()),
            wake: Notify::new(),
        })
    }

    /// Whether this configuration can be adopted without a restart.
    pub fn check_reload(&self, config: &ViewConfig) -> Result<(), String> {
        let view = self.view.borrow();
        match (config.listen, config.address, &config.fleet)
            == (view.config.listen, view.config.address, &view.config.fleet)
        {
            true => Ok(()),
            false => Err("fleet: fleet, listen and address take a restart to change".to_owned()),
        }
    }

    /// Adopts a reloaded fleet file and this node's reloaded configuration.
    pub fn adopt(&self, config: ViewConfig, identity: NodeIdentity) {
        *self.share_tracker.borrow_mut() = ShareTracker::new(self.dispatcher.clock.now(), config.timing);
        self.view.borrow_mut().reconfigure(self.dispatcher.clock.now(), config);
        *self.identity.borrow_mut() = identity;
        self.updated_at.set(Timestamp(0));
        self.wake.notify_one();
    }

    /// Keeps the view for as long as the process lives. While a new process of this node accepts the
    /// connections, that process also keeps the view.
    pub async fn run(self: Rc<Fleet>) {
        let mut has_listened_before = false;
        loop {
            let Some(socket) = self.listen().await else { continue };
            if std::mem::replace(&mut has_listened_before, true) {
                // The other process has ended, and its generation was later than this one's.
                self.view.borrow_mut().raise_generation(self.dispatcher.clock.now(), Generation(0));
            }
            log!("fleet: listening on {}", self.address);
            tokio::select! {
                () = self.run_view(&socket) => {}
                () = self.lifecycle.wait_for_successor(true) => {}
            }
            self.socket.replace(None);
            drop(socket);
            self.lifecycle.wait_for_successor(false).await;
        }
    }

    async fn listen(&self) -> Option<Rc<UdpSocket>> {
        let address = self.view.borrow().config.listen;
        match UdpSocket::bind(address).await {
            Ok(socket) => {
                let socket = Rc::new(socket);
                self.socket.replace(Some(socket.clone()));
                Some(socket)
            }
            Err(error) => {
                log!("fleet: {address}: {error}");
                sleep(BIND_RETRY_INTERVAL).await;
                None
            }
        }
    }

    async fn run_view(&self, socket: &UdpSocket) {
        let mut bytes = [0; MAX_DATAGRAM_BYTES + 1];
        loop {
            self.update();
            self.send_pending(socket);
            let next = self.view.borrow().next_timeout().min(self.updated_at.get() + UPDATE_INTERVAL);
            tokio::select! {
                biased;
                () = sleep_until(self.dispatcher.clock.instant(next)) => {
                    let now = self.dispatcher.clock.now();
                    if self.view.borrow().next_timeout() <= now {
                        self.view.borrow_mut().handle_timeout(now);
                    }
                }
                () = self.wake.notified() => {}
                ready = socket.readable() => {
                    if ready.is_ok() && self.receive(socket, &mut bytes) == DATAGRAMS_PER_READ {
                        sleep(READ_PAUSE).await;
                    }
                }
            }
        }
    }

    fn receive(&self, socket: &UdpSocket, bytes: &mut [u8]) -> usize {
        for count in 0..DATAGRAMS_PER_READ {
            match socket.try_recv_from(bytes) {
                Ok((size, from)) => {
                    self.view.borrow_mut().receive(self.dispatcher.clock.now(), from, &bytes[..size]);
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return count,
                // If a destination had no listener, the kernel reports that on a later call.
                Err(_) => {}
            }
        }
        DATAGRAMS_PER_READ
    }

    fn send_pending(&self, socket: &UdpSocket) {
        loop {
            let Some((to, bytes)) = self.view.borrow_mut().next_datagram() else { break };
            // A datagram that the kernel does not accept is lost, like any other datagram may be.
            let _ = socket.try_send_to(&bytes, to);
        }
        loop {
            let Some(change) = self.view.borrow_mut().next_change() else { break };
            let text = match change.kind {
                ChangeKind::Alone | ChangeKind::NoLongerAlone => change.kind.as_str().to_owned(),
                what => {
                    format!(
                        "{} (life {}): {}, by {}",
                        change.name,
                        change.generation.0,
                        what.as_str(),
                        change.reported_by
                    )
                }
            };
            // Each kind of change has its own rate limit, so that a death is not suppressed by the changes
            // that preceded it.
            match change.kind {
                ChangeKind::Dead | ChangeKind::Left | ChangeKind::NameTaken => log!("fleet: {text}"),
                ChangeKind::Suspected | ChangeKind::Refuted | ChangeKind::SelfRefuted => {
                    log!("fleet: {text}")
                }
                _ => log!("fleet: {text}"),
            }
            let mut recent_changes = self.recent_changes.borrow_mut();
            if recent_changes.len() == MAX_RECENT_CHANGES {
                recent_changes.remove(0);
            }
            recent_changes.push((change.at, text));
        }
        self.peer.generation.set(self.view.borrow().generation().0);
    }

    /// Publishes this node's present state, and passes on to the balancer what it uses of the view.
    fn update(&self) {
        let now = self.dispatcher.clock.now();
        if now < self.updated_at.get() + UPDATE_INTERVAL {
            return;
        }
        self.updated_at.set(now);
        self.read_seeds();
        let phase = match () {
            () if self.lifecycle.is_stopping() => Phase::STOPPING,
            () if !self.dispatcher.has_list() || !self.peer.is_ready() => Phase::JOINING,
            () if self.lifecycle.is_draining() => Phase::DRAINING,
            () if self.peer.has_peer() => Phase::UPGRADING,
            () => Phase::SERVING,
        };
        let identity = self.identity.borrow();
        let (in_flight, accepted, backends, list_version, age) = self.dispatcher.load();
        let load = Load {
            in_flight: in_flight as u32,
            accepted: accepted.into(),
            backend_count: backends as u32,
            list_version,
            list_age_ms: age.map_or(u64::MAX, |age| age.as_millis() as u64),
        };
        let mut view = self.view.borrow_mut();
        view.update_self(&node_info(self.address, &identity, phase), load);
        let share = self.share_tracker.borrow_mut().update(now, &view, identity.slots, identity.slot);
        self.share.set(Some(share));
        if view.config.use_view_share {
            let fallback = ShareTracker::fallback(identity.slots, identity.slot, now);
            let (node_count, node_index) = (share.nodes, share.index);
            let fallback = (fallback.nodes, fallback.index);
            self.dispatcher.set_node_share(NodeShare {
                node_count,
                node_index,
                valid_until: share.valid_until,
                fallback,
            });
        }
    }

    /// Reads the seeds file again, which may have changed.
    fn read_seeds(&self) {
        if self.seeds_read_at.get().elapsed() < SEEDS_INTERVAL {
            return;
        }
        self.seeds_read_at.set(Instant::now());
        let mut view = self.view.borrow_mut();
        let Some(file) = view.config.seeds_file.clone() else { return };
        match read_seeds(&file) {
            Ok(seeds) => view.config.seeds = seeds,
            Err(reason) => log!("fleet: keeping the previous seeds: {reason}"),
        }
    }

    /// The live and the known members of each site, including this node.
    pub fn members_by_site(&self) -> SiteMembers {
        let (view, share) = (self.view.borrow(), self.share.get());
        let mut by_site: BTreeMap<String, (u32, u32)> = BTreeMap::new();
        let (mut oldest_elsewhere, own_site) = (None, view.info().site.clone());
        by_site.insert(own_site.clone(), (1, 1));
        for (_, member) in view.members() {
            let is_present = member.state.is_present();
            let site = by_site.entry(member.info.site.clone()).or_default();
            *site = (site.0 + u32::from(is_present), site.1 + 1);
            if is_present && member.info.site != own_site {
                let generation = oldest_elsewhere.get_or_insert(member.generation.0);
                *generation = member.generation.0.min(*generation);
            }
        }
        let is_isolated =
            view.is_alone() || share.is_some_and(|share| share.reason == ShareReason::NoMajority);
        SiteMembers { by_site, is_isolated, oldest_elsewhere }
    }

    /// Announces at the end of a planned stop that this node is leaving.
    pub fn leave(&self) {
        let socket = self.socket.borrow().clone();
        if let Some(socket) = socket.filter(|_| !self.lifecycle.has_successor()) {
            self.view.borrow_mut().leave(self.dispatcher.clock.now());
            self.send_pending(&socket);
        }
    }

    /// The view as JSON. Times are ages in milliseconds; byte counts and other counts are totals since the
    /// start.
    pub fn to_json(&self) -> Value {
        let (view, identity, now) = (self.view.borrow(), self.identity.borrow(), self.dispatcher.clock.now());
        let age = |at: Timestamp| now.since(at).0 / 1000;
        let info = |info: &NodeInfo| {
            json!({"address": info.address, "site": info.site, "build": info.build,
                "settings": format!("{:016x}", info.settings_digest), "phase": info.phase.to_string(),
                "place": info.slot, "places": info.slots})
        };
        let load = |load: &Load| {
            json!({"in_hand": load.in_flight, "taken": load.accepted, "backends": load.backend_count, "list": load.list_version,
                "list_age_ms": load.list_age_ms})
        };
        let member = |(name, m): (&str, &Member)| {
            json!({"name": name, "life": m.generation.0, "edition": m.incarnation.0, "standing": m.state.as_str(),
                "since_ms": age(m.state_since), "by": m.reported_by, "heard_ms": m.last_heard.map(age), "card": info(&m.info),
                "load": m.load.as_ref().map(load), "trip_us": m.rtt.map(|trip| trip.0), "asked": m.probes_sent,
                "lost": m.probes_lost})
        };
        let (counts, share) = (view.counters(), self.share.get());
        let recent_changes: Vec<Value> = self
            .recent_changes
            .borrow()
            .iter()
            .map(|(at, text)| json!({"ago_ms": age(*at), "what": text}))
            .collect();
        json!({
            "fleet": view.config.fleet, "name": view.name(), "life": view.generation().0, "edition": view.incarnation().0,
            "card": info(view.info()), "load": load(&view.load()), "here": view.present_count(), "alone": view.is_alone(),
            "displaced": view.displaced_by(), "digest": format!("{:016x}", view.digest()), "trouble": view.local_health_score(),
            "portion": share.map(|p| json!({"nodes": p.nodes, "me": p.index, "why": p.reason.as_str(),
                "used": view.config.use_view_share, "stated": identity.slots})),
            "counts": {"heard": counts.datagrams_received, "sent": counts.datagrams_sent, "bytes_sent": counts.bytes_sent,
                "strangers": counts.outside_networks, "other_fleet": counts.other_fleet,
                "other_version": counts.other_version, "malformed": counts.malformed,
                "old_life": counts.old_generation, "no_room": counts.member_limit_reached, "changes": counts.changes,
                "stalls": counts.stalls},
            "members": view.members().map(member).collect::<Vec<_>>(), "lately": recent_changes,
        })
    }

    /// The view as plain text.
    pub fn to_text(&self) -> String {
        let (view, now) = (self.view.borrow(), self.dispatcher.clock.now());
        let seconds = |at: Timestamp| format!("{:.1} s", now.since(at).as_f64() / 1e6);
        let mut page = String::new();
        let mut line = |text: String| {
            page.push_str(&text);
            page.push('\n');
        };
        let alone = if view.is_alone() { "; THIS NODE IS ALONE" } else { "" };
        line(format!("{} in {}: {} here{alone}", view.name(), view.config.fleet, view.present_count()));
        if let Some(rival) = view.displaced_by() {
            line(format!(
                "ANOTHER PROCESS HAS THIS NAME: {rival}; this one says nothing while that one answers"
            ));
        }
        if let Some(share) = self.share.get() {
            line(format!("portion: as one of {}, {}", share.nodes, share.reason.as_str()));
        }
        line(format!(
            "digest {:016x}, {} changes, trouble {}",
            view.digest(),
            view.counters().changes,
            view.local_health_score()
        ));
        line(format!(
            "{:<20} {:<10} {:<10} {:<8} {:<21} {:<11} {:<10} {:>8} {:>6}",
            "name", "standing", "for", "site", "address", "phase", "by", "trip us", "lost"
        ));
        for (name, m) in view.members() {
            line(format!(
                "{name:<20} {:<10} {:<10} {:<8} {:<21} {:<11} {:<10} {:>8} {:>6}",
                m.state.as_str(),
                seconds(m.state_since),
                m.info.site,
                m.info.address.to_string(),
                m.info.phase.to_string(),
                m.reported_by,
                m.rtt.map_or("-".to_owned(), |trip| trip.0.to_string()),
                m.probes_lost
            ));
        }
        page
    }
}

fn node_info(address: SocketAddr, identity: &NodeIdentity, phase: Phase) -> NodeInfo {
    NodeInfo {
        address,
        site: identity.site.clone(),
        build: build(),
        settings_digest: identity.settings_digest,
        phase,
        slot: identity.slot,
        slots: identity.slots,
    }
}
