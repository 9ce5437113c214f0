//! A process full of hollow heads, all on one thread. It takes orders on its standard input, answers on its standard
//! output, and ends when its input does.

use super::hollow::{HollowHead, Plan};
use super::message::{
    ListState, Micros, Progress, StartsWith, Traffic, VersionTimes, WorkerOrder, WorkerReply, now,
};
use super::usage::Usage;
use super::{ScaleError, http, settings};
use flaxgap_membership::compact::CompactList;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, BufReader, stdin};
use tokio::task::spawn_local;

/// How often it is looked at how far the heads have come; the times themselves are noted as they are.
const LOOK: Duration = Duration::from_millis(20);
/// So many heads start before others are served: the start of one takes milliseconds.
const STARTS_IN_A_ROW: usize = 4;

/// One head, and how far it has come.
struct Entry {
    head: HollowHead,
    state: Rc<HeadState>,
}

impl Entry {
    /// Whether it has heard of its source since its start. A relay that has nothing new for it gives only a sign of life.
    fn in_touch(&self) -> bool {
        self.state.heard.get() || self.state.version.get() > 0 && self.head.reaches_a_relay()
    }
}

/// How far a head has come.
struct HeadState {
    started: Micros,
    heard: Cell<bool>,
    version: Cell<u64>,
}

/// How far all heads have come, and when.
#[derive(Default)]
struct Book {
    heard: Cell<usize>,
    /// Heads by the version that they have in force.
    versions: RefCell<BTreeMap<u64, usize>>,
    in_force: RefCell<BTreeMap<u64, Vec<Micros>>>,
    starts: RefCell<Vec<Micros>>,
}

impl Book {
    /// A head has a version in force.
    fn note(&self, head: &HeadState, version: u64) {
        let at = now();
        let before = head.version.replace(version);
        self.count(before, version);
        if !head.heard.replace(true) {
            self.heard.set(self.heard.get() + 1);
            self.starts.borrow_mut().push(at - head.started);
        }
        // Versions from before a head's start are not its own.
        if before > 0 {
            let mut in_force = self.in_force.borrow_mut();
            for version in before + 1..=version {
                in_force.entry(version).or_default().push(at);
            }
        }
    }

    fn count(&self, before: u64, version: u64) {
        let mut versions = self.versions.borrow_mut();
        *versions.entry(version).or_default() += 1;
        let of_before = versions.entry(before).or_default();
        *of_before = of_before.saturating_sub(1);
        if *of_before == 0 {
            versions.remove(&before);
        }
    }

    fn joins(&self, version: u64) {
        *self.versions.borrow_mut().entry(version).or_default() += 1;
    }

    fn leaves(&self, head: &HeadState) {
        let mut versions = self.versions.borrow_mut();
        if let Some(count) = versions.get_mut(&head.version.get()) {
            *count -= 1;
            if *count == 0 {
                versions.remove(&head.version.get());
            }
        }
        self.heard.set(self.heard.get() - usize::from(head.heard.get()));
    }
}

/// The process's own state.
struct Worker {
    plan: Plan,
    book: Rc<Book>,
    heads: RefCell<BTreeMap<u32, Entry>>,
    before: Usage,
    /// Orders to start or end heads that were carried out.
    orders: Cell<usize>,
    /// What heads that have ended had received and sent.
    ended: Cell<Traffic>,
    /// The list that heads with a known list start with: as it was at this process's first start.
    known: RefCell<Option<CompactList>>,
}

/// Runs until the input ends.
///
/// # Errors
///
/// An order can't be read, comes before the run begins, or can't be carried out, or this process's usage can't be read.
pub async fn run() -> Result<(), ScaleError> {
    let before = Usage::own()?;
    let mut lines = BufReader::new(stdin()).lines();
    let mut worker: Option<Rc<Worker>> = None;
    while let Some(line) = lines.next_line().await.map_err(|e| ScaleError::Io("orders".into(), e))? {
        match (serde_json::from_str(&line)?, &worker) {
            (WorkerOrder::Begin { heads, seed, discovery, relays }, _) => {
                let (settings, notes) = settings::read(heads)?;
                let plan = Plan { settings, notes, seed, discovery, relays };
                let (book, heads, ended, known, orders) = Default::default();
                let begun = Rc::new(Worker { plan, book, heads, before, orders, ended, known });
                spawn_local(begun.clone().tell_progress());
                worker = Some(begun);
            }
            (order, Some(worker)) => worker.obey(order).await?,
            (_, None) => return Err(ScaleError::Settings("the first order has to begin the run".into())),
        }
    }
    Ok(())
}

/// Says something to the tool.
///
/// # Errors
///
/// The reply can't be written as JSON, or standard output can't be written to.
pub fn say(reply: &impl serde::Serialize) -> Result<(), ScaleError> {
    use std::io::Write;
    let mut line = serde_json::to_vec(reply)?;
    line.push(b'\n');
    let mut output = std::io::stdout().lock();
    let written = output.write_all(&line).and_then(|()| output.flush());
    written.map_err(|problem| ScaleError::Io("reply".into(), problem))
}

impl Worker {
    async fn obey(&self, order: WorkerOrder) -> Result<(), ScaleError> {
        match order {
            WorkerOrder::Begin { .. } => Err(ScaleError::Settings("the run has begun before".into())),
            WorkerOrder::Start { heads, with } => {
                self.start(&heads, with).await?;
                self.orders.set(self.orders.get() + 1);
                Ok(())
            }
            WorkerOrder::Stop { heads } => {
                heads.iter().for_each(|number| self.stop(*number));
                self.orders.set(self.orders.get() + 1);
                Ok(())
            }
            WorkerOrder::Sample => say(&self.sample()?),
            WorkerOrder::InForce => {
                let versions = self.book.in_force.take().into_iter();
                let versions = versions.map(|(version, at)| VersionTimes { version, at }).collect();
                say(&WorkerReply::InForce { versions, starts: self.book.starts.take() })
            }
            WorkerOrder::Lists => {
                let mut lists = BTreeMap::<ListState, usize>::new();
                for entry in self.heads.borrow().values() {
                    *lists.entry(entry.head.list(entry.state.version.get())).or_default() += 1;
                }
                say(&WorkerReply::Lists(lists.into_iter().collect()))
            }
        }
    }

    /// Starts heads. Those with a known list share one reading of it.
    async fn start(&self, numbers: &[u32], with: StartsWith) -> Result<(), ScaleError> {
        let known = match with {
            StartsWith::Nothing => None,
            StartsWith::KnownList => Some(self.known_list().await?),
        };
        let version = known.as_ref().map_or(0, |list| list.version);
        for (place, number) in numbers.iter().enumerate() {
            let state =
                Rc::new(HeadState { started: now(), heard: Cell::new(false), version: Cell::new(version) });
            self.book.joins(version);
            let (book, told) = (self.book.clone(), state.clone());
            let heard = move |version| book.note(&told, version);
            let head = HollowHead::start(&self.plan, *number, known.clone(), heard)?;
            self.heads.borrow_mut().insert(*number, Entry { head, state });
            if place % STARTS_IN_A_ROW == STARTS_IN_A_ROW - 1 {
                tokio::task::yield_now().await;
            }
        }
        Ok(())
    }

    /// The list of the heads' earlier life: read once, so that what a later start has missed is asked for.
    async fn known_list(&self) -> Result<CompactList, ScaleError> {
        if let Some(list) = &*self.known.borrow() {
            return Ok(list.clone());
        }
        let text = http::get(self.plan.discovery[0], "/api/targets").await?;
        let list = CompactList::parse(&text).map_err(|problem| ScaleError::Settings(problem.to_string()))?;
        self.known.replace(Some(list.clone()));
        Ok(list)
    }

    fn stop(&self, number: u32) {
        let Some(entry) = self.heads.borrow_mut().remove(&number) else { return };
        self.book.leaves(&entry.state);
        self.ended.set(self.ended.get().plus(entry.head.traffic().unwrap_or_default()));
    }

    fn sample(&self) -> Result<WorkerReply, ScaleError> {
        let heads = self.heads.borrow();
        let mut traffic = None;
        for entry in heads.values() {
            let Some(of_head) = entry.head.traffic() else { break };
            traffic = Some(traffic.unwrap_or(self.ended.get()).plus(of_head));
        }
        Ok(WorkerReply::Sample { usage: Usage::own()?, before: self.before, traffic, heads: heads.len() })
    }

    fn progress(&self) -> Progress {
        let version = self.book.versions.borrow().keys().next().copied().unwrap_or(u64::MAX);
        let heads = self.heads.borrow();
        let heard = match self.book.heard.get() {
            all if all == heads.len() => all,
            _ => heads.values().filter(|entry| entry.in_touch()).count(),
        };
        Progress { orders: self.orders.get(), heads: heads.len(), heard, version }
    }

    async fn tell_progress(self: Rc<Self>) {
        let mut told = None;
        loop {
            let progress = self.progress();
            if told.replace(progress) != Some(progress) && say(&WorkerReply::Progress(progress)).is_err() {
                // The tool has ended.
                std::process::exit(1);
            }
            tokio::time::sleep(LOOK).await;
        }
    }
}
