//! PDUs other than SCSI commands: NOP-Out, task management, text requests and logout.

use super::super::connection::reject_reason;
use super::super::error::SessionError;
use super::super::login::{self, SessionType};
use super::super::pdu::{NO_TAG, Pdu, response};
use super::Session;
use super::task::Task;
use crate::core::Transport;

/// Flags of a text request: final request of the exchange, and text that continues in the next request.
const FINAL: u8 = 0x80;
const CONTINUE: u8 = 0x40;
/// The ABORT TASK function of a task management request, and response codes of task management.
const ABORT_TASK: u8 = 1;
const FUNCTION_COMPLETE: u8 = 0;
const TASK_DOES_NOT_EXIST: u8 = 1;
const FUNCTION_NOT_SUPPORTED: u8 = 5;
/// The first logout reason code that requests connection recovery, and the response that refuses recovery.
const LOGOUT_FOR_RECOVERY: u8 = 2;
const RECOVERY_NOT_SUPPORTED: u8 = 2;

impl<T: Transport + 'static> Session<T> {
    /// Answers a NOP-Out that requests a reply.
    pub(super) async fn nop_out(&mut self, pdu: &Pdu) -> Result<(), SessionError> {
        self.open_window(pdu);
        if pdu.task() == NO_TAG {
            return Ok(());
        }
        let data = pdu.data.slice(..pdu.data.len().min(self.params.max_send_data_segment));
        let answer = Pdu::new(response::NOP_IN, 0x80, pdu.task()).with_u32(20, NO_TAG);
        self.connection.respond(answer.with_data(data)).await
    }

    pub(super) async fn task_management(&mut self, pdu: &Pdu) -> Result<(), SessionError> {
        self.open_window(pdu);
        let mut answer = Pdu::new(response::TASK_MANAGEMENT, 0x80, pdu.task());
        answer.header[2] = match pdu.flags() & 0x7f {
            ABORT_TASK if self.abort(pdu.u32_at(20)) => FUNCTION_COMPLETE,
            ABORT_TASK => TASK_DOES_NOT_EXIST,
            _ => FUNCTION_NOT_SUPPORTED,
        };
        self.connection.respond(answer).await
    }

    /// Answers a logout request; returns true if it closes the session or its only connection. Connection recovery is
    /// refused.
    pub(super) async fn logout(&mut self, pdu: &Pdu) -> Result<bool, SessionError> {
        self.open_window(pdu);
        let mut answer = Pdu::new(response::LOGOUT, 0x80, pdu.task());
        let close = pdu.flags() & 0x7f < LOGOUT_FOR_RECOVERY;
        answer.header[2] = if close { 0 } else { RECOVERY_NOT_SUPPORTED };
        self.abort_all();
        self.connection.respond(answer).await?;
        Ok(close)
    }

    /// Answers a text request; SendTargets is the only supported key.
    pub(super) async fn text(&mut self, pdu: &Pdu) -> Result<(), SessionError> {
        self.open_window(pdu);
        let is_complete = pdu.flags() & (FINAL | CONTINUE) == FINAL;
        let Some(requested) = login::pairs(&pdu.data).filter(|_| is_complete) else {
            self.frontend.counters.block_rejects.add();
            return self.connection.reject(reject_reason::PROTOCOL, &pdu.header).await;
        };
        let mut answers = Vec::new();
        for (key, value) in requested {
            match key.as_str() {
                "SendTargets" if self.selects_target(&value) => {
                    let address = self.connection.local_addr()?;
                    answers.push(("TargetName".to_string(), self.frontend.target.name.clone()));
                    answers.push(("TargetAddress".to_string(), format!("{address},1")));
                }
                "SendTargets" if value == "All" => answers.push((key, "Reject".into())),
                "SendTargets" => {}
                _ => answers.push((key, "NotUnderstood".into())),
            }
        }
        let answer = Pdu::new(response::TEXT, 0x80, pdu.task()).with_u32(20, NO_TAG);
        self.connection.respond(answer.with_data(login::text(&answers))).await
    }

    /// Returns whether a SendTargets value selects this target in a session of this type.
    fn selects_target(&self, value: &str) -> bool {
        match value {
            "All" => self.params.session_type == SessionType::Discovery,
            "" => self.params.session_type == SessionType::Normal,
            name => name == self.frontend.target.name,
        }
    }

    /// Aborts a command: discards received write data or cancels the running request. The command gets no response,
    /// and the command window is extended. Returns false if no command has this tag.
    fn abort(&mut self, task: u32) -> bool {
        let Some(dropped) = self.tasks.remove(&task) else { return false };
        if let Task::Running(running) = dropped {
            running.abort();
        }
        self.close_task(task);
        true
    }

    fn abort_all(&mut self) {
        for task in self.tasks.keys().copied().collect::<Vec<_>>() {
            self.abort(task);
        }
    }
}
