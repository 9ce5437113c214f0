//! Memory, file descriptors and CPU time of one of 1,024 heads with up to 1,024 nodes, and a drain of half of the nodes
//! by a single update. `cargo test --release --test sizes -- --nocapture` prints the table.

mod peers;
use peers::*;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;

const CLIENTS: u64 = 8;
const REQUESTS: u64 = 4000;

/// Returns the head's peak memory in MB, its open file descriptors, and the CPU time it has used so far in seconds.
fn resource_use(head: &Head) -> (f64, usize, f64) {
    let proc = format!("/proc/{}", head.pid());
    let status = std::fs::read_to_string(format!("{proc}/status")).expect("its status");
    let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:")).expect("a peak");
    let peak: f64 = peak.trim().trim_end_matches(" kB").parse().expect("a number");
    let stat = std::fs::read_to_string(format!("{proc}/stat")).expect("its times");
    let fields: Vec<&str> = stat.rsplit(')').next().expect("fields").split_whitespace().collect();
    let ticks: f64 = fields[11..13].iter().map(|ticks| ticks.parse::<f64>().expect("ticks")).sum();
    (peak / 1024.0, std::fs::read_dir(format!("{proc}/fd")).expect("descriptors").count(), ticks / 100.0)
}

/// Sends reads for the shards that `shards` maps random numbers to, over one connection for each client, and returns how
/// many were answered with 200.
fn send_requests(head: &Head, requests: u64, shards: impl Fn(u64) -> u64 + Sync) -> u64 {
    let served = AtomicU64::new(0);
    thread::scope(|scope| {
        for client in 0..CLIENTS {
            let (served, shards) = (&served, &shards);
            scope.spawn(move || {
                let (mut connection, mut random) =
                    (Client::new(head.http), client.wrapping_mul(0x9E37_79B9_7F4A_7C15) | 1);
                for _ in 0..requests / CLIENTS {
                    random ^= random << 13;
                    random ^= random >> 7;
                    random ^= random << 17;
                    let text = Client::request("play-fetch", "network", 1, 2.0, 0);
                    let text = text.replace("shard=0", &format!("shard={}", shards(random >> 11)));
                    served
                        .fetch_add(u64::from(connection.ask(&text, b"").status() == 200), Ordering::Relaxed);
                }
            });
        }
    });
    served.into_inner()
}

#[test]
fn one_of_1024_heads_serves_1024_nodes_within_the_limits_and_respects_a_drain_of_half() {
    println!("nodes  memory MB  descriptors  CPU us a request");
    let mut costs = Vec::new();
    for count in [60, 200, 500, 1024u32] {
        let bricks: Vec<Brick> =
            (0..count).map(|_| Brick::start(|_, _| Step::Serve(b"ok".to_vec()))).collect();
        let entries = |state: &str, which: std::ops::Range<u32>| -> Vec<String> {
            which.map(|n| entry(&format!("s-{n:08x}"), bricks[n as usize].address, n, state)).collect()
        };
        let discovery = Discovery::start(&entries("ready", 0..count));
        let text = config(&discovery, 1024, "null").replace(r#""n_instances":1"#, r#""n_instances":1024"#);
        let head = Head::start_text(&text, None, &[]);
        let before = resource_use(&head).2;
        assert_eq!(
            send_requests(&head, REQUESTS, |sample| sample % u64::from(count)),
            REQUESTS,
            "{count} nodes"
        );
        let (memory, descriptors, spent) = resource_use(&head);
        let cost = (spent - before) / REQUESTS as f64 * 1e6;
        println!("{count:5}  {memory:9.1}  {descriptors:11}  {cost:22.0}");
        // The platform's limits. `soak` measures what takes more than half of the memory.
        assert!(memory < 96.0 && descriptors < 1024, "{count} nodes: {memory} MB, {descriptors} descriptors");
        costs.push(cost);
        let half = count / 2;
        discovery.push(&entries("draining", 0..half));
        wait(|| (head.counter("list_changes") == 2).then_some(()));
        let received = || bricks[..half as usize].iter().map(|brick| brick.seen().len()).sum::<usize>();
        let before_draining = received();
        let rest = u64::from(count - half);
        assert_eq!(
            send_requests(&head, REQUESTS / 4, |sample| u64::from(half) + sample % rest),
            REQUESTS / 4
        );
        assert_eq!(received(), before_draining, "{count} nodes: no request was sent to a draining node");
    }
    println!(r#"{{"nodes":[60,200,500,1024],"us_a_request":{costs:.0?}}}"#);
    assert!(
        costs[3] < 3.0 * costs[0] + 50.0,
        "CPU time per request grows with the number of nodes: {costs:.0?} us"
    );
}
