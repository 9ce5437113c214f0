//! Nodes that operators have excluded, kept apart from the endpoint list: neither a list nor a reload readmits them.
//!
//! Exclusions are saved by a write and a rename before the call that changes them is answered, so that the process
//! that takes over finds them. A file that can't be read is no reason not to serve.

use serde::{Deserialize, Serialize};
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::path::{Path, PathBuf};

/// How long a readmission is remembered, in seconds: longer than any node takes to warm up.
const READMISSION_KEPT_S: f64 = 600.0;

/// The content of `flaxgap-NAME.bans`. Older processes read what newer ones write and the other way round, so the
/// `serde` names stay as they are.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
struct SavedExclusions {
    /// Names of the excluded nodes.
    #[serde(rename = "out")]
    excluded: BTreeSet<String>,
    /// When nodes were readmitted, in Unix time. Such a node has been restarted meanwhile.
    #[serde(rename = "back")]
    readmitted_at: BTreeMap<String, f64>,
}

impl SavedExclusions {
    fn exclude(&mut self, node_name: &str) {
        self.excluded.insert(node_name.into());
        self.readmitted_at.remove(node_name);
    }

    fn readmit(&mut self, node_name: &str, now: f64) {
        if self.excluded.remove(node_name) {
            self.readmitted_at.insert(node_name.into(), now);
        }
    }

    fn forget_old_readmissions(&mut self, now: f64) {
        self.readmitted_at.retain(|_, at| now - *at < READMISSION_KEPT_S);
    }
}

/// The exclusions of one head, and the file that keeps them.
#[derive(Debug, Default)]
pub struct Exclusions {
    path: Option<PathBuf>,
    saved: RefCell<SavedExclusions>,
}

impl Exclusions {
    /// Loads the exclusions of the head of this name, as an earlier process left them in the folder. Without a folder
    /// they last as long as the process.
    pub fn load(folder: Option<&Path>, head_name: &str) -> Exclusions {
        let path = folder.map(|folder| folder.join(format!("flaxgap-{head_name}.bans")));
        let exclusions = Exclusions { path, saved: RefCell::default() };
        exclusions.reload();
        exclusions
    }

    /// Takes over what the other process of this head has saved. The known exclusions stay if the file can't be read.
    pub fn reload(&self) {
        let Some(path) = &self.path else { return };
        match read_file(path) {
            Ok(saved) => _ = self.saved.replace(saved),
            Err(error) if error.kind() == io::ErrorKind::NotFound => {}
            Err(error) => {
                log::error!(
                    "exclusions: file not read, known exclusions stay, file={}, error={error}",
                    path.display()
                );
            }
        }
    }

    /// Whether a node is excluded.
    pub fn contains(&self, node_name: &str) -> bool {
        self.saved.borrow().excluded.contains(node_name)
    }

    /// When a node was readmitted, in Unix time, if it was.
    pub fn readmitted_at(&self, node_name: &str) -> Option<f64> {
        self.saved.borrow().readmitted_at.get(node_name).copied()
    }

    /// The names of the nodes that are excluded, or were lately.
    pub fn known_names(&self) -> Vec<String> {
        let saved = self.saved.borrow();
        saved.excluded.iter().chain(saved.readmitted_at.keys()).cloned().collect()
    }

    /// Excludes a node. The exclusion is saved before it takes effect; calls may be repeated.
    ///
    /// # Errors
    /// The file can't be written; nothing changes then.
    pub fn exclude(&self, node_name: &str, now: f64) -> io::Result<()> {
        self.change(now, |saved| saved.exclude(node_name))
    }

    /// Readmits a node at `now`, in Unix time. The change is saved before it takes effect; calls may be repeated.
    ///
    /// # Errors
    /// The file can't be written; nothing changes then.
    pub fn readmit(&self, node_name: &str, now: f64) -> io::Result<()> {
        self.change(now, |saved| saved.readmit(node_name, now))
    }

    fn change(&self, now: f64, change: impl FnOnce(&mut SavedExclusions)) -> io::Result<()> {
        self.reload();
        let mut saved = self.saved.borrow().clone();
        saved.forget_old_readmissions(now);
        change(&mut saved);
        if let Some(path) = &self.path {
            replace_file(path, &saved)?;
        }
        self.saved.replace(saved);
        Ok(())
    }
}

fn read_file(path: &Path) -> io::Result<SavedExclusions> {
    let text = std::fs::read(path)?;
    Ok(serde_json::from_slice(&text)?)
}

fn replace_file(path: &Path, saved: &SavedExclusions) -> io::Result<()> {
    let draft = path.with_extension("draft");
    std::fs::write(&draft, serde_json::to_vec(saved)?)?;
    std::fs::rename(&draft, path)
}
