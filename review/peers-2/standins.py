"""Stand-ins for the peers of a head, and the start of the head's own programs.

Everything runs on loopback addresses with free ports and in a temporary folder. The stand-ins follow the operators'
pages: discovery answers at once and pushes changes; a brick begins a request when its last byte has come, and drops a
write whose idempotency key it has seen within the window, answering it as the first one was answered.
"""
import json
import os
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time

ROOT = os.path.abspath(os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", ".."))
HOST = "127.0.0.1"


class CannotRun(Exception):
    """The case can't be played: exit code 2."""


class Record:
    """What was sent, answered and run, with seconds since the start; written to record.txt at the end."""

    def __init__(self, path):
        self.path, self.lines, self.lock, self.started = path, [], threading.Lock(), time.monotonic()

    def __call__(self, text):
        with self.lock:
            self.lines.append(f"{time.monotonic() - self.started:8.3f}  {text}")

    def save(self):
        with self.lock, open(self.path, "w") as out:
            out.write("\n".join(self.lines) + "\n")


def free_port():
    with socket.socket() as probe:
        probe.bind((HOST, 0))
        return probe.getsockname()[1]


def address(port):
    return f"{HOST}:{port}"


def listener(port=0):
    made = socket.socket()
    made.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    made.bind((HOST, port))
    made.listen(256)
    return made


def in_thread(function, *arguments):
    thread = threading.Thread(target=function, args=arguments, daemon=True)
    thread.start()
    return thread


def accept_all(made, serve):
    def loop():
        while True:
            try:
                connection, _ = made.accept()
            except OSError:
                return
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            in_thread(guarded, serve, connection)
    return in_thread(loop)


def guarded(serve, connection):
    try:
        serve(connection)
    except (OSError, EOFError, ValueError):
        pass
    finally:
        connection.close()


class Message:
    """An HTTP/1.1 message: start line, headers (lower case names) and body."""

    def __init__(self, line, headers, body):
        self.line, self.headers, self.body = line, headers, body

    @property
    def status(self):
        return int(self.line.split(" ")[1])


def read_message(source):
    """Reads one message from a buffered binary file; None at the end of the connection."""
    line = source.readline().decode("latin-1").strip()
    if not line:
        return None
    headers = {}
    while True:
        text = source.readline()
        if not text:
            return None
        text = text.decode("latin-1").rstrip("\r\n")
        if not text:
            break
        name, _, value = text.partition(":")
        headers[name.strip().lower()] = value.strip()
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int(source.readline().split(b";")[0], 16)
            body += read_exactly(source, size)
            source.readline()
            if size == 0:
                return Message(line, headers, body)
    body = read_exactly(source, int(headers.get("content-length", 0)))
    return Message(line, headers, body)


def read_exactly(source, size):
    data = source.read(size)
    if len(data) < size:
        raise EOFError
    return data


# ---------------------------------------------------------------- discovery

class Discovery:
    """Discovery's agent: answers at once, and pushes changes to its watches."""

    def __init__(self, record, targets):
        self.record, self.targets, self.rev = record, list(targets), 1
        self.changes, self.condition = [], threading.Condition()
        self.listener = listener()
        self.port = self.listener.getsockname()[1]
        accept_all(self.listener, self.serve)

    def push(self, entry):
        """Tells a changed entry."""
        with self.condition:
            self.rev += 1
            self.targets = [target for target in self.targets if target["uid"] != entry["uid"]]
            if entry["state"] != "gone":
                self.targets.append(entry)
            self.changes.append((self.rev, entry))
            self.record(f"discovery tells rev={self.rev} {entry['uid']} {entry['state']}")
            self.condition.notify_all()

    def whole(self):
        return {"rev": self.rev, "all": True, "targets": self.targets}

    def serve(self, connection):
        source = connection.makefile("rb")
        while (message := read_message(source)) is not None:
            path = message.line.split(" ")[1]
            if "follow=1" not in path:
                with self.condition:
                    body = json.dumps(self.whole()).encode() + b"\n"
                connection.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))
                continue
            since = int(re.search(r"since=(\d+)", path).group(1)) if "since=" in path else 0
            connection.sendall(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            first = True
            while True:
                with self.condition:
                    if not first and self.rev == since:
                        self.condition.wait(2.0)
                    news = [entry for rev, entry in self.changes if rev > since]
                    if since == 0:
                        line = json.dumps(self.whole()).encode()
                    elif news or first:
                        line = json.dumps({"rev": self.rev, "all": False, "targets": news}).encode()
                    else:
                        line = b""
                    since, first = self.rev, False
                chunk = line + b"\n"
                connection.sendall(b"%x\r\n%s\r\n" % (len(chunk), chunk))


def target(uid, port, shard, zone="north-hall", state="ready", boot_ms=0):
    return {"uid": uid, "endpoint": address(port), "az": zone, "model": "std", "pod_group": shard, "state": state,
            "capacity_hint": 1.0, "boot_ms": boot_ms}


# ---------------------------------------------------------------- bricks

class Brick:
    """A storage node for one shard. `answer(message)` may give the body of an answer to a read or raise; writes are kept.

    A write is dropped if one with the same key came within `window` seconds: it is answered like the first.
    """

    def __init__(self, record, name, window=3.0, before=None, read=None):
        self.record, self.name, self.window = record, name, window
        self.before, self.read = before, read
        self.lock, self.data, self.keys, self.runs, self.dropped = threading.Lock(), {}, {}, [], []
        self.listener = listener()
        self.port = self.listener.getsockname()[1]
        accept_all(self.listener, self.serve)

    def serve(self, connection):
        source = connection.makefile("rb")
        while (message := read_message(source)) is not None:
            if self.before is not None:
                self.before(message)
            method, path, _ = message.line.split(" ")
            body = self.write(path, message) if method == "PUT" else self.fetch(path, message, connection)
            if body is None:
                continue
            connection.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))

    def write(self, path, message):
        key, now = message.headers.get("idempotency-key"), time.monotonic()
        name, offset = place(path)
        with self.lock:
            seen = self.keys.get(key) if key else None
            if seen is not None and now - seen <= self.window:
                self.dropped.append((key, path, message.body))
                self.record(f"{self.name} drops a repeat: {path} key={key} id={message.headers.get('x-correlation-id')} "
                            f"bytes={label(message.body)}, first one {now - seen:.3f} s ago")
                return b"kept"
            if key:
                self.keys[key] = now
            kept = self.data.setdefault(name, bytearray())
            if len(kept) < offset + len(message.body):
                kept.extend(bytes(offset + len(message.body) - len(kept)))
            kept[offset:offset + len(message.body)] = message.body
            self.runs.append((key, path, message.body))
        self.record(f"{self.name} runs a write: {path} key={key} id={message.headers.get('x-correlation-id')} "
                    f"bytes={label(message.body)}")
        return b"kept"

    def fetch(self, path, message, connection):
        if self.read is not None:
            return self.read(path, message, connection)
        name, offset = place(path)
        length = int(re.search(r"length=(\d+)", path).group(1)) if "length=" in path else None
        with self.lock:
            kept = bytes(self.data.get(name, b""))
        if length is None:
            return kept
        part = kept[offset:offset + length]
        return part + bytes(length - len(part))


def place(path):
    """The volume and piece of data that a path names, whatever its class, and the offset in it."""
    offset = re.search(r"offset=(\d+)", path)
    return "/".join(path.split("?")[0].split("/")[2:]), int(offset.group(1)) if offset else 0


def label(body):
    """The beginning of a body, which the tests make readable."""
    return f"{body[:12].decode('latin-1')!r}x{len(body)}"


# ---------------------------------------------------------------- the head

def settings(heads=3, shards=3, read_deadline=2.0, write_deadline=3.0):
    """Settings of a small deployment, with the figures of half-way-tree."""
    return {
        "bounds": {"cancel": True, "conn_idle": 15.0, "connect_timeout": 0.25, "max_attempts": 3, "most_held": 400,
                   "peers": False, "probes": False, "retry_after": False, "max_retry_after": 2.0,
                   "second_copies": False, "streams_per_conn": 1},
        "classes": [
            {"aim": 0.4, "deadline": read_deadline, "idempotency": "safe", "late_worth": 0.2, "name": "play-fetch",
             "worth": 3.0},
            {"aim": 0.4, "deadline": write_deadline, "group": "cell", "idempotency": "keyed", "repeat_window": 3.0,
             "late_worth": 0.1, "name": "episode-save", "worth": 2.0}],
        "domain": {"changes_data": [False, True], "cold_units": 42.0, "idle_worth": 0.08, "unit_mean": 2.05,
                   "units_top": 8, "use_period": 1.0, "within_share": 0.35, "shards": shards},
        "guarantees": {"answer_slack": 0.05, "cold_from": 0.17, "drain_grace": 0.25, "fall": 3.0, "tip_multiple": 3.0,
                       "warm_within": 16.0},
        "membership_mode": "push", "n_instances": heads, "rank": 0, "period": 0.002,
        "report": {"names": ["rif"], "source": "answers"},
        "zones": ["north-hall", "south-hall", "east-hall"], "my_zone": "north-hall",
        "service_levels": [
            {"base_rate": 5.0, "cap_slack": 8.0, "limit": 30.0, "limit_burst": 45.0, "name": "community",
             "reserve": 2.5, "value_factor": 0.96, "weight": 1.0},
            {"base_rate": 200.0, "name": "network", "reserve": 160.0, "value_factor": 0.9, "weight": 3.0}]}


def run_command():
    """The command of the deploy file that starts one real head."""
    with open(os.path.join(ROOT, "deploy", "balancer.toml")) as deploy:
        found = re.search(r'^run = "([^"]*)"', deploy.read(), re.MULTILINE)
    if found is None:
        raise CannotRun("no run line in deploy/balancer.toml")
    return found.group(1)


class Platform:
    """Starts and ends processes of heads as the platform does, and keeps their folder."""

    def __init__(self, record):
        self.record, self.heads = record, []
        self.folder = tempfile.mkdtemp(prefix="flaxgap-review-")
        program = os.path.join(ROOT, "target", "release", "flaxgap")
        if not os.access(program, os.X_OK):
            raise CannotRun("target/release/flaxgap is not built")

    def write(self, name, text):
        path = os.path.join(self.folder, name)
        with open(path, "w") as out:
            out.write(text)
        return path

    def start(self, label_, config, ops_port, extra=None, shared="state"):
        """Starts one process. The configuration's `ops` is left out: LB_OPS names the second address."""
        state = os.path.join(self.folder, shared)
        os.makedirs(state, exist_ok=True)
        environment = {"PATH": os.environ.get("PATH", ""), "TMPDIR": state, "LB_NAME": config["name"],
                       "LB_LISTEN": config["listen"], "LB_DISCOVERY": config["discovery"],
                       "LB_CONFIG": self.write(f"{config['name']}.json", json.dumps(config)),
                       "LB_OPS": address(ops_port), "RUST_LOG": os.environ.get("RUST_LOG", "info")}
        environment.update(extra or {})
        log = open(os.path.join(self.folder, f"{label_}.log"), "wb")
        process = subprocess.Popen(["/bin/sh", "-c", run_command()], cwd=ROOT, env=environment, stdin=subprocess.DEVNULL,
                                   stdout=log, stderr=log)
        log.close()
        head = Head(self, label_, process, ops_port)
        self.heads.append(head)
        self.record(f"platform starts {label_}")
        return head

    def end(self):
        for head in self.heads:
            if head.process.poll() is None:
                head.process.kill()
            head.process.wait()
        for head in self.heads:
            with open(os.path.join(self.folder, f"{head.label}.log"), errors="replace") as log:
                lines = [line.rstrip() for line in log if "counters:" not in line]
            for line in lines[-60:]:
                self.record(f"log of {head.label}: {line}")
        shutil.rmtree(self.folder, ignore_errors=True)


class Head:
    def __init__(self, platform, label_, process, ops_port):
        self.platform, self.label, self.process, self.ops_port = platform, label_, process, ops_port

    def signal(self, number):
        self.platform.record(f"platform sends {signal.Signals(number).name} to {self.label}")
        self.process.send_signal(number)

    def wait_ready(self, seconds=30.0):
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            if self.process.poll() is not None:
                raise CannotRun(f"{self.label} ended with {self.process.returncode} before it was ready")
            try:
                if call(self.ops_port, "GET", "/ops/readiness").status == 200:
                    self.platform.record(f"{self.label} says yes")
                    return
            except OSError:
                pass
            time.sleep(0.01)
        raise CannotRun(f"{self.label} is not ready after {seconds} s")

    def wait_end(self, seconds):
        try:
            code = self.process.wait(seconds)
            self.platform.record(f"{self.label} has ended with {code}")
            return code
        except subprocess.TimeoutExpired:
            return None


def call(port, method, path, headers=None, body=b"", seconds=5.0):
    """One HTTP/1.1 call on a connection of its own."""
    with socket.create_connection((HOST, port), timeout=seconds) as connection:
        lines = [f"{method} {path} HTTP/1.1", "Host: origin.svc"]
        lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
        if method == "PUT":
            lines.append(f"Content-Length: {len(body)}")
        connection.sendall("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
        answer = read_message(connection.makefile("rb"))
        if answer is None:
            raise OSError("the connection ended without an answer")
        return answer


def play(main, record_path):
    """Runs a case: writes its record to `record_path` and ends with the case's exit code."""
    record = Record(record_path)
    trouble = os.environ.get("TROUBLE", "1") != "0"
    code = 2
    platform = None
    try:
        platform = Platform(record)
        watchdog = threading.Timer(110.0, lambda: (record("not ended after 110 s"), abandon(platform, record)))
        watchdog.daemon = True
        watchdog.start()
        broken = main(platform, record, trouble)
        for line in broken:
            record(f"BROKEN: {line}")
        code = 1 if broken else 0
    except CannotRun as reason:
        record(f"can't run: {reason}")
    except Exception as error:  # a fault of the script itself
        record(f"can't run: {type(error).__name__}: {error}")
    finally:
        if platform is not None:
            platform.end()
        record({0: "the rule held", 1: "the rule was broken", 2: "the case couldn't run"}[code])
        record.save()
        print(record.lines[-1])
    sys.stdout.flush()
    os._exit(code)


def abandon(platform, record):
    platform.end()
    record.save()
    os._exit(2)
