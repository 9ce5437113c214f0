//! What the system tells of a TCP socket (`TCP_INFO`, tcp(7)): how long ago the latest bytes arrived, how many bytes the
//! peer has acknowledged, and the length of an accept queue. All are unknown where the system does not support the option.

use nix::sys::socket::getsockopt;
use nix::{getsockopt_impl, sockopt_impl};
use std::os::fd::AsFd;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

sockopt_impl!(
    /// The state of a TCP socket.
    TcpInfo,
    GetOnly,
    libc::IPPROTO_TCP,
    libc::TCP_INFO,
    libc::tcp_info
);

/// Whether the system has returned a `TCP_INFO` of another size than this program expects.
static IS_UNSUPPORTED: AtomicBool = AtomicBool::new(false);

/// Time since the latest bytes arrived on a connection, or since it was established if none have; `None` if the system
/// does not tell. Its resolution is a few milliseconds.
pub fn last_data_age(connection: &impl AsFd) -> Option<Duration> {
    let info = tcp_info(connection)?;
    Some(Duration::from_millis(u64::from(info.tcpi_last_data_recv)))
}

/// Number of bytes that the peer's system has acknowledged since the connection was established; `None` if the system does
/// not tell.
pub fn acknowledged_bytes(connection: &impl AsFd) -> Option<u64> {
    Some(tcp_info(connection)?.tcpi_bytes_acked)
}

/// Number of connections in the accept queue of a listening socket; `None` if the system does not tell.
pub fn queue_length(listener: &impl AsFd) -> Option<usize> {
    let info = tcp_info(listener)?;
    // A listening socket reports the length of its queue in this field.
    usize::try_from(info.tcpi_unacked).ok()
}

fn tcp_info(socket: &impl AsFd) -> Option<libc::tcp_info> {
    if IS_UNSUPPORTED.load(Ordering::Relaxed) {
        return None;
    }
    // The call panics if the size of the result is not the expected one.
    let asked = catch_unwind(AssertUnwindSafe(|| getsockopt(socket, TcpInfo)));
    match asked {
        Ok(info) => info.ok(),
        Err(_) => {
            IS_UNSUPPORTED.store(true, Ordering::Relaxed);
            None
        }
    }
}
