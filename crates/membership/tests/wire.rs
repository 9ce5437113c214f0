//! Entries that can't be read, between others that can.

use flaxgap_membership::list::{EndpointList, NodeState};
use flaxgap_membership::wire::ListError;

fn parse(targets: &str) -> Result<EndpointList, ListError> {
    EndpointList::parse(format!(r#"{{"rev":7,"all":false,"targets":[{targets}]}}"#).as_bytes())
}

/// Guards against one bad entry that costs the others their word, and a drain above all.
#[test]
fn an_entry_that_cant_be_read_costs_no_other_its_word() {
    let good =
        r#"{"uid":"s-9","endpoint":"127.0.0.1:80","az":"a","pod_group":3,"state":"draining","boot_ms":1500}"#;
    let cases = [
        (r#"{"uid":"s-1","endpoint":"127.0.0.1","pod_group":1,"state":"ready"}"#, None),
        (r#"{"uid":"s-1","endpoint":null,"pod_group":1,"state":"ready"}"#, None),
        (r#"{"uid":"s-1","endpoint":"127.0.0.1:80","pod_group":-1,"state":"ready"}"#, None),
        (r#"{"uid":"s-1","endpoint":"127.0.0.1:80","pod_group":4294967296,"state":"ready"}"#, None),
        (r#"{"uid":"s-1","endpoint":"127.0.0.1:80","boot_ms":"now","state":"ready"}"#, None),
        (r#"{"uid":"s-1","endpoint":"127.0.0.1:80"}"#, None),
        (r#"{"uid":7,"state":"ready"}"#, None),
        (r#""s-1""#, None),
        (
            r#"{"uid":"s-1","endpoint":"nowhere","pod_group":"x","boot_ms":[],"state":"draining"}"#,
            Some(NodeState::Draining),
        ),
        (r#"{"uid":"s-1","endpoint":"127.0.0.1:80","state":"leaving"}"#, Some(NodeState::Draining)),
        (r#"{"uid":"s-1","endpoint":7,"state":"gone"}"#, Some(NodeState::Gone)),
    ];
    for (text, state) in cases {
        let list = parse(&format!("{text},{good}")).expect(text);
        let (first, last) = (&list.entries[0], &list.entries[list.entries.len() - 1]);
        assert_eq!(
            (last.name.as_str(), last.state, last.shard, last.started_at),
            ("s-9", NodeState::Draining, Some(3), 1.5)
        );
        assert_eq!((list.entries.len() == 2).then_some(first.state), state, "{text}");
        assert!(
            state == Some(NodeState::Gone) || list.unreadable[0].to_string().starts_with("entry 0 ("),
            "{text}"
        );
    }
}

/// Guards against deployments whose lists lack what this one's have: zones, a start, a shard.
#[test]
fn what_is_absent_or_null_is_not_wrong() {
    let list = parse(
        r#"{"uid":"s-1","endpoint":"127.0.0.1:80","az":null,"state":"ready","boot_ms":null},
           {"uid":"s-2","state":"gone"},{"uid":"s-3","state":"draining"}"#,
    );
    let list = list.expect("a list");
    assert_eq!(list.unreadable, []);
    let read: Vec<_> = list.entries.iter().map(|e| (e.zone.as_str(), e.shard, e.started_at)).collect();
    assert_eq!(read, [("", Some(0), 0.0), ("", None, 0.0), ("", None, 0.0)]);
}

/// Guards against a list of another form that would empty the fleet.
#[test]
fn a_list_of_which_nothing_can_be_read_is_refused() {
    assert!(matches!(
        parse(r#"{"name":"s-1"},{"name":"s-2"}"#),
        Err(ListError::NoReadableEntry { version: 7, count: 2, .. })
    ));
    assert!(matches!(EndpointList::parse(b"{\"version\":1"), Err(ListError::Malformed(_))));
    assert!(parse("").expect("no changes").entries.is_empty());
}
