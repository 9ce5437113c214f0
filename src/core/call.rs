//! A request as a frontend hands it to the core, and the client that waits for its answer.

use crate::core::NodeRequest;
use crate::scheduler::{ClassId, ExtentId, PlanId, ShardId, VolumeId};
use std::fmt;
use std::rc::Rc;
use tokio::time::Instant;

/// The client that waits for an answer, as its frontend knows it.
pub trait Client: fmt::Debug {
    /// Whether it is still connected, at this moment.
    fn is_connected(&self) -> bool;

    /// Whether it is connected, and nothing that it sent waits unread for its end to stand behind, at this moment.
    fn has_nothing_unread(&self) -> bool;
}

/// A request as a frontend hands it over.
#[derive(Clone, Debug)]
pub struct Call {
    /// Its class.
    pub class: ClassId,
    /// The plan of its volume.
    pub plan: PlanId,
    /// Its volume.
    pub volume: VolumeId,
    /// The extent that it reads or writes, if it names one.
    pub extent: Option<ExtentId>,
    /// The shard with the data; `None` for a new object, which may be placed on any shard.
    pub shard: Option<ShardId>,
    /// Its size, in units.
    pub units: f64,
    /// Number of heads that the volume's requests come through.
    pub heads: u32,
    /// Whether the client marked it as a retry of its own.
    pub client_retry: bool,
    /// When the client stops waiting.
    pub deadline: Instant,
    /// The client, where the frontend can tell at any moment whether it is connected. Without one, a frontend drops
    /// the future of [`Dispatcher::serve`](crate::core::Dispatcher::serve) when the client disconnects.
    pub client: Option<Rc<dyn Client>>,
    /// What is sent to the node.
    pub node_request: Rc<NodeRequest>,
}
