//! Attempts that are cancelled, or whose connection is not established in time.

use super::*;
use crate::core::{SendPermit, Transport, WriteProgress};
use crate::node::limits::REUSE_DELAY;
use crate::scheduler::AttemptOutcome;
use tokio::io::AsyncReadExt;
use tokio::time::timeout_at;

/// A listener whose accept queue is full, so that no further connection to it is established.
struct FullListener {
    address: SocketAddr,
    _listener: TcpListener,
    _queued: Vec<TcpStream>,
}

impl FullListener {
    async fn start() -> FullListener {
        let socket = tokio::net::TcpSocket::new_v4().expect("failed to create a socket");
        socket.bind(([127, 0, 0, 1], 0).into()).expect("failed to bind a port");
        let listener = socket.listen(1).expect("failed to listen");
        let address = listener.local_addr().expect("no local address");
        let mut queued = Vec::new();
        while let Ok(Ok(stream)) =
            timeout_at(Instant::now() + REUSE_DELAY * 10, TcpStream::connect(address)).await
        {
            queued.push(stream);
            assert!(queued.len() < 64, "the accept queue does not fill up");
        }
        FullListener { address, _listener: listener, _queued: queued }
    }
}

/// Guards against an attempt that is cancelled after part or all of its request was written: the permit must hold how
/// much, and the node must receive the connection's end.
#[test]
fn a_cancelled_attempt_closes_its_connection_and_records_what_was_written() {
    run(async {
        let cases = [(10usize, WriteProgress::Complete), (32 << 20, WriteProgress::Partial)];
        for (body_length, expected) in cases {
            let (listener, address) = listen().await;
            let (transport, _) = transport_to(address);
            let permit = Rc::new(SendPermit::expiring_at(far_future()));
            let request = NodeRequest {
                operation: Operation::Write,
                payload: Payload::Buffered(vec![0; body_length].into()),
                ..read_request("1")
            };
            let mut sending = Box::pin(transport.send(NODE, &request, &permit));
            let mut node_side = tokio::select! {
                result = sending.as_mut() => panic!("{:?}", result.outcome),
                node_side = async {
                    let (mut node_side, _) = listener.accept().await.expect("connection failed");
                    // The first bytes have arrived; the pause lets the head fill the socket buffers.
                    node_side.read_exact(&mut [0; 4]).await.expect("no bytes received");
                    tokio::time::sleep(Duration::from_millis(50)).await;
                    node_side
                } => node_side,
            };
            drop(sending);
            assert_eq!(permit.written.get(), expected);
            let mut rest = Vec::new();
            let end = tokio::time::timeout(Duration::from_secs(5), node_side.read_to_end(&mut rest));
            _ = end.await.expect("connection did not end");
        }
    });
}

#[test]
fn an_attempt_cancelled_while_connecting_records_that_nothing_was_written() {
    run(async {
        let full = FullListener::start().await;
        let (transport, _) = transport_to(full.address);
        let permit = Rc::new(SendPermit::expiring_at(far_future()));
        let request = read_request("1");
        let sending = transport.send(NODE, &request, &permit);
        assert!(
            timeout_at(Instant::now() + REUSE_DELAY, sending).await.is_err(),
            "the connection was established"
        );
        assert_eq!(permit.written.get(), WriteProgress::Nothing);
    });
}

/// Guards against connecting beyond the end of the retry window or the shutdown deadline; neither may count as a failed
/// connection of the node.
#[test]
fn connecting_ends_with_the_retry_window_and_the_shutdown_deadline() {
    run(async {
        let full = FullListener::start().await;
        let (transport, counters) = transport_to(full.address);
        for (window_ends, shutdown) in [(true, false), (false, true)] {
            let started = Instant::now();
            let soon = started + REUSE_DELAY * 2;
            let permit = SendPermit {
                retry_window_ends_at: window_ends.then_some(soon),
                ..SendPermit::expiring_at(far_future())
            };
            if shutdown {
                permit.shutdown_deadline.set(soon);
            }
            let result = transport.send(NODE, &read_request("1"), &Rc::new(permit)).await;
            assert_eq!(result.outcome, AttemptOutcome::NotSent);
            assert!(started.elapsed() < Duration::from_secs(3), "{:?}", started.elapsed());
        }
        let permit = Rc::new(SendPermit::expiring_at(Instant::now() + REUSE_DELAY));
        let result = transport.send(NODE, &read_request("1"), &permit).await;
        assert_eq!(result.outcome, AttemptOutcome::ConnectFailed, "the deadline passed while connecting");
        assert_eq!(counters.held_back_window.get(), 1);
        assert_eq!(counters.held_back_end.get(), 1);
        assert_eq!(counters.held_back_deadline.get(), 1);
    });
}
