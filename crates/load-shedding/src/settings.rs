//! The ladder as operators word it, in TOML, and its check. What is wrong is told with line and key; nothing is
//! taken from a file that is wrong anywhere.

use crate::signal::Signal;
use serde::Deserialize;
use std::collections::BTreeMap;
use std::ops::Range;
use thiserror::Error;
use toml::Spanned;

/// How much of a class's work on a plan a level lets pass. Each lets pass less than the one before.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Pass {
    /// Everything.
    #[default]
    All,
    /// What is inside the volume's reserve, and inside its share of what is left.
    Share,
    /// What is inside the volume's reserve.
    Reserve,
    /// Single requests that show whether the way is open again.
    Nothing,
}

/// What a level lets pass, by class and plan; what is not there passes.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Passes(pub Vec<Vec<Pass>>);

impl Passes {
    /// Everything passes.
    fn all(names: &Names) -> Passes {
        Passes(vec![vec![Pass::All; names.plans.len()]; names.classes.len()])
    }

    /// What passes of a class on a plan.
    pub fn of(&self, class: usize, plan: usize) -> Pass {
        self.0.get(class).and_then(|plans| plans.get(plan)).copied().unwrap_or_default()
    }

    /// Whether nothing is held back.
    pub fn is_all(&self) -> bool {
        self.0.iter().flatten().all(|pass| *pass == Pass::All)
    }

    fn tighten(&mut self, class: usize, plan: usize, pass: Pass) {
        if let Some(known) = self.0.get_mut(class).and_then(|plans| plans.get_mut(plan)) {
            *known = pass.max(*known);
        }
    }
}

/// A threshold on one signal.
#[derive(Clone, Debug, PartialEq)]
pub struct Condition {
    /// The signal's name, as it was worded.
    pub name: String,
    /// What is read.
    pub signal: Signal,
    /// The value, in the signal's unit.
    pub threshold: f64,
}

/// One level above `normal`.
#[derive(Clone, Debug, PartialEq)]
pub struct Rung {
    /// Its name.
    pub name: String,
    /// What it lets pass.
    pub passes: Passes,
    /// It is entered when any of these is past its threshold. Without any, it is only passed through on the way
    /// down.
    pub enter: Vec<Condition>,
    /// It is left when all of these are on the good side of theirs.
    pub leave: Vec<Condition>,
    /// Least stay, in seconds.
    pub dwell: f64,
}

/// How one scope's ladder moves.
#[derive(Clone, Debug, PartialEq)]
pub struct LadderSettings {
    /// The levels above `normal`, the mildest first.
    pub rungs: Vec<Rung>,
    /// Seconds that evidence is gathered over.
    pub window: f64,
    /// Part of the looks in the window that must agree.
    pub evidence: f64,
    /// Most that the dwell grows to when a step down brings the pressure back, in seconds.
    pub dwell_most: f64,
    /// Changes within `changes_span` seconds at most, pins apart. Entries leave room for the steps down.
    pub changes: usize,
    /// The span that changes are counted over, in seconds.
    pub changes_span: f64,
    /// Seconds without any known reading after which a level is given up, one step at a time.
    pub blind: f64,
    /// Seconds between two looks.
    pub period: f64,
}

/// All that operators settle.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Seconds between two looks.
    pub period: f64,
    /// Age in seconds past which a reading is stale.
    pub stale: f64,
    /// Seconds after a node's last word, or its last attempt's end, for which something is known of it.
    pub recent: f64,
    /// Span in seconds that parts and means are taken over.
    pub span: f64,
    /// Least requests in a span that a part is taken of.
    pub least: f64,
    /// Seconds without an answer after which a node counts as lost.
    pub silent_after: f64,
    /// The ladder of the whole head.
    pub head: LadderSettings,
    /// The ladder that each hall has of its own.
    pub hall: LadderSettings,
    /// What is called how.
    pub names: Names,
}

/// The names that settings and reports use, by number.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Names {
    /// Request classes.
    pub classes: Vec<String>,
    /// Plans.
    pub plans: Vec<String>,
    /// Halls (zones).
    pub halls: Vec<String>,
}

impl Names {
    /// A hall's name.
    pub fn hall(&self, hall: u16) -> String {
        self.halls.get(usize::from(hall)).cloned().unwrap_or_else(|| format!("hall {hall}"))
    }
}

/// Settings that can't be used.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
#[error("line {line}: {key}: {problem}")]
pub struct SettingsError {
    /// The line in the file, from 1.
    pub line: usize,
    /// The key's path.
    pub key: String,
    /// What is wrong.
    pub problem: String,
}

/// The `[levels]` table as it stands in a file.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LevelsFile {
    period_s: Option<Spanned<f64>>,
    stale_s: Option<Spanned<f64>>,
    recent_s: Option<Spanned<f64>>,
    span_s: Option<Spanned<f64>>,
    least_requests: Option<Spanned<f64>>,
    silent_after_s: Option<Spanned<f64>>,
    #[serde(default)]
    head: LadderFile,
    #[serde(default)]
    hall: LadderFile,
}

#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
struct LadderFile {
    window_s: Option<Spanned<f64>>,
    evidence: Option<Spanned<f64>>,
    dwell_s: Option<Spanned<f64>>,
    dwell_most_s: Option<Spanned<f64>>,
    changes: Option<Spanned<f64>>,
    changes_span_s: Option<Spanned<f64>>,
    blind_s: Option<Spanned<f64>>,
    level: Option<Vec<Spanned<RungFile>>>,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct RungFile {
    name: Spanned<String>,
    #[serde(default)]
    lets: Vec<Spanned<LetsFile>>,
    #[serde(default)]
    enter: BTreeMap<String, Spanned<f64>>,
    #[serde(default)]
    leave: BTreeMap<String, Spanned<f64>>,
    dwell_s: Option<Spanned<f64>>,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct LetsFile {
    pass: Pass,
    classes: Option<Vec<Spanned<String>>>,
    plans: Option<Vec<Spanned<String>>>,
}

/// The ladders where the file words none. `SAVES` stands for the classes that change data.
const DEFAULT_HEAD: &str = r#"
[[level]]
name = "trim"
lets = [{ pass = "share" }]
enter = { aims = 0.9, held = 0.5 }
leave = { aims = 0.96, held = 0.3 }

[[level]]
name = "saves-limited"
lets = [{ pass = "share" }, { pass = "reserve", classes = [SAVES] }]
enter = { aims = 0.8, held = 0.65 }
leave = { aims = 0.93, held = 0.4 }

[[level]]
name = "reserve-only"
lets = [{ pass = "reserve" }]
enter = { aims = 0.65, held = 0.8 }
leave = { aims = 0.9, held = 0.5 }
"#;
const DEFAULT_HALL: &str = r#"
[[level]]
name = "hall-returning"
lets = [{ pass = "share" }]
leave = { nodes_lost = 0.2, aims = 0.9 }
dwell_s = 6.0

[[level]]
name = "hall-cut"
lets = [{ pass = "nothing" }]
enter = { nodes_lost = 0.75 }
leave = { nodes_lost = 0.5 }
dwell_s = 2.0
"#;

/// Reads one file's table against its text, for the lines.
struct Reader<'a> {
    text: &'a str,
    names: &'a Names,
}

impl Reader<'_> {
    fn fail<T>(
        &self,
        at: Range<usize>,
        key: impl Into<String>,
        problem: impl Into<String>,
    ) -> Result<T, SettingsError> {
        let line = 1 + self.text.get(..at.start).unwrap_or_default().matches('\n').count();
        Err(SettingsError { line, key: key.into(), problem: problem.into() })
    }

    fn figure(
        &self,
        from: &Option<Spanned<f64>>,
        key: &str,
        otherwise: f64,
        range: (f64, f64),
    ) -> Result<f64, SettingsError> {
        let Some(found) = from else { return Ok(otherwise) };
        let value = *found.get_ref();
        if value >= range.0 && value <= range.1 {
            return Ok(value);
        }
        self.fail(found.span(), key, format!("{value} is not from {} to {}", range.0, range.1))
    }

    /// The numbers of some names; all where none are named.
    fn numbers(
        &self,
        named: &Option<Vec<Spanned<String>>>,
        known: &[String],
        key: &str,
        kind: &str,
    ) -> Result<Vec<usize>, SettingsError> {
        let Some(named) = named else { return Ok((0..known.len()).collect()) };
        let number = |name: &Spanned<String>| match known.iter().position(|k| k == name.get_ref()) {
            Some(number) => Ok(number),
            None => self.fail(
                name.span(),
                key,
                format!("unknown {kind} {:?}; known are {}", name.get_ref(), known.join(", ")),
            ),
        };
        named.iter().map(number).collect()
    }

    fn conditions(
        &self,
        from: &BTreeMap<String, Spanned<f64>>,
        key: &str,
    ) -> Result<Vec<Condition>, SettingsError> {
        let mut conditions = Vec::new();
        for (name, value) in from {
            let (key, threshold) = (format!("{key}.{name}"), *value.get_ref());
            let Some(signal) = Signal::parse(name, &self.names.classes) else {
                return self.fail(value.span(), key, "no such signal, or an unknown class");
            };
            if !(threshold >= 0.0 && threshold <= signal.most()) {
                return self.fail(
                    value.span(),
                    key,
                    format!("{threshold} is not from 0 to {}", signal.most()),
                );
            }
            conditions.push(Condition { name: name.clone(), signal, threshold });
        }
        Ok(conditions)
    }

    fn rung(
        &self,
        file: &Spanned<RungFile>,
        key: &str,
        below: &Passes,
        dwell: f64,
        window: f64,
    ) -> Result<Rung, SettingsError> {
        let (span, file) = (file.span(), file.get_ref());
        let name = file.name.get_ref();
        let spelt = name.chars().all(|c| c.is_ascii_lowercase() || c.is_ascii_digit() || c == '-');
        if name.is_empty() || name == "normal" || !spelt {
            let problem = "a name is of small letters, digits and hyphens, and not `normal`";
            return self.fail(file.name.span(), format!("{key}.name"), problem);
        }
        let mut passes = Passes::all(self.names);
        for lets in &file.lets {
            let key = format!("{key}.lets");
            let classes = self.numbers(&lets.get_ref().classes, &self.names.classes, &key, "class")?;
            let plans = self.numbers(&lets.get_ref().plans, &self.names.plans, &key, "plan")?;
            for class in classes {
                plans.iter().for_each(|plan| passes.tighten(class, *plan, lets.get_ref().pass));
            }
        }
        if passes.is_all() {
            return self.fail(span, format!("{key}.lets"), "the level holds nothing back");
        }
        let looser = |class: usize, plan: usize| passes.of(class, plan) < below.of(class, plan);
        for (class, class_name) in self.names.classes.iter().enumerate() {
            if let Some((_, plan)) = self.names.plans.iter().enumerate().find(|(p, _)| looser(class, *p)) {
                let problem = format!("lets more of {class_name} on {plan} pass than the level below");
                return self.fail(span, format!("{key}.lets"), problem);
            }
        }
        let enter = self.conditions(&file.enter, &format!("{key}.enter"))?;
        let leave = self.conditions(&file.leave, &format!("{key}.leave"))?;
        if leave.is_empty() {
            return self.fail(span, format!("{key}.leave"), "a level needs a way out");
        }
        for entry in &enter {
            let name = &entry.name;
            let Some(exit) = leave.iter().find(|exit| exit.signal == entry.signal) else {
                let problem = "is entered by, so it needs a threshold to leave by";
                return self.fail(span, format!("{key}.leave.{name}"), problem);
            };
            if entry.signal.past(exit.threshold, entry.threshold) {
                let problem = format!(
                    "{} is at or past the entry at {}: there must be a gap between them",
                    exit.threshold, entry.threshold
                );
                let at = file.leave.get(name).map_or(span.clone(), |value| value.span());
                return self.fail(at, format!("{key}.leave.{name}"), problem);
            }
        }
        let dwell = self.figure(&file.dwell_s, &format!("{key}.dwell_s"), dwell, (window, 3600.0))?;
        Ok(Rung { name: name.clone(), passes, enter, leave, dwell })
    }

    fn ladder(
        &self,
        file: &LadderFile,
        key: &str,
        otherwise: Vec<Rung>,
        usual: &LadderSettings,
    ) -> Result<LadderSettings, SettingsError> {
        let figure =
            |from, name: &str, usual, range| self.figure(from, &format!("{key}.{name}"), usual, range);
        let window = figure(&file.window_s, "window_s", usual.window, (2.0 * usual.period, 600.0))?;
        let dwell = figure(&file.dwell_s, "dwell_s", 15.0f64.max(window), (window, 3600.0))?;
        let evidence = figure(&file.evidence, "evidence", usual.evidence, (0.5, 1.0))?;
        let most = usual.dwell_most.max(dwell);
        let dwell_most = figure(&file.dwell_most_s, "dwell_most_s", most, (dwell, 86_400.0))?;
        let blind = figure(&file.blind_s, "blind_s", usual.blind.max(window), (window, 3600.0))?;
        let span = figure(&file.changes_span_s, "changes_span_s", usual.changes_span, (window, 86_400.0))?;
        let rungs = match &file.level {
            None => otherwise,
            Some(levels) => {
                let mut rungs: Vec<Rung> = Vec::new();
                for (place, level) in levels.iter().enumerate() {
                    let key = format!("{key}.level[{place}]");
                    let none = Passes::default();
                    let below = rungs.last().map_or(&none, |rung| &rung.passes);
                    let rung = self.rung(level, &key, below, dwell, window)?;
                    if rungs.iter().any(|known| known.name == rung.name) {
                        let at = level.get_ref().name.span();
                        return self.fail(at, format!("{key}.name"), format!("{} is there twice", rung.name));
                    }
                    rungs.push(rung);
                }
                if let Some(top) = levels.last().filter(|top| top.get_ref().enter.is_empty()) {
                    let key = format!("{key}.level[{}].enter", levels.len() - 1);
                    return self.fail(top.span(), key, "the highest level can't be entered");
                }
                rungs
            }
        };
        let least = (rungs.len() + 1) as f64;
        let changes = figure(&file.changes, "changes", (usual.changes as f64).max(least), (least, 1000.0))?;
        let changes = changes as usize;
        let (changes_span, period) = (span, usual.period);
        Ok(LadderSettings { rungs, window, evidence, dwell_most, changes, changes_span, blind, period })
    }
}

impl Settings {
    /// Checks a file's `[levels]` table; `text` is the whole file's, for the lines. `writes` tells which classes
    /// change data.
    pub fn check(
        file: &LevelsFile,
        text: &str,
        names: &Names,
        writes: &[bool],
    ) -> Result<Settings, SettingsError> {
        let reader = Reader { text, names };
        let period = reader.figure(&file.period_s, "levels.period_s", 0.25, (0.05, 10.0))?;
        let stale = reader.figure(&file.stale_s, "levels.stale_s", 2.0 * period, (period, 600.0))?;
        let recent = reader.figure(&file.recent_s, "levels.recent_s", 3.0, (period, 600.0))?;
        let span = reader.figure(&file.span_s, "levels.span_s", 2.0f64.max(2.0 * period), (period, 600.0))?;
        let least = reader.figure(&file.least_requests, "levels.least_requests", 10.0, (1.0, 1e6))?;
        let silent_after = reader.figure(&file.silent_after_s, "levels.silent_after_s", 0.6, (0.05, 60.0))?;
        let usual = |window, changes| LadderSettings {
            rungs: Vec::new(),
            window: f64::max(window, 2.0 * period),
            evidence: 0.7,
            dwell_most: 240.0,
            changes,
            changes_span: 600.0,
            blind: 10.0,
            period,
        };
        let saves =
            names.classes.iter().enumerate().filter(|(i, _)| writes.get(*i).copied().unwrap_or(false));
        let saves: Vec<String> = saves.map(|(_, name)| format!("{name:?}")).collect();
        let head = built_in(&DEFAULT_HEAD.replace("SAVES", &saves.join(", ")), names, &usual(3.0, 4))?;
        let head = reader.ladder(&file.head, "levels.head", head, &usual(3.0, 4))?;
        let hall = built_in(DEFAULT_HALL, names, &usual(1.5, 9))?;
        let hall = reader.ladder(&file.hall, "levels.hall", hall, &usual(1.5, 9))?;
        for ladder in [&head, &hall] {
            // Or else one reading, which stays fresh for so long, would be evidence alone.
            let least = ladder.evidence * ladder.window - period;
            if stale > least {
                let at = file.stale_s.as_ref().map_or(0..0, Spanned::span);
                let problem =
                    format!("{stale} is over {least:.3}, so that one reading would be evidence alone");
                return reader.fail(at, "levels.stale_s", problem);
            }
        }
        let names = names.clone();
        Ok(Settings { period, stale, recent, span, least, silent_after, head, hall, names })
    }

    /// What an empty table settles.
    pub fn usual(names: &Names, writes: &[bool]) -> Result<Settings, SettingsError> {
        Settings::check(&LevelsFile::default(), "", names, writes)
    }

    /// Reads a `[levels]` table's own text.
    pub fn parse(text: &str, names: &Names, writes: &[bool]) -> Result<Settings, SettingsError> {
        let file: LevelsFile = toml::from_str(text).map_err(|problem| malformed(text, &problem))?;
        Settings::check(&file, text, names, writes)
    }
}

/// A ladder of this program's own, read as an operator's is.
fn built_in(text: &str, names: &Names, usual: &LadderSettings) -> Result<Vec<Rung>, SettingsError> {
    let file: LadderFile = toml::from_str(text).map_err(|problem| malformed(text, &problem))?;
    Ok(Reader { text, names }.ladder(&file, "levels", Vec::new(), usual)?.rungs)
}

fn malformed(text: &str, problem: &toml::de::Error) -> SettingsError {
    let start = problem.span().map_or(0, |span| span.start);
    let line = 1 + text.get(..start).unwrap_or_default().matches('\n').count();
    SettingsError { line, key: "levels".into(), problem: problem.message().into() }
}

#[cfg(test)]
mod tests;
