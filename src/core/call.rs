//! A request as a frontend passes it to the dispatcher, and the client that waits for its answer.

use crate::core::{IdClaim, NodeRequest};
use crate::scheduler::{ClassId, ExtentId, PlanId, ShardId, VolumeId};
use std::fmt;
use std::rc::Rc;
use tokio::time::Instant;

/// Connection state of a client that waits for an answer, provided by its frontend.
pub trait Client: fmt::Debug {
    /// Whether the client is connected at this moment.
    fn is_connected(&self) -> bool;

    /// Whether the client is connected at this moment and nothing that it sent is unread, so that no unread bytes can
    /// hide that it has disconnected.
    fn has_nothing_unread(&self) -> bool;
}

/// A request as a frontend passes it to the dispatcher.
#[derive(Clone, Debug)]
pub struct Call {
    /// Class of the request.
    pub class: ClassId,
    /// Plan of the volume.
    pub plan: PlanId,
    /// Volume that the request accesses.
    pub volume: VolumeId,
    /// Extent that the request reads or writes, if it names one.
    pub extent: Option<ExtentId>,
    /// Shard that holds the data; `None` for a new object, which may be placed on any shard.
    pub shard: Option<ShardId>,
    /// Size of the request, in units.
    pub units: f64,
    /// Number of heads that receive requests for the volume.
    pub heads: u32,
    /// Whether the client marked the request as its own retry.
    pub client_retry: bool,
    /// When the client stops waiting for the answer.
    pub deadline: Instant,
    /// The client, if the frontend can check at any moment whether it is connected. Otherwise the frontend drops the
    /// future of [`Dispatcher::serve`](crate::core::Dispatcher::serve) when the client disconnects.
    pub client: Option<Rc<dyn Client>>,
    /// Request that each attempt sends to its node.
    pub node_request: Rc<NodeRequest>,
    /// The claim of the request's id; `None` if the frontend has made up an id that no other request can have.
    pub id_claim: Option<Rc<IdClaim>>,
}
