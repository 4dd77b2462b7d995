"""Stand-ins of the platform, of executors and of clients for the scripts of the review.

All of them run in the event loop of the script. They follow PROTOCOL.md. Every process of the
cell has its own addresses of the store, of the control of machines and of each executor, so that
the path between one process and one peer can be cut (`Link.cut`). A path that is cut answers
nothing and drops what arrives, like a partition.
"""

import asyncio
import base64
import json
import os
import secrets
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
from urllib.parse import parse_qs, unquote, urlsplit

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
BINARY = os.path.join(ROOT, "target/release/lacewingshore")
HOLD_MAX_MS = 6000
STOP_MS = 50
STORE_DELAY_S = 0.004
HEARTBEAT_S = 1.5
HOST = "127.0.0.1"
QUEUE_HOST = "desk.example"
# A script that takes longer than this could not run.
LIMIT_S = 112


def now():
    """Seconds on the steady clock."""
    return time.monotonic()


class Record:
    """What was sent, answered and run, with the time since the start of the script."""

    def __init__(self, folder):
        self.started = now()
        self.file = open(os.path.join(folder, "record.txt"), "w")

    def write(self, text):
        self.file.write(f"{now() - self.started:9.3f} {text}\n")
        self.file.flush()


class Link:
    """The path from one process to one server."""

    def __init__(self):
        self.is_cut = False
        self.is_down = False
        # Time for one way, on top of what the loopback device takes.
        self.way_s = 0.0
        self.writers = set()

    def cut(self):
        self.is_cut = True

    def close(self):
        """The server is down: connections are reset."""
        self.is_down = True
        for writer in list(self.writers):
            writer.transport.abort()

    def open(self):
        self.is_down = False

    def heal(self):
        """Ends the cut. Connections from before it stay silent for good, so they are dropped."""
        self.is_cut = False
        for writer in list(self.writers):
            writer.transport.abort()


async def delay(seconds):
    if seconds > 0:
        await asyncio.sleep(seconds)


async def serve(link, answer, port=0):
    """Serves HTTP/1.1 for one link; `answer(method, path, query, headers, body)` -> (status, json)."""

    async def handle(reader, writer):
        if link.is_down:
            writer.transport.abort()
            return
        link.writers.add(writer)
        try:
            # The handshake of a new connection takes a round trip of its own.
            await delay(2 * link.way_s)
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                lines = head.decode("latin-1").split("\r\n")
                method, target, _ = lines[0].split(" ", 2)
                headers = {}
                for line in lines[1:]:
                    if ":" in line:
                        name, value = line.split(":", 1)
                        headers[name.strip().lower()] = value.strip()
                body = await reader.readexactly(int(headers.get("content-length", "0")))
                if link.is_cut:
                    await asyncio.sleep(3600)
                await delay(2 * link.way_s)
                parts = urlsplit(target)
                query = {key: value[-1] for key, value in parse_qs(parts.query).items()}
                status, payload = await answer(method, unquote(parts.path), query, headers, body)
                if link.is_cut:
                    await asyncio.sleep(3600)
                text = b"" if payload is None else json.dumps(payload).encode()
                writer.write(
                    f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(text)}\r\n\r\n".encode() + text
                )
                await writer.drain()
        except (asyncio.IncompleteReadError, asyncio.CancelledError, ConnectionError, OSError):
            pass
        finally:
            link.writers.discard(writer)
            writer.transport.abort()

    server = await asyncio.start_server(handle, HOST, port, limit=1 << 22)
    return server, server.sockets[0].getsockname()[1]


async def forward(link, port):
    """Forwards connections to a port of this machine, unless the link is cut."""

    async def copy(reader, writer):
        try:
            while data := await reader.read(1 << 16):
                if link.is_cut:
                    await asyncio.sleep(3600)
                writer.write(data)
                await writer.drain()
        except (asyncio.CancelledError, ConnectionError, OSError):
            pass
        finally:
            writer.close()

    async def handle(reader, writer):
        link.writers.add(writer)
        try:
            if link.is_cut:
                await asyncio.sleep(3600)
            back, onward = await asyncio.open_connection(HOST, port)
            link.writers.add(onward)
            await asyncio.gather(copy(reader, onward), copy(back, writer))
            link.writers.discard(onward)
        except (asyncio.CancelledError, ConnectionError, OSError):
            pass
        finally:
            link.writers.discard(writer)
            writer.transport.abort()

    server = await asyncio.start_server(handle, HOST, 0)
    return server.sockets[0].getsockname()[1]


def free_port():
    """A free port below the range from which the system chooses ports by itself."""
    while True:
        port = 20000 + secrets.randbelow(10000)
        with socket.socket() as probe:
            try:
                probe.bind((HOST, port))
            except OSError:
                continue
        if port not in TAKEN:
            TAKEN.add(port)
            return port


TAKEN = set()


class Store:
    """The platform's store: revisions, watches, transactions and leases."""

    def __init__(self):
        self.rev = 10
        self.items = {}
        self.history = []
        self.leases = {}
        self.changed = asyncio.Condition()

    def write(self, key, value, lease=0):
        """An operator or an executor writes; `value` is JSON."""
        self._put({key: (json.dumps(value).encode(), lease)}, [])

    def delete(self, key):
        self._put({}, [key])

    def _put(self, writes, removes):
        self.rev += 1
        for key, (value, lease) in writes.items():
            created = self.items[key]["created"] if key in self.items else self.rev
            self.items[key] = {
                "key": key,
                "value": base64.b64encode(value).decode(),
                "rev": self.rev,
                "created": created,
                "lease": lease,
            }
            self.history.append((self.rev, key, dict(self.items[key])))
        for key in removes:
            if self.items.pop(key, None):
                gone = {"key": key, "rev": self.rev, "deleted": True}
                self.history.append((self.rev, key, gone))
        asyncio.ensure_future(self._notify())

    async def _notify(self):
        async with self.changed:
            self.changed.notify_all()

    async def expire(self):
        """Ends leases that were not renewed."""
        while True:
            await asyncio.sleep(0.02)
            for lease, (ends, _) in list(self.leases.items()):
                if ends <= now():
                    self.end_lease(lease)

    def end_lease(self, lease):
        if self.leases.pop(lease, None):
            keys = [key for key, item in self.items.items() if item["lease"] == lease]
            if keys:
                self._put({}, keys)

    async def answer(self, method, path, query, headers, body):
        await asyncio.sleep(STORE_DELAY_S)
        name = path.removeprefix("/lacewingshore/")
        if name == "kv-key":
            item = self.items.get(query["key"])
            if item is None:
                return 404, {"as_of": self.rev}
            return 200, {**item, "as_of": self.rev}
        if name == "kv-range":
            keys = sorted(key for key in self.items if key.startswith(query["prefix"]))
            keys = [key for key in keys if key > query.get("after", "")]
            items = [self.items[key] for key in keys[:500]]
            return 200, {"items": items, "has_more": len(keys) > 500, "as_of": self.rev}
        if name == "kv-watch":
            return await self._watch(query)
        if name == "kv-txn":
            return self._txn(json.loads(body))
        if name == "kv-lease":
            ttl = json.loads(body)["ttl_ms"]
            lease = secrets.randbelow(1 << 40) + 1
            self.leases[lease] = (now() + ttl / 1000, ttl)
            return 200, {"lease": lease, "ttl_ms": ttl}
        if name.startswith("kv-keep/"):
            lease = int(name.split("/")[1])
            if lease not in self.leases:
                return 404, {}
            ttl = self.leases[lease][1]
            self.leases[lease] = (now() + ttl / 1000, ttl)
            return 200, {}
        if name.startswith("kv-lease-end/"):
            self.end_lease(int(name.split("/")[1]))
            return 200, {}
        return 400, {}

    async def _watch(self, query):
        after, prefix = int(query["after"]), query["prefix"]
        end = now() + int(query.get("wait_ms", "0")) / 1000
        while True:
            events = [e for rev, key, e in self.history if rev > after and key.startswith(prefix)]
            if events or now() >= end:
                return 200, {"events": events, "as_of": self.rev}
            try:
                async with self.changed:
                    await asyncio.wait_for(self.changed.wait(), end - now())
            except asyncio.TimeoutError:
                pass

    def _txn(self, call):
        expected = call.get("expected_rev", [])
        current = {row["key"]: self.items.get(row["key"]) for row in expected}
        for row in expected:
            item = current[row["key"]]
            if (item["rev"] if item else 0) != row["rev"]:
                items = [i or {"key": k, "value": "", "rev": 0} for k, i in current.items()]
                return 412, {"items": items}
        writes = {}
        for write in call.get("writes", []):
            lease = write.get("lease") or 0
            if lease and lease not in self.leases:
                return 404, {}
            writes[write["key"]] = (base64.b64decode(write["value"]), lease)
        self._put(writes, call.get("remove", []))
        return 200, {"rev": self.rev}


class Run:
    def __init__(self, task, attempt, spec, at):
        self.task, self.attempt, self.at = task, attempt, at
        self.spec = spec
        self.ends_at = at + float(spec.split("ms=")[1].split()[0]) / 1000
        self.ended = None
        self.how = None
        self.noted = None


class Executor:
    """One machine and its lives. Runs end after the time that their spec names (`ms=N`)."""

    def __init__(self, fleet, name, service, cpu=4000, labels=("a", "r1"), zone="north"):
        self.fleet, self.name, self.service = fleet, name, service
        self.cpu, self.labels, self.zone = cpu, list(labels), zone
        self.links, self.ports = {}, {}
        self.is_cut_off = False
        self.runs = []
        self.answer_s = 0.0005
        # How far the time of day of this machine is ahead.
        self.clock_step_s = 0.0
        self.new_life(f"i-{secrets.token_hex(5)}")

    def new_life(self, identity):
        self.id = identity
        self.born = int((time.time() + self.clock_step_s) * 1000)
        self.seq_no = 1
        self.zero = now()
        self.fence = 0
        self.until = 0.0
        self.running, self.finished = [], []
        self.next_end = 1
        self.closed = {}
        self.on_end = asyncio.Condition()

    def clock(self):
        return (now() - self.zero) * 1000

    def entry(self, process):
        return {
            "service": self.service,
            "addr": f"{HOST}:{self.ports[process]}",
            "zone": self.zone,
            "version": "1",
            "slots": 8,
            "state": "ready",
            "cold_left_ms": 0,
            "seq_no": self.seq_no,
            "born": self.born,
            "capacity": {"cpu": self.cpu, "mem_mb": 32768, "gpu": 0},
            "labels": self.labels,
        }

    async def run(self):
        """Ends runs in time, and writes the entry in the store at every heartbeat."""
        beat_at = now() + HEARTBEAT_S
        while True:
            await asyncio.sleep(0.01)
            await self.settle()
            if now() >= beat_at:
                beat_at = now() + HEARTBEAT_S
                self.seq_no += 1
                if self.is_up and not self.is_cut_off:
                    self.fleet.register(self)

    @property
    def is_up(self):
        return not any(link.is_down for link in self.links.values())

    def crash(self):
        """Everything that runs ends, and nothing is reported."""
        self.fleet.record.write(f"crash of {self.name}")
        for run in self.running:
            run.ended, run.how = now(), "crashed"
        self.running, self.finished = [], []
        for link in self.links.values():
            link.close()

    def restart(self):
        """Begins a new life under the same id."""
        self.new_life(self.id)
        for link in self.links.values():
            link.open()
        self.fleet.record.write(f"restart of {self.name} id={self.id} born={self.born}")
        self.fleet.register(self)

    async def settle(self):
        at = now()
        lapsed = self.running and self.clock() >= self.until
        for run in list(self.running):
            if run.ends_at <= at:
                await self.end(run, "done")
            elif lapsed:
                await self.end(run, "lapsed")

    async def end(self, run, how):
        if run not in self.running:
            return
        self.running.remove(run)
        run.ended, run.how = now(), how
        self.closed[run.task] = max(self.closed.get(run.task, 0), run.attempt)
        self.finished.append((self.next_end, run))
        self.next_end += 1
        self.fleet.record.write(f"end {run.task} attempt={run.attempt} on={self.name} how={how}")
        async with self.on_end:
            self.on_end.notify_all()

    def refuse(self, reason):
        return 409, {"clock_ms": int(self.clock()), "reason": reason, "born": self.born}

    async def answer(self, process, method, path, headers, body):
        await asyncio.sleep(self.answer_s)
        if headers.get("x-lacewingshore-expect-instance", self.id) != self.id:
            return 421, {}
        await self.settle()
        call = json.loads(body)
        if call.get("fence_token", 0) < self.fence:
            return self.refuse("fence")
        self.fence = call.get("fence_token", 0)
        name = path.removeprefix("/lacewingshore/")
        if name == "run-start":
            return self.start(process, call)
        if name == "run-stop":
            run = next((r for r in self.running if r.task == call["task"]), None)
            self.closed[call["task"]] = max(self.closed.get(call["task"], 0), call["attempt"])
            if run and run.attempt <= call["attempt"]:
                asyncio.get_running_loop().call_later(
                    STOP_MS / 1000, lambda: asyncio.ensure_future(self.end(run, "stopped"))
                )
            return 200, {"clock_ms": int(self.clock())}
        if name == "pace":
            return 200, {"clock_ms": int(self.clock())}
        return await self.hold(call)

    def extend(self, until):
        self.until = max(self.until, min(until, self.clock() + HOLD_MAX_MS))

    def start(self, process, call):
        task, attempt = call["task"], call["attempt"]
        self.fleet.record.write(f"order-start {task} attempt={attempt} on={self.name} by={process}")
        if any(r.task == task and r.attempt == attempt for r in self.running):
            return 200, {"clock_ms": int(self.clock())}
        if call["until_ms"] <= self.clock():
            return self.refuse("late")
        self.extend(call["until_ms"])
        if self.closed.get(task, 0) >= attempt:
            return self.refuse("old")
        run = Run(task, attempt, call["spec"], now())
        self.running.append(run)
        self.runs.append(run)
        self.fleet.record.write(f"start {task} attempt={attempt} on={self.name} by={process}")
        return 200, {"clock_ms": int(self.clock())}

    async def hold(self, call):
        observed = call.get("observed", 0)
        for number, run in self.finished:
            if number <= observed and run.noted is None:
                run.noted = now()
                self.fleet.record.write(f"noted {run.task} attempt={run.attempt} how={run.how}")
        self.finished = [(n, run) for n, run in self.finished if n > observed]
        if "until_ms" in call and call["until_ms"] is not None:
            self.extend(call["until_ms"])
        end = now() + call.get("wait_ms", 0) / 1000
        while not self.finished and now() < end:
            try:
                async with self.on_end:
                    await asyncio.wait_for(self.on_end.wait(), max(0.001, end - now()))
            except asyncio.TimeoutError:
                pass
        at = now()
        rows = []
        for run in self.running:
            share = min(99, int(100 * (at - run.at) / max(0.001, run.ends_at - run.at)))
            rows.append([run.task, run.attempt, "", share, 500])
        ends = [[n, r.task, r.attempt, r.how, ""] for n, r in self.finished[:500]]
        body = {"clock_ms": int(self.clock()), "born": self.born, "running": rows, "finished": ends}
        return 200, body


class Fleet:
    """The platform, the executors and the processes of one small deployment."""

    def __init__(self, folder, processes):
        self.folder = folder
        self.record = Record(folder)
        self.store = Store()
        self.executors = []
        self.count = processes
        self.temporary = tempfile.TemporaryDirectory()
        self.processes, self.ports = {}, {}
        self.store_links, self.control_links = {}, {}
        self.peer_links, self.peer_ports = {}, {}
        self.logs = {}
        self.tasks = []

    async def start_platform(self):
        self.tasks.append(asyncio.ensure_future(self.store.expire()))
        for process in range(self.count):
            self.store_links[process], self.control_links[process] = Link(), Link()
            view = self.view(process)
            _, store = await serve(self.store_links[process], view)
            _, control = await serve(self.control_links[process], self.control(process))
            self.ports[process] = {"store": store, "control": control}
            for name in ("front", "ready", "peer", "metrics"):
                self.ports[process][name] = free_port()
        for process in range(self.count):
            for other in range(self.count):
                link = self.peer_links[process, other] = Link()
                port = await forward(link, self.ports[other]["peer"])
                self.peer_ports[process, other] = port

    def view(self, process):
        """The store as one process sees it: executors and peers at the addresses of its links."""

        def own(item):
            if item.get("deleted"):
                return item
            if item["key"].startswith("cell/"):
                # What a process stores holds addresses of its own links. Ports have five digits,
                # so a record keeps its length.
                value = base64.b64decode(item["value"])
                for theirs, ours in self.addresses(process):
                    value = value.replace(theirs, ours)
                return {**item, "value": base64.b64encode(value).decode()}
            if not item["key"].startswith("servers/"):
                return item
            entry = json.loads(base64.b64decode(item["value"]))
            entry["addr"] = f"{HOST}:{entry['addr'][process]}"
            return {**item, "value": base64.b64encode(json.dumps(entry).encode()).decode()}

        async def answer(method, path, query, headers, body):
            status, reply = await self.store.answer(method, path, query, headers, body)
            if reply and "value" in reply:
                reply = own(reply)
            for name in ("items", "events"):
                if reply and name in reply:
                    reply = {**reply, name: [own(item) for item in reply[name]]}
            return status, reply

        return answer

    def addresses(self, process):
        """The addresses that other processes know, each with that which this process knows."""
        for other in range(self.count):
            if other == process:
                continue
            yield self.address(self.ports[other]["peer"]), self.address(
                self.peer_ports[process, other]
            )
            for executor in self.executors:
                yield self.address(executor.ports[other]), self.address(executor.ports[process])

    @staticmethod
    def address(port):
        return f"{HOST}:{port}".encode()

    def control(self, process):
        async def answer(method, path, query, headers, body):
            if method == "GET":
                rows = [
                    {
                        "machine": f"m-{executor.name}",
                        "pool": executor.service,
                        "state": "up",
                        "zone": executor.zone,
                        "labels": executor.labels,
                        "capacity": {"cpu": executor.cpu, "mem_mb": 32768, "gpu": 0},
                        "id": executor.id,
                    }
                    for executor in self.executors
                ]
                return 200, {"machines": rows}
            # The pools have machines of their own, so no machine may be moved.
            return 400, {}

        return answer

    async def add_executor(self, name, service, way_s=0.0, clock_step_s=0.0, **more):
        executor = Executor(self, name, service, **more)
        executor.clock_step_s = clock_step_s
        executor.new_life(executor.id)
        for process in range(self.count):
            executor.links[process] = Link()
            executor.links[process].way_s = way_s

            def answer(method, path, query, headers, body, process=process):
                return executor.answer(process, method, path, headers, body)

            _, executor.ports[process] = await serve(executor.links[process], answer)
        self.executors.append(executor)
        self.tasks.append(asyncio.ensure_future(executor.run()))
        self.register(executor)
        return executor

    def register(self, executor):
        entry = executor.entry(0)
        entry["addr"] = [executor.ports[process] for process in range(self.count)]
        self.store.write(f"servers/{executor.id}", entry)

    def configure(self, version, routes, services, tenants, **more):
        config = {
            "version": version,
            "routes": [
                {
                    "name": name,
                    "host": QUEUE_HOST,
                    "prefix": f"/{name}/",
                    "service": service,
                    "priority": 0,
                    "max_attempts": 3,
                    "slack_factor": 4.0,
                    "target_duration_ms": 10000,
                    **more,
                }
                for name, service in routes.items()
            ],
            "services": [{"name": name, "standby": False} for name in services],
            "limits": {"max_body_bytes": 65536},
            "tenants": [
                {
                    "name": name,
                    "api_keys": [f"key-{name}"],
                    "weight": 1,
                    "cap": {"cpu": 0, "mem_mb": 0, "gpu": 0},
                }
                for name in tenants
            ],
        }
        self.store.write("op/config", config)
        self.record.write(f"config version={version} routes={routes}")

    def settings(self, process):
        ports = self.ports[process]
        text = f"""[entry]
member = frontend-{process}
data_centre = north
address = {HOST}:{ports['front']}
ready_address = {HOST}:{ports['ready']}
peer_address = {HOST}:{ports['peer']}
metrics_address = {HOST}:{ports['metrics']}

[platform]
store_address = {HOST}:{ports['store']}
control_address = {HOST}:{ports['control']}

[times]
task_lease = 6000ms
host_order_pause = 3000ms

[sharing]
work_admission = true
fair_order = true
fair_division = true

[limits]
processor_share = 0.25
processor_speed = 1
memory_mb = 260
link_mbps = 1000.0
"""
        path = os.path.join(self.temporary.name, f"cell-{process}.ini")
        with open(path, "w") as file:
            file.write(text)
        return path

    def start_process(self, process):
        path = self.settings(process)
        log = open(os.path.join(self.temporary.name, f"cell-{process}.log"), "ab")
        environment = {
            "PATH": os.environ.get("PATH", ""),
            "HOME": self.temporary.name,
            "LACEWINGSHORE_SETTINGS": path,
        }
        self.processes[process] = subprocess.Popen(
            [BINARY, "cell"], cwd=ROOT, env=environment, stdout=log, stderr=log
        )
        self.record.write(f"process {process} started")

    def kill(self, process, number=signal.SIGKILL):
        self.processes[process].send_signal(number)
        self.record.write(f"process {process} gets {signal.Signals(number).name}")

    def cut_off(self, processes, executors):
        """Cuts these processes and executors off from all others, the store and the control."""
        self.record.write(f"cut off: processes {processes} and {[e.name for e in executors]}")
        for executor in executors:
            executor.is_cut_off = True
        for link in self.crossing_links(processes, executors):
            link.cut()

    def heal(self, processes, executors):
        self.record.write("the cut ends")
        for executor in executors:
            executor.is_cut_off = False
        for link in self.crossing_links(processes, executors):
            link.heal()

    def crossing_links(self, processes, executors):
        for process in range(self.count):
            inside = process in processes
            if inside:
                yield self.store_links[process]
                yield self.control_links[process]
            for other in range(self.count):
                if inside != (other in processes):
                    yield self.peer_links[process, other]
            for executor in self.executors:
                if inside != (executor in executors):
                    yield executor.links[process]

    def owner(self):
        """The process that owns the cell, by its entry in the store."""
        item = self.store.items.get("cell/owner")
        if item is None:
            return None
        text = base64.b64decode(item["value"])
        return next((p for p in range(self.count) if f"frontend-{p}".encode() in text), None)

    async def wait_owner(self, other_than=None, seconds=15):
        end = now() + seconds
        while now() < end:
            owner = self.owner()
            if owner is not None and owner != other_than:
                self.record.write(f"process {owner} owns the cell")
                return owner
            await asyncio.sleep(0.05)
        raise CannotRun("no process owns the cell")

    async def call(self, process, method, path, tenant, body=None, timeout=3.0):
        """One call of a client; the status is 0 without an answer."""
        text = b"" if body is None else json.dumps(body).encode()
        head = (
            f"{method} {path} HTTP/1.1\r\nHost: {QUEUE_HOST}\r\n"
            f"Authorization: Bearer key-{tenant}\r\nContent-Type: application/json\r\n"
            f"X-Lacewingshore-Deadline-Ms: {int(timeout * 1000)}\r\n"
            f"Content-Length: {len(text)}\r\nConnection: close\r\n\r\n"
        ).encode()

        async def exchange():
            reader, writer = await asyncio.open_connection(HOST, self.ports[process]["front"])
            try:
                writer.write(head + text)
                reply = await reader.read()
            finally:
                writer.close()
            first, _, rest = reply.partition(b"\r\n\r\n")
            return int(first.split()[1]), rest.decode()

        try:
            status, reply = await asyncio.wait_for(exchange(), timeout)
        except (OSError, IndexError, ValueError, asyncio.TimeoutError) as error:
            status, reply = 0, type(error).__name__
        self.record.write(f"call {method} {path} at={process} status={status} {reply[:80]}")
        return status, reply

    async def submit(self, queue, job, tenant, body, processes=None, seconds=10):
        """Hands a job in with retries at all processes; true once it is accepted."""
        end = now() + seconds
        turn = 0
        while now() < end:
            choices = processes or range(self.count)
            process = list(choices)[turn % len(list(choices))]
            turn += 1
            status, _ = await self.call(process, "POST", f"/{queue}/{job}", tenant, body)
            if 200 <= status < 300:
                return True
            await asyncio.sleep(0.3)
        return False

    def stop(self):
        for process in self.processes.values():
            if process.poll() is None:
                process.kill()
                process.wait()
        for name in sorted(os.listdir(self.temporary.name)):
            if os.environ.get("KEEP_LOGS") and name.endswith(".log"):
                with open(os.path.join(self.temporary.name, name)) as source:
                    with open(os.path.join(os.environ["KEEP_LOGS"], name), "w") as target:
                        target.write(source.read())
        self.temporary.cleanup()


def double_runs(fleet):
    """Pairs of runs that break TWICE: at the same time, or a start after a noted end `done`."""
    by_task = {}
    for executor in fleet.executors:
        for run in executor.runs:
            by_task.setdefault(run.task, []).append((run.at, run.ended or now(), executor, run))
    found = []
    for task, runs in sorted(by_task.items()):
        runs.sort(key=lambda row: row[0])
        for first in range(len(runs)):
            for second in range(first + 1, len(runs)):
                if runs[second][0] < runs[first][1]:
                    found.append((task, "at the same time", runs[first], runs[second]))
                elif runs[first][3].how == "done" and runs[first][3].noted is not None:
                    found.append((task, "after its end done", runs[first], runs[second]))
    return found


class CannotRun(Exception):
    """The case could not be set up."""


def main(folder, case):
    """Runs `case(fleet, trouble)`, which returns true if the rule was broken, and exits."""
    trouble = os.environ.get("TROUBLE", "1") != "0"

    def leave(code):
        for fleet in FLEETS:
            fleet.stop()
        sys.stderr.flush()
        # Waiting for open connections to end would only take time.
        os._exit(code)

    async def run():
        try:
            if not os.access(BINARY, os.X_OK):
                raise CannotRun("the program is not built")
            fleet, broken = await case(trouble)
        except Exception as error:
            print(f"the case could not run: {error!r}", file=sys.stderr)
            leave(2)
        fleet.record.write(f"result: {'BROKEN' if broken else 'held'}")
        leave(1 if broken else 0)

    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: leave(2))
    watchdog = threading.Timer(LIMIT_S, leave, [2])
    watchdog.daemon = True
    watchdog.start()
    asyncio.run(run())


FLEETS = []


async def new_fleet(folder, processes):
    fleet = Fleet(folder, processes)
    FLEETS.append(fleet)
    await fleet.start_platform()
    return fleet
