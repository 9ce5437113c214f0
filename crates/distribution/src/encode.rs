//! Lists in discovery's form, one to a line, always with the same fields in the same order.

use bytes::Bytes;
use flaxgap_membership::wire::{Entry, State};
use serde::Serialize;
use std::collections::BTreeSet;

/// An entry as it is sent. Fields that nothing is known of are left out.
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

/// A list as it is sent.
#[derive(Serialize)]
struct WireList<'a> {
    rev: u64,
    all: bool,
    targets: Vec<WireEntry<'a>>,
}

/// What a name that left is told as.
pub(crate) fn gone(name: String) -> Entry {
    Entry { name, address: None, zone: String::new(), shard: None, state: State::Gone, boot: 0.0 }
}

fn state_name(state: State) -> &'static str {
    match state {
        State::Ready => "ready",
        State::Draining => "draining",
        State::Gone => "gone",
    }
}

fn wire_entry(entry: &Entry) -> WireEntry<'_> {
    WireEntry {
        uid: &entry.name,
        endpoint: entry.address.map(|address| address.to_string()),
        az: &entry.zone,
        pod_group: entry.shard,
        state: Some(state_name(entry.state)),
        boot_ms: (entry.boot * 1000.0).round() as u64,
    }
}

/// A name of which nothing else could be read: its reader keeps what it knows of the node.
fn wire_unread(name: &str) -> WireEntry<'_> {
    WireEntry { uid: name, endpoint: None, az: "", pod_group: None, state: None, boot_ms: 0 }
}

fn line(list: &WireList<'_>) -> Result<Bytes, serde_json::Error> {
    let mut text = serde_json::to_vec(list)?;
    text.push(b'\n');
    Ok(text.into())
}

/// One line with the changes that lead to a version.
pub(crate) fn changes(rev: u64, entries: &[Entry]) -> Result<Bytes, serde_json::Error> {
    line(&WireList { rev, all: false, targets: entries.iter().map(wire_entry).collect() })
}

/// One line that says that nothing has come after a version.
pub(crate) fn no_changes(rev: u64) -> Bytes {
    format!("{{\"rev\":{rev},\"all\":false,\"targets\":[]}}\n").into()
}

/// One line with the whole list.
pub(crate) fn whole<'a>(
    rev: u64,
    entries: impl Iterator<Item = &'a Entry>,
    unread: &'a BTreeSet<String>,
) -> Result<Bytes, serde_json::Error> {
    let unread = unread.iter().map(|name| wire_unread(name));
    line(&WireList { rev, all: true, targets: entries.map(wire_entry).chain(unread).collect() })
}
