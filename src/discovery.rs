//! Discovery: the whole node list, then a watch on its changes, for as long as the program runs.

use crate::api::*;
use crate::bans::Bans;
use crate::core::Dispatcher;
use crate::counters::Counters;
use crate::node::{Nodes, Place};
use crate::pacing::{Pacing, SILENCE};
use bytes::Bytes;
use flaxgap_roster::values::{LONGEST, ValueError, Values};
use flaxgap_roster::wire::{List, ListError, State};
use flaxgap_roster::{Change, Roster, Source};
use http_body_util::{BodyExt, Empty, Limited};
use hyper::body::Incoming;
use hyper::header::HOST;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use thiserror::Error;
use tokio::net::TcpStream;
use tokio::sync::{Notify, watch};
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep, timeout};

/// How often a line that can't be read is made up for by the whole list before what was known has to do.
const MAKE_UP: usize = 3;
/// How long a list may take from its first byte to its last.
const CUT_SHORT: Duration = Duration::from_secs(1);
/// Of the parts of one list that can't be read, so many are logged.
const LOGGED: usize = 8;

/// Why a call or a watch came to its end.
#[derive(Debug, Error)]
pub enum DiscoveryError {
    /// Nothing came in time.
    #[error("silent for {0:?}")]
    Silent(Duration),
    /// The connection failed.
    #[error("connection: {0}")]
    Io(#[from] std::io::Error),
    /// The exchange broke off.
    #[error("exchange: {0}")]
    Http(#[from] hyper::Error),
    /// The request could not be worded.
    #[error("request: {0}")]
    Request(#[from] hyper::http::Error),
    /// It answered with another status than 200.
    #[error("status {0}")]
    Status(StatusCode),
    /// A list that can't be read.
    #[error(transparent)]
    List(#[from] ListError),
    /// A call for the whole list brought only a part of it.
    #[error("list: not whole")]
    NotWhole,
    /// The list broke off, or is past any sensible length.
    #[error("list: {0}")]
    Body(String),
    /// A watch that can't be read on.
    #[error("watch: {0}")]
    Value(#[from] ValueError),
    /// What began a list came to no end.
    #[error("a list that does not end")]
    CutShort,
    /// The watch was closed from the other side.
    #[error("the watch was closed")]
    Closed,
    /// The source has been behind what is known for too long.
    #[error("versions must be counted anew: at {0}, behind {1}")]
    Anew(u64, u64),
}

/// An entry as the list has it, without what operators say of it.
#[derive(Clone)]
struct Listed {
    info: NodeInfo,
    address: Option<SocketAddr>,
}

/// Keeps the module's list and the transport's places in step with discovery and with the operators' bans.
pub struct Directory {
    dispatcher: Rc<Dispatcher>,
    nodes: Rc<Nodes>,
    counters: Rc<Counters>,
    bans: Rc<Bans>,
    /// Which word on a node stands.
    roster: RefCell<Roster>,
    names: RefCell<HashMap<String, Listed>>,
    named: Cell<u64>,
    zones: RefCell<Vec<String>>,
    /// Turns true with the first list that discovery itself gives.
    heard: watch::Sender<bool>,
    pacing: Pacing,
}

impl Directory {
    /// Knows nothing yet; `zones` are the settings' names, in their order.
    pub fn new(
        dispatcher: Rc<Dispatcher>,
        nodes: Rc<Nodes>,
        counters: Rc<Counters>,
        bans: Rc<Bans>,
        zones: Vec<String>,
        pacing: Pacing,
    ) -> Rc<Directory> {
        let heard = watch::Sender::new(false);
        let (named, zones) = (Cell::new(0), RefCell::new(zones));
        let (roster, names) = (RefCell::default(), RefCell::default());
        Rc::new(Directory { dispatcher, nodes, counters, bans, roster, names, named, zones, heard, pacing })
    }

    /// Waits until discovery itself has given a list.
    pub async fn heard(&self) {
        // The sender lives in `self`, so the wait can't fail.
        let _ = self.heard.subscribe().wait_for(|heard| *heard).await;
    }

    /// How long a start with the list of an earlier life waits for discovery.
    pub fn start_patience(&self) -> Duration {
        self.pacing.start()
    }

    /// How many nodes are on the list, and how many of them get no work.
    pub fn gauges(&self) -> [(&'static str, usize); 2] {
        let names = self.names.borrow();
        let out = names.iter().filter(|(name, l)| l.info.state != NodeState::Ready || self.bans.holds(name));
        [("bricks_known", names.len()), ("bricks_excluded", out.count())]
    }

    /// Takes a node out by hand, or calls it back; false for one that was never listed.
    pub fn ban(&self, name: &str, out: bool) -> io::Result<bool> {
        let known = self.roster.borrow().knows(name) || self.bans.names().iter().any(|n| n == name);
        if known {
            self.bans.set(name, out, self.dispatcher.clock().now())?;
            log::info!("discovery: {name}: {} by hand", if out { "out" } else { "back" });
            self.bans_changed();
        }
        Ok(known)
    }

    /// Tells transport and module what the bans make of the list.
    pub fn bans_changed(&self) {
        let entries = self.names.borrow().iter().map(|(name, listed)| self.settle(name, listed)).collect();
        self.dispatcher.tell(&[Event::Nodes { kind: ListKind::Changes, nodes: entries }]);
    }

    /// A listed node as it is to be used, told to the transport: one that is out is left as one that drains
    /// is, and one that is back has started anew, whatever the list says yet.
    fn settle(&self, name: &str, listed: &Listed) -> NodeInfo {
        let mut info = listed.info.clone();
        if self.bans.holds(name) {
            info.state = NodeState::Draining;
        }
        info.since = self.bans.returned(name).map_or(info.since, |at| info.since.max(at));
        match listed.address {
            Some(address) if info.state != NodeState::Gone => {
                self.nodes.place(info.node, Place { name: name.into(), address, state: info.state });
            }
            _ => self.nodes.forget(info.node),
        }
        info
    }

    /// Takes in a list: the transport first, so that nothing is written to a node that just left. What changes is told one
    /// by one, also of a whole list: one that is behind does not have all that stands.
    pub fn apply(&self, list: List, source: &mut Source, kind: ListKind) {
        self.counters.list_changes.add();
        for unread in list.unread.iter().take(LOGGED) {
            log::warn!("discovery: version {}, {unread}", list.rev);
        }
        if list.unread.len() > LOGGED {
            log::warn!("discovery: version {}, {} more can't be read", list.rev, list.unread.len() - LOGGED);
        }
        list.unread.iter().for_each(|_| self.counters.bad_input.add());
        let changes = self.roster.borrow_mut().take(list, source, self.dispatcher.clock().now());
        let entries: Vec<NodeInfo> = changes.into_iter().flat_map(|change| self.change(change)).collect();
        self.dispatcher.tell(&[Event::Nodes { kind, nodes: entries }]);
        self.heard.send_if_modified(|heard| kind != ListKind::Cached && !std::mem::replace(heard, true));
    }

    /// What a change makes of the nodes that module and transport know.
    fn change(&self, change: Change) -> Vec<NodeInfo> {
        let gone = |name: &str, listed: Listed| {
            let info = NodeInfo { state: NodeState::Gone, ..listed.info };
            self.settle(name, &Listed { info, address: None })
        };
        let entry = match change {
            // A name whose node is gone is not kept: another that comes has a number of its own, and over time
            // names come without end.
            Change::Gone(name) => {
                let listed = self.names.borrow_mut().remove(&name);
                return listed.map(|listed| gone(&name, listed)).into_iter().collect();
            }
            Change::Holds(entry) => entry,
        };
        let known = self.names.borrow().get(&entry.name).cloned();
        let shard = entry.shard.map(ShardId).or(known.as_ref().map(|known| known.info.shard));
        let shard = shard.unwrap_or(ShardId(0));
        let state = if entry.state == State::Ready { NodeState::Ready } else { NodeState::Draining };
        let address = entry.address.or(known.as_ref().and_then(|known| known.address));
        // One that holds another shard than before has left the queue that it had.
        let moved =
            known.clone().filter(|known| known.info.shard != shard).map(|known| gone(&entry.name, known));
        let node = known.map(|known| known.info.node);
        let node = node.unwrap_or_else(|| NodeId(self.named.replace(self.named.get() + 1)));
        let info = NodeInfo { node, shard, since: entry.boot, zone: self.zone(&entry.zone), state };
        let listed = Listed { info, address };
        let info = self.settle(&entry.name, &listed);
        self.names.borrow_mut().insert(entry.name, listed);
        moved.into_iter().chain([info]).collect()
    }

    fn zone(&self, name: &str) -> ZoneId {
        let mut zones = self.zones.borrow_mut();
        let place = zones.iter().position(|z| z == name).unwrap_or_else(|| {
            zones.push(name.into());
            zones.len() - 1
        });
        ZoneId(u16::try_from(place).unwrap_or(u16::MAX))
    }

    /// Fetches the whole list once.
    async fn fetch(&self, address: SocketAddr) -> Result<List, DiscoveryError> {
        let call = async {
            let (response, guard) = get(address, "/api/targets".into()).await?;
            let body = Limited::new(response.into_body(), LONGEST).collect().await;
            let body = body.map_err(|problem| DiscoveryError::Body(problem.to_string()))?.to_bytes();
            drop(guard);
            Ok::<_, DiscoveryError>(body)
        };
        let patience = self.pacing.call();
        let body = timeout(patience, call).await.map_err(|_| DiscoveryError::Silent(patience))??;
        let list = List::parse(&body)?;
        if !list.all {
            return Err(DiscoveryError::NotWhole);
        }
        Ok(list)
    }

    /// Watches the changes after the version that the source has told, until the watch ends. What can't be read
    /// is passed over and `lost` told of it: to ask for it again would bring it again.
    async fn watch(&self, address: SocketAddr, source: &RefCell<Source>, lost: &Notify) -> WatchEnd {
        let path = format!("/api/targets?follow=1&since={}", source.borrow().cursor());
        let patience = self.pacing.call();
        let call = timeout(patience, get(address, path)).await;
        let call = call.unwrap_or(Err(DiscoveryError::Silent(patience)));
        match call {
            Ok((response, _guard)) => {
                WatchEnd { opened: true, problem: self.read(response, source, lost).await }
            }
            Err(problem) => WatchEnd { opened: false, problem },
        }
    }

    /// Reads a watch that has opened to its end, and says what that was.
    async fn read(
        &self,
        response: Response<Incoming>,
        source: &RefCell<Source>,
        lost: &Notify,
    ) -> DiscoveryError {
        let mut body = response.into_body();
        let mut values = Values::default();
        let mut begun = None;
        loop {
            let frame = timeout(SILENCE, body.frame()).await;
            let data = match frame {
                Err(_) => return DiscoveryError::Silent(SILENCE),
                Ok(None) => return DiscoveryError::Closed,
                Ok(Some(Err(problem))) => return problem.into(),
                Ok(Some(Ok(frame))) => frame.into_data().unwrap_or_default(),
            };
            values.push(&data);
            while let Some(next) = values.next_list() {
                match next {
                    Ok(list) => {
                        let kind = if list.all { "whole" } else { "changes" };
                        log::info!("discovery: version {}, {} entries, {kind}", list.rev, list.entries.len());
                        self.apply(list, &mut source.borrow_mut(), ListKind::Changes);
                    }
                    Err(problem @ ValueError::TooLong { .. }) => return problem.into(),
                    Err(problem) => {
                        log::warn!("discovery: passed over: {problem}");
                        self.counters.bad_input.add();
                        lost.notify_one();
                    }
                }
            }
            // One that was cut short looks like one that is still to come.
            begun = begun.or(Some(Instant::now())).filter(|_| values.unfinished());
            if begun.is_some_and(|at| at.elapsed() > CUT_SHORT) {
                lost.notify_one();
                return DiscoveryError::CutShort;
            }
            if source.borrow().counts_anew(self.dispatcher.clock().now()) {
                let (at, known) = (source.borrow().cursor(), self.roster.borrow().version());
                return DiscoveryError::Anew(at, known);
            }
        }
    }

    /// Follows the list for as long as the program runs, wherever it is to be had: from the version known on,
    /// or, where none is, from the first whole list that is given.
    pub async fn follow(&self, mut source: watch::Receiver<SocketAddr>, mut known: bool) {
        if known {
            sleep(self.pacing.first()).await;
        }
        let mut back_off = self.pacing.back_off();
        while !known {
            let address = *source.borrow_and_update();
            match self.fetch(address).await {
                Ok(list) => {
                    self.apply(list, &mut Source::default(), ListKind::Changes);
                    known = true;
                }
                Err(problem) => {
                    log::warn!("discovery: no list: {problem}");
                    tokio::select! {
                        () = sleep(back_off.pause()) => {}
                        _ = source.changed() => back_off.restart(),
                    }
                }
            }
        }
        loop {
            let address = *source.borrow_and_update();
            tokio::select! {
                biased;
                () = self.moved(&mut source) => {}
                () = self.keep_watch(address) => {}
            }
        }
    }

    /// Waits until the list has another source and that source's list is in, whole. Until then the nodes known
    /// serve, and the watch on the old source goes on for as long as that lets it. A source may be behind the old one:
    /// what its list says of nodes that leave is taken at once, and the move is made once it has caught up, or has been
    /// behind for so long that its versions must be counted anew.
    async fn moved(&self, source: &mut watch::Receiver<SocketAddr>) {
        if source.changed().await.is_err() {
            // No other source will ever be named.
            return std::future::pending().await;
        }
        'source: loop {
            let (address, mut new) = (*source.borrow_and_update(), Source::default());
            let mut back_off = self.pacing.back_off();
            loop {
                let fetched = self.fetch(address).await;
                if source.has_changed().is_ok_and(|changed| changed) {
                    continue 'source;
                }
                match fetched {
                    Ok(list) => {
                        self.apply(list, &mut new, ListKind::Changes);
                        let (version, known) = (new.cursor(), self.roster.borrow().version());
                        if !new.is_behind() {
                            return log::info!("discovery: now at {address}, version {version}");
                        }
                        log::warn!("discovery: {address} is at version {version}, behind {known}");
                    }
                    Err(problem) => log::warn!("discovery: no list at {address}: {problem}"),
                }
                tokio::select! {
                    () = sleep(back_off.pause()) => {}
                    _ = source.changed() => continue 'source,
                }
            }
        }
    }

    /// Keeps a watch at one address, and makes up for what it could not read.
    async fn keep_watch(&self, address: SocketAddr) {
        let source = RefCell::new(Source::at(self.roster.borrow().version()));
        let (lost, mut back_off) = (Notify::new(), self.pacing.back_off());
        let keep = async {
            loop {
                let end = self.watch(address, &source, &lost).await;
                log::warn!("discovery: watch ended: {}", end.problem);
                self.counters.watches_lost.add();
                match end.problem {
                    DiscoveryError::Silent(_) if end.opened => back_off.restart_late(),
                    _ if end.opened => back_off.restart(),
                    _ => {}
                }
                if matches!(end.problem, DiscoveryError::Anew(..)) {
                    self.make_up(address, &source).await;
                }
                sleep(back_off.pause()).await;
            }
        };
        let make_up = async {
            loop {
                lost.notified().await;
                self.make_up(address, &source).await;
            }
        };
        tokio::join!(keep, make_up);
    }

    /// Takes the whole list in place of what could not be taken as it came; where that fails too, what is known stands.
    async fn make_up(&self, address: SocketAddr, source: &RefCell<Source>) {
        let mut back_off = self.pacing.back_off();
        for _ in 0..MAKE_UP {
            match self.fetch(address).await {
                Ok(list) => {
                    log::info!("discovery: version {}, {} entries, asked for", list.rev, list.entries.len());
                    return self.apply(list, &mut source.borrow_mut(), ListKind::Changes);
                }
                Err(problem) => log::warn!("discovery: no list at {address}: {problem}"),
            }
            sleep(back_off.pause()).await;
        }
    }
}

/// How a watch came to its end, and whether it had opened.
struct WatchEnd {
    opened: bool,
    problem: DiscoveryError,
}

/// Ends the connection's task when the exchange is dropped.
struct Guard(JoinHandle<()>);

impl Drop for Guard {
    fn drop(&mut self) {
        self.0.abort();
    }
}

async fn get(address: SocketAddr, path: String) -> Result<(Response<Incoming>, Guard), DiscoveryError> {
    let stream = TcpStream::connect(address).await?;
    let (mut sender, connection) = hyper::client::conn::http1::handshake(TokioIo::new(stream)).await?;
    let guard = Guard(tokio::task::spawn_local(async move {
        if let Err(problem) = connection.await {
            log::debug!("discovery: {problem}");
        }
    }));
    let request = Request::get(path).header(HOST, address.to_string()).body(Empty::<Bytes>::new())?;
    let response = sender.send_request(request).await?;
    match response.status() {
        StatusCode::OK => Ok((response, guard)),
        other => Err(DiscoveryError::Status(other)),
    }
}
