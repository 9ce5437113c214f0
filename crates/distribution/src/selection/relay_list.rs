//! The list of relays that a head may follow, and its validation.

use std::collections::HashSet;
use std::net::SocketAddr;
use thiserror::Error;

/// Where a head runs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Locality {
    /// Its region.
    pub region: String,
    /// Its zone.
    pub zone: String,
}

/// One relay.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RelayInfo {
    /// Its name, the key of its rank: a relay keeps its heads when its address changes.
    pub name: String,
    /// Its address. Relays with one IP address are assumed to share a machine.
    pub address: SocketAddr,
    /// Its region.
    pub region: String,
    /// Its zone.
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
    /// Two relays have one name.
    #[error("relay {index}: the name {name} is in use")]
    DuplicateName {
        /// The index of the later one.
        index: usize,
        /// The name.
        name: String,
    },
    /// Two relays have one address.
    #[error("relay {index}: the address {address} is in use")]
    DuplicateAddress {
        /// The index of the later one.
        index: usize,
        /// The address.
        address: SocketAddr,
    },
}

/// Checks that each relay has a name and an address of its own. An empty list is valid: its heads have no relay.
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
