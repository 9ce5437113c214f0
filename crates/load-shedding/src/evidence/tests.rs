//! Tests of this module's private parts.

use super::*;

#[test]
fn a_window_speaks_once_it_is_covered_and_the_unknown_does_not_hold() {
    let mut window = Window::new(1.0, 3);
    window.look(0.0, Verdict::Holds);
    assert_eq!(window.part(0.9), None);
    for tick in 1..=4 {
        window.look(f64::from(tick) * 0.25, Verdict::Holds);
    }
    assert_eq!(window.part(1.0), Some(1.0));
    for tick in 5..=8 {
        window.look(f64::from(tick) * 0.25, Verdict::Unknown);
    }
    assert_eq!(window.part(2.0), Some(0.2));
    assert_eq!(window.known_at(), Some(1.0));
    window.clear();
    window.look(3.0, Verdict::Holds);
    window.look(13.0, Verdict::Holds);
    assert_eq!(window.part(13.0), None, "two looks ten seconds apart are no evidence");
}
