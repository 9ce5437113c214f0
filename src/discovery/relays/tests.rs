//! Tests of a watch on a test relay in the same thread.

use super::*;
use crate::core::{Clock, Dispatcher};
use crate::exclusions::Exclusions;
use crate::metrics::counters::Counters;
use crate::node::{NodeTransport, NodeTransportSettings};
use crate::resources::descriptors::DescriptorBudget;
use crate::resources::memory::MemoryBudget;
use crate::scheduler::UpdateKind;
use flaxgap_distribution::selection::{Locality, RelayInfo};
use flaxgap_membership::SourceCursor;
use flaxgap_membership::list::EndpointList;
use std::future::Future;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{LocalSet, spawn_local};
use tokio::time::timeout;

/// Timeout of each wait. Only a failing test waits that long.
const WAIT_LIMIT: Duration = Duration::from_secs(20);

/// Settings with one request class and one service level.
const SETTINGS: &str = r#"{"bounds":{"cancel":true,"conn_idle":15.0,"connect_timeout":0.5,"max_attempts":3,
 "max_retry_after":2.0,"retry_after":true},
 "classes":[{"aim":0.4,"deadline":2.0,"idempotency":"safe","late_worth":0.2,"name":"play-fetch","worth":3.0}],
 "domain":{"changes_data":[false],"cold_units":42.0,"idle_worth":0.08,"unit_mean":2.05,"units_top":8,
 "use_period":1.0,"within_share":0.35},
 "guarantees":{"cold_from":0.17,"drain_grace":0.25,"fall":3.0,"tip_multiple":3.0,"warm_within":16.0},"membership_mode":"push",
 "n_instances":1,"period":0.002,"report":{"names":["rif"],"source":"answers"},"zones":["a"],
 "service_levels":[{"base_rate":400.0,"name":"network","reserve":400.0,"value_factor":0.9,"weight":3.0}]}"#;

fn directory() -> Rc<EndpointDirectory> {
    let (settings, notes) = crate::config::read(SETTINGS.as_bytes()).expect("settings");
    let counters = Counters::new(&notes.class_names);
    let budget = DescriptorBudget::new(100, counters.clone());
    let nodes = NodeTransport::new(
        budget,
        MemoryBudget::new(64),
        counters.clone(),
        NodeTransportSettings { connect_timeout_s: 0.5, node_idle_timeout_s: 15.0, heads: 1 },
    );
    let dispatcher = Dispatcher::new(settings, 1, Clock::start(), counters.clone()).expect("served");
    let schedule = PollSchedule::new(1, 1, SourceKind::SharedServer, Duration::ZERO);
    EndpointDirectory::new(
        dispatcher,
        nodes,
        counters,
        Rc::new(Exclusions::load(None, "n0")),
        vec!["a".into()],
        schedule,
    )
}

fn list(rev: u64, all: bool, name: &str, state: &str) -> String {
    format!(
        r#"{{"rev":{rev},"all":{all},"targets":[{{"uid":"{name}","endpoint":"127.0.0.1:9","az":"a","pod_group":0,"state":"{state}","boot_ms":0}}]}}"#
    )
}

/// A connection from the head to the test relay.
struct HeadConnection {
    request_line: String,
    stream: TcpStream,
}

impl HeadConnection {
    async fn accept(listener: &TcpListener) -> HeadConnection {
        let (mut stream, _) = timeout(WAIT_LIMIT, listener.accept()).await.expect("in time").expect("a call");
        let mut request_header = Vec::new();
        while !request_header.ends_with(b"\r\n\r\n") {
            request_header.push(stream.read_u8().await.expect("a request header"));
        }
        let request_line =
            String::from_utf8_lossy(&request_header).lines().next().unwrap_or_default().to_string();
        stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").await.expect("written");
        HeadConnection { request_line, stream }
    }

    async fn send_line(&mut self, text: &str) {
        let chunk = format!("{:x}\r\n{text}\n\r\n", text.len() + 1);
        self.stream.write_all(chunk.as_bytes()).await.expect("written");
    }
}

/// Runs a test with a watch on a test relay.
fn with_watch<F: Future<Output = ()>>(
    test: impl FnOnce(Rc<EndpointDirectory>, TcpListener, mpsc::Receiver<WatchReport>) -> F,
) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    LocalSet::new().block_on(&runtime, async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address");
        let directory = directory();
        let relays =
            vec![RelayInfo { name: "relay-1".into(), address, region: "r1".into(), zone: "a".into() }];
        let locality = Locality { region: "r1".into(), zone: "a".into() };
        let distribution = DistributionSettings { locality, relays };
        let mut follower = RelayFollower::new(directory.clone(), "n0", &distribution, 1)
            .expect("relays that can be followed");
        let later = directory.clock().now() + 2.0;
        let opened = follower.selection.poll(later).into_iter().find_map(|directive| match directive {
            Directive::Open { watch_id, .. } => Some(watch_id),
            Directive::Close { .. } => None,
        });
        let watch = RelayWatch {
            watch_id: opened.expect("a watch"),
            address,
            directory: directory.clone(),
            schedule: follower.schedule.clone(),
            reports: follower.report_sender.clone(),
        };
        spawn_local(watch.run());
        test(directory, listener, follower.reports).await;
    });
}

async fn wait_for_version(directory: &EndpointDirectory, version: u64) {
    let reached = async {
        while directory.version() < version {
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
    };
    timeout(WAIT_LIMIT, reached).await.expect("the list is applied");
}

/// A list that skips a version received from the other relay may not contain a change that was reverted by then.
#[test]
fn relay_that_skips_a_known_version_is_watched_again_from_that_version() {
    with_watch(|directory, listener, _reports| async move {
        let mut first = HeadConnection::accept(&listener).await;
        assert!(first.request_line.contains("follow=1&since=0"), "{}", first.request_line);
        first.send_line(&list(1, true, "s-1", "ready")).await;
        wait_for_version(&directory, 1).await;
        let other = EndpointList::parse(list(3, false, "s-1", "draining").as_bytes()).expect("a list");
        directory.apply(other, &mut SourceCursor::at(1), UpdateKind::Changes);
        first.send_line(&list(4, false, "s-2", "ready")).await;
        let mut second = HeadConnection::accept(&listener).await;
        assert!(second.request_line.contains("follow=1&since=3"), "{}", second.request_line);
        assert_eq!(directory.version(), 3, "a list that skips this version is not applied");
        second.send_line(&list(4, false, "s-2", "ready")).await;
        wait_for_version(&directory, 4).await;
    });
}

/// The reported reason distinguishes an overloaded relay from one that ended the watch.
#[test]
fn lost_watch_is_reported_with_its_reason() {
    with_watch(|_, listener, mut reports| async move {
        let mut call = HeadConnection::accept(&listener).await;
        call.send_line("").await;
        let event = timeout(WAIT_LIMIT, reports.recv()).await.expect("in time").expect("a report").event;
        assert!(matches!(event, RelayWatchEvent::Opened));
        call.stream.write_all(b"0\r\n\r\n").await.expect("written");
        let event = timeout(WAIT_LIMIT, reports.recv()).await.expect("in time").expect("a report").event;
        assert!(matches!(event, RelayWatchEvent::Lost(LostReason::EndedByRelay)));
        let again = timeout(Duration::from_millis(300), listener.accept()).await;
        assert!(again.is_err(), "the watch does not reconnect by itself");
    });
    with_watch(|_, listener, mut reports| async move {
        let (mut stream, _) = listener.accept().await.expect("a call");
        let _ = stream.read(&mut [0; 1024]).await.expect("a request header");
        let busy = b"HTTP/1.1 503 Service Unavailable\r\nRetry-After: 7\r\nContent-Length: 0\r\n\r\n";
        stream.write_all(busy).await.expect("written");
        let event = timeout(WAIT_LIMIT, reports.recv()).await.expect("in time").expect("a report").event;
        assert!(matches!(event, RelayWatchEvent::Lost(LostReason::Overloaded { retry_after_s: 7.0 })));
    });
}
