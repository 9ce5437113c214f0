//! Encoding and decoding of handover messages.

use super::{MAX_MESSAGE_BYTES, Message, MessageDecoder};
use crate::core::RequestKey;

/// Guards against a change to the encoding, which would break handovers to and from processes of earlier versions.
#[test]
fn encoding_matches_earlier_versions() {
    let messages = [
        (Message::Sockets, &b"here\n"[..]),
        (Message::Ready, b"ready\n"),
        (Message::ExclusionsChanged, b"bans\n"),
        (Message::OverridesChanged, b"pins\n"),
        (Message::IdClaimed(RequestKey(0x9b1f_03aa_5c7e_2d41)), b"id 9b1f03aa5c7e2d41\n"),
    ];
    for (message, text) in messages {
        assert_eq!(&message.encode()[..], text);
        let mut decoder = MessageDecoder::default();
        decoder.push(text);
        assert_eq!(decoder.next().and_then(Result::ok), Some(message));
    }
}

/// Guards against messages lost when a read returns part of a line or several lines, and against an unknown message
/// that stops the decoder.
#[test]
fn split_messages_are_reassembled_and_unknown_ones_are_reported() {
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
