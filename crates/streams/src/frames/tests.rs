//! Tests of the frame scanner.

use super::*;
use proptest::prelude::*;

fn scan(pieces: &[&[u8]]) -> Result<Vec<FrameHeader>, NotHttp2> {
    let (mut scanner, mut headers) = (Scanner::default(), Vec::new());
    for piece in pieces {
        scanner.scan(piece, |header| {
            headers.push(header);
            true
        })?;
    }
    Ok(headers)
}

#[test]
fn other_protocols_are_recognized() {
    assert_eq!(scan(&[b"GET / HTTP/1.1\r\n"]), Err(NotHttp2::Http1));
    assert_eq!(scan(&[b"P", b"UT /x"]), Err(NotHttp2::Http1));
    assert_eq!(scan(&[&[22, 3, 1]]), Err(NotHttp2::Tls));
    assert_eq!(scan(&[b"\0\0"]), Err(NotHttp2::Other));
    assert_eq!(scan(&[b"PRI * HTTP/2.0\r\n\r\nXX"]), Err(NotHttp2::Other));
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, failure_persistence: None, ..ProptestConfig::default() })]

    /// The same frame headers are found however the bytes are split into reads.
    #[test]
    fn frames_are_found_however_the_bytes_are_split(
        frames in proptest::collection::vec((0u32..300, 0u8..12, any::<u8>(), 0u32..0x7fff_ffff), 0..20),
        cuts in proptest::collection::vec(1usize..40, 1..60),
    ) {
        let wanted: Vec<FrameHeader> =
            frames.iter().map(|(length, kind, flags, stream)| FrameHeader { length: *length, kind: *kind, flags: *flags, stream: *stream }).collect();
        let mut bytes = PREFACE.to_vec();
        for header in &wanted {
            bytes.extend(header.encode());
            bytes.extend(vec![0xff; header.length as usize]);
        }
        let (mut pieces, mut rest, mut turn) = (Vec::new(), &bytes[..], 0);
        while !rest.is_empty() {
            let (piece, after) = rest.split_at(cuts[turn % cuts.len()].min(rest.len()));
            pieces.push(piece);
            (rest, turn) = (after, turn + 1);
        }
        prop_assert_eq!(scan(&pieces), Ok(wanted));
    }

    /// No input makes the scanner panic.
    #[test]
    fn any_bytes_are_scanned_or_rejected(bytes in proptest::collection::vec(any::<u8>(), 0..200)) {
        let _ = scan(&[PREFACE, &bytes]);
        let _ = scan(&[&bytes]);
    }
}
