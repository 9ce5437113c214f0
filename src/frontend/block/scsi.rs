//! SCSI command decoding: parses CDBs, answers commands that move no blocks and formats sense data.

use super::config::{BlockRange, Lun, Target};
use crate::core::Operation;

/// SCSI status codes (SAM-5).
pub mod status {
    /// GOOD.
    pub const GOOD: u8 = 0x00;
    /// CHECK CONDITION.
    pub const CHECK_CONDITION: u8 = 0x02;
    /// BUSY.
    pub const BUSY: u8 = 0x08;
    /// TASK SET FULL.
    pub const TASK_SET_FULL: u8 = 0x28;
}

/// Sense data of a CHECK CONDITION: sense key, additional sense code and additional sense code qualifier.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Sense(pub u8, pub u8, pub u8);

/// ILLEGAL REQUEST, INVALID COMMAND OPERATION CODE.
pub const INVALID_OPERATION: Sense = Sense(0x05, 0x20, 0x00);
/// ILLEGAL REQUEST, LOGICAL BLOCK ADDRESS OUT OF RANGE.
pub const OUT_OF_RANGE: Sense = Sense(0x05, 0x21, 0x00);
/// ILLEGAL REQUEST, INVALID FIELD IN CDB.
pub const INVALID_FIELD: Sense = Sense(0x05, 0x24, 0x00);
/// ILLEGAL REQUEST, LOGICAL UNIT NOT SUPPORTED.
pub const NO_SUCH_UNIT: Sense = Sense(0x05, 0x25, 0x00);
/// MEDIUM ERROR, UNRECOVERED READ ERROR.
pub const READ_ERROR: Sense = Sense(0x03, 0x11, 0x00);
/// ABORTED COMMAND, LOGICAL UNIT COMMUNICATION TIME-OUT: the request failed, or may have been executed.
pub const NO_ANSWER: Sense = Sense(0x0b, 0x08, 0x01);
/// ABORTED COMMAND, DATA PHASE ERROR: the data of a write did not arrive completely.
pub const DATA_PHASE: Sense = Sense(0x0b, 0x4b, 0x00);

impl Sense {
    /// Encodes the sense data in fixed format (SPC-4).
    pub fn bytes(self) -> [u8; 18] {
        let mut sense = [0; 18];
        (sense[0], sense[2], sense[7]) = (0x70, self.0, 10);
        (sense[12], sense[13]) = (self.1, self.2);
        sense
    }
}

/// A decoded command.
#[derive(Debug, PartialEq)]
pub enum Command {
    /// The target answers with this data, without a request to a node.
    Local(Vec<u8>),
    /// A read or write of blocks in one extent.
    Blocks(Operation, BlockRange),
}

fn read_big_endian(bytes: &[u8]) -> u64 {
    bytes.iter().fold(0, |value, byte| value << 8 | u64::from(*byte))
}

/// Decodes a CDB. `lun_number` is `None` if the LUN field has an unsupported format.
///
/// # Errors
///
/// Returns sense data for an unknown logical unit or operation code, an invalid field or blocks out of range.
pub fn command(cdb: &[u8; 16], target: &Target, lun_number: Option<u16>) -> Result<Command, Sense> {
    let lun = lun_number.and_then(|n| target.lun(n));
    let at_most = |mut data: Vec<u8>, length: u64| {
        data.truncate(usize::try_from(length).unwrap_or(usize::MAX));
        Ok(Command::Local(data))
    };
    // INQUIRY and REPORT LUNS are answered for any logical unit number.
    match cdb[0] {
        0x12 => return at_most(inquiry(cdb, target, lun)?, read_big_endian(&cdb[3..5])),
        0xa0 => return at_most(report_luns(cdb, target)?, read_big_endian(&cdb[6..10])),
        _ => {}
    }
    let lun = lun.ok_or(NO_SUCH_UNIT)?;
    let (blocks, size) = (lun.blocks(), target.block_size);
    match cdb[0] {
        // TEST UNIT READY. REQUEST SENSE reports no sense: each response already carries its sense data.
        0x00 => Ok(Command::Local(Vec::new())),
        0x03 => at_most(Sense(0, 0, 0).bytes().to_vec(), u64::from(cdb[4])),
        // READ CAPACITY (10) and (16).
        0x25 => {
            let last = u32::try_from(blocks - 1).unwrap_or(u32::MAX);
            Ok(Command::Local([last.to_be_bytes(), size.to_be_bytes()].concat()))
        }
        0x9e if cdb[1] & 0x1f == 0x10 => {
            let mut data = (blocks - 1).to_be_bytes().to_vec();
            data.extend(size.to_be_bytes());
            data.resize(32, 0);
            at_most(data, read_big_endian(&cdb[10..14]))
        }
        0x28 => transfer_command(
            target,
            lun,
            Operation::Read,
            cdb[1],
            read_big_endian(&cdb[2..6]),
            read_big_endian(&cdb[7..9]),
        ),
        0x2a => transfer_command(
            target,
            lun,
            Operation::Write,
            cdb[1],
            read_big_endian(&cdb[2..6]),
            read_big_endian(&cdb[7..9]),
        ),
        0x88 => transfer_command(
            target,
            lun,
            Operation::Read,
            cdb[1],
            read_big_endian(&cdb[2..10]),
            read_big_endian(&cdb[10..14]),
        ),
        0x8a => transfer_command(
            target,
            lun,
            Operation::Write,
            cdb[1],
            read_big_endian(&cdb[2..10]),
            read_big_endian(&cdb[10..14]),
        ),
        _ => Err(INVALID_OPERATION),
    }
}

fn transfer_command(
    target: &Target,
    lun: &Lun,
    operation: Operation,
    flags: u8,
    lba: u64,
    count: u64,
) -> Result<Command, Sense> {
    if flags >> 5 != 0 {
        return Err(INVALID_FIELD); // the logical units do not support protection information
    }
    if lba.checked_add(count).is_none_or(|end| end > lun.blocks()) {
        return Err(OUT_OF_RANGE);
    }
    match count {
        0 => Ok(Command::Local(Vec::new())),
        _ => Ok(Command::Blocks(operation, lun.locate(target, lba, count).ok_or(INVALID_FIELD)?)),
    }
}

fn inquiry(cdb: &[u8; 16], target: &Target, lun: Option<&Lun>) -> Result<Vec<u8>, Sense> {
    // No such logical unit: peripheral qualifier 011b and unknown device type.
    let device = if lun.is_some() { 0x00 } else { 0x7f };
    if cdb[1] & 1 == 0 {
        if cdb[2] != 0 {
            return Err(INVALID_FIELD);
        }
        let mut data = vec![device, 0, 0x06, 0x02, 31, 0, 0, 0x02];
        data.extend(b"FLAXGAP CATCHUP STORE   0002");
        return Ok(data);
    }
    let lun = lun.ok_or(INVALID_FIELD)?;
    let serial = format!("{:016x}{:04x}", lun.volume.0, lun.lun);
    let page = match cdb[2] {
        0x00 => vec![0x00, 0x80, 0x83, 0xb0],
        0x80 => serial.into_bytes(),
        0x83 => {
            // Logical unit: T10 vendor ID based designator. Target port: SCSI name string.
            let vendor = format!("FLAXGAP {serial}");
            let mut name = format!("{},t,0x0001", target.name).into_bytes();
            name.push(0);
            name.resize(name.len().next_multiple_of(4), 0);
            let mut page = vec![0x02, 0x01, 0, vendor.len() as u8];
            page.extend(vendor.bytes());
            page.extend([0x53, 0x98, 0, name.len() as u8]);
            page.extend(name);
            page
        }
        0xb0 => {
            let max_blocks = target.max_blocks_per_command(lun) as u32;
            let mut page = vec![0; 60];
            page[4..8].copy_from_slice(&max_blocks.to_be_bytes()); // MAXIMUM TRANSFER LENGTH
            page[8..12].copy_from_slice(&max_blocks.to_be_bytes()); // OPTIMAL TRANSFER LENGTH
            page
        }
        _ => return Err(INVALID_FIELD),
    };
    let mut data = vec![device, cdb[2]];
    data.extend((page.len() as u16).to_be_bytes());
    data.extend(page);
    Ok(data)
}

fn report_luns(cdb: &[u8; 16], target: &Target) -> Result<Vec<u8>, Sense> {
    // SELECT REPORT: 0 and 2 list the logical units; 1 lists well known logical units, of which the target has none.
    let listed: &[Lun] = match cdb[2] {
        0 | 2 => &target.luns,
        1 => &[],
        _ => return Err(INVALID_FIELD),
    };
    let mut data = (listed.len() as u32 * 8).to_be_bytes().to_vec();
    data.extend([0; 4]);
    for lun in listed {
        let address = if lun.lun < 256 { lun.lun } else { 0x4000 | lun.lun };
        data.extend(address.to_be_bytes());
        data.extend([0; 6]);
    }
    Ok(data)
}
