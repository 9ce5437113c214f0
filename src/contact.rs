//! Keeping in touch with where the list is to be had: calls for the whole list and watches on its changes, at the pace
//! that [`Asking`] sets. It relies on nothing but a way to connect, knows no node, and never waits for one call before
//! the next is due: the call that speaks first stands, and what began before it is dropped.
//!
//! With an agent of the head's own, a watch is opened anew at an even pace whether the last one speaks or not, so that
//! neither an agent that was silent nor a watch that fell silent can keep news back for longer than that pace.

use crate::pacing::{Asking, End, Pacing, Spans};
use bytes::Bytes;
use flaxgap_roster::values::{Value, ValueError, Values};
use flaxgap_roster::wire::List;
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
pub enum Ask {
    /// The whole list, once.
    Whole,
    /// What comes after a version, and from then on.
    Since(u64),
}

/// What a contact has to tell.
#[derive(Debug)]
pub enum News {
    /// A list, and what was asked for.
    List(List, Ask),
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
enum Said {
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
    ask: Ask,
    _task: Task,
}

/// The calls to one address.
pub struct Contact<'a, D> {
    dial: D,
    address: SocketAddr,
    asking: Asking<'a>,
    due: Option<Instant>,
    began: u64,
    /// Calls that have said nothing yet, oldest first.
    out: Vec<Call>,
    /// The watch that spoke last.
    standing: Option<Call>,
    to: mpsc::Sender<(u64, Said)>,
    said: mpsc::Receiver<(u64, Said)>,
    /// The print of the last list.
    known: Option<u64>,
    last_word: Instant,
    silent: bool,
    complained: bool,
}

impl<'a, D: Dial> Contact<'a, D> {
    /// Begins with a call at once.
    pub fn new(dial: D, address: SocketAddr, pacing: &'a Pacing) -> Contact<'a, D> {
        let now = Instant::now();
        let (to, said) = mpsc::channel(SAID);
        Contact {
            dial,
            address,
            asking: pacing.asking(),
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
    pub fn hasten(&mut self) {
        let due = Instant::now() + self.asking.hastened();
        self.due = Some(self.due.map_or(due, |before| before.min(due)));
    }

    /// The same list once more is told again: its source's versions are in doubt.
    pub fn doubt(&mut self) {
        self.known = None;
    }

    /// Waits for what is told next, and makes the calls that fall due meanwhile; `ask` says what for. May be dropped at
    /// any point without losing what was told.
    pub async fn next(&mut self, mut ask: impl FnMut() -> Ask) -> News {
        loop {
            let silent_at = (!self.silent).then(|| self.last_word + self.asking.quiet());
            tokio::select! {
                biased;
                // The sender lives in `self`, so there is always another.
                Some((number, said)) = self.said.recv() => {
                    if let Some(news) = self.heed(number, said) {
                        return news;
                    }
                }
                () = reached(self.due) => self.call(ask()),
                () = reached(silent_at) => {
                    self.silent = true;
                    return News::Silent(self.last_word.elapsed());
                }
            }
        }
    }

    /// A call is due.
    fn call(&mut self, ask: Ask) {
        self.due = None;
        if !self.asking.renews() && self.standing.is_some() && ask != Ask::Whole {
            return;
        }
        if self.out.len() >= MOST_OUT {
            self.out.remove(1);
        }
        self.began += 1;
        let (number, to) = (self.began, self.to.clone());
        let values = Values::knowing(self.known);
        let (address, spans) = (self.address, self.asking.spans());
        let call = call(self.dial.clone(), address, ask, spans, values, move |said| {
            let to = to.clone();
            // The contact that does not listen any more has dropped the task, too.
            async move { _ = to.send((number, said)).await }
        });
        self.out.push(Call { number, ask, _task: Task(spawn_local(call)) });
        self.due = self.asking.began().map(|pause| Instant::now() + pause);
    }

    /// What is made of what a call said.
    fn heed(&mut self, number: u64, said: Said) -> Option<News> {
        match said {
            Said::Word => {
                self.speaks(number);
                Some(News::Alive)
            }
            // Calls that overlap tell the same.
            Said::List(_, print) if self.known == Some(print) => {
                self.speaks(number);
                Some(News::Alive)
            }
            Said::List(list, print) => {
                self.known = Some(print);
                let ask = self.speaks(number).unwrap_or(Ask::Since(0));
                Some(News::List(list, ask))
            }
            Said::Unread(problem) => Some(News::Unread(problem)),
            Said::Ended { opened, problem } => {
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
                    None => End::Well,
                    Some(CallError::Silent(_)) if opened => End::FellSilent,
                    Some(_) if opened => End::Broke,
                    Some(_) => End::NeverOpened,
                };
                if let Some(pause) = self.asking.ended(end) {
                    self.due = Some(Instant::now() + pause);
                }
                stood.then_some(News::Lost)
            }
        }
    }

    /// A call speaks: what began before it has nothing to add. Gives what it asked for.
    fn speaks(&mut self, number: u64) -> Option<Ask> {
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
            Ask::Whole => self.out.insert(0, call),
            Ask::Since(_) => self.standing = Some(call),
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
    ask: Ask,
    spans: Spans,
    values: Values,
    say: impl Fn(Said) -> F,
) {
    let opened = timeout(spans.call, get(dial, address, ask)).await;
    let (response, _guard) = match opened.unwrap_or(Err(CallError::Silent(spans.call))) {
        Ok(opened) => opened,
        Err(problem) => return say(Said::Ended { opened: false, problem: Some(problem) }).await,
    };
    let problem = read(response, ask, spans, values, &say).await.err();
    say(Said::Ended { opened: true, problem }).await;
}

/// Reads what a call brings, to its end.
async fn read<F: Future<Output = ()>>(
    response: Response<Incoming>,
    ask: Ask,
    spans: Spans,
    mut values: Values,
    say: &impl Fn(Said) -> F,
) -> Result<(), CallError> {
    let mut body = response.into_body();
    let (mut silence, mut begun, mut whole) = (spans.first, None, false);
    loop {
        let until = Instant::now() + silence;
        // A list that was cut short looks like one that is still to come.
        let whole_by = begun.map_or(until, |begun: Instant| begun + spans.call);
        let data = match timeout_at(until.min(whole_by), body.frame()).await {
            Err(_) | Ok(None) if begun.is_some() => {
                say(Said::Unread(CallError::CutShort)).await;
                return Err(CallError::CutShort);
            }
            Err(_) => return Err(CallError::Silent(silence)),
            Ok(None) if ask == Ask::Whole && whole => return Ok(()),
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
                    say(Said::Word).await;
                }
                Ok(Value::List(list, _)) if ask == Ask::Whole && !list.all => {
                    return Err(CallError::NotWhole);
                }
                Ok(Value::List(list, print)) => {
                    whole = list.all;
                    spoke = true;
                    say(Said::List(list, print)).await;
                }
                Err(problem) => {
                    let ends = matches!(problem, ValueError::TooLong { .. });
                    say(Said::Unread(problem.into())).await;
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
        if !spoke && !data.is_empty() && ask != Ask::Whole {
            say(Said::Word).await;
        }
    }
}

async fn get<D: Dial>(
    dial: D,
    address: SocketAddr,
    ask: Ask,
) -> Result<(Response<Incoming>, Task), CallError> {
    let stream = dial.dial(address).await?;
    let (mut sender, connection) = hyper::client::conn::http1::handshake(TokioIo::new(stream)).await?;
    let guard = Task(spawn_local(async move {
        if let Err(problem) = connection.await {
            log::debug!("discovery: {problem}");
        }
    }));
    let path = match ask {
        Ask::Whole => "/api/targets".to_string(),
        Ask::Since(version) => format!("/api/targets?follow=1&since={version}"),
    };
    let request = Request::get(path).header(HOST, address.to_string()).body(Empty::<Bytes>::new())?;
    let response = sender.send_request(request).await?;
    match response.status() {
        StatusCode::OK => Ok((response, guard)),
        other => Err(CallError::Status(other)),
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::cell::{Cell, RefCell};
    use std::rc::Rc;
    use tokio::io::{AsyncReadExt, AsyncWriteExt, DuplexStream, duplex};
    use tokio::task::LocalSet;
    use tokio::time::sleep;

    const GRACE: Duration = Duration::from_millis(250);
    const EVERY: Duration = Duration::from_micros(62_500);

    /// Outages of each kind that are played.
    const SEEDS: u64 = 350;

    /// How an agent behaves while it is silent.
    #[derive(Clone, Copy, Debug, PartialEq)]
    enum Silence {
        /// It takes calls and never answers those.
        TakesAndForgets,
        /// It takes calls and answers them at its return.
        AnswersLate,
        /// No connection comes up, not even at its return.
        TakesNone,
        /// It opens watches and says nothing on them, ever.
        OpensMute,
        /// It refuses.
        Refuses,
        /// It takes calls and closes them.
        Closes,
    }

    /// An agent in virtual time: speaks until `down`, and again from `up`, when it has a drain, version 2.
    struct Agent {
        silence: Silence,
        /// Watches that stood before the silence speak at its end, and before any call is answered.
        old_speaks: bool,
        down: Instant,
        up: Instant,
        out: Cell<usize>,
        most_out: Cell<usize>,
        calls: RefCell<Vec<Instant>>,
    }

    struct Out(Rc<Agent>);

    impl Drop for Out {
        fn drop(&mut self) {
            self.0.out.set(self.0.out.get() - 1);
        }
    }

    impl Agent {
        fn silent(&self) -> bool {
            (self.down..self.up).contains(&Instant::now())
        }

        fn out(self: &Rc<Agent>) -> Out {
            self.out.set(self.out.get() + 1);
            self.most_out.set(self.most_out.get().max(self.out.get()));
            Out(self.clone())
        }

        /// Serves one connection to its end.
        async fn serve(self: Rc<Agent>, mut stream: DuplexStream, _out: Out) -> io::Result<()> {
            let mut head = Vec::new();
            while !head.ends_with(b"\r\n\r\n") {
                head.push(stream.read_u8().await?);
            }
            let head = String::from_utf8_lossy(&head).into_owned();
            let since = head.split("since=").nth(1).and_then(|rest| rest.split(' ').next()?.parse().ok());
            if self.silent() {
                match self.silence {
                    Silence::AnswersLate => {
                        if timeout_at(self.up, closed(&mut stream)).await.is_ok() {
                            return Ok(());
                        }
                    }
                    Silence::Closes => return Ok(()),
                    silence => {
                        if silence == Silence::OpensMute {
                            stream
                                .write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
                                .await?;
                        }
                        closed(&mut stream).await;
                        return Ok(());
                    }
                }
            } else if self.old_speaks && Instant::now() >= self.up {
                sleep(Duration::from_secs(5)).await;
            }
            stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").await?;
            let Some(since) = since else {
                return say(&mut stream, "{\"rev\":1,\"all\":true,\"targets\":[]}").await;
            };
            let drain = "{\n\"rev\": 2,\n\"targets\": [{\"uid\": \"s-1\", \"state\": \"draining\"}]}";
            let now = if Instant::now() >= self.up { 2 } else { 1 };
            match now > since {
                true => say(&mut stream, drain).await?,
                false => say(&mut stream, &format!("{{\"rev\":{now},\"targets\":[]}}")).await?,
            }
            while Instant::now() < self.down {
                let beat = self.down.min(Instant::now() + Duration::from_secs(2));
                if timeout_at(beat, closed(&mut stream)).await.is_ok() {
                    return Ok(());
                }
                if Instant::now() < self.down {
                    say(&mut stream, "").await?;
                }
            }
            if now == 1 && self.old_speaks {
                sleep_until(self.up).await;
                say(&mut stream, drain).await?;
            }
            closed(&mut stream).await;
            Ok(())
        }
    }

    /// Waits until the other side has closed.
    async fn closed(stream: &mut DuplexStream) {
        while stream.read(&mut [0; 64]).await.is_ok_and(|some| some > 0) {}
    }

    async fn say(stream: &mut DuplexStream, text: &str) -> io::Result<()> {
        stream.write_all(format!("{:x}\r\n{text}\n\r\n", text.len() + 1).as_bytes()).await
    }

    impl Dial for Rc<Agent> {
        type Stream = DuplexStream;

        async fn dial(&self, _: SocketAddr) -> io::Result<DuplexStream> {
            self.calls.borrow_mut().push(Instant::now());
            let out = self.out();
            match self.silence {
                Silence::TakesNone if self.silent() => std::future::pending().await,
                Silence::Refuses if self.silent() => return Err(io::ErrorKind::ConnectionRefused.into()),
                _ => {}
            }
            let (near, far) = duplex(4096);
            let agent = self.clone();
            spawn_local(async move { _ = agent.serve(far, out).await });
            Ok(near)
        }
    }

    /// Numbers by chance (xorshift).
    fn draws(seed: u64) -> impl FnMut(u64) -> u64 {
        let mut state = seed.wrapping_mul(0x9E37_79B9_7F4A_7C15) | 1;
        move |most| {
            state ^= state << 13;
            state ^= state >> 7;
            state ^= state << 17;
            (state >> 11) % most
        }
    }

    /// What one outage came to.
    struct Played {
        /// From the agent's return until a head knows of the drain.
        late: Duration,
        most_out: usize,
        calls: Vec<Instant>,
    }

    /// One outage of a head's own agent, of 0.1 to 20 s, at any moment of its heartbeat; the head may have started
    /// before it, or at any moment of it.
    fn play(silence: Silence, old_speaks: bool, seed: u64) -> Played {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_time().start_paused(true).build();
        let runtime = runtime.expect("a runtime");
        LocalSet::new().block_on(&runtime, async {
            let mut draw = draws(seed);
            let down = Instant::now() + Duration::from_micros(2_000_000 + draw(4_000_000));
            let lasts = Duration::from_micros(match draw(3) {
                0 => 100_000 + draw(3_000_000),
                _ => 100_000 + draw(19_900_000),
            });
            let up = down + lasts;
            let (out, most_out, calls) = Default::default();
            let agent = Rc::new(Agent { silence, old_speaks, down, up, out, most_out, calls });
            if !old_speaks && draw(3) == 0 {
                sleep_until(down + lasts.mul_f64(draw(1000) as f64 / 1000.0)).await;
            }
            let pacing = Pacing::new(300, seed, false, GRACE);
            let mut contact = Contact::new(agent.clone(), ([127, 0, 0, 1], 1).into(), &pacing);
            loop {
                match contact.next(|| Ask::Since(1)).await {
                    News::List(list, _) if list.rev == 2 => break,
                    _ => assert!(
                        up.elapsed() < Duration::from_secs(30),
                        "{silence:?}, seed {seed}: never heard"
                    ),
                }
            }
            let late = Instant::now() - up;
            Played { late, most_out: agent.most_out.get(), calls: agent.calls.take() }
        })
    }

    /// Hard case: an agent that was silent for 0.1 to 20 s and has a drain at its return, in 2,100 outages from seeds. A head
    /// knows of it within one span of its pace, a quarter of the grace, and so has most of the grace left for what is
    /// about to be sent.
    #[test]
    fn a_drain_that_an_agent_has_at_its_return_is_heard_within_a_quarter_of_the_grace() {
        use Silence::*;
        for silence in [TakesAndForgets, AnswersLate, TakesNone, OpensMute, Refuses, Closes] {
            let (mut most, mut sum) = (Duration::ZERO, Duration::ZERO);
            for seed in 1..=SEEDS {
                let played = play(silence, false, seed);
                assert!(
                    played.late <= EVERY + Duration::from_millis(2),
                    "{silence:?}, seed {seed}: {:?}",
                    played.late
                );
                assert!(played.most_out <= MOST_OUT + 2, "{silence:?}, seed {seed}: {}", played.most_out);
                (most, sum) = (most.max(played.late), sum + played.late);
                // Calls in any second: an agent that refuses or closes is not hammered.
                for (n, at) in played.calls.iter().enumerate() {
                    let within =
                        played.calls[n..].iter().take_while(|c| **c - *at < Duration::from_secs(1)).count();
                    assert!(within <= 17, "{silence:?}, seed {seed}: {within} calls in a second");
                }
            }
            println!("{silence:?}: {most:?} at most, {:?} on average", sum / SEEDS as u32);
        }
    }

    /// Given a watch from before the silence that speaks first, seconds before the agent answers any call, then it is heard.
    #[test]
    fn an_old_watch_that_speaks_first_is_heard() {
        for seed in 1..=200 {
            let played = play(Silence::TakesAndForgets, true, seed);
            assert!(played.late <= Duration::from_millis(2), "seed {seed}: {:?}", played.late);
        }
    }

    /// Given an agent that takes its time for each answer, nearly as long as a call may take, then a call is left for long
    /// enough to hear it, although others begin after it.
    #[test]
    fn an_agent_that_is_slow_is_heard() {
        #[derive(Clone)]
        struct Slow;
        impl Dial for Slow {
            type Stream = DuplexStream;
            async fn dial(&self, _: SocketAddr) -> io::Result<DuplexStream> {
                sleep(Duration::from_millis(900)).await;
                let (near, mut far) = duplex(4096);
                spawn_local(async move {
                    _ = far.read(&mut [0; 1024]).await;
                    _ = far.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").await;
                    _ = say(&mut far, "{\"rev\":2,\"targets\":[]}").await;
                    while far.read(&mut [0; 64]).await.is_ok_and(|some| some > 0) {}
                });
                Ok(near)
            }
        }
        let runtime = tokio::runtime::Builder::new_current_thread().enable_time().start_paused(true).build();
        LocalSet::new().block_on(&runtime.expect("a runtime"), async {
            let (pacing, began) = (Pacing::new(1, 1, false, GRACE), Instant::now());
            let mut contact = Contact::new(Slow, ([127, 0, 0, 1], 1).into(), &pacing);
            let news = contact.next(|| Ask::Since(1)).await;
            assert!(matches!(&news, News::List(list, _) if list.rev == 2), "{news:?}");
            assert!(began.elapsed() < Duration::from_secs(1), "{:?}", began.elapsed());
        });
    }

    /// Given a whole list whose answer ends, or whose first bytes are blank, some time apart from the list itself, when it
    /// has come, then a watch is opened after it, at a shared service too, where no other call would be made.
    #[test]
    fn a_whole_list_in_pieces_is_heard_and_followed() {
        #[derive(Clone)]
        struct Pieces;
        impl Dial for Pieces {
            type Stream = DuplexStream;
            async fn dial(&self, _: SocketAddr) -> io::Result<DuplexStream> {
                let (near, mut far) = duplex(4096);
                spawn_local(async move {
                    let mut head = [0; 1024];
                    let length = far.read(&mut head).await.unwrap_or(0);
                    let watch = String::from_utf8_lossy(&head[..length]).contains("follow=1");
                    _ = far.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").await;
                    if watch {
                        _ = say(&mut far, "{\"rev\":2,\"targets\":[]}").await;
                        return closed(&mut far).await;
                    }
                    for text in ["", "{\"rev\":1,\"all\":true,\"targets\":[]}", ""] {
                        _ = say(&mut far, text).await;
                        sleep(Duration::from_millis(30)).await;
                    }
                    _ = far.write_all(b"0\r\n\r\n").await;
                });
                Ok(near)
            }
        }
        for shared in [true, false] {
            let runtime =
                tokio::runtime::Builder::new_current_thread().enable_time().start_paused(true).build();
            LocalSet::new().block_on(&runtime.expect("a runtime"), async {
                let pacing = Pacing::new(1, 1, shared, GRACE);
                let mut contact = Contact::new(Pieces, ([127, 0, 0, 1], 1).into(), &pacing);
                let (mut told, began) = (0, Instant::now());
                while told < 2 {
                    match contact.next(|| if told == 0 { Ask::Whole } else { Ask::Since(1) }).await {
                        News::List(list, _) => told = list.rev,
                        _ => assert!(began.elapsed() < Duration::from_secs(2), "shared: {shared}, at {told}"),
                    }
                }
                assert!(
                    began.elapsed() < Duration::from_millis(200),
                    "shared: {shared}: {:?}",
                    began.elapsed()
                );
            });
        }
    }
}
