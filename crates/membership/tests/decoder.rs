//! Tests that lists are decoded in any layout, split at any byte, and before or after malformed input.

use flaxgap_membership::decoder::{DecodeError, Decoded, ListDecoder, MAX_LIST_BYTES};
use flaxgap_membership::list::{EndpointList, NodeState};

const ENTRY: &str =
    r#"{"uid":"s-}\"{\n[","endpoint":"127.0.0.1:80","az":"a]","pod_group":1,"state":"draining","boot_ms":0}"#;

fn compact(rev: u64) -> String {
    format!(r#"{{"rev":{rev},"all":false,"targets":[{ENTRY}]}}"#)
}

fn indented(rev: u64) -> String {
    let value: serde_json::Value = serde_json::from_str(&compact(rev)).expect("a value");
    serde_json::to_string_pretty(&value).expect("a text")
}

/// Decodes a stream that arrives in `pieces`. Returns its lists and its errors.
fn decode<'a>(pieces: impl IntoIterator<Item = &'a [u8]>) -> (Vec<EndpointList>, Vec<String>) {
    let mut decoder = ListDecoder::default();
    let (mut lists, mut errors) = (Vec::new(), Vec::new());
    for piece in pieces {
        decoder.push(piece);
        while let Some(next) = decoder.next_list() {
            match next {
                Ok(Decoded::List(list, _)) => lists.push(list),
                Ok(Decoded::KnownList) => unreachable!("nothing is known"),
                Err(error) => errors.push(error.to_string()),
            }
        }
    }
    (lists, errors)
}

fn versions(lists: &[EndpointList]) -> Vec<u64> {
    lists.iter().map(|list| list.version).collect()
}

/// Decodes lists on one line, indented lists, and two lists on a line, with braces, quotes and line breaks inside
/// strings. Every list and its draining node must be decoded, wherever the stream is split into two reads.
#[test]
fn lists_in_any_layout_are_decoded_wherever_the_stream_is_split() {
    let stream = format!("\n{}\n\n{}\n{}{}\r\n\n", compact(1), indented(2), compact(3), indented(4));
    let bytes = stream.as_bytes();
    for cut in 0..=bytes.len() {
        let (lists, errors) = decode([&bytes[..cut], &bytes[cut..]]);
        assert_eq!((versions(&lists), errors), (vec![1, 2, 3, 4], vec![]), "split at {cut}");
        let drains = lists
            .iter()
            .all(|l| l.entries[0].state == NodeState::Draining && l.entries[0].name == "s-}\"{\n[");
        assert!(drains, "split at {cut}");
    }
    assert_eq!(versions(&decode(bytes.chunks(1)).0), [1, 2, 3, 4]);
}

/// Lists after malformed input are decoded as soon as they are complete, and the error is reported once, with its
/// offset, wherever the stream is split.
#[test]
fn lists_after_unreadable_input_are_decoded() {
    let cases: [(&str, &str); 7] = [
        ("{\"rev\":2,\"targets\":[{\"uid\":\"s-1\n", "byte 31: unterminated string"),
        ("no list\n", "byte 0: expected an object"),
        ("{\"rev\":2,\"targets\":[]]\n", "byte 21: mismatched brackets"),
        ("{\"rev\":2}\n", "value at byte 0: list: missing field `targets` at line 1 column 9"),
        (
            "{\n  \"rev\": 2,\n  \"targets\": [\n    {\"uid\": \"s-1\"}}\n  ]\n}\n",
            "byte 47: mismatched brackets",
        ),
        ("[1,\n2]\n", "byte 0: expected an object"),
        ("{\"rev\":2,}\n", "value at byte 0: list: trailing comma at line 1 column 10"),
    ];
    for (bad, expected) in cases {
        let stream = format!("{bad}{}\n{}\n", indented(3), compact(4));
        for cut in 0..=stream.len() {
            let (lists, errors) = decode([&stream.as_bytes()[..cut], &stream.as_bytes()[cut..]]);
            assert_eq!(
                (versions(&lists), errors),
                (vec![3, 4], vec![expected.to_string()]),
                "{bad}, split at {cut}"
            );
        }
    }
}

/// Lists after a list that was truncated between two values are decoded: the missing comma shows where the truncated
/// list ends.
#[test]
fn truncated_list_does_not_hide_the_next() {
    let complete = compact(2);
    let truncated = &complete[..complete.len() - 2];
    let (lists, errors) = decode([format!("{truncated}\n{}\n{}\n", compact(3), indented(4)).as_bytes()]);
    assert_eq!(versions(&lists), [3, 4]);
    assert_eq!(errors.len(), 1, "{errors:?}");
    let (lists, errors) = decode([format!("{{\"rev\":2,\"targets\":[],\n\n{}\n", compact(3)).as_bytes()]);
    assert_eq!((versions(&lists), errors), (vec![3], vec!["byte 24: missing field name".into()]));
    // Malformed parts with a list between them are separate errors.
    let (lists, errors) = decode([format!("x\n{}\ny\n{}\n", compact(3), compact(4)).as_bytes()]);
    assert_eq!((versions(&lists), errors.len()), (vec![3, 4], 2));
}

/// A value that never ends must not exhaust the memory.
#[test]
fn value_beyond_the_size_limit_is_an_error() {
    let mut decoder = ListDecoder::default();
    let piece = vec![b'x'; 64 << 10];
    let mut pushed = 0;
    decoder.push(b"\n{\"rev\":1,\"targets\":[\"");
    let error = loop {
        decoder.push(&piece);
        pushed += piece.len();
        if let Some(next) = decoder.next_list() {
            break next.expect_err("no list");
        }
        assert!(decoder.has_incomplete_list() && pushed <= MAX_LIST_BYTES + piece.len());
    };
    assert!(matches!(error, DecodeError::TooLong { offset: 1 }), "{error}");
    assert!(!decoder.has_incomplete_list());
}

/// A complete list of 1,024 nodes is decoded from pieces of 100 bytes.
#[test]
fn list_of_1024_nodes_is_decoded_from_small_pieces() {
    let entry = |n: usize| ENTRY.replacen("s-", &format!("s-{n}"), 1);
    let entries: Vec<String> = (0..1024).map(entry).collect();
    let text = format!("{{\"rev\":7,\"all\":true,\"targets\":[\n{}\n]}}\n", entries.join(",\n"));
    let (lists, errors) = decode(text.as_bytes().chunks(100));
    assert_eq!((lists[0].entries.len(), errors.len()), (1024, 0));
}

/// A list whose text has the known fingerprint is not parsed again; another list is parsed.
#[test]
fn known_text_is_not_parsed_again() {
    let mut decoder = ListDecoder::default();
    decoder.push(indented(1).as_bytes());
    let Some(Ok(Decoded::List(_, fingerprint))) = decoder.next_list() else { panic!("no list") };
    let mut again = ListDecoder::new(Some(fingerprint));
    again.push(format!("{}\n{}", indented(1), compact(2)).as_bytes());
    assert!(matches!(again.next_list(), Some(Ok(Decoded::KnownList))));
    assert!(matches!(again.next_list(), Some(Ok(Decoded::List(list, _))) if list.version == 2));
}
