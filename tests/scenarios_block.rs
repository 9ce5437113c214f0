//! The block front round the same core.

mod peers;
use peers::initiator::*;
use peers::*;
use std::time::Duration;

/// What a brick that keeps no data answers: the bytes asked for, or nothing for a write.
fn blocks(message: &Message) -> Step {
    let length = message.line.split("length=").nth(1).and_then(|l| l.split(' ').next()?.parse().ok());
    match message.line.starts_with("GET") {
        true => Step::Serve((0..length.unwrap_or(0)).map(|i: usize| (i / 512) as u8).collect()),
        false => Step::Serve(b"kept".to_vec()),
    }
}

fn head(bricks: &[&Brick]) -> (Discovery, Head, std::net::SocketAddr) {
    let entries =
        bricks.iter().enumerate().map(|(i, b)| entry(&format!("s-{i}"), b.address, i as u32, "ready"));
    let discovery = Discovery::start(&entries.collect::<Vec<_>>());
    let head = Head::start(&discovery, Some(BLOCK), &[]);
    let block = head.block.expect("the block front listens");
    (discovery, head, block)
}

fn hex(bytes: &[u8]) -> String {
    let lines =
        bytes.chunks(16).map(|line| line.iter().map(|b| format!("{b:02x}")).collect::<Vec<_>>().join(" "));
    lines.collect::<Vec<_>>().join("\n")
}

fn printable(text: &[u8]) -> String {
    String::from_utf8_lossy(text).replace('\0', "\n")
}

#[test]
fn discovery_login_inquiry_and_logout_go_by_the_standard() {
    let brick = Brick::start(|_, m| blocks(m));
    let (_discovery, _head, block) = head(&[&brick]);
    let mut told = String::new();

    let mut finder = Initiator::connect(block);
    let name = "InitiatorName=iqn.2026-12.invalid.studio:a\0";
    let security = finder.log_in(0x81, &format!("{name}SessionType=Discovery\0AuthMethod=CHAP,None\0"));
    let operational = finder.log_in(0x87, "MaxRecvDataSegmentLength=8192\0");
    finder.request(0x04, 0x80, &[(20, u32::MAX)], b"SendTargets=All\0");
    let targets = printable(&finder.receive().data).replace(&block.to_string(), "PORTAL");
    told += &format!("{}{}{targets}", printable(&security.data), printable(&operational.data));

    let mut initiator = Initiator::connect(block);
    let keys = "TargetName=iqn.2026-12.invalid.half-way-tree:story\0HeaderDigest=CRC32C,None\0\
        DataDigest=None\0InitialR2T=No\0ImmediateData=Yes\0MaxBurstLength=16384\0FirstBurstLength=4096\0\
        MaxConnections=8\0MaxOutstandingR2T=4\0ErrorRecoveryLevel=2\0DefaultTime2Wait=0\0\
        DefaultTime2Retain=20\0iSCSIProtocolLevel=3\0IFMarker=No\0X-studio=1\0MaxBurstLengths=5\0";
    let keys = format!("{name}{}", keys.replace("CRC32C,None", "None,CRC32C"));
    let login = initiator.log_in(0x87, &keys);
    told += &format!("-- login\n{}{}\n", printable(&login.data), hex(&login.header));

    for (what, lun, cdb) in [
        ("inquiry", 0, vec![0x12, 0, 0, 0, 255, 0]),
        ("inquiry, no such unit", 9, vec![0x12, 0, 0, 0, 255, 0]),
        ("pages", 0, vec![0x12, 1, 0x00, 0, 255, 0]),
        ("serial number", 1, vec![0x12, 1, 0x80, 0, 255, 0]),
        ("identification", 0, vec![0x12, 1, 0x83, 0, 255, 0]),
        ("block limits", 0, vec![0x12, 1, 0xb0, 0, 255, 0]),
        ("units", 0, vec![0xa0, 0, 0, 0, 0, 0, 0, 0, 0, 255, 0, 0]),
        ("capacity (10)", 0, cdb10(0x25, 0, 0)),
        ("capacity (16)", 1, vec![0x9e, 0x10, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 32, 0, 0]),
    ] {
        initiator.command(lun, READ, 255, &cdb, &[]);
        let (data, end) = initiator.data_in();
        told += &format!("-- {what}: status {}, residual {}\n{}\n", end.header[3], end.at(44), hex(&data));
    }
    initiator.request(0x00, 0x80, &[(20, u32::MAX)], b"echo");
    let echo = initiator.receive();
    assert_eq!((echo.header[0], &echo.data[..]), (0x20, &b"echo"[..]));
    initiator.request(0x06, 0x80, &[], &[]);
    let end = initiator.receive();
    told += &format!("-- logout\n{}\n", hex(&end.header));
    assert!(initiator.next().is_none(), "closed after the logout");
    insta::assert_snapshot!(told);
}

#[test]
fn blocks_go_to_their_extent_and_come_back() {
    let (left, right) = (Brick::start(|_, m| blocks(m)), Brick::start(|_, m| blocks(m)));
    let (_discovery, head, block) = head(&[&left, &right]);
    let mut initiator = Initiator::login(block, "MaxRecvDataSegmentLength=1024\0MaxBurstLength=2048\0");

    // Block 5 of the second run's second extent, in PDUs of 1,024 bytes at most.
    initiator.read(1, 128 * 5 + 5, 5);
    let (data, end) = initiator.data_in();
    assert_eq!((end.status(), data.len(), data[2559]), ((0, vec![]), 2560, 4));

    // Immediate data first, then two bursts of two PDUs and one.
    let bytes: Vec<u8> = (0..4096).map(|i| (i / 16) as u8).collect();
    initiator.write(1, 128 * 4, 8, &bytes[..512]);
    let first = initiator.receive();
    assert_eq!((first.at(40), first.at(44)), (512, 2048));
    initiator.data_out(&first, 0, 512, &bytes[512..1536], false);
    initiator.data_out(&first, 1, 1536, &bytes[1536..2560], true);
    let second = initiator.receive();
    assert_eq!((second.at(40), second.at(44), second.at(36)), (2560, 1536, 1));
    initiator.data_out(&second, 0, 2560, &bytes[2560..], true);
    assert_eq!(initiator.receive().status(), (0, vec![]));

    // An initiator that expects to send more than the command takes is told of the rest.
    initiator.command(1, WRITE, 1024, &cdb10(0x2a, 0, 1), &[3; 1024]);
    let end = initiator.receive();
    assert_eq!((end.status().0, end.header[1], end.at(44)), (0, 0x82, 512));

    let seen = right.wait_for(2);
    assert_eq!(
        seen[0].line,
        "GET /play-fetch/00000000000000b2/0000000000003001?offset=2560&length=2560 HTTP/1.1"
    );
    assert_eq!(
        seen[1].line,
        "PUT /episode-save/00000000000000b2/0000000000003000?offset=0&length=4096 HTTP/1.1"
    );
    assert_eq!((&seen[1].body, seen[1].header("idempotency-key").is_empty()), (&bytes, false));
    assert_eq!(left.seen()[0].body, [3; 512]);
    assert_eq!((head.counter("taken"), head.counter("block_commands")), (3, 3));
}

#[test]
fn what_no_unit_can_do_is_an_illegal_request() {
    let brick = Brick::start(|_, m| blocks(m));
    let (_discovery, head, block) = head(&[&brick]);
    let mut initiator = Initiator::login(block, "");
    let mut told = Vec::new();
    let mut ask = |what: &str, lun: u8, cdb: Vec<u8>| {
        initiator.command(lun, READ, 512, &cdb, &[]);
        told.push((what.to_string(), initiator.receive().status()));
    };
    ask("crossing an extent", 0, cdb10(0x28, 127, 2));
    ask("past the longest transfer", 0, cdb10(0x28, 0, 129));
    ask("past the end", 0, cdb10(0x28, 512, 1));
    ask("far past the end", 0, [vec![0x88, 0], vec![0xff; 8], vec![0, 0, 0, 1, 0, 0]].concat());
    ask("no such unit", 7, cdb10(0x28, 0, 1));
    ask("protection", 0, [vec![0x28, 0x20], cdb10(0, 0, 1)[2..].to_vec()].concat());
    ask("an unknown command", 0, vec![0x04, 0, 0, 0, 0, 0]);
    ask("an unknown page", 0, vec![0x12, 1, 0x99, 0, 255, 0]);
    insta::assert_debug_snapshot!(told);
    assert_eq!((brick.seen().len(), head.counter("taken")), (0, 0));
}

#[test]
fn a_session_that_drops_mid_write_sends_nothing() {
    let brick = Brick::start(|_, _| Step::Silent);
    let (_discovery, head, block) = head(&[&brick]);
    let mut initiator = Initiator::login(block, "");
    initiator.write(1, 0, 4, &[7; 512]);
    let ready = initiator.receive();
    initiator.data_out(&ready, 0, 512, &[7; 512], false);
    drop(initiator);
    wait(|| head.logged("ended: closed by the initiator"));
    assert_eq!((brick.seen().len(), head.counter("taken")), (0, 0), "its data were never whole");

    let mut initiator = Initiator::login(block, "");
    initiator.write(1, 0, 1, &[7; 512]);
    brick.wait_for(1);
    drop(initiator);
    brick.wait_closed(1);
    wait(|| (head.counter("gone") == 1).then_some(()));
    assert_eq!((brick.seen().len(), head.counter("attempts")), (1, 1), "nothing is sent twice");
}

#[test]
fn an_aborted_task_is_called_off_without_a_response() {
    let brick = Brick::start(|number, m| if number == 0 { Step::Silent } else { blocks(m) });
    let (_discovery, head, block) = head(&[&brick]);
    let mut initiator = Initiator::login(block, "");
    let task = initiator.read(1, 0, 1);
    brick.wait_for(1);
    for complete in [0, 1] {
        initiator.request(0x42, 0x81, &[(20, task)], &[]);
        let answer = initiator.receive();
        assert_eq!((answer.header[0], answer.header[2]), (0x22, complete));
    }
    brick.wait_closed(1);
    initiator.read(1, 0, 1);
    assert_eq!(initiator.data_in().1.status().0, 0, "the next PDU is another command's");
    assert_eq!((head.counter("gone"), head.counter("cancelled")), (1, 1));
}

#[test]
fn a_brick_that_drains_keeps_the_blocks_in_flight_and_gets_none_after() {
    let slow = Duration::from_millis(400);
    let old = Brick::start(move |_, m| Step::After(slow, Box::new(blocks(m))));
    let new = Brick::start(|_, m| blocks(m));
    let (discovery, head, block) = head(&[&old]);
    let mut initiator = Initiator::login(block, "");
    let mut half = Initiator::connect(block);
    let keys =
        "InitiatorName=iqn.2026-12.invalid.studio:b\0TargetName=iqn.2026-12.invalid.half-way-tree:story\0";
    half.log_in(0x87, keys);
    initiator.write(1, 0, 1, &[1; 512]);
    old.wait_for(1);
    half.write(1, 1, 2, &[2; 512]);
    let ready = half.receive();

    discovery.push(&[entry("s-0", old.address, 0, "draining"), entry("s-9", new.address, 0, "ready")]);
    wait(|| (head.counter("list_changes") == 2).then_some(()));
    half.data_out(&ready, 0, 512, &[2; 512], true);
    assert_eq!(half.receive().status().0, 0, "a write whose data came after the drain goes to the new brick");
    assert_eq!(initiator.receive().status().0, 0, "the one in flight is finished where it was");
    assert_eq!((old.seen().len(), new.seen().len()), (1, 1));
}

/// Guards against bans and upgrades that only the HTTP front obeys.
#[test]
fn a_ban_and_an_upgrade_bind_block_clients_too() {
    let brick = Brick::start(|_, m| blocks(m));
    let (discovery, old, block) = head(&[&brick]);
    let mut initiator = Initiator::login(block, "");
    assert_eq!(call(old.ops, "PUT", "/ops/bricks/down?host=s-0").0, 200);
    initiator.read(1, 0, 1);
    assert_eq!((initiator.receive().status().0, brick.seen().len()), (0x08, 0), "BUSY, and nothing was sent");
    assert_eq!(call(old.ops, "PUT", "/ops/bricks/up?host=s-0").0, 200);
    let shown = call(old.ops, "GET", "/ops/stats").1;
    assert!(shown.contains("class=\"play-fetch\",outcome=\"refused\"} 1\n"), "{shown}");
    let new = Head::start(&discovery, Some(BLOCK), &[("TMPDIR", old.folder.to_str().expect("a path"))]);
    assert_eq!(new.block, Some(block), "one socket");
    // Until it has heard that the newer process is ready, the older one accepts, too.
    wait(|| old.logged("handover: the newer process is in service"));
    old.signal("-TERM");
    let mut next = Initiator::login(block, "");
    next.write(1, 0, 1, &[1; 512]);
    assert_eq!((next.receive().status().0, new.counter("block_sessions")), (0, 1));
}

#[test]
fn a_write_that_may_have_run_and_failed_is_no_refusal() {
    let brick = Brick::start(|_, _| Step::Break);
    let (_discovery, head, block) = head(&[&brick]);
    let mut initiator = Initiator::login(block, "");
    initiator.write(1, 0, 1, &[1; 512]);
    assert_eq!(initiator.receive().status(), (0x02, vec![0x0b, 0x08, 0x01]));
    let keys: Vec<String> = brick.seen().iter().map(|m| m.header("idempotency-key").into()).collect();
    assert!(keys.iter().all(|k| *k == keys[0] && !k.is_empty()), "one key for all attempts: {keys:?}");
    assert_eq!((head.counter("refused"), head.counter("failed")), (0, 1));
}

#[test]
fn bad_pdus_are_rejected_or_end_the_connection() {
    let brick = Brick::start(|_, m| blocks(m));
    let (_discovery, head, block) = head(&[&brick]);
    let mut initiator = Initiator::login(block, "");
    initiator.request(0x10, 0x80, &[], &[]);
    let reject = initiator.receive();
    assert_eq!((reject.header[0], reject.header[2], reject.data.len()), (0x3f, 0x03, 48), "SNACK");
    initiator.request(0x1c, 0x80, &[], &[]);
    assert_eq!(initiator.receive().header[2], 0x05, "not supported");
    initiator.request(0x44, 0x80, &[(20, u32::MAX)], b"no pair\0");
    assert_eq!(initiator.receive().header[2], 0x04, "a text without a value");
    initiator.command += 1;
    initiator.read(1, 0, 1);
    assert_eq!(initiator.receive().header[2], 0x04, "a gap in CmdSN");
    assert!(initiator.next().is_none(), "closed");

    let mut initiator = Initiator::login(block, "ImmediateData=No\0");
    initiator.write(1, 0, 1, &[1; 512]);
    assert_eq!((initiator.receive().header[2], initiator.next().is_none()), (0x04, true), "data not agreed");
    let mut initiator = Initiator::connect(block);
    let answer = initiator.log_in(0x87, "InitiatorName=iqn.x\0TargetName=iqn.other\0");
    assert_eq!((answer.at(36) >> 16, initiator.next().is_none()), (0x0203, true), "not found");
    let mut initiator = Initiator::connect(block);
    initiator.request(0x01, 0x80, &[], &[]);
    assert!(initiator.next().is_none(), "a command before the login");
    assert_eq!((brick.seen().len(), head.counter("block_rejects")), (0, 5));
}

/// The hard case of the brief: both fronts press on the one limit at once.
#[test]
fn under_surge_http_and_block_clients_share_one_limit_and_are_refused_alike() {
    let brick = Brick::start(|_, m| match m.line.contains('?') {
        true => blocks(m),
        false => Step::Serve(b"whole".to_vec()),
    });
    let (_discovery, head, block) = head(&[&brick]);
    let mut initiator = Initiator::login(block, "iSCSIProtocolLevel=2\0");
    let mut clients: Vec<Client> = (0..8).map(|_| Client::new(head.http)).collect();
    let (mut http, mut blocks, started) = ([0u32; 2], [0u32; 2], std::time::Instant::now());
    let mut advice = (Vec::new(), Vec::new());
    for round in 0..4 {
        // The limit's store goes to whoever comes first, so the fronts take turns at that, and each turn
        // finds what came in since the last.
        std::thread::sleep(Duration::from_millis(1200));
        for http_now in [round % 2 == 0, round % 2 != 0] {
            let taken = head.counter("taken");
            for client in &mut clients {
                match http_now {
                    true => client.send(&Client::request("play-fetch", "community", 2, 2.0, 0), b""),
                    false => {
                        initiator.read(0, 0, 32);
                    }
                }
            }
            wait(|| (head.counter("taken") == taken + 8).then_some(()));
        }
        for client in &mut clients {
            let answer = client.answer().expect("an answer");
            http[usize::from(answer.status() == 503)] += 1;
            if answer.status() == 503 {
                advice.0.push(answer.header("retry-after").parse::<f64>().unwrap_or(0.0));
            }
        }
        for _ in 0..8 {
            let (data, end) = initiator.data_in();
            let (status, _) = end.status();
            assert!(status == 0 && data.len() == 32 * 512 || status == 0x08 && data.is_empty(), "{status}");
            blocks[usize::from(status == 0x08)] += 1;
            if status == 0x08 {
                advice.1.push(end.at(8) >> 16);
            }
        }
    }
    assert_eq!((http.iter().sum::<u32>(), blocks.iter().sum::<u32>()), (32, 32), "one answer each");
    assert!(http[0] > 0 && blocks[0] > 0 && http[1] > 0 && blocks[1] > 0, "{http:?} {blocks:?}");
    let allowed = 40.0 + 8.0 + 4.0 * started.elapsed().as_secs_f64();
    assert!(2.0 * f64::from(http[0] + blocks[0]) <= allowed, "the plan's limit holds for both together");
    assert!(advice.0.iter().all(|wait| (0.001..10.0).contains(wait)), "{advice:?}");
    assert!(advice.1.iter().all(|steps| (1..100).contains(steps)), "{advice:?}");
    assert_eq!(u64::from(http[1] + blocks[1]), head.counter("refused"));
    assert_eq!(u64::from(blocks[1]), head.counter("block_busy"));
}

#[test]
fn at_the_end_a_session_gets_its_answer_and_is_asked_to_log_out() {
    let slow = Duration::from_millis(50);
    let brick = Brick::start(move |_, m| Step::After(slow, Box::new(blocks(m))));
    let (_discovery, mut head, block) = head(&[&brick]);
    let mut initiator = Initiator::login(block, "");
    head.signal("-TERM");
    let event = loop {
        initiator.write(1, 0, 1, &[1; 512]);
        let pdu = initiator.receive();
        if pdu.header[0] != 0x21 {
            break pdu;
        }
        assert_eq!(pdu.status().0, 0, "served until the end is near");
    };
    assert_eq!((event.header[0], event.header[36]), (0x32, 1), "an asynchronous message: log out");
    assert_eq!(initiator.receive().status().0, 0);
    assert!(initiator.next().is_none());
    assert!(head.ended());
}

#[test]
fn a_full_window_lets_only_immediate_commands_in_and_they_find_the_task_set_full() {
    let brick = Brick::start(|_, _| Step::Silent);
    let (_discovery, head, block) = head(&[&brick]);
    let mut initiator = Initiator::login(block, "");
    for _ in 0..9 {
        initiator.read(1, 0, 1);
    }
    wait(|| (head.counter("block_commands") == 8).then_some(()));
    initiator.command -= 1;
    initiator.request(0x41, 0x80 | READ, &[(8, 1 << 16), (20, 512), (32, 0x2800_0000), (40, 1 << 24)], &[]);
    let full = initiator.receive();
    assert_eq!((full.status().0, full.at(28), full.at(32)), (0x28, 9, 8), "MaxCmdSN is below ExpCmdSN");
    let ends: Vec<u8> = (0..8).map(|_| initiator.receive().status().0).collect();
    assert!(ends.iter().all(|status| *status == 0x08), "reads may be refused at their deadline: {ends:?}");
    assert_eq!(initiator.most, 16, "and the window is open again");
    assert_eq!((head.counter("block_commands"), head.counter("taken")), (9, 8), "the ninth was ignored");
}

/// What is no PDU ends the connection, and of more than is read of it nothing resets what was said before.
#[test]
fn noise_ends_a_connection_without_a_reset() {
    use std::io::{Read, Write};
    let brick = Brick::start(|_, _| Step::Serve(vec![]));
    let discovery = Discovery::start(&[entry("s-1", brick.address, 0, "ready")]);
    let head = Head::start(&discovery, Some(BLOCK), &[]);
    let mut stream = std::net::TcpStream::connect(head.block.expect("the block front")).expect("it listens");
    stream.set_read_timeout(Some(WAIT_TIMEOUT)).expect("a time-out");
    stream.write_all(&[0xff; 200_000]).expect("written");
    let ended = stream.read_to_end(&mut Vec::new());
    assert!(ended.is_ok(), "{ended:?}");
}
