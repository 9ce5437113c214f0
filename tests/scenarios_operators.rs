//! What operators meet day by day: the door, its figures, bans and upgrades.

mod peers;
use peers::*;
use std::time::{Duration, Instant};

fn read() -> String {
    Client::request("play-fetch", "network", 1, 0.5, 0)
}

fn figure(head: &Head, name: &str) -> u64 {
    let (status, text) = call(head.ops, "GET", "/ops/stats");
    let line = text.lines().find_map(|line| line.strip_prefix(name)).expect("a figure");
    assert_eq!(status, 200);
    line.trim().parse().expect("a number")
}

/// Guards against a door that load or silent callers close, and against figures that a dropped request or one
/// turned down before the core leaves untrue.
#[test]
fn the_door_answers_beside_silent_callers_and_its_figures_are_true() {
    let brick = Brick::start(|_, m| if m.line.contains("hush") { Step::Silent } else { Step::Serve(vec![]) });
    let discovery = Discovery::start(&[entry("s-1", brick.address, 0, "ready")]);
    let head = Head::start(&discovery, None, &[]);
    let silent: Vec<Client> = (0..40).map(|_| Client::new(head.ops)).collect();
    let asked = Instant::now();
    assert_eq!(call(head.ops, "GET", "/ops/readiness"), (200, "Ready\n".into()));
    assert!(asked.elapsed() < Duration::from_secs(4), "sooner than they are given up");
    for (method, path, status) in
        [("GET", "/ops/none", 404), ("PUT", "/ops/stats", 405), ("PUT", "/ops/bricks/down", 400)]
    {
        assert_eq!(call(head.ops, method, path).0, status, "{path}");
    }
    drop(silent);
    let mut client = Client::new(head.http);
    let open = read();
    assert_eq!(client.ask(&open, b"").status(), 200);
    assert_eq!(client.ask(&open, b"").status(), 409, "the id was another's");
    client.send(&read().replacen(" HTTP", "?hush HTTP", 1), b"");
    wait(|| (figure(&head, "app_attempts") == 2).then_some(()));
    assert_eq!(figure(&head, "app_in_flight"), 1);
    drop(client);
    wait(|| (figure(&head, "app_in_flight") == 0).then_some(()));
    let shown = call(head.ops, "GET", "/ops/stats").1;
    assert!(figure(&head, "app_discovery_silent_seconds") <= 1, "it speaks");
    // Ages in seconds are not the same each time.
    let varies = ["_connections", "app_list_age_seconds ", "app_discovery_silent_seconds "];
    let shown: Vec<&str> = shown.lines().filter(|l| !varies.iter().any(|part| l.contains(part))).collect();
    // So is the traffic of control, but there is some.
    let traffic = |line: &str| {
        let (name, figure) = line.split_once(' ')?;
        let counted =
            name.starts_with("app_discovery_") && figure.parse().is_ok_and(|figure: u64| figure > 0);
        counted.then(|| format!("{name} [above 0]"))
    };
    let shown: Vec<String> = shown.iter().map(|line| traffic(line).unwrap_or(line.to_string())).collect();
    insta::assert_snapshot!(shown.join("\n"));
}

/// Guards against a list, a reload or an end that lifts a ban, against bans on what was never there, and
/// against a file that is damaged.
#[test]
fn a_ban_holds_whatever_the_list_says_until_the_call_back() {
    let brick = |name: &'static str| Brick::start(move |_, _| Step::Serve(name.into()));
    let (one, two) = (brick("one"), brick("two"));
    let discovery =
        Discovery::start(&[entry("s-1", one.address, 0, "ready"), entry("s-2", two.address, 1, "ready")]);
    let head = Head::start(&discovery, None, &[]);
    assert_eq!(call(head.ops, "PUT", "/ops/bricks/down?host=s-9").0, 404);
    for _ in 0..2 {
        assert_eq!(call(head.ops, "PUT", "/ops/bricks/down?host=s%2d1").0, 200, "calls may be repeated");
    }
    discovery.push(&[entry("s-1", one.address, 0, "ready")]);
    head.reload(&config(&discovery, 1024, "null"));
    wait(|| (figure(&head, "app_list_changes") >= 2 && figure(&head, "app_reloads_ok") == 1).then_some(()));
    let mut client = Client::new(head.http);
    assert_eq!((client.ask(&read(), b"").status(), one.seen().len()), (503, 0));
    assert_eq!(client.ask(&read().replace("shard=0", "shard=1"), b"").body, b"two");
    assert_eq!([figure(&head, "app_bricks_known"), figure(&head, "app_bricks_excluded")], [2, 1]);
    let next = Head::start(&discovery, None, &[("TMPDIR", head.folder.to_str().expect("a path"))]);
    wait(|| (figure(&next, "app_bricks_known") == 2).then_some(()));
    assert_eq!(figure(&next, "app_bricks_excluded"), 1, "the next process finds it");
    std::fs::write(head.folder.join("flaxgap-n0.bans"), "{").expect("written");
    assert_eq!(call(head.ops, "PUT", "/ops/bricks/up?host=s-1").0, 200);
    wait(|| (client.ask(&read(), b"").body == b"one").then_some(()));
    assert_eq!(figure(&head, "app_bricks_excluded"), 0);
}

/// Guards against an upgrade that loses a request, closes unread what waits to be accepted, forgets a ban or has
/// two processes spend one head's share.
#[test]
fn a_newer_process_takes_over_and_the_older_one_ends_what_it_took() {
    let brick = Brick::start(|_, m| match m.line.contains("slow") {
        true => Step::After(Duration::from_millis(700), Box::new(Step::Serve(b"kept".to_vec()))),
        false => Step::Serve(vec![]),
    });
    let discovery =
        Discovery::start(&[entry("s-1", brick.address, 0, "ready"), entry("s-2", brick.address, 1, "ready")]);
    // Longer than a socket's address can hold.
    let folder = std::env::temp_dir().join(format!("flaxgap-{}-{}", std::process::id(), "x".repeat(100)));
    std::fs::create_dir_all(&folder).expect("a folder");
    let shared = [("TMPDIR", folder.to_str().expect("a path"))];
    let mut old = Head::start(&discovery, None, &shared);
    let mut open = Client::new(old.http);
    open.send(&Client::request("play-fetch", "network", 1, 2.0, 0).replacen(" HTTP", "?slow HTTP", 1), b"");
    brick.wait_for(1);
    let new = Head::start(&discovery, None, &shared);
    assert_eq!(new.http, old.http, "one socket");
    assert!(
        old.logged("0.5 of the head's share").is_some() && new.logged("0.5 of the head's share").is_some()
    );
    assert_eq!(call(old.ops, "PUT", "/ops/bricks/down?host=s-2").0, 200);
    wait(|| (figure(&new, "app_bricks_excluded") == 1).then_some(()));
    let taken = figure(&new, "app_taken");
    old.signal("-TERM");
    for _ in 0..50 {
        assert_eq!(Client::new(old.http).ask(&read(), b"").status(), 200);
    }
    assert_eq!(figure(&new, "app_taken"), taken + 50, "all go to the newer one");
    let kept = open.answer().expect("an answer");
    assert_eq!((&kept.body[..], kept.header("connection")), (&b"kept"[..], "close"));
    assert!(old.ended());
    wait(|| new.logged("this process has 1 of the head's share"));
    std::fs::remove_dir_all(folder).expect("removed");
}

/// Guards against waiting for an older process that is mute, and against giving up on a newer one's early end.
#[test]
fn a_mute_older_process_and_a_newer_one_that_dies_leave_a_head_that_serves() {
    let brick = Brick::start(|_, _| Step::Serve(vec![]));
    let discovery = Discovery::start(&[entry("s-1", brick.address, 0, "ready")]);
    let folder = std::env::temp_dir().join(format!("flaxgap-mute-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder");
    let mute = std::os::unix::net::UnixListener::bind(folder.join("flaxgap-n0.sock")).expect("a socket");
    let head = Head::start(&discovery, None, &[("TMPDIR", folder.to_str().expect("a path"))]);
    assert!(head.logged("the older process is mute").is_some());
    drop(mute);
    wait(|| head.logged("this process has 1 of the head's share"));
    let next = Head::start(&discovery, None, &[("TMPDIR", folder.to_str().expect("a path"))]);
    wait(|| head.logged("0.5 of the head's share"));
    let waiting = Client::new(head.http);
    drop(next);
    wait(|| head.logged("the newer process has ended"));
    drop(waiting);
    assert_eq!(Client::new(head.http).ask(&read(), b"").status(), 200, "the older one accepts again");
    std::fs::remove_dir_all(folder).expect("removed");
}
