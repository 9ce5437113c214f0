//! Whole lists: how many are sent at a time, how many bytes in a second, and in which order.

use flaxgap_distribution::snapshot_admission::{
    SnapshotAdmission, SnapshotDecision, SnapshotLimits, SnapshotRequestId,
};

const NOW: f64 = 1000.0;
/// A list of the coming size, in bytes.
const LIST: usize = 900_000;

fn limits() -> SnapshotLimits {
    SnapshotLimits {
        max_sending: 4,
        max_queued: 100,
        bytes_per_s: 9e6,
        send_timeout_s: 20.0,
        retry_delay_s: 4.0,
    }
}

fn waiting(admission: &mut SnapshotAdmission, count: usize) -> Vec<SnapshotRequestId> {
    let request_id = |admit| match admit {
        SnapshotDecision::Admitted(request_id) | SnapshotDecision::Queued(request_id) => request_id,
        SnapshotDecision::Rejected { .. } => panic!("turned away"),
    };
    (0..count).map(|_| request_id(admission.request(LIST, NOW))).collect()
}

/// Given many requests at once, when lists end as fast as can be, then the bytes of each second stay within the rate and
/// one list, and all are session in the order in which they came.
#[test]
fn bytes_per_second_are_bounded_and_the_order_is_kept() {
    let mut admission = SnapshotAdmission::new(limits(), 1);
    let requests = waiting(&mut admission, 60);
    admission.finish(requests[0]);
    let mut session = vec![(NOW, requests[0])];
    while session.len() < 60 {
        let now = admission.next_poll().expect("some wait");
        for request_id in admission.poll(now) {
            session.push((now, request_id));
            admission.finish(request_id);
        }
    }
    assert!(session.iter().map(|(_, request_id)| *request_id).eq(requests));
    for (start, _) in &session {
        let within = session.iter().filter(|(at, _)| (*start..start + 1.0).contains(at)).count();
        assert!(within * LIST <= 9_000_000 + LIST, "{within} lists from {start}");
    }
    let (last, _) = session[59];
    assert!((last - NOW - 59.0 * 0.1).abs() < 1e-6, "{last}");
}

/// Given readers that are slow, when they hold all places, then nobody else is sent a list, and the next in order is once
/// one has ended or was overdue.
#[test]
fn concurrent_sends_are_bounded() {
    let mut admission = SnapshotAdmission::new(limits(), 1);
    let requests = waiting(&mut admission, 10);
    for seconds in 0..20 {
        admission.poll(NOW + f64::from(seconds));
        assert!(admission.sending() <= 4);
    }
    assert_eq!((admission.sending(), admission.queued(), admission.next_poll()), (4, 6, None));
    assert_eq!(admission.timed_out(NOW + 20.5), requests[..1]);
    admission.finish(requests[0]);
    assert_eq!(admission.poll(NOW + 21.0), [requests[4]]);
    // One that waits and goes takes no place.
    admission.finish(requests[5]);
    admission.finish(requests[1]);
    assert_eq!(admission.poll(NOW + 22.0), [requests[6]]);
}

/// Given more requests than may wait, when they come, then they are told to come again, each after a time of its own.
#[test]
fn requests_beyond_the_queue_are_rejected_with_a_random_retry_delay() {
    let mut admission = SnapshotAdmission::new(limits(), 7);
    waiting(&mut admission, 101);
    let mut delays: Vec<f64> = (0..200)
        .map(|_| match admission.request(LIST, NOW) {
            SnapshotDecision::Rejected { retry_after_s } => retry_after_s,
            other => panic!("{other:?}"),
        })
        .collect();
    delays.sort_by(f64::total_cmp);
    assert!(delays[0] >= 4.0 && delays[199] <= 8.0);
    assert!(delays[0] < 4.3 && delays[199] > 7.7, "spread from {} to {}", delays[0], delays[199]);
    assert_eq!(admission.queued(), 100);
}
