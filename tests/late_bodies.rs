//! Bodies that storage nodes write or read slowly.
//!
//! They guard against a head that cuts off an answer that its node is still writing, because of a pause, and against one
//! that answers an upload long after its client has stopped waiting, because its node is still reading.

mod peers;

use peers::*;
use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

/// Time that the clients of answers give the head, in seconds.
const TIME_LEFT_S: f64 = 1.073;
/// How long after its time a request may still be answered.
const LATE: Duration = Duration::from_millis(500);

/// How the end of an answer is marked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Framing {
    Length,
    Chunked,
    Close,
}

impl Framing {
    const ALL: [Framing; 3] = [Framing::Length, Framing::Chunked, Framing::Close];

    fn head(self, length: usize) -> String {
        match self {
            Framing::Length => format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n"),
            Framing::Chunked => "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".into(),
            Framing::Close => "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n".into(),
        }
    }

    fn piece(self, bytes: &[u8]) -> Vec<u8> {
        match self {
            Framing::Chunked if !bytes.is_empty() => {
                [format!("{:x}\r\n", bytes.len()).as_bytes(), bytes, b"\r\n"].concat()
            }
            _ => bytes.to_vec(),
        }
    }

    fn end(self) -> &'static [u8] {
        if self == Framing::Chunked { b"0\r\n\r\n" } else { b"" }
    }
}

/// An answer that pauses once.
#[derive(Clone, Copy, Debug)]
struct PausedAnswer {
    framing: Framing,
    length: usize,
    /// Bytes of the body before the pause.
    before: usize,
    pause: Duration,
}

impl PausedAnswer {
    fn step(self) -> Step {
        let PausedAnswer { framing, length, before, pause } = self;
        let body = body(length);
        let first = [framing.head(length).as_bytes(), &framing.piece(&body[..before])].concat();
        let rest = [&framing.piece(&body[before..]), framing.end()].concat();
        Step::InPieces { pieces: vec![first, rest], pause, closes: framing == Framing::Close }
    }
}

fn body(length: usize) -> Vec<u8> {
    (0..length).map(|place| b'a' + (place % 23) as u8).collect()
}

fn fetch(time_left_s: f64, path: &str) -> String {
    Client::request("play-fetch", "network", 1, time_left_s, 0)
        .replace(" HTTP/1.1", &format!("{path} HTTP/1.1"))
}

/// Each answer pauses for longer than a node usually takes, and is whole before its client stops waiting.
#[test]
fn an_answer_that_pauses_is_forwarded_whole_and_its_request_is_sent_once() {
    let mut cases = Vec::new();
    for framing in Framing::ALL {
        for (length, before, pause_ms) in [
            (138_902, 0, 400),
            (138_902, 0, 780),
            (20_000, 0, 600),
            (138_902, 4000, 600),
            (3000, 1, 780),
            (244_000, 20_000, 700),
        ] {
            cases.push(PausedAnswer { framing, length, before, pause: Duration::from_millis(pause_ms) });
        }
    }
    thread::scope(|scope| {
        for case in cases {
            scope.spawn(move || play_paused_answer(case));
        }
    });
}

/// Plays an answer beside requests that the same node answers at once, so that it seems overtaken.
fn play_paused_answer(case: PausedAnswer) {
    let node = Brick::start(move |_, message| match message.line.contains("?pause") {
        true => case.step(),
        false => Step::Serve(b"short".to_vec()),
    });
    let discovery = Discovery::start(&[entry("s-0", node.address, 0, "ready")]);
    let head = Head::start(&discovery, None, &[]);
    let others = usual_clients::UsualClients::start(head.http, 2);
    let mut client = Client::new(head.http);
    let sent_at = Instant::now();
    client.send(&fetch(TIME_LEFT_S, "?pause"), b"");
    let answer = client.answer().unwrap_or_else(|| panic!("{case:?}: no answer"));
    let took = sent_at.elapsed();
    let attempts = node.seen().iter().filter(|message| message.line.contains("?pause")).count();
    assert_eq!((answer.status(), answer.body.len(), attempts), (200, case.length, 1), "{case:?}, {took:?}");
    assert!(answer.body == body(case.length), "{case:?}: another body");
    assert!(took < Duration::from_secs_f64(TIME_LEFT_S) + LATE, "{case:?}: {took:?}");
    let outcomes = others.stop();
    assert_eq!((outcomes.lost, outcomes.shut), (0, 0), "{case:?}: {outcomes:?}");
}

/// Guards against a malformed answer that never ends and takes all of its request's time.
#[test]
fn a_read_whose_answer_never_ends_is_sent_to_a_node_again_in_time() {
    for first in [&b"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf"[..], b"HTTP/1.1 200 OK\r\nX-Never: "]
    {
        let node = Brick::start(move |number, _| match number {
            0 => Step::Raw(first.to_vec()),
            _ => Step::Serve(b"whole".to_vec()),
        });
        let discovery = Discovery::start(&[entry("s-0", node.address, 0, "ready")]);
        let head = Head::start(&discovery, None, &[]);
        for time_left_s in [0.5, 2.0] {
            let sent_at = Instant::now();
            let answer = Client::new(head.http).ask(&fetch(time_left_s, ""), b"");
            assert_eq!((answer.status(), &answer.body[..]), (200, &b"whole"[..]));
            assert!(sent_at.elapsed() < Duration::from_secs_f64(time_left_s));
        }
    }
}

/// Time between two pieces that a slow node reads.
const PIECE_PAUSE: Duration = Duration::from_millis(20);

/// A node that reads requests in pieces, and answers each once it has all of it. It reads slowly for `slow_time` from the
/// beginning of a connection.
fn slow_reading_node(piece_bytes: usize, slow_time: Duration) -> SocketAddr {
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).expect("a socket");
    socket.set_recv_buffer_size(8 * piece_bytes).expect("a buffer");
    socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).expect("a port");
    socket.listen(64).expect("listening");
    let listener = TcpListener::from(socket);
    let address = listener.local_addr().expect("an address");
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            thread::spawn(move || {
                let mut out = stream.try_clone().expect("a handle");
                let slow_until = Instant::now() + slow_time;
                let mut from = BufReader::with_capacity(piece_bytes, Paced { stream, slow_until });
                while Message::read(&mut from).is_some() {
                    if out.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n").is_err() {
                        return;
                    }
                }
            });
        }
    });
    address
}

/// A connection of which each read takes a while, up to a moment.
struct Paced {
    stream: TcpStream,
    slow_until: Instant,
}

impl Read for Paced {
    fn read(&mut self, buffer: &mut [u8]) -> std::io::Result<usize> {
        if Instant::now() < self.slow_until {
            thread::sleep(PIECE_PAUSE);
        }
        self.stream.read(buffer)
    }
}

/// Longer than any test.
const ALWAYS: Duration = Duration::from_secs(3600);

/// Guards against an upload that is given up because the socket to its node takes no bytes, although the node reads all the
/// time and the client is still sending: there is no memory to read further ahead.
#[test]
fn an_upload_goes_on_whose_node_reads_slowly_while_its_client_is_sending() {
    const LENGTH: usize = 32_000_000;
    // The client sends at 2 MB/s at most.
    const PIECE: usize = 100_000;
    const CLIENT_PAUSE: Duration = Duration::from_millis(50);
    const SLOW_TIME: Duration = Duration::from_secs(14);
    // 65 kB/s.
    let node = slow_reading_node(1300, SLOW_TIME);
    let discovery = Discovery::start(&[entry("s-0", node, 0, "ready")]);
    let text = config(&discovery, 1024, "null").replace("\"memory_mb\":192", "\"memory_mb\":32");
    let head = Head::start_text(&text, None, &[]);
    let mut client = Client::new(head.http);
    let began = Instant::now();
    let mut is_written =
        client.try_send_all(&Client::request("episode-save", "network", 1, 1.5, LENGTH), b"");
    for _ in 0..LENGTH / PIECE {
        is_written = is_written && client.try_send_all("", &[b'x'; PIECE]);
        thread::sleep(CLIENT_PAUSE);
    }
    let status = client.answer().map(|answer| answer.status());
    assert_eq!((is_written, status), (true, Some(200)), "after {:?}", began.elapsed());
}

/// Uploads at once to a node that reads slowly.
#[derive(Clone, Copy, Debug)]
struct SlowUploads {
    memory_mb: usize,
    length: usize,
    /// Bytes that the node reads at a time, 50 times a second.
    piece_bytes: usize,
    /// Whether the node has read each body long before its client stops waiting.
    are_served: bool,
}

/// Each client has its answer by its time, counted from the moment at which its system took the last byte.
#[test]
fn an_upload_that_its_node_reads_slowly_is_answered_by_its_time() {
    const MIB: usize = 1 << 20;
    let case = |memory_mb, length, piece_bytes, are_served| SlowUploads {
        memory_mb,
        length,
        piece_bytes,
        are_served,
    };
    for case in [
        case(32, 12 * MIB, 1300, false),
        case(32, 4 * MIB, 1300, false),
        case(32, MIB, 8000, false),
        case(192, 12 * MIB, 1300, false),
        case(192, 2 * MIB, 400_000, true),
        case(32, MIB, 400_000, true),
    ] {
        play_slow_uploads(case);
    }
}

fn play_slow_uploads(case: SlowUploads) {
    const TIME_LEFT_S: f64 = 1.5;
    const UPLOADS: usize = 16;
    let node = slow_reading_node(case.piece_bytes, ALWAYS);
    let discovery = Discovery::start(&[entry("s-0", node, 0, "ready")]);
    let memory = format!("\"memory_mb\":{}", case.memory_mb);
    let head =
        Head::start_text(&config(&discovery, 1024, "null").replace("\"memory_mb\":192", &memory), None, &[]);
    thread::scope(|scope| {
        for _ in 0..UPLOADS {
            scope.spawn(|| {
                let mut client = Client::new(head.http);
                let request = Client::request("episode-save", "network", 1, TIME_LEFT_S, case.length);
                let is_written = client.try_send_all(&request, &vec![b'x'; case.length]);
                let written_at = Instant::now();
                let answer = client.answer();
                let waited = written_at.elapsed();
                let status = answer.map(|answer| answer.status());
                println!("{case:?}: {status:?} after {waited:?}");
                assert!(status.is_some() || !is_written, "{case:?}: no answer");
                assert!(
                    waited < Duration::from_secs_f64(TIME_LEFT_S) + LATE,
                    "{case:?}: {status:?} after {waited:?}"
                );
                assert!(!case.are_served || status == Some(200), "{case:?}: {status:?} after {waited:?}");
            });
        }
    });
}
