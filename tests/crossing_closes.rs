//! Requests that come as the head closes their connection for another reason than its end: each is answered, or its client
//! sees the end within a round trip and no node has seen the request. The head is held up at some of these moments.

mod peers;

use peers::lasting_clients::{Exchange, HeadEnd, LastingClient};
use peers::process_signals::{MAX_HOLD_UP, hold_up};
use peers::*;
use std::collections::HashSet;
use std::net::TcpStream;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Time that a request has.
const DEADLINE: Duration = Duration::from_secs(2);
/// The head's time-out of connections without a request.
const IDLE_TIMEOUT: Duration = Duration::from_millis(2100);
/// Clients of a round, which send within so long before and after the time-out.
const CLIENTS: u32 = 120;
const AROUND: Duration = Duration::from_millis(6);
/// Descriptors and memory of the scarce head, and connections that say nothing beside its clients.
const SCARCE_DESCRIPTORS: usize = 120;
const SILENT_CONNECTIONS: usize = 60;

/// A node that notes what it has seen.
struct NotingNode {
    node: Brick,
    seen: Arc<Mutex<HashSet<String>>>,
}

impl NotingNode {
    fn start() -> NotingNode {
        let seen: Arc<Mutex<HashSet<String>>> = Arc::default();
        let noted = seen.clone();
        let node = Brick::start(move |_, message| {
            let id = message.header("x-correlation-id").to_string();
            noted.lock().expect("seen").insert(id.clone());
            Step::Serve(id.into_bytes())
        });
        NotingNode { node, seen }
    }

    fn has_seen(&self, id: &str) -> bool {
        self.seen.lock().expect("seen").contains(id)
    }
}

/// Sends a request; what was wrong, if it was lost or answered with another's answer.
fn exchange(client: &mut LastingClient, node: &NotingNode) -> Result<(), String> {
    let request = Client::request("play-fetch", "network", 1, DEADLINE.as_secs_f64(), 0);
    let id = request.lines().find_map(|line| line.strip_prefix("X-Correlation-Id: ")).expect("an id");
    match client.exchange(&request, b"", DEADLINE, || node.has_seen(id)) {
        Exchange::Answered { answer, .. } if answer.status() == 200 && answer.body != id.as_bytes() => {
            Err(format!("{id} got another's answer"))
        }
        Exchange::Answered { .. } => Ok(()),
        Exchange::Refused => Err(format!("{id} was refused a connection")),
        Exchange::Lost { how, took, .. } => {
            Err(format!("{id} {how:?} after {took:?}, at a node: {}", node.has_seen(id)))
        }
    }
}

/// Clients whose second request comes around the time-out of their connections.
fn cross_the_idle_timeout(head: &Head, node: &NotingNode, is_held_up: bool) -> Vec<String> {
    let end = HeadEnd::default();
    let problems = Mutex::new(Vec::new());
    thread::scope(|scope| {
        let began = Instant::now();
        for number in 0..CLIENTS {
            let (end, problems) = (&end, &problems);
            scope.spawn(move || {
                let mut client = LastingClient::new(head.http, end);
                let first = exchange(&mut client, node);
                let offset = AROUND * 2 * number / CLIENTS;
                let due = Instant::now() + IDLE_TIMEOUT - AROUND + offset;
                thread::sleep(due - Instant::now());
                let second = exchange(&mut client, node);
                problems
                    .lock()
                    .expect("problems")
                    .extend([first, second].into_iter().filter_map(Result::err));
            });
        }
        if is_held_up {
            thread::sleep((began + IDLE_TIMEOUT - MAX_HOLD_UP / 2).saturating_duration_since(Instant::now()));
            hold_up(head, MAX_HOLD_UP);
        }
    });
    problems.into_inner().expect("problems")
}

#[test]
fn requests_that_cross_the_idle_timeout_are_answered_or_not_read() {
    for is_held_up in [false, true] {
        let node = NotingNode::start();
        let discovery = Discovery::start(&[entry("s-0", node.node.address, 0, "ready")]);
        let head = Head::start(&discovery, None, &[]);
        let problems = cross_the_idle_timeout(&head, &node, is_held_up);
        assert_eq!(problems, Vec::<String>::new(), "held up: {is_held_up}");
    }
}

/// Descriptors and memory are short: idle connections are closed while their clients send, and the HTTP library is dropped
/// between two requests.
#[test]
fn requests_that_cross_a_close_for_want_of_descriptors_are_answered_or_not_read() {
    let node = NotingNode::start();
    let discovery = Discovery::start(&[entry("s-0", node.node.address, 0, "ready")]);
    let text =
        config(&discovery, SCARCE_DESCRIPTORS, "null").replace("\"memory_mb\":192", "\"memory_mb\":32");
    let head = Head::start_text(&text, None, &[]);
    let end = HeadEnd::default();
    let over = Instant::now() + Duration::from_secs(4);
    let problems = Mutex::new(Vec::new());
    thread::scope(|scope| {
        for number in 0..CLIENTS / 8 {
            let (end, problems, head, node) = (&end, &problems, &head, &node);
            scope.spawn(move || {
                let mut client = LastingClient::new(head.http, end);
                let mut pause = Duration::from_millis(u64::from(number));
                while Instant::now() < over {
                    let result = exchange(&mut client, node);
                    problems.lock().expect("problems").extend(result.err());
                    pause = Duration::from_millis((pause.as_millis() as u64 * 7 + 13) % 180);
                    thread::sleep(pause);
                }
            });
        }
        while Instant::now() < over {
            let silent: Vec<_> =
                (0..SILENT_CONNECTIONS).filter_map(|_| TcpStream::connect(head.http).ok()).collect();
            thread::sleep(Duration::from_millis(250));
            hold_up(&head, MAX_HOLD_UP / 3);
            drop(silent);
        }
    });
    assert_eq!(problems.into_inner().expect("problems"), Vec::<String>::new());
    assert!(head.counter("reclaimed") > 0, "no connection was closed for want of descriptors");
}
