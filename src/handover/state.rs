//! State of the other processes of this head, from which this process derives its share of resources and whether it
//! accepts connections.

/// State of the process that was started after this one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) enum NewerProcess {
    /// No newer process runs.
    #[default]
    Absent,
    /// The newer process runs but is not ready; this process still accepts connections.
    Starting,
    /// The newer process accepts connections in place of this one.
    InService,
}

/// State of the other processes of this head.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct OtherProcesses {
    /// Whether a process that was started before this one still runs.
    pub(super) older: bool,
    /// The process that was started after this one.
    pub(super) newer: NewerProcess,
}

impl OtherProcesses {
    /// This process's fraction of the head's resources, which all running processes share equally.
    pub(super) fn share(self) -> f64 {
        let others = u8::from(self.older) + u8::from(self.newer != NewerProcess::Absent);
        1.0 / f64::from(1 + others)
    }

    /// Whether a newer process accepts connections in place of this one.
    pub(super) fn newer_in_service(self) -> bool {
        self.newer == NewerProcess::InService
    }

    /// Records that a peer reported itself ready. Only a starting newer process changes state.
    pub(super) fn peer_is_ready(&mut self) {
        if self.newer == NewerProcess::Starting {
            self.newer = NewerProcess::InService;
        }
    }
}
