//! One run from its start to its last line, and the command that plays it.

use super::ScaleError;
use super::args::ScaleArgs;
use super::events::{Outcome, Player, Waits};
use super::fleet::Fleet;
use super::report::{Costs, Run, names};
use super::storage::SERVING_NODES;
use super::{grid, limits};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// Plays what the command line says, and prints it.
///
/// # Errors
///
/// A run fails, or its results can't be written.
pub async fn command(args: &ScaleArgs) -> Result<(), ScaleError> {
    if args.grid {
        let runs = grid::play_all(args).await?;
        if let Some(largest) = runs.last() {
            println!("{}", serde_json::to_string(&largest.summary())?);
        }
        return Ok(());
    }
    let mut waits = Waits::new(args.quick);
    waits.cut = args.cut.map_or(waits.cut, Duration::from_secs);
    let run = play(args, waits).await?;
    println!(
        "{} heads, {} of them real, {} nodes, {} relays, seed {}; regions cut for {:.0} s; {:.1} s in all",
        args.heads, args.real, args.nodes, args.relays, args.seed, run.cut_s, run.took
    );
    if args.real == 0 {
        println!("no real heads: hollow figures stand alone");
    } else {
        let (served, failed) = run.requests;
        println!(
            "real heads served {served} requests from {SERVING_NODES} stand-in nodes, {failed} they did not"
        );
    }
    println!("\n{}\n{}\n\n{}\n", run.costs(), run.difference(), run.events());
    println!("{}", serde_json::to_string(&run.summary())?);
    Ok(())
}

/// Plays one size.
///
/// # Errors
///
/// The machine's limits are too low, or a process of the fleet fails.
pub async fn play(args: &ScaleArgs, waits: Waits) -> Result<Run, ScaleError> {
    let began = Instant::now();
    limits::check(args).await?;
    let mut fleet = Fleet::start(args, waits).await?;
    fleet.says("settling");
    sleep(waits.settle).await;

    fleet.says("at rest");
    let before = fleet.sample().await?;
    sleep(waits.idle).await;
    let after = fleet.sample().await?;
    let idle = Costs::between(&before, &after);
    let idle_bytes = idle.control.kb_s() * 1e3 * after.control().len() as f64;

    fleet.real.iter_mut().for_each(|head| head.serve_client());
    let random = ChaCha8Rng::seed_from_u64(args.seed);
    let mut player = Player { fleet: &mut fleet, random, idle_bytes, version: 1, outcomes: Vec::new() };
    player.play().await?;
    // Clients go first, so that what real heads use then is for control alone.
    let requests = player.fleet.real.iter_mut().map(|head| head.end_client());
    let requests = requests.fold((0, 0), |all, one| (all.0 + one.0, all.1 + one.1));
    let before = player.fleet.sample().await?;
    player.ordinary_day().await?;
    let after = player.fleet.sample().await?;
    let day = Costs::between(&before, &after);
    let (version, mut outcomes) = (player.version, player.outcomes);
    outcomes.push(Outcome::carried_by_nothing(names::CONFIGURATION));
    let astray = fleet.astray(version).await?;
    fleet.end().await?;
    Ok(Run {
        heads: args.heads,
        nodes: args.nodes,
        control_machines: args.relays.max(1),
        seed: args.seed,
        idle,
        day,
        day_factor: waits.day_factor(),
        cut_s: waits.cut.as_secs_f64(),
        outcomes,
        astray,
        requests,
        took: began.elapsed().as_secs_f64(),
    })
}
