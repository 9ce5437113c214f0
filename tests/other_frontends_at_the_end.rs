//! The HTTP/2 and block frontends of a head that ends: it is held up for up to 0.15 s at SIGTERM and near its end, half of
//! the nodes' requests hang, clients use their connections until SIGKILL, which comes at the earliest moment that the
//! platform allows, and what the head has taken is answered.

mod peers;

use h2::client::SendRequest;
use hyper::Request;
use nix::sys::signal::Signal;
use peers::initiator::Initiator;
use peers::lasting_clients::{HeadEnd, Unanswered};
use peers::process_signals::{MAX_HOLD_UP, hold_up, kill_delay, send, sleep_until, terminate_held_up};
use peers::*;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

/// The longest deadline of the settings, which all requests have.
const DEADLINE: Duration = Duration::from_secs(2);
/// A time limit that no exchange reaches: each ends with its answer or its connection.
const NO_LIMIT: Duration = Duration::from_secs(60);
/// How long the clients send before SIGTERM.
const SERVICE_TIME: Duration = Duration::from_millis(500);
/// Connections of each head, and requests that are out at once on each.
const CONNECTIONS: usize = 3;
const REQUESTS_AT_ONCE: usize = 4;
/// Length of a block, in bytes.
const BLOCK_BYTES: usize = 512;

/// From a write to its data.
const WRITE_DATA_DELAY: Duration = Duration::from_millis(1000);

/// When the heads are held up before the earliest SIGKILL; each is at SIGTERM, too.
const HELD_UP_BEFORE_KILL_MS: [u64; 6] = [700, 450, 350, 260, 200, 150];

/// A node of which every second request hangs. It serves a block of data.
fn half_hanging_node() -> Brick {
    Brick::start(|number, _| if number % 2 == 0 { Step::Silent } else { Step::Serve(vec![7; BLOCK_BYTES]) })
}

/// Ends a head as the platform does, at the earliest moments that its page names.
fn end_head(head: &mut Head, end: &HeadEnd, held_up_before_kill: Duration) {
    end.terminated();
    let terminated_at = terminate_held_up(head, MAX_HOLD_UP);
    let kill_at = terminated_at + kill_delay(DEADLINE);
    sleep_until(kill_at - held_up_before_kill);
    hold_up(head, MAX_HOLD_UP.min(kill_at.saturating_duration_since(Instant::now())));
    sleep_until(kill_at);
    end.killed();
    send(head, Signal::SIGKILL);
    head.wait_end();
    end.over.store(true, Ordering::SeqCst);
}

/// Notes a request whose connection ended without an answer, unless the close crossed the request.
fn note_unanswered(lost: &mut Vec<String>, end: &HeadEnd, sent_at: Instant, what: &str) {
    let how = end.judge(sent_at, NO_LIMIT);
    if how != Unanswered::Crossed {
        let terminated_at = end.terminated_at.lock().expect("term").unwrap_or(sent_at);
        let after_term = sent_at.saturating_duration_since(terminated_at);
        lost.push(format!(
            "{how:?}, sent {after_term:?} after SIGTERM, ended after {:?}: {what}",
            sent_at.elapsed()
        ));
    }
}

/// Writes an operators' file for one head.
fn operators_file(grace_s: f64) -> std::path::PathBuf {
    static FILES: AtomicU32 = AtomicU32::new(0);
    let number = FILES.fetch_add(1, Ordering::SeqCst);
    let path = std::env::temp_dir().join(format!("flaxgap-ends-{}-{number}", std::process::id()));
    let text = format!("[http2]\nlisten = \"127.0.0.1:0\"\ngrace_s = {grace_s:?}\n");
    std::fs::write(&path, text).expect("written");
    path
}

/// Starts a head with all frontends.
fn start_head(discovery: &Discovery, grace_s: f64) -> Head {
    let operators_file = operators_file(grace_s);
    let path = operators_file.to_str().expect("a path");
    let head = Head::start(discovery, Some(BLOCK), &[("FLAXGAP_OPS", path)]);
    std::fs::remove_file(operators_file).expect("removed");
    head
}

/// A request as HTTP/2 has it.
fn http2_request() -> Request<()> {
    let text = Client::request("play-fetch", "network", 1, DEADLINE.as_secs_f64(), 0);
    let mut lines = text.lines();
    let path = lines.next().and_then(|line| line.split(' ').nth(1)).expect("a path");
    let mut request = Request::builder().uri(format!("http://origin.svc{path}"));
    for line in lines.filter(|line| line.starts_with("X-")) {
        let (name, value) = line.split_once(": ").expect("a field");
        request = request.header(name, value);
    }
    request.body(()).expect("a request")
}

/// What came of the requests of a connection.
#[derive(Default)]
struct Outcome {
    answered: usize,
    lost: Vec<String>,
}

/// Sends requests on one connection until it ends.
async fn send_streams(sender: SendRequest<bytes::Bytes>, end: Arc<HeadEnd>) -> Outcome {
    let mut outcome = Outcome::default();
    loop {
        let Ok(mut ready) = sender.clone().ready().await else { return outcome };
        let sent_at = Instant::now();
        let Ok((response, _)) = ready.send_request(http2_request(), true) else { return outcome };
        let answered = async {
            let mut body = response.await?.into_body();
            while let Some(data) = body.data().await {
                data?;
            }
            Ok::<(), h2::Error>(())
        };
        match answered.await {
            Ok(()) => outcome.answered += 1,
            // The head says that it has not taken the stream.
            Err(error) if error.is_go_away() || error.reason() == Some(h2::Reason::REFUSED_STREAM) => {
                return outcome;
            }
            Err(error) => {
                note_unanswered(&mut outcome.lost, &end, sent_at, &error.to_string());
                return outcome;
            }
        }
    }
}

/// Opens one connection after another, and sends several requests at once on each.
async fn run_http2_client(address: SocketAddr, end: Arc<HeadEnd>) -> Outcome {
    let mut total = Outcome::default();
    while !end.is_over() {
        let connected = tokio::net::TcpStream::connect(address).await;
        let Ok(stream) = connected else {
            tokio::time::sleep(Duration::from_millis(5)).await;
            continue;
        };
        let Ok((sender, connection)) = h2::client::handshake(stream).await else { continue };
        let driver = tokio::spawn(connection);
        let streams: Vec<_> =
            (0..REQUESTS_AT_ONCE).map(|_| tokio::spawn(send_streams(sender.clone(), end.clone()))).collect();
        drop(sender);
        for stream in streams {
            let outcome = stream.await.expect("a stream ends");
            total.answered += outcome.answered;
            total.lost.extend(outcome.lost);
        }
        driver.abort();
    }
    total
}

fn play_http2(held_up_before_kill: Duration, grace_s: f64) -> Outcome {
    let node = half_hanging_node();
    let discovery = Discovery::start(&[entry("s-0", node.address, 0, "ready")]);
    let mut head = start_head(&discovery, grace_s);
    let address = head.address("http2: listening on ");
    let end: Arc<HeadEnd> = Arc::default();
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(1)
        .enable_all()
        .build()
        .expect("a runtime");
    let clients: Vec<_> =
        (0..CONNECTIONS).map(|_| runtime.spawn(run_http2_client(address, end.clone()))).collect();
    thread::sleep(SERVICE_TIME);
    end_head(&mut head, &end, held_up_before_kill);
    let mut total = Outcome::default();
    for client in clients {
        let outcome = runtime.block_on(client).expect("a client ends");
        total.answered += outcome.answered;
        total.lost.extend(outcome.lost);
    }
    if !total.lost.is_empty() {
        total.lost.push(head.log().join("\n"));
    }
    total
}

/// Held by the test that plays: the heads of several would measure the machine.
static ONE_AT_A_TIME: Mutex<()> = Mutex::new(());

/// Plays heads that are held up at different moments, all at once.
fn none_is_lost(play: impl Fn(Duration) -> Outcome + Sync) {
    let _turn = ONE_AT_A_TIME.lock().unwrap_or_else(PoisonError::into_inner);
    let outcomes: Vec<Outcome> = thread::scope(|scope| {
        let play = &play;
        let heads = HELD_UP_BEFORE_KILL_MS.map(|ms| scope.spawn(move || play(Duration::from_millis(ms))));
        heads.into_iter().map(|head| head.join().expect("a head ends")).collect()
    });
    for (ms, outcome) in HELD_UP_BEFORE_KILL_MS.iter().zip(&outcomes) {
        println!("held up {ms} ms before the kill: {} answers, lost {:#?}", outcome.answered, outcome.lost);
    }
    assert!(outcomes.iter().all(|outcome| outcome.answered > 0), "a head answered nothing");
    assert!(
        outcomes.iter().all(|outcome| outcome.lost.is_empty()),
        "requests that a head had taken were lost"
    );
}

#[test]
fn no_http2_stream_is_lost_at_the_end() {
    none_is_lost(|before_kill| play_http2(before_kill, 4.0));
}

/// Guards against a grace of HTTP/2 connections that is shorter than the time for the last answers.
#[test]
fn no_http2_stream_is_lost_at_the_end_with_a_short_grace() {
    none_is_lost(|before_kill| play_http2(before_kill, 0.1));
}

/// Keeps several reads out on one session until it ends.
fn run_initiator(address: SocketAddr, number: usize, end: &HeadEnd) -> Outcome {
    let mut outcome = Outcome::default();
    let name = format!("studio:reader-{number}");
    let mut initiator = Initiator::try_login_as(address, &name).expect("a session");
    let mut out: HashMap<u32, Instant> = HashMap::new();
    loop {
        while out.len() < REQUESTS_AT_ONCE {
            let sent_at = Instant::now();
            match initiator.try_read(1, 0, 1) {
                Some(task) => _ = out.insert(task, sent_at),
                None => break,
            }
        }
        let Some(pdu) = initiator.next() else { break };
        if pdu.header[0] == 0x21 {
            out.remove(&pdu.at(16)).expect("a response to a command that is out");
            outcome.answered += 1;
        }
    }
    for (task, sent_at) in out {
        note_unanswered(&mut outcome.lost, end, sent_at, &format!("task {task}"));
    }
    outcome
}

/// Begins a write, and sends its data later; whether the write had a response.
fn late_write(address: SocketAddr, begins_at: Instant, data_at: Instant) -> bool {
    let mut initiator = Initiator::login(address, "InitialR2T=Yes\0ImmediateData=No\0");
    sleep_until(begins_at);
    let task = initiator.write(1, 0, 1, &[]);
    let mut data_sent = false;
    while let Some(pdu) = initiator.next() {
        match pdu.header[0] {
            0x31 if !data_sent => {
                sleep_until(data_at);
                data_sent = initiator.try_data_out(&pdu, &[7; BLOCK_BYTES]);
            }
            0x21 if pdu.at(16) == task => return true,
            _ => {}
        }
    }
    false
}

fn play_block(held_up_before_kill: Duration) -> Outcome {
    let node = half_hanging_node();
    let discovery = Discovery::start(&[entry("s-0", node.address, 0, "ready")]);
    let mut head = start_head(&discovery, 4.0);
    let address = head.block.expect("it is on");
    let end = HeadEnd::default();
    let mut total = Outcome::default();
    thread::scope(|scope| {
        let end = &end;
        let clients: Vec<_> =
            (0..CONNECTIONS).map(|number| scope.spawn(move || run_initiator(address, number, end))).collect();
        thread::sleep(SERVICE_TIME);
        // The data comes while the head is held up.
        let term_at = Instant::now() + Duration::from_millis(50);
        let data_at = term_at + kill_delay(DEADLINE) - held_up_before_kill + Duration::from_millis(20);
        let begins_at = data_at - WRITE_DATA_DELAY;
        let write = scope.spawn(move || late_write(address, begins_at, data_at));
        sleep_until(term_at);
        end_head(&mut head, end, held_up_before_kill);
        for client in clients {
            let outcome = client.join().expect("a client ends");
            total.answered += outcome.answered;
            total.lost.extend(outcome.lost);
        }
        if !write.join().expect("a write ends") {
            total.lost.push("a write whose data came late".into());
        }
    });
    if !total.lost.is_empty() {
        total.lost.push(head.log().join("\n"));
    }
    total
}

/// Guards against sessions that are closed only while no command is out, which initiators that keep sending never let be.
#[test]
fn no_block_command_is_lost_at_the_end() {
    none_is_lost(play_block);
}
