//! Crowds of clients that hold much of a head for long: each writes slowly, stops half way, reads slowly or says nothing.

use super::Client;
use super::frames::{self, frame};
use flaxgap_streams::frames::{PREFACE, flag, kind};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};
use tokio::runtime::Runtime;
use tokio::time::{sleep, timeout};

/// Rate of the slow clients, in bytes per second.
const SLOW_RATE: usize = 64_000;
/// Pause between two pieces of a slow client.
const PIECE_PAUSE: Duration = Duration::from_millis(50);
/// Bytes of a piece at [`SLOW_RATE`].
const PIECE_BYTES: usize = SLOW_RATE / 20;
/// How long a client stays that has stopped, or says nothing.
const STAY: Duration = Duration::from_secs(3);
/// Receive buffer of a client that reads slowly, in bytes.
const SMALL_RECEIVE_BUFFER: u32 = 4096;
/// Body of a long upload, in bytes.
const LONG_BODY: usize = 8 << 20;
/// Body of an upload that a head may buffer, in bytes.
const SHORT_BODY: usize = 200_000;

/// What the clients of a crowd do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Habit {
    /// Connects and says nothing.
    Silent,
    /// Sends a head of many short fields, one at a time.
    ManyFields,
    /// Sends a head of the greatest length in a few long fields, and leaves out its end.
    LongHead,
    /// Sends a body at [`SLOW_RATE`].
    WritesSlowly(usize),
    /// Sends half of a body at full speed and then nothing.
    StopsHalfWay(usize),
    /// Sends a chunked body with chunks of one byte.
    TinyChunks,
    /// Reads a long answer at [`SLOW_RATE`].
    ReadsSlowly,
    /// Does not read its answer.
    DoesNotRead,
    /// Sends many requests without waiting for answers.
    Pipelines,
    /// Sends unsound requests at full speed, each with a new name.
    Unsound,
    /// Sends sound requests at full speed, each with a new name.
    Sound,
    /// Calls the operators' port at full speed, a connection for each call.
    Operates,
    /// Sends bytes to the block frontend that are no PDU, at full speed.
    SendsNoise,
    /// Sends bodies on many streams, as much as the windows allow, and then nothing (HTTP/2).
    FillsWindows,
    /// Opens its windows wide, asks for many answers and reads none (HTTP/2).
    ReadsNoStream,
    /// Sends a list of fields without an end (HTTP/2).
    EndlessFields,
    /// Opens streams and resets them at full speed (HTTP/2).
    ResetsStreams,
}

impl Habit {
    /// Habits of clients of HTTP/2.
    pub const HTTP2: [Habit; 4] =
        [Habit::FillsWindows, Habit::ReadsNoStream, Habit::EndlessFields, Habit::ResetsStreams];

    /// Habits of clients of HTTP/1.1.
    pub const HTTP1: [Habit; 12] = [
        Habit::Silent,
        Habit::ManyFields,
        Habit::LongHead,
        Habit::WritesSlowly(LONG_BODY),
        Habit::WritesSlowly(SHORT_BODY),
        Habit::StopsHalfWay(LONG_BODY),
        Habit::StopsHalfWay(SHORT_BODY),
        Habit::TinyChunks,
        Habit::ReadsSlowly,
        Habit::DoesNotRead,
        Habit::Pipelines,
        Habit::Unsound,
    ];
}

/// Clients on threads of their own, until it is dropped.
pub struct Crowd {
    runtime: Option<Runtime>,
}

impl Crowd {
    /// Starts `count` clients with the habits in turn; each connects again when its connection has ended.
    pub fn start(http: SocketAddr, habits: &[Habit], count: usize) -> Crowd {
        let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build();
        let runtime = runtime.expect("a runtime");
        for habit in habits.iter().cycle().take(count).copied() {
            runtime.spawn(async move {
                loop {
                    // Ends with an error once the head closes the connection.
                    _ = connect_and_act(http, habit).await;
                    sleep(PIECE_PAUSE).await;
                }
            });
        }
        Crowd { runtime: Some(runtime) }
    }
}

impl Drop for Crowd {
    fn drop(&mut self) {
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
    }
}

async fn connect_and_act(http: SocketAddr, habit: Habit) -> std::io::Result<()> {
    let socket = TcpSocket::new_v4()?;
    if matches!(habit, Habit::ReadsSlowly | Habit::DoesNotRead | Habit::ReadsNoStream) {
        socket.set_recv_buffer_size(SMALL_RECEIVE_BUFFER)?;
    }
    let mut stream = socket.connect(http).await?;
    match habit {
        Habit::Silent => sleep(STAY).await,
        Habit::ManyFields => {
            stream.write_all(unfinished_head().as_bytes()).await?;
            for number in 0..50 {
                stream.write_all(format!("f{number}: {number}\r\n").as_bytes()).await?;
                sleep(PIECE_PAUSE).await;
            }
        }
        Habit::LongHead => {
            stream.write_all(unfinished_head().as_bytes()).await?;
            for number in 0..40 {
                stream.write_all(format!("f{number}: {}\r\n", "v".repeat(380)).as_bytes()).await?;
            }
            sleep(STAY).await;
        }
        Habit::WritesSlowly(length) => {
            stream.write_all(save(length).as_bytes()).await?;
            for _ in 0..length / PIECE_BYTES {
                stream.write_all(&[b'x'; PIECE_BYTES]).await?;
                sleep(PIECE_PAUSE).await;
            }
        }
        Habit::StopsHalfWay(length) => {
            stream.write_all(save(length).as_bytes()).await?;
            _ = timeout(STAY, stream.write_all(&vec![b'x'; length / 2])).await;
            sleep(STAY).await;
        }
        Habit::TinyChunks => {
            let head = save(0).replace("Content-Length: 0", "Transfer-Encoding: chunked");
            stream.write_all(head.as_bytes()).await?;
            for _ in 0..10_000 {
                stream.write_all(b"1\r\nx\r\n").await?;
                sleep(Duration::from_millis(5)).await;
            }
        }
        Habit::ReadsSlowly => {
            stream.write_all(fetch().replace(" HTTP/1.1", "?long HTTP/1.1").as_bytes()).await?;
            read_slowly(&mut stream).await?;
        }
        Habit::DoesNotRead => {
            stream.write_all(fetch().replace(" HTTP/1.1", "?medium HTTP/1.1").as_bytes()).await?;
            sleep(STAY).await;
        }
        Habit::Pipelines => {
            for _ in 0..40 {
                stream.write_all(fetch().as_bytes()).await?;
            }
            sleep(STAY).await;
        }
        Habit::Sound | Habit::Unsound | Habit::Operates | Habit::SendsNoise => {
            flood(http, stream, habit).await?;
        }
        Habit::FillsWindows | Habit::ReadsNoStream | Habit::EndlessFields | Habit::ResetsStreams => {
            act_over_http2(stream, habit).await?;
        }
    }
    Ok(())
}

/// The preface of a client whose windows take all that a head may send.
fn http2_preface() -> Vec<u8> {
    const INITIAL_WINDOW_SIZE: u16 = 4;
    const MAX_WINDOW: u32 = i32::MAX as u32;
    const DEFAULT_WINDOW: u32 = 65_535;
    let settings = frames::settings(&[(INITIAL_WINDOW_SIZE, MAX_WINDOW)]);
    [PREFACE, &settings, &frames::update(0, MAX_WINDOW - DEFAULT_WINDOW)].concat()
}

/// The fields of an upload on a stream, whose body follows.
fn http2_upload(stream: u32) -> Vec<u8> {
    let mut pairs = frames::request("PUT", "episode-save");
    pairs.push(("content-length".into(), LONG_BODY.to_string()));
    frame(kind::HEADERS, flag::END_HEADERS, stream, &frames::encode(&pairs))
}

/// Sends at full speed until the connection ends.
async fn flood(address: SocketAddr, mut stream: TcpStream, habit: Habit) -> std::io::Result<()> {
    loop {
        match habit {
            Habit::Operates => {
                stream.write_all(b"GET /ops/stats HTTP/1.1\r\nHost: head\r\n\r\n").await?;
                stream.read_to_end(&mut Vec::new()).await?;
                stream = TcpStream::connect(address).await?;
            }
            Habit::SendsNoise => stream.write_all(&[0x43; 480]).await?,
            habit => {
                let plan = if habit == Habit::Unsound { "no such plan" } else { "network" };
                stream.write_all(fetch().replace("network", plan).as_bytes()).await?;
                if stream.read(&mut [0; 1024]).await? == 0 {
                    return Ok(());
                }
            }
        }
    }
}

async fn act_over_http2(mut stream: TcpStream, habit: Habit) -> std::io::Result<()> {
    stream.write_all(&http2_preface()).await?;
    match habit {
        Habit::FillsWindows => {
            for id in (1..64).step_by(2) {
                stream.write_all(&http2_upload(id)).await?;
                for _ in 0..4 {
                    stream.write_all(&frame(kind::DATA, 0, id, &[b'x'; 16_000])).await?;
                }
            }
            sleep(STAY).await;
        }
        Habit::ReadsNoStream => {
            for id in (1..200).step_by(2) {
                stream.write_all(&frames::read_of(id, "medium")).await?;
            }
            sleep(STAY).await;
        }
        Habit::EndlessFields => {
            let block = vec![b'v'; 16_000];
            stream.write_all(&frame(kind::HEADERS, 0, 1, &block)).await?;
            sleep(STAY).await;
        }
        Habit::ResetsStreams => {
            for id in (1..100_000).step_by(2) {
                stream.write_all(&frames::read(id)).await?;
                stream
                    .write_all(&frame(kind::RST_STREAM, 0, id, &frames::code::CANCEL.to_be_bytes()))
                    .await?;
            }
        }
        _ => {}
    }
    Ok(())
}

async fn read_slowly(stream: &mut TcpStream) -> std::io::Result<()> {
    let mut piece = [0; PIECE_BYTES];
    while stream.read(&mut piece).await? > 0 {
        sleep(PIECE_PAUSE).await;
    }
    Ok(())
}

/// A sound read with two seconds left.
fn fetch() -> String {
    Client::request("play-fetch", "network", 1, 2.0, 0)
}

/// The head of a sound write with two seconds left.
fn save(length: usize) -> String {
    Client::request("episode-save", "network", 1, 2.0, length)
}

/// A head without its last line.
fn unfinished_head() -> String {
    let head = fetch();
    head[..head.len() - "\r\n".len()].into()
}
