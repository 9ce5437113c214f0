//! Builds the status report for operators.

use super::LevelManager;
use crate::level_state::LevelState;
use crate::report::{LevelReport, StatusReport};
use crate::settings::Condition;
use crate::signal::{ReadingState, Scope, Signal};
use std::collections::BTreeMap;

impl LevelManager {
    /// Returns the status of the head and its zones at `now`.
    pub fn status(&self, now: f64) -> StatusReport {
        let mut levels = vec![self.level_report(Scope::Head, &self.head, now)];
        for (zone, state) in &self.zones {
            levels.push(self.level_report(Scope::Zone(*zone), state, now));
        }
        StatusReport {
            now,
            levels,
            head_levels: self.head.level_names(),
            zone_levels: self.settings.zone.level_names(),
            total_transitions: self.history.total,
            recent_transitions: self.history.recent.iter().rev().cloned().collect(),
        }
    }

    fn level_report(&self, scope: Scope, state: &LevelState, now: f64) -> LevelReport {
        LevelReport {
            scope: self.scope_name(scope),
            level_name: state.level_name(state.level()).into(),
            level: state.level(),
            since: state.since(),
            in_force_s: now - state.since(),
            reason_text: state.reason().to_string(),
            reason: state.reason().clone(),
            level_override: state.level_override().cloned(),
            earliest_end_s: state.earliest_end(now) - now,
            end_conditions: self.end_conditions(scope, state, now),
            transitions_left: state.transitions_left(),
            readings: self.describe_readings(scope, state, now),
        }
    }

    fn reading(&self, scope: Scope, signal: Signal, now: f64) -> ReadingState {
        self.readings.state(scope, signal, now, self.settings.stale_after_s)
    }

    /// The conditions under which the level in force ends, one text for each.
    fn end_conditions(&self, scope: Scope, state: &LevelState, now: f64) -> Vec<String> {
        if let Some(level_override) = state.level_override() {
            let left_s = level_override.expires_at - now;
            return vec![format!("the pin lapses in {left_s:.0} s, or is released")];
        }
        let Some(level) = state.level_settings() else { return Vec::new() };
        let mut conditions = Vec::new();
        let min_duration_s = state.min_duration_s();
        let left_s = state.since() + min_duration_s - now;
        if left_s > 0.0 {
            conditions
                .push(format!("{left_s:.1} s of the {min_duration_s:.0} s that it lasts at least are to go"));
        }
        if state.waits_for_transition_limit() {
            let wait_s = state.earliest_end(now) - now;
            conditions
                .push(format!("room among the changes allowed, to come back if need be: in {wait_s:.0} s"));
        }
        for condition in &level.leave {
            conditions.push(describe_exit(condition, self.reading(scope, condition.signal, now)));
        }
        conditions
    }

    /// The readings of a scope as text, by signal name. Includes the missing readings of the level's exit conditions.
    fn describe_readings(&self, scope: Scope, state: &LevelState, now: f64) -> BTreeMap<String, String> {
        let mut signals: Vec<Signal> = self.readings.signals(scope).collect();
        for condition in state.level_settings().map_or(&[][..], |level| &level.leave) {
            if self.reading(scope, condition.signal, now) == ReadingState::Missing {
                signals.push(condition.signal);
            }
        }
        let mut readings = BTreeMap::new();
        for signal in signals {
            let name = signal.name(&self.settings.names.classes);
            readings.insert(name, self.reading(scope, signal, now).to_string());
        }
        readings
    }
}

fn describe_exit(condition: &Condition, reading: ReadingState) -> String {
    let side = if condition.signal.low_is_bad() { "or above" } else { "or below" };
    format!("{} at {} {side}; now {reading}", condition.name, condition.threshold)
}
