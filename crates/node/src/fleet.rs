//! The view of the fleet on a socket: datagrams in and out, what this node tells of itself, and what operators and the
//! decisions are told of the others. Only where an operators' file asks for it.

use crate::desk::{Desk, Portion};
use crate::handover::Peer;
use crate::list::mark;
use crate::log::note;
use crate::start::{at, build, seeds};
use crate::stop::Stop;
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

/// Datagrams read in one go: a flood of them must not keep commands waiting for longer than one of their own steps.
const AT_ONCE: usize = 32;
/// Between two goes while more are waiting. With the above, up to 16,000 a second are read; the kernel drops the rest.
const BREATH: Duration = Duration::from_millis(2);
/// Between two looks at this node's own state and its portion.
const LOOK: Micros = Micros::from_millis(200);
/// Between two tries to listen where a process before this one still does.
const BIND: Duration = Duration::from_millis(50);
/// Between two looks at the file of seeds.
const SEEDS: Duration = Duration::from_secs(5);
/// A view's changes that are kept for operators.
const KEPT: usize = 64;

/// The view by sites.
pub struct BySite {
    pub of: BTreeMap<String, (u32, u32)>,
    /// This node sees nobody, or no majority.
    pub isolated: bool,
    /// The earliest life that is here in another site.
    pub oldest_elsewhere: Option<u64>,
}

/// What the node's configuration says of it.
#[derive(Clone, Debug, PartialEq)]
pub struct Own {
    pub site: String,
    pub digest: u64,
    pub place: u32,
    pub places: u32,
}

impl Own {
    pub fn of(file: &Value, desk: &Desk) -> Own {
        let whole = |path| at(file, path).ok().and_then(Value::as_f64).unwrap_or(0.0) as u32;
        let zones = &desk.names().zones;
        let site = at(file, "settings.zones").ok().and_then(|z| z.get(whole("settings.zone") as usize));
        let site = site.and_then(Value::as_str).or(zones.first().map(String::as_str)).unwrap_or_default();
        // What is each node's own is no difference between two settings.
        let mut settings = file.get("settings").cloned().unwrap_or_default();
        if let Some(settings) = settings.as_object_mut() {
            settings.retain(|key, _| key != "me" && key != "zone");
        }
        Own {
            site: site.chars().take(16).collect(),
            digest: mark(&settings.to_string()),
            place: whole("settings.me"),
            places: whole("settings.balancers").max(1),
        }
    }
}

pub struct Fleet {
    view: RefCell<View>,
    sharer: RefCell<ShareTracker>,
    share: Cell<Option<Share>>,
    own: RefCell<Own>,
    address: SocketAddr,
    desk: Rc<Desk>,
    stop: Rc<Stop>,
    peer: Rc<Peer>,
    socket: RefCell<Option<Rc<UdpSocket>>>,
    looked: Cell<Timestamp>,
    seeds_read: Cell<Instant>,
    /// Changes of late, the newest last.
    lately: RefCell<Vec<(Timestamp, String)>>,
    /// Something else than a datagram or the view's time is to be seen to.
    moved: Notify,
}

type Parts = (Rc<Desk>, Rc<Stop>, Rc<Peer>);

impl Fleet {
    /// A later life than the one given, if any.
    pub fn new(
        terms: ViewConfig,
        name: &str,
        own: Own,
        (before, seed): (u64, u64),
        (desk, stop, peer): Parts,
    ) -> Rc<Fleet> {
        let now = desk.clock.now();
        let address = terms.address.unwrap_or(terms.listen);
        let life = Generation(now.0.max(before + 1));
        peer.life.set(life.0);
        let card = card(address, &own, Phase::JOINING);
        let sharer = ShareTracker::new(now, terms.timing);
        // Two processes of one node draw differently.
        let view = View::new(now, terms, name, life, card, seed ^ life.0);
        Rc::new(Fleet {
            view: RefCell::new(view),
            sharer: RefCell::new(sharer),
            share: Cell::new(None),
            own: RefCell::new(own),
            address,
            desk,
            stop,
            peer,
            socket: RefCell::new(None),
            looked: Cell::new(Timestamp(0)),
            seeds_read: Cell::new(Instant::now()),
            lately: RefCell::new(Vec::new()),
            moved: Notify::new(),
        })
    }

    /// Whether these terms can be gone by without a new start.
    pub fn may_follow(&self, terms: &ViewConfig) -> Result<(), String> {
        let view = self.view.borrow();
        match (terms.listen, terms.address, &terms.fleet)
            == (view.config.listen, view.config.address, &view.config.fleet)
        {
            true => Ok(()),
            false => Err("fleet: fleet, listen and address take a restart to change".to_owned()),
        }
    }

    /// Goes by another operators' file, and by what the configuration now says of this node.
    pub fn follow(&self, terms: ViewConfig, own: Own) {
        *self.sharer.borrow_mut() = ShareTracker::new(self.desk.clock.now(), terms.timing);
        self.view.borrow_mut().reconfigure(self.desk.clock.now(), terms);
        *self.own.borrow_mut() = own;
        self.looked.set(Timestamp(0));
        self.moved.notify_one();
    }

    /// Keeps the view for as long as the process lives. While a new process of this node has the connections it has
    /// the view too.
    pub async fn run(self: Rc<Fleet>) {
        let mut before = false;
        loop {
            let Some(socket) = self.listen().await else { continue };
            if std::mem::replace(&mut before, true) {
                // The other process is gone, and was of a later life.
                self.view.borrow_mut().raise_generation(self.desk.clock.now(), Generation(0));
            }
            note!("fleet: listening on {}", self.address);
            tokio::select! {
                () = self.keep(&socket) => {}
                () = self.stop.succession(true) => {}
            }
            self.socket.replace(None);
            drop(socket);
            self.stop.succession(false).await;
        }
    }

    async fn listen(&self) -> Option<Rc<UdpSocket>> {
        let at = self.view.borrow().config.listen;
        match UdpSocket::bind(at).await {
            Ok(socket) => {
                let socket = Rc::new(socket);
                self.socket.replace(Some(socket.clone()));
                Some(socket)
            }
            Err(error) => {
                note!("fleet: {at}: {error}");
                sleep(BIND).await;
                None
            }
        }
    }

    async fn keep(&self, socket: &UdpSocket) {
        let mut bytes = [0; MAX_DATAGRAM_BYTES + 1];
        loop {
            self.look();
            self.send(socket);
            let next = self.view.borrow().next_timeout().min(self.looked.get() + LOOK);
            tokio::select! {
                biased;
                () = sleep_until(self.desk.clock.instant(next)) => {
                    let now = self.desk.clock.now();
                    if self.view.borrow().next_timeout() <= now {
                        self.view.borrow_mut().handle_timeout(now);
                    }
                }
                () = self.moved.notified() => {}
                ready = socket.readable() => {
                    if ready.is_ok() && self.read(socket, &mut bytes) == AT_ONCE {
                        sleep(BREATH).await;
                    }
                }
            }
        }
    }

    fn read(&self, socket: &UdpSocket, bytes: &mut [u8]) -> usize {
        for count in 0..AT_ONCE {
            match socket.try_recv_from(bytes) {
                Ok((size, from)) => {
                    self.view.borrow_mut().receive(self.desk.clock.now(), from, &bytes[..size]);
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return count,
                // A datagram sent to nobody comes back as an error of the next one.
                Err(_) => {}
            }
        }
        AT_ONCE
    }

    fn send(&self, socket: &UdpSocket) {
        loop {
            let Some((to, bytes)) = self.view.borrow_mut().next_datagram() else { break };
            // What the kernel has no room for is lost, as anything may be.
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
            // Each kind has its own lines a second: a death is not to be hidden by what led to it.
            match change.kind {
                ChangeKind::Dead | ChangeKind::Left | ChangeKind::NameTaken => note!("fleet: {text}"),
                ChangeKind::Suspected | ChangeKind::Refuted | ChangeKind::SelfRefuted => {
                    note!("fleet: {text}")
                }
                _ => note!("fleet: {text}"),
            }
            let mut lately = self.lately.borrow_mut();
            if lately.len() == KEPT {
                lately.remove(0);
            }
            lately.push((change.at, text));
        }
        self.peer.life.set(self.view.borrow().generation().0);
    }

    /// Tells of this node what is now so, and takes from the view what the decisions may know.
    fn look(&self) {
        let now = self.desk.clock.now();
        if now < self.looked.get() + LOOK {
            return;
        }
        self.looked.set(now);
        self.read_seeds();
        let phase = match () {
            () if self.stop.stopping() => Phase::STOPPING,
            () if !self.desk.told() || !self.peer.ready() => Phase::JOINING,
            () if self.stop.drained() => Phase::DRAINING,
            () if self.peer.beside() => Phase::UPGRADING,
            () => Phase::SERVING,
        };
        let own = self.own.borrow();
        let (in_hand, taken, backends, list, age) = self.desk.load();
        let load = Load {
            in_flight: in_hand as u32,
            accepted: taken.into(),
            backend_count: backends as u32,
            list_version: list,
            list_age_ms: age.map_or(u64::MAX, |age| age.as_millis() as u64),
        };
        let mut view = self.view.borrow_mut();
        view.update_self(&card(self.address, &own, phase), load);
        let share = self.sharer.borrow_mut().update(now, &view, own.places, own.place);
        self.share.set(Some(share));
        if view.config.use_view_share {
            let without = ShareTracker::fallback(own.places, own.place, now);
            let (nodes, me) = (share.nodes, share.index);
            let without = (without.nodes, without.index);
            self.desk.share(Portion { nodes, me, until: share.valid_until, without });
        }
    }

    /// The file of seeds may say something else by now.
    fn read_seeds(&self) {
        if self.seeds_read.get().elapsed() < SEEDS {
            return;
        }
        self.seeds_read.set(Instant::now());
        let mut view = self.view.borrow_mut();
        let Some(file) = view.config.seeds_file.clone() else { return };
        match seeds(&file) {
            Ok(seeds) => view.config.seeds = seeds,
            Err(why) => note!("fleet: the seeds stay as they were: {why}"),
        }
    }

    /// Who is here of each site, of all that are known there, this node among them.
    pub fn sites(&self) -> BySite {
        let (view, share) = (self.view.borrow(), self.share.get());
        let mut of: BTreeMap<String, (u32, u32)> = BTreeMap::new();
        let (mut oldest_elsewhere, own) = (None, view.info().site.clone());
        of.insert(own.clone(), (1, 1));
        for (_, member) in view.members() {
            let here = member.state.is_present();
            let site = of.entry(member.info.site.clone()).or_default();
            *site = (site.0 + u32::from(here), site.1 + 1);
            if here && member.info.site != own {
                let life = oldest_elsewhere.get_or_insert(member.generation.0);
                *life = member.generation.0.min(*life);
            }
        }
        let isolated = view.is_alone() || share.is_some_and(|share| share.reason == ShareReason::NoMajority);
        BySite { of, isolated, oldest_elsewhere }
    }

    /// Says that this node goes, at the end of a planned stop.
    pub fn leave(&self) {
        let socket = self.socket.borrow().clone();
        if let Some(socket) = socket.filter(|_| !self.stop.succeeded()) {
            self.view.borrow_mut().leave(self.desk.clock.now());
            self.send(&socket);
        }
    }

    /// The view for programs: times are spans before now in milliseconds, bytes and counts since the start.
    pub fn told(&self) -> Value {
        let (view, own, now) = (self.view.borrow(), self.own.borrow(), self.desk.clock.now());
        let age = |at: Timestamp| now.since(at).0 / 1000;
        let card = |card: &NodeInfo| {
            json!({"address": card.address, "site": card.site, "build": card.build,
                "settings": format!("{:016x}", card.settings_digest), "phase": card.phase.to_string(),
                "place": card.slot, "places": card.slots})
        };
        let load = |load: &Load| {
            json!({"in_hand": load.in_flight, "taken": load.accepted, "backends": load.backend_count, "list": load.list_version,
                "list_age_ms": load.list_age_ms})
        };
        let member = |(name, m): (&str, &Member)| {
            json!({"name": name, "life": m.generation.0, "edition": m.incarnation.0, "standing": m.state.as_str(),
                "since_ms": age(m.state_since), "by": m.reported_by, "heard_ms": m.last_heard.map(age), "card": card(&m.info),
                "load": m.load.as_ref().map(load), "trip_us": m.rtt.map(|trip| trip.0), "asked": m.probes_sent,
                "lost": m.probes_lost})
        };
        let (counts, portion) = (view.counters(), self.share.get());
        let lately: Vec<Value> =
            self.lately.borrow().iter().map(|(at, text)| json!({"ago_ms": age(*at), "what": text})).collect();
        json!({
            "fleet": view.config.fleet, "name": view.name(), "life": view.generation().0, "edition": view.incarnation().0,
            "card": card(view.info()), "load": load(&view.load()), "here": view.present_count(), "alone": view.is_alone(),
            "displaced": view.displaced_by(), "digest": format!("{:016x}", view.digest()), "trouble": view.local_health_score(),
            "portion": portion.map(|p| json!({"nodes": p.nodes, "me": p.index, "why": p.reason.as_str(),
                "used": view.config.use_view_share, "stated": own.places})),
            "counts": {"heard": counts.datagrams_received, "sent": counts.datagrams_sent, "bytes_sent": counts.bytes_sent,
                "strangers": counts.outside_networks, "other_fleet": counts.other_fleet,
                "other_version": counts.other_version, "malformed": counts.malformed,
                "old_life": counts.old_generation, "no_room": counts.member_limit_reached, "changes": counts.changes,
                "stalls": counts.stalls},
            "members": view.members().map(member).collect::<Vec<_>>(), "lately": lately,
        })
    }

    /// The same for people.
    pub fn page(&self) -> String {
        let (view, now) = (self.view.borrow(), self.desk.clock.now());
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

fn card(address: SocketAddr, own: &Own, phase: Phase) -> NodeInfo {
    NodeInfo {
        address,
        site: own.site.clone(),
        build: build(),
        settings_digest: own.digest,
        phase,
        slot: own.place,
        slots: own.places,
    }
}
