//! The stand-in for discovery: the whole list, and watches on its changes, at one address for each region. What many
//! watch is put into words once and shared, so that it costs little beside what it is there to measure.

use super::ScaleError;
use super::message::{DiscoveryOrder, DiscoveryReply, Served, now};
use super::nodes::{NodeRecord, NodeState};
use super::usage::Usage;
use super::worker::say;
use bytes::Bytes;
use futures_util::{Stream, stream};
use http_body_util::StreamBody;
use hyper::body::{Frame, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use serde::Serialize;
use std::cell::RefCell;
use std::collections::HashMap;
use std::convert::Infallible;
use std::net::{Ipv4Addr, SocketAddr};
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, BufReader, stdin};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::watch;
use tokio::task::spawn_local;
use tokio_util::io::{InspectReader, InspectWriter};

/// After so long without a change a watch is sent an empty line, by the list protocol.
const SIGN_OF_LIFE: Duration = Duration::from_secs(2);
/// Connections that the system holds until they are accepted: a whole fleet may come at once.
const BACKLOG: u32 = 4096;

/// A list in the protocol's form.
#[derive(Serialize)]
struct Answer<'a> {
    rev: u64,
    #[serde(skip_serializing_if = "std::ops::Not::not")]
    all: bool,
    targets: Vec<&'a NodeRecord>,
}

/// The nodes by the version that last changed them.
#[derive(Default)]
struct Listing {
    version: u64,
    nodes: Vec<(u64, NodeRecord)>,
    places: HashMap<String, usize>,
    /// The first version that all changes since are known of.
    first: u64,
    /// Answers in words, of the present version: the whole list, and the changes since a version.
    whole: Option<Bytes>,
    changes: HashMap<u64, Bytes>,
}

impl Listing {
    fn publish(&mut self, nodes: Vec<NodeRecord>) -> u64 {
        self.version += 1;
        for node in nodes {
            match self.places.get(&node.uid) {
                Some(place) => self.nodes[*place] = (self.version, node),
                None => {
                    self.places.insert(node.uid.clone(), self.nodes.len());
                    self.nodes.push((self.version, node));
                }
            }
        }
        self.whole = None;
        self.changes.clear();
        self.version
    }

    fn whole(&mut self) -> Bytes {
        if let Some(text) = &self.whole {
            return text.clone();
        }
        let listed = self.nodes.iter().filter(|(_, node)| node.state != NodeState::Gone);
        let targets = listed.map(|(_, node)| node).collect();
        let text = line(&Answer { rev: self.version, all: true, targets });
        self.whole.insert(text).clone()
    }

    /// The changes since a version; none where it is not known what they are.
    fn since(&mut self, since: u64) -> Option<Bytes> {
        if since < self.first || since > self.version {
            return None;
        }
        if let Some(text) = self.changes.get(&since) {
            return Some(text.clone());
        }
        let changed = self.nodes.iter().filter(|(version, _)| *version > since);
        let targets = changed.map(|(_, node)| node).collect();
        let text = line(&Answer { rev: self.version, all: false, targets });
        self.changes.insert(since, text.clone());
        Some(text)
    }
}

fn line(answer: &Answer<'_>) -> Bytes {
    // Records are plain data, which has no part that JSON can't say.
    let mut text = serde_json::to_vec(answer).unwrap_or_default();
    text.push(b'\n');
    text.into()
}

/// What a call is answered with, piece by piece.
type Pieces = Pin<Box<dyn Stream<Item = Result<Frame<Bytes>, Infallible>>>>;

/// What all connections share.
struct Discovery {
    listing: RefCell<Listing>,
    version: watch::Sender<u64>,
    cut: Vec<watch::Sender<bool>>,
    served: RefCell<Served>,
}

/// Runs until the input ends.
///
/// # Errors
///
/// An order can't be read, comes before the run begins, or can't be carried out.
pub async fn run() -> Result<(), ScaleError> {
    let mut lines = BufReader::new(stdin()).lines();
    let mut discovery: Option<Rc<Discovery>> = None;
    while let Some(line) = lines.next_line().await.map_err(|e| ScaleError::Io("orders".into(), e))? {
        match (serde_json::from_str(&line)?, &discovery) {
            (DiscoveryOrder::Begin { nodes, regions }, _) => {
                let begun = Discovery::new(nodes, regions);
                say(&DiscoveryReply::Listening(begun.clone().listen()?))?;
                discovery = Some(begun);
            }
            (order, Some(discovery)) => discovery.obey(order)?,
            (_, None) => return Err(ScaleError::Settings("the first order has to begin the run".into())),
        }
    }
    Ok(())
}

impl Discovery {
    fn new(nodes: Vec<NodeRecord>, regions: usize) -> Rc<Discovery> {
        let mut listing = Listing { first: 1, ..Listing::default() };
        let version = watch::Sender::new(listing.publish(nodes));
        let cut = (0..regions).map(|_| watch::Sender::new(false)).collect();
        Rc::new(Discovery { listing: RefCell::new(listing), version, cut, served: RefCell::default() })
    }

    fn listen(self: Rc<Self>) -> Result<Vec<SocketAddr>, ScaleError> {
        let bind = || {
            let socket = TcpSocket::new_v4()?;
            socket.bind((Ipv4Addr::LOCALHOST, 0).into())?;
            let listener = socket.listen(BACKLOG)?;
            Ok((listener.local_addr()?, listener))
        };
        let mut addresses = Vec::new();
        for region in 0..self.cut.len() {
            let (address, listener) = bind().map_err(|e| ScaleError::Io("discovery's address".into(), e))?;
            addresses.push(address);
            spawn_local(self.clone().accept(listener, region));
        }
        Ok(addresses)
    }

    fn obey(&self, order: DiscoveryOrder) -> Result<(), ScaleError> {
        match order {
            DiscoveryOrder::Begin { .. } => Err(ScaleError::Settings("the run has begun before".into())),
            DiscoveryOrder::Publish { nodes } => {
                let version = self.listing.borrow_mut().publish(nodes);
                let at = now();
                self.version.send_replace(version);
                say(&DiscoveryReply::Published { version, at })
            }
            DiscoveryOrder::Cut { region, off } => {
                self.cut.get(region).into_iter().for_each(|cut| _ = cut.send_replace(off));
                say(&DiscoveryReply::Cut { at: now() })
            }
            DiscoveryOrder::Sample => {
                say(&DiscoveryReply::Sample { usage: Usage::own()?, served: *self.served.borrow() })
            }
        }
    }

    async fn accept(self: Rc<Self>, listener: TcpListener, region: usize) {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => _ = spawn_local(self.clone().serve(stream, region)),
                Err(problem) => {
                    eprintln!("flaxgap-lab: discovery: accept: {problem}");
                    tokio::time::sleep(Duration::from_millis(10)).await;
                }
            }
        }
    }

    async fn serve(self: Rc<Self>, stream: TcpStream, region: usize) {
        // Without it the stand-in's own pauses would be measured.
        _ = stream.set_nodelay(true);
        self.served.borrow_mut().open += 1;
        let (received, sent) = (self.clone(), self.clone());
        let counted = InspectWriter::new(stream, move |bytes| {
            sent.served.borrow_mut().sent += bytes.len() as u64;
        });
        let counted = InspectReader::new(counted, move |bytes| {
            received.served.borrow_mut().received += bytes.len() as u64;
        });
        let discovery = self.clone();
        let call = service_fn(move |request: Request<Incoming>| {
            let discovery = discovery.clone();
            async move { Ok::<_, Infallible>(discovery.answer(request, region).await) }
        });
        // How a connection ends says nothing: heads drop them as they like.
        _ = http1::Builder::new().serve_connection(TokioIo::new(counted), call).await;
        self.served.borrow_mut().open -= 1;
    }

    async fn answer(
        self: Rc<Self>,
        request: Request<Incoming>,
        region: usize,
    ) -> Response<StreamBody<Pieces>> {
        self.served.borrow_mut().calls += 1;
        self.connected(region).await;
        let query = request.uri().query().unwrap_or_default();
        let value =
            |wanted| query.split('&').filter_map(|pair| pair.split_once('=')).find(|(n, _)| *n == wanted);
        let body = match (value("follow"), value("since").and_then(|(_, since)| since.parse().ok())) {
            (Some(_), since) => self.watch(region, since.unwrap_or(0)),
            (None, _) => Box::pin(stream::iter([Ok(Frame::data(self.whole()))])),
        };
        Response::new(StreamBody::new(body))
    }

    /// Waits until a region is not cut off.
    async fn connected(&self, region: usize) {
        let Some(cut) = self.cut.get(region) else { return };
        // The sender lives in `self`, so the wait can't fail.
        _ = cut.subscribe().wait_for(|off| !off).await;
    }

    fn whole(&self) -> Bytes {
        let mut served = self.served.borrow_mut();
        served.messages += 1;
        served.whole_lists += 1;
        self.listing.borrow_mut().whole()
    }

    /// The changes since a version, then each that comes, and signs of life between them.
    fn watch(self: Rc<Self>, region: usize, since: u64) -> Pieces {
        let changed = self.version.subscribe();
        Box::pin(stream::unfold(
            (self, changed, since, true),
            move |(this, mut changed, since, first)| async move {
                if !first {
                    // What ends the wait does not matter: what there is to tell shows by the version.
                    _ = tokio::time::timeout(SIGN_OF_LIFE, changed.changed()).await;
                }
                this.connected(region).await;
                let version = *changed.borrow_and_update();
                let text = if version == since && !first {
                    this.served.borrow_mut().messages += 1;
                    Bytes::from_static(b"\n")
                } else {
                    this.changes(since)
                };
                Some((Ok(Frame::data(text)), (this, changed, version, false)))
            },
        ))
    }

    fn changes(&self, since: u64) -> Bytes {
        let changes = self.listing.borrow_mut().since(since);
        match changes {
            Some(text) => {
                self.served.borrow_mut().messages += 1;
                text
            }
            None => self.whole(),
        }
    }
}
