//! Tests of signals that wait to be handled.

use super::*;
use std::time::Duration;

fn noticed(command: SignalCommand, noticed_at: Instant) -> NoticedSignal {
    NoticedSignal { command, noticed_at, earliest_sent_at: noticed_at }
}

/// Guards against a shutdown that is lost or postponed behind any number of other signals, and against one that is counted
/// from a later SIGTERM.
#[test]
fn a_shutdown_goes_before_all_other_signals_and_is_counted_from_the_first() {
    let (pending, start) = (PendingSignals::default(), Instant::now());
    for _ in 0..1000 {
        pending.add(noticed(SignalCommand::Reload, start));
        pending.add(noticed(SignalCommand::LogCounters, start));
    }
    pending.add(noticed(SignalCommand::Shutdown, start));
    pending.add(noticed(SignalCommand::Shutdown, start + Duration::from_secs(1)));
    let taken: Vec<_> = std::iter::from_fn(|| pending.take()).collect();
    let commands: Vec<_> = taken.iter().map(|signal| signal.command).collect();
    assert_eq!(commands, [SignalCommand::Shutdown, SignalCommand::Reload, SignalCommand::LogCounters]);
    assert_eq!(taken[0].noticed_at, start);
}
