//! Keeping in touch with where the list is to be had: calls for the whole list and watches on its changes, at the pace
//! that [`Poller`] sets. It relies on nothing but a way to connect, knows no node, and never waits for one call before
//! the next is due: the watch that delivers first stands, and what began before it is dropped.
//!
//! With an agent of the head's own, a watch is opened anew at an even pace whether the last one delivers or not, so that
//! neither an agent that was silent nor a watch that fell silent can keep a change back for longer than that pace.
//!
//! An agent may answer each of these renewals with the whole list. One that begins by the version that the standing watch
//! delivered last is dropped after its first bytes: the rest of it would be the list that is known. Such a renewal proves
//! that the agent lives, and the standing watch goes on standing, since what was dropped can't be read any further. The
//! next renewal that begins by another version is read and stands. Nothing is dropped once the version is in doubt: after
//! a watch or a call that failed, a silence, a value that can't be read, or a source that is behind, the next list is
//! read in full first.

mod counted;

use crate::discovery::schedule::{CallEnd, CallTimeouts, PollSchedule, Poller};
use bytes::Bytes;
use flaxgap_membership::compact::CompactList;
use flaxgap_membership::values::{Value, ValueError, Values};
use http_body_util::{BodyExt, Empty};
use hyper::body::Incoming;
use hyper::header::{HOST, RETRY_AFTER};
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use std::cell::Cell;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use thiserror::Error;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::sync::mpsc;
use tokio::task::{JoinHandle, spawn_local};
use tokio::time::{Instant, sleep_until, timeout, timeout_at};

/// Calls that have delivered nothing yet and are out at once: with the watch that stands, and twice that in a move, they fit in
/// what `descriptors` keeps free. The oldest has its whole time, for an agent that is slow; the others give way in turn.
pub const MOST_OUT: usize = 6;
/// Messages of calls that are not applied yet; calls wait when there are so many.
const PENDING_MESSAGES: usize = 8;

/// Why a call or a watch came to its end, or can't be used.
#[derive(Debug, Error)]
pub enum CallError {
    /// Nothing came in time.
    #[error("silent for {0:?}")]
    Silent(Duration),
    /// The connection failed.
    #[error("connection: {0}")]
    Io(#[from] io::Error),
    /// The exchange broke off.
    #[error("exchange: {0}")]
    Http(#[from] hyper::Error),
    /// The request could not be worded.
    #[error("request: {0}")]
    Request(#[from] hyper::http::Error),
    /// It asks to be called again later.
    #[error("busy for {0:?}")]
    Busy(Duration),
    /// It answered with another status than 200.
    #[error("status {0}")]
    Status(StatusCode),
    /// What came is no list.
    #[error("{0}")]
    Value(#[from] ValueError),
    /// A call for the whole list brought only a part of it.
    #[error("list: not whole")]
    NotWhole,
    /// A list began and did not end in time.
    #[error("a list that does not end")]
    CutShort,
    /// It was closed from the other side.
    #[error("the watch was closed")]
    Closed,
}

/// Makes connections.
pub trait Dial: Clone + 'static {
    /// What a connection is.
    type Stream: AsyncRead + AsyncWrite + Unpin + 'static;
    /// Connects.
    fn dial(&self, address: SocketAddr) -> impl Future<Output = io::Result<Self::Stream>>;
}

pub use counted::{CountedTcp, Traffic};

/// What a call asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Query {
    /// The whole list, once.
    Whole,
    /// What comes after a version, and from then on.
    Since(u64),
}

/// What a subscription has to tell.
#[derive(Debug)]
pub enum Update {
    /// A list, and what was asked for.
    List(CompactList, Query),
    /// The other side lives, and has nothing new.
    Alive,
    /// Something came that can't be read; what was asked for was not delivered.
    Unread(CallError),
    /// The watch that stood has ended.
    Lost,
    /// Nothing was heard for so long; reported once until something is heard again.
    Silent(Duration),
    /// A call of a subscription that does not try again has ended.
    Ended {
        /// Whether it had been answered with 200.
        opened: bool,
        /// Why it ended, where that was not what it was made for.
        problem: Option<CallError>,
    },
}

/// What a call's task reports.
enum CallMessage {
    /// A heartbeat.
    Heartbeat,
    /// A list, and the print of its text.
    List(CompactList, u64),
    /// The list whose print is known, once more.
    KnownList,
    /// A whole list of this version began, which is the known one; the rest was not read.
    KnownVersion(u64),
    /// Something that can't be read.
    Unread(CallError),
    /// Nothing more comes.
    Ended { opened: bool, problem: Option<CallError> },
}

/// A task that ends with what holds it.
struct Task(JoinHandle<()>);

impl Drop for Task {
    fn drop(&mut self) {
        self.0.abort();
    }
}

struct Call {
    number: u64,
    ask: Query,
    _task: Task,
}

/// The last list that was delivered.
#[derive(Clone, Copy)]
struct KnownList {
    /// The print of its text.
    print: u64,
    /// Its version, if it was whole.
    whole_version: Option<u64>,
}

/// The version of a whole list that may be dropped unread, if there is one at present; shared with the calls.
type DroppableVersion = Rc<Cell<Option<u64>>>;

/// The calls to one address.
pub struct Subscription<'a, D> {
    dial: D,
    address: SocketAddr,
    poller: Poller<'a>,
    due: Option<Instant>,
    began: u64,
    /// Calls that have delivered nothing yet, oldest first.
    out: Vec<Call>,
    /// The watch that delivered last.
    standing: Option<Call>,
    sender: mpsc::Sender<(u64, CallMessage)>,
    messages: mpsc::Receiver<(u64, CallMessage)>,
    known: Option<KnownList>,
    droppable: DroppableVersion,
    last_message: Instant,
    silent: bool,
    complained: bool,
    retries: bool,
}

impl<'a, D: Dial> Subscription<'a, D> {
    /// Begins with a call at once, and leaves it to its owner what is done once a call has ended.
    pub fn without_retries(dial: D, address: SocketAddr, schedule: &'a PollSchedule) -> Subscription<'a, D> {
        Subscription { retries: false, ..Subscription::new(dial, address, schedule) }
    }

    /// Begins with a call at once.
    pub fn new(dial: D, address: SocketAddr, schedule: &'a PollSchedule) -> Subscription<'a, D> {
        let now = Instant::now();
        let (sender, messages) = mpsc::channel(PENDING_MESSAGES);
        Subscription {
            dial,
            address,
            poller: schedule.poller(),
            due: Some(now),
            began: 0,
            out: Vec::new(),
            standing: None,
            sender,
            messages,
            known: None,
            droppable: DroppableVersion::default(),
            last_message: now,
            silent: false,
            complained: false,
            retries: true,
        }
    }

    /// A call is wanted although a watch stands.
    pub fn request_soon(&mut self) {
        let due = Instant::now() + self.poller.soon();
        self.due = Some(self.due.map_or(due, |before| before.min(due)));
    }

    /// Where no call is out and no watch stands, the next call is made as after a first failure: for an owner that can't
    /// wait as long as many failures have the next call wait.
    pub fn restart_pauses(&mut self) {
        if self.out.is_empty() && self.standing.is_none() {
            self.due = self.poller.ended(CallEnd::Broke).map(|pause| Instant::now() + pause).or(self.due);
        }
    }

    /// The known list is delivered again if it comes once more, and read in full: its source's versions are in doubt.
    pub fn forget_known_list(&mut self) {
        self.known = None;
        self.droppable.set(None);
    }

    /// Waits for the next update, and makes the calls that fall due meanwhile; `ask` says what for. May be dropped at
    /// any point without losing one.
    pub async fn next(&mut self, mut ask: impl FnMut() -> Query) -> Update {
        loop {
            let silent_at = (!self.silent).then(|| self.last_message + self.poller.quiet());
            tokio::select! {
                biased;
                // The sender lives in `self`, so there is always another.
                Some((number, message)) = self.messages.recv() => {
                    if let Some(update) = self.on_message(number, message) {
                        return update;
                    }
                }
                () = reached(self.due) => self.call(ask()),
                () = reached(silent_at) => {
                    self.silent = true;
                    self.droppable.set(None);
                    return Update::Silent(self.last_message.elapsed());
                }
            }
        }
    }

    /// A call is due.
    fn call(&mut self, ask: Query) {
        self.due = None;
        if !self.poller.renews() && self.standing.is_some() && ask != Query::Whole {
            return;
        }
        if self.out.len() >= MOST_OUT {
            self.out.remove(1);
        }
        self.began += 1;
        let (number, sender) = (self.began, self.sender.clone());
        let reader = Reader {
            ask,
            spans: self.poller.spans(),
            values: Values::knowing(self.known.map(|known| known.print)),
            droppable: self.droppable.clone(),
        };
        let call = call(self.dial.clone(), self.address, reader, move |message| {
            let sender = sender.clone();
            // The subscription that does not listen any more has dropped the task, too.
            async move { _ = sender.send((number, message)).await }
        });
        self.out.push(Call { number, ask, _task: Task(spawn_local(call)) });
        self.due = self.poller.began().map(|pause| Instant::now() + pause);
    }

    /// What is made of what a call reports.
    fn on_message(&mut self, number: u64, message: CallMessage) -> Option<Update> {
        match message {
            CallMessage::Heartbeat => {
                self.delivered(number);
                Some(Update::Alive)
            }
            CallMessage::KnownList => Some(self.on_known_list(number)),
            // Calls that overlap deliver the same.
            CallMessage::List(_, print) if self.known.is_some_and(|known| known.print == print) => {
                Some(self.on_known_list(number))
            }
            CallMessage::List(list, print) => {
                self.known = Some(KnownList { print, whole_version: list.all.then_some(list.rev) });
                let ask = self.delivered(number).unwrap_or(Query::Since(0));
                self.allow_dropping(number);
                Some(Update::List(list, ask))
            }
            CallMessage::KnownVersion(version) => self.on_known_version(number, version),
            CallMessage::Unread(problem) => {
                self.droppable.set(None);
                Some(Update::Unread(problem))
            }
            CallMessage::Ended { opened, problem } => {
                let stood = self.standing.take_if(|call| call.number == number).is_some();
                self.out.retain(|call| call.number != number);
                if stood || problem.is_some() {
                    self.droppable.set(None);
                }
                if !self.retries {
                    return Some(Update::Ended { opened, problem });
                }
                if let Some(problem) = &problem {
                    // An agent that is asked often is not complained of each time.
                    let level = if self.complained { log::Level::Debug } else { log::Level::Warn };
                    log::log!(
                        level,
                        "discovery: {}: {} ended: {problem}",
                        self.address,
                        if stood { "watch" } else { "call" }
                    );
                    self.complained = true;
                }
                let end = match problem {
                    None => CallEnd::Well,
                    Some(CallError::Silent(_)) if opened => CallEnd::Stalled,
                    Some(_) if opened => CallEnd::Broke,
                    Some(_) => CallEnd::NeverOpened,
                };
                if let Some(pause) = self.poller.ended(end) {
                    self.due = Some(Instant::now() + pause);
                }
                stood.then_some(Update::Lost)
            }
        }
    }

    /// The known list came once more, in full.
    fn on_known_list(&mut self, number: u64) -> Update {
        self.delivered(number);
        self.allow_dropping(number);
        Update::Alive
    }

    /// A renewal began by the known version and was dropped: the standing watch stands on, and of the calls only a whole
    /// list that is being read goes on beside it.
    fn on_known_version(&mut self, number: u64, version: u64) -> Option<Update> {
        if self.droppable.get() != Some(version) {
            // The version has come into doubt since, so that the answer proves nothing: the next one is read in full.
            return None;
        }
        self.heard();
        self.out.retain(|call| call.number > number || call.ask == Query::Whole);
        Some(Update::Alive)
    }

    /// Renewals need not be read that begin by the version of the known list, if the standing watch delivered it in full.
    /// Where watches are not renewed, each answer is the only one, and has to stand.
    fn allow_dropping(&mut self, number: u64) {
        let stands = self.standing.as_ref().is_some_and(|call| call.number == number);
        let version = self.known.and_then(|known| known.whole_version);
        self.droppable.set(version.filter(|_| stands && self.poller.renews()));
    }

    /// The other side lives.
    fn heard(&mut self) {
        if std::mem::take(&mut self.silent) {
            log::info!("discovery: {} is back after {:?}", self.address, self.last_message.elapsed());
        }
        self.last_message = Instant::now();
        self.complained = false;
    }

    /// A call has delivered something: what began before it has nothing to add. Gives what it asked for.
    fn delivered(&mut self, number: u64) -> Option<Query> {
        self.heard();
        let Some(place) = self.out.iter().position(|call| call.number == number) else {
            return self.standing.as_ref().filter(|call| call.number == number).map(|call| call.ask);
        };
        let call = self.out.drain(..=place).next_back()?;
        let ask = call.ask;
        match ask {
            // It ends by itself, and reports it.
            Query::Whole => self.out.insert(0, call),
            Query::Since(_) => self.standing = Some(call),
        }
        Some(ask)
    }
}

/// Waits for a moment; for ever where there is none.
async fn reached(at: Option<Instant>) {
    match at {
        Some(at) => sleep_until(at).await,
        None => std::future::pending().await,
    }
}

/// One call from its connection to its end.
async fn call<D: Dial, F: Future<Output = ()>>(
    dial: D,
    address: SocketAddr,
    reader: Reader,
    report: impl Fn(CallMessage) -> F,
) {
    let span = reader.spans.call;
    let opened = timeout(span, get(dial, address, reader.ask)).await;
    let (response, _guard) = match opened.unwrap_or(Err(CallError::Silent(span))) {
        Ok(opened) => opened,
        Err(problem) => return report(CallMessage::Ended { opened: false, problem: Some(problem) }).await,
    };
    let problem = reader.read(response, &report).await.err();
    report(CallMessage::Ended { opened: true, problem }).await;
}

/// Reads what a call brings.
struct Reader {
    ask: Query,
    spans: CallTimeouts,
    values: Values,
    droppable: DroppableVersion,
}

impl Reader {
    /// Reads to the end, or to the first bytes of a whole list that may be dropped.
    async fn read<F: Future<Output = ()>>(
        mut self,
        response: Response<Incoming>,
        report: &impl Fn(CallMessage) -> F,
    ) -> Result<(), CallError> {
        let (ask, spans) = (self.ask, self.spans);
        let mut body = response.into_body();
        let (mut silence, mut begun, mut whole) = (spans.first, None, false);
        // A call that has reported something may be the standing watch, and that is read in full.
        let mut reported = false;
        loop {
            let until = Instant::now() + silence;
            // A list that was cut short looks like one that is still to come.
            let whole_by = begun.map_or(until, |begun: Instant| begun + spans.call);
            let data = match timeout_at(until.min(whole_by), body.frame()).await {
                Err(_) | Ok(None) if begun.is_some() => {
                    report(CallMessage::Unread(CallError::CutShort)).await;
                    return Err(CallError::CutShort);
                }
                Err(_) => return Err(CallError::Silent(silence)),
                Ok(None) if ask == Query::Whole && whole => return Ok(()),
                Ok(None) => return Err(CallError::Closed),
                Ok(Some(frame)) => frame?.into_data().unwrap_or_default(),
            };
            self.values.push(&data);
            let mut delivered = false;
            while let Some(next) = self.values.next_compact() {
                reported = true;
                match next {
                    Ok(Value::Known) => {
                        (whole, delivered) = (true, true);
                        report(CallMessage::KnownList).await;
                    }
                    Ok(Value::List(list, _)) if ask == Query::Whole && !list.all => {
                        return Err(CallError::NotWhole);
                    }
                    Ok(Value::List(list, print)) => {
                        (whole, delivered) = (list.all, true);
                        report(CallMessage::List(list, print)).await;
                    }
                    Err(problem) => {
                        let ends = matches!(problem, ValueError::TooLong { .. });
                        report(CallMessage::Unread(problem.into())).await;
                        if ends {
                            return Err(CallError::CutShort);
                        }
                    }
                }
            }
            if self.values.unfinished() {
                if let Some(version) = self.known_version().filter(|_| !reported) {
                    report(CallMessage::KnownVersion(version)).await;
                    return Ok(());
                }
                begun = begun.filter(|_| !delivered).or(Some(Instant::now()));
                continue;
            }
            begun = None;
            silence = spans.silence;
            if !delivered && !data.is_empty() && ask != Query::Whole {
                reported = true;
                report(CallMessage::Heartbeat).await;
            }
        }
    }

    /// The version of a whole list that has begun, if it may be dropped.
    fn known_version(&self) -> Option<u64> {
        let droppable = self.droppable.get().filter(|_| self.ask != Query::Whole)?;
        self.values.whole_list_begun().filter(|version| *version == droppable)
    }
}

async fn get<D: Dial>(
    dial: D,
    address: SocketAddr,
    ask: Query,
) -> Result<(Response<Incoming>, Task), CallError> {
    let stream = dial.dial(address).await?;
    let (mut sender, connection) = hyper::client::conn::http1::handshake(TokioIo::new(stream)).await?;
    let guard = Task(spawn_local(async move {
        if let Err(problem) = connection.await {
            log::debug!("discovery: {problem}");
        }
    }));
    let path = match ask {
        Query::Whole => "/api/targets".to_string(),
        Query::Since(version) => format!("/api/targets?follow=1&since={version}"),
    };
    let request = Request::get(path).header(HOST, address.to_string()).body(Empty::<Bytes>::new())?;
    let response = sender.send_request(request).await?;
    let later = response.headers().get(RETRY_AFTER).and_then(|value| value.to_str().ok()?.parse().ok());
    match (response.status(), later) {
        (StatusCode::OK, _) => Ok((response, guard)),
        (StatusCode::SERVICE_UNAVAILABLE, Some(seconds)) => {
            Err(CallError::Busy(Duration::from_secs(seconds)))
        }
        (other, _) => Err(CallError::Status(other)),
    }
}

#[cfg(test)]
mod tests;
