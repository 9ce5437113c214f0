//! The fleet as a run has it: discovery, control machines, hollow heads in their processes, and real heads.

use super::ScaleError;
use super::args::{Role, ScaleArgs};
use super::children::{Child, program};
use super::message::{
    DiscoveryOrder, DiscoveryReply, ListState, Micros, Progress, Served, StartsWith, Traffic, WorkerOrder,
    WorkerReply,
};
use super::nodes::{NodeRecord, NodeTable, REGIONS};
use super::real::{RealHead, RealPlan, RealSample};
use super::relays::{Relay, RelayPlace};
use super::usage::Usage;
use super::{events::Waits, storage};
use indicatif::{ProgressBar, ProgressStyle};
use std::cell::Cell;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// How often it is looked at how far the heads have come.
const LOOK: Duration = Duration::from_millis(10);

/// A process of hollow heads, and how far they have come.
struct Worker {
    child: Child<WorkerReply>,
    progress: Rc<Cell<Progress>>,
    /// Orders to start or end heads that it was given: its progress counts once it has carried them out.
    orders: usize,
    /// Heads that it then has.
    expected: usize,
}

/// What a control machine uses and has served.
#[derive(Clone, Copy, Debug, Default)]
pub struct ControlSample {
    /// The process's use.
    pub usage: Usage,
    /// Its counts.
    pub served: Served,
}

/// What all use at a moment.
pub struct FleetSample {
    /// Each process of hollow heads: its use, that before its first head, its heads.
    pub workers: Vec<(Usage, Usage, usize)>,
    /// What the hollow heads have received and sent, by their own counts.
    pub traffic: Option<Traffic>,
    /// The stand-in for discovery.
    pub discovery: ControlSample,
    /// The relays.
    pub relays: Vec<ControlSample>,
    /// The real heads.
    pub real: Vec<RealSample>,
}

impl FleetSample {
    /// The control machines that heads talk to: the relays, or else the stand-in for discovery.
    pub fn control(&self) -> &[ControlSample] {
        if self.relays.is_empty() { std::slice::from_ref(&self.discovery) } else { &self.relays }
    }
}

/// When versions were in force at the hollow heads.
#[derive(Default)]
pub struct InForce {
    /// By version.
    pub versions: BTreeMap<u64, Vec<Micros>>,
    /// From the start of heads to their first list in force.
    pub starts: Vec<Micros>,
}

/// The fleet, which ends with this.
pub struct Fleet {
    /// The truth on the nodes.
    pub table: NodeTable,
    /// Hollow heads that run, by number.
    pub heads: BTreeSet<u32>,
    /// How long is waited for what.
    pub waits: Waits,
    discovery: Child<DiscoveryReply>,
    workers: Vec<Worker>,
    /// The relays.
    pub relays: Vec<Relay>,
    /// The real heads.
    pub real: Vec<RealHead>,
    addresses: Vec<SocketAddr>,
    shown: ProgressBar,
    _folder: tempfile::TempDir,
}

impl Fleet {
    /// Starts all of it and waits until every head has heard of discovery. The fleet's first heads start as after a
    /// night's work: with the list as they had it last.
    ///
    /// # Errors
    ///
    /// A program is missing, or a process of the fleet can't be started, does not reply, or is not ready in time.
    pub async fn start(args: &ScaleArgs, waits: Waits) -> Result<Fleet, ScaleError> {
        let real_program =
            (args.real > 0).then(|| program(args.head.as_deref(), "flaxgap", "head")).transpose()?;
        let relay_program = (args.relays > 0)
            .then(|| program(args.relay.as_deref(), "flaxgap-relay", "relay"))
            .transpose()?;
        let folder = tempfile::Builder::new().prefix("flaxgap-scale-").tempdir();
        let folder = folder.map_err(|problem| ScaleError::Io("temporary folder".into(), problem))?;
        let table = NodeTable::new(args.nodes, &storage::start_nodes().await?);
        let mut discovery = Child::start(Role::Discovery, "discovery".into(), Some)?;
        let begin = DiscoveryOrder::Begin { nodes: table.nodes().to_vec(), regions: REGIONS };
        let DiscoveryReply::Listening(addresses) = discovery.ask(&begin).await? else {
            return Err(discovery.unexpected().into());
        };
        let mut fleet = Fleet {
            table,
            heads: BTreeSet::new(),
            waits,
            discovery,
            workers: Vec::new(),
            relays: Vec::new(),
            real: Vec::new(),
            addresses,
            shown: progress_bar(args),
            _folder: folder,
        };
        for number in 0..args.relays {
            let Some(program) = &relay_program else { break };
            let relay = Relay::start(program, fleet._folder.path(), number, &fleet.addresses).await?;
            fleet.relays.push(relay);
        }
        for number in 0..args.workers {
            fleet.start_worker(args, number).await?;
        }
        let hollow: Vec<u32> = (args.real..args.heads).collect();
        fleet.start_heads(&hollow, StartsWith::KnownList).await?;
        for number in 0..args.real {
            let Some(program) = &real_program else { break };
            let plan = RealPlan {
                program,
                heads: args.heads,
                seed: args.seed,
                discovery: &fleet.addresses,
                relays: &fleet.places(),
                known: fleet.table.nodes(),
                folder: fleet._folder.path(),
            };
            let head = RealHead::start(&plan, number).await?;
            fleet.real.push(head);
        }
        if !fleet.all_heard(waits.start).await {
            return Err(ScaleError::NotInTime("not all heads have heard of discovery", waits.start));
        }
        fleet.in_force().await?;
        Ok(fleet)
    }

    async fn start_worker(&mut self, args: &ScaleArgs, number: u32) -> Result<(), ScaleError> {
        let progress = Rc::new(Cell::new(Progress::default()));
        let told = progress.clone();
        let mut child =
            Child::start(Role::Hollow, format!("hollow heads {number}"), move |reply| match reply {
                WorkerReply::Progress(progress) => {
                    told.set(progress);
                    None
                }
                other => Some(other),
            })?;
        let (heads, seed) = (args.heads, args.seed);
        let (discovery, relays) = (self.addresses.clone(), self.places());
        child.tell(&WorkerOrder::Begin { heads, seed, discovery, relays }).await?;
        self.workers.push(Worker { child, progress, orders: 0, expected: 0 });
        Ok(())
    }

    fn places(&self) -> Vec<RelayPlace> {
        self.relays.iter().map(|relay| relay.place.clone()).collect()
    }

    /// The numbers of heads by the process that they are in.
    fn by_worker(&self, heads: &[u32]) -> Vec<Vec<u32>> {
        let mut parts = vec![Vec::new(); self.workers.len()];
        // Zones go by the lowest digits; every process has some of each.
        let place = |head: u32| (head as usize / super::nodes::ZONES) % self.workers.len();
        heads.iter().for_each(|head| parts[place(*head)].push(*head));
        parts
    }

    /// Starts hollow heads.
    ///
    /// # Errors
    ///
    /// A worker process has ended.
    pub async fn start_heads(&mut self, heads: &[u32], with: StartsWith) -> Result<(), ScaleError> {
        let parts = self.by_worker(heads);
        for (worker, heads) in self.workers.iter_mut().zip(parts) {
            worker.expected += heads.len();
            worker.orders += 1;
            worker.child.tell(&WorkerOrder::Start { heads, with }).await?;
        }
        self.heads.extend(heads);
        Ok(())
    }

    /// Ends hollow heads.
    ///
    /// # Errors
    ///
    /// A worker process has ended.
    pub async fn stop_heads(&mut self, heads: &[u32]) -> Result<(), ScaleError> {
        let parts = self.by_worker(heads);
        for (worker, heads) in self.workers.iter_mut().zip(parts) {
            worker.expected -= heads.len();
            worker.orders += 1;
            worker.child.tell(&WorkerOrder::Stop { heads }).await?;
        }
        heads.iter().for_each(|head| _ = self.heads.remove(head));
        Ok(())
    }

    /// Publishes what has changed of the table as one version; gives that, and when it was out.
    ///
    /// # Errors
    ///
    /// The discovery process has ended, or does not reply as expected.
    pub async fn publish(&mut self, nodes: Vec<NodeRecord>) -> Result<(u64, Micros), ScaleError> {
        match self.discovery.ask(&DiscoveryOrder::Publish { nodes }).await? {
            DiscoveryReply::Published { version, at } => Ok((version, at)),
            _ => Err(self.discovery.unexpected().into()),
        }
    }

    /// Cuts a region off from discovery, or mends the cut; gives when.
    ///
    /// # Errors
    ///
    /// The discovery process has ended, or does not reply as expected.
    pub async fn cut(&mut self, region: usize, off: bool) -> Result<Micros, ScaleError> {
        match self.discovery.ask(&DiscoveryOrder::Cut { region, off }).await? {
            DiscoveryReply::Cut { at } => Ok(at),
            _ => Err(self.discovery.unexpected().into()),
        }
    }

    /// Waits until every hollow head has heard of discovery since its start; whether it came to that.
    pub async fn all_heard(&self, longest: Duration) -> bool {
        self.all(longest, |progress| progress.heard == progress.heads).await
    }

    /// Waits until every hollow head has a version in force; whether it came to that.
    pub async fn all_have(&self, version: u64, longest: Duration) -> bool {
        self.all(longest, |progress| progress.version >= version).await
    }

    async fn all(&self, longest: Duration, holds: impl Fn(Progress) -> bool) -> bool {
        let end = Instant::now() + longest;
        loop {
            self.show();
            let up_to_date = |worker: &Worker| {
                let progress = worker.progress.get();
                progress.orders == worker.orders && progress.heads == worker.expected && holds(progress)
            };
            if self.workers.iter().all(up_to_date) {
                return true;
            }
            if Instant::now() >= end {
                return false;
            }
            sleep(LOOK).await;
        }
    }

    fn show(&self) {
        let heard: usize = self.workers.iter().map(|worker| worker.progress.get().heard).sum();
        let version = self.workers.iter().map(|worker| worker.progress.get().version).min().unwrap_or(0);
        self.shown.set_position(heard as u64);
        self.shown.set_prefix(format!("version {version}"));
    }

    /// Shows what goes on now.
    pub fn says(&self, what: &str) {
        self.shown.set_message(what.to_string());
        self.show();
    }

    /// What all use now.
    ///
    /// # Errors
    ///
    /// A process has ended or does not reply as expected, or its usage can't be read.
    pub async fn sample(&mut self) -> Result<FleetSample, ScaleError> {
        let (mut workers, mut traffic) = (Vec::new(), Some(Traffic::default()));
        for worker in &mut self.workers {
            let reply = worker.child.ask(&WorkerOrder::Sample).await?;
            let WorkerReply::Sample { usage, before, traffic: of_worker, heads } = reply else {
                return Err(worker.child.unexpected().into());
            };
            workers.push((usage, before, heads));
            traffic = traffic.zip(of_worker).map(|(all, one)| all.plus(one));
        }
        let DiscoveryReply::Sample { usage, served } = self.discovery.ask(&DiscoveryOrder::Sample).await?
        else {
            return Err(self.discovery.unexpected().into());
        };
        let discovery = ControlSample { usage, served };
        let mut relays = Vec::new();
        for relay in &self.relays {
            relays.push(relay.sample().await?);
        }
        let mut real = Vec::new();
        for head in &self.real {
            real.push(head.sample().await?);
        }
        Ok(FleetSample { workers, traffic, discovery, relays, real })
    }

    /// When versions were in force, since this was asked last.
    ///
    /// # Errors
    ///
    /// A worker process has ended, or does not reply as expected.
    pub async fn in_force(&mut self) -> Result<InForce, ScaleError> {
        let mut all = InForce::default();
        for worker in &mut self.workers {
            let WorkerReply::InForce { versions, starts } = worker.child.ask(&WorkerOrder::InForce).await?
            else {
                return Err(worker.child.unexpected().into());
            };
            for times in versions {
                all.versions.entry(times.version).or_default().extend(times.at);
            }
            all.starts.extend(starts);
        }
        Ok(all)
    }

    /// Hollow heads whose list is not as the table has it, at a version.
    ///
    /// # Errors
    ///
    /// A worker process has ended, or does not reply as expected.
    pub async fn astray(&mut self, version: u64) -> Result<usize, ScaleError> {
        let (known, excluded) = self.table.counts();
        let right = ListState { version, known, excluded };
        let mut astray = 0;
        for worker in &mut self.workers {
            let WorkerReply::Lists(lists) = worker.child.ask(&WorkerOrder::Lists).await? else {
                return Err(worker.child.unexpected().into());
            };
            let wrong = lists.iter().filter(|(list, _)| *list != right);
            astray += wrong.map(|(_, heads)| heads).sum::<usize>();
        }
        Ok(astray)
    }

    /// Ends all of it and waits for the end.
    ///
    /// # Errors
    ///
    /// A relay's last sample can't be taken.
    pub async fn end(mut self) -> Result<(), ScaleError> {
        self.shown.finish_and_clear();
        for worker in &mut self.workers {
            worker.child.end().await;
        }
        for head in &mut self.real {
            head.end().await;
        }
        for relay in &mut self.relays {
            relay.kill().await?;
        }
        self.discovery.end().await;
        Ok(())
    }
}

/// Shows itself where the errors' stream is a terminal, and nothing elsewhere.
fn progress_bar(args: &ScaleArgs) -> ProgressBar {
    let bar = ProgressBar::new(u64::from(args.heads - args.real));
    if let Ok(style) = ProgressStyle::with_template("{elapsed} {msg}: {pos}/{len} heads hear, {prefix}") {
        bar.set_style(style);
    }
    bar
}
