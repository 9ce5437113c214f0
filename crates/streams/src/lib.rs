//! What a front with many streams on a connection decides: which streams it takes, which connections misbehave, and
//! how a connection is ended. Time is an argument, in seconds on a clock that never runs backwards; nothing here
//! reads a clock or a socket, and the package's `clippy.toml` forbids both.
//!
//! | module | concern |
//! | --- | --- |
//! | [`frames`] | the heads of frames (RFC 9113, section 4.1) out of bytes as they come, however they are cut |
//! | [`abuse`] | budgets of frames that cost a server more than they cost their sender |
//! | [`admission`] | streams over all connections, shared out max-min |
//! | [`goodbye`] | the way from the first GOAWAY to the connection's end (section 6.8) |
//! | [`settings`] | all of it as operators word it, checked |

pub mod abuse;
pub mod admission;
pub mod frames;
pub mod goodbye;
pub mod settings;

pub use settings::{Http2, Http2File};
