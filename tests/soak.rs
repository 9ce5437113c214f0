//! A soak of the real program: one seed gives the whole run, that is, which node hangs, resets or drains when, when sources
//! fall silent and the head moves between them (SIGHUP in series), whether there is a crowd of idle clients, and how the head
//! ends (SIGTERM once or twice, alone or with a newer process that takes over), with SIGKILL at the earliest that the platform's
//! page allows. Clients go on using open connections until then, and all that was taken is answered, up to the kill: a close
//! that crosses a request which the head has not read is the one excuse. The head is held up for up to 0.15 s at times, at
//! SIGTERM and near the kill, too. Beside the clients crowds come that write and read slowly, stop half way or send floods,
//! nodes pause in their answers or send some twice, and clients leave and send the same id again, also to the other process.
//!
//! Checked on the wire: each request has one final answer in time, made by a node if it is served; what is rejected never
//! ran; no two attempts of one request are at nodes at once; a draining node gets nothing new after the grace; descriptors
//! are given back; no attempt begins after its client left; an id that a node has seen is not taken again; the process stays
//! within its memory limit. `FLAXGAP_SOAK_SEEDS=FROM..TO` plays other seeds than those of CI. A broken rule is printed with its seed and the head's log.

mod peers;

use nix::sys::signal::Signal;
use peers::crowd::{Crowd, Habit};
use peers::lasting_clients::{ANSWER_SLACK, Exchange, HeadEnd, LastingClient};
use peers::peak_memory::PeakMemory;
use peers::process_signals::{MAX_HOLD_UP, hold_up, kill_delay, send, sleep_until, terminate_held_up};
use peers::timing::{Hindrance, StampedStream, WallTime, stamp_arrivals, wall_time};
use peers::*;
use std::collections::HashMap;
use std::io::{BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU8, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Seeds of CI: 1 to this.
const CI_SEEDS: u64 = 12;
/// Runs at a time.
const RUNS_AT_ONCE: usize = 4;
/// The longest deadline of the settings, which all requests have.
const DEADLINE: Duration = Duration::from_secs(2);
/// The settings' grace for draining nodes and the platform's slack.
const GRACE: Duration = Duration::from_millis(300);
/// Clients that send without a pause, and idle ones of a crowd.
const CLIENTS: usize = 6;
const CROWD: usize = 150;
/// Memory limits that a run may have, in MiB: the least and the most that the pages name, and some between.
const MEMORY_MB: [usize; 4] = [32, 48, 96, 192];
/// How long after its client left an attempt may begin at the latest.
const BEGINS_AFTER_LEFT: Duration = Duration::from_millis(100);
/// Clients that leave, and send the id of their last request again.
const LEAVING_CLIENTS: usize = 3;
/// How long the faults go on before the head is told to end.
const FAULTS_FOR: Duration = Duration::from_millis(3500);

/// Numbers from a seed (splitmix64).
struct Random(u64);

impl Random {
    fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mixed = (self.0 ^ self.0 >> 30).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let mixed = (mixed ^ mixed >> 27).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^ mixed >> 31
    }

    fn below(&mut self, most: u64) -> u64 {
        self.next() % most
    }

    fn chance(&mut self, percent: u64) -> bool {
        self.below(100) < percent
    }

    fn millis(&mut self, from: u64, to: u64) -> Duration {
        Duration::from_millis(from + self.below(to - from))
    }
}

/// What a node does with requests at present.
const SERVES: u8 = 0;
const HANGS: u8 = 1;
const RESETS: u8 = 2;
const TURNS_AWAY: u8 = 3;
const PAUSES: u8 = 4;
const COPIES: u8 = 5;
const HANGS_AT_TIMES: u8 = 6;
/// How late a second copy of an answer comes, in milliseconds.
const COPY_DELAY_MS: std::ops::Range<u64> = 1..16;
/// How long a node pauses within an answer: less than what is left of its client's time.
const PAUSE: Duration = Duration::from_millis(700);

/// An attempt that a node had whole.
struct Attempt {
    /// Its connection while it is out.
    stream: Option<TcpStream>,
    /// It was turned away without effect.
    never_ran: bool,
}

/// What the nodes of a run have seen, by request id.
#[derive(Default)]
struct Ledger {
    attempts: Mutex<HashMap<String, Vec<Attempt>>>,
    /// When the clients of some requests left.
    left: Mutex<HashMap<String, WallTime>>,
    broken: Mutex<Vec<String>>,
}

impl Ledger {
    fn broke(&self, rule: String) {
        self.broken.lock().expect("broken").push(rule);
    }

    /// Notes an attempt; a broken rule if an earlier one is still out. Asks the system, so that no thread's delay counts.
    fn begin(&self, id: &str, stream: &TcpStream) -> usize {
        let mut attempts = self.attempts.lock().expect("attempts");
        let of_request = attempts.entry(id.into()).or_default();
        if of_request.iter().filter_map(|earlier| earlier.stream.as_ref()).any(is_open_and_empty) {
            self.broke(format!("two attempts of {id} at once"));
        }
        let stream = stream.try_clone().expect("a handle");
        of_request.push(Attempt { stream: Some(stream), never_ran: false });
        of_request.len() - 1
    }

    /// Checks that an attempt did not begin after its client had left. A head that is held up for the time that the
    /// platform's page names may be later.
    fn check_client(&self, id: &str, arrived: WallTime) {
        let left = self.left.lock().expect("left").get(id).copied();
        let latest = left.map(|left| left + BEGINS_AFTER_LEFT + MAX_HOLD_UP);
        if latest.is_some_and(|latest| arrived > latest) {
            self.broke(format!(
                "an attempt of {id} began {:?} after its client left",
                arrived - left.unwrap_or_default()
            ));
        }
    }

    fn end(&self, id: &str, number: usize, never_ran: bool) {
        let mut attempts = self.attempts.lock().expect("attempts");
        let attempt = &mut attempts.get_mut(id).expect("begun")[number];
        attempt.stream = None;
        attempt.never_ran = never_ran;
    }

    /// Whether a node has had an attempt of it.
    fn was_seen(&self, id: &str) -> bool {
        self.attempts.lock().expect("attempts").contains_key(id)
    }

    fn may_have_run(&self, id: &str) -> bool {
        let attempts = self.attempts.lock().expect("attempts");
        attempts.get(id).is_some_and(|attempts| attempts.iter().any(|attempt| !attempt.never_ran))
    }
}

/// Whether a connection is open with nothing to read; asks the system.
fn is_open_and_empty(stream: &TcpStream) -> bool {
    stream.set_nonblocking(true).expect("a mode");
    let is_empty = stream.peek(&mut [0]).is_err_and(|e| e.kind() == std::io::ErrorKind::WouldBlock);
    stream.set_nonblocking(false).expect("a mode");
    is_empty
}

/// A node whose behaviour changes.
struct Node {
    address: SocketAddr,
    mode: Arc<AtomicU8>,
    /// When requests arrived, by the system's stamp.
    arrivals: Arc<Mutex<Vec<Duration>>>,
}

impl Node {
    fn start(ledger: &Arc<Ledger>) -> Node {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        stamp_arrivals(&listener);
        let address = listener.local_addr().expect("an address");
        let node = Node { address, mode: Arc::default(), arrivals: Arc::default() };
        let (mode, arrivals, ledger) = (node.mode.clone(), node.arrivals.clone(), ledger.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (mode, arrivals, ledger) = (mode.clone(), arrivals.clone(), ledger.clone());
                thread::spawn(move || while Node::serve(&stream, &mode, &arrivals, &ledger).is_some() {});
            }
        });
        node
    }

    /// Sends three in ten answers a second time, some milliseconds late, if nothing waits on the connection then.
    fn send_copy(stream: &TcpStream, id: &str, answer: &[u8]) {
        let mut random = Random(u64::from_str_radix(id, 16).expect("an id"));
        if !random.chance(30) {
            return;
        }
        thread::sleep(random.millis(COPY_DELAY_MS.start, COPY_DELAY_MS.end));
        if is_open_and_empty(stream) {
            let mut out = stream;
            _ = out.write_all(answer);
        }
    }

    /// Serves one request of a connection; none once that is over.
    fn serve(
        stream: &TcpStream,
        mode: &AtomicU8,
        arrivals: &Mutex<Vec<Duration>>,
        ledger: &Ledger,
    ) -> Option<()> {
        let mut from = BufReader::new(StampedStream::new(stream.try_clone().ok()?));
        let message = Message::read(&mut from)?;
        let arrived = from.get_mut().take_arrival().expect("a stamp");
        arrivals.lock().expect("arrivals").push(arrived);
        let id = message.header("x-correlation-id").to_string();
        ledger.check_client(&id, arrived);
        let number = ledger.begin(&id, stream);
        let mut out = stream;
        let hangs_now = Random(u64::from_str_radix(&id, 16).unwrap_or(0)).chance(50);
        match mode.load(Ordering::SeqCst) {
            mode if mode == HANGS || mode == HANGS_AT_TIMES && hangs_now => {
                _ = from.read(&mut [0]);
                ledger.end(&id, number, false);
                None
            }
            RESETS => {
                ledger.end(&id, number, false);
                socket2::SockRef::from(stream).set_linger(Some(Duration::ZERO)).ok()?;
                _ = stream.shutdown(Shutdown::Both);
                None
            }
            TURNS_AWAY => {
                ledger.end(&id, number, true);
                out.write_all(b"HTTP/1.1 503 No\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n").ok()
            }
            mode => {
                let body = match &message.line {
                    line if line.contains("?long") => id.repeat(100_000),
                    line if line.contains("?medium") => id.repeat(3000),
                    _ => id.clone(),
                };
                let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
                out.write_all(head.as_bytes()).ok()?;
                thread::sleep(if mode == PAUSES { PAUSE } else { Duration::ZERO });
                ledger.end(&id, number, false);
                out.write_all(body.as_bytes()).ok()?;
                if mode == COPIES {
                    Node::send_copy(stream, &id, &[head.as_bytes(), body.as_bytes()].concat());
                }
                Some(())
            }
        }
    }
}

/// What the clients of a run share.
struct Clients {
    ledger: Arc<Ledger>,
    /// Where the head listens.
    http: SocketAddr,
    /// The moments of the older head's end.
    end: HeadEnd,
    answered: Mutex<usize>,
}

impl Clients {
    /// Sends requests over one connection after another until the run is over. All that a head takes is answered, up to the
    /// kill.
    fn run(&self, mut random: Random) {
        let mut client = LastingClient::new(self.http, &self.end);
        while !self.end.is_over() {
            let is_write = random.chance(40);
            let (class, length) = match is_write {
                true if random.chance(20) => ("episode-save", 300_000),
                true => ("episode-save", 2000),
                false => ("play-fetch", 0),
            };
            let request = Client::request(class, "network", 1, DEADLINE.as_secs_f64(), length)
                .replace("shard=0", &format!("shard={}", random.below(2)));
            let line = request.lines().find_map(|line| line.strip_prefix("X-Correlation-Id: "));
            let id = line.expect("an id").to_string();
            let body = vec![b'x'; length];
            match client.exchange(&request, &body, DEADLINE, || self.ledger.was_seen(&id)) {
                Exchange::Answered { answer, took } => self.check(&id, is_write, &answer, took),
                Exchange::Refused => {}
                Exchange::Lost { how, sent_at, took } => {
                    let terminated_at = *self.end.terminated_at.lock().expect("term");
                    let after_term = terminated_at.map(|at| sent_at.saturating_duration_since(at));
                    let was_seen = self.ledger.was_seen(&id);
                    self.ledger.broke(format!(
                        "{id} was lost: {how:?} after {took:?}, sent {after_term:?} after SIGTERM, at a node: {was_seen}"
                    ));
                }
            }
        }
    }

    /// Sends requests, leaves, and sends the same id again: once a node has seen it, it may not be taken.
    fn leave_and_return(&self, mut random: Random) {
        while !self.end.is_over() {
            let request = Client::request("play-fetch", "network", 1, DEADLINE.as_secs_f64(), 0);
            let line = request.lines().find_map(|line| line.strip_prefix("X-Correlation-Id: "));
            let id = line.expect("an id").to_string();
            let Some(mut client) = Client::try_new(self.http) else { continue };
            client.try_send_all(&request, b"");
            thread::sleep(random.millis(0, 60));
            drop(client);
            self.ledger.left.lock().expect("left").insert(id.clone(), wall_time());
            thread::sleep(random.millis(0, 300));
            let has_run = self.ledger.may_have_run(&id);
            // From here on a client of that id is there again.
            self.ledger.left.lock().expect("left").remove(&id);
            let Some(mut client) = Client::try_new(self.http) else { continue };
            client.try_send_all(&request, b"");
            let status = client.answer().map(|answer| answer.status());
            // A head without memory or descriptors for a request rejects it before it looks at the id.
            if has_run && !matches!(status, None | Some(409 | 503)) {
                self.ledger.broke(format!("{id} was taken again, {status:?}, after a node had seen it"));
            }
        }
    }

    fn check(&self, id: &str, is_write: bool, answer: &Message, took: Duration) {
        *self.answered.lock().expect("answered") += 1;
        if took > DEADLINE + ANSWER_SLACK {
            self.ledger.broke(format!("{id} was answered after {took:?}"));
        }
        match answer.status() {
            200 if answer.body != id.as_bytes() => self.ledger.broke(format!("{id} got another's answer")),
            429 | 503 if is_write && self.ledger.may_have_run(id) => {
                self.ledger.broke(format!("{id} was rejected and may have run"));
            }
            _ => {}
        }
    }
}

/// One run.
struct Run {
    random: Random,
    ledger: Arc<Ledger>,
    nodes: Vec<Node>,
    sources: [Discovery; 2],
    /// The source that the head follows.
    current: usize,
    memory_mb: usize,
    log: Vec<String>,
}

impl Run {
    fn start(seed: u64) -> Run {
        let ledger: Arc<Ledger> = Arc::default();
        let nodes: Vec<Node> = (0..3).map(|_| Node::start(&ledger)).collect();
        let entries =
            [entry("s-0", nodes[0].address, 0, "ready"), entry("s-1", nodes[1].address, 1, "ready")];
        let sources = [0; 2].map(|_| Discovery::start(&entries));
        let mut random = Random(seed);
        let memory_mb = MEMORY_MB[random.below(MEMORY_MB.len() as u64) as usize];
        Run { random, ledger, nodes, sources, current: 0, memory_mb, log: Vec::new() }
    }

    /// The configuration with the source that the head follows.
    fn configuration(&self) -> String {
        let memory = format!("\"memory_mb\":{}", self.memory_mb);
        config(&self.sources[self.current], 1024, "null").replace("\"memory_mb\":192", &memory)
    }

    fn note(&mut self, what: String) {
        self.log.push(what);
    }

    /// Drains the node of shard 0, with or without another in its place, and checks that nothing new goes there.
    fn drain(&mut self, head: &Head) {
        let stalls = self.random.chance(40);
        let replaced = self.random.chance(70);
        self.note(format!("drain, stalls {stalls}, replaced {replaced}"));
        let before = Hindrance::of(head.pid());
        let source = self.sources[self.current].clone();
        if stalls {
            source.silence_open_calls();
        }
        let mut entries = vec![entry("s-0", self.nodes[0].address, 0, "draining")];
        if replaced {
            entries.push(entry("s-2", self.nodes[2].address, 0, "ready"));
        }
        let held_up_for = if self.random.chance(30) { self.random.millis(20, 150) } else { Duration::ZERO };
        let told = source.push(&entries);
        self.sources[1 - self.current].push(&entries);
        if !held_up_for.is_zero() {
            self.note(format!("held up for {held_up_for:?}"));
            hold_up(head, held_up_for);
        }
        thread::sleep(GRACE * 2);
        let allowed = told.at + GRACE + source.lateness(&told);
        let late =
            self.nodes[0].arrivals.lock().expect("arrivals").iter().filter(|at| **at > allowed).count();
        let held_up = Hindrance::of(head.pid()).since(&before);
        if late > 0 && held_up <= MAX_HOLD_UP {
            self.ledger
                .broke(format!("{late} requests to a draining node, the head was held up for {held_up:?}"));
        }
        let back =
            [entry("s-0", self.nodes[0].address, 0, "ready"), entry("s-2", self.nodes[2].address, 0, "gone")];
        for source in &self.sources {
            source.push(&back);
        }
    }

    /// One fault, and the end of it.
    fn fault(&mut self, head: &Head) {
        match self.random.below(10) {
            0 | 1 => self.drain(head),
            9 => {
                let time = self.random.millis(20, 150);
                self.note(format!("held up for {time:?}"));
                hold_up(head, time);
            }
            2 | 3 => {
                let node = self.random.below(2) as usize;
                let mode = [HANGS, RESETS, TURNS_AWAY, PAUSES, COPIES][self.random.below(5) as usize];
                let time = self.random.millis(50, 1500);
                self.note(format!("node {node} in mode {mode} for {time:?}"));
                self.nodes[node].mode.store(mode, Ordering::SeqCst);
                thread::sleep(time);
                self.nodes[node].mode.store(SERVES, Ordering::SeqCst);
            }
            4 => {
                let time = self.random.millis(50, 1200);
                self.note(format!("the source is cut for {time:?}"));
                self.sources[self.current].cut_off(true);
                thread::sleep(time);
                self.sources[self.current].cut_off(false);
            }
            5 | 6 => {
                let habits: Vec<Habit> = (0..3)
                    .map(|_| Habit::HTTP1[self.random.below(Habit::HTTP1.len() as u64) as usize])
                    .collect();
                let count = 50 + self.random.below(250) as usize;
                let time = self.random.millis(300, 1500);
                self.note(format!("a crowd of {count}, {habits:?}, for {time:?}"));
                let crowd = Crowd::start(head.http, &habits, count);
                thread::sleep(time);
                drop(crowd);
            }
            _ => {
                let reloads = 1 + self.random.below(3);
                self.note(format!("{reloads} reloads"));
                for _ in 0..reloads {
                    self.current = 1 - self.current;
                    head.reload(&self.configuration());
                    thread::sleep(self.random.millis(1, 60));
                }
            }
        }
    }

    /// Ends the older head as the platform does, at the earliest moments that its page names, and waits for its end. The
    /// head is held up at SIGTERM and later for at most the time that the page names; other signals come beside SIGTERM.
    fn end(&mut self, head: &mut Head, end: &HeadEnd, newer_in_service: bool) {
        let twice = self.random.chance(40);
        let reloads_before = self.random.chance(30);
        let reloads_after = self.random.chance(30);
        let at_term = if self.random.chance(60) { self.random.millis(0, 150) } else { Duration::ZERO };
        let mut hold_ups: Vec<Duration> = Vec::new();
        if self.random.chance(50) {
            hold_ups.push(self.random.millis(300, 1900));
        }
        if self.random.chance(60) {
            hold_ups.push(kill_delay(DEADLINE) - self.random.millis(20, 600));
        }
        self.note(format!(
            "SIGTERM, twice {twice}, held up for {at_term:?} and at {hold_ups:?}, SIGHUP before {reloads_before}, \
             after {reloads_after}"
        ));
        for node in 0..self.nodes.len() {
            let mode = [SERVES, HANGS, HANGS_AT_TIMES, HANGS_AT_TIMES, PAUSES, COPIES]
                [self.random.below(6) as usize];
            self.note(format!("node {node} ends in mode {mode}"));
            self.nodes[node].mode.store(mode, Ordering::SeqCst);
        }
        if reloads_before {
            head.reload(&self.configuration());
        }
        if !newer_in_service {
            end.terminated();
        }
        let terminated_at = terminate_held_up(head, at_term);
        let kill_at = terminated_at + kill_delay(DEADLINE);
        if twice {
            thread::sleep(self.random.millis(1, 200));
            send(head, Signal::SIGTERM);
        }
        if reloads_after {
            send(head, Signal::SIGHUP);
        }
        for after in hold_ups {
            sleep_until(terminated_at + after);
            hold_up(head, MAX_HOLD_UP.min(kill_at.saturating_duration_since(Instant::now())));
        }
        sleep_until(kill_at);
        end.killed();
        send(head, Signal::SIGKILL);
        head.wait_end();
    }

    fn play(mut self) -> Result<String, String> {
        let folder =
            std::env::temp_dir().join(format!("flaxgap-soak-{}-{}", std::process::id(), self.random.0));
        std::fs::create_dir_all(&folder).expect("a folder");
        let shared = [("TMPDIR", folder.to_str().expect("a path"))];
        let takes_over = self.random.chance(35);
        let has_crowd = self.random.chance(30);
        let mut head = Head::start_text(&self.configuration(), None, &shared);
        let clients = Clients {
            ledger: self.ledger.clone(),
            http: head.http,
            end: HeadEnd::default(),
            answered: Mutex::default(),
        };
        let descriptors_before = head.descriptors();
        let memory = PeakMemory::watch(head.pid());
        let mut newer = None;
        let mut crowd: Vec<TcpStream> = Vec::new();
        thread::scope(|scope| {
            for number in 0..CLIENTS {
                let random = Random(self.random.next() ^ number as u64);
                scope.spawn(|| clients.run(random));
            }
            for number in 0..LEAVING_CLIENTS {
                let random = Random(self.random.next() ^ number as u64);
                scope.spawn(|| clients.leave_and_return(random));
            }
            if has_crowd {
                crowd.extend((0..CROWD).filter_map(|_| TcpStream::connect(head.http).ok()));
            }
            let until = Instant::now() + FAULTS_FOR;
            while Instant::now() < until {
                let pause = self.random.millis(10, 200);
                thread::sleep(pause);
                self.fault(&head);
            }
            if takes_over {
                newer = Some(Head::start_text(&self.configuration(), None, &shared));
            }
            self.end(&mut head, &clients.end, takes_over);
            clients.end.over.store(true, Ordering::SeqCst);
        });
        drop(crowd);
        let peak_mib = memory.stop_mib();
        if peak_mib > self.memory_mb {
            self.ledger.broke(format!("{peak_mib} MiB of {}", self.memory_mb));
        }
        if let Some(newer) = &newer {
            self.check_descriptors(newer, descriptors_before);
        }
        _ = std::fs::remove_dir_all(folder);
        let answered = *clients.answered.lock().expect("answered");
        let about = format!(
            "{peak_mib} of {} MiB, takes over {takes_over}, crowd {has_crowd}, {answered} answers; {}",
            self.memory_mb,
            self.log.join("; ")
        );
        let broken = self.ledger.broken.lock().expect("broken").clone();
        if broken.is_empty() && answered > 0 {
            return Ok(about);
        }
        let heads = [Some(&head), newer.as_ref()].into_iter().flatten();
        let logs: Vec<String> = heads.map(|head| head.log().join("\n")).collect();
        Err(format!("{broken:#?}\n{about}\n{}", logs.join("\n--- newer\n")))
    }

    /// Descriptors of a head whose clients have left come back to what it began with, and a few connections to nodes.
    fn check_descriptors(&self, head: &Head, before: usize) {
        const OF_NODES_AND_SOURCE: usize = 20;
        let until = Instant::now() + WAIT_TIMEOUT;
        while head.descriptors() > before + OF_NODES_AND_SOURCE {
            if Instant::now() > until {
                self.ledger.broke(format!("{} descriptors, {before} at the start", head.descriptors()));
                return;
            }
            thread::sleep(Duration::from_millis(50));
        }
    }
}

#[test]
fn no_rule_is_broken_in_a_soak() {
    let queue = Mutex::new(soak_seeds(CI_SEEDS));
    let failed = Mutex::new(Vec::new());
    thread::scope(|scope| {
        for _ in 0..RUNS_AT_ONCE {
            scope.spawn(|| {
                loop {
                    let Some(seed) = queue.lock().expect("seeds").pop() else { return };
                    match Run::start(seed).play() {
                        Ok(about) => println!("seed {seed}: {about}"),
                        Err(problem) => {
                            println!("seed {seed} FAILED: {problem}");
                            failed.lock().expect("failed").push(seed);
                        }
                    }
                }
            });
        }
    });
    let failed = failed.into_inner().expect("failed");
    assert!(failed.is_empty(), "rules were broken on seeds {failed:?}");
}
