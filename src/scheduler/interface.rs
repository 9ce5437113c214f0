//! The interface of the scheduler: the events that the scheduler receives, the actions that it requests, and their
//! types.
//!
//! Times are seconds on a monotonic clock chosen by the caller. A field with the suffix `_s` is a duration; a field
//! with the suffix `_at` is a point in time.

pub use flaxgap_attempts::AttemptOutcome;
pub use flaxgap_shard_table::{Endpoint, NodeId, NodeState, ShardId, UpdateKind, ZoneId};

/// Identifies a request. The caller assigns it and must not reuse it during the lifetime of a scheduler.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u32);

/// Identifies a volume, the unit to which reserve, limit and quota apply.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct VolumeId(pub u64);

/// Identifies an extent, the piece of data that a request reads or writes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ExtentId(pub u64);

/// Identifies a request class: an index into [`SchedulerSettings::classes`](super::SchedulerSettings::classes).
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClassId(pub usize);

/// Identifies a plan: an index into [`SchedulerSettings::plans`](super::SchedulerSettings::plans).
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PlanId(pub usize);

/// A node's report on its own load. Values that the node does not report are `None`.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Number of requests in the node's queue.
    pub queue_length: Option<f64>,
    /// Fraction of the node's processor capacity in use.
    pub utilization: Option<f64>,
    /// Recent service time, in seconds.
    pub latency_s: Option<f64>,
}

/// Which requests of a class and plan are admitted while load is shed. Each variant admits less than the one before.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Admission {
    /// Admits every request.
    #[default]
    All,
    /// Admits requests within the volume's reserve or within its quota of the remaining capacity.
    WithinQuota,
    /// Admits requests within the volume's reserve only.
    WithinReserve,
    /// Admits one request at a time, as a trial of whether the nodes answer again.
    TrialOnly,
}

/// Admission of requests that can be served in one zone only.
#[derive(Clone, Debug, PartialEq)]
pub struct ZoneAdmission {
    /// The zone to which the table applies.
    pub zone: ZoneId,
    /// Admission by class and plan.
    pub admission: Vec<Vec<Admission>>,
}

/// A load-shedding level in force. Classes and plans missing from its tables are admitted without restriction.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct SheddingLevel {
    /// Admission by class and plan.
    pub admission: Vec<Vec<Admission>>,
    /// Additional restrictions on requests that can be served in one zone only.
    pub zone_admission: Vec<ZoneAdmission>,
    /// The earliest time at which the level may end.
    pub ends_at: f64,
}

impl SheddingLevel {
    /// Returns the admission of a class and plan at a node in `zone`: the strictest of the tables that apply.
    pub fn admission(&self, class: ClassId, plan: PlanId, zone: Option<ZoneId>) -> Admission {
        let mut strictest = table_entry(&self.admission, class, plan);
        for zone_table in &self.zone_admission {
            if Some(zone_table.zone) == zone {
                strictest = strictest.max(table_entry(&zone_table.admission, class, plan));
            }
        }
        strictest
    }

    /// Returns whether the level admits only trial requests to nodes in `zone`.
    pub fn excludes_zone(&self, zone: Option<ZoneId>) -> bool {
        let trials_only = |table: &[Vec<Admission>]| all_entries(table, Admission::TrialOnly);
        let mut zones = self.zone_admission.iter();
        zones.any(|zone_table| Some(zone_table.zone) == zone && trials_only(&zone_table.admission))
    }

    /// Returns whether the level restricts any class or plan.
    pub fn is_shedding(&self) -> bool {
        let admits_all = |table: &[Vec<Admission>]| all_entries(table, Admission::All);
        let mut zones = self.zone_admission.iter();
        !admits_all(&self.admission) || !zones.all(|zone_table| admits_all(&zone_table.admission))
    }
}

fn table_entry(table: &[Vec<Admission>], class: ClassId, plan: PlanId) -> Admission {
    table.get(class.0).and_then(|plans| plans.get(plan.0)).copied().unwrap_or_default()
}

fn all_entries(table: &[Vec<Admission>], admission: Admission) -> bool {
    table.iter().flatten().all(|entry| *entry == admission)
}

/// Statistics, since the start of the scheduler, on requests that were inside their volume's reserve at arrival.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ReservedWorkStats {
    /// Number of requests served within the latency objective of their class.
    pub met_objective: u64,
    /// Number of requests that have ended, whether served or not.
    pub completed: u64,
    /// Sum of the seconds from arrival to end.
    pub total_delay_s: f64,
}

impl ReservedWorkStats {
    /// Counts a request that ended `delay_s` seconds after its arrival.
    pub fn record(&mut self, met_objective: bool, delay_s: f64) {
        self.met_objective += u64::from(met_objective);
        self.completed += 1;
        self.total_delay_s += delay_s;
    }
}

/// A request on its arrival at the head.
#[derive(Clone, Debug)]
pub struct IoRequest {
    /// Identifies the request in events and actions.
    pub id: RequestId,
    /// The class of the request.
    pub class: ClassId,
    /// The plan of the request's volume.
    pub plan: PlanId,
    /// The volume that the request belongs to.
    pub volume: VolumeId,
    /// The extent that the request reads or writes, if it names one.
    pub extent: Option<ExtentId>,
    /// The shard that holds the data; `None` for a new object, which may be placed on any node.
    pub shard: Option<ShardId>,
    /// Seconds until the client stops waiting.
    pub remaining_s: f64,
    /// Size of the request, in units.
    pub units: f64,
    /// Number of heads that receive requests of the volume.
    pub heads: u32,
    /// Whether the client marked the request as a retry.
    pub client_retry: bool,
}

/// An event that the scheduler is notified of.
#[derive(Clone, Debug)]
pub enum Event {
    /// The endpoint list changed, or a poll for it failed.
    EndpointUpdate {
        /// How `endpoints` relate to the list.
        kind: UpdateKind,
        /// Entries of the update.
        endpoints: Vec<Endpoint>,
    },
    /// A client's request arrived.
    RequestArrived(IoRequest),
    /// An attempt ended.
    AttemptEnded {
        /// The request that the attempt belongs to.
        request: RequestId,
        /// Index of the attempt among the request's attempts, from 0.
        attempt: usize,
        /// How the attempt ended.
        outcome: AttemptOutcome,
        /// Seconds since the attempt was sent.
        elapsed_s: f64,
        /// Whether the request is complete. If not, the scheduler must still answer the client.
        request_done: bool,
        /// Whether the request can't be sent again because its body is no longer in memory.
        not_resendable: bool,
        /// The volume's usage over all heads in a completed period, in multiples of its base rate.
        usage: Option<f64>,
        /// Units that the shard served the volume through other heads since its previous report to this head.
        usage_elsewhere: f64,
        /// The node's load report; empty if the answer carried none.
        load_report: LoadReport,
    },
    /// Streaming of a request or response body began. The request has no deadline from here on.
    StreamingStarted {
        /// The request whose body is streamed.
        request: RequestId,
    },
    /// The client disconnected and no longer needs an answer.
    ClientDisconnected {
        /// The request of that client.
        request: RequestId,
    },
    /// A health check ended.
    HealthChecked {
        /// The node that was checked.
        node: NodeId,
        /// Whether the node answered.
        healthy: bool,
        /// The node's load report; empty if the answer carried none.
        load_report: LoadReport,
    },
    /// The time of a requested wake-up has come.
    WakeUp,
    /// Another process of this head started or ended, which changes the fraction of the head's capacity that this
    /// process may use.
    ProcessShareChanged {
        /// The new fraction, at most 1.
        fraction: f64,
    },
    /// A load-shedding level came into force and replaces the previous one.
    SheddingLevelChanged(SheddingLevel),
}

/// An action that the scheduler requests from its caller.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send the next attempt of a request.
    Send {
        /// The request to send.
        request: RequestId,
        /// The node to send the request to.
        node: NodeId,
        /// The time at which the attempt times out.
        expires_at: f64,
    },
    /// Cancel an attempt.
    Cancel {
        /// The request that the attempt belongs to.
        request: RequestId,
        /// Index of the attempt among the request's attempts, from 0.
        attempt: usize,
    },
    /// Answer the client that the request was rejected. The request had no effect, or repeating it is harmless.
    Reject {
        /// The request to reject.
        request: RequestId,
        /// Seconds that the client should wait before a retry; 0 to omit this advice.
        retry_after_s: f64,
    },
    /// Answer the client that the request failed. The request may have taken effect.
    Fail {
        /// The request that failed.
        request: RequestId,
    },
    /// Check a node's health.
    CheckHealth {
        /// The node to check.
        node: NodeId,
    },
    /// Poll the endpoint list for changes.
    PollEndpoints,
    /// Deliver [`Event::WakeUp`] after a delay.
    WakeUp {
        /// The delay, in seconds.
        delay_s: f64,
    },
    /// Write a line to the log.
    Log(String),
}
