//! Tests of the wait for a peer to read.

use super::*;

const TIMEOUT: Duration = Duration::from_secs(10);
/// Longer than any wait that ends.
const TEN_MINUTES: Duration = Duration::from_secs(600);

/// Looks whenever a look is due, at a peer that has acknowledged `acknowledged(time)` bytes. Returns for how long the peer
/// was waited for, ten minutes at most.
fn time_until_stopped(acknowledged: impl Fn(Duration) -> Option<u64>) -> Duration {
    let began_at = Instant::now();
    let mut stall = SendStall::new(TIMEOUT, began_at);
    loop {
        let now = stall.next_look();
        assert!(now > began_at, "time goes on");
        let waited = now - began_at;
        if stall.look(now, acknowledged(waited)) || waited >= TEN_MINUTES {
            return waited;
        }
    }
}

/// The bytes that a peer has acknowledged that reads at `rate` bytes per second, and whose system says so in steps.
fn in_steps(rate: f64, step: u64) -> impl Fn(Duration) -> Option<u64> {
    move |time| Some((rate * time.as_secs_f64()) as u64 / step * step)
}

#[test]
fn a_peer_that_reads_nothing_has_stopped_after_the_timeout() {
    assert_eq!(time_until_stopped(|_| Some(7)), TIMEOUT);
    let byte_at_each_look = time_until_stopped(|time| Some(time.as_millis() as u64 / 500));
    assert!(byte_at_each_look <= TIMEOUT + LOOK_INTERVAL, "{byte_at_each_look:?}");
}

#[test]
fn a_peer_at_the_rate_of_slow_clients_never_stops_whatever_the_steps() {
    // A receive buffer of 6 MB is announced again once a sixteenth of it is free.
    for step in [1, 4096, 65_536, 6_000_000 / 16] {
        assert_eq!(time_until_stopped(in_steps(64e3, step)), TEN_MINUTES, "{step}");
        assert_eq!(time_until_stopped(in_steps(100e3, step)), TEN_MINUTES, "{step}");
    }
}

#[test]
fn a_peer_below_the_least_rate_stops_by_how_much_it_is_below() {
    let quarter = time_until_stopped(in_steps(MIN_READ_RATE / 4.0, 1));
    assert!(quarter > TIMEOUT && quarter <= TIMEOUT * 4 / 3 + LOOK_INTERVAL, "{quarter:?}");
}

/// Guards against time that a fast peer saves up for when it has stopped.
#[test]
fn what_was_read_fast_prolongs_no_later_wait() {
    let stopped_at = Duration::from_secs(30);
    let read = |time: Duration| Some((1e8 * time.min(stopped_at).as_secs_f64()) as u64);
    assert!(time_until_stopped(read) <= stopped_at + TIMEOUT + LOOK_INTERVAL);
}

/// Guards against a failed call that is taken for a peer that reads nothing, and against one that always fails and keeps
/// the connection for good.
#[test]
fn a_system_that_does_not_tell_prolongs_the_wait_but_not_for_ever() {
    let failing_for_now = |time: Duration| in_steps(64e3, 1)(time).filter(|_| time.as_secs() % 15 == 14);
    assert_eq!(time_until_stopped(failing_for_now), TEN_MINUTES);
    let unknown = time_until_stopped(|_| None);
    assert!(unknown >= TIMEOUT + UNKNOWN_PROGRESS_TIME, "{unknown:?}");
    assert!(unknown <= TIMEOUT + UNKNOWN_PROGRESS_TIME + LOOK_INTERVAL, "{unknown:?}");
}

/// Guards against streams of HTTP/2 that are reset for what their client did not read before them.
#[test]
fn a_peer_that_had_stopped_and_reads_again_has_all_of_the_time() {
    let began_at = Instant::now();
    let mut stall = SendStall::new(TIMEOUT, began_at);
    assert!(!stall.look(began_at + LOOK_INTERVAL, Some(7)));
    assert!(stall.look(began_at + TIMEOUT, Some(7)));
    assert!(stall.look(began_at + TIMEOUT * 2, Some(7)), "it still does not read");
    assert!(!stall.look(began_at + TIMEOUT * 3, Some(8)));
    assert_eq!(stall.stops_at(), began_at + TIMEOUT * 4);
}
