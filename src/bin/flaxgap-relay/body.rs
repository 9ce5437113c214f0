//! The bodies of a relay's answers: a text, or what a session sends.

use crate::counters::Counters;
use crate::session::Session;
use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};

/// What is left to send.
enum Rest {
    Text(Option<Bytes>),
    Session(Rc<Session>),
}

/// A body that counts what the connection takes of it.
pub struct AnswerBody {
    rest: Rest,
    counters: Rc<Counters>,
}

impl AnswerBody {
    /// A text as a whole.
    pub fn text(text: impl Into<Bytes>, counters: Rc<Counters>) -> AnswerBody {
        let text = Some(text.into()).filter(|text| !text.is_empty());
        AnswerBody { rest: Rest::Text(text), counters }
    }

    /// What a session sends.
    pub fn session(session: Rc<Session>, counters: Rc<Counters>) -> AnswerBody {
        AnswerBody { rest: Rest::Session(session), counters }
    }
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        let next = match &mut self.rest {
            Rest::Text(text) => text.take().map(Ok),
            Rest::Session(session) => ready!(session.poll_next(context)),
        };
        if let Some(Ok(bytes)) = &next {
            self.counters.bytes_sent.add(bytes.len() as u64);
        }
        Poll::Ready(next.map(|bytes| bytes.map(Frame::data)))
    }

    fn is_end_stream(&self) -> bool {
        matches!(self.rest, Rest::Text(None))
    }

    fn size_hint(&self) -> SizeHint {
        match &self.rest {
            Rest::Text(text) => SizeHint::with_exact(text.as_ref().map_or(0, Bytes::len) as u64),
            Rest::Session(_) => SizeHint::default(),
        }
    }
}
