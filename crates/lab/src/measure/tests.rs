//! Tests of this module's private parts.

use super::*;
use crate::fleet::{NETWORK, READ, Size};

#[test]
fn what_is_served_in_time_takes_the_best_and_late_work_the_worst() {
    let mut fleet = Fleet::draw(Size { heads: 1, nodes: 1, volumes: 1, cores: 2, held: 10 }, 1);
    fleet.volumes[0].plan = NETWORK;
    fleet.settings.plans[NETWORK].reserve = 2.0;
    fleet.settings.plans[NETWORK].value_factor = 1.0;
    // 10 units in store and a share of so much: of 20 asked, 10 are reserved.
    let arrival =
        |at: f64| Arrival { at, volume: 0, class: READ, units: 5.0, shard: 0, head: 0, effort: 1.0 };
    let arrivals: Vec<Arrival> = (0..4).map(|n| arrival(0.1 * f64::from(n))).collect();
    let ending = |at, served| Ending { at, served };
    let all: Vec<Ending> = arrivals.iter().map(|a| ending(a.at + 0.1, true)).collect();
    let whole = service(&fleet, &arrivals, &all, 20.0);
    assert_eq!((whole.whole, whole.reserve), (1.0, 1.0));
    let mut half = all.clone();
    (half[0].served, half[1].served) = (false, false);
    let half = service(&fleet, &arrivals, &half, 20.0);
    assert!(half.whole > 0.7 && half.reserve == 1.0, "the reserved units are the first to be counted");
    let late: Vec<Ending> = arrivals.iter().map(|a| ending(a.at + 1.0, true)).collect();
    let late = service(&fleet, &arrivals, &late, 20.0);
    assert!((late.whole - 0.15).abs() < 1e-9 && late.reserve == 0.0);
}
