//! Decisions of a server with many streams per connection: which streams are admitted, which connections are closed for
//! abuse, and how a connection shuts down. Callers pass the time in, in seconds on a monotonic clock; nothing here
//! reads a clock or a socket, and the package's `clippy.toml` forbids both.
//!
//! | module | concern |
//! | --- | --- |
//! | [`frames`] | parsing frame headers (RFC 9113, section 4.1) from a byte stream, however it is split into reads |
//! | [`abuse`] | rate limits on frames that cost a server more than they cost their sender |
//! | [`admission`] | max-min fair sharing of streams between connections |
//! | [`graceful_shutdown`] | the sequence from the first GOAWAY to the close of the connection (section 6.8) |
//! | [`settings`] | parsing and validation of the `[http2]` table |

pub mod abuse;
pub mod admission;
pub mod frames;
pub mod graceful_shutdown;
pub mod settings;

pub use settings::{Http2, Http2File};
