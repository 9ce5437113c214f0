//! Exporters of the counters: to Graphite in its plaintext protocol, and to collectd as PUTVAL commands of its plain text
//! protocol. Each exporter is off unless the operators' file configures it.

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

/// Timeout for one report to a collector.
const REPORT_TIMEOUT: Duration = Duration::from_secs(2);
/// Minimum interval between two reports; a shorter configured interval is raised to it.
const MIN_INTERVAL: Duration = Duration::from_millis(100);
/// Maximum length of a status line read from collectd, in bytes.
const MAX_STATUS_LINE_BYTES: u64 = 1024;

/// A failed report. The exporter tries again at the next interval.
#[derive(Debug, Error)]
pub enum ExportError {
    /// Connecting, writing or reading failed.
    #[error("connection: {0}")]
    Io(#[from] std::io::Error),
    /// The report was not complete within [`REPORT_TIMEOUT`].
    #[error("report not accepted within {REPORT_TIMEOUT:?}")]
    Timeout,
    /// Collectd rejected a value; holds its status line.
    #[error("value rejected: {0}")]
    Rejected(String),
}

/// Settings of the export to Graphite.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Graphite {
    /// Address of Graphite's plaintext protocol.
    pub address: SocketAddr,
    /// Prefix of each metric's path.
    pub prefix: String,
    /// Seconds between two reports.
    pub interval: f64,
}

/// Settings of the export to collectd.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Collectd {
    /// Path of the socket of collectd's unixsock plugin.
    pub socket: PathBuf,
    /// Host part of each collectd identifier.
    pub host: String,
    /// Seconds between two reports.
    pub interval: f64,
}

/// Formats a report for Graphite: one line for each metric, with path, value and Unix time in seconds.
pub fn graphite_lines(counters: &Counters, prefix: &str, unix_time: u64) -> String {
    let mut lines = String::new();
    for (name, value) in counters.figures() {
        lines += &format!("{prefix}.{name} {value} {unix_time}\n");
    }
    lines
}

/// Formats a report for collectd: one PUTVAL command for each metric. Counters have the type `derive`, of which collectd
/// computes the rate; gauges have the type `gauge`.
pub fn collectd_lines(counters: &Counters, host: &str, interval: f64) -> Vec<String> {
    let mut lines = Vec::new();
    for (name, value) in counters.figures() {
        let kind = if is_gauge(name) { "gauge" } else { "derive" };
        lines.push(format!("PUTVAL \"{host}/flaxgap/{kind}-{name}\" interval={interval} N:{value}\n"));
    }
    lines
}

/// Reports to Graphite at each interval. Reuses the connection until a report fails. Never returns.
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
            Err(error) => log::warn!("export: graphite: {error}"),
        }
    }
}

/// Reports to collectd at each interval, over a new connection for each report. Never returns.
pub async fn run_collectd(settings: Collectd, counters: Rc<Counters>) {
    let mut ticks = report_ticks(settings.interval);
    loop {
        ticks.tick().await;
        let lines = collectd_lines(&counters, &settings.host, settings.interval);
        let report = report_to_collectd(&settings.socket, &lines);
        if let Err(error) = with_timeout(report).await {
            log::warn!("export: collectd: {error}");
        }
    }
}

/// Sends a report over `connection`, or over a new one if there is none. Returns the connection for the next report.
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

/// Sends the commands one by one and checks the status line of each.
async fn report_to_collectd(socket: &Path, lines: &[String]) -> Result<(), ExportError> {
    let (reader, mut writer) = UnixStream::connect(socket).await?.into_split();
    let mut reader = BufReader::new(reader);
    for line in lines {
        writer.write_all(line.as_bytes()).await?;
        let mut status = String::new();
        (&mut reader).take(MAX_STATUS_LINE_BYTES).read_line(&mut status).await?;
        if !is_success(&status) {
            return Err(ExportError::Rejected(status.trim().into()));
        }
    }
    Ok(())
}

/// Whether a status line of collectd reports success. It starts with a number, which is negative for an error.
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
