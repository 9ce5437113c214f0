//! A storage gateway ("head") that enforces the reservations, shares and limits of volumes.
//!
//! The [`Scheduler`] is the I/O scheduler of one head. It receives events ([`scheduler::Event`]) and returns actions
//! ([`scheduler::Action`]). It reads no clock, does no I/O and shares no state with other heads, so the same seed and the
//! same events always produce the same actions. The other modules are the daemon around it: frontends, the transport of
//! requests to nodes, discovery, configuration, metrics and handover.
//!
//! ```
//! use flaxgap::scheduler::{
//!     Action, Class, ClassId, Endpoint, Event, Idempotency, IoRequest, NodeId, NodeState, OptionalMechanisms, PlanId,
//!     RequestId, Scheduler, SchedulerSettings, SchedulerSettingsError, ShardId, SlowStartSettings, UpdateKind, VolumeId,
//!     ZoneId,
//! };
//!
//! let settings = SchedulerSettings {
//!     classes: vec![Class {
//!         latency_objective_s: 0.2,
//!         deadline_s: 1.0,
//!         priority_weight: 1.0,
//!         late_fraction: 0.1,
//!         idempotency: Idempotency::Idempotent,
//!         ordered: false,
//!     }],
//!     plans: vec![],
//!     mean_request_units: 2.0,
//!     max_request_units: 8.0,
//!     within_quota_fraction: 0.3,
//!     beyond_quota_fraction: 0.1,
//!     heads: 3,
//!     tick_s: 0.002,
//!     max_pending: 1000,
//!     max_attempts: 3,
//!     mechanisms: OptionalMechanisms { hedging: false, cancellation: true, health_checks: false },
//!     load_reports_in_answers: false,
//!     usage_period_s: 0.0,
//!     reports_usage_elsewhere: false,
//!     poll_interval_s: None,
//!     slow_start: SlowStartSettings {
//!         units: 10.0,
//!         window_s: 2.0,
//!         initial_capacity: 0.2,
//!         warm_up_s: 15.0,
//!         overload_factor: 2.5,
//!     },
//!     retry_budget: None,
//!     ordering_pause_s: 0.0,
//!     max_retry_after_s: 0.0,
//! };
//! let mut scheduler = Scheduler::new(settings, 42, 0.0)?;
//! let endpoint = Endpoint {
//!     node: NodeId(1),
//!     shard: ShardId(0),
//!     started_at: 0.0,
//!     zone: ZoneId(0),
//!     state: NodeState::Ready,
//! };
//! let request = IoRequest {
//!     id: RequestId(1),
//!     class: ClassId(0),
//!     plan: PlanId(0),
//!     volume: VolumeId(5),
//!     extent: None,
//!     shard: Some(ShardId(0)),
//!     remaining_s: 1.0,
//!     units: 2.0,
//!     heads: 1,
//!     client_retry: false,
//! };
//! let events = [
//!     Event::EndpointUpdate { kind: UpdateKind::Snapshot, endpoints: vec![endpoint] },
//!     Event::RequestArrived(request),
//! ];
//! let mut actions = Vec::new();
//! scheduler.handle(0.0, &events, &mut actions);
//! assert!(matches!(actions[0], Action::Send { request: RequestId(1), node: NodeId(1), .. }));
//! # Ok::<(), SchedulerSettingsError>(())
//! ```

#[cfg(test)]
extern crate self as flaxgap;

pub mod action_rules;
pub mod config;
pub mod core;
pub mod daemon;
pub mod discovery;
pub mod exclusions;
pub mod fleet;
pub mod frontend;
pub mod handover;
pub mod lifecycle;
pub mod logging;
pub mod metrics;
pub mod node;
pub mod plugin;
pub mod resources;
pub mod scheduler;
pub mod shedding;

pub use scheduler::Scheduler;
