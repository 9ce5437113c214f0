//! Fuzz targets for the frame scanner, the rate limits and the graceful shutdown. `cargo test` runs [`INPUTS`] inputs,
//! `cargo bolero test -p flaxgap-streams bytes_of_any_kind` runs until it is stopped.

use flaxgap_streams::abuse::{FrameBudgets, FrameLimits};
use flaxgap_streams::frames::{FrameHeader, PREFACE, Scanner};
use flaxgap_streams::graceful_shutdown::{Action, Cause, GracefulShutdown, State};

/// Number of inputs that a test run generates.
const INPUTS: usize = 20_000;

#[test]
fn bytes_of_any_kind_are_followed_the_same_however_they_are_cut() {
    bolero::check!().with_iterations(INPUTS).for_each(|input: &[u8]| {
        let Some((cut, bytes)) = input.split_first() else { return };
        let all = [PREFACE, bytes].concat();
        let follow = |pieces: &[&[u8]]| {
            let (mut scanner, mut headers, mut passed) = (Scanner::default(), Vec::new(), 0);
            let mut budgets = FrameBudgets::new(FrameLimits::default(), 0.0);
            for piece in pieces {
                let allowed = scanner.scan(piece, |header: FrameHeader| {
                    headers.push(header);
                    header.has_valid_length() && budgets.count(0.0, &header).is_none()
                });
                passed += allowed.expect("the preface is valid");
            }
            (headers, passed)
        };
        let (whole, passed) = follow(&[&all]);
        let (first, rest) = all.split_at(usize::from(*cut).min(all.len()));
        let (parts, passed_in_parts) = follow(&[first, rest]);
        assert_eq!(whole, parts);
        // If the bytes are split within a frame header, its first part is passed on before the header is complete.
        assert!(passed <= all.len() && passed_in_parts.abs_diff(passed) < 9);
        assert!(
            whole.iter().rev().skip(1).all(FrameHeader::has_valid_length),
            "scanning stops at a frame of invalid length"
        );
    });
}

#[test]
fn a_shutdown_never_returns_to_service() {
    bolero::check!().with_iterations(INPUTS).for_each(|steps: &[u8]| {
        let (mut shutdown, mut now, mut announced) = (GracefulShutdown::new(5.0, 2.0, 0.0), 0.0, 0);
        let mut open: usize = 0;
        for step in steps {
            let before = shutdown.state();
            let action = match step % 5 {
                0 => {
                    shutdown.stream_opened();
                    open += 1;
                    Action::None
                }
                1 => {
                    shutdown.stream_closed(now);
                    open = open.saturating_sub(1);
                    Action::None
                }
                2 => shutdown.begin(now, Cause::Drain),
                3 => shutdown.poll(now),
                _ => {
                    now += f64::from(*step) / 50.0;
                    Action::None
                }
            };
            announced += usize::from(action == Action::SendGoaway);
            assert!(announced <= 1, "GOAWAY is sent once");
            assert_eq!(shutdown.streams(), open);
            match (before, shutdown.state()) {
                (State::Open, State::Closed) => panic!("closed without GOAWAY"),
                (State::Draining { until }, State::Closed) => {
                    assert!(now >= until && action == Action::Close)
                }
                (State::Draining { .. } | State::Closed, State::Open) => panic!("back in service"),
                _ => {}
            }
        }
    });
}
