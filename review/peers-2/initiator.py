"""A small iSCSI initiator (RFC 7143): one session, one connection, no digests."""
import socket
import struct

from standins import HOST

READ, WRITE, IMMEDIATE = 0x40, 0x20, 0x40
GOOD, CHECK_CONDITION, BUSY, TASK_SET_FULL = 0x00, 0x02, 0x08, 0x28


class Ended(Exception):
    """The target has closed the connection, or asks for a logout."""


class Initiator:
    """A new session numbers its commands and task tags from 1."""

    def __init__(self, port, target, name="iqn.2026-12.invalid.studio:suite-a", isid=b"\x80\0\0\1\0\0", seconds=8.0):
        self.connection = socket.create_connection((HOST, port), timeout=seconds)
        self.connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.source = self.connection.makefile("rb")
        self.command_number, self.task, self.status_number = 1, 0, 0
        keys = (f"InitiatorName={name}\0TargetName={target}\0SessionType=Normal\0HeaderDigest=None\0DataDigest=None\0"
                "ImmediateData=Yes\0InitialR2T=Yes\0")
        header = self.header(0x03 | IMMEDIATE, 0x87)
        header[8:14] = isid
        self.send(header, keys.encode())
        answer, data = self.receive()
        if answer[0] != 0x23 or answer[36] or answer[37]:
            raise Ended(f"login refused: {answer[36]:02x}{answer[37]:02x}")
        self.tsih = struct.unpack(">H", answer[14:16])[0]

    def header(self, opcode, flags):
        header = bytearray(48)
        header[0], header[1] = opcode, flags
        struct.pack_into(">I", header, 16, self.task)
        struct.pack_into(">I", header, 24, self.command_number)
        struct.pack_into(">I", header, 28, self.status_number)
        return header

    def send(self, header, data=b""):
        header[5:8] = struct.pack(">I", len(data))[1:]
        self.connection.sendall(bytes(header) + data + bytes(-len(data) % 4))

    def receive(self):
        header = self.source.read(48)
        if len(header) < 48:
            raise Ended("the target closed the connection")
        length = struct.unpack(">I", b"\0" + header[5:8])[0]
        data = self.source.read(length + -length % 4)[:length]
        if header[0] in (0x20, 0x21, 0x23, 0x24, 0x26, 0x32, 0x3f):
            self.status_number = struct.unpack(">I", header[24:28])[0] + 1
        return header, data

    def scsi(self, lun, direction, length, cdb, data=b"", immediate=False, task=None):
        """Sends a command, the write's data with it, and waits for its response: (status, data read)."""
        self.task = self.task + 1 if task is None else task
        header = self.header(0x01 | (IMMEDIATE if immediate else 0), 0x80 | direction)
        header[9] = lun
        struct.pack_into(">I", header, 20, length)
        header[32:32 + len(cdb)] = cdb
        if not immediate:
            self.command_number += 1
        self.send(header, data)
        read = b""
        while True:
            answer, part = self.receive()
            if answer[0] == 0x25:
                read += part
            elif answer[0] == 0x21:
                return answer[3], read
            elif answer[0] == 0x20 and answer[20:24] != b"\xff\xff\xff\xff":
                self.pong(answer)
            elif answer[0] == 0x32:
                continue  # asked for a logout: the command in hand is finished first
            else:
                raise Ended(f"PDU with opcode {answer[0]:02x}")

    def pong(self, ping):
        header = self.header(0x00 | IMMEDIATE, 0x80)
        header[16:20] = b"\xff\xff\xff\xff"
        header[20:24] = ping[20:24]
        self.send(header)

    def submit_write(self, block, data):
        """Sends a write of unit 0 and does not wait for its response."""
        self.submit(WRITE, len(data), struct.pack(">BBIBHB", 0x2a, 0, block, 0, len(data) // 512, 0), data)

    def submit_read(self, block, blocks):
        """Sends a read of unit 0 and does not wait for its data."""
        self.submit(READ, blocks * 512, struct.pack(">BBIBHB", 0x28, 0, block, 0, blocks, 0), b"")

    def submit(self, direction, length, cdb, data):
        self.task += 1
        header = self.header(0x01, 0x80 | direction)
        struct.pack_into(">I", header, 20, length)
        header[32:32 + len(cdb)] = cdb
        self.command_number += 1
        self.send(header, data)

    def take_all(self):
        """Reads what the head sends, as an initiator does, and looks at none of it."""
        try:
            while True:
                self.receive()
        except (Ended, OSError, ValueError, struct.error):
            return

    def write(self, lun, lba, data, **options):
        cdb = struct.pack(">BBIBHB", 0x2a, 0, lba, 0, len(data) // 512, 0)
        return self.scsi(lun, WRITE, len(data), cdb, data, **options)[0]

    def read(self, lun, lba, blocks, **options):
        cdb = struct.pack(">BBIBHB", 0x28, 0, lba, 0, blocks, 0)
        return self.scsi(lun, READ, blocks * 512, cdb, **options)

    def log_out(self):
        self.task += 1
        header = self.header(0x06, 0x80)
        self.command_number += 1
        self.send(header)
        while True:
            answer, _ = self.receive()
            if answer[0] == 0x26:
                self.connection.close()
                return

    def wait_for_logout_request(self):
        """Waits until the target asks for a logout."""
        while True:
            answer, _ = self.receive()
            if answer[0] == 0x32 and answer[36] == 1:
                return
            if answer[0] == 0x20 and answer[20:24] != b"\xff\xff\xff\xff":
                self.pong(answer)
