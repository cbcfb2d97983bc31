//! Counts, and settings on trial, at one process of the node; `crates/rollout-run` has the tests of several.

#[allow(dead_code)]
mod world;

use serde_json::{json, Value};
use std::io::Write;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering::SeqCst};
use std::thread::sleep;
use std::time::Duration;
use world::*;

static FILES: AtomicUsize = AtomicUsize::new(0);

/// A second address, and an operators' file whose term is remembered beside it.
fn with_trials(config: &mut Value) {
    config["admin"] = second_address(config).to_string().into();
    let number = FILES.fetch_add(1, SeqCst);
    let file = std::env::temp_dir().join(format!("yarrowfront-rollout-{}-{number}", std::process::id()));
    let term = file.with_extension("term");
    let _ = std::fs::remove_file(&term);
    std::fs::write(&file, format!("term_file = {:?}\n", term.display().to_string())).expect("a file");
    config["rollout"] = file.display().to_string().into();
}

struct Tried {
    world: World,
    admin: SocketAddr,
}

impl Drop for Tried {
    fn drop(&mut self) {
        let file = self.world.config["rollout"].as_str().unwrap_or_default().to_owned();
        let _ = (std::fs::remove_file(&file), std::fs::remove_file(file + ".term"));
    }
}

impl Tried {
    fn new() -> Tried {
        let world = World::new(2, |_| BackendAction::Succeed, with_trials);
        let admin = world.config["admin"].as_str().and_then(|at| at.parse().ok()).expect("an address");
        Tried { world, admin }
    }

    fn counts(&self, after: u64) -> Value {
        serde_json::from_slice(&call_admin(self.admin, &format!("GET /counts/{after}")).body).expect("JSON")
    }

    /// A leader's word: the status, and what is said.
    fn say(&self, term: u64, word: Value) -> (u16, String) {
        let mut body = word;
        (body["term"], body["by"]) = (term.into(), "a test".into());
        let body = body.to_string();
        let mut stream = dial(self.admin);
        let head = format!("PUT /rollout HTTP/1.1\r\nHost: n\r\nContent-Length: {}\r\n\r\n", body.len());
        stream.write_all((head + &body).as_bytes()).expect("written");
        let reply = read_message(&mut stream).expect("an answer");
        (reply.status(), String::from_utf8_lossy(&reply.body).into_owned())
    }

    fn digest(&self) -> String {
        self.counts(0)["settings"].as_str().expect("a digest").to_owned()
    }

    /// The settings with another payoff.
    fn other(&self, payoff: f64) -> Value {
        let mut settings = self.world.config["settings"].clone();
        settings["profiles"][0]["payoff"] = payoff.into();
        settings
    }
}

/// Counts tell what clients saw; a second is told once; without the file nothing is counted and no trial is taken.
#[test]
fn counts_of_commands() {
    let tried = Tried::new();
    for profile in ["read", "pay", "pay"] {
        assert_eq!(tried.world.command(profile).status(), 200);
    }
    sleep(Duration::from_millis(1100));
    let counts = tried.counts(0);
    let profiles = &counts["total"]["profiles"];
    assert_eq!([&profiles["pay"]["in_goal"], &profiles["read"]["taken"]], [&json!(2), &json!(1)], "{counts}");
    assert_eq!(counts["total"]["outcomes"]["finished"], 3, "{counts}");
    assert_eq!(
        (&counts["name"], &counts["state"], &counts["trial"]),
        (&json!("n1"), &json!("serving"), &Value::Null)
    );
    assert!(counts["memory_kb"].as_u64().is_some_and(|kb| kb > 500), "{counts}");
    assert!(counts["descriptors"].as_u64().is_some_and(|open| open > 5), "{counts}");
    let seconds = counts["seconds"].as_array().expect("seconds");
    let taken = |second: &Value| {
        let by = second["profiles"].as_object().expect("profiles").values();
        by.filter_map(|tally| tally["taken"].as_u64()).sum::<u64>()
    };
    assert_eq!(seconds.iter().map(taken).sum::<u64>(), 3, "{counts}");
    let last = seconds.last().and_then(|second| second["at"].as_u64()).expect("a second");
    let later = tried.counts(last);
    assert!(
        later["seconds"].as_array().is_some_and(|s| s.iter().all(|second| taken(second) == 0)),
        "{later}"
    );
    let (world, admin) = World::with_admin(1, |_| BackendAction::Succeed);
    assert_eq!(call_admin(admin, "GET /counts").status(), 404);
    assert_eq!(call_admin(admin, "PUT /rollout").status(), 404);
    drop(world);
}

/// Settings on trial hold until their leader is silent for too long, and then the former ones do again; what is
/// bad, comes from another leader or after other settings than the node has changes nothing.
#[test]
fn on_trial_and_back() {
    let mut tried = Tried::new();
    let (former, other) = (tried.digest(), tried.other(3.0));
    let attempt = |from: &str, settings: &Value, for_ms: u64| json!({"what": "try", "from": from, "settings": settings, "for_ms": for_ms});
    assert_eq!(tried.say(1, attempt(&former, &other, 900)).0, 409, "it does not lead");
    assert_eq!(tried.say(1, json!({"what": "lead"})).0, 200);
    assert_eq!(tried.say(1, attempt("0123", &other, 900)).0, 409, "the node has other settings");
    assert_eq!(tried.say(1, attempt(&former, &json!({"balancers": 1}), 900)).0, 422);
    assert_eq!(tried.say(9, json!({"what": "weigh", "settings": {"balancers": 1}})).0, 422);
    let (status, weighed) = tried.say(9, json!({"what": "weigh", "settings": other}));
    assert_eq!(status, 200, "{weighed}");
    assert_eq!(tried.say(1, attempt(&former, &other, 900_000_000)).0, 400);
    assert_eq!(tried.say(1, json!({"what": "dance"})).0, 400);
    assert_eq!(tried.digest(), former);
    let (status, said) = tried.say(1, attempt(&former, &other, 900));
    assert_eq!(status, 200, "{said}");
    let changed = tried.digest();
    assert!(changed != former && weighed.trim() == changed, "{weighed} {changed}");
    let told: Value = serde_json::from_slice(&call_admin(tried.admin, "GET /settings").body).expect("JSON");
    assert_eq!(told["profiles"][0]["payoff"], 3.0);
    assert_eq!(tried.say(1, attempt(&former, &other, 900)).0, 200, "told again it is the same");
    assert_eq!(tried.world.command("read").status(), 200);
    let file = tried.world.config.to_string();
    assert!(tried.world.reload(&file).contains("on trial"));
    for _ in 0..4 {
        sleep(Duration::from_millis(400));
        assert_eq!(tried.say(1, json!({"what": "keep", "for_ms": 900})).0, 200);
    }
    assert_eq!(tried.digest(), changed, "its leader has said so");
    assert_eq!(tried.say(2, json!({"what": "lead"})).0, 200);
    assert_eq!(tried.say(1, json!({"what": "keep", "for_ms": 900})).0, 409, "another leads");
    wait_until("it goes back by itself", || tried.digest() == former);
    assert_eq!(tried.counts(0)["lapsed"], 1);
    assert_eq!(tried.say(2, json!({"what": "keep", "for_ms": 900})).0, 409, "nothing is on trial");
    assert_eq!(tried.say(2, attempt(&former, &other, 9000)).0, 200);
    assert_eq!(tried.say(2, json!({"what": "back"})).0, 200);
    assert_eq!((tried.digest(), &tried.counts(0)["trial"]), (former, &Value::Null));
}

/// Settings that are confirmed hold after a restart, the node's own place in them too; those on trial do not, and its
/// leader's term does.
#[test]
fn confirmed_for_good() {
    let mut tried = Tried::new();
    let former = tried.digest();
    let mut other = tried.other(5.0);
    other["me"] = 7.into();
    let attempt =
        |from: &str, other: &Value| json!({"what": "try", "from": from, "settings": other, "for_ms": 60_000});
    let restart = |tried: &mut Tried| {
        let _ = tried.world.node.kill();
        let _ = tried.world.node.wait();
        let file = tried.world.folder.join("config.json");
        tried.world.node = start_node_in(&tried.world.folder, &file, &[]);
        wait_until_ready(tried.admin);
    };
    assert_eq!(tried.say(6, json!({"what": "lead"})).0, 200);
    assert_eq!(tried.say(6, attempt(&former, &other)).0, 200);
    restart(&mut tried);
    assert_eq!((tried.digest(), tried.counts(0)["term"].clone()), (former.clone(), json!(6)));
    assert_eq!(tried.say(5, json!({"what": "lead"})).0, 409);
    assert_eq!(tried.say(6, attempt(&former, &other)).0, 200);
    assert_eq!(tried.say(6, json!({"what": "confirm"})).0, 200);
    let changed = tried.digest();
    restart(&mut tried);
    assert_eq!(tried.digest(), changed);
    let file = std::fs::read(tried.world.folder.join("config.json")).expect("a file");
    let file: Value = serde_json::from_slice(&file).expect("JSON");
    assert_eq!(file["settings"]["profiles"][0]["payoff"], 5.0);
    assert_eq!(file["settings"]["me"], tried.world.config["settings"]["me"], "its place is its own");
    assert_eq!(file["listen"], tried.world.config["listen"]);
}
