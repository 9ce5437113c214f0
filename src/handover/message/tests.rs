//! Tests of the codec.

use super::{MAX_MESSAGE_BYTES, Message, MessageDecoder};

/// Guards against a change of what processes of earlier versions send and understand.
#[test]
fn the_texts_are_those_of_earlier_versions() {
    let texts = Message::ALL.map(Message::encode);
    assert_eq!(texts, [&b"here\n"[..], b"ready\n", b"bans\n", b"pins\n"]);
}

#[test]
fn messages_are_decoded_however_they_are_cut_and_unknown_ones_are_skipped() {
    let mut decoder = MessageDecoder::default();
    decoder.push(b"rea");
    assert!(decoder.next().is_none(), "half a message");
    decoder.push(b"dy\nwhat\npins\nba");
    assert_eq!(decoder.next().and_then(Result::ok), Some(Message::Ready));
    assert!(decoder.next().is_some_and(|unknown| unknown.is_err()));
    assert_eq!(decoder.next().and_then(Result::ok), Some(Message::OverridesChanged));
    assert!(decoder.next().is_none() && !decoder.is_too_long());
    decoder.push(&[b'x'; MAX_MESSAGE_BYTES]);
    assert!(decoder.next().is_none() && decoder.is_too_long());
}
