//! Budgets of what costs a server more than it costs its sender. Each kind of frame has one that fills at a rate; a
//! connection that has spent one is ended with ENHANCE_YOUR_CALM (RFC 9113, section 10.5), and others notice nothing.

use crate::frames::{Head, flag, kind};
use std::fmt;

/// What a connection may spend of one kind.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Allowance {
    /// Frames a second, for as long as it lasts.
    pub rate: f64,
    /// Frames at once.
    pub burst: f64,
}

/// What is counted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Kind {
    /// Streams opened and reset by the client.
    Resets,
    /// SETTINGS, each of which has to be acknowledged.
    Settings,
    /// PING, each of which has to be answered.
    Pings,
    /// DATA without data and without an end.
    Empty,
    /// CONTINUATION that a field section drags on with.
    Continuations,
    /// PRIORITY, and frames of types that are not known: they mean nothing here.
    Idle,
    /// WINDOW_UPDATE, more than there can be use for.
    Updates,
}

/// All of them.
pub const KINDS: [Kind; 7] =
    [Kind::Resets, Kind::Settings, Kind::Pings, Kind::Empty, Kind::Continuations, Kind::Idle, Kind::Updates];

impl fmt::Display for Kind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Kind::Resets => "resets",
            Kind::Settings => "settings",
            Kind::Pings => "pings",
            Kind::Empty => "empty frames",
            Kind::Continuations => "continuations",
            Kind::Idle => "frames without a meaning",
            Kind::Updates => "window updates",
        })
    }
}

/// The allowance of each kind.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Allowances {
    /// In the order of [`KINDS`].
    pub of: [Allowance; KINDS.len()],
}

impl Default for Allowances {
    fn default() -> Self {
        let of = |rate, burst| Allowance { rate, burst };
        Allowances {
            of: [
                of(100.0, 400.0),
                of(1.0, 20.0),
                of(5.0, 50.0),
                of(10.0, 100.0),
                of(20.0, 64.0),
                of(20.0, 400.0),
                of(5000.0, 20_000.0),
            ],
        }
    }
}

/// One connection's budgets.
#[derive(Clone, Debug)]
pub struct Scores {
    allowances: Allowances,
    stores: [f64; KINDS.len()],
    at: f64,
    spent: Option<Kind>,
}

impl Scores {
    /// All budgets are full.
    pub fn new(allowances: Allowances, now: f64) -> Scores {
        Scores { allowances, stores: allowances.of.map(|a| a.burst), at: now, spent: None }
    }

    /// What kind a frame of a client is counted as.
    pub fn kind(head: &Head) -> Option<Kind> {
        match head.kind {
            kind::RST_STREAM => Some(Kind::Resets),
            kind::SETTINGS if head.flags & flag::ACK == 0 => Some(Kind::Settings),
            kind::PING if head.flags & flag::ACK == 0 => Some(Kind::Pings),
            kind::DATA if head.length == 0 && head.flags & flag::END_STREAM == 0 => Some(Kind::Empty),
            // Padding alone is no data either.
            kind::DATA
                if head.flags & flag::PADDED != 0
                    && head.length <= 256
                    && head.flags & flag::END_STREAM == 0 =>
            {
                Some(Kind::Empty)
            }
            kind::CONTINUATION => Some(Kind::Continuations),
            kind::WINDOW_UPDATE => Some(Kind::Updates),
            kind::PRIORITY => Some(Kind::Idle),
            kind::DATA | kind::HEADERS | kind::PUSH_PROMISE | kind::GOAWAY | kind::SETTINGS | kind::PING => {
                None
            }
            _ => Some(Kind::Idle),
        }
    }

    /// Counts a frame; the kind whose budget is spent, from then on for good.
    pub fn count(&mut self, now: f64, head: &Head) -> Option<Kind> {
        let passed = (now - self.at).max(0.0);
        self.at = self.at.max(now);
        for (store, allowance) in self.stores.iter_mut().zip(&self.allowances.of) {
            *store = (*store + passed * allowance.rate).min(allowance.burst);
        }
        if let Some(kind) = Scores::kind(head) {
            let store = &mut self.stores[kind as usize];
            *store -= 1.0;
            if *store < 0.0 {
                self.spent.get_or_insert(kind);
            }
        }
        self.spent
    }

    /// The kind whose budget is spent.
    pub fn spent(&self) -> Option<Kind> {
        self.spent
    }
}

#[cfg(test)]
mod tests;
