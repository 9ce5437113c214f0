//! A request id runs once, whichever process of a head gets it and whatever became of its client.

mod peers;

use peers::*;
use std::path::PathBuf;
use std::thread::sleep;
use std::time::Duration;

/// How long the node takes for a slow request: most of its time.
const SLOW: Duration = Duration::from_millis(1500);
/// Time for a request to reach the node.
const ARRIVAL: Duration = Duration::from_millis(150);

/// A node and a head that may be upgraded.
struct Fixture {
    node: Brick,
    discovery: Discovery,
    folder: PathBuf,
}

impl Fixture {
    fn new(name: &str) -> Fixture {
        let node = Brick::start(|_, message| match message.line.contains("?slow") {
            true => Step::After(SLOW, Box::new(Step::Serve(b"slow".to_vec()))),
            false => Step::Serve(b"short".to_vec()),
        });
        let discovery = Discovery::start(&[entry("s-0", node.address, 0, "ready")]);
        let folder = std::env::temp_dir().join(format!("flaxgap-ids-{}-{name}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("a folder");
        Fixture { node, discovery, folder }
    }

    /// Starts a process of the head; a second one takes over from the first.
    fn start(&self) -> Head {
        Head::start(&self.discovery, None, &[("TMPDIR", self.folder.to_str().expect("a path"))])
    }

    fn runs(&self, request: &str) -> usize {
        let id = id_of(request);
        self.node.seen().iter().filter(|message| message.header("x-correlation-id") == id).count()
    }
}

impl Drop for Fixture {
    fn drop(&mut self) {
        _ = std::fs::remove_dir_all(&self.folder);
    }
}

fn slow_request() -> String {
    Client::request("play-fetch", "network", 1, 2.0, 0).replace(" HTTP/1.1", "?slow HTTP/1.1")
}

fn id_of(request: &str) -> &str {
    request.lines().find_map(|line| line.strip_prefix("X-Correlation-Id: ")).expect("an id")
}

/// Connects to a process on a connection that it keeps.
fn keep_connection(head: &Head) -> Client {
    let mut client = Client::new(head.http);
    let answer = client.ask(&Client::request("play-fetch", "network", 1, 2.0, 0), b"");
    assert_eq!(answer.status(), 200);
    client
}

#[test]
fn an_id_in_flight_at_one_process_of_an_upgrade_is_rejected_by_the_other() {
    for begins_at_older in [true, false] {
        let fixture = Fixture::new(&format!("both-{begins_at_older}"));
        let older = fixture.start();
        let mut at_older = keep_connection(&older);
        let newer = fixture.start();
        let mut at_newer = Client::new(newer.http);
        let (first, second) =
            if begins_at_older { (&mut at_older, &mut at_newer) } else { (&mut at_newer, &mut at_older) };
        let request = slow_request();
        first.send(&request, b"");
        sleep(ARRIVAL);
        assert_eq!(second.ask(&request, b"").status(), 409, "begins at the older: {begins_at_older}");
        assert_eq!(first.answer().expect("an answer").status(), 200);
        assert_eq!(fixture.runs(&request), 1, "begins at the older: {begins_at_older}");
    }
}

/// The older process has the id in flight before the newer one exists, and is killed once that one serves.
#[test]
fn an_id_of_a_process_that_dies_in_an_upgrade_is_rejected_by_the_newer_one() {
    let fixture = Fixture::new("dies");
    let mut older = fixture.start();
    let mut at_older = Client::new(older.http);
    let request = slow_request();
    at_older.send(&request, b"");
    sleep(ARRIVAL);
    let newer = fixture.start();
    older.signal("-KILL");
    older.wait_end();
    assert_eq!(Client::new(newer.http).ask(&request, b"").status(), 409);
    assert_eq!(fixture.runs(&request), 1);
}

/// An attempt of a client that has left may still run at its node.
#[test]
fn an_id_whose_client_left_is_rejected_also_behind_a_flood_of_other_ids() {
    const FLOOD: usize = 500;
    let fixture = Fixture::new("left");
    let head = fixture.start();
    let request = slow_request();
    let mut client = Client::new(head.http);
    client.send(&request, b"");
    sleep(ARRIVAL);
    drop(client);
    let mut flooding = Client::new(head.http);
    for _ in 0..FLOOD {
        flooding.ask(&Client::request("play-fetch", "network", 1, 2.0, 0), b"");
    }
    assert_eq!(Client::new(head.http).ask(&request, b"").status(), 409);
    assert_eq!(fixture.runs(&request), 1);
}
