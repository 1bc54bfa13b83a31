"""Store, daemons and records for the cases of the second review.

Only the standard library is used. The store follows "The platform's metadata store" of PROTOCOL.md;
daemons are started with the command of deploy/system.toml.
"""

from __future__ import annotations

import asyncio
import json
import os
import shlex
import sys
import time
import tomllib
from pathlib import Path
from urllib.parse import parse_qs, unquote

ROOT = Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, NOT_RUN = 0, 1, 2
# Ports for listening sockets, below those that the kernel gives to outgoing connections.
FIRST_PORT, LAST_PORT = 20_000, 30_000


class NotRunnable(Exception):
    """The case could not be run as described."""


class Record:
    """Lines of record.txt, with the seconds since the start."""

    def __init__(self, case: str) -> None:
        self._file = open(Path(case).resolve().parent / "record.txt", "w", encoding="utf-8")
        self._began = time.monotonic()

    def __call__(self, *words: object) -> None:
        at = time.monotonic() - self._began
        self._file.write(f"{at:8.3f} {' '.join(map(str, words))}\n")
        self._file.flush()


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    """Return the first line of a message, and its fields by their names in lower case."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    fields = {}
    for line in head.split("\r\n")[1:]:
        name, colon, value = line.partition(":")
        if colon:
            fields[name.lower()] = value.strip()
    return head.split("\r\n", 1)[0], fields


def encode_response(
    status: int, body: bytes, request_id: str | None = None, stamp: str = ""
) -> bytes:
    """Return an engine's response with a length; the id of the request is echoed if it has one."""
    lines = [f"HTTP/1.1 {status} Status"]
    if request_id is not None:
        lines.append(f"X-Request-Id: {request_id}")
    if stamp:
        lines.append(f"X-Server-Stamp: {stamp}")
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def encode_request(
    method: str, path: str, request_id: str, deadline_ms: int, body: bytes = b"", **fields: str
) -> bytes:
    """Return a client's request with a key."""
    lines = [
        f"{method} {path} HTTP/1.1",
        "Host: press.example",
        f"X-Request-Id: {request_id}",
        f"X-Deadline-Ms: {deadline_ms}",
        "Authorization: Bearer key-1",
        *(f"{name.replace('_', '-')}: {value}" for name, value in fields.items()),
    ]
    if method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


async def serve(handle) -> tuple[asyncio.Server, str]:
    """Start a server on a free loopback port; a closed connection ends `handle`."""

    async def run(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            await handle(reader, writer)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    server = await asyncio.start_server(run, "127.0.0.1", 0, backlog=512)
    return server, f"127.0.0.1:{server.sockets[0].getsockname()[1]}"


class Store:
    """The platform's store: objects by kind and name, lists, watches and conditional writes."""

    def __init__(self) -> None:
        self.revision = 1
        self.objects: dict[tuple[str, str], dict] = {}
        self.history: list[tuple[int, str, dict, bool]] = []
        self._changed = asyncio.Condition()

    async def start(self) -> Store:
        self._server, self.address = await serve(self._serve)
        return self

    async def put(self, kind: str, name: str, spec: object) -> None:
        """Write an object as the operator and the engines do."""
        self._write(kind, name, spec)
        await self._notify()

    def _write(self, kind: str, name: str, spec: object) -> dict:
        self.revision += 1
        old = self.objects.get((kind, name))
        created = old["metadata"]["create_revision"] if old else self.revision
        item = {
            "metadata": {
                "name": name,
                "revision": self.revision,
                "create_revision": created,
                "finalizers": [],
                "deleting": False,
            },
            "spec": spec,
            "status": None,
        }
        self.objects[kind, name] = item
        self.history.append((self.revision, kind, item, False))
        return item

    def _delete(self, kind: str, name: str) -> dict:
        item = self.objects.pop((kind, name))
        self.revision += 1
        self.history.append((self.revision, kind, item, True))
        return item

    async def _notify(self) -> None:
        async with self._changed:
            self._changed.notify_all()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            line, fields = await read_head(reader)
            body = await reader.readexactly(int(fields.get("content-length", 0)))
            method, target, _ = line.split()
            path, _, query = target.partition("?")
            options = {name: values[0] for name, values in parse_qs(query).items()}
            parts = [unquote(part) for part in path.strip("/").split("/")][2:]
            status, value = await self._respond(method, parts, options, body)
            writer.write(encode_response(status, json.dumps(value).encode()))
            await writer.drain()

    async def _respond(
        self, method: str, parts: list[str], options: dict[str, str], body: bytes
    ) -> tuple[int, object]:
        kind, name = parts[0], parts[1] if len(parts) > 1 else None
        if method == "GET" and name is None:
            if "watch" in options:
                return 200, await self._watch(
                    kind, int(options["watch"]), int(options["wait_ms"]) / 1000
                )
            names = sorted(one for other, one in self.objects if other == kind)
            items = [self.objects[kind, one] for one in names]
            return 200, {"items": items, "has_more": False, "at": self.revision}
        if method == "POST":
            value = json.loads(body)
            name = value["metadata"]["name"]
            if (kind, name) in self.objects:
                return 409, self.objects[kind, name]
            item = self._write(kind, name, value["spec"])
            await self._notify()
            return 200, item
        current = self.objects.get((kind, name))
        if current is None:
            return 404, {}
        if method == "GET":
            return 200, current
        value = json.loads(body) if method == "PUT" else {"metadata": {}}
        expected = value["metadata"].get("revision") or options.get("revision")
        if expected is not None and int(expected) != current["metadata"]["revision"]:
            return 409, current
        if method == "DELETE":
            item = self._delete(kind, name)
        elif value["spec"] == current["spec"]:
            return 200, current
        else:
            item = self._write(kind, name, value["spec"])
        await self._notify()
        return 200, item

    async def _watch(self, kind: str, after: int, wait_s: float) -> dict:
        def find() -> list[dict]:
            return [
                {"object": item, "deleted": deleted}
                for revision, other, item, deleted in self.history
                if other == kind and revision > after
            ]

        try:
            async with asyncio.timeout(wait_s), self._changed:
                await self._changed.wait_for(find)
        except TimeoutError:
            pass
        return {"events": find(), "at": self.revision}


def find_ports(host: str, count: int) -> list[int]:
    """Return free ports of a loopback address."""
    import random
    import socket

    found = []
    while len(found) < count:
        port = random.randrange(FIRST_PORT, LAST_PORT)
        with socket.socket() as tcp, socket.socket(type=socket.SOCK_DGRAM) as udp:
            try:
                tcp.bind((host, port))
                udp.bind((host, port))
            except OSError:
                continue
        if port not in found:
            found.append(port)
    return found


class Daemon:
    """A gateway daemon, started with the command of deploy/system.toml."""

    def __init__(self, host: str, name: str, zone: str, store: str, folder: Path, memory_mb: int):
        self.host, self.name = host, name
        self.memory_mb = memory_mb
        self.port, self.ready_port, peers = find_ports(host, 3)
        self._settings = folder / f"{name}.toml"
        self._log = open(folder / f"{name}.log", "w", encoding="utf-8")
        self._settings.write_text(
            f'node_name = "{name}"\nrole = "entry"\nmachine_class = "front"\nserves = ["front"]\n'
            f'ip = "{host}"\nzone = "{zone}"\nregion = "region-1"\n'
            f"port_range = [{peers}, {peers + 15}]\nbootstrap = true\nheartbeat_ms = 1200\n"
            f'[zones]\n{zone} = "region-1"\n'
            f'[listen]\nfront = "{host}:{self.port}"\nready = "{host}:{self.ready_port}"\n'
            f"[limits]\ncpu_share = 0.537\ncores = 2\nmemory_mb = {memory_mb}\nmax_fds = 4100\n"
            "link_mbps = 1000.0\ndisk_mb = 0\n"
            "[bounds]\nseed_lag_s = 3\nreuse_after_s = 2\ncontact_ms = 3000\nack_ms = 4000\n"
            "catch_up_s = 4\ndrain_ms = 2000\ngrace_s = 8\nloss_slack_ms = 200\n"
            "config_ms = 2000\nrollback_slack_ms = 250\nmax_skew_ms = 5000\n"
            "strict_revocation = true\nrevoke_ms = 5000\nretry_budget_ratio = 0.2\n"
            "budget_window_s = 10\nbudget_slack = 94\nrecover_s = 12\npass_ms = 120\n"
            "again_s = 0\nstall_ms = 1500\nenforce_fencing = true\n"
            f'[platform]\naddress = "{store}"\nform = "objects"\nwrites_per_s = 400\n'
            "reads_per_s = 2000\nhistory_s = 20\nvalue_bytes = 1048576\nttl_min_ms = 1000\n",
            encoding="utf-8",
        )
        self.process: asyncio.subprocess.Process | None = None

    async def start(self) -> None:
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text(encoding="utf-8"))
        command = shlex.split(deploy["roles"]["entry"]["run"])
        if not (ROOT / "target" / "deps").is_dir():
            raise NotRunnable("target/deps is missing; run the build of deploy/system.toml")
        environment = {
            name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ
        }
        environment |= {
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
            "MAGNOLIAROUTER_BOOT": str(self._settings),
        }
        self.process = await asyncio.create_subprocess_exec(
            *command, cwd=ROOT, env=environment, stdout=self._log, stderr=self._log
        )

    async def wait_until_ready(self, seconds: float = 15.0) -> None:
        """Probe readiness as the platform does, until the response is 200."""
        loop = asyncio.get_running_loop()
        end = loop.time() + seconds
        while loop.time() < end:
            try:
                reader, writer = await asyncio.open_connection(self.host, self.ready_port)
                writer.write(b"GET /v1/ready HTTP/1.1\r\nHost: ready\r\n\r\n")
                line, _ = await asyncio.wait_for(read_head(reader), 1.0)
                writer.close()
                if line.split()[1] == "200":
                    return
            except (OSError, asyncio.IncompleteReadError, TimeoutError):
                pass
            await asyncio.sleep(0.05)
        raise NotRunnable(f"daemon {self.name} is not ready after {seconds:g} s")

    async def end(self) -> None:
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()
        self._log.close()


def build_route(prefix: str, kind: str, service: str, **fields: object) -> dict:
    """Return a route of the operator's configuration."""
    return {
        "name": f"r-{prefix.strip('/')}",
        "host": "press.example",
        "path_prefix": prefix,
        "kind": kind,
        "priority": 1,
        "service": service,
        "public": False,
        **fields,
    }


def build_configuration(routes: list[dict], services: list[dict], **limits: int) -> dict:
    """Return the operator's configuration; the limits are those of the wire examples."""
    return {
        "version": 7,
        "routes": routes,
        "services": services,
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
            **limits,
        },
        "tenants": [{"name": "tenant-1", "api_keys": ["key-1"], "priority": 1}],
    }


def build_entry(service: str, address: str, zone: str, slots: int) -> dict:
    """Return the entry with which an engine registers."""
    return {
        "service": service,
        "address": address,
        "zone": zone,
        "version": "v1",
        "slots": slots,
        "state": "ready",
        "cold_remaining_ms": 0,
        "stage": "both",
        "models": [{"name": "m", "version": 1, "adapters": []}],
        "sequence": 4,
        "born": int(time.time() * 1000) - 5000,
    }


def run_case(main, seconds: float = 110.0) -> None:
    """Run a case and exit with its result; 2 if it could not be run."""

    async def run() -> int:
        async with asyncio.timeout(seconds):
            return await main()

    try:
        code = asyncio.run(run())
    except (NotRunnable, OSError, TimeoutError) as error:
        print(f"not run: {type(error).__name__}: {error}", file=sys.stderr)
        code = NOT_RUN
    print({HELD: "held", BROKEN: "broken", NOT_RUN: "not run"}[code])
    # Connections that are still open need no orderly end.
    sys.stdout.flush()
    os._exit(code)
