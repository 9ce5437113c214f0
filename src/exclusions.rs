//! Nodes that operators have excluded from service. Exclusions are stored separately from the endpoint list, so that
//! neither a new list nor a reload readmits an excluded node.
//!
//! A change is saved, by writing a temporary file and renaming it, before the operator's request is answered, so that
//! the next process finds it. The head serves even if the file cannot be read.

use serde::{Deserialize, Serialize};
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::path::{Path, PathBuf};

/// How long the time of a readmission is retained, in seconds: longer than the warm-up of any node.
const READMISSION_RETENTION_S: f64 = 600.0;

/// The content of the file `flaxgap-NAME.bans`. Processes of different versions read each other's files, so the `serde`
/// names must not change.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
struct SavedExclusions {
    /// Names of the excluded nodes.
    #[serde(rename = "out")]
    excluded: BTreeSet<String>,
    /// When nodes were readmitted, in Unix time, by node name. A readmitted node has been restarted, so it counts as
    /// started at this time or later.
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

    fn remove_expired_readmissions(&mut self, now: f64) {
        self.readmitted_at.retain(|_, at| now - *at < READMISSION_RETENTION_S);
    }
}

/// The excluded nodes of one head, and the file in which they are saved.
#[derive(Debug, Default)]
pub struct Exclusions {
    /// `None` if exclusions are not saved.
    path: Option<PathBuf>,
    saved: RefCell<SavedExclusions>,
}

impl Exclusions {
    /// Loads the exclusions that an earlier process of the head with this name saved in the folder. Without a folder,
    /// exclusions are not saved and end with the process.
    pub fn load(folder: Option<&Path>, head_name: &str) -> Exclusions {
        let path = folder.map(|folder| folder.join(format!("flaxgap-{head_name}.bans")));
        let exclusions = Exclusions { path, saved: RefCell::default() };
        exclusions.reload();
        exclusions
    }

    /// Reloads the file, which another process of this head may have changed. If the file cannot be read, the error is
    /// logged and the known exclusions stay in force.
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

    /// When a node was readmitted, in Unix time, if it was readmitted recently.
    pub fn readmitted_at(&self, node_name: &str) -> Option<f64> {
        self.saved.borrow().readmitted_at.get(node_name).copied()
    }

    /// The names of the nodes that are excluded or were readmitted recently.
    pub fn known_names(&self) -> Vec<String> {
        let saved = self.saved.borrow();
        saved.excluded.iter().chain(saved.readmitted_at.keys()).cloned().collect()
    }

    /// Excludes a node. The exclusion is saved before it takes effect. The operation is idempotent. `now` is in Unix
    /// time.
    ///
    /// # Errors
    ///
    /// The file cannot be written. The exclusions are then unchanged.
    pub fn exclude(&self, node_name: &str, now: f64) -> io::Result<()> {
        self.change(now, |saved| saved.exclude(node_name))
    }

    /// Readmits a node. The change is saved before it takes effect. The operation is idempotent. `now` is in Unix time.
    ///
    /// # Errors
    ///
    /// The file cannot be written. The exclusions are then unchanged.
    pub fn readmit(&self, node_name: &str, now: f64) -> io::Result<()> {
        self.change(now, |saved| saved.readmit(node_name, now))
    }

    fn change(&self, now: f64, change: impl FnOnce(&mut SavedExclusions)) -> io::Result<()> {
        self.reload();
        let mut saved = self.saved.borrow().clone();
        saved.remove_expired_readmissions(now);
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
    let temporary_path = path.with_extension("draft");
    std::fs::write(&temporary_path, serde_json::to_vec(saved)?)?;
    std::fs::rename(&temporary_path, path)
}
