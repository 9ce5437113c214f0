//! The operators' file: where counters are exported, which plug-in observes, load shedding, the frontend for
//! HTTP/2, and the relays that the head follows. Everything in it is off by default.

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
    Unreadable(String, #[source] std::io::Error),
    /// It is no TOML of the form expected.
    #[error("operations file {0}: {1}")]
    Malformed(String, #[source] toml::de::Error),
    /// Its settings of load shedding contradict themselves.
    #[error("operations file {0}: {1}")]
    Levels(String, #[source] SheddingSettingsError),
    /// Its frontend for HTTP/2 can't be served.
    #[error("operations file {0}: {1}")]
    Http2(String, #[source] Http2Error),
    /// The relays that it names can't be followed.
    #[error("operations file {0}: {1}")]
    Distribution(String, #[source] DistributionError),
}

/// The file that a value was read from.
#[derive(Clone, Debug)]
struct SourceFile {
    path: String,
    /// The whole text, in which errors show the line.
    text: String,
}

/// What the file may hold.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OperatorsFile {
    /// Counters to Graphite.
    pub graphite: Option<Graphite>,
    /// Counters to collectd.
    pub collectd: Option<Collectd>,
    /// A plug-in that observes requests.
    pub plugin: Option<PluginConfig>,
    /// Load shedding.
    levels: Option<LevelsFile>,
    /// The frontend for HTTP/2.
    http2: Option<Http2File>,
    /// The relays to follow in place of discovery.
    distribution: Option<DistributionFile>,
    /// The file; none where there is none, and then nothing is on.
    #[serde(skip)]
    source: Option<SourceFile>,
}

impl OperatorsFile {
    /// Reads the file at a path.
    ///
    /// # Errors
    ///
    /// [`OperatorsFileError`] if the file can't be read or is not of the form expected.
    pub fn load(path: &str) -> Result<OperatorsFile, OperatorsFileError> {
        let text = std::fs::read_to_string(path)
            .map_err(|problem| OperatorsFileError::Unreadable(path.into(), problem))?;
        let file: OperatorsFile =
            toml::from_str(&text).map_err(|problem| OperatorsFileError::Malformed(path.into(), problem))?;
        let source = SourceFile { path: path.into(), text };
        Ok(OperatorsFile { source: Some(source), ..file })
    }

    /// Where the file is; none where there is no file.
    pub fn path(&self) -> Option<&str> {
        self.source.as_ref().map(|source| source.path.as_str())
    }

    /// The settings of load shedding, checked against the classes, plans and zones of the installation; none
    /// where it is off.
    ///
    /// # Errors
    ///
    /// [`OperatorsFileError::Levels`] with the line that can't be served.
    pub fn shedding(
        &self,
        wire_settings: &WireSettings,
    ) -> Result<Option<SheddingSettings>, OperatorsFileError> {
        let (Some(source), Some(file)) = (&self.source, &self.levels) else { return Ok(None) };
        let names = Names {
            classes: wire_settings.class_names.clone(),
            plans: wire_settings.plan_names.clone(),
            zones: wire_settings.zone_names.clone(),
        };
        let settings = SheddingSettings::check(file, &source.text, &names, &wire_settings.class_writes)
            .map_err(|problem| OperatorsFileError::Levels(source.path.clone(), problem))?;
        Ok(Some(settings))
    }

    /// The settings of the frontend for HTTP/2; none where it is off.
    ///
    /// # Errors
    ///
    /// [`OperatorsFileError::Http2`] with the line that can't be served.
    pub fn http2(&self) -> Result<Option<Http2>, OperatorsFileError> {
        let (Some(source), Some(file)) = (&self.source, &self.http2) else { return Ok(None) };
        let settings = Http2::check(file, &source.text)
            .map_err(|problem| OperatorsFileError::Http2(source.path.clone(), problem))?;
        Ok(Some(settings))
    }

    /// The relays to follow; none where the head follows discovery itself.
    ///
    /// # Errors
    ///
    /// [`OperatorsFileError::Distribution`] with the line that can't be served.
    pub fn distribution(&self) -> Result<Option<DistributionSettings>, OperatorsFileError> {
        let (Some(source), Some(file)) = (&self.source, &self.distribution) else { return Ok(None) };
        let settings = DistributionSettings::check(file, &source.text)
            .map_err(|problem| OperatorsFileError::Distribution(source.path.clone(), problem))?;
        Ok(Some(settings))
    }

    /// Whether the change from `running` to this file takes a restart: anything but load shedding differs.
    pub fn takes_restart(&self, running: &OperatorsFile) -> bool {
        self.graphite != running.graphite
            || self.collectd != running.collectd
            || self.plugin != running.plugin
            || self.http2().ok() != running.http2().ok()
            || self.distribution().ok() != running.distribution().ok()
    }
}
