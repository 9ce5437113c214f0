//! Agents that answer each renewed watch with the whole list: one of the known version is dropped after its first bytes,
//! and no change is lost or late by it.

use super::*;
use crate::discovery::client::call::CallMessage;

/// Renewals that a test watches.
const RENEWALS: usize = 24;

/// A whole list of four hundred nodes and `s-1`: longer than what a connection and its reader hold at once.
fn text(rev: u64, state: &str) -> String {
    text_of(400, rev, state)
}

/// A whole list of so many nodes and `s-1`.
pub(super) fn text_of(others: usize, rev: u64, state: &str) -> String {
    let other = |n: usize| format!(r#"{{"uid":"s-1{n:07x}","endpoint":"127.0.0.1:80","state":"ready"}}"#);
    let others: Vec<String> = (0..others).map(other).collect();
    let first = format!(r#"{{"uid":"s-1","endpoint":"127.0.0.1:80","state":"{state}"}}"#);
    format!("{{\"rev\":{rev},\"all\":true,\"targets\":[{first},{}]}}", others.join(","))
}

/// What an agent does on one call.
#[derive(Clone)]
enum Step {
    /// Writes a part of a list, without a line end.
    Write(String),
    /// Waits.
    Pause(Duration),
    /// Waits until a moment.
    Until(Instant),
    /// Waits until the other side has closed.
    Hold,
    /// Refuses the connection.
    Refuse,
}

use Step::*;

/// An agent whose answer to each call, by its number from 0, is written down; it notes what was closed before its end.
#[derive(Clone)]
struct Scripted {
    script: Rc<dyn Fn(usize) -> Vec<Step>>,
    calls: Rc<Cell<usize>>,
    /// Bytes of lists that were taken.
    written: Rc<Cell<usize>>,
}

impl Scripted {
    fn new(script: impl Fn(usize) -> Vec<Step> + 'static) -> Scripted {
        Scripted { script: Rc::new(script), calls: Rc::default(), written: Rc::default() }
    }

    async fn serve(self, mut stream: DuplexStream, steps: Vec<Step>) -> io::Result<()> {
        let mut head = Vec::new();
        while !head.ends_with(b"\r\n\r\n") {
            head.push(stream.read_u8().await?);
        }
        stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").await?;
        for step in steps {
            match step {
                Write(text) if text.is_empty() => {}
                Write(text) => {
                    stream.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes()).await?;
                    self.written.set(self.written.get() + text.len());
                }
                Pause(span) => sleep(span).await,
                Until(at) => sleep_until(at).await,
                Hold => closed(&mut stream).await,
                Refuse => return Ok(()),
            }
        }
        Ok(())
    }
}

impl Connect for Scripted {
    type Stream = DuplexStream;

    async fn connect(&self, _: SocketAddr) -> io::Result<DuplexStream> {
        let steps = (self.script)(self.calls.replace(self.calls.get() + 1));
        if matches!(steps.first(), Some(Refuse)) {
            return Err(io::ErrorKind::ConnectionRefused.into());
        }
        let (near, far) = duplex(4096);
        let agent = self.clone();
        spawn_local(async move { _ = agent.serve(far, steps).await });
        Ok(near)
    }
}

/// Runs a test in virtual time.
fn in_virtual_time<F: Future<Output = ()>>(test: impl FnOnce() -> F) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_time().start_paused(true).build();
    LocalSet::new().block_on(&runtime.expect("a runtime"), async { test().await });
}

/// The versions of the lists that come until `until` holds, with the state that they have `s-1` in.
async fn lists_until(watcher: &mut Watcher<'_, Scripted>, until: impl Fn() -> bool) -> Vec<(u64, NodeState)> {
    let mut lists = vec![];
    while !until() {
        match timeout(Duration::from_secs(5), watcher.next_event(|| SourceRequest::WatchSince(1))).await {
            Ok(WatchEvent::List { list, .. }) => {
                let first = list.entries().find(|entry| entry.name == "s-1");
                lists.push((list.version, first.expect("it names s-1").state));
            }
            Ok(WatchEvent::WatchLost) => panic!("the standing watch was lost"),
            Ok(_) => {}
            Err(_) => panic!("nothing comes any more, after {lists:?}"),
        }
    }
    lists
}

use flaxgap_membership::list::NodeState;
use tokio::time::timeout;

/// The outages of the test beside this one, with an agent that answers each watch with the whole list: the drain at its
/// return is heard as soon.
#[test]
fn a_drain_in_a_whole_list_is_heard_within_a_quarter_of_the_grace() {
    use Silence::*;
    for silence in [TakesAndForgets, AnswersLate, TakesNone, OpensMute, Refuses, Closes] {
        let (mut most, mut sum) = (Duration::ZERO, Duration::ZERO);
        for seed in 1..=SEEDS {
            let played = play_with(silence, false, true, seed);
            let late = played.late;
            assert!(late <= EVERY + Duration::from_millis(2), "{silence:?}, seed {seed}: {late:?}");
            assert!(
                played.most_out <= MAX_CALLS_IN_FLIGHT + 2,
                "{silence:?}, seed {seed}: {}",
                played.most_out
            );
            (most, sum) = (most.max(late), sum + late);
        }
        println!("{silence:?}: {most:?} at most, {:?} on average", sum / SEEDS as u32);
    }
    for seed in 1..=200 {
        let played = play_with(TakesAndForgets, true, true, seed);
        assert!(played.late <= Duration::from_millis(2), "seed {seed}: {:?}", played.late);
    }
}

/// Given renewals that begin by the known version, cut at any of their first 200 bytes, when the rest never comes, then
/// they are dropped, the first watch goes on standing, and what it delivers is heard at once.
#[test]
fn a_renewal_by_the_known_version_is_dropped_and_the_watch_stands_on() {
    // The header ends after so many bytes.
    let header = r#"{"rev":1,"all":true,"#.len();
    for cut in (header..200).chain([4000]) {
        in_virtual_time(|| async move {
            let news = Instant::now() + Duration::from_millis(1500);
            let agent = Scripted::new(move |number| match number {
                0 => vec![Write(text(1, "ready")), Until(news), Write(text(2, "draining")), Hold],
                _ => vec![
                    Write(text(1, "ready")[..header.min(cut) - 3].into()),
                    Pause(Duration::from_millis(5)),
                    Write(text(1, "ready")[header - 3..cut].into()),
                    Hold,
                ],
            });
            let schedule = PollSchedule::new(1, 1, SourceKind::LocalAgent, GRACE);
            let mut watcher = Watcher::new(agent.clone(), ([127, 0, 0, 1], 1).into(), &schedule);
            let calls = agent.calls.clone();
            let lists = lists_until(&mut watcher, || Instant::now() >= news).await;
            assert_eq!(lists, [(1, NodeState::Ready), (2, NodeState::Draining)], "cut at {cut}");
            assert!(Instant::now() - news < Duration::from_millis(1), "cut at {cut}");
            assert!(calls.get() >= 23, "{} renewals", calls.get());
            assert!(agent.written.get() < 3 * text(1, "ready").len() + calls.get() * cut);
        });
    }
}

/// Given the same renewals in full, when they come for seconds, then of each of them no more is taken than what the
/// connection holds, and the other side counts as living throughout.
#[test]
fn a_dropped_renewal_is_not_transferred_and_proves_life() {
    in_virtual_time(|| async {
        let agent = Scripted::new(|_| vec![Write(text(1, "ready")), Hold]);
        let schedule = PollSchedule::new(1, 1, SourceKind::LocalAgent, GRACE);
        let mut watcher = Watcher::new(agent.clone(), ([127, 0, 0, 1], 1).into(), &schedule);
        let (mut lists, mut alive, end) = (0, 0, Instant::now() + Duration::from_secs(8));
        while Instant::now() < end {
            match watcher.next_event(|| SourceRequest::WatchSince(1)).await {
                WatchEvent::List { .. } => lists += 1,
                WatchEvent::Heartbeat => alive += 1,
                other => panic!("{other:?}"),
            }
        }
        assert_eq!((lists, agent.calls.get()), (1, alive + lists));
        // Of the known list no renewal was taken to its end.
        assert_eq!(agent.written.get(), text(1, "ready").len());
    });
}

/// Given a renewal that begins by another version, cut at any of its first 200 bytes for a while, then it is read and
/// stands: what it delivers later is heard.
#[test]
fn a_renewal_by_another_version_is_never_dropped() {
    for (rev, cut) in (0..200).map(|cut| (2, cut)).chain((0..200).map(|cut| (11, cut))) {
        in_virtual_time(|| async move {
            let agent = Scripted::new(move |number| {
                let (first, rest) =
                    (text(rev, "draining")[..cut].into(), text(rev, "draining")[cut..].into());
                match number {
                    0..8 => vec![Write(text(1, "ready")), Hold],
                    8 => {
                        let pause = Pause(Duration::from_millis(20));
                        let later = Pause(Duration::from_millis(200));
                        vec![Write(first), pause, Write(rest), later, Write(text(rev + 1, "ready")), Hold]
                    }
                    _ => vec![Write(text(rev, "draining")), Hold],
                }
            });
            let schedule = PollSchedule::new(1, 1, SourceKind::LocalAgent, GRACE);
            let mut watcher = Watcher::new(agent.clone(), ([127, 0, 0, 1], 1).into(), &schedule);
            let calls = agent.calls.clone();
            let lists = lists_until(&mut watcher, || calls.get() >= RENEWALS).await;
            let expected = [(1, NodeState::Ready), (rev, NodeState::Draining), (rev + 1, NodeState::Ready)];
            assert_eq!(lists[..3], expected, "version {rev}, cut at {cut}");
        });
    }
}

/// Given a version that repeats with other content, since its source counts anew, when anything has put the version in
/// doubt, then it is read: the other list is heard by the next renewal but one.
#[test]
fn a_version_in_doubt_is_read_again() {
    let ready = || text(1, "ready");
    let other = || vec![Write(text(1, "draining")), Hold];
    // What the calls before the other list bring; the first of them is the standing watch.
    let closes: fn(usize) -> Vec<Step> = |number| match number {
        0 => vec![Write(text(1, "ready")), Pause(Duration::from_millis(300))],
        _ => vec![Write(text(1, "ready")), Hold],
    };
    let refuses: fn(usize) -> Vec<Step> = |number| match number {
        5 => vec![Refuse],
        _ => vec![Write(text(1, "ready")), Hold],
    };
    let breaks: fn(usize) -> Vec<Step> = |number| match number {
        5 => vec![Write("no list\n".into()), Hold],
        _ => vec![Write(text(1, "ready")), Hold],
    };
    let falls_silent: fn(usize) -> Vec<Step> = |number| match number {
        0..5 => vec![Write(text(1, "ready")), Hold],
        _ => vec![Hold],
    };
    for (what, script, changes_at) in
        [("closes", closes, 4), ("refuses", refuses, 6), ("breaks", breaks, 6), ("silent", falls_silent, 25)]
    {
        in_virtual_time(|| async move {
            let agent = Scripted::new(move |number| match number < changes_at {
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
            assert_eq!(states, [NodeState::Ready, NodeState::Draining], "{what}");
        });
    }
    // A source that is behind what is known from elsewhere is read in full each time.
    in_virtual_time(|| async move {
        let agent = Scripted::new(move |_| vec![Write(ready()), Hold]);
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

/// Where watches are not renewed, a list by the known version is the only one and has to stand: it is read in full.
#[test]
fn a_shared_source_is_never_dropped() {
    in_virtual_time(|| async {
        let agent = Scripted::new(|number| match number {
            0 => vec![Write(text(1, "ready")), Pause(Duration::from_millis(300))],
            _ => vec![
                Write(text(1, "ready")),
                Pause(Duration::from_millis(300)),
                Write(text(2, "draining")),
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

/// Given a watch that stands by its heartbeat, when it goes on with a list of the known version, then it is read on: what
/// is dropped could deliver nothing later.
#[test]
fn a_watch_that_stands_is_never_dropped() {
    in_virtual_time(|| async {
        let agent = Scripted::new(|number| match number {
            0 => vec![Write(text(1, "ready")), Hold],
            1 => {
                let (first, rest) = (text(1, "ready")[..100].into(), text(1, "ready")[100..].into());
                let pause = Pause(Duration::from_millis(10));
                let news = Write(text(2, "draining"));
                vec![Write("\n".into()), pause.clone(), Write(first), pause, Write(rest), news, Hold]
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

/// Given a renewal that was dropped, when its version came into doubt before that is applied, then it proves nothing.
#[test]
fn a_dropped_renewal_whose_version_is_in_doubt_proves_nothing() {
    in_virtual_time(|| async {
        let agent = Scripted::new(|_| vec![Hold]);
        let schedule = PollSchedule::new(1, 1, SourceKind::LocalAgent, GRACE);
        let mut watcher = Watcher::new(agent, ([127, 0, 0, 1], 1).into(), &schedule);
        for (skippable, proves) in [(Some(7), true), (Some(8), false), (None, false)] {
            watcher.skippable.set(skippable);
            let event = watcher.on_message(1, CallMessage::SkippedSnapshot(7));
            assert_eq!(event.is_some(), proves, "{skippable:?}");
        }
    });
}

/// Given a call for the whole list, which is made where something was lost, when its answer is of the known version, then
/// it is read in full all the same.
#[test]
fn a_call_for_the_whole_list_is_never_dropped() {
    in_virtual_time(|| async {
        let agent = Scripted::new(|number| match number {
            3 => vec![Write(text(1, "draining")), Pause(Duration::from_millis(1)), Write("\n".into()), Hold],
            _ => vec![Write(text(1, "ready")), Hold],
        });
        let schedule = PollSchedule::new(1, 1, SourceKind::LocalAgent, GRACE);
        let mut watcher = Watcher::new(agent.clone(), ([127, 0, 0, 1], 1).into(), &schedule);
        let (calls, mut lists) = (agent.calls.clone(), vec![]);
        while calls.get() < 5 {
            let ask = || if calls.get() == 3 { SourceRequest::List } else { SourceRequest::WatchSince(1) };
            if let WatchEvent::List { list, request: ask } = watcher.next_event(ask).await {
                lists.push((list.version, ask));
            }
        }
        assert_eq!(lists[..2], [(1, SourceRequest::WatchSince(1)), (1, SourceRequest::List)]);
    });
}

/// Given a list that came by a call of its own, when watches answer with the same list, then the first of them is read in
/// full and stands, before others are dropped.
#[test]
fn a_watch_stands_before_any_is_dropped() {
    in_virtual_time(|| async {
        let agent = Scripted::new(|_| vec![Write(text(1, "ready")), Write("\n".into()), Hold]);
        let schedule = PollSchedule::new(1, 1, SourceKind::LocalAgent, GRACE);
        let mut watcher = Watcher::new(agent.clone(), ([127, 0, 0, 1], 1).into(), &schedule);
        let calls = agent.calls.clone();
        while calls.get() < 6 {
            let ask = || if calls.get() == 0 { SourceRequest::List } else { SourceRequest::WatchSince(1) };
            watcher.next_event(ask).await;
        }
        assert!(watcher.calls.has_current_watch());
    });
}
