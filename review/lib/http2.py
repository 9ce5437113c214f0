"""A small HTTP/2 client (RFC 9113), cleartext with prior knowledge, that follows the standard."""
import socket
import struct
import threading

DATA, HEADERS, RST_STREAM, SETTINGS, PING, GOAWAY, WINDOW_UPDATE, CONTINUATION = 0, 1, 3, 4, 6, 7, 8, 9
END_STREAM, ACK, END_HEADERS = 1, 1, 4
STATUS = {0x88: 200, 0x89: 204, 0x8a: 206, 0x8b: 304, 0x8c: 400, 0x8d: 404, 0x8e: 500}


def literal(name, value):
    """A literal field without indexing and without Huffman coding; names and values are short."""
    name, value = name.encode(), value.encode()
    assert len(name) < 127 and len(value) < 127
    return b"\x00" + bytes([len(name)]) + name + bytes([len(value)]) + value


class Stream:
    def __init__(self):
        self.status = None
        self.body = bytearray()
        self.ended = False
        self.reset = None
        self.done = threading.Event()


class Http2Client:
    """One connection. Its reader acknowledges SETTINGS and PING; the stream's window is opened by the caller."""

    def __init__(self, port, record, name):
        self.conn = socket.create_connection(("127.0.0.1", port), timeout=10)
        self.conn.settimeout(None)
        self.conn.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.record, self.name = record, name
        self.lock = threading.Lock()
        self.streams = {}
        self.next = 1
        self.goaway = threading.Event()
        self.last_stream = None
        self.closed = threading.Event()
        self.conn.sendall(b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n")
        self.frame(SETTINGS, 0, 0, b"")
        # The window of the connection is never the bound here.
        self.frame(WINDOW_UPDATE, 0, 0, struct.pack(">I", 1 << 26))
        threading.Thread(target=self.read, daemon=True).start()

    def frame(self, kind, flags, stream, payload):
        head = struct.pack(">I", len(payload))[1:] + bytes([kind, flags]) + struct.pack(">I", stream)
        with self.lock:
            self.conn.sendall(head + payload)

    def get(self, path, ident, time_left, placement):
        number, self.next = self.next, self.next + 2
        stream = self.streams[number] = Stream()
        fields = b"\x82\x86" + literal(":path", path) + literal(":authority", "h")
        for name, value in (("x-correlation-id", ident), ("x-qos-policy", "network"),
                            ("x-time-left", "%.3f" % time_left), ("x-placement", placement)):
            fields += literal(name, value)
        self.frame(HEADERS, END_STREAM | END_HEADERS, number, fields)
        return number, stream

    def open_window(self, number, size):
        self.frame(WINDOW_UPDATE, 0, number, struct.pack(">I", size))

    def exactly(self, size):
        data = b""
        while len(data) < size:
            more = self.conn.recv(size - len(data))
            if not more:
                raise EOFError
            data += more
        return data

    def read(self):
        why = "ended by the head"
        try:
            while True:
                head = self.exactly(9)
                length = int.from_bytes(head[:3], "big")
                kind, flags, number = head[3], head[4], struct.unpack(">I", head[5:])[0] & 0x7FFFFFFF
                self.handle(kind, flags, number, self.exactly(length))
        except EOFError:
            pass
        except OSError as error:
            why = repr(error)
        self.record("%s: connection %s" % (self.name, why))
        self.closed.set()
        for stream in self.streams.values():
            stream.done.set()

    def handle(self, kind, flags, number, payload):
        stream = self.streams.get(number)
        if kind == SETTINGS and not flags & ACK:
            self.frame(SETTINGS, ACK, 0, b"")
        elif kind == PING and not flags & ACK:
            self.frame(PING, ACK, 0, payload)
        elif kind == GOAWAY:
            self.last_stream = struct.unpack(">I", payload[:4])[0]
            self.record("%s: GOAWAY, last stream %d, code %d" % (self.name, self.last_stream, struct.unpack(">I", payload[4:8])[0]))
            self.goaway.set()
        elif kind == HEADERS and stream:
            stream.status = STATUS.get(payload[0], "other")
        elif kind == DATA and stream:
            stream.body += payload
        elif kind == RST_STREAM and stream:
            stream.reset = struct.unpack(">I", payload)[0]
            self.record("%s: stream %d reset, code %d" % (self.name, number, stream.reset))
            stream.done.set()
        if kind in (HEADERS, DATA) and stream and flags & END_STREAM:
            stream.ended = True
            stream.done.set()
