//! Tests of this module's private parts.

use super::*;

const GRACE: Duration = Duration::from_millis(250);

fn heads(hosts: u32, seed: u64) -> Vec<PollSchedule> {
    let seeds = (1..=u64::from(hosts)).map(|head| head.wrapping_mul(0x9E37_79B9_7F4A_7C15) ^ seed);
    seeds.map(|seed| PollSchedule::new(hosts, seed, SourceKind::SharedServer, GRACE)).collect()
}

/// Plays one service that takes calls in turn, `each` seconds of work apiece, and fails those that have waited
/// 1.9 s, against a fleet that lost its watches at 0. Gives when each head was told and how often it called.
fn told(schedule: &[PollSchedule], each: f64) -> Vec<(f64, u32)> {
    let mut backoffs: Vec<_> = schedule.iter().map(PollSchedule::backoff).collect();
    let mut calls: Vec<(f64, usize)> = Vec::new();
    calls.extend(
        schedule.iter().enumerate().map(|(head, schedule)| (schedule.initial_delay().as_secs_f64(), head)),
    );
    let (mut free, mut done) = (0.0f64, vec![(f64::INFINITY, 0); schedule.len()]);
    while !calls.is_empty() {
        let soonest = (0..calls.len()).min_by(|a, b| calls[*a].0.total_cmp(&calls[*b].0)).unwrap();
        let (at, head) = calls.swap_remove(soonest);
        done[head].1 += 1;
        if free - at > 1.9 {
            calls.push((at + 1.9 + backoffs[head].next_delay().as_secs_f64(), head));
        } else {
            free = free.max(at) + each;
            done[head].0 = free;
        }
    }
    done
}

/// Hard case: all heads at once before a service that needs most of the 6 s for them. With 12.5 s for 100 heads
/// half of them learnt too late, and with none two thirds were turned away.
#[test]
fn a_fleet_of_any_size_hears_of_the_list_before_it_counts_as_told() {
    let fleets =
        [(9, 0.125), (24, 0.125), (48, 0.1), (100, 0.057), (200, 0.028), (350, 0.016), (1024, 0.0055)];
    for (hosts, each) in fleets {
        for seed in 0..20 {
            let told = told(&heads(hosts, seed), each);
            let late = told.iter().filter(|(at, _)| *at > 6.0).count();
            assert!(late * 20 <= told.len(), "{hosts} heads, seed {seed}: {late} told after 6 s");
            assert!(told.iter().all(|(at, calls)| *at < 14.0 && *calls <= 4), "{hosts} heads, seed {seed}");
        }
    }
}

/// Guards against a head of a large fleet that waits for its turn where nobody else asks: an agent of its own
/// holds a drain that counts as told, and the head sends to the node for up to 4 s more.
#[test]
fn an_agent_of_the_heads_own_is_asked_at_once_however_large_the_fleet() {
    let schedule = PollSchedule::new(300, 5, SourceKind::LocalAgent, GRACE);
    assert_eq!((schedule.initial_delay(), schedule.call_timeout()), (Duration::ZERO, CALL));
    let mut poller = schedule.poller();
    for end in [CallEnd::NeverOpened, CallEnd::Broken, CallEnd::Stalled] {
        assert_eq!(poller.on_call_ended(end), None, "the pace does not change");
        assert_eq!(poller.on_call_started(), Some(GRACE / 4));
    }
    let every = |millis| {
        PollSchedule::new(300, 5, SourceKind::LocalAgent, Duration::from_millis(millis))
            .poller()
            .on_call_started()
    };
    assert_eq!(every(0), Some(LEAST_EVERY), "no agent is hammered");
    assert_eq!(every(2000), Some(MOST_EVERY));
}

/// Guards against time limits and pauses that add up to more than the 6 s after which a change counts as told, and
/// the 250 ms in which the last send may follow: a change that comes right after a watch fell silent, where a fleet
/// shares its discovery, with a second to wait for a turn there.
#[test]
fn a_silent_watch_is_made_up_for_before_a_change_counts_as_told() {
    let told = Duration::from_millis(6250);
    for seed in 1..1000u64 {
        let one = PollSchedule::new(
            1024,
            seed.wrapping_mul(0x9E37_79B9_7F4A_7C15),
            SourceKind::SharedServer,
            GRACE,
        );
        let mut poller = one.poller();
        let pause = poller.on_call_ended(CallEnd::Stalled).expect("a pause");
        assert!(poller.timeouts().silence + pause + Duration::from_secs(1) <= told, "{seed}");
    }
}

/// Guards against a fleet that comes back to discovery all at once, or so often that it never catches up.
#[test]
fn the_pauses_of_a_fleet_differ_and_grow_until_its_calls_are_few() {
    let pauses = |schedule: &PollSchedule| {
        let mut backoff = schedule.backoff();
        (0..8).map(|_| backoff.next_delay().as_secs_f64()).collect::<Vec<_>>()
    };
    let heads: Vec<_> = heads(48, 0).iter().map(pauses).collect();
    assert!(heads.iter().all(|p| p[0] >= 0.4 && p[0] <= 4.0 && p.iter().all(|pause| *pause <= 12.0)));
    let calls = 48.0 / (heads.iter().map(|p| p[7]).sum::<f64>() / 48.0);
    assert!((4.0..10.0).contains(&calls), "{calls} a second");
    let early = heads.iter().filter(|p| p[0] < 2.2).count();
    assert!((10..38).contains(&early), "{early} of 48 in the first half");
    let few = pauses(&PollSchedule::new(8, 5, SourceKind::SharedServer, GRACE));
    assert!(few.iter().all(|pause| (0.02..1.5).contains(pause)), "a few heads need not wait");
    assert_eq!(PollSchedule::new(8, 5, SourceKind::SharedServer, GRACE).initial_delay(), Duration::ZERO);
}

/// Guards against failed calls to a shared server that push the next one past the 6 s after which a change counts as
/// told: however calls end, and at whatever stage, the next one begins within the longest interval of the last.
#[tokio::test(start_paused = true)]
async fn calls_to_a_shared_server_begin_at_most_one_interval_apart_however_they_end() {
    for hosts in [9, 20, 300, 1024, 4200] {
        let schedule = PollSchedule::new(hosts, u64::from(hosts), SourceKind::SharedServer, GRACE);
        let mut poller = schedule.poller();
        for round in 0..400u64 {
            let began = Instant::now();
            let due = began + poller.on_call_started().expect("an interval");
            assert!(
                due - began <= MAX_INTERVAL && due - began > schedule.call_timeout(),
                "{hosts} heads: {:?}",
                due - began
            );
            let end = [CallEnd::NeverOpened, CallEnd::Stalled, CallEnd::Broken][(round % 3) as usize];
            tokio::time::advance((due - began).mul_f64(schedule.draw())).await;
            let next = Instant::now() + poller.on_call_ended(end).expect("a delay");
            assert!(next <= due, "{hosts} heads, {end:?}: {:?} after its beginning", next - began);
            tokio::time::sleep_until(next).await;
        }
    }
}
