//! The signals of a head and their latest readings. A stale or missing reading satisfies no condition.

use std::collections::BTreeMap;
use std::fmt;

/// The part of the installation that a reading or a level applies to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Scope {
    /// The whole head.
    Head,
    /// The zone with this number.
    Zone(u16),
}

/// The request classes that a signal covers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum ClassSelector {
    /// The class with the worst fresh reading.
    Worst,
    /// The class with this number.
    Class(usize),
}

/// A measured quantity that levels can depend on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Signal {
    /// Fraction of the requests within their volume's reserve that met the latency objective of their class. The only
    /// signal of which a low value is bad.
    ObjectiveMet(ClassSelector),
    /// Mean delay of the requests within their volume's reserve, in multiples of their class's latency objective.
    Delay(ClassSelector),
    /// Pending requests, as a fraction of the maximum that clients can have open at this head.
    Pending,
    /// Highest age of a pending request, as a fraction of its client's timeout.
    OldestPendingAge,
    /// Silent or failing nodes, as a fraction of the nodes whose state is known.
    NodesLost,
    /// Seconds since the usage reports of nodes last contained new data.
    ReportLag,
    /// Fraction of the memory for request and response bodies that is in use.
    Memory,
    /// Fraction of the file descriptors that is in use.
    Descriptors,
    /// Mean number of attempts per request, over requests with at least one attempt.
    Attempts,
    /// CPU time of the scheduler, as a fraction of one core.
    SchedulerCpu,
}

/// Name of [`Signal::ObjectiveMet`] in settings and reports.
const OBJECTIVE_MET_NAME: &str = "aims";
/// Name of [`Signal::Delay`] in settings and reports.
const DELAY_NAME: &str = "delay";
/// The signals that are not measured by class, with their names in settings and reports.
const UNCLASSED_NAMES: [(&str, Signal); 8] = [
    ("held", Signal::Pending),
    ("held_age", Signal::OldestPendingAge),
    ("nodes_lost", Signal::NodesLost),
    ("report_lag_s", Signal::ReportLag),
    ("memory", Signal::Memory),
    ("descriptors", Signal::Descriptors),
    ("attempts", Signal::Attempts),
    ("module_cpu", Signal::SchedulerCpu),
];

/// Highest threshold accepted for a signal that is a fraction.
const MAX_FRACTION: f64 = 1.0;
/// Highest threshold accepted for a signal in seconds: one hour.
const MAX_SECONDS: f64 = 3600.0;
/// Highest threshold accepted for all other signals. Higher values are configuration mistakes.
const MAX_RATIO: f64 = 100.0;

impl Signal {
    /// Parses a signal's name in settings. `aims` and `delay` select the worst class, `aims.CLASS` and `delay.CLASS` a
    /// single one. Returns `None` for an unknown signal or class.
    pub fn parse(name: &str, classes: &[String]) -> Option<Signal> {
        if let Some((_, signal)) = UNCLASSED_NAMES.iter().find(|(known, _)| *known == name) {
            return Some(*signal);
        }
        let (kind, class) = match name.split_once('.') {
            Some((kind, class_name)) => {
                let class = classes.iter().position(|known| known == class_name)?;
                (kind, ClassSelector::Class(class))
            }
            None => (name, ClassSelector::Worst),
        };
        match kind {
            OBJECTIVE_MET_NAME => Some(Signal::ObjectiveMet(class)),
            DELAY_NAME => Some(Signal::Delay(class)),
            _ => None,
        }
    }

    /// The signal's name in settings, as accepted by [`Signal::parse`].
    pub fn name(self, classes: &[String]) -> String {
        match self {
            Signal::ObjectiveMet(class) => classed_name(OBJECTIVE_MET_NAME, class, classes),
            Signal::Delay(class) => classed_name(DELAY_NAME, class, classes),
            unclassed => {
                let entry = UNCLASSED_NAMES.iter().find(|(_, signal)| *signal == unclassed);
                entry.map_or("", |(name, _)| name).to_string()
            }
        }
    }

    /// Whether lower values of the signal are worse than higher ones.
    pub fn low_is_bad(self) -> bool {
        matches!(self, Signal::ObjectiveMet(_))
    }

    /// Whether a value is at the threshold or on its bad side.
    pub fn is_breached(self, value: f64, threshold: f64) -> bool {
        if self.low_is_bad() { value <= threshold } else { value >= threshold }
    }

    /// Whether a value is at the threshold or on its good side.
    pub fn is_recovered(self, value: f64, threshold: f64) -> bool {
        if self.low_is_bad() { value >= threshold } else { value <= threshold }
    }

    /// The highest threshold that settings may specify. The lowest is 0 for all signals.
    pub fn max_threshold(self) -> f64 {
        match self {
            Signal::ObjectiveMet(_) | Signal::NodesLost | Signal::Memory | Signal::Descriptors => {
                MAX_FRACTION
            }
            Signal::ReportLag => MAX_SECONDS,
            _ => MAX_RATIO,
        }
    }

    /// The same signal for one class. A signal without classes is returned unchanged.
    fn with_class(self, class: usize) -> Signal {
        match self {
            Signal::ObjectiveMet(_) => Signal::ObjectiveMet(ClassSelector::Class(class)),
            Signal::Delay(_) => Signal::Delay(ClassSelector::Class(class)),
            unclassed => unclassed,
        }
    }
}

fn classed_name(kind: &str, class: ClassSelector, classes: &[String]) -> String {
    match class {
        ClassSelector::Worst => kind.to_string(),
        ClassSelector::Class(number) => match classes.get(number) {
            Some(name) => format!("{kind}.{name}"),
            None => format!("{kind}.{number}"),
        },
    }
}

/// The state of a reading at a given time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ReadingState {
    /// The reading is recent enough to be evaluated.
    Fresh(f64),
    /// The reading is too old to be evaluated.
    Stale {
        /// The last value.
        value: f64,
        /// Age of the reading in seconds.
        age_s: f64,
    },
    /// The signal has not been read in this scope.
    Missing,
}

impl ReadingState {
    /// The value of a fresh reading, `None` for a stale or missing one.
    pub fn fresh_value(self) -> Option<f64> {
        if let ReadingState::Fresh(value) = self { Some(value) } else { None }
    }
}

impl fmt::Display for ReadingState {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ReadingState::Fresh(value) => write!(f, "{value:.3}"),
            ReadingState::Stale { value, age_s } => write!(f, "stale ({value:.3}, {age_s:.1} s ago)"),
            ReadingState::Missing => f.write_str("missing"),
        }
    }
}

/// A recorded value and its time, in seconds.
#[derive(Clone, Copy, Debug)]
struct Reading {
    value: f64,
    read_at: f64,
}

/// The latest reading of each signal in each scope.
#[derive(Clone, Debug, Default)]
pub struct Readings {
    latest: BTreeMap<(Scope, Signal), Reading>,
}

impl Readings {
    /// Records a reading. A value or time that is not finite is ignored, as is a reading older than the recorded one.
    pub fn record(&mut self, scope: Scope, signal: Signal, value: f64, read_at: f64) {
        if !value.is_finite() || !read_at.is_finite() {
            return;
        }
        let known = self.latest.get(&(scope, signal));
        if known.is_none_or(|known| read_at >= known.read_at) {
            self.latest.insert((scope, signal), Reading { value, read_at });
        }
    }

    /// Returns the state of a reading at `now`. Readings older than `stale_after_s` seconds are stale. For
    /// [`ClassSelector::Worst`], returns the worst fresh reading of any class or, if none is fresh, the most recent
    /// one.
    pub fn state(&self, scope: Scope, signal: Signal, now: f64, stale_after_s: f64) -> ReadingState {
        let (Signal::ObjectiveMet(ClassSelector::Worst) | Signal::Delay(ClassSelector::Worst)) = signal
        else {
            return self.recorded_state(scope, signal, now, stale_after_s);
        };
        let all_classes = (scope, signal.with_class(0))..=(scope, signal.with_class(usize::MAX));
        let mut worst = ReadingState::Missing;
        for (_, classed_signal) in self.latest.range(all_classes).map(|(key, _)| *key) {
            let state = self.recorded_state(scope, classed_signal, now, stale_after_s);
            worst = worse_reading(signal, worst, state);
        }
        worst
    }

    /// The signals that have a reading in the scope, fresh or stale.
    pub fn signals(&self, scope: Scope) -> impl Iterator<Item = Signal> {
        self.latest.keys().filter(move |(known, _)| *known == scope).map(|(_, signal)| *signal)
    }

    /// Removes all readings of the scope.
    pub fn remove_scope(&mut self, scope: Scope) {
        self.latest.retain(|(known, _), _| *known != scope);
    }

    fn recorded_state(&self, scope: Scope, signal: Signal, now: f64, stale_after_s: f64) -> ReadingState {
        let Some(reading) = self.latest.get(&(scope, signal)) else {
            return ReadingState::Missing;
        };
        let age_s = now - reading.read_at;
        if age_s <= stale_after_s {
            ReadingState::Fresh(reading.value)
        } else {
            ReadingState::Stale { value: reading.value, age_s }
        }
    }
}

/// Returns the worse of two readings of a signal. A fresh reading takes precedence over a stale one, and of two stale
/// readings the more recent one is returned.
fn worse_reading(signal: Signal, worst: ReadingState, other: ReadingState) -> ReadingState {
    match (worst, other) {
        (ReadingState::Fresh(value), ReadingState::Fresh(other_value)) => {
            let other_is_worse = signal.is_breached(other_value, value);
            ReadingState::Fresh(if other_is_worse { other_value } else { value })
        }
        (ReadingState::Fresh(_), _) => worst,
        (ReadingState::Stale { age_s, .. }, ReadingState::Stale { age_s: other_age_s, .. })
            if other_age_s >= age_s =>
        {
            worst
        }
        _ => other,
    }
}

#[cfg(test)]
mod tests;
