//! The command line of the model. Tables are for people; the last line of each command is JSON.

use clap::{Parser, Subcommand};
use comfy_table::{Table, presets::NOTHING};
use flaxgap_lab::fleet::{Fleet, Size};
use flaxgap_lab::guard;
use flaxgap_lab::levels::{self, Plan, Row};
use flaxgap_lab::scale;
use flaxgap_lab::scale::args::{RoleArgs, ScaleArgs};
use flaxgap_load_shedding::SheddingSettings;
use std::process::ExitCode;
use std::time::Instant;

/// A model of heads and storage nodes in virtual time, with the real decisions.
#[derive(Parser)]
#[command(version, after_help = "Example: flaxgap-lab levels --seed 1 --minutes 10")]
struct Args {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Drives load up and down around each threshold of the levels of reduced service.
    Levels(LevelsArgs),
    /// Plays heads of a large fleet before one node that just started.
    Guard(guard::table::Args),
    /// Shows what control costs a fleet of a given size, with real code and stand-ins on this machine.
    Scale(ScaleArgs),
    /// A child of `scale`, started by it.
    #[command(hide = true)]
    ScaleChild(RoleArgs),
}

#[derive(clap::Args)]
struct LevelsArgs {
    /// The first seed.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// How many seeds, from the first on.
    #[arg(long, default_value_t = 1, value_parser = clap::value_parser!(u64).range(1..=1000))]
    seeds: u64,
    /// Virtual minutes of each day.
    #[arg(long, default_value_t = 10, value_parser = clap::value_parser!(u64).range(2..=1440))]
    minutes: u64,
    /// Heads.
    #[arg(long, default_value_t = 5, value_parser = clap::value_parser!(u64).range(1..=64))]
    heads: u64,
    /// Storage nodes, of two cores each.
    #[arg(long, default_value_t = 10, value_parser = clap::value_parser!(u64).range(1..=500))]
    nodes: u64,
    /// Leaves out what each guard of the ladder gains.
    #[arg(long)]
    no_ablation: bool,
    /// A file with a `[levels]` table's own text, in place of the usual settings.
    #[arg(long)]
    settings: Option<std::path::PathBuf>,
}

fn main() -> ExitCode {
    let ended = match Args::parse().command {
        Command::Levels(args) => run(&args),
        Command::Guard(args) => guard::table::run(&args),
        Command::Scale(args) => scale::main(&args).map_err(|problem| problem.to_string()),
        Command::ScaleChild(args) => scale::child(&args).map_err(|problem| problem.to_string()),
    };
    match ended {
        Ok(()) => ExitCode::SUCCESS,
        Err(problem) => {
            eprintln!("flaxgap-lab: {problem}");
            ExitCode::FAILURE
        }
    }
}

fn run(args: &LevelsArgs) -> Result<(), String> {
    let size = Size { heads: args.heads as usize, nodes: args.nodes as usize, ..Size::default() };
    let plan = Plan { size, seconds: args.minutes as f64 * 60.0 };
    let names = Fleet::draw(size, args.seed).names;
    let levels = match &args.settings {
        None => {
            SheddingSettings::with_defaults(&names, &[false, true]).map_err(|problem| problem.to_string())?
        }
        Some(path) => {
            let text = std::fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()))?;
            SheddingSettings::parse(&text, &names, &[false, true])
                .map_err(|e| format!("{}: {e}", path.display()))?
        }
    };
    let seeds: Vec<u64> = (args.seed..args.seed + args.seeds).collect();
    let began = Instant::now();
    let rows = levels::rows(plan, &levels, &seeds)?;
    let ablated = if args.no_ablation { vec![] } else { levels::ablations(plan, &levels, &seeds)? };
    let one_head = levels::one_head(plan, &levels, args.seed)?;
    let took = began.elapsed().as_secs_f64();

    println!(
        "{} heads, {} nodes, {} virtual minutes, seeds {} to {}; {took:.1} s on all cores",
        args.heads,
        args.nodes,
        args.minutes,
        args.seed,
        args.seed + args.seeds - 1
    );
    println!("{}", table(&rows));
    if !ablated.is_empty() {
        let mut shown = Table::new();
        shown.load_preset(NOTHING).set_header([
            "guard left out",
            "changes max",
            "mean",
            "service",
            "worst 10 s",
        ]);
        for a in &ablated {
            let guard = serde_json::to_value(a.guard).map_err(|e| e.to_string())?;
            shown.add_row([
                guard.as_str().unwrap_or_default().replace('_', " "),
                a.changes_max.to_string(),
                format!("{:.1}", a.changes_mean),
                format!("{:.4}", a.service),
                format!("{:.4}", a.worst),
            ]);
        }
        println!("\n{shown}");
    }
    let (held, free) = (one_head.overridden, one_head.none);
    println!("\none head held at the highest level: least reserve {held:.4}, without {free:.4}");

    let mean = |of: fn(&Row) -> f64| rows.iter().map(of).sum::<f64>() / rows.len() as f64;
    let least = |of: fn(&Row) -> f64| rows.iter().map(of).fold(f64::INFINITY, f64::min);
    let below = rows.iter().filter(|row| row.service_levels < row.service_none).count();
    let summary = serde_json::json!({
        "seed": args.seed, "seeds": args.seeds, "minutes": args.minutes,
        "heads": args.heads, "nodes": args.nodes, "seconds_taken": took,
        "changes_max": rows.iter().map(|row| row.changes_head).max(),
        "changes_all_max": rows.iter().map(|row| row.changes_all).max(),
        "service_levels": mean(|row| row.service_levels),
        "service_none": mean(|row| row.service_none),
        "service_random": mean(|row| row.service_random),
        "service_least_gain": least(|row| row.service_levels - row.service_none),
        "rows": rows.len(), "rows_below_none": below,
        "worst_levels": mean(|row| row.worst_levels), "worst_none": mean(|row| row.worst_none),
        "reserve_least": least(|row| row.reserve_levels / row.reserve_none.max(1e-9)),
        "reserve_one_head": held / free.max(1e-9),
        "run_seconds_max": rows.iter().map(|row| row.seconds).fold(0.0, f64::max),
        "broken": rows.iter().map(|row| row.broken).sum::<u64>(),
        "ablations": ablated,
    });
    println!("{summary}");
    Ok(())
}

/// The rows of each threshold together, as means; the extremes are the worst over the seeds.
fn table(rows: &[Row]) -> Table {
    let mut shown = Table::new();
    shown.load_preset(NOTHING).set_header([
        "threshold",
        "load",
        "changes",
        "with halls",
        "refused",
        "levels",
        "none",
        "random",
        "gain least",
        "worst 10 s",
        "none",
        "bound",
        "reserve least",
        "none",
    ]);
    let mut names: Vec<&str> = rows.iter().map(|row| row.threshold.as_str()).collect();
    names.dedup();
    for name in names {
        let of: Vec<&Row> = rows.iter().filter(|row| row.threshold == name).collect();
        let mean = |get: fn(&Row) -> f64| of.iter().map(|row| get(row)).sum::<f64>() / of.len() as f64;
        let most = |get: fn(&Row) -> usize| of.iter().map(|row| get(row)).max().unwrap_or(0).to_string();
        let gain = of.iter().map(|row| row.service_levels - row.service_none).fold(f64::INFINITY, f64::min);
        let mut cells = vec![name.to_string(), format!("{:.2}", mean(|row| row.factor))];
        cells.extend([most(|row| row.changes_head), most(|row| row.changes_all)]);
        cells.push(format!("{:.3}", mean(|row| row.withheld)));
        let services: [fn(&Row) -> f64; 3] =
            [|row| row.service_levels, |row| row.service_none, |row| row.service_random];
        cells.extend(services.map(|get| format!("{:.4}", mean(get))));
        cells.push(format!("{gain:+.4}"));
        let worsts: [fn(&Row) -> f64; 5] = [
            |row| row.worst_levels,
            |row| row.worst_none,
            |row| row.worst_bound,
            |row| row.reserve_levels,
            |row| row.reserve_none,
        ];
        cells.extend(worsts.map(|get| format!("{:.4}", mean(get))));
        shown.add_row(cells);
    }
    shown
}
