//! A list as it was read, without a heap value for each entry: names and zones lie in one text. What an entry says is
//! read from the list's text by its types; only one that can't be read so is read field by field.

use crate::wire::{Entry, List, ListError, State, Unread, read_entry};
use serde::Deserialize;
use serde_json::value::RawValue;
use std::borrow::Cow;
use std::net::SocketAddr;
use std::ops::Range;

/// The list, or changes of it.
#[derive(Clone, Debug, Default)]
pub struct CompactList {
    /// Its version.
    pub rev: u64,
    /// Whether it is the whole list.
    pub all: bool,
    /// What could not be read, with its place. What was known of these nodes stands.
    pub unread: Vec<Unread>,
    text: String,
    entries: Vec<CompactEntry>,
}

#[derive(Clone, Debug)]
struct CompactEntry {
    name: Range<usize>,
    zone: Range<usize>,
    address: Option<SocketAddr>,
    shard: Option<u32>,
    state: State,
    boot: f64,
}

/// One entry; see [`Entry`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EntryRef<'a> {
    /// The node's name among all heads.
    pub name: &'a str,
    /// Where this head reaches it; none where it takes no work and the address can't be read.
    pub address: Option<SocketAddr>,
    /// Its zone; empty where there are none.
    pub zone: &'a str,
    /// The shard it holds; none where it takes no work and that can't be read.
    pub shard: Option<u32>,
    /// Whether it takes work.
    pub state: State,
    /// Its last start, in seconds of Unix time; 0 for long ago.
    pub boot: f64,
}

impl<'a> From<&'a Entry> for EntryRef<'a> {
    fn from(entry: &'a Entry) -> EntryRef<'a> {
        let Entry { name, address, zone, shard, state, boot } = entry;
        EntryRef { name, address: *address, zone, shard: *shard, state: *state, boot: *boot }
    }
}

impl From<EntryRef<'_>> for Entry {
    fn from(entry: EntryRef<'_>) -> Entry {
        let EntryRef { name, address, zone, shard, state, boot } = entry;
        Entry { name: name.into(), address, zone: zone.into(), shard, state, boot }
    }
}

#[derive(Deserialize)]
struct RawList<'a> {
    rev: u64,
    #[serde(default)]
    all: bool,
    #[serde(borrow)]
    targets: Vec<&'a RawValue>,
}

/// A text that is copied only where it has escapes.
#[derive(Deserialize)]
struct Text<'a>(#[serde(borrow)] Cow<'a, str>);

/// An entry in the form that discovery gives it.
#[derive(Deserialize)]
struct TypedEntry<'a> {
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

impl TypedEntry<'_> {
    /// None for one that is not sound in every part, whose parts have to be judged one by one.
    fn sound(&self) -> Option<EntryRef<'_>> {
        let state = match &*self.state {
            "ready" => State::Ready,
            "draining" => State::Draining,
            "gone" => State::Gone,
            _ => return None,
        };
        let address = match &self.endpoint {
            Some(text) => Some(text.0.parse().ok()?),
            None if state == State::Ready => return None,
            None => None,
        };
        let boot = self.boot_ms.unwrap_or(0.0);
        (!self.uid.is_empty() && boot.is_finite()).then(|| EntryRef {
            name: &self.uid,
            address,
            zone: self.az.as_ref().map_or("", |zone| &zone.0),
            shard: self.pod_group.or((state == State::Ready).then_some(0)),
            state,
            boot: if boot > 0.0 { boot / 1000.0 } else { 0.0 },
        })
    }
}

impl CompactList {
    /// Reads a list's text.
    pub fn parse(text: &[u8]) -> Result<CompactList, ListError> {
        let raw: RawList<'_> = serde_json::from_slice(text)?;
        let mut list = CompactList { rev: raw.rev, all: raw.all, ..CompactList::default() };
        list.entries.reserve_exact(raw.targets.len());
        for (place, value) in raw.targets.iter().enumerate() {
            list.read_entry(place, value);
        }
        match list.unread.first() {
            Some(first) if list.entries.is_empty() => {
                Err(ListError::Nothing { rev: list.rev, count: raw.targets.len(), first: first.clone() })
            }
            _ => Ok(list),
        }
    }

    fn read_entry(&mut self, place: usize, value: &RawValue) {
        if let Ok(typed) = serde_json::from_str::<TypedEntry<'_>>(value.get())
            && let Some(entry) = typed.sound()
        {
            return self.push(entry);
        }
        match serde_json::from_str(value.get()) {
            Ok(value) => {
                let entry = read_entry(place, &value, &mut self.unread);
                entry.iter().for_each(|entry| self.push(entry.into()));
            }
            Err(problem) => self.unread.push(Unread { place, name: None, problem: problem.to_string() }),
        }
    }

    fn push(&mut self, entry: EntryRef<'_>) {
        let name = self.append(entry.name);
        let last = self.entries.last().map(|last| last.zone.clone());
        let zone = last.filter(|last| self.text[last.clone()] == *entry.zone);
        let zone = zone.unwrap_or_else(|| self.append(entry.zone));
        let EntryRef { address, shard, state, boot, .. } = entry;
        self.entries.push(CompactEntry { name, zone, address, shard, state, boot });
    }

    fn append(&mut self, text: &str) -> Range<usize> {
        let start = self.text.len();
        self.text.push_str(text);
        start..self.text.len()
    }

    /// How many entries could be read.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether not one entry could be read.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// The entries that could be read, in their order.
    pub fn entries(&self) -> impl Iterator<Item = EntryRef<'_>> {
        self.entries.iter().map(|entry| EntryRef {
            name: &self.text[entry.name.clone()],
            address: entry.address,
            zone: &self.text[entry.zone.clone()],
            shard: entry.shard,
            state: entry.state,
            boot: entry.boot,
        })
    }

    /// Every name that it mentions.
    pub fn names(&self) -> impl Iterator<Item = &str> {
        let unread = self.unread.iter().filter_map(|unread| unread.name.as_deref());
        self.entries.iter().map(|entry| &self.text[entry.name.clone()]).chain(unread)
    }
}

impl From<List> for CompactList {
    fn from(list: List) -> CompactList {
        let mut compact = CompactList { rev: list.rev, all: list.all, ..CompactList::default() };
        list.entries.iter().for_each(|entry| compact.push(entry.into()));
        compact.unread = list.unread;
        compact
    }
}

impl From<CompactList> for List {
    fn from(list: CompactList) -> List {
        let entries = list.entries().map(Entry::from).collect();
        List { rev: list.rev, all: list.all, entries, unread: list.unread }
    }
}
