//! The data of writes: bursts that are asked for (R2T), Data-Out PDUs, and writes given up since data never came.

use super::super::error::SessionError;
use super::super::pdu::{NO_TAG, Pdu, response};
use super::super::scsi;
use super::Session;
use super::task::{BlockCommand, CommandResult, Finished, Task, WriteTransfer};
use crate::core::Transport;
use tokio::time::Instant;

/// The flag of the last Data-Out of a burst.
const FINAL: u8 = 0x80;

impl<T: Transport + 'static> Session<T> {
    /// Hands a write whose data are whole to the core, or asks for the next burst.
    pub(super) async fn receive(&mut self, mut transfer: WriteTransfer) -> Result<(), SessionError> {
        let (BlockCommand { task, place, .. }, have) = (transfer.command, transfer.data.len());
        if have == place.length {
            self.start(transfer.command, transfer.data.freeze());
            return Ok(());
        }
        let length = (place.length - have).min(self.params.max_burst);
        transfer.transfer_tag = self.next_transfer_tag();
        transfer.burst_end = have + length;
        transfer.data_sn = 0;
        let mut ready = Pdu::new(response::R2T, 0x80, task)
            .with(20, transfer.transfer_tag)
            .with(36, transfer.r2t_sn)
            .with(40, have as u32)
            .with(44, length as u32);
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
                return self.protocol_error(&pdu, "data for a command that has them all").await;
            }
            // Of a command that was aborted or given up meanwhile: to be discarded.
            None => return Ok(false),
        };
        let have = transfer.data.len();
        let fits = pdu.at(20) == transfer.transfer_tag
            && pdu.at(36) == transfer.data_sn
            && pdu.at(40) as usize == have
            && have + pdu.data.len() <= transfer.burst_end;
        if !fits {
            return self.protocol_error(&pdu, "data out of turn").await;
        }
        transfer.data.extend_from_slice(&pdu.data);
        transfer.data_sn += 1;
        let last = pdu.flags() & FINAL != 0;
        let whole = transfer.data.len() == transfer.burst_end;
        if last != whole {
            return self.protocol_error(&pdu, "a burst of another length than asked for").await;
        }
        if last {
            self.receive(transfer).await?;
        } else {
            self.tasks.insert(task, Task::Receiving(transfer));
        }
        Ok(false)
    }

    /// When the first write whose data are not whole is given up.
    pub(super) fn first_deadline(&self) -> Option<Instant> {
        let receiving = self.tasks.values().filter_map(|task| match task {
            Task::Receiving(transfer) => Some(transfer.command.deadline),
            Task::Running(_) => None,
        });
        receiving.min()
    }

    /// Ends writes whose data never came whole; nothing of them was sent.
    pub(super) async fn give_up_data(&mut self) -> Result<(), SessionError> {
        let now = Instant::now();
        let is_late = |task: &Task| matches!(task, Task::Receiving(write) if write.command.deadline <= now);
        let late: Vec<u32> =
            self.tasks.iter().filter(|(_, task)| is_late(task)).map(|(tag, _)| *tag).collect();
        for task in late {
            let result = CommandResult::Check(scsi::DATA_PHASE);
            self.finish(Finished { task, expected_length: 0, result }).await?;
        }
        Ok(())
    }

    /// A target transfer tag; never the one that stands for none.
    pub(super) fn next_transfer_tag(&mut self) -> u32 {
        self.last_transfer_tag = self.last_transfer_tag.wrapping_add(1);
        if self.last_transfer_tag == NO_TAG {
            self.last_transfer_tag = 1;
        }
        self.last_transfer_tag
    }
}
