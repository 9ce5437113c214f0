//! What is no command: pings, task management, text requests and logout.

use super::super::connection::reject_reason;
use super::super::error::SessionError;
use super::super::login::{self, SessionType};
use super::super::pdu::{NO_TAG, Pdu, response};
use super::Session;
use super::task::Task;
use crate::core::Transport;

/// Flags of a text request: the last of it, and whether more is to come.
const FINAL: u8 = 0x80;
const CONTINUE: u8 = 0x40;
/// The function of a task management request that aborts one task, and its responses.
const ABORT_TASK: u8 = 1;
const FUNCTION_COMPLETE: u8 = 0;
const TASK_DOES_NOT_EXIST: u8 = 1;
const FUNCTION_NOT_SUPPORTED: u8 = 5;
/// Reasons of a logout from this one on ask for recovery, and the response to those.
const LOGOUT_FOR_RECOVERY: u8 = 2;
const RECOVERY_NOT_SUPPORTED: u8 = 2;

impl<T: Transport + 'static> Session<T> {
    /// Answers a ping that asks for it.
    pub(super) async fn nop_out(&mut self, pdu: &Pdu) -> Result<(), SessionError> {
        self.open_window(pdu);
        if pdu.task() == NO_TAG {
            return Ok(());
        }
        let data = pdu.data.slice(..pdu.data.len().min(self.params.longest_out));
        let answer = Pdu::new(response::NOP_IN, 0x80, pdu.task()).with(20, NO_TAG);
        self.connection.respond(answer.with_data(data)).await
    }

    pub(super) async fn task_management(&mut self, pdu: &Pdu) -> Result<(), SessionError> {
        self.open_window(pdu);
        let mut answer = Pdu::new(response::TASK_MANAGEMENT, 0x80, pdu.task());
        answer.header[2] = match pdu.flags() & 0x7f {
            ABORT_TASK if self.abort(pdu.at(20)) => FUNCTION_COMPLETE,
            ABORT_TASK => TASK_DOES_NOT_EXIST,
            _ => FUNCTION_NOT_SUPPORTED,
        };
        self.connection.respond(answer).await
    }

    /// Closes the session or its only connection; true if it is over. Recovery is not supported.
    pub(super) async fn logout(&mut self, pdu: &Pdu) -> Result<bool, SessionError> {
        self.open_window(pdu);
        let mut answer = Pdu::new(response::LOGOUT, 0x80, pdu.task());
        let close = pdu.flags() & 0x7f < LOGOUT_FOR_RECOVERY;
        answer.header[2] = if close { 0 } else { RECOVERY_NOT_SUPPORTED };
        self.abort_all();
        self.connection.respond(answer).await?;
        Ok(close)
    }

    /// SendTargets is the one text request with a meaning here.
    pub(super) async fn text(&mut self, pdu: &Pdu) -> Result<(), SessionError> {
        self.open_window(pdu);
        let whole = pdu.flags() & (FINAL | CONTINUE) == FINAL;
        let Some(asked) = login::pairs(&pdu.data).filter(|_| whole) else {
            self.front.counters.block_rejects.add();
            return self.connection.reject(reject_reason::PROTOCOL, &pdu.header).await;
        };
        let mut answers = Vec::new();
        for (key, value) in asked {
            match key.as_str() {
                "SendTargets" if self.is_asked_for(&value) => {
                    let address = self.connection.local_addr()?;
                    answers.push(("TargetName".to_string(), self.front.target.name.clone()));
                    answers.push(("TargetAddress".to_string(), format!("{address},1")));
                }
                "SendTargets" if value == "All" => answers.push((key, "Reject".into())),
                "SendTargets" => {}
                _ => answers.push((key, "NotUnderstood".into())),
            }
        }
        let answer = Pdu::new(response::TEXT, 0x80, pdu.task()).with(20, NO_TAG);
        self.connection.respond(answer.with_data(login::text(&answers))).await
    }

    /// Whether a value of SendTargets asks for this target in this kind of session.
    fn is_asked_for(&self, value: &str) -> bool {
        match value {
            "All" => self.params.session_type == SessionType::Discovery,
            "" => self.params.session_type == SessionType::Normal,
            name => name == self.front.target.name,
        }
    }

    /// Drops a task: unsent data are forgotten, a request in hand is cancelled. Its command has no
    /// response; its place in the window is given back.
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
