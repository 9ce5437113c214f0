//! Which nodes are silent, by zone.

use std::collections::BTreeMap;

/// How an attempt ended, as far as it tells whether the node is alive.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// The node answered, even if it rejected the request.
    Answered,
    /// No connection, a broken connection, or silence up to the deadline.
    Unanswered,
    /// Cancelled by this head.
    Cancelled,
}

/// What is known of one node's answers.
#[derive(Clone, Copy, Debug, Default)]
struct NodeAnswers {
    zone: u16,
    in_flight: u32,
    /// When the first attempt since the last answer was sent that was not cancelled early.
    waiting_since: Option<f64>,
    /// When the last attempt ended.
    last_end_at: f64,
    last_answer_at: Option<f64>,
}

/// The nodes of one zone by what is known of them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ZoneNodes {
    /// Nodes on the endpoint list that take requests.
    pub listed: u32,
    /// Nodes that are silent or fail for long enough.
    pub lost: u32,
    /// Nodes that answered lately.
    pub answering: u32,
}

impl ZoneNodes {
    /// The lost fraction of the nodes whose state is known; none where that is less than half of the listed nodes.
    pub fn lost_fraction(self) -> Option<f64> {
        let known = self.lost + self.answering;
        let is_enough = known > 0 && 2 * known >= self.listed;
        is_enough.then(|| f64::from(self.lost) / f64::from(known))
    }
}

/// Follows the attempts to each node and tells which nodes are silent.
#[derive(Clone, Debug)]
pub struct NodeSilence {
    silent_after_s: f64,
    known_for_s: f64,
    nodes: BTreeMap<u64, NodeAnswers>,
}

impl NodeSilence {
    /// Creates an empty set of nodes. A node is lost once it has not answered an attempt for `silent_after_s` seconds;
    /// its state is known for `known_for_s` seconds after its last answer or the last attempt's end.
    pub fn new(silent_after_s: f64, known_for_s: f64) -> NodeSilence {
        NodeSilence { silent_after_s, known_for_s, nodes: BTreeMap::new() }
    }

    /// Adds a node that is on the endpoint list and takes requests, or moves it to another zone.
    pub fn add_node(&mut self, node: u64, zone: u16) {
        self.nodes.entry(node).or_default().zone = zone;
    }

    /// Removes a node that left the list or takes no more requests.
    pub fn remove_node(&mut self, node: u64) {
        self.nodes.remove(&node);
    }

    /// Removes all nodes that a complete list does not hold.
    pub fn retain_nodes(&mut self, is_listed: impl Fn(u64) -> bool) {
        self.nodes.retain(|node, _| is_listed(*node));
    }

    /// Records that an attempt was sent.
    pub fn record_sent(&mut self, now: f64, node: u64) {
        if let Some(answers) = self.nodes.get_mut(&node) {
            answers.in_flight += 1;
            answers.waiting_since.get_or_insert(now);
        }
    }

    /// Records the end of an attempt that was sent at `sent_at`.
    pub fn record_end(&mut self, now: f64, node: u64, sent_at: f64, end: AttemptEnd) {
        let Some(answers) = self.nodes.get_mut(&node) else { return };
        answers.in_flight = answers.in_flight.saturating_sub(1);
        match end {
            AttemptEnd::Answered => {
                answers.last_answer_at = Some(now);
                answers.last_end_at = now;
                // What is still in flight waits from now on: a node serves its requests in turn.
                answers.waiting_since = (answers.in_flight > 0).then_some(now);
            }
            AttemptEnd::Unanswered => answers.last_end_at = now,
            // An attempt that was cancelled early tells nothing about the node.
            AttemptEnd::Cancelled if now - sent_at < self.silent_after_s => {
                let is_first_waiting = answers.waiting_since.is_some_and(|since| since >= sent_at);
                if answers.in_flight == 0 && is_first_waiting {
                    answers.waiting_since = None;
                }
            }
            AttemptEnd::Cancelled => answers.last_end_at = now,
        }
    }

    /// Counts the nodes of each zone by what is known of them.
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
