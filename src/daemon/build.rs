//! Builds the parts that all frontends share, in the order in which they depend on each other.

use super::DaemonError;
use super::listeners::{AddressUse, FrontendAddresses, ListenAddress, listen};
use crate::config::operators_file::OperatorsFile;
use crate::config::{Config, WireSettings};
use crate::core::{Clock, Dispatcher};
use crate::discovery::EndpointDirectory;
use crate::discovery::relays::settings::DistributionSettings;
use crate::discovery::schedule::{PollSchedule, SourceKind};
use crate::exclusions::Exclusions;
use crate::frontend::admin::AdminServer;
use crate::frontend::block::BlockFrontend;
use crate::frontend::block::config::Target;
use crate::frontend::request::FrontendContext;
use crate::handover::{Handover, SharedParts};
use crate::lifecycle::Lifecycle;
use crate::metrics::counters::Counters;
use crate::metrics::export;
use crate::node::{NodeTransport, NodeTransportSettings};
use crate::plugin::Plugin;
use crate::resources::descriptors::DescriptorBudget;
use crate::resources::memory::BodyMemory;
use crate::shedding::controller::{ControllerParts, SheddingController};
use crate::shedding::level_file::LevelFile;
use flaxgap_streams::Http2;
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use tokio::net::TcpListener;
use tokio::task::spawn_local;

/// Settings of the parts that are off by default, checked against the configuration.
pub(super) struct OptionalSettings {
    /// Load shedding.
    pub(super) shedding: Option<flaxgap_load_shedding::SheddingSettings>,
    /// The frontend for HTTP/2.
    pub(super) http2: Option<Http2>,
    /// The relays to follow in place of discovery.
    pub(super) distribution: Option<DistributionSettings>,
    /// The block frontend's target.
    pub(super) block_target: Option<Target>,
}

impl OptionalSettings {
    /// Reads them from the operators' file and from the block frontend's file.
    ///
    /// # Errors
    ///
    /// [`DaemonError::OperatorsFile`] or [`DaemonError::Block`] if a file can't be served.
    pub(super) fn check(
        operators_file: &OperatorsFile,
        block_file: Option<String>,
        config: &Config,
    ) -> Result<OptionalSettings, DaemonError> {
        let shedding = operators_file.shedding(&config.wire_settings)?;
        let http2 = operators_file.http2()?;
        let distribution = operators_file.distribution()?;
        let block_target = block_file
            .map(|path| Target::load(&path, &config.settings, &config.wire_settings))
            .transpose()?;
        Ok(OptionalSettings { shedding, http2, distribution, block_target })
    }

    /// Where the frontends listen.
    pub(super) fn frontend_addresses(&self, http: SocketAddr) -> FrontendAddresses {
        FrontendAddresses {
            http,
            http2: self.http2.as_ref().map(|settings| settings.listen),
            block: self.block_target.as_ref().map(|target| target.listen),
        }
    }
}

/// What the parts are built from.
pub(super) struct BuildInput<'a> {
    /// The configuration.
    pub(super) config: &'a Config,
    /// Whether the endpoint list comes from relays.
    pub(super) follows_relays: bool,
    /// The folder that the processes of this head share, if there is one.
    pub(super) state_folder: Option<&'a Path>,
    /// The phase of the program.
    pub(super) lifecycle: Rc<Lifecycle>,
    /// The counters.
    pub(super) counters: Rc<Counters>,
}

/// The parts that all frontends share.
#[derive(Clone)]
pub(super) struct Parts {
    /// Requests in hand, and the scheduler that decides on them.
    pub(super) dispatcher: Rc<Dispatcher>,
    /// The budget of file descriptors.
    pub(super) descriptors: Rc<DescriptorBudget>,
    /// The memory for bodies.
    pub(super) memory: Rc<BodyMemory>,
    /// Connections to nodes.
    pub(super) nodes: Rc<NodeTransport>,
    /// The endpoint list.
    pub(super) directory: Rc<EndpointDirectory>,
    /// Load shedding.
    pub(super) shedding: Rc<SheddingController>,
    /// The connection to other processes of this head.
    pub(super) handover: Rc<Handover>,
    /// The phase of the program.
    pub(super) lifecycle: Rc<Lifecycle>,
    /// The counters.
    pub(super) counters: Rc<Counters>,
}

impl Parts {
    /// Builds the parts; the scheduler's clock starts here.
    ///
    /// # Errors
    ///
    /// [`DaemonError::SchedulerSettings`] if the scheduler rejects its settings.
    pub(super) fn build(input: BuildInput) -> Result<Parts, DaemonError> {
        let BuildInput { config, follows_relays, state_folder, lifecycle, counters } = input;
        let settings = &config.settings;
        let wire_settings = &config.wire_settings;
        let dispatcher = Dispatcher::new(settings.clone(), config.seed, Clock::start(), counters.clone())?;
        let descriptors = DescriptorBudget::new(config.limits.descriptors(), counters.clone());
        let memory = BodyMemory::new(config.limits.memory_mb);
        let nodes = NodeTransport::new(
            descriptors.clone(),
            memory.clone(),
            counters.clone(),
            NodeTransportSettings {
                connect_timeout_s: wire_settings.connect_timeout,
                node_idle_timeout_s: wire_settings.conn_idle,
                heads: settings.heads,
            },
        );
        let exclusions = Rc::new(Exclusions::load(state_folder, &config.name));
        let directory = EndpointDirectory::new(
            dispatcher.clone(),
            nodes.clone(),
            counters.clone(),
            exclusions.clone(),
            wire_settings.zone_names.clone(),
            poll_schedule(config, follows_relays),
        );
        let shedding = SheddingController::new(ControllerParts {
            dispatcher: dispatcher.clone(),
            descriptors: descriptors.clone(),
            memory: memory.clone(),
            lifecycle: lifecycle.clone(),
            scheduler: settings.clone(),
            level_file: LevelFile::new(state_folder, &config.name),
        });
        let shared = SharedParts {
            dispatcher: dispatcher.clone(),
            descriptors: descriptors.clone(),
            memory: memory.clone(),
            lifecycle: lifecycle.clone(),
            exclusions,
            directory: directory.clone(),
            shedding: shedding.clone(),
        };
        let handover = Handover::new(state_folder, &config.name, shared);
        Ok(Parts {
            dispatcher,
            descriptors,
            memory,
            nodes,
            directory,
            shedding,
            handover,
            lifecycle,
            counters,
        })
    }

    /// Starts the admin server, which answers from the start on.
    ///
    /// # Errors
    ///
    /// [`DaemonError::Listen`] if its address can't be listened on.
    pub(super) fn start_admin_server(&self, address: SocketAddr) -> Result<(), DaemonError> {
        let listener = listen(ListenAddress { address, frontend: "ops" }, None, AddressUse::Exclusive)?;
        let server = AdminServer::new(
            self.lifecycle.clone(),
            self.counters.clone(),
            self.directory.clone(),
            self.handover.clone(),
            self.shedding.clone(),
        );
        spawn_local(server.listen(listener));
        Ok(())
    }

    /// What the frontends for HTTP share.
    pub(super) fn frontend_context(&self, wire_settings: WireSettings) -> Rc<FrontendContext<NodeTransport>> {
        Rc::new(FrontendContext {
            dispatcher: self.dispatcher.clone(),
            transport: self.nodes.clone(),
            notes: wire_settings,
            phases: self.lifecycle.clone(),
            budget: self.descriptors.clone(),
            memory: self.memory.clone(),
            counters: self.counters.clone(),
        })
    }

    /// Starts the block frontend, if it is on.
    pub(super) fn start_block_frontend(
        &self,
        listener: Option<Rc<TcpListener>>,
        target: Option<Target>,
        seed: u64,
    ) {
        let (Some(listener), Some(target)) = (listener, target) else { return };
        let frontend = BlockFrontend::new(
            self.dispatcher.clone(),
            self.nodes.clone(),
            target,
            self.lifecycle.clone(),
            self.descriptors.clone(),
            self.counters.clone(),
            seed,
        );
        spawn_local(frontend.listen(listener));
    }

    /// Starts the exports of counters and loads the plug-in, as far as the operators' file names them.
    ///
    /// # Errors
    ///
    /// [`DaemonError::Plugin`] if the plug-in can't be used.
    pub(super) fn start_observers(&self, operators_file: &OperatorsFile) -> Result<(), DaemonError> {
        if let Some(graphite) = operators_file.graphite.clone() {
            spawn_local(export::run_graphite(graphite, self.counters.clone()));
        }
        if let Some(collectd) = operators_file.collectd.clone() {
            spawn_local(export::run_collectd(collectd, self.counters.clone()));
        }
        if let Some(plugin) = &operators_file.plugin {
            self.dispatcher.set_observer(Rc::new(Plugin::load(plugin, self.counters.clone())?));
        }
        Ok(())
    }
}

/// When the head asks for the endpoint list.
fn poll_schedule(config: &Config, follows_relays: bool) -> PollSchedule {
    let is_shared = config.settings.poll_interval_s.is_some() || follows_relays;
    PollSchedule::new(
        config.settings.heads,
        config.seed,
        if is_shared { SourceKind::SharedServer } else { SourceKind::LocalAgent },
        crate::core::seconds(config.wire_settings.drain_grace),
    )
}
