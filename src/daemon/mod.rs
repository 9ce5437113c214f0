//! The program from start to exit, as named phases of one object.

use crate::config::Config;
use crate::config::operators_file::{OperatorsFile, OperatorsFileError};
use crate::core::{Clock, Dispatcher};
use crate::discovery::EndpointDirectory;
use crate::discovery::relays::RelayFollower;
use crate::discovery::schedule::PollSchedule;
use crate::exclusions::Exclusions;
use crate::frontend::admin::AdminServer;
use crate::frontend::block::BlockFrontend;
use crate::frontend::block::config::{BlockConfigError, Target};
use crate::frontend::http::HttpFrontend;
use crate::frontend::http2::Http2Frontend;
use crate::frontend::request::FrontendContext;
use crate::handover::{Handover, Shared};
use crate::lifecycle::{Lifecycle, Phase};
use crate::metrics::counters::Counters;
use crate::metrics::export;
use crate::node::NodeTransport;
use crate::plugin::{Plugin, PluginError};
use crate::resources::descriptors::DescriptorBudget;
use crate::resources::memory::BodyMemory;
use crate::scheduler::SchedulerSettings;
use crate::shedding::controller::SheddingController;
use flaxgap_distribution::selection::RelayListError;
use flaxgap_membership::Source;
use flaxgap_membership::wire::List;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;
use thiserror::Error;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::watch;
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep, sleep_until, timeout, timeout_at};

/// After SIGTERM: how long new connections are accepted at least, and the longest deadline that the
/// platform waits out past that before it ends the program itself.
const KEEP_ACCEPTING: Duration = Duration::from_millis(700);
const LONGEST_GRACE: f64 = 3.0;
/// How long before that end connections begin to close, and by when all must be answered: until then
/// clients go on using the connections they have, and find no other head for their volumes.
const WIND_UP: Duration = Duration::from_millis(450);
const LAST_ANSWER: Duration = Duration::from_millis(100);
/// Pause after the system would not give a connection.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);
/// Connections that the system holds until they are accepted.
const BACKLOG: u32 = 1024;

/// Why the program can't go on.
#[derive(Debug, Error)]
pub enum DaemonError {
    /// The listener can't be opened.
    #[error("listen on {0}: {1}")]
    Listen(SocketAddr, io::Error),
    /// A part that runs as long as the program has ended.
    #[error("{0} broke down")]
    Broken(&'static str),
    /// Signals can't be waited for.
    #[error("signals: {0}")]
    Signals(io::Error),
    /// The block file can't be served.
    #[error(transparent)]
    Block(#[from] BlockConfigError),
    /// The plug-in can't be used.
    #[error(transparent)]
    Plugin(#[from] PluginError),
    /// The operators' file can't be used.
    #[error(transparent)]
    OperatorsFile(#[from] OperatorsFileError),
    /// Relays that can't be followed.
    #[error("relays: {0}")]
    Relays(#[from] RelayListError),
    /// Settings that can't be served.
    #[error(transparent)]
    SchedulerSettings(#[from] crate::scheduler::SchedulerSettingsError),
}

/// What the program is told by signals. Taken before all else: one that comes earlier ends the program.
pub struct Signals {
    terminate: Signal,
    interrupt: Signal,
    reread: Signal,
    ask: Signal,
}

impl Signals {
    /// Takes them over. Needs the runtime.
    pub fn take() -> Result<Signals, DaemonError> {
        let take = |kind| signal(kind).map_err(DaemonError::Signals);
        Ok(Signals {
            terminate: take(SignalKind::terminate())?,
            interrupt: take(SignalKind::interrupt())?,
            reread: take(SignalKind::hangup())?,
            ask: take(SignalKind::user_defined1())?,
        })
    }
}

/// What of a running program a new configuration changes; the rest takes a restart.
struct Running {
    path: String,
    name: String,
    listen: SocketAddr,
    settings: SchedulerSettings,
    discovery: watch::Sender<SocketAddr>,
    budget: Rc<DescriptorBudget>,
    memory: Rc<BodyMemory>,
    counters: Rc<Counters>,
    ops: OperatorsFile,
    levels: Rc<SheddingController>,
    directory: Rc<EndpointDirectory>,
}

impl Running {
    /// Reads the files again. If one of them can't be used, nothing of either changes.
    fn reload(&self) {
        let config = Config::load(&self.path);
        let ops = self.ops.path().map_or(Ok(OperatorsFile::default()), OperatorsFile::load);
        let read = config.map_err(|problem| problem.to_string()).and_then(|config| {
            let levels = ops.and_then(|ops| {
                ops.http2()?;
                ops.distribution()?;
                Ok((ops.levels(&config.notes)?, ops))
            });
            levels.map_err(|problem| problem.to_string()).map(|(levels, ops)| (config, ops, levels))
        });
        let (config, ops, levels) = match read {
            Ok(read) => read,
            Err(problem) => {
                self.counters.reloads_failed.add();
                return log::error!("daemon: reload: {problem}; the running settings stay");
            }
        };
        self.counters.reloads_ok.add();
        let fixed = [
            ("name", config.name != self.name),
            ("listen", config.listen != self.listen),
            ("settings", config.settings != self.settings),
            ("the operators' file, but for its levels,", ops.restarts(&self.ops)),
        ];
        for (part, _) in fixed.iter().filter(|(_, changed)| *changed) {
            log::warn!("daemon: reload: {part} changed, which takes a restart");
        }
        self.budget.set_limit(config.limits.descriptors());
        self.memory.set_limit(config.limits.memory_mb);
        if self.levels.configure(levels) {
            // A watch that begins now has heard of no node.
            self.directory.bans_changed();
        }
        log::info!("daemon: reloaded, discovery at {}", config.discovery);
        self.discovery.send_if_modified(|now| std::mem::replace(now, config.discovery) != config.discovery);
    }
}

/// The whole program.
pub struct Daemon {
    path: String,
    config: Config,
    block: Option<String>,
    ops: OperatorsFile,
    folder: Option<PathBuf>,
    phases: Rc<Lifecycle>,
    counters: Rc<Counters>,
}

impl Daemon {
    /// A program that has not started yet, with the configuration out of the file at `path`. `block` names
    /// the block front's file; without it, that front is off, as is all that `ops` does not hold. `folder` is
    /// where the processes of one head, and they alone, leave word to each other.
    pub fn new(
        path: String,
        config: Config,
        block: Option<String>,
        ops: OperatorsFile,
        folder: Option<PathBuf>,
    ) -> Daemon {
        let counters = Counters::new(&config.notes.class_names);
        Daemon { path, config, block, ops, folder, phases: Rc::default(), counters }
    }

    /// Runs until SIGTERM or SIGINT has been served to its end. Needs a local task set.
    pub async fn run(self, signals: Signals) -> Result<(), DaemonError> {
        let Daemon { path, config, block, ops, folder, phases, counters } = self;
        let Signals { mut terminate, mut interrupt, mut reread, mut ask } = signals;
        let longest = config.settings.classes.iter().map(|c| c.deadline_s).fold(0.0, f64::max);
        let (settings, notes) = (config.settings, config.notes);
        let (level_settings, http2) = (ops.levels(&notes)?, ops.http2()?);
        let distribution = ops.distribution()?;
        let block = block.map(|path| Target::load(&path, &settings, &notes)).transpose()?;
        let dispatcher = Dispatcher::new(settings.clone(), config.seed, Clock::start(), counters.clone())?;
        let budget = DescriptorBudget::new(config.limits.descriptors(), counters.clone());
        let memory = BodyMemory::new(config.limits.memory_mb);
        let (connect_timeout, conn_idle) = (notes.connect_timeout, notes.conn_idle);
        let nodes = NodeTransport::new(
            budget.clone(),
            memory.clone(),
            counters.clone(),
            connect_timeout,
            conn_idle,
            settings.heads,
        );
        let zones = notes.zone_names.clone();
        let bans = Rc::new(Exclusions::load(folder.as_deref(), &config.name));
        let directory = EndpointDirectory::new(
            dispatcher.clone(),
            nodes.clone(),
            counters.clone(),
            bans.clone(),
            zones,
            PollSchedule::new(
                settings.heads,
                config.seed,
                settings.poll_interval_s.is_some() || distribution.is_some(),
                crate::core::seconds(notes.drain_grace),
            ),
        );
        let levels = SheddingController::new(
            dispatcher.clone(),
            budget.clone(),
            memory.clone(),
            phases.clone(),
            settings.clone(),
            (folder.as_deref(), &config.name),
        );
        let shared = Shared {
            dispatcher: dispatcher.clone(),
            budget: budget.clone(),
            memory: memory.clone(),
            phases: phases.clone(),
            bans,
            directory: directory.clone(),
            levels: levels.clone(),
        };
        let handover = Handover::new(folder.as_deref(), &config.name, shared);
        if let Some(address) = config.ops {
            let listener = listen(address, "ops", None, false)?;
            let door = AdminServer::new(
                phases.clone(),
                counters.clone(),
                directory.clone(),
                handover.clone(),
                levels.clone(),
            );
            spawn_local(door.listen(listener));
        }
        let mut inherited = handover.succeed().await.into_iter();
        // An heir serves once it is ready; until then the older process does.
        phases.accept(inherited.len() == 0);
        levels.configure(level_settings);
        let listener = Rc::new(listen(config.listen, "http", inherited.next(), handover.possible())?);
        let mut sockets = vec![listener.clone()];
        let http2 = http2
            .map(|settings| {
                let listener = listen(settings.listen, "http2", inherited.next(), handover.possible())?;
                Ok::<_, DaemonError>((Rc::new(listener), settings))
            })
            .transpose()?;
        sockets.extend(http2.iter().map(|(listener, _)| listener.clone()));
        if let Some(target) = block {
            let listener = Rc::new(listen(target.listen, "block", inherited.next(), handover.possible())?);
            sockets.push(listener.clone());
            let (dispatcher, nodes, phases) = (dispatcher.clone(), nodes.clone(), phases.clone());
            let (budget, counters) = (budget.clone(), counters.clone());
            let front = BlockFrontend::new(dispatcher, nodes, target, phases, budget, counters, config.seed);
            spawn_local(front.listen(listener));
        }

        if let Some(to) = ops.graphite.clone() {
            spawn_local(export::to_graphite(to, counters.clone()));
        }
        if let Some(to) = ops.collectd.clone() {
            spawn_local(export::to_collectd(to, counters.clone()));
        }
        if let Some(config) = &ops.plugin {
            dispatcher.observe(Rc::new(Plugin::load(config, counters.clone())?));
        }
        let (source, discovery) = watch::channel(config.discovery);
        let running = Running {
            path,
            name: config.name,
            listen: config.listen,
            settings,
            discovery: source,
            budget: budget.clone(),
            memory: memory.clone(),
            counters: counters.clone(),
            ops,
            levels: levels.clone(),
            directory: directory.clone(),
        };
        let desk = Rc::new(FrontendContext {
            dispatcher: dispatcher.clone(),
            transport: nodes.clone(),
            notes,
            phases: phases.clone(),
            budget,
            memory,
            counters: counters.clone(),
        });
        if let Some((listener, settings)) = http2 {
            spawn_local(Http2Frontend::new(desk.clone(), settings).listen(listener));
        }
        let front = Rc::new(HttpFrontend { desk: desk.clone() });
        let keep_time = spawn_local(async move { dispatcher.keep_time().await });
        let look = spawn_local(async move { levels.keep().await });
        let sweep = spawn_local(async move { nodes.sweep().await });
        let serve = {
            let (handover, phases) = (handover.clone(), phases.clone());
            move || {
                handover.serve(sockets);
                phases.enter(Phase::Ready);
            }
        };
        let list_source = match distribution {
            None => ListSource::Discovery(discovery),
            Some(relays) => {
                let name = &running.name;
                ListSource::Relays(Box::new(RelayFollower::new(
                    directory.clone(),
                    name,
                    &relays,
                    config.seed,
                )?))
            }
        };
        let list = spawn_local(obtain_list(directory, config.known, list_source, serve));

        let told = async {
            loop {
                tokio::select! {
                    _ = terminate.recv() => return,
                    _ = interrupt.recv() => return,
                    _ = reread.recv() => running.reload(),
                    _ = ask.recv() => log::info!("counters: {counters}"),
                }
            }
        };
        tokio::select! {
            () = front.clone().listen(&listener) => {}
            () = told => {}
            // None of these ends unless it panics; a head without them would only look alive.
            _ = keep_time => return Err(DaemonError::Broken("the clock")),
            _ = look => return Err(DaemonError::Broken("the levels")),
            _ = sweep => return Err(DaemonError::Broken("the pools")),
            _ = list => return Err(DaemonError::Broken("the node list")),
        }

        phases.enter(Phase::Draining);
        let accepting = Instant::now() + KEEP_ACCEPTING;
        let end = accepting + crate::core::seconds(longest.min(LONGEST_GRACE));
        desk.dispatcher.finish_by(end - LAST_ANSWER);
        let gone = async {
            sleep_until(accepting).await;
            phases.all_closed().await;
        };
        tokio::select! {
            () = front.clone().listen(&listener) => {}
            () = sleep_until(accepting.max(end - WIND_UP)) => {}
            () = gone => {}
            // Clients find the newer process at once.
            () = handover.yielded() => {}
        }
        phases.close_idle();
        // What the system has accepted for us counts as taken, unless a newer process takes it.
        while !handover.has_yielded() {
            // Connections that rest are closing, so there will be a slot; what waits for one is not reset.
            let Ok(slot) = timeout_at(end, desk.budget.client_slot()).await else { break };
            match waiting(&listener) {
                Ok(Some(stream)) => front.admit(stream, slot),
                Ok(None) => break,
                Err(problem) if Instant::now() < end => {
                    log::warn!("http: accept: {problem}");
                    drop(slot);
                    desk.budget.reclaim();
                    sleep(ACCEPT_PAUSE).await;
                }
                Err(problem) => {
                    log::error!("http: accept: {problem}; what waits is reset");
                    break;
                }
            }
        }
        drop(listener);
        handover.close();
        if timeout_at(end, phases.all_closed()).await.is_err() {
            log::warn!("daemon: connections still open at the end");
        }
        phases.enter(Phase::Stopped);
        log::info!("counters: {counters}");
        Ok(())
    }
}

/// A connection that waits to be accepted, by the system's word: the runtime may not have heard of it.
fn waiting(listener: &TcpListener) -> io::Result<Option<TcpStream>> {
    match socket2::SockRef::from(listener).accept() {
        Ok((socket, _)) => {
            socket.set_nonblocking(true)?;
            TcpStream::from_std(socket.into()).map(Some)
        }
        Err(problem) if problem.kind() == io::ErrorKind::WouldBlock => Ok(None),
        // It was given up by its client while it waited.
        Err(problem) if problem.kind() == io::ErrorKind::ConnectionAborted => waiting(listener),
        Err(problem) => Err(problem),
    }
}

/// Listens at an address: with the socket that an older process passed on, or with one of its own, which can
/// be `shared` with another process of this head.
fn listen(
    address: SocketAddr,
    front: &str,
    inherited: Option<std::net::TcpListener>,
    shared: bool,
) -> Result<TcpListener, DaemonError> {
    let fits = |socket: &std::net::TcpListener| {
        socket.local_addr().is_ok_and(|at| at == address || address.port() == 0 && at.ip() == address.ip())
    };
    let bind = || {
        let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
        socket.set_reuseaddr(true)?;
        socket.set_reuseport(shared)?;
        socket.bind(address)?;
        socket.listen(BACKLOG)
    };
    let listener = match inherited.filter(fits) {
        Some(socket) => TcpListener::from_std(socket),
        None => bind(),
    };
    let listener = listener.map_err(|e| DaemonError::Listen(address, e))?;
    log::info!("{front}: listening on {}", listener.local_addr().unwrap_or(address));
    Ok(listener)
}

/// Where the head has its node list from.
enum ListSource {
    /// Discovery, at the address that the configuration names.
    Discovery(watch::Receiver<SocketAddr>),
    /// Relays.
    Relays(Box<RelayFollower>),
}

/// Gets the node list, from its source or else from the earlier life, then follows its changes.
async fn obtain_list(
    directory: Rc<EndpointDirectory>,
    known: Option<serde_json::Value>,
    source: ListSource,
    serve: impl FnOnce(),
) {
    let known = known.and_then(|known| match List::from_value(known) {
        Ok(list) => Some(list),
        Err(problem) => {
            log::warn!("daemon: known list: {problem}");
            None
        }
    });
    let stands = known.is_some_and(|list| {
        let serves = !list.entries.is_empty();
        directory.apply(list, &mut Source::default(), crate::scheduler::UpdateKind::CachedSnapshot);
        serves
    });
    let ready = async {
        if !stands {
            directory.heard().await;
        } else if timeout(directory.start_patience(), directory.heard()).await.is_err() {
            log::warn!("daemon: in service with the list of an earlier life{}", standing(&directory));
        }
        serve();
        std::future::pending::<()>().await;
    };
    let follow = async {
        match source {
            ListSource::Discovery(address) => directory.follow(address, stands).await,
            ListSource::Relays(follower) => follower.run().await,
        }
    };
    tokio::select! {
        () = ready => {}
        () = follow => {}
    }
}

/// What the log says of an earlier list where relays are followed.
fn standing(directory: &EndpointDirectory) -> String {
    let Some(relays) = directory.relays_reachable() else { return String::new() };
    let relays = if relays == 0 { "no relay is reachable".into() } else { format!("{relays} relays speak") };
    format!(": version {}, read {:?} ago; {relays}", directory.version(), directory.list_age())
}
