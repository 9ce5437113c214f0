//! A stand-in iSCSI initiator, written from the standard and not from the target's code.

use super::WAIT_TIMEOUT;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};

pub const READ: u8 = 0x40;
pub const WRITE: u8 = 0x20;

/// A PDU's header and data segment, undecoded.
#[derive(Clone, Debug)]
pub struct Raw {
    pub header: Vec<u8>,
    pub data: Vec<u8>,
}

impl Raw {
    pub fn at(&self, at: usize) -> u32 {
        u32::from_be_bytes([self.header[at], self.header[at + 1], self.header[at + 2], self.header[at + 3]])
    }

    /// Of a SCSI response: the status, and sense key, code and qualifier.
    pub fn status(&self) -> (u8, Vec<u8>) {
        assert_eq!(self.header[0], 0x21, "a SCSI response");
        let sense =
            if self.data.is_empty() { vec![] } else { vec![self.data[4], self.data[14], self.data[15]] };
        (self.header[3], sense)
    }
}

pub struct Initiator {
    stream: TcpStream,
    pub command: u32,
    task: u32,
    /// MaxCmdSN of the last PDU received.
    pub most: u32,
}

impl Initiator {
    pub fn connect(address: SocketAddr) -> Initiator {
        let stream = TcpStream::connect(address).expect("the target listens");
        stream.set_read_timeout(Some(WAIT_TIMEOUT)).expect("a time-out");
        stream.set_nodelay(true).expect("no delay");
        Initiator { stream, command: 1, task: 0, most: 0 }
    }

    /// Lets its system hold no more than so many bytes that it has not read.
    pub fn limit_receive_buffer(&self, bytes: usize) {
        socket2::SockRef::from(&self.stream).set_recv_buffer_size(bytes).expect("a receive buffer");
    }

    /// A session in its full feature phase; `extra` are further keys, joined with zeros.
    pub fn login(address: SocketAddr, extra: &str) -> Initiator {
        let mut initiator = Initiator::connect(address);
        let target = "TargetName=iqn.2026-12.invalid.half-way-tree:story\0SessionType=Normal\0";
        let answer =
            initiator.log_in(0x87, &format!("InitiatorName=iqn.2026-12.invalid.studio:a\0{target}{extra}"));
        assert_eq!((answer.header[36], answer.header[37]), (0, 0), "login");
        initiator
    }

    /// A session of an initiator of this name; `None` if the target does not let it in.
    pub fn try_login_as(address: SocketAddr, name: &str) -> Option<Initiator> {
        let mut initiator = Initiator::connect(address);
        let target = "TargetName=iqn.2026-12.invalid.half-way-tree:story\0SessionType=Normal\0";
        let keys = format!("InitiatorName=iqn.2026-12.invalid.{name}\0{target}");
        initiator
            .try_log_in(0x87, &keys)
            .filter(|answer| (answer.header[36], answer.header[37]) == (0, 0))?;
        Some(initiator)
    }

    /// One login request in the operational stage; `flags` say where it wants to go.
    pub fn log_in(&mut self, flags: u8, keys: &str) -> Raw {
        self.try_log_in(flags, keys).expect("a PDU")
    }

    /// The same; `None` if the target closes the connection.
    fn try_log_in(&mut self, flags: u8, keys: &str) -> Option<Raw> {
        let mut header = self.header(0x43, flags);
        header[8..14].copy_from_slice(&[0x80, 0, 0, 1, 0, 0]);
        self.send(header, keys.as_bytes());
        self.next()
    }

    fn header(&self, opcode: u8, flags: u8) -> Vec<u8> {
        let mut header = vec![0; 48];
        (header[0], header[1]) = (opcode, flags);
        header[16..20].copy_from_slice(&self.task.to_be_bytes());
        header[24..28].copy_from_slice(&self.command.to_be_bytes());
        header
    }

    fn send(&mut self, header: Vec<u8>, data: &[u8]) {
        assert!(self.try_send(header, data), "written");
    }

    /// Sends a PDU; whether the system took it.
    fn try_send(&mut self, mut header: Vec<u8>, data: &[u8]) -> bool {
        header[5..8].copy_from_slice(&(data.len() as u32).to_be_bytes()[1..]);
        header.extend(data);
        header.resize(header.len().next_multiple_of(4), 0);
        self.stream.write_all(&header).is_ok()
    }

    /// The next PDU, or `None` once the target has closed the connection.
    pub fn next(&mut self) -> Option<Raw> {
        let mut header = vec![0; 48];
        self.stream.read_exact(&mut header).ok()?;
        let length = usize::from(header[6]) << 8 | usize::from(header[7]);
        let mut data = vec![0; length.next_multiple_of(4)];
        self.stream.read_exact(&mut data).ok()?;
        data.truncate(length);
        let raw = Raw { header, data };
        self.most = raw.at(32);
        Some(raw)
    }

    pub fn receive(&mut self) -> Raw {
        self.next().expect("a PDU")
    }

    /// A numbered request of any kind; its task tag.
    pub fn request(&mut self, opcode: u8, flags: u8, fields: &[(usize, u32)], data: &[u8]) -> u32 {
        self.try_request(opcode, flags, fields, data).expect("written")
    }

    /// The same; `None` if the connection has ended.
    fn try_request(&mut self, opcode: u8, flags: u8, fields: &[(usize, u32)], data: &[u8]) -> Option<u32> {
        self.task += 1;
        let mut header = self.header(opcode, flags);
        for (at, value) in fields {
            header[*at..at + 4].copy_from_slice(&value.to_be_bytes());
        }
        if opcode & 0x40 == 0 && opcode != 0x10 {
            self.command += 1;
        }
        let task = self.task;
        self.try_send(header, data).then_some(task)
    }

    /// A SCSI command with immediate data.
    pub fn command(&mut self, lun: u8, direction: u8, length: usize, cdb: &[u8], data: &[u8]) -> u32 {
        let fields = command_fields(lun, length, cdb);
        self.request(0x01, 0x80 | direction, &fields, data)
    }

    /// READ (10); `None` if the connection has ended.
    pub fn try_read(&mut self, lun: u8, lba: u32, blocks: u16) -> Option<u32> {
        let length = usize::from(blocks) * 512;
        let fields = command_fields(lun, length, &cdb10(0x28, lba, blocks));
        self.try_request(0x01, 0x80 | READ, &fields, &[])
    }

    /// READ (10).
    pub fn read(&mut self, lun: u8, lba: u32, blocks: u16) -> u32 {
        self.command(lun, READ, usize::from(blocks) * 512, &cdb10(0x28, lba, blocks), &[])
    }

    /// WRITE (16), with the first bytes as immediate data.
    pub fn write(&mut self, lun: u8, lba: u32, blocks: u16, immediate: &[u8]) -> u32 {
        let mut cdb = [0; 16];
        cdb[0] = 0x8a;
        cdb[6..10].copy_from_slice(&lba.to_be_bytes());
        cdb[12..14].copy_from_slice(&blocks.to_be_bytes());
        self.command(lun, WRITE, usize::from(blocks) * 512, &cdb, immediate)
    }

    /// A Data-Out that answers an R2T.
    pub fn data_out(&mut self, ready: &Raw, number: u32, offset: u32, data: &[u8], last: bool) {
        assert_eq!(ready.header[0], 0x31, "an R2T");
        let mut header = self.header(0x05, if last { 0x80 } else { 0 });
        header[16..24].copy_from_slice(&ready.header[16..24]);
        header[36..40].copy_from_slice(&number.to_be_bytes());
        header[40..44].copy_from_slice(&offset.to_be_bytes());
        self.send(header, data);
    }

    /// All data that an R2T asks for, in one Data-Out; whether the system took it.
    pub fn try_data_out(&mut self, ready: &Raw, data: &[u8]) -> bool {
        let mut header = self.header(0x05, 0x80);
        header[16..24].copy_from_slice(&ready.header[16..24]);
        self.try_send(header, data)
    }

    /// The data of a read and the response after them.
    pub fn data_in(&mut self) -> (Vec<u8>, Raw) {
        let mut data = Vec::new();
        loop {
            let raw = self.receive();
            if raw.header[0] != 0x25 {
                return (data, raw);
            }
            assert_eq!(raw.at(40) as usize, data.len(), "in order");
            data.extend(raw.data);
        }
    }
}

/// The words of a SCSI command's header, with their places.
fn command_fields(lun: u8, length: usize, cdb: &[u8]) -> [(usize, u32); 6] {
    let mut words = [0; 16];
    words[..cdb.len()].copy_from_slice(cdb);
    let word = |i: usize| u32::from_be_bytes([words[i], words[i + 1], words[i + 2], words[i + 3]]);
    [
        (8, u32::from(lun) << 16),
        (20, length as u32),
        (32, word(0)),
        (36, word(4)),
        (40, word(8)),
        (44, word(12)),
    ]
}

/// A ten byte CDB.
pub fn cdb10(code: u8, lba: u32, blocks: u16) -> Vec<u8> {
    let mut cdb = vec![code, 0];
    cdb.extend(lba.to_be_bytes());
    cdb.push(0);
    cdb.extend(blocks.to_be_bytes());
    cdb.push(0);
    cdb
}
