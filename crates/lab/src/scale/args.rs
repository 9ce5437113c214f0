//! The command line of `scale`.

use std::path::PathBuf;

/// What control costs a fleet of a given size.
#[derive(Clone, Debug, clap::Args)]
#[command(
    after_help = "Example: cargo run --release -p flaxgap-lab -- scale --heads 4200 --nodes 7100 --quick\n\n\
    Tables are for people; the last line is one line of JSON."
)]
pub struct ScaleArgs {
    /// Heads, the real ones among them.
    #[arg(long, default_value_t = 250, value_parser = clap::value_parser!(u32).range(8..=20_000))]
    pub heads: u32,
    /// Storage nodes.
    #[arg(long, default_value_t = 500, value_parser = clap::value_parser!(u32).range(24..=50_000))]
    pub nodes: u32,
    /// Draws the events.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Control machines, each a relay of its own; with 0 all heads share one stand-in for discovery.
    #[arg(long, default_value_t = 0, value_parser = clap::value_parser!(u32).range(0..=64))]
    pub relays: u32,
    /// Real heads among the heads.
    #[arg(long, default_value_t = 3, value_parser = clap::value_parser!(u32).range(0..=10))]
    pub real: u32,
    /// Processes that the hollow heads share.
    #[arg(long, default_value_t = 5, value_parser = clap::value_parser!(u32).range(1..=32))]
    pub workers: u32,
    /// The real head's program; else `flaxgap` beside this one.
    #[arg(long)]
    pub head: Option<PathBuf>,
    /// The relay's program; else `flaxgap-relay` beside this one.
    #[arg(long)]
    pub relay: Option<PathBuf>,
    /// Shorter spans, so that the largest fleet ends within 50 s.
    #[arg(long)]
    pub quick: bool,
    /// Seconds for which regions are cut off from each other; else 180, or 4 with --quick.
    #[arg(long, value_parser = clap::value_parser!(u64).range(1..=3600))]
    pub cut: Option<u64>,
    /// Plays many sizes, fits the costs, and writes table and chart.
    #[arg(long)]
    pub grid: bool,
    /// Where the grid's table and chart are written.
    #[arg(long, default_value = "docs/results")]
    pub results: PathBuf,
    /// Seconds after which the run is ended, whatever it has come to.
    #[arg(long, default_value_t = 1200, value_parser = clap::value_parser!(u64).range(1..=86_400))]
    pub time_limit: u64,
}

/// What a child process is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, clap::ValueEnum)]
pub enum Role {
    /// Hollow heads.
    Hollow,
    /// The stand-in for discovery.
    Discovery,
}

/// The command line of the tool's own children.
#[derive(Clone, Debug, clap::Args)]
pub struct RoleArgs {
    /// What the process is.
    pub role: Role,
}
