//! The gate, with its private parts.

use super::*;
use crate::metrics::counters::Counter;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

/// Guards against any order of news and steps of an attempt in which a first byte goes to a node that has left or moved:
/// orders drawn from seeds, each against what the last news said. What has begun goes on.
#[test]
fn in_no_order_of_news_and_steps_does_a_first_byte_go_to_a_node_that_left() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    runtime.block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address");
        let counters = Rc::new(Counters::default());
        let nodes = NodeTransport::new(
            DescriptorBudget::new(100, counters.clone()),
            BodyMemory::new(32),
            counters,
            5.0,
            15.0,
            1,
        );
        let node = NodeId(1);
        let (mut written, mut stopped) = (0, 0);
        for seed in 1..=300u64 {
            let mut state = seed.wrapping_mul(0x9E37_79B9_7F4A_7C15);
            let mut draw = |most: u64| {
                state ^= state << 13;
                state ^= state >> 7;
                state ^= state << 17;
                (state >> 11) % most
            };
            // Whether it takes work at its first address, as the last news had it.
            let mut news = |ready: &mut bool| {
                let kind = draw(5);
                let other = SocketAddr::from(([127, 0, 0, 2], address.port()));
                let place = |address, state| NodeAddress { name: "s-1".into(), address, state };
                match kind {
                    0 => nodes.forget(node),
                    1 => nodes.place(node, place(address, NodeState::Draining)),
                    2 => nodes.place(node, place(other, NodeState::Ready)),
                    _ => nodes.place(node, place(address, NodeState::Ready)),
                }
                *ready = kind > 2;
            };
            let mut ready = false;
            news(&mut ready);
            let at = nodes.pools.borrow().places.get(&node).map(|(place, _)| place.address);
            let (pools, counters) = (nodes.pools.clone(), nodes.counters.clone());
            let permit = Rc::new(SendPermit::expiring_at(Instant::now() + Duration::from_secs(60)));
            let gate = Gate { pools, counters, node, address: at, permit };
            if gate.admits(Stage::Chosen, None).is_err() || at != Some(address) {
                assert!(!ready, "seed {seed}");
                continue;
            }
            assert!(ready, "seed {seed}");
            news(&mut ready);
            let stream = TcpStream::connect(address).await.expect("a connection");
            let (mut peer, _) = listener.accept().await.expect("a connection");
            assert_eq!(gate.admits(Stage::Connected, None).is_ok(), ready, "seed {seed}");
            // Where the second look is missed, the third one holds.
            news(&mut ready);
            let progress = Rc::new(Progress::default());
            progress.restart(true, gate);
            let mut wire = Watched { stream, progress };
            let held_back = nodes.counters.held_back.get();
            let begins = wire.write_all(b"GET").await.is_ok();
            assert_eq!((begins, nodes.counters.held_back.get()), (ready, held_back + u64::from(!ready)));
            nodes.forget(node);
            assert_eq!(wire.write_all(b" /").await.is_ok(), ready, "seed {seed}");
            drop(wire);
            let mut seen = Vec::new();
            peer.read_to_end(&mut seen).await.expect("its end");
            assert_eq!(seen, if ready { b"GET /".as_slice() } else { b"" }, "seed {seed}");
            (written, stopped) = (written + u32::from(ready), stopped + u32::from(!ready));
        }
        assert!(written > 30 && stopped > 30, "{written} written, {stopped} stopped");
    });
}

/// A client that leaves, or that acts, at the very moment at which it is asked.
struct Asked<F>(RefCell<F>);

impl<F> std::fmt::Debug for Asked<F> {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Asked")
    }
}

impl<F: FnMut() -> bool> crate::core::Client for Asked<F> {
    fn is_connected(&self) -> bool {
        (self.0.borrow_mut())()
    }
}

fn read_of(id: &str) -> NodeRequest {
    let payload = crate::core::content::Payload::Buffered(Bytes::new());
    let (target, id) = ("/play-fetch/1/2".into(), Bytes::copy_from_slice(id.as_bytes()));
    NodeRequest { operation: Operation::Read, target, id, idempotency_key: None, payload }
}

fn nodes_at(address: SocketAddr) -> (Rc<NodeTransport>, Rc<Counters>) {
    let counters = Rc::new(Counters::default());
    let nodes = NodeTransport::new(
        DescriptorBudget::new(100, counters.clone()),
        BodyMemory::new(32),
        counters.clone(),
        5.0,
        15.0,
        1,
    );
    nodes.place(NodeId(1), NodeAddress { name: "s-1".into(), address, state: NodeState::Ready });
    (nodes, counters)
}

/// A connection stands, and before its first byte one thing of the permit changes, by orders drawn from seeds: no byte
/// is written, and the reason is counted; with nothing changed the request goes.
#[test]
fn in_no_order_does_a_first_byte_go_whose_permit_is_over() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    runtime.block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address");
        let (nodes, counters) = nodes_at(address);
        let names: [fn(&Counters) -> u64; 5] = [
            |_| 0,
            |c| c.held_back_deadline.get(),
            |c| c.held_back_window.get(),
            |c| c.held_back_end.get(),
            |c| c.held_back_client.get(),
        ];
        for seed in 0..200usize {
            let (change, before) = (seed % names.len(), seed % 2 == 0);
            let (now, far) = (Instant::now(), Instant::now() + Duration::from_secs(60));
            let gone = Rc::new(Cell::new(false));
            let leaves = gone.clone();
            let last = Rc::<crate::core::ShutdownDeadline>::default();
            let permit = Rc::new(SendPermit {
                expires_at: if change == 1 { now } else { far },
                retry_window_ends_at: Some(if change == 2 { now } else { far }),
                shutdown_deadline: last.clone(),
                client: Some(Rc::new(Asked(RefCell::new(move || !leaves.get())))),
                written: Cell::default(),
            });
            let happens = || match change {
                3 => last.set(now),
                4 => gone.set(true),
                _ => {}
            };
            if before {
                happens();
            }
            let (pools, counted) = (nodes.pools.clone(), names[change](&counters));
            let gate =
                Gate { pools, counters: counters.clone(), node: NodeId(1), address: Some(address), permit };
            assert_eq!(gate.admits(Stage::Connected, None), Ok(()), "asked when it counts");
            let stream = TcpStream::connect(address).await.expect("a connection");
            let (mut peer, _) = listener.accept().await.expect("a connection");
            let (progress, permit) = (Rc::new(Progress::default()), gate.permit.clone());
            progress.restart(true, gate);
            happens();
            let mut wire = Watched { stream, progress };
            let begun = wire.write_all(b"GET /").await.is_ok();
            let _ = wire.flush().await;
            drop(wire);
            let mut seen = Vec::new();
            peer.read_to_end(&mut seen).await.expect("its end");
            assert_eq!((begun, seen.len()), if change == 0 { (true, 5) } else { (false, 0) }, "seed {seed}");
            assert_eq!(names[change](&counters) - counted, u64::from(change != 0), "seed {seed}");
            let written = if change == 0 { WriteProgress::Complete } else { WriteProgress::Nothing };
            assert_eq!(permit.written.get(), written, "seed {seed}");
        }
    });
}

/// A connection rests, and something comes on it in the moment of its reuse, after the last look that the pool takes: a
/// second answer, half a line, its end. Nothing is written to it; the same attempt goes over another.
#[test]
fn what_comes_on_a_connection_in_the_moment_of_its_reuse_is_no_answer() {
    use std::io::{Read, Write};
    let second = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong";
    for unasked in [&second[..], &second[..9], b""] {
        let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address");
        let (accepted, streams) = std::sync::mpsc::channel();
        let seen = Arc::new(std::sync::Mutex::new(Vec::new()));
        let noted = seen.clone();
        std::thread::spawn(move || {
            for (number, stream) in listener.incoming().flatten().enumerate() {
                _ = accepted.send(stream.try_clone().expect("a handle"));
                let (mut stream, noted) = (stream, noted.clone());
                std::thread::spawn(move || {
                    let mut piece = [0; 1024];
                    while stream.read(&mut piece).is_ok_and(|some| some > 0) {
                        noted.lock().expect("seen").push(number);
                        _ = stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nright");
                    }
                });
            }
        });
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
        runtime.block_on(async {
            let (nodes, counters) = nodes_at(address);
            let far = Instant::now() + Duration::from_secs(60);
            let first = nodes.send(NodeId(1), &read_of("1"), &Rc::new(SendPermit::expiring_at(far))).await;
            assert_eq!((first.outcome, &first.body.buffered[..]), (AttemptOutcome::Ok, &b"right"[..]));
            let mut stream = streams.recv().expect("the first connection");
            tokio::time::sleep(REST * 2).await;
            let mut acts = 0;
            let act = Asked(RefCell::new(move || {
                acts += 1;
                if acts == 1 && unasked.is_empty() {
                    stream.shutdown(std::net::Shutdown::Write).expect("an end");
                } else if acts == 1 {
                    stream.write_all(unasked).expect("written");
                }
                true
            }));
            let permit = Rc::new(SendPermit { client: Some(Rc::new(act)), ..SendPermit::expiring_at(far) });
            let reply = nodes.send(NodeId(1), &read_of("2"), &permit).await;
            assert_eq!(
                (reply.outcome, &reply.body.buffered[..]),
                (AttemptOutcome::Ok, &b"right"[..]),
                "{unasked:?}"
            );
            assert_eq!((counters.held_back_connection.get(), counters.node_connections.get()), (1, 2));
        });
        assert_eq!(*seen.lock().expect("seen"), [0, 1], "{unasked:?}: one request on each");
    }
}

/// A second answer follows 5 ms after the first: neither a request at once nor one later gets it for its own.
#[test]
fn a_second_answer_some_milliseconds_late_is_nobodys() {
    use std::io::{Read, Write};
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    std::thread::spawn(move || {
        for (number, mut stream) in listener.incoming().flatten().enumerate() {
            std::thread::spawn(move || {
                let mut piece = [0; 1024];
                while stream.read(&mut piece).is_ok_and(|some| some > 0) {
                    _ = stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nright");
                    std::thread::sleep(Duration::from_millis(if number == 0 { 5 } else { 0 }));
                    if number == 0 {
                        _ = stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong");
                    }
                }
            });
        }
    });
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    runtime.block_on(async {
        let (nodes, counters) = nodes_at(address);
        let permit = || Rc::new(SendPermit::expiring_at(Instant::now() + Duration::from_secs(60)));
        for (id, rests) in [("1", 0), ("2", 60), ("3", 60)] {
            let reply = nodes.send(NodeId(1), &read_of(id), &permit()).await;
            assert_eq!(
                (reply.outcome, &reply.body.buffered[..]),
                (AttemptOutcome::Ok, &b"right"[..]),
                "request {id}"
            );
            tokio::time::sleep(Duration::from_millis(rests)).await;
        }
        assert_eq!(counters.node_connections.get(), 2, "the first carries no further request");
    });
}

/// Where no connection comes up: a listener whose queue is full, and what fills it, both to be kept.
async fn full() -> (SocketAddr, (TcpListener, Vec<TcpStream>)) {
    let socket = tokio::net::TcpSocket::new_v4().expect("a socket");
    socket.bind(([127, 0, 0, 1], 0).into()).expect("a port");
    let listener = socket.listen(1).expect("a listener");
    let address = listener.local_addr().expect("an address");
    let mut queued = Vec::new();
    while let Ok(Ok(stream)) = timeout_at(Instant::now() + REST * 10, TcpStream::connect(address)).await {
        queued.push(stream);
        assert!(queued.len() < 64, "the queue never fills");
    }
    (address, (listener, queued))
}

/// An attempt is called off before, in and after the writing of its request: what was written is known once its
/// future is dropped, and its node sees the connection's end there and then.
#[test]
fn of_an_attempt_that_is_called_off_it_is_known_what_was_written() {
    use crate::core::content::Payload;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    runtime.block_on(async {
        for (length, expected) in [(10usize, WriteProgress::Complete), (32 << 20, WriteProgress::Partial)] {
            let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
            let (nodes, _) = nodes_at(listener.local_addr().expect("an address"));
            let permit = Rc::new(SendPermit::expiring_at(Instant::now() + Duration::from_secs(60)));
            let envelope = NodeRequest {
                operation: Operation::Write,
                payload: Payload::Buffered(vec![0; length].into()),
                ..read_of("1")
            };
            let mut sending = Box::pin(nodes.send(NodeId(1), &envelope, &permit));
            let mut peer = tokio::select! {
                reply = sending.as_mut() => panic!("{:?}", reply.outcome),
                peer = async {
                    let (mut peer, _) = listener.accept().await.expect("a connection");
                    // Its first bytes have come, and all that the system takes is on its way.
                    peer.read_exact(&mut [0; 4]).await.expect("bytes");
                    tokio::time::sleep(Duration::from_millis(50)).await;
                    peer
                } => peer,
            };
            drop(sending);
            assert_eq!(permit.written.get(), expected);
            let mut rest = Vec::new();
            _ = tokio::time::timeout(Duration::from_secs(5), peer.read_to_end(&mut rest))
                .await
                .expect("its end");
        }
        let (address, _full) = full().await;
        let (nodes, _) = nodes_at(address);
        let permit = Rc::new(SendPermit::expiring_at(Instant::now() + Duration::from_secs(60)));
        let envelope = read_of("1");
        let sending = nodes.send(NodeId(1), &envelope, &permit);
        assert!(timeout_at(Instant::now() + REST, sending).await.is_err(), "it is not up");
        assert_eq!(permit.written.get(), WriteProgress::Nothing);
    });
}

/// A connection that is not up when the retry window closes, or the head's last moment comes, is not waited for any
/// longer, and the node is not blamed for it.
#[test]
fn a_connect_is_not_waited_for_past_the_window_or_the_end() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    runtime.block_on(async {
        let (address, _full) = full().await;
        let (nodes, counters) = nodes_at(address);
        for (window, last) in [(true, false), (false, true)] {
            let (now, far) = (Instant::now(), Instant::now() + Duration::from_secs(60));
            let soon = Some(now + REST * 2);
            let permit =
                SendPermit { retry_window_ends_at: soon.filter(|_| window), ..SendPermit::expiring_at(far) };
            if let Some(soon) = soon.filter(|_| last) {
                permit.shutdown_deadline.set(soon);
            }
            let reply = nodes.send(NodeId(1), &read_of("1"), &Rc::new(permit)).await;
            assert_eq!(reply.outcome, AttemptOutcome::NotSent);
            assert!(now.elapsed() < Duration::from_secs(3), "{:?}", now.elapsed());
        }
        let reply = nodes
            .send(NodeId(1), &read_of("1"), &Rc::new(SendPermit::expiring_at(Instant::now() + REST)))
            .await;
        assert_eq!(reply.outcome, AttemptOutcome::ConnectFailed, "its time was over, and it never came up");
        let counted = [&counters.held_back_window, &counters.held_back_end, &counters.held_back_deadline];
        assert_eq!(counted.map(Counter::get), [1, 1, 1]);
    });
}
