//! Responses to commands: status, sense, residual counts and the data of reads.

use super::super::error::SessionError;
use super::super::pdu::{NO_TAG, Pdu, response};
use super::super::scsi::{Sense, status};
use super::Session;
use super::task::{CommandResult, Finished};
use crate::core::Transport;
use bytes::Bytes;

/// Longest status qualifier, in steps of 100 ms (SAM-5: scope 00b).
const LONGEST_QUALIFIER: f64 = 16381.0;
/// From this protocol level on, responses carry the status qualifier (RFC 7144).
const QUALIFIER_LEVEL: u32 = 2;
/// Flags of a SCSI Response.
const OVERFLOW: u8 = 0x04;
const UNDERFLOW: u8 = 0x02;

impl<T: Transport + 'static> Session<T> {
    /// Answers a command that has come to its end.
    pub(super) async fn finish(&mut self, finished: Finished) -> Result<(), SessionError> {
        let Finished { task, expected_length, result } = finished;
        self.tasks.remove(&task);
        self.close_task(task);
        let mut data_in = Vec::new();
        let mut answer = Pdu::new(response::SCSI, 0x80, task);
        match result {
            CommandResult::Good { data, moved } => {
                let sent = data.len().min(expected_length);
                data_in = self.data_in(task, &data.slice(..sent));
                answer = with_residual(answer, moved, expected_length).with(36, data_in.len() as u32);
            }
            CommandResult::Check(sense) => answer = with_sense(answer, sense, expected_length),
            CommandResult::Refused { wait } => {
                self.front.counters.block_busy.add();
                answer.header[3] = status::BUSY;
                self.qualify(&mut answer, wait);
            }
            CommandResult::TaskSetFull => {
                self.front.counters.block_task_set_full.add();
                answer.header[3] = status::TASK_SET_FULL;
                self.qualify(&mut answer, 0.0);
            }
        }
        self.connection.respond_after(data_in, answer).await
    }

    /// RFC 7144: how long to wait, in steps of 100 ms, where the level was agreed.
    fn qualify(&self, answer: &mut Pdu, wait: f64) {
        if self.params.protocol_level >= QUALIFIER_LEVEL && wait > 0.0 {
            let steps = (wait * 10.0).ceil().clamp(1.0, LONGEST_QUALIFIER) as u16;
            answer.header[8..10].copy_from_slice(&steps.to_be_bytes());
        }
    }

    /// The data of a read, in PDUs that the initiator takes and sequences of a burst at most.
    fn data_in(&self, task: u32, data: &Bytes) -> Vec<Pdu> {
        let (longest, burst) = (self.params.longest_out, self.params.max_burst);
        let mut pdus = Vec::new();
        let mut at = 0;
        while at < data.len() {
            let burst_end = (at / burst + 1) * burst;
            let end = (at + longest).min(burst_end).min(data.len());
            let last = end == burst_end || end == data.len();
            let pdu = Pdu::new(response::DATA_IN, if last { 0x80 } else { 0 }, task)
                .with(20, NO_TAG)
                .with(36, pdus.len() as u32)
                .with(40, at as u32);
            pdus.push(pdu.with_data(data.slice(at..end)));
            at = end;
        }
        pdus
    }
}

/// How far what moved is from what the initiator expected.
fn with_residual(mut answer: Pdu, moved: usize, expected_length: usize) -> Pdu {
    let residual = moved.abs_diff(expected_length);
    if residual == 0 {
        return answer;
    }
    answer.header[1] |= if moved > expected_length { OVERFLOW } else { UNDERFLOW };
    answer.with(44, residual as u32)
}

/// CHECK CONDITION: nothing moved, and sense data say why.
fn with_sense(mut answer: Pdu, sense: Sense, expected_length: usize) -> Pdu {
    answer.header[3] = status::CHECK_CONDITION;
    let sense = sense.bytes();
    let mut data = (sense.len() as u16).to_be_bytes().to_vec();
    data.extend(sense);
    with_residual(answer, 0, expected_length).with_data(data)
}
