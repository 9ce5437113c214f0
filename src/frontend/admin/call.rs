//! The calls of the admin server: their paths, methods and query parameters.

use flaxgap_load_shedding::level_override::{OperatorNote, OverrideRequest};
use hyper::Method;
use std::collections::BTreeMap;
use thiserror::Error;

/// Query parameters of a call that sets a level.
const SET_PARAMETERS: [&str; 5] = ["scope", "level", "seconds", "who", "why"];
/// Query parameters of a call that releases an override.
const RELEASE_PARAMETERS: [&str; 3] = ["scope", "who", "why"];
/// Query parameter with the name of a node.
const NODE_PARAMETER: &str = "host";

/// A change to whether a node receives requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum NodeAction {
    /// The node receives no requests.
    Exclude,
    /// The node receives requests again.
    Readmit,
}

impl NodeAction {
    /// Returns the state of the node after the action, as the response names it.
    pub(super) fn outcome(self) -> &'static str {
        match self {
            NodeAction::Exclude => "out",
            NodeAction::Readmit => "back",
        }
    }
}

/// A call of the admin server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum AdminCall {
    /// Queries whether the head is ready to serve.
    Readiness,
    /// Queries all counters.
    Stats,
    /// Queries the shedding levels.
    Levels,
    /// Excludes or readmits a node.
    Node(NodeAction),
    /// Overrides a shedding level.
    SetOverride,
    /// Releases the override of a shedding level.
    ReleaseOverride,
}

impl AdminCall {
    /// Returns the call that is served under `path`.
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

    /// Returns the HTTP method of the call.
    pub(super) fn method(self) -> Method {
        match self {
            AdminCall::Readiness | AdminCall::Stats | AdminCall::Levels => Method::GET,
            AdminCall::Node(_) | AdminCall::SetOverride | AdminCall::ReleaseOverride => Method::PUT,
        }
    }
}

/// A query with missing, unknown or malformed parameters.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub(super) enum CallError {
    /// The query names no node, or more than one.
    #[error("exactly one parameter 'host' is required")]
    NotOneNode,
    /// The call has no parameter of this name, or the query repeats it.
    #[error("{name}: unknown, or there twice; wanted are {wanted}")]
    UnexpectedParameter {
        /// Name of the parameter.
        name: String,
        /// Names of the call's parameters.
        wanted: String,
    },
    /// The duration is not a number.
    #[error("seconds: a number is wanted")]
    InvalidDuration,
}

/// Parses the query of a call on a node, and returns the node's name.
pub(super) fn node_name(query: &str) -> Result<String, CallError> {
    let parameters = form_urlencoded::parse(query.as_bytes());
    let mut nodes = parameters.filter(|(name, _)| name == NODE_PARAMETER);
    match (nodes.next(), nodes.next()) {
        (Some((_, node)), None) => Ok(node.into_owned()),
        _ => Err(CallError::NotOneNode),
    }
}

/// A call that sets or releases an override. `scope` is `head` or the name of a zone.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum OverrideCall {
    /// Overrides the level of a scope.
    Set {
        /// Scope of the override.
        scope: String,
        /// Level, duration and note of the override.
        request: OverrideRequest,
    },
    /// Releases the override of a scope.
    Release {
        /// Scope of the override.
        scope: String,
        /// Operator and reason.
        note: OperatorNote,
    },
}

impl OverrideCall {
    /// Parses the query of a call that sets an override.
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

/// Parses a query into parameters by name. Returns an error for a repeated one or one that is not in `wanted`.
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

/// Removes a parameter and returns its value, or an empty string if it is missing, which later validation rejects.
fn take(parameters: &mut BTreeMap<String, String>, name: &str) -> String {
    parameters.remove(name).unwrap_or_default()
}

fn take_note(parameters: &mut BTreeMap<String, String>) -> OperatorNote {
    OperatorNote { operator: take(parameters, "who"), reason: take(parameters, "why") }
}
