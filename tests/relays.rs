//! Relays of the endpoint list between discovery and heads, with the real programs and real faults. Waits are upper
//! bounds.

mod peers;
use peers::closed_port::ClosedPort;
use peers::*;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Output, Stdio};
use std::sync::atomic::{AtomicU16, AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Longest time from a change at discovery until a head that has a relay applies it; the machine may be busy.
const PROPAGATION_LIMIT: Duration = Duration::from_secs(2);
/// Longest time until a head has left an unresponsive relay: 3 s idle timeout after the last heartbeat, and the failover.
const FAILOVER_LIMIT: Duration = Duration::from_secs(8);
/// Longest time until a relay that starts empty is current, with a reachable discovery.
const REBUILD_LIMIT: Duration = Duration::from_secs(2);

static NEXT_FILE: AtomicU32 = AtomicU32::new(0);

/// A temporary file, removed when it is dropped.
struct TempFile(PathBuf);

impl TempFile {
    fn new(text: &str) -> TempFile {
        let number = NEXT_FILE.fetch_add(1, Ordering::SeqCst);
        let path = std::env::temp_dir().join(format!("flaxgap-relays-{}-{number}.toml", std::process::id()));
        std::fs::write(&path, text).expect("written");
        TempFile(path)
    }

    fn path(&self) -> &str {
        self.0.to_str().expect("a path")
    }
}

impl Drop for TempFile {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.0);
    }
}

/// A relay as a process.
struct Relay {
    name: &'static str,
    child: Child,
    address: SocketAddr,
    log: Arc<Mutex<Vec<String>>>,
}

impl Relay {
    fn start(name: &'static str, upstream: SocketAddr) -> Relay {
        Relay::start_at(name, ([127, 0, 0, 1], 0).into(), upstream, "")
    }

    /// The same at an address, with more lines of configuration.
    fn start_at(name: &'static str, listen: SocketAddr, upstream: SocketAddr, more: &str) -> Relay {
        let text = format!("name = \"{name}\"\nlisten = \"{listen}\"\nupstream = \"{upstream}\"\n{more}");
        let file = TempFile::new(&text);
        let mut command = Command::new(env!("CARGO_BIN_EXE_flaxgap-relay"));
        command.arg(file.path()).env("RUST_LOG", "info").stderr(Stdio::piped());
        let mut child = command.spawn().expect("the relay starts");
        let from = BufReader::new(child.stderr.take().expect("piped"));
        let log: Arc<Mutex<Vec<String>>> = Arc::default();
        let lines = log.clone();
        thread::spawn(move || {
            from.lines().map_while(Result::ok).for_each(|l| lines.lock().expect("log").push(l))
        });
        let mut relay = Relay { name, child, address: listen, log };
        relay.address = wait(|| {
            relay.logged("relay: listening on ").and_then(|line| line.rsplit(' ').next()?.parse().ok())
        });
        relay
    }

    /// Waits until its replica is current.
    fn wait_until_current(self) -> Relay {
        wait(|| (get(self.address, "/-/ready").status() == 200).then_some(()));
        self
    }

    fn logged(&self, text: &str) -> Option<String> {
        self.log.lock().expect("log").iter().find(|line| line.contains(text)).cloned()
    }

    fn counter(&self, name: &str) -> u64 {
        let body = get(self.address, "/-/counters").body;
        let counters: serde_json::Value = serde_json::from_slice(&body).expect("JSON");
        counters[name].as_u64().unwrap_or_else(|| panic!("{name} in {counters}"))
    }

    fn signal(&self, name: &str) {
        let pid = self.child.id().to_string();
        assert!(Command::new("kill").args([name, &pid]).status().expect("kill").success());
    }

    fn kill(&mut self) {
        self.child.kill().expect("killed");
        self.child.wait().expect("ended");
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        if thread::panicking() {
            eprintln!("{}:\n{}", self.name, self.log.lock().expect("log").join("\n"));
        }
    }
}

/// The operators' file of a head in zone `r1-a` with these relays, all in its zone.
fn distribution(relays: &[(&str, SocketAddr)]) -> TempFile {
    let relays: Vec<String> = relays
        .iter()
        .map(|(name, address)| {
            format!(r#"{{ name = "{name}", address = "{address}", region = "r1", zone = "r1-a" }}"#)
        })
        .collect();
    let relays = relays.join(",\n  ");
    TempFile::new(&format!("[distribution]\nregion = \"r1\"\nzone = \"r1-a\"\nrelays = [\n  {relays}\n]\n"))
}

static UNUSED_PORTS: AtomicU16 = AtomicU16::new(20_000);

/// An address without a listener: of the loopback range, and of this process alone, so that no other test gets it.
fn unused_address() -> SocketAddr {
    let [.., high, low] = std::process::id().to_be_bytes();
    let port = UNUSED_PORTS.fetch_add(1, Ordering::SeqCst);
    ([127, 77, high, low], port).into()
}

/// A head that follows relays; its configured discovery does not exist.
fn head(relays: &[&Relay], known: &str) -> Head {
    let relays: Vec<(&str, SocketAddr)> = relays.iter().map(|relay| (relay.name, relay.address)).collect();
    head_at(&relays, known)
}

fn head_at(relays: &[(&str, SocketAddr)], known: &str) -> Head {
    let file = distribution(relays);
    Head::start_text(&config_at(unused_address(), 1024, known), None, &[("FLAXGAP_OPS", file.path())])
}

fn gauge(head: &Head, name: &str) -> u64 {
    let (_, text) = call(head.ops, "GET", "/ops/stats");
    let line = text.lines().find_map(|line| line.strip_prefix(&format!("app_{name} ")));
    line.unwrap_or_else(|| panic!("{name} in {text}")).parse().expect("a number")
}

/// Sends the head a request that any node of shard 0 can serve; returns the status.
fn send_request(head: &Head) -> u16 {
    Client::new(head.http).ask(&Client::request("play-fetch", "network", 1, 2.0, 0), b"").status()
}

/// Waits until this number of nodes is excluded at the head; returns how long that took.
fn wait_for_excluded_nodes(head: &Head, count: u64, within: Duration) -> Duration {
    let since = Instant::now();
    wait(|| (gauge(head, "bricks_excluded") == count).then_some(()));
    let took = since.elapsed();
    assert!(took <= within, "in force after {took:?}");
    took
}

/// Asserts that none of some requests reaches a node.
fn assert_gets_no_requests(head: &Head, brick: &Brick) {
    let before = brick.seen().len();
    for _ in 0..12 {
        assert_eq!(send_request(head), 200);
    }
    assert_eq!(brick.seen().len(), before, "a draining node gets no new requests");
}

/// The head's primary relay, by its log.
fn primary(head: &Head) -> String {
    let text = "relays: primary is ";
    wait(|| {
        let log = head.log();
        let line = log.iter().rev().find(|line| line.contains(text))?;
        line.split(text).nth(1)?.split([' ', ',']).next().map(String::from)
    })
}

fn two_nodes() -> (Brick, Brick) {
    (Brick::start(|_, _| Step::Serve(vec![])), Brick::start(|_, _| Step::Serve(vec![])))
}

fn entries(first: (&Brick, &str), second: &Brick) -> Vec<String> {
    vec![entry("s-1", first.0.address, 0, first.1), entry("s-2", second.address, 0, "ready")]
}

/// A client that watches a relay.
struct Watch(BufReader<TcpStream>);

impl Watch {
    fn open(address: SocketAddr, since: u64) -> Watch {
        let mut stream = TcpStream::connect(address).expect("the relay listens");
        stream.set_read_timeout(Some(WAIT_TIMEOUT)).expect("a time-out");
        let call = format!("GET /api/targets?follow=1&since={since} HTTP/1.1\r\nHost: relay\r\n\r\n");
        stream.write_all(call.as_bytes()).expect("written");
        let mut watch = Watch(BufReader::new(stream));
        assert!(watch.line().expect("an answer").contains("200"));
        while watch.line().is_some_and(|line| !line.is_empty()) {}
        watch
    }

    fn line(&mut self) -> Option<String> {
        let mut line = String::new();
        self.0.read_line(&mut line).ok().filter(|length| *length > 0)?;
        Some(line.trim_end().to_string())
    }

    /// The next list's version; none once the watch has ended.
    fn next_version(&mut self) -> Option<u64> {
        loop {
            // Chunk sizes, the ends of chunks and heartbeats are no lists.
            if let Ok(list) = serde_json::from_str::<serde_json::Value>(&self.line()?) {
                if let Some(version) = list["rev"].as_u64() {
                    return Some(version);
                }
            }
        }
    }
}

#[test]
fn a_drain_at_discovery_is_in_force_at_a_head_that_follows_a_relay() {
    let (leaving, staying) = two_nodes();
    let discovery = Discovery::start(&entries((&leaving, "ready"), &staying));
    let relay = Relay::start("relay-1", discovery.address).wait_until_current();
    let head = head(&[&relay], "null");
    assert_eq!(send_request(&head), 200);
    // The one that is used is the one that leaves.
    let (name, leaving) = if leaving.seen().is_empty() { ("s-2", &staying) } else { ("s-1", &leaving) };
    assert_eq!(primary(&head), "relay-1");
    assert_eq!(gauge(&head, "relays_reachable"), 1);
    discovery.push(&[entry(name, leaving.address, 0, "draining")]);
    println!("in force after {:?}", wait_for_excluded_nodes(&head, 1, PROPAGATION_LIMIT));
    assert_gets_no_requests(&head, leaving);
}

#[test]
fn a_change_made_while_the_primary_relay_dies_comes_through_the_spare() {
    for killed_first in [true, false] {
        let (leaving, staying) = two_nodes();
        let discovery = Discovery::start(&entries((&leaving, "ready"), &staying));
        let mut relays =
            ["relay-1", "relay-2"].map(|name| Relay::start(name, discovery.address).wait_until_current());
        let head = head(&[&relays[0], &relays[1]], "null");
        wait(|| (gauge(&head, "relays_reachable") == 2).then_some(()));
        let first = primary(&head);
        let dying = relays.iter_mut().find(|relay| relay.name == first).expect("one of them");
        let drain = [entry("s-1", leaving.address, 0, "draining")];
        if killed_first {
            dying.kill();
            discovery.push(&drain);
        } else {
            discovery.push(&drain);
            dying.kill();
        }
        println!("in force after {:?}", wait_for_excluded_nodes(&head, 1, PROPAGATION_LIMIT));
        assert_gets_no_requests(&head, &leaving);
        wait(|| (primary(&head) != first).then_some(()));
        assert_gets_no_requests(&head, &leaving);
        assert_eq!(gauge(&head, "bricks_excluded"), 1, "no older list since");
    }
}

#[test]
fn a_head_that_loses_its_relay_applies_no_older_list_from_another_relay() {
    let (leaving, staying) = two_nodes();
    let sources = [(), ()].map(|()| Discovery::start(&entries((&leaving, "ready"), &staying)));
    let mut relays = [
        Relay::start("relay-1", sources[0].address).wait_until_current(),
        Relay::start("relay-2", sources[1].address).wait_until_current(),
    ];
    let head = head(&[&relays[0], &relays[1]], "null");
    wait(|| (gauge(&head, "relays_reachable") == 2).then_some(()));
    let ahead = usize::from(primary(&head) == "relay-2");
    // The other relay's source never hears of it.
    sources[ahead].push(&[entry("s-1", leaving.address, 0, "draining")]);
    wait_for_excluded_nodes(&head, 1, PROPAGATION_LIMIT);
    relays[ahead].kill();
    wait(|| (gauge(&head, "relays_reachable") == 1).then_some(()));
    let before = leaving.seen().len();
    let since = Instant::now();
    while since.elapsed() < Duration::from_secs(4) {
        assert_eq!(send_request(&head), 200);
        thread::sleep(Duration::from_millis(50));
    }
    assert_eq!(leaving.seen().len(), before, "the older list does not bring it back");
    assert_eq!(gauge(&head, "bricks_excluded"), 1);
}

#[test]
fn a_head_leaves_a_relay_whose_lease_has_expired() {
    let (leaving, staying) = two_nodes();
    let sources = [(), ()].map(|()| Discovery::start(&entries((&leaving, "ready"), &staying)));
    let relays = [
        Relay::start("relay-1", sources[0].address).wait_until_current(),
        Relay::start("relay-2", sources[1].address).wait_until_current(),
    ];
    let head = head(&[&relays[0], &relays[1]], "null");
    wait(|| (gauge(&head, "relays_reachable") == 2).then_some(()));
    let first = primary(&head);
    let (isolated, connected) = if first == "relay-1" { (0, 1) } else { (1, 0) };
    sources[isolated].cut_off(true);
    let since = Instant::now();
    wait(|| (get(relays[isolated].address, "/-/ready").status() == 503).then_some(()));
    assert_eq!(
        get(relays[isolated].address, "/api/targets").status(),
        503,
        "it serves no list that may be old"
    );
    assert_eq!(get(relays[isolated].address, "/api/targets?follow=1&since=1").status(), 503);
    wait(|| (primary(&head) != first).then_some(()));
    println!("moved after {:?}", since.elapsed());
    assert!(since.elapsed() <= 2 * FAILOVER_LIMIT, "moved after {:?}", since.elapsed());
    sources[connected].push(&[entry("s-1", leaving.address, 0, "draining")]);
    wait_for_excluded_nodes(&head, 1, PROPAGATION_LIMIT);
    assert_gets_no_requests(&head, &leaving);
    assert_eq!(relays[isolated].counter("lease_expired"), 1);
}

#[test]
fn a_head_with_an_earlier_list_serves_without_relays_and_is_current_once_one_returns() {
    let (leaving, staying) = two_nodes();
    let discovery = Discovery::start(&entries((&leaving, "ready"), &staying));
    let known =
        format!(r#"{{"rev":1,"all":true,"targets":[{}]}}"#, entries((&leaving, "ready"), &staying).join(","));
    let addresses = [unused_address(), unused_address()];
    let head = head_at(&[("relay-1", addresses[0]), ("relay-2", addresses[1])], &known);
    assert_eq!(send_request(&head), 200);
    let line = wait(|| head.logged("in service with the list of an earlier life"));
    assert!(line.contains("version 1") && line.contains("no relay is reachable"), "{line}");
    assert_eq!(gauge(&head, "relays_reachable"), 0);
    discovery.push(&[entry("s-1", leaving.address, 0, "draining")]);
    let _relay = Relay::start_at("relay-1", addresses[0], discovery.address, "").wait_until_current();
    println!("current after {:?}", wait_for_excluded_nodes(&head, 1, FAILOVER_LIMIT));
    assert_gets_no_requests(&head, &leaving);
}

#[test]
fn a_relay_that_restarts_empty_is_rebuilt_from_discovery() {
    let (leaving, staying) = two_nodes();
    let discovery = Discovery::start(&entries((&leaving, "ready"), &staying));
    let mut relay = Relay::start("relay-1", discovery.address).wait_until_current();
    let address = relay.address;
    let head = head(&[&relay], "null");
    discovery.push(&[entry("s-1", leaving.address, 0, "draining")]);
    wait_for_excluded_nodes(&head, 1, PROPAGATION_LIMIT);
    relay.kill();
    let since = Instant::now();
    let relay = Relay::start_at("relay-1", address, discovery.address, "").wait_until_current();
    println!("rebuilt after {:?}", since.elapsed());
    assert!(since.elapsed() <= REBUILD_LIMIT, "rebuilt after {:?}", since.elapsed());
    // This discovery's list asked for is that of its start; what changed since comes with the watch.
    wait(|| (relay.counter("version") == 2).then_some(()));
    assert_eq!(relay.counter("nodes"), 2);
    wait(|| (relay.counter("watchers") == 1).then_some(()));
    discovery.push(&[entry("s-2", staying.address, 0, "draining")]);
    wait_for_excluded_nodes(&head, 2, PROPAGATION_LIMIT);
}

#[test]
fn a_relay_that_starts_before_its_upstream_is_current_soon_after_it() {
    let port = ClosedPort::reserve();
    let relay = Relay::start("relay-1", port.address);
    assert_eq!(get(relay.address, "/-/ready").status(), 503);
    assert_eq!(get(relay.address, "/api/targets").status(), 503);
    thread::sleep(Duration::from_millis(1500));
    let agent = port.open();
    let since = Instant::now();
    thread::spawn(move || {
        for mut stream in agent.incoming().flatten() {
            let _ = stream.read(&mut [0; 1024]);
            let list = list(7, true, &[]);
            let text = format!("{:x}\r\n{list}\n\r\n", list.len() + 1);
            let _ = stream
                .write_all(format!("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{text}").as_bytes());
            thread::sleep(WAIT_TIMEOUT);
        }
    });
    wait(|| (get(relay.address, "/-/ready").status() == 200).then_some(()));
    println!("found after {:?}", since.elapsed());
    assert!(since.elapsed() <= REBUILD_LIMIT, "found after {:?}", since.elapsed());
    assert_eq!(relay.counter("version"), 7);
}

#[test]
fn a_renumbered_discovery_reaches_heads_through_a_relay() {
    let (leaving, staying) = two_nodes();
    let first = entries((&leaving, "ready"), &staying);
    let mut second = entries((&leaving, "draining"), &staying);
    second.push(entry("s-3", staying.address, 0, "ready"));
    let discovery = Agent::start(move |number, line| match (number, line.contains("follow=1")) {
        (0, _) => vec![Say::Line(list(50, true, &first))],
        (1, _) => vec![Say::Line(list(50, false, &[])), Say::Pause(Duration::from_secs(1)), Say::Close],
        _ => vec![Say::Line(list(2, true, &second))],
    });
    let relay = Relay::start("relay-1", discovery.address).wait_until_current();
    let head = head(&[&relay], "null");
    wait_for_excluded_nodes(&head, 1, Duration::from_secs(5));
    assert_eq!(gauge(&head, "bricks_known"), 2, "an older list may only take nodes out");
    wait(|| (relay.counter("generation") == 1).then_some(()));
    assert_eq!(relay.counter("version"), 2);
    wait(|| (gauge(&head, "bricks_known") == 3).then_some(()));
    assert_eq!(gauge(&head, "bricks_excluded"), 1);
    assert_gets_no_requests(&head, &leaving);
}

#[test]
fn a_slow_reader_is_disconnected_and_others_get_each_change() {
    let brick: SocketAddr = ([127, 0, 0, 1], 9).into();
    let many: Vec<String> = (0..6000).map(|n| entry(&format!("s-{n:08}"), brick, n % 8, "ready")).collect();
    let discovery = Discovery::start(&many);
    let listen = ([127, 0, 0, 1], 0).into();
    let limits = "[limits]\nslow_reader_s = 0.5\n";
    let relay = Relay::start_at("relay-1", listen, discovery.address, limits).wait_until_current();
    let mut reading = [Watch::open(relay.address, 0), Watch::open(relay.address, 0)];
    assert!(reading.iter_mut().all(|watch| watch.next_version() == Some(1)));
    let mut stalled = Client::with_little_room(relay.address);
    stalled.send("GET /api/targets?follow=1&since=0 HTTP/1.1\r\nHost: relay\r\n\r\n", b"");
    wait(|| (relay.counter("watchers") == 3).then_some(()));
    let since = Instant::now();
    for version in 2..=6 {
        discovery.push(&[entry("s-00000001", brick, 1, "draining")]);
        assert!(reading.iter_mut().all(|watch| watch.next_version() == Some(version)));
        thread::sleep(Duration::from_millis(100));
    }
    wait(|| (relay.counter("slow_readers_ended") == 1).then_some(()));
    println!("cut off after {:?}", since.elapsed());
    wait(|| (relay.counter("watchers") == 2).then_some(()));
    discovery.push(&[entry("s-00000001", brick, 1, "gone")]);
    assert!(reading.iter_mut().all(|watch| watch.next_version() == Some(7)));
    assert_eq!(relay.counter("nodes"), 5999);
    assert_eq!(relay.counter("slow_readers_ended"), 1, "and no other");
}

#[test]
fn watches_resume_from_the_version_they_have() {
    let (leaving, staying) = two_nodes();
    let discovery = Discovery::start(&entries((&leaving, "ready"), &staying));
    let relay = Relay::start("relay-1", discovery.address).wait_until_current();
    for _ in 0..3 {
        discovery.push(&[entry("s-1", leaving.address, 0, "draining")]);
    }
    wait(|| (relay.counter("version") == 4).then_some(()));
    let before = relay.counter("whole_sent");
    let mut watch = Watch::open(relay.address, 2);
    while watch.next_version().expect("the changes") < 4 {}
    assert_eq!(relay.counter("resumed"), 1);
    assert_eq!(relay.counter("whole_sent"), before);
}

#[test]
fn sigterm_ends_the_watches_and_the_head_uses_its_spare() {
    let (leaving, staying) = two_nodes();
    let discovery = Discovery::start(&entries((&leaving, "ready"), &staying));
    let mut relays =
        ["relay-1", "relay-2"].map(|name| Relay::start(name, discovery.address).wait_until_current());
    let head = head(&[&relays[0], &relays[1]], "null");
    wait(|| (gauge(&head, "relays_reachable") == 2).then_some(()));
    let first = primary(&head);
    let ending = relays.iter_mut().find(|relay| relay.name == first).expect("one of them");
    ending.signal("-USR1");
    wait(|| ending.logged("\"watchers\":1"));
    ending.signal("-TERM");
    assert!(wait(|| ending.child.try_wait().expect("a child")).success());
    wait(|| (primary(&head) != first).then_some(()));
    discovery.push(&[entry("s-1", leaving.address, 0, "draining")]);
    wait_for_excluded_nodes(&head, 1, PROPAGATION_LIMIT);
}

/// A program that ended with an error.
struct FailedRun {
    exit_code: Option<i32>,
    stderr: String,
}

/// Runs a program that must end with an error.
fn run_to_failure(command: &mut Command) -> FailedRun {
    let Output { status, stderr, .. } = command.stderr(Stdio::piped()).output().expect("it starts");
    FailedRun { exit_code: status.code(), stderr: String::from_utf8_lossy(&stderr).into_owned() }
}

#[test]
fn a_bad_configuration_of_a_relay_ends_its_start_with_the_place() {
    let good = "name = \"relay-1\"\nlisten = \"127.0.0.1:0\"\nupstream = \"127.0.0.1:9\"\n";
    let bad = [
        (good.replace("127.0.0.1:9", "nowhere"), "line 3"),
        (good.replace("127.0.0.1:9", "127.0.0.1:0"), "line 3: upstream: needs a port"),
        (good.replace("relay-1", " "), "line 1: name: must not be empty"),
        (good.replace("upstream", "downstream"), "downstream"),
        (format!("{good}[limits]\nwatchers = 0\n"), "line 5: limits.watchers: 0 is not from 1 to"),
        (format!("{good}[limits]\nslow_reader_s = -1.0\n"), "line 5: limits.slow_reader_s: -1 is not from"),
        (format!("{good}[limits]\nspeed = 1\n"), "speed"),
    ];
    for (text, expected) in bad {
        let file = TempFile::new(&text);
        let failed = run_to_failure(Command::new(env!("CARGO_BIN_EXE_flaxgap-relay")).arg(file.path()));
        assert_eq!(failed.exit_code, Some(1), "{text}");
        let output = &failed.stderr;
        assert!(output.contains(expected) && output.contains(file.path()), "{expected} in {output}");
    }
    let failed = run_to_failure(Command::new(env!("CARGO_BIN_EXE_flaxgap-relay")).arg("no/such/file.toml"));
    assert!(failed.exit_code == Some(1) && failed.stderr.contains("no/such/file.toml"), "{}", failed.stderr);
}

#[test]
fn a_bad_distribution_ends_the_start_of_a_head_with_the_place() {
    let relay = |name: &str, address: &str, zone: &str| {
        format!(r#"{{ name = "{name}", address = "{address}", region = "r1", zone = "{zone}" }}"#)
    };
    let table = |relays: &[String]| {
        format!("[distribution]\nregion = \"r1\"\nzone = \"r1-a\"\nrelays = [{}]\n", relays.join(",\n"))
    };
    let good = relay("relay-1", "127.0.0.1:9", "r1-a");
    let bad = [
        (table(&[]), "line 4: distribution.relays: must contain at least one relay"),
        (
            table(&[good.clone(), relay("relay-1", "127.0.0.1:10", "r1-a")]),
            "line 5: distribution.relays[1].name: is already used by another relay",
        ),
        (
            table(&[good.clone(), relay("relay-2", "127.0.0.1:9", "r1-a")]),
            "line 5: distribution.relays[1].address: is already used by another relay",
        ),
        (table(&[relay("relay-1", "127.0.0.1:0", "r1-a")]), "relays[0].address: needs a port"),
        (table(&[relay("relay-1", "127.0.0.1", "r1-a")]), "line 4"),
        (table(&[relay("relay-1", "127.0.0.1:9", "")]), "relays[0].zone: must not be empty"),
        (
            table(std::slice::from_ref(&good)).replace("zone = \"r1-a\"\nrelays", "zone = \"\"\nrelays"),
            "line 3: distribution.zone: must not be empty",
        ),
        (table(&[good]).replace("region = \"r1\"\nzone", "zone"), "region"),
    ];
    for (text, expected) in bad {
        let (file, settings) =
            (TempFile::new(&text), TempFile::new(&config_at(unused_address(), 1024, "null")));
        let mut command = Command::new(env!("CARGO_BIN_EXE_flaxgap"));
        command.env("LB_CONFIG", settings.path()).env("FLAXGAP_OPS", file.path()).env_remove("LB_OPS");
        let failed = run_to_failure(&mut command);
        assert_eq!(failed.exit_code, Some(1), "{text}");
        let output = &failed.stderr;
        assert!(output.contains(expected) && output.contains(file.path()), "{expected} in {output}");
    }
}

#[test]
fn a_reload_that_changes_the_distribution_says_that_it_takes_a_restart() {
    let (leaving, staying) = two_nodes();
    let discovery = Discovery::start(&entries((&leaving, "ready"), &staying));
    let relay = Relay::start("relay-1", discovery.address).wait_until_current();
    let file = distribution(&[("relay-1", relay.address)]);
    let text = config_at(unused_address(), 1024, "null");
    let head = Head::start_text(&text, None, &[("FLAXGAP_OPS", file.path())]);
    head.reload(&text);
    wait(|| head.logged("daemon: reloaded"));
    head.sync_log();
    assert!(head.logged("takes a restart").is_none());
    let other = distribution(&[("relay-1", relay.address), ("relay-2", unused_address())]);
    std::fs::copy(&other.0, &file.0).expect("written");
    head.signal("-HUP");
    wait(|| head.logged("the operators' file, but for its levels, changed, which takes a restart"));
}

/// Every file under `deploy` is one that the programs start with.
#[test]
fn the_example_configuration_is_served() {
    let text = std::fs::read_to_string("deploy/relay.toml").expect("the example");
    let text = text.replace("0.0.0.0:8087", "127.0.0.1:0");
    let file = TempFile::new(&text);
    let mut command = Command::new(env!("CARGO_BIN_EXE_flaxgap-relay"));
    let mut child = command.arg(file.path()).stderr(Stdio::piped()).spawn().expect("it starts");
    let from = BufReader::new(child.stderr.take().expect("piped"));
    let listens = from.lines().map_while(Result::ok).any(|line| line.contains("relay: listening on "));
    let _ = child.kill();
    let _ = child.wait();
    assert!(listens);
}
