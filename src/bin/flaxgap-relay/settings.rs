//! The configuration of a relay: a TOML file, which is validated completely before the relay starts.

use flaxgap_distribution::replica::ReplicaLimits;
use flaxgap_distribution::snapshot_admission::SnapshotLimits;
use serde::Deserialize;
use std::fmt::Display;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::path::{Path, PathBuf};
use thiserror::Error;
use toml::Spanned;

/// Default limit on concurrent watches. 4,200 heads with two watches each cause 420 watches on each of 20 relays; the
/// limit leaves capacity for the heads of the region's other relays when these are down.
const DEFAULT_MAX_WATCHES: usize = 4096;
/// Allowed limits on concurrent watches; each watch needs a file descriptor.
const MAX_WATCHES_RANGE: RangeInclusive<usize> = 1..=100_000;
/// Allowed limits on concurrent sends of the complete list; each may hold an encoded list of 1 MB in memory.
const MAX_SNAPSHOT_SENDS_RANGE: RangeInclusive<usize> = 1..=10_000;
/// Allowed timeouts of slow readers, in seconds.
const SLOW_READER_RANGE_S: RangeInclusive<f64> = 0.1..=60.0;

/// The configuration can't be read or is invalid.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// The file can't be read.
    #[error("{}: {source}", path.display())]
    Unreadable {
        /// The path of the configuration file.
        path: PathBuf,
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// The file is not valid TOML, or has unknown or missing keys.
    #[error("{}: {source}", path.display())]
    Malformed {
        /// The path of the configuration file.
        path: PathBuf,
        /// The error of the parser, with line and column.
        source: toml::de::Error,
    },
    /// A value is not allowed.
    #[error("{}: line {line}: {key}: {problem}", path.display())]
    Value {
        /// The path of the configuration file.
        path: PathBuf,
        /// The line of the value, from 1.
        line: usize,
        /// The key, qualified with the name of its table.
        key: &'static str,
        /// Why the value is not allowed.
        problem: ValueProblem,
    },
}

/// Why a value is not allowed.
#[derive(Debug, Error)]
pub enum ValueProblem {
    /// A required text is empty.
    #[error("must not be empty")]
    Empty,
    /// An address has port 0.
    #[error("needs a port")]
    MissingPort,
    /// The upstream is the relay's own address.
    #[error("must not be the relay's own address")]
    OwnAddress,
    /// A number is out of its range.
    #[error("{value} is not from {min} to {max}")]
    OutOfRange {
        /// The configured number.
        value: String,
        /// The smallest number allowed.
        min: String,
        /// The largest number allowed.
        max: String,
    },
}

/// The contents of the configuration file.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct SettingsFile {
    name: Spanned<String>,
    listen: SocketAddr,
    upstream: Spanned<SocketAddr>,
    #[serde(default)]
    limits: LimitsTable,
}

/// The `[limits]` table.
#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
struct LimitsTable {
    watchers: Option<Spanned<usize>>,
    whole_sends: Option<Spanned<usize>>,
    slow_reader_s: Option<Spanned<f64>>,
}

/// The configuration of a relay.
#[derive(Clone, Debug, PartialEq)]
pub struct RelaySettings {
    /// The relay's name in the log and in the status report.
    pub name: String,
    /// The address on which the relay listens for heads.
    pub listen: SocketAddr,
    /// The address of the upstream that the relay watches: discovery or another relay.
    pub upstream: SocketAddr,
    /// Limit on concurrent watches.
    pub max_watches: usize,
    /// Limit on concurrent sends of the complete list.
    pub max_snapshot_sends: usize,
    /// How long a watcher may leave pending data unread, in seconds.
    pub slow_reader_s: f64,
}

impl RelaySettings {
    /// Reads and validates a configuration file.
    pub fn load(path: &Path) -> Result<RelaySettings, SettingsError> {
        let text = std::fs::read_to_string(path)
            .map_err(|source| SettingsError::Unreadable { path: path.into(), source })?;
        let file: SettingsFile =
            toml::from_str(&text).map_err(|source| SettingsError::Malformed { path: path.into(), source })?;
        let checker = FileChecker { path, text: &text };
        checker.check_settings(file)
    }
}

/// Validates the contents of a file, and reports errors with their line.
struct FileChecker<'a> {
    path: &'a Path,
    text: &'a str,
}

impl FileChecker<'_> {
    fn check_settings(&self, file: SettingsFile) -> Result<RelaySettings, SettingsError> {
        self.check_name(&file.name)?;
        self.check_upstream(&file.upstream, file.listen)?;
        let limits = &file.limits;
        let max_watches =
            self.number(&limits.watchers, "limits.watchers", DEFAULT_MAX_WATCHES, MAX_WATCHES_RANGE)?;
        let max_snapshot_sends = self.number(
            &limits.whole_sends,
            "limits.whole_sends",
            SnapshotLimits::default().max_sending,
            MAX_SNAPSHOT_SENDS_RANGE,
        )?;
        let slow_reader_s = self.number(
            &limits.slow_reader_s,
            "limits.slow_reader_s",
            ReplicaLimits::default().slow_reader_s,
            SLOW_READER_RANGE_S,
        )?;
        Ok(RelaySettings {
            name: file.name.into_inner(),
            listen: file.listen,
            upstream: file.upstream.into_inner(),
            max_watches,
            max_snapshot_sends,
            slow_reader_s,
        })
    }

    fn check_name(&self, name: &Spanned<String>) -> Result<(), SettingsError> {
        if name.get_ref().trim().is_empty() {
            return Err(self.error(name, "name", ValueProblem::Empty));
        }
        Ok(())
    }

    fn check_upstream(
        &self,
        upstream: &Spanned<SocketAddr>,
        listen: SocketAddr,
    ) -> Result<(), SettingsError> {
        if upstream.get_ref().port() == 0 {
            return Err(self.error(upstream, "upstream", ValueProblem::MissingPort));
        }
        if *upstream.get_ref() == listen {
            return Err(self.error(upstream, "upstream", ValueProblem::OwnAddress));
        }
        Ok(())
    }

    /// Checks that a number is within its range; returns the default if the file does not set it.
    fn number<T: PartialOrd + Copy + Display>(
        &self,
        found: &Option<Spanned<T>>,
        key: &'static str,
        default: T,
        range: RangeInclusive<T>,
    ) -> Result<T, SettingsError> {
        let Some(found) = found else { return Ok(default) };
        let value = *found.get_ref();
        if range.contains(&value) {
            return Ok(value);
        }
        let problem = ValueProblem::OutOfRange {
            value: value.to_string(),
            min: range.start().to_string(),
            max: range.end().to_string(),
        };
        Err(self.error(found, key, problem))
    }

    fn error<T>(&self, value: &Spanned<T>, key: &'static str, problem: ValueProblem) -> SettingsError {
        let text_before = self.text.get(..value.span().start).unwrap_or_default();
        let line = 1 + text_before.matches('\n').count();
        SettingsError::Value { path: self.path.into(), line, key, problem }
    }
}
