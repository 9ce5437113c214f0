//! The relay's configuration: a TOML file, checked in full before anything starts.

use flaxgap_distribution::replica::ReplicaLimits;
use flaxgap_distribution::snapshot_admission::SnapshotLimits;
use serde::Deserialize;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use thiserror::Error;
use toml::Spanned;

/// Watchers at a time. 4,200 heads with two watches each are 420 at each of 20 relays; this leaves room for a
/// region's relays to carry the heads of those that are down.
const MAX_WATCHERS: usize = 4096;

/// A configuration that can't be used.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// The file can't be read.
    #[error("{}: {problem}", path.display())]
    Unreadable {
        /// Where it was looked for.
        path: PathBuf,
        /// What the system says.
        problem: std::io::Error,
    },
    /// It is no TOML of the form expected.
    #[error("{}: {problem}", path.display())]
    Malformed {
        /// The file.
        path: PathBuf,
        /// What is wrong, with line and column.
        problem: toml::de::Error,
    },
    /// A value is out of its range.
    #[error("{}: line {line}: {key}: {problem}", path.display())]
    Value {
        /// The file.
        path: PathBuf,
        /// The line, from 1.
        line: usize,
        /// The key, with its table.
        key: &'static str,
        /// What is wrong with it.
        problem: String,
    },
}

/// The file as operators word it.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct SettingsFile {
    name: Spanned<String>,
    listen: SocketAddr,
    upstream: Spanned<SocketAddr>,
    #[serde(default)]
    limits: LimitsFile,
}

/// The `[limits]` table.
#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
struct LimitsFile {
    watchers: Option<Spanned<usize>>,
    whole_sends: Option<Spanned<usize>>,
    slow_reader_s: Option<Spanned<f64>>,
}

/// What a relay goes by.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Its name in the log and in its counters.
    pub name: String,
    /// Where heads call it.
    pub listen: SocketAddr,
    /// The source that it follows.
    pub upstream: SocketAddr,
    /// Watchers at a time.
    pub watchers: usize,
    /// Whole lists that are being sent at a time.
    pub whole_sends: usize,
    /// How many seconds a watcher may leave what was sent to it unread.
    pub slow_reader_s: f64,
}

/// A file and its text, for errors with their place.
struct Source<'a> {
    path: &'a Path,
    text: &'a str,
}

impl Source<'_> {
    fn error<T>(&self, value: &Spanned<T>, key: &'static str, problem: String) -> SettingsError {
        let before = self.text.get(..value.span().start).unwrap_or_default();
        SettingsError::Value { path: self.path.into(), line: 1 + before.matches('\n').count(), key, problem }
    }

    /// A number in a range; the default where the file has none.
    fn number<T: PartialOrd + Copy + std::fmt::Display>(
        &self,
        found: &Option<Spanned<T>>,
        key: &'static str,
        default: T,
        (least, most): (T, T),
    ) -> Result<T, SettingsError> {
        let Some(found) = found else { return Ok(default) };
        let value = *found.get_ref();
        if value >= least && value <= most {
            return Ok(value);
        }
        Err(self.error(found, key, format!("{value} is not from {least} to {most}")))
    }
}

impl Settings {
    /// Reads and checks a file.
    pub fn load(path: &Path) -> Result<Settings, SettingsError> {
        let text = std::fs::read_to_string(path)
            .map_err(|problem| SettingsError::Unreadable { path: path.into(), problem })?;
        let file: SettingsFile = toml::from_str(&text)
            .map_err(|problem| SettingsError::Malformed { path: path.into(), problem })?;
        Settings::check(file, &Source { path, text: &text })
    }

    fn check(file: SettingsFile, source: &Source) -> Result<Settings, SettingsError> {
        let (name, upstream) = (file.name.get_ref(), *file.upstream.get_ref());
        if name.trim().is_empty() {
            return Err(source.error(&file.name, "name", "must not be empty".into()));
        }
        if upstream.port() == 0 {
            return Err(source.error(&file.upstream, "upstream", "needs a port".into()));
        }
        if upstream == file.listen {
            return Err(source.error(&file.upstream, "upstream", "is the relay itself".into()));
        }
        let limits = &file.limits;
        let sends = SnapshotLimits::default().max_sending;
        let slow_reader_s = ReplicaLimits::default().slow_reader_s;
        Ok(Settings {
            name: name.clone(),
            listen: file.listen,
            upstream,
            watchers: source.number(&limits.watchers, "limits.watchers", MAX_WATCHERS, (1, 100_000))?,
            whole_sends: source.number(&limits.whole_sends, "limits.whole_sends", sends, (1, 10_000))?,
            slow_reader_s: source.number(
                &limits.slow_reader_s,
                "limits.slow_reader_s",
                slow_reader_s,
                (0.1, 60.0),
            )?,
        })
    }
}
