//! The operators' file: where figures go, which script watches, the levels of reduced service, and the relays
//! that the head follows. Everything in it is off by default.

use crate::config::WireSettings;
use crate::discovery::relays::settings::{DistributionError, DistributionFile, DistributionSettings};
use crate::metrics::export::{Collectd, Graphite};
use crate::plugin::PluginConfig;
use flaxgap_load_shedding::settings::file::LevelsFile;
use flaxgap_load_shedding::{Names, SheddingSettings, SheddingSettingsError};
use flaxgap_streams::settings::Http2Error;
use flaxgap_streams::{Http2, Http2File};
use serde::Deserialize;
use thiserror::Error;

/// An operators' file that can't be used.
#[derive(Debug, Error)]
pub enum OperatorsFileError {
    /// The file can't be read.
    #[error("{0}: {1}")]
    Unreadable(String, std::io::Error),
    /// It is no TOML of the form expected.
    #[error("operations file {0}: {1}")]
    Malformed(String, toml::de::Error),
    /// Its levels contradict themselves.
    #[error("operations file {0}: {1}")]
    Levels(String, SheddingSettingsError),
    /// Its front of HTTP/2 can't be.
    #[error("operations file {0}: {1}")]
    Http2(String, Http2Error),
    /// The relays that it names can't be followed.
    #[error("operations file {0}: {1}")]
    Distribution(String, DistributionError),
}

/// What the file may hold.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OperatorsFile {
    /// Counters to Graphite.
    pub graphite: Option<Graphite>,
    /// Counters to collectd.
    pub collectd: Option<Collectd>,
    /// A script that observes.
    pub plugin: Option<PluginConfig>,
    /// Levels of reduced service.
    levels: Option<LevelsFile>,
    /// The front of HTTP/2.
    http2: Option<Http2File>,
    /// The relays to follow in place of discovery.
    distribution: Option<DistributionFile>,
    /// Where the file is, and its text.
    #[serde(skip)]
    source: (String, String),
}

impl OperatorsFile {
    /// Reads the file.
    pub fn load(path: &str) -> Result<OperatorsFile, OperatorsFileError> {
        let text =
            std::fs::read_to_string(path).map_err(|e| OperatorsFileError::Unreadable(path.into(), e))?;
        let mut ops: OperatorsFile =
            toml::from_str(&text).map_err(|e| OperatorsFileError::Malformed(path.into(), e))?;
        ops.source = (path.into(), text);
        Ok(ops)
    }

    /// Where the file is; none where there is no file.
    pub fn path(&self) -> Option<&str> {
        Some(self.source.0.as_str()).filter(|path| !path.is_empty())
    }

    /// The levels that it settles, checked against the classes, plans and zones of the installation; none where
    /// they are off.
    pub fn levels(&self, notes: &WireSettings) -> Result<Option<SheddingSettings>, OperatorsFileError> {
        let (path, text) = &self.source;
        let Some(file) = &self.levels else { return Ok(None) };
        let names = Names {
            classes: notes.class_names.clone(),
            plans: notes.plan_names.clone(),
            zones: notes.zone_names.clone(),
        };
        let settings = SheddingSettings::check(file, text, &names, &notes.class_writes);
        settings.map(Some).map_err(|problem| OperatorsFileError::Levels(path.clone(), problem))
    }

    /// The front of HTTP/2 that it settles; none where it is off.
    pub fn http2(&self) -> Result<Option<Http2>, OperatorsFileError> {
        let (path, text) = &self.source;
        let settings = self.http2.as_ref().map(|file| Http2::check(file, text)).transpose();
        settings.map_err(|problem| OperatorsFileError::Http2(path.clone(), problem))
    }

    /// The relays that it has the head follow; none where the head follows discovery itself.
    pub fn distribution(&self) -> Result<Option<DistributionSettings>, OperatorsFileError> {
        let (path, text) = &self.source;
        let settings =
            self.distribution.as_ref().map(|file| DistributionSettings::check(file, text)).transpose();
        settings.map_err(|problem| OperatorsFileError::Distribution(path.clone(), problem))
    }

    /// Whether anything but the levels differs.
    pub fn restarts(&self, other: &OperatorsFile) -> bool {
        (&self.graphite, &self.collectd, &self.plugin) != (&other.graphite, &other.collectd, &other.plugin)
            || self.http2().ok() != other.http2().ok()
            || self.distribution().ok() != other.distribution().ok()
    }
}
