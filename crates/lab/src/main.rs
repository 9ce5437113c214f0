//! The tool.
fn main() {
    use flaxgap_lab::*;
    let args: Vec<String> = std::env::args().collect();
    let get = |i: usize, d: f64| args.get(i).and_then(|a| a.parse().ok()).unwrap_or(d);
    let (seed, secs, low, high) = (get(1, 1.0) as u64, get(2, 60.0), get(3, 1.0), get(4, 1.0));
    let fleet = fleet::Fleet::draw(fleet::Size::default(), seed);
    let load = load::Load { shape: load::Shape::Swing { low, high, period: 40.0 }, surges: vec![] };
    let arrivals = load::draw(&fleet, &load, secs, seed);
    let mut faults = vec![];
    if get(5, 0.0) > 0.0 {
        faults.push(sim::Fault::Cut { zone: 1, at: 20.0, seconds: 20.0, cold: true });
    }
    if get(6, 0.0) > 0.0 {
        faults.push(sim::Fault::Slow { at: 20.0, seconds: 20.0, factor: get(6, 0.0) });
    }
    let day = sim::Day { fleet: &fleet, arrivals: &arrivals, faults: &faults, seconds: secs, seed };
    let levels = flaxgap_levels::Settings::usual(&fleet.names, &[false, true]).unwrap();
    for policy in [sim::Policy::Plain, sim::Policy::Levels(Box::new(levels))] {
        let t = std::time::Instant::now();
        let p = sim::play(&day, &policy).unwrap();
        let s = measure::service(&fleet, &arrivals, &p.endings, secs);
        println!(
            "{} arrivals, {:.0}/s; whole {:.4} worst {:.4} at {} reserve {:.4} least {:.4} crowded {} broken {} calls {} withheld {} took {:?}",
            arrivals.len(),
            arrivals.len() as f64 / secs,
            s.whole,
            s.worst,
            s.worst_at,
            s.reserve,
            s.reserve_least,
            p.crowded_out,
            p.broken,
            p.calls,
            p.withheld.iter().map(|w| w.0).sum::<u64>(),
            t.elapsed()
        );
        for (h, c) in p.changes.iter().enumerate() {
            for c in c {
                println!("  head {h} {:.1} {c}", c.at);
            }
        }
    }
}
