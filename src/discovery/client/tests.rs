//! Tests of the watcher against simulated agents in virtual time: outages, slow responses, and lists in several parts.

mod complete_lists;

use super::*;
use crate::discovery::schedule::{PollSchedule, SourceKind};
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::io::{AsyncReadExt, AsyncWriteExt, DuplexStream, duplex};
use tokio::task::{LocalSet, spawn_local};
use tokio::time::{Instant, sleep, sleep_until, timeout_at};

const GRACE: Duration = Duration::from_millis(250);
/// Poll interval of a local agent for [`GRACE`].
const POLL_INTERVAL: Duration = Duration::from_micros(62_500);

/// Number of simulated outages of each kind.
const SEEDS: u64 = 350;

/// Number of nodes in a complete list, not counting the draining one.
const OTHER_NODES: usize = 80;

/// How an agent behaves during an outage.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Outage {
    /// Connections open, but calls are never answered.
    NeverAnswers,
    /// Connections open, and calls are answered at the end of the outage.
    AnswersLate,
    /// Connection attempts that start during the outage never complete.
    NeverConnects,
    /// Watches open, but no message is ever sent on them.
    OpensIdle,
    /// Connections are refused.
    Refuses,
    /// Connections open and are closed after the first request.
    Closes,
}

/// A simulated agent with an outage from `down` to `up`. After the outage it reports a draining node with version 2.
struct Agent {
    outage: Outage,
    /// Whether watches from before the outage receive the update at its end, before new calls are answered.
    resumes_old_watches: bool,
    /// Whether the agent answers watches with the complete list, which is longer than the buffer of a connection,
    /// instead of changes.
    sends_snapshots: bool,
    down: Instant,
    up: Instant,
    open_connections: Cell<usize>,
    max_open_connections: Cell<usize>,
    calls: RefCell<Vec<Instant>>,
}

/// Counts a connection as open until the guard is dropped.
struct ConnectionGuard(Rc<Agent>);

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.0.open_connections.set(self.0.open_connections.get() - 1);
    }
}

impl Agent {
    fn is_down(&self) -> bool {
        (self.down..self.up).contains(&Instant::now())
    }

    fn count_connection(self: &Rc<Agent>) -> ConnectionGuard {
        self.open_connections.set(self.open_connections.get() + 1);
        let max = self.max_open_connections.get().max(self.open_connections.get());
        self.max_open_connections.set(max);
        ConnectionGuard(self.clone())
    }

    /// Serves one connection until it is closed.
    async fn serve(self: Rc<Agent>, mut stream: DuplexStream, _guard: ConnectionGuard) -> io::Result<()> {
        let mut request_header = Vec::new();
        while !request_header.ends_with(b"\r\n\r\n") {
            request_header.push(stream.read_u8().await?);
        }
        let request_header = String::from_utf8_lossy(&request_header).into_owned();
        let since =
            request_header.split("since=").nth(1).and_then(|rest| rest.split(' ').next()?.parse().ok());
        if self.is_down() {
            match self.outage {
                Outage::AnswersLate => {
                    if timeout_at(self.up, wait_until_closed(&mut stream)).await.is_ok() {
                        return Ok(());
                    }
                }
                Outage::Closes => return Ok(()),
                outage => {
                    if outage == Outage::OpensIdle {
                        stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").await?;
                    }
                    wait_until_closed(&mut stream).await;
                    return Ok(());
                }
            }
        } else if self.resumes_old_watches && Instant::now() >= self.up {
            sleep(Duration::from_secs(5)).await;
        }
        stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").await?;
        let Some(since) = since else {
            return send_line(&mut stream, "{\"rev\":1,\"all\":true,\"targets\":[]}").await;
        };
        let drain = "{\n\"rev\": 2,\n\"targets\": [{\"uid\": \"s-1\", \"state\": \"draining\"}]}";
        let drain_snapshot = complete_lists::complete_list_with(OTHER_NODES, 2, "draining");
        let drain = if self.sends_snapshots { &drain_snapshot } else { drain };
        let now = if Instant::now() >= self.up { 2 } else { 1 };
        match now > since {
            true => send_line(&mut stream, drain).await?,
            false if self.sends_snapshots => {
                send_line(&mut stream, &complete_lists::complete_list_with(OTHER_NODES, 1, "ready")).await?
            }
            false => send_line(&mut stream, &format!("{{\"rev\":{now},\"targets\":[]}}")).await?,
        }
        while Instant::now() < self.down {
            let heartbeat_at = self.down.min(Instant::now() + Duration::from_secs(2));
            if timeout_at(heartbeat_at, wait_until_closed(&mut stream)).await.is_ok() {
                return Ok(());
            }
            if Instant::now() < self.down {
                send_line(&mut stream, "").await?;
            }
        }
        if now == 1 && self.resumes_old_watches {
            sleep_until(self.up).await;
            send_line(&mut stream, drain).await?;
        }
        wait_until_closed(&mut stream).await;
        Ok(())
    }
}

/// Waits until the peer has closed the connection.
async fn wait_until_closed(stream: &mut DuplexStream) {
    while stream.read(&mut [0; 64]).await.is_ok_and(|some| some > 0) {}
}

/// Sends a line as one chunk of the response.
async fn send_line(stream: &mut DuplexStream, text: &str) -> io::Result<()> {
    stream.write_all(format!("{:x}\r\n{text}\n\r\n", text.len() + 1).as_bytes()).await
}

impl Connect for Rc<Agent> {
    type Stream = DuplexStream;

    async fn connect(&self, _: SocketAddr) -> io::Result<DuplexStream> {
        self.calls.borrow_mut().push(Instant::now());
        let guard = self.count_connection();
        match self.outage {
            Outage::NeverConnects if self.is_down() => std::future::pending().await,
            Outage::Refuses if self.is_down() => return Err(io::ErrorKind::ConnectionRefused.into()),
            _ => {}
        }
        let (client_stream, server_stream) = duplex(4096);
        let agent = self.clone();
        spawn_local(async move { _ = agent.serve(server_stream, guard).await });
        Ok(client_stream)
    }
}

/// Returns a function that generates random numbers below its argument (xorshift).
fn random_numbers(seed: u64) -> impl FnMut(u64) -> u64 {
    let mut state = seed.wrapping_mul(0x9E37_79B9_7F4A_7C15) | 1;
    move |bound| {
        state ^= state << 13;
        state ^= state >> 7;
        state ^= state << 17;
        (state >> 11) % bound
    }
}

/// Result of one simulated outage.
struct OutageResult {
    /// Time from the end of the outage until the head has received the drain.
    delay: Duration,
    max_open_connections: usize,
    calls: Vec<Instant>,
}

/// Simulates an outage of a local agent for 0.1 to 20 s, which starts at a random time within the heartbeat interval.
/// The head starts before the outage or at a random time during it.
fn simulate(outage: Outage, resumes_old_watches: bool, seed: u64) -> OutageResult {
    simulate_with(outage, resumes_old_watches, false, seed)
}

fn simulate_with(
    outage: Outage,
    resumes_old_watches: bool,
    sends_snapshots: bool,
    seed: u64,
) -> OutageResult {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_time().start_paused(true).build();
    let runtime = runtime.expect("a runtime");
    LocalSet::new().block_on(&runtime, async {
        let mut random_below = random_numbers(seed);
        let down = Instant::now() + Duration::from_micros(2_000_000 + random_below(4_000_000));
        let duration = Duration::from_micros(match random_below(3) {
            0 => 100_000 + random_below(3_000_000),
            _ => 100_000 + random_below(19_900_000),
        });
        let up = down + duration;
        let (open_connections, max_open_connections, calls) = Default::default();
        let agent = Rc::new(Agent {
            outage,
            resumes_old_watches,
            sends_snapshots,
            down,
            up,
            open_connections,
            max_open_connections,
            calls,
        });
        if !resumes_old_watches && random_below(3) == 0 {
            sleep_until(down + duration.mul_f64(random_below(1000) as f64 / 1000.0)).await;
        }
        let schedule = PollSchedule::new(300, seed, SourceKind::LocalAgent, GRACE);
        let mut watcher = Watcher::new(agent.clone(), ([127, 0, 0, 1], 1).into(), &schedule);
        loop {
            match watcher.next_event(|| SourceRequest::WatchSince(1)).await {
                WatchEvent::List { list, .. } if list.version == 2 => break,
                _ => assert!(
                    up.elapsed() < Duration::from_secs(30),
                    "{outage:?}, seed {seed}: the update was never received"
                ),
            }
        }
        let delay = Instant::now() - up;
        OutageResult {
            delay,
            max_open_connections: agent.max_open_connections.get(),
            calls: agent.calls.take(),
        }
    })
}

/// An agent has an outage of 0.1 to 20 s and reports a draining node after it, in 2,100 random outages. The head
/// receives the drain within one poll interval, a quarter of the grace period, so that most of the period is left for
/// requests in progress.
#[test]
fn drain_is_received_within_one_poll_interval_after_an_outage() {
    use Outage::*;
    for outage in [NeverAnswers, AnswersLate, NeverConnects, OpensIdle, Refuses, Closes] {
        let mut max_delay = Duration::ZERO;
        let mut total_delay = Duration::ZERO;
        for seed in 1..=SEEDS {
            let result = simulate(outage, false, seed);
            assert!(
                result.delay <= POLL_INTERVAL + Duration::from_millis(2),
                "{outage:?}, seed {seed}: {:?}",
                result.delay
            );
            assert!(
                result.max_open_connections <= MAX_CALLS_IN_FLIGHT + 2,
                "{outage:?}, seed {seed}: {}",
                result.max_open_connections
            );
            max_delay = max_delay.max(result.delay);
            total_delay += result.delay;
            // The number of calls per second is limited, so that an agent that refuses or closes connections is not
            // overloaded.
            for (n, at) in result.calls.iter().enumerate() {
                let within =
                    result.calls[n..].iter().take_while(|call| **call - *at < Duration::from_secs(1)).count();
                assert!(within <= 17, "{outage:?}, seed {seed}: {within} calls in a second");
            }
        }
        println!("{outage:?}: {max_delay:?} at most, {:?} on average", total_delay / SEEDS as u32);
    }
}

/// The head receives an update at once on a watch from before the outage, even if the agent answers new calls only
/// seconds later.
#[test]
fn update_on_a_watch_from_before_the_outage_is_received() {
    for seed in 1..=200 {
        let result = simulate(Outage::NeverAnswers, true, seed);
        assert!(result.delay <= Duration::from_millis(2), "seed {seed}: {:?}", result.delay);
    }
}

/// A call to an agent that responds just before the call timeout is not cancelled when later calls start.
#[test]
fn response_of_a_slow_agent_is_received() {
    #[derive(Clone)]
    struct SlowAgent;
    impl Connect for SlowAgent {
        type Stream = DuplexStream;
        async fn connect(&self, _: SocketAddr) -> io::Result<DuplexStream> {
            sleep(Duration::from_millis(900)).await;
            let (client_stream, mut server_stream) = duplex(4096);
            spawn_local(async move {
                _ = server_stream.read(&mut [0; 1024]).await;
                _ = server_stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").await;
                _ = send_line(&mut server_stream, "{\"rev\":2,\"targets\":[]}").await;
                while server_stream.read(&mut [0; 64]).await.is_ok_and(|some| some > 0) {}
            });
            Ok(client_stream)
        }
    }
    let runtime = tokio::runtime::Builder::new_current_thread().enable_time().start_paused(true).build();
    LocalSet::new().block_on(&runtime.expect("a runtime"), async {
        let schedule = PollSchedule::new(1, 1, SourceKind::LocalAgent, GRACE);
        let started_at = Instant::now();
        let mut watcher = Watcher::new(SlowAgent, ([127, 0, 0, 1], 1).into(), &schedule);
        let event = watcher.next_event(|| SourceRequest::WatchSince(1)).await;
        assert!(matches!(&event, WatchEvent::List { list, .. } if list.version == 2), "{event:?}");
        assert!(started_at.elapsed() < Duration::from_secs(1), "{:?}", started_at.elapsed());
    });
}

/// A watch is opened after a complete list has been received, even if its response begins with a blank line and ends
/// some time after the list. On a shared server no other call would follow if the end of this one were missed.
#[test]
fn watch_is_opened_after_a_complete_list_in_pieces() {
    #[derive(Clone)]
    struct ListInPieces;
    impl Connect for ListInPieces {
        type Stream = DuplexStream;
        async fn connect(&self, _: SocketAddr) -> io::Result<DuplexStream> {
            let (client_stream, mut server_stream) = duplex(4096);
            spawn_local(async move {
                let mut request = [0; 1024];
                let length = server_stream.read(&mut request).await.unwrap_or(0);
                let watch = String::from_utf8_lossy(&request[..length]).contains("follow=1");
                _ = server_stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").await;
                if watch {
                    _ = send_line(&mut server_stream, "{\"rev\":2,\"targets\":[]}").await;
                    return wait_until_closed(&mut server_stream).await;
                }
                for text in ["", "{\"rev\":1,\"all\":true,\"targets\":[]}", ""] {
                    _ = send_line(&mut server_stream, text).await;
                    sleep(Duration::from_millis(30)).await;
                }
                _ = server_stream.write_all(b"0\r\n\r\n").await;
            });
            Ok(client_stream)
        }
    }
    for kind in [SourceKind::SharedServer, SourceKind::LocalAgent] {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_time().start_paused(true).build();
        LocalSet::new().block_on(&runtime.expect("a runtime"), async {
            let schedule = PollSchedule::new(1, 1, kind, GRACE);
            let mut watcher = Watcher::new(ListInPieces, ([127, 0, 0, 1], 1).into(), &schedule);
            let mut version = 0;
            let started_at = Instant::now();
            while version < 2 {
                match watcher
                    .next_event(
                        || if version == 0 { SourceRequest::List } else { SourceRequest::WatchSince(1) },
                    )
                    .await
                {
                    WatchEvent::List { list, .. } => version = list.version,
                    _ => assert!(
                        started_at.elapsed() < Duration::from_secs(2),
                        "{kind:?}, at version {version}"
                    ),
                }
            }
            assert!(
                started_at.elapsed() < Duration::from_millis(200),
                "{kind:?}: {:?}",
                started_at.elapsed()
            );
        });
    }
}
