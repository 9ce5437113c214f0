//! The fronts: each takes requests out of one protocol, has the core serve them and words the answers.

pub mod admin;
pub mod block;
pub mod closing;
pub mod http;
pub mod http2;
pub mod intake;
pub mod request;
