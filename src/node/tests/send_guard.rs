//! The send guard: no first byte is written to a node that accepts no more requests, nor with an expired permit.

use super::*;
use crate::core::{SendPermit, ShutdownDeadline, WriteProgress};
use crate::node::guard::Stage;
use std::cell::Cell;
use tokio::io::{AsyncReadExt, AsyncWriteExt};

/// Pseudo-random numbers (xorshift64), reproducible from a seed.
struct Random {
    state: u64,
}

impl Random {
    fn new(seed: u64) -> Random {
        Random { state: seed.wrapping_mul(0x9E37_79B9_7F4A_7C15) }
    }

    fn below(&mut self, bound: u64) -> u64 {
        self.state ^= self.state << 13;
        self.state ^= self.state >> 7;
        self.state ^= self.state << 17;
        (self.state >> 11) % bound
    }
}

/// Applies a random update to the node, and returns whether the node is ready at `address` afterwards.
fn random_update(transport: &NodeTransport, address: SocketAddr, random: &mut Random) -> bool {
    let other_address = SocketAddr::from(([127, 0, 0, 2], address.port()));
    match random.below(5) {
        0 => transport.remove_node(NODE),
        1 => transport.set_address(NODE, node_address(address, NodeState::Draining)),
        2 => transport.set_address(NODE, node_address(other_address, NodeState::Ready)),
        _ => {
            transport.set_address(NODE, node_address(address, NodeState::Ready));
            return true;
        }
    }
    false
}

/// Guards against a first byte written to a node that drained, was removed or moved while the attempt connected.
/// Sequences of updates are generated from seeds; at each stage of the attempt, the guard's decision is compared with
/// the last update. A request that has begun continues.
#[test]
fn no_first_byte_is_written_to_a_node_that_drained_was_removed_or_moved() {
    run(async {
        let (listener, address) = listen().await;
        let (transport, counters) = empty_transport();
        let mut written = 0;
        let mut refused = 0;
        for seed in 1..=300u64 {
            let mut random = Random::new(seed);
            let mut is_ready = random_update(&transport, address, &mut random);
            let guard =
                transport.send_guard(NODE, Bytes::new(), &Rc::new(SendPermit::expiring_at(far_future())));
            if guard.check(Stage::Chosen, None).is_err() || guard.address != Some(address) {
                assert!(!is_ready, "seed {seed}");
                continue;
            }
            assert!(is_ready, "seed {seed}");
            is_ready = random_update(&transport, address, &mut random);
            let (stream, mut node_side) = connect(&listener).await;
            assert_eq!(guard.check(Stage::Connected, None).is_ok(), is_ready, "seed {seed}");
            // Whatever the check at `Connected` returned, the one at the first byte decides.
            is_ready = random_update(&transport, address, &mut random);
            let mut stream = guarded_stream(stream, guard, &counters);
            let held_back_before = counters.held_back.get();
            assert_eq!(stream.write_all(b"GET").await.is_ok(), is_ready, "seed {seed}");
            assert_eq!(counters.held_back.get() - held_back_before, u64::from(!is_ready), "seed {seed}");
            transport.remove_node(NODE);
            assert_eq!(stream.write_all(b" /").await.is_ok(), is_ready, "seed {seed}");
            drop(stream);
            let mut received = Vec::new();
            node_side.read_to_end(&mut received).await.expect("connection did not end");
            assert_eq!(received, if is_ready { b"GET /".as_slice() } else { b"" }, "seed {seed}");
            written += u32::from(is_ready);
            refused += u32::from(!is_ready);
        }
        assert!(written > 30 && refused > 30, "{written} written, {refused} refused");
    });
}

/// The change that expires a permit before the first byte.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Change {
    Nothing,
    DeadlinePasses,
    RetryWindowEnds,
    ShutdownDeadlinePasses,
    ClientDisconnects,
}

impl Change {
    const ALL: [Change; 5] = [
        Change::Nothing,
        Change::DeadlinePasses,
        Change::RetryWindowEnds,
        Change::ShutdownDeadlinePasses,
        Change::ClientDisconnects,
    ];

    /// Value of the counter of requests that were not sent because of this change.
    fn count(self, counters: &Counters) -> u64 {
        match self {
            Change::Nothing => 0,
            Change::DeadlinePasses => counters.held_back_deadline.get(),
            Change::RetryWindowEnds => counters.held_back_window.get(),
            Change::ShutdownDeadlinePasses => counters.held_back_end.get(),
            Change::ClientDisconnects => counters.held_back_client.get(),
        }
    }
}

/// Guards against a first byte written with an expired permit. One condition of the permit changes before or after the
/// guard's check at `Connected`: no byte is written, and the reason is counted. Without a change, the request is sent.
#[test]
fn no_first_byte_is_written_with_an_expired_permit() {
    run(async {
        let (listener, address) = listen().await;
        let (transport, counters) = transport_to(address);
        for (round, change) in Change::ALL.into_iter().cycle().take(200).enumerate() {
            let changes_before_check = round % 2 == 0;
            let now = Instant::now();
            let client_connected = Rc::new(Cell::new(true));
            let client_state = client_connected.clone();
            let shutdown_deadline = Rc::<ShutdownDeadline>::default();
            let permit = Rc::new(SendPermit {
                expires_at: if change == Change::DeadlinePasses { now } else { far_future() },
                retry_window_ends_at: Some(if change == Change::RetryWindowEnds {
                    now
                } else {
                    far_future()
                }),
                shutdown_deadline: shutdown_deadline.clone(),
                client: Some(Rc::new(ScriptedClient::new(move || client_state.get()))),
                upload: None,
                ..SendPermit::expiring_at(far_future())
            });
            let apply_change = || match change {
                Change::ShutdownDeadlinePasses => shutdown_deadline.set(now),
                Change::ClientDisconnects => client_connected.set(false),
                _ => {}
            };
            if changes_before_check {
                apply_change();
            }
            let count_before = change.count(&counters);
            let guard = transport.send_guard(NODE, Bytes::new(), &permit);
            assert_eq!(
                guard.check(Stage::Connected, None),
                Ok(()),
                "the permit is checked only at the first byte"
            );
            let (stream, mut node_side) = connect(&listener).await;
            let mut stream = guarded_stream(stream, guard, &counters);
            apply_change();
            let has_begun = stream.write_all(b"GET /").await.is_ok();
            let _ = stream.flush().await;
            drop(stream);
            let mut received = Vec::new();
            node_side.read_to_end(&mut received).await.expect("connection did not end");
            let is_sent = change == Change::Nothing;
            assert_eq!(has_begun, is_sent, "round {round}, {change:?}");
            assert_eq!(received.len(), if is_sent { 5 } else { 0 }, "round {round}, {change:?}");
            assert_eq!(change.count(&counters) - count_before, u64::from(!is_sent), "{change:?}");
            let written = if is_sent { WriteProgress::Complete } else { WriteProgress::Nothing };
            assert_eq!(permit.written.get(), written, "round {round}, {change:?}");
        }
    });
}
