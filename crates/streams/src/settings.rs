//! The `[http2]` table as operators word it, and its check: what is wrong is told with line and key.

use crate::abuse::{Allowances, KINDS};
use serde::Deserialize;
use std::net::SocketAddr;
use thiserror::Error;
use toml::Spanned;

/// Settings that can't be used.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
#[error("line {line}: http2.{key}: {problem}")]
pub struct Http2Error {
    /// The line in the file, from 1.
    pub line: usize,
    /// The key.
    pub key: &'static str,
    /// What is wrong.
    pub problem: String,
}

/// The table as it stands in a file.
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

/// What the front goes by.
#[derive(Clone, Debug, PartialEq)]
pub struct Http2 {
    /// Where it listens.
    pub listen: SocketAddr,
    /// Connections at a time.
    pub connections: usize,
    /// Streams of one connection at a time.
    pub streams_each: usize,
    /// Streams of all connections at a time.
    pub streams_all: usize,
    /// Bytes that a client may send on a stream before they were taken.
    pub stream_window: u32,
    /// Bytes that a client may send on a connection before they were taken.
    pub connection_window: u32,
    /// Longest list of fields, in bytes as RFC 9113, section 6.5.2 counts them.
    pub header_list: u32,
    /// Seconds for the preface and the first SETTINGS.
    pub handshake: f64,
    /// Seconds without a stream after which a connection is ended.
    pub idle: f64,
    /// Seconds that a client may take nothing of an answer.
    pub stall: f64,
    /// Seconds from GOAWAY to the end.
    pub grace: f64,
    /// Budgets against abuse.
    pub allowances: Allowances,
}

impl Http2 {
    /// Checks a file's `[http2]` table; `text` is the whole file's, for the lines.
    ///
    /// # Errors
    ///
    /// A key has a value outside its range; the error names the line.
    pub fn check(file: &Http2File, text: &str) -> Result<Http2, Http2Error> {
        let figure = |from: &Option<Spanned<f64>>, key, usual: f64, range: (f64, f64)| {
            let Some(found) = from else { return Ok(usual) };
            let value = *found.get_ref();
            if value >= range.0 && value <= range.1 {
                return Ok(value);
            }
            let line = 1 + text.get(..found.span().start).unwrap_or_default().matches('\n').count();
            Err(Http2Error { line, key, problem: format!("{value} is not from {} to {}", range.0, range.1) })
        };
        let each = figure(&file.streams_each, "streams_each", 128.0, (1.0, 10_000.0))?;
        let kib =
            |from, key, usual, most| figure(from, key, usual, (16.0, most)).map(|kib| (kib * 1024.0) as u32);
        let stream_window = kib(&file.stream_window_kib, "stream_window_kib", 64.0, 16_384.0)?;
        let least = f64::from(stream_window / 1024);
        let window = figure(
            &file.connection_window_kib,
            "connection_window_kib",
            128.0f64.max(least),
            (64.0f64.max(least), 65_536.0),
        )?;
        let mut allowances = Allowances::default();
        let rates = [
            (&file.resets_a_second, "resets_a_second"),
            (&file.settings_a_second, "settings_a_second"),
            (&file.pings_a_second, "pings_a_second"),
            (&file.empty_a_second, "empty_a_second"),
            (&file.continuations_a_second, "continuations_a_second"),
            (&file.idle_frames_a_second, "idle_frames_a_second"),
            (&file.updates_a_second, "updates_a_second"),
        ];
        debug_assert_eq!(rates.len(), KINDS.len());
        for (allowance, (from, key)) in allowances.of.iter_mut().zip(rates) {
            let rate = figure(from, key, allowance.rate, (0.1, 1e6))?;
            // The burst keeps its proportion.
            (allowance.burst, allowance.rate) = ((allowance.burst * rate / allowance.rate).max(1.0), rate);
        }
        Ok(Http2 {
            listen: file.listen,
            connections: figure(&file.connections, "connections", 200.0, (1.0, 100_000.0))? as usize,
            streams_each: each as usize,
            streams_all: figure(&file.streams_all, "streams_all", 4096.0f64.max(each), (each, 1e6))? as usize,
            stream_window,
            connection_window: (window * 1024.0) as u32,
            header_list: kib(&file.header_list_kib, "header_list_kib", 16.0, 1024.0)?,
            handshake: figure(&file.handshake_s, "handshake_s", 2.5, (0.1, 60.0))?,
            idle: figure(&file.idle_s, "idle_s", 30.0, (0.1, 3600.0))?,
            stall: figure(&file.stall_s, "stall_s", 10.0, (0.1, 600.0))?,
            grace: figure(&file.grace_s, "grace_s", 4.0, (0.1, 600.0))?,
            allowances,
        })
    }

    /// Reads a `[http2]` table's own text.
    ///
    /// # Errors
    ///
    /// The text is not TOML of the expected form, or a key has a value outside its range.
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
