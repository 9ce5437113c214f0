//! Numbers of slots in use, by the kind of their connection and by their state.

use std::fmt;

/// What a connection is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionKind {
    /// A client of the HTTP/1.1 frontend.
    Http,
    /// A client of the HTTP/2 frontend.
    Http2,
    /// An initiator of the block frontend (iSCSI).
    Block,
    /// A connection to a storage node.
    Node,
}

impl ConnectionKind {
    /// All kinds.
    pub const ALL: [ConnectionKind; 4] =
        [ConnectionKind::Http, ConnectionKind::Http2, ConnectionKind::Block, ConnectionKind::Node];
    /// The kinds that a frontend accepts.
    pub const CLIENTS: [ConnectionKind; 3] =
        [ConnectionKind::Http, ConnectionKind::Http2, ConnectionKind::Block];

    /// Whether the connection is one that a frontend accepts.
    pub fn is_client(self) -> bool {
        self != ConnectionKind::Node
    }

    /// Whether the connection is one of an HTTP client.
    pub fn is_http_client(self) -> bool {
        matches!(self, ConnectionKind::Http | ConnectionKind::Http2)
    }

    /// Name in log lines and of the exported gauge.
    pub fn name(self) -> &'static str {
        match self {
            ConnectionKind::Http => "http",
            ConnectionKind::Http2 => "http2",
            ConnectionKind::Block => "block",
            ConnectionKind::Node => "node",
        }
    }
}

/// State of a connection that holds a slot, or of a slot that is held for the next connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SlotState {
    /// Held by an accept loop for the connection that it accepts next.
    Reserved,
    /// Nothing has been received on the connection.
    Unused,
    /// A part of a request or login has been received, and no request is served.
    Incomplete,
    /// The connection is between two requests.
    Idle,
    /// The connection carries a request.
    InUse,
    /// The connection was requested to close.
    Closing,
}

impl SlotState {
    const ALL: [SlotState; 6] = [
        SlotState::Reserved,
        SlotState::Unused,
        SlotState::Incomplete,
        SlotState::Idle,
        SlotState::InUse,
        SlotState::Closing,
    ];

    /// Name in log lines.
    pub(super) fn name(self) -> &'static str {
        match self {
            SlotState::Reserved => "reserved",
            SlotState::Unused => "unused",
            SlotState::Incomplete => "incomplete",
            SlotState::Idle => "idle",
            SlotState::InUse => "in_use",
            SlotState::Closing => "closing",
        }
    }
}

/// Numbers of slots by kind and state.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SlotUsage {
    counts: [[usize; SlotState::ALL.len()]; ConnectionKind::ALL.len()],
}

impl SlotUsage {
    /// Counts a slot that is taken.
    pub(super) fn add(&mut self, kind: ConnectionKind, state: SlotState) {
        self.counts[kind as usize][state as usize] += 1;
    }

    /// Counts a slot that is released.
    pub(super) fn remove(&mut self, kind: ConnectionKind, state: SlotState) {
        self.counts[kind as usize][state as usize] -= 1;
    }

    /// Number of slots of this kind in this state.
    pub fn count(&self, kind: ConnectionKind, state: SlotState) -> usize {
        self.counts[kind as usize][state as usize]
    }

    /// Number of slots of this kind.
    pub fn open(&self, kind: ConnectionKind) -> usize {
        self.counts[kind as usize].iter().sum()
    }

    /// Number of slots of this kind whose connections were not requested to close.
    pub fn staying_open(&self, kind: ConnectionKind) -> usize {
        self.open(kind) - self.count(kind, SlotState::Closing)
    }

    /// Number of slots in this state.
    pub fn in_state(&self, state: SlotState) -> usize {
        ConnectionKind::ALL.iter().map(|kind| self.count(*kind, state)).sum()
    }

    /// Number of all slots.
    pub fn total(&self) -> usize {
        ConnectionKind::ALL.iter().map(|kind| self.open(*kind)).sum()
    }

    /// Number of slots whose connections carry a request, or a part of one.
    pub(super) fn carrying_requests(&self) -> usize {
        self.in_state(SlotState::InUse) + self.in_state(SlotState::Incomplete)
    }

    /// Number of all slots whose connections were not requested to close.
    pub fn total_staying_open(&self) -> usize {
        self.total() - self.in_state(SlotState::Closing)
    }
}

/// The kinds that have slots, each with its states: `http=2 (idle=1 in_use=1) node=1 (in_use=1)`.
impl fmt::Display for SlotUsage {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut separator = "";
        for kind in ConnectionKind::ALL {
            let open = self.open(kind);
            if open == 0 {
                continue;
            }
            let states = SlotState::ALL.iter().filter(|state| self.count(kind, **state) > 0);
            let states: Vec<String> =
                states.map(|state| format!("{}={}", state.name(), self.count(kind, *state))).collect();
            write!(f, "{separator}{}={open} ({})", kind.name(), states.join(" "))?;
            separator = " ";
        }
        Ok(())
    }
}
