//! Slow start of a storage node behind many heads that share no state: how much one head may send a node that has just
//! started, so that all heads together stay under the load that makes it fail.
//!
//! A head works from the units that were due to it at the node before, and from the node's latency, which shows the
//! load of all heads:
//!
//! - *Due* units are those of requests that were inside their volume's reserve at arrival, and those of other requests
//!   that the node served. Their rate is what this head needs of the node, and the base of its allowance.
//! - The *allowance factor* is by how much this head may exceed that base: each fast answer of the node raises it, a
//!   slow one lowers it, a failure resets it to 1.
//!
//! Time is an argument, in seconds; sizes are in units.

mod decaying_rate;

use decaying_rate::DecayingRate;

/// How a node that just started is protected.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SlowStartSettings {
    /// Units that all heads together can always send it within `window_s`.
    pub units: f64,
    /// The window over which its load is counted, in seconds.
    pub window_s: f64,
    /// Fraction of its capacity that it starts with, at least.
    pub initial_capacity: f64,
    /// Seconds after which it has warmed up, at the latest.
    pub warm_up_s: f64,
    /// The multiple of its present capacity that overloads it when sent for `window_s`.
    pub overload_factor: f64,
}

/// Least fraction of its capacity that a node is assumed to start with: the guarantee is divided by it.
const MIN_INITIAL_CAPACITY: f64 = 0.01;

impl SlowStartSettings {
    /// The fraction of its capacity that a node has at least during all of the window that ends `age_s` after its
    /// start. `None`: it has warmed up.
    fn capacity_fraction(&self, age_s: f64) -> Option<f64> {
        if age_s >= self.warm_up_s + self.window_s || self.window_s <= 0.0 {
            return None;
        }
        let initial = self.initial_capacity_fraction();
        let window_start_s = (age_s - self.window_s).max(0.0);
        let progress = (window_start_s / self.warm_up_s.max(self.window_s)).min(1.0);
        Some(initial + (1.0 - initial) * progress)
    }

    fn initial_capacity_fraction(&self) -> f64 {
        self.initial_capacity.clamp(MIN_INITIAL_CAPACITY, 1.0)
    }
}

/// Fraction of what a starting node is assumed to bear that is used; the rest is for random variation.
const USED_FRACTION: f64 = 0.75;
/// Factor by which a fast answer of the node raises this head's allowance, and a slow one lowers it. The node's
/// backlog at most doubles within one round of answers, and each of those has to be fast.
const ALLOWANCE_FACTOR_STEP: f64 = 2.0;
/// Upper bound of the allowance factor: a higher one would take too many slow answers to undo. The allowance of a
/// thousand heads is then the complete guarantee.
const MAX_ALLOWANCE_FACTOR: f64 = 1024.0;

/// How soon an answer came.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerSpeed {
    /// So soon that the node has little pending.
    Fast,
    /// Neither.
    Normal,
    /// Later than the node should answer.
    Slow,
}

/// This process among those that send to a node.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SenderShare {
    /// Number of heads.
    pub heads: f64,
    /// Fraction of its head's share that this process may send.
    pub process_share: f64,
}

/// A node at the moment of a decision.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct NodeCondition {
    /// Seconds since its start.
    pub age_s: f64,
    /// Whether it takes long to answer now.
    pub is_slow: bool,
}

/// A request that waits for a starting node.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WaitingRequest {
    /// Its size.
    pub units: f64,
    /// Whether it was inside its volume's reserve at arrival.
    pub is_due: bool,
    /// Its random sample, in [0, 1).
    pub sample: f64,
}

/// One head's view of the node that serves one shard, through the nodes that serve it one after the other.
#[derive(Clone, Copy, Debug)]
pub struct SlowStart {
    /// Rate of the units due to this head at the shard.
    due: DecayingRate,
    /// The same when the node started, in units a second.
    due_at_start: f64,
    /// Factor on this head's allowance that the node's fast answers have earned.
    allowance_factor: f64,
    /// Token bucket: units saved up; below 0, units sent ahead. `None` before the first request.
    tokens: Option<f64>,
    /// When the tokens were counted.
    tokens_at: f64,
}

impl Default for SlowStart {
    fn default() -> SlowStart {
        SlowStart::new(0.0, 0.0)
    }
}

impl SlowStart {
    /// The view of a shard that this head first hears of. What was due fades within the time in which nodes warm up.
    pub fn new(warm_up_s: f64, now: f64) -> SlowStart {
        let due = DecayingRate::new(warm_up_s, now);
        SlowStart { due, due_at_start: 0.0, allowance_factor: 1.0, tokens: None, tokens_at: now }
    }

    /// Records that another node serves the shard now, or the same one after a restart.
    pub fn record_node_start(&mut self, now: f64) {
        let due_at_start = self.due.per_second(now);
        *self =
            SlowStart { due: self.due, due_at_start, allowance_factor: 1.0, tokens: None, tokens_at: now };
    }

    /// Records units that were due to this head: inside a reserve when they arrived, or served.
    pub fn record_due(&mut self, now: f64, units: f64) {
        self.due.add(now, units);
    }

    /// Records an answer of the node.
    pub fn record_answer(&mut self, speed: AnswerSpeed) {
        self.allowance_factor = match speed {
            AnswerSpeed::Fast => (self.allowance_factor * ALLOWANCE_FACTOR_STEP).min(MAX_ALLOWANCE_FACTOR),
            AnswerSpeed::Normal => self.allowance_factor,
            AnswerSpeed::Slow => (self.allowance_factor / ALLOWANCE_FACTOR_STEP).max(1.0),
        };
    }

    /// Records that the node rejected a request, or broke a connection.
    pub fn record_failure(&mut self) {
        self.allowance_factor = 1.0;
    }

    /// Records a request that was sent to the node.
    pub fn record_sent(&mut self, units: f64) {
        self.tokens = self.tokens.map(|tokens| tokens - units);
    }

    /// Units a second that this process may send the node. `None`: it has warmed up.
    ///
    /// It is the head's even share of what is guaranteed or, if more, most of what the settings allow a node that does
    /// what was due to this head there: over all heads no more than the node did. Of that, a multiple while the
    /// node answers fast; alone never more than all heads together may.
    pub fn allowed_rate(
        &self,
        settings: &SlowStartSettings,
        sender: SenderShare,
        node: NodeCondition,
        now: f64,
    ) -> Option<f64> {
        let capacity_fraction = settings.capacity_fraction(node.age_s)?;
        let guaranteed_rate = sender.process_share * settings.units / settings.window_s * capacity_fraction
            / settings.initial_capacity_fraction();
        let rate_by_due = USED_FRACTION * settings.overload_factor * capacity_fraction * self.due_rate(now);
        let own_rate = rate_by_due.max(guaranteed_rate / sender.heads);
        if node.is_slow {
            return Some(own_rate);
        }
        Some(own_rate.max(guaranteed_rate.min(own_rate * self.allowance_factor)))
    }

    /// Seconds until a request may go at this rate; 0 if it may go now.
    ///
    /// Tokens are saved up to a complete request, and the first level is random, or all heads would send at once. A
    /// head with a low rate would save tokens for a request that seldom comes. So a reserved request is sent before its
    /// tokens are saved with probability `rate / due_rate`, at most 1, by its `sample`; its tokens are then owed, and
    /// what follows waits until the debt is paid. Over all heads no more is reserved than the node's plans promise.
    pub fn wait_s(
        &mut self,
        settings: &SlowStartSettings,
        rate: f64,
        request: WaitingRequest,
        now: f64,
    ) -> f64 {
        let WaitingRequest { units, is_due, sample } = request;
        let bucket_size = units.max((1.0 - USED_FRACTION) * rate * settings.window_s);
        let tokens = match self.tokens {
            Some(tokens) => (tokens + rate * (now - self.tokens_at)).min(bucket_size),
            None => sample * units,
        };
        self.tokens = Some(tokens);
        self.tokens_at = now;
        let is_sent_early = is_due && sample * self.due_rate(now) < rate;
        let needed_units = if is_sent_early { 0.0 } else { units };
        (needed_units - tokens).max(0.0) / rate
    }

    /// Units a second that are due to this head: at the node's start, or since then if that is more.
    fn due_rate(&self, now: f64) -> f64 {
        self.due_at_start.max(self.due.per_second(now))
    }
}
