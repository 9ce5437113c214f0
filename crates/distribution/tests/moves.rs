//! A head moves from a failed relay to its spare while the list changes.

mod simulation;

use flaxgap_distribution::replica::ReplicaLimits;
use flaxgap_membership::list::{Entry, NodeState};
use rand::Rng;
use rand::seq::IndexedRandom;
use simulation::{RelayFailure, Simulation, SimulationPlan, localities, relays};

/// Number of nodes at the start.
const NODES: usize = 12;
/// Time limit for a change to reach all heads, in seconds.
const MAX_DELAY_S: f64 = 6.0;

/// A step of a simulated move.
#[derive(Clone, Copy)]
enum Step {
    ChangeList,
    FailRelay,
    SendSnapshot,
}

fn small_fleet(seed: u64) -> Simulation {
    Simulation::new(SimulationPlan {
        seed,
        relays: relays(1, 2, 4),
        heads: localities(1, 2, 3),
        nodes: NODES,
        detailed: true,
        limits: ReplicaLimits::default(),
        upstream_lag_s: 0.3,
    })
}

/// Draws changes of the list: nodes that drain, depart, restart, or return to ready without a restart.
fn draw_changes(simulation: &mut Simulation) -> Vec<Entry> {
    let mut entries: Vec<Entry> = Vec::new();
    for _ in 0..simulation.event_queue.rng.random_range(1..4) {
        let number = simulation.event_queue.rng.random_range(0..NODES + 3);
        let name = simulation::node(number, NodeState::Ready, 0.0).name;
        if entries.iter().any(|entry| entry.name == name) {
            continue;
        }
        let started_at = (simulation.now() * 10.0).round() / 10.0;
        let next = match simulation.discovery.listed().get(&name) {
            None => simulation::node(number, NodeState::Ready, started_at),
            Some(known) if known.state == NodeState::Draining => {
                match simulation.event_queue.rng.random_range(0..3) {
                    0 => Entry { state: NodeState::Ready, ..known.clone() },
                    1 => simulation::node(number, NodeState::Ready, started_at),
                    _ => simulation::node(number, NodeState::Gone, known.started_at),
                }
            }
            Some(known) => Entry { state: NodeState::Draining, ..known.clone() },
        };
        entries.push(next);
    }
    entries
}

/// Changes the list; returns the new version and the time of the change.
fn change_list(simulation: &mut Simulation) -> (u64, f64) {
    let entries = draw_changes(simulation);
    simulation.discovery.change(entries);
    simulation.publish();
    (simulation.discovery.version(), simulation.now())
}

/// The longest time from a change until a head reached its version.
fn max_delay(simulation: &Simulation, changes: &[(u64, f64)]) -> f64 {
    let delay = |(version, at): &(u64, f64)| {
        let delays = simulation
            .heads
            .iter()
            .map(|head| head.delay(*version, *at).expect("a version that was reached"));
        delays.fold(0.0, f64::max)
    };
    changes.iter().map(delay).fold(0.0, f64::max)
}

fn assert_no_violations(simulation: &Simulation, seed: u64) {
    for head in &simulation.heads {
        assert_eq!(head.violations, Vec::<String>::new(), "seed {seed}");
    }
    for relay in &simulation.relays {
        assert_eq!(relay.sent_while_expired, 0, "seed {seed}");
    }
}

/// Given that the relay of a head fails, when the list changes before, during and after each step of the move, then no
/// change is missed, none is applied after a newer one, and each reaches all heads within 6 s.
#[test]
fn no_change_is_missed_at_any_step_of_a_move() {
    let (mut longest, mut runs, mut rewatches) = (0.0_f64, 0, 0);
    for seed in 0..3000 {
        let mut simulation = small_fleet(seed);
        simulation.run_for(15.0);
        assert!(simulation.heads.iter().all(|head| head.selection.reachable_relays() == 2), "seed {seed}");
        // The list changes several times between 1 s before and 13 s after the failure, and close to the failure.
        let failure =
            if seed % 2 == 0 { RelayFailure::ConnectionRefused } else { RelayFailure::Unresponsive };
        let failed_at = simulation.now() + 1.0;
        let mut change_times: Vec<f64> =
            (0..6).map(|_| failed_at + simulation.event_queue.rng.random_range(-1.0..13.0)).collect();
        change_times.push(failed_at + (seed % 100) as f64 * 1e-3 - 0.03);
        change_times.sort_by(f64::total_cmp);
        let relay = *simulation.heads[0].relays().choose(&mut simulation.event_queue.rng).expect("a relay");
        // One relay receives the complete list in place of changes around the time of the failure.
        let snapshot_at = failed_at + simulation.event_queue.rng.random_range(-1.0..2.0);
        let snapshot_relay = simulation.event_queue.rng.random_range(0..4);
        let mut steps: Vec<(f64, Step)> = change_times.iter().map(|at| (*at, Step::ChangeList)).collect();
        steps.extend([(failed_at, Step::FailRelay), (snapshot_at, Step::SendSnapshot)]);
        steps.sort_by(|one, other| one.0.total_cmp(&other.0));
        let mut changes = Vec::new();
        for (at, step) in steps {
            simulation.run_until(at);
            match step {
                Step::ChangeList => changes.push(change_list(&mut simulation)),
                Step::FailRelay => simulation.stop_relay(relay, failure),
                Step::SendSnapshot => simulation.relays[snapshot_relay].receives_snapshot_next = true,
            }
        }
        simulation
            .run_until_holds(MAX_DELAY_S, |simulation| simulation.all_current() && simulation.all_agree());
        // The failed relay restarts empty, and the heads move back to it.
        simulation.restart_relay(relay);
        for _ in 0..5 {
            simulation.run_for(7.0);
            changes.push(change_list(&mut simulation));
        }
        simulation
            .run_until_holds(MAX_DELAY_S, |simulation| simulation.all_current() && simulation.all_agree());
        longest = longest.max(max_delay(&simulation, &changes));
        assert!(longest <= MAX_DELAY_S, "seed {seed}: {longest} s");
        assert_no_violations(&simulation, seed);
        runs += 1;
        rewatches += simulation.heads.iter().map(|head| head.rewatches).sum::<usize>();
    }
    println!("{runs} moves, maximum delay of a change {longest:.2} s, {rewatches} rewatches");
    assert!(
        rewatches > 0,
        "no update skipped a version known from the other watch, as the filter must detect"
    );
}
