//! The bodies of a relay's responses: a text, or the stream of a session.

use crate::counters::Counters;
use crate::session::Session;
use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};

/// The data that is left to send.
enum Content {
    Text(Option<Bytes>),
    Session(Rc<Session>),
}

/// A response body that counts the bytes that are passed to the connection.
pub struct ResponseBody {
    content: Content,
    counters: Rc<Counters>,
}

impl ResponseBody {
    /// Creates a body of one text.
    pub fn text(text: impl Into<Bytes>, counters: Rc<Counters>) -> ResponseBody {
        let text = Some(text.into()).filter(|text| !text.is_empty());
        ResponseBody { content: Content::Text(text), counters }
    }

    /// Creates a body that streams the parts of a session.
    pub fn session(session: Rc<Session>, counters: Rc<Counters>) -> ResponseBody {
        ResponseBody { content: Content::Session(session), counters }
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        let next = match &mut self.content {
            Content::Text(text) => text.take().map(Ok),
            Content::Session(session) => ready!(session.poll_next(context)),
        };
        if let Some(Ok(bytes)) = &next {
            self.counters.bytes_sent.add(bytes.len() as u64);
        }
        Poll::Ready(next.map(|bytes| bytes.map(Frame::data)))
    }

    fn is_end_stream(&self) -> bool {
        matches!(self.content, Content::Text(None))
    }

    fn size_hint(&self) -> SizeHint {
        match &self.content {
            Content::Text(text) => SizeHint::with_exact(text.as_ref().map_or(0, Bytes::len) as u64),
            Content::Session(_) => SizeHint::default(),
        }
    }
}
