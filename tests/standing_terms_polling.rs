//! Standing term: a change of the node list is heard within 6 s after discovery has it and can be reached, whatever
//! failed before. Many heads poll one shared server of fixed capacity, in virtual time, with the program's own calls.

use flaxgap::discovery::client::{Connect, SourceRequest, WatchEvent, Watcher};
use flaxgap::discovery::schedule::{PollSchedule, SourceKind};
use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt, DuplexStream, duplex};
use tokio::task::{LocalSet, spawn_local};
use tokio::time::{Instant, sleep, sleep_until, timeout_at};

/// When a change counts as told.
const TOLD: Duration = Duration::from_secs(6);
const GRACE: Duration = Duration::from_millis(250);
/// Heads that a server of these tests bears at once.
const SMALL_FLEET: u32 = 8;
/// The server works off the whole fleet's calls in so long, or at this pace where that is less.
const CAPACITY: Duration = Duration::from_secs(4);
const LEAST_PACE: u32 = 8;
/// A call that has waited so long for its turn is turned away.
const LONGEST_WAIT: Duration = Duration::from_secs(2);
const HEARTBEAT: Duration = Duration::from_secs(2);
const OPENED: &[u8] = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

/// What becomes of calls during an outage.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Outage {
    /// They are accepted and never answered.
    Silent,
    /// No connection comes up.
    Unreachable,
    /// Connections are refused.
    Refusing,
    /// They are accepted and closed.
    Closing,
    /// A watch opens and never says anything.
    MuteWatch,
    /// A watch opens and is closed at once.
    ClosedWatch,
    /// A list begins and never ends.
    HalfList,
}

const OUTAGES: [Outage; 7] = [
    Outage::Silent,
    Outage::Unreachable,
    Outage::Refusing,
    Outage::Closing,
    Outage::MuteWatch,
    Outage::ClosedWatch,
    Outage::HalfList,
];

/// The server that all heads share: reachable until `down`, and again from `up`, when it has version 2.
struct Server {
    outage: Outage,
    down: Instant,
    up: Instant,
    /// Time that one call takes it.
    work: Duration,
    /// When it has worked off the calls that wait.
    free: Cell<Instant>,
    calls: RefCell<Vec<Instant>>,
}

impl Server {
    fn is_down(&self) -> bool {
        (self.down..self.up).contains(&Instant::now())
    }

    /// Waits for a call's turn; false where it is turned away. One whose client has left still has its turn.
    async fn turn(&self) -> bool {
        let now = Instant::now();
        let begins = self.free.get().max(now);
        if begins - now > LONGEST_WAIT {
            sleep(LONGEST_WAIT).await;
            return false;
        }
        self.free.set(begins + self.work);
        sleep_until(begins + self.work).await;
        true
    }

    async fn serve(self: Rc<Server>, mut stream: DuplexStream) -> io::Result<()> {
        let mut head = Vec::new();
        while !head.ends_with(b"\r\n\r\n") {
            head.push(stream.read_u8().await?);
        }
        if self.is_down() {
            match self.outage {
                Outage::Closing => return Ok(()),
                Outage::ClosedWatch => return stream.write_all(&[OPENED, b"0\r\n\r\n"].concat()).await,
                Outage::MuteWatch => stream.write_all(OPENED).await?,
                Outage::HalfList => {
                    stream.write_all(&[OPENED, b"c\r\n{\"rev\":2,\"tar\r\n"].concat()).await?;
                }
                Outage::Silent | Outage::Unreachable | Outage::Refusing => {}
            }
            closed(&mut stream).await;
            return Ok(());
        }
        if Instant::now() >= self.up && !self.turn().await {
            return Ok(());
        }
        stream.write_all(OPENED).await?;
        let version = if Instant::now() >= self.up { 2 } else { 1 };
        say(&mut stream, &format!("{{\"rev\":{version},\"targets\":[]}}")).await?;
        let mut next = Instant::now();
        loop {
            next += HEARTBEAT;
            // A watch of before the outage says nothing after it.
            let ends = version == 1 && next >= self.down;
            if timeout_at(if ends { self.down } else { next }, closed(&mut stream)).await.is_ok() {
                return Ok(());
            }
            if ends {
                if !matches!(self.outage, Outage::Refusing | Outage::Closing | Outage::ClosedWatch) {
                    closed(&mut stream).await;
                }
                return Ok(());
            }
            say(&mut stream, "").await?;
        }
    }
}

/// Waits until the other side has closed.
async fn closed(stream: &mut DuplexStream) {
    while stream.read(&mut [0; 64]).await.is_ok_and(|some| some > 0) {}
}

async fn say(stream: &mut DuplexStream, text: &str) -> io::Result<()> {
    stream.write_all(format!("{:x}\r\n{text}\n\r\n", text.len() + 1).as_bytes()).await
}

#[derive(Clone)]
struct Dialer(Rc<Server>);

impl Connect for Dialer {
    type Stream = DuplexStream;

    async fn connect(&self, _: SocketAddr) -> io::Result<DuplexStream> {
        let server = self.0.clone();
        server.calls.borrow_mut().push(Instant::now());
        match server.outage {
            Outage::Unreachable if server.is_down() => std::future::pending().await,
            Outage::Refusing if server.is_down() => return Err(io::ErrorKind::ConnectionRefused.into()),
            _ => {}
        }
        let (near, far) = duplex(1024);
        spawn_local(async move { _ = server.serve(far).await });
        Ok(near)
    }
}

/// Time that one call takes the server of so many heads.
fn work(heads: u32) -> Duration {
    match heads {
        ..=SMALL_FLEET => Duration::from_millis(60),
        _ => (CAPACITY / heads).min(Duration::from_secs(1) / LEAST_PACE),
    }
}

/// What one outage came to.
struct Played {
    /// From the server's return until each head has heard of the change, sorted.
    late: Vec<Duration>,
    /// The most calls that came in any second of the outage and after it, as a multiple of what the server can do.
    rate: f64,
}

impl Played {
    fn latest(&self) -> Duration {
        self.late.last().copied().unwrap_or_default()
    }
}

/// A fleet whose watches stand, then an outage of the server that they share.
fn play(heads: u32, outage: Outage, lasts: Duration, seed: u64) -> Played {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_time().start_paused(true).build();
    LocalSet::new().block_on(&runtime.expect("a runtime"), async {
        let began = Instant::now();
        let down = began + Duration::from_secs(7);
        let server = Rc::new(Server {
            outage,
            down,
            up: down + lasts,
            work: work(heads),
            free: Cell::new(began),
            calls: RefCell::default(),
        });
        let tasks: Vec<_> = (1..=u64::from(heads)).map(|head| {
            let (server, seed) = (server.clone(), (head ^ seed << 32).wrapping_mul(0x9E37_79B9_7F4A_7C15));
            spawn_local(async move {
                let schedule = PollSchedule::new(heads, seed, SourceKind::SharedServer, GRACE);
                sleep(schedule.initial_delay()).await;
                let address = ([127, 0, 0, 1], 1).into();
                let mut watcher = Watcher::new(Dialer(server.clone()), address, &schedule);
                loop {
                    if matches!(watcher.next_event(|| SourceRequest::WatchSince(1)).await, WatchEvent::List { list, .. } if list.version == 2) {
                        // Its watch stands from here on, and its calls are over.
                        return Instant::now() - server.up;
                    }
                    assert!(server.up.elapsed() < Duration::from_secs(4000), "{outage:?}: never heard");
                }
            })
        }).collect();
        let mut late = Vec::new();
        for task in tasks {
            late.push(task.await.expect("a head"));
        }
        late.sort_unstable();
        let calls = server.calls.take();
        let calls: Vec<Instant> = calls.into_iter().filter(|at| *at >= down).collect();
        let within = |n: usize| calls[n..].iter().take_while(|at| **at - calls[n] < Duration::from_secs(1)).count();
        let most = (0..calls.len()).map(within).max().unwrap_or_default();
        Played { late, rate: most as f64 * work(heads).as_secs_f64() }
    })
}

/// Plays outages of each kind and of these lengths, in seconds.
fn hears_within_six_seconds(heads: u32, lengths: &[f64], most_rate: f64) {
    let mut broken = Vec::new();
    for outage in OUTAGES {
        let (mut latest, mut rate) = (Duration::ZERO, 0.0f64);
        for (seed, lasts) in lengths.iter().enumerate() {
            let played = play(heads, outage, Duration::from_secs_f64(*lasts), seed as u64 + 1);
            (latest, rate) = (latest.max(played.latest()), rate.max(played.rate));
        }
        println!(
            "{heads} heads, {outage:?}: latest {latest:.2?}, calls {rate:.2} times the capacity at most"
        );
        if latest > TOLD || rate > most_rate {
            broken.push((outage, latest, rate));
        }
    }
    assert!(broken.is_empty(), "{heads} heads: {broken:?}");
}

#[test]
fn a_change_is_heard_in_time_by_8_heads() {
    hears_within_six_seconds(8, &[0.5, 1.0, 2.0, 3.3, 5.0, 7.7, 12.0, 20.0, 33.0, 60.0], f64::INFINITY);
}

#[test]
fn a_change_is_heard_in_time_by_20_heads() {
    hears_within_six_seconds(20, &[0.5, 1.0, 2.0, 3.3, 5.0, 7.7, 12.0, 20.0, 33.0, 60.0], f64::INFINITY);
}

#[test]
fn a_change_is_heard_in_time_by_300_heads() {
    hears_within_six_seconds(300, &[0.5, 2.0, 5.0, 12.0, 60.0], 2.5);
}

#[test]
fn a_change_is_heard_in_time_by_1024_heads() {
    hears_within_six_seconds(1024, &[0.5, 5.0, 60.0], 2.5);
}

#[test]
fn a_change_is_heard_in_time_by_4200_heads() {
    hears_within_six_seconds(4200, &[0.5, 5.0, 60.0], 2.5);
}
