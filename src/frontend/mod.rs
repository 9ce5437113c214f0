//! The frontends. Each parses the requests of one protocol, has the core serve them and encodes the answers.

pub mod accept;
pub mod admin;
pub mod block;
pub mod closing;
pub mod http;
pub mod http2;
pub mod intake;
pub mod request;
