//! The interface of the scheduler: the events it receives, the actions it asks for, and the types of both.
//!
//! Times are seconds on a clock of the caller's choosing that never runs backwards. A field with the suffix `_s` is a
//! duration; one with the suffix `_at` is a moment.

pub use flaxgap_attempts::AttemptOutcome;
pub use flaxgap_shard_table::{Endpoint, NodeId, NodeState, ShardId, UpdateKind, ZoneId};

/// A request as the caller knows it; never used twice in one life of a scheduler.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u32);

/// A volume: reserve, limit and quota are counted for each.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct VolumeId(pub u64);

/// The piece of data that a request reads or writes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ExtentId(pub u64);

/// A request class: an index into [`SchedulerSettings::classes`](super::SchedulerSettings::classes).
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClassId(pub usize);

/// A plan: an index into [`SchedulerSettings::plans`](super::SchedulerSettings::plans).
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PlanId(pub usize);

/// A node's report on its own load; a figure that it does not report is `None`.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Requests in its queue.
    pub queue_length: Option<f64>,
    /// Fraction of its processors in use.
    pub utilization: Option<f64>,
    /// Recent service time, in seconds.
    pub latency_s: Option<f64>,
}

/// How much of a class's work on a plan is admitted while load is shed; each admits less than the one before.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Admission {
    /// Everything.
    #[default]
    All,
    /// What is inside the volume's reserve, and inside its quota of what is left.
    WithinQuota,
    /// What is inside the volume's reserve.
    WithinReserve,
    /// One request at a time, as a trial of whether the nodes answer again.
    TrialOnly,
}

/// What is admitted of the work that only one zone can serve.
#[derive(Clone, Debug, PartialEq)]
pub struct ZoneAdmission {
    /// The zone.
    pub zone: ZoneId,
    /// What is admitted, by class and plan.
    pub admission: Vec<Vec<Admission>>,
}

/// A load-shedding level as it is in force. Classes and plans that its tables do not list are admitted.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct SheddingLevel {
    /// What is admitted, by class and plan.
    pub admission: Vec<Vec<Admission>>,
    /// What is admitted of the work that only one zone can serve, where that is less.
    pub zone_admission: Vec<ZoneAdmission>,
    /// When the level could end at the earliest.
    pub ends_at: f64,
}

impl SheddingLevel {
    /// What is admitted of a class on a plan at a node of a zone: the strictest that applies.
    pub fn admission(&self, class: ClassId, plan: PlanId, zone: Option<ZoneId>) -> Admission {
        let mut strictest = table_entry(&self.admission, class, plan);
        for of_zone in &self.zone_admission {
            if Some(of_zone.zone) == zone {
                strictest = strictest.max(table_entry(&of_zone.admission, class, plan));
            }
        }
        strictest
    }

    /// Whether a zone's nodes get trial requests only.
    pub fn excludes_zone(&self, zone: Option<ZoneId>) -> bool {
        let trials_only = |table: &[Vec<Admission>]| all_entries(table, Admission::TrialOnly);
        let mut zones = self.zone_admission.iter();
        zones.any(|of_zone| Some(of_zone.zone) == zone && trials_only(&of_zone.admission))
    }

    /// Whether it sheds anything.
    pub fn is_shedding(&self) -> bool {
        let admits_all = |table: &[Vec<Admission>]| all_entries(table, Admission::All);
        let mut zones = self.zone_admission.iter();
        !admits_all(&self.admission) || !zones.all(|of_zone| admits_all(&of_zone.admission))
    }
}

fn table_entry(table: &[Vec<Admission>], class: ClassId, plan: PlanId) -> Admission {
    table.get(class.0).and_then(|plans| plans.get(plan.0)).copied().unwrap_or_default()
}

fn all_entries(table: &[Vec<Admission>], admission: Admission) -> bool {
    table.iter().flatten().all(|entry| *entry == admission)
}

/// How requests that were inside their volume's reserve at arrival have ended, since the scheduler's start.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ReservedWorkStats {
    /// Served within the latency objective of their class.
    pub met_objective: u64,
    /// Ended in any way.
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

/// A request at its arrival.
#[derive(Clone, Debug)]
pub struct IoRequest {
    /// Its id.
    pub id: RequestId,
    /// Its class.
    pub class: ClassId,
    /// Its volume's plan.
    pub plan: PlanId,
    /// Its volume.
    pub volume: VolumeId,
    /// The data it is about, if it names any.
    pub extent: Option<ExtentId>,
    /// The shard with the data; `None` for a new object, which may be placed on any node.
    pub shard: Option<ShardId>,
    /// Seconds until the client gives up.
    pub remaining_s: f64,
    /// Its size, in units.
    pub units: f64,
    /// Number of heads that the volume's requests come through.
    pub heads: u32,
    /// Whether the client marked it as a retry of its own.
    pub client_retry: bool,
}

/// What a scheduler is notified of.
#[derive(Clone, Debug)]
pub enum Event {
    /// The endpoint list changed, or a poll for it failed.
    EndpointUpdate {
        /// What the entries are.
        kind: UpdateKind,
        /// The entries.
        endpoints: Vec<Endpoint>,
    },
    /// A client's request arrived.
    RequestArrived(IoRequest),
    /// An attempt ended.
    AttemptEnded {
        /// The request.
        request: RequestId,
        /// Which of its attempts, counted from 0.
        attempt: usize,
        /// How it ended.
        outcome: AttemptOutcome,
        /// Seconds since it was sent.
        elapsed_s: f64,
        /// Whether the request is complete; if not, an answer is still owed.
        request_done: bool,
        /// Whether the request can't be sent again, since its data are no longer in memory.
        not_resendable: bool,
        /// What the volume was served over all heads in a finished period, in multiples of its base rate.
        usage: Option<f64>,
        /// Units that this shard served the volume through other heads since it last reported to this one.
        usage_elsewhere: f64,
        /// The node's load report, if one came.
        load_report: LoadReport,
    },
    /// A streamed body began to pass through, in either direction: no deadline runs from here on.
    StreamingStarted {
        /// The request.
        request: RequestId,
    },
    /// The client disconnected; no answer is owed any more.
    ClientDisconnected {
        /// The request.
        request: RequestId,
    },
    /// A health check ended.
    HealthChecked {
        /// The node.
        node: NodeId,
        /// Whether it answered.
        healthy: bool,
        /// Its load report, if one came.
        load_report: LoadReport,
    },
    /// A wake-up that was asked for is due.
    WakeUp,
    /// Another process of this head has started or ended: this one spends only a fraction of the head's capacity.
    ProcessShareChanged {
        /// The fraction, up to 1.
        fraction: f64,
    },
    /// A load-shedding level is in force from now on, in place of the one before.
    SheddingLevelChanged(SheddingLevel),
}

/// What a scheduler asks its caller to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send the next attempt of a request.
    Send {
        /// The request.
        request: RequestId,
        /// The node to send it to.
        node: NodeId,
        /// When to abandon the attempt.
        expires_at: f64,
    },
    /// Cancel an attempt.
    Cancel {
        /// The request.
        request: RequestId,
        /// Which of its attempts, counted from 0.
        attempt: usize,
    },
    /// Final answer: rejected without effect; the client may safely send it again.
    Reject {
        /// The request.
        request: RequestId,
        /// Seconds that the client should wait before it does; 0 for no advice.
        retry_after_s: f64,
    },
    /// Final answer: failed, with no promise about its effect.
    Fail {
        /// The request.
        request: RequestId,
    },
    /// Check a node's health.
    CheckHealth {
        /// The node.
        node: NodeId,
    },
    /// Poll the endpoint list for changes.
    PollEndpoints,
    /// Send [`Event::WakeUp`].
    WakeUp {
        /// Seconds from now.
        delay_s: f64,
    },
    /// Write a log line for the operators.
    Log(String),
}
