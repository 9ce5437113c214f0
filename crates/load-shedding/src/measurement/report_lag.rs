//! The lag of usage reports.

/// The lag of reports at a moment.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LagReading {
    /// Seconds since the newest moment that a report told of.
    pub lag_s: f64,
    /// When a report last came that told something new.
    pub last_report_at: f64,
}

/// Measures the lag of reports. A report may carry the time that it is of; where none does, the lag is the time since
/// any report last told something new.
#[derive(Clone, Debug)]
pub struct ReportLag {
    tolerance_s: f64,
    newest_stamp: Option<f64>,
    last_report_at: Option<f64>,
    rejected_stamps: u32,
}

impl ReportLag {
    /// Starts without reports. A stamp more than `tolerance_s` seconds ahead of the clock is a step of some clock.
    pub fn new(tolerance_s: f64) -> ReportLag {
        ReportLag { tolerance_s, newest_stamp: None, last_report_at: None, rejected_stamps: 0 }
    }

    /// Records a report that tells something new, with the time that it is of, if it carries one.
    pub fn record_report(&mut self, now: f64, stamp: Option<f64>) {
        let Some(stamp) = stamp else {
            self.last_report_at = Some(now);
            return;
        };
        // A stamp from the future would hide the lag of all reports that follow.
        if stamp > now + self.tolerance_s {
            self.rejected_stamps += 1;
            return;
        }
        let newest = self.newest_stamp.map_or(stamp, |newest| newest.max(stamp));
        self.newest_stamp = Some(newest);
        self.last_report_at = Some(now);
    }

    /// Reports whose stamp could not be right.
    pub fn rejected_stamps(&self) -> u32 {
        self.rejected_stamps
    }

    /// The lag now; none before the first report.
    pub fn reading(&self, now: f64) -> Option<LagReading> {
        let last_report_at = self.last_report_at?;
        let newest = self.newest_stamp.unwrap_or(last_report_at);
        Some(LagReading { lag_s: (now - newest).max(0.0), last_report_at })
    }
}

#[cfg(test)]
mod tests;
