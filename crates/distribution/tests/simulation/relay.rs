//! A relay: the real replica, watchers and admission, with a watch on discovery.

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

/// What one head's line takes, in bytes per second.
const LINE_BYTES_PER_S: f64 = 12.5e6;

/// How a relay's machine goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RelayFailure {
    /// Its kernel tells all who are connected, and refuses who comes.
    ConnectionRefused,
    /// Nothing is heard of it.
    Unresponsive,
}

struct SimulatedSession {
    head: usize,
    watch_id: WatchId,
    watcher: Watcher,
    request_id: Option<SnapshotRequestId>,
    /// What is sent arrives_at in its order.
    arrives_at: f64,
    next_poll_at: f64,
}

pub struct Relay {
    pub info: RelayInfo,
    pub replica: Replica,
    limits: ReplicaLimits,
    admission: SnapshotAdmission,
    session: BTreeMap<Connection, SimulatedSession>,
    /// Whose list is being sent or waits.
    requests: BTreeMap<SnapshotRequestId, Connection>,
    /// The texts of complete lists that are being sent.
    sending: BTreeMap<SnapshotRequestId, Bytes>,
    pub failure: Option<RelayFailure>,
    /// Discovery's message does not reach it.
    pub without_upstream: bool,
    /// Its next message from discovery is the complete list, whatever it asks for.
    pub sends_snapshot_next: bool,
    incarnation: u64,
    lag_s: f64,
    /// When it was asked, and when it began to send how many bytes of complete lists.
    pub asked: Vec<f64>,
    pub sent_snapshots: Vec<(f64, usize)>,
    pub peak_bytes: usize,
    /// Lines sent while the copy was not current.
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
            session: BTreeMap::new(),
            requests: BTreeMap::new(),
            sending: BTreeMap::new(),
            failure: None,
            without_upstream: false,
            sends_snapshot_next: false,
            incarnation: 0,
            lag_s: plan.upstream_lag_s,
            asked: Vec::new(),
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
        self.session.len()
    }

    /// The most of something in any second; the times are in their order.
    pub fn peak_per_second(times: impl Iterator<Item = (f64, usize)>) -> usize {
        let (mut window, mut sum, mut most) = (VecDeque::new(), 0, 0);
        for (at, count) in times {
            window.push_back((at, count));
            sum += count;
            while let Some((first, old)) = window.front()
                && *first <= at - 1.0
            {
                sum -= old;
                window.pop_front();
            }
            most = most.max(sum);
        }
        most
    }

    fn record_peak_bytes(&mut self) {
        let texts: BTreeSet<(usize, usize)> =
            self.sending.values().map(|text| (text.as_ptr() as usize, text.len())).collect();
        let held = self.replica.log().bytes() + texts.iter().map(|(_, length)| length).sum::<usize>();
        self.peak_bytes = self.peak_bytes.max(held);
    }
}

impl Simulation {
    /// A relay's machine goes down.
    pub fn kill(&mut self, relay: usize, failure: RelayFailure) {
        let state = &mut self.relays[relay];
        (state.failure, state.incarnation) = (Some(failure), state.incarnation + 1);
        state.requests.clear();
        state.sending.clear();
        for (connection, session) in std::mem::take(&mut state.session) {
            if failure == RelayFailure::ConnectionRefused {
                let message = WatchMessage::Lost(LostReason::ConnectionLost);
                self.send(relay, connection, session.head, session.watch_id, session.arrives_at, message);
            }
        }
    }

    /// It is back, and has lost everything.
    pub fn revive(&mut self, relay: usize) {
        let state = &mut self.relays[relay];
        (state.failure, state.replica) = (None, Replica::new(state.limits.clone()));
        state.admission = SnapshotAdmission::new(SnapshotLimits::default(), relay as u64);
        state.start(relay, &mut self.event_queue);
    }

    /// All relays hear of a new version of discovery, each after its own delay.
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
            std::mem::take(&mut state.sends_snapshot_next) || state.replica.needs_relist(now);
        // A source that restarts its numbering does not know the cursor, and gives the complete list.
        let needs_snapshot =
            needs_snapshot || self.discovery.sends_snapshots_only || cursor > self.discovery.version();
        if !needs_snapshot && cursor == self.discovery.version() {
            state.replica.renew_lease(now);
        } else {
            let list =
                if needs_snapshot { self.discovery.snapshot() } else { self.discovery.changes(cursor) };
            state.replica.apply(list, now).expect("a list that can be written");
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
        state.asked.push(now);
        if !self.is_connected(&self.relays[relay].info.region, &self.heads[head].locality.region) {
            return;
        }
        let state = &mut self.relays[relay];
        let refused = state.failure == Some(RelayFailure::ConnectionRefused)
            || state.replica.status(now) != ReplicaStatus::Current;
        match state.failure {
            Some(RelayFailure::Unresponsive) => {}
            _ if refused => {
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
                state.session.insert(connection, session);
                self.serve(relay, connection);
            }
        }
    }

    pub(super) fn watch_closed(&mut self, relay: usize, connection: Connection) {
        let state = &mut self.relays[relay];
        let Some(session) = state.session.remove(&connection) else { return };
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
        let connections: Vec<Connection> = self.relays[relay].session.keys().copied().collect();
        connections.into_iter().for_each(|connection| self.serve(relay, connection));
    }

    /// Lets a watcher do all that it can do now.
    fn serve(&mut self, relay: usize, connection: Connection) {
        let now = self.event_queue.now;
        loop {
            let state = &mut self.relays[relay];
            let Some(session) = state.session.get_mut(&connection) else { return };
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

    /// Something goes to a head, after all that went to it before on this connection.
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
        if let Some(session) = self.relays[relay].session.get_mut(&connection) {
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
        let bytes = state.replica.snapshot().expect("a list that can be written").len();
        let admitted = state.admission.request(bytes, now);
        let Some(session) = state.session.get_mut(&connection) else { return };
        match admitted {
            SnapshotDecision::Admitted(request_id) | SnapshotDecision::Queued(request_id) => {
                session.request_id = Some(request_id);
                state.requests.insert(request_id, connection);
                if matches!(admitted, SnapshotDecision::Admitted(_)) {
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
        let Some(session) = state.session.get_mut(&connection) else { return };
        let (head, watch_id) = (session.head, session.watch_id);
        let text =
            session.watcher.take_snapshot(&mut state.replica, now).expect("a list that can be written");
        let Some(text) = text else { return self.finish(relay, request_id) };
        state.sent_snapshots.push((now, text.len()));
        state.sending.insert(request_id, text.clone());
        state.record_peak_bytes();
        let sent = now + text.len() as f64 / LINE_BYTES_PER_S;
        let incarnation = state.incarnation;
        self.event_queue.at(sent, SimulatedEvent::SnapshotSent { relay, incarnation, request_id });
        self.send(relay, connection, head, watch_id, sent, WatchMessage::List(text));
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
            && let Some(session) = state.session.get_mut(&connection)
        {
            session.request_id = None;
        }
        self.schedule_admission(relay);
    }
}
