//! All levels of one head: the head's own and each zone's, what they admit together, and their history.

mod status;

use crate::level_override::{LevelOverride, OperatorNote, OverrideError, OverrideRequest};
use crate::level_state::{LevelState, Transition};
use crate::report::{LevelTransition, TransitionReason};
use crate::saved_state::{SavedLevel, SavedState};
use crate::settings::{AdmissionTable, SheddingSettings};
use crate::signal::{Readings, Scope, Signal};
use std::collections::{BTreeMap, VecDeque};

/// The head's scope in calls, reports and the saved file.
const HEAD_SCOPE: &str = "head";
/// Transitions that the history keeps for operators.
const HISTORY_LENGTH: usize = 100;
/// Age in seconds past which the levels that another process saved say nothing of the present.
const SAVED_LEVELS_VALID_S: f64 = 10.0;
/// Seconds without a reading after which a zone at `normal` is forgotten. Zones come with the endpoint list, without
/// a limit to their number.
const ZONE_FORGOTTEN_AFTER_S: f64 = 600.0;

/// What the levels in force admit.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EffectiveAdmission {
    /// Of all requests.
    pub head: AdmissionTable,
    /// Of the requests that only one zone can serve.
    pub zones: Vec<(u16, AdmissionTable)>,
    /// When the first of the levels could end at the earliest.
    pub earliest_end: f64,
}

/// How many levels above `normal` are in force.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LevelCounts {
    /// The head's level, 0 for `normal`.
    pub head_level: usize,
    /// Zones above `normal`.
    pub reduced_zones: usize,
    /// Scopes whose level an operator has set.
    pub overrides: usize,
}

/// The latest transitions, the oldest first, and how many there were since the start.
#[derive(Clone, Debug, Default)]
struct History {
    recent: VecDeque<LevelTransition>,
    total: u64,
}

impl History {
    fn record(&mut self, transition: LevelTransition) {
        self.total += 1;
        self.recent.push_back(transition);
        self.shorten();
    }

    /// Puts what another process left before what happened here.
    fn prepend(&mut self, mut earlier: Vec<LevelTransition>) {
        earlier.extend(self.recent.drain(..));
        self.recent = earlier.into();
        self.shorten();
    }

    fn shorten(&mut self) {
        while self.recent.len() > HISTORY_LENGTH {
            self.recent.pop_front();
        }
    }
}

/// The levels of one head.
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
    /// Starts with all levels at `normal`.
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

    /// Records a reading that was made at `read_at`.
    pub fn record_reading(&mut self, scope: Scope, signal: Signal, value: f64, read_at: f64) {
        self.add_scope(scope, read_at);
        self.readings.record(scope, signal, value, read_at);
    }

    /// Whether a zone has a level of its own: what it does not serve is no load on the head.
    pub fn is_zone_reduced(&self, zone: u16) -> bool {
        self.zones.get(&zone).is_some_and(|state| state.level() > 0)
    }

    /// When the next evaluation is due.
    pub fn next_evaluation(&self) -> f64 {
        self.next_evaluation
    }

    /// Evaluates the readings, if it is time to. Returns the levels that changed.
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
        self.forget_silent_zones(now);
        self.record_all(now, transitions)
    }

    /// Removes zones at `normal` without an override of which nothing has been read for long.
    fn forget_silent_zones(&mut self, now: f64) {
        let readings = &mut self.readings;
        self.zones.retain(|zone, state| {
            let scope = Scope::Zone(*zone);
            let is_fresh = |signal| readings.state(scope, signal, now, ZONE_FORGOTTEN_AFTER_S).fresh_value();
            let is_read = readings.signals(scope).any(|signal| is_fresh(signal).is_some());
            let stays = state.level() > 0 || state.level_override().is_some() || is_read;
            if !stays {
                readings.remove_scope(scope);
            }
            stays
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

    /// Adds a zone that is not known yet, at `normal`. Returns the scope's state.
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

    /// Records a transition in the history.
    fn record(&mut self, scope: Scope, at: f64, transition: Transition) -> LevelTransition {
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

    fn record_all(&mut self, at: f64, transitions: Vec<(Scope, Transition)>) -> Vec<LevelTransition> {
        let mut recorded = Vec::new();
        for (scope, transition) in transitions {
            recorded.push(self.record(scope, at, transition));
        }
        recorded
    }

    /// The scope of a name: `head`, or a zone's.
    ///
    /// # Errors
    ///
    /// The name is neither `head` nor that of a known zone.
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

    /// Sets a level for an operator, whatever the readings say.
    ///
    /// # Errors
    /// A request with a mistake changes nothing.
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
        Ok(self.record(scope, now, transition))
    }

    /// Ends an override before it expires.
    ///
    /// # Errors
    /// The note has a mistake, or there is no override.
    pub fn release_override(
        &mut self,
        now: f64,
        scope: Scope,
        note: &OperatorNote,
    ) -> Result<LevelTransition, OverrideError> {
        note.check()?;
        let transition = self.state_mut(scope).and_then(|state| state.release_override(note.clone()));
        match transition {
            Some(transition) => Ok(self.record(scope, now, transition)),
            None => Err(OverrideError::NotOverridden { scope: self.scope_name(scope) }),
        }
    }

    /// What the levels in force admit.
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

    /// Counts the levels in force.
    pub fn level_counts(&self) -> LevelCounts {
        LevelCounts {
            head_level: self.head.level(),
            reduced_zones: self.zones.values().filter(|state| state.level() > 0).count(),
            overrides: self.states().filter(|state| state.level_override().is_some()).count(),
        }
    }

    /// Transitions since the start.
    pub fn total_transitions(&self) -> u64 {
        self.history.total
    }

    /// Puts other settings in force; levels go on under them where they have the same name.
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
        self.record_all(now, transitions)
    }

    /// What a newer process takes over.
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

    /// Takes over what another process saved: the levels if they were saved just now, overrides that have not
    /// expired, and the history.
    pub fn restore(&mut self, now: f64, saved: SavedState) {
        let is_recent = (now - saved.written_at).abs() <= SAVED_LEVELS_VALID_S;
        self.head.restore(now, &saved.head, is_recent);
        for (name, saved_level) in &saved.zones {
            let Some(scope) = self.zone_scope(name) else { continue };
            self.add_scope(scope, now).restore(now, saved_level, is_recent);
        }
        self.history.prepend(saved.recent_transitions);
    }

    /// Takes over the overrides alone, as another process of this head has them now.
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
        self.record_all(now, transitions)
    }

    /// The scope of a zone's name; none where there is no such zone any more.
    fn zone_scope(&self, name: &str) -> Option<Scope> {
        self.scope(name).ok().filter(|scope| *scope != Scope::Head)
    }
}

/// Sets or releases a scope's override as another process has it now.
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
            // One that expired there expires here by itself.
            _ => None,
        },
    }
}
