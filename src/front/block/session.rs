//! A session in its full feature phase: commands, data, task management, and their end.

use super::config::Place;
use super::login::{self, LONGEST_SEGMENT, Params};
use super::pdu::{BHS, Codec, NO_TAG, Pdu, PduError, request, response};
use super::scsi::{self, Command, Sense, status};
use super::{BlockFront, SessionHandle};
use crate::content::Payload;
use crate::core::{Answer, Call, Envelope, Transport, Verb, seconds};
use crate::counters::Final;
use crate::front::closing::Shared;
use bytes::{Bytes, BytesMut};
use std::collections::{HashMap, HashSet};
use std::rc::Rc;
use std::time::Duration;
use thiserror::Error;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::{AbortHandle, JoinSet};
use tokio::time::{Instant, sleep_until, timeout, timeout_at};

/// How long a login may take.
const LOGIN: Duration = Duration::from_secs(10);
/// How long an initiator may leave what is sent to it unread.
const UNREAD: Duration = Duration::from_secs(10);
/// After this long without a PDU the initiator is pinged, and given as long again.
const QUIET: Duration = Duration::from_secs(15);
/// How long a session without work is kept once the program ends.
const FAREWELL: Duration = Duration::from_millis(200);
/// Longest status qualifier, in steps of 100 ms (SAM-5: scope 00b).
const LONGEST_QUALIFIER: f64 = 16381.0;

/// Why a session ended.
#[derive(Debug, Error)]
pub enum SessionError {
    /// The connection broke or was closed.
    #[error("connection: {0}")]
    Io(#[from] std::io::Error),
    /// The initiator closed it.
    #[error("closed by the initiator")]
    Closed,
    /// Bytes that are no PDU.
    #[error("PDU: {0}")]
    Pdu(#[from] PduError),
    /// A PDU that has no place here.
    #[error("protocol error: {0}")]
    Protocol(&'static str),
    /// The login was turned down.
    #[error("login turned down with status {0:#06x}")]
    Login(u16),
    /// Nothing came, or nothing was read, in time.
    #[error("silent")]
    Silent,
}

/// Reasons of a Reject.
mod reason {
    pub const DATA_DIGEST: u8 = 0x02;
    pub const SNACK: u8 = 0x03;
    pub const PROTOCOL: u8 = 0x04;
    pub const NOT_SUPPORTED: u8 = 0x05;
    pub const TASK_IN_PROGRESS: u8 = 0x07;
    pub const INVALID_FIELD: u8 = 0x09;
}

/// A connection with its numbering.
pub struct Wire {
    stream: Shared,
    codec: Codec,
    incoming: BytesMut,
    stat: u32,
    expected: u32,
    most: u32,
}

impl Wire {
    /// A connection at its start.
    pub fn new(stream: Rc<TcpStream>) -> Wire {
        let codec = Codec { header_digest: false, data_digest: false, longest: LONGEST_SEGMENT };
        Wire { stream: Shared(stream), codec, incoming: BytesMut::new(), stat: 1, expected: 0, most: 0 }
    }

    /// The next PDU. May be dropped and called again without loss.
    pub async fn read(&mut self) -> Result<Pdu, SessionError> {
        loop {
            if let Some(pdu) = self.codec.decode(&mut self.incoming)? {
                return Ok(pdu);
            }
            self.incoming.reserve(4096);
            if self.stream.read_buf(&mut self.incoming).await? == 0 {
                return Err(SessionError::Closed);
            }
        }
    }

    /// Takes the numbers of the first login request: the first command bears the same one.
    pub fn start_numbering(&mut self, login: &Pdu) {
        self.expected = login.at(24);
        self.most = self.expected;
        self.stat = login.at(28).max(1);
    }

    /// From the full feature phase on.
    pub fn digests(&mut self, header_digest: bool, data_digest: bool) {
        (self.codec.header_digest, self.codec.data_digest) = (header_digest, data_digest);
    }

    /// Sends a PDU that bears a status number.
    pub async fn respond(&mut self, pdu: Pdu) -> Result<(), SessionError> {
        let pdu = pdu.with(24, self.stat);
        self.stat = self.stat.wrapping_add(1);
        self.write(&[pdu]).await
    }

    /// Sends PDUs with the command window of this moment.
    async fn write(&mut self, pdus: &[Pdu]) -> Result<(), SessionError> {
        let mut out = BytesMut::new();
        for pdu in pdus {
            let pdu = pdu.clone().with(28, self.expected).with(32, self.most);
            self.codec.encode(&pdu, &mut out);
        }
        timeout(UNREAD, self.stream.write_all(&out)).await.map_err(|_| SessionError::Silent)??;
        Ok(())
    }

    async fn reject(&mut self, why: u8, header: &[u8; BHS]) -> Result<(), SessionError> {
        let mut pdu = Pdu::new(response::REJECT, 0x80, NO_TAG).with_data(header.to_vec());
        pdu.header[2] = why;
        self.respond(pdu).await
    }
}

/// What a finished command came to.
struct Finished {
    task: u32,
    expected_length: usize,
    result: Ended,
}

enum Ended {
    /// Done: the data of a read, and the bytes that the command moved either way.
    Good {
        data: Bytes,
        moved: usize,
    },
    Check(Sense),
    Refused {
        wait: f64,
    },
    Full,
}

/// A command in hand: its data still come in, or the core serves it.
enum Task {
    Receiving(Receiving),
    Served(AbortHandle),
}

/// A command that moves blocks.
#[derive(Clone, Copy)]
struct Work {
    task: u32,
    lun: u16,
    command: u32,
    verb: Verb,
    place: Place,
    deadline: Instant,
    expected_length: usize,
}

/// A write whose data are not whole yet.
struct Receiving {
    work: Work,
    lun_field: [u8; 8],
    data: BytesMut,
    transfer: u32,
    burst_end: usize,
    data_number: u32,
    requests: u32,
}

/// One session of the target.
struct Session<T> {
    front: Rc<BlockFront<T>>,
    wire: Wire,
    params: Params,
    tsih: u16,
    tasks: HashMap<u32, Task>,
    immediate: HashSet<u32>,
    running: JoinSet<Finished>,
    next_transfer: u32,
    pinged: bool,
}

/// Serves one connection to its end.
pub async fn serve<T: Transport + 'static>(
    front: Rc<BlockFront<T>>,
    stream: Rc<TcpStream>,
) -> Result<(), SessionError> {
    stream.set_nodelay(true)?;
    let mut wire = Wire::new(stream);
    let entered = timeout(LOGIN, login::login(&mut wire, &front.target, |params| front.open(params)));
    let (params, handle) = entered.await.map_err(|_| SessionError::Silent)??;
    wire.most = wire.expected.wrapping_add(front.target.queue_depth).wrapping_sub(1);
    front.counters.block_sessions.add();
    let tsih = handle.tsih();
    log::info!("block: session {tsih} of {}", params.initiator);
    let (tasks, immediate, running) = (HashMap::new(), HashSet::new(), JoinSet::new());
    let mut session =
        Session { front, wire, params, tsih, tasks, immediate, running, next_transfer: 0, pinged: false };
    let ended = session.run(&handle).await;
    // What is still in hand is dropped here: unsent writes are never sent, the rest is called off.
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
            let quiet = heard + QUIET;
            let data_due = self.first_deadline();
            let leave = leave_at.filter(|_| self.tasks.is_empty());
            tokio::select! {
                biased;
                () = handle.replaced() => return Err(SessionError::Protocol("replaced by a new login")),
                Some(done) = self.running.join_next_with_id(), if !self.running.is_empty() => {
                    // An aborted task has nothing to say, even if it was done just before.
                    let current = |id, task| matches!(self.tasks.get(&task), Some(Task::Served(t)) if t.id() == id);
                    match done {
                        Ok((id, finished)) if current(id, finished.task) => self.finish(finished).await?,
                        _ => {}
                    }
                }
                () = sleep_until(data_due.unwrap_or(quiet)), if data_due.is_some() => {
                    self.give_up_data().await?;
                }
                pdu = self.wire.read() => {
                    heard = Instant::now();
                    self.pinged = false;
                    let pdu = match pdu {
                        Err(SessionError::Pdu(PduError::DataDigest(header))) => {
                            self.front.counters.block_rejects.add();
                            self.wire.reject(reason::DATA_DIGEST, &header).await?;
                            return Err(SessionError::Protocol("data digest error"));
                        }
                        other => other?,
                    };
                    if self.take(pdu).await? {
                        return Ok(());
                    }
                }
                () = sleep_until(quiet) => {
                    if self.pinged {
                        return Err(SessionError::Silent);
                    }
                    self.pinged = true;
                    heard = Instant::now();
                    let transfer = self.transfer_tag();
                    let ping = Pdu::new(response::NOP_IN, 0x80, NO_TAG).with(20, transfer);
                    self.wire.write(&[ping.with(24, self.wire.stat)]).await?;
                }
                _ = closing.wait_for(|closing| *closing), if leave_at.is_none() => {
                    // Event 1: the target asks for a logout, within a second.
                    let mut event = Pdu::new(response::ASYNC, 0x80, NO_TAG).with(40, 1);
                    event.header[36] = 1;
                    self.wire.respond(event).await?;
                    leave_at = Some(Instant::now() + FAREWELL);
                }
                () = sleep_until(leave.unwrap_or(quiet)), if leave.is_some() => return Ok(()),
            }
        }
    }

    fn transfer_tag(&mut self) -> u32 {
        self.next_transfer = self.next_transfer.wrapping_add(1);
        if self.next_transfer == NO_TAG {
            self.next_transfer = 1;
        }
        self.next_transfer
    }

    fn first_deadline(&self) -> Option<Instant> {
        let receiving = self.tasks.values().filter_map(|task| match task {
            Task::Receiving(receiving) => Some(receiving.work.deadline),
            Task::Served(_) => None,
        });
        receiving.min()
    }

    /// Ends writes whose data never came whole; nothing of them was sent.
    async fn give_up_data(&mut self) -> Result<(), SessionError> {
        let now = Instant::now();
        let late = self
            .tasks
            .iter()
            .filter(|(_, task)| matches!(task, Task::Receiving(r) if r.work.deadline <= now));
        for task in late.map(|(task, _)| *task).collect::<Vec<_>>() {
            let result = Ended::Check(scsi::DATA_PHASE);
            self.finish(Finished { task, expected_length: 0, result }).await?;
        }
        Ok(())
    }

    /// One PDU of the initiator; true after a logout.
    async fn take(&mut self, pdu: Pdu) -> Result<bool, SessionError> {
        let opcode = pdu.opcode();
        let numbered = !matches!(opcode, request::DATA_OUT | request::SNACK);
        if numbered && !pdu.immediate() {
            let number = pdu.at(24);
            let window = self.wire.most.wrapping_sub(self.wire.expected).wrapping_add(1);
            if number.wrapping_sub(self.wire.expected) >= window {
                return Ok(false); // outside the window: ignored, as the standard has it
            }
            if number != self.wire.expected {
                // With one connection nothing can overtake: a number is missing.
                return self.protocol_error(&pdu, "a gap in CmdSN").await;
            }
            self.wire.expected = self.wire.expected.wrapping_add(1);
        }
        if self.params.discovery && !matches!(opcode, request::TEXT | request::LOGOUT | request::NOP_OUT) {
            return self.protocol_error(&pdu, "a command in a discovery session").await;
        }
        match opcode {
            request::SCSI_COMMAND => self.command(pdu).await.map(|()| false),
            request::DATA_OUT => self.data(pdu).await,
            request::NOP_OUT => {
                self.open_window(&pdu);
                if pdu.task() != NO_TAG {
                    let data = pdu.data.slice(..pdu.data.len().min(self.params.longest_out));
                    let answer = Pdu::new(response::NOP_IN, 0x80, pdu.task()).with(20, NO_TAG);
                    self.wire.respond(answer.with_data(data)).await?;
                }
                Ok(false)
            }
            request::TASK_MANAGEMENT => self.manage(&pdu).await.map(|()| false),
            request::TEXT => self.text(&pdu).await.map(|()| false),
            request::LOGOUT => {
                self.open_window(&pdu);
                // Closing the session or its only connection; recovery is not supported.
                let mut answer = Pdu::new(response::LOGOUT, 0x80, pdu.task());
                let close = pdu.flags() & 0x7f < 2;
                answer.header[2] = if close { 0 } else { 2 };
                self.abort_all();
                self.wire.respond(answer).await?;
                Ok(close)
            }
            request::LOGIN => self.protocol_error(&pdu, "a login in the full feature phase").await,
            other => {
                self.front.counters.block_rejects.add();
                let why = if other == request::SNACK { reason::SNACK } else { reason::NOT_SUPPORTED };
                self.wire.reject(why, &pdu.header).await?;
                Ok(false)
            }
        }
    }

    /// A numbered PDU that is over as soon as it is taken gives its place in the window back.
    fn open_window(&mut self, pdu: &Pdu) {
        if !pdu.immediate() {
            self.wire.most = self.wire.most.wrapping_add(1);
        }
    }

    /// Recovery level 0: what can't be made sense of is rejected, and the connection ends.
    async fn protocol_error(&mut self, pdu: &Pdu, what: &'static str) -> Result<bool, SessionError> {
        self.front.counters.block_rejects.add();
        self.wire.reject(reason::PROTOCOL, &pdu.header).await?;
        Err(SessionError::Protocol(what))
    }

    async fn command(&mut self, pdu: Pdu) -> Result<(), SessionError> {
        let arrived = Instant::now();
        let (task, flags) = (pdu.task(), pdu.flags());
        if task == NO_TAG || self.tasks.contains_key(&task) {
            self.open_window(&pdu);
            self.front.counters.block_rejects.add();
            let why = if task == NO_TAG { reason::INVALID_FIELD } else { reason::TASK_IN_PROGRESS };
            return self.wire.reject(why, &pdu.header).await;
        }
        self.front.counters.block_commands.add();
        let expected_length = pdu.at(20) as usize;
        let mut cdb = [0; 16];
        cdb.copy_from_slice(&pdu.header[32..]);
        if pdu.immediate() {
            self.immediate.insert(task);
        }
        if self.tasks.len() >= self.front.target.queue_depth as usize {
            let finished = Finished { task, expected_length, result: Ended::Full };
            return self.finish(finished).await;
        }
        let unsolicited = pdu.data.len();
        if unsolicited > 0 {
            let most = expected_length.min(self.params.first_burst);
            if flags & 0x20 == 0 || !self.params.immediate_data || unsolicited > most {
                return self.protocol_error(&pdu, "immediate data that were not agreed").await.map(|_| ());
            }
        }
        if flags & 0x80 == 0 {
            return self.protocol_error(&pdu, "unsolicited data that were not agreed").await.map(|_| ());
        }
        let number = pdu.lun();
        let end = |result| Finished { task, expected_length, result };
        match scsi::command(&cdb, &self.front.target, number) {
            Err(sense) => self.finish(end(Ended::Check(sense))).await,
            Ok(Command::Here(data)) => {
                let moved = data.len();
                self.finish(end(Ended::Good { data: data.into(), moved })).await
            }
            Ok(Command::Blocks(verb, place)) => {
                let class = &self.front.target.classes[usize::from(verb == Verb::Write)];
                let deadline = arrived + seconds(class.2);
                let (lun, command) = (number.unwrap_or(0), pdu.at(24));
                let direction = if verb == Verb::Write { 0x20 } else { 0x40 };
                if flags & direction == 0 || verb == Verb::Write && expected_length < place.length {
                    return self.finish(end(Ended::Check(scsi::INVALID_FIELD))).await;
                }
                let work = Work { task, lun, command, verb, place, deadline, expected_length };
                if verb == Verb::Read {
                    self.start(work, Bytes::new());
                    return Ok(());
                }
                let mut lun_field = [0; 8];
                lun_field.copy_from_slice(&pdu.header[8..16]);
                let data = BytesMut::from(&pdu.data[..unsolicited.min(place.length)]);
                let (transfer, burst_end, data_number, requests) = (NO_TAG, 0, 0, 0);
                self.receive(Receiving { work, lun_field, data, transfer, burst_end, data_number, requests })
                    .await
            }
        }
    }

    /// Hands a write whose data are whole to the core, or asks for the next burst.
    async fn receive(&mut self, mut receiving: Receiving) -> Result<(), SessionError> {
        let (Work { task, place, .. }, have) = (receiving.work, receiving.data.len());
        if have == place.length {
            self.start(receiving.work, receiving.data.freeze());
            return Ok(());
        }
        let length = (place.length - have).min(self.params.max_burst);
        receiving.transfer = self.transfer_tag();
        receiving.burst_end = have + length;
        receiving.data_number = 0;
        let mut ready = Pdu::new(response::R2T, 0x80, task)
            .with(20, receiving.transfer)
            .with(24, self.wire.stat)
            .with(36, receiving.requests)
            .with(40, have as u32)
            .with(44, length as u32);
        ready.header[8..16].copy_from_slice(&receiving.lun_field);
        receiving.requests += 1;
        self.tasks.insert(task, Task::Receiving(receiving));
        self.wire.write(&[ready]).await
    }

    async fn data(&mut self, pdu: Pdu) -> Result<bool, SessionError> {
        let task = pdu.task();
        let mut receiving = match self.tasks.remove(&task) {
            Some(Task::Receiving(receiving)) => receiving,
            Some(served) => {
                self.tasks.insert(task, served);
                return self.protocol_error(&pdu, "data for a command that has them all").await;
            }
            // Of a command that was aborted or given up meanwhile: to be discarded.
            None => return Ok(false),
        };
        let have = receiving.data.len();
        let fits = pdu.at(20) == receiving.transfer
            && pdu.at(36) == receiving.data_number
            && pdu.at(40) as usize == have
            && have + pdu.data.len() <= receiving.burst_end;
        if !fits {
            return self.protocol_error(&pdu, "data out of turn").await;
        }
        receiving.data.extend_from_slice(&pdu.data);
        receiving.data_number += 1;
        let (last, whole) = (pdu.flags() & 0x80 != 0, receiving.data.len() == receiving.burst_end);
        if last != whole {
            return self.protocol_error(&pdu, "a burst of another length than asked for").await;
        }
        if last {
            self.receive(receiving).await?;
        } else {
            self.tasks.insert(task, Task::Receiving(receiving));
        }
        Ok(false)
    }

    /// Has the core serve a command, as one request within one extent.
    fn start(&mut self, work: Work, payload: Bytes) {
        let Work { task, lun: number, command, verb, place, deadline, expected_length } = work;
        let front = self.front.clone();
        let Some(lun) = front.target.lun(number) else { return };
        let (class, class_name, _) = &front.target.classes[usize::from(verb == Verb::Write)];
        let target = format!(
            "/{class_name}/{:016x}/{:016x}?offset={}&length={}",
            lun.volume.0, place.extent.0, place.offset, place.length
        );
        // Unique for each command, and the same for each of its attempts.
        let key = (verb == Verb::Write).then(|| format!("{}-{}-{command}-{task}", front.life, self.tsih));
        let envelope = Envelope {
            verb,
            target,
            id: front.fresh_id(),
            repeat_key: key.map(Bytes::from),
            payload: Payload::Whole(payload),
        };
        let call = Call {
            class: *class,
            plan: lun.plan,
            volume: lun.volume,
            extent: Some(place.extent).filter(|e| e.0 != 0),
            shard: Some(place.shard),
            units: place.units,
            hosts: lun.hosts,
            repeat: false,
            deadline,
            client: None,
            envelope: Rc::new(envelope),
        };
        let abort = self.running.spawn_local(async move {
            let flight = front.counters.flight(call.class);
            let result = match front.dispatcher.serve(&*front.transport, call, flight).await {
                Answer::Served(_, flight) if verb == Verb::Write => {
                    flight.settle(Final::Served);
                    Ended::Good { data: Bytes::new(), moved: place.length }
                }
                Answer::Served(content, flight) => {
                    let whole = timeout_at(deadline, content.whole(place.length)).await.ok().flatten();
                    match whole.filter(|data| data.len() == place.length) {
                        Some(data) => {
                            flight.settle(Final::Served);
                            Ended::Good { data, moved: place.length }
                        }
                        None => {
                            flight.settle(Final::Failed);
                            log::warn!("block: not the {} bytes that were to be read", place.length);
                            Ended::Check(scsi::READ_ERROR)
                        }
                    }
                }
                Answer::Refused { wait } => Ended::Refused { wait },
                Answer::Failed => Ended::Check(scsi::NO_ANSWER),
            };
            Finished { task, expected_length, result }
        });
        self.tasks.insert(task, Task::Served(abort));
    }

    /// Words a command's end.
    async fn finish(&mut self, finished: Finished) -> Result<(), SessionError> {
        let Finished { task, expected_length, result } = finished;
        self.tasks.remove(&task);
        self.close_task(task);
        let mut pdus = Vec::new();
        let mut answer = Pdu::new(response::SCSI, 0x80, task);
        match result {
            Ended::Good { data, moved } => {
                let sent = data.len().min(expected_length);
                let residual = moved.abs_diff(expected_length);
                if residual > 0 {
                    answer.header[1] |= if moved > expected_length { 0x04 } else { 0x02 };
                    answer = answer.with(44, residual as u32);
                }
                pdus = self.data_in(task, &data.slice(..sent));
                answer = answer.with(36, pdus.len() as u32);
            }
            Ended::Check(sense) => {
                answer.header[3] = status::CHECK_CONDITION;
                if expected_length > 0 {
                    answer.header[1] |= 0x02;
                    answer = answer.with(44, expected_length as u32);
                }
                let mut data = 18u16.to_be_bytes().to_vec();
                data.extend(sense.bytes());
                answer = answer.with_data(data);
            }
            Ended::Refused { wait } => {
                self.front.counters.block_busy.add();
                answer.header[3] = status::BUSY;
                self.qualify(&mut answer, wait);
            }
            Ended::Full => {
                self.front.counters.block_task_set_full.add();
                answer.header[3] = status::TASK_SET_FULL;
                self.qualify(&mut answer, 0.0);
            }
        }
        pdus.push(answer.with(24, self.wire.stat));
        self.wire.stat = self.wire.stat.wrapping_add(1);
        self.wire.write(&pdus).await
    }

    /// RFC 7144: how long to wait, in steps of 100 ms, where the level was agreed.
    fn qualify(&self, answer: &mut Pdu, wait: f64) {
        if self.params.protocol_level >= 2 && wait > 0.0 {
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

    async fn manage(&mut self, pdu: &Pdu) -> Result<(), SessionError> {
        self.open_window(pdu);
        let mut answer = Pdu::new(response::TASK_MANAGEMENT, 0x80, pdu.task());
        answer.header[2] = match pdu.flags() & 0x7f {
            // ABORT TASK: complete, or there is no such task.
            1 if self.abort(pdu.at(20)) => 0,
            1 => 1,
            // Not supported.
            _ => 5,
        };
        self.wire.respond(answer).await
    }

    /// Drops a task: unsent data are forgotten, a request in hand is called off. Its command has no
    /// response; its place in the window is given back.
    fn abort(&mut self, task: u32) -> bool {
        let Some(dropped) = self.tasks.remove(&task) else { return false };
        if let Task::Served(abort) = dropped {
            abort.abort();
        }
        self.close_task(task);
        true
    }

    /// A numbered command that is over opens the window again; an immediate one never took a place.
    fn close_task(&mut self, task: u32) {
        if !self.immediate.remove(&task) {
            self.wire.most = self.wire.most.wrapping_add(1);
        }
    }

    fn abort_all(&mut self) {
        for task in self.tasks.keys().copied().collect::<Vec<_>>() {
            self.abort(task);
        }
    }

    /// SendTargets is the one text request with a meaning here.
    async fn text(&mut self, pdu: &Pdu) -> Result<(), SessionError> {
        self.open_window(pdu);
        let Some(asked) = login::pairs(&pdu.data).filter(|_| pdu.flags() & 0xc0 == 0x80) else {
            self.front.counters.block_rejects.add();
            return self.wire.reject(reason::PROTOCOL, &pdu.header).await;
        };
        let target = &self.front.target;
        let mut answers = Vec::new();
        for (key, value) in asked {
            let named = match value.as_str() {
                "All" => self.params.discovery,
                "" => !self.params.discovery,
                name => name == target.name,
            };
            match key.as_str() {
                "SendTargets" if named => {
                    let address = self.wire.stream.0.local_addr()?;
                    answers.push(("TargetName".to_string(), target.name.clone()));
                    answers.push(("TargetAddress".to_string(), format!("{address},1")));
                }
                "SendTargets" if value == "All" => answers.push((key, "Reject".into())),
                "SendTargets" => {}
                _ => answers.push((key, "NotUnderstood".into())),
            }
        }
        let answer = Pdu::new(response::TEXT, 0x80, pdu.task()).with(20, NO_TAG);
        self.wire.respond(answer.with_data(login::text(&answers))).await
    }
}
