//! Tracks the usage reports that nodes send with their responses, for
//! [`Signal::ReportLag`](flaxgap_load_shedding::Signal::ReportLag).

use crate::scheduler::VolumeId;
use flaxgap_load_shedding::measurement::report_lag::ReportLag;
use std::collections::BTreeMap;

/// Seconds for which the last report on a volume is retained.
const REPORT_RETENTION_S: f64 = 60.0;
/// Seconds by which a report's timestamp may be ahead of this head's clock.
const TIMESTAMP_TOLERANCE_S: f64 = 0.5;

/// The last report on one volume.
#[derive(Clone, Copy)]
struct VolumeReport {
    usage: f64,
    received_at: f64,
}

/// A reading of the lag.
pub(super) struct LagSignal {
    /// Seconds since the reports last contained new data.
    pub(super) lag_s: f64,
    /// Time of the reading.
    pub(super) read_at: f64,
}

/// The last report on each volume, and the lag of all reports.
pub(super) struct UsageReports {
    volumes: BTreeMap<VolumeId, VolumeReport>,
    lag: ReportLag,
}

impl UsageReports {
    /// Creates an empty set of reports.
    pub(super) fn new() -> UsageReports {
        UsageReports { volumes: BTreeMap::new(), lag: ReportLag::new(TIMESTAMP_TOLERANCE_S) }
    }

    /// Records a report on a volume, received at `now`. A changed usage counts as new data.
    pub(super) fn record(&mut self, now: f64, volume: VolumeId, usage: f64) {
        let last = self.volumes.insert(volume, VolumeReport { usage, received_at: now });
        if last.is_none_or(|last| last.usage != usage) {
            self.lag.record_report(now, None);
        }
    }

    /// Removes reports that are older than [`REPORT_RETENTION_S`].
    pub(super) fn remove_expired(&mut self, now: f64) {
        self.volumes.retain(|_, report| is_retained(report, now));
    }

    /// The lag at `now`, or `None` before the first report. While any report is retained, the reading is current.
    /// Afterwards it keeps the time of the last new data, so that it becomes stale.
    pub(super) fn lag(&self, now: f64) -> Option<LagSignal> {
        let reading = self.lag.reading(now)?;
        let has_recent_report = self.volumes.values().any(|report| is_retained(report, now));
        let read_at = if has_recent_report { now } else { reading.last_report_at };
        Some(LagSignal { lag_s: reading.lag_s, read_at })
    }
}

fn is_retained(report: &VolumeReport, now: f64) -> bool {
    now - report.received_at < REPORT_RETENTION_S
}
