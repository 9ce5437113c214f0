//! Discovery: the whole node list, then a watch on its changes, for as long as the program runs.

use crate::api::*;
use crate::bans::Bans;
use crate::core::Dispatcher;
use crate::counters::Counters;
use crate::node::{Nodes, Place};
use crate::pacing::{Pacing, SILENCE};
use bytes::{Buf, Bytes, BytesMut};
use http_body_util::{BodyExt, Empty, Limited};
use hyper::body::Incoming;
use hyper::header::HOST;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use serde::Deserialize;
use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet, VecDeque};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use thiserror::Error;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep, timeout};

/// How long a new source may be behind what the old one told before its list is taken all the same, since its versions
/// may be counted anew: what discovery has to tell counts as told 6 s later.
const BEHIND: Duration = Duration::from_secs(5);
/// Longest line, and longest list, that is read.
const LONGEST_LINE: usize = 4 << 20;

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
    #[error("list: {0}")]
    List(#[from] serde_json::Error),
    /// A call for the whole list brought only a part of it.
    #[error("list: not whole")]
    NotWhole,
    /// The list broke off, or is past any sensible length.
    #[error("list: {0}")]
    Body(String),
    /// A line past any sensible length.
    #[error("a line of over {LONGEST_LINE} bytes")]
    TooLong,
    /// The watch was closed from the other side.
    #[error("the watch was closed")]
    Closed,
}

/// The list, or changes of it, as discovery words them.
#[derive(Debug, Deserialize)]
pub struct List {
    /// Version.
    pub rev: u64,
    /// Whether it is the whole list.
    #[serde(default)]
    pub all: bool,
    /// The entries.
    pub targets: Vec<Target>,
}

/// One entry of the list.
#[derive(Debug, Deserialize)]
pub struct Target {
    /// The node's name among all heads.
    pub uid: String,
    /// Where this head reaches it.
    #[serde(default)]
    pub endpoint: String,
    /// Its zone.
    #[serde(default)]
    pub az: String,
    /// The shard it holds.
    #[serde(default)]
    pub pod_group: u32,
    /// Whether it takes work.
    pub state: String,
    /// Its last start, in milliseconds of Unix time; 0 for long ago.
    #[serde(default)]
    pub boot_ms: f64,
}

/// How many names of nodes are known that were ever listed.
const MOST_NAMES: usize = 4096;

/// An entry as the list has it, without what operators say of it.
#[derive(Clone)]
struct Listed {
    info: NodeInfo,
    address: Option<SocketAddr>,
}

/// Names that were listed once, the latest of them.
#[derive(Default)]
struct Seen {
    known: HashSet<String>,
    order: VecDeque<String>,
}

impl Seen {
    fn note(&mut self, name: &str) {
        if self.known.insert(name.into()) {
            self.order.push_back(name.into());
            let old = (self.order.len() > MOST_NAMES).then(|| self.order.pop_front()).flatten();
            old.into_iter().for_each(|old| _ = self.known.remove(&old));
        }
    }
}

/// Keeps the module's list and the transport's places in step with discovery and with the operators' bans.
pub struct Directory {
    dispatcher: Rc<Dispatcher>,
    nodes: Rc<Nodes>,
    counters: Rc<Counters>,
    bans: Rc<Bans>,
    names: RefCell<HashMap<String, Listed>>,
    seen: RefCell<Seen>,
    named: Cell<u64>,
    zones: RefCell<Vec<String>>,
    version: Cell<u64>,
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
        let (named, version, zones) = (Cell::new(0), Cell::new(0), RefCell::new(zones));
        let (names, seen) = (RefCell::default(), RefCell::default());
        Rc::new(Directory {
            dispatcher,
            nodes,
            counters,
            bans,
            names,
            seen,
            named,
            zones,
            version,
            heard,
            pacing,
        })
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
        let known = self.seen.borrow().known.contains(name) || self.bans.names().iter().any(|n| n == name);
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
                self.nodes.place(info.node, Place { address, state: info.state });
            }
            _ => self.nodes.forget(info.node),
        }
        info
    }

    /// Takes in a list: the transport first, so that nothing is written to a node that just left.
    pub fn apply(&self, list: &List, kind: ListKind) {
        self.counters.list_changes.add();
        self.heard.send_if_modified(|heard| kind != ListKind::Cached && !std::mem::replace(heard, true));
        self.version.set(list.rev);
        if kind != ListKind::Changes {
            let listed: HashSet<&str> = list.targets.iter().map(|t| t.uid.as_str()).collect();
            self.names.borrow_mut().retain(|name, node| {
                let stays = listed.contains(name.as_str());
                if !stays {
                    self.nodes.forget(node.info.node);
                }
                stays
            });
        }
        let entries: Vec<NodeInfo> = list.targets.iter().map(|target| self.entry(target)).collect();
        self.dispatcher.tell(&[Event::Nodes { kind, nodes: entries }]);
    }

    fn entry(&self, target: &Target) -> NodeInfo {
        let state = match target.state.as_str() {
            "ready" => NodeState::Ready,
            "draining" => NodeState::Draining,
            "gone" => NodeState::Gone,
            other => {
                log::warn!("discovery: {}: unknown state {other:?}, taken as draining", target.uid);
                NodeState::Draining
            }
        };
        let (state, address) = match (state, target.endpoint.parse::<SocketAddr>()) {
            (NodeState::Gone, _) => (NodeState::Gone, None),
            (state, Ok(address)) => (state, Some(address)),
            (_, Err(problem)) => {
                log::warn!("discovery: {}: {}: {problem}, left out", target.uid, target.endpoint);
                self.counters.bad_input.add();
                (NodeState::Gone, None)
            }
        };
        let since = if target.boot_ms > 0.0 { target.boot_ms / 1000.0 } else { 0.0 };
        // A name whose node is gone is not kept: another that comes has a number of its own, and over time
        // names come without end.
        let mut names = self.names.borrow_mut();
        let node = names.get(&target.uid).map(|known| known.info.node);
        let node = node.unwrap_or_else(|| NodeId(self.named.replace(self.named.get() + 1)));
        let (shard, zone) = (ShardId(target.pod_group), self.zone(&target.az));
        let listed = Listed { info: NodeInfo { node, shard, since, zone, state }, address };
        self.seen.borrow_mut().note(&target.uid);
        let info = self.settle(&target.uid, &listed);
        match state {
            NodeState::Gone => _ = names.remove(&target.uid),
            _ => _ = names.insert(target.uid.clone(), listed),
        }
        info
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
            let body = Limited::new(response.into_body(), LONGEST_LINE).collect().await;
            let body = body.map_err(|problem| DiscoveryError::Body(problem.to_string()))?.to_bytes();
            drop(guard);
            Ok::<_, DiscoveryError>(body)
        };
        let patience = self.pacing.call();
        let body = timeout(patience, call).await.map_err(|_| DiscoveryError::Silent(patience))??;
        let list: List = serde_json::from_slice(&body)?;
        if !list.all {
            return Err(DiscoveryError::NotWhole);
        }
        Ok(list)
    }

    /// What can be taken of a list that may be older than what is known: all but that a node is ready which was told to
    /// drain or to be gone, and has not started since.
    fn safe(&self, mut list: List) -> List {
        let (names, seen) = (self.names.borrow(), self.seen.borrow());
        list.targets.retain(|target| match names.get(&target.uid) {
            _ if target.state != "ready" => true,
            Some(known) => known.info.state == NodeState::Ready || target.boot_ms / 1000.0 > known.info.since,
            None => !seen.known.contains(&target.uid),
        });
        List { rev: self.version.get(), all: false, targets: list.targets }
    }

    /// Watches the changes after the version known, until the watch ends.
    async fn watch(&self, address: SocketAddr, opened: &Cell<bool>) -> Result<(), DiscoveryError> {
        let path = format!("/api/targets?follow=1&since={}", self.version.get());
        let patience = self.pacing.call();
        let call = timeout(patience, get(address, path)).await;
        let (response, _guard) = call.map_err(|_| DiscoveryError::Silent(patience))??;
        opened.set(true);
        let mut body = response.into_body();
        let mut text = BytesMut::new();
        loop {
            let frame = timeout(SILENCE, body.frame()).await.map_err(|_| DiscoveryError::Silent(SILENCE))?;
            let Some(data) = frame.transpose()?.map(|f| f.into_data()) else {
                return Err(DiscoveryError::Closed);
            };
            text.extend_from_slice(&data.unwrap_or_default());
            while let Some(end) = text.iter().position(|b| *b == b'\n') {
                let line = text.split_to(end);
                text.advance(1);
                if line.iter().all(u8::is_ascii_whitespace) {
                    continue;
                }
                let list: List = serde_json::from_slice(&line)?;
                let kind = if list.all { ListKind::Whole } else { ListKind::Changes };
                log::info!("discovery: version {}, {} entries, {kind:?}", list.rev, list.targets.len());
                self.apply(&list, kind);
            }
            if text.len() > LONGEST_LINE {
                return Err(DiscoveryError::TooLong);
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
                    self.apply(&list, ListKind::Whole);
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

    /// Waits until the list has another source and that source's list is in, whole. What one source says of
    /// versions means nothing to another, so its watch starts from its own list; until then the nodes known
    /// serve, and the watch on the old source goes on for as long as that lets it. But a source of the same list may
    /// be behind the old one: what is safe of a lower version is taken at once, and the rest only some time later.
    async fn moved(&self, source: &mut watch::Receiver<SocketAddr>) {
        if source.changed().await.is_err() {
            // No other source will ever be named.
            return std::future::pending().await;
        }
        'source: loop {
            let (address, until) = (*source.borrow_and_update(), Instant::now() + BEHIND);
            let mut back_off = self.pacing.back_off();
            loop {
                let fetched = self.fetch(address).await;
                if source.has_changed().is_ok_and(|changed| changed) {
                    continue 'source;
                }
                match fetched {
                    Ok(list) if list.rev < self.version.get() && Instant::now() < until => {
                        let (version, known) = (list.rev, self.version.get());
                        log::warn!("discovery: {address} is at version {version}, behind {known}");
                        self.apply(&self.safe(list), ListKind::Changes);
                    }
                    Ok(list) => {
                        self.apply(&list, ListKind::Whole);
                        return log::info!("discovery: now at {address}, version {}", list.rev);
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

    /// Keeps a watch at one address.
    async fn keep_watch(&self, address: SocketAddr) {
        let (mut back_off, opened) = (self.pacing.back_off(), Cell::new(false));
        loop {
            let ended = self.watch(address, &opened).await;
            if let Err(problem) = &ended {
                log::warn!("discovery: watch ended: {problem}");
            }
            self.counters.watches_lost.add();
            match (opened.replace(false), ended) {
                (true, Err(DiscoveryError::Silent(_))) => back_off.restart_late(),
                (true, _) => back_off.restart(),
                _ => {}
            }
            sleep(back_off.pause()).await;
        }
    }
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
