//! The links between processes, scheduled faults on these and on node processes, and polling of the nodes' fleet views.

use crate::judge::views::FleetReport;
use crate::real::harness::Harness;
use crate::real::nodes::NodeSupervisor;
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

const LOOPBACK: IpAddr = IpAddr::V4(Ipv4Addr::LOCALHOST);
/// Interval between two polls of all nodes' fleet views.
const VIEW_POLL_INTERVAL: Duration = Duration::from_millis(200);
/// Time limit of one request for a view.
const VIEW_REQUEST_TIMEOUT: Duration = Duration::from_millis(300);

pub fn loopback_address(port: u16) -> SocketAddr {
    SocketAddr::new(LOOPBACK, port)
}

/// The links of a run, one for each pair of processes and port. A scenario that could be played without processes has none:
/// its processes connect directly.
pub struct ProcessLinks {
    links: Option<Links>,
    relay_ports: std::cell::RefCell<HashMap<(String, String, u16), u16>>,
}

impl ProcessLinks {
    pub fn new(scenario: &Scenario, seed: u64) -> ProcessLinks {
        ProcessLinks {
            links: scenario.needs_processes().then(|| Links::new(seed)),
            relay_ports: Default::default(),
        }
    }

    pub fn links(&self) -> Option<&Links> {
        self.links.as_ref()
    }

    /// The port to which `from` connects to reach `to`, which listens on `port`.
    pub fn tcp_port(&self, from: &str, to: &str, port: u16) -> Result<u16, String> {
        self.relay_port(from, to, port, |links| links.open_tcp(from, to, loopback_address(port), LOOPBACK))
    }

    /// The port to which `from` sends datagrams for `to`, which receives them on `port`.
    pub fn udp_port(&self, from: &str, to: &str, port: u16) -> Result<u16, String> {
        self.relay_port(from, to, port, |links| links.open_udp(from, to, loopback_address(port), LOOPBACK))
    }

    fn relay_port(
        &self,
        from: &str,
        to: &str,
        port: u16,
        open_relay: impl Fn(&Links) -> std::io::Result<SocketAddr>,
    ) -> Result<u16, String> {
        let Some(links) = &self.links else { return Ok(port) };
        let key = (from.to_owned(), to.to_owned(), port);
        if let Some(relay_port) = self.relay_ports.borrow().get(&key) {
            return Ok(*relay_port);
        }
        let relay_port =
            open_relay(links).map_err(|e| format!("cannot open a link from {from} to {to}: {e}"))?.port();
        self.relay_ports.borrow_mut().insert(key, relay_port);
        Ok(relay_port)
    }
}

/// The membership file of a node: every other member has an address override to its link, the first two are seeds.
pub fn membership_file(
    scenario: &Scenario,
    process_links: &ProcessLinks,
    node: usize,
    udp_ports: &[u16],
) -> Result<Option<String>, String> {
    let Some(view) = &scenario.view else { return Ok(None) };
    let name = |node: usize| format!("n{node}");
    let mut overrides = String::new();
    let mut seeds = Vec::new();
    for (other, port) in udp_ports.iter().enumerate().filter(|(other, _)| *other != node) {
        let address = loopback_address(process_links.udp_port(&name(node), &name(other), *port)?);
        let _ = writeln!(overrides, "n{other} = \"{address}\"");
        if other < 2 {
            seeds.push(format!("\"{address}\""));
        }
    }
    let millis = |time: Time| time.0 / 1000;
    Ok(Some(format!(
        "fleet = \"rehearsal\"\nlisten = \"{}\"\nnetworks = [\"127.0.0.0/8\"]\nseeds = [{}]\n\
         [times]\nperiod = {}\nseeds = 500\nsure = {}\nrelease = {}\n[via]\n{overrides}",
        loopback_address(udp_ports[node]),
        seeds.join(", "),
        millis(view.period),
        millis(view.sure),
        millis(view.release),
    )))
}

/// Applies the faults of the schedule, each at its time.
pub async fn inject_faults(harness: Rc<Harness>, schedule: Schedule, supervisor: NodeSupervisor) {
    let node_names: Vec<String> = (0..harness.scenario.nodes).map(|node| format!("n{node}")).collect();
    for scheduled in &schedule.0 {
        sleep(harness.duration_until(Time::millis(scheduled.at_ms))).await;
        harness.with_view_judge(|views, now| views.observe_fault(now, &scheduled.fault));
        let node_index = |name: &String| name.trim_start_matches('n').parse::<usize>().unwrap_or_default();
        match &scheduled.fault {
            Fault::Kill(name) => supervisor.kill(node_index(name)),
            Fault::Terminate(name) => supervisor.stop(node_index(name)),
            Fault::Pause(name) => supervisor.pause(node_index(name)),
            Fault::Resume(name) => supervisor.resume(node_index(name)),
            Fault::Start(name) => {
                let (supervisor, harness, node) = (supervisor.clone(), harness.clone(), node_index(name));
                spawn_local(async move {
                    if let Err(reason) = supervisor.start(node).await {
                        harness.report_error(reason);
                    }
                });
            }
            fault => {
                // Backends, discovery and clients are affected only where the fault names them.
                let other_names =
                    fault.targets().into_iter().filter(|name| !node_names.contains(name)).cloned();
                let affected: Vec<String> = node_names.iter().cloned().chain(other_names).collect();
                if let Some(links) = harness.process_links.links() {
                    apply_to_links(fault, links, &affected);
                }
            }
        }
    }
}

/// Regularly gives the judge what all nodes report of each other.
pub async fn poll_views(harness: Rc<Harness>, supervisor: NodeSupervisor) {
    loop {
        let mut requests = JoinSet::new();
        for (node, port) in supervisor.admin_ports() {
            requests.spawn_local(async move {
                (node, timeout(VIEW_REQUEST_TIMEOUT, request_view(port)).await.ok().flatten())
            });
        }
        let mut reports: BTreeMap<usize, FleetReport> = BTreeMap::new();
        while let Some(Ok((node, report))) = requests.join_next().await {
            reports.extend(report.map(|report| (node, report)));
        }
        harness.with_view_judge(|views, now| views.observe_reports(now, &reports));
        sleep(VIEW_POLL_INTERVAL).await;
    }
}

async fn request_view(port: u16) -> Option<FleetReport> {
    let stream = TcpStream::connect(loopback_address(port)).await.ok()?;
    let (mut sender, connection) = handshake(TokioIo::new(stream)).await.ok()?;
    spawn_local(async move {
        let _ = connection.await;
    });
    let request = Request::get("/fleet").header("host", "node").body(Empty::<Bytes>::new()).ok()?;
    let body = sender.send_request(request).await.ok()?.into_body().collect().await.ok()?.to_bytes();
    FleetReport::from_json(&serde_json::from_slice(&body).ok()?)
}
