//! Counters and gauges of one head: requests, attempts, responses and connections.
//!
//! The admin server, the exporters and the log all read the same [`Counters`]. Its fields are named like the exported
//! metrics, and must not be renamed, because dashboards refer to them.

use crate::action_rules::Violation;
use crate::logging::LogInterval;
use crate::metrics::event_loop::LongestTurn;
use crate::resources::descriptors::{ConnectionKind, SlotState, SlotUsage};
use crate::resources::memory::MemoryBudget;
use crate::scheduler::{AttemptOutcome, ClassId};
use std::cell::{Cell, OnceCell};
use std::fmt;
use std::rc::Rc;
use std::time::Duration;

/// Exported names of the gauges; all others are counters.
const GAUGES: [&str; 20] = [
    "in_flight",
    "accept_queue",
    "accept_queue_wait_us",
    "level",
    "halls_reduced",
    "levels_pinned",
    "longest_turn_us",
    "slots_http",
    "slots_http2",
    "slots_block",
    "slots_node",
    "slots_unused",
    "slots_incomplete",
    "slots_idle",
    "slots_closing",
    "memory_bodies",
    "memory_exchanges",
    "memory_plugin",
    "memory_limit",
    "memory_resident",
];
/// Counters that the Prometheus exposition reports for each class instead of in total.
const OUTCOME_COUNTERS: [&str; 3] = ["served", "refused", "failed"];

/// A monotonically increasing count.
#[derive(Debug, Default)]
pub struct Counter(Cell<u64>);

impl Counter {
    /// Increments the counter by one.
    pub fn add(&self) {
        self.0.set(self.0.get() + 1);
    }

    /// Increments the counter by `count`.
    pub fn add_many(&self, count: u64) {
        self.0.set(self.0.get() + count);
    }

    /// Raises the counter to a total that is counted elsewhere. A lower total has no effect.
    pub fn raise_to(&self, count: u64) {
        self.0.set(self.0.get().max(count));
    }

    /// Returns the current count.
    pub fn get(&self) -> u64 {
        self.0.get()
    }
}

/// Outcome of a request as its client sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FinalOutcome {
    /// Answered with the complete response of a node.
    Served,
    /// Rejected before it had any effect; the client can safely retry it.
    Rejected,
    /// Answered in any other way, such as with an error.
    Failed,
}

/// Numbers of requests of one class by outcome.
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

    /// Exported name and count of each outcome.
    fn values(&self) -> [(&'static str, u64); 3] {
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
            accept_queue: Cell<AcceptQueueGauges>,
            shedding: Cell<SheddingGauges>,
            slots: Cell<SlotUsage>,
            memory: OnceCell<Rc<MemoryBudget>>,
            /// The longest recent turn of the event loop.
            pub longest_turn: LongestTurn,
            /// Limits the log lines on clients that pipeline too many bytes.
            pub flood_log: LogInterval,
            /// Limits the log lines on clients that have stopped reading.
            pub stall_log: LogInterval,
            classes: Vec<ClassCounters>,
        }

        impl Counters {
            /// Exported name and value of each counter and gauge, in a fixed order.
            pub fn figures(&self) -> Vec<(&'static str, u64)> {
                let shedding = self.shedding.get();
                let slots = self.slots.get();
                let memory = self.memory.get().map(|memory| memory.usage()).unwrap_or_default();
                let slots_of = |kind| slots.open(kind) as u64;
                let slots_in = |state| slots.in_state(state) as u64;
                vec![
                    $((stringify!($name), self.$name.get()),)*
                    ("in_flight", self.in_flight.get()),
                    ("accept_queue", self.accept_queue.get().length as u64),
                    ("accept_queue_wait_us", self.accept_queue.get().wait.as_micros() as u64),
                    ("level", shedding.head_level),
                    ("halls_reduced", shedding.reduced_zones),
                    ("levels_pinned", shedding.overrides),
                    ("longest_turn_us", self.longest_turn.get().as_micros() as u64),
                    ("slots_http", slots_of(ConnectionKind::Http)),
                    ("slots_http2", slots_of(ConnectionKind::Http2)),
                    ("slots_block", slots_of(ConnectionKind::Block)),
                    ("slots_node", slots_of(ConnectionKind::Node)),
                    ("slots_unused", slots_in(SlotState::Unused)),
                    ("slots_incomplete", slots_in(SlotState::Incomplete)),
                    ("slots_idle", slots_in(SlotState::Idle)),
                    ("slots_closing", slots_in(SlotState::Closing)),
                    ("memory_bodies", memory.body_bytes as u64),
                    ("memory_exchanges", memory.exchange_bytes as u64),
                    ("memory_plugin", memory.plugin_bytes as u64),
                    ("memory_limit", memory.limit_bytes as u64),
                    ("memory_resident", self.memory.get().map_or(0, |_| resident_bytes())),
                ]
            }
        }
    };
}

/// Gauges of the load-shedding levels in effect.
#[derive(Clone, Copy, Debug, Default)]
pub struct SheddingGauges {
    /// Position of the head's level in its escalation policy; 0 is `normal`.
    pub head_level: u64,
    /// Number of zones whose level is not `normal`.
    pub reduced_zones: u64,
    /// Number of levels that operators override.
    pub overrides: u64,
}

/// Gauges of the accept queue of the frontend that accepted a connection last.
#[derive(Clone, Copy, Debug, Default)]
struct AcceptQueueGauges {
    /// Number of connections, the accepted one included.
    length: usize,
    /// For how long the queue may not have been empty.
    wait: Duration,
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
    /// Requests that the scheduler had not decided on by their deadline.
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
    /// Attempts that timed out.
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
    /// Connections to nodes that were closed because bytes had arrived on them that belonged to no request.
    surplus_responses,
    /// Connections opened to nodes.
    node_connections,
    /// Connections accepted from clients.
    client_connections,
    /// Client connections whose client still sent bytes after the last response; the bytes were discarded.
    lingered,
    /// Client connections closed because they pipelined more bytes than are buffered.
    floods,
    /// Client connections reset because a response ended before its body was complete.
    broken_off,
    /// Client connections of HTTP/1.1 and of the block frontend closed because the client stopped reading.
    stalled_readers,
    /// Connections of the HTTP/2 frontend.
    http2_connections,
    /// HTTP/2 streams accepted.
    http2_streams,
    /// HTTP/2 streams refused before any processing.
    http2_refused,
    /// HTTP/2 streams that clients reset before their response was complete.
    http2_resets,
    /// HTTP/2 streams whose client stopped reading the response.
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
    /// Waits of a frontend for a descriptor slot, one for each connection that could not be accepted at once.
    slot_waits,
    /// Failed calls of `accept`.
    accept_failures,
    /// Accepted connections that the runtime could not watch at once.
    accept_retries,
    /// Connections closed without a byte read, on which nothing had arrived while descriptors ran short.
    shut_unread,
    /// Requests rejected because their client's time was over when they were read.
    expired_unread,
    /// Requests rejected because the memory for requests was in use.
    rejected_memory,
    /// Requests rejected because nearly all descriptors carried requests.
    rejected_descriptors,
    /// Requests rejected because slow transfers held all that they may hold together.
    rejected_slow,
    /// Endpoint lists and updates that changed the endpoints.
    list_changes,
    /// Watches on the endpoint list that ended.
    watches_lost,
    /// Polls and watches of the endpoint list that were started, including those that failed to connect.
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
    /// Rule violations: requests sent to a node after their time.
    violations_sent_late,
    /// Rule violations: requests whose node was told more time than was left.
    violations_told_too_much,
    /// Rule violations: requests answered later than their time and the platform's slack.
    violations_answered_late,
    /// Rule violations: connections with a request closed without an answer.
    violations_closed_unanswered,
    /// Rule violations: requests decided to be sent again that must not run twice.
    violations_repeated,
}

/// Counts one request, from its parsed header to its final response. A request that was accepted and is dropped without
/// an outcome counts as gone. The drop also decrements the gauge of requests in flight.
#[derive(Debug)]
pub struct InFlightRequest {
    counters: Rc<Counters>,
    class: ClassId,
    is_accepted: Cell<bool>,
    is_finished: Cell<bool>,
}

impl InFlightRequest {
    /// Counts the request as accepted. Only the first call has an effect.
    pub fn accept(&self) {
        if self.is_accepted.replace(true) {
            return;
        }
        self.counters.taken.add();
        self.counters.in_flight.set(self.counters.in_flight.get() + 1);
    }

    /// Counts the outcome of the request. Only the first call has an effect.
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
    /// Number of requests that are accepted and not answered.
    pub fn in_flight(&self) -> u64 {
        self.in_flight.get()
    }

    /// Creates counters that are all zero, for classes with these names.
    pub fn new(class_names: &[String]) -> Rc<Counters> {
        let classes = class_names.iter().map(|name| ClassCounters::new(name)).collect();
        Rc::new(Counters { classes, ..Counters::default() })
    }

    /// Sets the gauges of the load-shedding levels.
    pub fn set_shedding(&self, shedding: SheddingGauges) {
        self.shedding.set(shedding);
    }

    /// Sets the gauges of the accept queue, whose connections may have waited for so long.
    pub fn set_accept_queue(&self, length: usize, wait: Duration) {
        self.accept_queue.set(AcceptQueueGauges { length, wait });
    }

    /// Sets the gauges of the descriptor slots in use.
    pub fn set_slots(&self, slots: SlotUsage) {
        self.slots.set(slots);
    }

    /// Sets the memory budget whose use the gauges report. Only the first call has an effect.
    pub fn set_memory(&self, memory: Rc<MemoryBudget>) {
        self.memory.get_or_init(|| memory);
    }

    /// Starts to count a request of a class; it is not counted as accepted yet.
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

    /// Formats the counters in the Prometheus exposition format. `gauges` are names and values of additional gauges that
    /// the caller measured.
    pub fn exposition(&self, gauges: &[(&str, usize)]) -> String {
        let mut text = String::from("# TYPE app_requests counter\n");
        for class in &self.classes {
            for (outcome, count) in class.values() {
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

    /// Counts and logs a violation of a rule, if there is one. `subject` names the request or connection.
    pub fn record_violation(&self, violation: Option<Violation>, subject: impl FnOnce() -> String) {
        let Some(violation) = violation else { return };
        let counter = match violation {
            Violation::SentLate => &self.violations_sent_late,
            Violation::ToldTooMuch => &self.violations_told_too_much,
            Violation::AnsweredLate => &self.violations_answered_late,
            Violation::ClosedUnanswered => &self.violations_closed_unanswered,
            Violation::Repeated => &self.violations_repeated,
        };
        counter.add();
        log::error!("rules: broken, rule={violation:?} {}", subject());
    }

    /// Counts an attempt by its outcome.
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

/// Resident memory of this process, in bytes; 0 if the operating system does not tell.
fn resident_bytes() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kib = line.and_then(|line| line.split_whitespace().next()?.parse::<u64>().ok());
    kib.unwrap_or(0) * 1024
}

/// Whether the exported metric `name` is a gauge, whose value can decrease.
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
