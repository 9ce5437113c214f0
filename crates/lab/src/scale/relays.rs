//! Relays: the project's own program as control machines, fed by the stand-in for discovery.

use super::children::{ChildError, Server};
use super::fleet::ControlSample;
use super::message::Served;
use super::nodes::{REGIONS, ZONES, region, zone_name};
use super::usage::Usage;
use super::{ScaleError, http};
use flaxgap_distribution::selection::{Locality, RelayInfo};
use serde::{Deserialize, Serialize};
use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::time::Duration;
use tokio::process::Command;
use tokio::time::{Instant, sleep};

/// Longest wait until a relay has the list, and how often it is asked.
const LONGEST_START: Duration = Duration::from_secs(20);
const ASK: Duration = Duration::from_millis(20);

/// Where a relay is, as heads are told.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RelayPlace {
    /// Its name.
    pub name: String,
    /// Where heads call it.
    pub address: SocketAddr,
    /// The number of its zone.
    pub zone: usize,
}

impl RelayPlace {
    fn info(&self) -> RelayInfo {
        let RelayPlace { name, address, zone } = self.clone();
        RelayInfo { name, address, region: region_name(region(zone)), zone: zone_name(zone) }
    }
}

/// The name of a region.
fn region_name(region: usize) -> String {
    format!("r{region}")
}

/// Where a head of a zone is, and the relays that it is given: those of its region, so that regions which are cut off
/// from each other are so for heads as well.
pub fn relays_of(zone: usize, relays: &[RelayPlace]) -> (Locality, Vec<RelayInfo>) {
    let locality = Locality { region: region_name(region(zone)), zone: zone_name(zone) };
    let own = relays.iter().filter(|relay| region(relay.zone) == region(zone));
    (locality, own.map(RelayPlace::info).collect())
}

/// The operators' file of a real head in a zone.
pub fn operators_file(zone: usize, relays: &[RelayPlace]) -> String {
    let (locality, relays) = relays_of(zone, relays);
    let mut text =
        format!("[distribution]\nregion = \"{}\"\nzone = \"{}\"\n", locality.region, locality.zone);
    for RelayInfo { name, address, region, zone } in relays {
        text += "[[distribution.relays]]\n";
        text += &format!(
            "name = \"{name}\"\naddress = \"{address}\"\nregion = \"{region}\"\nzone = \"{zone}\"\n"
        );
    }
    text
}

/// What a relay counts, as far as it is used here.
#[derive(Deserialize)]
struct Counters {
    watchers: u64,
    whole_sent: u64,
    resumed: u64,
    changes: u64,
    bytes_sent: u64,
    bytes_received: u64,
    heartbeats: u64,
}

/// A relay's process.
pub struct Relay {
    /// Where it is.
    pub place: RelayPlace,
    program: PathBuf,
    configuration: PathBuf,
    /// Its process; none while it is dead.
    server: Option<Server>,
    /// What its earlier processes have served.
    ended: ControlSample,
}

impl Relay {
    /// Starts the relay of a number and waits until it has the list. Each has an address of its own, as relays on
    /// machines of their own have.
    ///
    /// # Errors
    ///
    /// The configuration file can't be written, or the relay can't be started or has no list in time.
    pub async fn start(
        program: &Path,
        folder: &Path,
        number: u32,
        discovery: &[SocketAddr],
    ) -> Result<Relay, ScaleError> {
        let place = number as usize;
        let zones = ZONES / REGIONS;
        let (region, zone) = (place % REGIONS, place / REGIONS % zones);
        let zone = region * zones + zone;
        let name = format!("relay-{}-{number}", zone_name(zone));
        let configuration = folder.join(format!("{name}.toml"));
        let machine = Ipv4Addr::new(127, 0, 2, number as u8 + 1);
        let listen = SocketAddr::from((machine, 0));
        write(&configuration, &name, listen, discovery[region])?;
        let server = launch(program, &configuration, &name).await?;
        // A restart comes back to the same address.
        write(&configuration, &name, server.address, discovery[region])?;
        let place = RelayPlace { name, address: server.address, zone };
        let (program, ended) = (program.into(), ControlSample::default());
        let relay = Relay { place, program, configuration, server: Some(server), ended };
        relay.ready().await?;
        Ok(relay)
    }

    /// Ends it at once.
    ///
    /// # Errors
    ///
    /// Its last sample can't be taken; the relay then goes on.
    pub async fn kill(&mut self) -> Result<(), ScaleError> {
        self.ended = self.sample().await?;
        if let Some(mut server) = self.server.take() {
            server.end().await;
        }
        Ok(())
    }

    /// Starts it again, with nothing.
    ///
    /// # Errors
    ///
    /// The program can't be started, or it logs no address in time.
    pub async fn restart(&mut self) -> Result<(), ScaleError> {
        self.server = Some(launch(&self.program, &self.configuration, &self.place.name).await?);
        Ok(())
    }

    /// Waits until it serves the list.
    ///
    /// # Errors
    ///
    /// It serves no list within the longest time for a start.
    pub async fn ready(&self) -> Result<(), ScaleError> {
        let end = Instant::now() + LONGEST_START;
        while http::get(self.place.address, "/-/ready").await.is_err() {
            if Instant::now() > end {
                return Err(ScaleError::NotInTime("a relay had no list", LONGEST_START));
            }
            sleep(ASK).await;
        }
        Ok(())
    }

    /// What it uses and has served. It does not count messages: each change that it took in is one to each watcher.
    ///
    /// # Errors
    ///
    /// The relay has ended, its usage can't be read, or its counters can't be fetched or parsed.
    pub async fn sample(&self) -> Result<ControlSample, ScaleError> {
        let Some(server) = &self.server else { return Ok(self.ended) };
        let usage = Usage::of(server.id()?)?;
        let counters: Counters =
            serde_json::from_slice(&http::get(self.place.address, "/-/counters").await?)?;
        let served = Served {
            received: counters.bytes_received,
            sent: counters.bytes_sent,
            messages: counters.heartbeats
                + counters.whole_sent
                + counters.resumed
                + counters.changes * counters.watchers,
            calls: counters.whole_sent + counters.resumed,
            whole_lists: counters.whole_sent,
            open: counters.watchers,
        };
        Ok(ControlSample { usage, served: self.ended.served.plus(served) })
    }
}

fn write(path: &Path, name: &str, listen: SocketAddr, upstream: SocketAddr) -> Result<(), ScaleError> {
    let text = format!("name = \"{name}\"\nlisten = \"{listen}\"\nupstream = \"{upstream}\"\n");
    std::fs::write(path, text).map_err(|problem| ScaleError::Io(path.display().to_string(), problem))
}

async fn launch(program: &Path, configuration: &Path, name: &str) -> Result<Server, ChildError> {
    let mut command = Command::new(program);
    command.arg(configuration);
    Server::start(name.into(), command, "relay: listening on ").await
}
