//! Builds the components that all frontends share, in the order of their dependencies.

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
use crate::frontend::block::config::Target;
use crate::frontend::block::{BlockFrontend, BlockResources};
use crate::frontend::request::FrontendContext;
use crate::handover::{Handover, SharedParts};
use crate::lifecycle::Lifecycle;
use crate::metrics::counters::Counters;
use crate::metrics::export;
use crate::node::{NodeTransport, NodeTransportSettings};
use crate::plugin::Plugin;
use crate::resources::admission::Admission;
use crate::resources::descriptors::DescriptorBudget;
use crate::resources::listening_socket::ListeningSocket;
use crate::resources::memory::MemoryBudget;
use crate::shedding::controller::{ControllerParts, SheddingController};
use crate::shedding::level_file::LevelFile;
use flaxgap_streams::Http2;
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use tokio::task::spawn_local;

/// Settings of the optional components, checked against the configuration. `None` turns a component off.
pub(super) struct OptionalSettings {
    /// Settings of load shedding.
    pub(super) shedding: Option<flaxgap_load_shedding::SheddingSettings>,
    /// Settings of the HTTP/2 frontend.
    pub(super) http2: Option<Http2>,
    /// Settings of the relays that the head follows instead of discovery.
    pub(super) distribution: Option<DistributionSettings>,
    /// The iSCSI target of the block frontend.
    pub(super) block_target: Option<Target>,
}

impl OptionalSettings {
    /// Reads and checks the optional settings of the operators' file, and the block frontend's file if there is one.
    ///
    /// # Errors
    ///
    /// [`DaemonError::OperatorsFile`] or [`DaemonError::Block`] if a file can't be read or holds invalid settings.
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

    /// The listening addresses of the frontends; `http` is the address of the HTTP/1.1 frontend.
    pub(super) fn frontend_addresses(&self, http: SocketAddr) -> FrontendAddresses {
        FrontendAddresses {
            http,
            http2: self.http2.as_ref().map(|settings| settings.listen),
            block: self.block_target.as_ref().map(|target| target.listen),
        }
    }
}

/// Input of [`Parts::build`].
pub(super) struct BuildInput<'a> {
    /// The head's configuration.
    pub(super) config: &'a Config,
    /// Whether the endpoint list comes from relays.
    pub(super) follows_relays: bool,
    /// The folder in which the processes of this head share state, if one is configured.
    pub(super) state_folder: Option<&'a Path>,
    /// Lifecycle of the process.
    pub(super) lifecycle: Rc<Lifecycle>,
    /// Counters of the head.
    pub(super) counters: Rc<Counters>,
}

/// The components that all frontends share.
#[derive(Clone)]
pub(super) struct Parts {
    /// Pending requests and the scheduler.
    pub(super) dispatcher: Rc<Dispatcher>,
    /// Budget of file descriptors.
    pub(super) descriptors: Rc<DescriptorBudget>,
    /// Memory budget for request and response bodies.
    pub(super) memory: Rc<MemoryBudget>,
    /// Transport of requests to nodes, with its connection pools.
    pub(super) nodes: Rc<NodeTransport>,
    /// Endpoint directory, which holds the endpoint list in use.
    pub(super) directory: Rc<EndpointDirectory>,
    /// Load-shedding controller.
    pub(super) shedding: Rc<SheddingController>,
    /// Handover between the processes of this head.
    pub(super) handover: Rc<Handover>,
    /// Lifecycle of the process.
    pub(super) lifecycle: Rc<Lifecycle>,
    /// Counters of the head.
    pub(super) counters: Rc<Counters>,
}

impl Parts {
    /// Builds the components and starts the scheduler's clock.
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
        let memory = MemoryBudget::new(config.limits.memory_mb);
        counters.set_memory(memory.clone());
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
        dispatcher.request_ids().set_peers(handover.clone());
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

    /// Starts the admin server. It answers requests in every phase, also before the head is ready.
    ///
    /// # Errors
    ///
    /// [`DaemonError::Listen`] if `address` can't be listened on.
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

    /// Creates the context that the HTTP/1.1 and HTTP/2 frontends share.
    pub(super) fn frontend_context(&self, wire_settings: WireSettings) -> Rc<FrontendContext<NodeTransport>> {
        Rc::new(FrontendContext {
            dispatcher: self.dispatcher.clone(),
            transport: self.nodes.clone(),
            wire_settings,
            lifecycle: self.lifecycle.clone(),
            descriptors: self.descriptors.clone(),
            memory: self.memory.clone(),
            admission: Admission::new(self.memory.clone(), self.descriptors.clone(), self.counters.clone()),
            counters: self.counters.clone(),
        })
    }

    /// Starts the block frontend if it is configured.
    pub(super) fn start_block_frontend(
        &self,
        listener: Option<Rc<ListeningSocket>>,
        target: Option<Target>,
        seed: u64,
    ) {
        let (Some(listener), Some(target)) = (listener, target) else { return };
        let frontend = BlockFrontend::new(
            self.dispatcher.clone(),
            self.nodes.clone(),
            target,
            self.lifecycle.clone(),
            BlockResources { descriptors: self.descriptors.clone(), memory: self.memory.clone() },
            self.counters.clone(),
            seed,
        );
        spawn_local(frontend.listen(listener));
    }

    /// Starts the exporters and loads the plug-in that the operators' file configures.
    ///
    /// # Errors
    ///
    /// [`DaemonError::Plugin`] if the plug-in's script can't be read or compiled.
    pub(super) fn start_observers(&self, operators_file: &OperatorsFile) -> Result<(), DaemonError> {
        if let Some(graphite) = operators_file.graphite.clone() {
            spawn_local(export::run_graphite(graphite, self.counters.clone()));
        }
        if let Some(collectd) = operators_file.collectd.clone() {
            spawn_local(export::run_collectd(collectd, self.counters.clone()));
        }
        if let Some(plugin) = &operators_file.plugin {
            let plugin = Plugin::load(plugin, self.counters.clone(), self.memory.clone())?;
            self.dispatcher.set_observer(Rc::new(plugin));
        }
        Ok(())
    }
}

/// The schedule on which the head polls the endpoint list. Polling heads and heads that follow relays share a server with
/// other heads; otherwise the source is an agent of the head's own.
fn poll_schedule(config: &Config, follows_relays: bool) -> PollSchedule {
    let is_shared = config.settings.poll_interval_s.is_some() || follows_relays;
    PollSchedule::new(
        config.settings.heads,
        config.seed,
        if is_shared { SourceKind::SharedServer } else { SourceKind::LocalAgent },
        crate::core::seconds(config.wire_settings.drain_grace),
    )
}
