//! Unit tests of evaluation windows.

use super::*;

#[test]
fn a_fraction_needs_a_covered_window_and_unknown_results_do_not_hold() {
    let mut window = EvaluationWindow::new(1.0, 3);
    window.record(0.0, ConditionResult::Holds);
    assert_eq!(window.fraction_holding(0.9), None);
    for tick in 1..=4 {
        window.record(f64::from(tick) * 0.25, ConditionResult::Holds);
    }
    assert_eq!(window.fraction_holding(1.0), Some(1.0));
    for tick in 5..=8 {
        window.record(f64::from(tick) * 0.25, ConditionResult::Unknown);
    }
    assert_eq!(window.fraction_holding(2.0), Some(0.2));
    assert_eq!(window.last_known_at(), Some(1.0));
    window.clear();
    window.record(3.0, ConditionResult::Holds);
    window.record(13.0, ConditionResult::Holds);
    assert_eq!(window.fraction_holding(13.0), None, "two results ten seconds apart are too few");
}
