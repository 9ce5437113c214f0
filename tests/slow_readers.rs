//! Clients that read long answers slowly, and clients that have stopped.
//!
//! They guard against a head that takes a client whose socket takes no more bytes for one that reads nothing, and so cuts
//! off its answer, and against one that keeps the connections of clients that have really stopped.

mod peers;

use peers::usual_clients::UsualClients;
use peers::*;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

/// For how long clients read slowly: beyond the 10 s after which a client that has stopped is disconnected, counted from
/// when the socket's buffer is full.
const SLOW_TIME: Duration = Duration::from_secs(14);
/// Time-out of a client that has stopped reading (`docs/design.md`, "Constants").
const STALL_TIMEOUT: Duration = Duration::from_secs(10);
/// Time in which an answer fills the buffers of both systems, and between two looks of the head.
const FILLING_TIME: Duration = Duration::from_secs(2);
const MEGABYTE: usize = 1_000_000;

/// A node whose answers are as long as the number after `?` in the path says, in megabytes; others are short.
fn node() -> Brick {
    Brick::start(|_, message| {
        let length = message.line.split(['?', ' ']).nth(2).and_then(|length| length.parse::<usize>().ok());
        Step::Serve(vec![b'x'; length.map_or(5, |megabytes| megabytes * MEGABYTE)])
    })
}

/// How a client reads.
#[derive(Clone, Copy, Debug)]
struct Pace {
    /// Size of the socket's receive buffer, in bytes.
    receive_buffer: usize,
    /// Bytes that are read at a time.
    piece: usize,
    /// Time between two reads.
    pause: Duration,
}

impl Pace {
    const fn new(receive_buffer: usize, piece: usize, pause_ms: u64) -> Pace {
        Pace { receive_buffer, piece, pause: Duration::from_millis(pause_ms) }
    }

    fn connect(self, address: SocketAddr) -> TcpStream {
        let socket =
            socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).expect("a socket");
        socket.set_recv_buffer_size(self.receive_buffer).expect("a receive buffer");
        socket.connect(&address.into()).expect("connected");
        let stream = TcpStream::from(socket);
        stream.set_read_timeout(Some(WAIT_TIMEOUT)).expect("a time-out");
        stream
    }

    /// Reads at this pace for [`SLOW_TIME`], then at full speed until `is_whole` or the connection ends.
    fn read(self, stream: &mut TcpStream, is_whole: impl Fn(&[u8]) -> bool) -> Vec<u8> {
        let began = Instant::now();
        let mut bytes = Vec::new();
        let mut piece = vec![0; self.piece];
        while began.elapsed() < SLOW_TIME {
            if stream.read_exact(&mut piece).is_err() {
                return bytes;
            }
            bytes.extend_from_slice(&piece);
            thread::sleep(self.pause);
        }
        let mut rest = vec![0; MEGABYTE];
        while !is_whole(&bytes) {
            match stream.read(&mut rest) {
                Ok(count @ 1..) => bytes.extend_from_slice(&rest[..count]),
                _ => break,
            }
        }
        bytes
    }
}

fn fetch(megabytes: usize) -> String {
    Client::request("play-fetch", "network", 1, 2.0, 0)
        .replace(" HTTP/1.1", &format!("?{megabytes} HTTP/1.1"))
}

/// The length of the body that has arrived, and whether its head is that of a served request.
fn body_of(answer: &[u8]) -> Option<usize> {
    let head_length = answer.windows(4).position(|window| window == b"\r\n\r\n")? + 4;
    answer.starts_with(b"HTTP/1.1 200 ").then(|| answer.len() - head_length)
}

/// Guards against a time limit that looks at whether the socket takes bytes: with a send buffer of megabytes it does not
/// for over 10 s, although the client reads all the time.
#[test]
fn a_client_that_reads_slowly_but_steadily_gets_all_of_its_answer() {
    const FORMS: [(usize, Pace); 10] = [
        (6, Pace::new(4 << 10, 640, 10)),
        (6, Pace::new(4 << 10, 6_400, 100)),
        (6, Pace::new(64 << 10, 6_400, 100)),
        (6, Pace::new(64 << 10, 10_000, 100)),
        (32, Pace::new(64 << 10, 6_400, 100)),
        (6, Pace::new(1 << 20, 6_400, 100)),
        (32, Pace::new(1 << 20, 10_000, 100)),
        (6, Pace::new(64 << 10, 128_000, 2_000)),
        (32, Pace::new(1 << 20, 128_000, 2_000)),
        (1, Pace::new(64 << 10, 6_400, 100)),
    ];
    let node = node();
    let discovery = Discovery::start(&[entry("s-0", node.address, 0, "ready")]);
    let head = Head::start(&discovery, None, &[]);
    let http = head.http;
    let usual_clients = UsualClients::start(http, 4);
    thread::scope(|scope| {
        for (megabytes, pace) in FORMS {
            scope.spawn(move || {
                let mut stream = pace.connect(http);
                stream.write_all(fetch(megabytes).as_bytes()).expect("sent");
                let length = megabytes * MEGABYTE;
                let answer = pace.read(&mut stream, |answer| body_of(answer) == Some(length));
                assert_eq!(body_of(&answer), Some(length), "{megabytes} MB, {pace:?}");
            });
        }
    });
    let outcomes = usual_clients.stop();
    assert_eq!((outcomes.lost, outcomes.shut), (0, 0), "{outcomes:?}");
    assert_eq!(head.counter("stalled_readers"), 0);
}

/// Guards against the mend of the test above: a client that has stopped, or reads a little only to be kept, is
/// disconnected as soon as before, its descriptor and the connection to its node are given back, and it can tell that its
/// answer is not whole.
#[test]
fn a_client_that_has_stopped_reading_is_disconnected_in_time() {
    const CROWD: usize = 40;
    const ANSWER_MB: usize = 12;
    let node = node();
    let discovery = Discovery::start(&[entry("s-0", node.address, 0, "ready")]);
    let head = Head::start(&discovery, None, &[]);
    let pace = Pace::new(64 << 10, 0, 0);
    let began = Instant::now();
    let mut clients: Vec<TcpStream> = (0..CROWD).map(|_| pace.connect(head.http)).collect();
    for client in &mut clients {
        client.write_all(fetch(ANSWER_MB).as_bytes()).expect("sent");
    }
    // Half of them take a byte now and then.
    let (trickling, _stopped) = clients.split_at_mut(CROWD / 2);
    let disconnected = || head.counter("stalled_readers") >= CROWD as u64;
    while !disconnected() && began.elapsed() < WAIT_TIMEOUT {
        for client in &mut *trickling {
            let _ = client.read(&mut [0]);
        }
        thread::sleep(Duration::from_millis(300));
    }
    let took = began.elapsed();
    assert!(disconnected(), "{} of {CROWD} after {took:?}", head.counter("stalled_readers"));
    assert!(took < STALL_TIMEOUT + FILLING_TIME, "{took:?}");
    // The reset throws away what the systems still hold, so that none of it passes for the end of an answer.
    // The test's own calls take a descriptor, and a second while the one before closes.
    wait(|| (head.counter("slots_http") <= 2 && head.counter("slots_node") == 0).then_some(()));
    for mut client in clients {
        assert!(client.read_to_end(&mut Vec::new()).is_err(), "reset");
    }
}
