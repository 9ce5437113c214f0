//! The decisions of a storage gateway that keeps volumes to their reservations, shares and limits.
//!
//! A [`Scheduler`] is one host's I/O scheduler. It is told what happens ([`api::Event`]) and says what
//! to do ([`api::Action`]); it reads no clock, opens no connection and shares nothing with other hosts.
//! The same events give the same actions.
//!
//! ```
//! use flaxgap::{Scheduler, api::*};
//!
//! let settings = Settings {
//!     classes: vec![Class {
//!         aim: 0.2,
//!         deadline: 1.0,
//!         worth: 1.0,
//!         late_worth: 0.1,
//!         repeat: Repeat::Safe,
//!         in_order: false,
//!     }],
//!     plans: vec![],
//!     mean_units: 2.0,
//!     most_units: 8.0,
//!     share_worth: 0.3,
//!     spare_worth: 0.1,
//!     hosts: 3,
//!     tick: 0.002,
//!     most_held: 1000,
//!     max_attempts: 3,
//!     second_copies: false,
//!     cancel: true,
//!     probes: false,
//!     reports_in_answers: false,
//!     use_period: 0.0,
//!     tells_elsewhere: false,
//!     ask_every: None,
//!     cold: Cold { units: 10.0, span: 2.0, from: 0.2, warm_within: 15.0, multiple: 2.5 },
//!     budget: None,
//!     order_pause: 0.0,
//!     max_wait: 0.0,
//! };
//! let mut scheduler = Scheduler::new(settings, 42, 0.0)?;
//! let node = NodeInfo {
//!     node: NodeId(1),
//!     shard: ShardId(0),
//!     since: 0.0,
//!     zone: ZoneId(0),
//!     state: NodeState::Ready,
//! };
//! let request = Request {
//!     id: RequestId(1),
//!     class: ClassId(0),
//!     plan: PlanId(0),
//!     volume: VolumeId(5),
//!     extent: None,
//!     shard: Some(ShardId(0)),
//!     remaining: 1.0,
//!     units: 2.0,
//!     hosts: 1,
//!     repeat: false,
//! };
//! let events = [Event::Nodes { kind: ListKind::Whole, nodes: vec![node] }, Event::Request(request)];
//! let mut actions = Vec::new();
//! scheduler.handle(0.0, &events, &mut actions);
//! assert!(matches!(actions[0], Action::Send { request: RequestId(1), node: NodeId(1), .. }));
//! # Ok::<(), SettingsError>(())
//! ```

#[cfg(test)]
extern crate self as flaxgap;

pub mod api;
pub mod bans;
pub mod config;
pub mod content;
pub mod core;
pub mod counters;
pub mod daemon;
pub mod descriptors;
pub mod discovery;
pub mod export;
pub mod front;
pub mod handover;
pub mod levels;
mod logic;
pub mod memory;
pub mod monitor;
pub mod node;
pub mod ops;
pub mod phases;
pub mod plugin;

pub use logic::Scheduler;
