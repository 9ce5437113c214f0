//! Load shedding in the dispatcher: the monitor that observes the scheduler, and the shedding levels that it sets.

use crate::core::{Clock, Dispatcher};
use crate::metrics::counters::SheddingGauges;
use crate::scheduler::{Action, Event, SheddingLevel};
use crate::shedding::monitor::{LoadMonitor, ResourceGauges};
use flaxgap_load_shedding::report::LevelTransition;
use std::cell::{Cell, RefCell};
use std::time::Duration;

/// The load monitor, if load shedding is on, and the scheduler time that is one of its signals.
#[derive(Default)]
pub(super) struct SheddingState {
    monitor: RefCell<Option<LoadMonitor>>,
    /// Total duration of the scheduler's runs since the monitor was set.
    scheduler_time: Cell<Duration>,
}

impl SheddingState {
    fn set_monitor(&self, monitor: Option<LoadMonitor>) {
        self.monitor.replace(monitor);
        self.scheduler_time.set(Duration::ZERO);
    }

    fn with_monitor<R>(&self, visit: impl FnOnce(&mut LoadMonitor) -> R) -> Option<R> {
        self.monitor.borrow_mut().as_mut().map(visit)
    }

    /// Records a run of the scheduler that started at `started_at` and ends now.
    pub(super) fn record_run(&self, started_at: f64, clock: Clock, events: &[Event], actions: &[Action]) {
        self.with_monitor(|monitor| {
            let run_time = Duration::from_secs_f64((clock.now() - started_at).max(0.0));
            self.scheduler_time.set(self.scheduler_time.get() + run_time);
            monitor.record(started_at, events, actions);
        });
    }
}

impl Dispatcher {
    /// Sets the monitor that determines the shedding levels from now on, and resets the level so that nothing is shed.
    /// `None` turns load shedding off.
    pub fn set_load_monitor(&self, monitor: Option<LoadMonitor>) {
        self.shedding.set_monitor(monitor);
        self.counters.set_shedding(SheddingGauges::default());
        self.notify(&[Event::SheddingLevelChanged(SheddingLevel::default())]);
    }

    /// Calls `visit` with the load monitor and the current time on the scheduler's clock. Returns `None` if load
    /// shedding is off.
    pub fn with_load_monitor<R>(&self, visit: impl FnOnce(&mut LoadMonitor, f64) -> R) -> Option<R> {
        let now = self.clock().now();
        self.shedding.with_monitor(|monitor| visit(monitor, now))
    }

    /// Notifies the scheduler of the shedding level in force, if it has changed since the last notification.
    pub fn apply_shedding_level(&self) {
        let changed_level = self.with_load_monitor(|monitor, now| monitor.take_level_update(now)).flatten();
        if let Some(level) = changed_level {
            self.notify(&[Event::SheddingLevelChanged(level)]);
        }
    }

    /// Evaluates the load signals, notifies the scheduler of a changed level and returns the level transitions.
    /// `memory` and `descriptors` are the fractions in use.
    pub fn evaluate_shedding(&self, memory: f64, descriptors: f64) -> Vec<LevelTransition> {
        let scheduler_cpu_s = self.shedding.scheduler_time.get().as_secs_f64();
        let gauges = ResourceGauges { memory, descriptors, scheduler_cpu_s };
        let evaluation = self.with_load_monitor(|monitor, now| {
            let queue = self.queue.borrow();
            self.counters.withheld.raise_to(queue.scheduler.shed_requests());
            let evaluation = monitor.evaluate(now, queue.scheduler.reserved_work_stats(), gauges);
            self.update_shedding_counters(monitor);
            evaluation
        });
        let evaluation = evaluation.unwrap_or_default();
        if let Some(level) = evaluation.level_update {
            self.notify(&[Event::SheddingLevelChanged(level)]);
        }
        evaluation.transitions
    }

    fn update_shedding_counters(&self, monitor: &LoadMonitor) {
        let counts = monitor.levels().level_counts();
        self.counters.set_shedding(SheddingGauges {
            head_level: counts.head_level as u64,
            reduced_zones: counts.reduced_zones as u64,
            overrides: counts.overrides as u64,
        });
        self.counters.level_changes.raise_to(monitor.levels().total_transitions());
    }
}
