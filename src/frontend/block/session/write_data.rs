//! Data of writes: requests bursts (R2T), receives Data-Out PDUs and fails writes whose data does not arrive in time.

use super::super::error::SessionError;
use super::super::pdu::{NO_TAG, Pdu, response};
use super::super::scsi;
use super::Session;
use super::task::{BlockCommand, CommandResult, Finished, Task, WriteTransfer};
use crate::core::Transport;
use tokio::time::Instant;

/// Flag of the last Data-Out PDU of a burst.
const FINAL: u8 = 0x80;

impl<T: Transport + 'static> Session<T> {
    /// Starts a write whose data is complete, or requests its next burst.
    pub(super) async fn receive(&mut self, mut transfer: WriteTransfer) -> Result<(), SessionError> {
        let (BlockCommand { task, range, .. }, received) = (transfer.command, transfer.data.len());
        if received == range.length {
            self.start(transfer.command, transfer.data.freeze(), transfer.memory);
            return Ok(());
        }
        let length = (range.length - received).min(self.params.max_burst);
        transfer.transfer_tag = self.next_transfer_tag();
        transfer.burst_end = received + length;
        transfer.data_sn = 0;
        let mut ready = Pdu::new(response::R2T, 0x80, task)
            .with_u32(20, transfer.transfer_tag)
            .with_u32(36, transfer.r2t_sn)
            .with_u32(40, received as u32)
            .with_u32(44, length as u32);
        ready.header[8..16].copy_from_slice(&transfer.lun_field);
        transfer.r2t_sn += 1;
        self.tasks.insert(task, Task::Receiving(transfer));
        self.connection.send_unnumbered(ready).await
    }

    pub(super) async fn data_out(&mut self, pdu: Pdu) -> Result<bool, SessionError> {
        let task = pdu.task();
        let mut transfer = match self.tasks.remove(&task) {
            Some(Task::Receiving(transfer)) => transfer,
            Some(running) => {
                self.tasks.insert(task, running);
                return self.protocol_error(&pdu, "Data-Out for a command that expects no more data").await;
            }
            // Data of a command that was aborted or timed out is discarded.
            None => return Ok(false),
        };
        let received = transfer.data.len();
        let fits = pdu.u32_at(20) == transfer.transfer_tag
            && pdu.u32_at(36) == transfer.data_sn
            && pdu.u32_at(40) as usize == received
            && received + pdu.data.len() <= transfer.burst_end;
        if !fits {
            return self
                .protocol_error(&pdu, "Data-Out with an unexpected tag, DataSN, offset or length")
                .await;
        }
        transfer.data.extend_from_slice(&pdu.data);
        transfer.data_sn += 1;
        let last = pdu.flags() & FINAL != 0;
        let is_burst_complete = transfer.data.len() == transfer.burst_end;
        if last != is_burst_complete {
            return self
                .protocol_error(&pdu, "burst length differs from the length that R2T requested")
                .await;
        }
        if last {
            self.receive(transfer).await?;
        } else {
            self.tasks.insert(task, Task::Receiving(transfer));
        }
        Ok(false)
    }

    /// Returns the earliest deadline of the writes that wait for data. None waits past the shutdown.
    pub(super) fn first_data_deadline(&self) -> Option<Instant> {
        self.tasks.values().filter_map(|task| self.data_deadline(task)).min()
    }

    /// Returns the deadline of a write that waits for data; `None` if the task does not.
    fn data_deadline(&self, task: &Task) -> Option<Instant> {
        let Task::Receiving(transfer) = task else { return None };
        let deadline = transfer.command.deadline;
        Some(self.shutdown.map_or(deadline, |shutdown| deadline.min(shutdown.requests_until)))
    }

    /// Ends writes whose data did not arrive by their deadline; no request was sent for them.
    pub(super) async fn fail_overdue_writes(&mut self) -> Result<(), SessionError> {
        let now = Instant::now();
        let is_overdue = |task: &Task| self.data_deadline(task).is_some_and(|deadline| deadline <= now);
        let overdue: Vec<u32> =
            self.tasks.iter().filter(|(_, task)| is_overdue(task)).map(|(tag, _)| *tag).collect();
        for task in overdue {
            let result = CommandResult::CheckCondition(scsi::DATA_PHASE);
            self.finish(Finished { task, expected_length: 0, result, memory: None }).await?;
        }
        Ok(())
    }

    /// Returns a new target transfer tag; never the reserved value that stands for no tag.
    pub(super) fn next_transfer_tag(&mut self) -> u32 {
        self.last_transfer_tag = self.last_transfer_tag.wrapping_add(1);
        if self.last_transfer_tag == NO_TAG {
            self.last_transfer_tag = 1;
        }
        self.last_transfer_tag
    }
}
