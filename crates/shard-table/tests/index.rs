//! The index of what needs a look.

use flaxgap_shard_table::{ShardId, WorkIndex};

#[test]
fn a_lane_is_busy_until_its_last_request_leaves_the_queue() {
    let mut index = WorkIndex::default();
    for request in [3, 1] {
        index.enqueued(request, ShardId(4));
    }
    assert_eq!(index.queued.iter().copied().collect::<Vec<_>>(), [1, 3]);
    index.dequeued(&3, ShardId(4), false);
    assert_eq!(index.busy, [ShardId(4)].into());
    index.dequeued(&1, ShardId(4), true);
    assert!(index.busy.is_empty() && index.queued.is_empty());
}
