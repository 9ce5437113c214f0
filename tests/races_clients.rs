//! The rare moments between a client and the head, each brought about: bytes that come as a connection is closed, a
//! client that leaves behind what it sent, an answer that breaks off.

mod peers;
#[path = "peers/stand.rs"]
mod stand;

use peers::*;
use stand::*;
use std::time::{Duration, Instant};

fn read(left: f64) -> String {
    Client::request("play-fetch", "network", 1, left, 0)
}

fn write(body: &[u8]) -> String {
    Client::request("episode-save", "network", 1, 3.0, body.len())
}

/// Who asks for a close.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Reason {
    Shutdown,
    Scarce,
}

/// A resting connection is to close for any reason, and in that moment bytes have come that neither the front nor the
/// runtime has heard of: any part of a request. It is served, and then the connection ends.
#[test]
fn a_request_of_which_a_byte_has_come_before_the_close_is_served() {
    let body = b"a new episode";
    for reason in [Reason::Shutdown, Reason::Scarce] {
        let whole = |text: String, body: &[u8]| [text.as_bytes(), body].concat();
        for request in [whole(read(3.0), b""), whole(write(body), body)] {
            let head = request.windows(4).position(|w| w == b"\r\n\r\n").expect("a head") + 4;
            let cuts = [1, head / 2, head, (head + request.len()) / 2, request.len()];
            for cut in cuts {
                let request = request.clone();
                on_a_stand(async |stand| {
                    let brick = Brick::start(|_, _| Step::Serve(b"served".to_vec()));
                    stand.list(&brick);
                    let mut client = stand.client().await;
                    client.send("GET /-/healthy HTTP/1.1\r\nHost: head\r\n\r\n", b"");
                    stand.until(|stand| stand.count("client_connections") == 1).await;
                    stand.run(350).await;
                    assert_eq!(client.answer().expect("an answer").status(), 200);
                    client.send("", &request[..cut]);
                    match reason {
                        Reason::Shutdown => {
                            stand.phases.close_idle_connections(tokio::time::Instant::now() + WAIT_TIMEOUT)
                        }
                        Reason::Scarce => assert!(stand.budget.close_idle_connection(), "it rests"),
                    }
                    stand.woken().await;
                    client.send("", &request[cut..]);
                    let (answer, after) = stand.beside(move || (client.answer(), client.answer())).await;
                    let answer = answer.unwrap_or_else(|| panic!("{reason:?}, cut at {cut}: no answer"));
                    assert_eq!((&answer.body[..], answer.header("connection")), (&b"served"[..], "close"));
                    assert!(after.is_none(), "{reason:?}, cut at {cut}: it ends then");
                    assert_eq!(brick.seen().len(), 1);
                });
            }
        }
    }
}

/// A second request has come before the first is answered, and the connection is to close: both are answered, and only
/// the last answer says that it is.
#[test]
fn an_answer_is_not_the_last_while_another_request_has_come() {
    for first in [read(3.0), [write(b"body"), "body".into()].concat()] {
        on_a_stand(async |stand| {
            let brick = Brick::start(|_, m| match m.line.contains("slow") {
                true => Step::After(Duration::from_millis(200), Box::new(Step::Serve(b"first".to_vec()))),
                false => Step::Serve(b"second".to_vec()),
            });
            stand.list(&brick);
            let mut client = stand.client().await;
            client.send(&[first.replacen(" HTTP", "?slow HTTP", 1), read(3.0)].concat(), b"");
            stand.until(|_| brick.seen().len() == 1).await;
            stand.phases.close_idle_connections(tokio::time::Instant::now() + WAIT_TIMEOUT);
            let answers = stand.beside(move || [client.answer(), client.answer(), client.answer()]).await;
            let said =
                answers.map(|answer| answer.map(|a| (a.body.clone(), a.header("connection").to_string())));
            let close = Some((b"second".to_vec(), "close".to_string()));
            assert_eq!(said, [Some((b"first".to_vec(), String::new())), close, None]);
        });
    }
}

/// A resting connection that was closed with nothing on it: what comes then is not served, and its client can tell.
#[test]
fn what_comes_after_the_end_of_a_connection_is_not_sent_on() {
    on_a_stand(async |stand| {
        let brick = Brick::start(|_, _| Step::Serve(b"served".to_vec()));
        stand.list(&brick);
        let mut client = stand.client().await;
        client.send(&read(3.0), b"");
        stand.until(|_| brick.seen().len() == 1).await;
        stand.run(350).await;
        assert_eq!(client.answer().expect("an answer").body, b"served");
        stand.phases.close_idle_connections(tokio::time::Instant::now() + WAIT_TIMEOUT);
        stand.woken().await;
        stand.run(20).await;
        client.send(&read(3.0), b"");
        stand.run(100).await;
        let (rest, ended) = stand.beside(move || client.until_end()).await;
        assert_eq!((rest.len(), ended.expect("no reset")), (0, 0));
        stand.until(|stand| stand.count("lingered") == 1).await;
        assert_eq!(brick.seen().len(), 1);
    });
}

/// A slow reader's answer is its connection's last, and it has sent more already: the answer comes whole all the same.
#[test]
fn an_answer_before_a_close_comes_whole_though_more_came_in() {
    on_a_stand(async |stand| {
        let text: Vec<u8> = (0..60_000u32).map(|n| (n % 251) as u8).collect();
        let body = text.clone();
        let brick = Brick::start(move |_, _| Step::Serve(body.clone()));
        stand.list(&brick);
        let mut client = stand.take(Client::with_little_room).await;
        stand.phases.close_idle_connections(tokio::time::Instant::now() + WAIT_TIMEOUT);
        client.send(&read(3.0), b"");
        stand.until(|_| brick.seen().len() == 1).await;
        stand.run(100).await;
        // The answer is with the system by now and most of it not with the client; then comes what is not served.
        client.send("GET /-/healthy HTTP/1.1\r\n", b"");
        let answer = stand.beside(move || {
            std::thread::sleep(Duration::from_millis(300));
            client.send("Host: head\r\n\r\n", b"");
            std::thread::sleep(Duration::from_millis(100));
            client.answer()
        });
        let answer = answer.await.expect("a whole answer");
        assert_eq!((answer.header("connection"), answer.body == text), ("close", true));
    });
}

/// A client leaves while its first request waits for a node, whatever it had sent behind that: it is noticed within
/// 0.3 s, and nothing of it is sent on when there is a node. (Of an upload so much is on its way as the system holds;
/// behind more than that no end can be seen before it is read.)
#[test]
fn a_client_that_leaves_is_noticed_whatever_it_sent_before() {
    let flood: String = (0..1000).map(|_| read(3.0)).collect();
    let doubtful = write(b"").replace("Content-Length: 0", "Content-Length: 3\r\nTransfer-Encoding: chunked");
    let half = "GET /play-fetch/00000000000000b2/0000000000001001 HTTP/1.1\r\nHost: or".to_string();
    let long = [Client::request("episode-save", "network", 1, 3.0, 400_000), "x".repeat(50_000)].concat();
    let sent = [
        ("a request", read(3.0)),
        ("three requests", [read(3.0), read(3.0), read(3.0)].concat()),
        ("a request and a half", [read(3.0), half].concat()),
        ("a second with half its body", [read(3.0), write(&[0; 9000]), "y".repeat(4000)].concat()),
        ("a flood", flood),
        ("a head of doubtful length", [read(3.0), doubtful, "0\r\n\r\n".into()].concat()),
        ("noise", [read(3.0), "\0noise\r\n\r\n".into()].concat()),
        ("the first part of an upload that passes on", long),
    ];
    for (what, text) in sent {
        on_a_stand(async |stand| {
            let client = stand.client().await;
            let client = stand.beside(move || {
                let mut client = client;
                client.try_send(&text);
                client
            });
            let client = client.await;
            stand.until(|stand| stand.count("in_flight") == 1).await;
            // It is waited for all the same while it waits itself.
            stand.run(150).await;
            assert_eq!(stand.count("gone"), 0, "{what}");
            drop(client);
            let left = Instant::now();
            stand.until(|stand| stand.count("gone") > 0).await;
            assert!(left.elapsed() < Duration::from_millis(300), "{what}: {:?}", left.elapsed());
            let brick = Brick::start(|_, _| Step::Serve(vec![]));
            stand.list(&brick);
            stand.run(100).await;
            assert_eq!((brick.seen().len(), stand.count("in_flight")), (0, 0), "{what}");
        });
    }
}

/// A client sends far more than one request ahead: what is held of it is bounded, the connection ends once that is
/// answered, and others notice nothing.
#[test]
fn a_flood_on_one_connection_is_bounded_and_ends_it() {
    on_a_stand(async |stand| {
        let brick = Brick::start(|_, m| match m.line.contains("slow") {
            true => Step::After(Duration::from_millis(200), Box::new(Step::Serve(b"slow".to_vec()))),
            false => Step::Serve(b"quick".to_vec()),
        });
        stand.list(&brick);
        let mut client = stand.client().await;
        let first = read(3.0).replacen(" HTTP", "?slow HTTP", 1);
        let flood: String = (0..1000).map(|_| read(3.0)).collect();
        client.send(&first, b"");
        let flooded = stand.beside(move || {
            client.try_send(&flood);
            let mut answers = 0;
            while client.answer().is_some_and(|answer| answer.status() == 200) {
                answers += 1;
            }
            answers
        });
        let mut other = stand.client().await;
        other.send(&read(1.0), b"");
        let other = stand.beside(move || other.answer().expect("an answer"));
        let (answers, other) = tokio::join!(flooded, other);
        assert_eq!(other.body, b"quick");
        assert!((1..200).contains(&answers), "{answers} of 1001 were held");
        assert_eq!(stand.count("floods"), 1);
    });
}

/// An answer passes on and breaks, whatever tells its length: no client takes it for whole, one of HTTP/1.0 neither,
/// to whom the connection's end is the answer's.
#[test]
fn an_answer_that_breaks_in_passing_reaches_its_client_as_broken() {
    let part = "x".repeat(100_000);
    for head in ["", "Content-Length: 300000\r\n", "Transfer-Encoding: chunked\r\n"] {
        let part = if head.starts_with('T') { format!("186a0\r\n{part}\r\n") } else { part.clone() };
        let text = format!("HTTP/1.1 200 OK\r\n{head}\r\n{part}").into_bytes();
        for version in ["1.1", "1.0"] {
            let text = text.clone();
            on_a_stand(async |stand| {
                let brick = Brick::start(move |_, _| Step::Reset(text.clone()));
                stand.list(&brick);
                let mut client = stand.client().await;
                client.send(&read(3.0).replace("HTTP/1.1", &format!("HTTP/{version}")), b"");
                let (got, ended) = stand.beside(move || client.until_end()).await;
                let ends_well = ended.is_ok() && (version == "1.0" || got.ends_with(b"\r\n0\r\n\r\n"));
                assert!(got.starts_with(format!("HTTP/{version} 200").as_bytes()), "{head:?}, {version}");
                assert!(!ends_well, "{head:?}, HTTP/{version}: it looks whole");
                assert_eq!(stand.count("broken_off"), 1, "{head:?}, HTTP/{version}");
            });
        }
    }
}

/// The idle time of a connection is over, and in that very moment bytes come, after the runtime last heard from the
/// system and before the connection's task runs: the task that writes them is woken by the same turn of the clock,
/// just before. Without bytes the connection ends then.
#[test]
fn a_request_that_comes_as_the_idle_time_ends_is_served() {
    const ALMOST: Duration = Duration::from_millis(2099);
    let healthy = "GET /-/healthy HTTP/1.1\r\nHost: head\r\n\r\n";
    for cut in [0, 1, healthy.len() / 2, healthy.len()] {
        on_a_stand(async |stand| {
            tokio::time::pause();
            let mut client = stand.client().await;
            client.send(healthy, b"");
            stand.settle().await;
            assert_eq!(client.answer().expect("an answer").status(), 200);
            let writes = tokio::task::spawn_local(async move {
                tokio::time::sleep(ALMOST).await;
                client.try_send(&healthy[..cut]);
                client
            });
            stand.settle_still().await;
            tokio::time::advance(ALMOST + Duration::from_millis(2)).await;
            stand.settle_still().await;
            let mut client = writes.await.expect("written");
            if cut > 0 {
                client.try_send(&healthy[cut..]);
            }
            stand.settle().await;
            assert_eq!(
                client.answer().map(|answer| answer.status()),
                (cut > 0).then_some(200),
                "cut at {cut}"
            );
        });
    }
}

/// An answer that says no length, short enough to be held, and a reset instead of its end: it is not whole, and the read
/// is sent again; the same with a length and in chunks.
#[test]
fn an_answer_cut_by_a_reset_is_never_whole() {
    for text in [
        "HTTP/1.1 200 OK\r\n\r\nhalf",
        "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
    ] {
        on_a_stand(async |stand| {
            let brick = Brick::start(move |number, _| match number {
                0 => Step::Reset(text.as_bytes().to_vec()),
                _ => Step::Serve(b"whole".to_vec()),
            });
            stand.list(&brick);
            let mut client = stand.client().await;
            client.send(&read(3.0), b"");
            let answer = stand.beside(move || client.answer()).await.expect("an answer");
            assert_eq!((&answer.body[..], stand.count("reset")), (&b"whole"[..], 1), "{text:?}");
        });
    }
}
