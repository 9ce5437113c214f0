//! A fuzz target over the reader of frames, the budgets and the goodbye: `cargo test` runs a bounded number of inputs,
//! `cargo bolero test -p flaxgap-streams bytes_of_any_kind` as many as one likes.

use flaxgap_streams::abuse::{Allowances, Scores};
use flaxgap_streams::frames::{Head, PREFACE, Scanner};
use flaxgap_streams::goodbye::{Act, Cause, Goodbye, State};

/// Inputs in a test run.
const INPUTS: usize = 20_000;

#[test]
fn bytes_of_any_kind_are_followed_the_same_however_they_are_cut() {
    bolero::check!().with_iterations(INPUTS).for_each(|input: &[u8]| {
        let Some((cut, bytes)) = input.split_first() else { return };
        let all = [PREFACE, bytes].concat();
        let follow = |pieces: &[&[u8]]| {
            let (mut scanner, mut heads, mut passed) = (Scanner::default(), Vec::new(), 0);
            let mut scores = Scores::new(Allowances::default(), 0.0);
            for piece in pieces {
                let taken = scanner.take(piece, |head: Head| {
                    heads.push(head);
                    head.fits() && scores.count(0.0, &head).is_none()
                });
                passed += taken.expect("the preface is right");
            }
            (heads, passed)
        };
        let (whole, passed) = follow(&[&all]);
        let (first, rest) = all.split_at(usize::from(*cut).min(all.len()));
        let (parts, passed_in_parts) = follow(&[first, rest]);
        assert_eq!(whole, parts);
        // Cut within a frame's head, its first bytes have been passed on before it was known.
        assert!(passed <= all.len() && passed_in_parts.abs_diff(passed) < 9);
        assert!(whole.iter().rev().skip(1).all(Head::fits), "nothing is seen past a frame that can't be");
    });
}

#[test]
fn a_goodbye_goes_one_way_whatever_happens() {
    bolero::check!().with_iterations(INPUTS).for_each(|steps: &[u8]| {
        let (mut goodbye, mut now, mut announced) = (Goodbye::new(5.0, 2.0, 0.0), 0.0, 0);
        let mut open: usize = 0;
        for step in steps {
            let before = goodbye.state();
            let act = match step % 5 {
                0 => {
                    goodbye.opened();
                    open += 1;
                    Act::Wait
                }
                1 => {
                    goodbye.closed(now);
                    open = open.saturating_sub(1);
                    Act::Wait
                }
                2 => goodbye.leave(now, Cause::Drain),
                3 => goodbye.look(now),
                _ => {
                    now += f64::from(*step) / 50.0;
                    Act::Wait
                }
            };
            announced += usize::from(act == Act::Announce);
            assert!(announced <= 1, "the notice is given once");
            assert_eq!(goodbye.streams(), open);
            match (before, goodbye.state()) {
                (State::Open, State::Over) => panic!("cut off without a notice"),
                (State::Leaving { until }, State::Over) => assert!(now >= until && act == Act::Cut),
                (State::Leaving { .. } | State::Over, State::Open) => panic!("back in service"),
                _ => {}
            }
        }
    });
}
