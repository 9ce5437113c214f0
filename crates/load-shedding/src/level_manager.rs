//! Manages the levels of one head: the head's own and those of its zones, the combined admission, and the transition
//! history.

mod status;

use crate::level_override::{LevelOverride, OperatorNote, OverrideError, OverrideRequest};
use crate::level_state::{LevelState, Transition};
use crate::report::{LevelTransition, TransitionReason};
use crate::saved_state::{SavedLevel, SavedState};
use crate::settings::{AdmissionTable, SheddingSettings};
use crate::signal::{Readings, Scope, Signal};
use std::collections::{BTreeMap, VecDeque};

/// Name of the head's scope in requests, reports and transitions.
const HEAD_SCOPE: &str = "head";
/// Maximum number of transitions in the history.
const HISTORY_LENGTH: usize = 100;
/// Maximum age in seconds of saved levels that are restored. Older ones no longer reflect the current load.
const SAVED_LEVELS_VALID_S: f64 = 10.0;
/// Seconds without a reading after which a zone at `normal` is removed. The endpoint list adds zones without a limit
/// to their number, so the unused ones must not accumulate.
const ZONE_RETENTION_S: f64 = 600.0;

/// The requests that the levels in force admit.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EffectiveAdmission {
    /// Applies to all requests.
    pub head: AdmissionTable,
    /// Applies to the requests that only the zone with this number can serve.
    pub zones: Vec<(u16, AdmissionTable)>,
    /// The earliest time at which one of the levels can end, or the current time if all are `normal`.
    pub earliest_end: f64,
}

/// A summary of the levels in force, for metrics.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LevelCounts {
    /// Number of the head's level, 0 for `normal`.
    pub head_level: usize,
    /// The number of zones above `normal`.
    pub reduced_zones: usize,
    /// The number of scopes with an operator's override.
    pub overrides: usize,
}

/// The latest transitions, oldest first, and the number of transitions since the start of the process.
#[derive(Clone, Debug, Default)]
struct History {
    recent: VecDeque<LevelTransition>,
    total: u64,
}

impl History {
    fn record(&mut self, transition: LevelTransition) {
        self.total += 1;
        self.recent.push_back(transition);
        self.truncate();
    }

    /// Inserts the transitions of an earlier process, oldest first, before those of this process.
    fn prepend(&mut self, mut earlier: Vec<LevelTransition>) {
        earlier.extend(self.recent.drain(..));
        self.recent = earlier.into();
        self.truncate();
    }

    fn truncate(&mut self) {
        while self.recent.len() > HISTORY_LENGTH {
            self.recent.pop_front();
        }
    }
}

/// The levels of one head and its zones.
#[derive(Clone, Debug)]
pub struct LevelManager {
    settings: SheddingSettings,
    readings: Readings,
    head: LevelState,
    zones: BTreeMap<u16, LevelState>,
    history: History,
    next_evaluation: f64,
}

impl LevelManager {
    /// Creates a manager without zones and with the head's level at `normal`.
    pub fn new(settings: SheddingSettings, now: f64) -> LevelManager {
        LevelManager {
            readings: Readings::default(),
            head: LevelState::new(settings.head.clone(), now),
            zones: BTreeMap::new(),
            history: History::default(),
            next_evaluation: now,
            settings,
        }
    }

    /// The settings in force.
    pub fn settings(&self) -> &SheddingSettings {
        &self.settings
    }

    /// Records a reading that was made at `read_at`. A zone that is not known yet is added at `normal`.
    pub fn record_reading(&mut self, scope: Scope, signal: Signal, value: f64, read_at: f64) {
        self.add_scope(scope, read_at);
        self.readings.record(scope, signal, value, read_at);
    }

    /// Whether the zone's level is above `normal`. Work that such a zone does not serve is no load on the head, so the
    /// caller leaves it out of the head's signals.
    pub fn is_zone_reduced(&self, zone: u16) -> bool {
        self.zones.get(&zone).is_some_and(|state| state.level() > 0)
    }

    /// When the next evaluation is due.
    pub fn next_evaluation(&self) -> f64 {
        self.next_evaluation
    }

    /// Evaluates the readings if the next evaluation is due, and returns the transitions that were made.
    pub fn evaluate(&mut self, now: f64) -> Vec<LevelTransition> {
        if now < self.next_evaluation {
            return Vec::new();
        }
        let period_s = self.settings.period_s;
        self.next_evaluation = (self.next_evaluation + period_s).max(now + period_s / 2.0);

        let readings = &self.readings;
        let stale_after_s = self.settings.stale_after_s;
        let mut transitions = Vec::new();
        let read_head = |signal| readings.state(Scope::Head, signal, now, stale_after_s);
        if let Some(transition) = self.head.evaluate(now, read_head) {
            transitions.push((Scope::Head, transition));
        }
        for (zone, state) in &mut self.zones {
            let scope = Scope::Zone(*zone);
            let read_zone = |signal| readings.state(scope, signal, now, stale_after_s);
            if let Some(transition) = state.evaluate(now, read_zone) {
                transitions.push((scope, transition));
            }
        }
        self.remove_unused_zones(now);
        self.record_transitions(now, transitions)
    }

    /// Removes zones that are at `normal`, have no override and have not been read for [`ZONE_RETENTION_S`].
    fn remove_unused_zones(&mut self, now: f64) {
        let readings = &mut self.readings;
        self.zones.retain(|zone, state| {
            let scope = Scope::Zone(*zone);
            let is_recent =
                |signal| readings.state(scope, signal, now, ZONE_RETENTION_S).fresh_value().is_some();
            let has_recent_reading = readings.signals(scope).any(is_recent);
            let is_retained = state.level() > 0 || state.level_override().is_some() || has_recent_reading;
            if !is_retained {
                readings.remove_scope(scope);
            }
            is_retained
        });
    }

    fn state(&self, scope: Scope) -> Option<&LevelState> {
        match scope {
            Scope::Head => Some(&self.head),
            Scope::Zone(zone) => self.zones.get(&zone),
        }
    }

    fn state_mut(&mut self, scope: Scope) -> Option<&mut LevelState> {
        match scope {
            Scope::Head => Some(&mut self.head),
            Scope::Zone(zone) => self.zones.get_mut(&zone),
        }
    }

    /// Returns the state of a scope. A zone that is not known yet is added at `normal`.
    fn add_scope(&mut self, scope: Scope, now: f64) -> &mut LevelState {
        match scope {
            Scope::Head => &mut self.head,
            Scope::Zone(zone) => {
                let policy = &self.settings.zone;
                self.zones.entry(zone).or_insert_with(|| LevelState::new(policy.clone(), now))
            }
        }
    }

    fn states(&self) -> impl Iterator<Item = &LevelState> {
        std::iter::once(&self.head).chain(self.zones.values())
    }

    fn scope_name(&self, scope: Scope) -> String {
        match scope {
            Scope::Head => HEAD_SCOPE.into(),
            Scope::Zone(zone) => self.settings.names.zone(zone),
        }
    }

    fn level_name(&self, scope: Scope, level: usize) -> String {
        self.state(scope).map_or(String::new(), |state| state.level_name(level).into())
    }

    /// Adds a transition to the history and returns it with the names of its scope and levels.
    fn record_transition(&mut self, scope: Scope, at: f64, transition: Transition) -> LevelTransition {
        let recorded = LevelTransition {
            at,
            scope: self.scope_name(scope),
            from: self.level_name(scope, transition.from),
            to: self.level_name(scope, transition.to),
            reason: transition.reason,
        };
        self.history.record(recorded.clone());
        recorded
    }

    fn record_transitions(&mut self, at: f64, transitions: Vec<(Scope, Transition)>) -> Vec<LevelTransition> {
        let mut recorded = Vec::new();
        for (scope, transition) in transitions {
            recorded.push(self.record_transition(scope, at, transition));
        }
        recorded
    }

    /// Returns the scope with the given name, which is `head` or the name of a zone.
    ///
    /// # Errors
    ///
    /// The name is neither `head` nor the name of a zone of the installation.
    pub fn scope(&self, name: &str) -> Result<Scope, OverrideError> {
        if name == HEAD_SCOPE {
            return Ok(Scope::Head);
        }
        let names = &self.settings.names;
        let zone = names.zone_by_name(name);
        zone.map(Scope::Zone).ok_or_else(|| OverrideError::UnknownZone {
            zone_name: name.into(),
            known: names.zones.join(", "),
        })
    }

    /// Sets an operator's override: the scope keeps the requested level until the override expires or is released,
    /// regardless of the readings.
    ///
    /// # Errors
    ///
    /// The note or the duration is invalid, or the scope has no level of the requested name. No level is changed then.
    pub fn set_override(
        &mut self,
        now: f64,
        scope: Scope,
        request: &OverrideRequest,
    ) -> Result<LevelTransition, OverrideError> {
        request.check()?;
        let state = self.add_scope(scope, now);
        let Some(level) = state.level_by_name(&request.level_name) else {
            return Err(OverrideError::UnknownLevel {
                level_name: request.level_name.clone(),
                known: state.level_names().join(", "),
            });
        };
        let transition = state.set_override(now, level, request.starting(now));
        Ok(self.record_transition(scope, now, transition))
    }

    /// Releases an override before it expires. The level stays in force until the readings change it.
    ///
    /// # Errors
    ///
    /// The note is invalid, or the scope has no override.
    pub fn release_override(
        &mut self,
        now: f64,
        scope: Scope,
        note: &OperatorNote,
    ) -> Result<LevelTransition, OverrideError> {
        note.check()?;
        let transition = self.state_mut(scope).and_then(|state| state.release_override(note.clone()));
        match transition {
            Some(transition) => Ok(self.record_transition(scope, now, transition)),
            None => Err(OverrideError::NotOverridden { scope: self.scope_name(scope) }),
        }
    }

    /// The requests that the levels in force admit.
    pub fn admission(&self, now: f64) -> EffectiveAdmission {
        let mut earliest_end = f64::INFINITY;
        for state in self.states().filter(|state| state.level() > 0) {
            earliest_end = earliest_end.min(state.earliest_end(now));
        }
        let mut zones = Vec::new();
        for (zone, state) in &self.zones {
            if let Some(level) = state.level_settings() {
                zones.push((*zone, level.admission.clone()));
            }
        }
        let head_level = self.head.level_settings();
        EffectiveAdmission {
            head: head_level.map_or_else(AdmissionTable::default, |level| level.admission.clone()),
            zones,
            earliest_end: if earliest_end.is_finite() { earliest_end } else { now },
        }
    }

    /// Summarizes the levels in force.
    pub fn level_counts(&self) -> LevelCounts {
        LevelCounts {
            head_level: self.head.level(),
            reduced_zones: self.zones.values().filter(|state| state.level() > 0).count(),
            overrides: self.states().filter(|state| state.level_override().is_some()).count(),
        }
    }

    /// The number of transitions since the start of the process.
    pub fn total_transitions(&self) -> u64 {
        self.history.total
    }

    /// Replaces the settings and returns the transitions that follow. A scope whose level has the same name in the new
    /// settings keeps it, otherwise it returns to `normal`.
    pub fn configure(&mut self, settings: SheddingSettings, now: f64) -> Vec<LevelTransition> {
        let mut transitions = Vec::new();
        if let Some(transition) = self.head.configure(settings.head.clone(), now) {
            transitions.push((Scope::Head, transition));
        }
        for (zone, state) in &mut self.zones {
            if let Some(transition) = state.configure(settings.zone.clone(), now) {
                transitions.push((Scope::Zone(*zone), transition));
            }
        }
        self.settings = settings;
        self.record_transitions(now, transitions)
    }

    /// The state that the next process of this head restores.
    pub fn save(&self, now: f64) -> SavedState {
        let mut zones = BTreeMap::new();
        for (zone, state) in &self.zones {
            zones.insert(self.settings.names.zone(*zone), state.save());
        }
        SavedState {
            written_at: now,
            head: self.head.save(),
            zones,
            recent_transitions: self.history.recent.iter().cloned().collect(),
        }
    }

    /// Restores the state that another process saved: overrides that have not expired, the history, and the levels if
    /// they were saved within the last 10 seconds.
    pub fn restore(&mut self, now: f64, saved: SavedState) {
        let is_recent = (now - saved.written_at).abs() <= SAVED_LEVELS_VALID_S;
        self.head.restore(now, &saved.head, is_recent);
        for (name, saved_level) in &saved.zones {
            let Some(scope) = self.zone_scope(name) else { continue };
            self.add_scope(scope, now).restore(now, saved_level, is_recent);
        }
        self.history.prepend(saved.recent_transitions);
    }

    /// Sets and releases overrides as in the state saved by another running process of this head. Levels without a
    /// change of override are not affected.
    pub fn follow_overrides(&mut self, now: f64, saved: &SavedState) -> Vec<LevelTransition> {
        let mut scopes = vec![(Scope::Head, &saved.head)];
        for (name, saved_level) in &saved.zones {
            if let Ok(scope) = self.scope(name) {
                scopes.push((scope, saved_level));
            }
        }
        let mut transitions = Vec::new();
        for (scope, saved_level) in scopes {
            let state = self.add_scope(scope, now);
            if let Some(transition) = follow_override(state, now, saved_level) {
                transitions.push((scope, transition));
            }
        }
        self.record_transitions(now, transitions)
    }

    /// Returns the scope of the zone with this name, or `None` if the zone no longer exists.
    fn zone_scope(&self, name: &str) -> Option<Scope> {
        self.scope(name).ok().filter(|scope| *scope != Scope::Head)
    }
}

/// Sets or releases a scope's override to match the one that another process saved.
fn follow_override(state: &mut LevelState, now: f64, saved: &SavedLevel) -> Option<Transition> {
    let saved_override: Option<LevelOverride> =
        saved.level_override.clone().filter(|level_override| level_override.expires_at > now);
    if saved_override.as_ref() == state.level_override() {
        return None;
    }
    match saved_override {
        Some(level_override) => {
            let level = state.level_by_name(&saved.level_name)?;
            Some(state.set_override(now, level, level_override))
        }
        None => match &saved.reason {
            TransitionReason::OverrideReleased { operator, reason } => {
                let note = OperatorNote { operator: operator.clone(), reason: reason.clone() };
                state.release_override(note)
            }
            // The override expired in the other process, so it expires in this one too.
            _ => None,
        },
    }
}
