//! Admission control of the complete lists that a relay sends. It bounds memory and bytes sent per second when a relay
//! restarts empty while all its heads request the complete list: a limited number of lists is sent concurrently,
//! further requests wait in a first-in first-out queue, and requests beyond the queue's limit are rejected with a retry
//! delay. Watches that resume from the log are not limited here.

use crate::random::CounterRandom;
use std::collections::VecDeque;

/// Limits on sending complete lists.
#[derive(Clone, Debug, PartialEq)]
pub struct SnapshotLimits {
    /// Limit on concurrent sends. Each may hold the encoding of an older version in memory: 16 sends of 1 MB each hold
    /// at most 16 MB.
    pub max_sending: usize,
    /// Limit on queued requests, enough for all heads of the planned fleet on one relay. A queued request takes only
    /// its id and size in memory, beside its open connection.
    pub max_queued: usize,
    /// Limit on bytes sent per second: 40% of a 1 Gbit/s link, which leaves the rest to changes.
    pub bytes_per_s: f64,
    /// Time limit of one send, in seconds, so that slow readers do not block other requests.
    pub send_timeout_s: f64,
    /// Rejected clients retry after a random delay between one and two times this, in seconds.
    pub retry_delay_s: f64,
}

impl Default for SnapshotLimits {
    fn default() -> SnapshotLimits {
        SnapshotLimits {
            max_sending: 16,
            max_queued: 8192,
            bytes_per_s: 50e6,
            send_timeout_s: 20.0,
            retry_delay_s: 4.0,
        }
    }
}

/// Identifies one request for the complete list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct SnapshotRequestId(u64);

/// The decision on a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum SnapshotDecision {
    /// Send the list now, and call [`SnapshotAdmission::finish`] after the send.
    Admitted(SnapshotRequestId),
    /// Wait until [`SnapshotAdmission::poll`] returns this request.
    Queued(SnapshotRequestId),
    /// The queue is full.
    Rejected {
        /// Random delay before the client may retry, in seconds.
        retry_after_s: f64,
    },
}

/// A request that waits for its admission.
#[derive(Debug)]
struct QueuedRequest {
    id: SnapshotRequestId,
    bytes: usize,
}

/// A list that is being sent.
#[derive(Debug)]
struct ActiveSend {
    id: SnapshotRequestId,
    started_at: f64,
}

/// The admission control of one relay: the complete lists that are being sent, and the queue of requests.
#[derive(Debug)]
pub struct SnapshotAdmission {
    limits: SnapshotLimits,
    sending: Vec<ActiveSend>,
    queue: VecDeque<QueuedRequest>,
    /// When the limit on bytes per second allows the next send to start.
    next_send_at: f64,
    last_id: u64,
    random: CounterRandom,
}

impl SnapshotAdmission {
    /// Creates an admission control without requests. Each relay needs its own seed, so that retry delays are spread.
    pub fn new(limits: SnapshotLimits, seed: u64) -> SnapshotAdmission {
        SnapshotAdmission {
            limits,
            sending: Vec::new(),
            queue: VecDeque::new(),
            next_send_at: f64::NEG_INFINITY,
            last_id: 0,
            random: CounterRandom::new(seed),
        }
    }

    /// Requests the admission of one complete list of this size.
    pub fn request(&mut self, bytes: usize, now: f64) -> SnapshotDecision {
        if self.queue.len() >= self.limits.max_queued {
            let shortest = self.limits.retry_delay_s;
            let retry_after_s = self.random.uniform(shortest, 2.0 * shortest);
            return SnapshotDecision::Rejected { retry_after_s };
        }
        self.last_id += 1;
        let id = SnapshotRequestId(self.last_id);
        if self.queue.is_empty() && self.has_capacity(now) {
            self.admit(id, bytes, now);
            return SnapshotDecision::Admitted(id);
        }
        self.queue.push_back(QueuedRequest { id, bytes });
        SnapshotDecision::Queued(id)
    }

    /// Admits queued requests in order as far as the limits allow, and returns the admitted ones.
    pub fn poll(&mut self, now: f64) -> Vec<SnapshotRequestId> {
        let mut admitted = Vec::new();
        while self.has_capacity(now) {
            let Some(request) = self.queue.pop_front() else { break };
            self.admit(request.id, request.bytes, now);
            admitted.push(request.id);
        }
        admitted
    }

    /// Removes a request whose list was sent, or whose client has disconnected.
    pub fn finish(&mut self, id: SnapshotRequestId) {
        self.sending.retain(|send| send.id != id);
        self.queue.retain(|request| request.id != id);
    }

    /// The sends that exceed the time limit. The caller has to end their watches and call
    /// [`SnapshotAdmission::finish`].
    pub fn timed_out(&self, now: f64) -> Vec<SnapshotRequestId> {
        let late = self.sending.iter().filter(|send| now - send.started_at >= self.limits.send_timeout_s);
        late.map(|send| send.id).collect()
    }

    /// When [`SnapshotAdmission::poll`] may admit the next request; `None` if the queue is empty, or if the number of
    /// concurrent sends is at its limit.
    pub fn next_poll(&self) -> Option<f64> {
        let waits_for_rate = self.sending.len() < self.limits.max_sending && !self.queue.is_empty();
        waits_for_rate.then_some(self.next_send_at)
    }

    /// Number of lists that are being sent.
    pub fn sending(&self) -> usize {
        self.sending.len()
    }

    /// Number of queued requests.
    pub fn queued(&self) -> usize {
        self.queue.len()
    }

    fn has_capacity(&self, now: f64) -> bool {
        self.sending.len() < self.limits.max_sending && self.next_send_at <= now
    }

    fn admit(&mut self, id: SnapshotRequestId, bytes: usize, now: f64) {
        self.sending.push(ActiveSend { id, started_at: now });
        self.next_send_at = self.next_send_at.max(now) + bytes as f64 / self.limits.bytes_per_s;
    }
}
