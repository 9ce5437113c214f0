//! Tests of the queue of log lines.

use super::*;
use std::sync::Mutex;
use std::sync::mpsc::SyncSender;

/// An output that takes a write only when the test lets it.
struct GatedOutput {
    permits: Receiver<()>,
    written: Arc<Mutex<Vec<u8>>>,
}

impl Write for GatedOutput {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        // Fails once the test has opened the gate for good.
        let _ = self.permits.recv();
        self.written.lock().expect("written").extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn gated() -> (LogQueue, SyncSender<()>, Arc<Mutex<Vec<u8>>>) {
    let (gate, permits) = mpsc::sync_channel(0);
    let written: Arc<Mutex<Vec<u8>>> = Arc::default();
    let output = GatedOutput { permits, written: written.clone() };
    (LogQueue::start(output).expect("a thread"), gate, written)
}

/// Guards against a caller that waits for a reader that has stopped, and against a queue that grows without bound.
#[test]
fn lines_that_do_not_fit_are_dropped_and_counted() {
    const LINE: [u8; 1024] = [b'x'; 1024];
    const LINES: usize = 1000;
    let (mut queue, gate, written) = gated();
    for _ in 0..LINES {
        queue.write_all(&LINE).expect("the caller never waits");
    }
    assert!(queue.shared.queued_bytes.load(Ordering::Relaxed) <= MAX_QUEUED_BYTES);
    drop(gate);
    queue.flush_within(Duration::from_secs(20));
    let written = written.lock().expect("written");
    let kept = MAX_QUEUED_BYTES / LINE.len();
    let note = format!("count={}", LINES - kept);
    let text = String::from_utf8_lossy(&written);
    assert!(text.contains(&note), "{note} is missing");
    assert_eq!(text.matches('x').count(), kept * LINE.len());
}

#[test]
fn lines_are_written_in_order_before_a_flush_returns() {
    let (mut queue, gate, written) = gated();
    drop(gate);
    for number in 0..100 {
        writeln!(queue, "line {number}").expect("queued");
    }
    queue.flush_within(Duration::from_secs(20));
    let expected: String = (0..100).map(|number| format!("line {number}\n")).collect();
    assert_eq!(String::from_utf8_lossy(&written.lock().expect("written")), expected);
}
