//! A storage node: cores, a waiting room, pauses, work that writes put off, and cold starts.

use crate::fleet::Node as Spec;
use std::collections::VecDeque;

/// An attempt's number, or 0 for the node's own work.
pub type Token = u64;

/// A piece of work.
#[derive(Clone, Copy, Debug)]
struct Job {
    token: Token,
    /// Seconds on the yardstick.
    work: f64,
    puts_off: f64,
}

/// What a node is working on: the job, when it ends, and a number that tells a planned end from an outdated one.
#[derive(Clone, Copy, Debug)]
struct Running {
    job: Job,
    ends: f64,
    turn: u64,
}

/// A node and what it holds.
pub struct Node {
    spec: Spec,
    /// Share of its power that it starts with, and seconds until it is warm.
    cold: (f64, f64),
    since: Option<f64>,
    slowed: f64,
    running: Vec<Running>,
    waiting: VecDeque<Job>,
    put_off: f64,
    turn: u64,
    /// When a cut in its work ends: it stands still until then.
    still: f64,
}

/// Ends to plan: the moment and the number to come back with.
pub type Ends = Vec<(f64, u64)>;

impl Node {
    /// A warm node without work.
    pub fn new(spec: Spec, cold: (f64, f64)) -> Node {
        Node {
            spec,
            cold,
            since: None,
            slowed: 1.0,
            running: Vec::new(),
            waiting: VecDeque::new(),
            put_off: 0.0,
            turn: 0,
            still: 0.0,
        }
    }

    /// Its hall.
    pub fn zone(&self) -> u16 {
        self.spec.zone
    }

    /// When it last started; none for long ago.
    pub fn since(&self) -> Option<f64> {
        self.since
    }

    /// Changes its speed by a factor.
    pub fn slow(&mut self, factor: f64) {
        self.slowed = factor;
    }

    /// Starts anew: nothing is in hand, and it is cold.
    pub fn restart(&mut self, now: f64) {
        self.since = Some(now);
        (self.running, self.waiting, self.put_off) = Default::default();
    }

    fn speed(&self, now: f64) -> f64 {
        let (from, within) = self.cold;
        let warm = self.since.map_or(1.0, |since| (from + (1.0 - from) * (now - since) / within).min(1.0));
        self.spec.speed * self.slowed * warm
    }

    /// Takes an attempt; false where there is no room.
    pub fn take(&mut self, now: f64, token: Token, work: f64, puts_off: f64, ends: &mut Ends) -> bool {
        if self.waiting.len() >= self.spec.room {
            return false;
        }
        self.waiting.push_back(Job { token, work, puts_off });
        self.go_on(now, ends);
        true
    }

    fn go_on(&mut self, now: f64, ends: &mut Ends) {
        while self.running.len() < self.spec.cores {
            let Some(job) = self.waiting.pop_front() else { return };
            self.turn += 1;
            let end = now.max(self.still) + job.work / self.speed(now);
            self.running.push(Running { job, ends: end, turn: self.turn });
            ends.push((end, self.turn));
        }
    }

    /// A planned end has come: the attempt that is done, if that still is so.
    pub fn done(&mut self, now: f64, turn: u64, ends: &mut Ends) -> Option<Token> {
        let place = self.running.iter().position(|running| running.turn == turn)?;
        let job = self.running.swap_remove(place).job;
        self.put_off += job.puts_off;
        self.go_on(now, ends);
        (job.token != 0).then_some(job.token)
    }

    /// Drops an attempt that was called off: its work stops.
    pub fn drop_attempt(&mut self, now: f64, token: Token, ends: &mut Ends) {
        self.waiting.retain(|job| job.token != token);
        self.running.retain(|running| running.job.token != token);
        self.go_on(now, ends);
    }

    /// Stands still for its pause; when the next one comes.
    pub fn pause(&mut self, now: f64, ends: &mut Ends) -> f64 {
        let length = self.spec.pause;
        self.still = now + length;
        for running in &mut self.running {
            self.turn += 1;
            running.turn = self.turn;
            running.ends += length;
            ends.push((running.ends, self.turn));
        }
        now + length + self.spec.pause_every
    }

    /// Does what writes have put off, before all that waits; when the next round comes.
    pub fn flush(&mut self, now: f64, ends: &mut Ends) -> f64 {
        let work = std::mem::take(&mut self.put_off);
        if work > 0.0 {
            self.waiting.push_front(Job { token: 0, work, puts_off: 0.0 });
            self.go_on(now, ends);
        }
        now + self.spec.flush_every
    }
}

#[cfg(test)]
mod tests;
