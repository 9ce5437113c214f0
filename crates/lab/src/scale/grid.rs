//! Many sizes, one run each: a table of costs, lines fitted through them, and a check of these against a size that was
//! left out of the fit.

use super::ScaleError;
use super::args::ScaleArgs;
use super::chart;
use super::events::Waits;
use super::fit::{Plane, Point};
use super::report::{Cost, Run, names, revision};
use super::run::play;
use std::fmt::Write;
use std::path::PathBuf;
use std::time::Duration;

/// Sizes on the axis of heads, at [`NODES_THERE`] nodes each.
pub const HEADS: [u32; 4] = [250, 1000, 2100, 4200];
/// Nodes on the axis of heads.
pub const NODES_THERE: u32 = 2000;
/// Sizes on the axis of nodes, at [`HEADS_THERE`] heads each, but for the one on both axes.
pub const NODES: [u32; 3] = [500, 4000, 7100];
/// Heads on the axis of nodes.
pub const HEADS_THERE: u32 = 1000;
/// The size that is left out of the fit.
pub const LEFT_OUT: (u32, u32) = (4200, 7100);

/// The spans of one size: long enough for shares of a core, short enough for nine sizes.
fn waits() -> Waits {
    Waits {
        settle: Duration::from_secs(10),
        idle: Duration::from_secs(8),
        day: Duration::from_secs(8),
        day_versions: 40,
        ..Waits::new(true)
    }
}

/// What a figure is called, and where it is found in a run.
struct Figure {
    name: &'static str,
    of: fn(&Run) -> f64,
}

const FIGURES: [Figure; 9] = [
    Figure { name: "head: share of a core at rest", of: |run| run.idle.hollow.core_share },
    Figure { name: "head: share of a core, day", of: |run| run.day.hollow.core_share },
    Figure { name: "head: memory, MB", of: |run| run.day.hollow.memory_mb },
    Figure { name: "head: KB/s, day", of: |run| run.day.hollow.kb_s() },
    Figure { name: "control: share of a core at rest", of: |run| run.idle.control.core_share },
    Figure { name: "control: share of a core, day", of: |run| run.day.control.core_share },
    Figure { name: "control: memory, MB", of: |run| run.day.control.memory_mb },
    Figure { name: "control: KB/s, day", of: |run| run.day.control.kb_s() },
    Figure { name: "control: messages/s, day", of: |run| run.day.control.messages_s },
];

/// Plays all sizes and writes the table and the chart; gives the runs, the size left out at their end.
///
/// # Errors
///
/// A run fails, a figure can't be fitted, or the table or the chart can't be written.
pub async fn play_all(args: &ScaleArgs) -> Result<Vec<Run>, ScaleError> {
    let mut sizes: Vec<(u32, u32)> = HEADS.iter().map(|heads| (*heads, NODES_THERE)).collect();
    sizes.extend(NODES.iter().map(|nodes| (HEADS_THERE, *nodes)));
    sizes.push(LEFT_OUT);
    let mut runs = Vec::new();
    for (heads, nodes) in sizes {
        let size = ScaleArgs { heads, nodes, ..args.clone() };
        let run = play(&size, waits()).await?;
        eprintln!("flaxgap-lab: {heads} heads, {nodes} nodes: {:.1} s", run.took);
        println!("{}", serde_json::to_string(&run.summary())?);
        runs.push(run);
    }
    let name = if args.relays > 0 { "scale" } else { "scale-shared" };
    let path = |end: &str| -> PathBuf { args.results.join(format!("{name}{end}")) };
    let (table, picture) = (path("-grid.md"), path(".svg"));
    let written = std::fs::write(&table, document(&runs, args)?);
    written.map_err(|problem| ScaleError::Io(table.display().to_string(), problem))?;
    chart::draw(&runs, &picture)?;
    println!("written: {}, {}", table.display(), picture.display());
    Ok(runs)
}

/// The table, the fits and the check as a page.
fn document(runs: &[Run], args: &ScaleArgs) -> Result<String, ScaleError> {
    let mut text = String::new();
    let machines = match args.relays {
        0 => "all heads share the one stand-in for discovery".to_string(),
        relays => format!("{relays} relays"),
    };
    let factor = runs.first().map_or(0.0, |run| run.day_factor);
    _ = write!(
        text,
        "<!-- written by flaxgap-lab scale --grid -->\n\nRevision {}, seed {}, {machines}; the day's changes {factor:.0} \
         times as fast. Each row is a run of its own.\n\n",
        revision(),
        args.seed
    );
    costs(&mut text, runs, "at rest", |run| run.idle.hollow, |run| run.idle.control);
    costs(&mut text, runs, "under the day's changes", |run| run.day.hollow, |run| run.day.control);
    events(&mut text, runs);
    fits(&mut text, runs)?;
    Ok(text)
}

fn costs(text: &mut String, runs: &[Run], when: &str, head: fn(&Run) -> Cost, control: fn(&Run) -> Cost) {
    _ = write!(
        text,
        "Costs {when}: each hollow head, and the control machine that is busiest. `+ packets` is the estimate of what \
         packets add, both ways.\n\n\
         | heads | nodes | head: core | MB | KB/s in | KB/s out | + packets | messages/s | control: core | MB | KB/s in \
         | KB/s out | + packets | messages/s |\n\
         | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: |\n"
    );
    for run in runs {
        _ = write!(text, "| {} | {} |", run.heads, run.nodes);
        for cost in [head(run), control(run)] {
            _ = write!(
                text,
                " {:.5} | {:.2} | {:.3} | {:.3} | {:.2} | {:.2} |",
                cost.core_share,
                cost.memory_mb,
                cost.in_kb_s,
                cost.out_kb_s,
                cost.packets_kb_s(),
                cost.messages_s
            );
        }
        text.push('\n');
    }
    text.push('\n');
}

/// Events of each size: seconds until in force at the last head, and what they cost.
fn events(text: &mut String, runs: &[Run]) {
    let events = [
        names::DRAIN,
        names::REPLACED,
        names::RACK,
        names::ZONE_GOES,
        names::ZONE_BACK,
        names::STORM,
        names::CONTROL_DIES,
        names::CONTROL_BACK,
        names::HEAL,
        names::DAY,
    ];
    text.push_str(
        "Events: seconds until in force at the last head, and KB that control machines exchanged for it.\n\n",
    );
    text.push_str("| heads | nodes |");
    events.iter().for_each(|event| _ = write!(text, " {event} |"));
    text.push_str(" missed |\n| ---: | ---: |");
    text.push_str(&" ---: |".repeat(events.len() + 1));
    text.push('\n');
    for run in runs {
        _ = write!(text, "| {} | {} |", run.heads, run.nodes);
        for event in events {
            let outcome = run.outcomes.iter().find(|outcome| outcome.event == event);
            let last = outcome.and_then(|outcome| outcome.last_s);
            let last = last.map_or("-".to_string(), |last| format!("{last:.2}"));
            let bytes = outcome.and_then(|outcome| outcome.bytes);
            let bytes = bytes.map_or(String::new(), |bytes| format!(", {:.0} KB", bytes as f64 / 1e3));
            _ = write!(text, " {last}{bytes} |");
        }
        _ = writeln!(text, " {} |", run.summary().missed);
    }
    text.push('\n');
}

/// Lines through all sizes but the one left out, and how well they tell that one.
fn fits(text: &mut String, runs: &[Run]) -> Result<(), ScaleError> {
    let (left_out, fitted): (Vec<&Run>, Vec<&Run>) =
        runs.iter().partition(|run| (run.heads, run.nodes) == LEFT_OUT);
    _ = write!(
        text,
        "Lines by least squares through all sizes but {} heads before {} nodes, which checks them.\n\n\
         | cost | base | each 1,000 heads | each 1,000 nodes | explained | standard error | largest residual | checked: \
         measured | by the line | off |\n\
         | --- | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: |\n",
        LEFT_OUT.0, LEFT_OUT.1
    );
    for Figure { name, of } in &FIGURES {
        let point = |run: &&Run| Point { heads: run.heads.into(), nodes: run.nodes.into(), cost: of(run) };
        let plane = Plane::fit(&fitted.iter().map(point).collect::<Vec<_>>())?;
        let largest = plane.residuals.iter().map(|residual| residual.abs()).fold(0.0, f64::max);
        _ = write!(
            text,
            "| {name} | {} | {} | {} | {:.3} | {} | {} |",
            digits(plane.base),
            digits(plane.per_head * 1e3),
            digits(plane.per_node * 1e3),
            plane.explained,
            digits(plane.error),
            digits(largest)
        );
        for run in &left_out {
            let (measured, told) = (of(run), plane.at(run.heads.into(), run.nodes.into()));
            let off = (told / measured - 1.0) * 100.0;
            _ = write!(text, " {} | {} | {off:+.0} % |", digits(measured), digits(told));
        }
        text.push('\n');
    }
    Ok(())
}

/// Three digits that count.
fn digits(value: f64) -> String {
    let places = if value == 0.0 { 0 } else { (2 - value.abs().log10().floor() as i32).clamp(0, 8) as usize };
    format!("{value:.places$}")
}
