//! Responses to SCSI commands: status, sense data, residual counts and read data.

use super::super::error::SessionError;
use super::super::pdu::{NO_TAG, Pdu, response};
use super::super::scsi::{Sense, status};
use super::Session;
use super::task::{CommandResult, Finished};
use crate::core::Transport;
use bytes::Bytes;

/// Largest retry delay of a status qualifier, in units of 100 ms (SAM-5, scope 00b).
const MAX_QUALIFIER: f64 = 16381.0;
/// From this protocol level on, responses carry the status qualifier (RFC 7144).
const QUALIFIER_LEVEL: u32 = 2;
/// Residual flags of a SCSI Response.
const OVERFLOW: u8 = 0x04;
const UNDERFLOW: u8 = 0x02;

impl<T: Transport + 'static> Session<T> {
    /// Sends the response of a completed command and releases its task tag.
    pub(super) async fn finish(&mut self, finished: Finished) -> Result<(), SessionError> {
        let Finished { task, expected_length, result, memory: _memory } = finished;
        self.tasks.remove(&task);
        self.close_task(task);
        let mut data_in = Vec::new();
        let mut answer = Pdu::new(response::SCSI, 0x80, task);
        match result {
            CommandResult::Good { data, transferred } => {
                let sent = data.len().min(expected_length);
                data_in = self.data_in(task, &data.slice(..sent));
                answer =
                    with_residual(answer, transferred, expected_length).with_u32(36, data_in.len() as u32);
            }
            CommandResult::CheckCondition(sense) => answer = with_sense(answer, sense, expected_length),
            CommandResult::Busy { retry_after_s } => {
                self.frontend.counters.block_busy.add();
                answer.header[3] = status::BUSY;
                self.set_status_qualifier(&mut answer, retry_after_s);
            }
            CommandResult::TaskSetFull => {
                self.frontend.counters.block_task_set_full.add();
                answer.header[3] = status::TASK_SET_FULL;
                self.set_status_qualifier(&mut answer, 0.0);
            }
        }
        self.connection.respond_after(data_in, answer).await
    }

    /// Sets the status qualifier (RFC 7144) to the retry delay, in units of 100 ms, if the protocol level permits it.
    fn set_status_qualifier(&self, answer: &mut Pdu, retry_after_s: f64) {
        if self.params.protocol_level >= QUALIFIER_LEVEL && retry_after_s > 0.0 {
            let steps = (retry_after_s * 10.0).ceil().clamp(1.0, MAX_QUALIFIER) as u16;
            answer.header[8..10].copy_from_slice(&steps.to_be_bytes());
        }
    }

    /// Splits read data into Data-In PDUs of at most the initiator's data segment limit, and into sequences of at most
    /// MaxBurstLength.
    fn data_in(&self, task: u32, data: &Bytes) -> Vec<Pdu> {
        let (max_segment, burst) = (self.params.max_send_data_segment, self.params.max_burst);
        let mut pdus = Vec::new();
        let mut at = 0;
        while at < data.len() {
            let burst_end = (at / burst + 1) * burst;
            let end = (at + max_segment).min(burst_end).min(data.len());
            let last = end == burst_end || end == data.len();
            let pdu = Pdu::new(response::DATA_IN, if last { 0x80 } else { 0 }, task)
                .with_u32(20, NO_TAG)
                .with_u32(36, pdus.len() as u32)
                .with_u32(40, at as u32);
            pdus.push(pdu.with_data(data.slice(at..end)));
            at = end;
        }
        pdus
    }
}

/// Sets the residual count: the difference between the transferred and the expected length.
fn with_residual(mut answer: Pdu, transferred: usize, expected_length: usize) -> Pdu {
    let residual = transferred.abs_diff(expected_length);
    if residual == 0 {
        return answer;
    }
    answer.header[1] |= if transferred > expected_length { OVERFLOW } else { UNDERFLOW };
    answer.with_u32(44, residual as u32)
}

/// Sets CHECK CONDITION with sense data; no data was transferred.
fn with_sense(mut answer: Pdu, sense: Sense, expected_length: usize) -> Pdu {
    answer.header[3] = status::CHECK_CONDITION;
    let sense = sense.bytes();
    let mut data = (sense.len() as u16).to_be_bytes().to_vec();
    data.extend(sense);
    with_residual(answer, 0, expected_length).with_data(data)
}
