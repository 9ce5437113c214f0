//! What levels cost a head: the monitor and its looks at 2,000 requests a second. One iteration is one second of such
//! load, so that its time is the part of a core that levels take.
#![allow(missing_docs)] // of what the macros make

use criterion::{Criterion, criterion_group, criterion_main};
use flaxgap::api::*;
use flaxgap::monitor::{Gauges, Monitor};
use flaxgap_lab::fleet::{Fleet, Size};
use flaxgap_levels::{Governor, Settings as Levels};
use std::collections::BTreeMap;
use std::hint::black_box;

/// Requests a second, and calls of the module in it.
const RATE: u32 = 2000;
const CALLS: u32 = 500;
/// Requests in hand at a time: a tenth of a second's.
const HELD: u32 = RATE / 10;

fn second(monitor: &mut Monitor, kept: &mut BTreeMap<(Option<ZoneId>, ClassId), Kept>, base: u32, now: f64) {
    let each = RATE / CALLS;
    for call in 0..CALLS {
        let at = now + f64::from(call) / f64::from(CALLS);
        let first = base + call * each;
        let ask = |id| Request {
            id: RequestId(id),
            class: ClassId(id as usize % 2),
            plan: PlanId(id as usize % 2),
            volume: VolumeId(u64::from(id % 60)),
            extent: None,
            shard: Some(ShardId(id % 30)),
            remaining: 2.0,
            units: 2.0,
            hosts: 2,
            repeat: false,
        };
        let ended = |id| Event::Outcome {
            request: RequestId(id),
            attempt: 0,
            outcome: Outcome::Ok,
            elapsed: 0.1,
            done: true,
            last: false,
            used: Some(f64::from(id % 7)),
            elsewhere: 0.0,
            report: Report::default(),
        };
        let ids = first..first + each;
        let old = ids.clone().filter(|id| *id >= HELD).map(|id| ended(id - HELD));
        let events: Vec<Event> = ids.clone().map(|id| Event::Request(ask(id))).chain(old).collect();
        let send =
            |id| Action::Send { request: RequestId(id), node: NodeId(u64::from(id % 30)), abandon_at: at };
        monitor.heed(at, &events, &ids.map(send).collect::<Vec<_>>());
        for class in 0..2 {
            let kept = kept.entry((Some(ZoneId((call % 3) as u16)), ClassId(class))).or_default();
            (kept.met, kept.all, kept.delay) = (kept.met + 2, kept.all + 2, kept.delay + 0.2);
        }
        if call % (CALLS / 4) == 0 {
            black_box(monitor.look(at, kept, Gauges { memory: 0.1, descriptors: 0.2, module: at / 50.0 }));
        }
    }
}

fn cost(c: &mut Criterion) {
    let fleet = Fleet::draw(Size { heads: 5, nodes: 30, ..Size::default() }, 1);
    let Ok(levels) = Levels::usual(&fleet.names, &[false, true]) else { return };
    let mut monitor = Monitor::new(Governor::new(levels, 0.0), &fleet.settings, 0.0);
    let nodes = (0..30).map(|node| NodeInfo {
        node: NodeId(node),
        shard: ShardId(node as u32),
        since: 0.0,
        zone: ZoneId((node % 3) as u16),
        state: NodeState::Ready,
    });
    monitor.heed(0.0, &[Event::Nodes { kind: ListKind::Whole, nodes: nodes.collect() }], &[]);
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
