//! A port that stays closed: nobody else gets it as long as this is held.

use socket2::{Domain, Socket, Type};
use std::net::{SocketAddr, TcpListener};

/// A port that is bound and does not listen, so that connections to it are refused.
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

    /// Listens from now on.
    pub fn open(self) -> TcpListener {
        self.socket.listen(128).expect("it listens");
        self.socket.into()
    }
}
