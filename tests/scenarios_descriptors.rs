//! Connections that carry no request fill the descriptors of a head: on no frontend may they cost a usual client the
//! answer to its request.

mod peers;

use peers::frames;
use peers::initiator::{Initiator, READ};
use peers::usual_clients::UsualClients;
use peers::*;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

/// The smallest number of descriptors of a head by the pages, and connections that are more than it.
const DESCRIPTORS: usize = 256;
const CONNECTIONS: usize = 300;
/// Usual clients beside them.
const CLIENTS: usize = 8;
/// How long the clients send before the connections come, and afterwards.
const BEFORE: Duration = Duration::from_millis(500);
const BESIDE: Duration = Duration::from_secs(4);
/// Within this time from connecting, a bad client is owed an error or a close.
const BAD_CLIENT_CLOSED: Duration = Duration::from_secs(3);

/// A head with a block frontend and HTTP/2, one node and its discovery.
struct Scene {
    head: Head,
    http2: SocketAddr,
    block: SocketAddr,
    discovery: Discovery,
}

impl Scene {
    /// A node that answers reads with 512 bytes, and the head.
    fn start(name: &str) -> Scene {
        let node = Brick::start(|_, _| Step::Serve(vec![7; 512]));
        Scene::with(name, &node, BLOCK, DESCRIPTORS)
    }

    fn with(name: &str, node: &Brick, block: &str, descriptors: usize) -> Scene {
        let discovery = Discovery::start(&[entry("s-1", node.address, 0, "ready")]);
        let path = std::env::temp_dir().join(format!("flaxgap-descriptors-{}-{name}", std::process::id()));
        std::fs::write(&path, "[http2]\nlisten = \"127.0.0.1:0\"\n").expect("written");
        let extra = [("FLAXGAP_OPS", path.to_str().expect("a path"))];
        let head = Head::start_with(&discovery, Some(block), &extra, descriptors, "null");
        std::fs::remove_file(path).expect("removed");
        let line = wait(|| head.logged("http2: listening on "));
        let http2 = line.rsplit(' ').next().and_then(|address| address.parse().ok()).expect("an address");
        let block = head.block.expect("the block frontend");
        Scene { head, http2, block, discovery }
    }

    /// Usual clients beside what `fill` opens, which stays open. All their requests have to be answered, and nothing of
    /// the platform's protocol allows to shut their new connections.
    fn assert_nothing_lost<C>(&self, fill: impl FnOnce(&Scene) -> C) {
        let clients = UsualClients::start(self.head.http, CLIENTS);
        thread::sleep(BEFORE);
        let filling = fill(self);
        thread::sleep(BESIDE);
        let outcomes = clients.stop();
        drop(filling);
        assert_eq!((outcomes.lost, outcomes.shut), (0, 0), "{outcomes:?}");
        assert!(outcomes.answered > CLIENTS * 10, "{outcomes:?}");
    }
}

/// Connections to `address` on which `bytes` are sent and nothing more.
fn stalled(address: SocketAddr, bytes: &[u8]) -> Vec<TcpStream> {
    let open = |_| {
        let mut stream = TcpStream::connect(address).expect("the head listens");
        // The head may close it at any time.
        let _ = stream.write_all(bytes);
        stream
    };
    (0..CONNECTIONS).map(open).collect()
}

/// A SCSI read of one block of the unit on plan `network`.
fn read_block(initiator: &mut Initiator) {
    initiator.request(0x01, 0x80 | READ, &[(8, 1 << 16), (20, 512), (32, 0x2800_0000), (40, 1 << 24)], &[]);
}

/// Guards against silent connections to the block frontend that hold all slots and cost HTTP clients their requests.
#[test]
fn silent_block_connections_cost_no_http_client_its_request() {
    let scene = Scene::start("block-silent");
    scene.assert_nothing_lost(|scene| stalled(scene.block, b""));
}

/// Guards against block connections in the middle of a login that hold all slots.
#[test]
fn block_connections_stalled_in_a_login_cost_no_http_client_its_request() {
    let scene = Scene::start("block-login");
    scene.assert_nothing_lost(|scene| stalled(scene.block, &[0x43, 0x87, 0, 0]));
}

/// Guards against a stalled login that is neither answered nor closed in the time that bad clients are owed.
#[test]
fn a_login_that_stalls_is_closed_in_time() {
    let scene = Scene::start("block-late");
    for bytes in [&b""[..], &[0x43, 0x87, 0, 0]] {
        let connected = Instant::now();
        let mut stream = TcpStream::connect(scene.block).expect("the head listens");
        stream.set_read_timeout(Some(WAIT_TIMEOUT)).expect("a time-out");
        stream.write_all(bytes).expect("written");
        assert_eq!(stream.read(&mut [0]).ok(), Some(0), "closed");
        assert!(connected.elapsed() < BAD_CLIENT_CLOSED, "{:?}", connected.elapsed());
    }
}

/// Guards against idle sessions that hold all slots, where the operator allows more sessions than there are.
#[test]
fn idle_block_sessions_cost_no_http_client_its_request() {
    let node = Brick::start(|_, _| Step::Serve(vec![7; 512]));
    let block = BLOCK.replace("max_sessions = 4", "max_sessions = 256");
    let scene = Scene::with("block-idle", &node, &block, DESCRIPTORS);
    scene.assert_nothing_lost(|scene| {
        let login = |number: usize| Initiator::try_login_as(scene.block, &format!("studio-{number}"));
        (0..CONNECTIONS).filter_map(login).collect::<Vec<Initiator>>()
    });
}

/// Guards against a session that is reclaimed under an open command.
#[test]
fn a_session_with_an_open_command_is_not_reclaimed() {
    let node =
        Brick::start(|_, _| Step::After(Duration::from_millis(800), Box::new(Step::Serve(vec![7; 512]))));
    let scene = Scene::with("block-command", &node, BLOCK, DESCRIPTORS);
    let mut initiator = Initiator::login(scene.block, "");
    read_block(&mut initiator);
    wait(|| (!node.seen().is_empty()).then_some(()));
    let filling = stalled(scene.block, b"");
    wait(|| (scene.head.counter("reclaimed") > 50).then_some(()));
    let data = initiator.receive();
    assert_eq!((data.header[0], data.data), (0x25, vec![7; 512]));
    assert_eq!(initiator.receive().status().0, 0, "GOOD");
    drop(filling);
}

/// Guards against silent connections to HTTP/2 that keep their descriptors after they were reclaimed.
#[test]
fn silent_http2_connections_cost_no_http_client_its_request() {
    let scene = Scene::start("http2-silent");
    scene.assert_nothing_lost(|scene| stalled(scene.http2, b""));
}

/// Guards against HTTP/2 connections without a stream that keep their descriptors after they were reclaimed.
#[test]
fn http2_connections_without_a_stream_cost_no_http_client_its_request() {
    let scene = Scene::start("http2-idle");
    let hello = [flaxgap_streams::frames::PREFACE, &frames::settings(&[])].concat();
    scene.assert_nothing_lost(|scene| stalled(scene.http2, &hello));
}

/// Guards against clients that stop in the middle of a head and stay.
#[test]
fn half_heads_cost_no_http_client_its_request() {
    let scene = Scene::start("half-heads");
    let head = Client::request("play-fetch", "network", 1, 2.0, 0);
    scene.assert_nothing_lost(|scene| stalled(scene.head.http, &head.as_bytes()[..head.len() / 2]));
}

/// Guards against clients that stop in the middle of a body and stay.
#[test]
fn half_bodies_cost_no_http_client_its_request() {
    let scene = Scene::start("half-bodies");
    let head = Client::request("episode-save", "network", 1, 2.0, 100);
    scene.assert_nothing_lost(|scene| stalled(scene.head.http, format!("{head}half").as_bytes()));
}

/// Guards against clients that keep their connection after an answer.
#[test]
fn idle_http_connections_cost_no_http_client_its_request() {
    let scene = Scene::start("http-idle");
    let request = b"GET /-/healthy HTTP/1.1\r\nHost: head\r\n\r\n";
    scene.assert_nothing_lost(|scene| stalled(scene.head.http, request));
}

/// Guards against streams whose windows never open and that hold, with a node's connection each, all slots.
#[test]
fn http2_streams_that_nobody_reads_cost_no_http_client_its_request() {
    const STREAMS: u32 = 128;
    let node = Brick::start(|_, message| match message.line.contains("long") {
        true => Step::Serve(vec![7; 400_000]),
        false => Step::Serve(vec![7; 512]),
    });
    let scene = Scene::with("http2-windows", &node, BLOCK, DESCRIPTORS);
    scene.assert_nothing_lost(|scene| {
        let connection = |_| {
            let mut raw = frames::Raw::new(scene.http2);
            for stream in 0..STREAMS {
                raw.send(&frames::read_of(2 * stream + 1, "long"));
            }
            raw
        };
        [(); 2].map(connection)
    });
}

/// Guards against silent connections to the operators' port that cost clients their requests, or operators theirs.
#[test]
fn silent_admin_connections_cost_nobody_an_answer() {
    let scene = Scene::start("ops-silent");
    scene.assert_nothing_lost(|scene| {
        let filling = stalled(scene.head.ops, b"");
        assert_eq!(call(scene.head.ops, "GET", "/ops/stats").0, 200);
        filling
    });
}

/// Guards against HTTP requests that hold all slots and leave none to an initiator.
#[test]
fn http_requests_that_fill_a_head_leave_the_block_frontend_its_floor() {
    const LOGIN_TIME: Duration = Duration::from_millis(500);
    let node = Brick::start(|_, message| match message.line.contains("slow") {
        true => Step::After(Duration::from_millis(1500), Box::new(Step::Serve(vec![7; 512]))),
        false => Step::Serve(vec![7; 512]),
    });
    let scene = Scene::with("http-busy", &node, BLOCK, DESCRIPTORS);
    let slow = || Client::request("play-fetch", "network", 1, 2.0, 0).replacen(" HTTP", "?slow HTTP", 1);
    let mut clients: Vec<Client> = (0..CONNECTIONS).map(|_| Client::new(scene.head.http)).collect();
    clients.iter_mut().for_each(|client| client.try_send(&slow()));
    wait(|| (scene.head.counter("slot_waits") > 0).then_some(()));
    let began = Instant::now();
    let mut initiator = Initiator::login(scene.block, "");
    assert!(began.elapsed() < LOGIN_TIME, "{:?}", began.elapsed());
    read_block(&mut initiator);
    assert!(initiator.next().is_some(), "the command gets an answer");
}

/// Guards against silent connections that cost requests while two processes have half of the descriptors each.
#[test]
fn silent_block_connections_during_an_upgrade_cost_no_http_client_its_request() {
    let scene = Scene::start("upgrade");
    let folder = scene.head.folder.to_str().expect("a path").to_owned();
    let mut newer = None;
    scene.assert_nothing_lost(|scene| {
        let silent = stalled(scene.block, b"");
        let config = config(&scene.discovery, DESCRIPTORS, "null");
        let process = Head::start_text(&config, Some(BLOCK), &[("TMPDIR", &folder)]);
        assert_eq!(process.http, scene.head.http, "both processes listen on the same socket");
        scene.head.signal("-TERM");
        newer = Some(process);
        silent
    });
}

/// Guards against a slow client that is taken for a stalled one: bytes keep coming while descriptors are short.
#[test]
fn a_slow_request_is_answered_while_descriptors_are_short() {
    let scene = Scene::start("slow-request");
    let filling = stalled(scene.head.http, b"GET /");
    let head = Client::request("episode-save", "network", 1, 2.0, 40);
    let mut stream = TcpStream::connect(scene.head.http).expect("the head listens");
    stream.set_read_timeout(Some(WAIT_TIMEOUT)).expect("a time-out");
    stream.set_nodelay(true).expect("no delay");
    for piece in [head.as_bytes(), &[7; 40]].concat().chunks(16) {
        stream.write_all(piece).expect("the connection stays open");
        thread::sleep(Duration::from_millis(30));
    }
    let answer = Message::read(&mut std::io::BufReader::new(stream)).expect("an answer");
    assert_eq!(answer.status(), 200);
    drop(filling);
}
