//! Protocol-independent request handling around the [`Scheduler`](crate::Scheduler).
//!
//! A frontend translates each request of its protocol into a [`Call`] and awaits [`Dispatcher::serve`], which returns
//! exactly one final [`Answer`]. The [`Dispatcher`] owns the scheduler, its clock, its timers and the queue of pending
//! decisions of each request in flight; a [`Transport`] sends attempts to storage nodes. Everything runs on one thread.

pub mod content;
pub mod upload;

mod answer;
mod attempt;
mod call;
mod clock;
mod decision;
mod dispatcher;
mod node_request;
mod observer;
mod request_guard;
mod request_ids;
mod request_table;
mod response_wait;
mod send_permit;
mod serve;
mod shedding;
mod shutdown_deadline;
mod timers;

pub use crate::action_rules::{MAX_HOLD_UP, SendDenial};
pub use answer::Answer;
pub use attempt::{AttemptResult, Transport, WriteProgress};
pub use call::{Call, Client};
pub use clock::{Clock, seconds};
pub use dispatcher::Dispatcher;
pub use node_request::{NodeRequest, Operation};
pub use observer::Observer;
pub use request_ids::{ClaimPeers, IdClaim, RequestIds, RequestKey};
pub use response_wait::ResponseWait;
pub use send_permit::SendPermit;
pub use shutdown_deadline::ShutdownDeadline;
