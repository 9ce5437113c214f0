//! Configuration of a head: the configuration file, and the operators' file.
//!
//! The configuration file contains the settings that all heads share. The simulator's adapter receives the same settings
//! without the file; both use the parser in this module.

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

use crate::resources::repeat::read_file;
use crate::scheduler::SchedulerSettings;
use convert::convert;
use file::{ConfigFile, parse};
use std::net::SocketAddr;

/// The configuration of one head.
#[derive(Debug)]
pub struct Config {
    /// Name of the head.
    pub name: String,
    /// Listening address of the HTTP/1.1 frontend.
    pub listen: SocketAddr,
    /// Listening address of the admin server; `None` if the file has none.
    pub admin_address: Option<SocketAddr>,
    /// Address of discovery.
    pub discovery: SocketAddr,
    /// Seed of the pseudo-random number generators.
    pub seed: u64,
    /// Resource limits of the process.
    pub limits: Limits,
    /// The last endpoint list known to an earlier process of this head, in discovery's JSON format.
    pub cached_list: Option<serde_json::Value>,
    /// Settings of the scheduler.
    pub settings: SchedulerSettings,
    /// Settings of the frontends, the node transport and discovery.
    pub wire_settings: WireSettings,
}

impl Config {
    /// Reads and checks the configuration file at `path`.
    ///
    /// # Errors
    ///
    /// [`ConfigError`] if the file can't be read or a field is invalid.
    pub fn load(path: &str) -> Result<Config, ConfigError> {
        let text = read_file(path).map_err(|source| ConfigError::Unreadable { path: path.into(), source })?;
        Config::parse(&text)
    }

    /// Parses and checks the text of a configuration file.
    ///
    /// # Errors
    ///
    /// [`ConfigError`] with the path of the first invalid field.
    pub fn parse(text: &[u8]) -> Result<Config, ConfigError> {
        let file: ConfigFile = parse(ConfigPart::Configuration, text)?;
        let seed = u64::from_str_radix(&file.seed, 16)
            .map_err(|error| ConfigError::field("seed", error.to_string()))?;
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

/// Parses and checks settings without a configuration file, as the simulator's adapter receives them.
///
/// # Errors
///
/// [`ConfigError`] with the path of the first invalid field.
pub fn read(text: &[u8]) -> Result<(SchedulerSettings, WireSettings), ConfigError> {
    convert(parse(ConfigPart::Settings, text)?)
}
