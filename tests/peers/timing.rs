//! Times taken where things happen: when the system received something, not when a thread of the test got to run; and what
//! kept threads from running, for verdicts that can't be given without it.

use nix::cmsg_space;
use nix::sys::socket::{ControlMessageOwned, MsgFlags, recvmsg, setsockopt, sockopt};
use nix::sys::time::TimeSpec;
use std::io::{self, IoSliceMut, Read};
use std::net::{TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Time since the Unix epoch, on the clock of the kernel's receive timestamps.
pub type WallTime = Duration;

/// Returns the current time.
pub fn wall_time() -> WallTime {
    SystemTime::now().duration_since(UNIX_EPOCH).expect("a clock past 1970")
}

/// Enables kernel receive timestamps for connections to this listener, including data that arrives before accept.
pub fn stamp_arrivals(listener: &TcpListener) {
    setsockopt(listener, sockopt::ReceiveTimestampns, &true).expect("SO_TIMESTAMPNS");
}

/// A connection that records the kernel receive time of the first bytes read since the last [`Self::take_arrival`].
pub struct StampedStream {
    stream: TcpStream,
    first_arrival: Option<WallTime>,
}

impl StampedStream {
    pub fn new(stream: TcpStream) -> StampedStream {
        StampedStream { stream, first_arrival: None }
    }

    /// Receive time of the first bytes read since the last call; `None` if the kernel gave no timestamp.
    pub fn take_arrival(&mut self) -> Option<WallTime> {
        self.first_arrival.take()
    }
}

impl Read for StampedStream {
    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        let mut ancillary = cmsg_space!(TimeSpec);
        let mut slices = [IoSliceMut::new(buffer)];
        let message =
            recvmsg::<()>(self.stream.as_raw_fd(), &mut slices, Some(&mut ancillary), MsgFlags::empty())?;
        for part in message.cmsgs()? {
            if let ControlMessageOwned::ScmTimestampns(stamp) = part {
                self.first_arrival.get_or_insert(Duration::from(stamp));
            }
        }
        Ok(message.bytes)
    }
}

/// Cumulative time for which a process was kept from running, at one moment.
#[derive(Clone, Copy, Debug)]
pub struct Hindrance {
    /// How long its main thread was runnable and did not run.
    waited: Duration,
    /// How long the processors of this machine were taken away by its host, for the one that lost most.
    stolen: Duration,
}

/// The system's unit of stolen time (`USER_HZ`).
const TICK: Duration = Duration::from_millis(10);

impl Hindrance {
    /// Reads the process's totals from `/proc`.
    pub fn of(pid: u32) -> Hindrance {
        let text = std::fs::read_to_string(format!("/proc/{pid}/schedstat")).expect("schedstat");
        let waited = text.split(' ').nth(1).and_then(|waited| waited.parse().ok()).expect("a wait");
        let stat = std::fs::read_to_string("/proc/stat").expect("stat");
        let of_cpus = stat.lines().filter(|line| line.starts_with("cpu") && !line.starts_with("cpu "));
        let stolen = of_cpus.filter_map(|line| line.split(' ').nth(8)?.parse::<u32>().ok()).max();
        Hindrance { waited: Duration::from_nanos(waited), stolen: TICK * stolen.unwrap_or(0) }
    }

    /// Growth since an earlier sample: the larger of run-queue wait and stolen time.
    pub fn since(&self, earlier: &Hindrance) -> Duration {
        let waited = self.waited.saturating_sub(earlier.waited);
        waited.max(self.stolen.saturating_sub(earlier.stolen))
    }
}
