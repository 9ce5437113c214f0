//! Parser of the JSON format of endpoint lists. Only this module and `list_header` depend on the field names of that
//! format.
//!
//! Entries are parsed one by one, so that an invalid entry does not affect the others. An entry in the expected
//! format is deserialized as a whole (`WireEntry`). Any other entry is read field by field (`FieldReader`), since its
//! valid fields can still be used: in particular, a node may be draining although another field of its entry is
//! invalid.

use crate::compact::CompactList;
use crate::list::{EndpointList, Entry, EntryProblem, EntryRef, NodeState, UnreadableEntry};
use serde::Deserialize;
use serde_json::Value;
use serde_json::value::RawValue;
use std::borrow::Cow;
use std::net::SocketAddr;
use thiserror::Error;

const NAME: &str = "uid";
const ADDRESS: &str = "endpoint";
const ZONE: &str = "az";
const SHARD: &str = "pod_group";
const STATE: &str = "state";
const STARTED_AT_MS: &str = "boot_ms";

/// The shard of a ready node whose entry does not contain a shard.
const DEFAULT_SHARD: u32 = 0;

/// The error for a list without any usable entry.
#[derive(Debug, Error)]
pub enum ListError {
    /// The list is not a JSON object of the expected format.
    #[error("list: {0}")]
    Malformed(#[from] serde_json::Error),
    /// The list has entries, but all of them are invalid.
    #[error("list: version {version}, none of {count} entries can be read, the first: {first}")]
    NoReadableEntry {
        /// The list's version.
        version: u64,
        /// The number of entries.
        count: usize,
        /// The first invalid entry and its problem.
        #[source]
        first: UnreadableEntry,
    },
}

/// The JSON object of a list, with unparsed entries.
#[derive(Deserialize)]
struct WireList<'a> {
    rev: u64,
    #[serde(default)]
    all: bool,
    #[serde(borrow)]
    targets: Vec<&'a RawValue>,
}

/// A [`WireList`] that is a part of a JSON document that was parsed before.
#[derive(Deserialize)]
struct WireListValue {
    rev: u64,
    #[serde(default)]
    all: bool,
    targets: Vec<Value>,
}

/// A JSON string, borrowed from the input unless it contains escapes.
#[derive(Deserialize)]
struct Text<'a>(#[serde(borrow)] Cow<'a, str>);

/// An entry in the expected format.
#[derive(Deserialize)]
struct WireEntry<'a> {
    #[serde(borrow)]
    uid: Cow<'a, str>,
    #[serde(borrow, default)]
    endpoint: Option<Text<'a>>,
    #[serde(borrow, default)]
    az: Option<Text<'a>>,
    #[serde(default)]
    pod_group: Option<u32>,
    #[serde(borrow)]
    state: Cow<'a, str>,
    #[serde(default)]
    boot_ms: Option<f64>,
}

impl WireEntry<'_> {
    /// Returns the entry if every field is valid. Otherwise [`FieldReader`] has to read the fields one by one.
    fn validated(&self) -> Option<EntryRef<'_>> {
        let state = parse_state(&self.state)?;
        let address = match &self.endpoint {
            Some(text) => Some(text.0.parse().ok()?),
            None if state == NodeState::Ready => return None,
            None => None,
        };
        let started_at_ms = self.boot_ms.unwrap_or(0.0);
        if self.uid.is_empty() || !started_at_ms.is_finite() {
            return None;
        }
        Some(EntryRef {
            name: &self.uid,
            address,
            zone: self.az.as_ref().map_or("", |zone| &zone.0),
            shard: self.pod_group.or(default_shard(state)),
            state,
            started_at: unix_seconds(started_at_ms),
        })
    }
}

impl CompactList {
    /// Parses the text of a list.
    ///
    /// # Errors
    /// Fails if the text is not a list, or if the list has entries and all of them are invalid.
    pub fn parse(text: &[u8]) -> Result<CompactList, ListError> {
        let wire: WireList<'_> = serde_json::from_slice(text)?;
        let mut list = CompactList::with_capacity(wire.rev, wire.all, wire.targets.len());
        for (index, value) in wire.targets.iter().enumerate() {
            parse_entry(index, value, &mut list);
        }
        match list.unreadable.first() {
            Some(first) if list.is_empty() => Err(ListError::NoReadableEntry {
                version: list.version,
                count: wire.targets.len(),
                first: first.clone(),
            }),
            _ => Ok(list),
        }
    }
}

impl EndpointList {
    /// Parses the text of a list.
    ///
    /// # Errors
    /// Fails if the text is not a list, or if the list has entries and all of them are invalid.
    pub fn parse(text: &[u8]) -> Result<EndpointList, ListError> {
        CompactList::parse(text).map(EndpointList::from)
    }

    /// Converts a list that is a part of a larger, parsed document.
    ///
    /// # Errors
    /// Fails if the value is not a list, or if the list has entries and all of them are invalid.
    pub fn from_value(value: Value) -> Result<EndpointList, ListError> {
        let wire: WireListValue = serde_json::from_value(value)?;
        let mut entries = Vec::new();
        let mut unreadable = Vec::new();
        for (index, value) in wire.targets.iter().enumerate() {
            entries.extend(read_entry(index, value, &mut unreadable));
        }
        match unreadable.first() {
            Some(first) if entries.is_empty() => Err(ListError::NoReadableEntry {
                version: wire.rev,
                count: wire.targets.len(),
                first: first.clone(),
            }),
            _ => Ok(EndpointList { version: wire.rev, is_snapshot: wire.all, entries, unreadable }),
        }
    }
}

/// Parses an entry and appends it to the list. Records its problems in the list's unreadable entries.
fn parse_entry(index: usize, value: &RawValue, list: &mut CompactList) {
    if let Ok(wire) = serde_json::from_str::<WireEntry<'_>>(value.get())
        && let Some(entry) = wire.validated()
    {
        return list.push(entry);
    }
    match serde_json::from_str(value.get()) {
        Ok(value) => {
            if let Some(entry) = read_entry(index, &value, &mut list.unreadable) {
                list.push(EntryRef::from(&entry));
            }
        }
        Err(error) => {
            let problem = EntryProblem::Malformed(error.to_string());
            list.unreadable.push(UnreadableEntry { index, name: None, problem });
        }
    }
}

/// Reads one entry field by field, and appends its problems to `unreadable`.
///
/// Returns no entry for a ready node with an invalid field: the known record of the node stays valid. For a node that
/// is draining or gone, or whose state is unknown, returns an entry with the valid fields, since its drain or removal
/// must not be missed.
fn read_entry(index: usize, value: &Value, unreadable: &mut Vec<UnreadableEntry>) -> Option<Entry> {
    let name = present_field(value, NAME).and_then(Value::as_str).filter(|name| !name.is_empty());
    let name = name.map(String::from);
    let mut reader = FieldReader { index, value, name: name.clone(), unreadable, all_valid: true };
    let Some(name) = name else {
        reader.record_problem(EntryProblem::NameMissing);
        return None;
    };
    let state = reader.state()?;
    let entry = Entry {
        name,
        address: reader.address(state),
        shard: reader.shard(state),
        started_at: reader.started_at(),
        zone: reader.zone(),
        state,
    };
    if reader.all_valid || state != NodeState::Ready { Some(entry) } else { None }
}

/// Reads the fields of one entry and records those that are invalid.
struct FieldReader<'a> {
    index: usize,
    value: &'a Value,
    name: Option<String>,
    unreadable: &'a mut Vec<UnreadableEntry>,
    /// Whether all fields read so far are valid. An unknown state is not an invalid field: it is treated as draining.
    all_valid: bool,
}

impl FieldReader<'_> {
    fn record_problem(&mut self, problem: EntryProblem) {
        self.unreadable.push(UnreadableEntry { index: self.index, name: self.name.clone(), problem });
    }

    fn record_invalid_field(&mut self, field: &'static str, value: &Value) {
        self.all_valid = false;
        self.record_problem(EntryProblem::InvalidField { field, value: value.clone() });
    }

    /// The node's state. `None` if the entry does not contain one.
    fn state(&mut self) -> Option<NodeState> {
        let Some(value) = present_field(self.value, STATE) else {
            self.record_problem(EntryProblem::StateMissing);
            return None;
        };
        let known = value.as_str().and_then(parse_state);
        if known.is_none() {
            self.record_problem(EntryProblem::StateUnknown(value.clone()));
        }
        Some(known.unwrap_or(NodeState::Draining))
    }

    /// The node's address. It is required for a ready node, and an invalid address of a removed node is ignored.
    fn address(&mut self, state: NodeState) -> Option<SocketAddr> {
        let Some(value) = present_field(self.value, ADDRESS) else {
            if state == NodeState::Ready {
                self.record_invalid_field(ADDRESS, &Value::Null);
            }
            return None;
        };
        let address = value.as_str().and_then(|text| text.parse().ok());
        if address.is_none() && state != NodeState::Gone {
            self.record_invalid_field(ADDRESS, value);
        }
        address
    }

    fn shard(&mut self, state: NodeState) -> Option<u32> {
        let Some(value) = present_field(self.value, SHARD) else {
            return default_shard(state);
        };
        let shard = value.as_u64().and_then(|shard| u32::try_from(shard).ok());
        if shard.is_none() {
            self.record_invalid_field(SHARD, value);
        }
        shard
    }

    /// When the node last started, in seconds of Unix time; 0 if unknown.
    fn started_at(&mut self) -> f64 {
        let Some(value) = present_field(self.value, STARTED_AT_MS) else {
            return 0.0;
        };
        let milliseconds = value.as_f64().filter(|milliseconds| milliseconds.is_finite());
        if milliseconds.is_none() {
            self.record_invalid_field(STARTED_AT_MS, value);
        }
        unix_seconds(milliseconds.unwrap_or(0.0))
    }

    fn zone(&self) -> String {
        present_field(self.value, ZONE).and_then(Value::as_str).unwrap_or_default().to_string()
    }
}

/// Returns the value of a field that exists and is not null.
fn present_field<'a>(value: &'a Value, field: &str) -> Option<&'a Value> {
    value.get(field).filter(|value| !value.is_null())
}

fn parse_state(text: &str) -> Option<NodeState> {
    match text {
        "ready" => Some(NodeState::Ready),
        "draining" => Some(NodeState::Draining),
        "gone" => Some(NodeState::Gone),
        _ => None,
    }
}

/// The shard of a node whose entry does not contain one. A node that is draining or gone keeps its known shard.
fn default_shard(state: NodeState) -> Option<u32> {
    (state == NodeState::Ready).then_some(DEFAULT_SHARD)
}

/// Converts the start time of a list entry to seconds; a time before 1970 becomes 0.
fn unix_seconds(milliseconds: f64) -> f64 {
    if milliseconds > 0.0 { milliseconds / 1000.0 } else { 0.0 }
}
