//! Tests the parsing of lists with invalid entries or absent fields.

use flaxgap_membership::list::{EndpointList, NodeState};
use flaxgap_membership::wire::ListError;

fn parse(targets: &str) -> Result<EndpointList, ListError> {
    EndpointList::parse(format!(r#"{{"rev":7,"all":false,"targets":[{targets}]}}"#).as_bytes())
}

/// An invalid entry does not affect other entries, and a drain or removal is kept if another field is invalid.
#[test]
fn unreadable_entry_does_not_affect_others() {
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

/// Zones, start times and shards are optional: some deployments do not have them.
#[test]
fn absent_and_null_fields_are_valid() {
    let list = parse(
        r#"{"uid":"s-1","endpoint":"127.0.0.1:80","az":null,"state":"ready","boot_ms":null},
           {"uid":"s-2","state":"gone"},{"uid":"s-3","state":"draining"}"#,
    );
    let list = list.expect("a list");
    assert_eq!(list.unreadable, []);
    let read: Vec<_> = list.entries.iter().map(|e| (e.zone.as_str(), e.shard, e.started_at)).collect();
    assert_eq!(read, [("", Some(0), 0.0), ("", None, 0.0), ("", None, 0.0)]);
}

/// A list in another format is rejected: it would otherwise remove all nodes.
#[test]
fn list_without_readable_entry_is_rejected() {
    assert!(matches!(
        parse(r#"{"name":"s-1"},{"name":"s-2"}"#),
        Err(ListError::NoReadableEntry { version: 7, count: 2, .. })
    ));
    assert!(matches!(EndpointList::parse(b"{\"version\":1"), Err(ListError::Malformed(_))));
    assert!(parse("").expect("no changes").entries.is_empty());
}
