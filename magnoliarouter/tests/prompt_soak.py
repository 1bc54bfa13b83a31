"""Seeded soak of gateway daemons before engines that crash on one part of a prompt.

By hand: ``python -m magnoliarouter.tests.prompt_soak --seeds 50``.
"""

from __future__ import annotations

import asyncio
import random
import sys
from collections import Counter
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from magnoliarouter.tests.daemons import kill_gateway, start_gateway
from magnoliarouter.tests.platform_standin import StoreStandin, build_configuration
from magnoliarouter.tests.raw_server import RawPeer, RawServer
from magnoliarouter.tests.soakplay import play_seeds

if TYPE_CHECKING:
    from collections.abc import Callable

    from magnoliarouter.daemon.gateway import GatewayDaemon

EVENTS = [f"id: {number}\ndata: {number}\n\n".encode() for number in range(1, 7)]
FIRST_PART = "f1"
BAD_PART = "bad0"
DEADLINE_S = 2.0
CONTACT_S = 1.0
# Stated targets: crashes after which the part is to be known, requests with it that may reach
# engines later than `CONTACT_S` after the last of them, and the share of good requests that begin.
KNOWN_AFTER_CRASHES = 5
MAX_LATE_ARRIVALS = 3
MIN_GOOD_SHARE = 0.5
STALL_TICK_S = 0.05


@dataclass
class Log:
    """What engines and callers saw.

    Parameters
    ----------
    crashes : list of float
        Loop times at which engines crashed because of the bad part.
    arrivals : list of (float, str)
        Loop time and id of each request with the bad part that reached an engine.
    in_contact : set of str
        Requests with the bad part that a daemon got which had run for `CONTACT_S`.
    good : list of (float, bool)
        Loop time of each good request, and whether its response began and was complete.
    violations : list of str
        Broken promises.
    counts : Counter
        Responses by kind of request and status.
    """

    crashes: list[float] = field(default_factory=list)
    arrivals: list[tuple[float, str]] = field(default_factory=list)
    in_contact: set[str] = field(default_factory=set)
    good: list[tuple[float, bool]] = field(default_factory=list)
    violations: list[str] = field(default_factory=list)
    counts: Counter[str] = field(default_factory=Counter)
    # Longest time for which the loop of the run did not turn, in seconds.
    stalled_s: float = 0.0


@dataclass(frozen=True)
class Faults:
    """Faults beside the bad part, each with its probability or interval; 0 for none.

    Parameters
    ----------
    broken_off : float
        Share of good responses that are broken off by an engine that goes on.
    crash_interval_s, restart_interval_s : float
        Mean time between crashes of engines for other reasons, and between restarts of daemons.
    lost_datagrams : float
        Share of the datagrams between daemons that are lost.
    burst : int
        Requests with the bad part that come at each daemon at the same moment, as after an outage.
    """

    broken_off: float = 0.0
    crash_interval_s: float = 0.0
    restart_interval_s: float = 0.0
    lost_datagrams: float = 0.0
    burst: int = 0


class CrashingEngine:
    """Engine whose process ends when it begins to write an answer on the bad part."""

    def __init__(self, name: str, site: PromptSite) -> None:
        self.name, self.site = name, site
        self.down = False

    async def start(self) -> CrashingEngine:
        self.server = await RawServer(self.serve).start()
        await self.site.store.put("servers", self.name, self.build_entry())
        return self

    def build_entry(self) -> dict[str, object]:
        return {
            "service": "app",
            "address": self.server.address,
            "zone": "zone-1",
            "slots": 6,
            "state": "ready",
        }

    async def serve(self, peer: RawPeer) -> None:
        while True:
            head, body = await peer.read_message()
            lines = head.split("\r\n")
            fields = dict(line.split(": ", 1) for line in lines[1:] if line)
            if "X-Request-Id" not in fields:
                await peer.send(b"HTTP/1.1 404 None\r\nContent-Length: 0\r\n\r\n")
                continue
            await self.respond(peer, fields, body)

    async def respond(self, peer: RawPeer, fields: dict[str, str], body: bytes) -> None:
        request_id, parts = fields["X-Request-Id"], fields.get("X-Prompt-Prefix", "")
        bad = BAD_PART in [entry.split(":")[0] for entry in parts.split(",")]
        if bad:
            self.site.log.arrivals.append((self.site.now(), request_id))
        await asyncio.sleep(0.005 + self.site.rng.random() * 0.02)
        await peer.send(
            b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
            + f"X-Request-Id: {request_id}\r\nX-Server-Stamp: {self.name}\r\n".encode()
            + b"Transfer-Encoding: chunked\r\n\r\n"
        )
        if bad:
            await asyncio.sleep(0.005)
            await self.crash()
        broken_off = self.site.rng.random() < self.site.faults.broken_off
        after = int(fields.get("Last-Event-Id", "0"))
        for event in EVENTS[after:]:
            await asyncio.sleep(0.008)
            await peer.send(b"%x\r\n%b\r\n" % (len(event), event))
            if broken_off:
                peer.reset()
                raise ConnectionResetError
        await peer.send(b"0\r\n\r\n")

    async def crash(self) -> None:
        """End the process; nothing is sent any more."""
        if not self.down:
            self.site.log.crashes.append(self.site.now())
            self.site.crash(self)
        await asyncio.sleep(60)


@dataclass
class PromptSite:
    """Daemons, engines and callers of one run.

    Parameters
    ----------
    seed : int
        Seed of all draws.
    seconds : float
        Time during which requests are sent.
    faults : Faults
        Faults beside the bad part.
    bad_interval_s, good_interval_s : float
        Mean time between requests with the bad part, and between good ones, at each daemon.
    bounds : dict of str to float
        Changed bounds of the daemons' settings.
    """

    seed: int
    seconds: float
    faults: Faults = Faults()
    daemon_count: int = 3
    engine_count: int = 6
    bad_interval_s: float = 0.15
    good_interval_s: float = 0.03
    down_s: float = 0.4
    known_after_crashes: int = KNOWN_AFTER_CRASHES
    bounds: dict[str, float] = field(default_factory=lambda: {"contact_s": CONTACT_S})
    log: Log = field(default_factory=Log)
    engines: dict[str, CrashingEngine] = field(default_factory=dict)
    daemons: list[GatewayDaemon] = field(default_factory=list)
    started_at: dict[int, float] = field(default_factory=dict)

    def now(self) -> float:
        return asyncio.get_running_loop().time()

    async def run(self) -> Log:
        """Play the run, check it, and return what was seen."""
        await self.open()
        self.spawn(self.watch_stalls())
        try:
            await asyncio.sleep(0.8)
            await self.play(self.seconds)
        finally:
            await self.close()
        self.check()
        return self.log

    async def open(self) -> None:
        """Start the store, the engines and the daemons."""
        self.rng = random.Random(self.seed)
        self._tasks: set[asyncio.Task[None]] = set()
        self._number = 0
        self.store = await StoreStandin().start()
        await self.store.put("config", "main", self.build_configuration())
        for _ in range(self.engine_count):
            await self.add_engine()
        self.daemons = [await self.start_daemon(number) for number in range(self.daemon_count)]

    async def play(self, seconds: float) -> None:
        """Send requests for a time, while the faults come."""
        end = self.now() + seconds
        for daemon in range(self.daemon_count):
            for _ in range(self.faults.burst):
                self.spawn(self.send_request(daemon, True))
        callers = [
            self.send_requests(daemon, bad, interval_s, end)
            for daemon in range(self.daemon_count)
            for bad, interval_s in ((True, self.bad_interval_s), (False, self.good_interval_s))
        ]
        await asyncio.gather(*callers, self.crash_engines(end), self.restart_daemons(end))

    async def watch_stalls(self) -> None:
        """Measure how long the loop does not turn, which tells a starved run from a fault."""
        while True:
            slept_at = self.now()
            await asyncio.sleep(STALL_TICK_S)
            stalled_s = self.now() - slept_at - STALL_TICK_S
            self.log.stalled_s = max(self.log.stalled_s, stalled_s)

    async def add_engine(self) -> None:
        self._number += 1
        name = f"e{self._number}"
        self.engines[name] = await self.build_engine(name).start()

    def build_engine(self, name: str) -> CrashingEngine:
        return CrashingEngine(name, self)

    def build_configuration(self) -> dict[str, object]:
        return build_prompt_configuration()

    def crash(self, engine: CrashingEngine) -> None:
        """End an engine's process; it is back under another name after `down_s`."""
        engine.down = True
        self.spawn(self.restart_engine(engine))

    async def restart_engine(self, engine: CrashingEngine) -> None:
        await engine.server.stop()
        await asyncio.sleep(self.down_s)
        await self.store.put("servers", engine.name, None)
        del self.engines[engine.name]
        await self.add_engine()

    def spawn(self, coroutine) -> None:
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def start_daemon(self, number: int) -> GatewayDaemon:
        daemon = await start_gateway(self.store.address, f"front-{number}", **self.bounds)
        self.started_at[number] = self.now()
        received = daemon.peers.datagram_received

        def receive(data: bytes, addr: tuple[str, int]) -> None:
            if self.rng.random() >= self.faults.lost_datagrams:
                received(data, addr)

        daemon.peers.datagram_received = receive
        return daemon

    async def restart_daemon(self, number: int) -> None:
        kill_gateway(self.daemons[number])
        self.daemons[number] = await self.start_daemon(number)

    async def crash_engines(self, end: float) -> None:
        while self.faults.crash_interval_s:
            await asyncio.sleep(self.rng.expovariate(1 / self.faults.crash_interval_s))
            if self.now() > end:
                return
            good = [engine for engine in self.engines.values() if not engine.down]
            if good:
                self.crash(self.rng.choice(good))

    async def restart_daemons(self, end: float) -> None:
        while self.faults.restart_interval_s:
            await asyncio.sleep(self.rng.expovariate(1 / self.faults.restart_interval_s))
            if self.now() > end:
                return
            await self.restart_daemon(self.rng.randrange(self.daemon_count))

    async def send_requests(self, daemon: int, bad: bool, interval_s: float, end: float) -> None:
        while (pause_s := self.rng.expovariate(1 / interval_s)) < end - self.now():
            await asyncio.sleep(pause_s)
            self.spawn(self.send_request(daemon, bad))

    def draw_parts(self, bad: bool) -> list[str]:
        """Return the parts of a prompt; both kinds share all but the bad and the last one."""
        parts = [FIRST_PART]
        if bad or self.rng.random() < 0.5:
            parts.append(f"a{self.rng.randrange(10)}")
        if bad:
            parts.append(BAD_PART)
        return [*parts, f"{self.rng.getrandbits(48):012x}"]

    async def send_request(self, daemon: int, bad: bool) -> None:
        request_id = f"{self.rng.getrandbits(48):012x}"
        sent_at, status, whole = self.now(), 0, False
        if bad and sent_at - self.started_at[daemon] > CONTACT_S:
            self.log.in_contact.add(request_id)
        try:
            async with asyncio.timeout(DEADLINE_S + 1.0):
                status, whole = await self.exchange(daemon, request_id, bad)
        except TimeoutError:
            self.log.violations.append(f"{request_id}: no end by its deadline")
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        kind = "bad" if bad else "good"
        self.log.counts[f"{kind} {status if whole else 'broken off'}"] += 1
        if bad:
            reached = any(name == request_id for _, name in self.log.arrivals)
            if status in (408, 421, 429, 503) and reached:
                self.log.violations.append(f"{request_id}: status {status}, but it ran")
        else:
            self.log.good.append((sent_at, status == 200 and whole))

    async def exchange(self, daemon: int, request_id: str, bad: bool) -> tuple[int, bool]:
        """Send a request and return its status, and whether its response was whole."""
        peer = await RawPeer.connect(self.daemons[daemon].settings.listen)
        prefix = ",".join(f"{part}:10" for part in self.draw_parts(bad))
        try:
            await peer.send(
                f"GET /s/x HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: {request_id}\r\n"
                f"X-Deadline-Ms: {DEADLINE_S * 1000:.0f}\r\nAuthorization: Bearer key-1\r\n"
                f"X-Prompt-Prefix: {prefix}\r\nConnection: close\r\n\r\n".encode()
            )
            head, body = await peer.read_message()
            status = int(head.split()[1])
            if "Transfer-Encoding" in head:
                body = await peer.read_all()
                return status, body.endswith(b"0\r\n\r\n")
            return status, True
        finally:
            peer.close()

    async def close(self) -> None:
        for daemon in self.daemons:
            kill_gateway(daemon)
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for engine in self.engines.values():
            await engine.server.stop()
        self.store.server.abort_all()
        self.store.server.stop_listening()

    def list_late_arrivals(self) -> list[str]:
        """Return the requests with the bad part that reached engines though it had to be known."""
        if len(self.log.crashes) < self.known_after_crashes:
            return []
        known_at = self.log.crashes[self.known_after_crashes - 1] + CONTACT_S
        return [
            request_id
            for at, request_id in self.log.arrivals
            if at > known_at and request_id in self.log.in_contact
        ]

    def find_good_share(self) -> float:
        """Return the share of good requests that are served once the part has to be known."""
        known = self.log.crashes[: self.known_after_crashes]
        since = known[-1] + 2 * CONTACT_S if known else 0.0
        late = [served for at, served in self.log.good if at > since]
        return sum(late) / len(late) if late else 1.0

    def check(self) -> None:
        """Check what engines and callers saw."""
        late = self.list_late_arrivals()
        if len(late) > MAX_LATE_ARRIVALS:
            text = f"{len(late)} requests that crash engines reached them late"
            self.log.violations.append(f"{text}, {len(self.log.crashes)} crashes")
        share = self.find_good_share()
        if share < MIN_GOOD_SHARE:
            self.log.violations.append(f"{share:.2f} of the good requests were served")


async def play_with_restart(site: PromptSite) -> Log:
    """Play a run in which all daemons are killed at half its time, and return what was seen."""
    await site.open()
    try:
        await asyncio.sleep(0.8)
        await site.play(site.seconds / 2)
        for number in range(site.daemon_count):
            kill_gateway(site.daemons[number])
        for number in range(site.daemon_count):
            site.daemons[number] = await site.start_daemon(number)
        await site.play(site.seconds / 2)
    finally:
        await site.close()
    site.check()
    return site.log


def build_prompt_configuration() -> dict[str, object]:
    configuration = build_configuration()
    configuration["routes"][0].update(
        path_prefix="/s/",
        kind="streaming",
        resumable=True,
        gap_aim_ms=120,
        attempts=2,
        timeout_ms=DEADLINE_S * 1000,
    )
    return configuration


def draw_faults(seed: int) -> Faults:
    """Return the faults of a seed: a quarter of the seeds has none beside the bad part."""
    rng = random.Random(seed)
    if seed % 4 == 0:
        return Faults()
    return Faults(
        rng.choice((0.0, 0.05)),
        rng.choice((0.0, 0.7)),
        rng.choice((0.0, 1.5)),
        rng.choice((0.0, 0.1, 1.0)),
        rng.choice((0, 0, 3)),
    )


def main(build_site: Callable[[int, float, Faults], PromptSite]) -> int:
    """Play seeds by hand, and return 1 if a promise was broken."""

    async def play(seed: int, seconds: float) -> tuple[str, list[str]]:
        faults = draw_faults(seed)
        site = build_site(seed, seconds, faults)
        log = await site.run()
        summary = (
            f"{sum(log.counts.values())} requests, {len(log.crashes)} crashes, "
            f"{len(site.list_late_arrivals())} late, {site.find_good_share():.2f} served, "
            f"{len(log.violations)} broken promises, stalled for {log.stalled_s:.2f} s; {faults}"
        )
        return summary, log.violations

    return play_seeds(__doc__, play)


if __name__ == "__main__":
    sys.exit(main(PromptSite))
