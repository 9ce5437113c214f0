//! Nothing new to a node that leaves: the ways by which news of it could come too late, each brought about with the
//! program as it runs.

mod peers;
use peers::*;
use std::time::{Duration, Instant};

fn read() -> String {
    Client::request("play-fetch", "network", 1, 2.0, 0)
}

fn brick(name: &'static str) -> Brick {
    Brick::start(move |_, _| Step::Serve(name.into()))
}

fn after(millis: u64, lines: Vec<String>) -> Vec<Say> {
    let pause = Say::Pause(Duration::from_millis(millis));
    std::iter::once(pause).chain(lines.into_iter().map(Say::Line)).collect()
}

/// Given a list of an earlier life and an agent that is slow, when the head goes into service, then nothing goes to a
/// node that the agent holds as leaving.
#[test]
fn a_head_that_starts_waits_for_an_agent_that_is_slow() {
    for millis in [0, 300, 800] {
        let (old, new) = (brick("old"), brick("new"));
        let held = [entry("s-1", old.address, 0, "draining"), entry("s-2", new.address, 0, "ready")];
        let agent = Agent::start(move |_, _| after(millis, vec![list(2, false, &held)]));
        let known = list(1, true, &[entry("s-1", old.address, 0, "ready")]);
        let head = Head::start_text(&config_at(agent.address, 1024, &known), None, &[]);
        let mut client = Client::new(head.http);
        for _ in 0..3 {
            assert_eq!(client.ask(&read(), b"").body, b"new", "an agent that takes {millis} ms");
        }
        assert_eq!((old.seen().len(), head.logged("earlier life")), (0, None));
    }
}

/// Given an agent that answers no call, or a call but no list, when the head has waited for two calls, then it serves.
#[test]
fn a_head_whose_agent_stays_silent_serves_in_the_end() {
    for says in [|| vec![Say::Hold], || vec![Say::Raw(vec![]), Say::Hold]] {
        let known = brick("known");
        let agent = Agent::start(move |_, _| says());
        let list = list(1, true, &[entry("s-1", known.address, 0, "ready")]);
        let started = Instant::now();
        let head = Head::start_text(&config_at(agent.address, 1024, &list), None, &[]);
        assert!(started.elapsed() >= Duration::from_secs(2), "it waits for its agent");
        wait(|| head.logged("in service with the list of an earlier life"));
        assert_eq!(Client::new(head.http).ask(&read(), b"").body, b"known");
    }
}

/// Given a head that was told to end, when a node drains while it answers what it has, then it sends it nothing more.
#[test]
fn a_head_that_ends_keeps_to_the_list_to_its_last_send() {
    let (old, new) = (brick("old"), brick("new"));
    let discovery = Discovery::start(&[entry("s-1", old.address, 0, "ready")]);
    let mut head = Head::start(&discovery, None, &[]);
    let mut client = Client::new(head.http);
    assert_eq!(client.ask(&read(), b"").body, b"old");
    head.signal("-TERM");
    wait(|| head.logged("daemon: Draining"));
    discovery.push(&[entry("s-1", old.address, 0, "draining"), entry("s-2", new.address, 0, "ready")]);
    wait(|| head.logged("version 2, 2 entries"));
    assert_eq!(client.ask(&read(), b"").body, b"new");
    assert_eq!(old.seen().len(), 1);
    drop(client);
    assert!(head.ended());
}
