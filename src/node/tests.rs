//! The gate, with its private parts.

use super::*;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

/// Guards against any order of news and steps of an attempt in which a first byte goes to a node that has left or moved:
/// orders drawn from seeds, each against what the last news said. What has begun goes on.
#[test]
fn in_no_order_of_news_and_steps_does_a_first_byte_go_to_a_node_that_left() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    runtime.block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address");
        let counters = Rc::new(Counters::default());
        let nodes = Nodes::new(Budget::new(100, counters.clone()), Memory::new(32), counters, 5.0, 15.0, 1);
        let node = NodeId(1);
        let (mut written, mut stopped) = (0, 0);
        for seed in 1..=300u64 {
            let mut state = seed.wrapping_mul(0x9E37_79B9_7F4A_7C15);
            let mut draw = |most: u64| {
                state ^= state << 13;
                state ^= state >> 7;
                state ^= state << 17;
                (state >> 11) % most
            };
            // Whether it takes work at its first address, as the last news had it.
            let mut news = |ready: &mut bool| {
                let kind = draw(5);
                let other = SocketAddr::from(([127, 0, 0, 2], address.port()));
                let place = |address, state| Place { name: "s-1".into(), address, state };
                match kind {
                    0 => nodes.forget(node),
                    1 => nodes.place(node, place(address, NodeState::Draining)),
                    2 => nodes.place(node, place(other, NodeState::Ready)),
                    _ => nodes.place(node, place(address, NodeState::Ready)),
                }
                *ready = kind > 2;
            };
            let mut ready = false;
            news(&mut ready);
            let at = nodes.pools.borrow().places.get(&node).map(|(place, _)| place.address);
            let (pools, counters) = (nodes.pools.clone(), nodes.counters.clone());
            let permit = Rc::new(Permit::until(Instant::now() + Duration::from_secs(60)));
            let gate = Gate { pools, counters, node, address: at, permit };
            if gate.admits(Stage::Chosen, None).is_err() || at != Some(address) {
                assert!(!ready, "seed {seed}");
                continue;
            }
            assert!(ready, "seed {seed}");
            news(&mut ready);
            let stream = TcpStream::connect(address).await.expect("a connection");
            let (mut peer, _) = listener.accept().await.expect("a connection");
            assert_eq!(gate.admits(Stage::Connected, None).is_ok(), ready, "seed {seed}");
            // Where the second look is missed, the third one holds.
            news(&mut ready);
            let progress = Rc::new(Progress::default());
            progress.restart(true, gate);
            let mut wire = Watched { stream, progress };
            let held_back = nodes.counters.held_back.get();
            let begins = wire.write_all(b"GET").await.is_ok();
            assert_eq!((begins, nodes.counters.held_back.get()), (ready, held_back + u64::from(!ready)));
            nodes.forget(node);
            assert_eq!(wire.write_all(b" /").await.is_ok(), ready, "seed {seed}");
            drop(wire);
            let mut seen = Vec::new();
            peer.read_to_end(&mut seen).await.expect("its end");
            assert_eq!(seen, if ready { b"GET /".as_slice() } else { b"" }, "seed {seed}");
            (written, stopped) = (written + u32::from(ready), stopped + u32::from(!ready));
        }
        assert!(written > 30 && stopped > 30, "{written} written, {stopped} stopped");
    });
}
