//! The sockets on which clients connect: received from an older process, or opened here.

use super::DaemonError;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::net::{TcpListener, TcpSocket, TcpStream};

/// Connections that the system queues until they are accepted: as many as a burst of clients may open at once.
const BACKLOG: u32 = 1024;

/// Where a frontend listens.
#[derive(Clone, Copy)]
pub(super) struct ListenAddress {
    /// The address and port.
    pub(super) address: SocketAddr,
    /// The frontend's name in the log.
    pub(super) frontend: &'static str,
}

/// Whether another process of this head may listen on the same address.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum AddressUse {
    /// This process alone.
    Exclusive,
    /// Any process of this head (`SO_REUSEPORT`).
    Shared,
}

impl AddressUse {
    /// The use of a frontend's address: shared where a newer process can take over.
    pub(super) fn of_head(handover_possible: bool) -> AddressUse {
        if handover_possible { AddressUse::Shared } else { AddressUse::Exclusive }
    }
}

/// Where each frontend listens; an optional frontend that is off has no address.
pub(super) struct FrontendAddresses {
    /// HTTP/1.1.
    pub(super) http: SocketAddr,
    /// HTTP/2.
    pub(super) http2: Option<SocketAddr>,
    /// The block protocol.
    pub(super) block: Option<SocketAddr>,
}

/// The open listeners of the frontends.
pub(super) struct Listeners {
    /// HTTP/1.1.
    pub(super) http: Rc<TcpListener>,
    /// HTTP/2, if it is on.
    pub(super) http2: Option<Rc<TcpListener>>,
    /// The block protocol, if it is on.
    pub(super) block: Option<Rc<TcpListener>>,
}

impl Listeners {
    /// Opens the listeners. Sockets `received` from an older process are used where their address fits; they
    /// are assigned in the order HTTP/1.1, HTTP/2, block, in which [`Listeners::all`] lists them.
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

    /// All listeners, in the order in which they are passed to a newer process.
    pub(super) fn all(&self) -> Vec<Rc<TcpListener>> {
        let mut all = vec![self.http.clone()];
        all.extend(self.http2.clone());
        all.extend(self.block.clone());
        all
    }
}

/// Listens on an address, with the `received` socket if it is bound there and with a new one otherwise.
///
/// # Errors
///
/// [`DaemonError::Listen`] if the address can't be listened on.
pub(super) fn listen(
    at: ListenAddress,
    received: Option<std::net::TcpListener>,
    address_use: AddressUse,
) -> Result<TcpListener, DaemonError> {
    let ListenAddress { address, frontend } = at;
    let listener = match received.filter(|socket| is_bound_to(socket, address)) {
        Some(socket) => TcpListener::from_std(socket),
        None => bind(address, address_use),
    };
    let listener = listener.map_err(|problem| DaemonError::Listen(address, problem))?;
    log::info!("{frontend}: listening on {}", listener.local_addr().unwrap_or(address));
    Ok(listener)
}

/// Whether a socket listens on the address; port 0 stands for any port.
fn is_bound_to(socket: &std::net::TcpListener, address: SocketAddr) -> bool {
    socket
        .local_addr()
        .is_ok_and(|bound| bound == address || address.port() == 0 && bound.ip() == address.ip())
}

fn bind(address: SocketAddr, address_use: AddressUse) -> io::Result<TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.set_reuseaddr(true)?;
    socket.set_reuseport(address_use == AddressUse::Shared)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

/// Accepts a connection from the system's queue without waiting; `None` if the queue is empty. The system is
/// asked directly because the runtime may not yet know of a connection that is queued.
///
/// # Errors
///
/// The system's error if it gives no connection, such as a shortage of descriptors.
pub(super) fn accept_queued(listener: &TcpListener) -> io::Result<Option<TcpStream>> {
    loop {
        match socket2::SockRef::from(listener).accept() {
            Ok((socket, _)) => {
                socket.set_nonblocking(true)?;
                return TcpStream::from_std(socket.into()).map(Some);
            }
            Err(problem) if problem.kind() == io::ErrorKind::WouldBlock => return Ok(None),
            // Its client gave it up while it was queued: the next one.
            Err(problem) if problem.kind() == io::ErrorKind::ConnectionAborted => {}
            Err(problem) => return Err(problem),
        }
    }
}
