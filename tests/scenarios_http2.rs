//! The front of HTTP/2 in a running head, against a client that sends raw frames.

mod peers;
use flaxgap_streams::frames::{flag, kind};
use peers::frames::{Raw, code, encode, frame, read, request, save, settings, update};
use peers::*;
use std::net::SocketAddr;
use std::time::Duration;

fn start(brick: &Brick, more: &str) -> (Discovery, Head, SocketAddr) {
    let discovery = Discovery::start(&[entry("s-1", brick.address, 0, "ready")]);
    let name = std::thread::current().name().unwrap_or("story").replace(':', "-");
    let path = std::env::temp_dir().join(format!("flaxgap-http2-{}-{name}", std::process::id()));
    std::fs::write(&path, format!("[http2]\nlisten = \"127.0.0.1:0\"\n{more}")).expect("written");
    let head = Head::start(&discovery, None, &[("FLAXGAP_OPS", path.to_str().expect("a path"))]);
    std::fs::remove_file(path).expect("removed");
    let line = wait(|| head.logged("http2: listening on "));
    let address = line.rsplit(' ').next().and_then(|a| a.parse().ok()).expect("an address");
    (discovery, head, address)
}

/// All that was taken has exactly one end.
fn settled(head: &Head) -> bool {
    let of = |name| head.counter(name);
    of("in_flight") == 0 && of("taken") == of("served") + of("refused") + of("failed") + of("gone")
}

#[test]
fn a_stream_is_a_request_like_any_other() {
    let brick =
        Brick::start(|_, m| Step::Serve(if m.line.starts_with("PUT") { vec![] } else { b"piece".to_vec() }));
    let (_discovery, head, address) = start(&brick, "");
    let mut raw = Raw::new(address);
    let mut asked = request("GET", "play-fetch");
    raw.send(&frame(kind::HEADERS, flag::END_HEADERS | flag::END_STREAM, 1, &encode(&asked)));
    assert_eq!(raw.status(1), 200);
    assert!(raw.until(|seen| seen.ended == [1] && seen.data[&1] == 5));
    let seen = brick.wait_for(1).remove(0);
    assert_eq!(seen.line, format!("GET {} HTTP/1.1", asked[2].1), "the path goes on unchanged");
    assert_eq!(seen.header("x-correlation-id"), asked[4].1);
    raw.send(
        &[save(3), frame(kind::DATA, 0, 3, b"ab"), frame(kind::DATA, flag::END_STREAM, 3, b"c")].concat(),
    );
    assert_eq!(raw.status(3), 200);
    let seen = brick.wait_for(2).remove(1);
    assert_eq!((&seen.body[..], seen.header("idempotency-key").is_empty()), (&b"abc"[..], false));
    // What is no request of the platform is an error of its stream, and the connection goes on.
    asked[5].1 = "gold".into();
    raw.send(&frame(kind::HEADERS, flag::END_HEADERS | flag::END_STREAM, 5, &encode(&asked)));
    assert_eq!(raw.status(5), 400);
    raw.send(&read(7));
    assert_eq!(raw.status(7), 200);
    assert_eq!([head.counter("http2_connections"), head.counter("http2_streams")], [1, 4]);
    wait(|| settled(&head).then_some(()));
}

/// Guards against work that goes on for a client that has gone, and against a second answer counted for it.
#[test]
fn a_reset_stops_the_attempt_and_is_counted_once() {
    let brick = Brick::start(|_, m| if m.line.contains("hush") { Step::Silent } else { Step::Serve(vec![]) });
    let (_discovery, head, address) = start(&brick, "");
    let mut raw = Raw::new(address);
    let mut hush = request("GET", "play-fetch");
    hush[2].1 += "?hush";
    raw.send(&frame(kind::HEADERS, flag::END_HEADERS | flag::END_STREAM, 1, &encode(&hush)));
    brick.wait_for(1);
    raw.send(&frame(kind::RST_STREAM, 0, 1, &code::CANCEL.to_be_bytes()));
    brick.wait_closed(1);
    raw.send(&read(3));
    assert_eq!(raw.status(3), 200, "its siblings go on");
    wait(|| (settled(&head) && head.counter("gone") == 1 && head.counter("http2_resets") == 1).then_some(()));
    assert_eq!([head.counter("served"), head.counter("cancelled")], [1, 1]);
}

/// Guards against answers that are lost at the end, and against streams that are taken after it was told.
#[test]
fn a_drain_answers_every_stream_it_took_and_takes_none_after_the_notice() {
    let brick = Brick::start(|_, _| Step::After(Duration::from_millis(3), Box::new(Step::Serve(vec![]))));
    let (_discovery, mut head, address) = start(&brick, "streams_each = 50");
    let (connections, each) = (20, 50);
    let mut all: Vec<Raw> = (0..connections).map(|_| Raw::new(address)).collect();
    for raw in &mut all {
        let bytes: Vec<u8> = (0..each).flat_map(|n| read(2 * n + 1)).collect();
        raw.send(&bytes);
    }
    wait(|| (head.counter("taken") > 200).then_some(()));
    head.signal("-TERM");
    let mut answered = 0;
    for raw in &mut all {
        assert!(raw.until(|seen| seen.closed), "it ends by itself");
        let (last, code) = *raw.seen.goaways.last().expect("a goodbye");
        assert_eq!(code, code::NO_ERROR);
        assert!(raw.seen.goaways[0].0 >= last, "the first names no less than the last");
        for stream in (0..each).map(|n| 2 * n + 1) {
            let ended = raw.seen.statuses.contains_key(&stream);
            let refused = raw.seen.resets.get(&stream) == Some(&code::REFUSED_STREAM);
            assert!(ended || refused || stream > last, "stream {stream}, last {last}: {:?}", raw.seen);
            assert!(!(ended && stream > last), "taken after the notice");
            answered += usize::from(ended);
        }
    }
    assert!(head.ended());
    assert!(answered > 200, "{answered} of {}", connections * each);
    let line =
        head.log().into_iter().rev().find(|line| line.contains("counters: ")).expect("the last figures");
    let of = |name: &str| -> usize {
        let pair = line.split_whitespace().find_map(|p| p.strip_prefix(&format!("{name}=")));
        pair.expect("a figure").parse().expect("a number")
    };
    assert_eq!(of("taken"), of("served") + of("refused") + of("failed") + of("gone"));
    assert_eq!(of("taken"), answered);
}

/// Guards against clients that ignore flow control, and against those that give no room: neither holds back others.
#[test]
fn flow_control_is_kept_on_both_sides() {
    let long = 300_000;
    let brick = Brick::start(move |_, m| match m.line.contains("long") {
        true => Step::Serve(vec![7; long]),
        false => Step::Serve(vec![]),
    });
    let (_discovery, head, address) = start(&brick, "stall_s = 0.5");
    let mut greedy = Raw::new(address);
    greedy.send(&save(1));
    let piece = frame(kind::DATA, 0, 1, &[0; 16_000]);
    // Far past what any window lets it send; it does not wait for updates.
    (0..200).for_each(|_| greedy.send(&piece));
    assert!(greedy.until(|seen| seen.closed || !seen.goaways.is_empty() || !seen.resets.is_empty()));
    let told = greedy.seen.goaways.last().map(|g| g.1).or(greedy.seen.resets.get(&1).copied());
    assert_eq!(told, Some(code::FLOW_CONTROL_ERROR));
    let mut stalled = Raw::with(address, &[(4, 0)]);
    let mut asked = request("GET", "play-fetch");
    asked[2].1 += "?long";
    let ask = |stream, asked: &[(String, String)]| {
        frame(kind::HEADERS, flag::END_HEADERS | flag::END_STREAM, stream, &encode(asked))
    };
    stalled.send(&[ask(1, &asked), read(3)].concat());
    assert_eq!(stalled.status(3), 200, "an answer without data needs no room");
    assert!(
        stalled.until(|seen| seen.resets.get(&1) == Some(&code::CANCEL)),
        "the stalled one ends in its time"
    );
    assert_eq!(head.counter("http2_stalled"), 1);
    let mut steady = Raw::with(address, &[(4, 10_000)]);
    asked = request("GET", "play-fetch");
    asked[2].1 += "?long";
    steady.send(&ask(1, &asked));
    assert_eq!(steady.status(1), 200);
    let mut given = 10_000;
    while given < long {
        assert!(steady.until(|seen| seen.data.get(&1).is_some_and(|got| *got >= given.min(long))));
        assert!(steady.seen.data[&1] <= given, "never past the window");
        steady.send(&[update(1, 50_000), update(0, 50_000)].concat());
        given += 50_000;
    }
    assert!(steady.until(|seen| seen.ended == [1] && seen.data[&1] == long));
    wait(|| settled(&head).then_some(()));
}

/// Guards against floods: each ends its own connection with a reason, and others notice nothing.
#[test]
fn a_flood_ends_its_own_connection_and_no_other() {
    let brick = Brick::start(|_, _| Step::Serve(vec![]));
    let (_discovery, head, address) = start(&brick, "");
    let mut bystander = Raw::new(address);
    let resets = |n: u32| [read(2 * n + 1), frame(kind::RST_STREAM, 0, 2 * n + 1, &[0, 0, 0, 8])].concat();
    type Next = Box<dyn Fn(u32) -> Vec<u8>>;
    let floods: [(&str, Vec<u8>, Next); 6] = [
        ("PING", vec![], Box::new(|_| frame(kind::PING, 0, 0, &[0; 8]))),
        ("SETTINGS", vec![], Box::new(|_| settings(&[]))),
        ("empty DATA", save(1), Box::new(|_| frame(kind::DATA, 0, 1, &[]))),
        ("PRIORITY", vec![], Box::new(|_| frame(kind::PRIORITY, 0, 1, &[0, 0, 0, 3, 1]))),
        ("CONTINUATION", frame(kind::HEADERS, 0, 1, &[]), Box::new(|_| frame(kind::CONTINUATION, 0, 1, &[]))),
        ("RST_STREAM", vec![], Box::new(resets)),
    ];
    let number = floods.len();
    for (name, first, next) in floods {
        let mut raw = Raw::new(address);
        raw.send(&first);
        for n in 0..2000 {
            raw.send(&next(n));
        }
        assert!(raw.until(|seen| seen.closed), "{name}");
        let told = raw.seen.goaways.last().map(|goaway| goaway.1);
        assert!(told.is_none_or(|told| told == code::ENHANCE_YOUR_CALM), "{name}: {told:?}");
    }
    bystander.send(&read(1));
    assert_eq!(bystander.status(1), 200);
    wait(|| (head.counter("http2_turned_out") >= number as u64 - 1).then_some(()));
    wait(|| head.logged("a connection is ended: too many pings"));
    wait(|| settled(&head).then_some(()));
}

#[test]
fn the_wrong_protocol_is_told_so_on_either_port() {
    let brick = Brick::start(|_, _| Step::Serve(vec![]));
    let (_discovery, head, address) = start(&brick, "handshake_s = 0.3");
    let answer = get(address, "/-/ready");
    assert_eq!((answer.status(), answer.header("connection")), (505, "close"));
    assert!(String::from_utf8_lossy(&answer.body).contains("speaks HTTP/2"));
    // Of more than is read of it nothing resets the answer.
    let mut long = Client::new(address);
    long.send("PUT / HTTP/1.1\r\nContent-Length: 20000\r\n\r\n", &[b'x'; 20_000]);
    std::thread::sleep(Duration::from_millis(100));
    let (said, ended) = long.until_end();
    assert!(said.starts_with(b"HTTP/1.1 505") && ended.is_ok(), "{ended:?}");
    let mut other = Raw::new(head.http);
    assert!(other.until(|seen| !seen.goaways.is_empty()));
    assert_eq!(other.seen.goaways, [(0, code::HTTP_1_1_REQUIRED)]);
    let mut mute = Raw::silent(address);
    assert!(mute.until(|seen| seen.closed), "half open, it is closed in its time");
}

/// Guards against half of an answer, or of an upload, taken for the whole.
#[test]
fn what_breaks_off_is_told_as_broken() {
    let brick = Brick::start(|_, m| match (m.line.contains("half"), m.line.starts_with("PUT")) {
        (true, _) => {
            Step::Raw([b"HTTP/1.1 200 OK\r\nContent-Length: 900000\r\n\r\n", &[7; 100_000][..]].concat())
        }
        (_, true) => Step::Serve(vec![]),
        _ => Step::Serve(b"x".to_vec()),
    });
    let (_discovery, head, address) = start(&brick, "");
    let mut raw = Raw::with(address, &[(4, 1_000_000)]);
    raw.send(&update(0, 1_000_000));
    let mut asked = request("GET", "play-fetch");
    asked[2].1 += "?half";
    raw.send(&frame(kind::HEADERS, flag::END_HEADERS | flag::END_STREAM, 1, &encode(&asked)));
    assert_eq!(raw.status(1), 200);
    assert!(raw.until(|seen| seen.resets.contains_key(&1)), "its client can tell that it is not whole");
    assert_eq!((raw.seen.resets[&1], raw.seen.ended.is_empty()), (code::INTERNAL_ERROR, true));
    // An upload that is reset halfway reaches no node as a whole.
    raw.send(&[save(3), frame(kind::DATA, 0, 3, &[1; 1000])].concat());
    raw.send(&frame(kind::RST_STREAM, 0, 3, &code::CANCEL.to_be_bytes()));
    // Trailers, an empty last DATA, and 100-continue.
    let trailers = frame(
        kind::HEADERS,
        flag::END_HEADERS | flag::END_STREAM,
        5,
        &peers::frames::fields(&[("x-sum", "1")]),
    );
    raw.send(&[save(5), frame(kind::DATA, 0, 5, b"ab"), trailers].concat());
    assert_eq!(raw.status(5), 200);
    raw.send(
        &[save(7), frame(kind::DATA, 0, 7, b"ab"), frame(kind::DATA, flag::END_STREAM, 7, b"")].concat(),
    );
    assert_eq!(raw.status(7), 200);
    let mut expects = request("PUT", "episode-save");
    expects.push(("expect".into(), "100-continue".into()));
    raw.send(&frame(kind::HEADERS, flag::END_HEADERS, 9, &encode(&expects)));
    assert!(raw.until(|seen| seen.informational == [100]));
    raw.send(&frame(kind::DATA, flag::END_STREAM, 9, b"z"));
    assert_eq!(raw.status(9), 200);
    let saved: Vec<Vec<u8>> =
        brick.seen().into_iter().filter(|m| m.line.starts_with("PUT")).map(|m| m.body).collect();
    assert_eq!(saved, [b"ab".to_vec(), b"ab".to_vec(), b"z".to_vec()]);
    wait(|| settled(&head).then_some(()));
}
