//! Service: the worth answered in time over the worth due. Units are due by volume and second of arrival: inside the
//! reserve in full, inside the share at its worth, the rest at the spare worth, and past the limit at nothing. What
//! is served in time takes the best of what is still due, what is late the worst.

use crate::fleet::Fleet;
use crate::load::Arrival;
use crate::sim::Ending;

/// Seconds of the worst stretch.
const STRETCH: usize = 10;
/// Reserved units below which a volume says nothing of reserves.
const LEAST_RESERVE: f64 = 100.0;

/// What a day is worth.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Over the whole day.
    pub whole: f64,
    /// In the worst ten seconds.
    pub worst: f64,
    /// When these begin.
    pub worst_at: usize,
    /// The least part of its reserve that a volume was served in time.
    pub reserve_least: f64,
    /// The part of all reserves that was served in time.
    pub reserve: f64,
    /// Worth got and due, by second of arrival.
    pub seconds: Vec<(f64, f64)>,
    /// Reserved units got and due, by volume.
    pub reserves: Vec<(f64, f64)>,
}

/// What is due of a volume in one second, the best first, in units.
#[derive(Clone, Copy)]
struct Bands([f64; 3]);

impl Bands {
    /// Takes units from the best band on, or from the worst; what they are worth.
    fn take(&mut self, units: f64, worths: [f64; 3], best_first: bool) -> f64 {
        let order = if best_first { [0, 1, 2] } else { [2, 1, 0] };
        let (mut left, mut worth) = (units, 0.0);
        for band in order {
            let part = left.min(self.0[band]);
            self.0[band] -= part;
            left -= part;
            worth += part * worths[band];
        }
        worth
    }
}

/// Works the service out.
pub fn service(fleet: &Fleet, arrivals: &[Arrival], endings: &[Ending], seconds: f64) -> Service {
    let settings = &fleet.settings;
    let length = seconds.ceil() as usize;
    let mut asked: Vec<Vec<Vec<usize>>> = vec![vec![Vec::new(); length]; fleet.volumes.len()];
    for (number, arrival) in arrivals.iter().enumerate() {
        asked[arrival.volume][(arrival.at as usize).min(length - 1)].push(number);
    }
    let weight = |volume: usize| settings.plans[fleet.volumes[volume].plan].weight;
    let weights: f64 = (0..fleet.volumes.len()).map(weight).sum();
    let reserves: f64 = fleet.volumes.iter().map(|v| settings.plans[v.plan].reserve).sum();
    let beyond = (0.9 * fleet.power() - reserves).max(0.0);
    let mut by_second = vec![(0.0, 0.0); length];
    let mut by_volume = vec![(0.0, 0.0); fleet.volumes.len()];
    for (volume, per_second) in asked.into_iter().enumerate() {
        let plan = &settings.plans[fleet.volumes[volume].plan];
        let most = plan.reserve + settings.max_request_units;
        let mut store = most;
        let mut limit = plan.limit.map_or(f64::INFINITY, |limit| limit.burst);
        for (second, mut numbers) in per_second.into_iter().enumerate() {
            let of = |number: &usize| &arrivals[*number];
            let units: f64 = numbers.iter().map(|n| of(n).units).sum();
            let reserved = units.min(store);
            store = (store - reserved + plan.reserve).min(most);
            let share = (units - reserved).min(beyond * weight(volume) / weights);
            let spare = (units - reserved - share).min((limit - reserved - share).max(0.0));
            if let Some(l) = plan.limit {
                limit = (limit - reserved - share - spare + l.rate).min(l.burst);
            }
            // The worthiest class takes the best of what is due.
            let class = |number: &usize| &settings.classes[of(number).class];
            numbers
                .sort_by(|a, b| class(b).priority_weight.total_cmp(&class(a).priority_weight).then(a.cmp(b)));
            let worths = [1.0, settings.within_quota_fraction, settings.beyond_quota_fraction];
            let (mut due, mut left) = (Bands([reserved, share, spare]), Bands([reserved, share, spare]));
            let (mut got_worth, mut due_worth) = (0.0, 0.0);
            for number in &numbers {
                let worth = class(number).priority_weight * plan.value_factor;
                due_worth += worth * due.take(of(number).units, worths, true);
            }
            let served = numbers.iter().filter(|number| endings[**number].served);
            let (in_time, late): (Vec<_>, Vec<_>) =
                served.partition(|n| endings[**n].at - of(n).at <= class(n).latency_objective_s);
            for number in in_time {
                let worth = class(number).priority_weight * plan.value_factor;
                got_worth += worth * left.take(of(number).units, worths, true);
            }
            by_volume[volume].0 += reserved - left.0[0];
            by_volume[volume].1 += reserved;
            for number in late {
                let worth = class(number).priority_weight * plan.value_factor * class(number).late_fraction;
                got_worth += worth * left.take(of(number).units, worths, false);
            }
            by_second[second].0 += got_worth;
            by_second[second].1 += due_worth;
        }
    }
    let part = |(got, due): (f64, f64)| if due > 0.0 { got / due } else { 1.0 };
    let sum = |all: &[(f64, f64)]| all.iter().fold((0.0, 0.0), |s, (got, due)| (s.0 + got, s.1 + due));
    let stretches = by_second.windows(STRETCH.min(length)).map(|stretch| part(sum(stretch)));
    let (worst_at, worst) = stretches.enumerate().min_by(|a, b| a.1.total_cmp(&b.1)).unwrap_or((0, 1.0));
    let telling = by_volume.iter().filter(|(_, due)| *due >= LEAST_RESERVE);
    Service {
        whole: part(sum(&by_second)),
        worst,
        worst_at,
        reserve_least: telling.map(|v| part(*v)).fold(1.0, f64::min),
        reserve: part(sum(&by_volume)),
        seconds: by_second,
        reserves: by_volume,
    }
}

#[cfg(test)]
mod tests;
