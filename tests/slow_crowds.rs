//! Crowds of slow, stalled and hostile clients at a head with the least memory that the platform gives.
//!
//! They guard against a head that holds memory for its peers without a limit, and so is killed, and against one whose
//! clients of a crowd leave no slot to accept other clients, so that these have no answer.

mod peers;

use peers::crowd::{Crowd, Habit};
use peers::peak_memory::PeakMemory;
use peers::usual_clients::UsualClients;
use peers::*;
use std::path::PathBuf;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Mutex, PoisonError};
use std::thread;
use std::time::Duration;

/// The least memory that the platform gives a head, in MiB.
const MEMORY_MB: usize = 32;
/// Descriptors of the head.
const DESCRIPTORS: usize = 1024;
/// Clients of a crowd: some hundreds.
const CROWD: usize = 300;
/// Well-behaved clients beside the crowd.
const USUAL_CLIENTS: usize = 8;
/// How long a crowd stays.
const TIME: Duration = Duration::from_secs(5);

/// A node that serves long and medium answers on request, and short ones otherwise.
fn node() -> Brick {
    let long = vec![b'x'; 8 << 20];
    Brick::start(move |_, message| match &message.line {
        line if line.contains("?long") => Step::Serve(long.clone()),
        line if line.contains("?medium") => Step::Serve(long[..60_000].to_vec()),
        _ => Step::Serve(b"short".to_vec()),
    })
}

/// Held by the crowd that is played: several at once would measure the machine.
static ONE_AT_A_TIME: Mutex<()> = Mutex::new(());

/// Plays a crowd beside well-behaved clients, and checks the memory of the head and the answers of those clients.
fn play(habits: &[Habit], count: usize, memory_mb: usize) {
    let _turn = ONE_AT_A_TIME.lock().unwrap_or_else(PoisonError::into_inner);
    let nodes = [node(), node()];
    let discovery = Discovery::start(&[
        entry("s-0", nodes[0].address, 0, "ready"),
        entry("s-1", nodes[1].address, 1, "ready"),
    ]);
    let text = config(&discovery, DESCRIPTORS, "null")
        .replace("\"memory_mb\":192", &format!("\"memory_mb\":{memory_mb}"))
        .replace("\"base_rate\":400.0,\"name\":\"network\",\"reserve\":400.0", UNLIMITED_PLAN);
    let operators_file = write_operators_file();
    let mut head =
        Head::start_text(&text, Some(BLOCK), &[("FLAXGAP_OPS", operators_file.to_str().expect("a path"))]);
    let http2 = head.address("http2: listening on ");
    std::fs::remove_file(operators_file).expect("removed");
    let memory = PeakMemory::watch(head.pid());
    let usual_clients = UsualClients::start(head.http, USUAL_CLIENTS);
    let address = match habits[0] {
        habit if Habit::HTTP2.contains(&habit) => http2,
        Habit::Operates => head.ops,
        Habit::SendsNoise => head.block.expect("it is on"),
        _ => head.http,
    };
    let crowd = Crowd::start(address, habits, count);
    thread::sleep(TIME);
    drop(crowd);
    let outcomes = usual_clients.stop();
    let peak_mib = memory.stop_mib();
    println!("{habits:?} x{count}: {peak_mib} of {memory_mb} MiB, {outcomes:?}");
    assert!(peak_mib <= memory_mb, "{habits:?} x{count}: {peak_mib} MiB of {memory_mb}");
    assert_eq!((outcomes.lost, outcomes.shut), (0, 0), "{habits:?} x{count}: {outcomes:?}");
    assert!(outcomes.answered >= USUAL_CLIENTS, "{habits:?} x{count}: {outcomes:?}");
    // The head serves again once the crowd has left.
    let fetch = || Client::request("play-fetch", "network", 1, 2.0, 0);
    wait(|| (Client::new(head.http).ask(&fetch(), b"").status() == 200).then_some(()));
    head.signal("-TERM");
    assert!(head.ended(), "{habits:?} x{count}");
}

/// Writes an operators' file for one head, since tests run at the same time.
fn write_operators_file() -> PathBuf {
    static FILES: AtomicU32 = AtomicU32::new(0);
    let number = FILES.fetch_add(1, Ordering::SeqCst);
    let path = std::env::temp_dir().join(format!("flaxgap-crowds-{}-{number}", std::process::id()));
    std::fs::write(&path, "[http2]\nlisten = \"127.0.0.1:0\"\n").expect("written");
    path
}

/// The plan of the crowd's requests, so that its limit does not keep them from the nodes.
const UNLIMITED_PLAN: &str = "\"base_rate\":40000.0,\"name\":\"network\",\"reserve\":40000.0";

#[test]
fn a_crowd_that_sends_slowly_or_stops_passes_no_memory_limit_and_loses_no_other_request() {
    const SENDERS: [Habit; 6] = [
        Habit::WritesSlowly(8 << 20),
        Habit::WritesSlowly(200_000),
        Habit::StopsHalfWay(8 << 20),
        Habit::StopsHalfWay(480_000),
        Habit::StopsHalfWay(200_000),
        Habit::TinyChunks,
    ];
    for habit in SENDERS {
        play(&[habit], CROWD, MEMORY_MB);
    }
}

#[test]
fn a_crowd_that_reads_slowly_passes_no_memory_limit_and_loses_no_other_request() {
    for habit in [Habit::ReadsSlowly, Habit::DoesNotRead] {
        play(&[habit], CROWD, MEMORY_MB);
    }
}

#[test]
fn a_crowd_of_heads_passes_no_memory_limit_and_loses_no_other_request() {
    for habit in [Habit::Silent, Habit::ManyFields, Habit::LongHead, Habit::Pipelines, Habit::Unsound] {
        play(&[habit], CROWD, MEMORY_MB);
    }
}

/// Guards against forms that fit alone and not together, at several limits and numbers of clients.
#[test]
fn a_mixed_crowd_passes_no_memory_limit_and_loses_no_other_request() {
    for (count, memory_mb) in [(300, 32), (900, 32), (600, 48), (900, 192)] {
        play(&Habit::HTTP1, count, memory_mb);
    }
}

#[test]
fn a_crowd_of_http2_passes_no_memory_limit_and_loses_no_other_request() {
    for habit in Habit::HTTP2 {
        play(&[habit], CROWD, MEMORY_MB);
    }
    play(&Habit::HTTP2, CROWD, MEMORY_MB);
}

/// Guards against one client that keeps a head so busy that others wait, or grows its memory, under ever new names.
#[test]
fn one_client_at_full_speed_loses_no_other_request_on_any_frontend() {
    for habit in [
        Habit::Sound,
        Habit::Unsound,
        Habit::Pipelines,
        Habit::Operates,
        Habit::SendsNoise,
        Habit::ResetsStreams,
    ] {
        play(&[habit], 1, MEMORY_MB);
    }
}
