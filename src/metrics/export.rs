//! Export of the counters: to Graphite in its plaintext protocol, and to collectd as PUTVAL commands of its plain
//! text protocol. Each is off unless the operators' file names it.

use crate::metrics::counters::{Counters, is_gauge};
use serde::Deserialize;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use thiserror::Error;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpStream, UnixStream};
use tokio::time::{Interval, MissedTickBehavior, interval, timeout};

/// How long one report to a collector may take.
const REPORT_TIMEOUT: Duration = Duration::from_secs(2);
/// Shortest interval between two reports.
const MIN_INTERVAL: Duration = Duration::from_millis(100);
/// Longest status line that is read from collectd, in bytes.
const MAX_STATUS_LINE: u64 = 1024;

/// Why a report failed.
#[derive(Debug, Error)]
pub enum ExportError {
    /// The connection to the collector failed.
    #[error("connection: {0}")]
    Io(#[from] std::io::Error),
    /// The collector did not accept the report in time.
    #[error("no answer within {REPORT_TIMEOUT:?}")]
    Timeout,
    /// The collector rejected a value; its status line.
    #[error("turned down: {0}")]
    Rejected(String),
}

/// Settings of the export to Graphite.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Graphite {
    /// The address of its plaintext port.
    pub address: SocketAddr,
    /// What each metric's path starts with.
    pub prefix: String,
    /// Seconds between two reports.
    pub interval: f64,
}

/// Settings of the export to collectd.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Collectd {
    /// The socket of its unixsock plugin.
    pub socket: PathBuf,
    /// The host part of each identifier.
    pub host: String,
    /// Seconds between two reports.
    pub interval: f64,
}

/// A report's lines for Graphite: path, value, Unix time.
pub fn graphite_lines(counters: &Counters, prefix: &str, unix_time: u64) -> String {
    let mut lines = String::new();
    for (name, value) in counters.figures() {
        lines += &format!("{prefix}.{name} {value} {unix_time}\n");
    }
    lines
}

/// A report's commands for collectd: each counter is a DERIVE, whose rate collectd computes, or a GAUGE.
pub fn collectd_lines(counters: &Counters, host: &str, interval: f64) -> Vec<String> {
    let mut lines = Vec::new();
    for (name, value) in counters.figures() {
        let kind = if is_gauge(name) { "gauge" } else { "derive" };
        lines.push(format!("PUTVAL \"{host}/flaxgap/{kind}-{name}\" interval={interval} N:{value}\n"));
    }
    lines
}

/// Reports to Graphite at each interval, over one connection as long as that lasts.
pub async fn run_graphite(settings: Graphite, counters: Rc<Counters>) {
    let mut ticks = report_ticks(settings.interval);
    let mut connection: Option<TcpStream> = None;
    loop {
        ticks.tick().await;
        let unix_time = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_secs());
        let lines = graphite_lines(&counters, &settings.prefix, unix_time);
        let report = report_to_graphite(connection.take(), settings.address, &lines);
        match with_timeout(report).await {
            Ok(open) => connection = Some(open),
            Err(problem) => log::warn!("export: graphite: {problem}"),
        }
    }
}

/// Reports to collectd at each interval, over a new connection each time.
pub async fn run_collectd(settings: Collectd, counters: Rc<Counters>) {
    let mut ticks = report_ticks(settings.interval);
    loop {
        ticks.tick().await;
        let lines = collectd_lines(&counters, &settings.host, settings.interval);
        let report = report_to_collectd(&settings.socket, &lines);
        if let Err(problem) = with_timeout(report).await {
            log::warn!("export: collectd: {problem}");
        }
    }
}

/// Sends a report and returns the connection for the next one.
async fn report_to_graphite(
    connection: Option<TcpStream>,
    address: SocketAddr,
    lines: &str,
) -> Result<TcpStream, ExportError> {
    let mut connection = match connection {
        Some(open) => open,
        None => TcpStream::connect(address).await?,
    };
    connection.write_all(lines.as_bytes()).await?;
    Ok(connection)
}

/// Sends a report and reads the status of each command.
async fn report_to_collectd(socket: &Path, lines: &[String]) -> Result<(), ExportError> {
    let (reader, mut writer) = UnixStream::connect(socket).await?.into_split();
    let mut reader = BufReader::new(reader);
    for line in lines {
        writer.write_all(line.as_bytes()).await?;
        let mut status = String::new();
        (&mut reader).take(MAX_STATUS_LINE).read_line(&mut status).await?;
        if !is_success(&status) {
            return Err(ExportError::Rejected(status.trim().into()));
        }
    }
    Ok(())
}

/// Whether a status line of collectd reports success: it starts with a number, which is negative for an error.
fn is_success(status: &str) -> bool {
    let code = status.split(' ').next().and_then(|word| word.parse::<i64>().ok());
    code.is_some_and(|code| code >= 0)
}

fn report_ticks(interval_s: f64) -> Interval {
    let mut ticks = interval(crate::core::seconds(interval_s).max(MIN_INTERVAL));
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    ticks
}

async fn with_timeout<T>(report: impl Future<Output = Result<T, ExportError>>) -> Result<T, ExportError> {
    timeout(REPORT_TIMEOUT, report).await.unwrap_or(Err(ExportError::Timeout))
}
