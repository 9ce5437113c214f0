//! The module and its reference, given the same events.

use super::reference;
use flaxgap::Scheduler;
use flaxgap::scheduler::{Action, Event, SchedulerSettings};

/// Both, side by side.
pub struct Pair {
    new: Scheduler,
    old: reference::Scheduler,
}

impl Pair {
    /// Both with the same settings and seed.
    pub fn new(config: SchedulerSettings, seed: u64, now: f64) -> Pair {
        let new = Scheduler::new(config.clone(), seed, now).expect("settings that can be served");
        let old = reference::Scheduler::new(config, seed, now).expect("settings that can be served");
        Pair { new, old }
    }

    /// Tells both, and asserts that they arrival for the same.
    pub fn handle(&mut self, now: f64, events: &[Event]) -> Vec<Action> {
        let (mut new, mut old) = (Vec::new(), Vec::new());
        self.new.handle(now, events, &mut new);
        self.old.handle(now, events, &mut old);
        assert!(
            new.len() == old.len() && new.iter().zip(&old).all(|(new, old)| same(new, old)),
            "at {now} on {events:?}:\n    now {new:?}\n before {old:?}"
        );
        new
    }

    /// Asserts that both have counted the same, and says how many requests a level shed.
    pub fn agreed_shed_requests(&self) -> u64 {
        assert_eq!(self.new.reserved_work_stats(), self.old.kept());
        assert_eq!(self.new.shed_requests(), self.old.withheld());
        self.new.shed_requests()
    }
}

/// Whether two actions are equal to the last bit of their times.
fn same(new: &Action, old: &Action) -> bool {
    let time = |action: &Action| match action {
        Action::Send { expires_at, .. } => expires_at.to_bits(),
        Action::Reject { retry_after_s: wait, .. } => wait.to_bits(),
        Action::WakeUp { delay_s: delay } => delay.to_bits(),
        _ => 0,
    };
    // A time that is no number is unequal to itself, though its bits agree.
    time(new) == time(old) && (new == old || format!("{new:?}") == format!("{old:?}"))
}
