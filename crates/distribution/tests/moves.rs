//! A head moves from a relay that dies to its spare while the list changes.

mod simulation;

use flaxgap_distribution::replica::ReplicaLimits;
use flaxgap_membership::list::{Entry, NodeState};
use rand::Rng;
use rand::seq::IndexedRandom;
use simulation::{RelayFailure, Simulation, SimulationPlan, localities, relays};

/// The even number of nodes in these small lists.
const NODES: usize = 12;
/// A change has to be in force within this, in seconds.
const IN_FORCE_S: f64 = 6.0;

fn small(seed: u64) -> Simulation {
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

/// Some nodes drain, leave, start anew or are called back exactly as they were.
fn draw_changes(simulation: &mut Simulation) -> Vec<Entry> {
    let mut entries: Vec<Entry> = Vec::new();
    for _ in 0..simulation.event_queue.rng.random_range(1..4) {
        let number = simulation.event_queue.rng.random_range(0..NODES + 3);
        let plain = simulation::node(number, NodeState::Ready, 0.0);
        if entries.iter().any(|entry| entry.name == plain.name) {
            continue;
        }
        let boot = (simulation.now() * 10.0).round() / 10.0;
        let next = match simulation.discovery.listed().get(&plain.name) {
            None => simulation::node(number, NodeState::Ready, boot),
            Some(known) if known.state == NodeState::Draining => {
                match simulation.event_queue.rng.random_range(0..3) {
                    0 => Entry { state: NodeState::Ready, ..known.clone() },
                    1 => simulation::node(number, NodeState::Ready, boot),
                    _ => simulation::node(number, NodeState::Gone, known.started_at),
                }
            }
            Some(known) => Entry { state: NodeState::Draining, ..known.clone() },
        };
        entries.push(next);
    }
    entries
}

/// Changes the list; gives the new version, and when it came.
fn change(simulation: &mut Simulation) -> (u64, f64) {
    let entries = draw_changes(simulation);
    simulation.discovery.change(entries);
    simulation.publish();
    (simulation.discovery.version(), simulation.now())
}

/// The longest time that a change took to a head.
fn slowest(simulation: &Simulation, changes: &[(u64, f64)]) -> f64 {
    let delay = |(version, at): &(u64, f64)| {
        let delays =
            simulation.heads.iter().map(|head| head.delay(*version, *at).expect("a change that was learnt"));
        delays.fold(0.0, f64::max)
    };
    changes.iter().map(delay).fold(0.0, f64::max)
}

fn assert_nothing_wrong(simulation: &Simulation, seed: u64) {
    for head in &simulation.heads {
        assert_eq!(head.violations, Vec::<String>::new(), "seed {seed}");
    }
    for relay in &simulation.relays {
        assert_eq!(relay.sent_while_expired, 0, "seed {seed}");
    }
}

/// Given the relay of a head dies, when the list changes before, at and after each step of the move, then no change is
/// missed, none comes after a newer one, and each is in force within 6 s.
#[test]
fn no_change_is_missed_at_any_step_of_a_move() {
    let (mut longest, mut runs, mut asked_again) = (0.0_f64, 0, 0);
    for seed in 0..3000 {
        let mut simulation = small(seed);
        simulation.run_for(15.0);
        assert!(simulation.heads.iter().all(|head| head.selection.reachable_relays() == 2), "seed {seed}");
        // The list changes a few times between 1 s before and 13 s after the failure, and at the moment itself.
        let failure =
            if seed % 2 == 0 { RelayFailure::ConnectionRefused } else { RelayFailure::Unresponsive };
        let died_at = simulation.now() + 1.0;
        let mut times: Vec<f64> =
            (0..6).map(|_| died_at + simulation.event_queue.rng.random_range(-1.0..13.0)).collect();
        times.push(died_at + (seed % 100) as f64 * 1e-3 - 0.03);
        times.sort_by(f64::total_cmp);
        let relay = *simulation.heads[0].relays().choose(&mut simulation.event_queue.rng).expect("a relay");
        // Some relay gets the complete list in place of changes at some time.
        let snapshot_at = died_at + simulation.event_queue.rng.random_range(-1.0..2.0);
        let snapshot_relay = simulation.event_queue.rng.random_range(0..4);
        let mut steps: Vec<(f64, u8)> = times.iter().map(|at| (*at, 0)).collect();
        steps.extend([(died_at, 1), (snapshot_at, 2)]);
        steps.sort_by(|one, other| one.0.total_cmp(&other.0));
        let mut changes = Vec::new();
        for (at, step) in steps {
            simulation.run_until(at);
            match step {
                0 => changes.push(change(&mut simulation)),
                1 => simulation.kill(relay, failure),
                _ => simulation.relays[snapshot_relay].sends_snapshot_next = true,
            }
        }
        simulation
            .run_until_holds(IN_FORCE_S, |simulation| simulation.all_current() && simulation.all_agree());
        // The dead one comes back empty, and the heads go back to it.
        simulation.revive(relay);
        for _ in 0..5 {
            simulation.run_for(7.0);
            changes.push(change(&mut simulation));
        }
        simulation
            .run_until_holds(IN_FORCE_S, |simulation| simulation.all_current() && simulation.all_agree());
        longest = longest.max(slowest(&simulation, &changes));
        assert!(longest <= IN_FORCE_S, "seed {seed}: {longest} s");
        assert_nothing_wrong(&simulation, seed);
        runs += 1;
        asked_again += simulation.heads.iter().map(|head| head.asked_again).sum::<usize>();
    }
    println!("{runs} moves, the slowest change in force after {longest:.2} s, {asked_again} asked again");
    assert!(asked_again > 0, "the crossing that the filter guards against did not come about");
}
