//! The fleet view on a UDP socket: exchanges datagrams, publishes this node's own state, and provides the
//! state of the others to operators and to the balancer. Runs only if a fleet file is configured.

use crate::config::{build, lookup, read_seeds};
use crate::dispatcher::{Dispatcher, NodeShare};
use crate::handover::Peer;
use crate::lifecycle::Lifecycle;
use crate::list::stable_hash;
use crate::log::note;
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
use yarrowfront_view::card::{Card, Life, Load, Phase};
use yarrowfront_view::member::Member;
use yarrowfront_view::share::{Share, Sharer, Why};
use yarrowfront_view::terms::ViewTerms;
use yarrowfront_view::view::{View, What};
use yarrowfront_view::wire::LARGEST;

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
    pub of: BTreeMap<String, (u32, u32)>,
    /// This node sees no other member, or no majority.
    pub isolated: bool,
    /// The earliest generation of a live member in another site.
    pub oldest_elsewhere: Option<u64>,
}

/// What the configuration says about this node.
#[derive(Clone, Debug, PartialEq)]
pub struct NodeIdentity {
    pub site: String,
    pub digest: u64,
    pub place: u32,
    pub places: u32,
}

impl NodeIdentity {
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
            digest: stable_hash(&settings.to_string()),
            place: number("settings.me"),
            places: number("settings.balancers").max(1),
        }
    }
}

pub struct Fleet {
    view: RefCell<View>,
    sharer: RefCell<Sharer>,
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
        terms: ViewTerms,
        name: &str,
        identity: NodeIdentity,
        (predecessor_generation, seed): (u64, u64),
        (dispatcher, lifecycle, peer): Parts,
    ) -> Rc<Fleet> {
        let now = dispatcher.clock.now();
        let address = terms.address.unwrap_or(terms.listen);
        let life = Life(now.0.max(predecessor_generation + 1));
        peer.generation.set(life.0);
        let card = card(address, &identity, Phase::JOINING);
        let sharer = Sharer::new(now, terms.times);
        // The seed differs between the two processes of a node.
        let view = View::new(now, terms, name, life, card, seed ^ life.0);
        Rc::new(Fleet {
            view: RefCell::new(view),
            sharer: RefCell::new(sharer),
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
    pub fn check_reload(&self, terms: &ViewTerms) -> Result<(), String> {
        let view = self.view.borrow();
        match (terms.listen, terms.address, &terms.fleet)
            == (view.terms.listen, view.terms.address, &view.terms.fleet)
        {
            true => Ok(()),
            false => Err("fleet: fleet, listen and address can be changed only by a restart".to_owned()),
        }
    }

    /// Adopts a reloaded fleet file and this node's reloaded configuration.
    pub fn adopt(&self, terms: ViewTerms, identity: NodeIdentity) {
        *self.sharer.borrow_mut() = Sharer::new(self.dispatcher.clock.now(), terms.times);
        self.view.borrow_mut().follow(self.dispatcher.clock.now(), terms);
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
                self.view.borrow_mut().raise_life(self.dispatcher.clock.now(), Life(0));
            }
            note!("fleet: listening on {}", self.address);
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
        let address = self.view.borrow().terms.listen;
        match UdpSocket::bind(address).await {
            Ok(socket) => {
                let socket = Rc::new(socket);
                self.socket.replace(Some(socket.clone()));
                Some(socket)
            }
            Err(error) => {
                note!("fleet: {address}: {error}");
                sleep(BIND_RETRY_INTERVAL).await;
                None
            }
        }
    }

    async fn run_view(&self, socket: &UdpSocket) {
        let mut bytes = [0; LARGEST + 1];
        loop {
            self.update();
            self.send_pending(socket);
            let next = self.view.borrow().next().min(self.updated_at.get() + UPDATE_INTERVAL);
            tokio::select! {
                biased;
                () = sleep_until(self.dispatcher.clock.instant(next)) => {
                    let now = self.dispatcher.clock.now();
                    if self.view.borrow().next() <= now {
                        self.view.borrow_mut().due(now);
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
                    self.view.borrow_mut().heard(self.dispatcher.clock.now(), from, &bytes[..size]);
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
            let Some((to, bytes)) = self.view.borrow_mut().outgoing() else { break };
            // A datagram that the kernel does not accept is lost, like any other datagram may be.
            let _ = socket.try_send_to(&bytes, to);
        }
        loop {
            let Some(change) = self.view.borrow_mut().change() else { break };
            let text = match change.what {
                What::Alone | What::Together => change.what.word().to_owned(),
                what => {
                    format!("{} (life {}): {}, by {}", change.name, change.life.0, what.word(), change.by)
                }
            };
            // Each kind of change has its own rate limit, so that a death is not suppressed by the changes
            // that preceded it.
            match change.what {
                What::Dead | What::Left | What::Displaced => note!("fleet: {text}"),
                What::Suspected | What::Refuted | What::Raised => note!("fleet: {text}"),
                _ => note!("fleet: {text}"),
            }
            let mut recent_changes = self.recent_changes.borrow_mut();
            if recent_changes.len() == MAX_RECENT_CHANGES {
                recent_changes.remove(0);
            }
            recent_changes.push((change.at, text));
        }
        self.peer.generation.set(self.view.borrow().life().0);
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
            () if self.lifecycle.is_draining() => Phase::SENT_AWAY,
            () if self.peer.has_peer() => Phase::UPGRADING,
            () => Phase::SERVING,
        };
        let identity = self.identity.borrow();
        let (in_hand, taken, backends, list, age) = self.dispatcher.load();
        let load = Load {
            in_hand: in_hand as u32,
            taken: taken.into(),
            backends: backends as u32,
            list,
            list_age_ms: age.map_or(u64::MAX, |age| age.as_millis() as u64),
        };
        let mut view = self.view.borrow_mut();
        view.told(&card(self.address, &identity, phase), load);
        let share = self.sharer.borrow_mut().look(now, &view, identity.places, identity.place);
        self.share.set(Some(share));
        if view.terms.portions {
            let fallback = Sharer::without(identity.places, identity.place, now);
            let (node_count, node_index) = (share.nodes, share.me);
            let fallback = (fallback.nodes, fallback.me);
            self.dispatcher.set_node_share(NodeShare {
                node_count,
                node_index,
                valid_until: share.until,
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
        let Some(file) = view.terms.seeds_file.clone() else { return };
        match read_seeds(&file) {
            Ok(seeds) => view.terms.seeds = seeds,
            Err(why) => note!("fleet: keeping the previous seeds: {why}"),
        }
    }

    /// The live and the known members of each site, including this node.
    pub fn members_by_site(&self) -> SiteMembers {
        let (view, share) = (self.view.borrow(), self.share.get());
        let mut of: BTreeMap<String, (u32, u32)> = BTreeMap::new();
        let (mut oldest_elsewhere, identity) = (None, view.card().site.clone());
        of.insert(identity.clone(), (1, 1));
        for (_, member) in view.members() {
            let here = member.standing.here();
            let site = of.entry(member.card.site.clone()).or_default();
            *site = (site.0 + u32::from(here), site.1 + 1);
            if here && member.card.site != identity {
                let life = oldest_elsewhere.get_or_insert(member.life.0);
                *life = member.life.0.min(*life);
            }
        }
        let isolated = view.alone() || share.is_some_and(|share| share.why == Why::Unsure);
        SiteMembers { of, isolated, oldest_elsewhere }
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
        let card = |card: &Card| {
            json!({"address": card.address, "site": card.site, "build": card.build,
                "settings": format!("{:016x}", card.digest), "phase": card.phase.to_string(),
                "place": card.place, "places": card.places})
        };
        let load = |load: &Load| {
            json!({"in_hand": load.in_hand, "taken": load.taken, "backends": load.backends, "list": load.list,
                "list_age_ms": load.list_age_ms})
        };
        let member = |(name, m): (&str, &Member)| {
            json!({"name": name, "life": m.life.0, "edition": m.edition.0, "standing": m.standing.word(),
                "since_ms": age(m.since), "by": m.by, "heard_ms": m.heard.map(age), "card": card(&m.card),
                "load": m.load.as_ref().map(load), "trip_us": m.trip.map(|trip| trip.0), "asked": m.asked,
                "lost": m.lost})
        };
        let (counts, portion) = (view.counts(), self.share.get());
        let recent_changes: Vec<Value> = self
            .recent_changes
            .borrow()
            .iter()
            .map(|(at, text)| json!({"ago_ms": age(*at), "what": text}))
            .collect();
        json!({
            "fleet": view.terms.fleet, "name": view.name(), "life": view.life().0, "edition": view.edition().0,
            "card": card(view.card()), "load": load(&view.load()), "here": view.here(), "alone": view.alone(),
            "displaced": view.displaced(), "digest": format!("{:016x}", view.digest()), "trouble": view.trouble(),
            "portion": portion.map(|p| json!({"nodes": p.nodes, "me": p.me, "why": p.why.word(),
                "used": view.terms.portions, "stated": identity.places})),
            "counts": {"heard": counts.heard, "sent": counts.sent, "bytes_sent": counts.bytes_sent,
                "strangers": counts.strangers, "other_fleet": counts.other_fleet,
                "other_version": counts.other_version, "malformed": counts.malformed,
                "old_life": counts.old_life, "no_room": counts.no_room, "changes": counts.changes,
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
        let alone = if view.alone() { "; THIS NODE IS ALONE" } else { "" };
        line(format!("{} in {}: {} here{alone}", view.name(), view.terms.fleet, view.here()));
        if let Some(rival) = view.displaced() {
            line(format!(
                "ANOTHER PROCESS HAS THIS NAME: {rival}; this one says nothing while that one answers"
            ));
        }
        if let Some(share) = self.share.get() {
            line(format!("portion: as one of {}, {}", share.nodes, share.why.word()));
        }
        line(format!(
            "digest {:016x}, {} changes, trouble {}",
            view.digest(),
            view.counts().changes,
            view.trouble()
        ));
        line(format!(
            "{:<20} {:<10} {:<10} {:<8} {:<21} {:<11} {:<10} {:>8} {:>6}",
            "name", "standing", "for", "site", "address", "phase", "by", "trip us", "lost"
        ));
        for (name, m) in view.members() {
            line(format!(
                "{name:<20} {:<10} {:<10} {:<8} {:<21} {:<11} {:<10} {:>8} {:>6}",
                m.standing.word(),
                seconds(m.since),
                m.card.site,
                m.card.address.to_string(),
                m.card.phase.to_string(),
                m.by,
                m.trip.map_or("-".to_owned(), |trip| trip.0.to_string()),
                m.lost
            ));
        }
        page
    }
}

fn card(address: SocketAddr, identity: &NodeIdentity, phase: Phase) -> Card {
    Card {
        address,
        site: identity.site.clone(),
        build: build(),
        digest: identity.digest,
        phase,
        place: identity.place,
        places: identity.places,
    }
}
