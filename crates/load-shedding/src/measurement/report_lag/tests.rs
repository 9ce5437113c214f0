//! Unit tests of the lag measurement.

use super::*;

#[test]
fn lag_follows_late_and_missing_reports_but_not_a_clock_step() {
    let reading = |lag_s, last_report_at| Some(LagReading { lag_s, last_report_at });
    let mut lag = ReportLag::new(0.5);
    assert_eq!(lag.reading(1.0), None);
    lag.record_report(10.0, Some(9.0));
    assert_eq!(lag.reading(10.0), reading(1.0, 10.0));
    lag.record_report(12.0, Some(8.6));
    assert_eq!(lag.reading(12.0), reading(3.0, 12.0), "the newest timestamp counts");
    lag.record_report(13.0, Some(99.0));
    assert_eq!(lag.reading(13.0), reading(4.0, 12.0));
    assert_eq!(lag.rejected_timestamps(), 1);
    assert_eq!(
        lag.reading(50.0),
        reading(41.0, 12.0),
        "the age of the reading shows that reports have stopped"
    );
}
