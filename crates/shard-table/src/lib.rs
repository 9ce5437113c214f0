//! The shards of an endpoint list and the node that serves each.
//!
//! A head knows thousands of shards but sends requests to few of them. A shard is therefore a small record, and the
//! head's state of a shard is created at its first use. The cost of an update depends on the number of its entries;
//! only a complete list touches every shard.
//!
//! The caller selects which of a shard's nodes serves the shard. Times are passed in as arguments, in seconds.

mod endpoint;
mod shard;
mod sorted_keys;
mod table;
mod work_index;

pub use endpoint::{Endpoint, NodeId, NodeState, ShardId, UpdateKind, ZoneId};
pub use shard::{ServingNode, Shard};
pub use table::ShardTable;
pub use work_index::WorkIndex;
