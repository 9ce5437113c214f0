//! Tests that an incomplete complete list is detected by its first two fields, in any layout, and not before all digits
//! of its version were received.

use flaxgap_membership::decoder::{Decoded, ListDecoder, MAX_LIST_BYTES};

/// Each list is truncated at every byte before this one.
const CUTS: usize = 200;

/// Decodes `text` and returns the version of the truncated complete list at its end, if the version is known.
fn incomplete_version(text: &str) -> Option<u64> {
    let mut decoder = ListDecoder::default();
    decoder.push(text.as_bytes());
    while decoder.next_compact().is_some() {}
    decoder.incomplete_snapshot_version()
}

/// Different layouts of one complete list of version 4107, each with the length of its first two fields.
fn layouts() -> Vec<(String, usize)> {
    let entry =
        r#"{"uid":"s-1","endpoint":"127.0.0.1:80","az":"a","pod_group":0,"state":"ready","boot_ms":0}"#;
    let rest = format!("\"targets\":[{}]}}", [entry; 9].join(","));
    let headers = [
        r#"{"rev":4107,"all":true,"#,
        r#"{"all":true,"rev":4107,"#,
        r#"{ "rev" : 4107 , "all" : true ,"#,
        "{\n  \"rev\": 4107,\n  \"all\": true,",
        "{\r\n\t\t\"all\":\ttrue,\r\n\t\t\"rev\":\t4107,",
    ];
    headers.iter().map(|header| (format!("{header}\n {rest}"), header.len())).collect()
}

/// Truncates a complete list at each of its first 200 bytes. The version must be known only after the end of the
/// header: a number that is read too early would be another version.
#[test]
fn version_is_known_from_the_end_of_the_header_on() {
    for (text, header) in layouts() {
        for cut in 0..CUTS {
            let expected = (cut >= header).then_some(4107);
            assert_eq!(incomplete_version(&text[..cut]), expected, "{text:?}, truncated at {cut}");
        }
    }
}

/// No version is returned for a text whose first two fields are not the version and the flag of a complete list.
#[test]
fn other_text_has_no_version() {
    let others = [
        r#"{"rev":7,"all":false,"targets":["#,
        r#"{"rev":7,"targets":[{"uid":"s-1","#,
        r#"{"targets":[],"rev":7,"all":true,"x":["#,
        r#"{"rev":7,"more":true,"all":true,"#,
        r#"{"rev":"7","all":true,"targets":["#,
        r#"{"rev":-7,"all":true,"targets":["#,
        r#"{"rev":7.0,"all":true,"targets":["#,
        r#"{"rev":,"all":true,"targets":["#,
        r#"{"rev":99999999999999999999999,"all":true,"targets":["#,
        r#"{"rev":7,"rev":7,"targets":["#,
        r#"{"all":true,"all":true,"rev":7,"targets":["#,
        r#"{"x":{"rev":7,"all":true,"targets":["#,
        r#"{"rev":7,"all":"true","targets":["#,
        "",
    ];
    for text in others {
        assert_eq!(incomplete_version(text), None, "{text}");
    }
    // The rest of a line with a syntax error is skipped.
    assert_eq!(incomplete_version(r#"x {"rev":7,"all":true,"targets":["#), None);
    assert_eq!(
        incomplete_version("{\"rev\":6,\"targets\":[]}\n{\"rev\":7,\"all\":true,\"targets\":["),
        Some(7)
    );
}

/// A list of 7,100 nodes is decoded in full and takes less than half of the size limit, although it is indented more
/// widely than by the defaults of any tool.
#[test]
fn list_of_7100_indented_entries_is_within_the_size_limit() {
    let indent = " ".repeat(16);
    let entry = |n: usize| {
        let fields = [
            format!(r#""uid": "s-{n:08x}""#),
            r#""endpoint": "203.0.113.113:65535""#.into(),
            r#""az": "zone-of-some-length""#.into(),
            r#""model": "a-model-of-some-length""#.into(),
            format!(r#""pod_group": {n}"#),
            r#""state": "draining""#.into(),
            r#""capacity_hint": 123456.789"#.into(),
            r#""boot_ms": 1700000000000"#.into(),
        ];
        format!("{{\n{indent}{}\n      }}", fields.join(&format!(",\n{indent}")))
    };
    let entries: Vec<String> = (0..7100).map(entry).collect();
    let text =
        format!("{{\n  \"rev\": 7,\n  \"all\": true,\n  \"targets\": [\n{}\n]}}\n", entries.join(",\n"));
    assert!(text.len() > 2_500_000 && text.len() < MAX_LIST_BYTES / 2, "{} of {MAX_LIST_BYTES}", text.len());
    let mut decoder = ListDecoder::default();
    decoder.push(text.as_bytes());
    let Some(Ok(Decoded::List(list, _))) = decoder.next_compact() else { panic!("no list") };
    assert_eq!((list.len(), list.unreadable.len()), (7100, 0));
}
