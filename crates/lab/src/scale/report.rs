//! What a run is reported as: costs of heads and control machines, tables for people, and the last line.

use super::events::Outcome;
use super::fleet::{ControlSample, FleetSample};
use super::message::Traffic;
use super::real::RealSample;
use comfy_table::{Table, presets::NOTHING};
use serde::Serialize;

/// Bytes of a KB, and of a MB of memory, as budgets have them.
const KB: f64 = 1e3;
const MB: f64 = 1e6;
/// What a packet takes beside its payload, in bytes: Ethernet (14), IPv4 (20), and TCP with timestamps (32).
pub const PACKET_OVERHEAD: f64 = 66.0;
/// Payload of the longest packet, in bytes, over Ethernet.
pub const PACKET_PAYLOAD: f64 = 1448.0;

/// What one process costs for control.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Cost {
    /// Share of one core.
    pub core_share: f64,
    /// Memory, in MB.
    pub memory_mb: f64,
    /// KB of payload received a second.
    pub in_kb_s: f64,
    /// KB of payload sent a second.
    pub out_kb_s: f64,
    /// Messages a second: lists, changes and signs of life, received by heads, sent by control machines.
    pub messages_s: f64,
    /// Calls a second: made by heads, taken by control machines.
    pub calls_s: f64,
}

impl Cost {
    /// Payload in both directions, in KB a second.
    pub fn kb_s(&self) -> f64 {
        self.in_kb_s + self.out_kb_s
    }

    /// What packets add to the payload by estimate, in KB a second. In each direction there are as many packets as
    /// messages and calls, or as the payload fills, whichever is more; each is acknowledged by one without payload.
    pub fn packets_kb_s(&self) -> f64 {
        let filled = self.kb_s() * KB / PACKET_PAYLOAD;
        let packets = (self.messages_s + self.calls_s).max(filled);
        2.0 * packets * PACKET_OVERHEAD / KB
    }
}

/// What the fleet cost between two samples.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Costs {
    /// A hollow head, on average.
    pub hollow: Cost,
    /// A real head, on average; none where there was none.
    pub real: Option<Cost>,
    /// The control machine that cost most processor time.
    pub control: Cost,
}

fn rate(count: u64, seconds: f64) -> f64 {
    count as f64 / seconds.max(1e-6)
}

impl Costs {
    /// Between two samples.
    pub fn between(from: &FleetSample, to: &FleetSample) -> Costs {
        Costs { hollow: hollow(from, to), real: real(&from.real, &to.real), control: control(from, to) }
    }

    /// By how much hollow heads differ from real ones; none where there are no real ones.
    fn difference(&self) -> Option<String> {
        let (hollow, real) = (&self.hollow, self.real.as_ref()?);
        let part = |of: fn(&Cost) -> f64| match of(real) {
            0.0 => "-".to_string(),
            of_real => format!("{:+.0} %", (of(hollow) / of_real - 1.0) * 100.0),
        };
        Some(format!(
            "hollow against real heads: core share {}, KB/s in {}, messages/s {}; memory {:+.2} MB (a real head is \
             a process of its own)",
            part(|cost| cost.core_share),
            part(|cost| cost.in_kb_s),
            part(|cost| cost.messages_s),
            hollow.memory_mb - real.memory_mb
        ))
    }
}

/// Traffic as a head's cost, over so many heads.
fn carried(cost: Cost, traffic: Traffic, seconds: f64, heads: f64) -> Cost {
    let each = |count| rate(count, seconds) / heads.max(1.0);
    Cost {
        in_kb_s: each(traffic.received) / KB,
        out_kb_s: each(traffic.sent) / KB,
        messages_s: each(traffic.messages),
        calls_s: each(traffic.calls),
        ..cost
    }
}

fn hollow(from: &FleetSample, to: &FleetSample) -> Cost {
    let (mut cost, mut heads, mut longest) = (Cost::default(), 0.0, 0.0f64);
    for ((earlier, ..), (usage, before, count)) in from.workers.iter().zip(&to.workers) {
        let seconds = usage.seconds_since(earlier);
        cost.core_share += (usage.processor - earlier.processor) / seconds.max(1e-6);
        cost.memory_mb += usage.memory.saturating_sub(before.memory) as f64 / MB;
        heads += *count as f64;
        longest = longest.max(seconds);
    }
    cost.core_share /= f64::max(heads, 1.0);
    cost.memory_mb /= f64::max(heads, 1.0);
    let counted = from.traffic.zip(to.traffic).map(|(from, to)| to.since(from));
    // Heads that don't count it: what control machines exchanged with all heads, the real ones among them.
    let exchanged = || {
        let mut traffic = Traffic::default();
        for (from, to) in from.control().iter().zip(to.control()) {
            traffic.received += to.served.sent - from.served.sent;
            traffic.sent += to.served.received - from.served.received;
            traffic.messages += to.served.messages - from.served.messages;
            traffic.calls += to.served.calls - from.served.calls;
        }
        (traffic, heads + to.real.len() as f64)
    };
    let (traffic, sharing) = counted.map_or_else(exchanged, |traffic| (traffic, heads));
    carried(cost, traffic, longest, sharing)
}

fn real(from: &[RealSample], to: &[RealSample]) -> Option<Cost> {
    let heads = to.len() as f64;
    let (mut cost, mut traffic, mut longest) = (Cost::default(), Traffic::default(), 0.0f64);
    for (from, to) in from.iter().zip(to) {
        longest = longest.max(to.usage.seconds_since(&from.usage));
        cost.core_share += to.usage.core_share_since(&from.usage) / heads;
        cost.memory_mb += to.usage.memory as f64 / MB / heads;
        let of_head = from.traffic.zip(to.traffic).map(|(from, to)| to.since(from));
        traffic = traffic.plus(of_head.unwrap_or_default());
    }
    (!to.is_empty()).then(|| carried(cost, traffic, longest, heads))
}

fn control(from: &FleetSample, to: &FleetSample) -> Cost {
    let costs = from.control().iter().zip(to.control()).map(|(from, to)| control_cost(from, to));
    costs.max_by(|a, b| a.core_share.total_cmp(&b.core_share)).unwrap_or_default()
}

fn control_cost(from: &ControlSample, to: &ControlSample) -> Cost {
    let seconds = to.usage.seconds_since(&from.usage);
    Cost {
        core_share: to.usage.core_share_since(&from.usage),
        memory_mb: to.usage.memory as f64 / MB,
        in_kb_s: rate(to.served.received - from.served.received, seconds) / KB,
        out_kb_s: rate(to.served.sent - from.served.sent, seconds) / KB,
        messages_s: rate(to.served.messages - from.served.messages, seconds),
        calls_s: rate(to.served.calls - from.served.calls, seconds),
    }
}

/// What a run came to.
#[derive(Clone, Debug, Default)]
pub struct Run {
    /// Heads, the real ones among them.
    pub heads: u32,
    /// Storage nodes.
    pub nodes: u32,
    /// Control machines that heads talk to.
    pub control_machines: u32,
    /// The run's seed.
    pub seed: u64,
    /// Costs while nothing changes.
    pub idle: Costs,
    /// Costs under the ordinary day's changes, faster.
    pub day: Costs,
    /// How many times faster.
    pub day_factor: f64,
    /// How long regions were cut off from each other, in seconds.
    pub cut_s: f64,
    /// What became of the events.
    pub outcomes: Vec<Outcome>,
    /// Heads whose list was not the true one at the end.
    pub astray: usize,
    /// Requests that real heads served, and those that they did not.
    pub requests: (u64, u64),
    /// How long it took, in seconds.
    pub took: f64,
}

/// The last line.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Summary {
    /// Heads, the real ones among them.
    pub heads: u32,
    /// Storage nodes.
    pub nodes: u32,
    /// Control machines that heads talk to; one stand-in for discovery where there are no relays.
    pub control_machines: u32,
    /// Share of a core that a real head takes for control under the ordinary day's changes, speeded up by `day_factor`;
    /// a hollow one's where there is no real one.
    pub head_core_share: f64,
    /// The same at rest.
    pub head_core_share_idle: f64,
    /// A hollow head's under the changes: in a process with many, each wake-up serves several.
    pub head_core_share_hollow: f64,
    /// Memory of a real head, or of a hollow one where there is none.
    pub head_memory_mb: f64,
    /// Memory of a hollow head.
    pub head_memory_hollow_mb: f64,
    /// KB of payload a second, both ways, of a hollow head under the same changes; real ones exchange the same.
    pub head_kb_s: f64,
    /// Share of a core of the busiest control machine under the same changes.
    pub control_core_share: f64,
    /// Its memory.
    pub control_memory_mb: f64,
    /// Its KB of payload a second, both ways.
    pub control_kb_s: f64,
    /// Seconds until a change was in force at 99 in 100 heads: the slowest of a drain and of the day's changes.
    pub change_p99_s: Option<f64>,
    /// At the last head.
    pub change_last_s: Option<f64>,
    /// Until a replaced node was in force at the last head.
    pub node_replaced_last_s: Option<f64>,
    /// Until a configuration was in force at the last head; nothing carries it today.
    pub configuration_last_s: Option<f64>,
    /// Until the last of the heads that started at once with nothing had the list in force.
    pub restart_storm_last_s: Option<f64>,
    /// From the end of a cut until all was in force at the last head.
    pub partition_heal_last_s: Option<f64>,
    /// Heads, for each change, at which it was not in force in the time waited, and heads with a wrong list at the end.
    pub missed: usize,
    /// How many times faster than on an ordinary day the list changed.
    pub day_factor: f64,
    /// How long regions were cut off from each other, in seconds.
    pub cut_s: f64,
    /// The run's seed.
    pub seed: u64,
    /// The revision that was measured.
    pub revision: String,
    /// How long the run took, in seconds.
    pub took_s: f64,
}

/// Names of the events that the last line speaks of.
pub mod names {
    /// One node drains.
    pub const DRAIN: &str = "one node drains";
    /// Another node takes the place of one.
    pub const REPLACED: &str = "one node takes another's place";
    /// Forty nodes leave.
    pub const RACK: &str = "a rack goes";
    /// An eighth of all leaves.
    pub const ZONE_GOES: &str = "a zone goes";
    /// And returns.
    pub const ZONE_BACK: &str = "the zone comes back";
    /// An eighth of the heads starts with nothing.
    pub const STORM: &str = "heads start at once with nothing";
    /// A control machine ends.
    pub const CONTROL_DIES: &str = "a control machine dies";
    /// And starts with nothing.
    pub const CONTROL_BACK: &str = "the control machine comes back empty";
    /// What the region that still hears has during a cut.
    pub const CUT_NEAR: &str = "regions lose each other: in the one that hears";
    /// What the other one has after it.
    pub const HEAL: &str = "regions find each other: in the one that was cut off";
    /// The ordinary day, faster.
    pub const DAY: &str = "changes of an ordinary day";
    /// A configuration.
    pub const CONFIGURATION: &str = "a configuration changes";
}

fn most(values: impl Iterator<Item = Option<f64>>) -> Option<f64> {
    values.flatten().max_by(f64::total_cmp)
}

impl Run {
    fn of(&self, event: &str) -> Option<&Outcome> {
        self.outcomes.iter().find(|outcome| outcome.event == event)
    }

    /// The last line.
    pub fn summary(&self) -> Summary {
        let last = |event| self.of(event).and_then(|outcome| outcome.last_s);
        let changes = || [names::DRAIN, names::DAY].into_iter().filter_map(|event| self.of(event));
        let (hollow, control) = (&self.day.hollow, &self.day.control);
        Summary {
            heads: self.heads,
            nodes: self.nodes,
            control_machines: self.control_machines,
            head_core_share: self.day.real.unwrap_or(*hollow).core_share,
            head_core_share_idle: self.idle.real.unwrap_or(self.idle.hollow).core_share,
            head_core_share_hollow: hollow.core_share,
            head_memory_mb: self.day.real.unwrap_or(*hollow).memory_mb,
            head_memory_hollow_mb: hollow.memory_mb,
            head_kb_s: hollow.kb_s(),
            control_core_share: control.core_share,
            control_memory_mb: control.memory_mb,
            control_kb_s: control.kb_s(),
            change_p99_s: most(changes().map(|outcome| outcome.p99_s)),
            change_last_s: most(changes().map(|outcome| outcome.last_s)),
            node_replaced_last_s: last(names::REPLACED),
            configuration_last_s: last(names::CONFIGURATION),
            restart_storm_last_s: last(names::STORM),
            partition_heal_last_s: last(names::HEAL),
            missed: self.outcomes.iter().map(|outcome| outcome.missed).sum::<usize>() + self.astray,
            day_factor: self.day_factor,
            cut_s: self.cut_s,
            seed: self.seed,
            revision: revision(),
            took_s: self.took,
        }
    }

    /// What each head and control machine costs.
    pub fn costs(&self) -> Table {
        let mut shown = Table::new();
        shown.load_preset(NOTHING).set_header([
            "costs",
            "core share",
            "MB",
            "KB/s in",
            "KB/s out",
            "packets add",
            "messages/s",
            "calls/s",
        ]);
        let factor = format!("day x {:.0}", self.day_factor);
        for (when, costs) in [("idle", &self.idle), (factor.as_str(), &self.day)] {
            let rows = [
                ("hollow head", Some(costs.hollow)),
                ("real head", costs.real),
                ("control", Some(costs.control)),
            ];
            for (who, cost) in rows {
                let Some(cost) = cost else { continue };
                shown.add_row([
                    format!("{who}, {when}"),
                    format!("{:.5}", cost.core_share),
                    format!("{:.2}", cost.memory_mb),
                    format!("{:.3}", cost.in_kb_s),
                    format!("{:.3}", cost.out_kb_s),
                    format!("{:.3}", cost.packets_kb_s()),
                    format!("{:.2}", cost.messages_s),
                    format!("{:.3}", cost.calls_s),
                ]);
            }
        }
        shown
    }

    /// By how much the hollow heads differ from the real ones, for control alone.
    pub fn difference(&self) -> String {
        let of = |when: &str, costs: &Costs| costs.difference().map(|text| format!("{when}: {text}"));
        let lines = [of("at rest", &self.idle), of("under the day's changes", &self.day)];
        lines.into_iter().flatten().collect::<Vec<_>>().join("\n")
    }

    /// What became of the events.
    pub fn events(&self) -> Table {
        let mut shown = Table::new();
        shown.load_preset(NOTHING).set_header([
            "event",
            "heads",
            "versions",
            "half s",
            "99 in 100",
            "last",
            "missed",
            "KB",
        ]);
        let seconds = |value: Option<f64>| value.map_or("-".into(), |value| format!("{value:.3}"));
        for outcome in &self.outcomes {
            shown.add_row([
                outcome.event.to_string(),
                outcome.heads.to_string(),
                outcome.versions.to_string(),
                seconds(outcome.half_s),
                seconds(outcome.p99_s),
                seconds(outcome.last_s),
                outcome.missed.to_string(),
                outcome.bytes.map_or("-".into(), |bytes| format!("{:.1}", bytes as f64 / KB)),
            ]);
        }
        shown
    }
}

/// The revision in the working folder, or what `FLAXGAP_REVISION` says it is.
pub fn revision() -> String {
    let told = std::env::var("FLAXGAP_REVISION").ok().filter(|revision| !revision.is_empty());
    let from_git = || {
        let mut command = std::process::Command::new("git");
        let output = command.args(["describe", "--always", "--dirty", "--exclude=*"]).output().ok()?;
        let text = String::from_utf8(output.stdout).ok().filter(|_| output.status.success())?;
        Some(text.trim().to_string()).filter(|text| !text.is_empty())
    };
    told.or_else(from_git).unwrap_or_else(|| "unknown".into())
}
