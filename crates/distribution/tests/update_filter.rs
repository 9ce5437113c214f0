//! The update filter of a head that watches two relays, one of which lags behind the other.

use flaxgap_distribution::update_filter::{UpdateFilter, Verdict};
use flaxgap_membership::list::{EndpointList, Entry, NodeState};
use flaxgap_membership::{Membership, REWIND_AFTER_S};

const NOW: f64 = 1000.0;

fn list(version: u64, is_snapshot: bool) -> EndpointList {
    let address = Some(([10, 1, 0, 18], 8080).into());
    let entry = Entry {
        name: "a".into(),
        address,
        zone: "a".into(),
        shard: Some(3),
        state: NodeState::Ready,
        started_at: 0.0,
    };
    EndpointList { version, is_snapshot, entries: vec![entry], unreadable: vec![] }
}

/// Given updates in order, when some versions were received from the other watch already, then these are dropped as
/// duplicates and the others are applied.
#[test]
fn updates_received_from_the_other_watch_are_duplicates() {
    let mut filter = UpdateFilter::new(41);
    assert_eq!(filter.evaluate(42, false, 41), Verdict::Apply);
    assert_eq!(filter.evaluate(43, false, 45), Verdict::Duplicate);
    assert_eq!(filter.evaluate(44, false, 45), Verdict::Duplicate);
    // The known version is applied again, because it may contain a drain that arrived late.
    assert_eq!(filter.evaluate(45, false, 45), Verdict::Apply);
    assert_eq!(filter.evaluate(46, false, 45), Verdict::Apply);
}

/// Given an update that skips a version known from the other watch, when it is received, then the relay is watched
/// again from that version. An update that skips only versions that were received from neither watch is applied.
#[test]
fn a_list_that_jumps_over_the_known_version_is_not_applied() {
    let mut filter = UpdateFilter::new(41);
    assert_eq!(filter.evaluate(44, false, 42), Verdict::Rewatch);
    filter.restart(42);
    assert_eq!(filter.evaluate(44, false, 42), Verdict::Apply);
    assert_eq!(filter.evaluate(50, false, 44), Verdict::Apply);
    assert_eq!(filter.evaluate(60, true, 55), Verdict::Apply);
}

/// Given a relay whose source restarts its numbering, when its complete list was received, then its changes are applied
/// too, and after [`REWIND_AFTER_S`] the complete list has to be requested again, also after a restart of the filter.
#[test]
fn a_renumbered_relay_is_relisted() {
    let (mut membership, mut filter) = (Membership::default(), UpdateFilter::new(0));
    membership.apply_named(list(900, true), filter.source(), NOW);
    assert_eq!(filter.evaluate(1, true, 900), Verdict::Apply);
    membership.apply_named(list(1, true), filter.source(), NOW);
    assert_eq!(filter.evaluate(2, false, 900), Verdict::Apply);
    assert!(!filter.needs_relist(NOW + REWIND_AFTER_S - 0.1));
    filter.restart(0);
    assert!(filter.needs_relist(NOW + REWIND_AFTER_S));
    membership.apply_named(list(2, true), filter.source(), NOW + REWIND_AFTER_S);
    assert_eq!((membership.version(), filter.needs_relist(NOW + REWIND_AFTER_S)), (2, false));
}
