//! Runs load shedding in a head: evaluates the signals once per period, logs each transition, saves the levels to a
//! file for the next process, and applies operators' overrides. The signals are measured by
//! [`monitor`](crate::shedding::monitor), and the decisions about levels are made in `flaxgap_load_shedding`.

use crate::core::{Dispatcher, seconds};
use crate::lifecycle::Lifecycle;
use crate::resources::descriptors::DescriptorBudget;
use crate::resources::memory::MemoryBudget;
use crate::scheduler::SchedulerSettings;
use crate::shedding::level_file::LevelFile;
use crate::shedding::monitor::LoadMonitor;
use flaxgap_load_shedding::level_manager::LevelCounts;
use flaxgap_load_shedding::level_override::{OperatorNote, OverrideError, OverrideRequest};
use flaxgap_load_shedding::report::LevelTransition;
use flaxgap_load_shedding::{LevelManager, SheddingSettings};
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::{sleep, timeout};

/// Period of the evaluation loop while load shedding is off. New settings wake the loop earlier.
const IDLE_PERIOD: Duration = Duration::from_secs(3600);
/// Pause after a change of settings, so that settings that change continuously do not occupy the event loop.
const RELOAD_PAUSE: Duration = Duration::from_millis(1);

/// The dependencies of a [`SheddingController`].
pub struct ControllerParts {
    /// Owns the [`LoadMonitor`] and notifies the scheduler of the levels.
    pub dispatcher: Rc<Dispatcher>,
    /// Provides the fraction of descriptors in use.
    pub descriptors: Rc<DescriptorBudget>,
    /// Provides the fraction of body memory in use.
    pub memory: Rc<MemoryBudget>,
    /// Indicates whether a newer process has taken over.
    pub lifecycle: Rc<Lifecycle>,
    /// The scheduler's settings, from which the monitor takes classes and limits.
    pub scheduler: SchedulerSettings,
    /// The file that saves the levels for the next process.
    pub level_file: LevelFile,
}

/// Controls load shedding in a running head. The dispatcher's [`LoadMonitor`] contains the levels.
pub struct SheddingController {
    parts: ControllerParts,
    /// `None` while load shedding is off.
    settings: RefCell<Option<SheddingSettings>>,
    settings_changed: Notify,
}

impl SheddingController {
    /// Creates a controller with load shedding off.
    pub fn new(parts: ControllerParts) -> Rc<SheddingController> {
        Rc::new(SheddingController {
            parts,
            settings: RefCell::default(),
            settings_changed: Notify::default(),
        })
    }

    /// Applies new settings; `None` switches load shedding off. A level stays in force if the new settings have a level
    /// of the same name. Returns true if a new monitor was created, which the caller must notify of the nodes.
    pub fn configure(&self, settings: Option<SheddingSettings>) -> bool {
        let before = self.settings.replace(settings.clone());
        self.settings_changed.notify_one();
        match (before, settings) {
            (None, None) => false,
            (Some(_), None) => {
                self.switch_off();
                false
            }
            (Some(before), Some(settings)) => {
                if before != settings {
                    self.reconfigure(settings);
                }
                false
            }
            (None, Some(settings)) => {
                self.switch_on(settings);
                true
            }
        }
    }

    fn switch_off(&self) {
        log::info!("levels: off");
        self.parts.dispatcher.set_load_monitor(None);
    }

    fn switch_on(&self, settings: SheddingSettings) {
        let now = self.now();
        let mut levels = LevelManager::new(settings, now);
        if let Some(saved) = self.parts.level_file.load() {
            levels.restore(now, saved);
        }
        let LevelCounts { head_level, reduced_zones, .. } = levels.level_counts();
        log::info!("levels: on, head_level={head_level}, reduced_zones={reduced_zones}");
        let monitor = LoadMonitor::new(levels, &self.parts.scheduler, now);
        self.parts.dispatcher.set_load_monitor(Some(monitor));
    }

    fn reconfigure(&self, settings: SheddingSettings) {
        let transitions = self.with_monitor(|monitor, now| monitor.configure(settings, now));
        self.handle_transitions(&transitions.unwrap_or_default());
    }

    /// Evaluates the signals once per period. The future never completes.
    pub async fn run(&self) {
        loop {
            let period_s = self.settings.borrow().as_ref().map(|settings| settings.period_s);
            let period = period_s.map_or(IDLE_PERIOD, seconds);
            if timeout(period, self.settings_changed.notified()).await.is_err() {
                self.evaluate();
            } else {
                sleep(RELOAD_PAUSE).await;
            }
        }
    }

    fn evaluate(&self) {
        let ControllerParts { dispatcher, descriptors, memory, .. } = &self.parts;
        let transitions = dispatcher.evaluate_shedding(memory.used_fraction(), descriptors.used_fraction());
        self.handle_transitions(&transitions);
    }

    fn now(&self) -> f64 {
        self.parts.dispatcher.clock().now()
    }

    /// Calls `visit` with the monitor and the current time. Returns `None` if load shedding is off.
    fn with_monitor<R>(&self, visit: impl FnOnce(&mut LoadMonitor, f64) -> R) -> Option<R> {
        self.parts.dispatcher.with_load_monitor(visit)
    }

    /// Logs each transition, and saves the levels after a transition or when the file is due to be rewritten.
    fn handle_transitions(&self, transitions: &[LevelTransition]) {
        for transition in transitions {
            let LevelTransition { scope, from, to, .. } = transition;
            log::warn!(event = "level", scope:%, from:%, to:%; "levels: {transition}");
        }
        // Once a newer process is in service, only that process writes the file.
        if self.parts.lifecycle.should_reconnect() {
            return;
        }
        let now = self.now();
        if !transitions.is_empty() || self.is_rewrite_due(now) {
            self.save(now);
        }
    }

    /// Whether the file is due to be rewritten, which is the case only while a level or an override is in force.
    fn is_rewrite_due(&self, now: f64) -> bool {
        if !self.parts.level_file.is_rewrite_due(now) {
            return false;
        }
        let counts = self.with_monitor(|monitor, _| monitor.levels().level_counts());
        counts.unwrap_or_default() != LevelCounts::default()
    }

    fn save(&self, now: f64) {
        if !self.parts.level_file.is_enabled() {
            return;
        }
        if let Some(state) = self.with_monitor(|monitor, now| monitor.levels().save(now)) {
            self.parts.level_file.save(now, &state);
        }
    }

    /// Applies an override that the other process of this head has set or released, as saved in the file.
    pub fn reload_overrides(&self) {
        let Some(saved) = self.parts.level_file.load() else { return };
        let transitions =
            self.with_monitor(|monitor, now| monitor.levels_mut().follow_overrides(now, &saved));
        self.handle_transitions(&transitions.unwrap_or_default());
    }

    /// The response body of `GET /ops/levels`, or `None` if load shedding is off.
    pub fn status_json(&self) -> Option<String> {
        let status = self.with_monitor(|monitor, now| monitor.levels().status(now))?;
        Some(match serde_json::to_string_pretty(&status) {
            Ok(text) => text + "\n",
            Err(error) => format!("{{\"error\":\"{error}\"}}\n"),
        })
    }

    /// Sets an operator's override. `scope` is `head` or a zone's name. Returns `None` if load shedding is off.
    pub fn set_override(
        &self,
        scope: &str,
        request: &OverrideRequest,
    ) -> Option<Result<LevelTransition, OverrideError>> {
        let result = self.with_monitor(|monitor, now| {
            let levels = monitor.levels_mut();
            let scope = levels.scope(scope)?;
            levels.set_override(now, scope, request)
        })?;
        self.apply_override(&result);
        Some(result)
    }

    /// Releases an override before it expires. `scope` is `head` or a zone's name. Returns `None` if load shedding is
    /// off.
    pub fn release_override(
        &self,
        scope: &str,
        note: &OperatorNote,
    ) -> Option<Result<LevelTransition, OverrideError>> {
        let result = self.with_monitor(|monitor, now| {
            let levels = monitor.levels_mut();
            let scope = levels.scope(scope)?;
            levels.release_override(now, scope, note)
        })?;
        self.apply_override(&result);
        Some(result)
    }

    /// Logs and saves an operator's change before the request is answered, and notifies the scheduler immediately.
    fn apply_override(&self, result: &Result<LevelTransition, OverrideError>) {
        if let Ok(transition) = result {
            self.handle_transitions(std::slice::from_ref(transition));
            self.save(self.now());
            self.parts.dispatcher.apply_shedding_level();
        }
    }
}
