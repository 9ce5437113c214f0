//! Unit tests of the memory budget.

use super::*;
use http_body_util::Full;
use hyper::body::Frame;
use std::pin::Pin;
use std::task::{Context, Poll};

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

/// Guards against bodies that are each within the length limit and together exhaust the memory: once the memory limit
/// is exceeded, no chunk after the current one is received.
#[test]
fn bodies_share_the_memory_limit_and_release_their_memory() {
    let runtime = tokio::runtime::Builder::new_current_thread().build().expect("failed to build the runtime");
    let (memory, body) = (BodyMemory::new(32), |length: usize| Full::new(Bytes::from(vec![1; length])));
    runtime.block_on(async {
        let gather = async |length| memory.gather(&mut body(length), 1 << 20, None).await;
        assert!(matches!(gather(34 << 20).await, Err(BodyError::TooLong)));
        let mut held = Vec::new();
        for _ in 0..4 {
            held.push(gather(3 << 20).await.expect("body not received"));
        }
        assert!(held.iter().take(3).all(|gathered| gathered.is_complete));
        let gather_two_chunks = async || {
            memory.gather(&mut Chunks(vec!["b", "a"]), 1 << 20, None).await.expect("chunks not received")
        };
        let short = gather_two_chunks().await;
        assert_eq!((&short.bytes[..], short.is_complete), (&b"a"[..], false), "the rest stays in the body");
        held.clear();
        let complete = gather_two_chunks().await;
        assert_eq!(
            (&complete.bytes[..], complete.is_complete),
            (&b"ab"[..], true),
            "the memory is free again"
        );
    });
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
    let memory = BodyMemory::new(0);
    let limit = memory.limit_bytes();
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
    let memory = BodyMemory::new(0);
    let _held = memory.try_reserve(memory.limit_bytes() / 2).expect("half of the limit not reserved");
    assert!(memory.try_reserve_spare(1).is_none());
    assert!(memory.try_reserve(1).is_some());
}
