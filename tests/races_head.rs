//! Races of the head as a process: signals at any moment, a shortage of descriptors, a source of the endpoint list that
//! does not respond, and handovers whose other process ends at each step.

mod peers;
use peers::*;
use std::io::{Read, Write};
use std::os::unix::net::{UnixListener, UnixStream};
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, mpsc};
use std::thread;
use std::time::{Duration, Instant};

fn read(left: f64) -> String {
    Client::request("play-fetch", "network", 1, left, 0)
}

fn write(length: usize) -> String {
    Client::request("episode-save", "network", 1, 2.0, length)
}

fn start_head(node: &Brick) -> (Discovery, Head) {
    let discovery = Discovery::start(&[entry("s-1", node.address, 0, "ready")]);
    let head = Head::start(&discovery, None, &[]);
    (discovery, head)
}

fn fast_node() -> Brick {
    Brick::start(|_, m| if m.line.contains("hush") { Step::Silent } else { Step::Serve(b"served".to_vec()) })
}

fn stalled_read(left: f64) -> String {
    read(left).replacen(" HTTP", "?hush HTTP", 1)
}

/// Where a request stands when SIGTERM comes: each gets its answer, and the head ends cleanly in time.
#[test]
fn at_sigterm_a_request_at_any_stage_is_answered() {
    let node = Brick::start(|_, m| match m.line {
        _ if m.line.contains("hush") => Step::Silent,
        _ if m.line.contains("slow") => {
            Step::After(Duration::from_millis(600), Box::new(Step::Serve(b"served".to_vec())))
        }
        _ => Step::Serve(b"served".to_vec()),
    });
    // A listener whose queue is full: connections to it never come up.
    let full = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).expect("a socket");
    full.bind(&std::net::SocketAddr::from(([127, 0, 0, 1], 0)).into()).expect("a port");
    full.listen(0).expect("a listener");
    let nowhere = full.local_addr().expect("an address").as_socket().expect("an address");
    let _queued: Vec<_> = (0..3)
        .map_while(|_| std::net::TcpStream::connect_timeout(&nowhere, Duration::from_millis(300)).ok())
        .collect();
    let discovery =
        Discovery::start(&[entry("s-1", node.address, 0, "ready"), entry("s-2", nowhere, 1, "ready")]);
    let mut head = Head::start(&discovery, None, &[]);
    let text = write(8);
    let (first, second) = text.split_at(text.len() / 2);
    let clients: Vec<(&str, String, &[u8], u16)> = vec![
        ("half a head", first.into(), b"", 200),
        ("half a body", write(8), b"half", 200),
        ("waiting for a node", read(1.0).replace("shard=0", "shard=7"), b"", 503),
        ("being connected", read(1.0).replace("shard=0", "shard=1"), b"", 503),
        ("sent", read(2.0).replacen(" HTTP", "?slow HTTP", 1), b"", 200),
        ("sent to a node that hangs", stalled_read(2.0), b"", 503),
    ];
    let mut open = Vec::new();
    for (what, text, body, status) in clients {
        let mut client = Client::new(head.http);
        client.send(&text, body);
        open.push((what, client, status));
    }
    node.wait_for(2);
    wait(|| (head.counter("taken") == 4).then_some(()));
    let signalled_at = Instant::now();
    head.signal("-TERM");
    wait(|| head.logged("daemon: Draining"));
    open[0].1.send(second, b"12345678");
    open[1].1.send("", b"rest");
    for (what, mut client, status) in open {
        let answer = client.answer().unwrap_or_else(|| panic!("{what}: no answer"));
        assert_eq!(answer.status(), status, "{what}");
    }
    assert!(head.ended());
    assert!(signalled_at.elapsed() < Duration::from_millis(3700), "{:?}", signalled_at.elapsed());
}

/// All of the clients' descriptors are used up by requests that last to the end, and further connections wait, accepted
/// by the system alone: they get an answer, too.
#[test]
fn at_the_end_the_backlog_is_answered_though_descriptors_are_used_up() {
    let node = fast_node();
    let discovery = Discovery::start(&[entry("s-1", node.address, 0, "ready")]);
    // As few descriptors as leave clients sixteen, and requests that are waited for to the end.
    let text =
        config(&discovery, 60, "null").replace(r#""aim":0.4,"deadline":2.0"#, r#""aim":2.4,"deadline":2.5"#);
    let mut head = Head::start_text(&text, None, &[]);
    head.signal("-TERM");
    wait(|| head.logged("daemon: Draining"));
    thread::sleep(Duration::from_millis(350));
    let (done, ends) = mpsc::channel();
    // Each leaves once it has its answer, as clients do.
    let leave = |mut client: Client, done: mpsc::Sender<Option<u16>>| {
        thread::spawn(move || _ = done.send(client.answer().map(|answer| answer.status())));
    };
    for number in 0..24 {
        let mut client = Client::new(head.http);
        let held = read(2.5).replace("shard=0", "shard=7");
        client.send(if number < 16 { &held } else { "GET /-/healthy HTTP/1.1\r\nHost: head\r\n\r\n" }, b"");
        leave(client, done.clone());
    }
    drop(done);
    let mut answers: Vec<Option<u16>> = ends.iter().collect();
    answers.sort_unstable();
    assert_eq!(answers, [vec![Some(200); 8], vec![Some(503); 16]].concat());
    assert!(head.ended());
}

/// Clients that come again at once, on the connection that they have, until it ends: each request gets an answer or, if
/// it crossed the end of its connection, was not sent on.
#[test]
fn clients_that_come_again_at_once_lose_nothing_at_the_end() {
    let node = fast_node();
    let (_discovery, mut head) = start_head(&node);
    let (done, ends) = mpsc::channel();
    let address = head.http;
    for _ in 0..8 {
        let done = done.clone();
        thread::spawn(move || {
            let (mut client, mut served) = (Client::new(address), 0);
            loop {
                client.try_send(&read(2.0));
                match client.answer() {
                    Some(answer) => served += u64::from(answer.status() == 200),
                    None => break,
                }
            }
            _ = done.send(served);
        });
    }
    drop(done);
    node.wait_for(100);
    head.signal("-TERM");
    let served: u64 = ends.iter().sum();
    assert!(head.ended());
    assert_eq!(node.seen().len() as u64, served, "what was sent on was answered");
}

/// SIGTERM while the list is still awaited, twice, and in a reload; SIGHUP in the drain and one after another.
#[test]
fn signals_at_any_moment_end_it_cleanly_or_change_nothing() {
    // Before it is ready.
    let silent = Agent::start(|_, _| vec![Say::Hold]);
    let mut head = Head::start_unready(&config_at(silent.address, 1024, "null"));
    assert_eq!(get(head.http, "/-/ready").status(), 503, "it says the truth");
    let signalled_at = Instant::now();
    head.signal("-TERM");
    wait(|| head.logged("daemon: Draining"));
    assert_eq!(Client::new(head.http).ask(&read(0.5), b"").status(), 503, "refused, not reset");
    assert!(head.ended());
    assert!(signalled_at.elapsed() < Duration::from_millis(3700), "{:?}", signalled_at.elapsed());
    // One reload after another, good and bad; then twice SIGTERM, and reloads in the drain.
    let node = fast_node();
    let (discovery, mut head) = start_head(&node);
    for round in 0..10 {
        head.reload(&if round % 2 == 0 { config(&discovery, 1024, "null") } else { "{".into() });
    }
    wait(|| (head.counter("reloads_ok") + head.counter("reloads_failed") >= 1).then_some(()));
    let mut client = Client::new(head.http);
    assert_eq!(client.ask(&read(2.0), b"").body, b"served");
    head.reload(&config(&discovery, 1024, "null"));
    head.signal("-TERM");
    wait(|| head.logged("daemon: Draining"));
    head.signal("-TERM");
    head.signal("-INT");
    for _ in 0..3 {
        head.reload(&config(&discovery, 1024, "null"));
        assert_eq!(client.ask(&read(2.0), b"").body, b"served");
    }
    drop(client);
    assert!(head.ended());
}

/// A list that is silent from the first second, that never was there, and one that comes late, where changes are pushed
/// and where they are asked for: the head serves by an earlier list within seconds, says so truly, and has the late
/// one soon after it is to be had.
#[test]
fn a_silent_list_keeps_no_head_from_service_and_news_are_sought_anew() {
    for (mode, hosts) in [("push", 1), ("push", 300), ("ask", 1), ("ask", 8)] {
        let (old, new) = (fast_node(), Brick::start(|_, _| Step::Serve(b"new".to_vec())));
        let speaks = Arc::new(AtomicBool::new(false));
        let (shown, list_now) = (speaks.clone(), list(2, true, &[entry("s-2", new.address, 0, "ready")]));
        let agent = Agent::start(move |_, line| match shown.load(Ordering::SeqCst) {
            false => vec![Say::Hold],
            true if line.contains("follow=1") => vec![Say::Line(list_now.clone())],
            true => vec![Say::Line(list_now.clone())],
        });
        let text = |known: &str| {
            config_at(agent.address, 1024, known)
                .replace(r#""membership_mode":"push""#, &format!(r#""membership_mode":"{mode}""#))
                .replace(r#""n_instances":1"#, &format!(r#""n_instances":{hosts}"#))
        };
        let started = Instant::now();
        let known = list(1, true, &[entry("s-1", old.address, 0, "ready")]);
        let head = Head::start_text(&text(&known), None, &[]);
        assert!(started.elapsed() < Duration::from_secs(10), "{mode}, {hosts}: {:?}", started.elapsed());
        assert_eq!(Client::new(head.http).ask(&read(2.0), b"").body, b"served", "{mode}, {hosts}");
        let unready = Head::start_unready(&text("null"));
        thread::sleep(Duration::from_millis(500));
        assert_eq!(get(unready.http, "/-/ready").status(), 503, "{mode}: it has nothing to serve with");
        speaks.store(true, Ordering::SeqCst);
        let spoke = Instant::now();
        wait(|| (Client::new(head.http).ask(&read(2.0), b"").body == b"new").then_some(()));
        wait(|| (get(unready.http, "/-/ready").status() == 200).then_some(()));
        assert!(spoke.elapsed() < Duration::from_secs(6), "{mode}, {hosts}: {:?}", spoke.elapsed());
        assert_eq!(Client::new(unready.http).ask(&read(2.0), b"").body, b"new");
    }
}

/// A watch falls silent right after a reload that names the same source, and is reset right before a drain: the drain is
/// heard all the same.
#[test]
fn a_watch_that_is_silent_after_a_reload_or_reset_before_a_drain_costs_no_drain() {
    for reset in [false, true] {
        let (old, new) = (fast_node(), Brick::start(|_, _| Step::Serve(b"new".to_vec())));
        let ready = [entry("s-1", old.address, 0, "ready"), entry("s-2", new.address, 0, "ready")];
        let (drains, hushed) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicBool::new(false)));
        let (shown, hush) = (drains.clone(), hushed.clone());
        let whole = list(1, true, &ready);
        let drain = list(2, false, &[entry("s-1", old.address, 0, "draining")]);
        let none = list(1, false, &[]);
        let agent = Agent::start(move |_, line| match line.contains("follow=1") {
            false => vec![Say::Line(whole.clone())],
            true if shown.load(Ordering::SeqCst) => vec![Say::Line(drain.clone())],
            true if reset => {
                vec![Say::Line(none.clone()), Say::Pause(Duration::from_millis(300)), Say::Close]
            }
            true if hush.load(Ordering::SeqCst) => vec![Say::Line(none.clone()), Say::Hold],
            true => vec![Say::Line(none.clone())],
        });
        let text = config_at(agent.address, 1024, "null");
        let head = Head::start_text(&text, None, &[]);
        hushed.store(true, Ordering::SeqCst);
        head.reload(&text);
        wait(|| (head.counter("reloads_ok") == 1).then_some(()));
        thread::sleep(Duration::from_millis(400));
        drains.store(true, Ordering::SeqCst);
        thread::sleep(Duration::from_millis(250));
        let seen = old.seen().len();
        for _ in 0..5 {
            assert_eq!(Client::new(head.http).ask(&read(2.0), b"").body, b"new", "reset: {reset}");
        }
        assert_eq!(old.seen().len(), seen);
    }
}

/// 200 connections that say nothing and a flood, at the limits of descriptors and memory: others are served meanwhile,
/// and the head is as it was when they are gone.
#[test]
fn silent_connections_and_a_flood_keep_nobody_from_service() {
    let node = fast_node();
    let discovery = Discovery::start(&[entry("s-1", node.address, 0, "ready")]);
    let text = config(&discovery, 128, "null").replace(r#""memory_mb":192"#, r#""memory_mb":48"#);
    let head = Head::start_text(&text, None, &[]);
    let address = head.http;
    let silent: Vec<thread::JoinHandle<()>> = (0..200)
        .map(|_| {
            thread::spawn(move || {
                let mut client = Client::new(address);
                _ = client.answer();
            })
        })
        .collect();
    let flood = thread::spawn(move || {
        let mut client = Client::new(address);
        let text: String = (0..1000).map(|_| read(2.0)).collect();
        client.try_send(&text);
    });
    for _ in 0..50 {
        let asked = Instant::now();
        assert_eq!(Client::new(address).ask(&read(2.0), b"").status(), 200);
        assert!(asked.elapsed() < Duration::from_secs(2), "{:?}", asked.elapsed());
    }
    flood.join().expect("it ends");
    for client in silent {
        client.join().expect("each is closed in time");
    }
    wait(|| (head.counter("in_flight") == 0).then_some(()));
    assert!(head.counter("reclaimed") > 0);
}

fn folder(name: &str) -> PathBuf {
    let folder = std::env::temp_dir().join(format!("flaxgap-step-{name}-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder");
    folder
}

/// A newer process ends at each step of a handover: connected, sockets received, ready sent, in the middle of that
/// message. The
/// older one serves on, and a client that waited to be accepted by either is served.
#[test]
fn a_newer_process_that_ends_at_any_step_leaves_the_older_one_in_service() {
    let (node, folder) = (fast_node(), folder("newer"));
    let discovery = Discovery::start(&[entry("s-1", node.address, 0, "ready")]);
    let head = Head::start(&discovery, None, &[("TMPDIR", folder.to_str().expect("a path"))]);
    let path = folder.join("flaxgap-n0.sock");
    wait(|| path.exists().then_some(()));
    let found = |_: &mut UnixStream| {};
    let taken = |stream: &mut UnixStream| {
        stream.read_exact(&mut [0; 5]).expect("the word");
    };
    let half = |stream: &mut UnixStream| {
        stream.read_exact(&mut [0; 5]).expect("the word");
        stream.write_all(b"rea").expect("written");
        thread::sleep(Duration::from_millis(50));
    };
    let ready = |stream: &mut UnixStream| {
        stream.read_exact(&mut [0; 5]).expect("the word");
        stream.write_all(b"ready\n").expect("written");
        thread::sleep(Duration::from_millis(50));
    };
    let noise = |stream: &mut UnixStream| {
        stream.write_all(&[b'x'; 4096]).expect("written");
        thread::sleep(Duration::from_millis(50));
    };
    let steps: [fn(&mut UnixStream); 5] = [found, taken, half, ready, noise];
    let names = ["found", "taken", "half a word", "ready", "noise"];
    for (number, (step, act)) in names.into_iter().zip(steps).enumerate() {
        let mut newer = UnixStream::connect(&path).expect("the older process");
        act(&mut newer);
        // Where the newer one has said that it is ready, nobody accepts until it is known to be gone.
        let mut waiting = Client::new(head.http);
        waiting.send(&read(2.0), b"");
        drop(newer);
        assert_eq!(waiting.answer().expect("an answer").body, b"served", "{step}");
        let ends = || head.log().iter().filter(|line| line.contains("the newer process has ended")).count();
        wait(|| (ends() == number + 1).then_some(()));
        assert_eq!(Client::new(head.http).ask(&read(2.0), b"").body, b"served", "{step}");
    }
    wait(|| {
        let shares = head.log();
        let last = shares.iter().rfind(|line| line.contains("of the head's share"));
        last.is_some_and(|line| line.contains("has 1 of")).then_some(())
    });
    std::fs::remove_dir_all(folder).expect("removed");
}

/// An older process ends at each step of a handover: before its greeting, with a greeting and no sockets, with an
/// unknown message. The
/// newer one starts by itself, in time.
#[test]
fn an_older_process_that_ends_at_any_step_leaves_the_newer_one_to_start_alone() {
    let node = fast_node();
    let discovery = Discovery::start(&[entry("s-1", node.address, 0, "ready")]);
    for (number, word) in [&b""[..], b"here\n", b"he", b"what\n"].into_iter().enumerate() {
        let folder = folder(&format!("older-{number}"));
        let listener = UnixListener::bind(folder.join("flaxgap-n0.sock")).expect("a socket");
        let older = thread::spawn(move || {
            let (mut stream, _) = listener.accept().expect("the newer process");
            _ = stream.write_all(word);
        });
        let started = Instant::now();
        let head = Head::start(&discovery, None, &[("TMPDIR", folder.to_str().expect("a path"))]);
        older.join().expect("it ends");
        assert!(started.elapsed() < Duration::from_secs(5), "{:?}", started.elapsed());
        assert_eq!(Client::new(head.http).ask(&read(2.0), b"").body, b"served");
        wait(|| {
            let log = head.log();
            let last = log.iter().rfind(|line| line.contains("of the head's share"));
            last.is_none_or(|line| line.contains("has 1 of")).then_some(())
        });
        std::fs::remove_dir_all(folder).expect("removed");
    }
}
