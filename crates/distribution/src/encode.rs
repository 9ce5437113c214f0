//! Encodes lists in the discovery protocol: one JSON object per line, always with the same order of fields.

use bytes::Bytes;
use flaxgap_membership::list::{Entry, NodeState};
use serde::Serialize;
use std::collections::BTreeSet;

/// Milliseconds in a second; start times are encoded in milliseconds.
const MS_PER_S: f64 = 1000.0;

/// The wire form of an entry. Fields with an unknown value are omitted.
#[derive(Serialize)]
struct WireEntry<'a> {
    uid: &'a str,
    #[serde(skip_serializing_if = "Option::is_none")]
    endpoint: Option<String>,
    #[serde(skip_serializing_if = "str::is_empty")]
    az: &'a str,
    #[serde(skip_serializing_if = "Option::is_none")]
    pod_group: Option<u32>,
    #[serde(skip_serializing_if = "Option::is_none")]
    state: Option<&'static str>,
    boot_ms: u64,
}

/// The wire form of a list.
#[derive(Serialize)]
struct WireList<'a> {
    rev: u64,
    all: bool,
    targets: Vec<WireEntry<'a>>,
}

/// The entry that announces the departure of a node.
pub(crate) fn departed_entry(name: String) -> Entry {
    Entry { name, address: None, zone: String::new(), shard: None, state: NodeState::Gone, started_at: 0.0 }
}

fn state_name(state: NodeState) -> &'static str {
    match state {
        NodeState::Ready => "ready",
        NodeState::Draining => "draining",
        NodeState::Gone => "gone",
    }
}

fn wire_entry(entry: &Entry) -> WireEntry<'_> {
    WireEntry {
        uid: &entry.name,
        endpoint: entry.address.map(|address| address.to_string()),
        az: &entry.zone,
        pod_group: entry.shard,
        state: Some(state_name(entry.state)),
        boot_ms: (entry.started_at * MS_PER_S).round() as u64,
    }
}

/// The wire form of a node of which only the name could be parsed. The receiver keeps its previous entry of the node.
fn name_only_entry(name: &str) -> WireEntry<'_> {
    WireEntry { uid: name, endpoint: None, az: "", pod_group: None, state: None, boot_ms: 0 }
}

fn encode_line(list: &WireList<'_>) -> Result<Bytes, serde_json::Error> {
    let mut text = serde_json::to_vec(list)?;
    text.push(b'\n');
    Ok(text.into())
}

/// Encodes the changes that bring a receiver to a version.
pub(crate) fn encode_changes(version: u64, entries: &[Entry]) -> Result<Bytes, serde_json::Error> {
    let targets = entries.iter().map(wire_entry).collect();
    encode_line(&WireList { rev: version, all: false, targets })
}

/// Encodes a list without changes, for a watcher that already knows the version.
pub(crate) fn encode_no_changes(version: u64) -> Bytes {
    format!("{{\"rev\":{version},\"all\":false,\"targets\":[]}}\n").into()
}

/// Encodes the complete list.
pub(crate) fn encode_snapshot<'a>(
    version: u64,
    entries: impl Iterator<Item = &'a Entry>,
    name_only: &'a BTreeSet<String>,
) -> Result<Bytes, serde_json::Error> {
    let mut targets: Vec<WireEntry<'_>> = entries.map(wire_entry).collect();
    targets.extend(name_only.iter().map(|name| name_only_entry(name)));
    encode_line(&WireList { rev: version, all: true, targets })
}
