//! Tests of this module's private parts.

use super::*;

fn head(kind: u8, flags: u8, length: u32) -> Head {
    Head { length, kind, flags, stream: 1 }
}

/// Guards against floods of each kind, and against ending a connection that only works hard.
#[test]
fn floods_are_seen_by_kind_and_steady_work_is_not() {
    let floods = [
        (head(kind::RST_STREAM, 0, 4), Kind::Resets),
        (head(kind::SETTINGS, 0, 0), Kind::Settings),
        (head(kind::PING, 0, 8), Kind::Pings),
        (head(kind::DATA, 0, 0), Kind::Empty),
        (head(kind::DATA, flag::PADDED, 256), Kind::Empty),
        (head(kind::CONTINUATION, 0, 1), Kind::Continuations),
        (head(kind::PRIORITY, 0, 5), Kind::Idle),
        (head(0xb, 0, 0), Kind::Idle),
        (head(kind::WINDOW_UPDATE, 0, 4), Kind::Updates),
    ];
    for (frame, kind) in floods {
        let allowance = Allowances::default().of[kind as usize];
        let mut scores = Scores::new(Allowances::default(), 0.0);
        let steady = (0..4000).find_map(|n| scores.count(f64::from(n) / allowance.rate * 1.01, &frame));
        assert_eq!(steady, None, "{kind} at their rate");
        let mut scores = Scores::new(Allowances::default(), 0.0);
        let at = (0..30_000).find(|_| scores.count(0.0, &frame).is_some());
        assert_eq!(at, Some(allowance.burst as i32), "{kind} at once");
        assert_eq!(scores.count(1e6, &head(kind::DATA, 0, 9)), Some(kind), "for good");
    }
    let mut scores = Scores::new(Allowances::default(), 0.0);
    let work =
        [head(kind::HEADERS, 0, 90), head(kind::DATA, flag::END_STREAM, 0), head(kind::PING, flag::ACK, 8)];
    assert!((0..100_000).all(|n| scores.count(0.0, &work[n % 3]).is_none()));
}
