//! The scheduler and its reference implementation, driven by the same events.

use super::reference;
use flaxgap::Scheduler;
use flaxgap::scheduler::{Action, Event, SchedulerSettings};

/// The scheduler and its reference implementation, in the same state.
pub struct Pair {
    current: Scheduler,
    reference: reference::Scheduler,
}

impl Pair {
    /// Creates both with the same settings and seed.
    pub fn new(config: SchedulerSettings, seed: u64, now: f64) -> Pair {
        let current = Scheduler::new(config.clone(), seed, now).expect("settings that can be served");
        let reference = reference::Scheduler::new(config, seed, now).expect("settings that can be served");
        Pair { current, reference }
    }

    /// Passes `events` to both, asserts that they return identical actions, and returns these.
    pub fn handle(&mut self, now: f64, events: &[Event]) -> Vec<Action> {
        let (mut current, mut reference) = (Vec::new(), Vec::new());
        self.current.handle(now, events, &mut current);
        self.reference.handle(now, events, &mut reference);
        assert!(
            current.len() == reference.len()
                && current.iter().zip(&reference).all(|(current, reference)| identical(current, reference)),
            "at {now} on {events:?}:\n  current {current:?}\nreference {reference:?}"
        );
        current
    }

    /// Asserts that the counters of both agree, and returns how many requests were shed by a shedding level.
    pub fn agreed_shed_requests(&self) -> u64 {
        assert_eq!(self.current.reserved_work_stats(), self.reference.kept());
        assert_eq!(self.current.shed_requests(), self.reference.withheld());
        self.current.shed_requests()
    }
}

/// Returns whether two actions are equal, with times compared bit for bit.
fn identical(current: &Action, reference: &Action) -> bool {
    let time = |action: &Action| match action {
        Action::Send { expires_at, .. } => expires_at.to_bits(),
        Action::Reject { retry_after_s: wait, .. } => wait.to_bits(),
        Action::WakeUp { delay_s: delay } => delay.to_bits(),
        _ => 0,
    };
    // NaN compares unequal to itself, so equal bits with a NaN time fall back to the debug text.
    time(current) == time(reference)
        && (current == reference || format!("{current:?}") == format!("{reference:?}"))
}
