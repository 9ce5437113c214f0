//! The operators' file (TOML): exporters, the plug-in, load shedding, the HTTP/2 frontend and the relays that the head
//! follows. Every component in it is off by default.

use crate::config::WireSettings;
use crate::discovery::relays::settings::{DistributionError, DistributionFile, DistributionSettings};
use crate::metrics::export::{Collectd, Graphite};
use crate::plugin::PluginConfig;
use crate::resources::repeat::read_text_file;
use flaxgap_load_shedding::settings::file::LevelsFile;
use flaxgap_load_shedding::{Names, SheddingSettings, SheddingSettingsError};
use flaxgap_streams::settings::Http2Error;
use flaxgap_streams::{Http2, Http2File};
use serde::Deserialize;
use thiserror::Error;

/// An operators' file that can't be read or is invalid.
#[derive(Debug, Error)]
pub enum OperatorsFileError {
    /// The file can't be read.
    #[error("operators' file {0}: {1}")]
    Unreadable(String, #[source] std::io::Error),
    /// The text is not valid TOML, or a key is missing, unknown or of the wrong type.
    #[error("operators' file {0}: {1}")]
    Malformed(String, #[source] toml::de::Error),
    /// The settings of load shedding are invalid or contradict each other.
    #[error("operators' file {0}: {1}")]
    Levels(String, #[source] SheddingSettingsError),
    /// The settings of the HTTP/2 frontend are invalid.
    #[error("operators' file {0}: {1}")]
    Http2(String, #[source] Http2Error),
    /// The settings of the relays are invalid.
    #[error("operators' file {0}: {1}")]
    Distribution(String, #[source] DistributionError),
}

/// Path and text of the file from which an [`OperatorsFile`] was read.
#[derive(Clone, Debug)]
struct SourceFile {
    path: String,
    /// The text of the file, from which errors derive line numbers.
    text: String,
}

/// The parsed operators' file. The default has every component off.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OperatorsFile {
    /// Export of counters to Graphite.
    pub graphite: Option<Graphite>,
    /// Export of counters to collectd.
    pub collectd: Option<Collectd>,
    /// The plug-in that observes requests and responses.
    pub plugin: Option<PluginConfig>,
    /// Settings of load shedding.
    levels: Option<LevelsFile>,
    /// Settings of the HTTP/2 frontend.
    http2: Option<Http2File>,
    /// Settings of the relays that the head follows instead of discovery.
    distribution: Option<DistributionFile>,
    /// The file that was read; `None` for the default, which has every component off.
    #[serde(skip)]
    source: Option<SourceFile>,
}

impl OperatorsFile {
    /// Reads and parses the file at `path`. The settings of load shedding, HTTP/2 and relays are checked only by the
    /// methods that return them.
    ///
    /// # Errors
    ///
    /// [`OperatorsFileError`] if the file can't be read or parsed.
    pub fn load(path: &str) -> Result<OperatorsFile, OperatorsFileError> {
        let text =
            read_text_file(path).map_err(|error| OperatorsFileError::Unreadable(path.into(), error))?;
        let file: OperatorsFile =
            toml::from_str(&text).map_err(|error| OperatorsFileError::Malformed(path.into(), error))?;
        let source = SourceFile { path: path.into(), text };
        Ok(OperatorsFile { source: Some(source), ..file })
    }

    /// Path of the file; `None` if no file was read.
    pub fn path(&self) -> Option<&str> {
        self.source.as_ref().map(|source| source.path.as_str())
    }

    /// Checks the settings of load shedding against the classes, plans and zones of the installation. Returns `None` if
    /// load shedding is off.
    ///
    /// # Errors
    ///
    /// [`OperatorsFileError::Levels`] with the line of the invalid setting.
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
            .map_err(|error| OperatorsFileError::Levels(source.path.clone(), error))?;
        Ok(Some(settings))
    }

    /// Checks the settings of the HTTP/2 frontend. Returns `None` if the frontend is off.
    ///
    /// # Errors
    ///
    /// [`OperatorsFileError::Http2`] with the line of the invalid setting.
    pub fn http2(&self) -> Result<Option<Http2>, OperatorsFileError> {
        let (Some(source), Some(file)) = (&self.source, &self.http2) else { return Ok(None) };
        let settings = Http2::check(file, &source.text)
            .map_err(|error| OperatorsFileError::Http2(source.path.clone(), error))?;
        Ok(Some(settings))
    }

    /// Checks the settings of the relays. Returns `None` if the head follows discovery.
    ///
    /// # Errors
    ///
    /// [`OperatorsFileError::Distribution`] with the line of the invalid setting.
    pub fn distribution(&self) -> Result<Option<DistributionSettings>, OperatorsFileError> {
        let (Some(source), Some(file)) = (&self.source, &self.distribution) else { return Ok(None) };
        let settings = DistributionSettings::check(file, &source.text)
            .map_err(|error| OperatorsFileError::Distribution(source.path.clone(), error))?;
        Ok(Some(settings))
    }

    /// Whether a change from `running` to this file needs a restart, which is so if any setting other than load shedding
    /// differs.
    pub fn takes_restart(&self, running: &OperatorsFile) -> bool {
        self.graphite != running.graphite
            || self.collectd != running.collectd
            || self.plugin != running.plugin
            || self.http2().ok() != running.http2().ok()
            || self.distribution().ok() != running.distribution().ok()
    }
}
