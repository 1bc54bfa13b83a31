"""Seeded soak of gateway daemons before engines that respond in every way that ends early or late.

By hand: ``python -m magnoliarouter.tests.response_soak --seeds 50``.
"""

from __future__ import annotations

import asyncio
import random
import sys
from collections import Counter, defaultdict
from dataclasses import dataclass, field

from magnoliarouter.core.status import find_status_error
from magnoliarouter.tests.broken_answers import INVALID_STATUSES
from magnoliarouter.tests.daemons import kill_gateway, start_gateway
from magnoliarouter.tests.platform_standin import StoreStandin, build_configuration
from magnoliarouter.tests.raw_server import RawPeer, RawServer
from magnoliarouter.tests.soakplay import play_seeds

EVENT_COUNT = 10
DEADLINE_S = 1.5
KINDS = {"/s/": "streaming", "/a/": "safe", "/o/": "unsafe"}
# A request that was sent this long before a notice arrived may still reach its endpoint.
IN_FLIGHT_S = 0.1
PAUSE_S = 0.4
PROMISES_NOT_RUN = (408, 421, 429, 503)
FAULT_SHARE = 0.25
STREAM_FAULTS = (
    "reset",
    "cut in event",
    "reset in event",
    "no last chunk",
    "ends in event",
    "empty",
    "endless event",
    "trickle",
    "other type",
    "unsigned",
    "status",
)
BODY_FAULTS = (
    "reset",
    "cut",
    "endless",
    "endless head",
    "trickle",
    "unsigned",
    "surplus",
    "status",
)
REFUSALS = ("full", "pause", "error", "lost", "status")


def build_event(request_id: str, number: int) -> bytes:
    return f"id: {number}\ndata: {request_id}-{number}\n\n".encode()


@dataclass
class Log:
    """What endpoints and callers saw.

    Parameters
    ----------
    runs : dict
        Endpoints at which each request ran, by request id.
    arrivals : dict
        Loop times at which requests reached an endpoint, with their ids.
    pauses : list
        Endpoint, request id, and loop times of the start and end of each pause.
    violations : list
        Broken promises.
    counts : Counter
        Responses by kind and status, and faults played.
    """

    runs: dict[str, list[str]] = field(default_factory=lambda: defaultdict(list))
    arrivals: dict[str, list[tuple[float, str]]] = field(default_factory=lambda: defaultdict(list))
    pauses: list[tuple[str, str, float, float]] = field(default_factory=list)
    violations: list[str] = field(default_factory=list)
    counts: Counter[str] = field(default_factory=Counter)


@dataclass(frozen=True)
class Sent:
    """Request of a caller: to which daemon, by which route, and when."""

    daemon: int
    prefix: str
    at: float


class SoakEngine:
    """Engine that responds whole or in a way that its seed draws."""

    def __init__(self, name: str, rng: random.Random, log: Log) -> None:
        self.name, self.rng, self.log = name, rng, log
        self.leaving = False

    async def start(self) -> SoakEngine:
        self.server = await RawServer(self.serve).start()
        return self

    def build_entry(self) -> dict[str, object]:
        return {
            "service": "app",
            "address": self.server.address,
            "zone": f"zone-{self.rng.randint(1, 2)}",
            "slots": 6,
            "state": "ready",
        }

    async def serve(self, peer: RawPeer) -> None:
        while True:
            head, _ = await peer.read_message()
            lines = head.split("\r\n")
            fields = dict(line.split(": ", 1) for line in lines[1:] if line)
            path, request_id = lines[0].split()[1], fields.get("X-Request-Id", "")
            if not request_id:
                await peer.send(b"HTTP/1.1 404 None\r\nContent-Length: 0\r\n\r\n")
                continue
            self.log.arrivals[self.name].append((self.now(), request_id))
            if not await self.respond(peer, path, request_id, fields):
                return

    def now(self) -> float:
        return asyncio.get_running_loop().time()

    def build_head(self, request_id: str, status: int | str = 200, **fields: str) -> bytes:
        named = {"X-Request-Id": request_id, "X-Server-Stamp": self.name, **fields}
        if self.leaving:
            named["Server-Leaving"] = "1"
        lines = [f"HTTP/1.1 {status} Status"]
        lines += [f"{name.replace('_', '-')}: {value}" for name, value in named.items() if value]
        return "\r\n".join(lines).encode() + b"\r\n"

    async def respond(
        self, peer: RawPeer, path: str, request_id: str, fields: dict[str, str]
    ) -> bool:
        """Respond to one request and return whether the connection stays open."""
        refusal = self.rng.choice(REFUSALS) if self.rng.random() < FAULT_SHARE / 2 else ""
        if refusal in ("full", "pause"):
            self.log.counts[refusal] += 1
            pause = {"Retry_After": f"{PAUSE_S}"} if refusal == "pause" else {}
            if pause:
                self.log.pauses.append((self.name, request_id, self.now(), self.now() + PAUSE_S))
            head = self.build_head(request_id, 503, X_Not_Executed="1", **pause)
            await peer.send(head + b"Content-Length: 0\r\n\r\n")
            return True
        self.log.runs[request_id].append(self.name)
        await asyncio.sleep(self.rng.random() * 0.02)
        if refusal:
            self.log.counts[refusal] += 1
            proof = {"X_Not_Executed": "1"} if refusal == "status" else {}
            if refusal != "lost":
                head = self.build_head(request_id, self.draw_status(refusal, 500), **proof)
                await peer.send(head + b"Content-Length: 0\r\n\r\n")
            return refusal != "lost"
        if KINDS[path[:3]] == "streaming":
            return await self.stream(peer, request_id, int(fields.get("Last-Event-Id", "0")))
        return await self.send_body(peer, request_id)

    def draw_status(self, fault: str, status: int) -> int | str:
        return self.rng.choice(INVALID_STATUSES) if fault == "status" else status

    async def send_body(self, peer: RawPeer, request_id: str) -> bool:
        body = f"body of {request_id} at {self.name}".encode()
        fault = self.rng.choice(BODY_FAULTS) if self.rng.random() < FAULT_SHARE else ""
        self.log.counts[f"body {fault}"] += 1
        stamp = {"X_Server_Stamp": ""} if fault == "unsigned" else {}
        head = self.build_head(request_id, self.draw_status(fault, 200), **stamp)
        length = b"Content-Length: %d\r\n\r\n" % len(body)
        match fault:
            case "reset":
                await peer.send(head + b"\r\n" + body[:-3])
                await asyncio.sleep(0.01)
                peer.reset()
            case "cut":
                await peer.send(head + length + body[:-3])
            case "endless" | "endless head":
                await peer.send(head + (b"\r\n" if fault == "endless" else b""))
                while True:
                    await peer.send(b"X-More: " + b"x" * 8000 + b"\r\n")
            case "trickle":
                await self.trickle(peer, head + length, body)
            case "surplus":
                await peer.send((head + length + body) * 2)
            case _ if self.rng.random() < 0.3:
                await peer.send(head + b"\r\n" + body)
            case _:
                await peer.send(head + length + body)
                return True
        return False

    async def trickle(self, peer: RawPeer, head: bytes, body: bytes) -> None:
        await peer.send(head)
        for value in body:
            await peer.send(bytes([value]))
            await asyncio.sleep(0.1)

    async def stream(self, peer: RawPeer, request_id: str, after: int) -> bool:
        events = [build_event(request_id, number) for number in range(after + 1, EVENT_COUNT + 1)]
        fault = self.rng.choice(STREAM_FAULTS) if self.rng.random() < FAULT_SHARE else ""
        self.log.counts[f"stream {fault}"] += 1
        chunked = fault == "no last chunk" or self.rng.random() < 0.5
        fields = {"Content_Type": "text/event-stream"}
        if fault == "other type":
            fields["Content_Type"] = "text/plain"
        if fault == "unsigned":
            fields["X_Server_Stamp"] = ""
        head = self.build_head(request_id, self.draw_status(fault, 200), **fields)
        await peer.send(head + (b"Transfer-Encoding: chunked\r\n\r\n" if chunked else b"\r\n"))

        async def send(data: bytes) -> None:
            await peer.send(b"%x\r\n%b\r\n" % (len(data), data) if chunked else data)

        if fault == "empty" and not chunked:
            return False
        cut = self.rng.randrange(len(events)) if fault and events else len(events)
        for event in events[:cut]:
            await send(event)
            if self.rng.random() < 0.5:
                await asyncio.sleep(0.002)
        partial = events[cut][:-4] if cut < len(events) else b"id: 99\nda"
        match fault:
            case "reset" | "reset in event":
                if fault == "reset in event":
                    await send(partial)
                await asyncio.sleep(0.01)
                peer.reset()
                return False
            case "cut in event":
                await send(partial)
                return False
            case "no last chunk":
                return False
            case "ends in event":
                await send(partial)
            case "endless event":
                while True:
                    await send(b"x" * 8000)
            case "trickle":
                for value in partial * 4:
                    await send(bytes([value]))
                    await asyncio.sleep(0.1)
                return False
            case _:
                for event in events[cut:]:
                    await send(event)
        if chunked:
            await peer.send(b"0\r\n\r\n")
        return chunked


@dataclass
class SoakSite:
    """Daemons, engines and callers of one run.

    Parameters
    ----------
    seed : int
        Seed of all draws.
    seconds : float
        Time during which requests are sent.
    """

    seed: int
    seconds: float
    daemon_count: int = 2
    engine_count: int = 4
    callers: int = 6
    log: Log = field(default_factory=Log)
    engines: dict[str, SoakEngine] = field(default_factory=dict)
    # Loop times at which callers received an engine's word that it leaves, by daemon and engine.
    told: dict[tuple[int, str], float] = field(default_factory=dict)
    sent: dict[str, Sent] = field(default_factory=dict)

    async def run(self) -> Log:
        """Play the run and return what was seen."""
        self.rng = random.Random(self.seed)
        self.store = await StoreStandin().start()
        await self.store.put("config", "main", build_soak_configuration())
        for number in range(self.engine_count):
            await self.add_engine(f"e{number}")
        self.daemons = [
            await start_gateway(self.store.address, f"front-{number}")
            for number in range(self.daemon_count)
        ]
        try:
            await asyncio.sleep(0.8)
            end = asyncio.get_running_loop().time() + self.seconds
            await asyncio.gather(
                self.replace_engines(end),
                *(
                    self.call(daemon, random.Random(self.rng.random()), end)
                    for daemon in range(self.daemon_count)
                    for _ in range(self.callers)
                ),
            )
        finally:
            await self.close()
        self.check_runs()
        return self.log

    async def add_engine(self, name: str) -> None:
        engine = await SoakEngine(name, random.Random(self.rng.random()), self.log).start()
        self.engines[name] = engine
        await self.store.put("servers", name, engine.build_entry())

    async def close(self) -> None:
        for daemon in self.daemons:
            kill_gateway(daemon)
        for engine in self.engines.values():
            await engine.server.stop()
        self.store.server.abort_all()
        self.store.server.stop_listening()

    async def replace_engines(self, end: float) -> None:
        """Have one engine after the other leave by its own word; its entry stays for a while."""
        number = self.engine_count
        while asyncio.get_running_loop().time() < end - 1.0:
            await asyncio.sleep(0.5 + self.rng.random())
            engine = self.rng.choice([one for one in self.engines.values() if not one.leaving])
            await self.add_engine(f"e{number}")
            number += 1
            engine.leaving = True

    async def call(self, daemon: int, rng: random.Random, end: float) -> None:
        while asyncio.get_running_loop().time() < end:
            prefix = rng.choice(list(KINDS))
            request_id = f"{rng.getrandbits(48):012x}"
            try:
                async with asyncio.timeout(DEADLINE_S + 1.0):
                    await self.send_request(daemon, prefix, request_id)
            except TimeoutError:
                self.log.violations.append(f"{request_id} {prefix}: no end by its deadline")

    async def send_request(self, daemon: int, prefix: str, request_id: str) -> None:
        loop = asyncio.get_running_loop()
        peer = await RawPeer.connect(self.daemons[daemon].settings.listen)
        self.sent[request_id] = Sent(daemon, prefix, loop.time())
        try:
            await peer.send(
                f"POST {prefix}x HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: {request_id}\r\n"
                f"X-Deadline-Ms: {DEADLINE_S * 1000:.0f}\r\nAuthorization: Bearer key-1\r\n"
                "Content-Length: 0\r\n\r\n".encode()
            )
            head = (await peer.reader.readuntil(b"\r\n\r\n")).decode()
            if "Server-Leaving: 1" in head:
                self.told.setdefault((daemon, read_field(head, "X-Server-Stamp")), loop.time())
            body, whole = await read_response_body(peer, head)
            self.check_response(prefix, request_id, head, body, whole)
        except (ConnectionError, asyncio.IncompleteReadError):
            self.log.counts[f"{prefix} broken off"] += 1
        finally:
            peer.close()

    def check_response(
        self, prefix: str, request_id: str, head: str, body: bytes, whole: bool
    ) -> None:
        status = int(head.split()[1])
        self.log.counts[f"{prefix} {status if whole else 'broken off'}"] += 1
        if reason := find_status_error(status):
            self.log.violations.append(f"{request_id} {prefix}: {reason}")
        if not whole:
            return
        runs = self.log.runs[request_id]
        if status in PROMISES_NOT_RUN and prefix == "/o/" and runs:
            self.log.violations.append(f"{request_id}: status {status}, but it ran at {runs}")
        if status != 200:
            return
        stamp = read_field(head, "X-Server-Stamp")
        if prefix == "/s/":
            expected = b"".join(build_event(request_id, n + 1) for n in range(EVENT_COUNT))
        else:
            expected = f"body of {request_id} at {stamp}".encode()
        if not stamp or body != expected:
            text = f"{request_id} {prefix}: complete at {stamp!r} and not whole: {body[-60:]!r}"
            self.log.violations.append(text)

    def check_runs(self) -> None:
        """Check what endpoints saw against what callers were told."""
        for request_id, runs in self.log.runs.items():
            if self.sent[request_id].prefix == "/o/" and len(runs) > 1:
                self.log.violations.append(f"{request_id}: ran at {runs}")
        for name, arrivals in self.log.arrivals.items():
            for at, request_id in arrivals:
                sent = self.sent[request_id]
                told_at = self.told.get((sent.daemon, name), float("inf"))
                if sent.at > told_at + IN_FLIGHT_S:
                    text = f"{request_id}: at {name}, which had said that it leaves"
                    self.log.violations.append(text)
                for paused, asked, start, until in self.log.pauses:
                    same = paused == name and self.sent[asked].daemon == sent.daemon
                    if same and start + IN_FLIGHT_S < at < until:
                        self.log.violations.append(f"{request_id}: at {name} during its pause")


def build_soak_configuration() -> dict[str, object]:
    configuration = build_configuration()
    route = configuration["routes"][0]
    configuration["routes"] = [
        {
            **route,
            "name": f"r{prefix}",
            "path_prefix": prefix,
            "kind": kind,
            "timeout_ms": DEADLINE_S * 1000,
            "attempts": 1 if kind == "unsafe" else 3,
            "resumable": kind == "streaming",
            "gap_aim_ms": 120,
        }
        for prefix, kind in KINDS.items()
    ]
    return configuration


def read_field(head: str, name: str) -> str:
    for line in head.split("\r\n")[1:]:
        if line.lower().startswith(name.lower() + ":"):
            return line.split(":", 1)[1].strip()
    return ""


async def read_response_body(peer: RawPeer, head: str) -> tuple[bytes, bool]:
    """Return the body and whether its frame says that it is complete."""
    if not read_field(head, "Transfer-Encoding"):
        length = int(read_field(head, "Content-Length"))
        return await peer.reader.readexactly(length), True
    body = b""
    try:
        while size := int(await peer.reader.readuntil(b"\r\n"), 16):
            body += await peer.reader.readexactly(size)
            await peer.reader.readexactly(2)
        await peer.reader.readexactly(2)
    except (asyncio.IncompleteReadError, ConnectionError):
        return body, False
    return body, True


async def play(seed: int, seconds: float) -> tuple[str, list[str]]:
    """Play a seed, and return a summary and the broken promises."""
    log = await SoakSite(seed, seconds).run()
    requests = sum(count for name, count in log.counts.items() if name.startswith("/"))
    return f"{requests} requests, {len(log.violations)} broken promises", log.violations


if __name__ == "__main__":
    sys.exit(play_seeds(__doc__, play))
