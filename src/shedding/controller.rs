//! Levels of reduced service in a running head: looks at the signals once a period, logs what changed, keeps it in
//! the head's folder for the process that follows, and answers operators. What is decided, and how, is in
//! `flaxgap_load_shedding` and `watch`.

use crate::core::{Dispatcher, seconds};
use crate::lifecycle::Lifecycle;
use crate::resources::descriptors::DescriptorBudget;
use crate::resources::memory::BodyMemory;
use crate::shedding::monitor::LoadMonitor;
use flaxgap_load_shedding::governor::PinError;
use flaxgap_load_shedding::report::{Carry, Change};
use flaxgap_load_shedding::{Governor, Settings};
use std::cell::{Cell, RefCell};
use std::io;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::{sleep, timeout};

/// How often the file is written anew while a level is in force: it tells how old what it says is.
const REWRITTEN: f64 = 2.0;
/// Pause where levels are off.
const IDLE: Duration = Duration::from_secs(3600);

/// A level that an operator wants held.
#[derive(Clone, Debug, PartialEq)]
pub struct Hold {
    /// `head`, or a hall's name.
    pub scope: String,
    /// The level.
    pub level: String,
    /// For how long.
    pub seconds: f64,
    /// Who.
    pub who: String,
    /// Why.
    pub why: String,
}

/// The levels of a running head.
pub struct SheddingController {
    dispatcher: Rc<Dispatcher>,
    budget: Rc<DescriptorBudget>,
    memory: Rc<BodyMemory>,
    phases: Rc<Lifecycle>,
    module: crate::scheduler::SchedulerSettings,
    settings: RefCell<Option<Settings>>,
    path: Option<PathBuf>,
    written: Cell<f64>,
    changed: Notify,
}

impl SheddingController {
    /// Levels that are off. `folder` is where processes of one head leave word to each other.
    pub fn new(
        dispatcher: Rc<Dispatcher>,
        budget: Rc<DescriptorBudget>,
        memory: Rc<BodyMemory>,
        phases: Rc<Lifecycle>,
        module: crate::scheduler::SchedulerSettings,
        (folder, name): (Option<&Path>, &str),
    ) -> Rc<SheddingController> {
        let path = folder.map(|folder| folder.join(format!("flaxgap-{name}.levels")));
        let (settings, written, changed) = Default::default();
        Rc::new(SheddingController {
            dispatcher,
            budget,
            memory,
            phases,
            module,
            settings,
            path,
            written,
            changed,
        })
    }

    /// Other settings hold from now on; none switches levels off. What is in force goes on where it can. True if
    /// the monitor is new, and has to be told of the nodes.
    pub fn configure(&self, settings: Option<Settings>) -> bool {
        let before = self.settings.replace(settings.clone());
        let now = self.dispatcher.clock().now();
        self.changed.notify_one();
        match (before, settings) {
            (None, None) => false,
            (Some(_), None) => {
                log::info!("levels: off");
                self.dispatcher.monitor(None);
                false
            }
            (Some(before), Some(settings)) => {
                if before != settings {
                    let changes = self.dispatcher.monitored(|monitor, now| monitor.configure(settings, now));
                    self.note(&changes.unwrap_or_default());
                }
                false
            }
            (None, Some(settings)) => {
                let mut governor = Governor::new(settings, now);
                if let Some(carry) = self.read() {
                    governor.resume(now, carry);
                }
                let rungs = governor.rungs();
                log::info!("levels: on, the head at rung {}, {} halls reduced", rungs.0, rungs.1);
                self.dispatcher.monitor(Some(LoadMonitor::new(governor, &self.module, now)));
                true
            }
        }
    }

    /// Looks once a period, for as long as it is polled.
    pub async fn keep(&self) {
        loop {
            let period = self.settings.borrow().as_ref().map_or(IDLE, |settings| seconds(settings.period));
            if timeout(period, self.changed.notified()).await.is_err() {
                let changes = self.dispatcher.look(self.memory.used(), self.budget.used());
                self.note(&changes);
            } else {
                // Settings that change all the time must not keep the core busy.
                sleep(Duration::from_millis(1)).await;
            }
        }
    }

    /// One log line a change, and the file anew.
    fn note(&self, changes: &[Change]) {
        for change in changes {
            let (scope, from, to) = (&change.scope, &change.from, &change.to);
            log::warn!(event = "level", scope:%, from:%, to:%; "levels: {change}");
        }
        let now = self.dispatcher.clock().now();
        let due = || {
            let in_force = |monitor: &mut LoadMonitor, _| {
                let governor = monitor.governor();
                governor.rungs() != (0, 0) || governor.pinned() > 0
            };
            now - self.written.get() >= REWRITTEN && self.dispatcher.monitored(in_force).unwrap_or(false)
        };
        // A newer process in service writes in this one's place.
        if !self.phases.leaving() && (!changes.is_empty() || due()) {
            self.save(now);
        }
    }

    fn save(&self, now: f64) {
        let Some(path) = &self.path else { return };
        let Some(carry) = self.dispatcher.monitored(|monitor, now| monitor.governor().carry(now)) else {
            return;
        };
        let draft = path.with_extension("levels-draft");
        let write = || {
            std::fs::write(&draft, serde_json::to_vec(&carry)?)?;
            std::fs::rename(&draft, path)
        };
        match write() {
            Ok(()) => self.written.set(now),
            Err(problem) => log::error!("levels: {}: {problem}; not kept for a restart", path.display()),
        }
    }

    /// What an older process left. A file that can't be read is no reason not to serve.
    fn read(&self) -> Option<Carry> {
        let path = self.path.as_ref()?;
        let read =
            std::fs::read(path).and_then(|text| serde_json::from_slice(&text).map_err(io::Error::from));
        match read {
            Ok(carry) => Some(carry),
            Err(problem) if problem.kind() == io::ErrorKind::NotFound => None,
            Err(problem) => {
                log::error!("levels: {}: {problem}; begun at normal", path.display());
                None
            }
        }
    }

    /// The other process of this head has changed a pin.
    pub fn pins_changed(&self) {
        let Some(carry) = self.read() else { return };
        let changes =
            self.dispatcher.monitored(|monitor, now| monitor.governor_mut().follow_pins(now, &carry));
        self.note(&changes.unwrap_or_default());
    }

    /// What operators are shown, as JSON; none where levels are off.
    pub fn status(&self) -> Option<String> {
        let status = self.dispatcher.monitored(|monitor, now| monitor.governor().status(now))?;
        let text = serde_json::to_string_pretty(&status);
        Some(text.map_or_else(|problem| format!("{{\"error\":\"{problem}\"}}\n"), |text| text + "\n"))
    }

    /// Holds a level for an operator; none where levels are off.
    pub fn pin(&self, hold: &Hold) -> Option<Result<Change, PinError>> {
        let pinned = self.dispatcher.monitored(|monitor, now| {
            let governor = monitor.governor_mut();
            let scope = governor.scope(&hold.scope)?;
            governor.pin(now, scope, &hold.level, hold.seconds, &hold.who, &hold.why)
        });
        self.called(pinned)
    }

    /// Ends a hold before its time; none where levels are off.
    pub fn release(&self, scope: &str, who: &str, why: &str) -> Option<Result<Change, PinError>> {
        let released = self.dispatcher.monitored(|monitor, now| {
            let governor = monitor.governor_mut();
            let scope = governor.scope(scope)?;
            governor.release(now, scope, who, why)
        });
        self.called(released)
    }

    /// An operator's call is saved before it is answered, and the module hears of it at once.
    fn called(&self, done: Option<Result<Change, PinError>>) -> Option<Result<Change, PinError>> {
        if let Some(Ok(change)) = &done {
            self.note(std::slice::from_ref(change));
            self.save(self.dispatcher.clock().now());
            self.dispatcher.apply_level();
        }
        done
    }
}
