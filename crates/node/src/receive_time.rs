//! How long received data has been in the kernel before the node reads it, as the kernel tells it.

use crate::log::log;
use nix::getsockopt_impl;
use nix::sys::socket::{getsockopt, sockopt::GetStruct};
use std::cell::Cell;
use std::mem::{offset_of, size_of};
use std::os::fd::AsFd;
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::time::Duration;
use tokio::time::Instant;

/// The resolution of the kernel's times of arrival: one tick of its clock at 100 ticks a second.
const KERNEL_TICK: Duration = Duration::from_millis(10);

/// No client waits this long, so an age above it says nothing of a request: some kernels leave the field unset, or
/// count from the start of the machine.
const MAX_PLAUSIBLE_AGE: Duration = Duration::from_secs(600);

/// Where the kernel's record of a TCP connection states how many milliseconds ago the newest data came.
const LAST_DATA_OFFSET: usize = offset_of!(libc::tcp_info, tcpi_last_data_recv);

/// The beginning of that record, up to the end of this field. The record grows with the versions of Linux, and the
/// kernel fills no more of it than is asked for, so the size of what it returns does not depend on the version.
type TcpInfoPrefix = [u8; LAST_DATA_OFFSET + size_of::<u32>()];

nix::sockopt_impl!(
    /// The beginning of the kernel's record of a TCP connection (`tcp(7)`).
    TcpInfo,
    GetOnly,
    libc::IPPROTO_TCP,
    libc::TCP_INFO,
    TcpInfoPrefix,
    GetStruct<TcpInfoPrefix>
);

thread_local! {
    /// Whether the kernel returns records that hold the field.
    static IS_USABLE: Cell<bool> = const { Cell::new(true) };
}

/// For how long at least the newest data of a connection has been here, or the connection if no data has
/// come yet. Zero if the kernel does not tell, or tells what cannot be.
pub fn time_since_last_data(socket: impl AsFd) -> Duration {
    let Some(info) = tcp_info(&socket) else { return Duration::ZERO };
    let (_, field) = info.split_at(LAST_DATA_OFFSET);
    let millis = field.try_into().map(u32::from_ne_bytes).unwrap_or_default();
    let age = Duration::from_millis(millis.into());
    if age > MAX_PLAUSIBLE_AGE {
        return Duration::ZERO;
    }
    age.saturating_sub(KERNEL_TICK)
}

/// When the newest data of a connection came, at the latest.
pub fn last_data_at(socket: impl AsFd) -> Instant {
    let now = Instant::now();
    now.checked_sub(time_since_last_data(socket)).unwrap_or(now)
}

/// The kernel's record; `None` if the kernel has none or returns less than was asked for.
fn tcp_info(socket: &impl AsFd) -> Option<TcpInfoPrefix> {
    if !IS_USABLE.get() {
        return None;
    }
    // nix panics if the kernel returns less than was asked for.
    match catch_unwind(AssertUnwindSafe(|| getsockopt(socket, TcpInfo))) {
        Ok(info) => info.ok(),
        Err(_) => {
            IS_USABLE.set(false);
            log!("receive time: the kernel's TCP_INFO is too short; times count from the read from here on");
            None
        }
    }
}
