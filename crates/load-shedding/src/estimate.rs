//! How readings come out of single events: parts and means over a sliding span, the silence of nodes by hall, and
//! the lag of reports. Each keeps no more than its span or its nodes need.

use std::collections::{BTreeMap, VecDeque};

/// Two sums over a sliding span, in steps: what was counted, of how much.
#[derive(Clone, Debug)]
pub struct Sliding {
    span: f64,
    step: f64,
    parts: VecDeque<(f64, f64, f64)>,
    sums: (f64, f64),
}

impl Sliding {
    /// Sums over the last `span` seconds, kept in steps of `step`.
    pub fn new(span: f64, step: f64) -> Sliding {
        Sliding { span, step, parts: VecDeque::new(), sums: (0.0, 0.0) }
    }

    /// Adds to both sums.
    pub fn add(&mut self, now: f64, counted: f64, of: f64) {
        self.sums = (self.sums.0 + counted, self.sums.1 + of);
        match self.parts.back_mut().filter(|(at, ..)| now - *at < self.step) {
            Some(last) => (last.1, last.2) = (last.1 + counted, last.2 + of),
            None => self.parts.push_back((now, counted, of)),
        }
    }

    /// Both sums over the span.
    pub fn sums(&mut self, now: f64) -> (f64, f64) {
        while let Some((_, counted, of)) = self.parts.front().filter(|(at, ..)| now - at > self.span) {
            self.sums = (self.sums.0 - counted, self.sums.1 - of);
            self.parts.pop_front();
        }
        if self.parts.is_empty() {
            // Rounding does not add up over days.
            self.sums = (0.0, 0.0);
        }
        self.sums
    }

    /// The first sum's part of the second; none where the second is under `least`.
    pub fn ratio(&mut self, now: f64, least: f64) -> Option<f64> {
        let (counted, of) = self.sums(now);
        (of >= least && of > 0.0).then(|| counted / of)
    }
}

/// What is known of one node's answers.
#[derive(Clone, Copy, Debug, Default)]
struct Node {
    zone: u16,
    out: u32,
    /// The first send since its last answer that was not called off early.
    waiting: Option<f64>,
    /// When the last attempt ended, or was answered.
    ended: f64,
    answered: Option<f64>,
}

/// How an attempt ended, as far as the node's life goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// The node said something, be it that it is full.
    Answered,
    /// No connection, a break, or silence up to the deadline.
    Unanswered,
    /// Called off from this side.
    CalledOff,
}

/// Which nodes are silent, by hall.
#[derive(Clone, Debug)]
pub struct Silence {
    after: f64,
    recent: f64,
    nodes: BTreeMap<u64, Node>,
}

/// What is known of one hall's nodes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Hall {
    /// On the list as ready.
    pub listed: u32,
    /// Silent or failing for long enough.
    pub lost: u32,
    /// Answered lately.
    pub heard: u32,
}

impl Hall {
    /// The lost part of those of which something is known; none where that is less than half of the listed.
    pub fn lost_part(self) -> Option<f64> {
        let known = self.lost + self.heard;
        (known > 0 && 2 * known >= self.listed).then(|| f64::from(self.lost) / f64::from(known))
    }
}

impl Silence {
    /// A node is lost once it has not answered for `after` seconds what was sent to it, and known for `recent`
    /// seconds after its last word or the last attempt's end.
    pub fn new(after: f64, recent: f64) -> Silence {
        Silence { after, recent, nodes: BTreeMap::new() }
    }

    /// A node is on the list and takes work.
    pub fn listed(&mut self, node: u64, zone: u16) {
        self.nodes.entry(node).or_default().zone = zone;
    }

    /// A node left, or takes no more work.
    pub fn gone(&mut self, node: u64) {
        self.nodes.remove(&node);
    }

    /// All nodes left, since a whole list comes.
    pub fn keep(&mut self, stays: impl Fn(u64) -> bool) {
        self.nodes.retain(|node, _| stays(*node));
    }

    /// An attempt was sent.
    pub fn sent(&mut self, now: f64, node: u64) {
        if let Some(node) = self.nodes.get_mut(&node) {
            node.out += 1;
            node.waiting.get_or_insert(now);
        }
    }

    /// An attempt that was sent at `sent_at` ended.
    pub fn ended(&mut self, now: f64, node: u64, sent_at: f64, end: End) {
        let Some(node) = self.nodes.get_mut(&node) else { return };
        node.out = node.out.saturating_sub(1);
        match end {
            End::Answered => {
                (node.answered, node.ended) = (Some(now), now);
                // What is still out waits from now on: a node serves in turn.
                node.waiting = (node.out > 0).then_some(now);
            }
            End::Unanswered => node.ended = now,
            // A client that left early says nothing of the node.
            End::CalledOff if now - sent_at < self.after => {
                if node.out == 0 && node.waiting.is_some_and(|since| since >= sent_at) {
                    node.waiting = None;
                }
            }
            End::CalledOff => node.ended = now,
        }
    }

    /// What is known of each hall.
    pub fn halls(&self, now: f64) -> BTreeMap<u16, Hall> {
        let mut halls: BTreeMap<u16, Hall> = BTreeMap::new();
        for node in self.nodes.values() {
            let hall = halls.entry(node.zone).or_default();
            hall.listed += 1;
            let silent = node.waiting.is_some_and(|since| now - since > self.after);
            if silent && (node.out > 0 || now - node.ended <= self.recent) {
                hall.lost += 1;
            } else if node.answered.is_some_and(|at| now - at <= self.recent) {
                hall.heard += 1;
            }
        }
        halls
    }
}

/// The lag of reports. A report may say of which moment it is; where none does, the lag is the time since any of
/// them last told something new.
#[derive(Clone, Debug)]
pub struct Lag {
    tolerance: f64,
    newest: Option<f64>,
    told: Option<f64>,
    stamped: bool,
    steps: u32,
}

impl Lag {
    /// No report yet. A stamp more than `tolerance` seconds ahead of the clock is a clock's step, not news.
    pub fn new(tolerance: f64) -> Lag {
        Lag { tolerance, newest: None, told: None, stamped: false, steps: 0 }
    }

    /// A report that tells something new came, of the moment `of` if it says.
    pub fn heard(&mut self, now: f64, of: Option<f64>) {
        match of {
            // One from the future would hide the lag of all that come after it.
            Some(of) if of > now + self.tolerance => self.steps += 1,
            Some(of) => {
                self.stamped = true;
                self.newest = Some(self.newest.map_or(of, |newest| newest.max(of)));
                self.told = Some(now);
            }
            None => self.told = Some(now),
        }
    }

    /// Reports whose stamp could not be right.
    pub fn steps(&self) -> u32 {
        self.steps
    }

    /// Seconds since the newest news, and when that was last known; none before the first report.
    pub fn reading(&self, now: f64) -> Option<(f64, f64)> {
        let told = self.told?;
        let newest = self.newest.filter(|_| self.stamped).unwrap_or(told);
        Some(((now - newest).max(0.0), told))
    }
}

#[cfg(test)]
mod tests;
