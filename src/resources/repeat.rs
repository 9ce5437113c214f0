//! Repeats calls that fail for a moment, where there is no event loop to wait in or the wait is shorter than one of its
//! turns may be.

use super::socket::{SHORTAGE_PAUSE, is_shortage};
use std::io;
use std::path::Path;
use std::time::{Duration, Instant};

/// How long calls are repeated at the start of the process, within the time in which it has to be ready.
const START_TIMEOUT: Duration = Duration::from_secs(3);
/// How long calls are repeated while the process serves: a fraction of the time for which it may be held up.
const SERVICE_TIMEOUT: Duration = Duration::from_millis(20);

/// Makes a call of the start of the process, again while the system is short of resources for it.
///
/// # Errors
///
/// The error of the last call.
pub fn at_start<T>(call: impl FnMut() -> io::Result<T>) -> io::Result<T> {
    repeat(START_TIMEOUT, is_shortage, call)
}

/// Makes a call while the process serves, again for a moment while the system is short of resources for it.
///
/// # Errors
///
/// The error of the last call.
pub fn in_service<T>(call: impl FnMut() -> io::Result<T>) -> io::Result<T> {
    repeat(SERVICE_TIMEOUT, is_shortage, call)
}

/// Reads a file, again if that fails though the file is there.
///
/// # Errors
///
/// The error of the last attempt.
pub fn read_file(path: impl AsRef<Path>) -> io::Result<Vec<u8>> {
    let may_pass = |error: &io::Error| {
        !matches!(error.kind(), io::ErrorKind::NotFound | io::ErrorKind::PermissionDenied)
    };
    repeat(SERVICE_TIMEOUT, may_pass, || std::fs::read(&path))
}

/// Reads a text file like [`read_file`].
///
/// # Errors
///
/// The error of the last attempt, or [`io::ErrorKind::InvalidData`] if the file is not text.
pub fn read_text_file(path: impl AsRef<Path>) -> io::Result<String> {
    let bytes = read_file(path)?;
    String::from_utf8(bytes).map_err(|error| io::Error::new(io::ErrorKind::InvalidData, error))
}

fn repeat<T>(
    timeout: Duration,
    may_pass: impl Fn(&io::Error) -> bool,
    mut call: impl FnMut() -> io::Result<T>,
) -> io::Result<T> {
    let given_up_at = Instant::now() + timeout;
    loop {
        match call() {
            Err(error) if may_pass(&error) && Instant::now() < given_up_at => {
                std::thread::sleep(SHORTAGE_PAUSE);
            }
            result => return result,
        }
    }
}
