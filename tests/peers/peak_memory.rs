//! The highest resident memory of a process.

use super::resident_kib;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread::{self, JoinHandle};
use std::time::Duration;

/// Samples a process's resident memory and keeps the highest value.
pub struct PeakMemory {
    peak_kib: Arc<AtomicUsize>,
    over: Arc<AtomicBool>,
    sampler: JoinHandle<()>,
}

impl PeakMemory {
    /// Begins to sample the process.
    pub fn watch(pid: u32) -> PeakMemory {
        let (peak_kib, over): (Arc<AtomicUsize>, Arc<AtomicBool>) = Default::default();
        let (peak, stop) = (peak_kib.clone(), over.clone());
        let sampler = thread::spawn(move || {
            while !stop.load(Ordering::SeqCst) {
                peak.fetch_max(resident_kib(pid), Ordering::SeqCst);
                thread::sleep(Duration::from_millis(20));
            }
        });
        PeakMemory { peak_kib, over, sampler }
    }

    /// Ends the sampling and returns the highest value, in MiB.
    pub fn stop_mib(self) -> usize {
        self.over.store(true, Ordering::SeqCst);
        self.sampler.join().expect("the sampler ends");
        self.peak_kib.load(Ordering::SeqCst).div_ceil(1024)
    }
}
