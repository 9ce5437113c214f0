//! What one head may send a node that just started, where many heads send and none hears of the others: all together
//! must stay under what pushes a cold node over. A head works from what was due to it at the node before, and
//! from how quickly the node answers, which tells what it holds of all heads. Time is an argument, in seconds; sizes
//! are units.

/// How a node that just started is protected.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Cold {
    /// Units that all heads together can always send it within `span`.
    pub units: f64,
    /// That span, in seconds.
    pub span: f64,
    /// The part of its capacity that it starts with, at least.
    pub from: f64,
    /// Seconds after which it is warm, at the latest.
    pub warm_within: f64,
    /// The multiple of its present capacity that pushes it over, sent for `span`.
    pub multiple: f64,
}

impl Cold {
    /// The part of its capacity that a node has at least for all of the span that ends so long after its start.
    /// `None`: it is warm.
    fn share(&self, age: f64) -> Option<f64> {
        if age >= self.warm_within + self.span || self.span <= 0.0 {
            return None;
        }
        let from = self.from.clamp(0.01, 1.0);
        let ramp = ((age - self.span).max(0.0) / self.warm_within.max(self.span)).min(1.0);
        Some(from + (1.0 - from) * ramp)
    }
}

/// Part of what a cold node is taken to bear that is used: the rest is for chance.
const MARGIN: f64 = 0.75;
/// By how much a quick answer of the node raises this head's part, and a slow one lowers it. The node's backlog at
/// most doubles within one round of answers, and each of those has to be quick.
const TRUST: f64 = 2.0;
/// No more than that: past it, trust would be lost too slowly. The part of a thousand heads is then the whole.
const MOST_TRUST: f64 = 1024.0;
/// Least memory of a rate, in seconds, and the least part of it that a short past counts for.
const LEAST_MEMORY: f64 = 0.5;
const LEAST_PAST: f64 = 0.5;

/// Units a second over a fading past, of a length that is known: right from the start.
#[derive(Clone, Copy, Debug)]
struct Rate {
    memory: f64,
    since: f64,
    sum: f64,
    at: f64,
}

impl Rate {
    fn count(&mut self, now: f64, units: f64) {
        (self.sum, self.at) = (self.sum * ((self.at - now) / self.memory).exp() + units, now);
    }

    fn now(&self, now: f64) -> f64 {
        let known = 1.0 - ((self.since - now) / self.memory).exp();
        self.sum * ((self.at - now) / self.memory).exp() / (self.memory * known.max(LEAST_PAST))
    }
}

/// How an answer came.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Pace {
    /// So soon that the node holds little.
    Quick,
    /// Neither.
    Fair,
    /// Later than is wanted of the node.
    Slow,
}

/// One head's view of the node that holds one shard, through the nodes that follow each other there.
#[derive(Clone, Copy, Debug)]
pub struct SlowStart {
    /// What was due to this head there.
    due: Rate,
    /// The same when the node started.
    usual: f64,
    /// By how much its quick answers raise this head's part.
    trust: f64,
    /// Units saved up, and when; below 0 what went ahead of this head's part. None before the first are drawn.
    saved: Option<f64>,
    at: f64,
}

impl Default for SlowStart {
    fn default() -> SlowStart {
        SlowStart::new(0.0, 0.0)
    }
}

impl SlowStart {
    /// Of a shard whose node this head first hears of. What was due fades within the time in which nodes warm up.
    pub fn new(warm_within: f64, now: f64) -> SlowStart {
        let due = Rate { memory: warm_within.max(LEAST_MEMORY), since: now, sum: 0.0, at: now };
        SlowStart { due, usual: 0.0, trust: 1.0, saved: None, at: now }
    }

    /// Another node holds the shard now, or the same one after a start.
    pub fn started(&mut self, now: f64) {
        *self = SlowStart { due: self.due, usual: self.due.now(now), trust: 1.0, saved: None, at: now };
    }

    /// Units that were due to this head: inside a reserve when they came, or served.
    pub fn due(&mut self, now: f64, units: f64) {
        self.due.count(now, units);
    }

    /// The node answered.
    pub fn answered(&mut self, pace: Pace) {
        self.trust = match pace {
            Pace::Quick => (self.trust * TRUST).min(MOST_TRUST),
            Pace::Fair => self.trust,
            Pace::Slow => (self.trust / TRUST).max(1.0),
        };
    }

    /// The node turned a request away, or broke off.
    pub fn failed(&mut self) {
        self.trust = 1.0;
    }

    /// Units a second that this head, one of `hosts`, may send a node of this age. `None`: it is warm. `part` is
    /// this process's part of what is the head's, `slow` whether the node takes long now.
    ///
    /// It is the head's even part of what is guaranteed or, if more, most of what the rule allows a node that does
    /// what was due to this head there: over all heads no more than the node did. Of that, a multiple while the
    /// node answers quickly; alone never more than all heads together may.
    pub fn rate(
        &self,
        cold: &Cold,
        (hosts, part): (f64, f64),
        now: f64,
        age: f64,
        slow: bool,
    ) -> Option<f64> {
        let share = cold.share(age)?;
        let all = part * cold.units / cold.span * share / cold.from.clamp(0.01, 1.0);
        let usual = self.usual.max(self.due.now(now));
        let own = (MARGIN * cold.multiple * share * usual).max(all / hosts);
        Some(if slow { own } else { own.max(all.min(own * self.trust)) })
    }

    /// Seconds until a request of this size may go at this rate; 0: now. Parts are saved up to a whole request, and the
    /// first start is drawn, or all heads would send as one. A head whose part is under one request would save it for
    /// one that seldom comes: so what is `due` goes ahead of the part with the chance that the part is of all that is
    /// due; over all heads no more is due than the node's plans promise. `draw`, in [0, 1), is the request's own.
    pub fn wait(&mut self, cold: &Cold, rate: f64, now: f64, (units, due): (f64, bool), draw: f64) -> f64 {
        let most = units.max((1.0 - MARGIN) * rate * cold.span);
        let saved = self.saved.map_or(draw * units, |saved| (saved + rate * (now - self.at)).min(most));
        (self.saved, self.at) = (Some(saved), now);
        let ahead = due && draw * self.usual.max(self.due.now(now)) < rate;
        let needed = if ahead { 0.0 } else { units };
        (needed - saved).max(0.0) / rate
    }

    /// A request went to the node.
    pub fn sent(&mut self, units: f64) {
        self.saved = self.saved.map(|saved| saved - units);
    }
}
