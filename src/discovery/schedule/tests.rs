//! Tests of delays, backoff and timeouts of the poll schedule.

use super::*;

const GRACE: Duration = Duration::from_millis(250);

fn schedules(heads: u32, seed: u64) -> Vec<PollSchedule> {
    let seeds = (1..=u64::from(heads)).map(|head| head.wrapping_mul(0x9E37_79B9_7F4A_7C15) ^ seed);
    seeds.map(|seed| PollSchedule::new(heads, seed, SourceKind::SharedServer, GRACE)).collect()
}

/// When a head received the list, and how many calls it needed.
#[derive(Clone)]
struct Delivery {
    received_at_s: f64,
    calls: u32,
}

/// Simulates a server that answers one call at a time, each in `service_time_s`, and rejects calls that have been
/// queued for 1.9 s. All heads lose their watches at time 0.
fn simulate_relist(schedules: &[PollSchedule], service_time_s: f64) -> Vec<Delivery> {
    let mut backoffs: Vec<_> = schedules.iter().map(PollSchedule::backoff).collect();
    let mut calls: Vec<(f64, usize)> = Vec::new();
    for (head, schedule) in schedules.iter().enumerate() {
        calls.push((schedule.initial_delay().as_secs_f64(), head));
    }
    let mut idle_at_s = 0.0f64;
    let mut deliveries = vec![Delivery { received_at_s: f64::INFINITY, calls: 0 }; schedules.len()];
    while !calls.is_empty() {
        let earliest = (0..calls.len()).min_by(|a, b| calls[*a].0.total_cmp(&calls[*b].0)).unwrap();
        let (called_at_s, head) = calls.swap_remove(earliest);
        deliveries[head].calls += 1;
        if idle_at_s - called_at_s > 1.9 {
            calls.push((called_at_s + 1.9 + backoffs[head].next_delay().as_secs_f64(), head));
        } else {
            idle_at_s = idle_at_s.max(called_at_s) + service_time_s;
            deliveries[head].received_at_s = idle_at_s;
        }
    }
    deliveries
}

/// Worst case: all heads call at the same time, and the server needs most of the 6 s to answer them. With delays of
/// up to 12.5 s, half of 100 heads received the list too late; without delays, two thirds of the calls failed.
#[test]
fn fleets_of_any_size_receive_the_list_within_six_seconds() {
    let fleets =
        [(9, 0.125), (24, 0.125), (48, 0.1), (100, 0.057), (200, 0.028), (350, 0.016), (1024, 0.0055)];
    for (heads, service_time_s) in fleets {
        for seed in 0..20 {
            let deliveries = simulate_relist(&schedules(heads, seed), service_time_s);
            let late = deliveries.iter().filter(|delivery| delivery.received_at_s > 6.0).count();
            assert!(late * 20 <= deliveries.len(), "{heads} heads, seed {seed}: {late} received after 6 s");
            assert!(
                deliveries.iter().all(|delivery| delivery.received_at_s < 14.0 && delivery.calls <= 4),
                "{heads} heads, seed {seed}"
            );
        }
    }
}

/// Calls to a local agent are not delayed in a large fleet: a head would otherwise send requests to a draining node for
/// up to 4 s longer.
#[test]
fn local_agent_is_polled_at_a_fixed_interval_in_a_fleet_of_any_size() {
    let schedule = PollSchedule::new(300, 5, SourceKind::LocalAgent, GRACE);
    assert_eq!((schedule.initial_delay(), schedule.call_timeout()), (Duration::ZERO, CALL_TIMEOUT));
    let mut poller = schedule.poller();
    for end in [CallEnd::NeverOpened, CallEnd::Broken, CallEnd::Stalled] {
        assert_eq!(poller.on_call_ended(end), None, "the interval does not depend on how a call ends");
        assert_eq!(poller.on_call_started(), Some(GRACE / 4));
    }
    let poll_interval = |millis| {
        PollSchedule::new(300, 5, SourceKind::LocalAgent, Duration::from_millis(millis))
            .poller()
            .on_call_started()
    };
    assert_eq!(poll_interval(0), Some(MIN_POLL_INTERVAL), "lower bound");
    assert_eq!(poll_interval(2000), Some(MAX_POLL_INTERVAL), "upper bound");
}

/// The idle timeout, the backoff and 1 s in the server's queue together take at most the 6 s within which a head has to
/// receive an update and the 250 ms within which it may still send requests. This is the worst case: the update is made
/// just after the watch has stalled.
#[test]
fn stalled_watch_is_replaced_before_an_update_is_overdue() {
    let time_limit = Duration::from_millis(6250);
    for seed in 1..1000u64 {
        let schedule = PollSchedule::new(
            1024,
            seed.wrapping_mul(0x9E37_79B9_7F4A_7C15),
            SourceKind::SharedServer,
            GRACE,
        );
        let mut poller = schedule.poller();
        let delay = poller.on_call_ended(CallEnd::Stalled).expect("a delay");
        assert!(poller.timeouts().idle + delay + Duration::from_secs(1) <= time_limit, "{seed}");
    }
}

/// Heads do not retry all at the same time, nor so often that a shared server stays overloaded.
#[test]
fn backoff_is_spread_over_a_fleet_and_grows_until_calls_are_rare() {
    let delays_s = |schedule: &PollSchedule| {
        let mut backoff = schedule.backoff();
        (0..8).map(|_| backoff.next_delay().as_secs_f64()).collect::<Vec<_>>()
    };
    let fleet: Vec<_> = schedules(48, 0).iter().map(delays_s).collect();
    assert!(
        fleet.iter().all(|head| head[0] >= 0.4 && head[0] <= 4.0 && head.iter().all(|delay| *delay <= 12.0))
    );
    let calls_per_s = 48.0 / (fleet.iter().map(|head| head[7]).sum::<f64>() / 48.0);
    assert!((4.0..10.0).contains(&calls_per_s), "{calls_per_s} calls a second");
    let early = fleet.iter().filter(|head| head[0] < 2.2).count();
    assert!((10..38).contains(&early), "{early} of 48 in the first half");
    let small_fleet = delays_s(&PollSchedule::new(8, 5, SourceKind::SharedServer, GRACE));
    assert!(small_fleet.iter().all(|delay| (0.02..1.5).contains(delay)), "short delays in a small fleet");
    assert_eq!(PollSchedule::new(8, 5, SourceKind::SharedServer, GRACE).initial_delay(), Duration::ZERO);
}

/// A failed call to a shared server does not delay the next one beyond the 6 s within which a head has to receive an
/// update: the next call starts within the longest interval, regardless of how and when a call ends.
#[tokio::test(start_paused = true)]
async fn calls_to_a_shared_server_begin_at_most_one_interval_apart() {
    for heads in [9, 20, 300, 1024, 4200] {
        let schedule = PollSchedule::new(heads, u64::from(heads), SourceKind::SharedServer, GRACE);
        let mut poller = schedule.poller();
        for round in 0..400u64 {
            let started_at = Instant::now();
            let due = started_at + poller.on_call_started().expect("an interval");
            assert!(
                due - started_at <= MAX_CALL_INTERVAL && due - started_at > schedule.call_timeout(),
                "{heads} heads: {:?}",
                due - started_at
            );
            let end = [CallEnd::NeverOpened, CallEnd::Stalled, CallEnd::Broken][(round % 3) as usize];
            tokio::time::advance((due - started_at).mul_f64(schedule.sample())).await;
            let next = Instant::now() + poller.on_call_ended(end).expect("a delay");
            assert!(next <= due, "{heads} heads, {end:?}: {:?} after it began", next - started_at);
            tokio::time::sleep_until(next).await;
        }
    }
}
