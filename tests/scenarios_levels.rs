//! Load shedding by shedding levels in a running head.

mod peers;
use peers::*;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

/// Shedding levels with short windows, so that the tests are fast.
const FAST_LEVELS: &str = "[levels]\nperiod_s = 0.05\nsilent_after_s = 0.3\n\
    [levels.hall]\nwindow_s = 0.3\ndwell_s = 0.3\n\
    [[levels.hall.level]]\nname = \"hall-cut\"\nlets = [{ pass = \"nothing\" }]\n\
    enter = { nodes_lost = 0.75 }\nleave = { nodes_lost = 0.5 }\n";

/// An operators' file that is removed at the end of the test.
struct OperatorsFile {
    path: PathBuf,
}

impl OperatorsFile {
    fn new(name: &str, text: &str) -> OperatorsFile {
        let path = std::env::temp_dir().join(format!("flaxgap-levels-{}-{name}", std::process::id()));
        let file = OperatorsFile { path };
        file.write(text);
        file
    }

    fn write(&self, text: &str) {
        std::fs::write(&self.path, text).expect("written");
    }
}

impl Drop for OperatorsFile {
    fn drop(&mut self) {
        _ = std::fs::remove_file(&self.path);
    }
}

/// A folder that the processes of one head share; it is removed at the end of the test.
struct SharedFolder {
    path: PathBuf,
}

impl SharedFolder {
    fn new(name: &str) -> SharedFolder {
        let path = std::env::temp_dir().join(format!("flaxgap-levels-folder-{}-{name}", std::process::id()));
        std::fs::create_dir_all(&path).expect("a folder");
        SharedFolder { path }
    }
}

impl Drop for SharedFolder {
    fn drop(&mut self) {
        _ = std::fs::remove_dir_all(&self.path);
    }
}

fn start(discovery: &Discovery, file: &OperatorsFile, folder: Option<&SharedFolder>) -> Head {
    let mut environment = vec![("FLAXGAP_OPS", file.path.to_str().expect("a path"))];
    if let Some(folder) = folder {
        environment.push(("TMPDIR", folder.path.to_str().expect("a path")));
    }
    Head::start(discovery, None, &environment)
}

fn read_request() -> String {
    Client::request("play-fetch", "network", 1, 0.9, 0)
}

fn send_read(head: &Head) -> Message {
    Client::new(head.http).ask(&read_request(), b"")
}

/// Returns the shedding level of a scope, as the admin server reports it.
fn level(head: &Head, scope: &str) -> String {
    let (status, text) = call(head.ops, "GET", "/ops/levels");
    assert_eq!(status, 200, "{text}");
    let status: serde_json::Value = serde_json::from_str(&text).expect("JSON");
    let levels = status["levels"].as_array().expect("levels");
    match levels.iter().find(|level| level["scope"] == scope) {
        Some(level) => level["level"].as_str().expect("a name").into(),
        None => "normal".into(),
    }
}

/// Starts a node that answers each request, and an endpoint list with that node.
fn one_node() -> (Brick, Discovery) {
    let node = Brick::start(|_, _| Step::Serve(vec![]));
    let discovery = Discovery::start(&[entry("s-1", node.address, 0, "ready")]);
    (node, discovery)
}

/// Guards against a head that keeps sending work into a zone that does not answer, and against one that never uses the
/// zone again.
#[test]
fn a_silent_zone_gets_trials_only_and_is_used_again_when_it_answers() {
    let is_silent = Arc::new(AtomicBool::new(true));
    let node_is_silent = is_silent.clone();
    let node =
        Brick::start(
            move |_, _| {
                if node_is_silent.load(Ordering::SeqCst) { Step::Silent } else { Step::Serve(vec![]) }
            },
        );
    let discovery = Discovery::start(&[entry("s-1", node.address, 0, "ready")]);
    let file = OperatorsFile::new("silent", FAST_LEVELS);
    let head = start(&discovery, &file, None);

    let mut first = Client::new(head.http);
    first.send(&read_request(), b"");
    wait(|| (level(&head, "a") == "hall-cut").then_some(()));
    let line = wait(|| head.logged("a: normal -> hall-cut: nodes_lost at 1.000"));
    assert!(line.contains("WARN"), "one log line per transition: {line}");

    // One request is the trial; the others are rejected at once, with a retry-after time.
    let mut trial = Client::new(head.http);
    trial.send(&read_request(), b"");
    let sent_at = Instant::now();
    let rejected = wait(|| Some(send_read(&head)).filter(|answer| answer.status() == 503));
    assert!(sent_at.elapsed() < Duration::from_secs(8));
    assert!(rejected.header("retry-after").parse::<f64>().expect("a time") > 0.0);
    wait(|| (head.counter("withheld") > 0 && head.counter("halls_reduced") == 1).then_some(()));

    is_silent.store(false, Ordering::SeqCst);
    wait(|| {
        send_read(&head);
        (level(&head, "a") == "normal").then_some(())
    });
    assert_eq!(send_read(&head).status(), 200);
}

/// Guards against overrides without a name, a reason or an end, and against overrides of unknown scopes or levels.
#[test]
fn requests_with_mistakes_set_no_level() {
    let (_node, discovery) = one_node();
    let file = OperatorsFile::new("mistakes", FAST_LEVELS);
    let head = start(&discovery, &file, None);
    let errors = [
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
    insta::assert_debug_snapshot!(errors);
    assert_eq!(level(&head, "head"), "normal");
}

/// Guards against losing an override in a crash or an upgrade.
#[test]
fn an_override_survives_a_crash_and_an_upgrade_until_it_is_released() {
    let (_node, discovery) = one_node();
    let file = OperatorsFile::new("override", FAST_LEVELS);
    let folder = SharedFolder::new("override");
    let head = start(&discovery, &file, Some(&folder));
    assert_eq!(level(&head, "head"), "normal");

    let set = "/ops/levels/pin?scope=head&level=saves-limited&seconds=600&who=ann&why=storm+warning";
    let expected = "head: normal -> saves-limited: pinned by ann: storm warning\n";
    assert_eq!(call(head.ops, "PUT", set), (200, expected.into()));

    drop(head);
    let restarted = start(&discovery, &file, Some(&folder));
    assert_eq!(level(&restarted, "head"), "saves-limited", "after a crash");
    let newer = start(&discovery, &file, Some(&folder));
    assert_eq!(level(&newer, "head"), "saves-limited", "after an upgrade");

    let release = "/ops/levels/release?scope=head&who=bob&why=it+passed";
    assert_eq!(call(newer.ops, "PUT", release).0, 200);
    wait(|| restarted.logged("released by bob: it passed"));
}

/// Guards against a reload that accepts contradictory settings, and against one that does not switch load shedding off and
/// on.
#[test]
fn a_reload_rejects_contradictions_and_switches_levels_off_and_on() {
    let (_node, discovery) = one_node();
    let file = OperatorsFile::new("reload", FAST_LEVELS);
    let folder = SharedFolder::new("reload");
    let older = start(&discovery, &file, Some(&folder));
    let head = start(&discovery, &file, Some(&folder));
    drop(older);

    file.write(&FAST_LEVELS.replace("nodes_lost = 0.5", "nodes_lost = 0.9"));
    head.signal("-HUP");
    let line = wait(|| head.logged("the running settings stay"));
    assert!(
        line.contains("line 11: levels.hall.level[0].leave.nodes_lost: 0.9 is at or past the entry at 0.75"),
        "{line}"
    );

    file.write("");
    head.signal("-HUP");
    wait(|| head.logged("levels: off"));
    assert_eq!(call(head.ops, "GET", "/ops/levels").0, 404);

    file.write(FAST_LEVELS);
    head.signal("-HUP");
    wait(|| (call(head.ops, "GET", "/ops/levels").0 == 200).then_some(()));
    assert_eq!(send_read(&head).status(), 200);
}
