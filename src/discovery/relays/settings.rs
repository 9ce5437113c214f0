//! The `[distribution]` table of the operators' file, and its validation: errors name the line and the key.

use flaxgap_distribution::selection::{Locality, RelayInfo};
use serde::Deserialize;
use std::collections::HashSet;
use std::net::SocketAddr;
use thiserror::Error;
use toml::Spanned;

/// An invalid `[distribution]` table; the operator's fault.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
#[error("line {line}: distribution.{key}: {problem}")]
pub struct DistributionError {
    /// The line in the file, from 1.
    pub line: usize,
    /// The key, with the relay's index if it belongs to a relay.
    pub key: String,
    /// Why the value is invalid.
    pub problem: DistributionProblem,
}

/// Why a value of the `[distribution]` table is invalid.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum DistributionProblem {
    /// The list of relays is empty.
    #[error("names no relay")]
    NoRelays,
    /// A text is empty.
    #[error("must not be empty")]
    Empty,
    /// An address has port 0.
    #[error("needs a port")]
    MissingPort,
    /// Two relays have one name or address.
    #[error("is another relay's as well")]
    Duplicate,
}

/// The table as operators write it.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DistributionFile {
    region: Spanned<String>,
    zone: Spanned<String>,
    relays: Spanned<Vec<RelayFile>>,
}

/// A relay as operators write it.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct RelayFile {
    name: Spanned<String>,
    address: Spanned<SocketAddr>,
    region: Spanned<String>,
    zone: Spanned<String>,
}

/// Where a head runs, and the relays that it may follow.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DistributionSettings {
    /// Where the head runs.
    pub locality: Locality,
    /// All relays, in the file's order.
    pub relays: Vec<RelayInfo>,
}

impl DistributionSettings {
    /// Validates a file's `[distribution]` table; `text` is the whole file, for the line numbers.
    ///
    /// # Errors
    ///
    /// A key is missing or has a value that can't be used; the error names the line.
    pub fn check(file: &DistributionFile, text: &str) -> Result<DistributionSettings, DistributionError> {
        let checker = TableChecker { text };
        let region = checker.text(&file.region, "region")?;
        let zone = checker.text(&file.zone, "zone")?;
        let relays = checker.relays(&file.relays)?;
        Ok(DistributionSettings { locality: Locality { region, zone }, relays })
    }
}

/// Validates a table, and reports errors with their line.
struct TableChecker<'a> {
    text: &'a str,
}

impl TableChecker<'_> {
    fn relays(&self, files: &Spanned<Vec<RelayFile>>) -> Result<Vec<RelayInfo>, DistributionError> {
        if files.get_ref().is_empty() {
            return Err(self.error(files, "relays", DistributionProblem::NoRelays));
        }
        let mut names = HashSet::new();
        let mut addresses = HashSet::new();
        let mut relays = Vec::with_capacity(files.get_ref().len());
        for (index, file) in files.get_ref().iter().enumerate() {
            let relay = self.relay(index, file)?;
            if !names.insert(relay.name.clone()) {
                let key = relay_key(index, "name");
                return Err(self.error(&file.name, &key, DistributionProblem::Duplicate));
            }
            if !addresses.insert(relay.address) {
                let key = relay_key(index, "address");
                return Err(self.error(&file.address, &key, DistributionProblem::Duplicate));
            }
            relays.push(relay);
        }
        Ok(relays)
    }

    fn relay(&self, index: usize, file: &RelayFile) -> Result<RelayInfo, DistributionError> {
        let address = *file.address.get_ref();
        if address.port() == 0 {
            let key = relay_key(index, "address");
            return Err(self.error(&file.address, &key, DistributionProblem::MissingPort));
        }
        Ok(RelayInfo {
            name: self.text(&file.name, &relay_key(index, "name"))?,
            address,
            region: self.text(&file.region, &relay_key(index, "region"))?,
            zone: self.text(&file.zone, &relay_key(index, "zone"))?,
        })
    }

    fn text(&self, value: &Spanned<String>, key: &str) -> Result<String, DistributionError> {
        if value.get_ref().trim().is_empty() {
            return Err(self.error(value, key, DistributionProblem::Empty));
        }
        Ok(value.get_ref().clone())
    }

    fn error<T>(&self, value: &Spanned<T>, key: &str, problem: DistributionProblem) -> DistributionError {
        let text_before = self.text.get(..value.span().start).unwrap_or_default();
        let line = 1 + text_before.matches('\n').count();
        DistributionError { line, key: key.into(), problem }
    }
}

/// The key of a relay's field, as errors name it.
fn relay_key(index: usize, field: &str) -> String {
    format!("relays[{index}].{field}")
}
