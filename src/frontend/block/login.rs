//! The login phase (RFC 7143, sections 6 and 11.12): stages and negotiation of text keys.

use super::config::Target;
use super::connection::Connection;
use super::error::SessionError;
use super::pdu::{MAX_DATA_SEGMENT, Pdu, request, response};
use bytes::{BufMut, Bytes, BytesMut};
use std::collections::BTreeMap;

/// Largest text that consecutive login requests may add up to, in bytes.
const MAX_TEXT_BYTES: usize = 16 * 1024;
/// Maximum number of requests per login.
const MAX_REQUESTS: usize = 32;
/// Login stages that follow security negotiation (stage 0).
const OPERATIONAL: u8 = 1;
const FULL_FEATURE: u8 = 3;

/// Status codes of a failed login: class in the high byte, detail in the low byte.
pub mod status {
    /// Initiator error.
    pub const INITIATOR_ERROR: u16 = 0x0200;
    /// Authentication failure: the initiator offers no supported method.
    pub const AUTHENTICATION: u16 = 0x0201;
    /// Target not found.
    pub const NOT_FOUND: u16 = 0x0203;
    /// Unsupported version.
    pub const VERSION: u16 = 0x0205;
    /// Too many connections in the session.
    pub const TOO_MANY_CONNECTIONS: u16 = 0x0206;
    /// A required key is missing.
    pub const MISSING_PARAMETER: u16 = 0x0207;
    /// Unsupported session type.
    pub const SESSION_TYPE: u16 = 0x0209;
    /// Out of resources; try again later.
    pub const OUT_OF_RESOURCES: u16 = 0x0302;
}

/// Session type (RFC 7143, section 13.21).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SessionType {
    /// A session that accepts SCSI commands.
    Normal,
    /// A session for finding targets; it accepts no SCSI commands.
    Discovery,
}

/// The negotiated parameters of a session.
#[derive(Clone, Debug, PartialEq)]
pub struct Params {
    /// The initiator's iSCSI name.
    pub initiator: String,
    /// Initiator part of the session identifier (ISID).
    pub isid: [u8; 6],
    /// Session type.
    pub session_type: SessionType,
    /// Whether headers are followed by a CRC32C.
    pub header_digest: bool,
    /// Whether data segments are followed by a CRC32C.
    pub data_digest: bool,
    /// Largest data segment that the initiator accepts, in bytes.
    pub max_send_data_segment: usize,
    /// MaxBurstLength: maximum data of one sequence, in bytes.
    pub max_burst: usize,
    /// FirstBurstLength: maximum unsolicited data of one command, in bytes.
    pub first_burst: usize,
    /// ImmediateData: whether SCSI Command PDUs may carry write data.
    pub immediate_data: bool,
    /// iSCSIProtocolLevel (RFC 7144): from level 2 on, responses carry the status qualifier.
    pub protocol_level: u32,
}

impl Default for Params {
    fn default() -> Self {
        Params {
            initiator: String::new(),
            isid: [0; 6],
            session_type: SessionType::Normal,
            header_digest: false,
            data_digest: false,
            max_send_data_segment: 8192,
            max_burst: 262_144,
            first_burst: 65_536,
            immediate_data: true,
            protocol_level: 1,
        }
    }
}

/// Parses a text data segment of NUL-terminated `key=value` pairs; returns `None` if it is malformed.
pub fn pairs(text: &[u8]) -> Option<Vec<(String, String)>> {
    let parts = text.split(|b| *b == 0).filter(|part| !part.is_empty());
    parts
        .map(|part| {
            let (key, value) = std::str::from_utf8(part).ok()?.split_once('=')?;
            Some((key.to_string(), value.to_string()))
        })
        .collect()
}

/// Encodes pairs as a text data segment.
pub fn text(pairs: &[(String, String)]) -> Bytes {
    let mut out = BytesMut::new();
    for (key, value) in pairs {
        out.put_slice(format!("{key}={value}\0").as_bytes());
    }
    out.freeze()
}

impl Params {
    /// Applies one key of the initiator and returns the value to answer with, or `None` for keys that are declared
    /// without an answer. Returns the login status if the value makes the login fail.
    fn negotiate(&mut self, key: &str, value: &str, target: &Target) -> Result<Option<String>, u16> {
        let number = value
            .parse::<u64>()
            .ok()
            .or_else(|| value.strip_prefix("0x").and_then(|hex| u64::from_str_radix(hex, 16).ok()));
        let ranged = |low: u64, high: u64| number.filter(|n| (low..=high).contains(n));
        let reject = || Ok(Some("Reject".to_string()));
        let digest = |on: &mut bool| {
            // The first supported value of the initiator's list.
            let chosen = value.split(',').find(|v| matches!(*v, "None" | "CRC32C"));
            *on = chosen == Some("CRC32C");
            Ok(Some(chosen.unwrap_or("Reject").to_string()))
        };
        let boolean = matches!(value, "Yes" | "No");
        match key {
            "InitiatorName" => self.initiator = value.into(),
            "InitiatorAlias" => {}
            "TargetName" if value == target.name => {}
            "TargetName" => return Err(status::NOT_FOUND),
            "SessionType" => match value {
                "Normal" => self.session_type = SessionType::Normal,
                "Discovery" => self.session_type = SessionType::Discovery,
                _ => return Err(status::SESSION_TYPE),
            },
            "AuthMethod" => match value.split(',').any(|method| method == "None") {
                true => return Ok(Some("None".into())),
                false => return Err(status::AUTHENTICATION),
            },
            "HeaderDigest" => return digest(&mut self.header_digest),
            "DataDigest" => return digest(&mut self.data_digest),
            "MaxRecvDataSegmentLength" => match ranged(512, (1 << 24) - 1) {
                Some(longest) => self.max_send_data_segment = longest as usize,
                None => return Err(status::INITIATOR_ERROR),
            },
            "MaxBurstLength" | "FirstBurstLength" => {
                let Some(offered) = ranged(512, (1 << 24) - 1) else { return reject() };
                let first = key == "FirstBurstLength";
                let agreed = if first { &mut self.first_burst } else { &mut self.max_burst };
                *agreed = (*agreed).min(offered as usize);
                return Ok(Some(agreed.to_string()));
            }
            "ImmediateData" if boolean => {
                self.immediate_data = value == "Yes";
                return Ok(Some(value.into()));
            }
            // The result function of these keys is OR, so the target's Yes decides.
            "InitialR2T" | "DataPDUInOrder" | "DataSequenceInOrder" if boolean => {
                return Ok(Some("Yes".into()));
            }
            "MaxConnections" | "MaxOutstandingR2T" => {
                return if ranged(1, 65_535).is_some() { Ok(Some("1".into())) } else { reject() };
            }
            "ErrorRecoveryLevel" => {
                return if ranged(0, 2).is_some() { Ok(Some("0".into())) } else { reject() };
            }
            "DefaultTime2Retain" => {
                return if ranged(0, 3600).is_some() { Ok(Some("0".into())) } else { reject() };
            }
            "DefaultTime2Wait" => {
                let Some(offered) = ranged(0, 3600) else { return reject() };
                return Ok(Some(offered.max(2).to_string()));
            }
            "TaskReporting" => {
                let known = value.split(',').any(|v| v == "RFC3720");
                return Ok(Some(if known { "RFC3720" } else { "Reject" }.into()));
            }
            "iSCSIProtocolLevel" => {
                let Some(offered) = ranged(0, 31) else { return reject() };
                self.protocol_level = offered.min(2) as u32;
                return Ok(Some(self.protocol_level.to_string()));
            }
            "OFMarker" | "IFMarker" | "OFMarkInt" | "IFMarkInt" => return reject(),
            "InitialR2T" | "DataPDUInOrder" | "DataSequenceInOrder" | "ImmediateData" => return reject(),
            _ => return Ok(Some("NotUnderstood".into())),
        }
        Ok(None)
    }
}

/// The stage fields of a login request: transit and continue flags, current and next stage.
struct StageRequest {
    transit: bool,
    more: bool,
    stage: u8,
    next: u8,
}

impl StageRequest {
    fn of(request: &Pdu) -> StageRequest {
        let flags = request.flags();
        StageRequest {
            transit: flags & 0x80 != 0,
            more: flags & 0x40 != 0,
            stage: flags >> 2 & 3,
            next: flags & 3,
        }
    }
}

/// State of a login in progress.
struct Login {
    params: Params,
    seen: BTreeMap<String, String>,
    stage: Option<u8>,
    segment_size_declared: bool,
}

impl Login {
    /// Checks the header of a login request; returns the status to fail the login with, if it is invalid.
    fn header_error(&self, request: &Pdu) -> Option<u16> {
        let StageRequest { transit, more, stage, next } = StageRequest::of(request);
        let lowest_version = request.header[3];
        if lowest_version > 0 {
            return Some(status::VERSION);
        }
        if request.header[14..16] != [0, 0] {
            // The TSIH of an existing session: a second connection, which MaxConnections=1 does not allow.
            return Some(status::TOO_MANY_CONNECTIONS);
        }
        let other_stage = self.stage.is_some_and(|now| now != stage);
        let bad_transit = transit && (more || next <= stage || next == 2);
        if other_stage || stage > OPERATIONAL || bad_transit {
            return Some(status::INITIATOR_ERROR);
        }
        None
    }

    /// Negotiates the keys of a complete text; returns the answers, or the status to fail the login with.
    fn negotiate_text(&mut self, text: &[u8], target: &Target) -> Result<Vec<(String, String)>, u16> {
        let first = self.seen.is_empty();
        let mut answers = Vec::new();
        for (key, value) in pairs(text).ok_or(status::INITIATOR_ERROR)? {
            if self.seen.insert(key.clone(), value.clone()).is_some() {
                return Err(status::INITIATOR_ERROR); // a key must not be negotiated twice
            }
            if let Some(answer) = self.params.negotiate(&key, &value, target)? {
                answers.push((key, answer));
            }
        }
        if first {
            let named =
                self.seen.contains_key("TargetName") || self.params.session_type == SessionType::Discovery;
            if self.params.initiator.is_empty() || !named {
                return Err(status::MISSING_PARAMETER);
            }
            if self.params.session_type == SessionType::Normal {
                answers.push(("TargetPortalGroupTag".into(), "1".into()));
            }
        }
        Ok(answers)
    }
}

fn failure(request: &Pdu, class_and_detail: u16) -> Pdu {
    login_response(request, 0, 0).with_u32(36, u32::from(class_and_detail) << 16)
}

fn login_response(request: &Pdu, flags: u8, tsih: u16) -> Pdu {
    let mut pdu = Pdu::new(response::LOGIN, flags, request.task());
    pdu.header[8..14].copy_from_slice(&request.header[8..14]);
    pdu.header[14..16].copy_from_slice(&tsih.to_be_bytes());
    pdu
}

/// Runs the login phase of a connection. Before the final response, `open` registers the session and returns its TSIH
/// and handle, or `None` if the target has no room for another session.
///
/// # Errors
///
/// Returns an error if the connection ends, a PDU is not a login request, the login is rejected or it takes more than
/// 32 requests.
pub async fn login<H>(
    connection: &mut Connection,
    target: &Target,
    open: impl FnOnce(&Params) -> Option<(u16, H)>,
) -> Result<(Params, H), SessionError> {
    let seen = BTreeMap::new();
    let mut login = Login { params: Params::default(), seen, stage: None, segment_size_declared: false };
    let mut pending_text = BytesMut::new();
    for _ in 0..MAX_REQUESTS {
        let request = connection.read().await?;
        if request.opcode() != request::LOGIN {
            return Err(SessionError::Protocol("PDU other than a login request during login"));
        }
        let StageRequest { transit, more, stage, next } = StageRequest::of(&request);
        if login.stage.is_none() {
            connection.start_numbering(&request);
            login.params.isid.copy_from_slice(&request.header[8..14]);
        }
        let mut failure_status = login.header_error(&request);
        login.stage = Some(stage);
        pending_text.extend_from_slice(&request.data);
        if pending_text.len() > MAX_TEXT_BYTES {
            failure_status = Some(status::INITIATOR_ERROR);
        }
        if let Some(status_code) = failure_status {
            connection.respond(failure(&request, status_code)).await?;
            return Err(SessionError::Login(status_code));
        }
        if more {
            connection.respond(login_response(&request, stage << 2, 0)).await?;
            continue;
        }
        let mut answers = match login.negotiate_text(&pending_text.split(), target) {
            Ok(answers) => answers,
            Err(status_code) => {
                connection.respond(failure(&request, status_code)).await?;
                return Err(SessionError::Login(status_code));
            }
        };
        if stage == OPERATIONAL && !login.segment_size_declared {
            login.segment_size_declared = true;
            answers.push(("MaxRecvDataSegmentLength".into(), MAX_DATA_SEGMENT.to_string()));
        }
        let keys = text(&answers);
        if !(transit && next == FULL_FEATURE) {
            let flags = if transit { 0x80 | stage << 2 | next } else { stage << 2 };
            connection.respond(login_response(&request, flags, 0).with_data(keys)).await?;
            login.stage = Some(if transit { next } else { stage });
            continue;
        }
        login.params.first_burst = login.params.first_burst.min(login.params.max_burst);
        let Some((tsih, handle)) = open(&login.params) else {
            connection.respond(failure(&request, status::OUT_OF_RESOURCES)).await?;
            return Err(SessionError::Login(status::OUT_OF_RESOURCES));
        };
        let flags = 0x80 | stage << 2 | FULL_FEATURE;
        connection.respond(login_response(&request, flags, tsih).with_data(keys)).await?;
        connection.set_digests(login.params.header_digest, login.params.data_digest);
        return Ok((login.params, handle));
    }
    Err(SessionError::Protocol("too many login requests"))
}
