//! Checks a `[levels]` table against the names of the installation.

use super::defaults;
use super::file::{AdmissionFile, LevelFile, LevelsFile, PolicyFile, SpannedNumber, SpannedText};
use super::{
    Admission, AdmissionTable, Condition, EscalationPolicy, LevelSettings, NORMAL, Names, SheddingSettings,
    SheddingSettingsError,
};
use crate::signal::Signal;
use std::collections::BTreeMap;
use std::ops::{Range, RangeInclusive};
use toml::Spanned;

/// Longest time that a window, a span or an age may have, in seconds: ten minutes.
const MAX_SPAN_S: f64 = 600.0;
/// Longest minimum duration, and longest time without readings, in seconds: an hour.
const MAX_DURATION_S: f64 = 3600.0;
/// Longest span that transitions are counted over, in seconds: a day.
const MAX_TRANSITION_SPAN_S: f64 = 86_400.0;
/// Most transitions that may be allowed in a span.
const MAX_TRANSITIONS: f64 = 1000.0;

/// Checks one file's table against its text, for the line numbers.
pub(super) struct FileChecker<'a> {
    /// The whole file's text.
    pub(super) text: &'a str,
    /// The names of the installation.
    pub(super) names: &'a Names,
}

/// What a level may not differ from, or takes where the file is silent.
struct LevelContext<'a> {
    /// The level's path in the file.
    key: String,
    /// What the level below admits.
    below: &'a AdmissionTable,
    /// The policy's minimum duration.
    min_duration_s: f64,
    /// The policy's window.
    window_s: f64,
}

impl FileChecker<'_> {
    /// Checks all but [`FileChecker::check_staleness`].
    pub(super) fn settings(
        &self,
        file: &LevelsFile,
        writes: &[bool],
    ) -> Result<SheddingSettings, SheddingSettingsError> {
        let period_s = self.number(&file.period_s, "levels.period_s", 0.25, 0.05..=10.0)?;
        let up_to_span = || period_s..=MAX_SPAN_S;
        let stale_after_s =
            self.number(&file.stale_after_s, "levels.stale_s", 2.0 * period_s, up_to_span())?;
        let node_known_for_s = self.number(&file.node_known_for_s, "levels.recent_s", 3.0, up_to_span())?;
        let default_span_s = f64::max(2.0, 2.0 * period_s);
        let span_s = self.number(&file.span_s, "levels.span_s", default_span_s, up_to_span())?;
        let min_requests = self.number(&file.min_requests, "levels.least_requests", 10.0, 1.0..=1e6)?;
        let silent_after_s = self.number(&file.silent_after_s, "levels.silent_after_s", 0.6, 0.05..=60.0)?;

        let head_defaults = defaults::head_policy(period_s);
        let head_text = defaults::head_levels(&self.write_classes(writes));
        let head_levels = built_in_levels(&head_text, self.names, &head_defaults)?;
        let head = self.policy(&file.head, "levels.head", head_levels, &head_defaults)?;

        let zone_defaults = defaults::zone_policy(period_s);
        let zone_levels = built_in_levels(defaults::ZONE_LEVELS, self.names, &zone_defaults)?;
        let zone = self.policy(&file.zone, "levels.hall", zone_levels, &zone_defaults)?;

        Ok(SheddingSettings {
            period_s,
            stale_after_s,
            node_known_for_s,
            span_s,
            min_requests,
            silent_after_s,
            head,
            zone,
            names: self.names.clone(),
        })
    }

    /// Checks that readings go stale before one of them alone, evaluated again and again, is evidence.
    pub(super) fn check_staleness(
        &self,
        file: &LevelsFile,
        settings: &SheddingSettings,
        policy: &EscalationPolicy,
    ) -> Result<(), SheddingSettingsError> {
        let most = policy.required_fraction * policy.window_s - settings.period_s;
        let stale_after_s = settings.stale_after_s;
        if stale_after_s <= most {
            return Ok(());
        }
        let at = file.stale_after_s.as_ref().map_or(0..0, Spanned::span);
        let problem =
            format!("{stale_after_s} is over {most:.3}, so that one reading would be evidence alone");
        self.fail(at, "levels.stale_s", problem)
    }

    fn fail<T>(
        &self,
        at: Range<usize>,
        key: impl Into<String>,
        problem: impl Into<String>,
    ) -> Result<T, SheddingSettingsError> {
        let line = line_number(self.text, at.start);
        Err(SheddingSettingsError { line, key: key.into(), problem: problem.into() })
    }

    /// The names of the classes that change data.
    fn write_classes(&self, writes: &[bool]) -> Vec<String> {
        let mut names = Vec::new();
        for (class, name) in self.names.classes.iter().enumerate() {
            if writes.get(class).copied().unwrap_or(false) {
                names.push(name.clone());
            }
        }
        names
    }

    /// A number from the file, or the default where the file has none.
    fn number(
        &self,
        from: &Option<SpannedNumber>,
        key: &str,
        default: f64,
        range: RangeInclusive<f64>,
    ) -> Result<f64, SheddingSettingsError> {
        let Some(found) = from else { return Ok(default) };
        let value = *found.get_ref();
        if range.contains(&value) {
            return Ok(value);
        }
        self.fail(found.span(), key, format!("{value} is not from {} to {}", range.start(), range.end()))
    }

    /// The numbers of some names; all where none are named.
    fn numbers_of(
        &self,
        named: &Option<Vec<SpannedText>>,
        known: &[String],
        key: &str,
        kind: &str,
    ) -> Result<Vec<usize>, SheddingSettingsError> {
        let Some(named) = named else { return Ok((0..known.len()).collect()) };
        let mut numbers = Vec::new();
        for name in named {
            let Some(number) = known.iter().position(|known| known == name.get_ref()) else {
                let known = known.join(", ");
                let problem = format!("unknown {kind} {:?}; known are {known}", name.get_ref());
                return self.fail(name.span(), key, problem);
            };
            numbers.push(number);
        }
        Ok(numbers)
    }

    fn policy(
        &self,
        file: &PolicyFile,
        key: &str,
        default_levels: Vec<LevelSettings>,
        defaults: &EscalationPolicy,
    ) -> Result<EscalationPolicy, SheddingSettingsError> {
        let number =
            |from, name: &str, default, range| self.number(from, &format!("{key}.{name}"), default, range);
        let min_window_s = defaults::MIN_WINDOW_PERIODS * defaults.period_s;
        let window_s = number(&file.window_s, "window_s", defaults.window_s, min_window_s..=MAX_SPAN_S)?;
        let up_to_duration = || window_s..=MAX_DURATION_S;
        let default_duration_s = defaults::MIN_DURATION_S.max(window_s);
        let min_duration_s = number(&file.min_duration_s, "dwell_s", default_duration_s, up_to_duration())?;
        let required_fraction =
            number(&file.required_fraction, "evidence", defaults.required_fraction, 0.5..=1.0)?;
        let max_min_duration_s = number(
            &file.max_min_duration_s,
            "dwell_most_s",
            defaults.max_min_duration_s.max(min_duration_s),
            min_duration_s..=MAX_TRANSITION_SPAN_S,
        )?;
        let no_readings_after_s = number(
            &file.no_readings_after_s,
            "blind_s",
            defaults.no_readings_after_s.max(window_s),
            up_to_duration(),
        )?;
        let transition_span_s = number(
            &file.transition_span_s,
            "changes_span_s",
            defaults.transition_span_s,
            window_s..=MAX_TRANSITION_SPAN_S,
        )?;
        let levels = match &file.levels {
            None => default_levels,
            Some(levels) => self.levels(levels, key, min_duration_s, window_s)?,
        };
        // The highest level can be entered and left again.
        let min_transitions = (levels.len() + 1) as f64;
        let max_transitions = number(
            &file.max_transitions,
            "changes",
            (defaults.max_transitions as f64).max(min_transitions),
            min_transitions..=MAX_TRANSITIONS,
        )?;
        Ok(EscalationPolicy {
            levels,
            window_s,
            required_fraction,
            max_min_duration_s,
            max_transitions: max_transitions as usize,
            transition_span_s,
            no_readings_after_s,
            period_s: defaults.period_s,
        })
    }

    fn levels(
        &self,
        files: &[Spanned<LevelFile>],
        policy_key: &str,
        min_duration_s: f64,
        window_s: f64,
    ) -> Result<Vec<LevelSettings>, SheddingSettingsError> {
        let normal = AdmissionTable::default();
        let mut levels: Vec<LevelSettings> = Vec::new();
        for (index, file) in files.iter().enumerate() {
            let key = format!("{policy_key}.level[{index}]");
            let below = levels.last().map_or(&normal, |level| &level.admission);
            let context = LevelContext { key: key.clone(), below, min_duration_s, window_s };
            let level = self.level(file, &context)?;
            if levels.iter().any(|known| known.name == level.name) {
                let at = file.get_ref().name.span();
                return self.fail(at, format!("{key}.name"), format!("{} is there twice", level.name));
            }
            levels.push(level);
        }
        if let Some(highest) = files.last() {
            if highest.get_ref().enter.is_empty() {
                let key = format!("{policy_key}.level[{}].enter", files.len() - 1);
                return self.fail(highest.span(), key, "the highest level can't be entered");
            }
        }
        Ok(levels)
    }

    fn level(
        &self,
        file: &Spanned<LevelFile>,
        context: &LevelContext<'_>,
    ) -> Result<LevelSettings, SheddingSettingsError> {
        let span = file.span();
        let file = file.get_ref();
        let key = &context.key;
        self.check_name(&file.name, key)?;
        let admission = self.admission_table(&file.admissions, key)?;
        self.check_admission(&admission, context, &span)?;
        let enter = self.conditions(&file.enter, &format!("{key}.enter"))?;
        let leave = self.conditions(&file.leave, &format!("{key}.leave"))?;
        self.check_hysteresis(file, &enter, &leave, key, &span)?;
        let min_duration_s = self.number(
            &file.min_duration_s,
            &format!("{key}.dwell_s"),
            context.min_duration_s,
            context.window_s..=MAX_DURATION_S,
        )?;
        Ok(LevelSettings { name: file.name.get_ref().clone(), admission, enter, leave, min_duration_s })
    }

    fn check_name(&self, name: &SpannedText, key: &str) -> Result<(), SheddingSettingsError> {
        let is_allowed = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || c == '-';
        let text = name.get_ref();
        if !text.is_empty() && text != NORMAL && text.chars().all(is_allowed) {
            return Ok(());
        }
        let problem = "a name is of small letters, digits and hyphens, and not `normal`";
        self.fail(name.span(), format!("{key}.name"), problem)
    }

    fn admission_table(
        &self,
        files: &[Spanned<AdmissionFile>],
        key: &str,
    ) -> Result<AdmissionTable, SheddingSettingsError> {
        let key = format!("{key}.lets");
        let mut table = AdmissionTable::admit_all(self.names);
        for file in files {
            let file = file.get_ref();
            let classes = self.numbers_of(&file.classes, &self.names.classes, &key, "class")?;
            let plans = self.numbers_of(&file.plans, &self.names.plans, &key, "plan")?;
            for class in classes {
                for plan in &plans {
                    table.restrict(class, *plan, file.admission);
                }
            }
        }
        Ok(table)
    }

    /// Checks that a level restricts something, and nothing less than the level below.
    fn check_admission(
        &self,
        admission: &AdmissionTable,
        context: &LevelContext<'_>,
        span: &Range<usize>,
    ) -> Result<(), SheddingSettingsError> {
        let key = format!("{}.lets", context.key);
        if admission.admits_all() {
            return self.fail(span.clone(), key, "the level holds nothing back");
        }
        for (class, class_name) in self.names.classes.iter().enumerate() {
            for (plan, plan_name) in self.names.plans.iter().enumerate() {
                let admitted: Admission = admission.admission(class, plan);
                if admitted < context.below.admission(class, plan) {
                    let problem =
                        format!("lets more of {class_name} on {plan_name} pass than the level below");
                    return self.fail(span.clone(), key, problem);
                }
            }
        }
        Ok(())
    }

    fn conditions(
        &self,
        from: &BTreeMap<String, SpannedNumber>,
        key: &str,
    ) -> Result<Vec<Condition>, SheddingSettingsError> {
        let mut conditions = Vec::new();
        for (name, value) in from {
            let key = format!("{key}.{name}");
            let threshold = *value.get_ref();
            let Some(signal) = Signal::parse(name, &self.names.classes) else {
                return self.fail(value.span(), key, "no such signal, or an unknown class");
            };
            let highest = signal.max_threshold();
            if !(0.0..=highest).contains(&threshold) {
                return self.fail(value.span(), key, format!("{threshold} is not from 0 to {highest}"));
            }
            conditions.push(Condition { name: name.clone(), signal, threshold });
        }
        Ok(conditions)
    }

    /// Checks that a level can be left, and that each signal that it is entered by has a gap between its two
    /// thresholds.
    fn check_hysteresis(
        &self,
        file: &LevelFile,
        enter: &[Condition],
        leave: &[Condition],
        key: &str,
        span: &Range<usize>,
    ) -> Result<(), SheddingSettingsError> {
        if leave.is_empty() {
            return self.fail(span.clone(), format!("{key}.leave"), "a level needs a way out");
        }
        for entry in enter {
            let name = &entry.name;
            let key = format!("{key}.leave.{name}");
            let Some(exit) = leave.iter().find(|exit| exit.signal == entry.signal) else {
                let problem = "is entered by, so it needs a threshold to leave by";
                return self.fail(span.clone(), key, problem);
            };
            if entry.signal.is_breached(exit.threshold, entry.threshold) {
                let problem = format!(
                    "{} is at or past the entry at {}: there must be a gap between them",
                    exit.threshold, entry.threshold
                );
                let at = file.leave.get(name).map_or(span.clone(), Spanned::span);
                return self.fail(at, key, problem);
            }
        }
        Ok(())
    }
}

/// The program's own levels, read as an operator's are.
fn built_in_levels(
    text: &str,
    names: &Names,
    defaults: &EscalationPolicy,
) -> Result<Vec<LevelSettings>, SheddingSettingsError> {
    let file: PolicyFile = toml::from_str(text).map_err(|error| malformed(text, &error))?;
    let policy = FileChecker { text, names }.policy(&file, "levels", Vec::new(), defaults)?;
    Ok(policy.levels)
}

/// The error of a text that is not a `[levels]` table at all.
pub(super) fn malformed(text: &str, error: &toml::de::Error) -> SheddingSettingsError {
    let start = error.span().map_or(0, |span| span.start);
    SheddingSettingsError {
        line: line_number(text, start),
        key: "levels".into(),
        problem: error.message().into(),
    }
}

/// The number of the line that holds the byte at `offset`, from 1.
fn line_number(text: &str, offset: usize) -> usize {
    1 + text.get(..offset).unwrap_or_default().matches('\n').count()
}
