//! Reload on SIGHUP: reads the configuration files again and applies the settings that can change at run time.

use super::build::Parts;
use crate::config::operators_file::{OperatorsFile, OperatorsFileError};
use crate::config::{Config, ConfigError};
use crate::scheduler::SchedulerSettings;
use std::net::SocketAddr;
use thiserror::Error;
use tokio::sync::watch;

/// An error that leaves the running settings unchanged.
#[derive(Debug, Error)]
enum ReloadError {
    #[error(transparent)]
    Config(#[from] ConfigError),
    #[error(transparent)]
    OperatorsFile(#[from] OperatorsFileError),
}

/// The newly read configuration, with all settings checked.
struct NewConfiguration {
    config: Config,
    operators_file: OperatorsFile,
    shedding: Option<flaxgap_load_shedding::SheddingSettings>,
}

/// The running configuration, and the components to which a new one is applied.
pub(super) struct Reloader {
    /// Path of the configuration file.
    pub(super) config_path: String,
    /// The head's name.
    pub(super) name: String,
    /// Listening address of the HTTP/1.1 frontend.
    pub(super) listen: SocketAddr,
    /// Settings of the scheduler.
    pub(super) settings: SchedulerSettings,
    /// The operators' file as read at startup.
    pub(super) operators_file: OperatorsFile,
    /// Address of discovery.
    pub(super) discovery: watch::Sender<SocketAddr>,
    /// The components that all frontends share.
    pub(super) parts: Parts,
}

impl Reloader {
    /// Reads the files and applies the limits, load shedding and the address of discovery. Logs a warning for each other
    /// change, which needs a restart. If either file is invalid, nothing changes.
    pub(super) fn reload(&self) {
        let new = match self.read() {
            Ok(new) => new,
            Err(error) => {
                self.parts.counters.reloads_failed.add();
                log::error!("daemon: reload: {error}; the running settings stay");
                return;
            }
        };
        self.parts.counters.reloads_ok.add();
        self.log_changes_that_take_a_restart(&new);
        self.apply(new);
    }

    fn read(&self) -> Result<NewConfiguration, ReloadError> {
        let config = Config::load(&self.config_path)?;
        let operators_file = match self.operators_file.path() {
            Some(path) => OperatorsFile::load(path)?,
            None => OperatorsFile::default(),
        };
        operators_file.http2()?;
        operators_file.distribution()?;
        let shedding = operators_file.shedding(&config.wire_settings)?;
        Ok(NewConfiguration { config, operators_file, shedding })
    }

    fn log_changes_that_take_a_restart(&self, new: &NewConfiguration) {
        let changes = [
            ("name", new.config.name != self.name),
            ("listen", new.config.listen != self.listen),
            ("settings", new.config.settings != self.settings),
            (
                "the operators' file, but for its levels,",
                new.operators_file.takes_restart(&self.operators_file),
            ),
        ];
        for (part, changed) in changes {
            if changed {
                log::warn!("daemon: reload: {part} changed, which takes a restart");
            }
        }
    }

    fn apply(&self, new: NewConfiguration) {
        let NewConfiguration { config, shedding, .. } = new;
        self.parts.descriptors.set_limit(config.limits.descriptors());
        self.parts.memory.set_limit(config.limits.memory_mb);
        if self.parts.shedding.configure(shedding) {
            // The exclusions have not changed. This call makes the directory report the state of all nodes to the new
            // load-shedding monitor, which starts without any.
            self.parts.directory.on_exclusions_changed();
        }
        log::info!("daemon: reloaded, discovery at {}", config.discovery);
        self.discovery.send_if_modified(|address| {
            let previous = std::mem::replace(address, config.discovery);
            previous != config.discovery
        });
    }
}
