//! Logging to standard error that never blocks the caller: a thread of its own writes the lines, from a bounded queue.
//!
//! Standard error is often a pipe. If its reader stops, a write to it blocks, and with it all that the caller's thread
//! does. Lines that do not fit in the queue are dropped and counted; the count is logged once the reader goes on.

mod interval;

pub use interval::LogInterval;

use std::io::{self, Write};
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::mpsc::{self, Receiver, Sender};
use std::sync::{Arc, OnceLock};
use std::thread;
use std::time::Duration;

/// Most bytes that wait to be written.
const MAX_QUEUED_BYTES: usize = 256 * 1024;
/// How long the end of the program waits for the queued lines to be written.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(500);

/// The queue of the program's logger.
static LOG_QUEUE: OnceLock<LogQueue> = OnceLock::new();

/// Initializes the logger of the program: `RUST_LOG` sets the level, `info` by default. Panics are logged too. Call it
/// once.
///
/// # Panics
///
/// Panics if a logger has been set before.
pub fn init(precision: env_logger::TimestampPrecision) {
    let mut builder = env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("info"));
    builder.format_timestamp(Some(precision));
    match LogQueue::start(io::stderr()) {
        Ok(queue) => {
            LOG_QUEUE.get_or_init(|| queue.clone());
            builder.target(env_logger::Target::Pipe(Box::new(queue)));
        }
        // Without a thread the lines are written by the caller.
        Err(_) => _ = builder.target(env_logger::Target::Stderr),
    }
    builder.init();
    // The default hook writes to standard error itself.
    std::panic::set_hook(Box::new(|panic| log::error!("flaxgap: {panic}")));
}

/// Waits until all lines logged so far are written, but not for a reader that has stopped.
pub fn flush() {
    if let Some(queue) = LOG_QUEUE.get() {
        queue.flush_within(FLUSH_TIMEOUT);
    }
}

enum Entry {
    Line(Vec<u8>),
    /// Acknowledged once all entries before it are written.
    Flush(Sender<()>),
}

/// State that the callers and the writing thread share.
#[derive(Default)]
struct Shared {
    queued_bytes: AtomicUsize,
    dropped_lines: AtomicU64,
}

/// The writing end of the queue.
#[derive(Clone)]
struct LogQueue {
    entries: Sender<Entry>,
    shared: Arc<Shared>,
}

impl LogQueue {
    /// Starts the thread that writes to `out`.
    ///
    /// # Errors
    ///
    /// Returns an error if the operating system gives no thread.
    fn start(out: impl Write + Send + 'static) -> io::Result<LogQueue> {
        let (entries, receiver) = mpsc::channel();
        let shared: Arc<Shared> = Arc::default();
        let writer_shared = shared.clone();
        thread::Builder::new()
            .name("log".into())
            .spawn(move || write_entries(out, &receiver, &writer_shared))?;
        Ok(LogQueue { entries, shared })
    }

    fn flush_within(&self, time: Duration) {
        let (written, acknowledgement) = mpsc::channel();
        if self.entries.send(Entry::Flush(written)).is_ok() {
            // A reader that has stopped is not waited for.
            let _ = acknowledgement.recv_timeout(time);
        }
    }
}

/// Takes one line with each call, as `env_logger` writes them.
impl Write for LogQueue {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        let queued_bytes = self.shared.queued_bytes.fetch_add(line.len(), Ordering::Relaxed) + line.len();
        if queued_bytes > MAX_QUEUED_BYTES {
            self.shared.queued_bytes.fetch_sub(line.len(), Ordering::Relaxed);
            self.shared.dropped_lines.fetch_add(1, Ordering::Relaxed);
        } else {
            // Fails only if the writing thread has ended.
            let _ = self.entries.send(Entry::Line(line.to_vec()));
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Writes the entries for as long as there are senders. Errors of `out` are ignored, since there is nowhere to log them.
fn write_entries(mut out: impl Write, entries: &Receiver<Entry>, shared: &Shared) {
    while let Ok(entry) = entries.recv() {
        match entry {
            Entry::Line(line) => {
                let _ = out.write_all(&line);
                shared.queued_bytes.fetch_sub(line.len(), Ordering::Relaxed);
                let dropped = shared.dropped_lines.swap(0, Ordering::Relaxed);
                if dropped > 0 {
                    let _ = writeln!(
                        out,
                        "log: lines dropped, since standard error was not read, count={dropped}"
                    );
                }
            }
            Entry::Flush(written) => _ = written.send(()),
        }
    }
}

#[cfg(test)]
mod tests;
