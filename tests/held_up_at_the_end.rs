//! Heads that are held up for up to 0.15 s, as the platform's terms allow, when SIGTERM is sent to them and near their end.
//! Their clients use open connections until SIGKILL, which comes at the earliest moment that the platform allows, half of
//! the nodes' requests hang, and each request that a head has taken must be answered.

mod peers;

use nix::sys::signal::Signal;
use peers::lasting_clients::{ANSWER_SLACK, Exchange, HeadEnd, LastingClient};
use peers::process_signals::{MAX_HOLD_UP, hold_up, kill_delay, send, sleep_until, terminate_held_up};
use peers::*;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

/// Clients of each head.
const CLIENTS: usize = 8;
/// Parts of the longest deadline that the clients' requests have, in turn, so that some wait at each moment.
const TIME_LEFT_PARTS: [f64; 5] = [0.23, 1.0, 0.61, 0.37, 0.83];
/// How long the clients send before SIGTERM.
const SERVICE_TIME: Duration = Duration::from_millis(700);

/// Held by the test that plays: the heads of several would measure the machine.
static ONE_AT_A_TIME: Mutex<()> = Mutex::new(());

/// Waits for the turn of a test.
fn turn() -> MutexGuard<'static, ()> {
    ONE_AT_A_TIME.lock().unwrap_or_else(PoisonError::into_inner)
}

/// A node of which every second request hangs, and the ids that it has seen.
struct HalfHangingNode {
    node: Brick,
    seen: Arc<Mutex<HashSet<String>>>,
}

impl HalfHangingNode {
    fn start() -> HalfHangingNode {
        let seen: Arc<Mutex<HashSet<String>>> = Arc::default();
        let noted = seen.clone();
        let node = Brick::start(move |number, message| {
            noted.lock().expect("seen").insert(message.header("x-correlation-id").into());
            if number % 2 == 0 { Step::Silent } else { Step::Serve(b"served".to_vec()) }
        });
        HalfHangingNode { node, seen }
    }

    fn has_seen(&self, id: &str) -> bool {
        self.seen.lock().expect("seen").contains(id)
    }
}

/// When a head is held up.
#[derive(Clone, Copy, Debug)]
struct Delays {
    /// For how long, at SIGTERM.
    at_term: Duration,
    /// How long before the earliest SIGKILL it is held up for [`MAX_HOLD_UP`].
    before_kill: Option<Duration>,
}

/// One head's end.
#[derive(Clone, Copy, Debug)]
struct Scenario {
    longest_deadline: Duration,
    delays: Delays,
}

/// What a scenario's clients saw.
#[derive(Default)]
struct Outcome {
    answered: usize,
    served: usize,
    lost: Vec<String>,
}

impl Outcome {
    fn add(&mut self, other: Outcome) {
        self.answered += other.answered;
        self.served += other.served;
        self.lost.extend(other.lost);
    }
}

fn configuration(discovery: &Discovery, longest_deadline: Duration) -> String {
    let deadline = format!(r#""deadline":{:.1}"#, longest_deadline.as_secs_f64());
    config(discovery, 1024, "null").replace(r#""deadline":2.0"#, &deadline)
}

fn id_of(request: &str) -> &str {
    request.lines().find_map(|line| line.strip_prefix("X-Correlation-Id: ")).expect("an id")
}

/// Sends requests until the head has ended, and notes what was lost.
fn run_client(
    scenario: &Scenario,
    http: SocketAddr,
    number: usize,
    node: &HalfHangingNode,
    end: &HeadEnd,
) -> Outcome {
    let mut outcome = Outcome::default();
    let mut client = LastingClient::new(http, end);
    let mut sent = number;
    while !end.is_over() {
        sent += 1;
        let parts = TIME_LEFT_PARTS[sent % TIME_LEFT_PARTS.len()];
        let time_left = scenario.longest_deadline.mul_f64(parts);
        let request = Client::request("play-fetch", "network", 1, time_left.as_secs_f64(), 0);
        let id = id_of(&request);
        match client.exchange(&request, b"", time_left, || node.has_seen(id)) {
            Exchange::Answered { answer, .. } => {
                outcome.answered += 1;
                outcome.served += usize::from(answer.status() == 200);
            }
            Exchange::Refused => {}
            Exchange::Lost { how, sent_at, took } => {
                let terminated_at = end.terminated_at.lock().expect("term").unwrap_or(sent_at);
                let after_term = sent_at.saturating_duration_since(terminated_at);
                let was_seen = node.has_seen(id);
                outcome.lost.push(format!(
                    "{id} {how:?}, sent {after_term:?} after SIGTERM, ended after {took:?}, at a node: {was_seen}"
                ));
            }
        }
    }
    outcome
}

/// Ends a head as the platform does, at the earliest moments that its page names.
fn end_head(scenario: &Scenario, head: &mut Head, end: &HeadEnd) {
    let Delays { at_term, before_kill } = scenario.delays;
    end.terminated();
    let terminated_at = terminate_held_up(head, at_term);
    let kill_at = terminated_at + kill_delay(scenario.longest_deadline);
    if let Some(before_kill) = before_kill {
        sleep_until(kill_at - before_kill);
        hold_up(head, MAX_HOLD_UP.min(kill_at.saturating_duration_since(Instant::now())));
    }
    sleep_until(kill_at);
    end.killed();
    send(head, Signal::SIGKILL);
    head.wait_end();
}

fn play(scenario: &Scenario) -> Outcome {
    let node = HalfHangingNode::start();
    let discovery = Discovery::start(&[entry("s-0", node.node.address, 0, "ready")]);
    let mut head = Head::start_text(&configuration(&discovery, scenario.longest_deadline), None, &[]);
    let (end, http) = (HeadEnd::default(), head.http);
    let mut total = Outcome::default();
    thread::scope(|scope| {
        let (node, end) = (&node, &end);
        let clients: Vec<_> = (0..CLIENTS)
            .map(|number| scope.spawn(move || run_client(scenario, http, number, node, end)))
            .collect();
        thread::sleep(SERVICE_TIME);
        end_head(scenario, &mut head, end);
        end.over.store(true, Ordering::SeqCst);
        for client in clients {
            total.add(client.join().expect("a client ends"));
        }
    });
    if !total.lost.is_empty() {
        total.lost.push(head.log().join("\n"));
    }
    total
}

/// Requests that wait for a node as the head ends: the connections that clients have for requests.
const REQUESTS_IN_HAND: usize = 330;
/// A head with a fifth of a core: how long it runs, and how long it does not.
const RUNS_FOR: Duration = Duration::from_millis(4);
const RESTS_FOR: Duration = Duration::from_millis(16);

/// When the head is held up that has a part of a core: as the last answers are due.
const LAST_ANSWERS_BEFORE_KILL: Duration = Duration::from_millis(270);

/// Sends one request that its node does not answer, and returns the time of the answer.
fn wait_for_last_answer(http: SocketAddr, deadline: Duration) -> Option<Instant> {
    let request = Client::request("play-fetch", "network", 1, deadline.as_secs_f64(), 0);
    let mut client = Client::try_new(http)?;
    client.set_time_limit(deadline + ANSWER_SLACK);
    client.try_send_all(&request, b"");
    client.answer().map(|_| Instant::now())
}

/// Guards against last answers that are due at the same moment and take longer to be written than there is time: a head
/// with a fifth of a core, held up at SIGTERM and again as they are due.
#[test]
fn a_head_with_part_of_a_core_answers_all_that_it_has_in_hand() {
    let _turn = turn();
    let longest_deadline = Duration::from_secs(6);
    let node = Brick::start(|_, _| Step::Silent);
    let discovery = Discovery::start(&[entry("s-0", node.address, 0, "ready")]);
    let mut head = Head::start_text(&configuration(&discovery, longest_deadline), None, &[]);
    let http = head.http;
    thread::scope(|scope| {
        let terminated_at = terminate_held_up(&head, MAX_HOLD_UP);
        let kill_at = terminated_at + kill_delay(longest_deadline);
        sleep_until(terminated_at + MAX_HOLD_UP * 2);
        let clients: Vec<_> = (0..REQUESTS_IN_HAND)
            .map(|_| scope.spawn(move || wait_for_last_answer(http, longest_deadline)))
            .collect();
        sleep_until(kill_at - Duration::from_millis(900));
        while Instant::now() < kill_at - LAST_ANSWERS_BEFORE_KILL {
            hold_up(&head, RESTS_FOR);
            thread::sleep(RUNS_FOR);
        }
        // The last answers are due while it is held up.
        hold_up(&head, MAX_HOLD_UP);
        while Instant::now() < kill_at {
            thread::sleep(RUNS_FOR);
            hold_up(&head, RESTS_FOR.min(kill_at.saturating_duration_since(Instant::now())));
        }
        send(&head, Signal::SIGKILL);
        head.wait_end();
        let answers: Vec<Option<Instant>> =
            clients.into_iter().map(|client| client.join().expect("a client ends")).collect();
        let last = answers.iter().flatten().max().expect("an answer");
        println!(
            "the last of {} answers came {:?} before the kill",
            answers.len(),
            kill_at.saturating_duration_since(*last)
        );
        assert_eq!(answers.iter().filter(|answer| answer.is_none()).count(), 0, "requests lost at the kill");
    });
}

/// Plays one head for each scenario, all at once, and prints what each lost.
fn none_is_lost(scenarios: &[Scenario]) {
    let outcomes: Vec<Outcome> = thread::scope(|scope| {
        let heads: Vec<_> = scenarios.iter().map(|scenario| scope.spawn(|| play(scenario))).collect();
        heads.into_iter().map(|head| head.join().expect("a head ends")).collect()
    });
    for (scenario, outcome) in scenarios.iter().zip(&outcomes) {
        println!(
            "{scenario:?}: {} answers, {} served, lost {:#?}",
            outcome.answered, outcome.served, outcome.lost
        );
    }
    let served = outcomes.iter().all(|outcome| outcome.served > 0);
    assert!(served, "a head served nothing");
    let lost: usize = outcomes.iter().map(|outcome| outcome.lost.len()).sum();
    assert_eq!(lost, 0, "requests that a head had taken were lost");
}

/// Guards against an end that is counted from when SIGTERM was noticed: SIGKILL is counted from when it was sent.
#[test]
fn a_head_held_up_at_sigterm_loses_no_request() {
    let _turn = turn();
    let mut scenarios = Vec::new();
    for longest_deadline in [500, 1000, 2000, 6000].map(Duration::from_millis) {
        for at_term in [50, 100, 150].map(Duration::from_millis) {
            let delays = Delays { at_term, before_kill: None };
            scenarios.push(Scenario { longest_deadline, delays });
        }
    }
    none_is_lost(&scenarios);
}

/// Heads of a fleet that end at once, and runs of CI.
const FLEET: usize = 16;
const CI_SEEDS: u64 = 2;

/// Scenarios of a fleet from a seed.
fn fleet(seed: u64) -> Vec<Scenario> {
    let mut random = StdRng::seed_from_u64(seed);
    let deadlines_ms = [300, 500, 800, 1000, 1500, 2500, 3000, 6000];
    let mut scenario = || {
        let longest_deadline_ms = deadlines_ms[random.random_range(0..deadlines_ms.len())];
        let is_held_up_later = random.random_bool(0.6);
        let before_kill_ms = random.random_range(20..700);
        Scenario {
            longest_deadline: Duration::from_millis(longest_deadline_ms),
            delays: Delays {
                at_term: Duration::from_millis(random.random_range(0..150)),
                before_kill: is_held_up_later.then(|| Duration::from_millis(before_kill_ms)),
            },
        }
    };
    (0..FLEET).map(|_| scenario()).collect()
}

/// Many heads at once, with longest deadlines and delays from a seed. `FLAXGAP_SOAK_SEEDS=FROM..TO` plays other seeds.
#[test]
fn a_fleet_that_ends_at_once_loses_no_request() {
    let _turn = turn();
    for seed in soak_seeds(CI_SEEDS) {
        println!("seed {seed}");
        none_is_lost(&fleet(seed));
    }
}

/// Guards against last answers that have no time for a delay before they are written.
#[test]
fn a_head_held_up_before_its_last_answers_loses_no_request() {
    let _turn = turn();
    let mut scenarios = Vec::new();
    for at_term in [Duration::ZERO, MAX_HOLD_UP] {
        for before_kill_ms in [600, 500, 450, 400, 350, 300, 250, 200, 150, 120] {
            let before_kill = Some(Duration::from_millis(before_kill_ms));
            let delays = Delays { at_term, before_kill };
            scenarios.push(Scenario { longest_deadline: Duration::from_secs(1), delays });
        }
    }
    none_is_lost(&scenarios);
}

/// An upload that is not complete as the head is told to end.
#[derive(Clone, Copy, Debug)]
struct SlowUpload {
    /// Bytes of the body: few enough to be held, or so many that they are passed on as they come.
    length: usize,
    /// How long before the earliest SIGKILL the last byte is sent.
    last_byte_before_kill: Duration,
}

/// Sends an upload as the head ends; whether it had an answer.
fn is_upload_answered(upload: SlowUpload) -> bool {
    let longest_deadline = Duration::from_secs(1);
    let node = Brick::start(|_, _| Step::Silent);
    let discovery = Discovery::start(&[entry("s-0", node.address, 0, "ready")]);
    let mut head = Head::start_text(&configuration(&discovery, longest_deadline), None, &[]);
    let request =
        Client::request("episode-save", "network", 1, longest_deadline.as_secs_f64(), upload.length);
    let mut client = Client::new(head.http);
    thread::scope(|scope| {
        let terminated_at = terminate_held_up(&head, MAX_HOLD_UP);
        let kill_at = terminated_at + kill_delay(longest_deadline);
        let answer = scope.spawn(move || {
            let body = vec![b'x'; upload.length];
            let (first, last) = body.split_at(upload.length - 1);
            sleep_until(terminated_at + MAX_HOLD_UP * 2);
            client.try_send_all(&request, first);
            sleep_until(kill_at - upload.last_byte_before_kill);
            client.try_send_all("", last);
            client.answer()
        });
        sleep_until(kill_at - upload.last_byte_before_kill);
        hold_up(&head, MAX_HOLD_UP.min(upload.last_byte_before_kill));
        sleep_until(kill_at);
        send(&head, Signal::SIGKILL);
        head.wait_end();
        answer.join().expect("a client ends").is_some()
    })
}

/// Guards against an upload that is waited for past the end of the process: its last byte may come at any moment.
#[test]
fn an_upload_whose_last_byte_comes_near_the_end_is_answered() {
    let _turn = turn();
    let lengths = [2000, 400_000];
    let moments = [900, 500, 300, 200, 100, 40].map(Duration::from_millis);
    let uploads: Vec<SlowUpload> = lengths
        .iter()
        .flat_map(|length| {
            moments.map(|last_byte_before_kill| SlowUpload { length: *length, last_byte_before_kill })
        })
        .collect();
    let unanswered: Vec<SlowUpload> = thread::scope(|scope| {
        let played: Vec<_> =
            uploads.iter().map(|upload| (upload, scope.spawn(|| is_upload_answered(*upload)))).collect();
        let unanswered = played
            .into_iter()
            .filter_map(|(upload, answered)| (!answered.join().expect("a head ends")).then_some(*upload));
        unanswered.collect()
    });
    assert!(unanswered.is_empty(), "uploads without an answer: {unanswered:#?}");
}

/// Guards against a client that takes the end of the process for the end of its answer: to HTTP/1.0 an answer without a
/// length ends with the connection.
#[test]
fn an_answer_without_a_length_is_not_taken_for_whole_at_the_end() {
    let _turn = turn();
    let node = Brick::start(|_, _| {
        let piece = |number: u32| format!("2000\r\n{}\r\n", format!("{number:04}").repeat(2048)).into_bytes();
        let head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".to_vec();
        let pieces = std::iter::once(head).chain((0..1000).map(piece)).collect();
        Step::InPieces { pieces, pause: Duration::from_millis(20), closes: true }
    });
    let longest_deadline = Duration::from_secs(1);
    let discovery = Discovery::start(&[entry("s-0", node.address, 0, "ready")]);
    let mut head = Head::start_text(&configuration(&discovery, longest_deadline), None, &[]);
    let mut client = Client::new(head.http);
    let request = Client::request("play-fetch", "network", 1, longest_deadline.as_secs_f64(), 0);
    client.send(&request.replace("HTTP/1.1", "HTTP/1.0"), b"");
    node.wait_for(1);
    let reader = thread::spawn(move || client.until_end());
    let terminated_at = terminate_held_up(&head, MAX_HOLD_UP);
    sleep_until(terminated_at + kill_delay(longest_deadline));
    send(&head, Signal::SIGKILL);
    head.wait_end();
    let (answer, ended) = reader.join().expect("a client ends");
    assert!(answer.starts_with(b"HTTP/1.0 200"), "it was being forwarded");
    assert!(ended.is_err(), "{} bytes end like a whole answer", answer.len());
}
