//! The plan for a site loss, at one node process; the rehearsal tests it with several nodes.

#[allow(dead_code)]
mod world;

use serde_json::{json, Value};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering::SeqCst};
use std::thread::sleep;
use std::time::Duration;
use world::*;

static FILE_COUNT: AtomicUsize = AtomicUsize::new(0);

/// Two sites, of which the other one has most of the capacity: when it is lost, this one is soon full.
const PLAN: &str = "headroom = 0.0\nown = 0.5\n\
    [[sites]]\nname = \"here\"\ncapacity = 40.0\n[[sites]]\nname = \"there\"\ncapacity = 400.0\n\
    [[profiles]]\nname = \"pay\"\nwork = 1.0\npayoff = 10.0\ngoal_ms = 200.0\nanswer_ms = 20.0\nfloor = 0.1\n\
    [[profiles]]\nname = \"read\"\nwork = 1.0\npayoff = 1.0\ngoal_ms = 200.0\nanswer_ms = 20.0\n\
    [[demand]]\nsite = \"here\"\nprofile = \"pay\"\nusual = 5.0\nhighest = 10.0\n\
    [[ways]]\nfrom = \"here\"\nto = \"there\"\nms = 10.0\n";

fn with_site_plan(config: &mut Value) {
    config["admin"] = free_admin_address(config).to_string().into();
    let number = FILE_COUNT.fetch_add(1, SeqCst);
    let file = std::env::temp_dir().join(format!("yarrowfront-sites-{}-{number}", std::process::id()));
    std::fs::write(&file, PLAN).expect("a file");
    config["sites"] = file.display().to_string().into();
}

struct NodeWithPlan {
    fixture: NodeFixture,
    admin: SocketAddr,
}

impl Drop for NodeWithPlan {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(self.fixture.config["sites"].as_str().unwrap_or_default());
    }
}

impl NodeWithPlan {
    fn new() -> NodeWithPlan {
        let fixture = NodeFixture::new(3, |_| BackendAction::Succeed, with_site_plan);
        let admin = fixture.config["admin"].as_str().and_then(|at| at.parse().ok()).expect("an address");
        NodeWithPlan { fixture, admin }
    }

    fn site_status(&self) -> Value {
        serde_json::from_slice(&call_admin(self.admin, "GET /sites").body).expect("JSON")
    }

    /// Sends commands of both profiles for this time. Returns the share of each profile that succeeded, and the values of
    /// all `retry-after` headers.
    fn load_for(&self, duration_ms: u64) -> ([f64; 2], Vec<String>) {
        let start = std::time::Instant::now();
        let (mut succeeded, mut total, mut retry_times) = ([0.0; 2], [0.0; 2], Vec::new());
        while start.elapsed() < Duration::from_millis(duration_ms) {
            for (index, profile) in ["pay", "read"].into_iter().enumerate() {
                let reply = self.fixture.send_command(profile);
                total[index] += 1.0;
                succeeded[index] += f64::from(u8::from(reply.status() == 200));
                if reply.status() == 503 {
                    retry_times.push(reply.header("retry-after").unwrap_or_default().to_owned());
                }
            }
            sleep(Duration::from_millis(4));
        }
        ([succeeded[0] / total[0], succeeded[1] / total[1]], retry_times)
    }
}

/// When an operator declares a site lost, the plan takes effect: the profile with the lower payoff is rejected first, each
/// command with a retry time of its own. When the operator ends the declaration, all commands are admitted as before.
#[test]
fn a_declared_site_loss_rejects_the_cheaper_profile_first() {
    let node = NodeWithPlan::new();
    assert_eq!(node.load_for(500).0, [1.0, 1.0], "nothing is lost");
    assert_eq!(node.site_status()["in_force"], false);
    assert_eq!(call_admin(node.admin, "PUT /sites/nowhere/lost").status(), 404);
    assert_eq!(call_admin(node.admin, "PUT /sites/there/melted").status(), 404);
    assert_eq!(call_admin(node.admin, "PUT /sites/there/lost").status(), 200);
    wait_until("the plan to take effect", || node.site_status()["in_force"] == true);
    node.load_for(2500);
    let (shares, retry_times) = node.load_for(2500);
    assert!(shares[0] > shares[1] + 0.1 && shares[1] < 0.8, "{shares:?} {}", node.site_status());
    assert!(
        retry_times.iter().all(|time| time.parse::<f64>().is_ok_and(|s| (0.4..=2.0).contains(&s))),
        "{retry_times:?}"
    );
    let mut distinct = retry_times.clone();
    distinct.sort();
    distinct.dedup();
    assert!(
        distinct.len() * 10 > retry_times.len() * 9 && retry_times.len() > 10,
        "{} of {}",
        distinct.len(),
        retry_times.len()
    );
    let status = node.site_status();
    assert_eq!(status["sites"][1]["state"], "lost", "{status}");
    assert!(
        status["turned_back"].as_u64().is_some_and(|count| count >= retry_times.len() as u64),
        "{status}"
    );
    assert_eq!(call_admin(node.admin, "PUT /sites/there/free").status(), 200);
}

/// SIGHUP loads another plan if it has the same sites; an invalid plan changes nothing. Without a plan the admin calls answer
/// 404.
#[test]
fn plans_are_reloaded_if_their_sites_stay() {
    let mut node = NodeWithPlan::new();
    let file = node.fixture.config["sites"].as_str().expect("a path").to_owned();
    let config = node.fixture.config.to_string();
    let cases = [
        (PLAN.replace("capacity = 40.0", "capacity = 80.0"), "as they were"),
        (PLAN.replace("capacity = 40.0", "capacity = many"), "the old configuration stays: sites"),
        (PLAN.replace("\"there\"", "\"elsewhere\""), "take a restart"),
    ];
    for (text, said) in cases {
        std::fs::write(&file, text).expect("a file");
        let line = node.fixture.reload(&config);
        assert!(line.contains(said), "{said}: {line}");
    }
    wait_until("the other plan to take effect", || node.site_status()["room"] == json!(80.0));
    let (fixture, admin) = NodeFixture::with_admin(1, |_| BackendAction::Succeed);
    assert_eq!(call_admin(admin, "GET /sites").status(), 404);
    assert_eq!(call_admin(admin, "PUT /sites/there/lost").status(), 404);
    drop(fixture);
}
