//! Tests of this module's private parts.

use super::*;

#[test]
fn the_worst_class_is_the_worst_of_the_fresh_ones() {
    let mut readings = Readings::default();
    let aims = |class| Signal::Aims(Of::Class(class));
    assert_eq!(readings.state(Scope::Head, Signal::Aims(Of::Worst), 0.0, 1.0), State::Missing);
    readings.read(Scope::Head, aims(0), 0.2, 1.0);
    readings.read(Scope::Head, aims(1), 0.9, 5.0);
    readings.read(Scope::Hall(1), aims(1), 0.1, 5.0);
    let worst = |now| readings.state(Scope::Head, Signal::Aims(Of::Worst), now, 2.0);
    assert_eq!(worst(2.5), State::Fresh(0.2));
    assert_eq!(worst(6.0), State::Fresh(0.9), "the old bad news count for nothing");
    assert_eq!(worst(9.0), State::Stale(0.9, 4.0));
    readings.read(Scope::Head, aims(1), f64::NAN, 9.0);
    readings.read(Scope::Head, aims(1), 0.1, 4.0);
    let stands = readings.state(Scope::Head, aims(1), 5.0, 2.0);
    assert_eq!(stands, State::Fresh(0.9), "neither nonsense nor an older word replaces it");
}

#[test]
fn names_are_read_back() {
    let classes = ["read".to_string(), "save".to_string()];
    let all = PLAIN.iter().map(|(_, s)| *s);
    let classed = [Signal::Aims(Of::Worst), Signal::Delay(Of::Class(1)), Signal::Aims(Of::Class(0))];
    for signal in all.chain(classed) {
        assert_eq!(Signal::parse(&signal.name(&classes), &classes), Some(signal));
    }
    assert_eq!(Signal::parse("aims.other", &classes), None);
}
