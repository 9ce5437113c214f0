//! The list of relays that a head may watch, and its validation.

use std::collections::HashSet;
use std::net::SocketAddr;
use thiserror::Error;

/// The location of a head.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Locality {
    /// The region of the head.
    pub region: String,
    /// The zone of the head.
    pub zone: String,
}

/// A relay that heads may watch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RelayInfo {
    /// The unique name of the relay. The rank depends on the name, not on the address: a relay keeps its heads when its
    /// address changes.
    pub name: String,
    /// The unique address of the relay. Relays with the same IP address are assumed to share a machine.
    pub address: SocketAddr,
    /// The region of the relay.
    pub region: String,
    /// The zone of the relay.
    pub zone: String,
}

/// An invalid list of relays. Indices are positions in the list, from 0.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum RelayListError {
    /// A relay has no name.
    #[error("relay {index} has no name")]
    MissingName {
        /// The index of the relay.
        index: usize,
    },
    /// Two relays have the same name.
    #[error("relay {index}: duplicate name {name}")]
    DuplicateName {
        /// The index of the later relay.
        index: usize,
        /// The duplicate name.
        name: String,
    },
    /// Two relays have the same address.
    #[error("relay {index}: duplicate address {address}")]
    DuplicateAddress {
        /// The index of the later relay.
        index: usize,
        /// The duplicate address.
        address: SocketAddr,
    },
}

/// Checks that each relay has a unique name and address. An empty list is valid.
///
/// # Errors
///
/// A relay has no name, or two relays have the same name or address.
pub fn validate(relays: &[RelayInfo]) -> Result<(), RelayListError> {
    let mut names = HashSet::new();
    let mut addresses = HashSet::new();
    for (index, relay) in relays.iter().enumerate() {
        if relay.name.is_empty() {
            return Err(RelayListError::MissingName { index });
        }
        if !names.insert(&relay.name) {
            return Err(RelayListError::DuplicateName { index, name: relay.name.clone() });
        }
        if !addresses.insert(relay.address) {
            return Err(RelayListError::DuplicateAddress { index, address: relay.address });
        }
    }
    Ok(())
}
