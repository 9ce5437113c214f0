//! The file `flaxgap-NAME.levels`, in which a head saves its levels for the next process.

use flaxgap_load_shedding::saved_state::SavedState;
use std::cell::Cell;
use std::io;
use std::path::{Path, PathBuf};

/// Interval in seconds at which the file is rewritten while a level is in force. The file contains the time at which it
/// was written, from which the next process determines the age of the levels.
const REWRITE_PERIOD_S: f64 = 2.0;

/// The saved levels of one head.
pub struct LevelFile {
    /// `None` if there is no folder to save the file in.
    path: Option<PathBuf>,
    last_saved_at: Cell<f64>,
}

impl LevelFile {
    /// Uses the file of the head with this name in the folder that its processes share. Without a folder, nothing is
    /// saved.
    pub fn new(folder: Option<&Path>, head_name: &str) -> LevelFile {
        let path = folder.map(|folder| folder.join(format!("flaxgap-{head_name}.levels")));
        LevelFile { path, last_saved_at: Cell::default() }
    }

    /// Whether the levels are saved at all.
    pub fn is_enabled(&self) -> bool {
        self.path.is_some()
    }

    /// Whether the last save was so long ago that the file must be rewritten.
    pub fn is_rewrite_due(&self, now: f64) -> bool {
        now - self.last_saved_at.get() >= REWRITE_PERIOD_S
    }

    /// Replaces the file atomically, by writing a temporary file and renaming it. A failure is only logged, since the
    /// head can serve without the file.
    pub fn save(&self, now: f64, state: &SavedState) {
        let Some(path) = &self.path else { return };
        match replace_file(path, state) {
            Ok(()) => self.last_saved_at.set(now),
            Err(error) => {
                log::error!("levels: not saved for a restart, file={}, error={error}", path.display());
            }
        }
    }

    /// Loads the state that another process saved. Returns `None` if there is no file, or if it cannot be read, which
    /// is logged.
    pub fn load(&self) -> Option<SavedState> {
        let path = self.path.as_ref()?;
        match read_file(path) {
            Ok(state) => Some(state),
            Err(error) if error.kind() == io::ErrorKind::NotFound => None,
            Err(error) => {
                log::error!("levels: not read back, file={}, error={error}", path.display());
                None
            }
        }
    }
}

fn replace_file(path: &Path, state: &SavedState) -> io::Result<()> {
    let temporary_path = path.with_extension("levels-draft");
    std::fs::write(&temporary_path, serde_json::to_vec(state)?)?;
    std::fs::rename(&temporary_path, path)
}

fn read_file(path: &Path) -> io::Result<SavedState> {
    let text = std::fs::read(path)?;
    Ok(serde_json::from_slice(&text)?)
}
