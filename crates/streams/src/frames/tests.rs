//! Tests of this module's private parts.

use super::*;
use proptest::prelude::*;

fn heads(pieces: &[&[u8]]) -> Result<Vec<Head>, NotHttp2> {
    let (mut scanner, mut all) = (Scanner::default(), Vec::new());
    for piece in pieces {
        scanner.take(piece, |head| {
            all.push(head);
            true
        })?;
    }
    Ok(all)
}

#[test]
fn other_protocols_are_told_apart() {
    assert_eq!(heads(&[b"GET / HTTP/1.1\r\n"]), Err(NotHttp2::Http1));
    assert_eq!(heads(&[b"P", b"UT /x"]), Err(NotHttp2::Http1));
    assert_eq!(heads(&[&[22, 3, 1]]), Err(NotHttp2::Tls));
    assert_eq!(heads(&[b"\0\0"]), Err(NotHttp2::Other));
    assert_eq!(heads(&[b"PRI * HTTP/2.0\r\n\r\nXX"]), Err(NotHttp2::Other));
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, failure_persistence: None, ..ProptestConfig::default() })]

    /// However the bytes are cut, the same heads are seen.
    #[test]
    fn frames_are_followed_however_they_are_cut(
        frames in proptest::collection::vec((0u32..300, 0u8..12, any::<u8>(), 0u32..0x7fff_ffff), 0..20),
        cuts in proptest::collection::vec(1usize..40, 1..60),
    ) {
        let wanted: Vec<Head> =
            frames.iter().map(|(length, kind, flags, stream)| Head { length: *length, kind: *kind, flags: *flags, stream: *stream }).collect();
        let mut bytes = PREFACE.to_vec();
        for head in &wanted {
            bytes.extend(head.write());
            bytes.extend(vec![0xff; head.length as usize]);
        }
        let (mut pieces, mut rest, mut turn) = (Vec::new(), &bytes[..], 0);
        while !rest.is_empty() {
            let (piece, after) = rest.split_at(cuts[turn % cuts.len()].min(rest.len()));
            pieces.push(piece);
            (rest, turn) = (after, turn + 1);
        }
        prop_assert_eq!(heads(&pieces), Ok(wanted));
    }

    /// No bytes at all bring it down.
    #[test]
    fn any_bytes_are_followed_or_turned_down(bytes in proptest::collection::vec(any::<u8>(), 0..200)) {
        let _ = heads(&[PREFACE, &bytes]);
        let _ = heads(&[&bytes]);
    }
}
