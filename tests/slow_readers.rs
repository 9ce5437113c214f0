//! Clients that read long answers slowly, and clients that have stopped.
//!
//! They guard against a head that takes a client whose socket takes no more bytes for one that reads nothing, and so cuts
//! off its answer, and against one that keeps the connections of clients that have really stopped.

mod peers;

use flaxgap_streams::frames::{PREFACE, flag, kind};
use peers::frames;
use peers::initiator::Initiator;
use peers::usual_clients::UsualClients;
use peers::*;
use std::collections::BTreeMap;
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
/// Rate of the slowest clients, in bytes per second.
const SLOW_RATE: u32 = 64_000;
/// Opcode of a Data-In PDU.
const DATA_IN: u8 = 0x25;
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
    const FORMS: [(usize, Pace); 11] = [
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
        // The head closes the connection while the system still holds most of the answer.
        (3, Pace::new(64 << 10, 6_400, 100)),
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

/// Guards against an end of the process, at a restart or after an upgrade, that throws away what the system holds of an
/// answer.
#[test]
fn an_answer_that_the_system_holds_outlives_the_process() {
    const ANSWER_MB: usize = 3;
    let node = node();
    let discovery = Discovery::start(&[entry("s-0", node.address, 0, "ready")]);
    let mut head = Head::start(&discovery, None, &[]);
    let pace = Pace::new(64 << 10, 6_400, 100);
    let mut stream = pace.connect(head.http);
    stream.write_all(fetch(ANSWER_MB).as_bytes()).expect("sent");
    wait(|| (head.counter("served") == 1).then_some(()));
    head.signal("-TERM");
    assert!(head.ended());
    let length = ANSWER_MB * MEGABYTE;
    let answer = pace.read(&mut stream, |answer| body_of(answer) == Some(length));
    assert_eq!(body_of(&answer), Some(length));
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

/// What a server has sent over HTTP/2.
#[derive(Debug, Default)]
struct Received {
    /// Bytes that are no whole frame yet.
    partial: Vec<u8>,
    /// Number of bytes of data, by stream.
    data: BTreeMap<u32, usize>,
    /// Streams whose answers are whole.
    ended: Vec<u32>,
    /// Streams that the server has reset.
    reset: Vec<u32>,
}

impl Received {
    /// Reads further frames; returns the length of the data that each stream got.
    fn read(&mut self, bytes: &[u8]) -> Vec<(u32, usize)> {
        const HEADER_LENGTH: usize = 9;
        self.partial.extend_from_slice(bytes);
        let mut got = Vec::new();
        let mut place = 0;
        while let Some(header) = self.partial.get(place..place + HEADER_LENGTH) {
            let length = u32::from_be_bytes([0, header[0], header[1], header[2]]) as usize;
            let (kind, flags) = (header[3], header[4]);
            let stream = u32::from_be_bytes([header[5], header[6], header[7], header[8]]);
            if self.partial.len() < place + HEADER_LENGTH + length {
                break;
            }
            place += HEADER_LENGTH + length;
            match kind {
                kind::DATA => {
                    *self.data.entry(stream).or_default() += length;
                    got.push((stream, length));
                    if flags & flag::END_STREAM != 0 {
                        self.ended.push(stream);
                    }
                }
                kind::RST_STREAM => self.reset.push(stream),
                _ => {}
            }
        }
        self.partial.drain(..place);
        got
    }
}

/// What windows a client of HTTP/2 grants.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Windows {
    /// As large as the protocol allows, so that the connection alone holds back the answers.
    Largest,
    /// Those of the protocol's defaults, granted again as the data are read, so that the streams share 64 KiB.
    Default,
}

impl Windows {
    /// What a client with these windows sends first.
    fn beginning(self) -> Vec<u8> {
        const INITIAL_WINDOW_SIZE: u16 = 4;
        const MAX_WINDOW: u32 = i32::MAX as u32;
        const DEFAULT_WINDOW: u32 = 65_535;
        let settings = match self {
            Windows::Largest => frames::settings(&[(INITIAL_WINDOW_SIZE, MAX_WINDOW)]),
            Windows::Default => frames::settings(&[]),
        };
        let window = match self {
            Windows::Largest => frames::update(0, MAX_WINDOW - DEFAULT_WINDOW),
            Windows::Default => Vec::new(),
        };
        [PREFACE, &settings, &window].concat()
    }
}

/// Starts a head that serves HTTP/2 at the returned address. `name` tells its file from those of other tests.
fn start_http2(node: &Brick, name: &str) -> (Discovery, Head, SocketAddr) {
    let discovery = Discovery::start(&[entry("s-0", node.address, 0, "ready")]);
    let path = std::env::temp_dir().join(format!("flaxgap-slow-readers-{}-{name}", std::process::id()));
    std::fs::write(&path, "[http2]\nlisten = \"127.0.0.1:0\"\n").expect("written");
    let head = Head::start(&discovery, None, &[("FLAXGAP_OPS", path.to_str().expect("a path"))]);
    let address = head.address("http2: listening on ");
    std::fs::remove_file(path).expect("removed");
    (discovery, head, address)
}

/// Reads several answers on one connection at 64 kB/s for [`SLOW_TIME`], then at full speed. All have to be whole.
fn read_streams_slowly(windows: Windows) {
    const STREAMS: [u32; 6] = [1, 3, 5, 7, 9, 11];
    const ANSWER_MB: usize = 2;
    const PIECE: usize = 6_400;
    let node = node();
    let (_discovery, head, address) = start_http2(&node, &format!("{windows:?}"));
    let mut stream = Pace::new(64 << 10, PIECE, 100).connect(address);
    stream.write_all(&windows.beginning()).expect("sent");
    for number in STREAMS {
        stream.write_all(&frames::read_of(number, &ANSWER_MB.to_string())).expect("sent");
    }
    let mut received = Received::default();
    let mut bytes = vec![0; MEGABYTE];
    let began = Instant::now();
    while received.ended.len() < STREAMS.len() && received.reset.is_empty() {
        let is_slow = began.elapsed() < SLOW_TIME;
        let wanted = if is_slow { PIECE } else { bytes.len() };
        let count = stream.read(&mut bytes[..wanted]).unwrap_or(0);
        assert!(count > 0, "the connection has ended: {:?}", received.data);
        for (number, length) in received.read(&bytes[..count]) {
            if windows == Windows::Default && length > 0 {
                let more = length as u32;
                let updates = [frames::update(0, more), frames::update(number, more)].concat();
                stream.write_all(&updates).expect("sent");
            }
        }
        if is_slow {
            thread::sleep(Duration::from_secs(1) * count as u32 / SLOW_RATE);
        }
    }
    assert_eq!(received.reset, [0; 0], "{:?}", received.data);
    let is_whole = |length: &usize| *length == ANSWER_MB * MEGABYTE;
    assert!(received.data.values().all(is_whole), "{:?}", received.data);
    assert_eq!(head.counter("http2_stalled"), 0);
}

/// Guards against the same over HTTP/2, where several answers share a connection: none is reset because the socket takes
/// no bytes, or because others have the turn.
#[test]
fn streams_of_a_client_that_reads_slowly_are_all_sent_to_their_ends() {
    read_streams_slowly(Windows::Largest);
}

/// Guards against a stream that is reset since the others of its connection use up the window that they share.
#[test]
fn streams_that_share_a_small_window_are_all_sent_to_their_ends() {
    read_streams_slowly(Windows::Default);
}

/// Guards against the mend of the tests above: the streams of a client that reads nothing, or grants no window, are reset
/// as soon as before, and the connections to their nodes are given back.
#[test]
fn streams_of_a_client_that_has_stopped_are_reset_in_time() {
    const STREAMS: [u32; 3] = [1, 3, 5];
    let node = node();
    let (_discovery, head, address) = start_http2(&node, "stopped");
    let clients = [Windows::Largest, Windows::Default].map(|windows| {
        let mut stream = Pace::new(64 << 10, 0, 0).connect(address);
        stream.write_all(&windows.beginning()).expect("sent");
        for number in STREAMS {
            stream.write_all(&frames::read_of(number, "12")).expect("sent");
        }
        stream
    });
    let began = Instant::now();
    let stopped_streams = (clients.len() * STREAMS.len()) as u64;
    wait(|| (head.counter("http2_stalled") == stopped_streams).then_some(()));
    let took = began.elapsed();
    assert!(took < STALL_TIMEOUT + FILLING_TIME, "{took:?}");
    wait(|| (head.counter("in_flight") == 0 && head.counter("slots_node") == 0).then_some(()));
}

/// Number of reads that a session may have open, and blocks of each: twice what the systems' buffers hold.
const BLOCK_READS: u32 = 128;
const BLOCKS_OF_A_READ: u16 = 128;
const BYTES_OF_A_READ: usize = BLOCKS_OF_A_READ as usize * 512;

/// Starts a head whose block frontend takes all of these reads at once, and an initiator that asks for them.
fn start_block_reads() -> (Discovery, Head, Initiator) {
    const UNLIMITED_PLAN: &str = "\"base_rate\":40000.0,\"name\":\"network\",\"reserve\":40000.0";
    let node = Brick::start(|_, _| Step::Serve(vec![7; BYTES_OF_A_READ]));
    let discovery = Discovery::start(&[entry("s-0", node.address, 0, "ready")]);
    let text = config(&discovery, 1024, "null")
        .replace("\"base_rate\":400.0,\"name\":\"network\",\"reserve\":400.0", UNLIMITED_PLAN);
    let block = BLOCK.replace("queue_depth = 8", &format!("queue_depth = {BLOCK_READS}"));
    let head = Head::start_text(&text, Some(&block), &[]);
    let mut initiator = Initiator::login(head.block.expect("it is on"), "");
    initiator.limit_receive_buffer(64 << 10);
    for _ in 0..BLOCK_READS {
        initiator.read(1, 0, BLOCKS_OF_A_READ);
    }
    (discovery, head, initiator)
}

/// Guards against a limit on the time of a write that counts no progress: the data of a read lie behind megabytes of
/// earlier ones that the initiator is reading.
#[test]
fn an_initiator_that_reads_slowly_gets_the_data_of_all_its_reads() {
    let (_discovery, head, mut initiator) = start_block_reads();
    let began = Instant::now();
    let mut good = 0;
    let mut length = 0;
    for _ in 0..BLOCK_READS {
        loop {
            let pdu = initiator.receive();
            length += pdu.data.len();
            if began.elapsed() < SLOW_TIME {
                thread::sleep(Duration::from_secs(1) * pdu.data.len() as u32 / SLOW_RATE);
            }
            if pdu.header[0] != DATA_IN {
                good += u32::from(pdu.status().0 == 0);
                break;
            }
        }
    }
    assert_eq!((good, length), (BLOCK_READS, BLOCK_READS as usize * BYTES_OF_A_READ));
    assert_eq!(head.counter("stalled_readers"), 0);
}

/// Guards against the mend of the test above: the session of an initiator that has stopped ends as soon as before.
#[test]
fn the_session_of_an_initiator_that_has_stopped_reading_ends_in_time() {
    let (_discovery, head, _initiator) = start_block_reads();
    let began = Instant::now();
    wait(|| (head.counter("stalled_readers") == 1).then_some(()));
    let took = began.elapsed();
    assert!(took < STALL_TIMEOUT + FILLING_TIME, "{took:?}");
    wait(|| (head.counter("in_flight") == 0).then_some(()));
}
