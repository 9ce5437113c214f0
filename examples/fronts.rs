//! HTTP/1.1 and HTTP/2 side by side, in one run on loopback: a head in a process of its own (this program again),
//! stand-in nodes and discovery here. Work is counted for each second of the head's processor time, so that what else
//! runs on the machine matters little; latencies are those of an open-loop schedule, counted from the moment that a
//! request was due. The last line is JSON.

use bytes::Bytes;
use clap::Parser;
use flaxgap::config::Config;
use flaxgap::config::operators_file::OperatorsFile;
use flaxgap::daemon::{self, Daemon};
use h2::client::SendRequest;
use hdrhistogram::Histogram;
use std::error::Error;
use std::net::SocketAddr;
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Mutex, Notify, mpsc};
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, sleep_until, timeout};

type Failure = Box<dyn Error + Send + Sync>;

/// Compares the fronts of HTTP/1.1 and HTTP/2.
#[derive(Parser)]
struct Args {
    /// Seconds of each stretch that is measured.
    #[arg(long, default_value_t = 5)]
    seconds: u64,
    /// Requests at a time.
    #[arg(long, default_value_t = 100)]
    streams: usize,
    /// Connections of HTTP/2 that they go over.
    #[arg(long, default_value_t = 4)]
    connections: usize,
    /// Idle streams whose memory is measured at the end.
    #[arg(long, default_value_t = 10_000)]
    idle: usize,
    /// Stand-in nodes.
    #[arg(long, default_value_t = 4, value_parser = clap::value_parser!(u32).range(1..=256))]
    nodes: u32,
    /// Measures a head with so many connections of HTTP/1.1 instead, one run for each number.
    #[arg(long, value_delimiter = ',')]
    http1: Vec<usize>,
    /// Requests a second on each of those connections in the paced stretch.
    #[arg(long, default_value_t = 1.0)]
    each: f64,
    /// Milliseconds that a node takes for an answer.
    #[arg(long, default_value_t = 0)]
    node_ms: u64,
    /// Runs the head itself, with the configuration out of the environment.
    #[arg(long, hide = true)]
    as_head: bool,
}

static NODES: AtomicU64 = AtomicU64::new(4);
/// A node holds its answer to a request whose path ends so.
const HUSH: &str = "?hush";

/// Node's settings as the platform words them, with room for what is measured here.
const SETTINGS: &str = r#"{"bounds":{"cancel":true,"conn_idle":60.0,"max_attempts":3,"max_retry_after":10.0,
 "retry_after":true,"most_held":20000},
 "classes":[{"name":"play-fetch","aim":30.0,"deadline":60.0,"idempotency":"safe","late_worth":0.1,"worth":3.0},
 {"name":"episode-save","aim":30.0,"deadline":60.0,"idempotency":"safe","late_worth":0.1,"worth":2.0}],
 "domain":{"changes_data":[false,true],"cold_units":100.0,"idle_worth":0.08,"unit_mean":2.0,"units_top":8.0,
 "within_share":0.35},"guarantees":{"cold_from":0.2,"fall":3.0,"tip_multiple":3.0,"warm_within":16.0},
 "membership_mode":"push","n_instances":1,"period":0.002,"report":{"names":[],"source":"answers"},"zones":["a"],
 "service_levels":[{"base_rate":1000000.0,"name":"network","reserve":1000000.0,"value_factor":1.0,"weight":1.0}]}"#;

fn main() -> Result<(), Failure> {
    let args = Args::parse();
    if args.as_head {
        return head();
    }
    let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(3).enable_all().build()?;
    NODES.store(args.nodes.into(), Ordering::Relaxed);
    runtime.block_on(compare(&args))
}

/// The head, as `flaxgap` itself starts it.
fn head() -> Result<(), Failure> {
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("info")).init();
    daemon::run_event_loop(|| {
        let path = std::env::var("LB_CONFIG")?;
        let ops = OperatorsFile::load(&std::env::var("FLAXGAP_OPS")?)?;
        Ok(Daemon::new(path.clone(), Config::load(&path)?, None, ops, None))
    })
}

/// The head's process, ended when dropped.
struct Head {
    child: Child,
    http1: SocketAddr,
    http2: SocketAddr,
}

impl Drop for Head {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Head {
    async fn start(folder: &Path, discovery: SocketAddr) -> Result<Head, Failure> {
        let config = format!(
            r#"{{"name":"n0","listen":"127.0.0.1:0","discovery":"{discovery}","seed":"1",
            "limits":{{"cores":1.0,"memory_mb":4096,"sockets":60000}},"settings":{SETTINGS}}}"#
        );
        let ops =
            "[http2]\nlisten = \"127.0.0.1:0\"\nstreams_each = 10000\nstreams_all = 20000\nidle_s = 600.0\n";
        std::fs::write(folder.join("config.json"), config)?;
        std::fs::write(folder.join("ops.toml"), ops)?;
        let mut child = Command::new(std::env::current_exe()?)
            .arg("--as-head")
            .env("LB_CONFIG", folder.join("config.json"))
            .env("FLAXGAP_OPS", folder.join("ops.toml"))
            .env("RUST_LOG", "info")
            .stderr(Stdio::piped())
            .spawn()?;
        let log = child.stderr.take().ok_or("no log")?;
        let (found, mut lines) = mpsc::unbounded_channel();
        std::thread::spawn(move || {
            use std::io::BufRead;
            std::io::BufReader::new(log).lines().map_while(Result::ok).for_each(|line| _ = found.send(line));
        });
        let (mut http1, mut http2) = (None, None);
        let mut address = async |wanted: &str| -> Result<SocketAddr, Failure> {
            loop {
                let line = lines.recv().await.ok_or("the head ended")?;
                if let Some((_, address)) = line.split_once(wanted) {
                    return Ok(address.trim().parse()?);
                }
            }
        };
        http1.replace(timeout(Duration::from_secs(10), address("http: listening on ")).await??);
        http2.replace(timeout(Duration::from_secs(10), address("http2: listening on ")).await??);
        tokio::spawn(async move { while lines.recv().await.is_some() {} });
        let head = Head { child, http1: http1.ok_or("no address")?, http2: http2.ok_or("no address")? };
        for _ in 0..500 {
            let mut client = Http1::connect(head.http1).await?;
            if client.ask("GET /-/ready HTTP/1.1\r\nHost: head\r\n\r\n").await? == 200 {
                return Ok(head);
            }
            sleep(Duration::from_millis(10)).await;
        }
        Err("the head was never ready".into())
    }

    /// Seconds of processor time that it has taken.
    fn cpu(&self) -> Result<f64, Failure> {
        let stat = std::fs::read_to_string(format!("/proc/{}/stat", self.child.id()))?;
        let after = stat.rsplit_once(')').ok_or("stat")?.1;
        let of = |place: usize| after.split_whitespace().nth(place).and_then(|f| f.parse::<f64>().ok());
        // Fields 14 and 15 of the whole line, in hundredths of a second.
        Ok((of(11).ok_or("utime")? + of(12).ok_or("stime")?) / 100.0)
    }

    /// Descriptors that it holds.
    fn descriptors(&self) -> Result<usize, Failure> {
        Ok(std::fs::read_dir(format!("/proc/{}/fd", self.child.id()))?.count())
    }

    /// Bytes that it holds, its program's text apart.
    fn memory(&self) -> Result<f64, Failure> {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id()))?;
        let line = status.lines().find_map(|line| line.strip_prefix("RssAnon:")).ok_or("RssAnon")?;
        Ok(line.trim().trim_end_matches(" kB").parse::<f64>()? * 1024.0)
    }
}

/// Serves the node list: the whole of it, and a watch that never changes.
async fn discovery(listener: TcpListener, nodes: Vec<SocketAddr>) {
    let entry = |(shard, address): (usize, &SocketAddr)| {
        format!(
            r#"{{"uid":"s-{shard}","endpoint":"{address}","az":"a","pod_group":{shard},"state":"ready","boot_ms":0}}"#
        )
    };
    let all: Vec<String> = nodes.iter().enumerate().map(entry).collect();
    let list = format!(r#"{{"rev":1,"all":true,"targets":[{}]}}"#, all.join(","));
    while let Ok((stream, _)) = listener.accept().await {
        let list = list.clone();
        tokio::spawn(async move {
            let mut stream = BufReader::new(stream);
            while let Some(head) = read_head(&mut stream).await {
                if head.contains("follow=1") {
                    let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").await;
                    while stream.write_all(b"1\r\n\n\r\n").await.is_ok() {
                        sleep(Duration::from_secs(1)).await;
                    }
                    return;
                }
                let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{list}", list.len());
                if stream.write_all(answer.as_bytes()).await.is_err() {
                    return;
                }
            }
        });
    }
}

async fn read_head<R: AsyncReadExt + AsyncBufReadExt + Unpin>(from: &mut R) -> Option<String> {
    let mut head = String::new();
    loop {
        let before = head.len();
        if from.read_line(&mut head).await.ok()? == 0 {
            return None;
        }
        if head.len() - before <= 2 {
            return Some(head);
        }
    }
}

/// A node that answers at once, or, to a hushed request, once it is told to.
async fn node(listener: TcpListener, speak: Arc<Notify>, takes: Duration) {
    while let Ok((stream, _)) = listener.accept().await {
        let speak = speak.clone();
        let _ = stream.set_nodelay(true);
        tokio::spawn(async move {
            let mut stream = BufReader::new(stream);
            while let Some(head) = read_head(&mut stream).await {
                if head.lines().next().is_some_and(|line| line.contains(HUSH)) {
                    speak.notified().await;
                }
                if !takes.is_zero() {
                    sleep(takes).await;
                }
                if stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\npiece").await.is_err() {
                    return;
                }
            }
        });
    }
}

static IDS: AtomicU64 = AtomicU64::new(1);

/// A request's number, path and shard.
fn next(hush: bool) -> (u64, String, u64) {
    let id = IDS.fetch_add(1, Ordering::Relaxed);
    let tail = if hush { HUSH } else { "" };
    (id, format!("/play-fetch/{:016x}/{:016x}{tail}", 1 + id % 50, id), id % NODES.load(Ordering::Relaxed))
}

/// A connection of HTTP/1.1.
struct Http1 {
    stream: BufReader<TcpStream>,
}

impl Http1 {
    async fn connect(address: SocketAddr) -> Result<Http1, Failure> {
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        Ok(Http1 { stream: BufReader::new(stream) })
    }

    async fn send(&mut self, text: &str) -> Result<(), Failure> {
        Ok(self.stream.write_all(text.as_bytes()).await?)
    }

    async fn ask(&mut self, text: &str) -> Result<u16, Failure> {
        self.send(text).await?;
        let head = read_head(&mut self.stream).await.ok_or("closed")?;
        let status = head.split(' ').nth(1).and_then(|s| s.parse().ok()).ok_or("no status")?;
        let length = head.lines().find_map(|line| {
            let (name, value) = line.split_once(':')?;
            name.eq_ignore_ascii_case("content-length").then(|| value.trim().parse::<usize>().ok())?
        });
        let mut body = vec![0; length.unwrap_or(0)];
        self.stream.read_exact(&mut body).await?;
        Ok(status)
    }

    fn request(hush: bool) -> String {
        let (id, path, shard) = next(hush);
        format!(
            "GET {path} HTTP/1.1\r\nHost: origin.svc\r\nX-Correlation-Id: {id:016x}\r\nX-Qos-Policy: network\r\n\
             X-Time-Left: 60\r\nX-Placement: units=1,shard={shard},hosts=1\r\n\r\n"
        )
    }
}

/// A connection of HTTP/2.
async fn http2(address: SocketAddr) -> Result<SendRequest<Bytes>, Failure> {
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    let (send, connection) =
        h2::client::Builder::new().initial_max_send_streams(10_000).handshake(stream).await?;
    tokio::spawn(async move { _ = connection.await });
    Ok(send)
}

fn http2_request(hush: bool) -> Result<hyper::Request<()>, Failure> {
    let (id, path, shard) = next(hush);
    let request = hyper::Request::get(format!("http://origin.svc{path}"))
        .header("x-correlation-id", format!("{id:016x}"))
        .header("x-qos-policy", "network")
        .header("x-time-left", "60")
        .header("x-placement", format!("units=1,shard={shard},hosts=1"));
    Ok(request.body(())?)
}

async fn http2_ask(send: &SendRequest<Bytes>) -> Result<u16, Failure> {
    let mut send = send.clone().ready().await?;
    let (response, _) = send.send_request(http2_request(false)?, true)?;
    let response = response.await?;
    let (status, mut body) = (response.status().as_u16(), response.into_body());
    while let Some(data) = body.data().await {
        let data = data?;
        body.flow_control().release_capacity(data.len())?;
    }
    Ok(status)
}

/// One of the fronts, and its clients' connections.
#[derive(Clone)]
enum Side {
    One(Arc<Mutex<Vec<Http1>>>, SocketAddr),
    Two(Vec<SendRequest<Bytes>>),
}

impl Side {
    async fn ask(&self, turn: usize) -> Result<u16, Failure> {
        match self {
            Side::One(free, address) => {
                // One that the head has closed between two requests is left; the request goes out on the next.
                loop {
                    let (kept, mut client) = match free.lock().await.pop() {
                        Some(client) => (true, client),
                        None => (false, Http1::connect(*address).await?),
                    };
                    match client.ask(&Http1::request(false)).await {
                        Err(_) if kept => {}
                        asked => {
                            free.lock().await.push(client);
                            return asked;
                        }
                    }
                }
            }
            Side::Two(all) => http2_ask(&all[turn % all.len()]).await,
        }
    }
}

/// What one side did under full load.
struct Full {
    per_second: f64,
    per_core: f64,
    failed: u64,
}

/// As many requests as the head answers, `streams` at a time.
async fn full(head: &Head, side: &Side, streams: usize, length: Duration) -> Result<Full, Failure> {
    let (stop, served, failed) =
        (Arc::new(AtomicBool::new(false)), Arc::new(AtomicU64::new(0)), Arc::new(AtomicU64::new(0)));
    let mut all = JoinSet::new();
    for turn in 0..streams {
        let (side, stop, served, failed) = (side.clone(), stop.clone(), served.clone(), failed.clone());
        all.spawn(async move {
            while !stop.load(Ordering::Relaxed) {
                let good = matches!(side.ask(turn).await, Ok(200));
                (if good { &served } else { &failed }).fetch_add(1, Ordering::Relaxed);
            }
        });
    }
    // Connections and windows are warm after a while.
    sleep(length / 4).await;
    let (from, cpu, began) = (served.load(Ordering::Relaxed), head.cpu()?, Instant::now());
    sleep(length).await;
    let done = (served.load(Ordering::Relaxed) - from) as f64;
    let (seconds, cpu) = (began.elapsed().as_secs_f64(), head.cpu()? - cpu);
    stop.store(true, Ordering::Relaxed);
    while all.join_next().await.is_some() {}
    Ok(Full {
        per_second: done / seconds,
        per_core: done / cpu.max(0.01),
        failed: failed.load(Ordering::Relaxed),
    })
}

/// Requests that are due at even distances, whatever became of those before; latencies in microseconds from the moment
/// that each was due, and the greatest lateness of this program itself.
async fn open_loop(side: &Side, rate: f64, length: Duration) -> Result<(Histogram<u64>, Duration), Failure> {
    let (told, mut latencies) = mpsc::unbounded_channel();
    let (begun, mut late, mut turn) = (Instant::now(), Duration::ZERO, 0usize);
    while begun.elapsed() < length {
        let due = begun + Duration::from_secs_f64(turn as f64 / rate);
        sleep_until(due).await;
        late = late.max(due.elapsed());
        let (side, told) = (side.clone(), told.clone());
        tokio::spawn(async move {
            let good = matches!(side.ask(turn).await, Ok(200));
            let _ = told.send(if good { due.elapsed() } else { Duration::from_secs(60) });
        });
        turn += 1;
    }
    drop(told);
    let mut histogram = Histogram::new(3)?;
    while let Some(latency) = latencies.recv().await {
        histogram.record(latency.as_micros() as u64)?;
    }
    Ok((histogram, late))
}

/// Bytes of the head that each of so many requests in hand takes, over connections of HTTP/1.1 or streams of HTTP/2.
async fn held(head: &Head, speak: &Notify, count: usize, connections: Option<usize>) -> Result<f64, Failure> {
    // What is allocated once and for all is no part of it.
    let side = match connections {
        None => Side::One(Arc::default(), head.http1),
        Some(_) => Side::Two(vec![http2(head.http2).await?]),
    };
    for turn in 0..200 {
        side.ask(turn).await?;
    }
    let before = head.memory()?;
    let (mut ones, mut twos, mut answers) = (Vec::new(), Vec::new(), Vec::new());
    match connections {
        None => {
            for _ in 0..count {
                let mut client = Http1::connect(head.http1).await?;
                client.send(&Http1::request(true)).await?;
                ones.push(client);
            }
        }
        Some(connections) => {
            for _ in 0..connections {
                twos.push(http2(head.http2).await?);
            }
            for turn in 0..count {
                let mut send = twos[turn % connections].clone().ready().await?;
                answers.push(send.send_request(http2_request(true)?, true)?);
            }
        }
    }
    sleep(Duration::from_secs(1)).await;
    let bytes = (head.memory()? - before).max(0.0) / count as f64;
    drop((ones, answers, twos));
    // What nodes hold back of it is let go.
    for _ in 0..20 {
        speak.notify_waiters();
        sleep(Duration::from_millis(20)).await;
    }
    Ok(bytes)
}

/// What a head with so many connections of HTTP/1.1 takes.
#[derive(serde::Serialize)]
struct ByConnections {
    connections: usize,
    /// Of the head, for each connection that rests between two requests; with it, its share of those to nodes.
    resting_bytes: f64,
    /// Of the head, for each request in hand, its connections to clients and nodes included.
    pending_bytes: f64,
    /// Descriptors of the head while each connection rests, under paced load, and with all in hand.
    resting_descriptors: usize,
    paced_descriptors: usize,
    /// Under paced load: requests a second, the part of a core that the head takes, latencies in ms.
    paced_per_second: f64,
    paced_core: f64,
    paced_p50_ms: f64,
    paced_p99_ms: f64,
    paced_failed: u64,
    /// With each connection's next request sent as soon as the one before is answered.
    full_per_second: f64,
    full_per_core: f64,
    full_failed: u64,
}

/// Measures a head of its own for each number of connections.
async fn by_connections(
    args: &Args,
    folder: &Path,
    discovery: SocketAddr,
    speak: &Notify,
) -> Result<(), Failure> {
    let mut rows = Vec::new();
    for connections in &args.http1 {
        let head = Head::start(folder, discovery).await?;
        let pending_bytes = held(&head, speak, *connections, None).await?;
        drop(head);
        let head = Head::start(folder, discovery).await?;
        let row = one_size(args, &head, *connections, pending_bytes).await?;
        println!(
            "{:5} connections: {:6.0} bytes resting, {:6.0} pending; paced {:6.0} a second take {:.3} of a core, \
             p50 {:.2} ms, p99 {:.2} ms, {} failed, {} descriptors; full {:6.0} for each second of a core, {} failed",
            row.connections,
            row.resting_bytes,
            row.pending_bytes,
            row.paced_per_second,
            row.paced_core,
            row.paced_p50_ms,
            row.paced_p99_ms,
            row.paced_failed,
            row.paced_descriptors,
            row.full_per_core,
            row.full_failed
        );
        rows.push(row);
    }
    println!(
        "{}",
        serde_json::json!({ "seconds": args.seconds, "nodes": args.nodes, "node_ms": args.node_ms, "rows": rows })
    );
    Ok(())
}

async fn one_size(
    args: &Args,
    head: &Head,
    connections: usize,
    pending_bytes: f64,
) -> Result<ByConnections, Failure> {
    let length = Duration::from_secs(args.seconds);
    let warm = Side::One(Arc::default(), head.http1);
    for turn in 0..200 {
        warm.ask(turn).await?;
    }
    let (memory, descriptors) = (head.memory()?, head.descriptors()?);
    let clients = connect_all(head.http1, connections).await?;
    let resting_descriptors = head.descriptors()?.saturating_sub(descriptors);
    let resting_bytes = (head.memory()? - memory).max(0.0) / resting_descriptors.max(1) as f64;
    let paced = paced(head, clients, args.each, length).await?;
    let side = Side::One(Arc::new(Mutex::new(paced.clients)), head.http1);
    let full = full(head, &side, connections, length).await?;
    Ok(ByConnections {
        connections,
        resting_bytes,
        pending_bytes,
        resting_descriptors,
        paced_descriptors: paced.descriptors,
        paced_per_second: paced.per_second,
        paced_core: paced.core,
        paced_p50_ms: paced.latencies.value_at_quantile(0.5) as f64 / 1000.0,
        paced_p99_ms: paced.latencies.value_at_quantile(0.99) as f64 / 1000.0,
        paced_failed: paced.failed,
        full_per_second: full.per_second,
        full_per_core: full.per_core,
        full_failed: full.failed,
    })
}

/// Connections that have had one answer each. They are opened together, since a head keeps one that rests for two
/// seconds only.
async fn connect_all(address: SocketAddr, count: usize) -> Result<Vec<Http1>, Failure> {
    let mut all = JoinSet::new();
    for _ in 0..count {
        all.spawn(async move {
            let mut client = Http1::connect(address).await?;
            client.ask(&Http1::request(false)).await?;
            Ok::<Http1, Failure>(client)
        });
    }
    let mut clients = Vec::new();
    while let Some(client) = all.join_next().await {
        clients.push(client??);
    }
    Ok(clients)
}

/// What paced load took, and the connections that it went over.
struct Paced {
    clients: Vec<Http1>,
    per_second: f64,
    core: f64,
    latencies: Histogram<u64>,
    descriptors: usize,
    failed: u64,
}

/// One connection's requests in a paced stretch.
struct PacedClient {
    client: Http1,
    latencies: Vec<Duration>,
    failed: u64,
}

/// The same rate of requests on each connection, at evenly spread moments; latencies from when each was due.
async fn paced(head: &Head, clients: Vec<Http1>, each: f64, length: Duration) -> Result<Paced, Failure> {
    let (count, address) = (clients.len(), head.http1);
    let (cpu, begun) = (head.cpu()?, Instant::now());
    let mut all = JoinSet::new();
    for (place, client) in clients.into_iter().enumerate() {
        let first = begun + Duration::from_secs_f64(place as f64 / count as f64 / each);
        all.spawn(paced_client(client, address, first, each, begun + length));
    }
    sleep(length / 2).await;
    let descriptors = head.descriptors()?;
    let (mut clients, mut latencies, mut failed) = (Vec::new(), Histogram::new(3)?, 0);
    while let Some(done) = all.join_next().await {
        let done = done?;
        for latency in done.latencies {
            latencies.record(latency.as_micros() as u64)?;
        }
        failed += done.failed;
        clients.push(done.client);
    }
    let (seconds, cpu) = (begun.elapsed().as_secs_f64(), head.cpu()? - cpu);
    let per_second = latencies.len() as f64 / seconds;
    Ok(Paced { clients, per_second, core: cpu / seconds, latencies, descriptors, failed })
}

async fn paced_client(
    mut client: Http1,
    address: SocketAddr,
    first: Instant,
    each: f64,
    end: Instant,
) -> PacedClient {
    let (mut latencies, mut failed, mut due) = (Vec::new(), 0, first);
    while due < end {
        sleep_until(due).await;
        let mut asked = client.ask(&Http1::request(false)).await;
        // One that the head has closed between two requests: the request goes out once more, on a new connection.
        if asked.is_err()
            && let Ok(fresh) = Http1::connect(address).await
        {
            client = fresh;
            asked = client.ask(&Http1::request(false)).await;
        }
        match asked {
            Ok(200) => latencies.push(due.elapsed()),
            _ => failed += 1,
        }
        due += Duration::from_secs_f64(1.0 / each);
    }
    PacedClient { client, latencies, failed }
}

async fn compare(args: &Args) -> Result<(), Failure> {
    let speak = Arc::new(Notify::new());
    let mut nodes = Vec::new();
    for _ in 0..args.nodes {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        nodes.push(listener.local_addr()?);
        tokio::spawn(node(listener, speak.clone(), Duration::from_millis(args.node_ms)));
    }
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    tokio::spawn(discovery(listener, nodes));
    let folder = std::env::temp_dir().join(format!("flaxgap-fronts-{}", std::process::id()));
    std::fs::create_dir_all(&folder)?;
    let length = Duration::from_secs(args.seconds);
    if !args.http1.is_empty() {
        let measured = by_connections(args, &folder, address, &speak).await;
        let _ = std::fs::remove_dir_all(folder);
        return measured;
    }

    // Memory first, each in a head of its own: what was freed is seldom given back to the system.
    println!("bytes of the head for a request in hand");
    let mut memory = Vec::new();
    for count in [10, 100, 1000] {
        let head = Head::start(&folder, address).await?;
        let one = held(&head, &speak, count, None).await?;
        drop(head);
        let head = Head::start(&folder, address).await?;
        let two = held(&head, &speak, count, Some(args.connections)).await?;
        println!("  {count:5} at a time: HTTP/1.1 {one:8.0}, HTTP/2 {two:8.0}");
        memory.push((count, one, two));
    }
    let head = Head::start(&folder, address).await?;
    let idle = held(&head, &speak, args.idle, Some(args.connections)).await? * args.idle as f64 / 1e6;
    println!("  {} idle streams of HTTP/2: {idle:.1} MB", args.idle);
    drop(head);

    // Load, in turns on one head.
    let head = Head::start(&folder, address).await?;
    let one = Side::One(Arc::default(), head.http1);
    let mut twos = Vec::new();
    for _ in 0..args.connections {
        twos.push(http2(head.http2).await?);
    }
    let two = Side::Two(twos);
    let (mut full_one, mut full_two) = (Vec::new(), Vec::new());
    for _ in 0..3 {
        full_one.push(full(&head, &one, args.streams, length).await?);
        full_two.push(full(&head, &two, args.streams, length).await?);
    }
    let middle = |all: &[Full], of: fn(&Full) -> f64| {
        let mut values: Vec<f64> = all.iter().map(of).collect();
        values.sort_by(f64::total_cmp);
        values[values.len() / 2]
    };
    println!("requests, {} at a time; HTTP/2 on {} connections", args.streams, args.connections);
    for (name, all) in [("HTTP/1.1", &full_one), ("HTTP/2", &full_two)] {
        let failed: u64 = all.iter().map(|f| f.failed).sum();
        println!(
            "  {name:8}: {:7.0} a second, {:7.0} for each second of a core, {failed} failed",
            middle(all, |f| f.per_second),
            middle(all, |f| f.per_core)
        );
    }
    println!("cost as streams grow, for each second of a core");
    let mut growth = Vec::new();
    for streams in [10, 100, 1000] {
        let all = full(&head, &two, streams, length / 2).await?;
        println!("  {streams:5} streams: {:7.0}", all.per_core);
        growth.push((streams, all.per_core));
    }
    let rate = middle(&full_one, |f| f.per_second).min(middle(&full_two, |f| f.per_second)) / 2.0;
    println!("latency in ms at {rate:.0} requests a second, from the moment that each was due");
    let mut quantiles = Vec::new();
    for (name, side) in [("HTTP/1.1", &one), ("HTTP/2", &two)] {
        open_loop(side, rate, length / 2).await?;
        let (histogram, late) = open_loop(side, rate, length).await?;
        let of = |q: f64| histogram.value_at_quantile(q) as f64 / 1000.0;
        println!(
            "  {name:8}: p50 {:.2}, p99 {:.2}, p99.9 {:.2}; {} requests; this program's lateness {:.1} ms at most",
            of(0.5),
            of(0.99),
            of(0.999),
            histogram.len(),
            late.as_secs_f64() * 1000.0
        );
        quantiles.push((of(0.5), of(0.99), of(0.999)));
    }
    drop(head);
    let _ = std::fs::remove_dir_all(folder);
    let at_100 = memory.iter().find(|m| m.0 == 100).map_or((1.0, 1.0), |m| (m.1, m.2));
    let json = serde_json::json!({
        "seconds": args.seconds, "streams": args.streams, "connections": args.connections,
        "rps_ratio": middle(&full_two, |f| f.per_core) / middle(&full_one, |f| f.per_core),
        "rps_http1": middle(&full_one, |f| f.per_core), "rps_http2": middle(&full_two, |f| f.per_core),
        "memory_ratio": at_100.1 / at_100.0.max(1.0),
        "p99_ratio": quantiles[1].1 / quantiles[0].1.max(1e-3),
        "latency_http1_ms": quantiles[0], "latency_http2_ms": quantiles[1],
        "memory_bytes": memory, "growth": growth,
        "idle_streams": args.idle, "idle_streams_mb": idle,
    });
    println!("{json}");
    Ok(())
}
