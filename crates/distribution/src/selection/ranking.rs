//! The order in which a head prefers relays: by tiers of distance, and within a tier by rendezvous hashing (highest
//! random weight) with XXH3-64. The loss of a relay moves only its own heads, and spreads them over the other relays.

use super::relay_list::{Locality, RelayInfo};
use std::cmp::Reverse;
use xxhash_rust::xxh3::Xxh3Default;

/// The first hashed field of a relay's weight as a primary. It differs from [`SPARE_ROLE`], so that the two weights of
/// a relay are independent.
const PRIMARY_ROLE: &[u8] = b"primary";
/// The first hashed field of a relay's weight as a spare.
const SPARE_ROLE: &[u8] = b"spare";
/// Separates the hashed fields; the byte does not occur in UTF-8 text.
const FIELD_SEPARATOR: &[u8] = &[0xff];

/// The preferences of one head over a list of relays. Relays are identified by their index in that list.
#[derive(Debug)]
pub(super) struct Ranking {
    /// All relays in the order of preference as the primary.
    primaries: Vec<usize>,
    /// For each relay as the primary, the other relays in the order of preference as its spare.
    spares: Vec<Vec<usize>>,
}

impl Ranking {
    /// Ranks the relays for a head.
    pub(super) fn new(head_name: &str, locality: &Locality, relays: &[RelayInfo]) -> Ranking {
        let spares = (0..relays.len()).map(|primary| rank_spares(head_name, locality, relays, primary));
        Ranking { primaries: rank(head_name, locality, relays), spares: spares.collect() }
    }

    /// All relays in the order of preference as the primary.
    pub(super) fn primaries(&self) -> &[usize] {
        &self.primaries
    }

    /// The rank of a relay as a primary, from 0 for the best.
    pub(super) fn rank_of(&self, relay: usize) -> usize {
        self.primaries.iter().position(|ranked| *ranked == relay).unwrap_or(usize::MAX)
    }

    /// The best primary of the eligible relays, followed by the best eligible spare of that primary.
    pub(super) fn best_pair(&self, is_eligible: impl Fn(usize) -> bool) -> Vec<usize> {
        let Some(primary) = self.primaries.iter().copied().find(|relay| is_eligible(*relay)) else {
            return Vec::new();
        };
        let mut pair = vec![primary];
        pair.extend(self.spares[primary].iter().copied().find(|relay| is_eligible(*relay)));
        pair
    }
}

/// The indices of all relays as primaries, the best first: relays of the head's zone, then of its region, then the
/// others.
pub fn rank(head_name: &str, locality: &Locality, relays: &[RelayInfo]) -> Vec<usize> {
    let tier = |relay: &RelayInfo| {
        if relay.region != locality.region {
            2
        } else if relay.zone != locality.zone {
            1
        } else {
            0
        }
    };
    sort_by_key(relays, |relay| (tier(relay), Reverse(weight(PRIMARY_ROLE, head_name, relay))))
}

/// The indices of all relays but the primary, the best spare first: relays of the head's region outside the primary's
/// zone, then in its zone, then of other regions, and last those on the primary's machine.
pub fn rank_spares(head_name: &str, locality: &Locality, relays: &[RelayInfo], primary: usize) -> Vec<usize> {
    let Some(primary_info) = relays.get(primary) else { return Vec::new() };
    let tier = |relay: &RelayInfo| spare_tier(relay, primary_info, locality);
    let mut order = sort_by_key(relays, |relay| (tier(relay), Reverse(weight(SPARE_ROLE, head_name, relay))));
    order.retain(|relay| *relay != primary);
    order
}

fn spare_tier(relay: &RelayInfo, primary: &RelayInfo, locality: &Locality) -> u8 {
    let is_same_machine = relay.address.ip() == primary.address.ip();
    let is_same_zone = relay.zone == primary.zone && relay.region == primary.region;
    if is_same_machine {
        3
    } else if relay.region != locality.region {
        2
    } else if is_same_zone {
        1
    } else {
        0
    }
}

/// The rendezvous weight of a relay for a head in a role.
fn weight(role: &[u8], head_name: &str, relay: &RelayInfo) -> u64 {
    let mut hash = Xxh3Default::new();
    for field in [role, head_name.as_bytes(), relay.name.as_bytes()] {
        hash.update(field);
        hash.update(FIELD_SEPARATOR);
    }
    hash.digest()
}

/// The indices of the relays, sorted by a key and then by name, so that the order is the same on every machine and
/// for any order of the list.
fn sort_by_key<K: Ord>(relays: &[RelayInfo], key: impl Fn(&RelayInfo) -> K) -> Vec<usize> {
    let mut order: Vec<usize> = (0..relays.len()).collect();
    order.sort_by_cached_key(|index| (key(&relays[*index]), relays[*index].name.clone()));
    order
}
