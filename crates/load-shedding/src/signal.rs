//! What can be read of a head, and how old a reading is. A reading that is stale or was never there is said to be
//! so: it is neither good news nor bad.

use std::collections::BTreeMap;
use std::fmt;

/// Whose reading or level it is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Scope {
    /// The whole head's.
    Head,
    /// Of one hall (zone), by its number.
    Hall(u16),
}

/// Which classes a reading is about.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Of {
    /// The worst of all classes that have a fresh reading.
    Worst,
    /// One class, by its number.
    Class(usize),
}

/// One thing that is read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Signal {
    /// Part of the work inside its volume's reserve that was served within its class's aim; 0 to 1, low is bad.
    Aims(Of),
    /// Mean delay of that work, in multiples of its class's aim.
    Delay(Of),
    /// Requests in hand, as a part of the most that clients can have open here.
    Held,
    /// Age of the request held longest, as a part of its client's wait.
    HeldAge,
    /// Nodes that are silent or fail, as a part of those of which something is known.
    NodesLost,
    /// Seconds since the use reports last told something new.
    ReportLag,
    /// Part of the memory for bodies in use.
    Memory,
    /// Part of the descriptors in use.
    Descriptors,
    /// Attempts for each request that was sent at all.
    Attempts,
    /// Part of the core that the decision module takes.
    ModuleCpu,
}

/// Signals without a class, by the name they have in settings and reports.
const PLAIN: [(&str, Signal); 8] = [
    ("held", Signal::Held),
    ("held_age", Signal::HeldAge),
    ("nodes_lost", Signal::NodesLost),
    ("report_lag_s", Signal::ReportLag),
    ("memory", Signal::Memory),
    ("descriptors", Signal::Descriptors),
    ("attempts", Signal::Attempts),
    ("module_cpu", Signal::ModuleCpu),
];

impl Signal {
    /// The signal of a name: `aims` and `delay` for the worst class, `aims.NAME` for one.
    pub fn parse(name: &str, classes: &[String]) -> Option<Signal> {
        if let Some((_, signal)) = PLAIN.iter().find(|(known, _)| *known == name) {
            return Some(*signal);
        }
        let (kind, of) = match name.split_once('.') {
            Some((kind, class)) => (kind, Of::Class(classes.iter().position(|known| known == class)?)),
            None => (name, Of::Worst),
        };
        match kind {
            "aims" => Some(Signal::Aims(of)),
            "delay" => Some(Signal::Delay(of)),
            _ => None,
        }
    }

    /// Its name; [`Signal::parse`] reads it back.
    pub fn name(self, classes: &[String]) -> String {
        let of = |kind: &str, of| match of {
            Of::Worst => kind.to_string(),
            Of::Class(class) => match classes.get(class) {
                Some(name) => format!("{kind}.{name}"),
                None => format!("{kind}.{class}"),
            },
        };
        match self {
            Signal::Aims(class) => of("aims", class),
            Signal::Delay(class) => of("delay", class),
            other => PLAIN.iter().find(|(_, s)| *s == other).map_or("", |(name, _)| name).to_string(),
        }
    }

    /// Whether a low value is the bad one.
    pub fn low_is_bad(self) -> bool {
        matches!(self, Signal::Aims(_))
    }

    /// Whether a value is at a threshold or past it on the bad side.
    pub fn past(self, value: f64, threshold: f64) -> bool {
        if self.low_is_bad() { value <= threshold } else { value >= threshold }
    }

    /// Whether a value is at a threshold or on its good side.
    pub fn clear(self, value: f64, threshold: f64) -> bool {
        if self.low_is_bad() { value >= threshold } else { value <= threshold }
    }

    /// The most that a threshold may say; 0 is the least.
    pub fn most(self) -> f64 {
        match self {
            Signal::Aims(_) | Signal::NodesLost | Signal::Memory | Signal::Descriptors => 1.0,
            Signal::ReportLag => 3600.0,
            _ => 100.0,
        }
    }

    /// The classes of it that have readings of their own.
    fn of(self, class: usize) -> Signal {
        match self {
            Signal::Aims(_) => Signal::Aims(Of::Class(class)),
            Signal::Delay(_) => Signal::Delay(Of::Class(class)),
            other => other,
        }
    }
}

/// A reading as it stands at a moment.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum State {
    /// Young enough to go by.
    Fresh(f64),
    /// Too old: what it said last, and how many seconds ago.
    Stale(f64, f64),
    /// Never read.
    Missing,
}

impl State {
    /// The value to go by, if there is one.
    pub fn fresh(self) -> Option<f64> {
        if let State::Fresh(value) = self { Some(value) } else { None }
    }
}

impl fmt::Display for State {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            State::Fresh(value) => write!(f, "{value:.3}"),
            State::Stale(value, age) => write!(f, "stale ({value:.3}, {age:.1} s ago)"),
            State::Missing => f.write_str("missing"),
        }
    }
}

/// The latest reading of everything.
#[derive(Clone, Debug, Default)]
pub struct Readings {
    latest: BTreeMap<(Scope, Signal), (f64, f64)>,
}

impl Readings {
    /// Takes a reading in. One that is not a number, or older than the one that is there, is left out.
    pub fn read(&mut self, scope: Scope, signal: Signal, value: f64, at: f64) {
        let newer = self.latest.get(&(scope, signal)).is_none_or(|(_, known)| at >= *known);
        if value.is_finite() && at.is_finite() && newer {
            self.latest.insert((scope, signal), (value, at));
        }
    }

    /// A reading as it stands now, stale past `stale` seconds. The worst class is the worst fresh one; where none
    /// is fresh, the youngest stale one.
    pub fn state(&self, scope: Scope, signal: Signal, now: f64, stale: f64) -> State {
        let one = |signal| match self.latest.get(&(scope, signal)) {
            None => State::Missing,
            Some((value, at)) if now - at <= stale => State::Fresh(*value),
            Some((value, at)) => State::Stale(*value, now - at),
        };
        let (Signal::Aims(Of::Worst) | Signal::Delay(Of::Worst)) = signal else { return one(signal) };
        let mut worst = State::Missing;
        for (known, _) in self.latest.range((scope, signal.of(0))..=(scope, signal.of(usize::MAX))) {
            let state = one(known.1);
            worst = match (worst, state) {
                (State::Fresh(a), State::Fresh(b)) => State::Fresh(if signal.past(b, a) { b } else { a }),
                (State::Fresh(a), _) => State::Fresh(a),
                (State::Stale(_, age), State::Stale(_, younger)) if younger >= age => worst,
                (_, state) => state,
            };
        }
        worst
    }

    /// What there is of a scope, by signal.
    pub fn of(&self, scope: Scope) -> impl Iterator<Item = Signal> {
        self.latest.keys().filter(move |(of, _)| *of == scope).map(|(_, signal)| *signal)
    }

    /// Forgets a scope.
    pub fn forget(&mut self, scope: Scope) {
        self.latest.retain(|(of, _), _| *of != scope);
    }
}

#[cfg(test)]
mod tests;
