//! The level of one scope. A level is entered by evidence over a window, lasts for its minimum duration at least, and
//! is left one step at a time; a step down that brings the load back doubles the next minimum duration.
//!
//! Transitions are limited: a level is entered only where the steps down from it still fit the limit. The scope stays
//! at level 1 until the transition limit allows another entry after the step down to `normal`: staying at the mildest
//! level without need sheds little, while a scope that can't enter any level during an overload sheds nothing.

use crate::evaluation_window::{ConditionResult, EvaluationWindow};
use crate::level_override::{LevelOverride, OperatorNote};
use crate::report::{RecoveredSignal, TransitionReason};
use crate::saved_state::{SavedLevel, SavedStepDown};
use crate::settings::{Condition, EscalationPolicy, LevelSettings};
use crate::signal::{ReadingState, Signal};
use crate::transition_limit::TransitionLimit;

/// How long a relapse is looked for after a step down, as a multiple of the window: evidence needs one window, and
/// load takes a while to come back.
const RELAPSE_WINDOWS: f64 = 3.0;
/// Factor by which a relapse lengthens the minimum duration.
const RELAPSE_FACTOR: f64 = 2.0;
/// Least threshold that a distance is taken relative to, so that a threshold of 0 divides nothing by 0.
const MIN_RELATIVE_THRESHOLD: f64 = 1e-9;

/// A transition between two levels, by number; both are the same where only the override changed.
#[derive(Clone, Debug, PartialEq)]
pub struct Transition {
    /// The level before.
    pub from: usize,
    /// The level since.
    pub to: usize,
    /// Why.
    pub reason: TransitionReason,
}

/// Whether a transition counts against the limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Counting {
    /// By readings.
    Counted,
    /// By an operator.
    Uncounted,
}

/// The windows of one level's conditions.
#[derive(Clone, Debug)]
struct LevelWindows {
    enter: EvaluationWindow,
    leave: EvaluationWindow,
}

/// The last step down.
#[derive(Clone, Copy, Debug)]
struct StepDown {
    at: f64,
    from_level: usize,
}

/// A level whose conditions to enter have held over their window.
#[derive(Clone, Copy, Debug)]
struct Entry {
    level: usize,
    fraction_holding: f64,
}

/// The level of one scope and all that decides on it. Level 0 is `normal`; level `n` is the policy's level `n - 1`.
#[derive(Clone, Debug)]
pub struct LevelState {
    policy: EscalationPolicy,
    level: usize,
    since: f64,
    reason: TransitionReason,
    /// The minimum duration of each level above `normal`, as relapses have made it.
    min_durations: Vec<f64>,
    last_step_down: Option<StepDown>,
    transition_limit: TransitionLimit,
    /// The windows of each level above `normal`.
    windows: Vec<LevelWindows>,
    level_override: Option<LevelOverride>,
}

impl LevelState {
    /// Starts at `normal`.
    pub fn new(policy: EscalationPolicy, now: f64) -> LevelState {
        // Half of the evaluations that fit the window: with fewer, the caller was suspended or delayed for part of it,
        // and what it recorded is too little evidence.
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

    /// The level in force, 0 for `normal`.
    pub fn level(&self) -> usize {
        self.level
    }

    /// Since when it has been in force.
    pub fn since(&self) -> f64 {
        self.since
    }

    /// Why it is in force.
    pub fn reason(&self) -> &TransitionReason {
        &self.reason
    }

    /// The operator's override, if there is one.
    pub fn level_override(&self) -> Option<&LevelOverride> {
        self.level_override.as_ref()
    }

    /// The settings of the level in force; none for `normal`.
    pub fn level_settings(&self) -> Option<&LevelSettings> {
        self.policy.levels.get(self.level.checked_sub(1)?)
    }

    /// A level's name.
    pub fn level_name(&self, level: usize) -> &str {
        self.policy.level_name(level)
    }

    /// The names of all levels, `normal` first.
    pub fn level_names(&self) -> Vec<String> {
        self.policy.level_names()
    }

    /// The number of the level of this name, 0 for `normal`.
    pub fn level_by_name(&self, name: &str) -> Option<usize> {
        self.policy.level_by_name(name)
    }

    /// Transitions that are left of those allowed in the present span.
    pub fn transitions_left(&self) -> usize {
        self.transition_limit.remaining()
    }

    /// The minimum duration of the level in force, in seconds.
    pub fn min_duration_s(&self) -> f64 {
        let index = self.level.checked_sub(1);
        index.and_then(|index| self.min_durations.get(index)).copied().unwrap_or(0.0)
    }

    /// When the level in force could end at the earliest: never before now.
    pub fn earliest_end(&self, now: f64) -> f64 {
        if let Some(level_override) = &self.level_override {
            return level_override.expires_at.max(now);
        }
        let Some(index) = self.level.checked_sub(1) else { return now };
        let min_duration_over = self.since + self.min_duration_s();
        let evidence_at =
            if self.has_evidence(&self.windows[index].leave, now) { now } else { now + self.policy.window_s };
        let limit_allows_at = if self.waits_for_transition_limit() {
            self.transition_limit.next_expiry().unwrap_or(now)
        } else {
            now
        };
        min_duration_over.max(evidence_at).max(limit_allows_at)
    }

    /// Whether the last step down waits, since after it the limit would leave no room to return.
    pub fn waits_for_transition_limit(&self) -> bool {
        self.level == 1 && self.level_override.is_none() && !self.transition_limit.allows_step_to_normal()
    }

    /// Evaluates all conditions; makes one transition at most.
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

    /// Whether a condition has held in enough of the evaluations over its window.
    fn has_evidence(&self, window: &EvaluationWindow, now: f64) -> bool {
        window.fraction_holding(now).is_some_and(|fraction| fraction >= self.policy.required_fraction)
    }

    /// The highest level above the present one whose conditions have held, from which the steps down fit the limit.
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

    /// The condition that is furthest past its threshold, as the reason of an entry.
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
            // Of equal distances the last one counts.
            if distance >= worst_distance {
                worst = Some((condition, value));
                worst_distance = distance;
            }
        }
        // At this very evaluation none may be past its threshold: the window is what counts.
        let first = || conditions.first().map(|condition| (condition, condition.threshold));
        match worst.or_else(first) {
            // Can't occur: a level without conditions never breaches one, so it is never entered by readings.
            None => TransitionReason::Initial,
            Some((condition, value)) => TransitionReason::ThresholdBreached {
                signal: condition.name.clone(),
                value,
                threshold: condition.threshold,
                fraction: entry.fraction_holding,
            },
        }
    }

    /// Sets the minimum duration of a level that is about to be entered: twice that of the level left last if this
    /// is a relapse, else as configured.
    fn update_min_duration(&mut self, now: f64, level: usize) {
        let configured_s = self.policy.levels[level - 1].min_duration_s;
        self.min_durations[level - 1] = match self.relapsed_from(now) {
            Some(from_level) => {
                let doubled = RELAPSE_FACTOR * self.min_durations[from_level - 1];
                doubled.min(self.policy.max_min_duration_s).max(configured_s)
            }
            None => configured_s,
        };
    }

    /// The level that was left so lately that an entry now is a relapse.
    fn relapsed_from(&self, now: f64) -> Option<usize> {
        let step_down = self.last_step_down?;
        let min_duration = self.min_durations.get(step_down.from_level - 1).copied().unwrap_or(0.0);
        let relapse_within_s = min_duration.max(RELAPSE_WINDOWS * self.policy.window_s);
        (now - step_down.at <= relapse_within_s).then_some(step_down.from_level)
    }

    /// Leaves the level in force for the one below it, if it is time to.
    fn step_down(&mut self, now: f64, read: &impl Fn(Signal) -> ReadingState) -> Option<Transition> {
        let index = self.level.checked_sub(1)?;
        if now - self.since < self.min_durations[index] {
            return None;
        }
        let reason = if self.has_evidence(&self.windows[index].leave, now) {
            // Only a recovery waits for the limit: the load is known to be low, so that level 1 sheds little.
            // Without readings it might shed much, for no known reason.
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

    /// The reason to leave a level of whose conditions nothing has been known for long enough.
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

    /// Sets a level until the override expires or is released, whatever the readings say.
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

    /// Ends an override; the level goes on by readings from where it is. None if there is no override.
    pub fn release_override(&mut self, note: OperatorNote) -> Option<Transition> {
        self.level_override.as_ref()?;
        let OperatorNote { operator, reason } = note;
        Some(self.end_override(TransitionReason::OverrideReleased { operator, reason }))
    }

    /// Puts another policy in force. The level stays where the policy has one of its name; else it is `normal`.
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

    /// What a newer process takes over.
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

    /// Takes over what another process saved, if the policy has a level of that name: an override that has not
    /// expired in any case, the rest only if it `is_recent`.
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
        // Nothing happened later than now, whatever the clock that wrote it down says.
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
            let known = saved.min_durations.get(&level.name).copied().unwrap_or(configured_s);
            *min_duration = known.clamp(configured_s, self.policy.max_min_duration_s.max(configured_s));
        }
    }
}

fn unexpired_override(saved: &SavedLevel, now: f64) -> Option<LevelOverride> {
    saved.level_override.clone().filter(|level_override| level_override.expires_at > now)
}

/// Whether any condition is past its threshold. Without conditions none is.
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

/// Whether all conditions are on the good side of their thresholds.
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

/// How far a value is from a condition's threshold, relative to the threshold.
fn relative_distance(condition: &Condition, value: f64) -> f64 {
    (value - condition.threshold).abs() / condition.threshold.max(MIN_RELATIVE_THRESHOLD)
}
