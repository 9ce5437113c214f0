//! Parses the fields of a request's head that the scheduler needs. The others are not interpreted here.

use super::error::BadRequest;
use crate::config::WireSettings;
use crate::core::Operation;
use crate::scheduler::{ClassId, ExtentId, PlanId, ShardId, VolumeId};
use hyper::Method;
use hyper::header::HeaderMap;

/// Longest request id, in bytes.
const MAX_ID_BYTES: usize = 64;
/// Largest value of `x-time-left`, in seconds.
const MAX_TIME_LEFT_S: f64 = 3600.0;
/// Largest size of a request, in units.
const MAX_UNITS: f64 = 1e6;
/// Number of hexadecimal digits of a volume's or object's id in a path.
const ID_HEX_DIGITS: usize = 16;

/// The fields of a request's head that the scheduler needs.
#[derive(Debug, PartialEq)]
pub(super) struct RequestFields {
    pub(super) operation: Operation,
    pub(super) class: ClassId,
    pub(super) volume: VolumeId,
    pub(super) extent: ExtentId,
    pub(super) plan: PlanId,
    /// How long the client waits, in seconds; at most the deadline of the class.
    pub(super) time_left_s: f64,
    pub(super) placement: Placement,
    /// Whether the client marked the request as a retry (`x-repeat: 1`).
    pub(super) is_client_retry: bool,
}

/// Location of the data and size of the request, from the field `x-placement`.
#[derive(Debug, PartialEq)]
pub(super) struct Placement {
    /// Size of the request, in units.
    pub(super) units: f64,
    /// Shard with the data; `None` if the data has no shard yet.
    pub(super) shard: Option<ShardId>,
    /// Number of heads that receive requests for the volume.
    pub(super) heads: u32,
}

/// A parsed path, `/CLASS/VOLUME/OBJECT`.
struct RequestPath {
    class: ClassId,
    volume: VolumeId,
    extent: ExtentId,
}

impl RequestFields {
    /// Parses the fields. Returns an error for the first one that is missing, malformed or repeated.
    pub(super) fn read(
        method: &Method,
        path: &str,
        headers: &HeaderMap,
        wire_settings: &WireSettings,
    ) -> Result<RequestFields, BadRequest> {
        let operation = match *method {
            Method::GET => Operation::Read,
            Method::PUT => Operation::Write,
            ref other => return Err(BadRequest::Method(other.clone())),
        };
        let RequestPath { class, volume, extent } = read_path(path, method, operation, wire_settings)?;
        check_ids(headers)?;
        let plan = read_plan(headers, wire_settings)?;
        let time_left_s = read_time_left(headers, class, wire_settings)?;
        let placement =
            parse_placement(text(headers, "x-placement")?).ok_or(BadRequest::Field("x-placement"))?;
        let is_client_retry = headers.get("x-repeat").is_some_and(|value| value == "1");
        Ok(RequestFields { operation, class, volume, extent, plan, time_left_s, placement, is_client_retry })
    }
}

fn read_path(
    path: &str,
    method: &Method,
    operation: Operation,
    wire_settings: &WireSettings,
) -> Result<RequestPath, BadRequest> {
    let mut parts = path.strip_prefix('/').ok_or(BadRequest::Path("no slash"))?.split('/');
    let class_name = parts.next();
    let class = wire_settings.class_names.iter().position(|name| Some(name.as_str()) == class_name);
    let class = ClassId(class.ok_or(BadRequest::Path("unknown class"))?);
    if let Some(class_writes) = wire_settings.class_writes.get(class.0) {
        if *class_writes != (operation == Operation::Write) {
            return Err(BadRequest::ClassMethod(method.clone()));
        }
    }
    let volume = VolumeId(parse_hex_id(parts.next()).ok_or(BadRequest::Path("no volume"))?);
    let extent = ExtentId(parse_hex_id(parts.next()).ok_or(BadRequest::Path("no object"))?);
    if parts.next().is_some() {
        return Err(BadRequest::Path("more than three parts"));
    }
    Ok(RequestPath { class, volume, extent })
}

fn parse_hex_id(part: Option<&str>) -> Option<u64> {
    let digits = part?;
    let is_well_formed = digits.len() == ID_HEX_DIGITS && digits.bytes().all(|b| b.is_ascii_hexdigit());
    if is_well_formed { u64::from_str_radix(digits, 16).ok() } else { None }
}

/// Returns the value of a field that must be present exactly once.
fn text<'a>(headers: &'a HeaderMap, name: &'static str) -> Result<&'a str, BadRequest> {
    let mut values = headers.get_all(name).iter();
    let (Some(value), None) = (values.next(), values.next()) else { return Err(BadRequest::Field(name)) };
    let text = value.to_str().map_err(|_| BadRequest::Field(name))?;
    Ok(text.trim())
}

/// Validates the request id, and the idempotency key if there is one.
fn check_ids(headers: &HeaderMap) -> Result<(), BadRequest> {
    let id = text(headers, "x-correlation-id")?;
    if id.is_empty() || id.len() > MAX_ID_BYTES || id.contains([' ', '\t', ',']) {
        return Err(BadRequest::Field("x-correlation-id"));
    }
    if headers.contains_key("idempotency-key") {
        text(headers, "idempotency-key")?;
    }
    Ok(())
}

fn read_plan(headers: &HeaderMap, wire_settings: &WireSettings) -> Result<PlanId, BadRequest> {
    let plan = text(headers, "x-qos-policy")?;
    let position = wire_settings.plan_names.iter().position(|name| name == plan);
    Ok(PlanId(position.ok_or(BadRequest::Field("x-qos-policy"))?))
}

fn read_time_left(
    headers: &HeaderMap,
    class: ClassId,
    wire_settings: &WireSettings,
) -> Result<f64, BadRequest> {
    let malformed = || BadRequest::Field("x-time-left");
    let time_left_s: f64 = text(headers, "x-time-left")?.parse().map_err(|_| malformed())?;
    if !(0.0..=MAX_TIME_LEFT_S).contains(&time_left_s) {
        return Err(malformed());
    }
    Ok(match wire_settings.class_deadlines.get(class.0) {
        Some(deadline_s) => time_left_s.min(*deadline_s),
        None => time_left_s,
    })
}

/// Parses `units=N, shard=N, hosts=N`. `units` is required, a negative `shard` means none, and other names are ignored.
fn parse_placement(text: &str) -> Option<Placement> {
    let mut units: Option<f64> = None;
    let mut shard: Option<i64> = None;
    let mut heads = 1;
    for pair in text.split(',') {
        let (name, value) = pair.trim().split_once('=')?;
        match name {
            "units" => units = value.parse().ok(),
            "shard" => shard = Some(value.parse().ok()?),
            "hosts" => heads = value.parse().ok()?,
            _ => {}
        }
    }
    let units = units.filter(|units| (0.0..=MAX_UNITS).contains(units))?;
    let shard = match shard {
        Some(number @ 0..) => Some(ShardId(u32::try_from(number).ok()?)),
        _ => None,
    };
    Some(Placement { units, shard, heads })
}
