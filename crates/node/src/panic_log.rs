//! Reports panics as one line of the log. The standard report writes several lines to standard error whether or not
//! anybody reads them, and a full pipe would then hold up the process.

use crate::log;
use crate::metrics::{self, Counter};
use std::panic::{self, PanicHookInfo};

/// Replaces the standard report for all threads of the process.
pub fn install() {
    panic::set_hook(Box::new(report));
}

fn report(info: &PanicHookInfo<'_>) {
    metrics::count(Counter::Panics);
    let payload = info.payload();
    let text =
        payload.downcast_ref::<&str>().copied().or(payload.downcast_ref::<String>().map(String::as_str));
    let text = text.unwrap_or("no text").replace('\n', "; ");
    let place = info.location().map(ToString::to_string).unwrap_or_default();
    log::write_unlimited(format_args!("panic: {text}; at {place}"));
}
