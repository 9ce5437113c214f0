//! The shards of an endpoint list and the node that serves each.
//!
//! A head knows thousands of shards and has work for few of them, so a shard is a small record, and the state that the
//! head keeps of a shard is made at its first use. An update's cost follows the entries it brings; only a complete list
//! touches every shard.
//!
//! Which of a shard's nodes serves it is the caller's choice, and time is an argument, in seconds.

mod endpoint;
mod shard;
mod sorted_keys;
mod table;
mod work_index;

pub use endpoint::{Endpoint, NodeId, NodeState, ShardId, UpdateKind, ZoneId};
pub use shard::{ServingNode, Shard};
pub use table::ShardTable;
pub use work_index::WorkIndex;
