//! A session in its full feature phase: an event loop over received PDUs, completed commands and timers.

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
use crate::frontend::closing::SharedStream;
use crate::resources::descriptors::ClientSlot;
use std::collections::{HashMap, HashSet};
use std::rc::Rc;
use std::time::Duration;
use task::{Finished, Task};
use tokio::task::{Id, JoinSet};
use tokio::time::{Instant, sleep_until, timeout};

/// Time limit of the login phase. A client that stalls has to be disconnected within 3 s.
const LOGIN_TIMEOUT: Duration = Duration::from_millis(2500);
/// Time limit for telling an initiator that its connection is closed because descriptors run short.
const RECLAIM_NOTICE_TIMEOUT: Duration = Duration::from_millis(20);
/// Time without a received PDU after which the target sends a NOP-In ping; after the same time again without a PDU
/// the session ends.
const IDLE_TIMEOUT: Duration = Duration::from_secs(15);
/// How long a session without outstanding commands stays open after shutdown begins.
const SHUTDOWN_GRACE: Duration = Duration::from_millis(200);
/// Interval at which a session is looked at while the program shuts down.
const SHUTDOWN_RECHECK_INTERVAL: Duration = Duration::from_millis(10);
/// The asynchronous event code that requests a logout, and the seconds within which the initiator must log out.
const LOGOUT_REQUESTED: u8 = 1;
const LOGOUT_SECONDS: u32 = 1;
/// The asynchronous event code that announces the end of all connections of the session, and the seconds after which the
/// initiator may log in again (RFC 7143, section 11.9).
const CONNECTIONS_DROPPED: u8 = 3;
const RECONNECT_SECONDS: u32 = 2;

/// The moments of the program's shutdown for a session.
#[derive(Clone, Copy, Debug)]
struct SessionShutdown {
    /// From this time on, the session ends as soon as no command is outstanding and none has arrived.
    close_at: Instant,
    /// From this time on, writes do not wait for data, and commands are answered at once.
    requests_until: Instant,
}

impl SessionShutdown {
    /// The shutdown of a session that has been asked to log out now.
    fn new(requests_until: Instant) -> SessionShutdown {
        SessionShutdown { close_at: (Instant::now() + SHUTDOWN_GRACE).min(requests_until), requests_until }
    }

    /// When the session has to be looked at again after `now`.
    fn next_check(&self, now: Instant) -> Instant {
        self.close_at.max(now + SHUTDOWN_RECHECK_INTERVAL)
    }
}

/// An open session and its outstanding commands.
struct Session<T> {
    frontend: Rc<BlockFrontend<T>>,
    connection: Connection,
    /// The connection's slot in the descriptor budget.
    slot: Rc<ClientSlot>,
    params: Params,
    tsih: u16,
    tasks: HashMap<u32, Task>,
    immediate: HashSet<u32>,
    running: JoinSet<Finished>,
    last_transfer_tag: u32,
    pinged: bool,
    /// Set once the program shuts down.
    shutdown: Option<SessionShutdown>,
}

/// Serves a connection until its session ends.
///
/// # Errors
///
/// Returns an error if the login fails, the initiator violates the protocol or times out, the connection ends or is
/// reclaimed, or a new login replaces the session.
pub async fn serve<T: Transport + 'static>(
    frontend: Rc<BlockFrontend<T>>,
    stream: SharedStream,
    slot: Rc<ClientSlot>,
) -> Result<(), SessionError> {
    stream.socket().set_nodelay(true)?;
    let mut connection = Connection::new(stream, slot.clone(), frontend.counters.clone());
    let login = login::login(&mut connection, &frontend.target, |params| {
        let handle = frontend.open(params)?;
        Some((handle.tsih(), handle))
    });
    let (params, handle) = tokio::select! {
        biased;
        login = timeout(LOGIN_TIMEOUT, login) => login.map_err(|_| SessionError::Timeout)??,
        () = slot.reclaimed() => return Err(SessionError::Reclaimed { logged_in: false }),
    };
    connection.set_window(frontend.target.queue_depth);
    frontend.counters.block_sessions.add();
    let tsih = handle.tsih();
    log::info!("block: session {tsih} of {}", params.initiator);
    let mut session = Session {
        frontend,
        connection,
        slot,
        params,
        tsih,
        tasks: HashMap::new(),
        immediate: HashSet::new(),
        running: JoinSet::new(),
        last_transfer_tag: 0,
        pinged: false,
        shutdown: None,
    };
    let ended = session.run(&handle).await;
    // Dropping the session discards writes that wait for data and cancels running commands.
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
        let mut closing = self.frontend.phases.closing();
        let mut last_received = Instant::now();
        let slot = self.slot.clone();
        loop {
            self.connection.mark_use(!self.tasks.is_empty());
            if self.has_to_close() {
                return Ok(());
            }
            let idle_deadline = last_received + IDLE_TIMEOUT;
            let data_deadline = self.first_data_deadline();
            let shutdown_check = self.shutdown.map(|shutdown| shutdown.next_check(Instant::now()));
            tokio::select! {
                biased;
                () = handle.replaced() => return Err(SessionError::Protocol("replaced by a new login")),
                Some(done) = self.running.join_next_with_id(), if !self.running.is_empty() => {
                    match done {
                        Ok((id, finished)) if self.is_running(finished.task, id) => self.finish(finished).await?,
                        _ => {}
                    }
                }
                () = sleep_until(data_deadline.unwrap_or(idle_deadline)), if data_deadline.is_some() => {
                    self.fail_overdue_writes().await?;
                }
                pdu = self.connection.read() => {
                    last_received = Instant::now();
                    self.pinged = false;
                    if self.handle_read(pdu).await? {
                        return Ok(());
                    }
                }
                () = sleep_until(idle_deadline) => {
                    last_received = Instant::now();
                    self.ping().await?;
                }
                () = slot.reclaimed() => {
                    if self.tasks.is_empty() && !self.connection.is_receiving() {
                        self.announce_reclaim().await;
                        return Err(SessionError::Reclaimed { logged_in: true });
                    }
                    slot.decline_reclaim();
                }
                requests_until = closing.when_idle(), if self.shutdown.is_none() => {
                    self.ask_for_logout().await?;
                    self.shutdown = Some(SessionShutdown::new(requests_until));
                }
                () = sleep_until(shutdown_check.unwrap_or(idle_deadline)), if shutdown_check.is_some() => {}
            }
        }
    }

    /// Whether the session ends since the program shuts down: all that has arrived is answered. Looked at before each event,
    /// since an initiator that keeps sending leaves no other moment.
    fn has_to_close(&self) -> bool {
        let is_due = self.shutdown.is_some_and(|shutdown| Instant::now() >= shutdown.close_at);
        is_due && self.tasks.is_empty() && !self.connection.has_unhandled_bytes()
    }

    /// Returns whether the finished Tokio task `id` still belongs to the command with this tag. The result of an
    /// aborted command is discarded, even if the command completed just before the abort.
    fn is_running(&self, task: u32, id: Id) -> bool {
        matches!(self.tasks.get(&task), Some(Task::Running(running)) if running.id() == id)
    }

    /// Sends a NOP-In that requests a reply; fails if no PDU has arrived since the previous one.
    async fn ping(&mut self) -> Result<(), SessionError> {
        if self.pinged {
            return Err(SessionError::Timeout);
        }
        self.pinged = true;
        let transfer_tag = self.next_transfer_tag();
        let ping = Pdu::new(opcode::NOP_IN, 0x80, NO_TAG).with_u32(20, transfer_tag);
        self.connection.send_unnumbered(ping).await
    }

    async fn ask_for_logout(&mut self) -> Result<(), SessionError> {
        let mut event = Pdu::new(opcode::ASYNC, 0x80, NO_TAG).with_u32(40, LOGOUT_SECONDS);
        event.header[36] = LOGOUT_REQUESTED;
        self.connection.respond(event).await
    }

    /// Tells the initiator that its session ends, if it reads that at once.
    async fn announce_reclaim(&mut self) {
        let mut event = Pdu::new(opcode::ASYNC, 0x80, NO_TAG).with_u32(40, RECONNECT_SECONDS << 16);
        event.header[36] = CONNECTIONS_DROPPED;
        if timeout(RECLAIM_NOTICE_TIMEOUT, self.connection.respond(event)).await.is_err() {
            log::debug!("block: session {} is not told of its end", self.tsih);
        }
    }

    /// Handles the result of a read; returns true after a logout.
    async fn handle_read(&mut self, pdu: Result<Pdu, SessionError>) -> Result<bool, SessionError> {
        match pdu {
            Err(SessionError::Pdu(PduError::DataDigest(header))) => {
                self.frontend.counters.block_rejects.add();
                self.connection.reject(reject_reason::DATA_DIGEST, &header).await?;
                Err(SessionError::Protocol("data digest error"))
            }
            other => self.handle_pdu(other?).await,
        }
    }

    /// Handles one PDU of the initiator; returns true after a logout.
    async fn handle_pdu(&mut self, pdu: Pdu) -> Result<bool, SessionError> {
        let opcode = pdu.opcode();
        let numbered = !matches!(opcode, request::DATA_OUT | request::SNACK);
        if numbered && !pdu.immediate() {
            match self.connection.accept_command_number(pdu.u32_at(24)) {
                CommandOrder::Next => {}
                CommandOrder::Outside => return Ok(false), // ignored (RFC 7143, section 4.2.2.1)
                // A single connection delivers commands in order, so a command was lost.
                CommandOrder::Gap => return self.protocol_error(&pdu, "gap in CmdSN").await,
            }
        }
        let serves_commands = self.params.session_type == SessionType::Normal;
        if !serves_commands && !matches!(opcode, request::TEXT | request::LOGOUT | request::NOP_OUT) {
            return self.protocol_error(&pdu, "PDU not allowed in a discovery session").await;
        }
        match opcode {
            request::SCSI_COMMAND => self.command(pdu).await.map(|()| false),
            request::DATA_OUT => self.data_out(pdu).await,
            request::NOP_OUT => self.nop_out(&pdu).await.map(|()| false),
            request::TASK_MANAGEMENT => self.task_management(&pdu).await.map(|()| false),
            request::TEXT => self.text(&pdu).await.map(|()| false),
            request::LOGOUT => self.logout(&pdu).await,
            request::LOGIN => self.protocol_error(&pdu, "login request in the full feature phase").await,
            other => {
                self.frontend.counters.block_rejects.add();
                let snack = other == request::SNACK;
                let reason = if snack { reject_reason::SNACK } else { reject_reason::NOT_SUPPORTED };
                self.connection.reject(reason, &pdu.header).await?;
                Ok(false)
            }
        }
    }

    /// Extends the command window after a PDU that completes on receipt; immediate PDUs do not occupy the window.
    fn open_window(&mut self, pdu: &Pdu) {
        if !pdu.immediate() {
            self.connection.widen_window();
        }
    }

    /// Extends the command window after a command ends; immediate commands do not occupy the window.
    fn close_task(&mut self, task: u32) {
        if !self.immediate.remove(&task) {
            self.connection.widen_window();
        }
    }

    /// Rejects a PDU and returns the error that ends the connection, as error recovery level 0 requires.
    async fn protocol_error(&mut self, pdu: &Pdu, problem: &'static str) -> Result<bool, SessionError> {
        self.frontend.counters.block_rejects.add();
        self.connection.reject(reject_reason::PROTOCOL, &pdu.header).await?;
        Err(SessionError::Protocol(problem))
    }
}
