//! The calls of the admin server: their paths, methods and query parameters.

use flaxgap_load_shedding::level_override::{OperatorNote, OverrideRequest};
use hyper::Method;
use std::collections::BTreeMap;
use thiserror::Error;

/// Query parameters of a call that sets a level.
const SET_PARAMETERS: [&str; 5] = ["scope", "level", "seconds", "who", "why"];
/// Query parameters of a call that releases an override.
const RELEASE_PARAMETERS: [&str; 3] = ["scope", "who", "why"];
/// Query parameter that names a node.
const NODE_PARAMETER: &str = "host";

/// What an operator does with a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum NodeAction {
    /// The node gets no requests.
    Exclude,
    /// The node gets requests again.
    Readmit,
}

impl NodeAction {
    /// The word of the response for a node after the action.
    pub(super) fn outcome(self) -> &'static str {
        match self {
            NodeAction::Exclude => "out",
            NodeAction::Readmit => "back",
        }
    }
}

/// A call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum AdminCall {
    /// Whether the head serves.
    Readiness,
    /// All counters.
    Stats,
    /// The levels of load shedding.
    Levels,
    /// Excludes or readmits a node.
    Node(NodeAction),
    /// Sets a level.
    SetOverride,
    /// Releases an override.
    ReleaseOverride,
}

impl AdminCall {
    /// The call of a path.
    pub(super) fn from_path(path: &str) -> Option<AdminCall> {
        match path {
            "/ops/readiness" => Some(AdminCall::Readiness),
            "/ops/stats" => Some(AdminCall::Stats),
            "/ops/levels" => Some(AdminCall::Levels),
            "/ops/bricks/down" => Some(AdminCall::Node(NodeAction::Exclude)),
            "/ops/bricks/up" => Some(AdminCall::Node(NodeAction::Readmit)),
            "/ops/levels/pin" => Some(AdminCall::SetOverride),
            "/ops/levels/release" => Some(AdminCall::ReleaseOverride),
            _ => None,
        }
    }

    /// The method that the call takes.
    pub(super) fn method(self) -> Method {
        match self {
            AdminCall::Readiness | AdminCall::Stats | AdminCall::Levels => Method::GET,
            AdminCall::Node(_) | AdminCall::SetOverride | AdminCall::ReleaseOverride => Method::PUT,
        }
    }
}

/// A query that can't be read: a mistake of the caller.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub(super) enum CallError {
    /// Not exactly one node is named.
    #[error("one host has to be named")]
    NotOneNode,
    /// A parameter that the call does not take, or that is there twice.
    #[error("{name}: unknown, or there twice; wanted are {wanted}")]
    UnexpectedParameter {
        /// The parameter.
        name: String,
        /// The parameters that the call takes.
        wanted: String,
    },
    /// The duration is no number.
    #[error("seconds: a number is wanted")]
    InvalidDuration,
}

/// The name of the node that a query names.
pub(super) fn node_name(query: &str) -> Result<String, CallError> {
    let parameters = form_urlencoded::parse(query.as_bytes());
    let mut nodes = parameters.filter(|(name, _)| name == NODE_PARAMETER);
    match (nodes.next(), nodes.next()) {
        (Some((_, node)), None) => Ok(node.into_owned()),
        _ => Err(CallError::NotOneNode),
    }
}

/// A call that sets or releases an override; `scope` is `head` or a zone's name.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum OverrideCall {
    /// Sets a level.
    Set {
        /// Whose level.
        scope: String,
        /// Which level, for how long, and why.
        request: OverrideRequest,
    },
    /// Ends an override.
    Release {
        /// Whose level.
        scope: String,
        /// Who asks, and why.
        note: OperatorNote,
    },
}

impl OverrideCall {
    /// Parses the query of a call that sets a level.
    pub(super) fn parse_set(query: &str) -> Result<OverrideCall, CallError> {
        let mut parameters = parse_parameters(query, &SET_PARAMETERS)?;
        let Ok(duration_s) = take(&mut parameters, "seconds").parse() else {
            return Err(CallError::InvalidDuration);
        };
        let level_name = take(&mut parameters, "level");
        let note = take_note(&mut parameters);
        let request = OverrideRequest { level_name, duration_s, note };
        Ok(OverrideCall::Set { scope: take(&mut parameters, "scope"), request })
    }

    /// Parses the query of a call that releases an override.
    pub(super) fn parse_release(query: &str) -> Result<OverrideCall, CallError> {
        let mut parameters = parse_parameters(query, &RELEASE_PARAMETERS)?;
        let note = take_note(&mut parameters);
        Ok(OverrideCall::Release { scope: take(&mut parameters, "scope"), note })
    }
}

/// The parameters of a query by name, each at most once.
fn parse_parameters(query: &str, wanted: &[&str]) -> Result<BTreeMap<String, String>, CallError> {
    let mut parameters = BTreeMap::new();
    for (name, value) in form_urlencoded::parse(query.as_bytes()) {
        let is_wanted = wanted.contains(&&*name);
        if !is_wanted || parameters.insert(name.to_string(), value.to_string()).is_some() {
            return Err(CallError::UnexpectedParameter { name: name.to_string(), wanted: wanted.join(", ") });
        }
    }
    Ok(parameters)
}

/// A parameter's value, empty where it is missing: whoever checks the value rejects that.
fn take(parameters: &mut BTreeMap<String, String>, name: &str) -> String {
    parameters.remove(name).unwrap_or_default()
}

fn take_note(parameters: &mut BTreeMap<String, String>) -> OperatorNote {
    OperatorNote { operator: take(parameters, "who"), reason: take(parameters, "why") }
}
