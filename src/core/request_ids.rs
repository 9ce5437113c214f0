//! Detection of duplicate request ids, in this process and across the processes of a head.
//!
//! An id is claimed before its request is sent to any node. It can't be claimed again while the request is in flight,
//! however many other ids come, nor for a while afterwards if a node may have executed it: an attempt whose client has
//! disconnected may still run. While two processes of a head serve, each announces its claims to the other one. A claim
//! is announced before it is decided, so that of two claims at the same time at least one sees the other.

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet, VecDeque};
use std::fmt;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// Maximum number of ids remembered of requests that have ended, which bounds their memory.
const MAX_RECENT_IDS: usize = 32_768;
/// Offset basis and prime of the 64-bit FNV-1a hash.
const FNV_OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;

/// The hash of a request id, the same in all processes and versions (64-bit FNV-1a).
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct RequestKey(pub u64);

impl RequestKey {
    /// The key of an id.
    pub fn of(id: &[u8]) -> RequestKey {
        let step = |hash: u64, byte: &u8| (hash ^ u64::from(*byte)).wrapping_mul(FNV_PRIME);
        RequestKey(id.iter().fold(FNV_OFFSET_BASIS, step))
    }
}

/// The other processes of the head, to which claims are announced.
pub trait ClaimPeers {
    /// Reports all claims that other processes have announced by now to [`RequestIds::note_peer_claim`].
    fn receive_claims(&self);

    /// Announces a claim to the other processes, if there are any.
    fn announce_claim(&self, key: RequestKey);
}

/// The ids of requests that have ended, or that another process has claimed.
struct RecentIds {
    retention: Duration,
    /// By key: when the id is forgotten.
    known: HashMap<RequestKey, Instant>,
    by_age: VecDeque<RequestKey>,
}

impl RecentIds {
    fn contains(&self, key: RequestKey, now: Instant) -> bool {
        self.known.get(&key).is_some_and(|forgotten_at| now < *forgotten_at)
    }

    fn insert(&mut self, key: RequestKey, now: Instant) {
        self.evict_old(now);
        if self.known.insert(key, now + self.retention).is_none() {
            self.by_age.push_back(key);
        }
    }

    /// Forgets ids whose time is over, and the oldest one if there are too many.
    fn evict_old(&mut self, now: Instant) {
        while let Some(oldest) = self.by_age.front().copied() {
            if self.contains(oldest, now) && self.by_age.len() < MAX_RECENT_IDS {
                return;
            }
            self.known.remove(&oldest);
            self.by_age.pop_front();
        }
    }
}

/// The request ids that can't be claimed.
pub struct RequestIds {
    in_flight: RefCell<HashSet<RequestKey>>,
    recent: RefCell<RecentIds>,
    peers: RefCell<Option<Rc<dyn ClaimPeers>>>,
}

impl fmt::Debug for RequestIds {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let recent = self.recent.borrow().known.len();
        write!(f, "RequestIds {{ in_flight: {}, recent: {recent} }}", self.in_flight.borrow().len())
    }
}

impl RequestIds {
    /// Creates an empty set. The id of a request that a node may have executed is remembered for `retention` after its
    /// end.
    pub fn new(retention: Duration) -> Rc<RequestIds> {
        let recent = RecentIds { retention, known: HashMap::new(), by_age: VecDeque::new() };
        Rc::new(RequestIds {
            in_flight: RefCell::default(),
            recent: RefCell::new(recent),
            peers: RefCell::default(),
        })
    }

    /// Sets the other processes to which claims are announced.
    pub fn set_peers(&self, peers: Rc<dyn ClaimPeers>) {
        self.peers.replace(Some(peers));
    }

    /// Claims an id for a request. Returns `None` if it is in use.
    pub fn claim(self: &Rc<Self>, id: &[u8]) -> Option<IdClaim> {
        let key = RequestKey::of(id);
        let peers = self.peers.borrow().clone();
        if let Some(peers) = &peers {
            peers.receive_claims();
        }
        if self.is_recent(key) || !self.in_flight.borrow_mut().insert(key) {
            return None;
        }
        let claim = IdClaim { ids: self.clone(), key, may_have_run: Cell::new(false) };
        if let Some(peers) = &peers {
            peers.announce_claim(key);
            peers.receive_claims();
        }
        // Another process may have claimed it at the same time.
        if self.is_recent(key) { None } else { Some(claim) }
    }

    /// Notes that another process has claimed an id.
    pub fn note_peer_claim(&self, key: RequestKey) {
        self.recent.borrow_mut().insert(key, Instant::now());
    }

    /// The ids that can't be claimed, for another process that begins to serve.
    pub fn claimed(&self) -> Vec<RequestKey> {
        let mut keys: Vec<RequestKey> = self.in_flight.borrow().iter().copied().collect();
        keys.extend(self.recent.borrow().by_age.iter().rev());
        keys
    }

    fn is_recent(&self, key: RequestKey) -> bool {
        self.recent.borrow().contains(key, Instant::now())
    }

    fn release(&self, claim: &IdClaim) {
        self.in_flight.borrow_mut().remove(&claim.key);
        if claim.may_have_run.get() {
            self.recent.borrow_mut().insert(claim.key, Instant::now());
        }
    }
}

/// The claim of a request's id, held for as long as the request is served.
#[derive(Debug)]
pub struct IdClaim {
    ids: Rc<RequestIds>,
    key: RequestKey,
    may_have_run: Cell<bool>,
}

impl IdClaim {
    /// Notes that an attempt of the request begins, so that a node may execute it.
    pub fn attempt_begins(&self) {
        self.may_have_run.set(true);
    }
}

impl Drop for IdClaim {
    fn drop(&mut self) {
        self.ids.release(self);
    }
}

#[cfg(test)]
mod tests;
