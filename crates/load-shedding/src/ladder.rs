//! One scope's level. It is entered by evidence over a window, stays for its dwell at least, and is left one step at
//! a time; a step that brings the pressure back doubles the next dwell. Changes are bounded: a level is entered only
//! where the steps down from it still fit the bound, and the last step down waits while the bound leaves no room to
//! come back: the mildest level costs little while nothing presses, and a head that may not return to it costs more.
//!
//! Invariant, pins apart: `changes counted in the span + the present rung <= the bound`.

use crate::evidence::{Verdict, Window};
use crate::report::{LadderCarry, Pin, Why};
use crate::settings::{Condition, LadderSettings, Rung};
use crate::signal::{Signal, State};
use std::collections::VecDeque;

/// The name of the lowest level.
pub const NORMAL: &str = "normal";
/// Seconds that a relapse is looked for after a step down at least, as a multiple of the window.
const TRIAL: f64 = 3.0;

/// A move from one rung to another; both are the same where only the pin has ended.
#[derive(Clone, Debug, PartialEq)]
pub struct Move {
    /// The rung before.
    pub from: usize,
    /// The rung since.
    pub to: usize,
    /// Why.
    pub why: Why,
}

/// One scope's level and all that decides on it.
#[derive(Clone, Debug)]
pub struct Ladder {
    settings: LadderSettings,
    at: usize,
    since: f64,
    why: Why,
    dwells: Vec<f64>,
    stepped: Option<(f64, usize)>,
    recent: VecDeque<f64>,
    entries: Vec<Window>,
    exits: Vec<Window>,
    pin: Option<Pin>,
}

/// What a look at conditions shows: any of them past its threshold, or all clear of theirs.
fn pressed(conditions: &[Condition], read: &impl Fn(Signal) -> State) -> Verdict {
    let mut verdict = if conditions.is_empty() { Verdict::Fails } else { Verdict::Unknown };
    for condition in conditions {
        match read(condition.signal).fresh() {
            Some(value) if condition.signal.past(value, condition.threshold) => return Verdict::Holds,
            Some(_) => verdict = Verdict::Fails,
            None => {}
        }
    }
    verdict
}

fn eased(conditions: &[Condition], read: &impl Fn(Signal) -> State) -> Verdict {
    let mut verdict = Verdict::Holds;
    for condition in conditions {
        match read(condition.signal).fresh() {
            Some(value) if condition.signal.clear(value, condition.threshold) => {}
            Some(_) => return Verdict::Fails,
            None => verdict = Verdict::Unknown,
        }
    }
    verdict
}

impl Ladder {
    /// At `normal` since now.
    pub fn new(settings: LadderSettings, now: f64) -> Ladder {
        let least = (settings.window / settings.period / 2.0).max(1.0) as usize;
        let windows = vec![Window::new(settings.window, least); settings.rungs.len()];
        Ladder {
            at: 0,
            since: now,
            why: Why::Start,
            dwells: settings.rungs.iter().map(|rung| rung.dwell).collect(),
            stepped: None,
            recent: VecDeque::new(),
            entries: windows.clone(),
            exits: windows,
            pin: None,
            settings,
        }
    }

    /// The rung, 0 for `normal`.
    pub fn at(&self) -> usize {
        self.at
    }

    /// Since when.
    pub fn since(&self) -> f64 {
        self.since
    }

    /// Why.
    pub fn why(&self) -> &Why {
        &self.why
    }

    /// Who holds it.
    pub fn pin(&self) -> Option<&Pin> {
        self.pin.as_ref()
    }

    /// The rung in force; none for `normal`.
    pub fn rung(&self) -> Option<&Rung> {
        self.settings.rungs.get(self.at.checked_sub(1)?)
    }

    /// A rung's name.
    pub fn name(&self, rung: usize) -> &str {
        rung.checked_sub(1).and_then(|place| self.settings.rungs.get(place)).map_or(NORMAL, |r| &r.name)
    }

    /// The names of all rungs, `normal` first.
    pub fn names(&self) -> Vec<String> {
        (0..=self.settings.rungs.len()).map(|rung| self.name(rung).to_string()).collect()
    }

    /// Changes that are left of those allowed in the present span.
    pub fn changes_left(&self) -> usize {
        self.settings.changes.saturating_sub(self.recent.len())
    }

    /// The least stay in the present level, in seconds.
    pub fn dwell(&self) -> f64 {
        self.at.checked_sub(1).and_then(|place| self.dwells.get(place)).copied().unwrap_or(0.0)
    }

    /// When the present level could end at the earliest: never before now.
    pub fn soonest(&self, now: f64) -> f64 {
        match &self.pin {
            Some(pin) => pin.until.max(now),
            None if self.at == 0 => now,
            None => {
                let ready =
                    self.exits[self.at - 1].part(now).is_some_and(|part| part >= self.settings.evidence);
                let evidence = if ready { 0.0 } else { self.settings.window };
                let oldest = self.recent.front().filter(|_| self.lingers());
                let room = oldest.map_or(now, |at| at + self.settings.changes_span);
                (self.since + self.dwell()).max(now + evidence).max(room)
            }
        }
    }

    /// One look: at most one move.
    pub fn decide(&mut self, now: f64, read: impl Fn(Signal) -> State) -> Option<Move> {
        for (place, rung) in self.settings.rungs.iter().enumerate() {
            self.entries[place].look(now, pressed(&rung.enter, &read));
            self.exits[place].look(now, eased(&rung.leave, &read));
        }
        let span = self.settings.changes_span;
        while self.recent.front().is_some_and(|at| now - at > span) {
            self.recent.pop_front();
        }
        if let Some(pin) = &self.pin {
            if now < pin.until {
                return None;
            }
            let who = pin.who.clone();
            return Some(self.unpin(Why::Lapsed { who }));
        }
        if let Some((rung, part)) = self.entry(now) {
            let why = self.pressure(rung, part, &read);
            self.relapse(now, rung);
            return Some(self.go(now, rung, why, true));
        }
        let place = self.at.checked_sub(1)?;
        if now - self.since < self.dwells[place] {
            return None;
        }
        let why = if self.exits[place].part(now).is_some_and(|part| part >= self.settings.evidence) {
            let leave = self.settings.rungs[place].leave.iter();
            let figure = |c: &Condition| Some((c.name.clone(), read(c.signal).fresh()?, c.threshold));
            Why::Eased { figures: leave.filter_map(figure).collect() }
        } else {
            let known_at = self.exits[place].known_at().unwrap_or(self.since).max(self.since);
            if now - known_at < self.settings.blind {
                return None;
            }
            Why::Blind { seconds: now - known_at }
        };
        // Without a word there is no telling that the mildest level costs little.
        if self.lingers() && !matches!(why, Why::Blind { .. }) {
            return None;
        }
        self.stepped = Some((now, self.at));
        Some(self.go(now, self.at - 1, why, true))
    }

    /// Whether the last step down waits, since after it the bound would leave no room for an entry and its end.
    pub fn lingers(&self) -> bool {
        self.at == 1 && self.pin.is_none() && self.recent.len() + 3 > self.settings.changes
    }

    /// The highest rung above whose conditions have held, from which the steps down fit the bound.
    fn entry(&self, now: f64) -> Option<(usize, f64)> {
        let fits = |rung: &usize| self.recent.len() + 1 + rung <= self.settings.changes;
        (self.at + 1..=self.settings.rungs.len()).rev().filter(fits).find_map(|rung| {
            let part = self.entries[rung - 1].part(now)?;
            (part >= self.settings.evidence).then_some((rung, part))
        })
    }

    /// The condition that is furthest past its threshold, as the reason.
    fn pressure(&self, rung: usize, part: f64, read: &impl Fn(Signal) -> State) -> Why {
        let by = |c: &Condition, value: f64| (value - c.threshold).abs() / c.threshold.max(1e-9);
        let past = self.settings.rungs[rung - 1].enter.iter().filter_map(|c| {
            let value = read(c.signal).fresh()?;
            c.signal.past(value, c.threshold).then_some((c, value))
        });
        let worst = past.max_by(|a, b| by(a.0, a.1).total_cmp(&by(b.0, b.1)));
        // At this very look none may be past: the window is what counts.
        let first = || self.settings.rungs[rung - 1].enter.first().map(|c| (c, c.threshold));
        worst.or_else(first).map_or(Why::Start, |(condition, value)| Why::Pressed {
            signal: condition.name.clone(),
            value,
            threshold: condition.threshold,
            part,
        })
    }

    /// A rung entered soon after a step down from it, or from a higher one, is stayed in twice as long as the last
    /// time; after a quiet while, as long as settled.
    fn relapse(&mut self, now: f64, rung: usize) {
        let settled = self.settings.rungs[rung - 1].dwell;
        let soon = self.stepped.filter(|(at, from)| {
            let trial = self.dwells.get(from - 1).copied().unwrap_or(0.0).max(TRIAL * self.settings.window);
            now - at <= trial
        });
        self.dwells[rung - 1] = match soon {
            Some((_, from)) => (2.0 * self.dwells[from - 1]).min(self.settings.dwell_most).max(settled),
            None => settled,
        };
    }

    fn go(&mut self, now: f64, to: usize, why: Why, counted: bool) -> Move {
        let from = std::mem::replace(&mut self.at, to);
        (self.since, self.why) = (now, why.clone());
        self.entries.iter_mut().chain(&mut self.exits).for_each(Window::clear);
        if counted {
            self.recent.push_back(now);
        }
        Move { from, to, why }
    }

    fn unpin(&mut self, why: Why) -> Move {
        self.pin = None;
        self.why = why.clone();
        Move { from: self.at, to: self.at, why }
    }

    /// Holds a level until a moment, whatever the readings say.
    pub fn hold(&mut self, now: f64, rung: usize, pin: Pin) -> Move {
        let why = Why::Pinned { who: pin.who.clone(), why: pin.why.clone(), until: pin.until };
        self.pin = Some(pin);
        let from = self.at;
        if from == rung {
            self.why = why.clone();
            return Move { from, to: rung, why };
        }
        self.go(now, rung.min(self.settings.rungs.len()), why, false)
    }

    /// Ends a hold; the level goes on by evidence from where it is. None if nobody holds it.
    pub fn release(&mut self, who: String, why: String) -> Option<Move> {
        self.pin.is_some().then(|| self.unpin(Why::Released { who, why }))
    }

    /// The same level under other settings, found by its name; `normal` where there is none of that name.
    pub fn configure(&mut self, settings: LadderSettings, now: f64) -> Option<Move> {
        let carry = self.carry();
        let from = self.at;
        *self = Ladder::new(settings, now);
        if self.resume(now, &carry, true) {
            return None;
        }
        (self.why, self.recent) = (Why::Settings, carry.recent.into());
        Some(Move { from, to: 0, why: Why::Settings })
    }

    /// What a newer process takes over.
    pub fn carry(&self) -> LadderCarry {
        LadderCarry {
            level: self.name(self.at).into(),
            since: self.since,
            why: self.why.clone(),
            dwells: self.settings.rungs.iter().map(|r| r.name.clone()).zip(self.dwells.clone()).collect(),
            stepped: self.stepped.map(|(at, from)| (at, self.name(from).into())),
            recent: self.recent.iter().copied().collect(),
            pin: self.pin.clone(),
        }
    }

    /// Takes over what another process left: its level, reason and dwell, if `level`, and a pin that has not
    /// lapsed in any case. False where the level is not known here.
    pub fn resume(&mut self, now: f64, carry: &LadderCarry, level: bool) -> bool {
        let place = |name: &str| self.settings.rungs.iter().position(|rung| rung.name == name);
        let pin = carry.pin.clone().filter(|pin| pin.until > now);
        let rung = match place(&carry.level) {
            Some(place) => place + 1,
            None if carry.level == NORMAL => 0,
            None => return false,
        };
        if !level && pin.is_none() {
            return true;
        }
        // No moment of the past is later than now, whatever clock wrote it down.
        (self.at, self.since, self.why, self.pin) = (rung, carry.since.min(now), carry.why.clone(), pin);
        if level {
            self.stepped =
                carry.stepped.as_ref().and_then(|(at, name)| Some((at.min(now), place(name)? + 1)));
            self.recent = carry.recent.iter().map(|at| at.min(now)).collect();
            for (rung, dwell) in self.settings.rungs.iter().zip(&mut self.dwells) {
                let known = carry.dwells.get(&rung.name).copied().unwrap_or(rung.dwell);
                *dwell = known.clamp(rung.dwell, self.settings.dwell_most.max(rung.dwell));
            }
        }
        true
    }
}
