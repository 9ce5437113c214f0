//! A socket address in 16 bytes instead of the 32 of a `SocketAddr`: a head stores two addresses per node.

use std::net::{SocketAddr, SocketAddrV4};

/// An optional socket address. Only an IPv4 address is stored inline; others are boxed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum CompactAddress {
    /// The address is not known.
    #[default]
    Unknown,
    /// An IPv4 address.
    V4(SocketAddrV4),
    /// An address that is not IPv4.
    Boxed(Box<SocketAddr>),
}

impl CompactAddress {
    /// The address as a [`SocketAddr`]; `None` if it is not known.
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
