//! The plan for the loss of sites at one process of the node; the rehearsal plays it with several.

#[allow(dead_code)]
mod world;

use serde_json::{json, Value};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering::SeqCst};
use std::thread::sleep;
use std::time::Duration;
use world::*;

static FILES: AtomicUsize = AtomicUsize::new(0);

/// Two sites, of which the other one does most: what this one may be given is soon full.
const PLAN: &str = "headroom = 0.0\nown = 0.5\n\
    [[sites]]\nname = \"here\"\ncapacity = 40.0\n[[sites]]\nname = \"there\"\ncapacity = 400.0\n\
    [[profiles]]\nname = \"pay\"\nwork = 1.0\npayoff = 10.0\ngoal_ms = 200.0\nanswer_ms = 20.0\nfloor = 0.1\n\
    [[profiles]]\nname = \"read\"\nwork = 1.0\npayoff = 1.0\ngoal_ms = 200.0\nanswer_ms = 20.0\n\
    [[demand]]\nsite = \"here\"\nprofile = \"pay\"\nusual = 5.0\nhighest = 10.0\n\
    [[ways]]\nfrom = \"here\"\nto = \"there\"\nms = 10.0\n";

fn with_plan(config: &mut Value) {
    config["admin"] = second_address(config).to_string().into();
    let number = FILES.fetch_add(1, SeqCst);
    let file = std::env::temp_dir().join(format!("yarrowfront-sites-{}-{number}", std::process::id()));
    std::fs::write(&file, PLAN).expect("a file");
    config["sites"] = file.display().to_string().into();
}

struct Planned {
    world: World,
    admin: SocketAddr,
}

impl Drop for Planned {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(self.world.config["sites"].as_str().unwrap_or_default());
    }
}

impl Planned {
    fn new() -> Planned {
        let world = World::new(3, |_| BackendAction::Succeed, with_plan);
        let admin = world.config["admin"].as_str().and_then(|at| at.parse().ok()).expect("an address");
        Planned { world, admin }
    }

    fn told(&self) -> Value {
        serde_json::from_slice(&call_admin(self.admin, "GET /sites").body).expect("JSON")
    }

    /// Commands of both profiles for so long: of each how many came in, of how many, and the times to come back.
    fn ask(&self, millis: u64) -> ([f64; 2], Vec<String>) {
        let start = std::time::Instant::now();
        let (mut good, mut all, mut times) = ([0.0; 2], [0.0; 2], Vec::new());
        while start.elapsed() < Duration::from_millis(millis) {
            for (place, profile) in ["pay", "read"].into_iter().enumerate() {
                let reply = self.world.command(profile);
                all[place] += 1.0;
                good[place] += f64::from(u8::from(reply.status() == 200));
                if reply.status() == 503 {
                    times.push(reply.header("retry-after").unwrap_or_default().to_owned());
                }
            }
            sleep(Duration::from_millis(4));
        }
        ([good[0] / all[0], good[1] / all[1]], times)
    }
}

/// A site that an operator declares lost puts the plan in force: the cheap is turned back first, each with a time of its own
/// to come back; by his word it is over, and all are let in as before.
#[test]
fn declared_lost_and_free() {
    let planned = Planned::new();
    assert_eq!(planned.ask(500).0, [1.0, 1.0], "nothing is lost");
    assert_eq!(planned.told()["in_force"], false);
    assert_eq!(call_admin(planned.admin, "PUT /sites/nowhere/lost").status(), 404);
    assert_eq!(call_admin(planned.admin, "PUT /sites/there/melted").status(), 404);
    assert_eq!(call_admin(planned.admin, "PUT /sites/there/lost").status(), 200);
    wait_until("it is in force", || planned.told()["in_force"] == true);
    planned.ask(2500);
    let (shares, times) = planned.ask(2500);
    assert!(shares[0] > shares[1] + 0.1 && shares[1] < 0.8, "{shares:?} {}", planned.told());
    assert!(
        times.iter().all(|time| time.parse::<f64>().is_ok_and(|s| (0.4..=2.0).contains(&s))),
        "{times:?}"
    );
    let mut apart = times.clone();
    apart.sort();
    apart.dedup();
    assert!(apart.len() * 10 > times.len() * 9 && times.len() > 10, "{} of {}", apart.len(), times.len());
    let told = planned.told();
    assert_eq!(told["sites"][1]["state"], "lost", "{told}");
    assert!(told["turned_back"].as_u64().is_some_and(|count| count >= times.len() as u64), "{told}");
    assert_eq!(call_admin(planned.admin, "PUT /sites/there/free").status(), 200);
}

/// Another plan by SIGHUP, of the same sites alone; a bad one changes nothing. Without a plan there is nothing to call.
#[test]
fn plans_that_change() {
    let mut planned = Planned::new();
    let file = planned.world.config["sites"].as_str().expect("a path").to_owned();
    let config = planned.world.config.to_string();
    let cases = [
        (PLAN.replace("capacity = 40.0", "capacity = 80.0"), "as they were"),
        (PLAN.replace("capacity = 40.0", "capacity = many"), "the old configuration stays: sites"),
        (PLAN.replace("\"there\"", "\"elsewhere\""), "take a restart"),
    ];
    for (text, said) in cases {
        std::fs::write(&file, text).expect("a file");
        let line = planned.world.reload(&config);
        assert!(line.contains(said), "{said}: {line}");
    }
    wait_until("it goes by the other plan", || planned.told()["room"] == json!(80.0));
    let (world, admin) = World::with_admin(1, |_| BackendAction::Succeed);
    assert_eq!(call_admin(admin, "GET /sites").status(), 404);
    assert_eq!(call_admin(admin, "PUT /sites/there/lost").status(), 404);
    drop(world);
}
