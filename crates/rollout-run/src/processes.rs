//! Another program at a node: a command of the plan starts it beside the old one, which hands over and is ended.

use crate::admin_client::glance;
use rollout::controller::Came;
use rollout::node_report::{Here, Told};
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

/// Of what a command has written so much is told.
const TOLD: u64 = 2000;
const LOOK_AGAIN: Duration = Duration::from_millis(50);

/// A command of the plan with its words filled in; its words to a file, so that it needs nobody to read them.
fn begin(words: &[String], fill: &[(&str, String)], log: &Path) -> Result<Child, String> {
    let filled =
        |word: &String| fill.iter().fold(word.clone(), |word, (key, value)| word.replace(key, value));
    let words: Vec<String> = words.iter().map(filled).collect();
    let (first, rest) = words.split_first().ok_or("an empty command")?;
    let file = File::create(log).map_err(|e| format!("{}: {e}", log.display()))?;
    let other = file.try_clone().map_err(|e| e.to_string())?;
    let mut command = Command::new(first);
    command.args(rest).stdin(Stdio::null()).stdout(file).stderr(other);
    // What it starts lives on when this process ends.
    command.process_group(0);
    command.spawn().map_err(|e| format!("{first}: {e}"))
}

fn last_words(log: &Path) -> String {
    let mut text = String::new();
    let read = File::open(log).and_then(|file| file.take(TOLD).read_to_string(&mut text));
    let line = text.lines().last().unwrap_or_default();
    if read.is_ok() {
        line.to_owned()
    } else {
        String::new()
    }
}

/// What a command of the plan writes before it ends, in that time.
pub fn said_by(words: &[String], most: Duration) -> Result<String, String> {
    static ASKED: AtomicU32 = AtomicU32::new(0);
    let number = ASKED.fetch_add(1, Relaxed);
    let log = std::env::temp_dir().join(format!("yarrowfront-words-{}-{number}", std::process::id()));
    let until = Instant::now() + most;
    let mut child = begin(words, &[], &log)?;
    let status = loop {
        match child.try_wait().map_err(|e| e.to_string())? {
            Some(status) => break Ok(status),
            None if Instant::now() >= until => {
                let _ = (child.kill(), child.wait());
                break Err(format!("it goes on after {} s", most.as_secs()));
            }
            None => sleep(LOOK_AGAIN),
        }
    };
    let said = last_words(&log);
    let _ = std::fs::remove_file(&log);
    match status? {
        status if status.success() => Ok(said),
        status => Err(format!("it has ended with {status}: {said}")),
    }
}

fn serving(at: SocketAddr, build: &str) -> Option<Box<Here>> {
    match glance(at) {
        Told::Here(here) if here.serves() && here.build == build => Some(here),
        _ => None,
    }
}

/// Has the node's other program serve, and its present one gone.
pub fn replace(node: &Node, program: &Program, forward: bool, folder: &Path, most: Duration) -> Came {
    let (words, build) = match forward {
        true => (&program.start, &program.build),
        false => (&program.start_former, &program.former),
    };
    let Some(other) = node.other_admin else { return Came::Refused("it has no other address".to_owned()) };
    let until = Instant::now() + most;
    let (free, old) = match (glance(node.admin), glance(other)) {
        // A controller before this one has come so far, or a process serves already that is to stay.
        (Told::Here(a), Told::Here(b)) => match (a.build == *build, b.build == *build) {
            (true, false) => return finish(program, &b, other, until),
            (false, true) => return finish(program, &a, node.admin, until),
            _ => return Came::Refused("two processes of the node run already".to_owned()),
        },
        (Told::Here(here), Told::Gone) => (other, Some((here, node.admin))),
        (Told::Gone, Told::Here(here)) => (node.admin, Some((here, other))),
        (Told::Gone, Told::Gone) => (node.admin, None),
        _ => return Came::Unknown("a process of the node does not answer".to_owned()),
    };
    let fill = [("{name}", node.name.clone()), ("{site}", node.site.clone()), ("{admin}", free.to_string())];
    let log = folder.join(format!("{}-{}.log", node.name, if forward { "start" } else { "start-former" }));
    let mut child = match begin(words, &fill, &log) {
        Ok(child) => child,
        Err(why) => return Came::Refused(why),
    };
    loop {
        if let Some(new) = serving(free, build) {
            // It may be a child of this process until then; whoever it belongs to after that, it is not waited for.
            std::thread::spawn(move || child.wait());
            return match old {
                Some((old, at)) if old.life != new.life => finish(program, &old, at, until),
                _ => Came::Done,
            };
        }
        let ended = child.try_wait().ok().flatten();
        if let Some(status) = ended.filter(|status| !status.success()) {
            return Came::Refused(format!("the start has ended with {status}: {}", last_words(&log)));
        }
        if Instant::now() >= until {
            let _ = (child.kill(), child.wait());
            return Came::Refused(format!(
                "it is not ready within {} s: {}",
                most.as_secs(),
                last_words(&log)
            ));
        }
        sleep(LOOK_AGAIN);
    }
}

/// Ends the older process, and waits until it is gone.
fn finish(program: &Program, old: &Here, at: SocketAddr, until: Instant) -> Came {
    let fill = [("{admin}", at.to_string()), ("{pid}", old.pid.to_string()), ("{name}", old.name.clone())];
    let log = std::env::temp_dir().join(format!("yarrowfront-end-{}-{}", std::process::id(), old.pid));
    let ended =
        begin(&program.end, &fill, &log).and_then(|mut child| child.wait().map_err(|e| e.to_string()));
    let said = last_words(&log);
    let _ = std::fs::remove_file(&log);
    match ended {
        Ok(status) if !status.success() => {
            return Came::Refused(format!("the end has ended with {status}: {said}"))
        }
        Err(why) => return Came::Refused(why),
        Ok(_) => {}
    }
    while Instant::now() < until {
        if glance(at) == Told::Gone {
            return Came::Done;
        }
        sleep(LOOK_AGAIN);
    }
    Came::Refused("the older process does not end".to_owned())
}
