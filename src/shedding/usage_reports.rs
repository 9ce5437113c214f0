//! The usage reports that nodes send with their responses, for the signal on their lag.

use crate::scheduler::VolumeId;
use flaxgap_load_shedding::measurement::report_lag::ReportLag;
use std::collections::BTreeMap;

/// Seconds that a volume's last report is kept.
const KEPT_FOR_S: f64 = 60.0;
/// Seconds that a report's own stamp may be ahead of the clock.
const STAMP_TOLERANCE_S: f64 = 0.5;

/// The last report on one volume.
#[derive(Clone, Copy)]
struct VolumeReport {
    usage: f64,
    received_at: f64,
}

/// A reading of the lag and when it was made.
pub(super) struct LagSignal {
    /// Seconds since the reports last told something new.
    pub(super) lag_s: f64,
    /// When the reading was made.
    pub(super) read_at: f64,
}

/// The last report on each volume.
pub(super) struct UsageReports {
    volumes: BTreeMap<VolumeId, VolumeReport>,
    lag: ReportLag,
}

impl UsageReports {
    /// Starts without reports.
    pub(super) fn new() -> UsageReports {
        UsageReports { volumes: BTreeMap::new(), lag: ReportLag::new(STAMP_TOLERANCE_S) }
    }

    /// Records a report on a volume.
    pub(super) fn record(&mut self, now: f64, volume: VolumeId, usage: f64) {
        let last = self.volumes.insert(volume, VolumeReport { usage, received_at: now });
        if last.is_none_or(|last| last.usage != usage) {
            self.lag.record_report(now, None);
        }
    }

    /// Removes old reports.
    pub(super) fn forget_old(&mut self, now: f64) {
        self.volumes.retain(|_, report| is_kept(report, now));
    }

    /// The lag now; none before the first report. It is known for as long as responses that should carry reports
    /// come; afterwards the reading ages.
    pub(super) fn lag(&self, now: f64) -> Option<LagSignal> {
        let reading = self.lag.reading(now)?;
        let is_known = self.volumes.values().any(|report| is_kept(report, now));
        let read_at = if is_known { now } else { reading.last_report_at };
        Some(LagSignal { lag_s: reading.lag_s, read_at })
    }
}

fn is_kept(report: &VolumeReport, now: f64) -> bool {
    now - report.received_at < KEPT_FOR_S
}
