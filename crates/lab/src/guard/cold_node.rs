//! A node that starts cold and serves in turn, and the watch on what it is sent while it warms up.

use super::{COLD, Closest, MEAN_UNITS};
use std::collections::{HashSet, VecDeque};

/// One attempt at the node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Attempt {
    /// The head that sent it.
    pub head: usize,
    /// The head's number for the request.
    pub request: u32,
    /// Which of the request's sends.
    pub nth: usize,
}

/// What is known of an attempt when it is sent.
#[derive(Clone, Copy, Debug)]
pub struct Sent {
    /// The attempt.
    pub attempt: Attempt,
    /// Its size in units.
    pub units: f64,
    /// When its request came to the head.
    pub arrived_at: f64,
    /// When it was sent.
    pub sent_at: f64,
}

/// An attempt that waits or is worked on, and the units of it that are left.
struct Queued {
    sent: Sent,
    left: f64,
}

/// The node; times are seconds since its start, negative ones before it.
pub struct ColdNode {
    capacity: f64,
    queue: VecDeque<Queued>,
}

/// The part of its capacity that a node has at this age: the least that the guarantees allow.
fn warm_part(age: f64) -> f64 {
    if age < 0.0 {
        1.0
    } else {
        (COLD.initial_capacity + (1.0 - COLD.initial_capacity) * age / COLD.warm_up_s).min(1.0)
    }
}

impl ColdNode {
    /// A node of this warm capacity, in units a second.
    pub fn new(capacity: f64) -> ColdNode {
        ColdNode { capacity, queue: VecDeque::new() }
    }

    /// Units a second that it can serve at this age.
    pub fn rate(&self, age: f64) -> f64 {
        self.capacity * warm_part(age)
    }

    /// Takes an attempt.
    pub fn take(&mut self, sent: Sent) {
        self.queue.push_back(Queued { sent, left: sent.units });
    }

    /// Drops a cancelled attempt; work on it stops.
    pub fn cancel(&mut self, attempt: Attempt) {
        self.queue.retain(|queued| queued.sent.attempt != attempt);
    }

    /// When a head's oldest attempt here was sent.
    pub fn oldest(&self, head: usize) -> Option<f64> {
        self.queue.iter().find(|queued| queued.sent.attempt.head == head).map(|queued| queued.sent.sent_at)
    }

    /// Works for one step, and gives what was served in it.
    pub fn serve(&mut self, age: f64, step: f64) -> Vec<Sent> {
        let mut work = self.rate(age) * step;
        let mut served = Vec::new();
        while let Some(first) = self.queue.front_mut() {
            let done = first.left.min(work);
            first.left -= done;
            work -= done;
            if first.left > 0.0 {
                break;
            }
            served.push(first.sent);
            self.queue.pop_front();
        }
        served
    }

    /// Forgets what waits: the process has started anew.
    pub fn restart(&mut self) {
        self.queue.clear();
    }
}

/// Units with the moment they came or went, and the head.
struct Timed {
    age: f64,
    head: usize,
    units: f64,
}

/// What was sent and asked within the span of the rule that ends now.
#[derive(Default)]
pub struct SpanWatch {
    sent: VecDeque<Timed>,
    asked: VecDeque<Timed>,
}

impl SpanWatch {
    /// Something came to a head.
    pub fn asked(&mut self, age: f64, head: usize, units: f64) {
        self.asked.push_back(Timed { age, head, units });
    }

    /// Something went to the node.
    pub fn sent(&mut self, age: f64, head: usize, units: f64) {
        self.sent.push_back(Timed { age, head, units });
    }

    /// The span that ends now, against what a node of this rate bears: it falls past N requests of mean work and
    /// 2 sqrt(N) + 2 more, N being what the multiple of its present rate allows over the span.
    pub fn look(&mut self, age: f64, rate: f64) -> Closest {
        for timed in [&mut self.sent, &mut self.asked] {
            while timed.front().is_some_and(|first| age - first.age >= COLD.window_s) {
                timed.pop_front();
            }
        }
        let sum = |timed: &VecDeque<Timed>| timed.iter().map(|one| one.units).sum::<f64>();
        let (sent, asked) = (sum(&self.sent), sum(&self.asked));
        let allowed = COLD.overload_factor * COLD.window_s * rate;
        let requests = allowed / MEAN_UNITS;
        let bound = MEAN_UNITS * (requests + 2.0 * requests.sqrt() + 2.0);
        let heads: HashSet<usize> = self.sent.iter().map(|one| one.head).collect();
        Closest {
            margin: sent / bound,
            of_allowed: sent / allowed,
            age,
            sent,
            allowed,
            asked,
            rates: None,
            heads: heads.len(),
        }
    }
}
