//! Validates the `[[level]]` tables of a policy.

use super::check::{FileChecker, MAX_DURATION_S};
use super::file::{AdmissionFile, LevelFile, SpannedNumber, SpannedText};
use super::{AdmissionTable, Condition, LevelSettings, NORMAL, SheddingSettingsError};
use crate::signal::Signal;
use std::collections::BTreeMap;
use std::ops::Range;
use toml::Spanned;

/// The settings around a level that its validation depends on.
struct LevelContext<'a> {
    /// Path of the level in the file.
    key: String,
    /// The admission of the next lower level, which this level may only restrict further.
    lower_admission: &'a AdmissionTable,
    /// The policy's minimum duration in seconds: the default for this level.
    min_duration_s: f64,
    /// The policy's window in seconds: the lower bound of this level's minimum duration.
    window_s: f64,
}

impl FileChecker<'_> {
    /// Validates the levels of the policy at `policy_key`, from the least to the most restrictive.
    pub(super) fn levels(
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
            let lower_admission = levels.last().map_or(&normal, |level| &level.admission);
            let context = LevelContext { key: key.clone(), lower_admission, min_duration_s, window_s };
            let level = self.level(file, &context)?;
            if levels.iter().any(|lower| lower.name == level.name) {
                let at = file.get_ref().name.span();
                return self.fail(
                    at,
                    format!("{key}.name"),
                    format!("duplicate level name {:?}", level.name),
                );
            }
            levels.push(level);
        }
        if let Some(highest) = files.last() {
            if highest.get_ref().enter.is_empty() {
                let key = format!("{policy_key}.level[{}].enter", files.len() - 1);
                return self.fail(highest.span(), key, "the highest level needs an entry condition");
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
        let problem = format!(
            "invalid level name {text:?}: it must consist of lower-case letters, digits and hyphens, and not be {NORMAL:?}"
        );
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
            let classes = self.resolve_names(&file.classes, &self.names.classes, &key, "class")?;
            let plans = self.resolve_names(&file.plans, &self.names.plans, &key, "plan")?;
            for class in classes {
                for plan in &plans {
                    table.restrict(class, *plan, file.admission);
                }
            }
        }
        Ok(table)
    }

    /// Checks that a level restricts at least one class on one plan, and none less than the next lower level does.
    fn check_admission(
        &self,
        admission: &AdmissionTable,
        context: &LevelContext<'_>,
        span: &Range<usize>,
    ) -> Result<(), SheddingSettingsError> {
        let key = format!("{}.lets", context.key);
        if admission.admits_all() {
            return self.fail(
                span.clone(),
                key,
                "the level admits all requests; it must restrict at least one class on one plan",
            );
        }
        for (class, class_name) in self.names.classes.iter().enumerate() {
            for (plan, plan_name) in self.names.plans.iter().enumerate() {
                let lower_admission = context.lower_admission.admission(class, plan);
                if admission.admission(class, plan) < lower_admission {
                    let problem =
                        format!("admits more of {class_name} on {plan_name} than the next lower level");
                    return self.fail(span.clone(), key, problem);
                }
            }
        }
        Ok(())
    }

    fn conditions(
        &self,
        thresholds: &BTreeMap<String, SpannedNumber>,
        key: &str,
    ) -> Result<Vec<Condition>, SheddingSettingsError> {
        let mut conditions = Vec::new();
        for (name, value) in thresholds {
            let key = format!("{key}.{name}");
            let threshold = *value.get_ref();
            let Some(signal) = Signal::parse(name, &self.names.classes) else {
                return self.fail(value.span(), key, format!("unknown signal or class {name:?}"));
            };
            let max = signal.max_threshold();
            if !(0.0..=max).contains(&threshold) {
                return self.fail(
                    value.span(),
                    key,
                    format!("threshold {threshold} is out of range: must be from 0 to {max}"),
                );
            }
            conditions.push(Condition { name: name.clone(), signal, threshold });
        }
        Ok(conditions)
    }

    /// Checks that a level has exit conditions, and that each signal with an entry threshold also has an exit threshold
    /// on the good side of it, with a gap between the two.
    fn check_hysteresis(
        &self,
        file: &LevelFile,
        enter: &[Condition],
        leave: &[Condition],
        key: &str,
        span: &Range<usize>,
    ) -> Result<(), SheddingSettingsError> {
        if leave.is_empty() {
            return self.fail(span.clone(), format!("{key}.leave"), "the level needs an exit condition");
        }
        for entry in enter {
            let name = &entry.name;
            let key = format!("{key}.leave.{name}");
            let Some(exit) = leave.iter().find(|exit| exit.signal == entry.signal) else {
                let problem = "a signal with an entry threshold needs an exit threshold";
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

    /// Returns the number of each listed class or plan, or of all known ones if there is no list. `kind` is the noun
    /// for error messages.
    fn resolve_names(
        &self,
        listed: &Option<Vec<SpannedText>>,
        known: &[String],
        key: &str,
        kind: &str,
    ) -> Result<Vec<usize>, SheddingSettingsError> {
        let Some(listed) = listed else { return Ok((0..known.len()).collect()) };
        let mut numbers = Vec::new();
        for name in listed {
            let Some(number) = known.iter().position(|known| known == name.get_ref()) else {
                let known = known.join(", ");
                let problem = format!("unknown {kind} {:?}; must be one of: {known}", name.get_ref());
                return self.fail(name.span(), key, problem);
            };
            numbers.push(number);
        }
        Ok(numbers)
    }
}
