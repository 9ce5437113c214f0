//! When the buffered bytes of a connection arrived. A pipelined request waits in the buffer while the one before it is
//! served, and its client's time runs meanwhile.

use std::collections::VecDeque;
use std::time::Duration;
use tokio::time::Instant;

/// Bytes that arrive within this time of others count as having arrived with them.
const RESOLUTION: Duration = Duration::from_millis(10);

/// Consecutive bytes that arrived together.
#[derive(Clone, Copy, Debug)]
struct Segment {
    length: usize,
    arrived_at: Instant,
}

/// When the bytes of a buffer arrived, in their order.
#[derive(Debug, Default)]
pub struct BufferedArrivals {
    segments: VecDeque<Segment>,
}

impl BufferedArrivals {
    /// Adds bytes to the end of the buffer.
    pub fn push(&mut self, length: usize, arrived_at: Instant) {
        if let Some(last) = self.segments.back_mut() {
            if arrived_at.saturating_duration_since(last.arrived_at) < RESOLUTION {
                last.length += length;
                return;
            }
        }
        self.segments.push_back(Segment { length, arrived_at });
    }

    /// Removes bytes from the beginning of the buffer.
    pub fn consume(&mut self, mut length: usize) {
        while let Some(first) = self.segments.front_mut() {
            if first.length > length {
                first.length -= length;
                return;
            }
            length -= first.length;
            self.segments.pop_front();
        }
    }

    /// When the last of the first `length` bytes arrived; `None` if there are fewer.
    pub fn last_of(&self, length: usize) -> Option<Instant> {
        let mut end = 0;
        let segment = self.segments.iter().find(|segment| {
            end += segment.length;
            end >= length
        });
        segment.map(|segment| segment.arrived_at)
    }
}
