//! Tests of this module's private parts.

use super::*;
use http_body_util::Full;
use hyper::body::Frame;
use std::pin::Pin;
use std::task::{Context, Poll};

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

/// Guards against bodies that take the memory together though each is within bounds: past the limit no
/// more is gathered than the piece at hand.
#[test]
fn bodies_share_the_memory_and_give_their_part_back() {
    let runtime = tokio::runtime::Builder::new_current_thread().build().expect("a runtime");
    let (memory, body) = (BodyMemory::new(32), |length: usize| Full::new(Bytes::from(vec![1; length])));
    runtime.block_on(async {
        let gather = async |length| memory.gather(&mut body(length), 1 << 20, None).await;
        assert!(matches!(gather(34 << 20).await, Err(BodyError::TooLong)));
        let mut held = Vec::new();
        for _ in 0..4 {
            held.push(gather(3 << 20).await.expect("room"));
        }
        assert!(held.iter().take(3).all(|gathered| gathered.is_complete));
        let two = async || memory.gather(&mut Chunks(vec!["b", "a"]), 1 << 20, None).await.expect("some");
        let short = two().await;
        assert_eq!((&short.bytes[..], short.is_complete), (&b"a"[..], false), "the rest stays where it is");
        held.clear();
        let all = two().await;
        assert_eq!((&all.bytes[..], all.is_complete), (&b"ab"[..], true), "room again");
    });
}

/// Polls a future once.
fn poll_once<F: Future>(future: std::pin::Pin<&mut F>) -> std::task::Poll<F::Output> {
    future.poll(&mut std::task::Context::from_waker(std::task::Waker::noop()))
}

/// Given memory that is all held, when two bodies ask for some, then one gets a quarter of the limit beyond it, and the
/// other waits until that is given back or memory is free; what a reservation is shrunk by is free at once.
#[test]
fn one_reservation_goes_beyond_a_full_memory_and_the_next_waits() {
    let memory = BodyMemory::new(0);
    let limit = memory.limit_bytes();
    let held = [0; 2].map(|_| memory.try_reserve(limit).expect("half of the limit"));
    assert!(memory.try_reserve(1).is_none());
    assert!(memory.try_reserve_spare(1).is_none());
    let mut first = std::pin::pin!(memory.reserve(limit));
    let std::task::Poll::Ready(mut first) = poll_once(first.as_mut()) else { panic!("it overdraws") };
    assert_eq!(first.bytes(), limit / 4);
    let mut second = std::pin::pin!(memory.reserve(10));
    assert!(poll_once(second.as_mut()).is_pending());
    first.shrink_to(5);
    assert!(poll_once(second.as_mut()).is_pending(), "the overdraft is still held");
    drop(first);
    let std::task::Poll::Ready(second) = poll_once(second.as_mut()) else { panic!("it has its turn") };
    assert_eq!(second.bytes(), 10);
    drop((second, held));
    assert_eq!(memory.used_fraction(), 0.0);
}

/// Given memory of which half is held, when work that can do without asks for some, then it gets none, and other work does.
#[test]
fn spare_memory_is_the_first_half() {
    let memory = BodyMemory::new(0);
    let _held = memory.try_reserve(memory.limit_bytes() / 2).expect("half");
    assert!(memory.try_reserve_spare(1).is_none());
    assert!(memory.try_reserve(1).is_some());
}
