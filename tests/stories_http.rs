//! The HTTP front round the core: one story for each failure that has to be met.

mod peers;
use peers::*;
use std::time::{Duration, Instant};

fn read(left: f64) -> String {
    Client::request("play-fetch", "network", 1, left, 0)
}

fn write(body: &[u8]) -> String {
    Client::request("episode-save", "network", 1, 3.0, body.len())
}

fn one(brick: &Brick) -> (Discovery, Head) {
    let discovery = Discovery::start(&[entry("s-1", brick.address, 0, "ready")]);
    let head = Head::start(&discovery, None, &[]);
    (discovery, head)
}

#[test]
fn what_a_client_sends_reaches_the_brick_unchanged_and_its_body_comes_back() {
    let brick = Brick::start(|_, _| Step::Serve(b"the programme".to_vec()));
    let (_discovery, head) = one(&brick);
    let mut client = Client::new(head.http);
    let sent = write(b"a new episode");
    let answer = client.ask(&sent, b"a new episode");
    assert_eq!((answer.status(), &answer.body[..]), (200, &b"the programme"[..]));
    assert_eq!(client.ask(&read(2.0), b"").status(), 200, "on the same connection");
    let mut seen = brick.seen().remove(0);
    for (name, value) in [("x-time-left", "LEFT"), ("host", "BRICK")] {
        assert!(seen.headers.insert(name.into(), value.into()).is_some());
    }
    assert_eq!(Some(&*seen.line), sent.lines().next());
    for (name, value) in
        seen.headers.iter_mut().filter(|(n, _)| *n == "x-correlation-id" || n.starts_with("idem"))
    {
        let passed = sent.lines().any(|line| line.to_lowercase() == format!("{name}: {value}"));
        *value = if passed { "AS SENT".into() } else { value.clone() };
    }
    seen.line =
        seen.line.split(' ').map(|p| if p.len() > 40 { "PATH" } else { p }).collect::<Vec<_>>().join(" ");
    seen.body = vec![];
    insta::assert_debug_snapshot!(seen);
    assert_eq!(brick.seen()[0].body, b"a new episode");
    assert_eq!(head.counter("node_connections"), 1, "the second went over the first's connection");
}

#[test]
fn an_attempt_that_may_have_run_is_repeated_only_where_the_class_allows_it() {
    let brick = Brick::start(|number, _| match number {
        0 => Step::BreakMidway,
        1 => Step::Status(503, true),
        2 => Step::Status(500, false),
        _ => Step::Serve(b"at last".to_vec()),
    });
    let (_discovery, head) = one(&brick);
    let mut client = Client::new(head.http);
    assert_eq!(client.ask(&read(3.0), b"").status(), 503, "three attempts are the most");
    assert_eq!(client.ask(&read(3.0), b"").body, b"at last");
    let ids: Vec<String> = brick.seen().iter().map(|m| m.header("x-correlation-id").into()).collect();
    assert!(ids[0] == ids[1] && ids[1] == ids[2] && ids[2] != ids[3]);
    assert_eq!(["reset", "full", "error", "ok"].map(|name| head.counter(name)), [1; 4]);
}

#[test]
fn a_silent_brick_is_given_up_at_the_deadline_by_closing_the_connection() {
    let brick = Brick::start(|_, _| Step::Silent);
    let (_discovery, head) = one(&brick);
    let asked = Instant::now();
    let answer = Client::new(head.http).ask(&read(0.4), b"");
    assert_eq!(answer.status(), 503, "a read may be repeated");
    assert!(asked.elapsed() >= Duration::from_millis(390));
    brick.wait_closed(1);
}

#[test]
fn a_client_that_leaves_ends_its_attempt() {
    let brick = Brick::start(|_, _| Step::Silent);
    let (_discovery, head) = one(&brick);
    let mut client = Client::new(head.http);
    client.send(&read(3.0), b"");
    brick.wait_for(1);
    drop(client);
    brick.wait_closed(1);
    wait(|| (head.counter("gone") == 1).then_some(()));
    assert_eq!(brick.seen().len(), 1, "nothing is sent twice");
}

#[test]
fn nothing_new_goes_to_a_brick_that_drains() {
    let old = Brick::start(|_, _| Step::Serve(b"old".to_vec()));
    let new = Brick::start(|_, _| Step::Serve(b"new".to_vec()));
    let (discovery, head) = one(&old);
    let mut client = Client::new(head.http);
    assert_eq!(client.ask(&read(2.0), b"").body, b"old");
    discovery.push(&[entry("s-1", old.address, 0, "draining"), entry("s-2", new.address, 0, "ready")]);
    wait(|| (head.counter("list_changes") == 2).then_some(()));
    for _ in 0..5 {
        assert_eq!(client.ask(&read(2.0), b"").body, b"new");
    }
    assert_eq!(old.seen().len(), 1);
}

#[test]
fn bad_input_is_answered_with_400_and_counted() {
    let brick = Brick::start(|_, _| Step::Serve(vec![]));
    let (_discovery, head) = one(&brick);
    let good = read(2.0);
    let bad = [
        good.replace("X-Time-Left: 2", "X-Time-Left: NaN"),
        good.replace("units=1", "units=-1"),
        good.replace("shard=0", "shard=99999999999"),
        good.replace("/play-fetch/", "/nobody/"),
        good.replace("network", "no-plan"),
        good.replace("X-Correlation-Id", "X-Other"),
        good.replace("GET", "DELETE"),
        good.replace(" /play-fetch/", " /play-fetch/0/"),
    ];
    for text in &bad {
        assert_eq!(Client::new(head.http).ask(text, b"").status(), 400, "{text}");
    }
    assert_eq!(head.counter("bad_input"), bad.len() as u64);
    assert_eq!((brick.seen().len(), Client::new(head.http).ask(&good, b"").status()), (0, 200));
}

#[test]
fn after_sigterm_what_was_taken_is_answered_and_new_connections_are_served() {
    let brick =
        Brick::start(|_, _| Step::After(Duration::from_millis(300), Box::new(Step::Serve(b"kept".to_vec()))));
    let (_discovery, mut head) = one(&brick);
    let mut before = Client::new(head.http);
    before.send(&read(3.0), b"");
    brick.wait_for(1);
    head.signal("-TERM");
    wait(|| head.logged("Draining"));
    let after = Client::new(head.http).ask(&read(3.0), b"");
    for answer in [before.answer().expect("an answer"), after] {
        assert_eq!((answer.status(), answer.header("connection")), (200, ""));
    }
    // Guards against closing connections that clients would go on using: they find no other head.
    wait(|| {
        let answer = before.ask(&read(3.0), b"");
        assert_eq!(answer.status(), 200);
        (answer.header("connection") == "close").then_some(())
    });
    assert!(before.answer().is_none());
    assert!(head.ended());
    let counted = head.logged("counters: taken=").expect("counters");
    let count = |name| counted.split(name).nth(1).and_then(|rest| rest.split(' ').next().map(str::to_string));
    assert!(count("taken=") == count("served=") && count("taken=") != Some("2".into()), "{counted}");
}

/// Guards against closing, unread, what was accepted late: its request was taken once it was written.
#[test]
fn a_connection_accepted_after_the_idle_ones_were_closed_is_still_served() {
    use flaxgap::{
        config, core, counters::Counters, daemon, descriptors, front::http::HttpFront, node::Nodes,
    };
    use std::rc::Rc;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    tokio::task::LocalSet::new().block_on(&runtime, async {
        let (settings, notes) = config::read(SETTINGS.as_bytes()).expect("settings");
        let counters = Rc::new(Counters::default());
        let budget = descriptors::Budget::new(100, counters.clone());
        let phases = Rc::new(daemon::Phases::default());
        let front = Rc::new(HttpFront {
            dispatcher: core::Dispatcher::new(settings, 1, core::Clock::start(), counters.clone())
                .expect("served"),
            transport: Nodes::new(budget.clone(), counters.clone(), 0.25, 15.0),
            notes,
            phases: phases.clone(),
            budget: budget.clone(),
            counters,
        });
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address");
        let mut client = Client::new(address);
        let (stream, _) = listener.accept().await.expect("the client");
        phases.enter(daemon::Phase::Draining);
        phases.close_idle();
        front.admit(stream, budget.client_slot().await);
        for _ in 0..50 {
            tokio::task::yield_now().await;
        }
        client.send("GET /-/healthy HTTP/1.1\r\nHost: head\r\n\r\n", b"");
        phases.all_closed().await;
        let answer = client.answer().expect("an answer");
        assert_eq!((answer.status(), answer.header("connection")), (200, "close"));
    });
}

/// Guards against running out of descriptors: the connection idle longest makes room.
#[test]
fn short_of_descriptors_the_longest_idle_connection_is_closed() {
    let brick = Brick::start(|_, _| Step::Serve(vec![]));
    let discovery = Discovery::start(&[entry("s-1", brick.address, 0, "ready")]);
    let head = Head::start_with(&discovery, None, &[], 60, "null");
    let mut clients: Vec<Client> = (0..40).map(|_| Client::new(head.http)).collect();
    for client in &mut clients[30..] {
        assert_eq!(client.ask(&read(3.0), b"").status(), 200);
    }
    assert!(clients[0].answer().is_none(), "closed");
    assert!(head.counter("reclaimed") >= 20);
}

/// Guards against a watch that is cut off and gives no sign.
#[test]
fn a_silent_watch_is_dead_and_renewed_from_the_version_known() {
    let (old, new) = (Brick::start(|_, _| Step::Serve(vec![])), Brick::start(|_, _| Step::Serve(vec![])));
    let discovery = Discovery::start(&[entry("s-1", old.address, 0, "ready")]);
    discovery.mute(true);
    let head = Head::start(&discovery, None, &[]);
    discovery.push(&[entry("s-1", old.address, 0, "gone"), entry("s-2", new.address, 0, "ready")]);
    wait(|| head.logged("watch ended: silent"));
    discovery.mute(false);
    wait(|| (head.counter("list_changes") == 2).then_some(()));
    assert_eq!(Client::new(head.http).ask(&read(2.0), b"").status(), 200);
    assert_eq!((old.seen().len(), new.seen().len()), (0, 1));
}

/// Guards against ending on SIGHUP, against settings that only half apply, and against versions of one source
/// that are asked for at another.
#[test]
fn a_reload_moves_to_the_new_source_once_its_list_is_whole_and_a_bad_file_changes_nothing() {
    let brick = |name: &'static str| Brick::start(move |_, _| Step::Serve(name.into()));
    let (old, new) = (brick("old"), brick("new"));
    let (before, head) = one(&old);
    for _ in 0..3 {
        before.push(&[entry("s-1", old.address, 0, "ready")]);
    }
    wait(|| (head.counter("list_changes") == 4).then_some(()));
    head.reload("{}");
    wait(|| head.logged("the running settings stay"));
    let mut client = Client::new(head.http);
    assert_eq!(client.ask(&read(2.0), b"").body, b"old");
    // A source that does not answer yet: the nodes known go on.
    let after = Discovery::start(&[entry("s-2", new.address, 0, "ready")]);
    let mut down = after.clone();
    down.address =
        std::net::TcpListener::bind("127.0.0.1:0").expect("a port").local_addr().expect("an address");
    head.reload(&config(&down, 1024, "null"));
    wait(|| head.logged("no list at"));
    assert_eq!(client.ask(&read(2.0), b"").body, b"old");
    head.reload(&config(&after, 1024, "null"));
    wait(|| (client.ask(&read(2.0), b"").body == b"new").then_some(()));
    wait(|| (after.asked().len() == 2).then_some(()));
    assert!(after.asked()[0].starts_with("GET /api/targets ") && after.asked()[1].contains("since=1 "));
    assert_eq!(["reloads", "reloads_failed"].map(|name| head.counter(name)), [2, 1]);
    after.push(&[entry("s-2", new.address, 0, "gone"), entry("s-1", old.address, 0, "ready")]);
    wait(|| (client.ask(&read(2.0), b"").body == b"old").then_some(()));
}

/// Guards against a start while discovery is down: the list of the earlier life has to do.
#[test]
fn without_discovery_the_known_list_serves_and_a_write_that_never_ran_is_refused() {
    let brick = Brick::start(|_, _| Step::Serve(vec![]));
    let closed =
        std::net::TcpListener::bind("127.0.0.1:0").expect("a port").local_addr().expect("an address");
    let discovery =
        Discovery::start(&[entry("s-1", brick.address, 0, "ready"), entry("s-2", closed, 1, "ready")]);
    let mut down = discovery.clone();
    down.address = closed;
    let head = Head::start_with(&down, None, &[], 1024, &discovery.whole());
    assert!(head.logged("in service with the list of an earlier life").is_some());
    let mut client = Client::new(head.http);
    assert_eq!(client.ask(&read(2.0), b"").status(), 200);
    let lost = client.ask(&write(b"x").replace("shard=0", "shard=1"), b"x");
    assert_eq!((lost.status(), head.counter("reset"), head.counter("failed")), (503, 0, 0));
    assert!(lost.header("retry-after").parse::<f64>().expect("a wait") > 0.0);
    assert!(head.counter("connect_failed") >= 1);
}

/// Guards against calling a reset what never ran: a break before the last byte proves that it did not.
#[test]
fn a_break_before_the_last_byte_never_ran_and_one_after_it_may_have() {
    use flaxgap::{api::*, core::*, counters::Counters, descriptors, node};
    use std::{io::Read, rc::Rc};
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            // Reads the head of a long request, all of a short one, and is gone.
            let _ = (&stream).read(&mut [0; 4096]);
        }
    });
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    runtime.block_on(async {
        let counters = Rc::new(Counters::default());
        let budget = descriptors::Budget::new(100, counters.clone());
        let nodes = node::Nodes::new(budget, counters, 5.0, 15.0);
        nodes.place(NodeId(1), node::Place { address, state: NodeState::Ready });
        let until = tokio::time::Instant::now() + PATIENCE;
        let mut outcomes = Vec::new();
        for length in [32 << 20, 10, 0] {
            let (verb, payload) = (Verb::Write, vec![0; length].into());
            let (target, id) = ("/episode-save/1/2".into(), "0000000000000001".into());
            let envelope = Envelope { verb, target, id, repeat_key: None, payload };
            outcomes.push(nodes.send(NodeId(1), &envelope, until).await.outcome);
        }
        assert_eq!(outcomes, [Outcome::ConnectFailed, Outcome::Reset, Outcome::Reset]);
        nodes.place(NodeId(1), node::Place { address, state: NodeState::Draining });
        let envelope = Envelope {
            verb: Verb::Read,
            target: "/play-fetch/1/2".into(),
            id: "0000000000000002".into(),
            repeat_key: None,
            payload: Default::default(),
        };
        assert_eq!(nodes.send(NodeId(1), &envelope, until).await.outcome, Outcome::Moot, "not written");
    });
}

/// Guards against writing to a node that began to drain while its connection was still coming up.
#[test]
fn a_drain_during_a_slow_connect_is_seen_before_writing() {
    use flaxgap::{api::*, core::*, counters::Counters, descriptors, node};
    use std::rc::Rc;
    use tokio::net::{TcpSocket, TcpStream};
    use tokio::time::{Instant, sleep, timeout};
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    runtime.block_on(async {
        let socket = TcpSocket::new_v4().expect("a socket");
        socket.bind(([127, 0, 0, 1], 0).into()).expect("a port");
        let listener = socket.listen(1).expect("a listener");
        let address = listener.local_addr().expect("an address");
        // With its queue full the listener answers no further connection until there is room again.
        let mut queued = Vec::new();
        while let Ok(Ok(stream)) = timeout(Duration::from_millis(500), TcpStream::connect(address)).await {
            queued.push(stream);
            assert!(queued.len() < 64, "the queue never fills");
        }
        let counters = Rc::new(Counters::default());
        let nodes = node::Nodes::new(descriptors::Budget::new(100, counters.clone()), counters, 15.0, 15.0);
        nodes.place(NodeId(1), node::Place { address, state: NodeState::Ready });
        let envelope = Envelope {
            verb: Verb::Read,
            target: "/play-fetch/1/2".into(),
            id: "0000000000000001".into(),
            repeat_key: None,
            payload: Default::default(),
        };
        let accepting = async {
            sleep(Duration::from_millis(50)).await;
            nodes.place(NodeId(1), node::Place { address, state: NodeState::Draining });
            loop {
                let (stream, _) = listener.accept().await.expect("a connection");
                queued.push(stream);
            }
        };
        let reply = tokio::select! {
            reply = nodes.send(NodeId(1), &envelope, Instant::now() + PATIENCE) => reply,
            () = accepting => unreachable!("it accepts for ever"),
        };
        assert_eq!(reply.outcome, Outcome::Moot);
    });
}
