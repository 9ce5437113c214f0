//! Detects nodes that have stopped answering, and counts them by zone.

use std::collections::BTreeMap;

/// How an attempt ended, as evidence of whether the node is alive.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// The node answered, even if it rejected the request.
    Answered,
    /// The connection failed or broke, or the node did not answer before the deadline.
    Unanswered,
    /// This head cancelled the attempt.
    Cancelled,
}

/// The attempts to one node and the node's answers.
#[derive(Clone, Copy, Debug, Default)]
struct NodeAnswers {
    zone: u16,
    in_flight: u32,
    /// Start of the current wait for an answer: the time at which the first unanswered attempt was sent, or the last
    /// answer if other attempts were in flight then. Attempts that were cancelled early do not count.
    waiting_since: Option<f64>,
    /// End of the last attempt, except one that was cancelled early.
    last_end_at: f64,
    last_answer_at: Option<f64>,
}

/// The number of nodes of one zone, by state.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ZoneNodes {
    /// Nodes on the endpoint list that take requests.
    pub listed: u32,
    /// Nodes that have not answered any attempt for the configured time.
    pub lost: u32,
    /// Nodes that have answered recently and are not lost.
    pub answering: u32,
}

impl ZoneNodes {
    /// The lost nodes as a fraction of the nodes whose state is known. `None` if the state is known of less than half
    /// of the listed nodes.
    pub fn lost_fraction(self) -> Option<f64> {
        let known = self.lost + self.answering;
        let is_enough = known > 0 && 2 * known >= self.listed;
        is_enough.then(|| f64::from(self.lost) / f64::from(known))
    }
}

/// Tracks the attempts to each node and detects the nodes that do not answer.
#[derive(Clone, Debug)]
pub struct NodeSilence {
    silent_after_s: f64,
    known_for_s: f64,
    nodes: BTreeMap<u64, NodeAnswers>,
}

impl NodeSilence {
    /// Creates a tracker without nodes. A node is lost once it has not answered an attempt for `silent_after_s`
    /// seconds. Its state is known for `known_for_s` seconds after its last answer or the end of its last attempt.
    pub fn new(silent_after_s: f64, known_for_s: f64) -> NodeSilence {
        NodeSilence { silent_after_s, known_for_s, nodes: BTreeMap::new() }
    }

    /// Adds a node that is on the endpoint list and takes requests. A node that is already known moves to this zone.
    pub fn add_node(&mut self, node: u64, zone: u16) {
        self.nodes.entry(node).or_default().zone = zone;
    }

    /// Removes a node that is no longer on the endpoint list or takes no more requests.
    pub fn remove_node(&mut self, node: u64) {
        self.nodes.remove(&node);
    }

    /// Removes all nodes for which `is_listed` returns false. Used with a complete list.
    pub fn retain_nodes(&mut self, is_listed: impl Fn(u64) -> bool) {
        self.nodes.retain(|node, _| is_listed(*node));
    }

    /// Records that an attempt was sent to the node at `now`.
    pub fn record_sent(&mut self, now: f64, node: u64) {
        if let Some(answers) = self.nodes.get_mut(&node) {
            answers.in_flight += 1;
            answers.waiting_since.get_or_insert(now);
        }
    }

    /// Records that an attempt to the node, sent at `sent_at`, ended at `now`.
    pub fn record_end(&mut self, now: f64, node: u64, sent_at: f64, end: AttemptEnd) {
        let Some(answers) = self.nodes.get_mut(&node) else { return };
        answers.in_flight = answers.in_flight.saturating_sub(1);
        match end {
            AttemptEnd::Answered => {
                answers.last_answer_at = Some(now);
                answers.last_end_at = now;
                // The wait of the attempts still in flight starts anew, since a node serves its requests in turn.
                answers.waiting_since = (answers.in_flight > 0).then_some(now);
            }
            AttemptEnd::Unanswered => answers.last_end_at = now,
            // An attempt that was cancelled early is no evidence of the node's state.
            AttemptEnd::Cancelled if now - sent_at < self.silent_after_s => {
                let is_first_waiting = answers.waiting_since.is_some_and(|since| since >= sent_at);
                if answers.in_flight == 0 && is_first_waiting {
                    answers.waiting_since = None;
                }
            }
            AttemptEnd::Cancelled => answers.last_end_at = now,
        }
    }

    /// Counts the nodes of each zone by their state at `now`.
    pub fn zones(&self, now: f64) -> BTreeMap<u16, ZoneNodes> {
        let mut zones: BTreeMap<u16, ZoneNodes> = BTreeMap::new();
        for answers in self.nodes.values() {
            let zone = zones.entry(answers.zone).or_default();
            zone.listed += 1;
            if self.is_lost(answers, now) {
                zone.lost += 1;
            } else if answers.last_answer_at.is_some_and(|at| now - at <= self.known_for_s) {
                zone.answering += 1;
            }
        }
        zones
    }

    fn is_lost(&self, answers: &NodeAnswers, now: f64) -> bool {
        let is_silent = answers.waiting_since.is_some_and(|since| now - since > self.silent_after_s);
        let is_known = answers.in_flight > 0 || now - answers.last_end_at <= self.known_for_s;
        is_silent && is_known
    }
}

#[cfg(test)]
mod tests;
