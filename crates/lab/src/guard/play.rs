//! One case from a minute before the node's start until it is warm.

use super::cold_node::{ColdNode, SpanWatch};
use super::heads::{Arrival, Heads, Request, SchedulerHeads, SlowStartHeads};
use super::{COLD, Case, Closest, Decisions, History, MEAN_UNITS, Played};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Poisson};

/// Seconds of one step; the program decides every 2 ms at the soonest.
const STEP: f64 = 0.01;
/// Seconds of usual traffic before the start: several times what heads remember.
const BEFORE: f64 = 60.0;
/// Seconds that a client waits for its answer.
pub const CLIENT_WAITS: f64 = 2.0;

/// What was asked of the cold node and served by it.
#[derive(Default)]
struct Work {
    asked: f64,
    ideal: f64,
    served: f64,
}

struct World<'a> {
    case: &'a Case,
    heads: Box<dyn Heads>,
    node: ColdNode,
    watch: SpanWatch,
    rng: ChaCha8Rng,
    work: Work,
    closest: Option<Closest>,
}

/// Plays a case.
pub fn play(case: &Case) -> Result<Played, String> {
    let heads: Box<dyn Heads> = match case.decisions {
        Decisions::SlowStart => Box::new(SlowStartHeads::new(case, -BEFORE)),
        Decisions::Scheduler => Box::new(SchedulerHeads::new(case, -BEFORE)?),
    };
    let mut world = World {
        case,
        heads,
        node: ColdNode::new(case.capacity()),
        watch: SpanWatch::default(),
        rng: ChaCha8Rng::seed_from_u64(case.seed),
        work: Work::default(),
        closest: None,
    };
    world.run()
}

impl World<'_> {
    fn run(&mut self) -> Result<Played, String> {
        let (before, cold) = ((BEFORE / STEP) as i32, (COLD.warm_up_s / STEP) as i32);
        for step in -before..cold {
            let age = f64::from(step) * STEP;
            if step == 0 {
                self.node.restart();
                self.heads.node_started(self.case.history == History::Known)?;
            }
            self.serve(age);
            self.arrive(age)?;
            self.send(age);
            if step >= 0 {
                self.look(age);
            }
        }
        let closest = self.closest.ok_or("nothing was played")?;
        Ok(Played { closest, served: self.work.served / self.work.ideal.max(f64::MIN_POSITIVE) })
    }

    fn serve(&mut self, age: f64) {
        for served in self.node.serve(age, STEP) {
            self.heads.served(age, &served);
            let in_time = age - served.arrived_at <= CLIENT_WAITS;
            self.work.served += if age >= 0.0 && in_time { served.units } else { 0.0 };
        }
    }

    fn arrive(&mut self, age: f64) -> Result<(), String> {
        let load = if age < 0.0 { 1.0 } else { self.case.load };
        let rate = self.case.promised * self.case.capacity() * load / MEAN_UNITS;
        let arrivals = Poisson::new(rate * STEP).map_err(|problem| problem.to_string())?;
        let count = arrivals.sample(&mut self.rng) as u64;
        for _ in 0..count {
            let head = self.rng.random_range(0..self.case.senders as usize);
            let units: f64 = self.rng.random_range(1..=3u32).into();
            let sample = self.rng.random();
            self.heads.arrived(age, Arrival { head, units, sample });
            if age >= 0.0 {
                self.work.asked += units;
                self.watch.asked(age, head, units);
            }
        }
        if age >= 0.0 {
            let possible = self.work.ideal + self.node.rate(age) * STEP;
            self.work.ideal = possible.min(self.work.asked);
        }
        Ok(())
    }

    fn send(&mut self, age: f64) {
        let node = &self.node;
        let requests = self.heads.decide(age, &|head| node.oldest(head));
        for request in requests {
            match request {
                Request::Send(sent) => {
                    self.node.take(sent);
                    if age >= 0.0 {
                        self.watch.sent(age, sent.attempt.head, sent.units);
                    }
                }
                Request::Cancel(attempt) => self.node.cancel(attempt),
            }
        }
    }

    fn look(&mut self, age: f64) {
        let mut span = self.watch.look(age, self.node.rate(age));
        if self.closest.is_none_or(|closest| span.margin > closest.margin) {
            span.rates = self.heads.rates(age).map(|rate| rate * COLD.window_s);
            self.closest = Some(span);
        }
    }
}
