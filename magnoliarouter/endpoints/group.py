"""Agent of one rank of an expert-parallel group.

It handles the controller's orders and the greetings by which ranks exchange their state, fetches
the experts of each version of the expert map, and decides on which map version the rank may run
each step.
"""

from __future__ import annotations

import asyncio
import hmac
from dataclasses import dataclass
from typing import TYPE_CHECKING

import aiohttp
import msgspec

from magnoliarouter.core import mapswitch
from magnoliarouter.core.expertmap import ExpertMap, ExpertMapError
from magnoliarouter.core.mapmessages import Form, Greeting, Order, Propose, Report, Reset
from magnoliarouter.core.mapstate import MapRecord
from magnoliarouter.core.mapswitch import Grant, RankState, create_report
from magnoliarouter.store.client import Found
from magnoliarouter.telemetry.logs import log_event
from magnoliarouter.web.bodies import read_body

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from magnoliarouter.store.client import PlatformClient
    from magnoliarouter.web.exchange import Exchange

__all__ = ["KEY_HEADER", "MAP_KIND", "RankAgent", "RankLoad", "RankConfig"]

MAP_KIND = "map"
KEY_HEADER = "x-magnoliarouter-key"
CALL_TIMEOUT_S = 0.5
GREETING_INTERVAL_S = 0.1
UNDECIDED_INTERVAL_S = 0.1
RECORD_READ_INTERVAL_S = 1.0
FETCH_RETRY_S = 0.3
MAP_REQUEST_INTERVAL_S = 0.03
MAP_REQUESTS_PER_RECORD_READ = 32


class RankLoad(msgspec.Struct, frozen=True):
    """Load that a rank reports.

    Parameters
    ----------
    rank : int
        The rank.
    step : int
        Highest step that it has started.
    step_seconds : float
        Recent mean compute time of a step in seconds.
    speed : float
        Work per second relative to a healthy rank.
    tokens : list of list of int
        Recent token counts by layer and expert, over the whole group; empty except from rank 0.
    waited_steps : int
        Number of steps whose start waited for a decision on the map.
    waited_seconds : float
        Total duration of these waits in seconds.
    """

    rank: int
    step: int
    step_seconds: float
    speed: float
    tokens: list[list[int]]
    waited_steps: int
    waited_seconds: float


@dataclass(frozen=True, slots=True)
class RankConfig:
    """Position of a rank in its group, and the group's addresses.

    Parameters
    ----------
    group : str
        Name of the group.
    rank : int
        The rank.
    addresses : tuple of str
        ``host:port`` of all ranks' agents.
    key : str
        Key shared by all of the system's processes.
    """

    group: str
    rank: int
    addresses: tuple[str, ...]
    key: str


class RankAgent:
    """Keeps the state of a rank's map switches, handles orders and greetings, and fetches experts.

    Parameters
    ----------
    config : RankConfig
        The rank and its group.
    create_incarnation : callable
        Returns an id that was never used before.
    session : aiohttp.ClientSession
        Session for requests to other ranks.
    platform : PlatformClient
        Client of the object API, used only while the map version of a step is undecided or a map
        is missing.
    fetch : callable
        Coroutine function that fetches a number of experts from the weight store.
    report_load : callable
        Returns the rank's load.
    """

    def __init__(
        self,
        config: RankConfig,
        create_incarnation: Callable[[], str],
        session: aiohttp.ClientSession,
        platform: PlatformClient,
        fetch: Callable[[int], Awaitable[None]],
        report_load: Callable[[], RankLoad],
    ) -> None:
        self.config = config
        self.maps: dict[int, ExpertMap] = {}
        self.held_experts: set[tuple[int, int]] = set()
        self.fetched_experts = 0
        self.refused_requests = 0
        self.step = 0
        self._map_requests = 0
        self._create_incarnation = create_incarnation
        self._session = session
        self._platform = platform
        self._fetch = fetch
        self._report_load = report_load
        self._changed = asyncio.Event()
        self._tasks: list[asyncio.Task[None]] = []
        self.state = self._create_state()

    def start(self) -> None:
        """Start joining the group and fetching experts."""
        loop = asyncio.get_running_loop()
        self._tasks.append(loop.create_task(self._join_loop()))
        self._tasks.append(loop.create_task(self._fetch_loop()))

    def stop(self) -> None:
        """Cancel the agent's tasks."""
        for task in self._tasks:
            task.cancel()

    async def wait_for_grant(self, step: int) -> int:
        """Wait until the rank may start a step and return the map version to run it on."""
        self.step = step
        self._notify()
        record_read_at = float("-inf")
        loop = asyncio.get_running_loop()
        while True:
            changed = self._changed
            state, verdict = mapswitch.grant_step(self.state, step)
            self._set_state(state)
            if isinstance(verdict, Grant):
                return verdict.version
            if verdict.reason == "undecided":
                await self._greet_all()
                if loop.time() >= record_read_at + RECORD_READ_INTERVAL_S:
                    record_read_at = loop.time()
                    await self._read_record()
            if changed is self._changed:
                await _wait(changed, UNDECIDED_INTERVAL_S)

    async def handle(self, exchange: Exchange) -> None:
        """Handle one request of a controller or of another rank."""
        request = exchange.request
        if not hmac.compare_digest(request.headers.get(KEY_HEADER, ""), self.config.key):
            self.refused_requests += 1
            await exchange.send(401, b"{}")
            return
        match (request.method, request.path):
            case ("POST", "/rank/order"):
                self._apply_order(msgspec.json.decode(request.body, type=Order))
            case ("POST", "/rank/greeting"):
                greeting = msgspec.json.decode(request.body, type=Greeting)
                self._set_state(mapswitch.record_greeting(self.state, greeting))
            case ("GET", "/rank/load"):
                await exchange.send(200, msgspec.json.encode(self._report_load()))
                return
            case ("GET", "/rank/map"):
                expert_map = self.maps.get(int(request.query.get("version", "0")))
                await exchange.send(
                    200 if expert_map else 404, expert_map.encode().encode() if expert_map else b""
                )
                return
            case _:
                await exchange.send(404, b"{}")
                return
        await exchange.send(200, msgspec.json.encode(create_report(self.state)))

    def _create_state(self) -> RankState:
        size = len(self.config.addresses)
        return RankState(self.config.rank, size, self._create_incarnation())

    def _apply_order(self, order: Order) -> None:
        if isinstance(order, Reset):
            if order.incarnation == self.state.incarnation and order.epoch >= self.state.epoch:
                log_event("rank_reset", group=self.config.group, rank=self.config.rank)
                self._set_state(self._create_state())
            return
        match order:
            case Propose(version=version, text=text) if text:
                self._store_map(version, text)
            case Form(schedule=schedule, text=text) if text:
                self._store_map(schedule.version, text)
        self._set_state(mapswitch.apply_order(self.state, order))

    def _store_map(self, version: int, text: str) -> bool:
        try:
            self.maps[version] = ExpertMap.decode(text)
        except ExpertMapError as error:
            log_event("map_invalid", group=self.config.group, version=version, error=str(error))
            return False
        return True

    def _set_state(self, state: RankState) -> None:
        if state != self.state:
            self.state = state
            self._notify()

    def _notify(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    async def _join_loop(self) -> None:
        while True:
            if not self.state.joined:
                await self._greet_all()
            await asyncio.sleep(GREETING_INTERVAL_S)

    async def _greet_all(self) -> None:
        peers = [
            (rank, address)
            for rank, address in enumerate(self.config.addresses)
            if rank != self.config.rank
        ]
        await asyncio.gather(*(self._greet(address) for _, address in peers))

    async def _greet(self, address: str) -> None:
        incarnation = self.state.incarnation
        body = msgspec.json.encode(Greeting(self.config.rank, incarnation))
        raw = await self._call("POST", f"http://{address}/rank/greeting", body)
        if raw is not None and self.state.incarnation == incarnation:
            report = msgspec.json.decode(raw, type=Report)
            self._set_state(mapswitch.apply_greeting_response(self.state, report))

    async def _read_record(self) -> None:
        match await self._platform.read(MAP_KIND, self.config.group):
            case Found(_, (item,)):
                record = msgspec.convert(item.value, type=MapRecord)
                known = (record.schedule, record.proposed, record.in_flight)
                self._set_state(mapswitch.apply_record(self.state, *known))
                for version, text in record.texts:
                    if version not in self.maps:
                        self._store_map(version, text)

    async def _fetch_loop(self) -> None:
        while True:
            changed = self._changed
            missing = mapswitch.list_missing_versions(self.state, self.step)
            if not missing:
                await changed.wait()
            elif not await self._fetch_version(missing[0]):
                await asyncio.sleep(
                    FETCH_RETRY_S if missing[0] in self.maps else MAP_REQUEST_INTERVAL_S
                )

    async def _fetch_version(self, version: int) -> bool:
        if version not in self.maps and not await self._request_map(version):
            return False
        needed = set(self.maps[version].list_experts(self.config.rank))
        absent = needed - self.held_experts
        try:
            await self._fetch(len(absent))
        except (aiohttp.ClientError, OSError, TimeoutError):
            return False
        self.fetched_experts += len(absent)
        self.held_experts |= absent
        self._set_state(mapswitch.mark_loaded(self.state, version))
        self._drop_unused()
        return True

    def _drop_unused(self) -> None:
        useful = {*self.state.loaded, *mapswitch.list_missing_versions(self.state, self.step)}
        self.maps = {
            version: expert_map for version, expert_map in self.maps.items() if version in useful
        }
        needed = (self.maps[version].list_experts(self.config.rank) for version in self.maps)
        self.held_experts &= set().union(*needed)

    async def _request_map(self, version: int) -> bool:
        """Request a map from one rank, alternately the parent in a binary tree and another rank.

        Every `MAP_REQUESTS_PER_RECORD_READ` requests, the stored record is read instead.
        """
        self._map_requests += 1
        rank, size = self.config.rank, len(self.config.addresses)
        target = rank // 2 if self._map_requests % 2 else (rank + self._map_requests) % size
        if self._map_requests % MAP_REQUESTS_PER_RECORD_READ == 0:
            await self._read_record()
        elif target != rank:
            address = self.config.addresses[target]
            raw = await self._call("GET", f"http://{address}/rank/map?version={version}")
            if raw:
                self._store_map(version, raw.decode())
        return version in self.maps

    async def _call(self, method: str, url: str, body: bytes | None = None) -> bytes | None:
        headers = {KEY_HEADER: self.config.key}
        try:
            async with asyncio.timeout(CALL_TIMEOUT_S):
                async with self._session.request(
                    method, url, data=body, headers=headers
                ) as response:
                    raw = await read_body(response)
                    return raw if response.status == 200 else None
        except (aiohttp.ClientError, OSError, TimeoutError):
            return None


async def _wait(event: asyncio.Event, seconds: float) -> None:
    try:
        async with asyncio.timeout(seconds):
            await event.wait()
    except TimeoutError:
        return
