//! SCSI commands: validates them on arrival and translates reads and writes into requests to the core.

use super::super::connection::reject_reason;
use super::super::error::SessionError;
use super::super::pdu::{NO_TAG, Pdu};
use super::super::scsi::{self, Command};
use super::super::shared::BlockFrontend;
use super::Session;
use super::task::{BlockCommand, CommandResult, Finished, Task, WriteTransfer};
use crate::core::content::Payload;
use crate::core::{Answer, Call, NodeRequest, Operation, Transport, seconds};
use crate::metrics::counters::FinalOutcome;
use crate::resources::memory::MemoryReservation;
use bytes::{Bytes, BytesMut};
use std::rc::Rc;
use tokio::time::{Instant, timeout_at};

/// Flags of a SCSI Command PDU.
const FINAL: u8 = 0x80;
const READ: u8 = 0x40;
const WRITE: u8 = 0x20;
/// How many copies of a command's data are held at the same time.
const DATA_COPIES: usize = 2;
/// How long an initiator should wait with a command for which there was no memory, in seconds.
const OVERLOADED_RETRY_AFTER_S: f64 = 1.0;

impl<T: Transport + 'static> Session<T> {
    pub(super) async fn command(&mut self, pdu: Pdu) -> Result<(), SessionError> {
        let arrived = Instant::from_std(self.connection.last_received());
        let task = pdu.task();
        if task == NO_TAG || self.tasks.contains_key(&task) {
            self.open_window(&pdu);
            self.frontend.counters.block_rejects.add();
            let reason =
                if task == NO_TAG { reject_reason::INVALID_FIELD } else { reject_reason::TASK_IN_PROGRESS };
            return self.connection.reject(reason, &pdu.header).await;
        }
        self.frontend.counters.block_commands.add();
        if pdu.immediate() {
            self.immediate.insert(task);
        }
        let expected_length = pdu.u32_at(20) as usize;
        let end = |result| Finished { task, expected_length, result, memory: None };
        if self.tasks.len() >= self.frontend.target.queue_depth as usize {
            return self.finish(end(CommandResult::TaskSetFull)).await;
        }
        if let Some(problem) = self.unsolicited_problem(&pdu) {
            return self.protocol_error(&pdu, problem).await.map(|_| ());
        }
        let mut cdb = [0; 16];
        cdb.copy_from_slice(&pdu.header[32..]);
        match scsi::command(&cdb, &self.frontend.target, pdu.lun()) {
            Err(sense) => self.finish(end(CommandResult::CheckCondition(sense))).await,
            Ok(Command::Local(data)) => {
                let transferred = data.len();
                self.finish(end(CommandResult::Good { data: data.into(), transferred })).await
            }
            Ok(Command::Blocks(operation, range)) => {
                let class = &self.frontend.target.classes[usize::from(operation == Operation::Write)];
                let deadline = arrived + seconds(class.2);
                let (lun, cmd_sn) = (pdu.lun().unwrap_or(0), pdu.u32_at(24));
                let command = BlockCommand { task, lun, cmd_sn, operation, range, deadline, expected_length };
                self.start_transfer(&pdu, command).await
            }
        }
    }

    /// Returns what is wrong with the unsolicited data of a command, if anything.
    fn unsolicited_problem(&self, pdu: &Pdu) -> Option<&'static str> {
        let unsolicited = pdu.data.len();
        if unsolicited > 0 {
            let max_unsolicited = (pdu.u32_at(20) as usize).min(self.params.first_burst);
            if pdu.flags() & WRITE == 0 || !self.params.immediate_data || unsolicited > max_unsolicited {
                return Some("immediate data not permitted by the negotiated parameters");
            }
        }
        if pdu.flags() & FINAL == 0 {
            return Some("unsolicited Data-Out not permitted by the negotiated parameters");
        }
        None
    }

    /// Starts a read, or a write with the immediate data of its command.
    async fn start_transfer(&mut self, pdu: &Pdu, command: BlockCommand) -> Result<(), SessionError> {
        let BlockCommand { task, operation, range, expected_length, .. } = command;
        let direction = if operation == Operation::Write { WRITE } else { READ };
        if pdu.flags() & direction == 0 || operation == Operation::Write && expected_length < range.length {
            let result = CommandResult::CheckCondition(scsi::INVALID_FIELD);
            return self.finish(Finished { task, expected_length, result, memory: None }).await;
        }
        let Some(memory) = self.reserve_memory(&command) else {
            let result = CommandResult::Busy { retry_after_s: OVERLOADED_RETRY_AFTER_S };
            return self.finish(Finished { task, expected_length, result, memory: None }).await;
        };
        if operation == Operation::Read {
            self.start(command, Bytes::new(), memory);
            return Ok(());
        }
        let mut lun_field = [0; 8];
        lun_field.copy_from_slice(&pdu.header[8..16]);
        let data = BytesMut::from(&pdu.data[..pdu.data.len().min(range.length)]);
        let transfer = WriteTransfer {
            command,
            lun_field,
            data,
            memory,
            transfer_tag: NO_TAG,
            burst_end: 0,
            data_sn: 0,
            r2t_sn: 0,
        };
        self.receive(transfer).await
    }

    /// Reserves the memory of a command's data, which is copied once on its way.
    fn reserve_memory(&self, command: &BlockCommand) -> Option<MemoryReservation> {
        let memory = self.frontend.memory.try_reserve_buffer(DATA_COPIES * command.range.length);
        if memory.is_none() {
            self.frontend.counters.rejected_memory.add();
        }
        memory
    }

    /// Spawns a task that serves a command as one request to the core.
    pub(super) fn start(&mut self, command: BlockCommand, payload: Bytes, memory: MemoryReservation) {
        let frontend = self.frontend.clone();
        let Some(call) = self.call(&command, payload) else { return };
        let task = command.task;
        let abort = self.running.spawn_local(async move {
            let result = execute(&frontend, call, &command).await;
            Finished {
                task: command.task,
                expected_length: command.expected_length,
                result,
                memory: Some(memory),
            }
        });
        self.tasks.insert(task, Task::Running(abort));
    }

    /// Builds the request for a command; returns `None` if its logical unit does not exist.
    fn call(&self, command: &BlockCommand, payload: Bytes) -> Option<Call> {
        let frontend = &self.frontend;
        let BlockCommand { task, cmd_sn, operation, range, deadline, .. } = *command;
        let lun = frontend.target.lun(command.lun)?;
        let (class, class_name, _) = &frontend.target.classes[usize::from(operation == Operation::Write)];
        let target = format!(
            "/{class_name}/{:016x}/{:016x}?offset={}&length={}",
            lun.volume.0, range.extent.0, range.offset, range.length
        );
        // The idempotency key is unique per command and shared by its attempts.
        let key = (operation == Operation::Write)
            .then(|| format!("{}-{}-{cmd_sn}-{task}", frontend.run_id, self.tsih));
        let node_request = NodeRequest {
            operation,
            target,
            id: frontend.fresh_id(),
            idempotency_key: key.map(Bytes::from),
            payload: Payload::Buffered(payload),
        };
        Some(Call {
            class: *class,
            plan: lun.plan,
            volume: lun.volume,
            extent: Some(range.extent).filter(|extent| extent.0 != 0),
            shard: Some(range.shard),
            units: range.units,
            heads: lun.hosts,
            client_retry: false,
            deadline,
            client: None,
            node_request: Rc::new(node_request),
            id_claim: None,
        })
    }
}

/// Sends a command's request to the core and maps the answer to a SCSI result.
async fn execute<T: Transport + 'static>(
    frontend: &BlockFrontend<T>,
    call: Call,
    command: &BlockCommand,
) -> CommandResult {
    let length = command.range.length;
    let request_guard = frontend.counters.track_request(call.class);
    match frontend.dispatcher.serve(&*frontend.transport, call, request_guard).await {
        Answer::Served(_, request_guard) if command.operation == Operation::Write => {
            request_guard.finish(FinalOutcome::Served);
            CommandResult::Good { data: Bytes::new(), transferred: length }
        }
        Answer::Served(content, request_guard) => {
            let body = tokio::select! {
                biased;
                body = timeout_at(command.deadline, content.collect(length)) => body.ok().flatten(),
                () = frontend.dispatcher.shutdown_deadline_passed() => None,
            };
            match body.filter(|data| data.len() == length) {
                Some(data) => {
                    request_guard.finish(FinalOutcome::Served);
                    CommandResult::Good { data, transferred: length }
                }
                None => {
                    request_guard.finish(FinalOutcome::Failed);
                    log::warn!("block: not the {length} bytes that were to be read");
                    CommandResult::CheckCondition(scsi::READ_ERROR)
                }
            }
        }
        Answer::Rejected { retry_after_s } => CommandResult::Busy { retry_after_s },
        Answer::Failed => CommandResult::CheckCondition(scsi::NO_ANSWER),
    }
}
