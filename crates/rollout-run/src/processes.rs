//! Replaces the program of a node: a command of the plan starts the other program beside the running one, which hands over
//! its connections and is then ended.

use crate::admin_client::poll_without_seconds;
use rollout::controller::ActionOutcome;
use rollout::node_report::{NodeReport, PollOutcome};
use rollout::plan::{Node, Program};
use std::fs::File;
use std::io::Read;
use std::net::SocketAddr;
use std::os::unix::process::CommandExt;
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering::Relaxed};
use std::thread::sleep;
use std::time::{Duration, Instant};

/// The most bytes read of a command's output.
const MAX_OUTPUT_BYTES: u64 = 2000;
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Starts a command of the plan with its placeholders filled in. Its output goes to a file, so that it does not depend on
/// a reader.
fn spawn_command(command: &[String], placeholders: &[(&str, String)], log: &Path) -> Result<Child, String> {
    let fill_in =
        |word: &String| placeholders.iter().fold(word.clone(), |word, (key, value)| word.replace(key, value));
    let arguments: Vec<String> = command.iter().map(fill_in).collect();
    let (program, rest) = arguments.split_first().ok_or("an empty command")?;
    let file = File::create(log).map_err(|e| format!("{}: {e}", log.display()))?;
    let stderr = file.try_clone().map_err(|e| e.to_string())?;
    let mut command = Command::new(program);
    command.args(rest).stdin(Stdio::null()).stdout(file).stderr(stderr);
    // The started process survives the end of this one.
    command.process_group(0);
    command.spawn().map_err(|e| format!("{program}: {e}"))
}

fn last_line(log: &Path) -> String {
    let mut text = String::new();
    let read = File::open(log).and_then(|file| file.take(MAX_OUTPUT_BYTES).read_to_string(&mut text));
    let line = text.lines().last().unwrap_or_default();
    if read.is_ok() {
        line.to_owned()
    } else {
        String::new()
    }
}

/// Runs a command of the plan and returns the last line of its output.
pub fn output_of(command: &[String], timeout: Duration) -> Result<String, String> {
    static RUNS: AtomicU32 = AtomicU32::new(0);
    let number = RUNS.fetch_add(1, Relaxed);
    let log = std::env::temp_dir().join(format!("yarrowfront-words-{}-{number}", std::process::id()));
    let deadline = Instant::now() + timeout;
    let mut child = spawn_command(command, &[], &log)?;
    let status = loop {
        match child.try_wait().map_err(|e| e.to_string())? {
            Some(status) => break Ok(status),
            None if Instant::now() >= deadline => {
                let _ = (child.kill(), child.wait());
                break Err(format!("the command is still running after {} s", timeout.as_secs()));
            }
            None => sleep(POLL_INTERVAL),
        }
    };
    let output = last_line(&log);
    let _ = std::fs::remove_file(&log);
    match status? {
        status if status.success() => Ok(output),
        status => Err(format!("the command has ended with {status}: {output}")),
    }
}

fn poll_serving(at: SocketAddr, build: &str) -> Option<Box<NodeReport>> {
    match poll_without_seconds(at) {
        PollOutcome::Report(report) if report.is_serving() && report.build == build => Some(report),
        _ => None,
    }
}

/// Replaces the running program of a node by the new one, or by the former one if `forward` is false.
pub fn replace(
    node: &Node,
    program: &Program,
    forward: bool,
    folder: &Path,
    timeout: Duration,
) -> ActionOutcome {
    let (command, build) = match forward {
        true => (&program.start_command, &program.new_build),
        false => (&program.start_former_command, &program.former_build),
    };
    let Some(other) = node.other_admin else {
        return ActionOutcome::Refused("it has no other address".to_owned());
    };
    let deadline = Instant::now() + timeout;
    let (free_address, old) = match (poll_without_seconds(node.admin), poll_without_seconds(other)) {
        // An earlier controller has started the process already, or the right one is serving already.
        (PollOutcome::Report(a), PollOutcome::Report(b)) => match (a.build == *build, b.build == *build) {
            (true, false) => return end_process(program, &b, other, deadline),
            (false, true) => return end_process(program, &a, node.admin, deadline),
            _ => return ActionOutcome::Refused("two processes of the node run already".to_owned()),
        },
        (PollOutcome::Report(report), PollOutcome::Gone) => (other, Some((report, node.admin))),
        (PollOutcome::Gone, PollOutcome::Report(report)) => (node.admin, Some((report, other))),
        (PollOutcome::Gone, PollOutcome::Gone) => (node.admin, None),
        _ => return ActionOutcome::Unknown("a process of the node does not answer".to_owned()),
    };
    let placeholders =
        [("{name}", node.name.clone()), ("{site}", node.site.clone()), ("{admin}", free_address.to_string())];
    let log = folder.join(format!("{}-{}.log", node.name, if forward { "start" } else { "start-former" }));
    let mut child = match spawn_command(command, &placeholders, &log) {
        Ok(child) => child,
        Err(why) => return ActionOutcome::Refused(why),
    };
    loop {
        if let Some(new) = poll_serving(free_address, build) {
            // The start command may still run as a child of this process. A thread reaps it, and nothing waits for it.
            std::thread::spawn(move || child.wait());
            return match old {
                Some((old, at)) if old.generation != new.generation => {
                    end_process(program, &old, at, deadline)
                }
                _ => ActionOutcome::Done,
            };
        }
        let ended = child.try_wait().ok().flatten();
        if let Some(status) = ended.filter(|status| !status.success()) {
            return ActionOutcome::Refused(format!("the start has ended with {status}: {}", last_line(&log)));
        }
        if Instant::now() >= deadline {
            let _ = (child.kill(), child.wait());
            return ActionOutcome::Refused(format!(
                "it is not ready within {} s: {}",
                timeout.as_secs(),
                last_line(&log)
            ));
        }
        sleep(POLL_INTERVAL);
    }
}

/// Ends the older process and waits until it is gone.
fn end_process(program: &Program, old: &NodeReport, at: SocketAddr, deadline: Instant) -> ActionOutcome {
    let placeholders =
        [("{admin}", at.to_string()), ("{pid}", old.pid.to_string()), ("{name}", old.name.clone())];
    let log = std::env::temp_dir().join(format!("yarrowfront-end-{}-{}", std::process::id(), old.pid));
    let ended = spawn_command(&program.end_command, &placeholders, &log)
        .and_then(|mut child| child.wait().map_err(|e| e.to_string()));
    let output = last_line(&log);
    let _ = std::fs::remove_file(&log);
    match ended {
        Ok(status) if !status.success() => {
            return ActionOutcome::Refused(format!("the end has ended with {status}: {output}"))
        }
        Err(why) => return ActionOutcome::Refused(why),
        Ok(_) => {}
    }
    while Instant::now() < deadline {
        if poll_without_seconds(at) == PollOutcome::Gone {
            return ActionOutcome::Done;
        }
        sleep(POLL_INTERVAL);
    }
    ActionOutcome::Refused("the older process does not end".to_owned())
}
