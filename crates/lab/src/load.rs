//! What clients ask for, drawn ahead: the same seed gives the same arrivals whatever the heads do.

use crate::fleet::{Fleet, READ, SAVE};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Exp};

/// One request's first try.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Arrival {
    /// When its last byte reaches the head, in seconds.
    pub at: f64,
    /// Whose it is.
    pub volume: usize,
    /// Its class.
    pub class: usize,
    /// Its size.
    pub units: f64,
    /// The shard with the data.
    pub shard: u32,
    /// The head that it comes through.
    pub head: usize,
    /// Its work against the mean of its class and size.
    pub effort: f64,
}

/// How the load moves.
#[derive(Clone, Debug, PartialEq)]
pub enum Shape {
    /// Always the same factor.
    Flat(f64),
    /// Up and down between two factors, once in so many seconds.
    Swing {
        /// The lower.
        low: f64,
        /// The higher.
        high: f64,
        /// Seconds for both ways.
        period: f64,
    },
    /// From one factor to another over the whole time.
    Drift {
        /// At the start.
        from: f64,
        /// At the end.
        to: f64,
    },
}

impl Shape {
    /// The factor at a moment.
    pub fn at(&self, now: f64, whole: f64) -> f64 {
        match self {
            Shape::Flat(factor) => *factor,
            Shape::Swing { low, high, period } => {
                let place = now / period % 1.0;
                let up = if place < 0.5 { 2.0 * place } else { 2.0 - 2.0 * place };
                low + (high - low) * up
            }
            Shape::Drift { from, to } => from + (to - from) * now / whole,
        }
    }
}

/// A volume that asks for much more for a while.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Surge {
    /// Which.
    pub volume: usize,
    /// From when, in seconds.
    pub from: f64,
    /// For how long.
    pub seconds: f64,
    /// Times its usual rate.
    pub times: f64,
}

/// The load of a day.
#[derive(Clone, Debug, PartialEq)]
pub struct Load {
    /// How it moves, as a factor on the usual rates.
    pub shape: Shape,
    /// Volumes that surge.
    pub surges: Vec<Surge>,
}

/// How often the lead among a volume's heads changes, in seconds, and its part of the requests.
const LEAD: (f64, f64) = (15.0, 0.6);

/// Draws all arrivals of so many seconds, in order.
pub fn draw(fleet: &Fleet, load: &Load, seconds: f64, seed: u64) -> Vec<Arrival> {
    let mut all = Vec::new();
    for (number, volume) in fleet.volumes.iter().enumerate() {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        rng.set_stream(1 + number as u64);
        let usual = fleet.rate(volume) * volume.appetite / fleet.settings.mean_request_units;
        let factor = |now: f64| {
            let surges = load.surges.iter().filter(|s| s.volume == number);
            let on = surges.filter(|s| now >= s.from && now < s.from + s.seconds).map(|s| s.times);
            load.shape.at(now, seconds) * on.fold(1.0, f64::max)
        };
        let most = (0..=(seconds * 4.0) as usize).map(|step| factor(step as f64 / 4.0)).fold(0.0, f64::max);
        let Ok(gap) = Exp::new((usual * most).max(1e-9)) else { continue };
        let mut now = 0.0;
        loop {
            now += gap.sample(&mut rng);
            if now >= seconds {
                break;
            }
            // Thinning: as many are drawn as at the highest rate, and left out where it is lower.
            let draws: [f64; 5] = std::array::from_fn(|_| rng.random());
            if draws[0] * most > factor(now) {
                continue;
            }
            let lead = (now / LEAD.0) as usize % volume.heads.len();
            let other = (draws[1] * 1e6) as usize % volume.heads.len();
            let place = if draws[1] < LEAD.1 { lead } else { other };
            // 1 to 8 units, 2.5 in the mean.
            let units = 1.0 + (-(1.0 - draws[2] * 0.99).ln() * 1.9).min(7.0).floor();
            all.push(Arrival {
                at: now,
                volume: number,
                class: if draws[3] < 0.65 { READ } else { SAVE },
                units,
                shard: volume.shards[(draws[4] * volume.shards.len() as f64) as usize % volume.shards.len()],
                head: volume.heads[place],
                effort: 0.6 + 0.8 * rng.random::<f64>(),
            });
        }
    }
    all.sort_by(|a, b| a.at.total_cmp(&b.at).then(a.volume.cmp(&b.volume)));
    all
}

#[cfg(test)]
mod tests;
