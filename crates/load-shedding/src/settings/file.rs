//! The TOML form of the `[levels]` table in the operators' file. The `serde` names are part of the file format and must
//! not change.

use super::Admission;
use serde::Deserialize;
use std::collections::BTreeMap;
use toml::Spanned;

/// A number with its position in the file.
pub(super) type SpannedNumber = Spanned<f64>;
/// A string with its position in the file.
pub(super) type SpannedText = Spanned<String>;

/// The `[levels]` table. [`SheddingSettings`](super::SheddingSettings) describes its fields.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LevelsFile {
    pub(super) period_s: Option<SpannedNumber>,
    #[serde(rename = "stale_s")]
    pub(super) stale_after_s: Option<SpannedNumber>,
    #[serde(rename = "recent_s")]
    pub(super) node_known_for_s: Option<SpannedNumber>,
    pub(super) span_s: Option<SpannedNumber>,
    #[serde(rename = "least_requests")]
    pub(super) min_requests: Option<SpannedNumber>,
    pub(super) silent_after_s: Option<SpannedNumber>,
    #[serde(default)]
    pub(super) head: PolicyFile,
    #[serde(default, rename = "hall")]
    pub(super) zone: PolicyFile,
}

/// The `[levels.head]` or `[levels.hall]` table: the escalation policy of the head or of each zone.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct PolicyFile {
    pub(super) window_s: Option<SpannedNumber>,
    #[serde(rename = "evidence")]
    pub(super) required_fraction: Option<SpannedNumber>,
    #[serde(rename = "dwell_s")]
    pub(super) min_duration_s: Option<SpannedNumber>,
    #[serde(rename = "dwell_most_s")]
    pub(super) max_min_duration_s: Option<SpannedNumber>,
    #[serde(rename = "changes")]
    pub(super) max_transitions: Option<SpannedNumber>,
    #[serde(rename = "changes_span_s")]
    pub(super) transition_span_s: Option<SpannedNumber>,
    #[serde(rename = "blind_s")]
    pub(super) no_readings_after_s: Option<SpannedNumber>,
    #[serde(rename = "level")]
    pub(super) levels: Option<Vec<Spanned<LevelFile>>>,
}

/// One `[[level]]` table of a policy.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct LevelFile {
    pub(super) name: SpannedText,
    #[serde(default, rename = "lets")]
    pub(super) admissions: Vec<Spanned<AdmissionFile>>,
    #[serde(default)]
    pub(super) enter: BTreeMap<String, SpannedNumber>,
    #[serde(default)]
    pub(super) leave: BTreeMap<String, SpannedNumber>,
    #[serde(rename = "dwell_s")]
    pub(super) min_duration_s: Option<SpannedNumber>,
}

/// One entry of a level's `lets`: the admission of the listed classes on the listed plans. Without a list, the entry
/// applies to all classes or to all plans.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct AdmissionFile {
    #[serde(rename = "pass")]
    pub(super) admission: Admission,
    pub(super) classes: Option<Vec<SpannedText>>,
    pub(super) plans: Option<Vec<SpannedText>>,
}
