//! The load report of a node, as the wires name its values.

use crate::scheduler::LoadReport;

/// A load report out of names and values; names that the scheduler has no use for are skipped.
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
