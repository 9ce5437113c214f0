//! A relay: the real replica, watchers and admission, with a watch on discovery.

use super::{Agenda, Connection, Happening, Plan, UPSTREAM_HEARTBEAT_S, Word, World};
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
pub enum Death {
    /// Its kernel tells all who are connected, and refuses who comes.
    Refuses,
    /// Nothing is heard of it.
    Silent,
}

struct Served {
    head: usize,
    watch_id: WatchId,
    watcher: Watcher,
    ticket: Option<SnapshotRequestId>,
    /// What is sent arrives in its order.
    arrives: f64,
    wakes_at: f64,
}

pub struct Relay {
    pub info: RelayInfo,
    pub replica: Replica,
    limits: ReplicaLimits,
    admission: SnapshotAdmission,
    served: BTreeMap<Connection, Served>,
    /// Whose list is being sent or waits.
    tickets: BTreeMap<SnapshotRequestId, Connection>,
    /// The texts of whole lists that are being sent.
    sending: BTreeMap<SnapshotRequestId, Bytes>,
    pub death: Option<Death>,
    /// Discovery's word does not reach it.
    pub without_upstream: bool,
    /// Its next word from discovery is the whole list, whatever it asks for.
    pub whole_next: bool,
    life: u64,
    lag_s: f64,
    /// When it was asked, and when it began to send how many bytes of whole lists.
    pub asked: Vec<f64>,
    pub sent_wholes: Vec<(f64, usize)>,
    pub most_bytes_held: usize,
    /// Lines sent while the copy was not current.
    pub sent_uncurrent: usize,
}

impl Relay {
    pub fn new(info: RelayInfo, plan: &Plan, agenda: &mut Agenda) -> Relay {
        let number =
            plan.relays.iter().position(|relay| relay.name == info.name).expect("a relay of the plan");
        let mut relay = Relay {
            info,
            replica: Replica::new(plan.limits.clone()),
            limits: plan.limits.clone(),
            admission: SnapshotAdmission::new(SnapshotLimits::default(), plan.seed),
            served: BTreeMap::new(),
            tickets: BTreeMap::new(),
            sending: BTreeMap::new(),
            death: None,
            without_upstream: false,
            whole_next: false,
            life: 0,
            lag_s: plan.upstream_lag_s,
            asked: Vec::new(),
            sent_wholes: Vec::new(),
            most_bytes_held: 0,
            sent_uncurrent: 0,
        };
        relay.start(number, agenda);
        relay
    }

    fn start(&mut self, number: usize, agenda: &mut Agenda) {
        self.life += 1;
        let life = self.life;
        let first = agenda.now + agenda.chance.random_range(0.0..0.5);
        agenda.at(first, Happening::UpstreamSpeaks { relay: number, life });
        agenda.at(first + UPSTREAM_HEARTBEAT_S, Happening::UpstreamBeats { relay: number, life });
    }

    pub fn watchers(&self) -> usize {
        self.served.len()
    }

    /// The most of something in any second; the times are in their order.
    pub fn most_in_a_second(times: impl Iterator<Item = (f64, usize)>) -> usize {
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

    fn note_bytes_held(&mut self) {
        let texts: BTreeSet<(usize, usize)> =
            self.sending.values().map(|text| (text.as_ptr() as usize, text.len())).collect();
        let held = self.replica.log().bytes() + texts.iter().map(|(_, length)| length).sum::<usize>();
        self.most_bytes_held = self.most_bytes_held.max(held);
    }
}

impl World {
    /// A relay's machine goes down.
    pub fn kill(&mut self, relay: usize, death: Death) {
        let state = &mut self.relays[relay];
        (state.death, state.life) = (Some(death), state.life + 1);
        state.tickets.clear();
        state.sending.clear();
        for (connection, served) in std::mem::take(&mut state.served) {
            if death == Death::Refuses {
                let word = Word::Lost(LostReason::ConnectionLost);
                self.say(relay, connection, served.head, served.watch_id, served.arrives, word);
            }
        }
    }

    /// It is back, and has lost everything.
    pub fn revive(&mut self, relay: usize) {
        let state = &mut self.relays[relay];
        (state.death, state.replica) = (None, Replica::new(state.limits.clone()));
        state.admission = SnapshotAdmission::new(SnapshotLimits::default(), relay as u64);
        state.start(relay, &mut self.agenda);
    }

    /// All relays hear of a new version of discovery, each after its own delay.
    pub fn publish(&mut self) {
        for relay in 0..self.relays.len() {
            let (life, lag) = (self.relays[relay].life, self.relays[relay].lag_s);
            let at = self.agenda.now + self.agenda.chance.random_range(0.0..lag);
            self.agenda.at(at, Happening::UpstreamSpeaks { relay, life });
        }
    }

    fn hears_upstream(&self, relay: usize, life: u64) -> bool {
        let state = &self.relays[relay];
        let reached = self.joined(&state.info.region, &self.discovery_region) && !state.without_upstream;
        state.life == life && state.death.is_none() && reached
    }

    pub(super) fn upstream_speaks(&mut self, relay: usize, life: u64) {
        if !self.hears_upstream(relay, life) {
            return;
        }
        let now = self.agenda.now;
        let state = &mut self.relays[relay];
        let cursor = state.replica.upstream_version();
        let whole = std::mem::take(&mut state.whole_next) || state.replica.needs_relist(now);
        // A source that counts anew does not know the cursor, and gives the whole list.
        let whole = whole || self.discovery.only_whole || cursor > self.discovery.version();
        if !whole && cursor == self.discovery.version() {
            state.replica.renew_lease(now);
        } else {
            let list = if whole { self.discovery.whole() } else { self.discovery.changes(cursor) };
            state.replica.apply(list, now).expect("a list that can be written");
        }
        state.note_bytes_held();
        self.serve_all(relay);
    }

    pub(super) fn upstream_beats(&mut self, relay: usize, life: u64) {
        if self.relays[relay].life != life {
            return;
        }
        self.upstream_speaks(relay, life);
        let at = self.agenda.now + UPSTREAM_HEARTBEAT_S;
        self.agenda.at(at, Happening::UpstreamBeats { relay, life });
    }

    pub(super) fn relay_asked(
        &mut self,
        relay: usize,
        head: usize,
        watch_id: WatchId,
        connection: Connection,
        since: u64,
    ) {
        let now = self.agenda.now;
        let state = &mut self.relays[relay];
        state.asked.push(now);
        if !self.joined(&self.relays[relay].info.region, &self.heads[head].locality.region) {
            return;
        }
        let state = &mut self.relays[relay];
        let refused =
            state.death == Some(Death::Refuses) || state.replica.status(now) != ReplicaStatus::Current;
        match state.death {
            Some(Death::Silent) => {}
            _ if refused => {
                self.say(relay, connection, head, watch_id, now, Word::Lost(LostReason::Unavailable));
            }
            _ => {
                let watcher = Watcher::new(since, state.replica.generation(), now);
                let served = Served { head, watch_id, watcher, ticket: None, arrives: now, wakes_at: 0.0 };
                state.served.insert(connection, served);
                self.serve(relay, connection);
            }
        }
    }

    pub(super) fn relay_left(&mut self, relay: usize, connection: Connection) {
        let state = &mut self.relays[relay];
        let Some(served) = state.served.remove(&connection) else { return };
        if let Some(ticket) = served.ticket {
            self.finish(relay, ticket);
        }
    }

    pub(super) fn watcher_wakes(&mut self, relay: usize, life: u64, connection: Connection) {
        if self.relays[relay].life == life {
            self.serve(relay, connection);
        }
    }

    fn serve_all(&mut self, relay: usize) {
        let connections: Vec<Connection> = self.relays[relay].served.keys().copied().collect();
        connections.into_iter().for_each(|connection| self.serve(relay, connection));
    }

    /// Lets a watcher do all that it can do now.
    fn serve(&mut self, relay: usize, connection: Connection) {
        let now = self.agenda.now;
        loop {
            let state = &mut self.relays[relay];
            let Some(served) = state.served.get_mut(&connection) else { return };
            let (head, watch_id, arrives) = (served.head, served.watch_id, served.arrives);
            let next = served.watcher.poll(&state.replica, now);
            let says = !matches!(next, WatchAction::Wait { .. } | WatchAction::End(_));
            state.sent_uncurrent += usize::from(says && state.replica.status(now) != ReplicaStatus::Current);
            match next {
                WatchAction::Send(text) => {
                    self.say(relay, connection, head, watch_id, arrives, Word::Text(text))
                }
                WatchAction::Heartbeat => {
                    self.say(relay, connection, head, watch_id, arrives, Word::Heartbeat)
                }
                WatchAction::RequestSnapshot => self.ask_admission(relay, connection),
                WatchAction::Wait { until } => {
                    if served.wakes_at <= now || until < served.wakes_at {
                        served.wakes_at = until;
                        let life = state.life;
                        self.agenda.at(until, Happening::WatcherWakes { relay, life, connection });
                    }
                    return;
                }
                WatchAction::End(_) => {
                    self.say(
                        relay,
                        connection,
                        head,
                        watch_id,
                        arrives,
                        Word::Lost(LostReason::EndedByRelay),
                    );
                    return self.relay_left(relay, connection);
                }
            }
        }
    }

    /// Something goes to a head, after all that went to it before on this connection.
    fn say(
        &mut self,
        relay: usize,
        connection: Connection,
        head: usize,
        watch_id: WatchId,
        arrives: f64,
        word: Word,
    ) {
        let arrives = (self.agenda.now + self.agenda.latency()).max(arrives);
        if let Some(served) = self.relays[relay].served.get_mut(&connection) {
            served.arrives = arrives;
        }
        if self.joined(&self.relays[relay].info.region, &self.heads[head].locality.region) {
            self.agenda.at(arrives, Happening::HeadHears { head, watch_id, connection, word });
        }
    }

    fn ask_admission(&mut self, relay: usize, connection: Connection) {
        let now = self.agenda.now;
        let state = &mut self.relays[relay];
        let bytes = state.replica.snapshot().expect("a list that can be written").len();
        let admitted = state.admission.request(bytes, now);
        let Some(served) = state.served.get_mut(&connection) else { return };
        match admitted {
            SnapshotDecision::Admitted(ticket) | SnapshotDecision::Queued(ticket) => {
                served.ticket = Some(ticket);
                state.tickets.insert(ticket, connection);
                if matches!(admitted, SnapshotDecision::Admitted(_)) {
                    self.send_whole(relay, ticket);
                }
            }
            SnapshotDecision::Rejected { retry_after_s } => {
                let (head, watch_id, arrives) = (served.head, served.watch_id, served.arrives);
                let word = Word::Lost(LostReason::Overloaded { retry_after_s });
                self.say(relay, connection, head, watch_id, arrives, word);
                self.relay_left(relay, connection);
            }
        }
        self.plan_admission(relay);
    }

    fn plan_admission(&mut self, relay: usize) {
        let state = &self.relays[relay];
        if let Some(at) = state.admission.next_poll() {
            let life = state.life;
            self.agenda.at(at.max(self.agenda.now + 1e-4), Happening::AdmissionWakes { relay, life });
        }
    }

    pub(super) fn admission_wakes(&mut self, relay: usize, life: u64) {
        if self.relays[relay].life != life {
            return;
        }
        let tickets = self.relays[relay].admission.poll(self.agenda.now);
        if tickets.is_empty() {
            return;
        }
        tickets.into_iter().for_each(|ticket| self.send_whole(relay, ticket));
        self.plan_admission(relay);
    }

    fn send_whole(&mut self, relay: usize, ticket: SnapshotRequestId) {
        let now = self.agenda.now;
        let state = &mut self.relays[relay];
        let connection = state.tickets[&ticket];
        let Some(served) = state.served.get_mut(&connection) else { return };
        let (head, watch_id) = (served.head, served.watch_id);
        let text = served.watcher.take_snapshot(&mut state.replica, now).expect("a list that can be written");
        let Some(text) = text else { return self.finish(relay, ticket) };
        state.sent_wholes.push((now, text.len()));
        state.sending.insert(ticket, text.clone());
        state.note_bytes_held();
        let sent = now + text.len() as f64 / LINE_BYTES_PER_S;
        let life = state.life;
        self.agenda.at(sent, Happening::WholeSent { relay, life, ticket });
        self.say(relay, connection, head, watch_id, sent, Word::Text(text));
        self.serve(relay, connection);
    }

    pub(super) fn whole_sent(&mut self, relay: usize, life: u64, ticket: SnapshotRequestId) {
        if self.relays[relay].life == life {
            self.finish(relay, ticket);
        }
    }

    fn finish(&mut self, relay: usize, ticket: SnapshotRequestId) {
        let state = &mut self.relays[relay];
        state.admission.finish(ticket);
        state.sending.remove(&ticket);
        if let Some(connection) = state.tickets.remove(&ticket)
            && let Some(served) = state.served.get_mut(&connection)
        {
            served.ticket = None;
        }
        self.plan_admission(relay);
    }
}
