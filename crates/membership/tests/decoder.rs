//! Lists in any layout, cut anywhere, and beside what can't be read.

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

/// Everything that a stream gives when its bytes come in these pieces.
fn read<'a>(pieces: impl IntoIterator<Item = &'a [u8]>) -> (Vec<EndpointList>, Vec<String>) {
    let (mut values, mut lists, mut problems) = (ListDecoder::default(), Vec::new(), Vec::new());
    for piece in pieces {
        values.push(piece);
        while let Some(next) = values.next_list() {
            match next {
                Ok(Decoded::List(list, _)) => lists.push(list),
                Ok(Decoded::KnownList) => unreachable!("nothing is known"),
                Err(problem) => problems.push(problem.to_string()),
            }
        }
    }
    (lists, problems)
}

fn versions(lists: &[EndpointList]) -> Vec<u64> {
    lists.iter().map(|list| list.version).collect()
}

/// Given lists to a line, indented and two on a line, with braces, quotes and line ends inside strings, when the stream is
/// cut at any byte into two reads, then every list is read, with its drain.
#[test]
fn a_list_in_any_layout_is_one_value_wherever_it_is_cut() {
    let stream = format!("\n{}\n\n{}\n{}{}\r\n\n", compact(1), indented(2), compact(3), indented(4));
    let bytes = stream.as_bytes();
    for cut in 0..=bytes.len() {
        let (lists, problems) = read([&bytes[..cut], &bytes[cut..]]);
        assert_eq!((versions(&lists), problems), (vec![1, 2, 3, 4], vec![]), "cut at {cut}");
        let drains = lists
            .iter()
            .all(|l| l.entries[0].state == NodeState::Draining && l.entries[0].name == "s-}\"{\n[");
        assert!(drains, "cut at {cut}");
    }
    assert_eq!(versions(&read(bytes.chunks(1)).0), [1, 2, 3, 4]);
}

/// Given something that can't be read, when lists come after it, then they are read as soon as they are whole, and what
/// could not be read is told once, with its place, wherever the stream is cut.
#[test]
fn what_cant_be_read_costs_no_later_list_its_word() {
    let cases: [(&str, &str); 7] = [
        ("{\"rev\":2,\"targets\":[{\"uid\":\"s-1\n", "byte 31: a string that does not end"),
        ("no list\n", "byte 0: no object"),
        ("{\"rev\":2,\"targets\":[]]\n", "byte 21: brackets that do not fit"),
        ("{\"rev\":2}\n", "value at byte 0: list: missing field `targets` at line 1 column 9"),
        (
            "{\n  \"rev\": 2,\n  \"targets\": [\n    {\"uid\": \"s-1\"}}\n  ]\n}\n",
            "byte 47: brackets that do not fit",
        ),
        ("[1,\n2]\n", "byte 0: no object"),
        ("{\"rev\":2,}\n", "value at byte 0: list: trailing comma at line 1 column 10"),
    ];
    for (bad, told) in cases {
        let stream = format!("{bad}{}\n{}\n", indented(3), compact(4));
        for cut in 0..=stream.len() {
            let (lists, problems) = read([&stream.as_bytes()[..cut], &stream.as_bytes()[cut..]]);
            assert_eq!(
                (versions(&lists), problems),
                (vec![3, 4], vec![told.to_string()]),
                "{bad}, cut at {cut}"
            );
        }
    }
}

/// Given a list that was cut short between two values, when the next ones come, then these are read: what would follow
/// without a comma shows the break.
#[test]
fn a_list_cut_short_does_not_swallow_the_next() {
    let short = compact(2);
    let short = &short[..short.len() - 2];
    let (lists, problems) = read([format!("{short}\n{}\n{}\n", compact(3), indented(4)).as_bytes()]);
    assert_eq!(versions(&lists), [3, 4]);
    assert_eq!(problems.len(), 1, "{problems:?}");
    let (lists, problems) = read([format!("{{\"rev\":2,\"targets\":[],\n\n{}\n", compact(3)).as_bytes()]);
    assert_eq!((versions(&lists), problems), (vec![3], vec!["byte 24: a name is missing".into()]));
    // Two that can't be read, with a list between them, are told apart.
    let (lists, problems) = read([format!("x\n{}\ny\n{}\n", compact(3), compact(4)).as_bytes()]);
    assert_eq!((versions(&lists), problems.len()), (vec![3, 4], 2));
}

/// Guards against a value without an end that takes the memory.
#[test]
fn a_value_past_the_longest_length_is_given_up() {
    let (mut values, piece, mut pushed) = (ListDecoder::default(), vec![b'x'; 64 << 10], 0);
    values.push(b"\n{\"rev\":1,\"targets\":[\"");
    let problem = loop {
        values.push(&piece);
        pushed += piece.len();
        if let Some(next) = values.next_list() {
            break next.expect_err("no list");
        }
        assert!(values.has_incomplete_list() && pushed <= MAX_LIST_BYTES + piece.len());
    };
    assert!(matches!(problem, DecodeError::TooLong { offset: 1 }), "{problem}");
    assert!(!values.has_incomplete_list());
}

/// Given a whole list of 1,024 nodes in small pieces, when it is read, then no piece costs a look at all that came before.
#[test]
fn a_list_of_1024_nodes_is_looked_at_once() {
    let entry = |n: usize| ENTRY.replacen("s-", &format!("s-{n}"), 1);
    let entries: Vec<String> = (0..1024).map(entry).collect();
    let text = format!("{{\"rev\":7,\"all\":true,\"targets\":[\n{}\n]}}\n", entries.join(",\n"));
    let (lists, problems) = read(text.as_bytes().chunks(100));
    assert_eq!((lists[0].entries.len(), problems.len()), (1024, 0));
}

/// Given an answer that brings the same text once more, when its print is known, then it is not read, and another is.
#[test]
fn a_text_that_is_known_is_told_as_such() {
    let mut values = ListDecoder::default();
    values.push(indented(1).as_bytes());
    let Some(Ok(Decoded::List(_, print))) = values.next_list() else { panic!("no list") };
    let mut again = ListDecoder::new(Some(print));
    again.push(format!("{}\n{}", indented(1), compact(2)).as_bytes());
    assert!(matches!(again.next_list(), Some(Ok(Decoded::KnownList))));
    assert!(matches!(again.next_list(), Some(Ok(Decoded::List(list, _))) if list.version == 2));
}
