//! The command line of the guard's plays: arguments, table and the last line of JSON.

use super::{Case, Decisions, History, Plan, Row, Spread, rows};
use comfy_table::{Table, presets::NOTHING};
use std::time::Instant;

/// Arguments of `flaxgap-lab guard`. The usual figures of how volumes are spread are the middles of the site's
/// ranges, the most are their ends.
#[derive(clap::Args, Clone, Debug)]
pub struct Args {
    /// Heads of the installation.
    #[arg(long, default_value_t = 4200, value_parser = clap::value_parser!(u32).range(1..=100_000))]
    heads: u32,
    /// The first seed.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// How many seeds, from the first on.
    #[arg(long, default_value_t = 10, value_parser = clap::value_parser!(u64).range(1..=1000))]
    seeds: u64,
    /// Heads that send to the node; those past the installation's are left out.
    #[arg(long, value_delimiter = ',', default_values_t = [8, 48, 300, 1024, 4200])]
    senders: Vec<u32>,
    /// Multiples of what plans promise that are asked for from the node's start on.
    #[arg(long, value_delimiter = ',', default_values_t = [1.0, 2.0])]
    loads: Vec<f64>,
    /// Part of a node's warm capacity that plans promise: reserves and shares are cut out of nine tenths of it.
    #[arg(long, default_value_t = 0.9)]
    promised: f64,
    /// Volumes for each node: middle of 4.1 to 9.
    #[arg(long, default_value_t = 6.5)]
    volumes_per_node: f64,
    /// Nodes with data of a volume: 1 to 4 on seven volumes of ten, 2 to 6 on the rest.
    #[arg(long, default_value_t = 3.0)]
    nodes_per_volume: f64,
    /// Heads that a volume's requests come through: middle of 1 to 3.
    #[arg(long, default_value_t = 2.0)]
    heads_per_volume: f64,
    /// Most volumes for each node.
    #[arg(long, default_value_t = 9.0)]
    most_volumes_per_node: f64,
    /// Most nodes with data of a volume.
    #[arg(long, default_value_t = 6.0)]
    most_nodes_per_volume: f64,
    /// Most heads that a volume's requests come through.
    #[arg(long, default_value_t = 3.0)]
    most_heads_per_volume: f64,
    /// Leaves out the whole scheduler, which takes most of the time.
    #[arg(long)]
    slow_start_only: bool,
}

impl Args {
    fn plan(&self) -> Plan {
        let decisions = match self.slow_start_only {
            true => vec![Decisions::SlowStart],
            false => vec![Decisions::SlowStart, Decisions::Scheduler],
        };
        Plan {
            heads: self.heads,
            senders: self
                .senders
                .iter()
                .copied()
                .filter(|senders| (1..=self.heads).contains(senders))
                .collect(),
            promised: self.promised,
            loads: self.loads.clone(),
            decisions,
            seeds: (self.seed..self.seed + self.seeds).collect(),
        }
    }

    fn usual(&self) -> Spread {
        Spread {
            volumes_per_node: self.volumes_per_node,
            nodes_per_volume: self.nodes_per_volume,
            heads_per_volume: self.heads_per_volume,
        }
    }

    fn most(&self) -> Spread {
        Spread {
            volumes_per_node: self.most_volumes_per_node,
            nodes_per_volume: self.most_nodes_per_volume,
            heads_per_volume: self.most_heads_per_volume,
        }
    }
}

/// Plays what is asked for and prints it.
///
/// # Errors
///
/// A case of the plan can't be played, as for [`play`](super::play).
pub fn run(args: &Args) -> Result<(), String> {
    let heads = f64::from(args.heads);
    let (usual, most) = (args.usual().senders(heads), args.most().senders(heads));
    println!("heads that send to one node of {}: {usual:.0} usually, {most:.0} at most", args.heads);
    let began = Instant::now();
    let rows = rows(&args.plan())?;
    println!("{}", table(&rows));
    let summary = serde_json::json!({
        "heads": args.heads, "seed": args.seed, "seeds": args.seeds, "promised": args.promised,
        "senders_usual": usual, "senders_most": most,
        "seconds_taken": began.elapsed().as_secs_f64(),
        "rows": rows,
    });
    println!("{summary}");
    Ok(())
}

fn decisions_name(decisions: Decisions) -> &'static str {
    match decisions {
        Decisions::SlowStart => "slow start alone",
        Decisions::Scheduler => "scheduler",
    }
}

fn case_name(case: &Case) -> String {
    let history = match case.history {
        History::Known => "known",
        History::Unknown => "unknown",
    };
    format!("{}x node, past {history}, seed {}", case.strength, case.seed)
}

fn table(rows: &[Row]) -> Table {
    let mut shown = Table::new();
    shown.load_preset(NOTHING).set_header([
        "decisions",
        "senders",
        "of heads",
        "load",
        "fell",
        "margin",
        "of allowed",
        "closest case",
        "age",
        "sent",
        "allowed",
        "asked",
        "rates",
        "by heads",
        "cause",
        "served slowest",
        "served 3x",
        "3x unknown",
    ]);
    for row in rows {
        let closest = &row.closest;
        let cause = row.cause.map_or("-".to_string(), |cause| format!("{cause:?}").to_lowercase());
        shown.add_row([
            decisions_name(row.decisions).to_string(),
            row.senders.to_string(),
            row.heads.to_string(),
            format!("{}", row.load),
            format!("{}/{}", row.fell, row.plays),
            format!("{:.2}", closest.margin),
            format!("{:.2}", closest.of_allowed),
            case_name(&row.closest_case),
            format!("{:.1}", closest.age),
            format!("{:.0}", closest.sent),
            format!("{:.1}", closest.allowed),
            format!("{:.0}", closest.asked),
            closest.rates.map_or("-".to_string(), |rates| format!("{rates:.1}")),
            closest.heads.to_string(),
            cause,
            format!("{:.2}", row.served_slowest),
            format!("{:.2}", row.served_strong),
            format!("{:.2}", row.served_strong_unknown),
        ]);
    }
    shown
}
