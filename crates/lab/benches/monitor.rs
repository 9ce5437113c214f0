//! The cost of load shedding to a head: the monitor and its evaluations at 2,000 requests a second. One iteration is
//! one second of such load, so that its time is the fraction of a core that load shedding takes.
#![allow(missing_docs)] // of what the macros make

use criterion::{Criterion, criterion_group, criterion_main};
use flaxgap::scheduler::{
    Action, AttemptOutcome, ClassId, Endpoint, Event, IoRequest, LoadReport, NodeId, NodeState, PlanId,
    RequestId, ReservedWorkStats, ShardId, UpdateKind, VolumeId, ZoneId,
};
use flaxgap::shedding::monitor::{LoadMonitor, ResourceGauges};
use flaxgap_lab::fleet::{Fleet, Size};
use flaxgap_load_shedding::{LevelManager, SheddingSettings};
use std::collections::BTreeMap;
use std::hint::black_box;

/// Requests a second.
const REQUESTS_PER_S: u32 = 2000;
/// Calls of the scheduler a second.
const CALLS_PER_S: u32 = 500;
/// Evaluations of the levels a second.
const EVALUATIONS_PER_S: u32 = 4;
/// Requests that arrive, and that end, between two calls.
const REQUESTS_PER_CALL: u32 = REQUESTS_PER_S / CALLS_PER_S;
/// Pending requests: those of a tenth of a second.
const PENDING: u32 = REQUESTS_PER_S / 10;
/// Nodes of the fleet.
const NODES: u32 = 30;
/// Zones that the nodes are in.
const ZONES: u32 = 3;

type ReservedWork = BTreeMap<(Option<ZoneId>, ClassId), ReservedWorkStats>;

fn request(id: u32) -> IoRequest {
    IoRequest {
        id: RequestId(id),
        class: ClassId(id as usize % 2),
        plan: PlanId(id as usize % 2),
        volume: VolumeId(u64::from(id % 60)),
        extent: None,
        shard: Some(ShardId(id % NODES)),
        remaining_s: 2.0,
        units: 2.0,
        heads: 2,
        client_retry: false,
    }
}

fn attempt_ended(id: u32) -> Event {
    Event::AttemptEnded {
        request: RequestId(id),
        attempt: 0,
        outcome: AttemptOutcome::Ok,
        elapsed_s: 0.1,
        request_done: true,
        not_resendable: false,
        usage: Some(f64::from(id % 7)),
        usage_elsewhere: 0.0,
        load_report: LoadReport::default(),
    }
}

fn send(id: u32, expires_at: f64) -> Action {
    Action::Send { request: RequestId(id), node: NodeId(u64::from(id % NODES)), expires_at }
}

/// Two more requests of each class, served in time by one zone's nodes.
fn add_served(reserved_work: &mut ReservedWork, zone: u32) {
    for class in 0..2 {
        let stats = reserved_work.entry((Some(ZoneId(zone as u16)), ClassId(class))).or_default();
        stats.met_objective += 2;
        stats.completed += 2;
        stats.total_delay_s += 0.2;
    }
}

/// One second of load from `now` on, whose first request has the number `first_id`.
fn one_second(monitor: &mut LoadMonitor, reserved_work: &mut ReservedWork, first_id: u32, now: f64) {
    for call in 0..CALLS_PER_S {
        let at = now + f64::from(call) / f64::from(CALLS_PER_S);
        let first = first_id + call * REQUESTS_PER_CALL;
        let ids = first..first + REQUESTS_PER_CALL;
        let ended = ids.clone().filter(|id| *id >= PENDING).map(|id| attempt_ended(id - PENDING));
        let arrived = ids.clone().map(|id| Event::RequestArrived(request(id)));
        let events: Vec<Event> = arrived.chain(ended).collect();
        let actions: Vec<Action> = ids.map(|id| send(id, at)).collect();
        monitor.record(at, &events, &actions);
        add_served(reserved_work, call % ZONES);
        if call % (CALLS_PER_S / EVALUATIONS_PER_S) == 0 {
            let gauges = ResourceGauges { memory: 0.1, descriptors: 0.2, scheduler_cpu_s: at / 50.0 };
            black_box(monitor.evaluate(at, reserved_work, gauges));
        }
    }
}

fn endpoint(node: u32) -> Endpoint {
    Endpoint {
        node: NodeId(u64::from(node)),
        shard: ShardId(node),
        started_at: 0.0,
        zone: ZoneId((node % ZONES) as u16),
        state: NodeState::Ready,
    }
}

fn cost(c: &mut Criterion) {
    let fleet = Fleet::draw(Size { heads: 5, nodes: NODES as usize, ..Size::default() }, 1);
    let Ok(settings) = SheddingSettings::with_defaults(&fleet.names, &[false, true]) else { return };
    let mut monitor = LoadMonitor::new(LevelManager::new(settings, 0.0), &fleet.settings, 0.0);
    let endpoints = (0..NODES).map(endpoint).collect();
    monitor.record(0.0, &[Event::EndpointUpdate { kind: UpdateKind::Snapshot, endpoints }], &[]);
    let mut reserved_work = ReservedWork::new();
    let mut first_id = 0;
    let mut now = 0.0;
    c.bench_function("one second of 2,000 requests monitored", |b| {
        b.iter(|| {
            one_second(&mut monitor, &mut reserved_work, first_id, now);
            first_id += REQUESTS_PER_S;
            now += 1.0;
        });
    });
}

criterion_group!(benches, cost);
criterion_main!(benches);
