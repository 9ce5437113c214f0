//! A head among 1,024 others before up to 1,024 nodes: what it takes of memory, descriptors and processor time, and that
//! a drain of half of the nodes in one line is kept. `cargo test --release --test sizes -- --nocapture` prints the table.

mod peers;
use peers::*;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;

const CLIENTS: u64 = 8;
const REQUESTS: u64 = 4000;

/// Memory at most, in MB, descriptors, and processor time so far, in seconds.
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

/// Asks for data on shards drawn at random, over as many connections as there are clients; how many were served.
fn send_requests(head: &Head, requests: u64, shards: impl Fn(u64) -> u64 + Sync) -> u64 {
    let served = AtomicU64::new(0);
    thread::scope(|scope| {
        for client in 0..CLIENTS {
            let (served, shards) = (&served, &shards);
            scope.spawn(move || {
                let (mut at, mut random) =
                    (Client::new(head.http), client.wrapping_mul(0x9E37_79B9_7F4A_7C15) | 1);
                for _ in 0..requests / CLIENTS {
                    random ^= random << 13;
                    random ^= random >> 7;
                    random ^= random << 17;
                    let text = Client::request("play-fetch", "network", 1, 2.0, 0);
                    let text = text.replace("shard=0", &format!("shard={}", shards(random >> 11)));
                    served.fetch_add(u64::from(at.ask(&text, b"").status() == 200), Ordering::Relaxed);
                }
            });
        }
    });
    served.into_inner()
}

#[test]
fn a_head_of_a_thousand_bears_a_thousand_nodes_and_keeps_a_drain_of_half() {
    println!("nodes  memory MB  descriptors  processor us a request");
    let mut costs = Vec::new();
    for count in [60, 200, 500, 1024u32] {
        let bricks: Vec<Brick> =
            (0..count).map(|_| Brick::start(|_, _| Step::Serve(b"ok".to_vec()))).collect();
        let named = |state: &str, which: std::ops::Range<u32>| -> Vec<String> {
            which.map(|n| entry(&format!("s-{n:08x}"), bricks[n as usize].address, n, state)).collect()
        };
        let discovery = Discovery::start(&named("ready", 0..count));
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
        // The limits of the platform, of which `soak` prices more than half of the memory.
        assert!(memory < 96.0 && descriptors < 1024, "{count} nodes: {memory} MB, {descriptors} descriptors");
        costs.push(cost);
        let half = count / 2;
        discovery.push(&named("draining", 0..half));
        wait(|| (head.counter("list_changes") == 2).then_some(()));
        let seen = || bricks[..half as usize].iter().map(|brick| brick.seen().len()).sum::<usize>();
        let before_draining = seen();
        let rest = u64::from(count - half);
        assert_eq!(
            send_requests(&head, REQUESTS / 4, |sample| u64::from(half) + sample % rest),
            REQUESTS / 4
        );
        assert_eq!(seen(), before_draining, "{count} nodes: nothing new to those that are draining");
    }
    println!(r#"{{"nodes":[60,200,500,1024],"us_a_request":{costs:.0?}}}"#);
    assert!(costs[3] < 3.0 * costs[0] + 50.0, "time for each request grows with the nodes: {costs:.0?} us");
}
