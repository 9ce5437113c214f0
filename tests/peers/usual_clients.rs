//! Well-behaved HTTP/1.1 clients that read for as long as a test lets them, and what became of their requests.

use super::{Client, Message};
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{self, JoinHandle};
use std::time::Duration;

/// Time that a request gives the head, in seconds.
const TIME_LEFT_S: f64 = 2.0;
/// How long after its time a request may still be answered before it counts as lost.
const LATE: Duration = Duration::from_millis(500);
/// Pause between two requests of a client.
const PAUSE: Duration = Duration::from_millis(50);
/// How often a request that crossed the end of a kept connection is sent again.
const MAX_RESENDS: u32 = 2;

/// What became of the requests.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Outcomes {
    /// Requests that were answered, with any status.
    pub answered: usize,
    /// Requests answered with 200.
    pub served: usize,
    /// Requests without an answer within their time and [`LATE`].
    pub lost: usize,
    /// Requests whose new connection ended without an answer.
    pub shut: usize,
}

/// Clients that each send one request after the other, on a connection that they keep.
pub struct UsualClients {
    over: Arc<AtomicBool>,
    threads: Vec<JoinHandle<Outcomes>>,
}

impl UsualClients {
    /// Starts `count` clients.
    pub fn start(http: SocketAddr, count: usize) -> UsualClients {
        let over: Arc<AtomicBool> = Arc::default();
        let threads = (0..count).map(|_| {
            let over = over.clone();
            thread::spawn(move || {
                let mut client = UsualClient { http, kept: None, outcomes: Outcomes::default() };
                while !over.load(Ordering::SeqCst) {
                    client.request();
                    thread::sleep(PAUSE);
                }
                client.outcomes
            })
        });
        UsualClients { threads: threads.collect(), over }
    }

    /// Ends the clients after their current requests, and adds up the outcomes.
    pub fn stop(self) -> Outcomes {
        self.over.store(true, Ordering::SeqCst);
        let mut total = Outcomes::default();
        for thread in self.threads {
            let outcomes = thread.join().expect("a client ends");
            total.answered += outcomes.answered;
            total.served += outcomes.served;
            total.lost += outcomes.lost;
            total.shut += outcomes.shut;
        }
        total
    }
}

struct UsualClient {
    http: SocketAddr,
    kept: Option<TcpStream>,
    outcomes: Outcomes,
}

/// How an exchange ended without an answer.
enum NoAnswer {
    TimedOut,
    ConnectionEnded,
}

impl UsualClient {
    /// Sends a request; again on a new connection if it crossed the end of the kept one.
    fn request(&mut self) {
        let text = Client::request("play-fetch", "network", 1, TIME_LEFT_S, 0);
        for _ in 0..=MAX_RESENDS {
            let is_new = self.kept.is_none();
            match self.exchange(&text) {
                Ok(answer) => {
                    self.outcomes.answered += 1;
                    self.outcomes.served += usize::from(answer.status() == 200);
                    return;
                }
                Err(NoAnswer::TimedOut) => {
                    self.outcomes.lost += 1;
                    return;
                }
                Err(NoAnswer::ConnectionEnded) if is_new => {
                    self.outcomes.shut += 1;
                    return;
                }
                Err(NoAnswer::ConnectionEnded) => {}
            }
        }
    }

    fn exchange(&mut self, text: &str) -> Result<Message, NoAnswer> {
        let connect = || TcpStream::connect(self.http).map_err(|_| NoAnswer::ConnectionEnded);
        let mut stream = self.kept.take().map_or_else(connect, Ok)?;
        let time_limit = Duration::from_secs_f64(TIME_LEFT_S) + LATE;
        stream.set_read_timeout(Some(time_limit)).expect("a time-out");
        stream.set_nodelay(true).expect("no delay");
        stream.write_all(text.as_bytes()).map_err(|_| NoAnswer::ConnectionEnded)?;
        let mut reader = BufReader::new(stream.try_clone().expect("a handle"));
        let began = std::time::Instant::now();
        let Some(answer) = Message::read(&mut reader) else {
            let timed_out = began.elapsed() >= time_limit;
            return Err(if timed_out { NoAnswer::TimedOut } else { NoAnswer::ConnectionEnded });
        };
        if answer.header("connection") != "close" {
            self.kept = Some(stream);
        }
        Ok(answer)
    }
}
