//! Admission of complete lists: the limits on concurrent sends, bytes per second and queued requests, and the order.

use flaxgap_distribution::snapshot_admission::{
    SnapshotAdmission, SnapshotDecision, SnapshotLimits, SnapshotRequestId,
};

const NOW: f64 = 1000.0;
/// Size of a complete list at the planned fleet size, in bytes.
const LIST_BYTES: usize = 900_000;

fn limits() -> SnapshotLimits {
    SnapshotLimits {
        max_sending: 4,
        max_queued: 100,
        bytes_per_s: 9e6,
        send_timeout_s: 20.0,
        retry_delay_s: 4.0,
    }
}

/// Makes requests, none of which may be rejected.
fn request_many(admission: &mut SnapshotAdmission, count: usize) -> Vec<SnapshotRequestId> {
    let request_id = |decision| match decision {
        SnapshotDecision::Admitted(request_id) | SnapshotDecision::Queued(request_id) => request_id,
        SnapshotDecision::Rejected { .. } => panic!("request rejected"),
    };
    (0..count).map(|_| request_id(admission.request(LIST_BYTES, NOW))).collect()
}

/// Given many requests at once, when each send finishes immediately, then the bytes sent in any second exceed the rate
/// by one list at most, and requests are admitted in the order in which they were made.
#[test]
fn bytes_per_second_are_bounded_and_the_order_is_kept() {
    let mut admission = SnapshotAdmission::new(limits(), 1);
    let requests = request_many(&mut admission, 60);
    admission.finish(requests[0]);
    let mut admitted = vec![(NOW, requests[0])];
    while admitted.len() < 60 {
        let now = admission.next_poll().expect("queued requests");
        for request_id in admission.poll(now) {
            admitted.push((now, request_id));
            admission.finish(request_id);
        }
    }
    assert!(admitted.iter().map(|(_, request_id)| *request_id).eq(requests));
    for (start, _) in &admitted {
        let within = admitted.iter().filter(|(at, _)| (*start..start + 1.0).contains(at)).count();
        assert!(within * LIST_BYTES <= 9_000_000 + LIST_BYTES, "{within} lists from {start}");
    }
    let (last, _) = admitted[59];
    assert!((last - NOW - 59.0 * 0.1).abs() < 1e-6, "{last}");
}

/// Given slow readers, when the limit on concurrent sends is reached, then no further list is admitted. The next queued
/// request is admitted once a send has finished, also after its time limit.
#[test]
fn concurrent_sends_are_bounded() {
    let mut admission = SnapshotAdmission::new(limits(), 1);
    let requests = request_many(&mut admission, 10);
    for seconds in 0..20 {
        admission.poll(NOW + f64::from(seconds));
        assert!(admission.sending() <= 4);
    }
    assert_eq!((admission.sending(), admission.queued(), admission.next_poll()), (4, 6, None));
    assert_eq!(admission.timed_out(NOW + 20.5), requests[..1]);
    admission.finish(requests[0]);
    assert_eq!(admission.poll(NOW + 21.0), [requests[4]]);
    // A queued request whose client disconnects is skipped.
    admission.finish(requests[5]);
    admission.finish(requests[1]);
    assert_eq!(admission.poll(NOW + 22.0), [requests[6]]);
}

/// Given more requests than the queue may hold, when they are made, then each is rejected with its own random retry
/// delay.
#[test]
fn requests_beyond_the_queue_are_rejected_with_a_random_retry_delay() {
    let mut admission = SnapshotAdmission::new(limits(), 7);
    request_many(&mut admission, 101);
    let mut delays: Vec<f64> = (0..200)
        .map(|_| match admission.request(LIST_BYTES, NOW) {
            SnapshotDecision::Rejected { retry_after_s } => retry_after_s,
            other => panic!("{other:?}"),
        })
        .collect();
    delays.sort_by(f64::total_cmp);
    assert!(delays[0] >= 4.0 && delays[199] <= 8.0);
    assert!(delays[0] < 4.3 && delays[199] > 7.7, "spread from {} to {}", delays[0], delays[199]);
    assert_eq!(admission.queued(), 100);
}
