//! All levels of one head: the head's own and each hall's, what they let pass together, and their history.

use crate::ladder::{Ladder, Move};
use crate::report::{Carry, Change, Pin, Standing, Status, Why};
use crate::settings::{Passes, Settings};
use crate::signal::{Readings, Scope, Signal, State};
use std::collections::{BTreeMap, VecDeque};
use thiserror::Error;

/// Changes that are kept for operators.
const KEPT: usize = 100;
/// Longest that a pin may last, in seconds: a day.
pub const LONGEST_PIN: f64 = 86_400.0;
/// Longest name or reason that is kept, in characters.
const LONGEST_TEXT: usize = 200;
/// Seconds after which what another process left says nothing of the present.
const FRESH: f64 = 10.0;

/// A call that can't be followed.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum PinError {
    /// No such level.
    #[error("no level {0:?} here; there are {1}")]
    Level(String, String),
    /// No such hall.
    #[error("no hall {0:?}; known are {1}")]
    Hall(String, String),
    /// Who and why are required.
    #[error("{0} has to be said, in 1 to {LONGEST_TEXT} characters")]
    Text(&'static str),
    /// A time that makes no sense.
    #[error("a pin lasts from 1 to {LONGEST_PIN} seconds")]
    Time,
    /// Nothing to release.
    #[error("nobody holds the level of {0}")]
    Free(String),
}

/// What the levels in force let pass.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Effect {
    /// Everywhere.
    pub head: Passes,
    /// Of what only one hall can serve.
    pub halls: Vec<(u16, Passes)>,
    /// When the first of them could end at the earliest.
    pub until: f64,
}

/// The levels of one head.
#[derive(Clone, Debug)]
pub struct Governor {
    settings: Settings,
    readings: Readings,
    head: Ladder,
    halls: BTreeMap<u16, Ladder>,
    changes: VecDeque<Change>,
    total: u64,
    next: f64,
}

impl Governor {
    /// All at `normal`.
    pub fn new(settings: Settings, now: f64) -> Governor {
        let head = Ladder::new(settings.head.clone(), now);
        let (readings, halls, changes) = Default::default();
        Governor { settings, readings, head, halls, changes, total: 0, next: now }
    }

    /// What is settled.
    pub fn settings(&self) -> &Settings {
        &self.settings
    }

    /// Takes a reading in, made at `at`.
    pub fn read(&mut self, scope: Scope, signal: Signal, value: f64, at: f64) {
        if let Scope::Hall(hall) = scope {
            self.halls.entry(hall).or_insert_with(|| Ladder::new(self.settings.hall.clone(), at));
        }
        self.readings.read(scope, signal, value, at);
    }

    /// Whether a hall is at a level of its own: what it does not serve is no pressure on the head.
    pub fn reduced(&self, hall: u16) -> bool {
        self.halls.get(&hall).is_some_and(|ladder| ladder.at() > 0)
    }

    /// When the next look is due.
    pub fn next_look(&self) -> f64 {
        self.next
    }

    /// Looks at the readings, if a look is due; what has changed.
    pub fn decide(&mut self, now: f64) -> Vec<Change> {
        if now < self.next {
            return Vec::new();
        }
        self.next = (self.next + self.settings.period).max(now + self.settings.period / 2.0);
        let (readings, stale) = (&self.readings, self.settings.stale);
        let read = |scope| move |signal: Signal| readings.state(scope, signal, now, stale);
        let mut moves = Vec::new();
        moves.extend(self.head.decide(now, read(Scope::Head)).map(|m| (Scope::Head, m)));
        for (hall, ladder) in &mut self.halls {
            moves.extend(ladder.decide(now, read(Scope::Hall(*hall))).map(|m| (Scope::Hall(*hall), m)));
        }
        // Halls come with the list without end; one at rest of which nothing is heard is forgotten.
        let heard = |hall: &u16| {
            let mut signals = readings.of(Scope::Hall(*hall));
            signals.any(|signal| readings.state(Scope::Hall(*hall), signal, now, 600.0).fresh().is_some())
        };
        let rests = |(hall, ladder): (&u16, &Ladder)| {
            (ladder.at() == 0 && ladder.pin().is_none() && !heard(hall)).then_some(*hall)
        };
        let gone: Vec<u16> = self.halls.iter().filter_map(rests).collect();
        for hall in gone {
            self.halls.remove(&hall);
            self.readings.forget(Scope::Hall(hall));
        }
        moves.into_iter().map(|(scope, m)| self.note(scope, now, m)).collect()
    }

    fn ladder(&self, scope: Scope) -> Option<&Ladder> {
        match scope {
            Scope::Head => Some(&self.head),
            Scope::Hall(hall) => self.halls.get(&hall),
        }
    }

    fn ladder_mut(&mut self, scope: Scope) -> Option<&mut Ladder> {
        match scope {
            Scope::Head => Some(&mut self.head),
            Scope::Hall(hall) => self.halls.get_mut(&hall),
        }
    }

    fn scope_name(&self, scope: Scope) -> String {
        match scope {
            Scope::Head => "head".into(),
            Scope::Hall(hall) => self.settings.names.hall(hall),
        }
    }

    fn note(&mut self, scope: Scope, at: f64, m: Move) -> Change {
        let name = |rung| self.ladder(scope).map_or(String::new(), |ladder| ladder.name(rung).into());
        let change =
            Change { at, scope: self.scope_name(scope), from: name(m.from), to: name(m.to), why: m.why };
        self.total += 1;
        self.changes.push_back(change.clone());
        if self.changes.len() > KEPT {
            self.changes.pop_front();
        }
        change
    }

    /// The scope of a name: `head`, or a hall's.
    pub fn scope(&self, name: &str) -> Result<Scope, PinError> {
        if name == "head" {
            return Ok(Scope::Head);
        }
        let known = &self.settings.names.halls;
        match known.iter().position(|hall| hall == name).and_then(|place| u16::try_from(place).ok()) {
            Some(hall) => Ok(Scope::Hall(hall)),
            None => Err(PinError::Hall(name.into(), known.join(", "))),
        }
    }

    /// Holds a scope at a level for some seconds, whatever the readings say.
    pub fn pin(
        &mut self,
        now: f64,
        scope: Scope,
        level: &str,
        seconds: f64,
        who: &str,
        why: &str,
    ) -> Result<Change, PinError> {
        for (what, text) in [("who", who), ("why", why)] {
            said(what, text)?;
        }
        if !(1.0..=LONGEST_PIN).contains(&seconds) {
            return Err(PinError::Time);
        }
        if let Scope::Hall(hall) = scope {
            self.halls.entry(hall).or_insert_with(|| Ladder::new(self.settings.hall.clone(), now));
        }
        let names = self.ladder(scope).map(Ladder::names).unwrap_or_default();
        let Some(rung) = names.iter().position(|name| name == level) else {
            return Err(PinError::Level(level.into(), names.join(", ")));
        };
        let pin = Pin { who: who.into(), why: why.into(), since: now, until: now + seconds };
        let moved = self.ladder_mut(scope).map(|ladder| ladder.hold(now, rung, pin));
        let moved = moved.ok_or_else(|| PinError::Free(self.scope_name(scope)))?;
        Ok(self.note(scope, now, moved))
    }

    /// Ends a hold before its time.
    pub fn release(&mut self, now: f64, scope: Scope, who: &str, why: &str) -> Result<Change, PinError> {
        for (what, text) in [("who", who), ("why", why)] {
            said(what, text)?;
        }
        let moved = self.ladder_mut(scope).and_then(|ladder| ladder.release(who.into(), why.into()));
        let moved = moved.ok_or_else(|| PinError::Free(self.scope_name(scope)))?;
        Ok(self.note(scope, now, moved))
    }

    /// What the levels in force let pass.
    pub fn effect(&self, now: f64) -> Effect {
        let all = std::iter::once(&self.head).chain(self.halls.values()).filter(|ladder| ladder.at() > 0);
        let until = all.map(|ladder| ladder.soonest(now)).fold(f64::INFINITY, f64::min);
        let halls = self.halls.iter().filter_map(|(hall, l)| Some((*hall, l.rung()?.passes.clone())));
        Effect {
            head: self.head.rung().map_or_else(Passes::default, |rung| rung.passes.clone()),
            halls: halls.collect(),
            until: if until.is_finite() { until } else { now },
        }
    }

    /// The rungs in force: of the head, and how many halls are at one.
    pub fn rungs(&self) -> (usize, usize) {
        (self.head.at(), self.halls.values().filter(|ladder| ladder.at() > 0).count())
    }

    /// Changes since the start.
    pub fn total(&self) -> u64 {
        self.total
    }

    /// Scopes that operators hold.
    pub fn pinned(&self) -> usize {
        let all = std::iter::once(&self.head).chain(self.halls.values());
        all.filter(|ladder| ladder.pin().is_some()).count()
    }

    /// All that operators are shown.
    pub fn status(&self, now: f64) -> Status {
        let mut levels = vec![self.standing(Scope::Head, &self.head, now)];
        levels.extend(self.halls.iter().map(|(hall, ladder)| self.standing(Scope::Hall(*hall), ladder, now)));
        Status {
            now,
            levels,
            head_levels: self.head.names(),
            hall_levels: Ladder::new(self.settings.hall.clone(), now).names(),
            changes_total: self.total,
            changes: self.changes.iter().rev().cloned().collect(),
        }
    }

    fn standing(&self, scope: Scope, ladder: &Ladder, now: f64) -> Standing {
        let classes = &self.settings.names.classes;
        let state = |signal| self.readings.state(scope, signal, now, self.settings.stale);
        let mut ends = Vec::new();
        if let Some(pin) = ladder.pin() {
            ends.push(format!("the pin lapses in {:.0} s, or is released", pin.until - now));
        } else if let Some(rung) = ladder.rung() {
            let (settled, left) = (ladder.dwell(), ladder.since() + ladder.dwell() - now);
            if left > 0.0 {
                ends.push(format!("{left:.1} s of the {settled:.0} s that it lasts at least are to go"));
            }
            if ladder.lingers() {
                let more = ladder.soonest(now) - now;
                ends.push(format!("room among the changes allowed, to come back if need be: in {more:.0} s"));
            }
            for condition in &rung.leave {
                let side = if condition.signal.low_is_bad() { "or above" } else { "or below" };
                let (name, now) = (&condition.name, state(condition.signal));
                ends.push(format!("{name} at {} {side}; now {now}", condition.threshold));
            }
        }
        let readings = self.readings.of(scope).map(|s| (s.name(classes), state(s).to_string())).collect();
        let unread = ladder.rung().into_iter().flat_map(|rung| rung.leave.iter().map(|c| c.signal));
        let mut readings: BTreeMap<String, String> = readings;
        for signal in unread.filter(|signal| state(*signal) == State::Missing) {
            readings.insert(signal.name(classes), State::Missing.to_string());
        }
        Standing {
            scope: self.scope_name(scope),
            level: ladder.name(ladder.at()).into(),
            rung: ladder.at(),
            since: ladder.since(),
            for_s: now - ladder.since(),
            why: ladder.why().to_string(),
            reason: ladder.why().clone(),
            pin: ladder.pin().cloned(),
            soonest_s: ladder.soonest(now) - now,
            ends,
            changes_left: ladder.changes_left(),
            readings,
        }
    }

    /// Other settings hold from now on; levels go on under them where they have the same name.
    pub fn configure(&mut self, settings: Settings, now: f64) -> Vec<Change> {
        let mut moves = Vec::new();
        moves.extend(self.head.configure(settings.head.clone(), now).map(|m| (Scope::Head, m)));
        for (hall, ladder) in &mut self.halls {
            moves.extend(ladder.configure(settings.hall.clone(), now).map(|m| (Scope::Hall(*hall), m)));
        }
        self.settings = settings;
        moves.into_iter().map(|(scope, m)| self.note(scope, now, m)).collect()
    }

    /// What a newer process takes over.
    pub fn carry(&self, now: f64) -> Carry {
        Carry {
            written: now,
            head: self.head.carry(),
            halls: self.halls.iter().map(|(hall, l)| (self.settings.names.hall(*hall), l.carry())).collect(),
            changes: self.changes.iter().cloned().collect(),
        }
    }

    /// Takes over what another process left: levels if they were written just now, pins that have not lapsed, and
    /// the history. What is too old to go by is left out.
    pub fn resume(&mut self, now: f64, carry: Carry) {
        let fresh = (now - carry.written).abs() <= FRESH;
        self.head.resume(now, &carry.head, fresh);
        for (name, left) in &carry.halls {
            let Ok(Scope::Hall(hall)) = self.scope(name) else { continue };
            let ladder =
                self.halls.entry(hall).or_insert_with(|| Ladder::new(self.settings.hall.clone(), now));
            ladder.resume(now, left, fresh);
        }
        let known = self.changes.drain(..).collect::<Vec<_>>();
        let skip = carry.changes.len().saturating_sub(KEPT);
        self.changes.extend(carry.changes.into_iter().skip(skip));
        self.changes.extend(known);
        while self.changes.len() > KEPT {
            self.changes.pop_front();
        }
    }

    /// Takes over the pins alone, as another process of this head has them now.
    pub fn follow_pins(&mut self, now: f64, carry: &Carry) -> Vec<Change> {
        let mut moves = Vec::new();
        let mut scopes = vec![(Scope::Head, &carry.head)];
        for (name, left) in &carry.halls {
            scopes.extend(self.scope(name).ok().map(|scope| (scope, left)));
        }
        for (scope, left) in scopes {
            if let Scope::Hall(hall) = scope {
                self.halls.entry(hall).or_insert_with(|| Ladder::new(self.settings.hall.clone(), now));
            }
            let Some(ladder) = self.ladder_mut(scope) else { continue };
            let pin = left.pin.clone().filter(|pin| pin.until > now);
            if pin.as_ref() == ladder.pin() {
                continue;
            }
            let rung = ladder.names().iter().position(|name| *name == left.level);
            let moved = match (pin, rung) {
                (Some(pin), Some(rung)) => Some(ladder.hold(now, rung, pin)),
                (Some(_), None) => None,
                (None, _) => match &left.why {
                    Why::Released { who, why } => ladder.release(who.clone(), why.clone()),
                    _ => None,
                },
            };
            moves.extend(moved.map(|m| (scope, m)));
        }
        moves.into_iter().map(|(scope, m)| self.note(scope, now, m)).collect()
    }
}

fn said(what: &'static str, text: &str) -> Result<(), PinError> {
    let fits = !text.trim().is_empty() && text.chars().count() <= LONGEST_TEXT;
    let plain = text.chars().all(|c| !c.is_control());
    if fits && plain { Ok(()) } else { Err(PinError::Text(what)) }
}
