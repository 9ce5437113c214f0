//! What operators are shown of levels, and what a newer process takes over. Times are seconds on the caller's
//! clock.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt;

/// Why a level is in force.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum Why {
    /// Nothing has happened yet.
    Start,
    /// An entry condition held over its window.
    Pressed {
        /// The signal's name.
        signal: String,
        /// Its value at the time.
        value: f64,
        /// The threshold that it was past.
        threshold: f64,
        /// The part of the looks that agreed.
        part: f64,
    },
    /// All conditions to leave the level above held over their window.
    Eased {
        /// Signal, value at the time, threshold.
        figures: Vec<(String, f64, f64)>,
    },
    /// No reading said anything for so long; the level above was given up on trial.
    Blind {
        /// Seconds without a word.
        seconds: f64,
    },
    /// An operator holds it there.
    Pinned {
        /// Who.
        who: String,
        /// Why.
        why: String,
        /// When it ends by itself.
        until: f64,
    },
    /// A pin ended by itself; the level goes on by evidence.
    Lapsed {
        /// Whose it was.
        who: String,
    },
    /// A pin was taken away; the level goes on by evidence.
    Released {
        /// Who did.
        who: String,
        /// Why.
        why: String,
    },
    /// New settings hold no level of that name.
    Settings,
}

impl fmt::Display for Why {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Why::Start => f.write_str("start"),
            Why::Pressed { signal, value, threshold, part } => {
                write!(f, "{signal} at {value:.3}, past {threshold} at {:.0} % of looks", part * 100.0)
            }
            Why::Eased { figures } => {
                f.write_str("eased:")?;
                figures.iter().try_for_each(|(name, value, threshold)| {
                    write!(f, " {name} at {value:.3}, good from {threshold}")
                })
            }
            Why::Blind { seconds } => write!(f, "no reading for {seconds:.1} s, tried without"),
            Why::Pinned { who, why, .. } => write!(f, "pinned by {who}: {why}"),
            Why::Lapsed { who } => write!(f, "the pin by {who} lapsed"),
            Why::Released { who, why } => write!(f, "released by {who}: {why}"),
            Why::Settings => f.write_str("new settings know no such level"),
        }
    }
}

/// One change of level, or of who holds it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Change {
    /// When.
    pub at: f64,
    /// `head`, or the hall's name.
    pub scope: String,
    /// The level before.
    pub from: String,
    /// The level since.
    pub to: String,
    /// Why.
    pub why: Why,
}

impl fmt::Display for Change {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {} -> {}: {}", self.scope, self.from, self.to, self.why)
    }
}

/// A level that an operator holds.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Pin {
    /// Who.
    pub who: String,
    /// Why.
    pub why: String,
    /// Since when.
    pub since: f64,
    /// When it ends by itself.
    pub until: f64,
}

/// One scope's level as operators see it.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Standing {
    /// `head`, or the hall's name.
    pub scope: String,
    /// The level in force.
    pub level: String,
    /// Its place on the ladder, 0 for `normal`.
    pub rung: usize,
    /// Since when.
    pub since: f64,
    /// Seconds that it has been in force.
    pub for_s: f64,
    /// The reason in words.
    pub why: String,
    /// The reason.
    pub reason: Why,
    /// Who holds it, if anyone.
    pub pin: Option<Pin>,
    /// Seconds until it could end at the earliest.
    pub soonest_s: f64,
    /// What would end it.
    pub ends: Vec<String>,
    /// Changes that are left of those allowed in the present span.
    pub changes_left: usize,
    /// Each signal as it stands.
    pub readings: BTreeMap<String, String>,
}

/// All levels of a head as operators see them.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Status {
    /// The moment.
    pub now: f64,
    /// The head first, then the halls.
    pub levels: Vec<Standing>,
    /// The names of the head's levels, the mildest first.
    pub head_levels: Vec<String>,
    /// The names of a hall's levels, the mildest first.
    pub hall_levels: Vec<String>,
    /// Changes since the start.
    pub changes_total: u64,
    /// The latest changes, the newest first.
    pub changes: Vec<Change>,
}

/// One scope's level as a newer process takes it over.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LadderCarry {
    /// The level's name.
    pub level: String,
    /// Since when.
    pub since: f64,
    /// Why.
    pub why: Why,
    /// The dwell of each level as relapses have it.
    pub dwells: BTreeMap<String, f64>,
    /// The last step down: when, and from which level.
    pub stepped: Option<(f64, String)>,
    /// When the counted changes were.
    pub recent: Vec<f64>,
    /// Who holds it.
    pub pin: Option<Pin>,
}

/// All levels of a head as a newer process takes them over.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Carry {
    /// When this was written.
    pub written: f64,
    /// The head's.
    pub head: LadderCarry,
    /// The halls', by name.
    pub halls: BTreeMap<String, LadderCarry>,
    /// The latest changes, the oldest first.
    pub changes: Vec<Change>,
}
