//! Discovery's form of a list, read entry by entry: one that can't be read costs no other entry, a drain above all.

use crate::compact::CompactList;
use serde::Deserialize;
use serde_json::Value;
use std::net::SocketAddr;
use thiserror::Error;

/// Whether a node takes work, as a list has it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// Takes work.
    Ready,
    /// Finishes its work; must get none.
    Draining,
    /// Removed.
    Gone,
}

/// One entry of a list.
#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    /// The node's name among all heads.
    pub name: String,
    /// Where this head reaches it; none where it takes no work and the address can't be read.
    pub address: Option<SocketAddr>,
    /// Its zone; empty where there are none.
    pub zone: String,
    /// The shard it holds; none where it takes no work and that can't be read.
    pub shard: Option<u32>,
    /// Whether it takes work.
    pub state: State,
    /// Its last start, in seconds of Unix time; 0 for long ago.
    pub boot: f64,
}

/// The list, or changes of it.
#[derive(Clone, Debug, PartialEq)]
pub struct List {
    /// Its version.
    pub rev: u64,
    /// Whether it is the whole list.
    pub all: bool,
    /// The entries that could be read.
    pub entries: Vec<Entry>,
    /// What could not be read, with its place. What was known of these nodes stands.
    pub unread: Vec<Unread>,
}

/// An entry, or a part of one, that can't be read.
#[derive(Clone, Debug, PartialEq, Error)]
#[error("entry {place} ({}): {problem}", name.as_deref().unwrap_or("no name"))]
pub struct Unread {
    /// Its place in the list, from 0.
    pub place: usize,
    /// The node's name, if that much can be read.
    pub name: Option<String>,
    /// What is wrong.
    pub problem: String,
}

/// A list of which nothing can be used.
#[derive(Debug, Error)]
pub enum ListError {
    /// It is not of the form expected.
    #[error("list: {0}")]
    Malformed(#[from] serde_json::Error),
    /// Not one of its entries can be read.
    #[error("list: version {rev}, none of {count} entries can be read, the first: {first}")]
    Nothing {
        /// Its version.
        rev: u64,
        /// How many entries it has.
        count: usize,
        /// What is wrong with the first.
        first: Unread,
    },
}

#[derive(Deserialize)]
struct Raw {
    rev: u64,
    #[serde(default)]
    all: bool,
    targets: Vec<Value>,
}

impl List {
    /// Reads a list's text.
    pub fn parse(text: &[u8]) -> Result<List, ListError> {
        CompactList::parse(text).map(List::from)
    }

    /// Reads a list out of a larger document.
    pub fn from_value(value: Value) -> Result<List, ListError> {
        List::read(serde_json::from_value(value)?)
    }

    fn read(raw: Raw) -> Result<List, ListError> {
        let (mut list, count) =
            (List { rev: raw.rev, all: raw.all, entries: vec![], unread: vec![] }, raw.targets.len());
        for (place, value) in raw.targets.iter().enumerate() {
            list.entries.extend(read_entry(place, value, &mut list.unread));
        }
        match list.unread.first() {
            Some(first) if list.entries.is_empty() => {
                Err(ListError::Nothing { rev: list.rev, count, first: first.clone() })
            }
            _ => Ok(list),
        }
    }
}

/// Reads one entry field by field. Where a part can't be read, a node that is called ready keeps what was known of it; a
/// state that says that it leaves, or one that is unknown, counts for a drain all the same.
pub(crate) fn read_entry(place: usize, value: &Value, unread: &mut Vec<Unread>) -> Option<Entry> {
    let field = |name: &str| value.get(name).filter(|value| !value.is_null());
    let name = field("uid").and_then(Value::as_str).filter(|name| !name.is_empty()).map(String::from);
    let mut note = |problem: String| unread.push(Unread { place, name: name.clone(), problem });
    let Some(uid) = name.clone() else {
        note("uid is missing or no text".into());
        return None;
    };
    let state = match field("state").map(|state| (state, state.as_str())) {
        Some((_, Some("ready"))) => State::Ready,
        Some((_, Some("draining"))) => State::Draining,
        Some((_, Some("gone"))) => State::Gone,
        Some((other, _)) => {
            note(format!("unknown state {other}, taken as draining"));
            State::Draining
        }
        None => {
            note("state is missing".into());
            return None;
        }
    };
    let mut sound = true;
    let mut bad = |part: &str, value: &Value| {
        sound = false;
        note(format!("{part}: {value}"));
    };
    let address = match field("endpoint") {
        Some(endpoint) => {
            let address = endpoint.as_str().and_then(|text| text.parse().ok());
            if address.is_none() && state != State::Gone {
                bad("endpoint", endpoint);
            }
            address
        }
        None => {
            if state == State::Ready {
                bad("endpoint", &Value::Null);
            }
            None
        }
    };
    let shard = match field("pod_group") {
        Some(group) => {
            let shard = group.as_u64().and_then(|group| u32::try_from(group).ok());
            if shard.is_none() {
                bad("pod_group", group);
            }
            shard
        }
        None => (state == State::Ready).then_some(0),
    };
    let boot = match field("boot_ms") {
        Some(boot) => boot.as_f64().filter(|boot| boot.is_finite()).unwrap_or_else(|| {
            bad("boot_ms", boot);
            0.0
        }),
        None => 0.0,
    };
    let zone = field("az").and_then(Value::as_str).unwrap_or_default().to_string();
    let boot = if boot > 0.0 { boot / 1000.0 } else { 0.0 };
    let entry = Entry { name: uid, address, zone, shard, state, boot };
    (sound || state != State::Ready).then_some(entry)
}
