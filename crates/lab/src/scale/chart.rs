//! The chart of cost against size, with the budget as a line.

use super::ScaleError;
use super::grid::{HEADS_THERE, NODES_THERE};
use super::report::Run;
use plotters::coord::Shift;
use plotters::prelude::*;
use std::path::Path;

/// The plan's budget for control, for each head: a hundredth of a core, 128 MB, 15 KB a second.
pub const HEAD_CORE_SHARE: f64 = 0.01;
/// Memory, in MB.
pub const HEAD_MEMORY_MB: f64 = 128.0;
/// Payload both ways, in KB a second.
pub const HEAD_KB_S: f64 = 15.0;
/// A control machine is one thread: it has one core at most.
pub const CONTROL_CORE_SHARE: f64 = 1.0;

const SIZE: (u32, u32) = (1000, 760);
const MEASURED: RGBColor = RGBColor(31, 98, 160);
const AT_REST: RGBColor = RGBColor(120, 170, 90);
const REAL: RGBColor = RGBColor(200, 130, 30);
const BUDGET: RGBColor = RGBColor(190, 50, 40);
/// How far above the budget the axis goes, and how far below the least value, where the lines' names have room.
const ABOVE: f64 = 2.0;
const BELOW: f64 = 10.0;

/// Costs by size, in the order of sizes.
struct Line<'a> {
    name: &'a str,
    color: RGBColor,
    points: Vec<(f64, f64)>,
}

/// One of the chart's pictures.
struct Panel<'a> {
    title: &'a str,
    size: &'a str,
    budget: (f64, &'a str),
    /// Where the lines leave room for their names.
    legend: SeriesLabelPosition,
    /// Costs, by what they were measured under.
    lines: Vec<Line<'a>>,
}

/// Draws the chart into a file.
///
/// # Errors
///
/// The chart can't be drawn, or its file can't be written.
pub fn draw(runs: &[Run], path: &Path) -> Result<(), ScaleError> {
    let area = SVGBackend::new(path, SIZE).into_drawing_area();
    let failed = |problem: String| ScaleError::Chart(format!("{}: {problem}", path.display()));
    area.fill(&WHITE).map_err(|problem| failed(problem.to_string()))?;
    for (panel, area) in panels(runs).iter().zip(area.split_evenly((2, 2))) {
        panel.draw(&area).map_err(|problem| failed(problem.to_string()))?;
    }
    area.present().map_err(|problem| failed(problem.to_string()))
}

fn panels(runs: &[Run]) -> Vec<Panel<'static>> {
    let by_heads = |cost: fn(&Run) -> f64| {
        let there = runs.iter().filter(|run| run.nodes == NODES_THERE);
        sorted(there.map(|run| (f64::from(run.heads), cost(run))).collect())
    };
    let by_nodes = |cost: fn(&Run) -> f64| {
        let there = runs.iter().filter(|run| run.heads == HEADS_THERE);
        sorted(there.map(|run| (f64::from(run.nodes), cost(run))).collect())
    };
    vec![
        Panel {
            title: "head: share of a core, 2,000 nodes",
            size: "heads",
            budget: (HEAD_CORE_SHARE, "budget: 1 %"),
            legend: SeriesLabelPosition::LowerLeft,
            lines: vec![
                Line {
                    name: "real, under changes",
                    color: REAL,
                    points: by_heads(|run| run.day.real.unwrap_or(run.day.hollow).core_share),
                },
                Line {
                    name: "hollow, under changes",
                    color: MEASURED,
                    points: by_heads(|run| run.day.hollow.core_share),
                },
                Line {
                    name: "hollow, at rest",
                    color: AT_REST,
                    points: by_heads(|run| run.idle.hollow.core_share),
                },
            ],
        },
        Panel {
            title: "head: KB a second, 2,000 nodes",
            size: "heads",
            budget: (HEAD_KB_S, "budget: 15 KB/s"),
            legend: SeriesLabelPosition::MiddleRight,
            lines: vec![
                Line {
                    name: "under changes",
                    color: MEASURED,
                    points: by_heads(|run| run.day.hollow.kb_s()),
                },
                Line { name: "at rest", color: AT_REST, points: by_heads(|run| run.idle.hollow.kb_s()) },
            ],
        },
        Panel {
            title: "head: memory in MB, 1,000 heads",
            size: "nodes",
            budget: (HEAD_MEMORY_MB, "budget: 128 MB"),
            legend: SeriesLabelPosition::LowerRight,
            lines: vec![
                Line {
                    name: "real head",
                    color: REAL,
                    points: by_nodes(|run| run.day.real.unwrap_or(run.day.hollow).memory_mb),
                },
                Line {
                    name: "hollow head",
                    color: MEASURED,
                    points: by_nodes(|run| run.day.hollow.memory_mb),
                },
            ],
        },
        Panel {
            title: "busiest control machine: share of a core, 2,000 nodes",
            size: "heads",
            budget: (CONTROL_CORE_SHARE, "one core"),
            legend: SeriesLabelPosition::LowerRight,
            lines: vec![
                Line {
                    name: "under changes",
                    color: MEASURED,
                    points: by_heads(|run| run.day.control.core_share),
                },
                Line { name: "at rest", color: AT_REST, points: by_heads(|run| run.idle.control.core_share) },
            ],
        },
    ]
}

fn sorted(mut points: Vec<(f64, f64)>) -> Vec<(f64, f64)> {
    points.sort_by(|a, b| a.0.total_cmp(&b.0));
    points
}

type Area<'a> = DrawingArea<SVGBackend<'a>, Shift>;

impl Panel<'_> {
    fn draw(&self, area: &Area<'_>) -> Result<(), Box<dyn std::error::Error>> {
        let points = || self.lines.iter().flat_map(|line| &line.points);
        let least = points().map(|(_, cost)| *cost).filter(|cost| *cost > 0.0).fold(self.budget.0, f64::min);
        let most = points().map(|(_, cost)| *cost).fold(self.budget.0, f64::max);
        let widest = points().map(|(size, _)| *size).fold(1.0, f64::max) * 1.05;
        let mut chart = ChartBuilder::on(area)
            .caption(self.title, ("sans-serif", 17))
            .margin(12)
            .x_label_area_size(36)
            .y_label_area_size(64)
            .build_cartesian_2d(0.0..widest, (least / BELOW..most * ABOVE).log_scale())?;
        chart
            .configure_mesh()
            .x_desc(self.size)
            .y_labels(5)
            .x_label_formatter(&|size| format!("{size:.0}"))
            .y_label_formatter(&|cost| format!("{cost}"))
            .light_line_style(WHITE)
            .draw()?;
        let (budget, name) = self.budget;
        chart
            .draw_series(LineSeries::new([(0.0, budget), (widest, budget)], BUDGET.stroke_width(2)))?
            .label(name)
            .legend(|(x, y)| PathElement::new([(x, y), (x + 18, y)], BUDGET.stroke_width(2)));
        for Line { name, color, points } in &self.lines {
            let color = *color;
            chart
                .draw_series(LineSeries::new(points.iter().copied(), color.stroke_width(2)).point_size(4))?
                .label(*name)
                .legend(move |(x, y)| PathElement::new([(x, y), (x + 18, y)], color.stroke_width(2)));
        }
        chart
            .configure_series_labels()
            .position(self.legend.clone())
            .background_style(WHITE.mix(0.8))
            .border_style(BLACK.mix(0.3))
            .draw()?;
        Ok(())
    }
}
