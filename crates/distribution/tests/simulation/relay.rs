//! A simulated relay: the real replica, watchers and admission control, with a watch on discovery.

use super::{
    Connection, EventQueue, SimulatedEvent, Simulation, SimulationPlan, UPSTREAM_HEARTBEAT_S, WatchMessage,
};
use bytes::Bytes;
use flaxgap_distribution::replica::{Replica, ReplicaLimits, ReplicaStatus};
use flaxgap_distribution::selection::{LostReason, RelayInfo, WatchId};
use flaxgap_distribution::snapshot_admission::{
    SnapshotAdmission, SnapshotDecision, SnapshotLimits, SnapshotRequestId,
};
use flaxgap_distribution::watcher::{WatchAction, Watcher};
use rand::Rng;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Bandwidth of the link to one head, in bytes per second.
const LINK_BYTES_PER_S: f64 = 12.5e6;

/// The failure of a relay's machine, as its peers see it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RelayFailure {
    /// Open connections are reset, and new ones are refused.
    ConnectionRefused,
    /// Messages are lost without an error.
    Unresponsive,
}

/// A watch that a relay serves.
struct SimulatedSession {
    head: usize,
    watch_id: WatchId,
    watcher: Watcher,
    request_id: Option<SnapshotRequestId>,
    /// When the last message that was sent arrives; later messages do not arrive earlier.
    arrives_at: f64,
    next_poll_at: f64,
}

/// A relay between discovery and heads.
pub struct Relay {
    pub info: RelayInfo,
    pub replica: Replica,
    limits: ReplicaLimits,
    admission: SnapshotAdmission,
    sessions: BTreeMap<Connection, SimulatedSession>,
    /// The connections of the requests for the complete list that are queued or admitted.
    requests: BTreeMap<SnapshotRequestId, Connection>,
    /// The encoded complete lists that are being sent.
    sending: BTreeMap<SnapshotRequestId, Bytes>,
    pub failure: Option<RelayFailure>,
    /// Whether messages from discovery do not reach the relay.
    pub without_upstream: bool,
    /// Whether the next message from discovery is the complete list, even if the relay watches for changes.
    pub receives_snapshot_next: bool,
    /// Number of starts. Events of an earlier incarnation are ignored.
    incarnation: u64,
    lag_s: f64,
    /// When heads requested watches.
    pub requested_at: Vec<f64>,
    /// When the relay started to send complete lists, and their sizes in bytes.
    pub sent_snapshots: Vec<(f64, usize)>,
    /// Maximum size of the log and the lists that are being sent, in bytes.
    pub peak_bytes: usize,
    /// Number of messages sent while the replica was not current.
    pub sent_while_expired: usize,
}

impl Relay {
    pub fn new(info: RelayInfo, plan: &SimulationPlan, event_queue: &mut EventQueue) -> Relay {
        let number =
            plan.relays.iter().position(|relay| relay.name == info.name).expect("a relay of the plan");
        let mut relay = Relay {
            info,
            replica: Replica::new(plan.limits.clone()),
            limits: plan.limits.clone(),
            admission: SnapshotAdmission::new(SnapshotLimits::default(), plan.seed),
            sessions: BTreeMap::new(),
            requests: BTreeMap::new(),
            sending: BTreeMap::new(),
            failure: None,
            without_upstream: false,
            receives_snapshot_next: false,
            incarnation: 0,
            lag_s: plan.upstream_lag_s,
            requested_at: Vec::new(),
            sent_snapshots: Vec::new(),
            peak_bytes: 0,
            sent_while_expired: 0,
        };
        relay.start(number, event_queue);
        relay
    }

    fn start(&mut self, number: usize, event_queue: &mut EventQueue) {
        self.incarnation += 1;
        let incarnation = self.incarnation;
        let first = event_queue.now + event_queue.rng.random_range(0.0..0.5);
        event_queue.at(first, SimulatedEvent::UpstreamSends { relay: number, incarnation });
        event_queue.at(
            first + UPSTREAM_HEARTBEAT_S,
            SimulatedEvent::UpstreamHeartbeat { relay: number, incarnation },
        );
    }

    pub fn watchers(&self) -> usize {
        self.sessions.len()
    }

    /// The maximum sum of the counts within any second. The events have to be ordered by time.
    pub fn peak_per_second(events: impl Iterator<Item = (f64, usize)>) -> usize {
        let (mut window, mut sum, mut peak) = (VecDeque::new(), 0, 0);
        for (at, count) in events {
            window.push_back((at, count));
            sum += count;
            while let Some((oldest_at, oldest_count)) = window.front()
                && *oldest_at <= at - 1.0
            {
                sum -= oldest_count;
                window.pop_front();
            }
            peak = peak.max(sum);
        }
        peak
    }

    fn record_peak_bytes(&mut self) {
        let texts: BTreeSet<(usize, usize)> =
            self.sending.values().map(|text| (text.as_ptr() as usize, text.len())).collect();
        let bytes = self.replica.log().bytes() + texts.iter().map(|(_, length)| length).sum::<usize>();
        self.peak_bytes = self.peak_bytes.max(bytes);
    }
}

impl Simulation {
    /// Stops a relay's machine.
    pub fn stop_relay(&mut self, relay: usize, failure: RelayFailure) {
        let state = &mut self.relays[relay];
        (state.failure, state.incarnation) = (Some(failure), state.incarnation + 1);
        state.requests.clear();
        state.sending.clear();
        for (connection, session) in std::mem::take(&mut state.sessions) {
            if failure == RelayFailure::ConnectionRefused {
                let message = WatchMessage::Lost(LostReason::ConnectionLost);
                self.send(relay, connection, session.head, session.watch_id, session.arrives_at, message);
            }
        }
    }

    /// Restarts a relay with an empty replica.
    pub fn restart_relay(&mut self, relay: usize) {
        let state = &mut self.relays[relay];
        (state.failure, state.replica) = (None, Replica::new(state.limits.clone()));
        state.admission = SnapshotAdmission::new(SnapshotLimits::default(), relay as u64);
        state.start(relay, &mut self.event_queue);
    }

    /// Announces a new version of discovery to all relays, each after a random delay.
    pub fn publish(&mut self) {
        for relay in 0..self.relays.len() {
            let (incarnation, lag) = (self.relays[relay].incarnation, self.relays[relay].lag_s);
            let at = self.event_queue.now + self.event_queue.rng.random_range(0.0..lag);
            self.event_queue.at(at, SimulatedEvent::UpstreamSends { relay, incarnation });
        }
    }

    fn receives_upstream(&self, relay: usize, incarnation: u64) -> bool {
        let state = &self.relays[relay];
        let reached =
            self.is_connected(&state.info.region, &self.discovery_region) && !state.without_upstream;
        state.incarnation == incarnation && state.failure.is_none() && reached
    }

    pub(super) fn upstream_sends(&mut self, relay: usize, incarnation: u64) {
        if !self.receives_upstream(relay, incarnation) {
            return;
        }
        let now = self.event_queue.now;
        let state = &mut self.relays[relay];
        let cursor = state.replica.upstream_version();
        let needs_snapshot =
            std::mem::take(&mut state.receives_snapshot_next) || state.replica.needs_relist(now);
        // A source that has restarted its numbering does not know the cursor, and sends the complete list.
        let needs_snapshot =
            needs_snapshot || self.discovery.sends_snapshots_only || cursor > self.discovery.version();
        if !needs_snapshot && cursor == self.discovery.version() {
            state.replica.renew_lease(now);
        } else {
            let list =
                if needs_snapshot { self.discovery.snapshot() } else { self.discovery.changes(cursor) };
            state.replica.apply(list, now).expect("an encoded list");
        }
        state.record_peak_bytes();
        self.serve_all(relay);
    }

    pub(super) fn upstream_heartbeat(&mut self, relay: usize, incarnation: u64) {
        if self.relays[relay].incarnation != incarnation {
            return;
        }
        self.upstream_sends(relay, incarnation);
        let at = self.event_queue.now + UPSTREAM_HEARTBEAT_S;
        self.event_queue.at(at, SimulatedEvent::UpstreamHeartbeat { relay, incarnation });
    }

    pub(super) fn watch_requested(
        &mut self,
        relay: usize,
        head: usize,
        watch_id: WatchId,
        connection: Connection,
        since: u64,
    ) {
        let now = self.event_queue.now;
        let state = &mut self.relays[relay];
        state.requested_at.push(now);
        if !self.is_connected(&self.relays[relay].info.region, &self.heads[head].locality.region) {
            return;
        }
        let state = &mut self.relays[relay];
        let is_refused = state.failure == Some(RelayFailure::ConnectionRefused)
            || state.replica.status(now) != ReplicaStatus::Current;
        match state.failure {
            Some(RelayFailure::Unresponsive) => {}
            _ if is_refused => {
                self.send(
                    relay,
                    connection,
                    head,
                    watch_id,
                    now,
                    WatchMessage::Lost(LostReason::Unavailable),
                );
            }
            _ => {
                let watcher = Watcher::new(since, state.replica.generation(), now);
                let session = SimulatedSession {
                    head,
                    watch_id,
                    watcher,
                    request_id: None,
                    arrives_at: now,
                    next_poll_at: 0.0,
                };
                state.sessions.insert(connection, session);
                self.serve(relay, connection);
            }
        }
    }

    pub(super) fn watch_closed(&mut self, relay: usize, connection: Connection) {
        let state = &mut self.relays[relay];
        let Some(session) = state.sessions.remove(&connection) else { return };
        if let Some(request_id) = session.request_id {
            self.finish(relay, request_id);
        }
    }

    pub(super) fn watcher_polls(&mut self, relay: usize, incarnation: u64, connection: Connection) {
        if self.relays[relay].incarnation == incarnation {
            self.serve(relay, connection);
        }
    }

    fn serve_all(&mut self, relay: usize) {
        let connections: Vec<Connection> = self.relays[relay].sessions.keys().copied().collect();
        connections.into_iter().for_each(|connection| self.serve(relay, connection));
    }

    /// Polls a watcher and performs its actions until it waits or ends.
    fn serve(&mut self, relay: usize, connection: Connection) {
        let now = self.event_queue.now;
        loop {
            let state = &mut self.relays[relay];
            let Some(session) = state.sessions.get_mut(&connection) else { return };
            let (head, watch_id, arrives_at) = (session.head, session.watch_id, session.arrives_at);
            let next = session.watcher.poll(&state.replica, now);
            let is_sent = !matches!(next, WatchAction::Wait { .. } | WatchAction::End(_));
            state.sent_while_expired +=
                usize::from(is_sent && state.replica.status(now) != ReplicaStatus::Current);
            match next {
                WatchAction::Send(text) => {
                    self.send(relay, connection, head, watch_id, arrives_at, WatchMessage::List(text))
                }
                WatchAction::Heartbeat => {
                    self.send(relay, connection, head, watch_id, arrives_at, WatchMessage::Heartbeat)
                }
                WatchAction::RequestSnapshot => self.request_snapshot(relay, connection),
                WatchAction::Wait { until } => {
                    if session.next_poll_at <= now || until < session.next_poll_at {
                        session.next_poll_at = until;
                        let incarnation = state.incarnation;
                        self.event_queue
                            .at(until, SimulatedEvent::WatcherPolls { relay, incarnation, connection });
                    }
                    return;
                }
                WatchAction::End(_) => {
                    self.send(
                        relay,
                        connection,
                        head,
                        watch_id,
                        arrives_at,
                        WatchMessage::Lost(LostReason::EndedByRelay),
                    );
                    return self.watch_closed(relay, connection);
                }
            }
        }
    }

    /// Sends a message to a head. It arrives after all earlier messages on this connection.
    fn send(
        &mut self,
        relay: usize,
        connection: Connection,
        head: usize,
        watch_id: WatchId,
        arrives_at: f64,
        message: WatchMessage,
    ) {
        let arrives_at = (self.event_queue.now + self.event_queue.latency()).max(arrives_at);
        if let Some(session) = self.relays[relay].sessions.get_mut(&connection) {
            session.arrives_at = arrives_at;
        }
        if self.is_connected(&self.relays[relay].info.region, &self.heads[head].locality.region) {
            self.event_queue
                .at(arrives_at, SimulatedEvent::HeadReceives { head, watch_id, connection, message });
        }
    }

    fn request_snapshot(&mut self, relay: usize, connection: Connection) {
        let now = self.event_queue.now;
        let state = &mut self.relays[relay];
        let bytes = state.replica.snapshot().expect("an encoded list").len();
        let decision = state.admission.request(bytes, now);
        let Some(session) = state.sessions.get_mut(&connection) else { return };
        match decision {
            SnapshotDecision::Admitted(request_id) | SnapshotDecision::Queued(request_id) => {
                session.request_id = Some(request_id);
                state.requests.insert(request_id, connection);
                if matches!(decision, SnapshotDecision::Admitted(_)) {
                    self.send_snapshot(relay, request_id);
                }
            }
            SnapshotDecision::Rejected { retry_after_s } => {
                let (head, watch_id, arrives_at) = (session.head, session.watch_id, session.arrives_at);
                let message = WatchMessage::Lost(LostReason::Overloaded { retry_after_s });
                self.send(relay, connection, head, watch_id, arrives_at, message);
                self.watch_closed(relay, connection);
            }
        }
        self.schedule_admission(relay);
    }

    fn schedule_admission(&mut self, relay: usize) {
        let state = &self.relays[relay];
        if let Some(at) = state.admission.next_poll() {
            let incarnation = state.incarnation;
            self.event_queue.at(
                at.max(self.event_queue.now + 1e-4),
                SimulatedEvent::AdmissionPolls { relay, incarnation },
            );
        }
    }

    pub(super) fn admission_polls(&mut self, relay: usize, incarnation: u64) {
        if self.relays[relay].incarnation != incarnation {
            return;
        }
        let requests = self.relays[relay].admission.poll(self.event_queue.now);
        if requests.is_empty() {
            return;
        }
        requests.into_iter().for_each(|request_id| self.send_snapshot(relay, request_id));
        self.schedule_admission(relay);
    }

    fn send_snapshot(&mut self, relay: usize, request_id: SnapshotRequestId) {
        let now = self.event_queue.now;
        let state = &mut self.relays[relay];
        let connection = state.requests[&request_id];
        let Some(session) = state.sessions.get_mut(&connection) else { return };
        let (head, watch_id) = (session.head, session.watch_id);
        let text = session.watcher.take_snapshot(&mut state.replica, now).expect("an encoded list");
        let Some(text) = text else { return self.finish(relay, request_id) };
        state.sent_snapshots.push((now, text.len()));
        state.sending.insert(request_id, text.clone());
        state.record_peak_bytes();
        let sent_at = now + text.len() as f64 / LINK_BYTES_PER_S;
        let incarnation = state.incarnation;
        self.event_queue.at(sent_at, SimulatedEvent::SnapshotSent { relay, incarnation, request_id });
        self.send(relay, connection, head, watch_id, sent_at, WatchMessage::List(text));
        self.serve(relay, connection);
    }

    pub(super) fn snapshot_sent(&mut self, relay: usize, incarnation: u64, request_id: SnapshotRequestId) {
        if self.relays[relay].incarnation == incarnation {
            self.finish(relay, request_id);
        }
    }

    fn finish(&mut self, relay: usize, request_id: SnapshotRequestId) {
        let state = &mut self.relays[relay];
        state.admission.finish(request_id);
        state.sending.remove(&request_id);
        if let Some(connection) = state.requests.remove(&request_id)
            && let Some(session) = state.sessions.get_mut(&connection)
        {
            session.request_id = None;
        }
        self.schedule_admission(relay);
    }
}
