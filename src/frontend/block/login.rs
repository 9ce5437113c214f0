//! The login phase (RFC 7143, sections 6 and 11.12): stages, keys and what they come to.

use super::config::Target;
use super::connection::Connection;
use super::error::SessionError;
use super::pdu::{LONGEST_SEGMENT, Pdu, request, response};
use bytes::{BufMut, Bytes, BytesMut};
use std::collections::BTreeMap;

/// Longest text that a login may add up to.
const LONGEST_TEXT: usize = 16 * 1024;
/// Most requests that a login may take.
const MOST_REQUESTS: usize = 32;
/// Stages, after security negotiation (0).
const OPERATIONAL: u8 = 1;
const FULL_FEATURE: u8 = 3;

/// Whether a login status means failure: class and detail.
pub mod status {
    /// Initiator error.
    pub const INITIATOR_ERROR: u16 = 0x0200;
    /// Authentication failure: no method in common.
    pub const AUTHENTICATION: u16 = 0x0201;
    /// The target is not known here.
    pub const NOT_FOUND: u16 = 0x0203;
    /// The version is not supported.
    pub const VERSION: u16 = 0x0205;
    /// Too many connections in the session.
    pub const TOO_MANY_CONNECTIONS: u16 = 0x0206;
    /// A key that must be there is missing.
    pub const MISSING_PARAMETER: u16 = 0x0207;
    /// The kind of session is not supported.
    pub const SESSION_TYPE: u16 = 0x0209;
    /// Out of resources; try again later.
    pub const OUT_OF_RESOURCES: u16 = 0x0302;
}

/// What a session is for (RFC 7143, section 13.21).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SessionType {
    /// Commands to the logical units.
    Normal,
    /// Finding targets: no SCSI commands.
    Discovery,
}

/// What a login came to.
#[derive(Clone, Debug, PartialEq)]
pub struct Params {
    /// The initiator's name.
    pub initiator: String,
    /// Its part of the session's identifier.
    pub isid: [u8; 6],
    /// What the session is for.
    pub session_type: SessionType,
    /// CRC32C over headers.
    pub header_digest: bool,
    /// CRC32C over data.
    pub data_digest: bool,
    /// Longest data segment that the initiator takes.
    pub longest_out: usize,
    /// Most data of one sequence.
    pub max_burst: usize,
    /// Most unsolicited data of one command.
    pub first_burst: usize,
    /// Whether commands may carry data.
    pub immediate_data: bool,
    /// RFC 7144: from level 2 on, responses carry the status qualifier.
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
            longest_out: 8192,
            max_burst: 262_144,
            first_burst: 65_536,
            immediate_data: true,
            protocol_level: 1,
        }
    }
}

/// The pairs of a text data segment; `None` if it is not of the form `key=value`, each closed by a zero.
pub fn pairs(text: &[u8]) -> Option<Vec<(String, String)>> {
    let parts = text.split(|b| *b == 0).filter(|part| !part.is_empty());
    parts
        .map(|part| {
            let (key, value) = std::str::from_utf8(part).ok()?.split_once('=')?;
            Some((key.to_string(), value.to_string()))
        })
        .collect()
}

/// The text of pairs.
pub fn text(pairs: &[(String, String)]) -> Bytes {
    let mut out = BytesMut::new();
    for (key, value) in pairs {
        out.put_slice(format!("{key}={value}\0").as_bytes());
    }
    out.freeze()
}

impl Params {
    /// Takes in one key of the initiator; the answer to it, if it is one that is answered.
    fn negotiate(&mut self, key: &str, value: &str, target: &Target) -> Result<Option<String>, u16> {
        let number = value
            .parse::<u64>()
            .ok()
            .or_else(|| value.strip_prefix("0x").and_then(|hex| u64::from_str_radix(hex, 16).ok()));
        let ranged = |low: u64, high: u64| number.filter(|n| (low..=high).contains(n));
        let reject = || Ok(Some("Reject".to_string()));
        let digest = |on: &mut bool| {
            // The first of the initiator's list that is known here.
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
                Some(longest) => self.longest_out = longest as usize,
                None => return Err(status::INITIATOR_ERROR),
            },
            "MaxBurstLength" | "FirstBurstLength" => {
                let Some(offered) = ranged(512, (1 << 24) - 1) else { return reject() };
                let first = key == "FirstBurstLength";
                let mine = if first { &mut self.first_burst } else { &mut self.max_burst };
                *mine = (*mine).min(offered as usize);
                return Ok(Some(mine.to_string()));
            }
            "ImmediateData" if boolean => {
                self.immediate_data = value == "Yes";
                return Ok(Some(value.into()));
            }
            // Results fixed on this side: these are OR functions, and one Yes is enough.
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

/// What a login request asks for: its stage, and where to go from it.
struct Step {
    transit: bool,
    more: bool,
    stage: u8,
    next: u8,
}

impl Step {
    fn of(request: &Pdu) -> Step {
        let flags = request.flags();
        Step { transit: flags & 0x80 != 0, more: flags & 0x40 != 0, stage: flags >> 2 & 3, next: flags & 3 }
    }
}

/// A login under way.
struct Login {
    params: Params,
    seen: BTreeMap<String, String>,
    stage: Option<u8>,
    declared: bool,
}

impl Login {
    /// The status that a request fails with by its header alone.
    fn problem(&self, request: &Pdu) -> Option<u16> {
        let Step { transit, more, stage, next } = Step::of(request);
        let lowest_version = request.header[3];
        if lowest_version > 0 {
            return Some(status::VERSION);
        }
        if request.header[14..16] != [0, 0] {
            // A second connection of a session, which MaxConnections=1 leaves no room for.
            return Some(status::TOO_MANY_CONNECTIONS);
        }
        let other_stage = self.stage.is_some_and(|now| now != stage);
        let bad_transit = transit && (more || next <= stage || next == 2);
        if other_stage || stage > OPERATIONAL || bad_transit {
            return Some(status::INITIATOR_ERROR);
        }
        None
    }

    /// The keys that answer a whole text, or the status the login fails with.
    fn take(&mut self, text: &[u8], target: &Target) -> Result<Vec<(String, String)>, u16> {
        let first = self.seen.is_empty();
        let mut answers = Vec::new();
        for (key, value) in pairs(text).ok_or(status::INITIATOR_ERROR)? {
            if self.seen.insert(key.clone(), value.clone()).is_some() {
                return Err(status::INITIATOR_ERROR); // a key may be negotiated once
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

fn fail(request: &Pdu, class_and_detail: u16) -> Pdu {
    respond(request, 0, 0).with(36, u32::from(class_and_detail) << 16)
}

fn respond(request: &Pdu, flags: u8, tsih: u16) -> Pdu {
    let mut pdu = Pdu::new(response::LOGIN, flags, request.task());
    pdu.header[8..14].copy_from_slice(&request.header[8..14]);
    pdu.header[14..16].copy_from_slice(&tsih.to_be_bytes());
    pdu
}

/// Leads a connection through its login. `open` gives the session its handle once the login is about to
/// succeed, or `None` when there is no room for one.
///
/// # Errors
///
/// The connection ends, a PDU is not a login request, the login is rejected, or it takes too many requests.
pub async fn login<H>(
    connection: &mut Connection,
    target: &Target,
    open: impl FnOnce(&Params) -> Option<(u16, H)>,
) -> Result<(Params, H), SessionError> {
    let seen = BTreeMap::new();
    let mut login = Login { params: Params::default(), seen, stage: None, declared: false };
    let mut gathered = BytesMut::new();
    for _ in 0..MOST_REQUESTS {
        let request = connection.read().await?;
        if request.opcode() != request::LOGIN {
            return Err(SessionError::Protocol("another PDU during login"));
        }
        let Step { transit, more, stage, next } = Step::of(&request);
        if login.stage.is_none() {
            connection.start_numbering(&request);
            login.params.isid.copy_from_slice(&request.header[8..14]);
        }
        let mut reject = login.problem(&request);
        login.stage = Some(stage);
        gathered.extend_from_slice(&request.data);
        if gathered.len() > LONGEST_TEXT {
            reject = Some(status::INITIATOR_ERROR);
        }
        if let Some(why) = reject {
            connection.respond(fail(&request, why)).await?;
            return Err(SessionError::Login(why));
        }
        if more {
            connection.respond(respond(&request, stage << 2, 0)).await?;
            continue;
        }
        let mut answers = match login.take(&gathered.split(), target) {
            Ok(answers) => answers,
            Err(why) => {
                connection.respond(fail(&request, why)).await?;
                return Err(SessionError::Login(why));
            }
        };
        if stage == OPERATIONAL && !login.declared {
            login.declared = true;
            answers.push(("MaxRecvDataSegmentLength".into(), LONGEST_SEGMENT.to_string()));
        }
        let keys = text(&answers);
        if !(transit && next == FULL_FEATURE) {
            let flags = if transit { 0x80 | stage << 2 | next } else { stage << 2 };
            connection.respond(respond(&request, flags, 0).with_data(keys)).await?;
            login.stage = Some(if transit { next } else { stage });
            continue;
        }
        login.params.first_burst = login.params.first_burst.min(login.params.max_burst);
        let Some((tsih, handle)) = open(&login.params) else {
            connection.respond(fail(&request, status::OUT_OF_RESOURCES)).await?;
            return Err(SessionError::Login(status::OUT_OF_RESOURCES));
        };
        let flags = 0x80 | stage << 2 | FULL_FEATURE;
        connection.respond(respond(&request, flags, tsih).with_data(keys)).await?;
        connection.set_digests(login.params.header_digest, login.params.data_digest);
        return Ok((login.params, handle));
    }
    Err(SessionError::Protocol("a login without an end"))
}
