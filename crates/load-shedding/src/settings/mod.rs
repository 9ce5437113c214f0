//! The settings of load shedding, checked. [`mod@file`] is their form in TOML, `check` and `check_level` turn it into
//! settings and tell what is wrong with line and key, `defaults` holds the levels that apply where a file has none.
//! Nothing is taken from a file that is wrong anywhere.

mod check;
mod check_level;
mod defaults;
pub mod file;

use crate::signal::Signal;
use check::FileChecker;
use file::LevelsFile;
use serde::Deserialize;
use thiserror::Error;

/// The name of the lowest level, at which everything is admitted.
pub const NORMAL: &str = "normal";
/// Word before the number of a zone that has no name.
const UNNAMED_ZONE: &str = "hall";

/// How much of a class's work on a plan a level admits. Each admits less than the one before. The `serde` names are
/// the words of `pass` in the operators' file.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Deserialize)]
pub enum Admission {
    /// Everything.
    #[default]
    #[serde(rename = "all")]
    All,
    /// What is within the volume's reserve, and within its quota of what is left.
    #[serde(rename = "share")]
    WithinQuota,
    /// What is within the volume's reserve.
    #[serde(rename = "reserve")]
    WithinReserve,
    /// One request at a time, as a trial of whether the nodes answer again.
    #[serde(rename = "nothing")]
    TrialOnly,
}

/// What a level admits, by class and plan. Classes and plans that are not listed are admitted.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct AdmissionTable {
    rows: Vec<Vec<Admission>>,
}

impl AdmissionTable {
    /// A table that lists all classes and plans and admits everything.
    fn admit_all(names: &Names) -> AdmissionTable {
        AdmissionTable { rows: vec![vec![Admission::All; names.plans.len()]; names.classes.len()] }
    }

    /// What is admitted of a class on a plan.
    pub fn admission(&self, class: usize, plan: usize) -> Admission {
        self.rows.get(class).and_then(|plans| plans.get(plan)).copied().unwrap_or_default()
    }

    /// Whether everything is admitted.
    pub fn admits_all(&self) -> bool {
        self.rows.iter().flatten().all(|admission| *admission == Admission::All)
    }

    /// The admissions by class, and in each class by plan.
    pub fn into_rows(self) -> Vec<Vec<Admission>> {
        self.rows
    }

    /// Admits no more than this of a class on a plan.
    fn restrict(&mut self, class: usize, plan: usize, admission: Admission) {
        if let Some(known) = self.rows.get_mut(class).and_then(|plans| plans.get_mut(plan)) {
            *known = admission.max(*known);
        }
    }
}

/// A threshold on one signal.
#[derive(Clone, Debug, PartialEq)]
pub struct Condition {
    /// The signal's name, as the file has it.
    pub name: String,
    /// The signal.
    pub signal: Signal,
    /// The threshold, in the signal's unit.
    pub threshold: f64,
}

/// One level above `normal`.
#[derive(Clone, Debug, PartialEq)]
pub struct LevelSettings {
    /// Its name.
    pub name: String,
    /// What it admits.
    pub admission: AdmissionTable,
    /// It is entered when any of these is past its threshold. Without any, it is only passed on the way down.
    pub enter: Vec<Condition>,
    /// It is left when all of these are on the good side of their thresholds.
    pub leave: Vec<Condition>,
    /// How long it lasts at least, in seconds.
    pub min_duration_s: f64,
}

/// The levels of one scope, and how they follow each other.
#[derive(Clone, Debug, PartialEq)]
pub struct EscalationPolicy {
    /// The levels above `normal`, the mildest first.
    pub levels: Vec<LevelSettings>,
    /// Seconds over which evidence is gathered.
    pub window_s: f64,
    /// Fraction of the evaluations in the window at which a condition must hold.
    pub required_fraction: f64,
    /// Most that a minimum duration grows to when a step down brings the load back, in seconds.
    pub max_min_duration_s: f64,
    /// Transitions by readings within `transition_span_s` seconds at most. Entries leave room for the steps down.
    pub max_transitions: usize,
    /// The span over which transitions are counted, in seconds.
    pub transition_span_s: f64,
    /// Seconds without any fresh reading after which a level is left, one step at a time.
    pub no_readings_after_s: f64,
    /// Seconds between two evaluations.
    pub period_s: f64,
}

impl EscalationPolicy {
    /// A level's name; 0 is `normal`.
    pub fn level_name(&self, level: usize) -> &str {
        let settings = level.checked_sub(1).and_then(|index| self.levels.get(index));
        settings.map_or(NORMAL, |settings| &settings.name)
    }

    /// The names of all levels, `normal` first.
    pub fn level_names(&self) -> Vec<String> {
        (0..=self.levels.len()).map(|level| self.level_name(level).to_string()).collect()
    }

    /// The number of the level of this name, 0 for `normal`.
    pub fn level_by_name(&self, name: &str) -> Option<usize> {
        if name == NORMAL {
            return Some(0);
        }
        let index = self.levels.iter().position(|level| level.name == name)?;
        Some(index + 1)
    }
}

/// All settings of load shedding.
#[derive(Clone, Debug, PartialEq)]
pub struct SheddingSettings {
    /// Seconds between two evaluations.
    pub period_s: f64,
    /// Age in seconds past which a reading is stale.
    pub stale_after_s: f64,
    /// Seconds after a node's last answer, or its last attempt's end, for which its state is known.
    pub node_known_for_s: f64,
    /// Span in seconds over which fractions and means are taken.
    pub span_s: f64,
    /// Least requests in a span for a fraction to be taken.
    pub min_requests: f64,
    /// Seconds without an answer after which a node counts as lost.
    pub silent_after_s: f64,
    /// The policy of the whole head.
    pub head: EscalationPolicy,
    /// The policy of each zone.
    pub zone: EscalationPolicy,
    /// The names of the installation.
    pub names: Names,
}

/// The names that settings and reports use, by number.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Names {
    /// Request classes.
    pub classes: Vec<String>,
    /// Plans.
    pub plans: Vec<String>,
    /// Zones.
    pub zones: Vec<String>,
}

impl Names {
    /// A zone's name.
    pub fn zone(&self, zone: u16) -> String {
        let name = self.zones.get(usize::from(zone));
        name.cloned().unwrap_or_else(|| format!("{UNNAMED_ZONE} {zone}"))
    }

    /// The number of the zone of this name.
    pub fn zone_by_name(&self, name: &str) -> Option<u16> {
        let index = self.zones.iter().position(|zone| zone == name)?;
        u16::try_from(index).ok()
    }
}

/// Settings that can't be used: a mistake of whoever wrote the file.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
#[error("line {line}: {key}: {problem}")]
pub struct SheddingSettingsError {
    /// The line in the file, from 1.
    pub line: usize,
    /// The key's path.
    pub key: String,
    /// What is wrong.
    pub problem: String,
}

impl SheddingSettings {
    /// Checks a file's `[levels]` table; `text` is the whole file's, for the line numbers. `writes` tells which
    /// classes change data.
    ///
    /// # Errors
    ///
    /// A key has a value that can't be used; the error names the line.
    pub fn check(
        file: &LevelsFile,
        text: &str,
        names: &Names,
        writes: &[bool],
    ) -> Result<SheddingSettings, SheddingSettingsError> {
        let checker = FileChecker { text, names };
        let settings = checker.settings(file, writes)?;
        for policy in [&settings.head, &settings.zone] {
            checker.check_staleness(file, &settings, policy)?;
        }
        Ok(settings)
    }

    /// The settings of an empty table.
    ///
    /// # Errors
    ///
    /// The default levels can't be used with these names.
    pub fn with_defaults(names: &Names, writes: &[bool]) -> Result<SheddingSettings, SheddingSettingsError> {
        SheddingSettings::check(&LevelsFile::default(), "", names, writes)
    }

    /// Parses the text of a `[levels]` table.
    ///
    /// # Errors
    ///
    /// The text is not TOML of the expected form, or a key has a value that can't be used.
    pub fn parse(
        text: &str,
        names: &Names,
        writes: &[bool],
    ) -> Result<SheddingSettings, SheddingSettingsError> {
        let file: LevelsFile = toml::from_str(text).map_err(|error| check::malformed(text, &error))?;
        SheddingSettings::check(&file, text, names, writes)
    }
}

#[cfg(test)]
mod tests;
