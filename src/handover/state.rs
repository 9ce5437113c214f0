//! Which other processes of this head live, and what follows from it for this one.

/// A process that was started after this one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) enum NewerProcess {
    /// There is none.
    #[default]
    Absent,
    /// It lives, and this process still accepts connections.
    Starting,
    /// It accepts connections in place of this process.
    InService,
}

/// The other processes of this head.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct OtherProcesses {
    /// Whether one that was started before lives.
    pub(super) older: bool,
    /// The one that was started after.
    pub(super) newer: NewerProcess,
}

impl OtherProcesses {
    /// This process's equal share of what all processes of the head have together, 0 to 1.
    pub(super) fn share(self) -> f64 {
        let others = u8::from(self.older) + u8::from(self.newer != NewerProcess::Absent);
        1.0 / f64::from(1 + others)
    }

    /// Whether a newer process accepts connections in place of this one.
    pub(super) fn newer_in_service(self) -> bool {
        self.newer == NewerProcess::InService
    }

    /// Records that the peer accepts connections; without a newer process it changes nothing.
    pub(super) fn peer_is_ready(&mut self) {
        if self.newer == NewerProcess::Starting {
            self.newer = NewerProcess::InService;
        }
    }
}
