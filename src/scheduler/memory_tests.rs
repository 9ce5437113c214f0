//! Memory: what is out of use is forgotten.

use super::{AttemptOutcome, IoRequest, Scheduler, VolumeId, common};

/// Volumes with a tag in a node's fair queue, over all nodes.
fn tagged_volumes(scheduler: &Scheduler) -> usize {
    scheduler.node_queues.iter().map(|queue| queue.fair_queue.tagged_volumes()).sum()
}

/// Guards against memory that grows with all volumes and extents ever seen.
#[test]
fn what_is_out_of_use_is_forgotten() {
    let mut settings = common::settings();
    settings.classes[0].ordered = true;
    let mut harness = common::Harness::new(settings);
    for id in 0..50 {
        let mut request = common::request(id, common::IDEMPOTENT);
        request.volume = VolumeId(u64::from(id));
        harness.submit(request);
        harness.advance(0.01);
        harness.end_attempt(id, 0, AttemptOutcome::Ok, 0.01);
    }
    let other_entries = |scheduler: &Scheduler| {
        scheduler.extent_order.len() + tagged_volumes(scheduler) + scheduler.requests.len()
    };
    assert_eq!(harness.scheduler.volume_quotas.len(), 50);
    harness.advance(61.0);
    assert_eq!((harness.scheduler.volume_quotas.len(), other_entries(&harness.scheduler)), (0, 0));
}

/// Guards against tags of shared work that pile up in a node queue: those that virtual time has passed are forgotten.
#[test]
fn tags_that_virtual_time_has_passed_are_forgotten() {
    let mut settings = common::settings();
    settings.plans[0].reserve = 0.0;
    settings.max_request_units = 0.0;
    let mut harness = common::Harness::new(settings);
    for id in 0..50 {
        let request =
            IoRequest { volume: VolumeId(u64::from(id)), ..common::request(id, common::IDEMPOTENT) };
        assert_eq!(common::sent(&harness.submit(request)), [id]);
        harness.advance(0.02);
        harness.end_attempt(id, 0, AttemptOutcome::Ok, 0.02);
    }
    // A few volumes' retries requests move virtual time on.
    for id in 50..80 {
        let request =
            IoRequest { volume: VolumeId(u64::from(id % 2)), ..common::request(id, common::IDEMPOTENT) };
        harness.submit(request);
        harness.advance(0.02);
        harness.end_attempt(id, 0, AttemptOutcome::Ok, 0.02);
    }
    assert!(tagged_volumes(&harness.scheduler) >= 1);
    harness.advance(0.6);
    assert!(tagged_volumes(&harness.scheduler) <= 2, "{} of 50", tagged_volumes(&harness.scheduler));
}
