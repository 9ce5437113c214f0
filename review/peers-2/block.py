"""What the cases about the block front share: its file, the link of an initiator, a brick whose queue can be full."""
import socket
import threading
import time

from standins import HOST, Brick, accept_all, address, in_thread, label, listener, read_message

TARGET = "iqn.2026-12.invalid.half-way-tree:review"


def block_file(port, queue_depth=32, shards=1):
    """The block front's file, with the values of deploy/block.toml: one unit with 64 extents on each shard."""
    runs = "".join(f'    {{ first = "7f3a9c2{3 + shard}00000000", count = 64, shard = {shard} }},\n'
                   for shard in range(shards))
    return f"""
listen = "{address(port)}"
target = "{TARGET}"
block_size = 512
unit_bytes = 8192
queue_depth = {queue_depth}
max_sessions = 16
[[lun]]
lun = 0
volume = "00000003b4d60022"
plan = "network"
hosts = 1
extent_blocks = 128
extents = [
{runs}]
"""


def sector(text):
    """A block's data that begins with a text."""
    return text.encode().ljust(512, b".")


class Link:
    """The network between an initiator and the head: passes bytes on until it is cut. Cut, its connections stay open and
    silent. Its segments have the size of an Ethernet's."""

    def __init__(self, port):
        self.port, self.cut = port, threading.Event()
        self.listener = listener()
        self.entry = self.listener.getsockname()[1]
        accept_all(self.listener, self.serve)

    def serve(self, client):
        head = socket.socket()
        head.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, 1448)
        head.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 64 * 1024)
        head.connect((HOST, self.port))
        head.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        back = in_thread(self.pass_on, head, client)
        self.pass_on(client, head)
        back.join()

    def pass_on(self, source, sink):
        while True:
            try:
                data = source.recv(65536)
                if self.cut.is_set():
                    threading.Event().wait()  # what comes after the cut is never passed on, and nothing is closed
                if not data:
                    return
                sink.sendall(data)
            except OSError:
                return


class FullBrick(Brick):
    """A brick whose queue can be full: it turns requests away then, and runs none of them."""

    full = False

    def serve(self, connection):
        source = connection.makefile("rb")
        while (message := read_message(source)) is not None:
            method, path, _ = message.line.split(" ")
            if self.full:
                self.record(f"{self.name} turns away {path.split('?')[-1]} bytes={label(message.body)}")
                connection.sendall(b"HTTP/1.1 503 Full\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n")
                continue
            time.sleep(0.005)
            body = self.write(path, message) if method == "PUT" else self.fetch(path, message, connection)
            connection.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))


def overwritten(record, session, block, wanted, seconds=4.0):
    """Reads a block for some seconds; the texts that it had and should not have."""
    until = time.monotonic() + seconds
    while time.monotonic() < until:
        time.sleep(0.25)
        status, data = session.read(0, block, 1)
        found = data.rstrip(b".")
        if status == 0 and found != wanted:
            record(f"initiator reads block {block}: {found!r}")
            return [f"block {block} was acknowledged with {wanted!r} and reads {found!r}, written by the session that the "
                    "initiator had replaced"]
    record(f"initiator reads block {block}: {found!r}")
    return []
