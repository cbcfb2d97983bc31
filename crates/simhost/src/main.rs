//! Serves yarrowfront's decisions over the simulator's protocol: batches on standard input, replies on standard
//! output.
#![forbid(unsafe_code)]

mod host;
mod wire;

use std::io::{self, Write};
use std::process::ExitCode;

fn run() -> Result<(), String> {
    let (mut input, mut output) = (io::stdin().lock(), io::stdout().lock());
    let (mut host, mut reply) = (host::Host::default(), wire::Reply::default());
    let (mut frame, mut out) = (Vec::new(), Vec::new());
    while wire::read_frame(&mut input, &mut frame)? {
        let batch = wire::Batch::new(&frame);
        reply.clear();
        host.batch(&batch, &mut reply)?;
        reply.frame(batch.number(), &mut out);
        output.write_all(&out).and_then(|()| output.flush()).map_err(|e| format!("reply: {e}"))?;
    }
    Ok(())
}

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(text) => {
            eprintln!("yarrowfront-simhost: {text}");
            ExitCode::FAILURE
        }
    }
}
