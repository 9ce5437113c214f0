//! Slow start of a storage node before many heads that share nothing: what one head may send a node that just
//! started, so that all heads together stay under what makes a cold node fall. A head works from what was due to it
//! at the node before, and from the node's latency, which tells of the load of all heads. Time is an argument, in
//! seconds; sizes are units.

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

/// Least part of its capacity that a node is taken to start with: the guarantee is divided by it.
const MIN_START_SHARE: f64 = 0.01;

impl SlowStartSettings {
    /// The part of its capacity that a node has at least for all of the span that ends so long after its start.
    /// `None`: it is warm.
    fn capacity_share(&self, age: f64) -> Option<f64> {
        if age >= self.warm_up_s + self.window_s || self.window_s <= 0.0 {
            return None;
        }
        let from = self.start_share();
        let ramp = ((age - self.window_s).max(0.0) / self.warm_up_s.max(self.window_s)).min(1.0);
        Some(from + (1.0 - from) * ramp)
    }

    fn start_share(&self) -> f64 {
        self.initial_capacity.clamp(MIN_START_SHARE, 1.0)
    }
}

/// Part of what a cold node is taken to bear that is used; the rest is for chance.
const SAFETY_SHARE: f64 = 0.75;
/// Factor by which a quick answer of the node raises this head's allowance, and a slow one lowers it. The node's
/// backlog at most doubles within one round of answers, and each of those has to be quick.
const TRUST_STEP: f64 = 2.0;
/// Upper bound of that factor in all: past it, trust would be lost too slowly. The allowance of a thousand heads is
/// then the whole.
const MAX_TRUST: f64 = 1024.0;
/// Shortest memory of a rate, in seconds.
const MIN_MEMORY: f64 = 0.5;
/// Least part of the memory that a short past counts for: a first request is no rate yet.
const MIN_KNOWN_SHARE: f64 = 0.5;

/// An exponentially decaying mean rate, in units a second. It knows how long its past is, and so is right from the
/// start.
#[derive(Clone, Copy, Debug)]
struct DecayingRate {
    memory: f64,
    since: f64,
    sum: f64,
    at: f64,
}

impl DecayingRate {
    fn new(memory: f64, now: f64) -> DecayingRate {
        DecayingRate { memory, since: now, sum: 0.0, at: now }
    }

    fn add(&mut self, now: f64, units: f64) {
        self.sum = self.sum * self.decay(self.at, now) + units;
        self.at = now;
    }

    fn per_second(&self, now: f64) -> f64 {
        let known = 1.0 - self.decay(self.since, now);
        self.sum * self.decay(self.at, now) / (self.memory * known.max(MIN_KNOWN_SHARE))
    }

    /// What is left at `now` of what was counted at `from`.
    fn decay(&self, from: f64, now: f64) -> f64 {
        ((from - now) / self.memory).exp()
    }
}

/// How soon an answer came.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Pace {
    /// So soon that the node has little pending.
    Quick,
    /// Neither.
    Fair,
    /// Later than is wanted of the node.
    Slow,
}

/// One head's view of the node that holds one shard, through the nodes that succeed each other there.
#[derive(Clone, Copy, Debug)]
pub struct SlowStart {
    /// What was due to this head there.
    due: DecayingRate,
    /// Units a second of it when the node started.
    due_at_start: f64,
    /// Factor on this head's allowance that the node's quick answers have earned.
    trust: f64,
    /// Token bucket: units saved up, below 0 what was sent ahead. None before the first request.
    tokens: Option<f64>,
    /// When they were counted.
    tokens_at: f64,
}

impl Default for SlowStart {
    fn default() -> SlowStart {
        SlowStart::new(0.0, 0.0)
    }
}

impl SlowStart {
    /// Of a shard whose node this head first hears of. What was due fades within the time in which nodes warm up.
    pub fn new(warm_within: f64, now: f64) -> SlowStart {
        let due = DecayingRate::new(warm_within.max(MIN_MEMORY), now);
        SlowStart { due, due_at_start: 0.0, trust: 1.0, tokens: None, tokens_at: now }
    }

    /// Another node holds the shard now, or the same one after a restart.
    pub fn started(&mut self, now: f64) {
        let due_at_start = self.due.per_second(now);
        *self = SlowStart { due: self.due, due_at_start, trust: 1.0, tokens: None, tokens_at: now };
    }

    /// Units that were due to this head: inside a reserve when they came, or served.
    pub fn due(&mut self, now: f64, units: f64) {
        self.due.add(now, units);
    }

    /// The node answered.
    pub fn answered(&mut self, pace: Pace) {
        self.trust = match pace {
            Pace::Quick => (self.trust * TRUST_STEP).min(MAX_TRUST),
            Pace::Fair => self.trust,
            Pace::Slow => (self.trust / TRUST_STEP).max(1.0),
        };
    }

    /// The node turned a request away, or broke off.
    pub fn failed(&mut self) {
        self.trust = 1.0;
    }

    /// Units a second that this head, one of `heads`, may send a node of this age. `None`: it is warm.
    /// `process_share` is this process's share of what is the head's, `slow` whether the node takes long now.
    ///
    /// It is the head's even share of what is guaranteed or, if more, most of what the rule allows a node that does
    /// what was due to this head there: over all heads no more than the node did. Of that, a multiple while the
    /// node answers quickly; alone never more than all heads together may.
    pub fn rate(
        &self,
        cold: &SlowStartSettings,
        (heads, process_share): (f64, f64),
        now: f64,
        age: f64,
        slow: bool,
    ) -> Option<f64> {
        let capacity_share = cold.capacity_share(age)?;
        let of_all_heads = process_share * cold.units / cold.window_s * capacity_share / cold.start_share();
        let by_past = SAFETY_SHARE * cold.overload_factor * capacity_share * self.due_rate(now);
        let own = by_past.max(of_all_heads / heads);
        if slow {
            return Some(own);
        }
        Some(own.max(of_all_heads.min(own * self.trust)))
    }

    /// Seconds until a request may go at this rate; 0: now. `units` is its size and `due` whether it is due to this
    /// head; `sample`, in [0, 1), is the request's own random sample.
    ///
    /// Tokens are saved up to a whole request, and the first level is random, or all heads would send as one. A
    /// head whose allowance is under one request would save it for one that seldom comes: so what is due goes ahead
    /// of the allowance with the probability that the allowance is of all that is due. Over all heads no more is
    /// due than the node's plans promise.
    pub fn wait(
        &mut self,
        cold: &SlowStartSettings,
        rate: f64,
        now: f64,
        (units, due): (f64, bool),
        sample: f64,
    ) -> f64 {
        let bucket = units.max((1.0 - SAFETY_SHARE) * rate * cold.window_s);
        let tokens = match self.tokens {
            Some(tokens) => (tokens + rate * (now - self.tokens_at)).min(bucket),
            None => sample * units,
        };
        (self.tokens, self.tokens_at) = (Some(tokens), now);
        let goes_ahead = due && sample * self.due_rate(now) < rate;
        let needed = if goes_ahead { 0.0 } else { units };
        (needed - tokens).max(0.0) / rate
    }

    /// A request went to the node.
    pub fn sent(&mut self, units: f64) {
        self.tokens = self.tokens.map(|tokens| tokens - units);
    }

    /// Units a second that are due to this head: at the node's start, or since if that is more.
    fn due_rate(&self, now: f64) -> f64 {
        self.due_at_start.max(self.due.per_second(now))
    }
}
