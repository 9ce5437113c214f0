//! Listening sockets of the frontends, received from an older process or opened by this one.

use super::DaemonError;
use crate::resources::listening_socket::{BACKLOG, ListeningSocket};
use crate::resources::repeat;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::net::TcpSocket;

/// The listening address of a frontend.
#[derive(Clone, Copy)]
pub(super) struct ListenAddress {
    /// IP address and port.
    pub(super) address: SocketAddr,
    /// Name of the frontend in log lines.
    pub(super) frontend: &'static str,
}

/// Whether other processes of this head may listen on the same address.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum AddressUse {
    /// Only this process listens on the address.
    Exclusive,
    /// Other processes of this head may listen on the address too (`SO_REUSEPORT`).
    Shared,
}

impl AddressUse {
    /// The use of the frontends' addresses: shared if a newer process can take over.
    pub(super) fn for_frontends(handover_possible: bool) -> AddressUse {
        if handover_possible { AddressUse::Shared } else { AddressUse::Exclusive }
    }
}

/// Listening addresses of the frontends; `None` for a frontend that is off.
pub(super) struct FrontendAddresses {
    /// Address of the HTTP/1.1 frontend.
    pub(super) http: SocketAddr,
    /// Address of the HTTP/2 frontend.
    pub(super) http2: Option<SocketAddr>,
    /// Address of the block frontend (iSCSI).
    pub(super) block: Option<SocketAddr>,
}

/// Open listening sockets of the frontends.
pub(super) struct Listeners {
    /// Socket of the HTTP/1.1 frontend.
    pub(super) http: Rc<ListeningSocket>,
    /// Socket of the HTTP/2 frontend, if it is on.
    pub(super) http2: Option<Rc<ListeningSocket>>,
    /// Socket of the block frontend, if it is on.
    pub(super) block: Option<Rc<ListeningSocket>>,
}

impl Listeners {
    /// Opens the listening sockets. The sockets `received` from an older process are assigned in the order of
    /// [`Listeners::all`]: HTTP/1.1, HTTP/2, block. One that is bound to another address is replaced by a new socket.
    ///
    /// # Errors
    ///
    /// [`DaemonError::Listen`] if an address can't be listened on.
    pub(super) fn open(
        addresses: &FrontendAddresses,
        received: Vec<std::net::TcpListener>,
        address_use: AddressUse,
    ) -> Result<Listeners, DaemonError> {
        let mut received = received.into_iter();
        let mut open = |address, frontend| {
            let listener = listen(ListenAddress { address, frontend }, received.next(), address_use)?;
            Ok::<_, DaemonError>(Rc::new(listener))
        };
        let http = open(addresses.http, "http")?;
        let http2 = addresses.http2.map(|address| open(address, "http2")).transpose()?;
        let block = addresses.block.map(|address| open(address, "block")).transpose()?;
        Ok(Listeners { http, http2, block })
    }

    /// All open listening sockets, in the order in which they are passed to a newer process.
    pub(super) fn all(&self) -> Vec<Rc<ListeningSocket>> {
        let mut all = vec![self.http.clone()];
        all.extend(self.http2.clone());
        all.extend(self.block.clone());
        all
    }
}

/// Listens on an address. Uses the `received` socket if it is bound to that address, and a new one otherwise.
///
/// # Errors
///
/// [`DaemonError::Listen`] if the address can't be listened on.
pub(super) fn listen(
    at: ListenAddress,
    received: Option<std::net::TcpListener>,
    address_use: AddressUse,
) -> Result<ListeningSocket, DaemonError> {
    let ListenAddress { address, frontend } = at;
    let received = received.filter(|socket| is_bound_to(socket, address));
    let listener = repeat::at_start(|| {
        let socket = match &received {
            // A duplicate, since the runtime closes a socket that it can't watch.
            Some(socket) => socket.try_clone()?,
            None => bind(address, address_use)?,
        };
        ListeningSocket::new(socket)
    });
    let listener = listener.map_err(|error| DaemonError::Listen(address, error))?;
    log::info!("{frontend}: listening on {}", listener.local_addr().unwrap_or(address));
    Ok(listener)
}

/// Whether a socket is bound to `address`; port 0 matches any port.
fn is_bound_to(socket: &std::net::TcpListener, address: SocketAddr) -> bool {
    socket
        .local_addr()
        .is_ok_and(|bound| bound == address || address.port() == 0 && bound.ip() == address.ip())
}

fn bind(address: SocketAddr, address_use: AddressUse) -> io::Result<std::net::TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.set_reuseaddr(true)?;
    socket.set_reuseport(address_use == AddressUse::Shared)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)?.into_std()
}
