//! Tests of this module's private parts.

mod whole_lists;

use super::*;
use crate::discovery::schedule::{PollSchedule, SourceKind};
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::io::{AsyncReadExt, AsyncWriteExt, DuplexStream, duplex};
use tokio::task::{LocalSet, spawn_local};
use tokio::time::{Instant, sleep, sleep_until, timeout_at};

const GRACE: Duration = Duration::from_millis(250);
const EVERY: Duration = Duration::from_micros(62_500);

/// Outages of each kind that are played.
const SEEDS: u64 = 350;

/// Nodes in a whole list beside the one that drains.
const OTHERS: usize = 80;

/// How an agent behaves while it is silent.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Silence {
    /// It takes calls and never answers those.
    TakesAndForgets,
    /// It takes calls and answers them at its return.
    AnswersLate,
    /// No connection comes up, not even at its return.
    TakesNone,
    /// It opens watches and says nothing on them, ever.
    OpensMute,
    /// It refuses.
    Refuses,
    /// It takes calls and closes them.
    Closes,
}

/// An agent in virtual time: speaks until `down`, and again from `up`, when it has a drain, version 2.
struct Agent {
    silence: Silence,
    /// Watches that stood before the silence speak at its end, and before any call is answered.
    old_speaks: bool,
    /// It answers with the whole list, longer than what a connection holds, where others tell what changed.
    whole: bool,
    down: Instant,
    up: Instant,
    out: Cell<usize>,
    most_out: Cell<usize>,
    calls: RefCell<Vec<Instant>>,
}

struct Out(Rc<Agent>);

impl Drop for Out {
    fn drop(&mut self) {
        self.0.out.set(self.0.out.get() - 1);
    }
}

impl Agent {
    fn silent(&self) -> bool {
        (self.down..self.up).contains(&Instant::now())
    }

    fn out(self: &Rc<Agent>) -> Out {
        self.out.set(self.out.get() + 1);
        self.most_out.set(self.most_out.get().max(self.out.get()));
        Out(self.clone())
    }

    /// Serves one connection to its end.
    async fn serve(self: Rc<Agent>, mut stream: DuplexStream, _out: Out) -> io::Result<()> {
        let mut head = Vec::new();
        while !head.ends_with(b"\r\n\r\n") {
            head.push(stream.read_u8().await?);
        }
        let head = String::from_utf8_lossy(&head).into_owned();
        let since = head.split("since=").nth(1).and_then(|rest| rest.split(' ').next()?.parse().ok());
        if self.silent() {
            match self.silence {
                Silence::AnswersLate => {
                    if timeout_at(self.up, closed(&mut stream)).await.is_ok() {
                        return Ok(());
                    }
                }
                Silence::Closes => return Ok(()),
                silence => {
                    if silence == Silence::OpensMute {
                        stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").await?;
                    }
                    closed(&mut stream).await;
                    return Ok(());
                }
            }
        } else if self.old_speaks && Instant::now() >= self.up {
            sleep(Duration::from_secs(5)).await;
        }
        stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").await?;
        let Some(since) = since else {
            return say(&mut stream, "{\"rev\":1,\"all\":true,\"targets\":[]}").await;
        };
        let drain = "{\n\"rev\": 2,\n\"targets\": [{\"uid\": \"s-1\", \"state\": \"draining\"}]}";
        let whole_drain = whole_lists::text_of(OTHERS, 2, "draining");
        let drain = if self.whole { &whole_drain } else { drain };
        let now = if Instant::now() >= self.up { 2 } else { 1 };
        match now > since {
            true => say(&mut stream, drain).await?,
            false if self.whole => say(&mut stream, &whole_lists::text_of(OTHERS, 1, "ready")).await?,
            false => say(&mut stream, &format!("{{\"rev\":{now},\"targets\":[]}}")).await?,
        }
        while Instant::now() < self.down {
            let beat = self.down.min(Instant::now() + Duration::from_secs(2));
            if timeout_at(beat, closed(&mut stream)).await.is_ok() {
                return Ok(());
            }
            if Instant::now() < self.down {
                say(&mut stream, "").await?;
            }
        }
        if now == 1 && self.old_speaks {
            sleep_until(self.up).await;
            say(&mut stream, drain).await?;
        }
        closed(&mut stream).await;
        Ok(())
    }
}

/// Waits until the other side has closed.
async fn closed(stream: &mut DuplexStream) {
    while stream.read(&mut [0; 64]).await.is_ok_and(|some| some > 0) {}
}

async fn say(stream: &mut DuplexStream, text: &str) -> io::Result<()> {
    stream.write_all(format!("{:x}\r\n{text}\n\r\n", text.len() + 1).as_bytes()).await
}

impl Connect for Rc<Agent> {
    type Stream = DuplexStream;

    async fn connect(&self, _: SocketAddr) -> io::Result<DuplexStream> {
        self.calls.borrow_mut().push(Instant::now());
        let out = self.out();
        match self.silence {
            Silence::TakesNone if self.silent() => std::future::pending().await,
            Silence::Refuses if self.silent() => return Err(io::ErrorKind::ConnectionRefused.into()),
            _ => {}
        }
        let (near, far) = duplex(4096);
        let agent = self.clone();
        spawn_local(async move { _ = agent.serve(far, out).await });
        Ok(near)
    }
}

/// Numbers by chance (xorshift).
fn draws(seed: u64) -> impl FnMut(u64) -> u64 {
    let mut state = seed.wrapping_mul(0x9E37_79B9_7F4A_7C15) | 1;
    move |most| {
        state ^= state << 13;
        state ^= state >> 7;
        state ^= state << 17;
        (state >> 11) % most
    }
}

/// What one outage came to.
struct Played {
    /// From the agent's return until a head knows of the drain.
    late: Duration,
    most_out: usize,
    calls: Vec<Instant>,
}

/// One outage of a head's own agent, of 0.1 to 20 s, at any moment of its heartbeat; the head may have started
/// before it, or at any moment of it.
fn play(silence: Silence, old_speaks: bool, seed: u64) -> Played {
    play_with(silence, old_speaks, false, seed)
}

fn play_with(silence: Silence, old_speaks: bool, whole: bool, seed: u64) -> Played {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_time().start_paused(true).build();
    let runtime = runtime.expect("a runtime");
    LocalSet::new().block_on(&runtime, async {
        let mut draw = draws(seed);
        let down = Instant::now() + Duration::from_micros(2_000_000 + draw(4_000_000));
        let lasts = Duration::from_micros(match draw(3) {
            0 => 100_000 + draw(3_000_000),
            _ => 100_000 + draw(19_900_000),
        });
        let up = down + lasts;
        let (out, most_out, calls) = Default::default();
        let agent = Rc::new(Agent { silence, old_speaks, whole, down, up, out, most_out, calls });
        if !old_speaks && draw(3) == 0 {
            sleep_until(down + lasts.mul_f64(draw(1000) as f64 / 1000.0)).await;
        }
        let schedule = PollSchedule::new(300, seed, SourceKind::LocalAgent, GRACE);
        let mut watcher = Watcher::new(agent.clone(), ([127, 0, 0, 1], 1).into(), &schedule);
        loop {
            match watcher.next_event(|| SourceRequest::WatchSince(1)).await {
                WatchEvent::List { list, .. } if list.version == 2 => break,
                _ => assert!(up.elapsed() < Duration::from_secs(30), "{silence:?}, seed {seed}: never heard"),
            }
        }
        let late = Instant::now() - up;
        Played { late, most_out: agent.most_out.get(), calls: agent.calls.take() }
    })
}

/// Hard case: an agent that was silent for 0.1 to 20 s and has a drain at its return, in 2,100 outages from seeds. A head
/// knows of it within one span of its pace, a quarter of the grace, and so has most of the grace left for what is
/// about to be sent.
#[test]
fn a_drain_that_an_agent_has_at_its_return_is_heard_within_a_quarter_of_the_grace() {
    use Silence::*;
    for silence in [TakesAndForgets, AnswersLate, TakesNone, OpensMute, Refuses, Closes] {
        let (mut most, mut sum) = (Duration::ZERO, Duration::ZERO);
        for seed in 1..=SEEDS {
            let played = play(silence, false, seed);
            assert!(
                played.late <= EVERY + Duration::from_millis(2),
                "{silence:?}, seed {seed}: {:?}",
                played.late
            );
            assert!(
                played.most_out <= MAX_CALLS_IN_FLIGHT + 2,
                "{silence:?}, seed {seed}: {}",
                played.most_out
            );
            (most, sum) = (most.max(played.late), sum + played.late);
            // Calls in any second: an agent that refuses or closes is not hammered.
            for (n, at) in played.calls.iter().enumerate() {
                let within =
                    played.calls[n..].iter().take_while(|c| **c - *at < Duration::from_secs(1)).count();
                assert!(within <= 17, "{silence:?}, seed {seed}: {within} calls in a second");
            }
        }
        println!("{silence:?}: {most:?} at most, {:?} on average", sum / SEEDS as u32);
    }
}

/// Given a watch from before the silence that speaks first, seconds before the agent answers any call, then it is heard.
#[test]
fn an_old_watch_that_speaks_first_is_heard() {
    for seed in 1..=200 {
        let played = play(Silence::TakesAndForgets, true, seed);
        assert!(played.late <= Duration::from_millis(2), "seed {seed}: {:?}", played.late);
    }
}

/// Given an agent that takes its time for each answer, nearly as long as a call may take, then a call is left for long
/// enough to hear it, although others begin after it.
#[test]
fn an_agent_that_is_slow_is_heard() {
    #[derive(Clone)]
    struct Slow;
    impl Connect for Slow {
        type Stream = DuplexStream;
        async fn connect(&self, _: SocketAddr) -> io::Result<DuplexStream> {
            sleep(Duration::from_millis(900)).await;
            let (near, mut far) = duplex(4096);
            spawn_local(async move {
                _ = far.read(&mut [0; 1024]).await;
                _ = far.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").await;
                _ = say(&mut far, "{\"rev\":2,\"targets\":[]}").await;
                while far.read(&mut [0; 64]).await.is_ok_and(|some| some > 0) {}
            });
            Ok(near)
        }
    }
    let runtime = tokio::runtime::Builder::new_current_thread().enable_time().start_paused(true).build();
    LocalSet::new().block_on(&runtime.expect("a runtime"), async {
        let (schedule, began) = (PollSchedule::new(1, 1, SourceKind::LocalAgent, GRACE), Instant::now());
        let mut watcher = Watcher::new(Slow, ([127, 0, 0, 1], 1).into(), &schedule);
        let news = watcher.next_event(|| SourceRequest::WatchSince(1)).await;
        assert!(matches!(&news, WatchEvent::List { list, .. } if list.version == 2), "{news:?}");
        assert!(began.elapsed() < Duration::from_secs(1), "{:?}", began.elapsed());
    });
}

/// Given a whole list whose answer ends, or whose first bytes are blank, some time apart from the list itself, when it
/// has come, then a watch is opened after it, at a shared service too, where no other call would be made.
#[test]
fn a_whole_list_in_pieces_is_heard_and_followed() {
    #[derive(Clone)]
    struct Pieces;
    impl Connect for Pieces {
        type Stream = DuplexStream;
        async fn connect(&self, _: SocketAddr) -> io::Result<DuplexStream> {
            let (near, mut far) = duplex(4096);
            spawn_local(async move {
                let mut head = [0; 1024];
                let length = far.read(&mut head).await.unwrap_or(0);
                let watch = String::from_utf8_lossy(&head[..length]).contains("follow=1");
                _ = far.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").await;
                if watch {
                    _ = say(&mut far, "{\"rev\":2,\"targets\":[]}").await;
                    return closed(&mut far).await;
                }
                for text in ["", "{\"rev\":1,\"all\":true,\"targets\":[]}", ""] {
                    _ = say(&mut far, text).await;
                    sleep(Duration::from_millis(30)).await;
                }
                _ = far.write_all(b"0\r\n\r\n").await;
            });
            Ok(near)
        }
    }
    for kind in [SourceKind::SharedServer, SourceKind::LocalAgent] {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_time().start_paused(true).build();
        LocalSet::new().block_on(&runtime.expect("a runtime"), async {
            let schedule = PollSchedule::new(1, 1, kind, GRACE);
            let mut watcher = Watcher::new(Pieces, ([127, 0, 0, 1], 1).into(), &schedule);
            let (mut told, began) = (0, Instant::now());
            while told < 2 {
                match watcher
                    .next_event(|| if told == 0 { SourceRequest::List } else { SourceRequest::WatchSince(1) })
                    .await
                {
                    WatchEvent::List { list, .. } => told = list.version,
                    _ => assert!(began.elapsed() < Duration::from_secs(2), "{kind:?}, at {told}"),
                }
            }
            assert!(began.elapsed() < Duration::from_millis(200), "{kind:?}: {:?}", began.elapsed());
        });
    }
}
