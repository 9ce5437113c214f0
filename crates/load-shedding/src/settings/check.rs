//! Validates a `[levels]` table against the names of the installation.

use super::defaults;
use super::file::{LevelsFile, PolicyFile, SpannedNumber};
use super::{EscalationPolicy, LevelSettings, Names, SheddingSettings, SheddingSettingsError};
use std::ops::{Range, RangeInclusive};
use toml::Spanned;

/// Upper bound of windows, spans and ages, in seconds: ten minutes.
const MAX_SPAN_S: f64 = 600.0;
/// Upper bound of a level's minimum duration and of the time without readings, in seconds: one hour.
pub(super) const MAX_DURATION_S: f64 = 3600.0;
/// Upper bound of the span over which transitions are counted, in seconds: one day.
const MAX_TRANSITION_SPAN_S: f64 = 86_400.0;
/// Upper bound of the number of transitions allowed in a span.
const MAX_TRANSITIONS: f64 = 1000.0;

/// Validates the table of one file.
pub(super) struct FileChecker<'a> {
    /// The text of the whole file, from which line numbers are determined.
    pub(super) text: &'a str,
    /// The names of the installation's classes, plans and zones.
    pub(super) names: &'a Names,
}

impl FileChecker<'_> {
    /// Validates the table and fills in the defaults. Does not include [`FileChecker::check_staleness`].
    pub(super) fn settings(
        &self,
        file: &LevelsFile,
        writes: &[bool],
    ) -> Result<SheddingSettings, SheddingSettingsError> {
        let period_s = self.number(&file.period_s, "levels.period_s", 0.25, 0.05..=10.0)?;
        let span_range = || period_s..=MAX_SPAN_S;
        let stale_after_s =
            self.number(&file.stale_after_s, "levels.stale_s", 2.0 * period_s, span_range())?;
        let node_known_for_s = self.number(&file.node_known_for_s, "levels.recent_s", 3.0, span_range())?;
        let default_span_s = f64::max(2.0, 2.0 * period_s);
        let span_s = self.number(&file.span_s, "levels.span_s", default_span_s, span_range())?;
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

    /// Checks that readings go stale early enough: a single reading must not satisfy a condition in enough
    /// evaluations to change a level by itself.
    pub(super) fn check_staleness(
        &self,
        file: &LevelsFile,
        settings: &SheddingSettings,
        policy: &EscalationPolicy,
    ) -> Result<(), SheddingSettingsError> {
        let max_stale_after_s = policy.required_fraction * policy.window_s - settings.period_s;
        let stale_after_s = settings.stale_after_s;
        if stale_after_s <= max_stale_after_s {
            return Ok(());
        }
        let at = file.stale_after_s.as_ref().map_or(0..0, Spanned::span);
        let problem = format!(
            "{stale_after_s} is over {max_stale_after_s:.3}, so that a single reading could change a level"
        );
        self.fail(at, "levels.stale_s", problem)
    }

    /// Returns an error for the value at `at`, a byte range of the file's text.
    pub(super) fn fail<T>(
        &self,
        at: Range<usize>,
        key: impl Into<String>,
        problem: impl Into<String>,
    ) -> Result<T, SheddingSettingsError> {
        let line = line_number(self.text, at.start);
        Err(SheddingSettingsError { line, key: key.into(), problem: problem.into() })
    }

    /// The names of the classes whose requests change data.
    fn write_classes(&self, writes: &[bool]) -> Vec<String> {
        let mut names = Vec::new();
        for (class, name) in self.names.classes.iter().enumerate() {
            if writes.get(class).copied().unwrap_or(false) {
                names.push(name.clone());
            }
        }
        names
    }

    /// Returns a number from the file, which must be within the range, or the default if the file does not specify it.
    pub(super) fn number(
        &self,
        specified: &Option<SpannedNumber>,
        key: &str,
        default: f64,
        range: RangeInclusive<f64>,
    ) -> Result<f64, SheddingSettingsError> {
        let Some(specified) = specified else { return Ok(default) };
        let value = *specified.get_ref();
        if range.contains(&value) {
            return Ok(value);
        }
        self.fail(
            specified.span(),
            key,
            format!("{value} is out of range: must be from {} to {}", range.start(), range.end()),
        )
    }

    fn policy(
        &self,
        file: &PolicyFile,
        key: &str,
        default_levels: Vec<LevelSettings>,
        defaults: &EscalationPolicy,
    ) -> Result<EscalationPolicy, SheddingSettingsError> {
        let number =
            |value, name: &str, default, range| self.number(value, &format!("{key}.{name}"), default, range);
        let min_window_s = defaults::MIN_WINDOW_PERIODS * defaults.period_s;
        let window_s = number(&file.window_s, "window_s", defaults.window_s, min_window_s..=MAX_SPAN_S)?;
        let duration_range = || window_s..=MAX_DURATION_S;
        let default_duration_s = defaults::MIN_DURATION_S.max(window_s);
        let min_duration_s = number(&file.min_duration_s, "dwell_s", default_duration_s, duration_range())?;
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
            duration_range(),
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
        let max_transitions = self.max_transitions(file, key, levels.len(), defaults)?;
        Ok(EscalationPolicy {
            levels,
            window_s,
            required_fraction,
            max_min_duration_s,
            max_transitions,
            transition_span_s,
            no_readings_after_s,
            period_s: defaults.period_s,
        })
    }

    /// The limit on transitions, which must allow an entry to the highest level and all steps down from it.
    fn max_transitions(
        &self,
        file: &PolicyFile,
        policy_key: &str,
        levels: usize,
        defaults: &EscalationPolicy,
    ) -> Result<usize, SheddingSettingsError> {
        let min = (levels + 1) as f64;
        let default = (defaults.max_transitions as f64).max(min);
        let key = format!("{policy_key}.changes");
        let max_transitions = self.number(&file.max_transitions, &key, default, min..=MAX_TRANSITIONS)?;
        Ok(max_transitions as usize)
    }
}

/// Parses and validates the built-in levels in the same way as those of a file.
fn built_in_levels(
    text: &str,
    names: &Names,
    defaults: &EscalationPolicy,
) -> Result<Vec<LevelSettings>, SheddingSettingsError> {
    let file: PolicyFile = toml::from_str(text).map_err(|error| malformed(text, &error))?;
    let policy = FileChecker { text, names }.policy(&file, "levels", Vec::new(), defaults)?;
    Ok(policy.levels)
}

/// Converts an error of the TOML parser.
pub(super) fn malformed(text: &str, error: &toml::de::Error) -> SheddingSettingsError {
    let start = error.span().map_or(0, |span| span.start);
    SheddingSettingsError {
        line: line_number(text, start),
        key: "levels".into(),
        problem: error.message().into(),
    }
}

/// The number of the line that contains the byte at `offset`, starting at 1.
fn line_number(text: &str, offset: usize) -> usize {
    1 + text.get(..offset).unwrap_or_default().matches('\n').count()
}
