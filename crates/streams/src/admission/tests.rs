//! Tests of this module's private parts.

use super::*;
use proptest::prelude::*;

/// Guards against a connection with 1,000 streams that leaves one with two without any.
#[test]
fn a_greedy_connection_leaves_the_others_theirs() {
    let mut admission = Admission::new(1000, 100);
    let greedy = admission.connect();
    let modest: Vec<Connection> = (0..4).map(|_| admission.connect()).collect();
    let taken = (0..1000).filter(|_| admission.open(greedy).is_ok()).count();
    assert_eq!(taken, 95, "all but one for each connection");
    for connection in &modest {
        assert_eq!(admission.open(*connection), Ok(()));
    }
    assert_eq!(admission.open(greedy), Err(Refused::Share));
    admission.close(greedy);
    assert_eq!(admission.open(modest[0]), Ok(()), "what it gives back goes to those with less");
    admission.disconnect(greedy);
    assert_eq!((admission.streams(), admission.connections()), (5, 4));
    assert_eq!(admission.open(greedy), Err(Refused::AllTaken), "it has gone");
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 100, failure_persistence: None, ..ProptestConfig::default() })]

    /// Never more than the bounds, whatever comes; and the counts are those of what is open.
    #[test]
    fn bounds_hold(steps in proptest::collection::vec((0u8..4, 0u64..6), 1..400)) {
        let (mut admission, mut model) = (Admission::new(7, 20), BTreeMap::new());
        for (step, number) in steps {
            let connection = Connection(number);
            match step {
                0 => {
                    model.insert(admission.connect(), 0usize);
                }
                1 => {
                    if admission.open(connection).is_ok() {
                        *model.get_mut(&connection).expect("known") += 1;
                    }
                }
                2 => {
                    admission.close(connection);
                    model.entry(connection).and_modify(|own| *own = own.saturating_sub(1));
                }
                _ => {
                    admission.disconnect(connection);
                    model.remove(&connection);
                }
            }
            prop_assert_eq!(admission.streams(), model.values().sum::<usize>());
            prop_assert!(admission.streams() <= 20 && model.values().all(|own| *own <= 7));
        }
    }
}
