//! The order in which a head prefers relays: by tiers of distance, and within a tier by rendezvous hashing (highest
//! random weight) with XXH3-64. The loss of a relay moves only its own heads, and spreads them over the others.

use std::cmp::Reverse;
use std::collections::HashSet;
use std::net::SocketAddr;
use thiserror::Error;
use xxhash_rust::xxh3::Xxh3Default;

/// Sets a relay's weight as a primary apart from its weight as a spare.
const PRIMARY: &[u8] = b"primary";
/// See [`PRIMARY`].
const SPARE: &[u8] = b"spare";
/// Ends each part of what is hashed; it stands in no UTF-8 text.
const END: &[u8] = &[0xff];

/// Where a head stands.
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
    /// Its name, by which it is chosen: it keeps its heads when its address changes.
    pub name: String,
    /// Where it is reached. Relays with one IP address are taken to share a machine.
    pub address: SocketAddr,
    /// Its region.
    pub region: String,
    /// Its zone.
    pub zone: String,
}

/// Why a list of relays can't be used.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum RelayListError {
    /// A relay has no name.
    #[error("relay {place} has no name")]
    NoName {
        /// Its place in the list, from 0.
        place: usize,
    },
    /// Two relays have one name.
    #[error("relay {place}: the name {name} is in use")]
    NameTwice {
        /// The place of the later one.
        place: usize,
        /// The name.
        name: String,
    },
    /// Two relays have one address.
    #[error("relay {place}: the address {address} is in use")]
    AddressTwice {
        /// The place of the later one.
        place: usize,
        /// The address.
        address: SocketAddr,
    },
}

/// Whether a list of relays can be used. An empty one can: its heads have no relay.
pub fn validate(relays: &[RelayInfo]) -> Result<(), RelayListError> {
    let (mut names, mut addresses) = (HashSet::new(), HashSet::new());
    for (place, relay) in relays.iter().enumerate() {
        if relay.name.is_empty() {
            return Err(RelayListError::NoName { place });
        }
        if !names.insert(&relay.name) {
            return Err(RelayListError::NameTwice { place, name: relay.name.clone() });
        }
        if !addresses.insert(relay.address) {
            return Err(RelayListError::AddressTwice { place, address: relay.address });
        }
    }
    Ok(())
}

fn weight(role: &[u8], head_name: &str, relay: &RelayInfo) -> u64 {
    let mut hash = Xxh3Default::new();
    for part in [role, head_name.as_bytes(), relay.name.as_bytes()] {
        hash.update(part);
        hash.update(END);
    }
    hash.digest()
}

/// The relays' places in their list, the best first: those of the head's zone, then of its region, then the others.
pub fn rank(head_name: &str, locality: &Locality, relays: &[RelayInfo]) -> Vec<usize> {
    let tier = |relay: &RelayInfo| match relay.region == locality.region {
        true if relay.zone == locality.zone => 0,
        true => 1,
        false => 2,
    };
    sorted(relays, |relay| (tier(relay), Reverse(weight(PRIMARY, head_name, relay))))
}

/// The places of all relays but the primary, the best spare first: those of the head's region outside the primary's
/// zone, then in its zone, then of other regions, and last those on the primary's machine.
pub fn rank_spares(head_name: &str, locality: &Locality, relays: &[RelayInfo], primary: usize) -> Vec<usize> {
    let Some(held) = relays.get(primary) else { return vec![] };
    let tier = |relay: &RelayInfo| match relay.region == locality.region {
        _ if relay.address.ip() == held.address.ip() => 3,
        true if relay.zone == held.zone && relay.region == held.region => 1,
        true => 0,
        false => 2,
    };
    let mut order = sorted(relays, |relay| (tier(relay), Reverse(weight(SPARE, head_name, relay))));
    order.retain(|place| *place != primary);
    order
}

fn sorted<K: Ord>(relays: &[RelayInfo], key: impl Fn(&RelayInfo) -> K) -> Vec<usize> {
    let mut order: Vec<usize> = (0..relays.len()).collect();
    order.sort_by_cached_key(|place| (key(&relays[*place]), relays[*place].name.clone()));
    order
}
