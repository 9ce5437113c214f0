//! Levels of reduced service in a running head.

mod peers;
use peers::*;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

/// A small ladder that moves fast, so that a story does not take long.
const FAST: &str = "[levels]\nperiod_s = 0.05\nsilent_after_s = 0.3\n\
    [levels.hall]\nwindow_s = 0.3\ndwell_s = 0.3\n\
    [[levels.hall.level]]\nname = \"hall-cut\"\nlets = [{ pass = \"nothing\" }]\n\
    enter = { nodes_lost = 0.75 }\nleave = { nodes_lost = 0.5 }\n";

fn ops(name: &str, text: &str) -> PathBuf {
    let path = std::env::temp_dir().join(format!("flaxgap-levels-{}-{name}", std::process::id()));
    std::fs::write(&path, text).expect("written");
    path
}

fn start(discovery: &Discovery, file: &Path, folder: Option<&Path>) -> Head {
    let mut extra = vec![("FLAXGAP_OPS", file.to_str().expect("a path"))];
    extra.extend(folder.map(|folder| ("TMPDIR", folder.to_str().expect("a path"))));
    Head::start(discovery, None, &extra)
}

fn read() -> String {
    Client::request("play-fetch", "network", 1, 0.9, 0)
}

/// The level of a scope, as the door shows it.
fn level(head: &Head, scope: &str) -> String {
    let (status, text) = call(head.ops, "GET", "/ops/levels");
    assert_eq!(status, 200, "{text}");
    let shown: serde_json::Value = serde_json::from_str(&text).expect("JSON");
    let standing = shown["levels"].as_array().expect("levels").iter().find(|s| s["scope"] == scope);
    standing.map_or("normal".into(), |s| s["level"].as_str().expect("a name").into())
}

/// Guards against a head that sends on into a hall that does not answer, and against one that never finds back.
#[test]
fn a_silent_hall_is_left_alone_by_name_and_found_again() {
    let mute = Arc::new(AtomicBool::new(true));
    let is_mute = mute.clone();
    let brick = Brick::start(
        move |_, _| if is_mute.load(Ordering::SeqCst) { Step::Silent } else { Step::Serve(vec![]) },
    );
    let discovery = Discovery::start(&[entry("s-1", brick.address, 0, "ready")]);
    let file = ops("silent", FAST);
    let head = start(&discovery, &file, None);
    let mut first = Client::new(head.http);
    first.send(&read(), b"");
    wait(|| (level(&head, "a") == "hall-cut").then_some(()));
    let line = wait(|| head.logged("a: normal -> hall-cut: nodes_lost at 1.000"));
    assert!(line.contains("WARN"), "one line a change: {line}");
    // One request tries the way; the others are refused at once, and hear when to come again.
    let mut trying = Client::new(head.http);
    trying.send(&read(), b"");
    let asked = Instant::now();
    let refused =
        wait(|| Some(Client::new(head.http).ask(&read(), b"")).filter(|answer| answer.status() == 503));
    assert!(asked.elapsed() < Duration::from_secs(8));
    assert!(refused.header("retry-after").parse::<f64>().expect("a wait") > 0.0);
    wait(|| (head.counter("withheld") > 0 && head.counter("halls_reduced") == 1).then_some(()));
    mute.store(false, Ordering::SeqCst);
    wait(|| {
        Client::new(head.http).ask(&read(), b"");
        (level(&head, "a") == "normal").then_some(())
    });
    assert_eq!(Client::new(head.http).ask(&read(), b"").status(), 200);
    std::fs::remove_file(file).expect("removed");
}

/// Guards against pins without a name or a reason, without an end, or that a crash or an upgrade loses.
#[test]
fn operators_pin_a_level_and_it_outlives_a_crash_an_upgrade_and_bad_settings() {
    let brick = Brick::start(|_, _| Step::Serve(vec![]));
    let discovery = Discovery::start(&[entry("s-1", brick.address, 0, "ready")]);
    let file = ops("pin", FAST);
    let folder = std::env::temp_dir().join(format!("flaxgap-levels-folder-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder");
    let head = start(&discovery, &file, Some(&folder));
    assert_eq!(level(&head, "head"), "normal");
    let told = [
        "scope=head&level=trim&seconds=600&who=ann",
        "scope=head&level=panic&seconds=600&who=ann&why=storm",
        "scope=attic&level=trim&seconds=600&who=ann&why=storm",
        "scope=head&level=trim&seconds=0&who=ann&why=storm",
        "scope=head&level=trim&seconds=soon&who=ann&why=storm",
        "scope=head&level=trim&seconds=600&who=ann&who=bob&why=storm",
        "scope=head&level=trim&seconds=600&whom=ann&why=storm",
    ]
    .map(|query| {
        let (status, text) = call(head.ops, "PUT", &format!("/ops/levels/pin?{query}"));
        assert_eq!(status, 400);
        text.trim().to_string()
    });
    insta::assert_debug_snapshot!(told);
    let pin = "/ops/levels/pin?scope=head&level=saves-limited&seconds=600&who=ann&why=storm+warning";
    assert_eq!(
        call(head.ops, "PUT", pin),
        (200, "head: normal -> saves-limited: pinned by ann: storm warning\n".into())
    );
    drop(head);
    let killed = start(&discovery, &file, Some(&folder));
    assert_eq!(level(&killed, "head"), "saves-limited", "killed while pinned");
    let newer = start(&discovery, &file, Some(&folder));
    assert_eq!(level(&newer, "head"), "saves-limited", "taken over");
    let release = "/ops/levels/release?scope=head&who=bob&why=it+passed";
    assert_eq!(call(newer.ops, "PUT", release).0, 200);
    wait(|| killed.logged("released by bob: it passed"));
    drop(killed);
    // Settings that contradict themselves change nothing.
    std::fs::write(&file, FAST.replace("nodes_lost = 0.5", "nodes_lost = 0.9")).expect("written");
    newer.signal("-HUP");
    let line = wait(|| newer.logged("the running settings stay"));
    assert!(
        line.contains("line 11: levels.hall.level[0].leave.nodes_lost: 0.9 is at or past the entry at 0.75"),
        "{line}"
    );
    std::fs::write(&file, "").expect("written");
    newer.signal("-HUP");
    wait(|| newer.logged("levels: off"));
    assert_eq!(call(newer.ops, "GET", "/ops/levels").0, 404);
    std::fs::write(&file, FAST).expect("written");
    newer.signal("-HUP");
    wait(|| (call(newer.ops, "GET", "/ops/levels").0 == 200).then_some(()));
    let mut client = Client::new(newer.http);
    assert_eq!(client.ask(&read(), b"").status(), 200);
    std::fs::remove_file(file).expect("removed");
    std::fs::remove_dir_all(folder).expect("removed");
}
