//! Load shedding in a running head: evaluates the signals once a period, logs each transition, keeps the levels in a
//! file for the process that follows, and carries out operators' overrides. What is decided, and how, is in
//! `flaxgap_load_shedding` and [`monitor`](crate::shedding::monitor).

use crate::core::{Dispatcher, seconds};
use crate::lifecycle::Lifecycle;
use crate::resources::descriptors::DescriptorBudget;
use crate::resources::memory::BodyMemory;
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

/// Period of the loop where load shedding is off: it waits for settings.
const IDLE_PERIOD: Duration = Duration::from_secs(3600);
/// Pause after new settings: ones that change all the time must not keep the core busy.
const RELOAD_PAUSE: Duration = Duration::from_millis(1);

/// What a [`SheddingController`] works with.
pub struct ControllerParts {
    /// Holds the monitor and notifies the scheduler.
    pub dispatcher: Rc<Dispatcher>,
    /// The descriptors in use.
    pub descriptors: Rc<DescriptorBudget>,
    /// The memory in use.
    pub memory: Rc<BodyMemory>,
    /// Whether a newer process has taken over.
    pub lifecycle: Rc<Lifecycle>,
    /// The scheduler's settings.
    pub scheduler: SchedulerSettings,
    /// Where levels are kept for the next process.
    pub level_file: LevelFile,
}

/// Load shedding of a running head. The levels themselves are in the dispatcher's [`LoadMonitor`].
pub struct SheddingController {
    parts: ControllerParts,
    /// None while load shedding is off.
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

    /// Puts other settings in force; none switches load shedding off. Levels go on where they can. Returns true if
    /// the monitor is new, and has to be notified of the nodes.
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

    /// Evaluates once a period, for as long as it is polled.
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

    /// Calls with the monitor and the time; none where load shedding is off.
    fn with_monitor<R>(&self, call: impl FnOnce(&mut LoadMonitor, f64) -> R) -> Option<R> {
        self.parts.dispatcher.with_load_monitor(call)
    }

    /// Logs each transition, and saves the levels if there is one or if the file is old.
    fn handle_transitions(&self, transitions: &[LevelTransition]) {
        for transition in transitions {
            let LevelTransition { scope, from, to, .. } = transition;
            log::warn!(event = "level", scope:%, from:%, to:%; "levels: {transition}");
        }
        // Once a newer process serves, it writes the file.
        if self.parts.lifecycle.should_reconnect() {
            return;
        }
        let now = self.now();
        if !transitions.is_empty() || self.is_rewrite_due(now) {
            self.save(now);
        }
    }

    /// Whether the file is old and says anything but `normal`.
    fn is_rewrite_due(&self, now: f64) -> bool {
        if !self.parts.level_file.is_rewrite_due(now) {
            return false;
        }
        let counts = self.with_monitor(|monitor, _| monitor.levels().level_counts());
        counts.unwrap_or_default() != LevelCounts::default()
    }

    fn save(&self, now: f64) {
        if !self.parts.level_file.is_kept() {
            return;
        }
        if let Some(state) = self.with_monitor(|monitor, now| monitor.levels().save(now)) {
            self.parts.level_file.save(now, &state);
        }
    }

    /// Takes over an override that the other process of this head has set or released.
    pub fn reload_overrides(&self) {
        let Some(saved) = self.parts.level_file.load() else { return };
        let transitions =
            self.with_monitor(|monitor, now| monitor.levels_mut().follow_overrides(now, &saved));
        self.handle_transitions(&transitions.unwrap_or_default());
    }

    /// The body of `GET /ops/levels`; none where load shedding is off.
    pub fn status_json(&self) -> Option<String> {
        let status = self.with_monitor(|monitor, now| monitor.levels().status(now))?;
        Some(match serde_json::to_string_pretty(&status) {
            Ok(text) => text + "\n",
            Err(error) => format!("{{\"error\":\"{error}\"}}\n"),
        })
    }

    /// Sets a level for an operator; `scope` is `head` or a zone's name. None where load shedding is off.
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

    /// Ends an override before it expires; `scope` is `head` or a zone's name. None where load shedding is off.
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

    /// Saves an operator's change before it is answered, and notifies the scheduler at once.
    fn apply_override(&self, result: &Result<LevelTransition, OverrideError>) {
        if let Ok(transition) = result {
            self.handle_transitions(std::slice::from_ref(transition));
            self.save(self.now());
            self.parts.dispatcher.apply_shedding_level();
        }
    }
}
