//! Unit tests of the detection of silent nodes.

use super::*;

/// Guards against false detections: a short delay or an attempt cancelled after a client's disconnect must not make a
/// node lost, and a node must not stay lost for ever without further attempts.
#[test]
fn a_node_is_lost_only_while_it_does_not_answer() {
    let mut silence = NodeSilence::new(0.5, 3.0);
    silence.add_node(1, 7);
    silence.record_sent(0.0, 1);
    let zone = |silence: &NodeSilence, now| silence.zones(now)[&7];
    assert_eq!(zone(&silence, 0.3).lost_fraction(), None, "nothing is known yet");
    silence.record_end(0.4, 1, 0.0, AttemptEnd::Cancelled);
    assert_eq!(zone(&silence, 2.0).lost, 0, "the client disconnected");
    silence.record_sent(2.0, 1);
    assert_eq!(zone(&silence, 2.6).lost_fraction(), Some(1.0));
    silence.record_end(4.0, 1, 2.0, AttemptEnd::Unanswered);
    assert_eq!(zone(&silence, 6.9).lost_fraction(), Some(1.0));
    assert_eq!(zone(&silence, 7.1).lost_fraction(), None, "an old failure no longer counts");
    silence.record_sent(8.0, 1);
    silence.record_end(8.1, 1, 8.0, AttemptEnd::Answered);
    assert_eq!(zone(&silence, 9.0).lost_fraction(), Some(0.0));
    silence.remove_node(1);
    assert!(silence.zones(9.0).is_empty());
}
