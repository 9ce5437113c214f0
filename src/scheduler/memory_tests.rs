//! Tests that unused state is removed from memory.

use super::{AttemptOutcome, IoRequest, Scheduler, VolumeId, common};

/// Returns the number of volumes with a finish tag, summed over all node queues.
fn tagged_volumes(scheduler: &Scheduler) -> usize {
    scheduler.node_queues.iter().map(|queue| queue.fair_queue.tagged_volumes()).sum()
}

/// Guards against memory that grows with the number of volumes and extents ever used.
#[test]
fn unused_state_is_removed() {
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

/// Guards against volume tags that accumulate in a node's fair queue. Tags below the virtual time are removed.
#[test]
fn volume_tags_below_the_virtual_time_are_removed() {
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
    // Requests of two of the volumes advance the virtual time.
    for id in 50..80 {
        let request =
            IoRequest { volume: VolumeId(u64::from(id % 2)), ..common::request(id, common::IDEMPOTENT) };
        harness.submit(request);
        harness.advance(0.02);
        harness.end_attempt(id, 0, AttemptOutcome::Ok, 0.02);
    }
    assert!(tagged_volumes(&harness.scheduler) >= 1);
    harness.advance(0.6);
    assert!(
        tagged_volumes(&harness.scheduler) <= 2,
        "{} of 50 volumes have a tag",
        tagged_volumes(&harness.scheduler)
    );
}
