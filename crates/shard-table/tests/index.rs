//! Tests of the index of requests and shards with work.

use flaxgap_shard_table::{ShardId, WorkIndex};

#[test]
fn a_shard_has_queued_requests_until_the_last_leaves_its_queue() {
    let mut index = WorkIndex::default();
    for request in [3, 1] {
        index.record_enqueued(request, ShardId(4));
    }
    assert_eq!(index.queued_requests.iter().copied().collect::<Vec<_>>(), [1, 3]);
    index.record_dequeued(&3, ShardId(4), false);
    assert_eq!(index.shards_with_queued, [ShardId(4)].into());
    index.record_dequeued(&1, ShardId(4), true);
    assert!(index.shards_with_queued.is_empty() && index.queued_requests.is_empty());
}
