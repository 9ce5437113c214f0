//! The commands that a session has in hand, and what they come to.

use super::super::config::Place;
use super::super::scsi::Sense;
use crate::core::Operation;
use bytes::{Bytes, BytesMut};
use tokio::task::AbortHandle;
use tokio::time::Instant;

/// A command that has come to its end.
pub struct Finished {
    /// The initiator task tag.
    pub task: u32,
    /// Bytes that the initiator expects to move.
    pub expected_length: usize,
    /// What it came to.
    pub result: CommandResult,
}

/// What a command came to.
pub enum CommandResult {
    /// Done: the data of a read, and the bytes that the command moved either way.
    Good {
        /// The data of a read.
        data: Bytes,
        /// Bytes that it moved.
        moved: usize,
    },
    /// CHECK CONDITION with this sense.
    Check(Sense),
    /// BUSY: refused; try again after so many seconds.
    Refused {
        /// Seconds to wait; 0 for no advice.
        wait: f64,
    },
    /// TASK SET FULL.
    TaskSetFull,
}

/// A command in hand.
pub enum Task {
    /// Its data still come in.
    Receiving(WriteTransfer),
    /// The core serves it.
    Running(AbortHandle),
}

/// A command that moves blocks.
#[derive(Clone, Copy)]
pub struct BlockCommand {
    /// The initiator task tag.
    pub task: u32,
    /// The logical unit.
    pub lun: u16,
    /// The command's number (CmdSN).
    pub cmd_sn: u32,
    /// Read or write.
    pub verb: Operation,
    /// Where its blocks lie.
    pub place: Place,
    /// When it is answered at the latest.
    pub deadline: Instant,
    /// Bytes that the initiator expects to move.
    pub expected_length: usize,
}

/// A write whose data are not whole yet.
pub struct WriteTransfer {
    /// The command.
    pub command: BlockCommand,
    /// Its logical unit's field, as R2T repeats it.
    pub lun_field: [u8; 8],
    /// The data so far.
    pub data: BytesMut,
    /// The target transfer tag of the burst under way.
    pub transfer_tag: u32,
    /// Bytes of data at the end of that burst.
    pub burst_end: usize,
    /// The number of the next Data-Out in it (DataSN).
    pub data_sn: u32,
    /// The number of the next R2T (R2TSN).
    pub r2t_sn: u32,
}
