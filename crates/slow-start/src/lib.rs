//! Slow start of a storage node that receives requests from many heads that share no state. It limits how much one
//! head may send to a node that has just started, so that all heads together stay below the load at which the node
//! fails.
//!
//! The limit of a head follows from its own demand on the shard before the node started, and from the node's latency,
//! which reflects the load of all heads:
//!
//! - The *demand* counts the units of requests that were inside their volume's reserve at arrival, and of other
//!   requests that the node served. Its rate is the base of the head's allowance.
//! - The *allowance factor* is the factor by which the head may exceed that base. Each fast answer of the node raises
//!   the factor, a slow answer lowers it, and a failure resets it to 1.
//!
//! Time is passed in as an argument, in seconds; request sizes are in units.

mod decaying_rate;

use decaying_rate::DecayingRate;

/// Settings that limit the load on a node that has just started.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SlowStartSettings {
    /// Units that all heads together may always send to a starting node within `window_s`.
    pub units: f64,
    /// The window over which the load of the node is counted, in seconds.
    pub window_s: f64,
    /// Lower bound of the fraction of its full capacity that a node has at its start.
    pub initial_capacity: f64,
    /// Upper bound of the seconds that a node takes to reach its full capacity.
    pub warm_up_s: f64,
    /// The multiple of its current capacity that overloads a node if sent throughout `window_s`.
    pub overload_factor: f64,
}

/// Lower bound of the initial capacity used in calculations. The guaranteed units are divided by the initial capacity,
/// so it must not be zero.
const MIN_INITIAL_CAPACITY: f64 = 0.01;

impl SlowStartSettings {
    /// Returns a lower bound of the fraction of full capacity that a node has throughout the window ending `age_s`
    /// after its start, or `None` once the node has warmed up.
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

/// Fraction of the load that a starting node is assumed to withstand which a head plans to use. The rest leaves room
/// for random variation.
const TARGET_LOAD_FRACTION: f64 = 0.75;
/// Factor by which a fast answer raises the allowance factor and a slow answer lowers it. With a factor of 2, the
/// node's backlog at most doubles within one round of answers, and only if each of those answers was fast.
const ALLOWANCE_FACTOR_STEP: f64 = 2.0;
/// Upper bound of the allowance factor. A higher value would take too many slow answers to undo. At this value, each
/// head of a fleet of 1024 may send the complete guaranteed rate.
const MAX_ALLOWANCE_FACTOR: f64 = 1024.0;

/// Classification of an answer by its latency.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerSpeed {
    /// The latency is low, which shows that the node has little work pending.
    Fast,
    /// The latency is neither low nor too high.
    Normal,
    /// The latency is above what the node should need.
    Slow,
}

/// The share of this process in the load that all senders put on a node.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SenderShare {
    /// Number of heads that send to the node.
    pub heads: f64,
    /// Fraction of its head's share that this process may send; below 1 while two processes of a head run side by
    /// side.
    pub process_share: f64,
}

/// Condition of a node at the time of a decision.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct NodeCondition {
    /// Seconds since the node started.
    pub age_s: f64,
    /// Whether the estimated latency of the node is too high, so that the allowance factor does not apply.
    pub is_slow: bool,
}

/// A request that waits to be sent to a starting node.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WaitingRequest {
    /// Size of the request.
    pub units: f64,
    /// Whether the request was inside its volume's reserve at arrival.
    pub is_reserved: bool,
    /// The request's random sample, in [0, 1).
    pub sample: f64,
}

/// Slow-start state that one head keeps for one shard. It continues when another node takes over the shard.
#[derive(Clone, Copy, Debug)]
pub struct SlowStart {
    /// Rate of this head's demand on the shard.
    demand: DecayingRate,
    /// The demand rate at the last start of a node, in units per second.
    demand_at_start: f64,
    /// Factor on this head's allowance, raised by fast answers of the node.
    allowance_factor: f64,
    /// Tokens available, in units; negative after requests sent ahead of their tokens. `None` before the first
    /// request.
    tokens: Option<f64>,
    /// When `tokens` was last updated.
    tokens_at: f64,
}

impl Default for SlowStart {
    fn default() -> SlowStart {
        SlowStart::new(0.0, 0.0)
    }
}

impl SlowStart {
    /// Creates the state of a shard that this head has just learnt of. The demand decays with the time constant
    /// `warm_up_s`, the time in which a node warms up.
    pub fn new(warm_up_s: f64, now: f64) -> SlowStart {
        let demand = DecayingRate::new(warm_up_s, now);
        SlowStart { demand, demand_at_start: 0.0, allowance_factor: 1.0, tokens: None, tokens_at: now }
    }

    /// Records that another node took over the shard, or that the same node restarted.
    pub fn record_node_start(&mut self, now: f64) {
        let demand_at_start = self.demand.per_second(now);
        *self = SlowStart {
            demand: self.demand,
            demand_at_start,
            allowance_factor: 1.0,
            tokens: None,
            tokens_at: now,
        };
    }

    /// Adds to this head's demand: the units of a request inside a reserve at its arrival, or of any other request
    /// once the node has served it.
    pub fn record_demand(&mut self, now: f64, units: f64) {
        self.demand.add(now, units);
    }

    /// Records the speed of an answer from the node.
    pub fn record_answer(&mut self, speed: AnswerSpeed) {
        self.allowance_factor = match speed {
            AnswerSpeed::Fast => (self.allowance_factor * ALLOWANCE_FACTOR_STEP).min(MAX_ALLOWANCE_FACTOR),
            AnswerSpeed::Normal => self.allowance_factor,
            AnswerSpeed::Slow => (self.allowance_factor / ALLOWANCE_FACTOR_STEP).max(1.0),
        };
    }

    /// Records that the node rejected a request, was unreachable or broke a connection.
    pub fn record_failure(&mut self) {
        self.allowance_factor = 1.0;
    }

    /// Takes the tokens of a request that was sent to the node.
    pub fn record_sent(&mut self, units: f64) {
        self.tokens = self.tokens.map(|tokens| tokens - units);
    }

    /// Returns the rate at which this process may send to the node, in units per second, or `None` once the node has
    /// warmed up.
    ///
    /// The base rate is the head's even share of the guaranteed rate or, if higher, a rate in proportion to the head's
    /// demand: `TARGET_LOAD_FRACTION` of the load that overloads a node whose full capacity just covers the demand.
    /// Summed over all heads, that stays below the overload of any node that could serve the total demand before.
    /// While the node is not slow, the base rate is multiplied by the allowance factor, up to the rate guaranteed to
    /// all heads together.
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
        let rate_by_demand =
            TARGET_LOAD_FRACTION * settings.overload_factor * capacity_fraction * self.demand_rate(now);
        let own_rate = rate_by_demand.max(guaranteed_rate / sender.heads);
        if node.is_slow {
            return Some(own_rate);
        }
        Some(own_rate.max(guaranteed_rate.min(own_rate * self.allowance_factor)))
    }

    /// Returns the seconds until the request may be sent at `rate`; 0 if it may be sent now.
    ///
    /// Tokens accumulate up to the size of a complete request. The initial level is random, since otherwise all heads
    /// would send at the same moment. At a low rate a head would accumulate tokens for requests that seldom arrive.
    /// Therefore a reserved request is sent ahead of its tokens with probability `rate / demand_rate` (at most 1),
    /// decided by its `sample`. The token count then goes negative, and later requests wait until it has recovered.
    /// The reserved requests of all heads together do not exceed what the plans of the node's volumes promise.
    pub fn wait_s(
        &mut self,
        settings: &SlowStartSettings,
        rate: f64,
        request: WaitingRequest,
        now: f64,
    ) -> f64 {
        let WaitingRequest { units, is_reserved, sample } = request;
        let bucket_size = units.max((1.0 - TARGET_LOAD_FRACTION) * rate * settings.window_s);
        let tokens = match self.tokens {
            Some(tokens) => (tokens + rate * (now - self.tokens_at)).min(bucket_size),
            None => sample * units,
        };
        self.tokens = Some(tokens);
        self.tokens_at = now;
        let is_sent_early = is_reserved && sample * self.demand_rate(now) < rate;
        let needed_units = if is_sent_early { 0.0 } else { units };
        (needed_units - tokens).max(0.0) / rate
    }

    /// Returns this head's demand rate, in units per second: the rate at the node's start or the current one,
    /// whichever is higher.
    fn demand_rate(&self, now: f64) -> f64 {
        self.demand_at_start.max(self.demand.per_second(now))
    }
}
