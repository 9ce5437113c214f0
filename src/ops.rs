//! The operations file: where figures go, and which script watches. Everything in it is off by default.

use crate::export::{Collectd, Graphite};
use crate::plugin::PluginConfig;
use serde::Deserialize;
use thiserror::Error;

/// An operations file that can't be used.
#[derive(Debug, Error)]
pub enum OpsError {
    /// The file can't be read.
    #[error("{0}: {1}")]
    Unreadable(String, std::io::Error),
    /// It is no TOML of the form expected.
    #[error("operations file: {0}")]
    Malformed(#[from] toml::de::Error),
}

/// What the file may hold.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Ops {
    /// Counters to Graphite.
    pub graphite: Option<Graphite>,
    /// Counters to collectd.
    pub collectd: Option<Collectd>,
    /// A script that observes.
    pub plugin: Option<PluginConfig>,
}

impl Ops {
    /// Reads the file.
    pub fn load(path: &str) -> Result<Ops, OpsError> {
        let text = std::fs::read_to_string(path).map_err(|e| OpsError::Unreadable(path.into(), e))?;
        Ok(toml::from_str(&text)?)
    }
}
