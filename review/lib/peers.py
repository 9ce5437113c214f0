"""Stand-ins for the review cases: platform, discovery, storage nodes and HTTP/1.1 clients.

Written from the operators' pages. Every address is a loopback address; every port is a free one.
"""
import json
import os
import signal
import socket
import subprocess
import tempfile
import sys
import threading
import time
import traceback

REVIEW = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
ROOT = os.path.dirname(REVIEW)
HOST = "127.0.0.1"


class Record:
    """record.txt: one line for each thing sent, answered or run, with the time since the start."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w", buffering=1)
        self.lock = threading.Lock()
        self.began = time.monotonic()

    def __call__(self, text):
        with self.lock:
            self.file.write("%8.3f  %s\n" % (time.monotonic() - self.began, text))


def free_port():
    with socket.socket() as s:
        s.bind((HOST, 0))
        return s.getsockname()[1]


def listen(backlog=128):
    s = socket.socket()
    s.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    s.bind((HOST, 0))
    s.listen(backlog)
    return s


def address(listener):
    return "%s:%d" % listener.getsockname()


def serve(listener, handle):
    """Accepts in a thread and serves each connection in a thread of its own."""

    def connection(conn):
        conn.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        try:
            handle(conn)
        except (OSError, EOFError):
            pass
        finally:
            conn.close()

    def accept():
        while True:
            try:
                conn, _ = listener.accept()
            except OSError:
                return
            threading.Thread(target=connection, args=(conn,), daemon=True).start()

    threading.Thread(target=accept, daemon=True).start()


def read_message(stream):
    """Reads an HTTP/1.1 message with Content-Length or without a body: first line, fields, body."""
    first = stream.readline()
    if not first:
        raise EOFError
    fields = {}
    while True:
        line = stream.readline()
        if not line:
            raise EOFError
        line = line.strip()
        if not line:
            break
        name, _, value = line.partition(b":")
        fields[name.decode().lower()] = value.strip().decode()
    length = int(fields.get("content-length", "0"))
    body = stream.read(length) if length else b""
    if len(body) < length:
        raise EOFError
    return first.decode().strip(), fields, body


class Discovery:
    """The agent of one head: the whole list, and a watch that stays open with an empty line every 2 s."""

    def __init__(self, targets):
        self.targets = targets
        self.listener = listen()
        self.address = address(self.listener)
        serve(self.listener, self.handle)

    def handle(self, conn):
        stream = conn.makefile("rb")
        whole = json.dumps({"rev": 1, "all": True, "targets": self.targets}).encode() + b"\n"
        while True:
            first, _, _ = read_message(stream)
            path = first.split(" ")[1]
            if "follow=1" not in path:
                conn.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(whole), whole))
                continue
            conn.sendall(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            line = b'{"rev":1,"all":false,"targets":[]}\n' if "since=1" in path.split("?")[1].split("&") else whole
            while True:
                conn.sendall(b"%x\r\n%s\r\n" % (len(line), line))
                line = b"\n"
                time.sleep(2)


class Node:
    """A storage node. `answer(path, fields, body)` gives the body of its 200; each request is recorded when it runs."""

    def __init__(self, name, shard, answer):
        self.answer = answer
        self.listener = listen()
        self.entry = {
            "uid": name, "endpoint": address(self.listener), "az": "north-hall", "model": "std",
            "pod_group": shard, "state": "ready", "capacity_hint": 1.0, "boot_ms": 0,
        }
        serve(self.listener, self.handle)

    def handle(self, conn):
        stream = conn.makefile("rb")
        while True:
            first, fields, body = read_message(stream)
            method, path, _ = first.split(" ")
            answer = self.answer(method, path, fields, body)
            conn.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(answer), answer))


def settings():
    """The settings of the example in WIRE, which is a small deployment; one of its heads is started."""
    return {
        "bounds": {"cancel": True, "conn_idle": 15.0, "connect_timeout": 0.25, "max_attempts": 3,
                   "max_retry_after": 2.0, "most_held": 33333, "peers": False, "probes": False,
                   "retry_after": False, "second_copies": False},
        "classes": [
            {"aim": 0.4, "deadline": 2.0, "group": "all", "idempotency": "safe", "late_worth": 0.2,
             "name": "play-fetch", "repeat_window": 5.0, "streamed": False, "worth": 3.0},
            {"aim": 0.4, "deadline": 3.0, "group": "cell", "idempotency": "keyed", "late_worth": 0.1,
             "name": "episode-save", "repeat_window": 3.0, "streamed": False, "worth": 2.0}],
        "clients": {"marks_retry": False},
        "domain": {"changes_data": [False, True], "cold_units": 42.0, "idle_worth": 0.08, "shards": 1,
                   "tells_elsewhere": False, "unit_mean": 2.05, "units_top": 8, "use_period": 1.0,
                   "within_share": 0.35},
        "guarantees": {"answer_slack": 0.008, "cold_from": 0.17, "drain_grace": 0.25, "fall": 3.0,
                       "tip_multiple": 3.0, "warm_within": 16.0},
        "membership_mode": "push", "n_instances": 3, "period": 0.002, "rank": 0,
        "report": {"names": ["rif"], "source": "answers"},
        "service_levels": [
            {"base_rate": 3.4, "cap_slack": 8.0, "limit": 20.0, "limit_burst": 48.0, "name": "community",
             "reserve": 1.7, "value_factor": 0.96, "weight": 1.0},
            {"base_rate": 6.9, "cap_slack": 0.0, "limit": 0.0, "limit_burst": 0.0, "name": "network",
             "reserve": 5.5, "value_factor": 0.9, "weight": 3.0}],
        "zones": ["north-hall", "south-hall", "east-hall"],
    }


def configuration(port, discovery, seed):
    """The configuration of head n0; `seed` is new with each start."""
    return json.dumps({
        "name": "n0", "listen": "%s:%d" % (HOST, port), "discovery": discovery.address, "seed": "%016x" % seed,
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "known": None, "settings": settings()})


def deploy_command(key):
    """The command of the deploy file, as it stands there."""
    with open(os.path.join(ROOT, "deploy", "balancer.toml")) as file:
        for line in file:
            name, _, rest = line.partition("=")
            if name.strip() == key:
                return rest.strip()[1:].split('"')[0]
    raise SystemExit(2)


class Platform:
    """Starts heads by the deploy file and ends every process that it started."""

    def __init__(self, record):
        self.record = record
        self.work = tempfile.TemporaryDirectory(prefix="flaxgap-review-")
        self.processes = []

    def path(self, name):
        return os.path.join(self.work.name, name)

    def write(self, name, text):
        with open(self.path(name), "w") as file:
            file.write(text)
        return self.path(name)

    def start(self, name, env):
        tmp = env.get("TMPDIR") or self.path(name + ".tmp")
        os.makedirs(tmp, exist_ok=True)
        log = open(self.path(name + ".log"), "w")
        full = {k: v for k, v in os.environ.items() if not k.startswith(("LB_", "FLAXGAP_"))}
        full.update(env)
        full["TMPDIR"] = tmp
        process = subprocess.Popen(["/bin/sh", "-c", deploy_command("run")], cwd=ROOT, env=full,
                                   stdin=subprocess.DEVNULL, stdout=log, stderr=log)
        process.label = name
        self.processes.append(process)
        self.record("platform: start %s, pid %d" % (name, process.pid))
        return process

    def signal(self, process, what):
        self.record("platform: %s to %s" % (what.name, process.label))
        process.send_signal(what)

    def wait_ready(self, port, path="/-/ready", seconds=30):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            status = ask(port, path)
            if status == 200:
                self.record("platform: %s on port %d answers 200" % (path, port))
                return True
            time.sleep(0.02)
        return False

    def finish(self):
        for process in self.processes:
            if process.poll() is None:
                process.kill()
            process.wait()
            self.record("platform: %s ended, status %s" % (process.label, process.returncode))
            with open(self.path(process.label + ".log"), errors="replace") as log:
                for line in log.readlines()[:60]:
                    self.record("log of %s: %s" % (process.label, line.rstrip()))
        self.work.cleanup()


def ask(port, path, method="GET", seconds=1.0):
    """One call on a connection of its own: the status, or None."""
    try:
        with socket.create_connection((HOST, port), timeout=seconds) as conn:
            conn.settimeout(seconds)
            conn.sendall(("%s %s HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
                          % (method, path)).encode())
            return int(conn.makefile("rb").readline().split()[1])
    except (OSError, IndexError, ValueError):
        return None


def run(main):
    """Runs a case. An error of the case itself is status 2, never a verdict."""
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))  # so that the processes are ended on a time-out too
    try:
        status = main()
    except BaseException:
        traceback.print_exc()
        status = 2
    sys.stdout.flush()
    os._exit(status)


class HttpClient(threading.Thread):
    """A usual client: one request at a time on a connection that it keeps; a new one when the head has ended it."""

    def __init__(self, record, number, port, until, requests, pause=0.1, slack=0.5, verbose=False):
        super().__init__(daemon=True)
        self.record, self.number, self.port, self.until = record, number, port, until
        self.requests, self.pause, self.slack, self.verbose = requests, pause, slack, verbose
        self.taken = self.answered = 0
        self.unanswered = []  # ids of requests whose time and `slack` passed on an open connection
        self.shut = []        # ids of requests whose new connection the head ended or reset without an answer

    @property
    def lost(self):
        return self.unanswered + self.shut

    def run(self):
        conn = stream = None
        sent = 0
        while time.monotonic() < self.until:
            ident = "%08x%08x" % (self.number + 1, sent)
            method, path, plan, time_left, placement, body, key = self.requests(self.number, sent)
            sent += 1
            text = "%s %s HTTP/1.1\r\nHost: h\r\nX-Correlation-Id: %s\r\nX-Qos-Policy: %s\r\nX-Time-Left: %.3f\r\nX-Placement: %s\r\n" % (
                method, path, ident, plan, time_left, placement)
            if key:
                text += "Idempotency-Key: %s\r\n" % ident
            if method == "PUT":
                text += "Content-Length: %d\r\n" % len(body)
            for attempt in range(3):
                fresh = conn is None
                try:
                    if fresh:
                        conn = socket.create_connection((HOST, self.port), timeout=3)
                        conn.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                        stream = conn.makefile("rb")
                    conn.settimeout(time_left + self.slack)
                    began = time.monotonic()
                    conn.sendall(text.encode() + b"\r\n" + body)
                    if self.verbose:
                        self.record("client %d: sent id=%s %s" % (self.number, ident, path))
                except OSError as error:
                    self.record("client %d: id=%s not taken (%r), sent once more" % (self.number, ident, error))
                    conn = None
                    time.sleep(0.05)
                    continue
                try:
                    first, fields, _ = read_message(stream)
                except (OSError, EOFError) as error:
                    conn.close()
                    conn = None
                    if not fresh and isinstance(error, (EOFError, ConnectionError)) and attempt < 2:
                        # The end of a kept connection may have crossed the request.
                        self.record("client %d: id=%s crossed the end of its connection, sent once more" % (self.number, ident))
                        continue
                    self.taken += 1
                    (self.unanswered if isinstance(error, TimeoutError) else self.shut).append(ident)
                    self.record("client %d: id=%s LOST, no final answer after %.3f s (%r)" % (self.number, ident, time.monotonic() - began, error))
                    break
                self.taken += 1
                self.answered += 1
                status = first.split(" ")[1]
                if status != "200" or self.verbose or sent % 10 == 1:
                    self.record("client %d: id=%s %s answered %s after %.3f s"
                                % (self.number, ident, path, status, time.monotonic() - began))
                if fields.get("connection", "").lower() == "close":
                    conn.close()
                    conn = None
                break
            time.sleep(self.pause)
        if conn:
            conn.close()
