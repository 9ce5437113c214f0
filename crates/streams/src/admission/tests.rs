//! Tests of the admission of streams.

use super::*;
use proptest::prelude::*;

/// A connection that asks for 1,000 streams leaves each of the others at least one.
#[test]
fn a_greedy_connection_leaves_streams_to_the_others() {
    let mut admission = Admission::new(1000, 100);
    let greedy = admission.connect();
    let modest: Vec<Connection> = (0..4).map(|_| admission.connect()).collect();
    let taken = (0..1000).filter(|_| admission.open(greedy).is_ok()).count();
    assert_eq!(taken, 95, "all but one per connection");
    for connection in &modest {
        assert_eq!(admission.open(*connection), Ok(()));
    }
    assert_eq!(admission.open(greedy), Err(RefusalReason::FairShare));
    admission.close(greedy);
    assert_eq!(admission.open(modest[0]), Ok(()), "a stream that it closes goes to a connection with fewer");
    admission.disconnect(greedy);
    assert_eq!((admission.streams(), admission.connections()), (5, 4));
    assert_eq!(admission.open(greedy), Err(RefusalReason::TotalLimit), "an unknown connection is refused");
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 100, failure_persistence: None, ..ProptestConfig::default() })]

    /// No sequence of events exceeds the limits, and the counts are those of the open streams.
    #[test]
    fn limits_hold(steps in proptest::collection::vec((0u8..4, 0u64..6), 1..400)) {
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
