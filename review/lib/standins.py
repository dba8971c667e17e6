"""Stand-ins for the platform's store, its machine service and workers, after PROTOCOL.md, and helpers that start entries.

Everything listens on loopback addresses. The stand-ins behave as sound ones; cases that need a disruption use signals.
"""
import asyncio
import base64
import json
import os
import re
import shlex
import signal
import socket
import subprocess
import tempfile
import time
import tomllib
from pathlib import Path
from urllib.parse import parse_qs, unquote, urlsplit

ROOT = Path(__file__).resolve().parents[2]
ROW_BYTES = 65536
TX_ENTRIES = 100
TX_BYTES = 1_000_000
TX_S = 0.003
HOLD_MAX_MS = 6000
STANDBY = "spare"
CAPACITY = {"cpu": 32000, "memMb": 131072, "gpu": 0}


def now_ms():
    return int(time.monotonic() * 1000)


def free_port(hosts=("127.0.0.1",)):
    """A TCP port that is free on all hosts."""
    while True:
        with socket.socket() as probe:
            probe.bind((hosts[0], 0))
            port = probe.getsockname()[1]
        try:
            for host in hosts[1:]:
                with socket.socket() as probe:
                    probe.bind((host, port))
            return port
        except OSError:
            continue


class Record:
    """record.txt: one line for each thing that was sent, answered or run, with the seconds since the start."""

    def __init__(self, path):
        self.file = open(path, "w", buffering=1 << 16)
        self.start = time.monotonic()

    def seconds(self):
        return time.monotonic() - self.start

    def write(self, kind, **fields):
        text = " ".join(f"{key}={value}" for key, value in fields.items())
        self.file.write(f"{self.seconds():9.3f} {kind} {text}\n")

    def close(self):
        self.file.close()


class HttpServer:
    """Keep-alive HTTP/1.1 server; handle(method, path, query, headers, body) returns (status, object)."""

    def __init__(self, handle):
        self.handle = handle
        self.server = None
        self.writers = set()

    async def start(self, host, port):
        self.server = await asyncio.start_server(self._serve, host, port, limit=1 << 20)

    async def stop(self):
        self.server.close()
        for writer in list(self.writers):
            writer.close()

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                line = await reader.readline()
                if not line:
                    return
                method, target, _ = line.decode().split(" ", 2)
                headers = {}
                while (header := (await reader.readline()).decode().rstrip("\r\n")):
                    name, value = header.split(":", 1)
                    headers[name.lower()] = value.strip()
                body = await reader.readexactly(int(headers.get("content-length", 0)))
                url = urlsplit(target)
                query = {key: values[0] for key, values in parse_qs(url.query, keep_blank_values=True).items()}
                status, answer = await self.handle(method, unquote(url.path), query, headers, body)
                text = json.dumps(answer).encode()
                writer.write(
                    f"HTTP/1.1 {status} S\r\nContent-Type: application/json\r\nContent-Length: {len(text)}\r\n\r\n".encode() + text
                )
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


class Store:
    """The platform's metadata store: rows in tables, versions from one counter, feeds."""

    def __init__(self, record):
        self.record = record
        self.rows = {}
        self.version = 0
        self.changed = asyncio.Condition()
        self.lock = asyncio.Lock()
        self.history = []
        self.refused = 0
        self.largest = 0
        self.server = HttpServer(self.handle)

    async def put(self, table, key, value, part=""):
        """A write by the operator or by a worker."""
        await self._apply([{"table": table, "part": part, "key": key, "value": base64.b64encode(json.dumps(value).encode()).decode()}], [])

    async def delete(self, table, key, part=""):
        await self._apply([], [{"table": table, "part": part, "key": key}])

    async def _apply(self, puts, deletes):
        self.version += 1
        for row in puts:
            name = (row["table"], row.get("part", ""), row["key"])
            self.rows[name] = (row["value"], self.version)
            self.history.append((self.version, name, False))
        for row in deletes:
            name = (row["table"], row.get("part", ""), row["key"])
            if self.rows.pop(name, None):
                self.history.append((self.version, name, True))
        async with self.changed:
            self.changed.notify_all()

    def _row(self, name):
        value, version = self.rows[name]
        return {"table": name[0], "part": name[1], "key": name[2], "value": value, "ver": version}

    def _answer(self, **fields):
        return {"ver": self.version, "nowMs": now_ms(), **fields}

    async def handle(self, method, path, query, headers, body):
        if path == "/v1/rows-tx":
            return await self._transact(json.loads(body), len(body))
        if path == "/v1/rows-get":
            return 200, self._get(query)
        if path == "/v1/rows-feed":
            return 200, await self._feed(query)
        return 404, {}

    async def _transact(self, tx, size):
        expected, puts, deletes = tx.get("expectedRev", []), tx.get("puts", []), tx.get("deletes", [])
        largest = max((len(row["value"]) for row in puts), default=0)
        self.largest = max(self.largest, largest)
        if largest > ROW_BYTES or len(expected) + len(puts) + len(deletes) > TX_ENTRIES or size > TX_BYTES:
            self.refused += 1
            big = max(puts, key=lambda row: len(row["value"]))
            if self.refused <= 20 or self.refused % 50 == 0:
                self.record.write("store_refuses", count=self.refused, bytes=largest, table=big["table"], key=big["key"])
            return 400, {"error": f"a row has {largest} bytes, at most {ROW_BYTES} are allowed"}
        async with self.lock:
            await asyncio.sleep(TX_S)
            current = []
            holds = True
            for row in expected:
                name = (row["table"], row.get("part", ""), row["key"])
                if name in self.rows:
                    current.append(self._row(name))
                holds = holds and (self.rows[name][1] if name in self.rows else 0) == row.get("ver", 0)
            if not holds:
                return 412, self._answer(rows=current)
            await self._apply(puts, deletes)
            return 200, self._answer()

    def _get(self, query):
        table, part = query["table"], query.get("part", "")
        first, end = query.get("from", ""), query.get("target")
        limit = min(int(query.get("limit", 500)), 500)
        names = sorted(
            (name for name in self.rows if name[0] == table and name[1] == part and name[2] >= first and (end is None or name[2] < end)),
            key=lambda name: name[2].encode(),
        )
        return self._answer(rows=[self._row(name) for name in names[:limit]], morePages=len(names) > limit)

    async def _feed(self, query):
        table, after = query["table"], int(query.get("after", 0))
        end = time.monotonic() + int(query.get("waitMs", 0)) / 1000
        while True:
            latest = {}
            for version, name, is_deleted in reversed(self.history):
                if version <= after:
                    break
                if name[0] == table:
                    latest.setdefault(name, (version, is_deleted))
            left = end - time.monotonic()
            if latest or left <= 0:
                rows = []
                for name, (version, is_deleted) in sorted(latest.items(), key=lambda item: item[1][0]):
                    rows.append({"table": name[0], "part": name[1], "key": name[2], "ver": version, "deleted": True} if is_deleted else self._row(name))
                return self._answer(rows=rows)
            async with self.changed:
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass


class Worker:
    """One life of a machine of a service. run_ms(task) is how long a task works; it then ends done."""

    def __init__(self, record, store, machine, service, rack, run_ms, capacity=None):
        self.record, self.store, self.machine, self.service, self.rack, self.run_ms = record, store, machine, service, rack, run_ms
        self.capacity = capacity or CAPACITY
        self.id = f"i-{os.urandom(5).hex()}"
        self.addr = f"127.0.0.1:{free_port()}"
        self.born = int(time.time() * 1000)
        self.zero = time.monotonic()
        self.fence = 0
        self.lease_ms = 0
        self.seq = 0
        self.runs = {}
        self.highest = {}
        self.finished = []
        self.ended = 0
        self.event = asyncio.Event()
        self.server = HttpServer(self.handle)
        self.tasks = []

    def clock_ms(self):
        return int((time.monotonic() - self.zero) * 1000)

    async def start(self):
        host, port = self.addr.split(":")
        await self.server.start(host, int(port))
        self.tasks = [asyncio.create_task(self._beat()), asyncio.create_task(self._work())]

    async def crash(self):
        """The process ends without a word: what runs ends, and its entry is removed after three missed heartbeats."""
        for task in self.tasks:
            task.cancel()
        for task, run in self.runs.items():
            self.record.write("run_lost", task=task, run=run["run"], worker=self.id)
        self.runs = {}
        await self.server.stop()

    async def _beat(self):
        while True:
            self.seq += 1
            await self.store.put("servers", self.id, {
                "service": self.service, "addr": self.addr, "zone": "zone-a", "version": "v1", "slots": 8, "state": "ready",
                "coldLeftMs": 0, "seq": self.seq, "machine": self.machine, "capacity": self.capacity, "labels": ["a", self.rack],
                "clockMs": self.clock_ms(), "born": self.born,
            })
            await asyncio.sleep(1.5)

    def _end(self, task, how):
        run = self.runs.pop(task)
        self.ended += 1
        self.finished.append([self.ended, task, run["run"], how, ""])
        self.record.write("run_ended", task=task, run=run["run"], worker=self.id, how=how)
        self.event.set()
        self.event = asyncio.Event()

    async def _work(self):
        while True:
            await asyncio.sleep(0.01)
            clock = self.clock_ms()
            for task, run in list(self.runs.items()):
                if clock >= self.lease_ms:
                    self._end(task, "lapsed")
                elif run["end_ms"] is not None and clock >= run["end_ms"]:
                    self._end(task, "done")

    async def handle(self, method, path, query, headers, body):
        if headers.get("corianderrock-expect-instance", self.id) != self.id:
            return 421, {}
        order = json.loads(body or b"{}")
        if order.get("fence", 0) < self.fence:
            return 409, {"clockMs": self.clock_ms(), "reason": "fence", "born": self.born}
        self.fence = order.get("fence", 0)
        if path == "/v1/run-start":
            return self._start(order)
        if path == "/v1/run-stop":
            task, run = order["task"], order["runId"]
            self.highest[task] = max(self.highest.get(task, 0), run)
            if task in self.runs and self.runs[task]["run"] <= run:
                self._end(task, "stopped")
            return 200, {"clockMs": self.clock_ms(), "born": self.born}
        if path == "/v1/hold":
            return await self._hold(order)
        return 404, {}

    def _extend(self, order):
        if order.get("expiryMs") is not None:
            self.lease_ms = max(self.lease_ms, min(order["expiryMs"], self.clock_ms() + HOLD_MAX_MS))

    def _start(self, order):
        task, run, clock = order["task"], order["runId"], self.clock_ms()
        if order["expiryMs"] <= clock:
            return 409, {"clockMs": clock, "reason": "late", "born": self.born}
        self._extend(order)
        if task in self.runs and self.runs[task]["run"] == run:
            return 200, {"clockMs": clock, "born": self.born}
        if task in self.runs or run <= self.highest.get(task, 0):
            return 409, {"clockMs": clock, "reason": "old", "born": self.born}
        took = self.run_ms(task)
        self.runs[task] = {"run": run, "end_ms": None if took is None else clock + took}
        self.highest[task] = run
        self.record.write("run_started", task=task, run=run, worker=self.id)
        return 200, {"clockMs": clock, "born": self.born}

    async def _hold(self, order):
        self._extend(order)
        acknowledged = order.get("ackSeq", 0)
        self.finished = [row for row in self.finished if row[0] > acknowledged]
        if not self.finished and order.get("waitMs"):
            try:
                await asyncio.wait_for(self.event.wait(), order["waitMs"] / 1000)
            except asyncio.TimeoutError:
                pass
        return 200, {
            "clockMs": self.clock_ms(), "born": self.born, "finished": self.finished[:500],
            "running": [[task, run["run"], "", 100, 0] for task, run in self.runs.items()],
        }


class Advice:
    """The advice service: grants a ticket for each worker named that is_allowed(worker id) lets run the queue's steps."""

    FIELDS = {"decideMs": 20, "periodMs": 1, "validMs": 3000}

    def __init__(self, record, is_allowed):
        self.record, self.is_allowed = record, is_allowed
        self.turn = asyncio.Lock()
        self.server = HttpServer(self.handle)

    async def handle(self, method, path, query, headers, body):
        call = json.loads(body)
        async with self.turn:
            await asyncio.sleep((self.FIELDS["decideMs"] + self.FIELDS["periodMs"] * len(call["workers"])) / 1000)
        granted = [[worker, f"t-{worker}"] for worker in call["workers"] if self.is_allowed(worker)]
        self.record.write("advice", step=call["step"], asked=len(call["workers"]), granted=len(granted))
        return 200, {"granted": granted, "validMs": self.FIELDS["validMs"]}


class Machines:
    """The machine service: lists machines and moves them between pools. A machine of the standby pool is off and has no worker."""

    MIGRATE_S = 1.5

    def __init__(self, record, workers, add_worker):
        self.record, self.workers, self.add_worker = record, workers, add_worker
        self.rows = {}
        self.server = HttpServer(self.handle)

    def add(self, machine, pool, rack):
        self.rows[machine] = {"pool": pool, "state": "up", "rack": rack}

    async def handle(self, method, path, query, headers, body):
        if path == "/v1/machines":
            return 200, {"machines": [self._row(machine, row) for machine, row in self.rows.items()]}
        order = json.loads(body)
        row = self.rows.get(order.get("machine"))
        if path != "/v1/machine-move" or row is None:
            return 400, {}
        if row["pool"] == order["pool"]:
            return 200, {}
        if row["state"] != "up":
            return 409, {"reason": "busy"}
        self.record.write("move", machine=order["machine"], pool=order["pool"])
        row["pool"], row["state"] = order["pool"], "moving"
        worker = self.workers.pop(order["machine"], None)
        if worker:
            await worker.crash()
            await worker.store.delete("servers", worker.id)
        asyncio.create_task(self._arrive(order["machine"], row))
        return 200, {}

    async def _arrive(self, machine, row):
        await asyncio.sleep(self.MIGRATE_S)
        row["state"] = "up"
        if row["pool"] != STANDBY:
            await self.add_worker(machine, row["rack"])

    def _row(self, machine, row):
        worker = self.workers.get(machine)
        fields = {"machine": machine, "pool": row["pool"], "state": row["state"], "zone": "zone-a", "labels": ["a", row["rack"]], "capacity": CAPACITY}
        return {**fields, "id": worker.id} if worker else fields


class Entry:
    """One entry process, started by the run line of the deploy file with settings after its template."""

    def __init__(self, folder, name, ip, peer_port, seeds, store, cloud, advice):
        self.name, self.ip, self.folder = name, ip, folder
        self.front = f"{ip}:{free_port((ip,))}"
        self.ready = f"{ip}:{free_port((ip,))}"
        self.fields = {
            "nodeName": name, "zone": "zone-a", "ip": ip, "advice": advice, "seeds": seeds, "portRange": [peer_port, peer_port + 15],
            "limits": {"cpuShare": 0.75, "cores": 1}, "listen": {"front": self.front, "ready": self.ready},
            "platform": {"addr": store, "readsPerS": 2000.0, "writesPerS": 600.0, "partWritesS": 300, "txMs": 3.0},
            "cloud": {"addr": cloud},
            "bounds": {"graceS": 6, "leaseMs": 3000, "holdMaxMs": HOLD_MAX_MS, "remoteFactor": 1.5},
        }
        self.process = None

    def _value(self, path):
        value = self.fields
        for part in path.split("."):
            value = value[int(part)] if isinstance(value, list) else (value or {}).get(part)
        return value

    def _fill(self, match):
        name, _, form = match.group(1).partition("|")
        value = self._value(name)
        if form == "json":
            return json.dumps(value)
        return "" if value is None else ",".join(map(str, value)) if isinstance(value, list) else str(value)

    def start(self):
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        role = deploy["roles"]["entry"]
        settings = self.folder / f"{self.name}.toml"
        # The metrics address of the template has a fixed port; a free one is used instead.
        template = (ROOT / role["template"]).read_text().replace("{{ip}}:9464", f"{self.ip}:{free_port((self.ip,))}")
        settings.write_text(re.sub(r"\{\{([^}]+)\}\}", self._fill, template))
        env = {key: os.environ[key] for key in ("PATH", "HOME", "JAVA_HOME", "LANG") if key in os.environ}
        env["CORIANDERROCK_NODE_FILE"] = str(settings)
        log = open(self.folder / f"{self.name}.log", "a")
        self.process = subprocess.Popen(shlex.split(role["run"]), cwd=ROOT, env=env, stdout=log, stderr=log)

    def signal(self, number):
        self.process.send_signal(number)

    def end(self):
        if self.process and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()


async def call(address, method, path, body=None, host="q.example", timeout_s=3.0):
    """One HTTP call on its own connection; returns (status or None, decoded body or None)."""
    async def exchange():
        name, port = address.split(":")
        reader, writer = await asyncio.open_connection(name, int(port))
        try:
            text = b"" if body is None else json.dumps(body).encode()
            writer.write((
                f"{method} {path} HTTP/1.1\r\nHost: {host}\r\nContent-Type: application/json\r\nContent-Length: {len(text)}\r\n"
                f"Corianderrock-Deadline-Ms: {int(timeout_s * 1000)}\r\nConnection: close\r\n\r\n"
            ).encode() + text)
            head = (await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
            rest = await reader.read()
            try:
                return int(head[0].split(" ")[1]), json.loads(rest)
            except ValueError:
                return int(head[0].split(" ")[1]), None
        finally:
            writer.close()
    try:
        return await asyncio.wait_for(exchange(), timeout_s)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
        return None, None


CONFIG = {
    "version": 3,
    "routes": [{"name": "q", "host": "q.example", "prefix": "/q/", "service": "svc", "priority": 0, "attempts": 3,
                "stretchFactor": 1.6, "targetLatencyMs": 600, "timeoutMs": 3000}],
    "services": [{"name": "svc", "admissionCheck": False}],
    "limits": {},
}


class Deployment:
    """A store, a machine service, workers of one service, machines in standby and two entries."""

    def __init__(self, record, run_ms, worker_count=4, entry_count=2, standby_count=0):
        self.record = record
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.store = Store(record)
        self.workers = {}
        self.run_ms, self.worker_count, self.entry_count, self.standby_count = run_ms, worker_count, entry_count, standby_count
        self.machines = Machines(record, self.workers, self.add_worker)
        self.entries = []
        self.advice = ""
        self.route_fields = {}

    async def add_worker(self, machine, rack):
        worker = Worker(self.record, self.store, machine, "svc", rack, self.run_ms)
        self.workers[machine] = worker
        await worker.start()
        return worker

    async def start(self):
        spare = [{"name": STANDBY, "admissionCheck": False, "standby": True}] if self.standby_count else []
        await self.store.put("op", "config", {
            **CONFIG, "routes": [{**CONFIG["routes"][0], **self.route_fields}], "services": CONFIG["services"] + spare,
        })
        store, cloud = f"127.0.0.1:{free_port()}", f"127.0.0.1:{free_port()}"
        await self.store.server.start(*store.split(":"))
        await self.machines.server.start(*cloud.split(":"))
        for index in range(self.worker_count + self.standby_count):
            pool = "svc" if index < self.worker_count else STANDBY
            self.machines.add(f"m-{index}", pool, f"r-{index % 2}")
            if pool != STANDBY:
                await self.add_worker(f"m-{index}", f"r-{index % 2}")
        hosts = [f"127.0.0.{2 + index}" for index in range(self.entry_count)]
        peer_port = free_port(hosts)
        for index, host in enumerate(hosts):
            entry = Entry(self.folder, f"edge-{index}", host, peer_port, [f"{h}:{peer_port}" for h in hosts], store, cloud, self.advice)
            self.entries.append(entry)
            entry.start()
        for _ in range(200):
            if all([(await call(entry.ready, "GET", "/v1/readyz", timeout_s=0.5))[0] == 200 for entry in self.entries]):
                return True
            await asyncio.sleep(0.1)
        return False

    def end(self):
        for entry in self.entries:
            entry.end()
