//! Outstanding commands of a session and their results.

use super::super::config::BlockRange;
use super::super::scsi::Sense;
use crate::core::Operation;
use crate::resources::memory::MemoryReservation;
use bytes::{Bytes, BytesMut};
use tokio::task::AbortHandle;
use tokio::time::Instant;

/// A completed command.
pub struct Finished {
    /// The initiator task tag.
    pub task: u32,
    /// Expected data transfer length, in bytes.
    pub expected_length: usize,
    /// Result of the command.
    pub result: CommandResult,
    /// Reservation for the data of the result, held until the response is sent.
    pub memory: Option<MemoryReservation>,
}

/// The result of a command.
pub enum CommandResult {
    /// GOOD: the command completed.
    Good {
        /// Data of a read; empty for a write.
        data: Bytes,
        /// Bytes that the command transferred in either direction.
        transferred: usize,
    },
    /// CHECK CONDITION with this sense data.
    CheckCondition(Sense),
    /// BUSY: the core rejected the request.
    Busy {
        /// Seconds after which to retry; 0 if unspecified.
        retry_after_s: f64,
    },
    /// TASK SET FULL.
    TaskSetFull,
}

/// An outstanding command.
pub enum Task {
    /// A write whose data has not arrived completely.
    Receiving(WriteTransfer),
    /// A command whose request is in progress; the handle cancels the request.
    Running(AbortHandle),
}

/// A SCSI command that reads or writes blocks.
#[derive(Clone, Copy)]
pub struct BlockCommand {
    /// The initiator task tag.
    pub task: u32,
    /// Logical unit number.
    pub lun: u16,
    /// Command sequence number (CmdSN).
    pub cmd_sn: u32,
    /// Read or write.
    pub operation: Operation,
    /// Location of the blocks.
    pub range: BlockRange,
    /// Time by which the command must be answered.
    pub deadline: Instant,
    /// Expected data transfer length, in bytes.
    pub expected_length: usize,
}

/// A write that waits for more data.
pub struct WriteTransfer {
    /// The command.
    pub command: BlockCommand,
    /// LUN field of the command, which R2T PDUs repeat.
    pub lun_field: [u8; 8],
    /// Data received so far.
    pub data: BytesMut,
    /// Reservation for the data.
    pub memory: MemoryReservation,
    /// Target transfer tag of the current burst.
    pub transfer_tag: u32,
    /// Offset of the end of the current burst, in bytes.
    pub burst_end: usize,
    /// DataSN expected of the next Data-Out in the burst.
    pub data_sn: u32,
    /// R2TSN of the next R2T.
    pub r2t_sn: u32,
}
