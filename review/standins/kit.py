"""Stand-ins for the review's scripts: the platform's store, engines of an application, clients.

Only the standard library is used. All addresses are loopback addresses. The stand-ins follow
PROTOCOL.md; what it leaves open is done as a sound server or client would do it.
"""

from __future__ import annotations

import asyncio
import json
import os
import random
import signal
import socket
import sys
import tempfile
import time
from pathlib import Path
from urllib.parse import parse_qs, unquote

ROOT = Path(__file__).resolve().parents[2]
STATUS_PORT = 9464
REASONS = {200: "OK", 404: "Not Found", 409: "Conflict", 410: "Gone", 421: "Misdirected Request", 503: "Service Unavailable"}


class CannotRun(Exception):
    """The case could not be played, so that it says nothing of the rule."""


class Record:
    """What was sent, answered and run, with seconds since the start of the script."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.start = time.monotonic()

    def now(self):
        return time.monotonic() - self.start

    def write(self, text):
        self.file.write(f"{self.now():9.3f} {text}\n")
        self.file.flush()

    def close(self):
        self.file.close()


# --- HTTP ----------------------------------------------------------------------------------------


async def read_head(reader):
    """Return the first line and the header fields of a message, or None at the end."""
    try:
        data = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = data[:-4].split(b"\r\n")
    fields = {}
    for line in lines[1:]:
        name, _, value = line.partition(b":")
        fields[name.strip().lower().decode("latin-1")] = value.strip().decode("latin-1")
    return lines[0].decode("latin-1"), fields


async def read_body(reader, fields):
    if fields.get("transfer-encoding", "").lower() == "chunked":
        parts = []
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            if not size:
                await reader.readuntil(b"\r\n")
                return b"".join(parts)
            parts.append(await reader.readexactly(size))
            await reader.readexactly(2)
    return await reader.readexactly(int(fields.get("content-length", 0)))


def encode_response(status, fields, body=b""):
    lines = [f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}"]
    lines += [f"{name}: {value}" for name, value in fields]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


class Server:
    """Accepts connections at a loopback address until it is closed."""

    def __init__(self):
        self.tasks = set()
        self.writers = set()

    async def listen(self, host, port=0, limit=65536):
        self.server = await asyncio.start_server(self._accept, host, port, limit=limit)
        self.address = "%s:%d" % self.server.sockets[0].getsockname()[:2]
        return self

    async def _accept(self, reader, writer):
        self.tasks.add(asyncio.current_task())
        self.writers.add(writer)
        try:
            await self.serve(reader, writer)
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.tasks.discard(asyncio.current_task())
            self.writers.discard(writer)
            writer.close()

    def close(self):
        """End as a process does: nothing listens, and all connections are closed."""
        self.server.close()
        for writer in list(self.writers):
            writer.close()
        for task in list(self.tasks):
            task.cancel()


# --- the platform's store ------------------------------------------------------------------------


class Unreadable:
    """Value of an entry of another writer: bytes that the store keeps and returns as they are."""

    def __init__(self, data):
        self.data = data


class Store(Server):
    """The platform's metadata store: objects, revisions, watches with a history."""

    PAGE = 500
    HISTORY_S = 20.0

    def __init__(self, record):
        super().__init__()
        self.record = record
        self.revision = 1
        self.objects = {}
        self.history = []
        self.dropped_up_to = 0
        self.changed = asyncio.Event()
        self.calls = 0

    def put(self, kind, name, spec):
        """Write an object, and return the time of the acknowledgement."""
        self._change(kind, name, spec)
        return self.record.now()

    def remove(self, kind, name):
        old = self.objects.pop((kind, name), None)
        if old is not None:
            self.revision += 1
            self._tell(kind, old, True)
        return self.record.now()

    def _change(self, kind, name, spec):
        old = self.objects.get((kind, name))
        if old is not None and same_entry(kind, old["spec"], spec):
            return old
        self.revision += 1
        item = {
            "metadata": {
                "name": name,
                "revision": self.revision,
                "create_revision": old["metadata"]["create_revision"] if old else self.revision,
                "finalizers": [],
                "deleting": False,
            },
            "spec": spec,
            "status": None,
        }
        self.objects[kind, name] = item
        self._tell(kind, item, False)
        return item

    def _tell(self, kind, item, deleted):
        now = time.monotonic()
        self.history.append((now, self.revision, kind, item, deleted))
        while self.history and now - self.history[0][0] > self.HISTORY_S:
            self.dropped_up_to = self.history.pop(0)[1]
        self.changed.set()
        self.changed = asyncio.Event()

    async def serve(self, reader, writer):
        while (head := await read_head(reader)) is not None:
            line, fields = head
            method, target, _ = line.split(" ", 2)
            body = await read_body(reader, fields)
            self.calls += 1
            status, value = await self.answer(method, target, body)
            writer.write(encode_response(status, [("Content-Type", "application/json")], encode_json(value)))
            await writer.drain()

    async def answer(self, method, target, body):
        path, _, query = target.partition("?")
        options = {name: values[0] for name, values in parse_qs(query).items()}
        parts = [unquote(part) for part in path.split("/")[3:]]
        if method == "GET" and len(parts) == 1:
            if "watch" in options:
                return await self.watch(parts[0], int(options["watch"]), int(options.get("wait_ms", 0)) / 1000)
            return self.list(parts[0], options.get("after_revision", ""))
        if method == "GET":
            item = self.objects.get((parts[0], parts[1]))
            return (200, item) if item else (404, {"error": "no such object"})
        value = json.loads(body) if body else {}
        meta = value.get("metadata", {})
        if method == "POST":
            current = self.objects.get((parts[0], meta["name"]))
            if current is not None:
                return 409, current
            return 200, self._change(parts[0], meta["name"], value.get("spec"))
        current = self.objects.get((parts[0], parts[1]))
        if current is None:
            return 404, {"error": "no such object"}
        expected = meta.get("revision") or (int(options["revision"]) if "revision" in options else None)
        if expected is not None and expected != current["metadata"]["revision"]:
            return 409, current
        if method == "PUT":
            return 200, self._change(parts[0], parts[1], value.get("spec"))
        self.remove(parts[0], parts[1])
        return 200, current

    def list(self, kind, after):
        names = sorted(name for other, name in self.objects if other == kind and name > after)
        page = names[: self.PAGE]
        items = [self.objects[kind, name] for name in page]
        return 200, {"items": items, "has_more": len(names) > len(page), "at": self.revision}

    async def watch(self, kind, after, wait_s):
        until = time.monotonic() + min(wait_s, 30.0)
        while True:
            if after < self.dropped_up_to:
                return 410, {"error": "this history is gone"}
            events = [
                {"object": item, "deleted": deleted}
                for _, revision, other, item, deleted in self.history
                if other == kind and revision > after
            ]
            left_s = until - time.monotonic()
            if events or left_s <= 0:
                return 200, {"events": events, "at": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), left_s)
            except TimeoutError:
                pass


def same_entry(kind, old, new):
    """Return whether a write changes nothing; an engine's entry changes when more than `sequence` does."""
    if kind == "servers" and isinstance(old, dict) and isinstance(new, dict):
        return {**old, "sequence": 0} == {**new, "sequence": 0}
    return old == new


def encode_json(value):
    """Encode an answer of the store; an unreadable value is put in as it is."""
    raw = {}

    def mark(found):
        key = f"@unreadable-{len(raw)}@"
        raw[f'"{key}"'.encode()] = found.data
        return key

    data = json.dumps(value, separators=(",", ":"), default=mark).encode()
    for key, found in raw.items():
        data = data.replace(key, found)
    return data


# --- engines -------------------------------------------------------------------------------------


class Engine(Server):
    """Engine of an application service: one request at a time on a connection, so many at once."""

    def __init__(self, identity, service, zone, record, slots=6, work_s=0.03):
        super().__init__()
        self.identity, self.service, self.zone = identity, service, zone
        self.record, self.slots, self.work_s = record, slots, work_s
        self.state, self.sequence = "ready", 0
        self.born = int(time.time() * 1000)
        self.places = asyncio.Semaphore(slots)
        self.runs = []
        self.arrivals = []
        self.beats = None

    def entry(self):
        return {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": self.state,
            "cold_remaining_ms": 0,
            "sequence": self.sequence,
            "born": self.born,
        }

    def register(self, store, heartbeat_s=1.2):
        async def beat():
            while True:
                self.sequence += 1
                store.put("servers", self.identity, self.entry())
                await asyncio.sleep(heartbeat_s)

        self.beats = asyncio.get_running_loop().create_task(beat())

    def drain(self, store):
        """Report `draining`, and return the time of the store's acknowledgement."""
        self.state = "draining"
        self.sequence += 1
        return store.put("servers", self.identity, self.entry())

    def crash(self):
        """End without a word: nothing listens any more, connections break, no entry is written."""
        if self.beats is not None:
            self.beats.cancel()
        for writer in list(self.writers):
            writer.transport.abort()
        self.close()

    def leave(self, store):
        """End: the entry is removed, nothing listens any more."""
        if self.beats is not None:
            self.beats.cancel()
        store.remove("servers", self.identity)
        self.close()

    async def serve(self, reader, writer):
        while (head := await read_head(reader)) is not None:
            line, fields = head
            request_id = fields.get("x-request-id", "")
            body = await read_body(reader, fields)
            self.arrivals.append((self.record.now(), request_id))
            if fields.get("x-expect-instance") not in (None, self.identity):
                writer.write(encode_response(421, [("X-Instance-Id", self.identity), ("X-Request-Id", request_id)]))
            elif self.places.locked():
                writer.write(encode_response(503, [("X-Not-Executed", "1"), ("X-Request-Id", request_id)]))
            else:
                async with self.places:
                    self.runs.append((self.record.now(), request_id))
                    self.record.write(f"run {request_id} at {self.identity}, {self.state}, {len(body)} bytes")
                    await asyncio.sleep(self.work_s)
                fields_out = [("X-Request-Id", request_id), ("X-Server-Stamp", f"{self.identity}.{request_id}"), ("Keep-Alive", "timeout=5")]
                writer.write(encode_response(200, fields_out, b"x" * 800))
            await writer.drain()


class StreamEngine(Engine):
    """Engine whose responses are streams of events; a stream goes on behind `Last-Event-Id`."""

    EVENTS, GAP_S = 55, 0.1

    def __init__(self, *arguments, **options):
        super().__init__(*arguments, **options)
        self.starts = []

    async def serve(self, reader, writer):
        while (head := await read_head(reader)) is not None:
            line, fields = head
            request_id = fields.get("x-request-id", "")
            await read_body(reader, fields)
            self.arrivals.append((self.record.now(), request_id))
            named = [("X-Request-Id", request_id)]
            if fields.get("x-expect-instance") not in (None, self.identity):
                writer.write(encode_response(421, [("X-Instance-Id", self.identity), *named]))
            elif line.startswith("GET /v1/report"):
                report = {"stage": "both", "models": [{"name": "m", "version": 1, "adapters": []}], "busy": False, "sequence": 0, "waiting": 0, "running": 0, "kv_used": 0, "kv_total": 247000, "handles": 0}
                writer.write(encode_response(200, [("Content-Type", "application/json")], json.dumps(report).encode()))
            elif line.startswith("GET /health"):
                writer.write(encode_response(200, [("X-Instance-Id", self.identity)]))
            elif self.places.locked():
                writer.write(encode_response(503, [("X-Not-Executed", "1"), *named]))
            else:
                async with self.places:
                    await self.stream(request_id, fields, writer)
            await writer.drain()

    async def stream(self, request_id, fields, writer):
        after = int(fields.get("last-event-id") or 0)
        self.starts.append((self.record.now(), request_id, fields.get("x-tenant", ""), after))
        self.record.write(f"run {request_id} at {self.identity}, X-Tenant {fields.get('x-tenant')}, after event {after}")
        lines = ["HTTP/1.1 200 OK", f"X-Request-Id: {request_id}", f"X-Server-Stamp: {self.identity}.{request_id}", "Content-Type: text/event-stream", "Transfer-Encoding: chunked", "Keep-Alive: timeout=5"]
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())
        for number in range(after + 1, self.EVENTS + 1):
            await asyncio.sleep(self.GAP_S)
            event = f"id: {number}\ndata: {request_id} piece {number}\n\n".encode()
            writer.write(b"%x\r\n%b\r\n" % (len(event), event))
            await writer.drain()
        writer.write(b"0\r\n\r\n")


# --- daemons -------------------------------------------------------------------------------------


def build_configuration(version, service="app", host="app.example", timeout_ms=1500, **more):
    routes = [
        {"name": "r-order", "host": host, "path_prefix": "/order/", "kind": "unsafe", "timeout_ms": timeout_ms, "target_latency_ms": 200, "priority": 2, "service": service, "attempts": 2, "public": False},
        {"name": "r-look", "host": host, "path_prefix": "/look/", "kind": "safe", "timeout_ms": timeout_ms, "target_latency_ms": 200, "priority": 2, "service": service, "attempts": 2, "public": False},
    ]
    return {
        "version": version,
        "routes": routes,
        "services": [{"name": service, "health_path": "/health", "max_connections": 110, "protocol": "h1", "tls": False}],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
        "tenants": [{"name": "tenant-1", "api_keys": ["key-1"], "priority": 1}],
        **more,
    }


def find_host(taken):
    """Return a loopback address at which the port of the metrics is free."""
    for _ in range(200):
        host = f"127.{random.randint(64, 126)}.{random.randint(1, 250)}.{random.randint(2, 250)}"
        if host in taken:
            continue
        with socket.socket() as probe:
            try:
                probe.bind((host, STATUS_PORT))
            except OSError:
                continue
        return host
    raise CannotRun("no loopback address is free")


def find_ports(host, count):
    sockets = [socket.socket() for _ in range(count)]
    try:
        for one in sockets:
            one.bind((host, 0))
        return [one.getsockname()[1] for one in sockets]
    finally:
        for one in sockets:
            one.close()


class Daemon:
    """A gateway daemon of the deploy file, as a process of its own."""

    def __init__(self, name, zone, store, folder, taken, bounds="", memory_mb=300):
        self.name, self.zone = name, zone
        self.host = find_host(taken)
        taken.add(self.host)
        self.front, self.ready, peers = find_ports(self.host, 3)
        self.folder = Path(folder)
        self.settings = self.folder / f"{name}.toml"
        self.process = None
        self.log = open(self.folder / f"{name}.log", "ab")
        self.settings.write_text(
            f'node_name = "{name}"\nrole = "entry"\nmachine_class = "front"\nserves = ["front"]\n'
            f'ip = "{self.host}"\nzone = "{zone}"\nregion = "region-1"\nport_range = [{peers}, {peers + 15}]\n'
            f'[listen]\nfront = "{self.host}:{self.front}"\nready = "{self.host}:{self.ready}"\n'
            f"[limits]\ncpu_share = 0.537\ncores = 2\nmemory_mb = {memory_mb}\nmax_fds = 4100\nlink_mbps = 1000.0\n"
            "[bounds]\nseed_lag_s = 3\nreuse_after_s = 2\ncontact_ms = 3000\nack_ms = 4000\ncatch_up_s = 4\n"
            "drain_ms = 2000\ngrace_s = 8\nloss_slack_ms = 200\nconfig_ms = 2000\nrollback_slack_ms = 250\n"
            "max_skew_ms = 5000\nstrict_revocation = true\nrevoke_ms = 5000\nretry_budget_ratio = 0.2\n"
            f"budget_window_s = 10\nbudget_slack = 94\nrecover_s = 12\npass_ms = 120\n{bounds}"
            f'[platform]\naddress = "{store.address}"\nform = "objects"\nwrites_per_s = 400\nreads_per_s = 2000\nhistory_s = 20\n',
            encoding="utf-8",
        )

    async def start(self):
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        environment["MAGNOLIAROUTER_BOOT"] = str(self.settings)
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        self.process = await asyncio.create_subprocess_exec(
            "python3", "-m", "magnoliarouter.platform.main", cwd=ROOT, env=environment, stdout=self.log, stderr=self.log
        )

    async def is_ready(self):
        try:
            status, _ = await asyncio.wait_for(ask(self.host, self.ready, "GET /v1/ready", []), 1.0)
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            return False
        return status == 200

    def kill(self, number=signal.SIGKILL):
        if self.process is not None and self.process.returncode is None:
            try:
                self.process.send_signal(number)
            except ProcessLookupError:
                pass

    async def end(self, number=signal.SIGKILL):
        self.kill(number)
        if self.process is not None:
            await self.process.wait()


async def wait_until_ready(daemons, seconds=15.0):
    until = time.monotonic() + seconds
    while time.monotonic() < until:
        if all([await daemon.is_ready() for daemon in daemons]):
            return
        await asyncio.sleep(0.1)
    raise CannotRun("the daemons did not become ready")


async def ask(host, port, line, fields, body=b""):
    """Send one request on a new connection, and return status and header fields."""
    reader, writer = await asyncio.open_connection(host, port)
    try:
        lines = [f"{line} HTTP/1.1", "Host: app.example"] + [f"{name}: {value}" for name, value in fields]
        if body:
            lines.append(f"Content-Length: {len(body)}")
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body)
        head = await read_head(reader)
        if head is None:
            raise ConnectionResetError("closed without an answer")
        line, fields = head
        await read_body(reader, fields)
        return int(line.split(" ")[1]), fields
    finally:
        writer.close()


class Client:
    """Sends requests one after the other, each on a new connection, and records the answers."""

    numbers = iter(range(1, 1_000_000))

    def __init__(self, record, results, method="POST", path="/order/1", deadline_ms=1500, body=b"x" * 600):
        self.record, self.results = record, results
        self.method, self.path, self.deadline_ms, self.body = method, path, deadline_ms, body

    async def send(self, daemon):
        request_id = f"q{next(self.numbers):06d}"
        fields = [("X-Request-Id", request_id), ("X-Deadline-Ms", str(self.deadline_ms)), ("Authorization", "Bearer key-1")]
        body = self.body if self.method == "POST" else b""
        sent_at = self.record.now()
        self.record.write(f"sent {request_id} {self.method} {self.path} to {daemon.name}")
        try:
            status, _ = await asyncio.wait_for(
                ask(daemon.host, daemon.front, f"{self.method} {self.path}", fields, body),
                self.deadline_ms / 1000 + 0.5,
            )
            answer = str(status)
        except TimeoutError:
            answer = "no answer"
        except (OSError, asyncio.IncompleteReadError) as error:
            answer = f"connection failed: {type(error).__name__}"
        self.record.write(f"answer {request_id} {answer}")
        self.results.append((sent_at, self.record.now(), request_id, answer))
        return answer


def run_case(case, folder):
    """Play a case and exit with its result: 1 broken, 0 held, 2 could not run."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(Path(folder) / "record.txt")

    async def play():
        loop, task = asyncio.get_running_loop(), asyncio.current_task()
        loop.add_signal_handler(signal.SIGTERM, task.cancel)
        with tempfile.TemporaryDirectory() as scratch:
            context = Context(record, scratch, trouble)
            try:
                async with asyncio.timeout(115.0):
                    return await case(context)
            finally:
                await context.close()

    try:
        broken = asyncio.run(play())
        code = 1 if broken else 0
    except CannotRun as error:
        record.write(f"could not run: {error}")
        code = 2
    except TimeoutError:
        record.write("could not run: it took too long")
        code = 2
    except asyncio.CancelledError:
        record.write("could not run: it was ended")
        code = 2
    record.write(f"TROUBLE={int(trouble)}: " + {0: "the rule held", 1: "THE RULE IS BROKEN", 2: "no result"}[code])
    record.close()
    print(Path(folder, "record.txt").read_text(encoding="utf-8").splitlines()[-1])
    sys.exit(code)


class Context:
    """What one play of a case starts, and ends at its end."""

    def __init__(self, record, scratch, trouble):
        self.record, self.scratch, self.trouble = record, scratch, trouble
        self.daemons, self.servers, self.tasks, self.taken = [], [], [], set()

    async def open_store(self):
        self.store = await Store(self.record).listen("127.0.0.1", 0, limit=8 * 1048576)
        self.servers.append(self.store)
        return self.store

    async def open_engine(self, identity, zone="zone-a", kind=Engine, **options):
        engine = await kind(identity, "app", zone, self.record, **options).listen("127.0.0.1")
        self.servers.append(engine)
        engine.register(self.store)
        self.record.write(f"engine {identity} registers as ready at {engine.address}")
        return engine

    async def open_daemons(self, count, **options):
        zones = ("zone-a", "zone-b", "zone-c")
        self.daemons = [
            Daemon(f"front-{number + 1}", zones[number % 3], self.store, self.scratch, self.taken, **options)
            for number in range(count)
        ]
        for daemon in self.daemons:
            await daemon.start()
        await wait_until_ready(self.daemons)
        return self.daemons

    def spawn(self, coroutine):
        task = asyncio.get_running_loop().create_task(coroutine)
        self.tasks.append(task)
        return task

    async def close(self):
        for task in self.tasks:
            task.cancel()
        for daemon in self.daemons:
            daemon.kill()
        for daemon in self.daemons:
            await daemon.end()
            if os.environ.get("KEEP_LOGS"):
                Path(os.environ["KEEP_LOGS"], f"{daemon.name}.log").write_bytes((daemon.folder / f"{daemon.name}.log").read_bytes())
        for server in self.servers:
            if isinstance(server, Engine) and server.beats is not None:
                server.beats.cancel()
            server.close()
