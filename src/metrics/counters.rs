//! Counters of the requests, attempts, answers and connections of one head.
//!
//! They are the one source for the admin server, the exporters, the log and the exit. The fields of [`Counters`] have
//! the names under which operators see the counters, which stay the same for as long as there are dashboards of them.

use crate::metrics::event_loop::LongestTurn;
use crate::scheduler::{AttemptOutcome, ClassId};
use std::cell::Cell;
use std::fmt;
use std::rc::Rc;

/// Exported names of the gauges; all others are counters.
const GAUGES: [&str; 5] = ["in_flight", "level", "halls_reduced", "levels_pinned", "longest_turn_us"];
/// Counters that the exposition shows by class, and not in all.
const OUTCOME_COUNTERS: [&str; 3] = ["served", "refused", "failed"];

/// A counter.
#[derive(Debug, Default)]
pub struct Counter(Cell<u64>);

impl Counter {
    /// Adds one.
    pub fn add(&self) {
        self.0.set(self.0.get() + 1);
    }

    /// Adds a number.
    pub fn add_many(&self, count: u64) {
        self.0.set(self.0.get() + count);
    }

    /// Raises the counter to one that is counted elsewhere; it never falls.
    pub fn raise_to(&self, count: u64) {
        self.0.set(self.0.get().max(count));
    }

    /// The present count.
    pub fn get(&self) -> u64 {
        self.0.get()
    }
}

/// The outcome of a request, as its client sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FinalOutcome {
    /// Answered with a node's body, to its end.
    Served,
    /// Rejected without effect; the client may safely send it again.
    Rejected,
    /// Answered in any other way.
    Failed,
}

/// The outcomes of the requests of one class.
#[derive(Debug, Default)]
struct ClassCounters {
    name: String,
    served: Counter,
    refused: Counter,
    failed: Counter,
}

impl ClassCounters {
    fn new(name: &str) -> ClassCounters {
        ClassCounters { name: name.to_owned(), ..ClassCounters::default() }
    }

    fn counter(&self, outcome: FinalOutcome) -> &Counter {
        match outcome {
            FinalOutcome::Served => &self.served,
            FinalOutcome::Rejected => &self.refused,
            FinalOutcome::Failed => &self.failed,
        }
    }

    /// The outcomes' exported names and counts.
    fn figures(&self) -> [(&'static str, u64); 3] {
        [("served", self.served.get()), ("refused", self.refused.get()), ("failed", self.failed.get())]
    }
}

macro_rules! counters {
    ($($(#[$doc:meta])* $name:ident,)*) => {
        /// All counters and gauges of one head.
        #[derive(Debug, Default)]
        pub struct Counters {
            $($(#[$doc])* pub $name: Counter,)*
            in_flight: Cell<u64>,
            shedding: Cell<SheddingGauges>,
            /// The longest turn of the event loop of late.
            pub longest_turn: LongestTurn,
            classes: Vec<ClassCounters>,
        }

        impl Counters {
            /// The exported names and values, in a fixed order.
            pub fn figures(&self) -> Vec<(&'static str, u64)> {
                let shedding = self.shedding.get();
                vec![
                    $((stringify!($name), self.$name.get()),)*
                    ("in_flight", self.in_flight.get()),
                    ("level", shedding.head_level),
                    ("halls_reduced", shedding.reduced_zones),
                    ("levels_pinned", shedding.overrides),
                    ("longest_turn_us", self.longest_turn.get().as_micros() as u64),
                ]
            }
        }
    };
}

/// The load-shedding levels in force.
#[derive(Clone, Copy, Debug, Default)]
pub struct SheddingGauges {
    /// The head's level in its escalation policy, 0 for `normal`.
    pub head_level: u64,
    /// Zones at a level of their own.
    pub reduced_zones: u64,
    /// Levels that operators override.
    pub overrides: u64,
}

counters! {
    /// Requests accepted.
    taken,
    /// Requests answered with a node's body.
    served,
    /// Requests rejected without effect.
    refused,
    /// Requests answered as failed.
    failed,
    /// Requests whose client disconnected before the answer.
    gone,
    /// Requests that the scheduler owed a decision past their deadline.
    overdue,
    /// Requests that could not be parsed.
    bad_input,
    /// Attempts whose last byte was written.
    attempts,
    /// Attempts served.
    ok,
    /// Attempts that a node answered with an error.
    error,
    /// Responses of nodes that could not be used; also counted in `error`.
    spoilt,
    /// Attempts that a node rejected before it processed them.
    full,
    /// Attempts without a response in time.
    timeout,
    /// Attempts whose last byte never reached a node.
    connect_failed,
    /// Attempts whose connection broke after the last byte.
    reset,
    /// Attempts cancelled after their last byte was written.
    cancelled,
    /// Attempts not sent, or cancelled before their last byte was written.
    moot,
    /// Attempts not begun because their node was draining or had a new address.
    held_back,
    /// Attempts not begun because their deadline had passed.
    held_back_deadline,
    /// Attempts not begun because the retry window of their class had ended.
    held_back_window,
    /// Attempts not begun because the shutdown deadline had passed.
    held_back_end,
    /// Attempts not begun because their client had disconnected.
    held_back_client,
    /// Attempts not begun because unread bytes of the upload may have hidden that its client had disconnected.
    held_back_unconfirmed,
    /// Connections not used because unexpected data had arrived on them; the attempt took another one.
    held_back_connection,
    /// Connections opened to nodes.
    node_connections,
    /// Connections accepted from clients.
    client_connections,
    /// Client connections on which more data came after their end than was read; the rest was dropped.
    lingered,
    /// Client connections closed because more was pipelined than is buffered.
    floods,
    /// Client connections reset because a response ended before its body was complete.
    broken_off,
    /// Connections of the HTTP/2 frontend.
    http2_connections,
    /// HTTP/2 streams accepted.
    http2_streams,
    /// HTTP/2 streams refused before anything of them was processed.
    http2_refused,
    /// HTTP/2 streams that clients reset before their response was complete.
    http2_resets,
    /// HTTP/2 streams whose client read nothing of the response.
    http2_stalled,
    /// HTTP/2 connections closed because of flooding.
    http2_turned_out,
    /// iSCSI sessions that logged in.
    block_sessions,
    /// SCSI commands.
    block_commands,
    /// SCSI commands ended with BUSY.
    block_busy,
    /// SCSI commands ended with TASK SET FULL.
    block_task_set_full,
    /// iSCSI PDUs rejected.
    block_rejects,
    /// Requests shed because of a load-shedding level.
    withheld,
    /// Changes of a load-shedding level, overrides included.
    level_changes,
    /// Calls of the plug-in that failed.
    plugin_failures,
    /// Idle connections closed to free descriptors.
    reclaimed,
    /// Lists that changed the endpoints.
    list_changes,
    /// Watches on the endpoint list that ended.
    watches_lost,
    /// Polls of the endpoint list and watches on it that were begun, connected or not.
    discovery_calls,
    /// Lists and heartbeats received from discovery.
    discovery_messages,
    /// Bytes read from discovery connections, response headers included.
    discovery_bytes_received,
    /// Bytes written to discovery connections.
    discovery_bytes_sent,
    /// Turns of the event loop that took 50 ms or more.
    long_turns,
    /// Reloads of the configuration that were applied.
    reloads_ok,
    /// Reloads of the configuration that failed.
    reloads_failed,
}

/// The accounting of one request, from the head that named its class to its one final answer. Dropped without an
/// outcome, it counts as gone; the gauge of requests in flight falls in any case.
#[derive(Debug)]
pub struct InFlightRequest {
    counters: Rc<Counters>,
    class: ClassId,
    is_accepted: Cell<bool>,
    is_finished: Cell<bool>,
}

impl InFlightRequest {
    /// Counts the request as accepted: its last byte has come.
    pub fn accept(&self) {
        if self.is_accepted.replace(true) {
            return;
        }
        self.counters.taken.add();
        self.counters.in_flight.set(self.counters.in_flight.get() + 1);
    }

    /// Counts its outcome; only the first one counts.
    pub fn finish(&self, outcome: FinalOutcome) {
        if self.is_finished.replace(true) {
            return;
        }
        self.counters.outcome_counter(outcome).add();
        if let Some(class) = self.counters.classes.get(self.class.0) {
            class.counter(outcome).add();
        }
    }
}

impl Drop for InFlightRequest {
    fn drop(&mut self) {
        if !self.is_accepted.get() {
            return;
        }
        self.counters.in_flight.set(self.counters.in_flight.get() - 1);
        if !self.is_finished.get() {
            self.counters.gone.add();
        }
    }
}

impl Counters {
    /// Counters of a head with classes of these names.
    pub fn new(class_names: &[String]) -> Rc<Counters> {
        let classes = class_names.iter().map(|name| ClassCounters::new(name)).collect();
        Rc::new(Counters { classes, ..Counters::default() })
    }

    /// Sets the gauges of load shedding.
    pub fn set_shedding(&self, shedding: SheddingGauges) {
        self.shedding.set(shedding);
    }

    /// The accounting of a request that begins.
    pub fn track_request(self: &Rc<Self>, class: ClassId) -> InFlightRequest {
        InFlightRequest {
            counters: self.clone(),
            class,
            is_accepted: Cell::new(false),
            is_finished: Cell::new(false),
        }
    }

    fn outcome_counter(&self, outcome: FinalOutcome) -> &Counter {
        match outcome {
            FinalOutcome::Served => &self.served,
            FinalOutcome::Rejected => &self.refused,
            FinalOutcome::Failed => &self.failed,
        }
    }

    /// The counters in the Prometheus exposition format, as the admin server answers it. `gauges` are measured
    /// elsewhere.
    pub fn exposition(&self, gauges: &[(&str, usize)]) -> String {
        let mut text = String::from("# TYPE app_requests counter\n");
        for class in &self.classes {
            for (outcome, count) in class.figures() {
                text += &format!("app_requests{{class=\"{}\",outcome=\"{outcome}\"}} {count}\n", class.name);
            }
        }
        for (name, value) in self.figures() {
            if OUTCOME_COUNTERS.contains(&name) {
                continue;
            }
            let kind = if is_gauge(name) { "gauge" } else { "counter" };
            text += &format!("# TYPE app_{name} {kind}\napp_{name} {value}\n");
        }
        for (name, value) in gauges {
            text += &format!("# TYPE app_{name} gauge\napp_{name} {value}\n");
        }
        text
    }

    /// Counts the outcome of an attempt.
    pub fn count_attempt(&self, outcome: AttemptOutcome) {
        match outcome {
            AttemptOutcome::Ok => self.ok.add(),
            AttemptOutcome::Error => self.error.add(),
            AttemptOutcome::Rejected => self.full.add(),
            AttemptOutcome::Timeout => self.timeout.add(),
            AttemptOutcome::ConnectFailed => self.connect_failed.add(),
            AttemptOutcome::Reset => self.reset.add(),
            AttemptOutcome::Cancelled => self.cancelled.add(),
            AttemptOutcome::NotSent => self.moot.add(),
        }
    }
}

/// Whether a figure is a gauge, which may fall.
pub fn is_gauge(name: &str) -> bool {
    GAUGES.contains(&name)
}

impl fmt::Display for Counters {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, (name, value)) in self.figures().into_iter().enumerate() {
            let separator = if index == 0 { "" } else { " " };
            write!(f, "{separator}{name}={value}")?;
        }
        Ok(())
    }
}
