//! Tests of what the attempts of a request imply together.

use flaxgap_attempts::{Attempt, AttemptOutcome, Attempts};
use flaxgap_shard_table::{ShardId, ZoneId};

fn sent(shard: u32) -> Attempt {
    Attempt { shard: ShardId(shard), zone: ZoneId(0), epoch: 1, sent_at: 2.0, outcome: None }
}

#[test]
fn an_attempt_is_in_flight_until_its_first_outcome() {
    let mut attempts = Attempts::default();
    assert!(attempts.is_empty() && !attempts.has_in_flight());
    attempts.push(sent(3));
    assert_eq!(attempts.in_flight_shard(), Some(ShardId(3)));
    assert_eq!(attempts.record_end(1, AttemptOutcome::Ok), None, "no second attempt was sent");
    assert_eq!(
        attempts.record_end(0, AttemptOutcome::Rejected).map(|attempt| attempt.shard),
        Some(ShardId(3))
    );
    assert_eq!(attempts.record_end(0, AttemptOutcome::Ok), None, "the attempt has already ended");
    attempts.push(sent(5));
    assert_eq!(attempts.in_flight().collect::<Vec<_>>(), [1]);
    assert_eq!(attempts.len(), 2);
}

#[test]
fn each_outcome_tells_whether_the_request_may_have_run_and_was_received() {
    let all = [
        (AttemptOutcome::Ok, true, false),
        (AttemptOutcome::Error, true, true),
        (AttemptOutcome::Rejected, false, true),
        (AttemptOutcome::Timeout, true, false),
        (AttemptOutcome::ConnectFailed, false, false),
        (AttemptOutcome::Reset, true, false),
        (AttemptOutcome::Cancelled, true, false),
        (AttemptOutcome::NotSent, false, false),
    ];
    for (outcome, may_have_run, was_received) in all {
        let mut attempts = Attempts::default();
        attempts.push(sent(0));
        assert!(
            attempts.may_have_run().next().is_some() && !attempts.was_received(),
            "the attempt is in flight"
        );
        attempts.record_end(0, outcome);
        assert_eq!(attempts.may_have_run().next().is_some(), may_have_run, "{outcome:?}");
        assert_eq!(attempts.was_received(), was_received, "{outcome:?}");
    }
}
