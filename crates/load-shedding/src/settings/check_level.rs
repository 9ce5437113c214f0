//! Checks the `[[level]]` tables of a policy.

use super::check::{FileChecker, MAX_DURATION_S};
use super::file::{AdmissionFile, LevelFile, SpannedNumber, SpannedText};
use super::{AdmissionTable, Condition, LevelSettings, NORMAL, SheddingSettingsError};
use crate::signal::Signal;
use std::collections::BTreeMap;
use std::ops::Range;
use toml::Spanned;

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
    /// Checks the levels of the policy at `policy_key`, the mildest first.
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
                let admitted = admission.admission(class, plan);
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
}
