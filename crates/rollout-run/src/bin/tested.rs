//! The node with one fault of a new build, selected by `ROUTER_FAULT`, for the tests of rolling changes. Without the variable
//! it is the ordinary node.
#![forbid(unsafe_code)]

use std::process::ExitCode;
use std::thread::{sleep, spawn};
use std::time::Duration;

/// The memory leaked every 100 ms.
const LEAK_BYTES: usize = 6 << 20;

fn main() -> ExitCode {
    match std::env::var("ROUTER_FAULT").as_deref() {
        Ok("ends") => {
            eprintln!("this build ends at once");
            return ExitCode::FAILURE;
        }
        Ok("hangs") => loop {
            sleep(Duration::from_secs(1));
        },
        Ok("leaks") => drop(spawn(|| {
            let mut leaked = Vec::new();
            loop {
                sleep(Duration::from_millis(100));
                leaked.push(vec![1u8; LEAK_BYTES]);
            }
        })),
        _ => {}
    }
    yarrowfront_node::main()
}
