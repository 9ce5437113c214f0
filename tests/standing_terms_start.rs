//! Standing terms on idle clients and on restarts, with the head as a process. Idle clients fill the descriptors while
//! discovery is down: the head keeps what it needs for discovery and nodes, serves, and hears of a change within the
//! bound once discovery is back. Of restarted heads nine in ten are ready within 10 s, whatever discovery does.

mod peers;

use peers::closed_port::ClosedPort;
use peers::*;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// When a change counts as told.
const TOLD: Duration = Duration::from_secs(6);
/// The seed of the tests' configuration, and what makes others.
const SEED: &str = "8c1f30d27a5be964";
const SEED_STEP: u64 = 0x9E37_79B9_7F4A_7C15;
/// Within this nine in ten restarted heads are ready.
const READY: Duration = Duration::from_secs(10);

/// How the system words that it has no descriptor left.
const NO_DESCRIPTOR: &str = "os error 24";

fn read() -> String {
    Client::request("play-fetch", "network", 1, 2.0, 0)
}

fn serving(name: &'static str) -> Brick {
    Brick::start(move |_, _| Step::Serve(name.into()))
}

/// A configuration for one of so many heads, with changes pushed or asked for.
fn config_of(discovery: SocketAddr, sockets: usize, known: &str, (mode, heads): (&str, u32)) -> String {
    config_at(discovery, sockets, known)
        .replace(r#""membership_mode":"push""#, &format!(r#""membership_mode":"{mode}""#))
        .replace(r#""n_instances":1"#, &format!(r#""n_instances":{heads}"#))
}

/// Idle clients: as many connections as are to be had, opened anew when they are closed, half of them after a request.
struct Idle {
    over: Arc<AtomicBool>,
    threads: Vec<thread::JoinHandle<()>>,
}

impl Idle {
    fn start(http: SocketAddr, count: usize) -> Idle {
        let over: Arc<AtomicBool> = Arc::default();
        let threads = (0..count).map(|number| {
            let over = over.clone();
            thread::spawn(move || {
                while !over.load(Ordering::SeqCst) {
                    Idle::rest(http, number % 2 == 0, &over);
                }
            })
        });
        Idle { threads: threads.collect(), over }
    }

    /// One connection, until it is closed.
    fn rest(http: SocketAddr, asks: bool, over: &AtomicBool) {
        use std::io::{Read, Write};
        let Ok(mut stream) = TcpStream::connect_timeout(&http, Duration::from_secs(1)) else { return };
        stream.set_read_timeout(Some(Duration::from_millis(100))).expect("a time-out");
        if asks {
            _ = stream.write_all(b"GET /-/healthy HTTP/1.1\r\nHost: head\r\n\r\n");
        }
        while !over.load(Ordering::SeqCst) {
            match stream.read(&mut [0; 256]) {
                Ok(0) => return,
                Ok(_) => {}
                Err(problem) if problem.kind() == std::io::ErrorKind::WouldBlock => {}
                Err(_) => return,
            }
        }
    }

    fn stop(self) {
        self.over.store(true, Ordering::SeqCst);
        self.threads.into_iter().for_each(|idle| _ = idle.join());
    }
}

/// How discovery is down.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Down {
    /// Calls are accepted and never answered.
    Silent,
    /// Calls are accepted and closed.
    Closes,
}

/// Discovery that is down at will, and has a change at its return.
struct Source {
    agent: Agent,
    down: Arc<AtomicBool>,
    lists: Arc<Mutex<Vec<String>>>,
}

impl Source {
    fn start(whole: String, how: Down) -> Source {
        let (down, lists) = (Arc::new(AtomicBool::new(false)), Arc::new(Mutex::new(vec![whole])));
        let (is_down, now) = (down.clone(), lists.clone());
        let agent = Agent::start(move |_, _| match is_down.load(Ordering::SeqCst) {
            true if how == Down::Silent => vec![Say::Hold],
            true => vec![Say::Close],
            // A watch ends after a while, so that none stands in the outage.
            false => {
                let list = now.lock().expect("lists").last().cloned().expect("a list");
                vec![Say::Line(list), Say::Pause(Duration::from_secs(1)), Say::Close]
            }
        });
        Source { agent, down, lists }
    }
}

/// Idle clients take all descriptors that they can get, with the system's own limit just above the settings'; discovery
/// is down meanwhile, silent or closing its connections, and has a change when it is back.
#[test]
fn idle_clients_that_fill_the_descriptors_keep_no_change_from_a_head() {
    /// As few as leave clients some; the system gives no more either.
    const SOCKETS: usize = 96;
    for (fleet, how) in [
        (("push", 1), Down::Silent),
        (("push", 300), Down::Closes),
        (("ask", 8), Down::Closes),
        (("ask", 300), Down::Silent),
    ] {
        let (old, new) = (serving("old"), serving("new"));
        let entries = [entry("s-1", old.address, 0, "ready")];
        let source = Source::start(list(1, true, &entries), how);
        let head = Head::start_limited(&config_of(source.agent.address, SOCKETS, "null", fleet), SOCKETS);
        assert_eq!(Client::new(head.http).ask(&read(), b"").body, b"old");
        source.down.store(true, Ordering::SeqCst);
        let calls = source.agent.asked().len();
        let idle = Idle::start(head.http, SOCKETS * 2);
        wait(|| (head.counter("reclaimed") > 0).then_some(()));
        // It calls on while they do, and serves.
        wait(|| (source.agent.asked().len() > calls).then_some(()));
        thread::sleep(Duration::from_millis(1500));
        for _ in 0..20 {
            assert_eq!(Client::new(head.http).ask(&read(), b"").body, b"old", "{fleet:?}, {how:?}");
        }
        let change = [entry("s-1", old.address, 0, "draining"), entry("s-2", new.address, 0, "ready")];
        source.lists.lock().expect("lists").push(list(2, true, &change));
        source.down.store(false, Ordering::SeqCst);
        let back = Instant::now();
        wait(|| (Client::new(head.http).ask(&read(), b"").body == b"new").then_some(()));
        let heard = back.elapsed();
        println!("{fleet:?}, {how:?}: heard after {heard:.2?} with {} reclaimed", head.counter("reclaimed"));
        assert!(heard < TOLD, "{fleet:?}, {how:?}: {heard:?}");
        let short = head.log().into_iter().find(|line| line.contains(NO_DESCRIPTOR));
        assert_eq!(short, None, "{fleet:?}, {how:?}: the head keeps what it needs itself");
        idle.stop();
    }
}

/// What discovery does when a head starts.
#[derive(Clone, Copy, Debug, PartialEq)]
enum AtStart {
    /// It takes its time for each answer.
    Slow,
    /// It accepts calls and never answers.
    Silent,
    /// Nobody listens.
    Refuses,
    /// Nobody listens yet.
    RefusesAtFirst,
    /// It accepts calls, and answers only later ones.
    SilentAtFirst,
}

/// How long discovery takes to answer where it is slow, and until it is back.
const SLOW: Duration = Duration::from_millis(800);
const BACK: Duration = Duration::from_secs(2);

/// What a discovery that does not answer has of its port; held until the head is ready.
type HeldPort = Option<Box<dyn std::any::Any>>;

/// Where discovery answers, as it is at the start.
fn discovery_at_start(how: AtStart, whole: String) -> (SocketAddr, HeldPort) {
    match how {
        AtStart::Slow => {
            let agent = Agent::start(move |_, _| vec![Say::Pause(SLOW), Say::Line(whole.clone())]);
            (agent.address, None)
        }
        AtStart::Silent => {
            let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
            (listener.local_addr().expect("an address"), Some(Box::new(listener)))
        }
        AtStart::Refuses => {
            let port = ClosedPort::reserve();
            (port.address, Some(Box::new(port)))
        }
        AtStart::RefusesAtFirst => {
            let port = ClosedPort::reserve();
            let address = port.address;
            thread::spawn(move || {
                thread::sleep(BACK);
                Agent::start_on(port.open(), move |_, _| vec![Say::Line(whole.clone())]);
            });
            (address, None)
        }
        AtStart::SilentAtFirst => {
            let began = Instant::now();
            let agent = Agent::start(move |_, _| match began.elapsed() < BACK {
                true => vec![Say::Hold],
                false => vec![Say::Line(whole.clone())],
            });
            (agent.address, None)
        }
    }
}

/// Heads that were killed and start again, with the list of their earlier life or, where discovery answers in time, none.
#[test]
fn nine_in_ten_restarted_heads_are_ready_within_ten_seconds() {
    /// Restarts of each kind.
    const RESTARTS: u64 = 2;
    let mut kinds = Vec::new();
    for fleet in [("push", 1), ("push", 300), ("ask", 1), ("ask", 300)] {
        for how in [AtStart::Slow, AtStart::Silent, AtStart::Refuses] {
            kinds.push((fleet, how, true));
        }
        for how in [AtStart::Slow, AtStart::RefusesAtFirst, AtStart::SilentAtFirst] {
            kinds.push((fleet, how, false));
        }
    }
    let node = serving("served");
    let whole = list(1, true, &[entry("s-1", node.address, 0, "ready")]);
    let mut took = Vec::new();
    // Few at a time, so that the machine's load is not measured.
    for batch in kinds.chunks(6) {
        let restarts: Vec<_> = batch
            .iter()
            .map(|(fleet, how, known)| {
                let (fleet, how, known, whole) = (*fleet, *how, *known, whole.clone());
                thread::spawn(move || {
                    let mut took = Vec::new();
                    for number in 0..RESTARTS {
                        let earlier = Agent::start({
                            let whole = whole.clone();
                            move |_, _| vec![Say::Line(whole.clone())]
                        });
                        let first =
                            Head::start_text(&config_of(earlier.address, 1024, "null", fleet), None, &[]);
                        first.signal("-KILL");
                        drop(first);
                        let (address, _open) = discovery_at_start(how, whole.clone());
                        let list = if known { whole.as_str() } else { "null" };
                        let seed = format!("{:016x}", SEED_STEP.wrapping_mul(number + 1));
                        let started = Instant::now();
                        let head = Head::start_text(
                            &config_of(address, 1024, list, fleet).replace(SEED, &seed),
                            None,
                            &[],
                        );
                        took.push(started.elapsed());
                        assert_eq!(Client::new(head.http).ask(&read(), b"").body, b"served");
                    }
                    took.sort_unstable();
                    println!("{fleet:?}, {how:?}, known: {known}: ready after {took:.2?}");
                    took
                })
            })
            .collect();
        restarts.into_iter().for_each(|restart| took.extend(restart.join().expect("restarts")));
    }
    let ready = took.iter().filter(|took| **took <= READY).count();
    println!("{ready} of {} ready within {READY:?}", took.len());
    assert!(ready * 10 >= took.len() * 9, "{ready} of {}", took.len());
}
