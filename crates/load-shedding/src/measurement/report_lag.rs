//! Measures the lag of usage reports.

/// The lag of reports at a given time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LagReading {
    /// Age in seconds of the newest reported data.
    pub lag_s: f64,
    /// When a report with new data was last received.
    pub last_report_at: f64,
}

/// Measures the lag of reports. A report may carry a timestamp of its data. If no report carries one, the lag is the
/// time since a report with new data was last received.
#[derive(Clone, Debug)]
pub struct ReportLag {
    tolerance_s: f64,
    newest_timestamp: Option<f64>,
    last_report_at: Option<f64>,
    rejected_timestamps: u32,
}

impl ReportLag {
    /// Creates a measurement without reports. Reports with a timestamp more than `tolerance_s` seconds in the future,
    /// as after a step of a node's clock, are rejected.
    pub fn new(tolerance_s: f64) -> ReportLag {
        ReportLag { tolerance_s, newest_timestamp: None, last_report_at: None, rejected_timestamps: 0 }
    }

    /// Records a report with new data, received at `now`, and the timestamp of its data if the report carries one.
    pub fn record_report(&mut self, now: f64, timestamp: Option<f64>) {
        let Some(timestamp) = timestamp else {
            self.last_report_at = Some(now);
            return;
        };
        // A timestamp in the future would hide the lag of all later reports.
        if timestamp > now + self.tolerance_s {
            self.rejected_timestamps += 1;
            return;
        }
        let newest = self.newest_timestamp.map_or(timestamp, |newest| newest.max(timestamp));
        self.newest_timestamp = Some(newest);
        self.last_report_at = Some(now);
    }

    /// The number of reports that were rejected because their timestamp was in the future.
    pub fn rejected_timestamps(&self) -> u32 {
        self.rejected_timestamps
    }

    /// The lag at `now`, or `None` before the first report.
    pub fn reading(&self, now: f64) -> Option<LagReading> {
        let last_report_at = self.last_report_at?;
        let newest = self.newest_timestamp.unwrap_or(last_report_at);
        Some(LagReading { lag_s: (now - newest).max(0.0), last_report_at })
    }
}

#[cfg(test)]
mod tests;
