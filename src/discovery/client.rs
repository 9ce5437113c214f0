//! Keeping in touch with where the list is to be had: calls for the whole list and watches on its changes, at the pace
//! that [`Poller`] sets. It relies on nothing but a way to connect, knows no node, and never waits for one call before
//! the next is due: the call that speaks first stands, and what began before it is dropped.
//!
//! With an agent of the head's own, a watch is opened anew at an even pace whether the last one speaks or not, so that
//! neither an agent that was silent nor a watch that fell silent can keep news back for longer than that pace.

use crate::discovery::schedule::{CallEnd, CallTimeouts, PollSchedule, Poller};
use bytes::Bytes;
use flaxgap_membership::values::{Value, ValueError, Values};
use flaxgap_membership::wire::List;
use http_body_util::{BodyExt, Empty};
use hyper::body::Incoming;
use hyper::header::HOST;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use thiserror::Error;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::task::{JoinHandle, spawn_local};
use tokio::time::{Instant, sleep_until, timeout, timeout_at};

/// Calls that have said nothing yet and are out at once: with the watch that stands, and twice that in a move, they fit in
/// what `descriptors` keeps free. The oldest has its whole time, for an agent that is slow; the others give way in turn.
pub const MOST_OUT: usize = 6;
/// What was said and not yet heeded; calls wait when it is full.
const SAID: usize = 8;

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

/// Connects over TCP.
#[derive(Clone, Copy)]
pub struct Tcp;

impl Dial for Tcp {
    type Stream = TcpStream;

    async fn dial(&self, address: SocketAddr) -> io::Result<TcpStream> {
        TcpStream::connect(address).await
    }
}

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
    List(List, Query),
    /// The other side lives, and has nothing new.
    Alive,
    /// Something came that can't be read; what was asked for has not been told.
    Unread(CallError),
    /// The watch that stood has ended.
    Lost,
    /// Nothing was heard for so long, told once until there is a word again.
    Silent(Duration),
}

/// What a call's task says.
enum CallMessage {
    Word,
    List(List, u64),
    Unread(CallError),
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

/// The calls to one address.
pub struct Subscription<'a, D> {
    dial: D,
    address: SocketAddr,
    poller: Poller<'a>,
    due: Option<Instant>,
    began: u64,
    /// Calls that have said nothing yet, oldest first.
    out: Vec<Call>,
    /// The watch that spoke last.
    standing: Option<Call>,
    to: mpsc::Sender<(u64, CallMessage)>,
    said: mpsc::Receiver<(u64, CallMessage)>,
    /// The print of the last list.
    known: Option<u64>,
    last_word: Instant,
    silent: bool,
    complained: bool,
}

impl<'a, D: Dial> Subscription<'a, D> {
    /// Begins with a call at once.
    pub fn new(dial: D, address: SocketAddr, schedule: &'a PollSchedule) -> Subscription<'a, D> {
        let now = Instant::now();
        let (to, said) = mpsc::channel(SAID);
        Subscription {
            dial,
            address,
            poller: schedule.poller(),
            due: Some(now),
            began: 0,
            out: Vec::new(),
            standing: None,
            to,
            said,
            known: None,
            last_word: now,
            silent: false,
            complained: false,
        }
    }

    /// A call is wanted although a watch stands.
    pub fn request_soon(&mut self) {
        let due = Instant::now() + self.poller.soon();
        self.due = Some(self.due.map_or(due, |before| before.min(due)));
    }

    /// The same list once more is told again: its source's versions are in doubt.
    pub fn forget_known_list(&mut self) {
        self.known = None;
    }

    /// Waits for what is told next, and makes the calls that fall due meanwhile; `ask` says what for. May be dropped at
    /// any point without losing what was told.
    pub async fn next(&mut self, mut ask: impl FnMut() -> Query) -> Update {
        loop {
            let silent_at = (!self.silent).then(|| self.last_word + self.poller.quiet());
            tokio::select! {
                biased;
                // The sender lives in `self`, so there is always another.
                Some((number, said)) = self.said.recv() => {
                    if let Some(news) = self.on_message(number, said) {
                        return news;
                    }
                }
                () = reached(self.due) => self.call(ask()),
                () = reached(silent_at) => {
                    self.silent = true;
                    return Update::Silent(self.last_word.elapsed());
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
        let (number, to) = (self.began, self.to.clone());
        let values = Values::knowing(self.known);
        let (address, spans) = (self.address, self.poller.spans());
        let call = call(self.dial.clone(), address, ask, spans, values, move |said| {
            let to = to.clone();
            // The subscription that does not listen any more has dropped the task, too.
            async move { _ = to.send((number, said)).await }
        });
        self.out.push(Call { number, ask, _task: Task(spawn_local(call)) });
        self.due = self.poller.began().map(|pause| Instant::now() + pause);
    }

    /// What is made of what a call said.
    fn on_message(&mut self, number: u64, said: CallMessage) -> Option<Update> {
        match said {
            CallMessage::Word => {
                self.speaks(number);
                Some(Update::Alive)
            }
            // Calls that overlap tell the same.
            CallMessage::List(_, print) if self.known == Some(print) => {
                self.speaks(number);
                Some(Update::Alive)
            }
            CallMessage::List(list, print) => {
                self.known = Some(print);
                let ask = self.speaks(number).unwrap_or(Query::Since(0));
                Some(Update::List(list, ask))
            }
            CallMessage::Unread(problem) => Some(Update::Unread(problem)),
            CallMessage::Ended { opened, problem } => {
                let stood = self.standing.take_if(|call| call.number == number).is_some();
                self.out.retain(|call| call.number != number);
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

    /// A call speaks: what began before it has nothing to add. Gives what it asked for.
    fn speaks(&mut self, number: u64) -> Option<Query> {
        if std::mem::take(&mut self.silent) {
            log::info!("discovery: {} is back after {:?}", self.address, self.last_word.elapsed());
        }
        self.last_word = Instant::now();
        self.complained = false;
        let Some(place) = self.out.iter().position(|call| call.number == number) else {
            return self.standing.as_ref().filter(|call| call.number == number).map(|call| call.ask);
        };
        let call = self.out.drain(..=place).next_back()?;
        let ask = call.ask;
        match ask {
            // It ends by itself, and says so.
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
    ask: Query,
    spans: CallTimeouts,
    values: Values,
    say: impl Fn(CallMessage) -> F,
) {
    let opened = timeout(spans.call, get(dial, address, ask)).await;
    let (response, _guard) = match opened.unwrap_or(Err(CallError::Silent(spans.call))) {
        Ok(opened) => opened,
        Err(problem) => return say(CallMessage::Ended { opened: false, problem: Some(problem) }).await,
    };
    let problem = read(response, ask, spans, values, &say).await.err();
    say(CallMessage::Ended { opened: true, problem }).await;
}

/// Reads what a call brings, to its end.
async fn read<F: Future<Output = ()>>(
    response: Response<Incoming>,
    ask: Query,
    spans: CallTimeouts,
    mut values: Values,
    say: &impl Fn(CallMessage) -> F,
) -> Result<(), CallError> {
    let mut body = response.into_body();
    let (mut silence, mut begun, mut whole) = (spans.first, None, false);
    loop {
        let until = Instant::now() + silence;
        // A list that was cut short looks like one that is still to come.
        let whole_by = begun.map_or(until, |begun: Instant| begun + spans.call);
        let data = match timeout_at(until.min(whole_by), body.frame()).await {
            Err(_) | Ok(None) if begun.is_some() => {
                say(CallMessage::Unread(CallError::CutShort)).await;
                return Err(CallError::CutShort);
            }
            Err(_) => return Err(CallError::Silent(silence)),
            Ok(None) if ask == Query::Whole && whole => return Ok(()),
            Ok(None) => return Err(CallError::Closed),
            Ok(Some(frame)) => frame?.into_data().unwrap_or_default(),
        };
        values.push(&data);
        let mut spoke = false;
        while let Some(next) = values.next_value() {
            match next {
                Ok(Value::Known) => {
                    whole = true;
                    spoke = true;
                    say(CallMessage::Word).await;
                }
                Ok(Value::List(list, _)) if ask == Query::Whole && !list.all => {
                    return Err(CallError::NotWhole);
                }
                Ok(Value::List(list, print)) => {
                    whole = list.all;
                    spoke = true;
                    say(CallMessage::List(list, print)).await;
                }
                Err(problem) => {
                    let ends = matches!(problem, ValueError::TooLong { .. });
                    say(CallMessage::Unread(problem.into())).await;
                    if ends {
                        return Err(CallError::CutShort);
                    }
                }
            }
        }
        if values.unfinished() {
            begun = begun.filter(|_| !spoke).or(Some(Instant::now()));
            continue;
        }
        begun = None;
        silence = spans.silence;
        if !spoke && !data.is_empty() && ask != Query::Whole {
            say(CallMessage::Word).await;
        }
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
    match response.status() {
        StatusCode::OK => Ok((response, guard)),
        other => Err(CallError::Status(other)),
    }
}

#[cfg(test)]
mod tests;
