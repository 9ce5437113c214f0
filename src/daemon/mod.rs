//! The head's process, from startup to exit.
//!
//! [`run_event_loop`] runs a [`Daemon`], which checks the settings, builds the shared components, takes over the sockets of an older process, opens
//! the listeners, starts the frontends and background tasks, serves until a signal requests the shutdown, and drains.
//! The order matters for upgrades: the older process accepts connections until this one has an endpoint list to serve
//! with (see [`crate::handover`]).

mod build;
mod drain;
mod endpoint_list;
mod error;
mod listeners;
mod reload;
mod run;
mod shutdown_schedule;
mod signal_age;
mod signals;

pub use error::{BackgroundTask, DaemonError};

use crate::config::Config;
use crate::config::operators_file::OperatorsFile;
use crate::frontend::http::HttpFrontend;
use crate::frontend::http2::Http2Frontend;
use crate::frontend::request::FrontendContext;
use crate::lifecycle::Lifecycle;
use crate::metrics::counters::Counters;
use crate::metrics::event_loop::{MeasuredTurns, TurnLog};
use crate::node::NodeTransport;
use crate::resources::listening_socket::ListeningSocket;
use crate::resources::repeat;
use build::{BuildInput, OptionalSettings, Parts};
use drain::drain;
use endpoint_list::EndpointListSource;
use flaxgap_streams::Http2;
use listeners::{AddressUse, Listeners};
use reload::Reloader;
use run::{BackgroundTasks, Server, serve_until_shutdown, start_endpoint_list};
use rustix::io::Errno;
use signals::{NoticedSignals, Signals};
use std::io;
use std::panic::catch_unwind;
use std::path::PathBuf;
use std::rc::Rc;
use tokio::runtime::Runtime;
use tokio::sync::watch;
use tokio::task::spawn_local;

/// Runs a daemon to its end on an event loop in this thread. `configure` creates the daemon once the handlers of signals
/// are installed.
///
/// # Errors
///
/// The error of `configure`, or that of the daemon or of the event loop.
pub fn run_event_loop<E>(configure: impl FnOnce() -> Result<Daemon, E>) -> Result<(), E>
where
    E: From<io::Error> + From<DaemonError>,
{
    let runtime = repeat::at_start(build_runtime)?;
    let local = tokio::task::LocalSet::new();
    let turns = TurnLog::start();
    let (signals, noticed) = local.block_on(&runtime, async { Signals::install(turns.clone()) })?;
    let daemon = configure()?;
    let counters = daemon.counters.clone();
    let program = signals.watch_beside(local.run_until(daemon.run(noticed)));
    Ok(runtime.block_on(MeasuredTurns::new(program, turns, counters))?)
}

/// Builds the event loop.
///
/// # Errors
///
/// Returns an error if the system has no descriptors or memory for it.
fn build_runtime() -> io::Result<Runtime> {
    let build = || tokio::runtime::Builder::new_current_thread().enable_all().build();
    // The library panics if it gets no sockets for signals.
    catch_unwind(build).unwrap_or_else(|_| Err(Errno::NFILE.into()))
}

/// A head's process that has been configured but not started.
pub struct Daemon {
    config_path: String,
    config: Config,
    block_file: Option<String>,
    operators_file: OperatorsFile,
    state_folder: Option<PathBuf>,
    lifecycle: Rc<Lifecycle>,
    counters: Rc<Counters>,
}

impl Daemon {
    /// Creates a daemon that has not started yet.
    ///
    /// `config` was read from the file at `config_path`, which a reload reads again. `block_file` is the path of the
    /// block frontend's file; without it, the block frontend is off. Components that `operators_file` does not configure
    /// are off. `state_folder` is shared by the processes of this head and by no others; without it, no state is kept and
    /// no handover is possible.
    pub fn new(
        config_path: String,
        config: Config,
        block_file: Option<String>,
        operators_file: OperatorsFile,
        state_folder: Option<PathBuf>,
    ) -> Daemon {
        let counters = Counters::new(&config.wire_settings.class_names);
        let lifecycle = Rc::default();
        Daemon { config_path, config, block_file, operators_file, state_folder, lifecycle, counters }
    }

    /// Serves until SIGTERM or SIGINT, then drains and returns. Must run inside a [`tokio::task::LocalSet`].
    ///
    /// # Errors
    ///
    /// [`DaemonError`] if settings are invalid, an address can't be listened on, or a background task ended.
    async fn run(self, mut signals: NoticedSignals) -> Result<(), DaemonError> {
        let Daemon { config_path, config, block_file, operators_file, state_folder, lifecycle, counters } =
            self;
        let longest_deadline_s = longest_deadline_s(&config);
        let optional = OptionalSettings::check(&operators_file, block_file, &config)?;
        let addresses = optional.frontend_addresses(config.listen);
        let OptionalSettings { shedding, http2, distribution, block_target } = optional;
        let parts = Parts::build(BuildInput {
            config: &config,
            follows_relays: distribution.is_some(),
            state_folder: state_folder.as_deref(),
            lifecycle,
            counters,
        })?;
        if let Some(address) = config.admin_address {
            parts.start_admin_server(address)?;
        }

        let received_sockets = parts.handover.take_over().await;
        // An older process that passed its sockets accepts connections until this one is ready.
        parts.lifecycle.set_accepting(received_sockets.is_empty());
        parts.shedding.configure(shedding);
        let address_use = AddressUse::for_frontends(parts.handover.is_possible());
        let listeners = Listeners::open(&addresses, received_sockets, address_use)?;
        let sockets = listeners.all();
        parts.start_block_frontend(listeners.block, block_target, config.seed);
        parts.start_observers(&operators_file)?;

        let (discovery, discovery_address) = watch::channel(config.discovery);
        let context = parts.frontend_context(config.wire_settings.clone());
        start_http2_frontend(listeners.http2, http2, &context);
        let frontend = Rc::new(HttpFrontend { context });
        let tasks = BackgroundTasks::start(&parts);
        let source = EndpointListSource::new(distribution, discovery_address, &parts.directory, &config)?;
        let endpoint_list = start_endpoint_list(&parts, config.cached_list, source, sockets);

        let reloader = Reloader {
            config_path,
            name: config.name,
            listen: config.listen,
            settings: config.settings,
            operators_file,
            discovery,
            parts: parts.clone(),
        };
        let server = Server { frontend, listener: listeners.http };
        let signal = serve_until_shutdown(&server, &mut signals, &reloader, tasks, endpoint_list).await?;
        drain(&parts, server, signal, longest_deadline_s).await;
        log::info!("counters: {}", parts.counters);
        Ok(())
    }
}

/// The longest request deadline of all classes, in seconds.
fn longest_deadline_s(config: &Config) -> f64 {
    config.settings.classes.iter().map(|class| class.deadline_s).fold(0.0, f64::max)
}

/// Starts the HTTP/2 frontend if it is configured.
fn start_http2_frontend(
    listener: Option<Rc<ListeningSocket>>,
    settings: Option<Http2>,
    context: &Rc<FrontendContext<NodeTransport>>,
) {
    if let (Some(listener), Some(settings)) = (listener, settings) {
        spawn_local(Http2Frontend::new(context.clone(), settings).listen(listener));
    }
}
