//! Faults on the ways between processes and on nodes' processes, by a schedule; and what nodes tell of each other meanwhile.

use crate::judge::views::FleetReport;
use crate::real::nodes::Crew;
use crate::real::stage::Stage;
use crate::scenario::Scenario;
use crate::span::Time;
use bytes::Bytes;
use http_body_util::{BodyExt, Empty};
use hyper::client::conn::http1::handshake;
use hyper::Request;
use hyper_util::rt::TokioIo;
use links::schedule::{apply_to_links, Fault, Schedule};
use links::Links;
use std::collections::{BTreeMap, HashMap};
use std::fmt::Write as _;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::task::{spawn_local, JoinSet};
use tokio::time::{sleep, timeout};

const HERE: IpAddr = IpAddr::V4(Ipv4Addr::LOCALHOST);
/// Between two looks at what nodes tell of each other, and how long one may take.
const LOOK: Duration = Duration::from_millis(200);
const ANSWER: Duration = Duration::from_millis(300);

pub fn at(port: u16) -> SocketAddr {
    SocketAddr::new(HERE, port)
}

/// The ways of a play, each pair's own; without faults to come there is none, and all go straight.
pub struct Ways {
    links: Option<Links>,
    opened: std::cell::RefCell<HashMap<(String, String, u16), u16>>,
}

impl Ways {
    pub fn new(scenario: &Scenario, seed: u64) -> Ways {
        Ways { links: scenario.needs_processes().then(|| Links::new(seed)), opened: Default::default() }
    }

    pub fn links(&self) -> Option<&Links> {
        self.links.as_ref()
    }

    /// Where one has to connect to reach the other, who listens on that port.
    pub fn tcp(&self, from: &str, to: &str, port: u16) -> Result<u16, String> {
        self.way(from, to, port, |links| links.open_tcp(from, to, at(port), HERE))
    }

    /// Where one has to send datagrams for the other.
    pub fn udp(&self, from: &str, to: &str, port: u16) -> Result<u16, String> {
        self.way(from, to, port, |links| links.open_udp(from, to, at(port), HERE))
    }

    fn way(
        &self,
        from: &str,
        to: &str,
        port: u16,
        open: impl Fn(&Links) -> std::io::Result<SocketAddr>,
    ) -> Result<u16, String> {
        let Some(links) = &self.links else { return Ok(port) };
        let key = (from.to_owned(), to.to_owned(), port);
        if let Some(way) = self.opened.borrow().get(&key) {
            return Ok(*way);
        }
        let way = open(links).map_err(|e| format!("a way from {from} to {to}: {e}"))?.port();
        self.opened.borrow_mut().insert(key, way);
        Ok(way)
    }
}

/// The operators' file of a node's view: every other member over its way, the first two as seeds.
pub fn view_file(
    scenario: &Scenario,
    ways: &Ways,
    node: usize,
    udp: &[u16],
) -> Result<Option<String>, String> {
    let Some(view) = &scenario.view else { return Ok(None) };
    let name = |node: usize| format!("n{node}");
    let mut via = String::new();
    let mut seeds = Vec::new();
    for (other, port) in udp.iter().enumerate().filter(|(other, _)| *other != node) {
        let way = at(ways.udp(&name(node), &name(other), *port)?);
        let _ = writeln!(via, "n{other} = \"{way}\"");
        if other < 2 {
            seeds.push(format!("\"{way}\""));
        }
    }
    let millis = |time: Time| time.0 / 1000;
    Ok(Some(format!(
        "fleet = \"rehearsal\"\nlisten = \"{}\"\nnetworks = [\"127.0.0.0/8\"]\nseeds = [{}]\n\
         [times]\nperiod = {}\nseeds = 500\nsure = {}\nrelease = {}\n[via]\n{via}",
        at(udp[node]),
        seeds.join(", "),
        millis(view.period),
        millis(view.sure),
        millis(view.release),
    )))
}

/// Does what the schedule says, each at its time.
pub async fn run_faults(stage: Rc<Stage>, schedule: Schedule, crew: Crew) {
    let nodes: Vec<String> = (0..stage.scenario.nodes).map(|node| format!("n{node}")).collect();
    for step in &schedule.0 {
        sleep(stage.until(Time::millis(step.at_ms))).await;
        stage.view(|views, now| views.observe_fault(now, &step.fault));
        let number = |name: &String| name.trim_start_matches('n').parse::<usize>().unwrap_or_default();
        match &step.fault {
            Fault::Kill(one) => crew.kill(number(one)),
            Fault::Terminate(one) => crew.stop(number(one)),
            Fault::Pause(one) => crew.pause(number(one)),
            Fault::Resume(one) => crew.go_on(number(one)),
            Fault::Start(one) => {
                let (crew, stage, node) = (crew.clone(), stage.clone(), number(one));
                spawn_local(async move {
                    if let Err(why) = crew.start(node).await {
                        stage.fail(why);
                    }
                });
            }
            fault => {
                // Backends, discovery and clients are met only where they are named.
                let others = fault.targets().into_iter().filter(|name| !nodes.contains(name)).cloned();
                let names: Vec<String> = nodes.iter().cloned().chain(others).collect();
                if let Some(links) = stage.ways.links() {
                    apply_to_links(fault, links, &names);
                }
            }
        }
    }
}

/// Tells the judge what all nodes say of each other, again and again.
pub async fn watch(stage: Rc<Stage>, crew: Crew) {
    loop {
        let mut asked = JoinSet::new();
        for (node, port) in crew.seconds() {
            asked.spawn_local(async move { (node, timeout(ANSWER, ask(port)).await.ok().flatten()) });
        }
        let mut told: BTreeMap<usize, FleetReport> = BTreeMap::new();
        while let Some(Ok((node, view))) = asked.join_next().await {
            told.extend(view.map(|view| (node, view)));
        }
        stage.view(|views, now| views.observe_reports(now, &told));
        sleep(LOOK).await;
    }
}

async fn ask(port: u16) -> Option<FleetReport> {
    let stream = TcpStream::connect(at(port)).await.ok()?;
    let (mut sender, connection) = handshake(TokioIo::new(stream)).await.ok()?;
    spawn_local(async move {
        let _ = connection.await;
    });
    let request = Request::get("/fleet").header("host", "node").body(Empty::<Bytes>::new()).ok()?;
    let body = sender.send_request(request).await.ok()?.into_body().collect().await.ok()?.to_bytes();
    FleetReport::from_json(&serde_json::from_slice(&body).ok()?)
}
