//! The configuration file of a head, and the settings in it that it shares with the simulator's adapter. One
//! reader serves both.

mod convert;
mod error;
mod field_names;
mod file;
mod limits;
mod load_report;
pub mod operators_file;
mod wire_settings;

pub use error::{ConfigError, ConfigPart};
pub use limits::Limits;
pub use load_report::report;
pub use wire_settings::WireSettings;

use crate::scheduler::SchedulerSettings;
use convert::convert;
use file::{ConfigFile, parse};
use std::net::SocketAddr;

/// The configuration of one head.
#[derive(Debug)]
pub struct Config {
    /// Its name.
    pub name: String,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// Where the admin server listens, if anywhere.
    pub admin_address: Option<SocketAddr>,
    /// Where discovery answers.
    pub discovery: SocketAddr,
    /// Seed for random numbers.
    pub seed: u64,
    /// Limits of the machine.
    pub limits: Limits,
    /// The endpoint list as this head had it last, in discovery's form.
    pub cached_list: Option<serde_json::Value>,
    /// The scheduler's settings.
    pub settings: SchedulerSettings,
    /// What the wires need of the settings.
    pub wire_settings: WireSettings,
}

impl Config {
    /// Reads the file at a path.
    ///
    /// # Errors
    ///
    /// [`ConfigError`] if the file can't be read, or names the field that can't be served.
    pub fn load(path: &str) -> Result<Config, ConfigError> {
        let text =
            std::fs::read(path).map_err(|source| ConfigError::Unreadable { path: path.into(), source })?;
        Config::parse(&text)
    }

    /// Reads a configuration's text.
    ///
    /// # Errors
    ///
    /// [`ConfigError`], which names the field that can't be served.
    pub fn parse(text: &[u8]) -> Result<Config, ConfigError> {
        let file: ConfigFile = parse(ConfigPart::Configuration, text)?;
        let seed = u64::from_str_radix(&file.seed, 16)
            .map_err(|problem| ConfigError::field("seed", problem.to_string()))?;
        let (mut settings, wire_settings) = convert(file.settings)?;
        settings.max_pending = settings.max_pending.min(file.limits.pending_requests());
        Ok(Config {
            name: file.name,
            listen: file.listen,
            admin_address: file.admin_address,
            discovery: file.discovery,
            seed,
            limits: file.limits,
            cached_list: file.cached_list,
            settings,
            wire_settings,
        })
    }
}

/// Reads settings by themselves.
///
/// # Errors
///
/// [`ConfigError`], which names the field that can't be served.
pub fn read(text: &[u8]) -> Result<(SchedulerSettings, WireSettings), ConfigError> {
    convert(parse(ConfigPart::Settings, text)?)
}
