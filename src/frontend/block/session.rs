//! A session in its full feature phase: the loop over what comes in, what is done and what falls due.

mod command;
mod control;
mod response;
mod task;
mod write_data;

use super::connection::{CommandOrder, Connection, reject_reason};
use super::error::SessionError;
use super::login::{self, Params, SessionType};
use super::pdu::{NO_TAG, Pdu, PduError, request, response as opcode};
use super::registry::SessionHandle;
use super::shared::BlockFrontend;
use crate::core::Transport;
use std::collections::{HashMap, HashSet};
use std::rc::Rc;
use std::time::Duration;
use task::{Finished, Task};
use tokio::net::TcpStream;
use tokio::task::{Id, JoinSet};
use tokio::time::{Instant, sleep_until, timeout};

/// How long a login may take.
const LOGIN_TIMEOUT: Duration = Duration::from_secs(10);
/// After this long without a PDU the initiator is pinged, and given as long again.
const IDLE_TIMEOUT: Duration = Duration::from_secs(15);
/// How long a session without work is kept once the program ends.
const SHUTDOWN_GRACE: Duration = Duration::from_millis(200);
/// The asynchronous event by which the target asks for a logout, and the seconds that it gives.
const LOGOUT_REQUESTED: u8 = 1;
const LOGOUT_SECONDS: u32 = 1;

/// One session of the target.
struct Session<T> {
    front: Rc<BlockFrontend<T>>,
    connection: Connection,
    params: Params,
    tsih: u16,
    tasks: HashMap<u32, Task>,
    immediate: HashSet<u32>,
    running: JoinSet<Finished>,
    last_transfer_tag: u32,
    pinged: bool,
}

/// Serves one connection to its end.
///
/// # Errors
///
/// The login fails, the initiator breaks the protocol or goes silent, the connection ends, or a new login replaces it.
pub async fn serve<T: Transport + 'static>(
    front: Rc<BlockFrontend<T>>,
    stream: Rc<TcpStream>,
) -> Result<(), SessionError> {
    stream.set_nodelay(true)?;
    let mut connection = Connection::new(stream);
    let login = login::login(&mut connection, &front.target, |params| {
        let handle = front.open(params)?;
        Some((handle.tsih(), handle))
    });
    let (params, handle) = timeout(LOGIN_TIMEOUT, login).await.map_err(|_| SessionError::Silent)??;
    connection.set_window(front.target.queue_depth);
    front.counters.block_sessions.add();
    let tsih = handle.tsih();
    log::info!("block: session {tsih} of {}", params.initiator);
    let mut session = Session {
        front,
        connection,
        params,
        tsih,
        tasks: HashMap::new(),
        immediate: HashSet::new(),
        running: JoinSet::new(),
        last_transfer_tag: 0,
        pinged: false,
    };
    let ended = session.run(&handle).await;
    // What is still in hand is dropped here: unsent writes are never sent, the rest is cancelled.
    log::info!(
        "block: session {tsih} ended: {}",
        match &ended {
            Ok(()) => "logged out".into(),
            Err(problem) => problem.to_string(),
        }
    );
    ended
}

impl<T: Transport + 'static> Session<T> {
    async fn run(&mut self, handle: &SessionHandle) -> Result<(), SessionError> {
        let mut closing = self.front.phases.subscribe_closing();
        let mut leave_at: Option<Instant> = None;
        let mut heard = Instant::now();
        loop {
            let idle = heard + IDLE_TIMEOUT;
            let data_due = self.first_deadline();
            let leave = leave_at.filter(|_| self.tasks.is_empty());
            tokio::select! {
                biased;
                () = handle.replaced() => return Err(SessionError::Protocol("replaced by a new login")),
                Some(done) = self.running.join_next_with_id(), if !self.running.is_empty() => {
                    match done {
                        Ok((id, finished)) if self.is_running(finished.task, id) => self.finish(finished).await?,
                        _ => {}
                    }
                }
                () = sleep_until(data_due.unwrap_or(idle)), if data_due.is_some() => {
                    self.give_up_data().await?;
                }
                pdu = self.connection.read() => {
                    heard = Instant::now();
                    self.pinged = false;
                    if self.arrived(pdu).await? {
                        return Ok(());
                    }
                }
                () = sleep_until(idle) => {
                    heard = Instant::now();
                    self.ping().await?;
                }
                _ = closing.wait_for(|closing| *closing), if leave_at.is_none() => {
                    self.ask_for_logout().await?;
                    leave_at = Some(Instant::now() + SHUTDOWN_GRACE);
                }
                () = sleep_until(leave.unwrap_or(idle)), if leave.is_some() => return Ok(()),
            }
        }
    }

    /// Whether a command is still the one that this run serves: an aborted one has nothing to tell, even if it was
    /// done just before.
    fn is_running(&self, task: u32, id: Id) -> bool {
        matches!(self.tasks.get(&task), Some(Task::Running(running)) if running.id() == id)
    }

    /// Pings an initiator that nothing came from, once.
    async fn ping(&mut self) -> Result<(), SessionError> {
        if self.pinged {
            return Err(SessionError::Silent);
        }
        self.pinged = true;
        let transfer_tag = self.next_transfer_tag();
        let ping = Pdu::new(opcode::NOP_IN, 0x80, NO_TAG).with(20, transfer_tag);
        self.connection.send_unnumbered(ping).await
    }

    async fn ask_for_logout(&mut self) -> Result<(), SessionError> {
        let mut event = Pdu::new(opcode::ASYNC, 0x80, NO_TAG).with(40, LOGOUT_SECONDS);
        event.header[36] = LOGOUT_REQUESTED;
        self.connection.respond(event).await
    }

    /// What was read; true after a logout.
    async fn arrived(&mut self, pdu: Result<Pdu, SessionError>) -> Result<bool, SessionError> {
        match pdu {
            Err(SessionError::Pdu(PduError::DataDigest(header))) => {
                self.front.counters.block_rejects.add();
                self.connection.reject(reject_reason::DATA_DIGEST, &header).await?;
                Err(SessionError::Protocol("data digest error"))
            }
            other => self.take(other?).await,
        }
    }

    /// One PDU of the initiator; true after a logout.
    async fn take(&mut self, pdu: Pdu) -> Result<bool, SessionError> {
        let opcode = pdu.opcode();
        let numbered = !matches!(opcode, request::DATA_OUT | request::SNACK);
        if numbered && !pdu.immediate() {
            match self.connection.take_command_number(pdu.at(24)) {
                CommandOrder::Next => {}
                CommandOrder::Outside => return Ok(false), // ignored, as the standard has it
                // With one connection nothing can overtake: a number is missing.
                CommandOrder::Gap => return self.protocol_error(&pdu, "a gap in CmdSN").await,
            }
        }
        let serves_commands = self.params.session_type == SessionType::Normal;
        if !serves_commands && !matches!(opcode, request::TEXT | request::LOGOUT | request::NOP_OUT) {
            return self.protocol_error(&pdu, "a command in a discovery session").await;
        }
        match opcode {
            request::SCSI_COMMAND => self.command(pdu).await.map(|()| false),
            request::DATA_OUT => self.data_out(pdu).await,
            request::NOP_OUT => self.nop_out(&pdu).await.map(|()| false),
            request::TASK_MANAGEMENT => self.task_management(&pdu).await.map(|()| false),
            request::TEXT => self.text(&pdu).await.map(|()| false),
            request::LOGOUT => self.logout(&pdu).await,
            request::LOGIN => self.protocol_error(&pdu, "a login in the full feature phase").await,
            other => {
                self.front.counters.block_rejects.add();
                let snack = other == request::SNACK;
                let why = if snack { reject_reason::SNACK } else { reject_reason::NOT_SUPPORTED };
                self.connection.reject(why, &pdu.header).await?;
                Ok(false)
            }
        }
    }

    /// A numbered PDU that is over as soon as it is taken gives its place in the window back.
    fn open_window(&mut self, pdu: &Pdu) {
        if !pdu.immediate() {
            self.connection.widen_window();
        }
    }

    /// A numbered command that is over opens the window again; an immediate one never took a place.
    fn close_task(&mut self, task: u32) {
        if !self.immediate.remove(&task) {
            self.connection.widen_window();
        }
    }

    /// Recovery level 0: what can't be made sense of is rejected, and the connection ends.
    async fn protocol_error(&mut self, pdu: &Pdu, what: &'static str) -> Result<bool, SessionError> {
        self.front.counters.block_rejects.add();
        self.connection.reject(reject_reason::PROTOCOL, &pdu.header).await?;
        Err(SessionError::Protocol(what))
    }
}
