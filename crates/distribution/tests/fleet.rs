//! Faults in simulated fleets, some of the planned size: relays that restart empty or fail, partitioned regions, a
//! source that restarts its numbering, and no reachable relay. docs/design/distribution.md has the figures that are
//! printed.

mod simulation;

use flaxgap_distribution::replica::ReplicaLimits;
use flaxgap_membership::list::{Entry, NodeState};
use simulation::{Relay, RelayFailure, Simulation, SimulationPlan, localities, planned_relays, relays};
use std::collections::BTreeMap;

/// Number of heads in the planned fleet.
const HEADS: usize = 4200;
/// Number of nodes in the planned fleet.
const NODES: usize = 7100;
/// Limit on the bytes that a relay holds for lists: its log, and 16 encoded lists of 1 MB.
const MAX_BYTES_HELD: usize = (8 << 20) + 16 * 1_000_000;
/// Limit on the bytes of complete lists that a relay sends in any second: the rate limit, and one more list.
const MAX_BYTES_PER_SECOND: usize = 50_000_000 + 1_000_000;

/// A fleet with the list of the planned size.
fn large_fleet(
    seed: u64,
    heads: usize,
    relays: Vec<flaxgap_distribution::selection::RelayInfo>,
) -> Simulation {
    Simulation::new(SimulationPlan {
        seed,
        relays,
        heads: localities(2, 4, heads),
        nodes: NODES,
        detailed: false,
        limits: ReplicaLimits::default(),
        upstream_lag_s: 0.3,
    })
}

fn drain_node(simulation: &mut Simulation, number: usize) {
    simulation.discovery.change(vec![simulation::node(number, NodeState::Draining, 0.0)]);
    simulation.publish();
}

fn assert_bounds(relay: &Relay) {
    assert!(relay.peak_bytes <= MAX_BYTES_HELD, "{} bytes held", relay.peak_bytes);
    let sent = Relay::peak_per_second(relay.sent_snapshots.iter().copied());
    assert!(sent <= MAX_BYTES_PER_SECOND, "{sent} bytes in a second");
}

/// The number of open watches on each relay.
fn watch_counts(simulation: &Simulation) -> BTreeMap<usize, usize> {
    let mut counts = BTreeMap::new();
    for head in &simulation.heads {
        head.relays().into_iter().for_each(|relay| *counts.entry(relay).or_default() += 1);
    }
    counts
}

/// Given 210 heads without a list, when their relay restarts empty while all of them request watches, then its memory
/// and the bytes sent per second are bounded, and all heads are current within 6 s of the restart.
#[test]
fn a_relay_that_restarts_empty_serves_210_heads_within_bounds() {
    for seed in 0..10 {
        let mut simulation = large_fleet(seed, 210, relays(1, 1, 1));
        simulation.stop_relay(0, RelayFailure::ConnectionRefused);
        simulation.run_for(10.0);
        assert!(
            simulation
                .heads
                .iter()
                .all(|head| head.selection.reachable_relays() == 0 && head.known_version() == 0)
        );
        simulation.restart_relay(0);
        let elapsed_s = simulation.run_until_holds(6.0, Simulation::all_current);
        let relay = &simulation.relays[0];
        assert_bounds(relay);
        assert_eq!(relay.sent_snapshots.len(), 210);
        println!(
            "seed {seed}: 210 heads current after {elapsed_s:.1} s, at most {:.1} MB held, {:.1} MB in a second",
            relay.peak_bytes as f64 / 1e6,
            Relay::peak_per_second(relay.sent_snapshots.iter().copied()) as f64 / 1e6
        );
    }
}

/// Given a relay that restarts empty, when its heads reconnect with the version at which it starts, then it sends no
/// complete list, and the next change reaches all heads.
#[test]
fn heads_at_the_newest_version_need_no_snapshot_from_a_restarted_relay() {
    let mut simulation = large_fleet(3, 210, relays(1, 1, 1));
    simulation.run_for(20.0);
    assert!(simulation.all_current());
    let before = simulation.relays[0].sent_snapshots.len();
    simulation.stop_relay(0, RelayFailure::ConnectionRefused);
    simulation.run_for(5.0);
    simulation.restart_relay(0);
    simulation.run_for(6.0);
    assert_eq!(simulation.relays[0].sent_snapshots.len(), before);
    assert!(simulation.heads.iter().all(|head| head.selection.reachable_relays() == 1));
    drain_node(&mut simulation, 7);
    simulation.run_until_holds(1.0, Simulation::all_current);
}

/// Given 4,200 heads and 20 relays, when one relay fails, then no other relay gets more than twice its even share of
/// watches or 60 requests in a second, no complete list is sent, and changes during the move reach all heads within 6
/// s.
#[test]
fn the_loss_of_one_relay_overloads_no_other_relay() {
    let mut worst = (0.0_f64, 0_usize, 0.0_f64);
    // docs/design/distribution.md has the figures of seeds 0 to 9; these are the seeds with the worst of them.
    for seed in [2, 3, 7, 8] {
        let mut simulation = large_fleet(seed, HEADS, planned_relays());
        simulation.run_for(15.0);
        assert!(simulation.all_current());
        assert!(simulation.heads.iter().all(|head| head.selection.reachable_relays() == 2));
        let snapshots: usize = simulation.relays.iter().map(|relay| relay.sent_snapshots.len()).sum();
        let failed = seed as usize * 2 % 20;
        let failure =
            if seed % 2 == 0 { RelayFailure::ConnectionRefused } else { RelayFailure::Unresponsive };
        let before = watch_counts(&simulation);
        let failed_at = simulation.now();
        simulation.stop_relay(failed, failure);
        let mut slowest = 0.0_f64;
        for change in 0..16 {
            drain_node(&mut simulation, 100 + change);
            slowest = slowest.max(simulation.run_until_holds(6.0, Simulation::all_current));
            simulation.run_until(failed_at + (change + 1) as f64);
        }
        assert!(
            simulation.heads.iter().all(|head| head.selection.reachable_relays() == 2),
            "two watches again after 16 s"
        );
        assert_eq!(
            simulation.relays.iter().map(|relay| relay.sent_snapshots.len()).sum::<usize>(),
            snapshots
        );
        let (share, requests) = max_share_and_requests(&simulation, failed, failed_at);
        println!(
            "seed {seed}: relay {failed} with {} watches fails ({failure:?}); other relays have at most {share:.2} of \
             the even share and {requests} requests in a second, the slowest change takes {slowest:.1} s",
            before[&failed]
        );
        worst = (worst.0.max(share), worst.1.max(requests), worst.2.max(slowest));
    }
    println!("worst: {:.2} of the even share, {} requests in a second, {:.1} s", worst.0, worst.1, worst.2);
    assert!(worst.0 <= 2.0 && worst.1 <= 60);
}

/// The maximum over the relays that have not failed: of the watches, in even shares, and of the requests in a second.
fn max_share_and_requests(simulation: &Simulation, failed: usize, since: f64) -> (f64, usize) {
    let counts = watch_counts(simulation);
    assert!(!counts.contains_key(&failed));
    let even_share = 2.0 * HEADS as f64 / 19.0;
    let share = counts.values().map(|count| *count as f64 / even_share).fold(0.0, f64::max);
    let others = simulation.relays.iter().enumerate().filter(|(number, _)| *number != failed);
    let requests = others.map(|(_, relay)| peak_requests(relay, since));
    (share, requests.max().unwrap_or_default())
}

/// The maximum number of watches that heads requested from a relay in any second since a time.
fn peak_requests(relay: &Relay, since: f64) -> usize {
    Relay::peak_per_second(relay.requested_at.iter().filter(|at| **at >= since).map(|at| (*at, 1)))
}

/// Given 4,200 heads and 20 relays, when all relays of one region fail at once, then its heads are current again
/// through the other region's relays within 3 s if connections are refused, and within 12 s if relays do not respond;
/// none of these relays gets more than 500 requests in a second.
#[test]
fn the_loss_of_a_region_s_relays_moves_its_heads_to_the_other() {
    for (failure, timeout_s) in [(RelayFailure::ConnectionRefused, 3.0), (RelayFailure::Unresponsive, 12.0)] {
        let mut simulation = large_fleet(5, HEADS, planned_relays());
        simulation.run_for(30.0);
        let failed: Vec<usize> =
            (0..20).filter(|relay| simulation.relays[*relay].info.region == "r0").collect();
        let failed_at = simulation.now();
        failed.iter().for_each(|relay| simulation.stop_relay(*relay, failure));
        drain_node(&mut simulation, 5);
        let elapsed_s = simulation.run_until_holds(timeout_s, Simulation::all_current);
        let others = simulation.relays.iter().filter(|relay| relay.info.region == "r1");
        let requests = others.map(|relay| {
            assert_bounds(relay);
            peak_requests(relay, failed_at)
        });
        let requests = requests.max().unwrap_or_default();
        println!(
            "all relays of a region fail ({failure:?}): all heads current after {elapsed_s:.1} s, \
             {requests} requests in a second"
        );
        assert!(requests <= 500);
    }
}

/// Given heads with an earlier list and no reachable relay, when time passes, then they report that and search at a
/// bounded rate. When relays return, then all heads have a watch within 5 s, and are current 10 s later if all relays
/// return, and 100 s later if one relay serves all 4,200 heads.
#[test]
fn heads_that_have_only_an_earlier_list_find_the_first_relay_back() {
    for only_one_returns in [false, true] {
        let mut simulation = large_fleet(11, HEADS, planned_relays());
        (0..20).for_each(|relay| simulation.stop_relay(relay, RelayFailure::Unresponsive));
        simulation.heads.iter_mut().for_each(|head| head.set_known_version(30));
        simulation.run_for(20.0);
        assert!(simulation.heads.iter().all(|head| head.selection.reachable_relays() == 0));
        assert!(simulation.heads.iter().all(|head| head.unreachable_since.is_some()));
        for relay in &simulation.relays {
            let requests = peak_requests(relay, simulation::START + 10.0);
            // Each of 4,200 heads tries each relay at most once in 2.88 s.
            assert!(requests <= 1700, "{requests} requests in a second");
        }
        let returned: Vec<usize> = if only_one_returns { vec![7] } else { (0..20).collect() };
        returned.iter().for_each(|relay| simulation.restart_relay(*relay));
        // A search takes up to 4 s, and a restarted relay needs up to 0.5 s and a round trip to receive the list.
        let found_s = simulation.run_until_holds(5.0, |simulation| {
            simulation.heads.iter().all(|head| head.selection.reachable_relays() >= 1)
        });
        let timeout_s = if only_one_returns { 100.0 } else { 10.0 };
        let current_s = found_s + simulation.run_until_holds(timeout_s, Simulation::all_current);
        returned.iter().for_each(|relay| assert_bounds(&simulation.relays[*relay]));
        println!(
            "{} of 20 relays return: all heads have a watch after {found_s:.1} s and are current after {current_s:.1} s",
            returned.len()
        );
    }
}

/// A small fleet in two regions, whose heads keep the list.
fn two_regions(seed: u64) -> Simulation {
    Simulation::new(SimulationPlan {
        seed,
        relays: relays(2, 2, 8),
        heads: localities(2, 2, 24),
        nodes: 60,
        detailed: true,
        limits: ReplicaLimits::default(),
        upstream_lag_s: 0.3,
    })
}

/// The states of a node as the heads of a region list it.
fn state_at_heads(simulation: &Simulation, region: &str, number: usize) -> Vec<Option<NodeState>> {
    let name = simulation::node(number, NodeState::Ready, 0.0).name;
    let heads = simulation.heads.iter().filter(|head| head.locality.region == region);
    heads.map(|head| head.listed(&name).map(|(state, _)| state)).collect()
}

/// Given two regions that are partitioned for 3 minutes while nodes of both change, when the partition heals, then all
/// heads agree within 8 s, and departed nodes do not return. During the partition the heads in discovery's region apply
/// changes; the others keep the last known list and report that no relay is reachable.
#[test]
fn two_regions_cut_from_each_other_agree_after_it_heals() {
    let mut slowest = 0.0_f64;
    for seed in 0..20 {
        let mut simulation = two_regions(seed);
        simulation.run_for(20.0);
        assert!(simulation.all_agree());
        simulation.partitioned_region = Some("r1".into());
        // Changes of nodes in the partitioned region, which discovery publishes when the partition heals.
        let delayed_changes = vec![
            Entry { state: NodeState::Draining, ..simulation::node(1, NodeState::Ready, 0.0) },
            simulation::node(3, NodeState::Gone, 0.0),
            simulation::node(61, NodeState::Ready, simulation.now() + 60.0),
        ];
        for minute in 0..3 {
            simulation.run_for(30.0);
            let changes = vec![
                simulation::node(10 + minute, NodeState::Gone, 0.0),
                simulation::node(20 + minute, NodeState::Draining, 0.0),
            ];
            simulation.discovery.change(changes);
            simulation.publish();
            simulation.run_for(6.0);
            assert!(
                state_at_heads(&simulation, "r0", 20 + minute)
                    .iter()
                    .all(|state| *state == Some(NodeState::Draining))
            );
            assert!(
                state_at_heads(&simulation, "r1", 20 + minute)
                    .iter()
                    .all(|state| *state == Some(NodeState::Ready))
            );
            for head in simulation.heads.iter().filter(|head| head.locality.region == "r1") {
                assert_eq!(head.selection.reachable_relays(), 0);
                assert!(head.unreachable_since.is_some());
            }
            simulation.run_for(24.0);
        }
        simulation.partitioned_region = None;
        simulation.discovery.change(delayed_changes);
        simulation.publish();
        let elapsed_s =
            simulation.run_until_holds(8.0, |simulation| simulation.all_current() && simulation.all_agree());
        slowest = slowest.max(elapsed_s);
        for _ in 0..30 {
            simulation.run_for(1.0);
            assert!(simulation.all_agree());
        }
        for departed in [3, 10, 11, 12] {
            for region in ["r0", "r1"] {
                assert!(state_at_heads(&simulation, region, departed).iter().all(Option::is_none));
            }
        }
        for relay in &simulation.relays {
            assert_eq!(relay.sent_while_expired, 0);
        }
        for head in &simulation.heads {
            assert_eq!(head.violations, Vec::<String>::new());
        }
    }
    println!("two regions agree {slowest:.1} s after the partition heals");
}

/// Given that discovery restarts its numbering and lists other nodes, when time passes, then all heads agree with it
/// within 25 s, and no older list returns a draining node to ready.
#[test]
fn a_renumbered_source_is_detected_by_all_heads() {
    let mut slowest = 0.0_f64;
    for seed in 0..20 {
        let mut simulation = two_regions(seed);
        for number in 0..30 {
            simulation.discovery.change(vec![simulation::node(
                number % 5,
                NodeState::Ready,
                f64::from(number as u32 + 1),
            )]);
        }
        simulation.discovery.change(vec![simulation::node(7, NodeState::Draining, 0.0)]);
        simulation.run_for(20.0);
        assert!(simulation.all_agree());
        simulation.discovery.renumber(3);
        simulation.discovery.change(vec![simulation::node(8, NodeState::Gone, 0.0)]);
        simulation.publish();
        let elapsed_s =
            simulation.run_until_holds(25.0, |simulation| simulation.all_current() && simulation.all_agree());
        slowest = slowest.max(elapsed_s);
        simulation.discovery.change(vec![simulation::node(9, NodeState::Draining, 0.0)]);
        simulation.publish();
        simulation.run_until_holds(1.0, |simulation| simulation.all_current() && simulation.all_agree());
        assert!(state_at_heads(&simulation, "r0", 7).iter().all(|state| *state == Some(NodeState::Draining)));
    }
    println!("all heads detect a source that restarts its numbering within {slowest:.1} s");
}

/// Given a source that sends only complete lists, and in some runs skips versions, when the list changes, then each
/// change reaches all heads within 6 s, and heads are sent only the changes unless versions were skipped.
#[test]
fn snapshots_from_upstream_reach_heads_as_changes() {
    for seed in 0..20 {
        let mut simulation = two_regions(seed);
        simulation.discovery.sends_snapshots_only = true;
        simulation.run_for(20.0);
        let snapshots: usize = simulation.heads.iter().map(|head| head.snapshots).sum();
        for number in 0..10 {
            simulation.discovery.skip(u64::from(seed % 3 == 0) * 4);
            drain_node(&mut simulation, number);
            simulation.run_until_holds(6.0, |simulation| simulation.all_current() && simulation.all_agree());
            // Each relay has to receive each version: after a missed one it can't serve watchers in between.
            simulation.run_for(1.0);
        }
        if seed % 3 != 0 {
            assert_eq!(simulation.heads.iter().map(|head| head.snapshots).sum::<usize>(), snapshots);
        }
        for head in &simulation.heads {
            assert_eq!(head.violations, Vec::<String>::new());
        }
    }
}

/// Given relays that lose their upstream, when their leases expire, then their heads move to relays with an upstream.
#[test]
fn heads_leave_relays_that_have_lost_discovery() {
    for seed in 0..20 {
        let mut simulation = two_regions(seed);
        simulation.run_for(20.0);
        for relay in [0, 1, 2, 4, 5] {
            simulation.relays[relay].without_upstream = true;
        }
        drain_node(&mut simulation, 7);
        // The limit covers the lease, the idle timeout of a watch and the search.
        let elapsed_s =
            simulation.run_until_holds(14.0, |simulation| simulation.all_current() && simulation.all_agree());
        assert!(simulation.relays.iter().all(|relay| relay.sent_while_expired == 0));
        simulation.run_for(30.0);
        for head in &simulation.heads {
            assert!(
                head.relays().iter().all(|relay| ![0, 1, 2, 4, 5].contains(relay)),
                "seed {seed}: after {elapsed_s} s"
            );
        }
    }
}
