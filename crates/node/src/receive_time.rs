//! How long received data has been in the kernel before the node reads it, as the kernel tells it.

use nix::getsockopt_impl;
use nix::sys::socket::{getsockopt, sockopt::GetStruct};
use std::os::fd::AsFd;
use std::time::Duration;

/// The resolution of the kernel's times of arrival: one tick of its clock at 100 ticks a second.
const KERNEL_TICK: Duration = Duration::from_millis(10);

nix::sockopt_impl!(
    /// The kernel's record of a TCP connection (`tcp(7)`).
    TcpInfo,
    GetOnly,
    libc::IPPROTO_TCP,
    libc::TCP_INFO,
    libc::tcp_info,
    GetStruct<libc::tcp_info>
);

/// For how long at least the newest data of a connection has been here, or the connection if no data has
/// come yet. Zero if the kernel does not tell.
pub fn time_since_last_data(socket: impl AsFd) -> Duration {
    let Ok(info) = getsockopt(&socket, TcpInfo) else { return Duration::ZERO };
    Duration::from_millis(info.tcpi_last_data_recv.into()).saturating_sub(KERNEL_TICK)
}
