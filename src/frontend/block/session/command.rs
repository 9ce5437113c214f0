//! SCSI commands: checks on arrival, and the request that the core serves for each.

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
use bytes::{Bytes, BytesMut};
use std::rc::Rc;
use tokio::time::{Instant, timeout_at};

/// Flags of a SCSI Command PDU.
const FINAL: u8 = 0x80;
const READ: u8 = 0x40;
const WRITE: u8 = 0x20;

impl<T: Transport + 'static> Session<T> {
    pub(super) async fn command(&mut self, pdu: Pdu) -> Result<(), SessionError> {
        let arrived = Instant::now();
        let task = pdu.task();
        if task == NO_TAG || self.tasks.contains_key(&task) {
            self.open_window(&pdu);
            self.front.counters.block_rejects.add();
            let why =
                if task == NO_TAG { reject_reason::INVALID_FIELD } else { reject_reason::TASK_IN_PROGRESS };
            return self.connection.reject(why, &pdu.header).await;
        }
        self.front.counters.block_commands.add();
        if pdu.immediate() {
            self.immediate.insert(task);
        }
        let expected_length = pdu.at(20) as usize;
        let end = |result| Finished { task, expected_length, result };
        if self.tasks.len() >= self.front.target.queue_depth as usize {
            return self.finish(end(CommandResult::TaskSetFull)).await;
        }
        if let Some(problem) = self.unsolicited_problem(&pdu) {
            return self.protocol_error(&pdu, problem).await.map(|_| ());
        }
        let mut cdb = [0; 16];
        cdb.copy_from_slice(&pdu.header[32..]);
        match scsi::command(&cdb, &self.front.target, pdu.lun()) {
            Err(sense) => self.finish(end(CommandResult::Check(sense))).await,
            Ok(Command::Here(data)) => {
                let moved = data.len();
                self.finish(end(CommandResult::Good { data: data.into(), moved })).await
            }
            Ok(Command::Blocks(verb, place)) => {
                let class = &self.front.target.classes[usize::from(verb == Operation::Write)];
                let deadline = arrived + seconds(class.2);
                let (lun, cmd_sn) = (pdu.lun().unwrap_or(0), pdu.at(24));
                let command = BlockCommand { task, lun, cmd_sn, verb, place, deadline, expected_length };
                self.move_blocks(&pdu, command).await
            }
        }
    }

    /// What is wrong with the data that come with a command, if anything.
    fn unsolicited_problem(&self, pdu: &Pdu) -> Option<&'static str> {
        let unsolicited = pdu.data.len();
        if unsolicited > 0 {
            let most = (pdu.at(20) as usize).min(self.params.first_burst);
            if pdu.flags() & WRITE == 0 || !self.params.immediate_data || unsolicited > most {
                return Some("immediate data that were not agreed");
            }
        }
        if pdu.flags() & FINAL == 0 {
            return Some("unsolicited data that were not agreed");
        }
        None
    }

    /// Begins a read, or a write with the data that came with it.
    async fn move_blocks(&mut self, pdu: &Pdu, command: BlockCommand) -> Result<(), SessionError> {
        let BlockCommand { task, verb, place, expected_length, .. } = command;
        let direction = if verb == Operation::Write { WRITE } else { READ };
        if pdu.flags() & direction == 0 || verb == Operation::Write && expected_length < place.length {
            let result = CommandResult::Check(scsi::INVALID_FIELD);
            return self.finish(Finished { task, expected_length, result }).await;
        }
        if verb == Operation::Read {
            self.start(command, Bytes::new());
            return Ok(());
        }
        let mut lun_field = [0; 8];
        lun_field.copy_from_slice(&pdu.header[8..16]);
        let data = BytesMut::from(&pdu.data[..pdu.data.len().min(place.length)]);
        let transfer = WriteTransfer {
            command,
            lun_field,
            data,
            transfer_tag: NO_TAG,
            burst_end: 0,
            data_sn: 0,
            r2t_sn: 0,
        };
        self.receive(transfer).await
    }

    /// Has the core serve a command, as one request within one extent.
    pub(super) fn start(&mut self, command: BlockCommand, payload: Bytes) {
        let front = self.front.clone();
        let Some(call) = self.call(&command, payload) else { return };
        let task = command.task;
        let abort = self.running.spawn_local(async move {
            let result = execute(&front, call, &command).await;
            Finished { task: command.task, expected_length: command.expected_length, result }
        });
        self.tasks.insert(task, Task::Running(abort));
    }

    /// The request for a command; `None` if its logical unit is not there.
    fn call(&self, command: &BlockCommand, payload: Bytes) -> Option<Call> {
        let front = &self.front;
        let BlockCommand { task, cmd_sn, verb, place, deadline, .. } = *command;
        let lun = front.target.lun(command.lun)?;
        let (class, class_name, _) = &front.target.classes[usize::from(verb == Operation::Write)];
        let target = format!(
            "/{class_name}/{:016x}/{:016x}?offset={}&length={}",
            lun.volume.0, place.extent.0, place.offset, place.length
        );
        // Unique for each command, and the same for each of its attempts.
        let key = (verb == Operation::Write).then(|| format!("{}-{}-{cmd_sn}-{task}", front.life, self.tsih));
        let envelope = NodeRequest {
            operation: verb,
            target,
            id: front.fresh_id(),
            idempotency_key: key.map(Bytes::from),
            payload: Payload::Buffered(payload),
        };
        Some(Call {
            class: *class,
            plan: lun.plan,
            volume: lun.volume,
            extent: Some(place.extent).filter(|extent| extent.0 != 0),
            shard: Some(place.shard),
            units: place.units,
            heads: lun.hosts,
            client_retry: false,
            deadline,
            client: None,
            node_request: Rc::new(envelope),
        })
    }
}

/// Serves one command's request to its end.
async fn execute<T: Transport + 'static>(
    front: &BlockFrontend<T>,
    call: Call,
    command: &BlockCommand,
) -> CommandResult {
    let length = command.place.length;
    let flight = front.counters.track_request(call.class);
    match front.dispatcher.serve(&*front.transport, call, flight).await {
        Answer::Served(_, flight) if command.verb == Operation::Write => {
            flight.finish(FinalOutcome::Served);
            CommandResult::Good { data: Bytes::new(), moved: length }
        }
        Answer::Served(content, flight) => {
            let whole = timeout_at(command.deadline, content.collect(length)).await.ok().flatten();
            match whole.filter(|data| data.len() == length) {
                Some(data) => {
                    flight.finish(FinalOutcome::Served);
                    CommandResult::Good { data, moved: length }
                }
                None => {
                    flight.finish(FinalOutcome::Failed);
                    log::warn!("block: not the {length} bytes that were to be read");
                    CommandResult::Check(scsi::READ_ERROR)
                }
            }
        }
        Answer::Rejected { retry_after_s: wait } => CommandResult::Refused { wait },
        Answer::Failed => CommandResult::Check(scsi::NO_ANSWER),
    }
}
