//! Rate limits on frames that cost a server more than they cost their sender. Each connection has a token bucket per
//! [`FloodKind`]; a connection that exhausts one is closed with ENHANCE_YOUR_CALM (RFC 9113, section 10.5), and other
//! connections are not affected.

use crate::frames::{FrameHeader, flag, kind};
use std::fmt;

/// Rate limit of one connection on one kind of frame.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RateLimit {
    /// Sustained rate, in frames per second.
    pub rate: f64,
    /// Largest burst, in frames.
    pub burst: f64,
}

/// A kind of frame with a rate limit of its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum FloodKind {
    /// RST_STREAM, by which a client can open streams and cancel them at once.
    Resets,
    /// SETTINGS without ACK, each of which has to be acknowledged.
    Settings,
    /// PING without ACK, each of which has to be answered.
    Pings,
    /// DATA without data and without END_STREAM.
    Empty,
    /// CONTINUATION, with which a client can prolong a field section.
    Continuations,
    /// PRIORITY and frames of unknown types, which are ignored.
    Idle,
    /// WINDOW_UPDATE.
    Updates,
}

/// Every kind, in the order of [`FrameLimits::by_kind`].
pub const FLOOD_KINDS: [FloodKind; 7] = [
    FloodKind::Resets,
    FloodKind::Settings,
    FloodKind::Pings,
    FloodKind::Empty,
    FloodKind::Continuations,
    FloodKind::Idle,
    FloodKind::Updates,
];

impl fmt::Display for FloodKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            FloodKind::Resets => "resets",
            FloodKind::Settings => "settings",
            FloodKind::Pings => "pings",
            FloodKind::Empty => "empty frames",
            FloodKind::Continuations => "continuations",
            FloodKind::Idle => "PRIORITY or unknown frames",
            FloodKind::Updates => "window updates",
        })
    }
}

/// Rate limits of one connection on all kinds of frames.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FrameLimits {
    /// The limit of each kind, in the order of [`FLOOD_KINDS`].
    pub by_kind: [RateLimit; FLOOD_KINDS.len()],
}

impl Default for FrameLimits {
    fn default() -> Self {
        let limit = |rate, burst| RateLimit { rate, burst };
        FrameLimits {
            by_kind: [
                limit(100.0, 400.0),
                limit(1.0, 20.0),
                limit(5.0, 50.0),
                limit(10.0, 100.0),
                limit(20.0, 64.0),
                limit(20.0, 400.0),
                limit(5000.0, 20_000.0),
            ],
        }
    }
}

/// Token buckets of one connection.
#[derive(Clone, Debug)]
pub struct FrameBudgets {
    limits: FrameLimits,
    /// Frames left in each bucket, in the order of [`FLOOD_KINDS`].
    tokens: [f64; FLOOD_KINDS.len()],
    /// When the buckets were last refilled.
    refilled_at: f64,
    exhausted: Option<FloodKind>,
}

impl FrameBudgets {
    /// Creates buckets that are full at `now`.
    pub fn new(limits: FrameLimits, now: f64) -> FrameBudgets {
        FrameBudgets {
            limits,
            tokens: limits.by_kind.map(|limit| limit.burst),
            refilled_at: now,
            exhausted: None,
        }
    }

    /// Returns the kind that a client's frame counts as; `None` if frames of its type are not limited.
    pub fn flood_kind(header: &FrameHeader) -> Option<FloodKind> {
        match header.kind {
            kind::RST_STREAM => Some(FloodKind::Resets),
            kind::SETTINGS if header.flags & flag::ACK == 0 => Some(FloodKind::Settings),
            kind::PING if header.flags & flag::ACK == 0 => Some(FloodKind::Pings),
            kind::DATA if header.length == 0 && header.flags & flag::END_STREAM == 0 => {
                Some(FloodKind::Empty)
            }
            // A frame that may hold nothing but padding counts as empty too.
            kind::DATA
                if header.flags & flag::PADDED != 0
                    && header.length <= 256
                    && header.flags & flag::END_STREAM == 0 =>
            {
                Some(FloodKind::Empty)
            }
            kind::CONTINUATION => Some(FloodKind::Continuations),
            kind::WINDOW_UPDATE => Some(FloodKind::Updates),
            kind::PRIORITY => Some(FloodKind::Idle),
            kind::DATA | kind::HEADERS | kind::PUSH_PROMISE | kind::GOAWAY | kind::SETTINGS | kind::PING => {
                None
            }
            _ => Some(FloodKind::Idle),
        }
    }

    /// Counts a frame. Returns the first kind whose bucket was exhausted, also on every later call.
    pub fn count(&mut self, now: f64, header: &FrameHeader) -> Option<FloodKind> {
        let elapsed = (now - self.refilled_at).max(0.0);
        self.refilled_at = self.refilled_at.max(now);
        for (tokens, limit) in self.tokens.iter_mut().zip(&self.limits.by_kind) {
            *tokens = (*tokens + elapsed * limit.rate).min(limit.burst);
        }
        if let Some(kind) = FrameBudgets::flood_kind(header) {
            let tokens = &mut self.tokens[kind as usize];
            *tokens -= 1.0;
            if *tokens < 0.0 {
                self.exhausted.get_or_insert(kind);
            }
        }
        self.exhausted
    }

    /// Returns the first kind whose bucket was exhausted.
    pub fn exhausted(&self) -> Option<FloodKind> {
        self.exhausted
    }
}

#[cfg(test)]
mod tests;
