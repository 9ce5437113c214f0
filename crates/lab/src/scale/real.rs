//! Real heads: the program itself, beside the hollow ones.

use super::children::Server;
use super::hollow::traffic;
use super::message::Traffic;
use super::nodes::{NodeRecord, region, zone};
use super::relays::{RelayPlace, operators_file};
use super::storage::Client;
use super::usage::Usage;
use super::{ScaleError, http, settings};
use serde_json::json;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;
use tokio::process::Command;
use tokio::time::{Instant, sleep};

/// Longest wait until a head is in service, and how often it is asked.
const LONGEST_START: Duration = Duration::from_secs(30);
const ASK: Duration = Duration::from_millis(100);
/// What a head's configuration gives it of the machine: the budget's memory.
const MEMORY_MB: usize = 128;
const SOCKETS: usize = 1024;

fn write(path: &Path, text: &str) -> Result<(), ScaleError> {
    std::fs::write(path, text).map_err(|problem| ScaleError::Io(path.display().to_string(), problem))
}

/// What real heads are started with.
pub struct RealPlan<'a> {
    /// The program.
    pub program: &'a Path,
    /// Heads in all.
    pub heads: u32,
    /// The run's seed.
    pub seed: u64,
    /// Where each region's heads ask for the list.
    pub discovery: &'a [SocketAddr],
    /// The relays that heads follow in its place; none where there are none.
    pub relays: &'a [RelayPlace],
    /// The list of the earlier life.
    pub known: &'a [NodeRecord],
    /// Where the configurations are written.
    pub folder: &'a Path,
}

/// A real head, and the client that it serves.
pub struct RealHead {
    server: Server,
    client: Option<Client>,
    number: u32,
}

/// What a real head uses, and what it has received and sent for control.
#[derive(Clone, Copy, Debug)]
pub struct RealSample {
    /// The process's use.
    pub usage: Usage,
    /// Its traffic, if this revision counts it.
    pub traffic: Option<Traffic>,
}

impl RealHead {
    /// Starts the head of a number and waits until it is in service.
    ///
    /// # Errors
    ///
    /// A configuration file can't be written, or the head can't be started or is not in service in time.
    pub async fn start(plan: &RealPlan<'_>, number: u32) -> Result<RealHead, ScaleError> {
        let configuration = plan.folder.join(format!("head-{number}.json"));
        let document = json!({
            "name": format!("head-{number}"),
            "listen": "127.0.0.1:0",
            "discovery": plan.discovery[region(zone(number)) % plan.discovery.len()],
            "seed": format!("{:016x}", plan.seed << 32 | u64::from(number)),
            "limits": {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": SOCKETS},
            "known": {"rev": 1, "all": true, "targets": plan.known},
            "settings": settings::document(plan.heads),
        });
        write(&configuration, &document.to_string())?;
        let mut command = Command::new(plan.program);
        command.env("LB_CONFIG", &configuration).env_remove("TMPDIR").env_remove("LB_OPS");
        command.env_remove("FLAXGAP_OPS").env_remove("FLAXGAP_BLOCK");
        if !plan.relays.is_empty() {
            let operators = plan.folder.join(format!("head-{number}.toml"));
            write(&operators, &operators_file(zone(number), plan.relays))?;
            command.env("FLAXGAP_OPS", operators);
        }
        let server = Server::start(format!("real head {number}"), command, "http: listening on ").await?;
        let head = RealHead { server, client: None, number };
        head.ready().await?;
        Ok(head)
    }

    async fn ready(&self) -> Result<(), ScaleError> {
        let end = Instant::now() + LONGEST_START;
        while http::get(self.server.address, "/-/ready").await.is_err() {
            if Instant::now() > end {
                return Err(ScaleError::NotInTime("a real head was not in service", LONGEST_START));
            }
            sleep(ASK).await;
        }
        Ok(())
    }

    /// Has it serve a client from now on.
    pub fn serve_client(&mut self) {
        self.client = Some(Client::start(self.server.address, self.number as usize));
    }

    /// Ends its client: how many requests were served, and how many not.
    pub fn end_client(&mut self) -> (u64, u64) {
        let client = self.client.take();
        client.map_or((0, 0), |client| (client.requests.served.get(), client.requests.failed.get()))
    }

    /// What it uses.
    ///
    /// # Errors
    ///
    /// The head has ended, its usage can't be read, or it does not serve its counters.
    pub async fn sample(&self) -> Result<RealSample, ScaleError> {
        let usage = Usage::of(self.server.id()?)?;
        let text = http::get(self.server.address, "/-/counters").await?;
        let text = String::from_utf8_lossy(&text);
        let pairs = text.split_whitespace().filter_map(|pair| pair.split_once('='));
        let pairs = pairs.filter_map(|(name, value)| Some((name, value.parse().ok()?)));
        Ok(RealSample { usage, traffic: traffic(pairs) })
    }

    /// Ends it.
    pub async fn end(&mut self) {
        self.server.end().await;
    }
}
