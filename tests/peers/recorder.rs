//! A storage node that records when attempts reach it, complete or not.

use std::collections::{HashMap, HashSet};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// A storage node that records when each attempt's request line was read, by request id.
#[derive(Clone)]
pub struct Recorder {
    pub address: SocketAddr,
    pub attempts: Arc<Mutex<HashMap<String, Vec<Instant>>>>,
    /// Ids of the requests that were received completely.
    complete: Arc<Mutex<HashSet<String>>>,
    slow: Duration,
    again: Duration,
}

impl Recorder {
    /// `slow` is how long an answer to `?slow` takes, `again` the first one to `?again`.
    pub fn start(slow: Duration, again: Duration) -> Recorder {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address");
        let recorder = Recorder { address, attempts: Arc::default(), complete: Arc::default(), slow, again };
        let shared = recorder.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let recorder = shared.clone();
                thread::spawn(move || while recorder.answer(&stream).is_some() {});
            }
        });
        recorder
    }

    /// Answers one request: at once, after a while (`slow`), or as not processed the first time (`again`).
    fn answer(&self, mut stream: &TcpStream) -> Option<()> {
        let mut from = BufReader::new(stream);
        let mut first = String::new();
        from.read_line(&mut first).ok().filter(|count| *count > 0)?;
        let came = Instant::now();
        let (mut id, mut length, mut chunked) = (String::new(), 0, false);
        loop {
            let mut line = String::new();
            from.read_line(&mut line).ok().filter(|count| *count > 0)?;
            match line.trim_end().split_once(':') {
                Some((name, value)) if name.eq_ignore_ascii_case("x-correlation-id") => {
                    id = value.trim().into()
                }
                Some((name, value)) if name.eq_ignore_ascii_case("content-length") => {
                    length = value.trim().parse().ok()?;
                }
                Some((name, _)) if name.eq_ignore_ascii_case("transfer-encoding") => chunked = true,
                Some(_) => {}
                None => break,
            }
        }
        let number = {
            let mut attempts = self.attempts.lock().expect("attempts");
            let attempts = attempts.entry(id.clone()).or_default();
            attempts.push(came);
            attempts.len()
        };
        if chunked {
            super::chunks(&mut from)?;
        } else {
            from.read_exact(&mut vec![0; length]).ok()?;
        }
        self.complete.lock().expect("complete").insert(id);
        if first.contains("?slow") {
            thread::sleep(self.slow);
        }
        let answer = if first.contains("?again") && number == 1 {
            thread::sleep(self.again);
            "HTTP/1.1 503 No\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n"
        } else {
            "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
        };
        stream.write_all(answer.as_bytes()).ok()
    }

    /// Whether the request head of any attempt was received.
    pub fn began(&self, id: &str) -> bool {
        self.attempts.lock().expect("attempts").contains_key(id)
    }

    /// Whether the request was received completely.
    pub fn is_complete(&self, id: &str) -> bool {
        self.complete.lock().expect("complete").contains(id)
    }
}
