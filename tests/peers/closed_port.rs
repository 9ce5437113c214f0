//! A reserved port that refuses connections; no other process can bind it while it is reserved.

use socket2::{Domain, Socket, Type};
use std::net::{SocketAddr, TcpListener};

/// A bound socket that does not listen, so that connections to its port are refused.
pub struct ClosedPort {
    socket: Socket,
    pub address: SocketAddr,
}

impl ClosedPort {
    pub fn reserve() -> ClosedPort {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
        let any: SocketAddr = ([127, 0, 0, 1], 0).into();
        socket.bind(&any.into()).expect("a port");
        let address = socket.local_addr().expect("an address").as_socket().expect("of IPv4");
        ClosedPort { socket, address }
    }

    /// Starts to listen on the reserved port.
    pub fn open(self) -> TcpListener {
        self.socket.listen(128).expect("it listens");
        self.socket.into()
    }
}
