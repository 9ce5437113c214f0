//! SIGHUP: reads the files again and applies what can change in a running program.

use super::build::Parts;
use crate::config::operators_file::{OperatorsFile, OperatorsFileError};
use crate::config::{Config, ConfigError};
use crate::scheduler::SchedulerSettings;
use std::net::SocketAddr;
use thiserror::Error;
use tokio::sync::watch;

/// Why the files can't be applied.
#[derive(Debug, Error)]
enum ReloadError {
    #[error(transparent)]
    Config(#[from] ConfigError),
    #[error(transparent)]
    OperatorsFile(#[from] OperatorsFileError),
}

/// The files as read again, each part checked.
struct NewConfiguration {
    config: Config,
    operators_file: OperatorsFile,
    shedding: Option<flaxgap_load_shedding::SheddingSettings>,
}

/// The configuration that the program runs with, and the parts to which a new one is applied.
pub(super) struct Reloader {
    /// Path of the configuration file.
    pub(super) config_path: String,
    /// The head's name.
    pub(super) name: String,
    /// Where clients connect.
    pub(super) listen: SocketAddr,
    /// The scheduler's settings.
    pub(super) settings: SchedulerSettings,
    /// The operators' file.
    pub(super) operators_file: OperatorsFile,
    /// Where discovery answers.
    pub(super) discovery: watch::Sender<SocketAddr>,
    /// The parts.
    pub(super) parts: Parts,
}

impl Reloader {
    /// Reads the files and applies limits, load shedding and discovery's address; the log names what else has
    /// changed and takes a restart. If either file can't be used, nothing changes.
    pub(super) fn reload(&self) {
        let new = match self.read() {
            Ok(new) => new,
            Err(problem) => {
                self.parts.counters.reloads_failed.add();
                log::error!("daemon: reload: {problem}; the running settings stay");
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
            // The exclusions have not changed. A new monitor knows no node's state yet, and this call has the
            // directory report all nodes again.
            self.parts.directory.on_exclusions_changed();
        }
        log::info!("daemon: reloaded, discovery at {}", config.discovery);
        self.discovery.send_if_modified(|address| {
            let previous = std::mem::replace(address, config.discovery);
            previous != config.discovery
        });
    }
}
