//! Tests of this module's private parts.

use super::*;

fn node() -> Node {
    let spec =
        Spec { zone: 0, cores: 1, speed: 1.0, room: 2, pause_every: 5.0, pause: 0.2, flush_every: 1.0 };
    Node::new(spec, (0.25, 10.0))
}

#[test]
fn work_waits_in_turn_pauses_hold_it_and_a_full_room_turns_away() {
    let (mut node, mut ends) = (node(), Vec::new());
    for token in 1..=3 {
        assert!(node.take(0.0, token, 1.0, 0.0, &mut ends));
    }
    assert!(!node.take(0.0, 4, 1.0, 0.0, &mut ends), "one works, two wait");
    assert_eq!(ends, [(1.0, 1)]);
    assert_eq!(node.pause(0.5, &mut ends), 5.7);
    assert_eq!(node.done(1.0, 1, &mut ends), None, "the end that was planned before the pause");
    assert_eq!(node.done(1.2, 2, &mut ends), Some(1));
    node.drop_attempt(1.3, 2, &mut ends);
    assert_eq!(ends.last(), Some(&(2.3, 4)), "the next begins at once");
    assert_eq!(node.done(2.3, 4, &mut ends), Some(3));
}

#[test]
fn a_cold_node_warms_up_and_put_off_work_is_its_own() {
    let (mut node, mut ends) = (node(), Vec::new());
    node.restart(100.0);
    node.take(100.0, 1, 1.0, 0.5, &mut ends);
    assert_eq!(ends, [(104.0, 1)], "a quarter of its speed");
    assert_eq!(node.done(104.0, 1, &mut ends), Some(1));
    node.flush(110.0, &mut ends);
    assert_eq!(ends.last(), Some(&(110.5, 2)), "warm");
    assert_eq!(node.done(110.5, 2, &mut ends), None);
}
