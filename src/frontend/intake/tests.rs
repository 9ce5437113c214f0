//! When a connection may end, by its private parts.

use super::*;
use tokio::net::TcpListener;

/// An answer is out of the service but not with the system yet, its client being slow: no idle time runs, and the
/// connection does not rest. Both begin once the system has it all.
#[tokio::test]
async fn a_connection_rests_and_is_idle_only_once_its_answer_is_with_the_system() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let stream = TcpStream::connect(listener.local_addr().expect("an address")).await.expect("a connection");
    let conversation = Conversation::new(Rc::new(stream), Rc::new(Counters::default()));
    assert!(conversation.rests() && conversation.fresh() && conversation.due().is_some());
    conversation.coming();
    assert!(!conversation.rests() && !conversation.fresh() && conversation.due().is_some());
    conversation.handed_on(false, false);
    assert!(!conversation.rests());
    conversation.serving();
    assert!(!conversation.rests() && conversation.due().is_none());
    conversation.answered();
    assert!(!conversation.rests() && conversation.due().is_none(), "some of it is still to be written");
    conversation.room(false);
    assert!(conversation.due().is_some(), "a client that takes nothing is not waited for without end");
    conversation.room(true);
    conversation.flushed();
    assert!(conversation.rests() && conversation.due().is_some_and(|due| due > Instant::now() + IDLE / 2));
}
