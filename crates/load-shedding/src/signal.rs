//! The signals of a head, and how old their readings are. A reading that is stale or missing is reported as such: it
//! counts neither for a level nor against it.

use std::collections::BTreeMap;
use std::fmt;

/// What a reading or a level belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Scope {
    /// The whole head.
    Head,
    /// One zone, by its number.
    Zone(u16),
}

/// Which request classes a reading is about.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum ClassSelector {
    /// The worst of all classes that have a fresh reading.
    Worst,
    /// One class, by its number.
    Class(usize),
}

/// A quantity that is measured.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Signal {
    /// Fraction of the work within its volume's reserve that met the latency objective of its class; low is bad.
    ObjectiveMet(ClassSelector),
    /// Mean delay of that work, in multiples of its class's latency objective.
    Delay(ClassSelector),
    /// Pending requests, as a fraction of the most that clients can have open at this head.
    Pending,
    /// Age of the oldest pending request, as a fraction of its client's timeout.
    OldestPendingAge,
    /// Nodes that are silent or fail, as a fraction of those whose state is known.
    NodesLost,
    /// Seconds since the usage reports last brought something new.
    ReportLag,
    /// Fraction of the memory for bodies in use.
    Memory,
    /// Fraction of the descriptors in use.
    Descriptors,
    /// Attempts for each request that was sent at all.
    Attempts,
    /// Fraction of one core that the scheduler takes.
    SchedulerCpu,
}

/// Name of [`Signal::ObjectiveMet`] in settings and reports.
const OBJECTIVE_MET_NAME: &str = "aims";
/// Name of [`Signal::Delay`] in settings and reports.
const DELAY_NAME: &str = "delay";
/// Signals without a class, by the name they have in settings and reports.
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

/// Highest threshold of a signal that is a fraction.
const MAX_FRACTION: f64 = 1.0;
/// Highest threshold of a signal in seconds: an hour.
const MAX_SECONDS: f64 = 3600.0;
/// Highest threshold of any other signal; higher ones are mistakes.
const MAX_RATIO: f64 = 100.0;

impl Signal {
    /// Parses a signal's name in settings: `aims` and `delay` for the worst class, `aims.NAME` for one.
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

    /// The signal's name in settings; [`Signal::parse`] reads it back.
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

    /// Whether a low value is the bad one.
    pub fn low_is_bad(self) -> bool {
        matches!(self, Signal::ObjectiveMet(_))
    }

    /// Whether a value is at a threshold or on its bad side.
    pub fn is_breached(self, value: f64, threshold: f64) -> bool {
        if self.low_is_bad() { value <= threshold } else { value >= threshold }
    }

    /// Whether a value is at a threshold or on its good side.
    pub fn is_recovered(self, value: f64, threshold: f64) -> bool {
        if self.low_is_bad() { value >= threshold } else { value <= threshold }
    }

    /// The highest threshold that settings may give; the lowest is 0.
    pub fn max_threshold(self) -> f64 {
        match self {
            Signal::ObjectiveMet(_) | Signal::NodesLost | Signal::Memory | Signal::Descriptors => {
                MAX_FRACTION
            }
            Signal::ReportLag => MAX_SECONDS,
            _ => MAX_RATIO,
        }
    }

    /// The same signal of one class, where the signal has classes.
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

/// A reading as it stands at a moment.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ReadingState {
    /// Young enough to be used.
    Fresh(f64),
    /// Too old to be used.
    Stale {
        /// The last value.
        value: f64,
        /// Its age in seconds.
        age_s: f64,
    },
    /// Never read.
    Missing,
}

impl ReadingState {
    /// The value, if it is fresh.
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

/// One reading.
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
    /// Records a reading. One that is not a number, or older than the recorded one, is ignored.
    pub fn record(&mut self, scope: Scope, signal: Signal, value: f64, read_at: f64) {
        if !value.is_finite() || !read_at.is_finite() {
            return;
        }
        let known = self.latest.get(&(scope, signal));
        if known.is_none_or(|known| read_at >= known.read_at) {
            self.latest.insert((scope, signal), Reading { value, read_at });
        }
    }

    /// A reading as it stands now, stale past `stale_s` seconds. For the worst class: the worst fresh reading or,
    /// where none is fresh, the youngest stale one.
    pub fn state(&self, scope: Scope, signal: Signal, now: f64, stale_s: f64) -> ReadingState {
        let (Signal::ObjectiveMet(ClassSelector::Worst) | Signal::Delay(ClassSelector::Worst)) = signal
        else {
            return self.recorded_state(scope, signal, now, stale_s);
        };
        let all_classes = (scope, signal.with_class(0))..=(scope, signal.with_class(usize::MAX));
        let mut worst = ReadingState::Missing;
        for (_, classed_signal) in self.latest.range(all_classes).map(|(key, _)| *key) {
            let state = self.recorded_state(scope, classed_signal, now, stale_s);
            worst = worse(signal, worst, state);
        }
        worst
    }

    /// The signals that have been read in a scope.
    pub fn signals(&self, scope: Scope) -> impl Iterator<Item = Signal> {
        self.latest.keys().filter(move |(known, _)| *known == scope).map(|(_, signal)| *signal)
    }

    /// Removes all readings of a scope.
    pub fn remove_scope(&mut self, scope: Scope) {
        self.latest.retain(|(known, _), _| *known != scope);
    }

    fn recorded_state(&self, scope: Scope, signal: Signal, now: f64, stale_s: f64) -> ReadingState {
        let Some(reading) = self.latest.get(&(scope, signal)) else {
            return ReadingState::Missing;
        };
        let age_s = now - reading.read_at;
        if age_s <= stale_s {
            ReadingState::Fresh(reading.value)
        } else {
            ReadingState::Stale { value: reading.value, age_s }
        }
    }
}

/// The worse of two readings of a signal; a fresh one counts before a stale one, a younger stale one before an older.
fn worse(signal: Signal, worst: ReadingState, other: ReadingState) -> ReadingState {
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
