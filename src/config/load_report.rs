//! Conversion of a node's load report from named values.

use crate::scheduler::LoadReport;

/// Builds a load report from the names and values that a node sent. Ignores names that the scheduler does not use.
pub fn report<'a>(values: impl IntoIterator<Item = (&'a str, f64)>) -> LoadReport {
    let mut report = LoadReport::default();
    for (name, value) in values {
        match name {
            "q" | "queue" => report.queue_length = Some(value),
            "busy" | "util" => report.utilization = Some(value),
            "lat_ms" | "latency_ms" => report.latency_s = Some(value / 1000.0),
            _ => {}
        }
    }
    report
}
