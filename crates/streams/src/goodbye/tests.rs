//! Tests of this module's private parts.

use super::*;

#[test]
fn a_connection_leaves_once_and_is_cut_off_at_the_end_of_its_time() {
    let mut goodbye = Goodbye::new(30.0, 4.0, 0.0);
    goodbye.opened();
    assert_eq!((goodbye.due(), goodbye.look(100.0)), (None, Act::Wait), "a stream is open");
    assert_eq!(goodbye.leave(100.0, Cause::Drain), Act::Announce);
    assert_eq!(goodbye.leave(101.0, Cause::Reclaimed), Act::Wait, "said once");
    assert_eq!(goodbye.look(103.0), Act::Wait);
    assert_eq!((goodbye.look(104.0), goodbye.state()), (Act::Cut, State::Over), "it ignores the notice");
    assert_eq!((goodbye.look(200.0), goodbye.cause()), (Act::Wait, Some(Cause::Drain)));
}

#[test]
fn an_idle_connection_leaves_by_itself_and_one_in_use_does_not() {
    let mut goodbye = Goodbye::new(30.0, 4.0, 0.0);
    goodbye.opened();
    goodbye.closed(20.0);
    assert_eq!(goodbye.look(49.0), Act::Wait);
    assert_eq!((goodbye.look(50.0), goodbye.cause()), (Act::Announce, Some(Cause::Idle)));
    assert_eq!(goodbye.look(54.0), Act::Cut);
}
