//! The `[distribution]` table of the operators' file, and its check: what is wrong is told with line and key.

use flaxgap_distribution::selection::{Locality, RelayInfo};
use serde::Deserialize;
use std::collections::HashSet;
use std::net::SocketAddr;
use thiserror::Error;
use toml::Spanned;

/// A `[distribution]` table that can't be used.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
#[error("line {line}: distribution.{key}: {problem}")]
pub struct DistributionError {
    /// The line in the file, from 1.
    pub line: usize,
    /// The key, with the relay's place where it is one of a relay.
    pub key: String,
    /// What is wrong.
    pub problem: String,
}

/// The table as it stands in a file.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DistributionFile {
    region: Spanned<String>,
    zone: Spanned<String>,
    relays: Spanned<Vec<RelayFile>>,
}

/// A relay as it stands in a file.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct RelayFile {
    name: Spanned<String>,
    address: Spanned<SocketAddr>,
    region: Spanned<String>,
    zone: Spanned<String>,
}

/// Where a head is, and the relays that it may follow.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Distribution {
    /// Where the head is.
    pub locality: Locality,
    /// All relays, in the file's order.
    pub relays: Vec<RelayInfo>,
}

impl Distribution {
    /// Checks a file's `[distribution]` table; `text` is the whole file's, for the lines.
    pub fn check(file: &DistributionFile, text: &str) -> Result<Distribution, DistributionError> {
        let check = Check { text };
        let region = check.word(&file.region, "region")?;
        let zone = check.word(&file.zone, "zone")?;
        if file.relays.get_ref().is_empty() {
            return Err(check.error(&file.relays, "relays", "names no relay"));
        }
        let (mut names, mut addresses) = (HashSet::new(), HashSet::new());
        let mut relays = Vec::with_capacity(file.relays.get_ref().len());
        for (place, relay) in file.relays.get_ref().iter().enumerate() {
            let info = check.relay(place, relay)?;
            if !names.insert(info.name.clone()) {
                let key = format!("relays[{place}].name");
                return Err(check.error(&relay.name, &key, "is another relay's as well"));
            }
            if !addresses.insert(info.address) {
                let key = format!("relays[{place}].address");
                return Err(check.error(&relay.address, &key, "is another relay's as well"));
            }
            relays.push(info);
        }
        Ok(Distribution { locality: Locality { region, zone }, relays })
    }
}

/// The text that errors give their lines in.
struct Check<'a> {
    text: &'a str,
}

impl Check<'_> {
    fn error<T>(&self, at: &Spanned<T>, key: &str, problem: &str) -> DistributionError {
        let before = self.text.get(..at.span().start).unwrap_or_default();
        let line = 1 + before.matches('\n').count();
        DistributionError { line, key: key.into(), problem: problem.into() }
    }

    fn word(&self, word: &Spanned<String>, key: &str) -> Result<String, DistributionError> {
        if word.get_ref().trim().is_empty() {
            return Err(self.error(word, key, "must not be empty"));
        }
        Ok(word.get_ref().clone())
    }

    fn relay(&self, place: usize, relay: &RelayFile) -> Result<RelayInfo, DistributionError> {
        let key = |part: &str| format!("relays[{place}].{part}");
        let address = *relay.address.get_ref();
        if address.port() == 0 {
            return Err(self.error(&relay.address, &key("address"), "needs a port"));
        }
        Ok(RelayInfo {
            name: self.word(&relay.name, &key("name"))?,
            address,
            region: self.word(&relay.region, &key("region"))?,
            zone: self.word(&relay.zone, &key("zone"))?,
        })
    }
}
