//! Tests of agents that answer each renewed watch with the complete list: a list of the known version is skipped
//! after its first fields, and no update is lost or delayed because of that.

use super::*;
use crate::discovery::client::call::CallMessage;

/// Number of calls after which a test ends.
const RENEWALS: usize = 24;

/// A complete list of 400 nodes and `s-1`, which is longer than the buffers of a connection and its reader.
fn complete_list(rev: u64, state: &str) -> String {
    complete_list_with(400, rev, state)
}

/// A complete list of `other_nodes` nodes and `s-1`.
pub(super) fn complete_list_with(other_nodes: usize, rev: u64, state: &str) -> String {
    let other = |n: usize| format!(r#"{{"uid":"s-1{n:07x}","endpoint":"127.0.0.1:80","state":"ready"}}"#);
    let other_nodes: Vec<String> = (0..other_nodes).map(other).collect();
    let first = format!(r#"{{"uid":"s-1","endpoint":"127.0.0.1:80","state":"{state}"}}"#);
    format!("{{\"rev\":{rev},\"all\":true,\"targets\":[{first},{}]}}", other_nodes.join(","))
}

/// One step of an agent in the response to a call.
#[derive(Clone)]
enum Step {
    /// Writes a part of a list, without a line break after it.
    Write(String),
    /// Waits for this duration.
    Pause(Duration),
    /// Waits until this time.
    Until(Instant),
    /// Waits until the peer has closed the connection.
    Hold,
    /// Refuses the connection.
    Refuse,
}

use Step::*;

/// An agent whose response to each call is defined by the number of the call, from 0.
#[derive(Clone)]
struct ScriptedAgent {
    script: Rc<dyn Fn(usize) -> Vec<Step>>,
    calls: Rc<Cell<usize>>,
    /// Number of bytes of lists that were written to connections.
    written: Rc<Cell<usize>>,
}

impl ScriptedAgent {
    fn new(script: impl Fn(usize) -> Vec<Step> + 'static) -> ScriptedAgent {
        ScriptedAgent { script: Rc::new(script), calls: Rc::default(), written: Rc::default() }
    }

    async fn serve(self, mut stream: DuplexStream, steps: Vec<Step>) -> io::Result<()> {
        let mut request_header = Vec::new();
        while !request_header.ends_with(b"\r\n\r\n") {
            request_header.push(stream.read_u8().await?);
        }
        stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").await?;
        for step in steps {
            match step {
                Write(text) if text.is_empty() => {}
                Write(text) => {
                    stream.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes()).await?;
                    self.written.set(self.written.get() + text.len());
                }
                Pause(duration) => sleep(duration).await,
                Until(at) => sleep_until(at).await,
                Hold => wait_until_closed(&mut stream).await,
                Refuse => return Ok(()),
            }
        }
        Ok(())
    }
}

impl Connect for ScriptedAgent {
    type Stream = DuplexStream;

    async fn connect(&self, _: SocketAddr) -> io::Result<DuplexStream> {
        let steps = (self.script)(self.calls.replace(self.calls.get() + 1));
        if matches!(steps.first(), Some(Refuse)) {
            return Err(io::ErrorKind::ConnectionRefused.into());
        }
        let (client_stream, server_stream) = duplex(4096);
        let agent = self.clone();
        spawn_local(async move { _ = agent.serve(server_stream, steps).await });
        Ok(client_stream)
    }
}

/// Runs a test on a runtime with virtual time.
fn in_virtual_time<F: Future<Output = ()>>(test: impl FnOnce() -> F) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_time().start_paused(true).build();
    LocalSet::new().block_on(&runtime.expect("a runtime"), async { test().await });
}

/// Receives lists until `until` returns true. Returns the version of each list and its state of `s-1`.
async fn lists_until(
    watcher: &mut Watcher<'_, ScriptedAgent>,
    until: impl Fn() -> bool,
) -> Vec<(u64, NodeState)> {
    let mut lists = vec![];
    while !until() {
        match timeout(Duration::from_secs(5), watcher.next_event(|| SourceRequest::WatchSince(1))).await {
            Ok(WatchEvent::List { list, .. }) => {
                let first = list.entries().find(|entry| entry.name == "s-1");
                lists.push((list.version, first.expect("the list contains s-1").state));
            }
            Ok(WatchEvent::WatchLost) => panic!("the current watch was lost"),
            Ok(_) => {}
            Err(_) => panic!("no more events after {lists:?}"),
        }
    }
    lists
}

use flaxgap_membership::list::NodeState;
use tokio::time::timeout;

/// Repeats the outages of the parent module's test with an agent that answers each watch with the complete list. The
/// drain after the outage is received within the same time.
#[test]
fn drain_in_a_complete_list_is_received_within_one_poll_interval_after_an_outage() {
    use Outage::*;
    for outage in [NeverAnswers, AnswersLate, NeverConnects, OpensIdle, Refuses, Closes] {
        let mut max_delay = Duration::ZERO;
        let mut total_delay = Duration::ZERO;
        for seed in 1..=SEEDS {
            let result = simulate_with(outage, false, true, seed);
            let delay = result.delay;
            assert!(delay <= POLL_INTERVAL + Duration::from_millis(2), "{outage:?}, seed {seed}: {delay:?}");
            assert!(
                result.max_open_connections <= MAX_CALLS_IN_FLIGHT + 2,
                "{outage:?}, seed {seed}: {}",
                result.max_open_connections
            );
            max_delay = max_delay.max(delay);
            total_delay += delay;
        }
        println!("{outage:?}: {max_delay:?} at most, {:?} on average", total_delay / SEEDS as u32);
    }
    for seed in 1..=200 {
        let result = simulate_with(NeverAnswers, true, true, seed);
        assert!(result.delay <= Duration::from_millis(2), "seed {seed}: {:?}", result.delay);
    }
}

/// Renewed watches that begin with the known version and stall at any of their first 200 bytes are skipped. The first
/// watch stays current, and its update is received at once.
#[test]
fn renewed_watch_with_the_known_version_is_skipped() {
    let header_length = r#"{"rev":1,"all":true,"#.len();
    for cut in (header_length..200).chain([4000]) {
        in_virtual_time(|| async move {
            let update_at = Instant::now() + Duration::from_millis(1500);
            let agent = ScriptedAgent::new(move |number| match number {
                0 => vec![
                    Write(complete_list(1, "ready")),
                    Until(update_at),
                    Write(complete_list(2, "draining")),
                    Hold,
                ],
                _ => vec![
                    Write(complete_list(1, "ready")[..header_length.min(cut) - 3].into()),
                    Pause(Duration::from_millis(5)),
                    Write(complete_list(1, "ready")[header_length - 3..cut].into()),
                    Hold,
                ],
            });
            let schedule = PollSchedule::new(1, 1, SourceKind::LocalAgent, GRACE);
            let mut watcher = Watcher::new(agent.clone(), ([127, 0, 0, 1], 1).into(), &schedule);
            let calls = agent.calls.clone();
            let lists = lists_until(&mut watcher, || Instant::now() >= update_at).await;
            assert_eq!(lists, [(1, NodeState::Ready), (2, NodeState::Draining)], "cut at {cut}");
            assert!(Instant::now() - update_at < Duration::from_millis(1), "cut at {cut}");
            assert!(calls.get() >= 23, "{} renewals", calls.get());
            assert!(agent.written.get() < 3 * complete_list(1, "ready").len() + calls.get() * cut);
        });
    }
}

/// Renewed watches on which the agent would send the known list in full are closed before the list has been
/// transferred, and each counts as a heartbeat.
#[test]
fn skipped_list_is_not_transferred_and_counts_as_a_heartbeat() {
    in_virtual_time(|| async {
        let agent = ScriptedAgent::new(|_| vec![Write(complete_list(1, "ready")), Hold]);
        let schedule = PollSchedule::new(1, 1, SourceKind::LocalAgent, GRACE);
        let mut watcher = Watcher::new(agent.clone(), ([127, 0, 0, 1], 1).into(), &schedule);
        let (mut lists, mut heartbeats) = (0, 0);
        let end = Instant::now() + Duration::from_secs(8);
        while Instant::now() < end {
            match watcher.next_event(|| SourceRequest::WatchSince(1)).await {
                WatchEvent::List { .. } => lists += 1,
                WatchEvent::Heartbeat => heartbeats += 1,
                other => panic!("{other:?}"),
            }
        }
        assert_eq!((lists, agent.calls.get()), (1, heartbeats + lists));
        // No renewed watch has transferred the whole list.
        assert_eq!(agent.written.get(), complete_list(1, "ready").len());
    });
}

/// A renewed watch that begins with another version and pauses at any of its first 200 bytes is read and becomes the
/// current watch, so that its later update is received.
#[test]
fn renewed_watch_with_another_version_is_read() {
    for (version, cut) in (0..200).map(|cut| (2, cut)).chain((0..200).map(|cut| (11, cut))) {
        in_virtual_time(|| async move {
            let agent = ScriptedAgent::new(move |number| {
                let (first, rest) = (
                    complete_list(version, "draining")[..cut].into(),
                    complete_list(version, "draining")[cut..].into(),
                );
                match number {
                    0..8 => vec![Write(complete_list(1, "ready")), Hold],
                    8 => {
                        let pause = Pause(Duration::from_millis(20));
                        let later = Pause(Duration::from_millis(200));
                        vec![
                            Write(first),
                            pause,
                            Write(rest),
                            later,
                            Write(complete_list(version + 1, "ready")),
                            Hold,
                        ]
                    }
                    _ => vec![Write(complete_list(version, "draining")), Hold],
                }
            });
            let schedule = PollSchedule::new(1, 1, SourceKind::LocalAgent, GRACE);
            let mut watcher = Watcher::new(agent.clone(), ([127, 0, 0, 1], 1).into(), &schedule);
            let calls = agent.calls.clone();
            let lists = lists_until(&mut watcher, || calls.get() >= RENEWALS).await;
            let expected =
                [(1, NodeState::Ready), (version, NodeState::Draining), (version + 1, NodeState::Ready)];
            assert_eq!(lists[..3], expected, "version {version}, cut at {cut}");
        });
    }
}

/// A source that has restarted its version count may reuse a version for other content. After a failure of a watch or
/// call, the next list of the known version is read: the other content is received by the second renewed watch at the
/// latest.
#[test]
fn list_of_an_uncertain_version_is_read_again() {
    let ready = || complete_list(1, "ready");
    let other = || vec![Write(complete_list(1, "draining")), Hold];
    // Responses before the list with other content; the first one is the current watch.
    let closes: fn(usize) -> Vec<Step> = |number| match number {
        0 => vec![Write(complete_list(1, "ready")), Pause(Duration::from_millis(300))],
        _ => vec![Write(complete_list(1, "ready")), Hold],
    };
    let refuses: fn(usize) -> Vec<Step> = |number| match number {
        5 => vec![Refuse],
        _ => vec![Write(complete_list(1, "ready")), Hold],
    };
    let breaks: fn(usize) -> Vec<Step> = |number| match number {
        5 => vec![Write("no list\n".into()), Hold],
        _ => vec![Write(complete_list(1, "ready")), Hold],
    };
    let stalls: fn(usize) -> Vec<Step> = |number| match number {
        0..5 => vec![Write(complete_list(1, "ready")), Hold],
        _ => vec![Hold],
    };
    for (case, script, changes_at) in
        [("closes", closes, 4), ("refuses", refuses, 6), ("breaks", breaks, 6), ("stalls", stalls, 25)]
    {
        in_virtual_time(|| async move {
            let agent = ScriptedAgent::new(move |number| match number < changes_at {
                true => script(number),
                false => other(),
            });
            let schedule = PollSchedule::new(1, 1, SourceKind::LocalAgent, GRACE);
            let mut watcher = Watcher::new(agent.clone(), ([127, 0, 0, 1], 1).into(), &schedule);
            let mut states = vec![];
            while agent.calls.get() < changes_at + 3 {
                if let WatchEvent::List { list, .. } =
                    watcher.next_event(|| SourceRequest::WatchSince(1)).await
                {
                    states.extend(list.entries().find(|entry| entry.name == "s-1").map(|entry| entry.state));
                }
            }
            assert_eq!(states, [NodeState::Ready, NodeState::Draining], "{case}");
        });
    }
    // Every list from a source that is behind the known version is read in full.
    in_virtual_time(|| async move {
        let agent = ScriptedAgent::new(move |_| vec![Write(ready()), Hold]);
        let schedule = PollSchedule::new(1, 1, SourceKind::LocalAgent, GRACE);
        let mut watcher = Watcher::new(agent.clone(), ([127, 0, 0, 1], 1).into(), &schedule);
        let mut lists = 0;
        while agent.calls.get() < RENEWALS {
            lists += usize::from(matches!(
                watcher.next_event(|| SourceRequest::WatchSince(1)).await,
                WatchEvent::List { .. }
            ));
            watcher.forget_known_list();
        }
        assert!(lists >= RENEWALS - 2, "{lists} of {RENEWALS}");
    });
}

/// If watches are not renewed, there is only one watch at a time, so a list of the known version is read in full.
#[test]
fn list_of_a_shared_server_is_never_skipped() {
    in_virtual_time(|| async {
        let agent = ScriptedAgent::new(|number| match number {
            0 => vec![Write(complete_list(1, "ready")), Pause(Duration::from_millis(300))],
            _ => vec![
                Write(complete_list(1, "ready")),
                Pause(Duration::from_millis(300)),
                Write(complete_list(2, "draining")),
                Hold,
            ],
        });
        let schedule = PollSchedule::new(1, 1, SourceKind::SharedServer, GRACE);
        let mut watcher = Watcher::new(agent.clone(), ([127, 0, 0, 1], 1).into(), &schedule);
        let mut lists = vec![];
        while lists.last() != Some(&2) {
            if let WatchEvent::List { list, .. } = watcher.next_event(|| SourceRequest::WatchSince(1)).await {
                lists.push(list.version);
            }
        }
        assert_eq!((lists, agent.calls.get()), (vec![1, 2], 2));
    });
}

/// A list of the known version on a watch that has become the current one by a heartbeat is read in full: the watch
/// would otherwise be closed and could not deliver later updates.
#[test]
fn current_watch_is_never_skipped() {
    in_virtual_time(|| async {
        let agent = ScriptedAgent::new(|number| match number {
            0 => vec![Write(complete_list(1, "ready")), Hold],
            1 => {
                let (first, rest) =
                    (complete_list(1, "ready")[..100].into(), complete_list(1, "ready")[100..].into());
                let pause = Pause(Duration::from_millis(10));
                let update = Write(complete_list(2, "draining"));
                vec![Write("\n".into()), pause.clone(), Write(first), pause, Write(rest), update, Hold]
            }
            _ => vec![Hold],
        });
        let schedule = PollSchedule::new(1, 1, SourceKind::LocalAgent, GRACE);
        let mut watcher = Watcher::new(agent.clone(), ([127, 0, 0, 1], 1).into(), &schedule);
        let calls = agent.calls.clone();
        let lists = lists_until(&mut watcher, || calls.get() >= 6).await;
        assert_eq!(lists, [(1, NodeState::Ready), (2, NodeState::Draining)]);
    });
}

/// A skipped list does not count as a heartbeat if its version has become uncertain before the message is handled.
#[test]
fn skipped_list_of_an_uncertain_version_is_no_heartbeat() {
    in_virtual_time(|| async {
        let agent = ScriptedAgent::new(|_| vec![Hold]);
        let schedule = PollSchedule::new(1, 1, SourceKind::LocalAgent, GRACE);
        let mut watcher = Watcher::new(agent, ([127, 0, 0, 1], 1).into(), &schedule);
        for (skippable, is_heartbeat) in [(Some(7), true), (Some(8), false), (None, false)] {
            watcher.skippable.set(skippable);
            let event = watcher.on_message(1, CallMessage::SkippedSnapshot(7));
            assert_eq!(event.is_some(), is_heartbeat, "{skippable:?}");
        }
    });
}

/// The response to a relist after a lost update is read in full, even if it has the known version.
#[test]
fn relist_is_never_skipped() {
    in_virtual_time(|| async {
        let agent = ScriptedAgent::new(|number| match number {
            3 => vec![
                Write(complete_list(1, "draining")),
                Pause(Duration::from_millis(1)),
                Write("\n".into()),
                Hold,
            ],
            _ => vec![Write(complete_list(1, "ready")), Hold],
        });
        let schedule = PollSchedule::new(1, 1, SourceKind::LocalAgent, GRACE);
        let mut watcher = Watcher::new(agent.clone(), ([127, 0, 0, 1], 1).into(), &schedule);
        let calls = agent.calls.clone();
        let mut lists = vec![];
        while calls.get() < 5 {
            let next_request =
                || if calls.get() == 3 { SourceRequest::List } else { SourceRequest::WatchSince(1) };
            if let WatchEvent::List { list, request, .. } = watcher.next_event(next_request).await {
                lists.push((list.version, request));
            }
        }
        assert_eq!(lists[..2], [(1, SourceRequest::WatchSince(1)), (1, SourceRequest::List)]);
    });
}

/// After a relist, the first watch that delivers the same list is read in full and becomes the current watch, before
/// lists of other watches are skipped.
#[test]
fn watch_is_current_before_any_list_is_skipped() {
    in_virtual_time(|| async {
        let agent = ScriptedAgent::new(|_| vec![Write(complete_list(1, "ready")), Write("\n".into()), Hold]);
        let schedule = PollSchedule::new(1, 1, SourceKind::LocalAgent, GRACE);
        let mut watcher = Watcher::new(agent.clone(), ([127, 0, 0, 1], 1).into(), &schedule);
        let calls = agent.calls.clone();
        while calls.get() < 6 {
            let next_request =
                || if calls.get() == 0 { SourceRequest::List } else { SourceRequest::WatchSince(1) };
            watcher.next_event(next_request).await;
        }
        assert!(watcher.calls.has_current_watch());
    });
}
