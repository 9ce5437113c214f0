//! Unit tests of sliding sums.

use super::*;

#[test]
fn a_ratio_covers_only_the_span_and_needs_a_minimum_total() {
    let mut sums = SlidingSums::new(2.0, 0.25);
    for tick in 0..100 {
        let counted = if tick >= 50 { 1.0 } else { 0.0 };
        sums.add(f64::from(tick) * 0.1, counted, 1.0);
    }
    assert_eq!(sums.ratio(9.9, 5.0), Some(1.0));
    assert_eq!(sums.ratio(11.5, 50.0), None);
    assert_eq!(sums.ratio(20.0, 0.0), None, "a total of 0 has no ratio");
}
