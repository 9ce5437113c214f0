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
