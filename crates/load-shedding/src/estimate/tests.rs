//! Tests of this module's private parts.

use super::*;

#[test]
fn a_part_counts_the_span_alone_and_nothing_where_too_little_came() {
    let mut sliding = Sliding::new(2.0, 0.25);
    for tick in 0..100 {
        sliding.add(f64::from(tick) * 0.1, f64::from(u8::from(tick >= 50)), 1.0);
    }
    assert_eq!(sliding.ratio(9.9, 5.0), Some(1.0));
    assert_eq!(sliding.ratio(11.5, 50.0), None);
    assert_eq!(sliding.ratio(20.0, 0.0), None, "nothing is not a part");
}

/// Guards against a pause taken for a loss, a client's leaving taken for silence, and old silence that counts
/// for ever.
#[test]
fn a_node_is_lost_by_silence_alone_and_not_for_ever() {
    let mut silence = Silence::new(0.5, 3.0);
    silence.listed(1, 7);
    silence.sent(0.0, 1);
    let hall = |silence: &Silence, now| silence.halls(now)[&7];
    assert_eq!(hall(&silence, 0.3).lost_part(), None, "nothing is known yet");
    silence.ended(0.4, 1, 0.0, End::CalledOff);
    assert_eq!(hall(&silence, 2.0).lost, 0, "its client left");
    silence.sent(2.0, 1);
    assert_eq!(hall(&silence, 2.6).lost_part(), Some(1.0));
    silence.ended(4.0, 1, 2.0, End::Unanswered);
    assert_eq!(hall(&silence, 6.9).lost_part(), Some(1.0));
    assert_eq!(hall(&silence, 7.1).lost_part(), None, "old silence is no evidence");
    silence.sent(8.0, 1);
    silence.ended(8.1, 1, 8.0, End::Answered);
    assert_eq!(hall(&silence, 9.0).lost_part(), Some(0.0));
    silence.gone(1);
    assert!(silence.halls(9.0).is_empty());
}

#[test]
fn lag_is_seen_through_late_reports_through_silence_and_not_through_a_step() {
    let mut lag = Lag::new(0.5);
    assert_eq!(lag.reading(1.0), None);
    lag.heard(10.0, Some(9.0));
    assert_eq!(lag.reading(10.0), Some((1.0, 10.0)));
    lag.heard(12.0, Some(8.6));
    assert_eq!(lag.reading(12.0), Some((3.0, 12.0)), "the newest counts");
    lag.heard(13.0, Some(99.0));
    assert_eq!((lag.reading(13.0), lag.steps()), (Some((4.0, 12.0)), 1));
    assert_eq!(lag.reading(50.0), Some((41.0, 12.0)), "the reading's own age tells that it stopped");
}
