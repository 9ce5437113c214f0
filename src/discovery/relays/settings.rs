//! The `[distribution]` table of the operators' configuration file, and its validation. Errors contain the line and the
//! key.

use flaxgap_distribution::selection::{Locality, RelayInfo};
use serde::Deserialize;
use std::collections::HashSet;
use std::net::SocketAddr;
use thiserror::Error;
use toml::Spanned;

/// A validation error in the `[distribution]` table.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
#[error("line {line}: distribution.{key}: {problem}")]
pub struct DistributionError {
    /// The line number in the file, from 1.
    pub line: usize,
    /// The key within the table; for a field of a relay, with the relay's index.
    pub key: String,
    /// Why the value is invalid.
    pub problem: DistributionProblem,
}

/// Why a value of the `[distribution]` table is invalid.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum DistributionProblem {
    /// The list of relays is empty.
    #[error("must contain at least one relay")]
    NoRelays,
    /// A string is empty or contains only white space.
    #[error("must not be empty")]
    Empty,
    /// An address has port 0.
    #[error("needs a port")]
    MissingPort,
    /// Two relays have the same name or address.
    #[error("is already used by another relay")]
    Duplicate,
}

/// The deserialized `[distribution]` table, not validated.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DistributionFile {
    region: Spanned<String>,
    zone: Spanned<String>,
    relays: Spanned<Vec<RelayFile>>,
}

/// A deserialized relay of the table, not validated.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct RelayFile {
    name: Spanned<String>,
    address: Spanned<SocketAddr>,
    region: Spanned<String>,
    zone: Spanned<String>,
}

/// The location of a head, and the relays that it may follow.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DistributionSettings {
    /// The region and zone of the head.
    pub locality: Locality,
    /// The relays, in the order of the file.
    pub relays: Vec<RelayInfo>,
}

impl DistributionSettings {
    /// Validates the `[distribution]` table. `text` is the whole file, from which line numbers are derived.
    ///
    /// # Errors
    ///
    /// Fails if a value is invalid.
    pub fn check(file: &DistributionFile, text: &str) -> Result<DistributionSettings, DistributionError> {
        let validator = TableValidator { text };
        let region = validator.text(&file.region, "region")?;
        let zone = validator.text(&file.zone, "zone")?;
        let relays = validator.relays(&file.relays)?;
        Ok(DistributionSettings { locality: Locality { region, zone }, relays })
    }
}

/// Validates the values of a table and derives the line numbers of errors.
struct TableValidator<'a> {
    text: &'a str,
}

impl TableValidator<'_> {
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

/// The key of a relay's field in error messages.
fn relay_key(index: usize, field: &str) -> String {
    format!("relays[{index}].{field}")
}
