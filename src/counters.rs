//! Counts of what the head takes in, sends and answers.

use crate::api::Outcome;
use std::cell::Cell;
use std::fmt;

/// One count.
#[derive(Debug, Default)]
pub struct Counter(Cell<u64>);

impl Counter {
    /// One more.
    pub fn add(&self) {
        self.0.set(self.0.get() + 1);
    }

    /// The count.
    pub fn get(&self) -> u64 {
        self.0.get()
    }
}

macro_rules! counters {
    ($($(#[$doc:meta])* $name:ident,)*) => {
        /// All counts of one head.
        #[derive(Debug, Default)]
        pub struct Counters { $($(#[$doc])* pub $name: Counter,)* }

        impl Counters {
            /// Names and figures, in a fixed order.
            pub fn pairs(&self) -> Vec<(&'static str, u64)> {
                vec![$((stringify!($name), self.$name.get()),)*]
            }
        }
    };
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
    /// Attempts begun.
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
    /// Connections opened to nodes.
    node_connections,
    /// Connections accepted from clients.
    client_connections,
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
    /// Calls of the plug-in that went wrong.
    plugin_failures,
    /// Idle connections closed because descriptors ran short.
    reclaimed,
    /// Changes of the node list that were taken in.
    list_changes,
    /// Watches on the node list that ended.
    watches_lost,
    /// Configurations that were read again and applied.
    reloads,
    /// Configurations that could not be read again.
    reloads_failed,
}

impl Counters {
    /// Counts an attempt's end.
    pub fn outcome(&self, outcome: Outcome) {
        match outcome {
            Outcome::Ok => self.ok.add(),
            Outcome::Error => self.error.add(),
            Outcome::Full => self.full.add(),
            Outcome::Timeout => self.timeout.add(),
            Outcome::ConnectFailed => self.connect_failed.add(),
            Outcome::Reset => self.reset.add(),
            Outcome::Cancelled => self.cancelled.add(),
            Outcome::Moot => self.moot.add(),
        }
    }
}

impl fmt::Display for Counters {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (place, (name, count)) in self.pairs().into_iter().enumerate() {
            write!(f, "{}{name}={count}", if place == 0 { "" } else { " " })?;
        }
        Ok(())
    }
}
