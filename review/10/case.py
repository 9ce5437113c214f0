"""A client that reads a long answer slowly, without a pause: does it get all of it?"""
import os
import socket
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "peers-2"))
from standins import HOST, Brick, Discovery, address, free_port, play, settings, target

ANSWER_BYTES, CLIENT_RATE, PIECE = 6_000_000, 64_000, 6_400  # the slow client takes a piece every 0.1 s
RECEIVE_BUFFER = 64 * 1024


def main(platform, record, trouble):
    given = {"bytes": 0}

    def read(path, message, connection):
        connection.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % ANSWER_BYTES)
        piece = b"x" * 50_000
        try:
            while given["bytes"] < ANSWER_BYTES:
                connection.sendall(piece)
                given["bytes"] += len(piece)
            record("brick-0 has written all of the answer")
        except OSError as error:
            record(f"brick-0: its connection is closed under the answer, {given['bytes']} bytes written ({error})")
            raise

    bricks = [Brick(record, "brick-0", read=read)] + [Brick(record, f"brick-{i}") for i in (1, 2)]
    discovery = Discovery(record, [target(f"s-{i}", brick.port, i) for i, brick in enumerate(bricks)])
    http = free_port()
    config = {"name": "n0", "listen": address(http), "discovery": address(discovery.port), "seed": "8c1f30d27a5be964",
              "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "known": None, "settings": settings()}
    head = platform.start("head", config, free_port())
    head.wait_ready()

    client = socket.socket()
    client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER)
    client.settimeout(30.0)
    client.connect((HOST, http))
    client.sendall(b"GET /play-fetch/00000003b4d60021/7f3a9c21e0b4d655 HTTP/1.1\r\nHost: origin.svc\r\n"
                   b"X-Correlation-Id: 9b1f03aa5c7e2d41\r\nX-Qos-Policy: network\r\nX-Time-Left: 2.000\r\n"
                   b"X-Placement: units=1,shard=0,hosts=1\r\n\r\n")
    record("client sends GET /play-fetch/00000003b4d60021/7f3a9c21e0b4d655")
    began, received, end, longest_pause = time.monotonic(), b"", "", 0.0
    body, head_bytes, last_read = 0, None, time.monotonic()
    while head_bytes is None or body < ANSWER_BYTES:
        try:
            piece = client.recv(PIECE if trouble else 65536)
        except OSError as error:
            end = f"{type(error).__name__}: {error}"
            break
        now = time.monotonic()
        longest_pause, last_read = max(longest_pause, now - last_read), now
        if not piece:
            end = "the head closed the connection"
            break
        if head_bytes is None:
            received += piece
            if b"\r\n\r\n" not in received:
                continue
            head_bytes, rest = received.split(b"\r\n\r\n", 1)
            record(f"client gets {head_bytes.splitlines()[0].decode()}")
            body = len(rest)
        else:
            body += len(piece)
        if trouble:
            time.sleep(max(0.0, began + body / CLIENT_RATE - time.monotonic()))
    client.close()
    seconds = time.monotonic() - began
    record(f"client has {body} of {ANSWER_BYTES} bytes after {seconds:.1f} s ({body / seconds / 1000:.0f} kB/s, longest "
           f"time between two reads {longest_pause:.2f} s); {end or 'the answer is whole'}")
    if head_bytes is None or b" 200 " not in head_bytes.splitlines()[0]:
        record("the request was not served: nothing to judge")
        return []
    if body == ANSWER_BYTES:
        return []
    return [f"the answer was cut off: {body} of {ANSWER_BYTES} bytes, {end}, while the client read at "
            f"{body / seconds / 1000:.0f} kB/s"]


play(main, os.path.join(os.path.dirname(os.path.abspath(__file__)), "record.txt"))
