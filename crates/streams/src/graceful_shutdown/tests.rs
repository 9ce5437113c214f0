//! Tests of the shutdown of connections.

use super::*;

#[test]
fn a_shutdown_begins_once_and_closes_the_connection_after_the_grace_time() {
    let mut shutdown = GracefulShutdown::new(30.0, 4.0, 0.0);
    shutdown.stream_opened();
    assert_eq!((shutdown.deadline(), shutdown.poll(100.0)), (None, Action::None), "a stream is open");
    assert_eq!(shutdown.begin(100.0, Cause::Drain), Action::SendGoaway);
    assert_eq!(shutdown.begin(101.0, Cause::Reclaimed), Action::None, "GOAWAY is sent once");
    assert_eq!(shutdown.poll(103.0), Action::None);
    assert_eq!(
        (shutdown.poll(104.0), shutdown.state()),
        (Action::Close, State::Closed),
        "the client ignores the GOAWAY"
    );
    assert_eq!((shutdown.poll(200.0), shutdown.cause()), (Action::None, Some(Cause::Drain)));
}

#[test]
fn an_idle_connection_shuts_down_and_one_in_use_does_not() {
    let mut shutdown = GracefulShutdown::new(30.0, 4.0, 0.0);
    shutdown.stream_opened();
    shutdown.stream_closed(20.0);
    assert_eq!(shutdown.poll(49.0), Action::None);
    assert_eq!((shutdown.poll(50.0), shutdown.cause()), (Action::SendGoaway, Some(Cause::Idle)));
    assert_eq!(shutdown.poll(54.0), Action::Close);
}

/// Guards against descriptors that stay taken for the whole grace time, and against streams that are cut off for them.
#[test]
fn a_reclaimed_connection_closes_soon_unless_a_stream_is_open() {
    let mut shutdown = GracefulShutdown::new(30.0, 4.0, 0.0);
    assert_eq!(shutdown.begin(10.0, Cause::Reclaimed), Action::SendGoaway);
    shutdown.stream_opened();
    assert_eq!(shutdown.poll(13.9), Action::None, "the stream was in transit");
    shutdown.stream_closed(13.0);
    assert_eq!(shutdown.poll(13.05), Action::None, "its last frames are being sent");
    assert_eq!(shutdown.poll(13.1), Action::Close);
    let mut draining = GracefulShutdown::new(30.0, 4.0, 0.0);
    draining.begin(10.0, Cause::Drain);
    assert_eq!(draining.begin(11.0, Cause::Reclaimed), Action::None, "GOAWAY is sent once");
    assert_eq!(draining.poll(11.1), Action::Close);
}

/// Guards against streams that are cut off by a short grace time while the program still answers them.
#[test]
fn a_connection_is_kept_open_past_its_grace_time_while_the_program_answers() {
    let mut shutdown = GracefulShutdown::new(30.0, 0.1, 0.0);
    shutdown.keep_open_until(50.0);
    assert_eq!(shutdown.deadline(), Some(30.0), "it does not shut down yet");
    shutdown.stream_opened();
    shutdown.begin(10.0, Cause::Drain);
    shutdown.keep_open_until(12.0);
    shutdown.keep_open_until(11.0);
    assert_eq!(shutdown.poll(11.9), Action::None);
    assert_eq!(shutdown.poll(12.0), Action::Close);
}
