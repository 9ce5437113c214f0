//! What levels cost a head: the monitor and its looks at 2,000 requests a second. One iteration is one second of such
//! load, so that its time is the part of a core that levels take.
#![allow(missing_docs)] // of what the macros make

use criterion::{Criterion, criterion_group, criterion_main};
use flaxgap::scheduler::{
    Action, AttemptOutcome, ClassId, Endpoint, Event, IoRequest, LoadReport, NodeId, NodeState, PlanId,
    RequestId, ReservedWorkStats, ShardId, UpdateKind, VolumeId, ZoneId,
};
use flaxgap::shedding::monitor::{Gauges, LoadMonitor};
use flaxgap_lab::fleet::{Fleet, Size};
use flaxgap_load_shedding::{Governor, Settings as Levels};
use std::collections::BTreeMap;
use std::hint::black_box;

/// Requests a second, and calls of the module in it.
const RATE: u32 = 2000;
const CALLS: u32 = 500;
/// Requests in hand at a time: a tenth of a second's.
const HELD: u32 = RATE / 10;

fn second(
    monitor: &mut LoadMonitor,
    kept: &mut BTreeMap<(Option<ZoneId>, ClassId), ReservedWorkStats>,
    base: u32,
    now: f64,
) {
    let each = RATE / CALLS;
    for call in 0..CALLS {
        let at = now + f64::from(call) / f64::from(CALLS);
        let first = base + call * each;
        let ask = |id| IoRequest {
            id: RequestId(id),
            class: ClassId(id as usize % 2),
            plan: PlanId(id as usize % 2),
            volume: VolumeId(u64::from(id % 60)),
            extent: None,
            shard: Some(ShardId(id % 30)),
            remaining_s: 2.0,
            units: 2.0,
            heads: 2,
            client_retry: false,
        };
        let ended = |id| Event::AttemptEnded {
            request: RequestId(id),
            attempt: 0,
            outcome: AttemptOutcome::Ok,
            elapsed_s: 0.1,
            request_done: true,
            not_resendable: false,
            usage: Some(f64::from(id % 7)),
            usage_elsewhere: 0.0,
            load_report: LoadReport::default(),
        };
        let ids = first..first + each;
        let old = ids.clone().filter(|id| *id >= HELD).map(|id| ended(id - HELD));
        let events: Vec<Event> = ids.clone().map(|id| Event::RequestArrived(ask(id))).chain(old).collect();
        let send =
            |id| Action::Send { request: RequestId(id), node: NodeId(u64::from(id % 30)), expires_at: at };
        monitor.heed(at, &events, &ids.map(send).collect::<Vec<_>>());
        for class in 0..2 {
            let kept = kept.entry((Some(ZoneId((call % 3) as u16)), ClassId(class))).or_default();
            (kept.met_objective, kept.completed, kept.total_delay_s) =
                (kept.met_objective + 2, kept.completed + 2, kept.total_delay_s + 0.2);
        }
        if call % (CALLS / 4) == 0 {
            black_box(monitor.look(at, kept, Gauges { memory: 0.1, descriptors: 0.2, module: at / 50.0 }));
        }
    }
}

fn cost(c: &mut Criterion) {
    let fleet = Fleet::draw(Size { heads: 5, nodes: 30, ..Size::default() }, 1);
    let Ok(levels) = Levels::usual(&fleet.names, &[false, true]) else { return };
    let mut monitor = LoadMonitor::new(Governor::new(levels, 0.0), &fleet.settings, 0.0);
    let nodes = (0..30).map(|node| Endpoint {
        node: NodeId(node),
        shard: ShardId(node as u32),
        started_at: 0.0,
        zone: ZoneId((node % 3) as u16),
        state: NodeState::Ready,
    });
    monitor.heed(
        0.0,
        &[Event::EndpointUpdate { kind: UpdateKind::Snapshot, endpoints: nodes.collect() }],
        &[],
    );
    let (mut kept, mut base, mut now) = (BTreeMap::new(), 0, 0.0);
    c.bench_function("one second of 2,000 requests monitored", |b| {
        b.iter(|| {
            second(&mut monitor, &mut kept, base, now);
            (base, now) = (base + RATE, now + 1.0);
        });
    });
}

criterion_group!(benches, cost);
criterion_main!(benches);
