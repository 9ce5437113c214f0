//! Unit tests of the memory budget.

use super::*;
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::{Body, Frame};
use std::pin::Pin;
use std::task::{Context, Poll};

/// Size of the reservations that fill the memory for bodies, in bytes.
const FRAME_STEP_BYTES: usize = 16 * 1024;

/// A body that yields the strings as frames, the last one first.
struct Chunks(Vec<&'static str>);

impl Body for Chunks {
    type Data = Bytes;
    type Error = std::convert::Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Self::Error>>> {
        Poll::Ready(self.0.pop().map(|text| Ok(Frame::data(text.into()))))
    }
}

/// Guards against bodies that are each within the length limit and together exhaust the memory, and against buffers
/// that are larger than what they hold: nothing is received for which no memory is reserved.
#[test]
fn bodies_share_the_memory_limit_and_release_their_memory() {
    const FRAME: &str = match std::str::from_utf8(&[b'x'; 16 * 1024]) {
        Ok(frame) => frame,
        Err(_) => panic!("not text"),
    };
    let runtime = tokio::runtime::Builder::new_current_thread().build().expect("failed to build the runtime");
    let memory = MemoryBudget::new(32);
    let limit = memory.bodies_limit_bytes();
    runtime.block_on(async {
        let too_long = memory.gather(&mut Full::new(Bytes::from(vec![1; 34 << 20])), 1 << 20, None).await;
        assert!(matches!(too_long, Err(BodyError::TooLong)));
        let gather = async |frames: Vec<&'static str>| {
            memory.gather(&mut Chunks(frames), 1 << 20, None).await.expect("not received")
        };
        let mut held = Vec::new();
        loop {
            let gathered = gather(vec![FRAME; 20]).await;
            if gathered.bytes.is_empty() {
                assert!(!gathered.is_complete, "without memory, all of it stays in the body");
                break;
            }
            held.push(gathered);
            let received: usize = held.iter().map(|gathered| gathered.bytes.len()).sum();
            assert!(received <= memory.usage().body_bytes && memory.usage().body_bytes <= limit);
        }
        assert!(held.iter().take(3).all(|gathered| gathered.is_complete));
        drop(held);
        assert_eq!(memory.usage().body_bytes, 0);
        let complete = gather(vec!["b", "a"]).await;
        assert_eq!(
            (&complete.bytes[..], complete.is_complete),
            (&b"ab"[..], true),
            "the memory is free again"
        );
    });
}

/// Guards against requests that leave no memory for the connections to nodes that they need, and against bodies that
/// leave none for requests.
#[test]
fn bodies_leave_memory_for_requests_and_requests_for_connections_to_nodes() {
    let memory = MemoryBudget::new(32);
    let step = FRAME_STEP_BYTES;
    let bodies: Vec<MemoryReservation> = std::iter::from_fn(|| memory.try_reserve_buffer(step)).collect();
    let requests: Vec<MemoryReservation> = std::iter::from_fn(|| memory.try_reserve_request()).collect();
    let connections: Vec<MemoryReservation> =
        std::iter::from_fn(|| memory.try_reserve_node_connection()).collect();
    assert!(bodies.len() > 100 && requests.len() > 50 && connections.len() > 50);
    assert!(memory.usage().body_bytes + memory.usage().exchange_bytes <= memory.limit_bytes());
    drop((bodies, requests, connections));
    assert_eq!(memory.used_fraction(), 0.0);
}

/// Polls a future once.
fn poll_once<F: Future>(future: std::pin::Pin<&mut F>) -> std::task::Poll<F::Output> {
    future.poll(&mut std::task::Context::from_waker(std::task::Waker::noop()))
}

/// Guards against a deadlock of bodies that together hold all memory and wait for more: one of two reservations gets a
/// quarter of the limit as an overdraft, and the other waits until the overdraft is released or memory is free.
/// Shrinking a reservation does not release the overdraft.
#[test]
fn one_reservation_overdraws_used_up_memory_and_the_next_waits() {
    let memory = MemoryBudget::new(0);
    let limit = memory.bodies_limit_bytes();
    let held = [0; 2].map(|_| memory.try_reserve(limit).expect("half of the limit not reserved"));
    assert!(memory.try_reserve(1).is_none());
    assert!(memory.try_reserve_spare(1).is_none());
    let mut first = std::pin::pin!(memory.reserve(limit));
    let std::task::Poll::Ready(mut first) = poll_once(first.as_mut()) else {
        panic!("the first reservation waits")
    };
    assert_eq!(first.bytes(), limit / 4);
    let mut second = std::pin::pin!(memory.reserve(10));
    assert!(poll_once(second.as_mut()).is_pending());
    first.shrink_to(5);
    assert!(poll_once(second.as_mut()).is_pending(), "the overdraft is still held");
    drop(first);
    let std::task::Poll::Ready(second) = poll_once(second.as_mut()) else {
        panic!("the second reservation still waits")
    };
    assert_eq!(second.bytes(), 10);
    drop((second, held));
    assert_eq!(memory.used_fraction(), 0.0);
}

/// Guards against optional work that uses memory needed by other work: with half of the limit in use, a spare
/// reservation fails and an ordinary one succeeds.
#[test]
fn spare_reservations_use_only_half_of_the_limit() {
    let memory = MemoryBudget::new(0);
    let _held = memory.try_reserve(memory.bodies_limit_bytes() / 2).expect("half of the limit not reserved");
    assert!(memory.try_reserve_spare(1).is_none());
    assert!(memory.try_reserve(1).is_some());
}
