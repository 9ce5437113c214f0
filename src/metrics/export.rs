//! Counters out: to Graphite in its plaintext protocol, and to collectd as PUTVAL commands of its plain
//! text protocol. Both are off unless the operations file names them.

use crate::metrics::counters::{Counters, is_gauge};
use serde::Deserialize;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use thiserror::Error;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpStream, UnixStream};
use tokio::time::{MissedTickBehavior, interval, timeout};

/// How long one exchange with a collector may take.
const EXCHANGE: Duration = Duration::from_secs(2);
/// Longest answer line that is read from collectd.
const LONGEST_LINE: u64 = 1024;

/// Why figures did not get out.
#[derive(Debug, Error)]
pub enum ExportError {
    /// The connection failed.
    #[error("connection: {0}")]
    Io(#[from] std::io::Error),
    /// The collector did not take them in time.
    #[error("silent for {EXCHANGE:?}")]
    Silent,
    /// The collector turned a value down.
    #[error("turned down: {0}")]
    TurnedDown(String),
}

/// Where Graphite listens.
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

/// Where collectd listens.
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

/// The report's lines for Graphite: path, value, Unix time.
pub fn graphite_lines(counters: &Counters, prefix: &str, at: u64) -> String {
    counters.pairs().iter().map(|(name, value)| format!("{prefix}.{name} {value} {at}\n")).collect()
}

/// The report's commands for collectd: each counter is a DERIVE, whose rate collectd works out, or a GAUGE.
pub fn collectd_lines(counters: &Counters, host: &str, interval: f64) -> Vec<String> {
    let line = |(name, value): (&str, u64)| {
        let kind = if is_gauge(name) { "gauge" } else { "derive" };
        format!("PUTVAL \"{host}/flaxgap/{kind}-{name}\" interval={interval} N:{value}\n")
    };
    counters.pairs().into_iter().map(line).collect()
}

/// Reports to Graphite for as long as it is polled, over one connection as long as that lasts.
pub async fn to_graphite(to: Graphite, counters: Rc<Counters>) {
    let mut ticks = interval(period(to.interval));
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut stream: Option<TcpStream> = None;
    loop {
        ticks.tick().await;
        let at = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_secs());
        let lines = graphite_lines(&counters, &to.prefix, at);
        let report = async {
            let mut open = match stream.take() {
                Some(open) => open,
                None => TcpStream::connect(to.address).await?,
            };
            open.write_all(lines.as_bytes()).await?;
            Ok(open)
        };
        match within(report).await {
            Ok(open) => stream = Some(open),
            Err(problem) => log::warn!("export: graphite: {problem}"),
        }
    }
}

/// Reports to collectd for as long as it is polled.
pub async fn to_collectd(to: Collectd, counters: Rc<Counters>) {
    let mut ticks = interval(period(to.interval));
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        let report = async {
            let (from, mut out) = UnixStream::connect(&to.socket).await?.into_split();
            let mut from = BufReader::new(from);
            for line in collectd_lines(&counters, &to.host, to.interval) {
                out.write_all(line.as_bytes()).await?;
                let mut answer = String::new();
                (&mut from).take(LONGEST_LINE).read_line(&mut answer).await?;
                // A status line: a number, which is negative for an error, and words.
                if answer.split(' ').next().and_then(|n| n.parse::<i64>().ok()).is_none_or(|n| n < 0) {
                    return Err(ExportError::TurnedDown(answer.trim().into()));
                }
            }
            Ok(())
        };
        if let Err(problem) = within(report).await {
            log::warn!("export: collectd: {problem}");
        }
    }
}

fn period(seconds: f64) -> Duration {
    crate::core::seconds(seconds).max(Duration::from_millis(100))
}

async fn within<O>(work: impl Future<Output = Result<O, ExportError>>) -> Result<O, ExportError> {
    timeout(EXCHANGE, work).await.unwrap_or(Err(ExportError::Silent))
}
