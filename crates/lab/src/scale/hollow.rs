//! A hollow head: the real code for control, put together as the daemon does it, without fronts and clients.

use super::ScaleError;
use super::message::{ListState, Traffic};
use super::nodes::{region, zone};
use super::relays::{RelayPlace, relays_of};
use flaxgap::config::WireSettings;
use flaxgap::core::{Clock, Dispatcher, seconds};
use flaxgap::discovery::EndpointDirectory;
use flaxgap::discovery::relays::RelayFollower;
use flaxgap::discovery::relays::settings::DistributionSettings;
use flaxgap::discovery::schedule::{PollSchedule, SourceKind};
use flaxgap::exclusions::Exclusions;
use flaxgap::metrics::counters::Counters;
use flaxgap::node::{NodeTransport, NodeTransportSettings};
use flaxgap::resources::descriptors::DescriptorBudget;
use flaxgap::resources::memory::MemoryBudget;
use flaxgap::scheduler::{SchedulerSettings, UpdateKind};
use flaxgap_membership::SourceCursor;
use flaxgap_membership::compact::CompactList;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::sync::watch;
use tokio::task::{JoinHandle, spawn_local};

/// What a real head's configuration would hold; a hollow one opens no connection but to discovery.
const SOCKETS: usize = 1024;
const MEMORY_MB: usize = 128;

/// What all hollow heads of a process share.
pub struct Plan {
    /// What the module is told.
    pub settings: SchedulerSettings,
    /// What the wires need of the settings.
    pub notes: WireSettings,
    /// The run's seed.
    pub seed: u64,
    /// Where each region's heads ask for the list.
    pub discovery: Vec<SocketAddr>,
    /// The relays that heads follow in its place; none where there are none.
    pub relays: Vec<RelayPlace>,
}

/// A head that runs until it is dropped.
pub struct HollowHead {
    directory: Rc<EndpointDirectory>,
    counters: Rc<Counters>,
    _discovery: watch::Sender<SocketAddr>,
    tasks: Vec<JoinHandle<()>>,
}

impl Drop for HollowHead {
    fn drop(&mut self) {
        self.tasks.iter().for_each(JoinHandle::abort);
    }
}

impl HollowHead {
    /// Starts the head of a number; `heard` is called with the newest version whenever a list
    /// is in force. With a `known` list it starts as a real head does with that of an earlier life.
    ///
    /// # Errors
    ///
    /// The scheduler rejects the settings.
    pub fn start(
        plan: &Plan,
        number: u32,
        known: Option<CompactList>,
        heard: impl Fn(u64) + 'static,
    ) -> Result<HollowHead, ScaleError> {
        let (settings, notes) = (&plan.settings, &plan.notes);
        // Each head draws its own pauses, as real heads do with seeds of their own.
        let seed = (plan.seed << 32 | u64::from(number)).wrapping_mul(0x9E37_79B9_7F4A_7C15);
        let counters = Counters::new(&notes.class_names);
        let dispatcher = Dispatcher::new(settings.clone(), seed, Clock::start(), counters.clone())
            .map_err(|problem| ScaleError::Settings(problem.to_string()))?;
        let budget = DescriptorBudget::new(SOCKETS, counters.clone());
        let memory = MemoryBudget::new(MEMORY_MB);
        let (connect_timeout, conn_idle) = (notes.connect_timeout, notes.conn_idle);
        let nodes = NodeTransport::new(
            budget,
            memory,
            counters.clone(),
            NodeTransportSettings {
                connect_timeout_s: connect_timeout,
                node_idle_timeout_s: conn_idle,
                heads: settings.heads,
            },
        );
        let directory = EndpointDirectory::new(
            dispatcher.clone(),
            nodes.clone(),
            counters.clone(),
            Rc::new(Exclusions::load(None, "")),
            notes.zone_names.clone(),
            PollSchedule::new(
                settings.heads,
                seed,
                if settings.poll_interval_s.is_some() || !plan.relays.is_empty() {
                    SourceKind::SharedServer
                } else {
                    SourceKind::LocalAgent
                },
                seconds(notes.drain_grace),
            ),
        );
        let knows = known.is_some();
        if let Some(list) = known {
            directory.apply(list, &mut SourceCursor::default(), UpdateKind::CachedSnapshot);
        }
        directory.observe(heard);
        let address = plan.discovery[region(zone(number)) % plan.discovery.len()];
        let (discovery, source) = watch::channel(address);
        let mut tasks = vec![
            spawn_local(async move { dispatcher.run_timers().await }),
            spawn_local(async move { nodes.close_idle_connections().await }),
        ];
        if plan.relays.is_empty() {
            let directory = directory.clone();
            tasks.push(spawn_local(async move { directory.follow(source, knows).await }));
        } else {
            let (locality, relays) = relays_of(zone(number), &plan.relays);
            let distribution = DistributionSettings { locality, relays };
            let follower =
                RelayFollower::new(directory.clone(), &format!("head-{number}"), &distribution, seed);
            let follower = follower.map_err(|problem| ScaleError::Settings(problem.to_string()))?;
            tasks.push(spawn_local(follower.run()));
        }
        Ok(HollowHead { directory, counters, _discovery: discovery, tasks })
    }

    /// What it has received and sent for control, if this revision counts it.
    pub fn traffic(&self) -> Option<Traffic> {
        traffic(self.counters.figures().into_iter())
    }

    /// Whether a relay speaks to it.
    pub fn reaches_a_relay(&self) -> bool {
        self.directory.relays_reachable().is_some_and(|relays| relays > 0)
    }

    /// Its list, as of a version.
    pub fn list(&self, version: u64) -> ListState {
        let gauges = self.directory.gauges();
        let gauge = |wanted| gauges.iter().find(|(name, _)| *name == wanted).map_or(0, |(_, value)| *value);
        ListState { version, known: gauge("bricks_known"), excluded: gauge("bricks_excluded") }
    }
}

/// Reads what a head counts of control out of its counters.
pub fn traffic<'a>(counters: impl Iterator<Item = (&'a str, u64)>) -> Option<Traffic> {
    let (mut traffic, mut counted) = (Traffic::default(), false);
    for (name, value) in counters {
        let field = match name {
            "discovery_bytes_received" => &mut traffic.received,
            "discovery_bytes_sent" => &mut traffic.sent,
            "discovery_messages" => &mut traffic.messages,
            "discovery_calls" => &mut traffic.calls,
            _ => continue,
        };
        (*field, counted) = (value, true);
    }
    counted.then_some(traffic)
}
