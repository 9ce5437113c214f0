//! Decodes the simulator's records: endpoint lists and events.

use crate::wire::{FrameError, Reader};
use flaxgap::config;
use flaxgap::scheduler::{
    AttemptOutcome, ClassId, Endpoint, Event, ExtentId, IoRequest, LoadReport, NodeId, NodeState, PlanId,
    RequestId, ShardId, UpdateKind, VolumeId, ZoneId,
};
use std::collections::BTreeMap;

/// Type codes of the simulator's records.
pub struct RecordCode;

impl RecordCode {
    /// Starts an instance.
    pub const LAUNCH: u8 = 10;
    const ENDPOINT_UPDATE: u8 = 20;
    const REQUEST_ARRIVED: u8 = 30;
    const STREAMING_STARTED: u8 = 40;
    const ATTEMPT_ENDED: u8 = 50;
    const CLIENT_DISCONNECTED: u8 = 60;
    const WAKE_UP: u8 = 70;
    const HEALTH_CHECKED: u8 = 80;
    const IGNORED: u8 = 90;
    /// Stops an instance.
    pub const STOP: u8 = 100;
    /// Defines an endpoint list, to which later records refer by its id.
    pub const ENDPOINT_LIST: u8 = 110;
}

/// Flag of a request that its client marked as a retry.
const CLIENT_RETRY_FLAG: u8 = 2;

/// An endpoint list with the id by which later records refer to it.
pub struct EndpointList {
    /// Id of the list.
    pub id: u32,
    /// Entries of the list.
    pub endpoints: Vec<Endpoint>,
}

/// Decodes a record of type [`RecordCode::ENDPOINT_LIST`], after its code.
pub fn endpoint_list(reader: &mut Reader) -> Result<EndpointList, FrameError> {
    let id = reader.u32()?;
    let count = reader.u32()?;
    let mut endpoints = Vec::new();
    for _ in 0..count {
        endpoints.push(endpoint(reader)?);
    }
    Ok(EndpointList { id, endpoints })
}

fn endpoint(reader: &mut Reader) -> Result<Endpoint, FrameError> {
    let shard = ShardId(u32::from(reader.u16()?));
    let started_at = reader.f64()?;
    let zone = ZoneId(reader.u16()?);
    let _power = reader.f32()?;
    let node = NodeId(reader.target()?);
    let _kind = reader.u16()?;
    let state = match reader.u8()? {
        0 => NodeState::Gone,
        1 => NodeState::Ready,
        2 => NodeState::Draining,
        other => return Err(FrameError::UnknownNodeState(other)),
    };
    Ok(Endpoint { node, shard, started_at, zone, state })
}

/// Decodes the event of a record of type `code`. Returns `None` for a record without a corresponding scheduler event.
///
/// `report_names` are the names of the values in load reports, in their order; `lists` holds the endpoint lists received
/// so far.
pub fn event(
    code: u8,
    reader: &mut Reader,
    report_names: &[String],
    lists: &BTreeMap<u32, Vec<Endpoint>>,
) -> Result<Option<Event>, FrameError> {
    let event = match code {
        RecordCode::ENDPOINT_UPDATE => endpoint_update(reader, lists)?,
        RecordCode::REQUEST_ARRIVED => Event::RequestArrived(request(reader)?),
        RecordCode::STREAMING_STARTED => streaming_started(reader)?,
        RecordCode::ATTEMPT_ENDED => attempt_ended(reader, report_names)?,
        RecordCode::CLIENT_DISCONNECTED => Event::ClientDisconnected { request: RequestId(reader.u32()?) },
        RecordCode::WAKE_UP => {
            reader.u32()?;
            Event::WakeUp
        }
        RecordCode::HEALTH_CHECKED => health_checked(reader, report_names)?,
        RecordCode::IGNORED => {
            reader.u16()?;
            let length = usize::from(reader.u16()?);
            reader.take(length)?;
            return Ok(None);
        }
        other => return Err(FrameError::UnknownEvent(other)),
    };
    Ok(Some(event))
}

fn endpoint_update(reader: &mut Reader, lists: &BTreeMap<u32, Vec<Endpoint>>) -> Result<Event, FrameError> {
    let _version = reader.u32()?;
    let kind_code = reader.u8()?;
    let list_id = reader.u32()?;
    let kind = match kind_code {
        0 => UpdateKind::Changes,
        1 => UpdateKind::Snapshot,
        2 => UpdateKind::CachedSnapshot,
        3 => UpdateKind::PollFailed,
        other => return Err(FrameError::UnknownUpdateKind(other)),
    };
    if kind == UpdateKind::PollFailed {
        return Ok(Event::EndpointUpdate { kind, endpoints: Vec::new() });
    }
    let endpoints = lists.get(&list_id).cloned().ok_or(FrameError::UnknownList(list_id))?;
    Ok(Event::EndpointUpdate { kind, endpoints })
}

fn streaming_started(reader: &mut Reader) -> Result<Event, FrameError> {
    let request = RequestId(reader.u32()?);
    let _attempt = reader.u8()?;
    let _target = reader.target()?;
    let _elapsed_s = reader.f64()?;
    Ok(Event::StreamingStarted { request })
}

fn attempt_ended(reader: &mut Reader, report_names: &[String]) -> Result<Event, FrameError> {
    let request = RequestId(reader.u32()?);
    let attempt = usize::from(reader.u8()?);
    let _target = reader.target()?;
    let outcome = attempt_outcome(reader.u16()?)?;
    let elapsed_s = reader.f64()?;
    let request_done = reader.u8()? != 0;
    // 0 means that the usage is unknown; other codes are the percentage plus one.
    let usage_code = reader.u16()?;
    let usage_elsewhere = f64::from(reader.u16()?);
    let load_report = load_report(reader, report_names)?;
    Ok(Event::AttemptEnded {
        request,
        attempt,
        outcome,
        elapsed_s,
        request_done,
        not_resendable: false,
        usage: usage_code.checked_sub(1).map(|percent| f64::from(percent) / 100.0),
        usage_elsewhere,
        load_report,
    })
}

fn health_checked(reader: &mut Reader, report_names: &[String]) -> Result<Event, FrameError> {
    let node = NodeId(reader.target()?);
    let healthy = reader.u16()? == 0;
    let _elapsed_s = reader.f64()?;
    Ok(Event::HealthChecked { node, healthy, load_report: load_report(reader, report_names)? })
}

fn request(reader: &mut Reader) -> Result<IoRequest, FrameError> {
    let id = RequestId(reader.u32()?);
    let class = ClassId(usize::from(reader.u16()?));
    let plan = PlanId(reader.u32()? as usize);
    let extent = reader.u64()?;
    let remaining_s = reader.f64()?;
    let volume = VolumeId(reader.u64()?);
    let units = reader.f32()?;
    let shard = reader.f32()?;
    let heads = reader.f32()? as u32;
    let flags = reader.u8()?;
    Ok(IoRequest {
        id,
        class,
        plan,
        volume,
        extent: (extent != 0).then_some(ExtentId(extent)),
        shard: (shard >= 0.0).then_some(ShardId(shard as u32)),
        remaining_s,
        units,
        heads,
        client_retry: flags & CLIENT_RETRY_FLAG != 0,
    })
}

fn attempt_outcome(code: u16) -> Result<AttemptOutcome, FrameError> {
    Ok(match code {
        0 => AttemptOutcome::Ok,
        249 => AttemptOutcome::NotSent,
        250 => AttemptOutcome::Cancelled,
        251 => AttemptOutcome::Reset,
        252 => AttemptOutcome::ConnectFailed,
        253 => AttemptOutcome::Timeout,
        254 => AttemptOutcome::Rejected,
        255 => AttemptOutcome::Error,
        other => return Err(FrameError::UnknownOutcome(other)),
    })
}

fn load_report(reader: &mut Reader, names: &[String]) -> Result<LoadReport, FrameError> {
    let values = reader.report_values()?;
    Ok(config::report(names.iter().map(String::as_str).zip(values)))
}
