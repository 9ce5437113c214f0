//! An address in 16 bytes, where a `SocketAddr` takes 32: a head keeps two for each node.

use std::net::{SocketAddr, SocketAddrV4};

/// The address of a node, if it is known. Any other than IPv4 is boxed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum CompactAddress {
    /// None is known.
    #[default]
    Unknown,
    /// IPv4.
    V4(SocketAddrV4),
    /// Any other.
    Boxed(Box<SocketAddr>),
}

impl CompactAddress {
    /// The address as the standard library has it.
    pub fn get(&self) -> Option<SocketAddr> {
        match self {
            CompactAddress::Unknown => None,
            CompactAddress::V4(address) => Some(SocketAddr::V4(*address)),
            CompactAddress::Boxed(address) => Some(**address),
        }
    }
}

impl From<Option<SocketAddr>> for CompactAddress {
    fn from(address: Option<SocketAddr>) -> CompactAddress {
        match address {
            None => CompactAddress::Unknown,
            Some(SocketAddr::V4(address)) => CompactAddress::V4(address),
            Some(address) => CompactAddress::Boxed(Box::new(address)),
        }
    }
}
