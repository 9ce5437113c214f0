//! Streamed bodies, slow clients and nodes, and each form of HTTP/1.1 framing.

mod peers;
use peers::*;
use std::sync::{Arc, Barrier};
use std::thread::sleep;
use std::time::Duration;

fn head_with_node(node: &Brick) -> (Discovery, Head) {
    let discovery = Discovery::start(&[entry("s-1", node.address, 0, "ready")]);
    let head = Head::start(&discovery, None, &[]);
    (discovery, head)
}

fn read_request() -> String {
    Client::request("play-fetch", "network", 1, 1.0, 0)
}

fn write_request(length: usize) -> String {
    Client::request("episode-save", "network", 1, 2.0, length)
}

fn body_of(length: usize) -> Vec<u8> {
    (0..length).map(|place| b'a' + (place % 23) as u8).collect()
}

/// Guards against buffering long responses, against cutting them off at the deadline while the node still sends, and
/// against truncated responses that the client takes for complete or that are retried.
#[test]
fn a_long_response_is_streamed_and_its_truncation_is_visible() {
    let (go, body) = (Arc::new(Barrier::new(2)), body_of(1 << 20));
    let (held, long) = (go.clone(), body.clone());
    let node = Brick::start(move |number, _| {
        let head = match number {
            0 | 2 => format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", long.len()),
            _ => "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n".into(),
        };
        let (first, rest) = long.split_at(100_000);
        let rest = if number == 2 { &rest[1..] } else { rest };
        Step::Held([head.as_bytes(), first].concat(), held.clone(), rest.to_vec())
    });
    let (_discovery, head) = head_with_node(&node);
    for form in ["content-length: 1048576", "transfer-encoding: chunked"] {
        let mut client = Client::new(head.http);
        client.send(&read_request(), b"");
        let start = String::from_utf8(client.bytes(400)).expect("text");
        assert!(start.starts_with("HTTP/1.1 200 OK\r\n") && start.contains(form), "{start}");
        sleep(Duration::from_millis(1100)); // the deadline passes
        go.wait();
        let response = [start.into_bytes(), client.rest()].concat();
        assert!(
            response.len() > body.len()
                && response.ends_with(if form.len() == 23 {
                    &body[body.len() - 9..]
                } else {
                    b"\r\n0\r\n\r\n"
                })
        );
    }
    let mut client = Client::new(head.http);
    client.send(&read_request(), b"");
    go.wait();
    assert!(client.answer().is_none(), "the client detects the missing byte");
    assert_eq!((node.seen().len(), head.counter("served"), head.counter("failed")), (3, 2, 1));
}

/// Guards against buffering long uploads, against retrying an upload that was not buffered, against a timeout for a slow
/// client that still sends, and against waiting for a stalled one.
#[test]
fn a_long_upload_is_streamed_once_and_times_out_only_if_it_stalls() {
    let node = Brick::start(|number, m| match number {
        0 => Step::Serve(m.body.len().to_string().into()),
        _ => Step::Status(503, true),
    });
    let (_discovery, head) = head_with_node(&node);
    let body = body_of(1 << 20);
    let mut client = Client::new(head.http);
    assert_eq!(client.ask(&write_request(body.len()), &body).body, b"1048576");
    assert_eq!(node.seen()[0].body, body);
    let refused = Client::new(head.http).ask(&write_request(body.len()), &body);
    assert_eq!(
        (refused.status(), node.seen().len()),
        (503, 2),
        "it did not run, and its body cannot be sent again"
    );
    let mut slow = Client::new(head.http);
    let (whole, piece) = (write_request(130_000), body_of(13_000));
    let (start, end) = whole.split_at(40);
    slow.send(start, b"");
    sleep(Duration::from_millis(500));
    slow.send(end, b"");
    for _ in 0..10 {
        sleep(Duration::from_millis(240));
        slow.send("", &piece);
    }
    assert_eq!(slow.answer().expect("an answer").status(), 503);
    assert_eq!(node.seen()[2].body.len(), 130_000, "the slow upload is complete");
    let mut stalled = Client::new(head.http);
    stalled.send(&write_request(130_000), &piece);
    assert_eq!(stalled.answer().expect("an answer").status(), 408);
}

/// Guards against misparsing HTTP/1.1 framing: the bytes after a chunked body are a new request.
#[test]
fn all_forms_of_requests_and_responses_are_understood() {
    let node = Brick::start(|_, m| {
        match m.line.contains("ends") {
        true => Step::Raw(b"HTTP/1.1 200 OK\r\nConnection: x, close\r\n\r\n".to_vec()),
        false => Step::Raw(
            format!("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{:x};a=\"b\"\r\n{}\r\n0\r\nX-T: 1\r\n\r\n",
                m.body.len().max(1), if m.body.is_empty() { "-".into() } else { String::from_utf8_lossy(&m.body) })
            .into_bytes(),
        ),
    }
    });
    let (_discovery, head) = head_with_node(&node);
    let chunked = |expect: &str| {
        write_request(0).replace("Content-Length: 0", &format!("{expect}Transfer-Encoding: chunked"))
    };
    let body = "3;x=y\r\nabc\r\n2 ; z\r\nde\r\n0\r\nX-Trailer: 1\r\n\r\n";
    let absolute = read_request().replacen("GET /", "GET http://origin.svc/", 1);
    let mut client = Client::new(head.http);
    client.send(&format!("{}{body}{absolute}{}", chunked(""), read_request()), b"");
    let answers: Vec<_> = (0..3).map(|_| client.answer().expect("an answer").body).collect();
    assert_eq!(answers, [&b"abcde"[..], b"-", b"-"], "three pipelined requests");
    assert!(node.seen()[1].line.starts_with("GET /play-fetch/"));
    client.send(&chunked("Expect: 100-continue\r\n"), b"");
    assert_eq!(client.answer().expect("a go-ahead").status(), 100);
    client.send(body, b"");
    assert_eq!(client.answer().expect("an answer").body, b"abcde");
    let hidden = chunked("")
        + "0\r\n\r\n"
        + &write_request(0).replace("Content-Length: 0", "Content-Length: 3\r\nTransfer-Encoding: chunked");
    client.send(&hidden, b"0\r\n\r\n");
    assert_eq!([client.answer(), client.answer()].map(|a| a.expect("an answer").status()), [200, 400]);
    assert_eq!(node.seen().len(), 5, "an ambiguous request after a chunked one is not forwarded");
}
