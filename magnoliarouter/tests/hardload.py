"""Plays loads of callers against the real decisions of many daemons, on a simulated clock.

Every daemon has its own forwarder, wait queue, table of endpoints and messages to the others; they
share fake endpoints that hold a place for as long as a call's prompt and output need.
``python -m magnoliarouter.tests.hardload --daemons 9,34,98`` prints a table for each load.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import random
import sys
from dataclasses import dataclass, field
from typing import TYPE_CHECKING
from unittest.mock import Mock

from magnoliarouter.core.outcome import Completed, ResultCode
from magnoliarouter.core.retries import SharedRetryBudget
from magnoliarouter.gateway.attempt import FailedAttempt
from magnoliarouter.gateway.call import RequestHeaders
from magnoliarouter.gateway.crashwatch import CrashWatch
from magnoliarouter.gateway.endpoints import Endpoint, EndpointTable
from magnoliarouter.gateway.evacuations import EvacuationWatch
from magnoliarouter.gateway.forward import GatewayForwarder
from magnoliarouter.gateway.handler import GatewayHandler
from magnoliarouter.gateway.peers import PeerLoads
from magnoliarouter.gateway.quarantine import Quarantine
from magnoliarouter.gateway.routes import (
    GatewayConfig,
    ModelProfile,
    Route,
    RouteKind,
    RouteTable,
    Service,
    Tenant,
)
from magnoliarouter.gateway.waiting import WaitQueue
from magnoliarouter.telemetry.metrics import Metrics
from magnoliarouter.tests.clock import run_auto_advance
from magnoliarouter.tests.hardloadbuilders import (
    ACCOUNTS,
    ENDPOINTS_PER_ZONE,
    KINDS,
    LOADS,
    OUTPUT_TOKENS,
    READ_TOKENS_PER_S,
    SLOTS,
    STEP_PER_REQUEST_S,
    STEP_S,
    STEPS_PER_EVENT,
    ZONES,
    Caller,
    Change,
    Kind,
    Load,
    hold_s,
)
from magnoliarouter.tests.hardloadreport import Fate, Report, find_missed
from magnoliarouter.web.ingress import IngressRequest

if TYPE_CHECKING:
    from collections.abc import Callable

    from magnoliarouter.core.coldstart import ColdLimit
    from magnoliarouter.gateway.ratelimits import RateUpdate

MESSAGE_LAG_S = 0.002
COLD_FACTOR = 3.0
SERVICE = "assistant"


@dataclass(eq=False)
class Place:
    """Endpoint with `slots` places, of which `running` are taken."""

    name: str
    zone: str
    slots: int = SLOTS
    running: int = 0
    cold_s: float = 0.0
    cold_until: float = 0.0
    arrivals: list[float] = field(default_factory=list)

    def describe(self) -> Endpoint:
        return Endpoint(self.name, SERVICE, self.name, self.zone, self.slots)

    def count_free(self, now: float) -> float:
        """Return the free places; one that is cold has those for which it has warmed up."""
        cold = (self.cold_until - now) / self.cold_s if now < self.cold_until else 0.0
        return max(0.0, self.slots * (1.0 - cold) - self.running)


class Daemon:
    """Decisions of one gateway daemon, wired as in `daemon.gateway`."""

    def __init__(self, player: Player, name: str, zone: str, seed: int) -> None:
        clock = asyncio.get_running_loop().time
        self.player, self.name, self.zone = player, name, zone
        self.table = EndpointTable(zone, random.Random(seed))
        self.peers = PeerLoads(name, seed, lambda: self.table.own_requests, self._apply_loads)
        self.queue = WaitQueue(
            self.table, clock, self.peers.count_daemons, self.peers.count_waiting
        )
        self.queue.serves_by_need = lambda service: (
            player.admission == "need"
            or (player.admission == "auto" and service in player.mixed_services)
        )
        self.queue.list_peer_queues = self.peers.list_queues
        self.queue.announce = self.peers.schedule_send
        self.peers.read_queues = self.queue.report_queues
        self.peers.read_waiting = self.queue.list_lengths
        self.peers.collect_long_prompts = self.table.work.collect_extra
        self.peers.apply_long_prompts = lambda peer, prompts: self.table.apply_long_prompts(
            peer, prompts, clock()
        )
        self.table.find_profile = lambda service: player.config.services[service].profile
        self.table.overflow.find_profile = self.table.find_profile
        self.table.concurrency_limit = self._find_load_limit
        rates = self.table.rates
        rates.read_share, rates.count_daemons = self.peers.read_share, self.peers.count_registered
        rates.find_cold_limit = lambda service: player.cold_limit
        self.peers.collect_rates = lambda: rates.collect_updates(clock())
        self.peers.apply_rates = self._apply_rates
        metrics, groups, codec, freshness = Metrics(), Mock(), Mock(), Mock()
        groups.list_members.return_value = set()
        codec.parse_request = lambda fields: fields
        freshness.age.return_value = 0.0
        forwarder = GatewayForwarder(
            self.table,
            self.queue,
            Mock(),
            codec,
            SharedRetryBudget(0.2, 200.0, 10.0, len(player.names)),
            clock,
            metrics,
            groups,
            Mock(),
            Mock(),
            CrashWatch(Quarantine(), Mock(), clock),
            self.peers.schedule_send,
        )
        forwarder._attempts = self
        self.evacuations = EvacuationWatch(self.table, clock, metrics, self.queue.wake)
        self.handler = GatewayHandler(
            lambda: player.config, freshness, codec, forwarder, clock, metrics
        )

    def connect(self) -> None:
        addresses = {name: (name, 1) for name in self.player.names}
        self.peers.set_peers(addresses)
        self.peers.connection_made(self)
        self.peers.schedule_send()

    def _find_load_limit(self, endpoint: Endpoint) -> int:
        now = asyncio.get_running_loop().time()
        return self.table.evacuations.limit_requests(endpoint.slots, endpoint.zone, now)

    def _apply_loads(self, peer: str, loads: dict[str, int]) -> None:
        now = asyncio.get_running_loop().time()
        self.table.rates.record_contact(peer, now)
        self.table.apply_peer_load(peer, loads, now)
        self.queue.schedule_wake()

    def _apply_rates(self, peer: str, start: int, updates: list[RateUpdate]) -> None:
        now = asyncio.get_running_loop().time()
        for update in updates:
            endpoint = self.table.find(update.endpoint)
            self.table.rates.apply_update(peer, start, endpoint, update, now)

    def sendto(self, data: bytes, address: tuple[str, int]) -> None:
        """Deliver a datagram to another daemon after the lag."""
        receive = self.player.daemons[address[0]].peers.datagram_received
        loop = asyncio.get_running_loop()
        loop.call_later(MESSAGE_LAG_S, receive, data, (self.name, 1))

    def close(self) -> None:
        """Do nothing: the transport of `peers` has no socket."""

    async def run(self, call, exchange, endpoint, progress):
        """Run one attempt at a fake endpoint, in place of an `AttemptRunner`."""
        progress.sends += 1
        return await self.player.run_call(self, exchange, endpoint)


class Exchange:
    """Caller's side of one request; `retry_after_s` is None unless the request was refused."""

    started = caller_gone = cancel_when_caller_gone = False
    retry_after_s: float | None = None

    def __init__(self, request: IngressRequest, fate: Fate) -> None:
        self.request, self.fate = request, fate

    async def send(self, status: int, fields: list[tuple[bytes, bytes]], body: bytes) -> None:
        self.retry_after_s = float(dict(fields)[b"Retry-After"])


class Player:
    """Plays one load against a number of daemons.

    Parameters
    ----------
    load : Load
        Callers and changes.
    daemons : int
        Number of daemons, spread over the zones.
    seed : int
        Seed of all random choices.
    admission : str
        Setting of the daemons.
    cold_limit : ColdLimit, optional
        Limit of cold endpoints; None if the service has none.
    """

    def __init__(
        self,
        load: Load,
        daemons: int,
        seed: int,
        admission: str,
        cold_limit: ColdLimit | None = None,
    ) -> None:
        self.cold_limit = cold_limit
        self._load, self._seed, self._random = load, seed, random.Random(seed)
        self.names = [f"daemon-{number}" for number in range(daemons)]
        self.config = _build_config()
        self.admission, self.mixed_services = admission, self.config.list_mixed_services()
        self.daemons: dict[str, Daemon] = {}
        self.places = {
            f"{zone}-engine-{number}": Place(f"{zone}-engine-{number}", zone)
            for zone in ZONES
            for number in range(ENDPOINTS_PER_ZONE)
        }
        self.fates: list[Fate] = []
        self._waiting, self._counted_at = 0, 0.0
        self.unused_s = self.total_s = 0.0
        self.sent_to_full = 0

    async def play(self) -> None:
        """Play the load until every caller has its answer."""
        loop = asyncio.get_running_loop()
        self._start = self._counted_at = loop.time()
        self._end = self._start + self._load.callers[-1].at
        for number, name in enumerate(self.names):
            zone = ZONES[number % len(ZONES)]
            self.daemons[name] = Daemon(self, name, zone, self._seed * 1000 + number)
        for daemon in self.daemons.values():
            daemon.connect()
            for place in self.places.values():
                daemon.table.put(place.describe())
        for change in self._load.changes:
            loop.call_later(change.at, self._apply_change, change)
        tasks = []
        for number, caller in enumerate(self._load.callers):
            await asyncio.sleep(max(0.0, self._start + caller.at - loop.time()))
            tasks.append(loop.create_task(self._call(number, caller)))
        await asyncio.gather(*tasks)
        self._count()
        for daemon in self.daemons.values():
            daemon.peers.close()

    def _apply_change(self, change: Change) -> None:
        self._count()
        now = asyncio.get_running_loop().time()
        places = [place for place in self.places.values() if place.zone == change.zone]
        for place in places:
            place.slots, place.cold_s = change.slots, change.cold_s
            place.cold_until = now + change.cold_s
        for daemon in self.daemons.values():
            daemon.evacuations.apply(change.zone, None if change.slots else {})
            for place in places:
                if change.slots:
                    daemon.table.put(place.describe())

    async def _call(self, number: int, caller: Caller) -> None:
        clock = asyncio.get_running_loop().time
        fate = Fate(caller, clock())
        self.fates.append(fate)
        deadline = fate.arrived + caller.kind.patience_s
        names = [name for name in self.names if self.daemons[name].zone == caller.zone]
        for name in self._random.sample(names, min(2, len(names))):
            exchange = Exchange(self._build_request(number, caller, deadline), fate)
            await self._handle(self.daemons[name], exchange)
            if exchange.retry_after_s is None:
                fate.served = True
                return
            fate.refusals.append(clock() - exchange.request.received_at)
            await asyncio.sleep(exchange.retry_after_s)

    async def _handle(self, daemon: Daemon, exchange: Exchange) -> None:
        self._count(waiting=1)
        try:
            await daemon.handler.handle(exchange)
        finally:
            if exchange.fate.placed is None:
                self._count(waiting=-1)

    def _build_request(self, number: int, caller: Caller, deadline: float) -> IngressRequest:
        now = asyncio.get_running_loop().time()
        headers = RequestHeaders(
            b"%d-%d" % (number, int(now * 1000)),
            "h",
            deadline - now,
            caller.account,
            None,
            caller.prompt_tokens,
            OUTPUT_TOKENS,
            OUTPUT_TOKENS,
            (),
            [],
        )
        target, body = b"/" + caller.kind.name.encode(), bytearray(str(number).encode())
        return IngressRequest(b"POST", target, headers, body, now)

    async def run_call(self, daemon: Daemon, exchange: Exchange, endpoint: Endpoint):
        """Hold a place of an endpoint for as long as a call needs."""
        place, fate = self.places[endpoint.identity], exchange.fate
        now = asyncio.get_running_loop().time()
        place.arrivals.append(now)
        if place.running >= place.slots:
            self.sent_to_full += 1
            return FailedAttempt(ResultCode.QUEUE_FULL, "no place", ran=False)
        self._count(waiting=-1)
        place.running += 1
        fate.placed, fate.remote = now, place.zone != daemon.zone
        pace = COLD_FACTOR if now < place.cold_until else 1.0
        first_s, all_s = hold_s(fate.caller.prompt_tokens, OUTPUT_TOKENS, place.running)
        fate.first_event = now + pace * first_s
        await asyncio.sleep(pace * all_s)
        self._count()
        place.running -= 1
        return Completed(ResultCode.OK, 200)

    def _count(self, waiting: int = 0) -> None:
        """Add up the place-seconds until now, and then change the number of waiting calls."""
        now = min(asyncio.get_running_loop().time(), self._end)
        span = max(0.0, now - self._counted_at)
        free = sum(place.count_free(now) for place in self.places.values())
        self.unused_s += span * min(free, self._waiting)
        self.total_s += span * sum(place.slots for place in self.places.values())
        self._counted_at = max(now, self._counted_at)
        self._waiting += waiting


def _build_config() -> GatewayConfig:
    routes = RouteTable.build(map(_build_route, KINDS))
    tenants = {account: Tenant(account) for account in ACCOUNTS}
    profile = ModelProfile(
        SLOTS, STEP_S, STEP_PER_REQUEST_S, 0.0, READ_TOKENS_PER_S, STEPS_PER_EVENT
    )
    return GatewayConfig(1, routes, {SERVICE: Service(SERVICE, 600, profile)}, tenants, None)


def _build_route(kind: Kind) -> Route:
    return Route(
        kind.name,
        "h",
        "/" + kind.name,
        RouteKind.STREAM,
        ((SERVICE, 1.0),),
        kind.patience_s,
        kind.target_s,
        kind.urgency,
        attempts=3,
        resumable=True,
        max_event_gap_s=0.15,
    )


def play(
    build: Callable[[int], Load], daemons: int, seed: int = 1, admission: str = "arrival"
) -> Report:
    """Play a load, and return what its callers got."""
    load, state = build(seed), random.getstate()
    random.seed(seed)

    async def run() -> Player:
        player = Player(load, daemons, seed, admission)
        await player.play()
        return player

    try:
        player = run_auto_advance(run())
    finally:
        random.setstate(state)
    unused = player.unused_s / player.total_s
    return Report(load.name, daemons, player.fates, unused, player.sent_to_full)


def _format(value: object) -> str:
    match value:
        case dict():
            return " ".join(f"{share:.2f}" for share in value.values())
        case float():
            return f"{value:.3f}"
    return str(value)


def main() -> int:
    """Play loads by hand, and print a table and the same figures as JSON."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--daemons", default="9")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--admission", default="arrival", choices=("auto", "arrival", "need"))
    parser.add_argument("--loads", default="", help="names of builders, with commas; all if empty")
    arguments = parser.parse_args()
    rows = []
    for build in LOADS:
        if arguments.loads and build.__name__ not in arguments.loads.split(","):
            continue
        for daemons in map(int, arguments.daemons.split(",")):
            report = play(build, daemons, arguments.seed, arguments.admission)
            rows.append({**report.describe(), "missed": ", ".join(find_missed(report))})
            if len(rows) == 1:
                print("| " + " | ".join(rows[0]) + " |\n" + "|---" * len(rows[0]) + "|")
            print("| " + " | ".join(map(_format, rows[-1].values())) + " |", flush=True)
    print(json.dumps(rows))
    return 0


if __name__ == "__main__":
    sys.exit(main())
