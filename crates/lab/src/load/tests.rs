//! Tests of this module's private parts.

use super::*;
use crate::fleet::Size;

#[test]
fn the_same_seed_gives_the_same_day_and_a_surge_is_its_volumes_alone() {
    let fleet = Fleet::draw(Size::default(), 7);
    let calm = Load { shape: Shape::Flat(1.0), surges: vec![] };
    let day = draw(&fleet, &calm, 30.0, 3);
    assert_eq!(day, draw(&fleet, &calm, 30.0, 3));
    assert_ne!(day, draw(&fleet, &calm, 30.0, 4));
    let surge = Surge { volume: 2, from: 10.0, seconds: 10.0, times: 8.0 };
    let hot = draw(&fleet, &Load { surges: vec![surge], ..calm }, 30.0, 3);
    let of = |day: &[Arrival], volume| day.iter().filter(|a| a.volume == volume).count();
    assert!(of(&hot, 2) > 2 * of(&day, 2));
    assert!((0..5).filter(|v| *v != 2).all(|v| of(&hot, v) == of(&day, v)));
    let units = day.iter().map(|a| a.units).sum::<f64>() / day.len() as f64;
    assert!((2.2..2.8).contains(&units), "{units} units in the mean");
}

#[test]
fn shapes_move_as_they_say() {
    let swing = Shape::Swing { low: 1.0, high: 3.0, period: 40.0 };
    assert_eq!([0.0, 10.0, 20.0, 30.0].map(|at| swing.at(at, 0.0)), [1.0, 2.0, 3.0, 2.0]);
    assert_eq!(Shape::Drift { from: 1.0, to: 2.0 }.at(30.0, 60.0), 1.5);
}
