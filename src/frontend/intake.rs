//! Reads a client's HTTP/1.1 connection one request at a time, below hyper.
//!
//! hyper drops `Content-Length` if `Transfer-Encoding` is present too, so the service never sees both; a request with
//! both can smuggle another one in its body. So each head is parsed here, with the parser that hyper uses, before it is
//! passed to hyper, and no bytes after the head of a request with ambiguous framing are passed on.
//!
//! `reader` is the socket that hyper reads and writes, [`Exchanges`] runs hyper while a request is in progress, `framing` finds where requests end, and
//! [`ConnectionState`] is shared by the reader, the service and the task of the connection.

mod buffered_arrivals;
mod connection_state;
mod exchange;
mod framing;
mod reader;

#[cfg(test)]
mod tests;

pub use connection_state::ConnectionState;
pub use exchange::{ExchangeError, Exchanges};
pub use framing::{MAX_HEAD_BYTES, MAX_HEAD_FIELDS};
