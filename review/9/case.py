"""A hostile plug-in: does the head stay within its memory, and does each request get its answer?"""
import os
import signal
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "peers-2"))
from standins import ROOT, Brick, Discovery, address, call, free_port, in_thread, play, settings, target

MEMORY_MB = 192
CLIENTS, PERIOD_S, SECONDS = 20, 0.1, 12.0  # 200 requests a second
WORK_S = 0.044  # a brick's work for a read, 34 to 54 ms


def resident_kib(pid):
    try:
        with open(f"/proc/{pid}/status") as status:
            return next((int(line.split()[1]) for line in status if line.startswith("VmRSS")), 0)
    except OSError:
        return 0


def main(platform, record, trouble):
    def read(path, message, connection):
        time.sleep(WORK_S)
        return path.encode()

    bricks = [Brick(record, f"brick-{shard}", read=read) for shard in range(3)]
    discovery = Discovery(record, [target(f"s-{i}", brick.port, i) for i, brick in enumerate(bricks)])
    http = free_port()
    config = {"name": "n0", "listen": address(http), "discovery": address(discovery.port), "seed": "8c1f30d27a5be964",
              "limits": {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": 1024}, "known": None, "settings": settings()}
    folder = os.path.dirname(os.path.abspath(__file__))
    script = os.path.join(folder, "hostile.rhai") if trouble else os.path.join(ROOT, "deploy", "plugin.rhai")
    # The limits of a call are those that deploy/ops.toml shows.
    operators = f'[plugin]\nscript = "{script}"\nmax_steps = 2000\nmax_size = 256\n'
    head = platform.start("head", config, free_port(), {"FLAXGAP_OPS": platform.write("ops.toml", operators)})
    head.wait_ready()
    killed = {"at": None, "kib": 0, "most": 0}
    stop = threading.Event()

    def watch_memory():
        """Over `memory_mb` the head is killed."""
        while not stop.is_set() and head.process.poll() is None:
            kib = resident_kib(head.process.pid)
            killed["most"] = max(killed["most"], kib)
            if kib > MEMORY_MB * 1024:
                killed.update(at=time.monotonic(), kib=kib)
                record(f"platform: the head holds {kib} KiB, over its {MEMORY_MB} MB")
                head.signal(signal.SIGKILL)
                return
            time.sleep(0.01)

    counts, lost, lock = {}, [], threading.Lock()

    def client(number):
        until, sent = time.monotonic() + SECONDS, 0
        time.sleep(number * PERIOD_S / CLIENTS)
        while time.monotonic() < until and killed["at"] is None:
            began, sent = time.monotonic(), sent + 1
            shard = (number + sent) % 3
            headers = {"X-Correlation-Id": f"9b1f{number:04x}{sent:08x}", "X-Qos-Policy": "network",
                       "X-Time-Left": "2.000", "X-Placement": f"units=1,shard={shard},hosts=1"}
            try:
                status = call(http, "GET", f"/play-fetch/00000003b4d600{number:02x}/7f3a9c21{sent:08x}", headers).status
            except OSError as error:
                status = f"no answer ({type(error).__name__})"
                with lock:
                    lost.append(f"{headers['X-Correlation-Id']}: {error}")
            with lock:
                counts[status] = counts.get(status, 0) + 1
            time.sleep(max(0.0, began + PERIOD_S - time.monotonic()))

    in_thread(watch_memory)
    clients = [in_thread(client, number) for number in range(CLIENTS)]
    for thread in clients:
        thread.join(SECONDS + 10.0)
    stop.set()
    code = head.process.poll()
    record(f"clients: answers by status {counts}")
    record(f"the head's largest resident memory: {killed['most']} KiB of {MEMORY_MB * 1024} KiB")
    broken = []
    if killed["at"] is not None:
        broken.append(f"the head went over its memory limit ({killed['kib']} KiB) and was killed; "
                      f"{len(lost)} requests of the last moment got no answer")
        for line in lost[:20]:
            record(f"no answer: {line}")
    elif code is not None:
        broken.append(f"the head ended with {code}")
    elif lost:
        broken.append(f"{len(lost)} requests got no answer")
    return broken


play(main, os.path.join(os.path.dirname(os.path.abspath(__file__)), "record.txt"))
