use super::*;

/// Given a long turn and short ones after it, when a window passes, and another, then the figure still tells of it after
/// the first and no more after the second.
#[test]
fn a_long_turn_is_told_for_one_window_or_two() {
    let longest = LongestTurn::default();
    let start = Instant::now();
    let (long, short) = (Duration::from_millis(120), Duration::from_micros(40));
    longest.record(long, start);
    longest.record(short, start + WINDOW / 2);
    assert_eq!(longest.get(), long);
    longest.record(short, start + WINDOW);
    assert_eq!(longest.get(), long);
    longest.record(short, start + WINDOW * 2);
    assert_eq!(longest.get(), short);
}

/// Given a head that rested for several windows, when it turns again, then an old long turn is no longer told.
#[test]
fn a_turn_before_a_long_rest_is_forgotten() {
    let longest = LongestTurn::default();
    let start = Instant::now();
    longest.record(Duration::from_millis(120), start);
    longest.record(Duration::from_micros(40), start + WINDOW * 5);
    assert_eq!(longest.get(), Duration::from_micros(40));
}

/// Given a program that blocks in one of its turns, when it is measured, then that turn is counted and told.
#[test]
fn a_blocking_turn_is_counted() {
    let counters = Rc::new(Counters::default());
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    let program = async {
        tokio::task::yield_now().await;
        std::thread::sleep(LONG_TURN);
        tokio::task::yield_now().await;
    };
    runtime.block_on(MeasuredTurns::new(program, counters.clone()));
    assert_eq!(counters.long_turns.get(), 1);
    assert!(counters.longest_turn.get() >= LONG_TURN);
}
