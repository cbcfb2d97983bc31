//! A process that has come up at the address of one that has gone is another one.

#[allow(dead_code)]
mod world;

use serde_json::{json, Value};
use std::collections::HashSet;
use std::sync::atomic::Ordering::SeqCst;
use world::*;

/// The processes, by the numbers under which their launches are recorded.
const AT_SHARED_ADDRESS: usize = 0;
const ELSEWHERE: usize = 1;

/// A keyed class whose repeats are recognised within a group of backends only, with time for a second launch.
fn with_keys_in_groups(config: &mut Value) {
    for profile in config["settings"]["profiles"].as_array_mut().expect("profiles") {
        profile["goalTime"] = 3_000_000_000u64.into();
        profile["timeLimit"] = 4_000_000_000u64.into();
        if profile["name"] == "mark" {
            profile["group"] = "cell".into();
            profile["memorySpan"] = 10_000_000_000u64.into();
        }
    }
    config["admin"] = free_admin_address(config).to_string().into();
}

fn with_identity(entry: &Value, name: &str, group: u32, since_ms: u64) -> Value {
    let mut entry = entry.clone();
    (entry["name"], entry["group"], entry["since_ms"]) = (name.into(), group.into(), since_ms.into());
    entry
}

/// Guards against a keyed command that runs in two groups because the address of its first backend belongs to a new process, of
/// another group, by now. The failure: the former backend was used until the list named it as gone, so that work for it ran in
/// the new process, and once more in the former one's group.
#[test]
fn a_process_at_the_address_of_one_that_has_gone_is_not_taken_for_it() {
    const COMMANDS: usize = 20;
    for is_snapshot in [false, true] {
        let fixture = NodeFixture::with_backends(
            |host, launches, probes| {
                // What the first process is sent may have run: it never answers.
                let close: fn(usize) -> BackendAction = |_| BackendAction::CloseConnection;
                let shared = start_backend(host, AT_SHARED_ADDRESS, close, launches, probes);
                let other = start_backend(host, ELSEWHERE, |_| BackendAction::Succeed, launches, probes);
                vec![with_identity(&shared, "former", 1, 0), with_identity(&other, "other", 1, 0)]
            },
            with_keys_in_groups,
            &[],
        );
        wait_until("a watch", || fixture.watch_count.load(SeqCst) >= 1);
        // The list has the new process before it names the former one as gone, if it ever does.
        let latter = with_identity(&fixture.backend_entries[0], "latter", 2, 1_700_000_000_000);
        let mut entries = vec![latter, json!({"name": "m", "status": "gone"})];
        if is_snapshot {
            entries.splice(0..0, fixture.backend_entries.iter().cloned());
        }
        let list = json!({"index": 9, "snapshot": is_snapshot, "endpoints": entries}).to_string();
        fixture.watch_lines.send(list).expect("a watch");
        wait_until("the list to be applied", || {
            call_admin(fixture.admin_address(), "PUT /backends/m/ready").status() == 200
        });
        for _ in 0..COMMANDS {
            let status = fixture.send_request(&command_request_within("mark", "keyed", 4000)).status();
            assert!([200, 502, 503].contains(&status), "{status}");
        }
        let launches = fixture.launches.lock().expect("launches");
        let ids_at = |process: usize| -> HashSet<&str> {
            let at_process = launches.iter().filter(|(number, _)| *number == process);
            at_process.filter_map(|(_, launch)| launch.header("x-correlation-id")).collect()
        };
        let (shared, elsewhere) = (ids_at(AT_SHARED_ADDRESS), ids_at(ELSEWHERE));
        assert!(!shared.is_empty() && !elsewhere.is_empty(), "both are used under their names");
        let in_two_groups: Vec<_> = shared.intersection(&elsewhere).collect();
        assert_eq!(in_two_groups, [&""; 0], "snapshot: {is_snapshot}");
    }
}
