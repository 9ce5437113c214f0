//! The settings of load shedding. [`mod@file`] defines their TOML form, `check` and `check_level` validate it and
//! report errors with line and key, and `defaults` contains the values and levels that apply where a file specifies
//! none. A file with any error is rejected as a whole.

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
/// Prefix of the generated name of a zone without a configured name.
const UNNAMED_ZONE: &str = "hall";

/// Which requests of a class on a plan a level admits, from the least to the most restrictive. The `serde` names are
/// the values of `pass` in the operators' file.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Deserialize)]
pub enum Admission {
    /// All requests.
    #[default]
    #[serde(rename = "all")]
    All,
    /// Requests within their volume's reserve, or within its quota of the remaining capacity.
    #[serde(rename = "share")]
    WithinQuota,
    /// Requests within their volume's reserve.
    #[serde(rename = "reserve")]
    WithinReserve,
    /// One request at a time, as a probe of whether the nodes answer again.
    #[serde(rename = "nothing")]
    TrialOnly,
}

/// The admission of each class and plan at a level. A class or plan outside the table is admitted without restriction.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct AdmissionTable {
    rows: Vec<Vec<Admission>>,
}

impl AdmissionTable {
    /// Creates a table of all classes and plans that admits all requests.
    fn admit_all(names: &Names) -> AdmissionTable {
        AdmissionTable { rows: vec![vec![Admission::All; names.plans.len()]; names.classes.len()] }
    }

    /// The admission of a class on a plan.
    pub fn admission(&self, class: usize, plan: usize) -> Admission {
        self.rows.get(class).and_then(|plans| plans.get(plan)).copied().unwrap_or_default()
    }

    /// Whether all requests are admitted.
    pub fn admits_all(&self) -> bool {
        self.rows.iter().flatten().all(|admission| *admission == Admission::All)
    }

    /// The admissions as one row for each class, with one entry for each plan.
    pub fn into_rows(self) -> Vec<Vec<Admission>> {
        self.rows
    }

    /// Restricts a class on a plan to `admission`, unless the table is more restrictive already.
    fn restrict(&mut self, class: usize, plan: usize, admission: Admission) {
        if let Some(current) = self.rows.get_mut(class).and_then(|plans| plans.get_mut(plan)) {
            *current = admission.max(*current);
        }
    }
}

/// A threshold on one signal.
#[derive(Clone, Debug, PartialEq)]
pub struct Condition {
    /// Name of the signal, as written in the file.
    pub name: String,
    /// The signal that is compared with the threshold.
    pub signal: Signal,
    /// The threshold, in the signal's unit.
    pub threshold: f64,
}

/// The settings of one level above `normal`.
#[derive(Clone, Debug, PartialEq)]
pub struct LevelSettings {
    /// Name of the level.
    pub name: String,
    /// The requests that the level admits.
    pub admission: AdmissionTable,
    /// Entry conditions: the level is entered when any signal is past its threshold. A level without entry conditions
    /// is only reached by a step down or an override.
    pub enter: Vec<Condition>,
    /// Exit conditions: the level is left when all signals are on the good side of their thresholds.
    pub leave: Vec<Condition>,
    /// Minimum duration of the level, in seconds.
    pub min_duration_s: f64,
}

/// The levels of one scope, and the rules for the transitions between them.
#[derive(Clone, Debug, PartialEq)]
pub struct EscalationPolicy {
    /// The levels above `normal`, the least restrictive first.
    pub levels: Vec<LevelSettings>,
    /// Length of the window over which conditions are evaluated, in seconds.
    pub window_s: f64,
    /// Fraction of the evaluations in the window for which a condition must hold.
    pub required_fraction: f64,
    /// Upper limit, in seconds, of a minimum duration that increases with each relapse after a step down.
    pub max_min_duration_s: f64,
    /// Maximum number of transitions caused by readings within `transition_span_s`. A level is entered only if the
    /// steps down from it fit this limit as well.
    pub max_transitions: usize,
    /// Span over which transitions are counted, in seconds.
    pub transition_span_s: f64,
    /// Seconds without a result of the exit conditions, for lack of fresh readings, after which a level is left, one step
    /// at a time.
    pub no_readings_after_s: f64,
    /// Seconds between two evaluations.
    pub period_s: f64,
}

impl EscalationPolicy {
    /// The name of the level with this number; 0 is `normal`.
    pub fn level_name(&self, level: usize) -> &str {
        let settings = level.checked_sub(1).and_then(|index| self.levels.get(index));
        settings.map_or(NORMAL, |settings| &settings.name)
    }

    /// The names of all levels, `normal` first.
    pub fn level_names(&self) -> Vec<String> {
        (0..=self.levels.len()).map(|level| self.level_name(level).to_string()).collect()
    }

    /// The number of the level with this name, 0 for `normal`.
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
    /// Age in seconds above which a reading is stale.
    pub stale_after_s: f64,
    /// Seconds for which a node's state is known after its last answer or the end of its last attempt.
    pub node_known_for_s: f64,
    /// Span in seconds over which fractions and means are computed.
    pub span_s: f64,
    /// Minimum number of requests in the span for a fraction or mean to be computed.
    pub min_requests: f64,
    /// Seconds without an answer to an attempt after which a node is lost.
    pub silent_after_s: f64,
    /// The policy of the whole head.
    pub head: EscalationPolicy,
    /// The policy of each zone.
    pub zone: EscalationPolicy,
    /// The names of the installation's classes, plans and zones.
    pub names: Names,
}

/// The names that settings and reports use. The index of a name is the number of the class, plan or zone.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Names {
    /// Names of the request classes.
    pub classes: Vec<String>,
    /// Names of the plans.
    pub plans: Vec<String>,
    /// Names of the zones.
    pub zones: Vec<String>,
}

impl Names {
    /// The name of the zone with this number. A zone without a configured name gets a generated one.
    pub fn zone(&self, zone: u16) -> String {
        let name = self.zones.get(usize::from(zone));
        name.cloned().unwrap_or_else(|| format!("{UNNAMED_ZONE} {zone}"))
    }

    /// The number of the zone with this configured name.
    pub fn zone_by_name(&self, name: &str) -> Option<u16> {
        let index = self.zones.iter().position(|zone| zone == name)?;
        u16::try_from(index).ok()
    }
}

/// An error in a `[levels]` table.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
#[error("line {line}: {key}: {problem}")]
pub struct SheddingSettingsError {
    /// Line number in the file, starting at 1.
    pub line: usize,
    /// Path of the key in the file.
    pub key: String,
    /// Description of the error.
    pub problem: String,
}

impl SheddingSettings {
    /// Validates the `[levels]` table of a file and fills in the defaults. `text` is the text of the whole file, from
    /// which line numbers are determined. `writes` contains for each class whether its requests change data.
    ///
    /// # Errors
    ///
    /// A value is invalid. The error contains its line and key.
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
    /// The default levels are invalid with these names.
    pub fn with_defaults(names: &Names, writes: &[bool]) -> Result<SheddingSettings, SheddingSettingsError> {
        SheddingSettings::check(&LevelsFile::default(), "", names, writes)
    }

    /// Parses and validates the text of a `[levels]` table. See [`SheddingSettings::check`] for `writes`.
    ///
    /// # Errors
    ///
    /// The text is not TOML of the expected form, or a value is invalid.
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
