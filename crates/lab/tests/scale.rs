//! `flaxgap-lab scale` as a command, at sizes that any machine plays; what it figures with is tried on known data.

use flaxgap_lab::scale::chart;
use flaxgap_lab::scale::fit::{Plane, Point, percentile};
use flaxgap_lab::scale::limits::{LimitsError, Needs};
use flaxgap_lab::scale::report::{Cost, Costs, Run};
use serde_json::Value;
use std::path::Path;
use std::process::{Command, Output};
use std::time::{Duration, Instant};

const TOOL: &str = env!("CARGO_BIN_EXE_flaxgap-lab");

fn scale(arguments: &[&str]) -> Output {
    Command::new(TOOL).arg("scale").args(arguments).output().expect("the tool runs")
}

/// Whether a program of the project stands beside the tool; a run without it says so in its output.
fn built(name: &str) -> bool {
    let built = Path::new(TOOL).with_file_name(name).is_file();
    if !built {
        println!("{name} is not built: left out");
    }
    built
}

fn summary(output: &Output) -> Value {
    let text = String::from_utf8_lossy(&output.stdout);
    let errors = String::from_utf8_lossy(&output.stderr);
    assert!(output.status.success(), "{text}{errors}");
    let last = text.lines().next_back().unwrap_or_default();
    serde_json::from_str(last).unwrap_or_else(|problem| panic!("{problem}: {last}"))
}

fn a_small_fleet(seed: u64) {
    let real = if built("flaxgap") { "1" } else { "0" };
    let seed_text = seed.to_string();
    let output = scale(&[
        "--heads",
        "20",
        "--nodes",
        "50",
        "--workers",
        "2",
        "--quick",
        "--real",
        real,
        "--seed",
        &seed_text,
    ]);
    let summary = summary(&output);
    assert_eq!(summary["missed"], 0, "{summary}");
    assert_eq!((&summary["heads"], &summary["nodes"]), (&20.into(), &50.into()));
    assert_eq!((&summary["seed"], &summary["control_machines"]), (&seed.into(), &1.into()));
    let figures = [
        "head_core_share",
        "head_memory_mb",
        "head_kb_s",
        "control_core_share",
        "control_memory_mb",
        "control_kb_s",
        "change_p99_s",
        "change_last_s",
        "node_replaced_last_s",
        "restart_storm_last_s",
        "partition_heal_last_s",
    ];
    for figure in figures {
        assert!(summary[figure].as_f64().is_some_and(|value| value > 0.0), "{figure}: {summary}");
    }
    let fields = summary.as_object().expect("an object");
    assert!(fields.contains_key("configuration_last_s"), "{summary}");
    assert!(summary["configuration_last_s"].is_null(), "nothing carries a configuration: {summary}");
    assert!(summary["revision"].is_string(), "{summary}");
    // Events and real heads are named for people.
    let text = String::from_utf8_lossy(&output.stdout);
    let words = ["one node drains", "a zone goes", "regions find each other", "a configuration changes"];
    assert!(words.iter().all(|word| text.contains(word)), "{text}");
    assert_eq!(text.contains("no real heads"), real == "0", "{text}");
}

#[test]
fn a_small_fleet_has_every_change_in_force() {
    a_small_fleet(1);
}

/// Given another seed, then other nodes and heads are hit, and every change is in force as well.
#[test]
fn a_small_fleet_has_every_change_in_force_with_another_seed() {
    a_small_fleet(2);
}

/// Given fewer descriptors than the fleet takes, then it says how many are needed and how many there are.
#[test]
fn too_few_descriptors_are_told_before_anything_starts() {
    let line =
        format!("ulimit -n 200; exec '{TOOL}' scale --heads 100 --nodes 50 --real 0 --workers 1 --quick");
    let output = Command::new("sh").arg("-c").arg(line).output().expect("a shell");
    let errors = String::from_utf8_lossy(&output.stderr);
    assert!(!output.status.success());
    assert!(errors.contains("264 descriptors are needed") && errors.contains("is 200"), "{errors}");
    assert!(output.stdout.is_empty());
}

/// Given a real head's program that is not there, then the error names it and the option.
#[test]
fn a_missing_program_is_named() {
    let output = scale(&["--heads", "20", "--nodes", "50", "--quick", "--head", "/nowhere/flaxgap"]);
    let errors = String::from_utf8_lossy(&output.stderr);
    assert!(!output.status.success());
    assert!(errors.contains("/nowhere/flaxgap") && errors.contains("--head"), "{errors}");
}

/// Given a time limit, when it is over, then the run ends with an error, and so have all its children: they hold the
/// pipe that is read to its end here.
#[test]
fn a_time_limit_ends_the_run_and_its_children() {
    let began = Instant::now();
    let output = scale(&["--heads", "40", "--nodes", "50", "--quick", "--real", "0", "--time-limit", "2"]);
    let errors = String::from_utf8_lossy(&output.stderr);
    assert!(!output.status.success());
    assert!(errors.contains("time limit of 2s"), "{errors}");
    assert!(began.elapsed() < Duration::from_secs(10), "{:?}", began.elapsed());
}

#[test]
fn limits_name_what_is_too_much() {
    let needs = |processes, memory| Needs {
        processes,
        worker_descriptors: 10,
        control_descriptors: 10,
        memory,
        head_memory: 1,
    };
    assert_eq!(needs(10, 1 << 30).check(20), Ok(()));
    assert_eq!(needs(300, 1 << 30).check(20), Err(LimitsError::Processes { needed: 300 }));
    assert!(matches!(needs(10, 13 << 30).check(20), Err(LimitsError::Memory { needed_mb: 13312, .. })));
    assert!(matches!(needs(10, 0).check(9), Err(LimitsError::Descriptors { needed: 10, limit: 9, .. })));
}

#[test]
fn percentiles_are_by_the_nearest_rank() {
    let values: Vec<f64> = (1..=200).rev().map(f64::from).collect();
    assert_eq!(percentile(&values, 0.5), Some(100.0));
    assert_eq!(percentile(&values, 0.99), Some(198.0));
    assert_eq!(percentile(&values, 1.0), Some(200.0));
    assert_eq!(percentile(&[7.0], 0.01), Some(7.0));
    assert_eq!(percentile(&[], 0.5), None);
}

/// Given costs on a plane, then the fit finds it, and with one point off it the residuals show that point.
#[test]
fn a_fit_finds_the_plane_and_shows_what_is_off_it() {
    let cost = |heads: f64, nodes: f64| 3.0 + 0.002 * heads + 0.0005 * nodes;
    let sizes = [(250.0, 2000.0), (1000.0, 2000.0), (2100.0, 2000.0), (1000.0, 500.0), (1000.0, 7100.0)];
    let mut points: Vec<Point> = sizes
        .iter()
        .map(|(heads, nodes)| Point { heads: *heads, nodes: *nodes, cost: cost(*heads, *nodes) })
        .collect();
    let plane = Plane::fit(&points).expect("a fit");
    assert!((plane.base - 3.0).abs() < 1e-6 && (plane.per_head - 0.002).abs() < 1e-9, "{plane:?}");
    assert!((plane.per_node - 0.0005).abs() < 1e-9 && plane.explained > 0.999999, "{plane:?}");
    assert!(plane.residuals.iter().all(|residual| residual.abs() < 1e-6), "{plane:?}");
    assert!((plane.at(4200.0, 7100.0) - cost(4200.0, 7100.0)).abs() < 1e-6, "a size left out of the fit");
    points[3].cost += 1.0;
    let plane = Plane::fit(&points).expect("a fit");
    let largest = plane.residuals.iter().map(|residual| residual.abs()).fold(0.0, f64::max);
    assert!(largest > 0.1 && plane.explained < 0.999, "{plane:?}");
}

/// Given runs of several sizes, then the chart has each of its pictures with the budget in it.
#[test]
fn the_chart_has_the_budget_as_a_line() {
    let cost = |core_share, kb: f64| Cost { core_share, memory_mb: kb * 4.0, in_kb_s: kb, ..Cost::default() };
    let costs =
        |size: f64| Costs { hollow: cost(0.0004, 1.5), real: None, control: cost(size / 1e5, size / 10.0) };
    let run = |(heads, nodes): (u32, u32)| {
        let (idle, day) = (costs(f64::from(heads) / 8.0), costs(f64::from(heads)));
        Run { heads, nodes, idle, day, ..Run::default() }
    };
    let sizes =
        [(250, 2000), (1000, 2000), (2100, 2000), (4200, 2000), (1000, 500), (1000, 4000), (1000, 7100)];
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join("scale.svg");
    chart::draw(&sizes.map(run), &path).expect("a chart");
    let text = std::fs::read_to_string(&path).expect("the file");
    assert!(text.starts_with("<svg"), "{text:.100}");
    for words in ["budget: 1 %", "budget: 15 KB/s", "budget: 128 MB", "one core"] {
        assert!(text.contains(words), "{words}");
    }
}
