//! Tests of this module's private parts.

use super::*;

#[test]
fn what_falls_due_together_comes_in_the_order_of_its_planning() {
    let mut agenda = Agenda::default();
    for (at, what) in [(2.0, 'c'), (1.0, 'a'), (1.0, 'b'), (3.0, 'd')] {
        agenda.plan(at, what);
    }
    let mut seen = Vec::new();
    while let Some(what) = agenda.advance() {
        if what == 'b' {
            agenda.plan(0.0, 'x');
        }
        seen.push(what);
    }
    assert_eq!((seen, agenda.now()), (vec!['a', 'b', 'x', 'c', 'd'], 3.0));
}
