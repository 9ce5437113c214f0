//! Unit tests of readings and signal names.

use super::*;

#[test]
fn the_worst_class_is_the_worst_of_the_fresh_ones() {
    let mut readings = Readings::default();
    let objective_met = |class| Signal::ObjectiveMet(ClassSelector::Class(class));
    let worst_class = Signal::ObjectiveMet(ClassSelector::Worst);
    assert_eq!(readings.state(Scope::Head, worst_class, 0.0, 1.0), ReadingState::Missing);
    readings.record(Scope::Head, objective_met(0), 0.2, 1.0);
    readings.record(Scope::Head, objective_met(1), 0.9, 5.0);
    readings.record(Scope::Zone(1), objective_met(1), 0.1, 5.0);
    let worst = |now| readings.state(Scope::Head, worst_class, now, 2.0);
    assert_eq!(worst(2.5), ReadingState::Fresh(0.2));
    assert_eq!(worst(6.0), ReadingState::Fresh(0.9), "a stale bad reading does not count");
    assert_eq!(worst(9.0), ReadingState::Stale { value: 0.9, age_s: 4.0 });
    readings.record(Scope::Head, objective_met(1), f64::NAN, 9.0);
    readings.record(Scope::Head, objective_met(1), 0.1, 4.0);
    let state = readings.state(Scope::Head, objective_met(1), 5.0, 2.0);
    assert_eq!(state, ReadingState::Fresh(0.9), "neither NaN nor an older reading replaces it");
}

#[test]
fn every_signal_name_is_parsed_to_its_signal() {
    let classes = ["read".to_string(), "save".to_string()];
    let unclassed = UNCLASSED_NAMES.iter().map(|(_, signal)| *signal);
    let classed = [
        Signal::ObjectiveMet(ClassSelector::Worst),
        Signal::Delay(ClassSelector::Class(1)),
        Signal::ObjectiveMet(ClassSelector::Class(0)),
    ];
    for signal in unclassed.chain(classed) {
        assert_eq!(Signal::parse(&signal.name(&classes), &classes), Some(signal));
    }
    assert_eq!(Signal::parse("aims.other", &classes), None);
}
