//! Command counts and settings on trial at one node process; `crates/rollout-run` has the tests with several.

#[allow(dead_code)]
mod world;

use serde_json::{json, Value};
use std::io::Write;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering::SeqCst};
use std::thread::sleep;
use std::time::Duration;
use world::*;

static FILE_COUNT: AtomicUsize = AtomicUsize::new(0);

/// Adds an admin address and a rollout file; the term of the leader is stored in a file beside it.
fn with_rollout_file(config: &mut Value) {
    config["admin"] = free_admin_address(config).to_string().into();
    let number = FILE_COUNT.fetch_add(1, SeqCst);
    let file = std::env::temp_dir().join(format!("yarrowfront-rollout-{}-{number}", std::process::id()));
    let term = file.with_extension("term");
    let _ = std::fs::remove_file(&term);
    std::fs::write(&file, format!("term_file = {:?}\n", term.display().to_string())).expect("a file");
    config["rollout"] = file.display().to_string().into();
}

struct TrialNode {
    fixture: NodeFixture,
    admin: SocketAddr,
}

impl Drop for TrialNode {
    fn drop(&mut self) {
        let file = self.fixture.config["rollout"].as_str().unwrap_or_default().to_owned();
        let _ = (std::fs::remove_file(&file), std::fs::remove_file(file + ".term"));
    }
}

impl TrialNode {
    fn new() -> TrialNode {
        let fixture = NodeFixture::new(2, |_| BackendAction::Succeed, with_rollout_file);
        let admin = fixture.config["admin"].as_str().and_then(|at| at.parse().ok()).expect("an address");
        TrialNode { fixture, admin }
    }

    fn counts(&self, after: u64) -> Value {
        serde_json::from_slice(&call_admin(self.admin, &format!("GET /counts/{after}")).body).expect("JSON")
    }

    /// Sends an instruction of a rollout leader. Returns the status and the body of the answer.
    fn send_instruction(&self, term: u64, instruction: Value) -> (u16, String) {
        let mut body = instruction;
        (body["term"], body["by"]) = (term.into(), "a test".into());
        let body = body.to_string();
        let mut stream = connect_to(self.admin);
        let head = format!("PUT /rollout HTTP/1.1\r\nHost: n\r\nContent-Length: {}\r\n\r\n", body.len());
        stream.write_all((head + &body).as_bytes()).expect("written");
        let reply = read_message(&mut stream).expect("an answer");
        (reply.status(), String::from_utf8_lossy(&reply.body).into_owned())
    }

    fn settings_digest(&self) -> String {
        self.counts(0)["settings"].as_str().expect("a digest").to_owned()
    }

    /// The node's settings with another payoff of the first profile.
    fn settings_with_payoff(&self, payoff: f64) -> Value {
        let mut settings = self.fixture.config["settings"].clone();
        settings["profiles"][0]["payoff"] = payoff.into();
        settings
    }
}

/// The counts match what clients saw, and each second is reported once. Without a rollout file nothing is counted and no trial
/// is accepted.
#[test]
fn counts_match_the_commands() {
    let node = TrialNode::new();
    for profile in ["read", "pay", "pay"] {
        assert_eq!(node.fixture.send_command(profile).status(), 200);
    }
    sleep(Duration::from_millis(1100));
    let counts = node.counts(0);
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
    let commands_in = |second: &Value| {
        let by = second["profiles"].as_object().expect("profiles").values();
        by.filter_map(|tally| tally["taken"].as_u64()).sum::<u64>()
    };
    assert_eq!(seconds.iter().map(commands_in).sum::<u64>(), 3, "{counts}");
    let last = seconds.last().and_then(|second| second["at"].as_u64()).expect("a second");
    let later = node.counts(last);
    assert!(
        later["seconds"].as_array().is_some_and(|s| s.iter().all(|second| commands_in(second) == 0)),
        "{later}"
    );
    let (fixture, admin) = NodeFixture::with_admin(1, |_| BackendAction::Succeed);
    assert_eq!(call_admin(admin, "GET /counts").status(), 404);
    assert_eq!(call_admin(admin, "PUT /rollout").status(), 404);
    drop(fixture);
}

/// Settings on trial stay until their leader has not renewed them in time; then the former ones return. Instructions that are
/// invalid, come from another leader or start from settings that the node does not have change nothing.
#[test]
fn settings_on_trial_lapse_without_their_leader() {
    let mut node = TrialNode::new();
    let (former, other) = (node.settings_digest(), node.settings_with_payoff(3.0));
    let try_instruction = |from: &str, settings: &Value, lease_ms: u64| json!({"what": "try", "from": from, "settings": settings, "for_ms": lease_ms});
    assert_eq!(
        node.send_instruction(1, try_instruction(&former, &other, 900)).0,
        409,
        "it is not the leader"
    );
    assert_eq!(node.send_instruction(1, json!({"what": "lead"})).0, 200);
    assert_eq!(
        node.send_instruction(1, try_instruction("0123", &other, 900)).0,
        409,
        "the node has other settings"
    );
    assert_eq!(node.send_instruction(1, try_instruction(&former, &json!({"balancers": 1}), 900)).0, 422);
    assert_eq!(node.send_instruction(9, json!({"what": "weigh", "settings": {"balancers": 1}})).0, 422);
    let (status, weighed) = node.send_instruction(9, json!({"what": "weigh", "settings": other}));
    assert_eq!(status, 200, "{weighed}");
    assert_eq!(node.send_instruction(1, try_instruction(&former, &other, 900_000_000)).0, 400);
    assert_eq!(node.send_instruction(1, json!({"what": "dance"})).0, 400);
    assert_eq!(node.settings_digest(), former);
    let (status, answer) = node.send_instruction(1, try_instruction(&former, &other, 900));
    assert_eq!(status, 200, "{answer}");
    let changed = node.settings_digest();
    assert!(changed != former && weighed.trim() == changed, "{weighed} {changed}");
    let shown: Value = serde_json::from_slice(&call_admin(node.admin, "GET /settings").body).expect("JSON");
    assert_eq!(shown["profiles"][0]["payoff"], 3.0);
    assert_eq!(
        node.send_instruction(1, try_instruction(&former, &other, 900)).0,
        200,
        "the same instruction again changes nothing"
    );
    assert_eq!(node.fixture.send_command("read").status(), 200);
    let file = node.fixture.config.to_string();
    assert!(node.fixture.reload(&file).contains("on trial"));
    for _ in 0..4 {
        sleep(Duration::from_millis(400));
        assert_eq!(node.send_instruction(1, json!({"what": "keep", "for_ms": 900})).0, 200);
    }
    assert_eq!(node.settings_digest(), changed, "its leader renews it");
    assert_eq!(node.send_instruction(2, json!({"what": "lead"})).0, 200);
    assert_eq!(
        node.send_instruction(1, json!({"what": "keep", "for_ms": 900})).0,
        409,
        "another one is the leader"
    );
    wait_until("the former settings", || node.settings_digest() == former);
    assert_eq!(node.counts(0)["lapsed"], 1);
    assert_eq!(
        node.send_instruction(2, json!({"what": "keep", "for_ms": 900})).0,
        409,
        "nothing is on trial"
    );
    assert_eq!(node.send_instruction(2, try_instruction(&former, &other, 9000)).0, 200);
    assert_eq!(node.send_instruction(2, json!({"what": "back"})).0, 200);
    assert_eq!((node.settings_digest(), &node.counts(0)["trial"]), (former, &Value::Null));
}

/// Confirmed settings survive a restart and keep the node's own index; settings on trial do not survive it, but the term of
/// their leader does.
#[test]
fn confirmed_settings_survive_a_restart() {
    let mut node = TrialNode::new();
    let former = node.settings_digest();
    let mut other = node.settings_with_payoff(5.0);
    other["me"] = 7.into();
    let try_instruction = |from: &str, settings: &Value| json!({"what": "try", "from": from, "settings": settings, "for_ms": 60_000});
    let restart = |node: &mut TrialNode| {
        let _ = node.fixture.process.kill();
        let _ = node.fixture.process.wait();
        let file = node.fixture.dir.join("config.json");
        node.fixture.process = start_node_in(&node.fixture.dir, &file, &[]);
        wait_until_ready(node.admin);
    };
    assert_eq!(node.send_instruction(6, json!({"what": "lead"})).0, 200);
    assert_eq!(node.send_instruction(6, try_instruction(&former, &other)).0, 200);
    restart(&mut node);
    assert_eq!((node.settings_digest(), node.counts(0)["term"].clone()), (former.clone(), json!(6)));
    assert_eq!(node.send_instruction(5, json!({"what": "lead"})).0, 409);
    assert_eq!(node.send_instruction(6, try_instruction(&former, &other)).0, 200);
    assert_eq!(node.send_instruction(6, json!({"what": "confirm"})).0, 200);
    let changed = node.settings_digest();
    restart(&mut node);
    assert_eq!(node.settings_digest(), changed);
    let file = std::fs::read(node.fixture.dir.join("config.json")).expect("a file");
    let file: Value = serde_json::from_slice(&file).expect("JSON");
    assert_eq!(file["settings"]["profiles"][0]["payoff"], 5.0);
    assert_eq!(file["settings"]["me"], node.fixture.config["settings"]["me"], "its index is its own");
    assert_eq!(file["listen"], node.fixture.config["listen"]);
}
