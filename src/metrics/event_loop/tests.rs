use super::*;

/// Guards against a maximum that is lost at the first change of window, before an exporter has read it, or that never
/// expires.
#[test]
fn a_long_turn_is_reported_for_one_to_two_windows() {
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

/// Guards against reporting an old turn as recent after an idle time of several windows.
#[test]
fn a_turn_before_several_idle_windows_is_discarded() {
    let longest = LongestTurn::default();
    let start = Instant::now();
    longest.record(Duration::from_millis(120), start);
    longest.record(Duration::from_micros(40), start + WINDOW * 5);
    assert_eq!(longest.get(), Duration::from_micros(40));
}

/// A future that blocks the thread in one poll counts as one long turn.
#[test]
fn a_blocking_turn_is_counted() {
    let counters = Rc::new(Counters::default());
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    let program = async {
        tokio::task::yield_now().await;
        std::thread::sleep(LONG_TURN);
        tokio::task::yield_now().await;
    };
    runtime.block_on(MeasuredTurns::new(program, TurnLog::start(), counters.clone()));
    assert_eq!(counters.long_turns.get(), 1);
    assert!(counters.longest_turn.get() >= LONG_TURN);
}

/// Guards against a turn that is taken for the one before it while it lasts: an event that it finds is older.
#[test]
fn within_a_turn_the_log_has_the_turns_before_it() {
    let counters = Rc::new(Counters::default());
    let turns = TurnLog::start();
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    let program = async {
        tokio::task::yield_now().await;
        let long_turn_began = Instant::now();
        std::thread::sleep(LONG_TURN);
        tokio::task::yield_now().await;
        let RecentTurns { before_previous_ended, previous_began, previous_ended } = turns.recent();
        assert!(before_previous_ended <= previous_began && previous_began <= long_turn_began);
        assert!(previous_ended >= long_turn_began + LONG_TURN && previous_ended <= Instant::now());
    };
    runtime.block_on(MeasuredTurns::new(program, turns.clone(), counters));
}
