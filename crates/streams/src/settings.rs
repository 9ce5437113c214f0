//! Parsing and validation of the `[http2]` table of the operators' file. Errors name the line and the key.

use crate::abuse::{FLOOD_KINDS, FrameLimits};
use serde::Deserialize;
use std::net::SocketAddr;
use thiserror::Error;
use toml::Spanned;

/// An invalid setting.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
#[error("line {line}: http2.{key}: {problem}")]
pub struct Http2Error {
    /// Line number in the file, from 1.
    pub line: usize,
    /// The key; empty if the table could not be parsed.
    pub key: &'static str,
    /// Description of the error.
    pub problem: String,
}

/// The `[http2]` table as parsed from a file, before validation.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Http2File {
    listen: SocketAddr,
    connections: Option<Spanned<f64>>,
    streams_each: Option<Spanned<f64>>,
    streams_all: Option<Spanned<f64>>,
    stream_window_kib: Option<Spanned<f64>>,
    connection_window_kib: Option<Spanned<f64>>,
    header_list_kib: Option<Spanned<f64>>,
    handshake_s: Option<Spanned<f64>>,
    idle_s: Option<Spanned<f64>>,
    stall_s: Option<Spanned<f64>>,
    grace_s: Option<Spanned<f64>>,
    resets_a_second: Option<Spanned<f64>>,
    settings_a_second: Option<Spanned<f64>>,
    pings_a_second: Option<Spanned<f64>>,
    empty_a_second: Option<Spanned<f64>>,
    continuations_a_second: Option<Spanned<f64>>,
    idle_frames_a_second: Option<Spanned<f64>>,
    updates_a_second: Option<Spanned<f64>>,
}

/// Validated settings of the HTTP/2 frontend.
#[derive(Clone, Debug, PartialEq)]
pub struct Http2 {
    /// Address that the frontend listens on.
    pub listen: SocketAddr,
    /// Most connections that are open at a time.
    pub max_connections: usize,
    /// Most streams of one connection that are open at a time.
    pub max_streams_per_connection: usize,
    /// Most streams of all connections that are open at a time.
    pub max_streams: usize,
    /// Initial flow-control window of a stream, in bytes.
    pub stream_window_bytes: u32,
    /// Flow-control window of a connection, in bytes.
    pub connection_window_bytes: u32,
    /// Largest field section, in bytes as RFC 9113, section 6.5.2 counts them.
    pub max_header_list_bytes: u32,
    /// Time-out of the preface and the first SETTINGS, in seconds.
    pub handshake_timeout_s: f64,
    /// Time without a stream after which a connection shuts down, in seconds.
    pub idle_timeout_s: f64,
    /// Time after which a stream is reset if the client receives nothing of its answer, in seconds.
    pub stall_timeout_s: f64,
    /// Time from the first GOAWAY to the close of the connection, in seconds.
    pub shutdown_grace_s: f64,
    /// Rate limits on frames that can be abused.
    pub frame_limits: FrameLimits,
}

impl Http2 {
    /// Validates the `[http2]` table of a file and fills in the defaults. `text` is the text of the whole file, from
    /// which the line numbers in errors are counted.
    ///
    /// # Errors
    ///
    /// A value is out of range.
    pub fn check(file: &Http2File, text: &str) -> Result<Http2, Http2Error> {
        let number = |from: &Option<Spanned<f64>>, key, default: f64, range: (f64, f64)| {
            let Some(found) = from else { return Ok(default) };
            let value = *found.get_ref();
            if value >= range.0 && value <= range.1 {
                return Ok(value);
            }
            let line = 1 + text.get(..found.span().start).unwrap_or_default().matches('\n').count();
            Err(Http2Error { line, key, problem: format!("{value} is not from {} to {}", range.0, range.1) })
        };
        let max_per_connection = number(&file.streams_each, "streams_each", 128.0, (1.0, 10_000.0))?;
        let kib = |from, key, default, max| {
            number(from, key, default, (16.0, max)).map(|kib| (kib * 1024.0) as u32)
        };
        let stream_window_bytes = kib(&file.stream_window_kib, "stream_window_kib", 64.0, 16_384.0)?;
        let stream_window_kib = f64::from(stream_window_bytes / 1024);
        let connection_window_kib = number(
            &file.connection_window_kib,
            "connection_window_kib",
            128.0f64.max(stream_window_kib),
            (64.0f64.max(stream_window_kib), 65_536.0),
        )?;
        let mut frame_limits = FrameLimits::default();
        let rates = [
            (&file.resets_a_second, "resets_a_second"),
            (&file.settings_a_second, "settings_a_second"),
            (&file.pings_a_second, "pings_a_second"),
            (&file.empty_a_second, "empty_a_second"),
            (&file.continuations_a_second, "continuations_a_second"),
            (&file.idle_frames_a_second, "idle_frames_a_second"),
            (&file.updates_a_second, "updates_a_second"),
        ];
        debug_assert_eq!(rates.len(), FLOOD_KINDS.len());
        for (limit, (from, key)) in frame_limits.by_kind.iter_mut().zip(rates) {
            let rate = number(from, key, limit.rate, (0.1, 1e6))?;
            // The burst is scaled with the rate.
            (limit.burst, limit.rate) = ((limit.burst * rate / limit.rate).max(1.0), rate);
        }
        Ok(Http2 {
            listen: file.listen,
            max_connections: number(&file.connections, "connections", 200.0, (1.0, 100_000.0))? as usize,
            max_streams_per_connection: max_per_connection as usize,
            max_streams: number(
                &file.streams_all,
                "streams_all",
                4096.0f64.max(max_per_connection),
                (max_per_connection, 1e6),
            )? as usize,
            stream_window_bytes,
            connection_window_bytes: (connection_window_kib * 1024.0) as u32,
            max_header_list_bytes: kib(&file.header_list_kib, "header_list_kib", 16.0, 1024.0)?,
            handshake_timeout_s: number(&file.handshake_s, "handshake_s", 2.5, (0.1, 60.0))?,
            idle_timeout_s: number(&file.idle_s, "idle_s", 30.0, (0.1, 3600.0))?,
            stall_timeout_s: number(&file.stall_s, "stall_s", 10.0, (0.1, 600.0))?,
            shutdown_grace_s: number(&file.grace_s, "grace_s", 4.0, (0.1, 600.0))?,
            frame_limits,
        })
    }

    /// Parses and validates the text of a `[http2]` table without its heading.
    ///
    /// # Errors
    ///
    /// The text is not valid TOML, has an unknown key or lacks `listen`, or a value is out of range.
    pub fn parse(text: &str) -> Result<Http2, Http2Error> {
        let file: Http2File = toml::from_str(text).map_err(|problem| {
            let start = problem.span().map_or(0, |span| span.start);
            let line = 1 + text.get(..start).unwrap_or_default().matches('\n').count();
            Http2Error { line, key: "", problem: problem.message().into() }
        })?;
        Http2::check(&file, text)
    }
}

#[cfg(test)]
mod tests;
