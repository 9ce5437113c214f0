//! Tests of the rate limits on frames.

use super::*;

fn header(kind: u8, flags: u8, length: u32) -> FrameHeader {
    FrameHeader { length, kind, flags, stream: 1 }
}

/// A flood of each kind of frame is detected once its burst is used up; frames at the sustained rate are not a flood,
/// and requests and answers are not limited.
#[test]
fn floods_are_detected_by_kind_and_sustained_rates_are_allowed() {
    let floods = [
        (header(kind::RST_STREAM, 0, 4), FloodKind::Resets),
        (header(kind::SETTINGS, 0, 0), FloodKind::Settings),
        (header(kind::PING, 0, 8), FloodKind::Pings),
        (header(kind::DATA, 0, 0), FloodKind::Empty),
        (header(kind::DATA, flag::PADDED, 256), FloodKind::Empty),
        (header(kind::CONTINUATION, 0, 1), FloodKind::Continuations),
        (header(kind::PRIORITY, 0, 5), FloodKind::Idle),
        (header(0xb, 0, 0), FloodKind::Idle),
        (header(kind::WINDOW_UPDATE, 0, 4), FloodKind::Updates),
    ];
    for (frame, kind) in floods {
        let limit = FrameLimits::default().by_kind[kind as usize];
        let mut budgets = FrameBudgets::new(FrameLimits::default(), 0.0);
        let flood_at_rate = (0..4000).find_map(|n| budgets.count(f64::from(n) / limit.rate * 1.01, &frame));
        assert_eq!(flood_at_rate, None, "{kind} at the sustained rate");
        let mut budgets = FrameBudgets::new(FrameLimits::default(), 0.0);
        let flood_at = (0..30_000).find(|_| budgets.count(0.0, &frame).is_some());
        assert_eq!(flood_at, Some(limit.burst as i32), "{kind} in one burst");
        assert_eq!(
            budgets.count(1e6, &header(kind::DATA, 0, 9)),
            Some(kind),
            "an exhausted bucket stays exhausted"
        );
    }
    let mut budgets = FrameBudgets::new(FrameLimits::default(), 0.0);
    let unlimited = [
        header(kind::HEADERS, 0, 90),
        header(kind::DATA, flag::END_STREAM, 0),
        header(kind::PING, flag::ACK, 8),
    ];
    assert!((0..100_000).all(|n| budgets.count(0.0, &unlimited[n % 3]).is_none()));
}
