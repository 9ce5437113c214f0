//! The level of one scope. A level is entered when one of its conditions has held over a window, stays in force for its
//! minimum duration, and is left one step at a time. A step down that is soon followed by another entry is a relapse,
//! which doubles the next minimum duration.
//!
//! Transitions are limited: a level is entered only if the steps down from it still fit the limit. A scope stays at
//! level 1 until the limit allows another entry after the step down to `normal`. Staying at the least restrictive level
//! longer than necessary sheds little, while a scope that cannot enter any level during an overload sheds nothing.

use crate::evaluation_window::{ConditionResult, EvaluationWindow};
use crate::level_override::{LevelOverride, OperatorNote};
use crate::report::{RecoveredSignal, TransitionReason};
use crate::saved_state::{SavedLevel, SavedStepDown};
use crate::settings::{Condition, EscalationPolicy, LevelSettings};
use crate::signal::{ReadingState, Signal};
use crate::transition_limit::TransitionLimit;

/// Minimum time after a step down during which an entry counts as a relapse, as a multiple of the evaluation window.
/// The conditions of an entry must hold over one window, and load takes some time to return.
const RELAPSE_WINDOWS: f64 = 3.0;
/// Factor by which a relapse increases the minimum duration.
const RELAPSE_FACTOR: f64 = 2.0;
/// Lower bound of the divisor of a relative distance, which avoids a division by a threshold of 0.
const MIN_RELATIVE_THRESHOLD: f64 = 1e-9;

/// A transition between two levels, or a change of the override alone.
#[derive(Clone, Debug, PartialEq)]
pub struct Transition {
    /// Number of the previous level.
    pub from: usize,
    /// Number of the new level, which equals `from` if only the override changed.
    pub to: usize,
    /// Why the transition was made.
    pub reason: TransitionReason,
}

/// Whether a transition counts towards the limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Counting {
    /// The transition follows from readings.
    Counted,
    /// The transition follows from an operator's request.
    Uncounted,
}

/// The results of one level's entry and exit conditions.
#[derive(Clone, Debug)]
struct LevelWindows {
    enter: EvaluationWindow,
    leave: EvaluationWindow,
}

/// A step down to the next lower level.
#[derive(Clone, Copy, Debug)]
struct StepDown {
    at: f64,
    from_level: usize,
}

/// An entry to a level whose conditions have held over their window.
#[derive(Clone, Copy, Debug)]
struct Entry {
    level: usize,
    fraction_holding: f64,
}

/// The level of one scope and the state of its escalation policy. Level 0 is `normal`; level `n` is at index `n - 1` of
/// the policy's levels.
#[derive(Clone, Debug)]
pub struct LevelState {
    policy: EscalationPolicy,
    level: usize,
    since: f64,
    reason: TransitionReason,
    /// The minimum duration of each level above `normal`, including increases after relapses.
    min_durations: Vec<f64>,
    last_step_down: Option<StepDown>,
    transition_limit: TransitionLimit,
    /// The condition results of each level above `normal`.
    windows: Vec<LevelWindows>,
    level_override: Option<LevelOverride>,
}

impl LevelState {
    /// Creates a state at level `normal`.
    pub fn new(policy: EscalationPolicy, now: f64) -> LevelState {
        // Half of the evaluations that fit into the window. If there are fewer, the caller was suspended or delayed for
        // part of the window, and the results are too few to act on.
        let min_results = (policy.window_s / policy.period_s / 2.0).max(1.0) as usize;
        let empty = EvaluationWindow::new(policy.window_s, min_results);
        let windows = LevelWindows { enter: empty.clone(), leave: empty };
        LevelState {
            level: 0,
            since: now,
            reason: TransitionReason::Initial,
            min_durations: policy.levels.iter().map(|level| level.min_duration_s).collect(),
            last_step_down: None,
            transition_limit: TransitionLimit::new(policy.max_transitions, policy.transition_span_s),
            windows: vec![windows; policy.levels.len()],
            level_override: None,
            policy,
        }
    }

    /// Number of the level in force, 0 for `normal`.
    pub fn level(&self) -> usize {
        self.level
    }

    /// When the level in force was entered.
    pub fn since(&self) -> f64 {
        self.since
    }

    /// Why the level is in force.
    pub fn reason(&self) -> &TransitionReason {
        &self.reason
    }

    /// The operator's override, if one is set.
    pub fn level_override(&self) -> Option<&LevelOverride> {
        self.level_override.as_ref()
    }

    /// The settings of the level in force, or `None` at `normal`.
    pub fn level_settings(&self) -> Option<&LevelSettings> {
        self.policy.levels.get(self.level.checked_sub(1)?)
    }

    /// The name of the level with this number.
    pub fn level_name(&self, level: usize) -> &str {
        self.policy.level_name(level)
    }

    /// The names of all levels, `normal` first.
    pub fn level_names(&self) -> Vec<String> {
        self.policy.level_names()
    }

    /// The number of the level with this name, 0 for `normal`.
    pub fn level_by_name(&self, name: &str) -> Option<usize> {
        self.policy.level_by_name(name)
    }

    /// The number of transitions that the limit still allows in the current span.
    pub fn transitions_left(&self) -> usize {
        self.transition_limit.remaining()
    }

    /// The minimum duration of the level in force, in seconds; 0 for `normal`.
    pub fn min_duration_s(&self) -> f64 {
        let index = self.level.checked_sub(1);
        index.and_then(|index| self.min_durations.get(index)).copied().unwrap_or(0.0)
    }

    /// The earliest time, not before `now`, at which the level in force can end.
    pub fn earliest_end(&self, now: f64) -> f64 {
        if let Some(level_override) = &self.level_override {
            return level_override.expires_at.max(now);
        }
        let Some(index) = self.level.checked_sub(1) else { return now };
        let min_duration_ends_at = self.since + self.min_duration_s();
        let exit_conditions_hold_at =
            if self.has_held(&self.windows[index].leave, now) { now } else { now + self.policy.window_s };
        let limit_allows_at = if self.waits_for_transition_limit() {
            self.transition_limit.next_expiry().unwrap_or(now)
        } else {
            now
        };
        min_duration_ends_at.max(exit_conditions_hold_at).max(limit_allows_at)
    }

    /// Whether the step down to `normal` is delayed because afterwards the transition limit would not allow another
    /// entry to level 1 and the step down from it.
    pub fn waits_for_transition_limit(&self) -> bool {
        self.level == 1 && self.level_override.is_none() && !self.transition_limit.allows_step_to_normal()
    }

    /// Evaluates all conditions with the readings that `read` returns, and makes at most one transition.
    pub fn evaluate(&mut self, now: f64, read: impl Fn(Signal) -> ReadingState) -> Option<Transition> {
        self.record_conditions(now, &read);
        self.transition_limit.remove_expired(now);
        if let Some(level_override) = &self.level_override {
            if now < level_override.expires_at {
                return None;
            }
            let operator = level_override.operator.clone();
            return Some(self.end_override(TransitionReason::OverrideExpired { operator }));
        }
        if let Some(entry) = self.level_to_enter(now) {
            let reason = self.breach_reason(entry, &read);
            self.update_min_duration(now, entry.level);
            return Some(self.change_level(now, entry.level, reason, Counting::Counted));
        }
        self.step_down(now, &read)
    }

    fn record_conditions(&mut self, now: f64, read: &impl Fn(Signal) -> ReadingState) {
        for (settings, windows) in self.policy.levels.iter().zip(&mut self.windows) {
            windows.enter.record(now, any_breached(&settings.enter, read));
            windows.leave.record(now, all_recovered(&settings.leave, read));
        }
    }

    /// Whether a condition has held for the required fraction of the evaluations in its window.
    fn has_held(&self, window: &EvaluationWindow, now: f64) -> bool {
        window.fraction_holding(now).is_some_and(|fraction| fraction >= self.policy.required_fraction)
    }

    /// The highest level above the current one whose entry conditions have held and that the transition limit allows.
    fn level_to_enter(&self, now: f64) -> Option<Entry> {
        for level in (self.level + 1..=self.policy.levels.len()).rev() {
            if !self.transition_limit.allows_entry(level) {
                continue;
            }
            let Some(fraction_holding) = self.windows[level - 1].enter.fraction_holding(now) else {
                continue;
            };
            if fraction_holding >= self.policy.required_fraction {
                return Some(Entry { level, fraction_holding });
            }
        }
        None
    }

    /// The reason of an entry: the entry condition whose signal is furthest past its threshold.
    fn breach_reason(&self, entry: Entry, read: &impl Fn(Signal) -> ReadingState) -> TransitionReason {
        let conditions = &self.policy.levels[entry.level - 1].enter;
        let mut worst: Option<(&Condition, f64)> = None;
        let mut worst_distance = f64::NEG_INFINITY;
        for condition in conditions {
            let Some(value) = read(condition.signal).fresh_value() else { continue };
            if !condition.signal.is_breached(value, condition.threshold) {
                continue;
            }
            let distance = relative_distance(condition, value);
            // Of conditions at the same distance, the last one is reported.
            if distance >= worst_distance {
                worst = Some((condition, value));
                worst_distance = distance;
            }
        }
        // The conditions held over the window, but none may be past its threshold at this evaluation. The first
        // condition is reported then.
        let first = || conditions.first().map(|condition| (condition, condition.threshold));
        match worst.or_else(first) {
            // Unreachable: a level without entry conditions is never entered by readings.
            None => TransitionReason::Initial,
            Some((condition, value)) => TransitionReason::ThresholdBreached {
                signal: condition.name.clone(),
                value,
                threshold: condition.threshold,
                fraction: entry.fraction_holding,
            },
        }
    }

    /// Sets the minimum duration of a level that is about to be entered. After a relapse this is [`RELAPSE_FACTOR`]
    /// times that of the level that was left last, otherwise the configured one.
    fn update_min_duration(&mut self, now: f64, level: usize) {
        let configured_s = self.policy.levels[level - 1].min_duration_s;
        self.min_durations[level - 1] = match self.relapsed_from(now) {
            Some(from_level) => {
                let increased_s = RELAPSE_FACTOR * self.min_durations[from_level - 1];
                increased_s.min(self.policy.max_min_duration_s).max(configured_s)
            }
            None => configured_s,
        };
    }

    /// The level that the last step down left, if that step is so recent that an entry at `now` is a relapse.
    fn relapsed_from(&self, now: f64) -> Option<usize> {
        let step_down = self.last_step_down?;
        let min_duration = self.min_durations.get(step_down.from_level - 1).copied().unwrap_or(0.0);
        let relapse_within_s = min_duration.max(RELAPSE_WINDOWS * self.policy.window_s);
        (now - step_down.at <= relapse_within_s).then_some(step_down.from_level)
    }

    /// Steps down to the next lower level if the minimum duration is over and the exit conditions have held, or have
    /// had no fresh readings for too long.
    fn step_down(&mut self, now: f64, read: &impl Fn(Signal) -> ReadingState) -> Option<Transition> {
        let index = self.level.checked_sub(1)?;
        if now - self.since < self.min_durations[index] {
            return None;
        }
        let reason = if self.has_held(&self.windows[index].leave, now) {
            // Only a recovery is delayed by the transition limit: the load is known to be low, so that level 1 sheds
            // little. Without readings, level 1 might shed many requests for no known reason.
            if self.waits_for_transition_limit() {
                return None;
            }
            self.recovery_reason(index, read)
        } else {
            self.no_readings_reason(now, index)?
        };
        self.last_step_down = Some(StepDown { at: now, from_level: self.level });
        Some(self.change_level(now, self.level - 1, reason, Counting::Counted))
    }

    fn recovery_reason(&self, index: usize, read: &impl Fn(Signal) -> ReadingState) -> TransitionReason {
        let mut signals = Vec::new();
        for condition in &self.policy.levels[index].leave {
            if let Some(value) = read(condition.signal).fresh_value() {
                let signal = condition.name.clone();
                signals.push(RecoveredSignal { signal, value, threshold: condition.threshold });
            }
        }
        TransitionReason::Recovered { signals }
    }

    /// The reason to leave the level at this index if its exit conditions have been unknown for too long, otherwise
    /// `None`.
    fn no_readings_reason(&self, now: f64, index: usize) -> Option<TransitionReason> {
        let last_known_at = self.windows[index].leave.last_known_at().unwrap_or(self.since).max(self.since);
        let seconds = now - last_known_at;
        (seconds >= self.policy.no_readings_after_s).then_some(TransitionReason::NoReadings { seconds })
    }

    fn change_level(
        &mut self,
        now: f64,
        to: usize,
        reason: TransitionReason,
        counting: Counting,
    ) -> Transition {
        let from = std::mem::replace(&mut self.level, to);
        self.since = now;
        self.reason = reason.clone();
        for windows in &mut self.windows {
            windows.enter.clear();
            windows.leave.clear();
        }
        if counting == Counting::Counted {
            self.transition_limit.record(now);
        }
        Transition { from, to, reason }
    }

    fn end_override(&mut self, reason: TransitionReason) -> Transition {
        self.level_override = None;
        self.reason = reason.clone();
        Transition { from: self.level, to: self.level, reason }
    }

    /// Sets a level that stays in force until the override expires or is released, regardless of the readings.
    pub fn set_override(&mut self, now: f64, level: usize, level_override: LevelOverride) -> Transition {
        let reason = TransitionReason::OverrideSet {
            operator: level_override.operator.clone(),
            reason: level_override.reason.clone(),
            expires_at: level_override.expires_at,
        };
        self.level_override = Some(level_override);
        if self.level == level {
            self.reason = reason.clone();
            return Transition { from: level, to: level, reason };
        }
        self.change_level(now, level.min(self.policy.levels.len()), reason, Counting::Uncounted)
    }

    /// Releases the override, if one is set. The level stays in force until the readings change it.
    pub fn release_override(&mut self, note: OperatorNote) -> Option<Transition> {
        self.level_override.as_ref()?;
        let OperatorNote { operator, reason } = note;
        Some(self.end_override(TransitionReason::OverrideReleased { operator, reason }))
    }

    /// Replaces the policy. The level stays in force if the new policy has a level of the same name, otherwise the
    /// scope returns to `normal`.
    pub fn configure(&mut self, policy: EscalationPolicy, now: f64) -> Option<Transition> {
        let saved = self.save();
        let from = self.level;
        *self = LevelState::new(policy, now);
        let Some(level) = self.level_by_name(&saved.level_name) else {
            self.reason = TransitionReason::NotInSettings;
            self.transition_limit.restore(saved.counted_transitions);
            return Some(Transition { from, to: 0, reason: TransitionReason::NotInSettings });
        };
        self.restore_level(now, level, &saved, unexpired_override(&saved, now));
        self.restore_history(now, &saved);
        None
    }

    /// The state that the next process of this head restores.
    pub fn save(&self) -> SavedLevel {
        let names = self.policy.levels.iter().map(|level| level.name.clone());
        let last_step_down = self.last_step_down.map(|step_down| SavedStepDown {
            at: step_down.at,
            from_level: self.level_name(step_down.from_level).into(),
        });
        SavedLevel {
            level_name: self.level_name(self.level).into(),
            since: self.since,
            reason: self.reason.clone(),
            min_durations: names.zip(self.min_durations.iter().copied()).collect(),
            last_step_down,
            counted_transitions: self.transition_limit.times(),
            level_override: self.level_override.clone(),
        }
    }

    /// Restores the state that another process saved, if the policy has a level of the saved name. A level under an
    /// override that has not expired is always restored. Any other level, and the record of past transitions, are
    /// restored only if the saved state `is_recent`.
    pub fn restore(&mut self, now: f64, saved: &SavedLevel, is_recent: bool) {
        let Some(level) = self.level_by_name(&saved.level_name) else { return };
        let level_override = unexpired_override(saved, now);
        if is_recent || level_override.is_some() {
            self.restore_level(now, level, saved, level_override);
        }
        if is_recent {
            self.restore_history(now, saved);
        }
    }

    fn restore_level(
        &mut self,
        now: f64,
        level: usize,
        saved: &SavedLevel,
        level_override: Option<LevelOverride>,
    ) {
        self.level = level;
        // The clock of the process that saved the state may be ahead of this one, so times are limited to the present.
        self.since = saved.since.min(now);
        self.reason = saved.reason.clone();
        self.level_override = level_override;
    }

    fn restore_history(&mut self, now: f64, saved: &SavedLevel) {
        let step_down = saved.last_step_down.as_ref();
        self.last_step_down = step_down.and_then(|step_down| {
            let from_level = self.policy.level_by_name(&step_down.from_level).filter(|level| *level > 0)?;
            Some(StepDown { at: step_down.at.min(now), from_level })
        });
        self.transition_limit.restore(saved.counted_transitions.iter().map(|at| at.min(now)));
        for (level, min_duration) in self.policy.levels.iter().zip(&mut self.min_durations) {
            let configured_s = level.min_duration_s;
            let saved_s = saved.min_durations.get(&level.name).copied().unwrap_or(configured_s);
            *min_duration = saved_s.clamp(configured_s, self.policy.max_min_duration_s.max(configured_s));
        }
    }
}

fn unexpired_override(saved: &SavedLevel, now: f64) -> Option<LevelOverride> {
    saved.level_override.clone().filter(|level_override| level_override.expires_at > now)
}

/// Whether any condition is past its threshold. Fails without conditions.
fn any_breached(conditions: &[Condition], read: &impl Fn(Signal) -> ReadingState) -> ConditionResult {
    let mut result = if conditions.is_empty() { ConditionResult::Fails } else { ConditionResult::Unknown };
    for condition in conditions {
        match read(condition.signal).fresh_value() {
            Some(value) if condition.signal.is_breached(value, condition.threshold) => {
                return ConditionResult::Holds;
            }
            Some(_) => result = ConditionResult::Fails,
            None => {}
        }
    }
    result
}

/// Whether all conditions are on the good side of their thresholds. Holds without conditions.
fn all_recovered(conditions: &[Condition], read: &impl Fn(Signal) -> ReadingState) -> ConditionResult {
    let mut result = ConditionResult::Holds;
    for condition in conditions {
        match read(condition.signal).fresh_value() {
            Some(value) if condition.signal.is_recovered(value, condition.threshold) => {}
            Some(_) => return ConditionResult::Fails,
            None => result = ConditionResult::Unknown,
        }
    }
    result
}

/// The distance of a value from the condition's threshold, relative to the threshold.
fn relative_distance(condition: &Condition, value: f64) -> f64 {
    (value - condition.threshold).abs() / condition.threshold.max(MIN_RELATIVE_THRESHOLD)
}
