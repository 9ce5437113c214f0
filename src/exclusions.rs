//! Nodes that operators have taken out by hand, kept apart from the list: no list and no reload lifts a ban.
//!
//! They are saved whole, by a write and a rename, before the call that changes them is answered, so that the
//! process that takes over finds them. A file that can't be read is no reason not to serve.

use serde::{Deserialize, Serialize};
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::path::{Path, PathBuf};

/// How long a return is remembered, in seconds: longer than any node stays cold.
const RETURNS_KEPT: f64 = 600.0;

/// What the file holds.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
struct Saved {
    /// Names of the nodes that are out.
    out: BTreeSet<String>,
    /// When nodes were called back, in Unix time. Such a node was restarted meanwhile.
    back: BTreeMap<String, f64>,
}

/// The bans, and where they are kept.
#[derive(Debug, Default)]
pub struct Exclusions {
    path: Option<PathBuf>,
    saved: RefCell<Saved>,
}

impl Exclusions {
    /// The bans of the head of this name, as an earlier process left them in the folder. Without a folder they
    /// last as long as the process.
    pub fn load(folder: Option<&Path>, name: &str) -> Exclusions {
        let path = folder.map(|folder| folder.join(format!("flaxgap-{name}.bans")));
        let bans = Exclusions { path, saved: RefCell::default() };
        bans.reload();
        bans
    }

    /// Takes in what the other process of this head has saved.
    pub fn reload(&self) {
        let Some(path) = &self.path else { return };
        let saved = match std::fs::read(path) {
            Ok(text) => serde_json::from_slice(&text).map_err(io::Error::from),
            Err(problem) if problem.kind() == io::ErrorKind::NotFound => return,
            Err(problem) => Err(problem),
        };
        match saved {
            Ok(saved) => _ = self.saved.replace(saved),
            Err(problem) => log::error!("bans: {}: {problem}; those known stay", path.display()),
        }
    }

    /// Whether a node is out.
    pub fn holds(&self, name: &str) -> bool {
        self.saved.borrow().out.contains(name)
    }

    /// When a node was called back, in Unix time, if it was.
    pub fn returned(&self, name: &str) -> Option<f64> {
        self.saved.borrow().back.get(name).copied()
    }

    /// The names of the nodes that are out, or were.
    pub fn names(&self) -> Vec<String> {
        let saved = self.saved.borrow();
        saved.out.iter().chain(saved.back.keys()).cloned().collect()
    }

    /// Takes a node out, or calls it back at `now`. It is saved before it holds; calls may be repeated.
    pub fn set(&self, name: &str, out: bool, now: f64) -> io::Result<()> {
        self.reload();
        let mut saved = self.saved.borrow().clone();
        saved.back.retain(|_, at| now - *at < RETURNS_KEPT);
        if out {
            saved.out.insert(name.into());
            saved.back.remove(name);
        } else if saved.out.remove(name) {
            saved.back.insert(name.into(), now);
        }
        if let Some(path) = &self.path {
            let draft = path.with_extension("draft");
            std::fs::write(&draft, serde_json::to_vec(&saved)?)?;
            std::fs::rename(&draft, path)?;
        }
        self.saved.replace(saved);
        Ok(())
    }
}
