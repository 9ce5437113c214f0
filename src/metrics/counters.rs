//! Figures of what the head takes in, sends and answers: one source for the operators' door, the exporters,
//! the log and the exit.

use crate::scheduler::{AttemptOutcome, ClassId};
use std::cell::Cell;
use std::fmt;
use std::rc::Rc;

/// One count.
#[derive(Debug, Default)]
pub struct Counter(Cell<u64>);

impl Counter {
    /// One more.
    pub fn add(&self) {
        self.0.set(self.0.get() + 1);
    }

    /// So many more.
    pub fn add_many(&self, count: u64) {
        self.0.set(self.0.get() + count);
    }

    /// Follows a count that is kept elsewhere and never falls.
    pub fn follow(&self, count: u64) {
        self.0.set(self.0.get().max(count));
    }

    /// The count.
    pub fn get(&self) -> u64 {
        self.0.get()
    }
}

/// A request's one final answer, as its client sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FinalOutcome {
    /// With a node's body, to its end.
    Served,
    /// Rejected without effect; the client may safely send it again.
    Rejected,
    /// Anything else.
    Failed,
}

/// The final answers of one class.
#[derive(Debug)]
struct OfClass {
    name: String,
    served: Counter,
    refused: Counter,
    failed: Counter,
}

impl OfClass {
    fn pairs(&self) -> [(&'static str, &Counter); 3] {
        [("served", &self.served), ("refused", &self.refused), ("failed", &self.failed)]
    }
}

macro_rules! counters {
    ($($(#[$doc:meta])* $name:ident,)*) => {
        /// All counts of one head.
        #[derive(Debug, Default)]
        pub struct Counters {
            $($(#[$doc])* pub $name: Counter,)*
            in_flight: Cell<u64>,
            levels: Cell<SheddingGauges>,
            classes: Vec<OfClass>,
        }

        impl Counters {
            /// Names and figures, in a fixed order.
            pub fn pairs(&self) -> Vec<(&'static str, u64)> {
                let levels = self.levels.get();
                vec![
                    $((stringify!($name), self.$name.get()),)*
                    ("in_flight", self.in_flight.get()),
                    ("level", levels.level),
                    ("halls_reduced", levels.halls),
                    ("levels_pinned", levels.pinned),
                ]
            }
        }
    };
}

/// Where the levels of reduced service stand.
#[derive(Clone, Copy, Debug, Default)]
pub struct SheddingGauges {
    /// The head's place on its ladder, 0 for `normal`.
    pub level: u64,
    /// Halls at a level of their own.
    pub halls: u64,
    /// Levels that operators hold.
    pub pinned: u64,
}

counters! {
    /// Requests taken.
    taken,
    /// Requests answered with a node's body.
    served,
    /// Requests turned away.
    refused,
    /// Requests answered as failed.
    failed,
    /// Requests whose client left before the answer.
    gone,
    /// Requests that the module let pass their deadline.
    overdue,
    /// Requests that could not be understood.
    bad_input,
    /// Attempts whose last byte was written.
    attempts,
    /// Attempts served.
    ok,
    /// Attempts that a node answered with an error.
    error,
    /// Answers of nodes that could not be used, among the errors.
    spoilt,
    /// Attempts that a node turned away unseen.
    full,
    /// Attempts without an answer in time.
    timeout,
    /// Attempts that never reached a node whole.
    connect_failed,
    /// Attempts whose connection broke after the last byte.
    reset,
    /// Attempts called off.
    cancelled,
    /// Attempts not sent because the node no longer takes work.
    moot,
    /// Attempts stopped before their first byte since the node had left by then, or had moved.
    held_back,
    /// Attempts stopped before their first byte since their time was over by then.
    held_back_deadline,
    /// The same since their class's retry window had closed.
    held_back_window,
    /// The same since the head was past its last moment.
    held_back_end,
    /// The same since their client had left.
    held_back_client,
    /// First bytes not written to a connection since something had come on it unasked; another was taken.
    held_back_connection,
    /// Connections opened to nodes.
    node_connections,
    /// Connections accepted from clients.
    client_connections,
    /// Connections of clients on which more came after their end than was read: it was dropped.
    lingered,
    /// Connections ended since their client sent more ahead of its answers than is held.
    floods,
    /// Connections of clients that were reset, since an answer broke off in the middle.
    broken_off,
    /// Connections of the HTTP/2 front.
    http2_connections,
    /// Streams that it took.
    http2_streams,
    /// Streams that it refused before anything of them was processed.
    http2_refused,
    /// Streams that clients reset before their answer was out.
    http2_resets,
    /// Streams whose client took nothing of the answer.
    http2_stalled,
    /// Connections that it ended since they flooded it.
    http2_turned_out,
    /// Sessions of the block front that passed their login.
    block_sessions,
    /// SCSI commands of the block front.
    block_commands,
    /// Commands ended with BUSY.
    block_busy,
    /// Commands ended with TASK SET FULL.
    block_task_set_full,
    /// PDUs of the block front that were rejected.
    block_rejects,
    /// Requests answered because of a level of reduced service.
    withheld,
    /// Changes of level, pins among them.
    level_changes,
    /// Calls of the plug-in that went wrong.
    plugin_failures,
    /// Idle connections closed because descriptors ran short.
    reclaimed,
    /// Changes of the node list that were taken in.
    list_changes,
    /// Watches on the node list that ended.
    watches_lost,
    /// Calls for the node list and watches on it that were begun, connected or not.
    discovery_calls,
    /// Lists and heartbeats that they brought.
    discovery_messages,
    /// Bytes read from their connections, heads of answers among them.
    discovery_bytes_received,
    /// Bytes written to their connections.
    discovery_bytes_sent,
    /// Configurations that were read again and applied.
    reloads_ok,
    /// Configurations that could not be read again.
    reloads_failed,
}

/// One request, from the head that named its class to its one final answer. Dropped without one, it is
/// counted as gone; the gauge falls on every path.
#[derive(Debug)]
pub struct InFlightRequest {
    counters: Rc<Counters>,
    class: ClassId,
    taken: Cell<bool>,
    settled: Cell<bool>,
}

impl InFlightRequest {
    /// Its last byte has come.
    pub fn take(&self) {
        if !self.taken.replace(true) {
            self.counters.taken.add();
            self.counters.in_flight.set(self.counters.in_flight.get() + 1);
        }
    }

    /// It has its final answer; only the first word counts.
    pub fn settle(&self, end: FinalOutcome) {
        if self.settled.replace(true) {
            return;
        }
        let (counters, class) = (&self.counters, self.counters.classes.get(self.class.0));
        let (all, one) = match end {
            FinalOutcome::Served => (&counters.served, class.map(|c| &c.served)),
            FinalOutcome::Rejected => (&counters.refused, class.map(|c| &c.refused)),
            FinalOutcome::Failed => (&counters.failed, class.map(|c| &c.failed)),
        };
        all.add();
        one.into_iter().for_each(Counter::add);
    }
}

impl Drop for InFlightRequest {
    fn drop(&mut self) {
        if self.taken.get() {
            self.counters.in_flight.set(self.counters.in_flight.get() - 1);
            if !self.settled.get() {
                self.counters.gone.add();
            }
        }
    }
}

impl Counters {
    /// Counts for classes of these names.
    pub fn new(classes: &[String]) -> Rc<Counters> {
        let class = |name: &String| OfClass {
            name: name.clone(),
            served: Counter::default(),
            refused: Counter::default(),
            failed: Counter::default(),
        };
        Rc::new(Counters { classes: classes.iter().map(class).collect(), ..Counters::default() })
    }

    /// Notes where the levels of reduced service stand.
    pub fn set_levels(&self, levels: SheddingGauges) {
        self.levels.set(levels);
    }

    /// A request of a class begins.
    pub fn flight(self: &Rc<Self>, class: ClassId) -> InFlightRequest {
        InFlightRequest { counters: self.clone(), class, taken: Cell::new(false), settled: Cell::new(false) }
    }

    /// The text that the operators' door shows: the Prometheus exposition format. `gauges` are figures of the
    /// moment that are kept elsewhere.
    pub fn exposition(&self, gauges: &[(&str, usize)]) -> String {
        let mut text = String::from("# TYPE app_requests counter\n");
        for class in &self.classes {
            for (outcome, count) in class.pairs() {
                let count = count.get();
                text += &format!("app_requests{{class=\"{}\",outcome=\"{outcome}\"}} {count}\n", class.name);
            }
        }
        for (name, value) in self.pairs().iter().filter(|(n, _)| !["served", "refused", "failed"].contains(n))
        {
            let kind = if is_gauge(name) { "gauge" } else { "counter" };
            text += &format!("# TYPE app_{name} {kind}\napp_{name} {value}\n");
        }
        for (name, value) in gauges {
            text += &format!("# TYPE app_{name} gauge\napp_{name} {value}\n");
        }
        text
    }

    /// Counts an attempt's end.
    pub fn outcome(&self, outcome: AttemptOutcome) {
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

/// Whether a figure tells the moment, and may fall.
pub fn is_gauge(name: &str) -> bool {
    ["in_flight", "level", "halls_reduced", "levels_pinned"].contains(&name)
}

impl fmt::Display for Counters {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (place, (name, count)) in self.pairs().into_iter().enumerate() {
            write!(f, "{}{name}={count}", if place == 0 { "" } else { " " })?;
        }
        Ok(())
    }
}
