//! Two real processes of one head at a handover, of which one is killed (SIGKILL) at each message, before that reaches the
//! other or right after. A relay between them, which passes the sockets on, counts messages; so the message decides, not time.
//!
//! What was in flight at the killed one may be lost; nothing else: the other serves within the time that a start may take, answers
//! what it had, has the excluded node and the overridden level, leaves no file of a handover behind, and hands over itself, also to a third process after the killed one had served.

mod peers;

use peers::*;
use rustix::net::{
    RecvAncillaryBuffer, RecvAncillaryMessage, RecvFlags, SendAncillaryBuffer, SendAncillaryMessage,
    SendFlags, recvmsg, sendmsg,
};
use std::io::{IoSlice, IoSliceMut};
use std::mem::MaybeUninit;
use std::net::Shutdown;
use std::os::fd::{AsFd, BorrowedFd, OwnedFd};
use std::os::unix::fs::MetadataExt;
use std::os::unix::net::{UnixListener, UnixStream};
use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::mpsc;
use std::thread;
use std::time::{Duration, Instant};

/// A restarted head has to be ready within this.
const READY_WITHIN: Duration = Duration::from_secs(10);
/// Most sockets that a head passes.
const MAX_SOCKETS: usize = 3;
/// Levels are on, so that one can be overridden.
const LEVELS: &str = "[levels]\n";
const EXCLUDE: &str = "/ops/bricks/down?host=s-2";
const OVERRIDE: &str = "/ops/levels/pin?scope=head&level=saves-limited&seconds=600&who=ann&why=storm";

/// Which process is killed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Killed {
    Older,
    Newer,
}

/// Whether the message at which it is killed has been passed on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Moment {
    BeforePassed,
    AfterPassed,
}

/// One kill: at the connection itself (no message), or at the first message with this text.
#[derive(Clone, Copy, Debug)]
struct Kill {
    who: Killed,
    message: Option<&'static str>,
    moment: Moment,
}

/// The socket of a head, through which a newer one finds it.
fn socket_path(folder: &Path) -> PathBuf {
    folder.join("flaxgap-n0.sock")
}

/// Passes what one side says on to the other, with the sockets in it; ends both once one has ended. `at` is called
/// with each message, before and after it is passed on.
fn pass_on(from: &UnixStream, to: &UnixStream, at: &dyn Fn(&str, Moment)) {
    loop {
        let mut text = [0; 64];
        let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(MAX_SOCKETS))];
        let mut ancillary = RecvAncillaryBuffer::new(&mut space);
        let mut parts = [IoSliceMut::new(&mut text)];
        let Ok(received) = recvmsg(from, &mut parts, &mut ancillary, RecvFlags::CMSG_CLOEXEC) else { break };
        if received.bytes == 0 {
            break;
        }
        let mut sockets: Vec<OwnedFd> = Vec::new();
        for part in ancillary.drain() {
            if let RecvAncillaryMessage::ScmRights(rights) = part {
                sockets.extend(rights);
            }
        }
        let message = String::from_utf8_lossy(&text[..received.bytes]).into_owned();
        at(&message, Moment::BeforePassed);
        let borrowed: Vec<BorrowedFd> = sockets.iter().map(AsFd::as_fd).collect();
        let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(MAX_SOCKETS))];
        let mut ancillary = SendAncillaryBuffer::new(&mut space);
        if !borrowed.is_empty() {
            ancillary.push(SendAncillaryMessage::ScmRights(&borrowed));
        }
        let parts = [IoSlice::new(message.as_bytes())];
        if sendmsg(to, &parts, &mut ancillary, SendFlags::NOSIGNAL).is_err() {
            break;
        }
        at(&message, Moment::AfterPassed);
    }
    _ = from.shutdown(Shutdown::Both);
    _ = to.shutdown(Shutdown::Both);
}

/// Ends a process of this test at once; it is not waited for here, so that its id stays its own.
fn kill(pid: u32) {
    _ = Command::new("kill").args(["-KILL", &pid.to_string()]).status();
}

/// Plays the relay's part for one handover, and kills at the message. `done` hears of the kill.
fn relay(
    listener: &UnixListener,
    older: &Path,
    kill_at: Kill,
    pids: impl Fn(Killed) -> u32 + Sync,
    done: &mpsc::Sender<()>,
) {
    let Ok((newer_side, _)) = listener.accept() else { return };
    let older_side = UnixStream::connect(older).expect("the older process listens");
    if kill_at.message.is_none() {
        kill(pids(kill_at.who));
        _ = done.send(());
    }
    thread::scope(|scope| {
        for (from, to) in [(&older_side, &newer_side), (&newer_side, &older_side)] {
            let (pids, done) = (&pids, done.clone());
            scope.spawn(move || {
                pass_on(from, to, &|message, moment| {
                    let is_message = kill_at.message.is_some_and(|text| message.contains(text));
                    if is_message && moment == kill_at.moment {
                        kill(pids(kill_at.who));
                        _ = done.send(());
                    }
                });
            });
        }
    });
}

fn read() -> String {
    Client::request("play-fetch", "network", 1, 2.0, 0)
}

/// Waits until a client that connects anew is served.
fn wait_served(http: std::net::SocketAddr, what: &str) {
    let by = Instant::now() + READY_WITHIN;
    loop {
        let served = Client::try_new(http).is_some_and(|mut client| {
            client.try_send(&read());
            client.answer().is_some_and(|answer| answer.status() == 200)
        });
        if served {
            return;
        }
        assert!(Instant::now() < by, "{what}: nobody serves within {READY_WITHIN:?}");
        thread::sleep(Duration::from_millis(10));
    }
}

fn gauge(head: &Head, name: &str) -> u64 {
    let (_, text) = call(head.ops, "GET", "/ops/stats");
    let line = text.lines().find_map(|line| line.strip_prefix(&format!("app_{name} ")));
    line.unwrap_or_else(|| panic!("{name} in {text}")).parse().expect("a number")
}

fn play(kill_at: Kill) {
    let what = format!("{kill_at:?}");
    let slow = Duration::from_millis(900);
    let node = Brick::start(move |_, message| match message.line.contains("?slow") {
        true => Step::After(slow, Box::new(Step::Serve(b"slow".to_vec()))),
        false => Step::Serve(b"served".to_vec()),
    });
    let discovery =
        Discovery::start(&[entry("s-1", node.address, 0, "ready"), entry("s-2", node.address, 1, "ready")]);
    let folder = std::env::temp_dir().join(format!("flaxgap-kills-{}-{:p}", std::process::id(), &node));
    std::fs::create_dir_all(&folder).expect("a folder");
    std::fs::write(folder.join("ops.toml"), LEVELS).expect("written");
    let operators_file = folder.join("ops.toml");
    let shared = [
        ("TMPDIR", folder.to_str().expect("a path")),
        ("FLAXGAP_OPS", operators_file.to_str().expect("a path")),
    ];
    let older = Head::start(&discovery, None, &shared);
    assert_eq!(call(older.ops, "PUT", EXCLUDE).0, 200);
    let overridden = call(older.ops, "PUT", OVERRIDE);
    assert_eq!(overridden.0, 200, "{}", overridden.1);

    // The relay takes the older process's place in the folder.
    let (path, aside) = (socket_path(&folder), folder.join("older.sock"));
    wait(|| path.exists().then_some(()));
    std::fs::rename(&path, &aside).expect("renamed");
    let listener = UnixListener::bind(&path).expect("a socket");
    let inode_at_path = || std::fs::metadata(&path).map(|metadata| metadata.ino()).ok();
    let relay_inode = inode_at_path();

    let mut in_flight = Client::new(older.http);
    in_flight.send(&read().replacen(" HTTP", "?slow HTTP", 1), b"");
    node.wait_for(1);

    // The newer one listens where the older one does, if it is passed no socket.
    let text = config(&discovery, 1024, "null")
        .replace("\"listen\":\"127.0.0.1:0\"", &format!("\"listen\":\"{}\"", older.http));
    let mut newer = Head::spawn_only(&text, &shared);
    let (done, killed) = mpsc::channel();
    let pids = |who| if who == Killed::Older { older.pid() } else { newer.pid() };
    thread::scope(|scope| {
        scope.spawn(|| relay(&listener, &aside, kill_at, pids, &done));
        // Operators' calls bring the messages that do not come by themselves, once the newer one is in service.
        if kill_at.message.is_some_and(|text| text == "bans" || text == "pins") {
            wait(|| older.logged("the newer process is in service"));
            let path = if kill_at.message == Some("bans") { EXCLUDE } else { OVERRIDE };
            _ = Client::try_new(older.ops).map(|mut client| {
                client.try_send(&format!("PUT {path} HTTP/1.1\r\nHost: head\r\n\r\n"));
                client.answer()
            });
        }
        killed.recv_timeout(WAIT_TIMEOUT).unwrap_or_else(|_| panic!("{what}: the message never came"));

        wait_served(older.http, &what);
        if kill_at.who == Killed::Newer {
            let answer =
                in_flight.answer().unwrap_or_else(|| panic!("{what}: it was in flight at the older one"));
            assert_eq!(answer.body, b"slow", "{what}");
        }
        // Ends the relay.
        kill(pids(kill_at.who));
    });
    let survivor = match kill_at.who {
        Killed::Newer => &older,
        Killed::Older => {
            newer.find_addresses(false);
            &newer
        }
    };
    wait(|| (gauge(survivor, "bricks_excluded") == 1).then_some(()));
    wait(|| (gauge(survivor, "levels_pinned") == 1).then_some(()));
    wait(|| {
        let log = survivor.log();
        let last = log.iter().rfind(|line| line.contains("of the head's share"));
        last.is_none_or(|line| line.contains("has 1 of")).then_some(())
    });
    // Where the newer one never served, its socket has not taken the relay's name, which is put back to whose it was. Its log
    // does not tell: a kill takes the last lines with it.
    let newer_never_served = inode_at_path() == relay_inode;
    // Only now, so that its inode is given to no other socket before.
    drop(listener);
    if kill_at.who == Killed::Newer && newer_never_served {
        std::fs::rename(&aside, &path).expect("renamed");
    } else {
        _ = std::fs::remove_file(&aside);
    }
    let left: Vec<String> = std::fs::read_dir(&folder)
        .expect("a folder")
        .map(|entry| entry.expect("an entry").file_name().to_string_lossy().into_owned())
        .filter(|name| name.ends_with(".new") || name.contains("draft"))
        .collect();
    assert!(left.is_empty(), "{what}: {left:?}");
    if kill_at.who == Killed::Newer && !newer_never_served {
        wait(|| survivor.logged("listening for a newer process again"));
    }
    let handovers_before = handovers(survivor);
    let third = Head::start(&discovery, None, &shared);
    assert_eq!(third.http, older.http, "{what}: the survivor hands its socket over");
    wait(|| (handovers(survivor) > handovers_before).then_some(()));
    wait_served(third.http, &what);
    // What an operator says at the third one binds the survivor.
    assert_eq!(call(third.ops, "PUT", "/ops/bricks/up?host=s-2").0, 200, "{what}");
    wait(|| (gauge(survivor, "bricks_excluded") == 0).then_some(()));
    _ = std::fs::remove_dir_all(folder);
}

/// How often a head has handed over.
fn handovers(head: &Head) -> usize {
    head.log().iter().filter(|line| line.contains("the newer process is in service")).count()
}

/// Kills of one of the processes, each in both, at the connection and at a message before and after it is passed on.
fn kills(who: Killed, messages: &[&'static str]) {
    if messages.is_empty() {
        play(Kill { who, message: None, moment: Moment::BeforePassed });
    }
    for message in messages {
        for moment in [Moment::BeforePassed, Moment::AfterPassed] {
            play(Kill { who, message: Some(message), moment });
        }
    }
}

#[test]
fn a_process_killed_as_the_newer_one_connects_leaves_the_other_in_service() {
    kills(Killed::Newer, &[]);
    kills(Killed::Older, &[]);
}

#[test]
fn a_newer_process_killed_at_any_message_leaves_the_older_one_in_service() {
    kills(Killed::Newer, &["here", "ready", "bans", "pins"]);
}

#[test]
fn an_older_process_killed_at_any_message_leaves_the_newer_one_in_service() {
    kills(Killed::Older, &["here", "ready", "bans", "pins"]);
}
