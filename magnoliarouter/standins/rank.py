"""Stand-in for one or several ranks of an expert-parallel group in one process.

Each rank has an agent with its own address, simulates the computation of a step by sleeping, and
writes one JSON line for each step that it starts:
``[rank, generation, step, version, waited seconds]``.
"""

from __future__ import annotations

import argparse
import asyncio
import os
import traceback
import uuid
from dataclasses import dataclass, field
from pathlib import Path
from typing import TYPE_CHECKING

import aiohttp
import msgspec
import xxhash

from magnoliarouter.endpoints.client import open_session
from magnoliarouter.endpoints.group import RankAgent, RankConfig, RankLoad
from magnoliarouter.standins.drift import DRIFT_KINDS, PopularityDrift
from magnoliarouter.standins.group import Arrival, Position
from magnoliarouter.standins.process import run_standin
from magnoliarouter.store.client import PlatformClient
from magnoliarouter.web.server import WebServer

if TYPE_CHECKING:
    from typing import TextIO

    from magnoliarouter.web.loop import Runtime

__all__ = ["RankOptions", "RankStandin"]

LOAD_REFRESH_STEPS = 50
RETRY_S = 0.05
REPORTED_TOKENS_PER_LAYER = 100_000
INCARNATION_CHARACTERS = 16
ARRIVAL_TIMEOUT_S = 5.0


@dataclass(frozen=True, slots=True)
class RankOptions:
    """Options shared by the ranks of one process.

    Parameters
    ----------
    addresses : tuple of str
        ``host:port`` at which the agents of all ranks of the group are reachable.
    listen : tuple of str
        ``host:port`` on which they listen; differs from `addresses` if a proxy is in between.
    group, platform, interconnect, weights : str
        Name of the group; URLs of the platform, the interconnect and the weight store.
    layers, experts, expert_bytes : int
        Number of layers, number of experts in a layer, and size of an expert in bytes.
    step_seconds : float
        Duration of a step on a healthy rank with an even share of the load, in seconds.
    speeds : tuple of float
        Speed of each rank relative to a healthy one.
    drift : PopularityDrift
        Popularity of the experts over time.
    log : Path
        File to which step lines are appended.
    key : str
        Secret key shared by all processes of the system.
    """

    addresses: tuple[str, ...]
    listen: tuple[str, ...]
    group: str
    platform: str
    interconnect: str
    weights: str
    layers: int
    experts: int
    expert_bytes: int
    step_seconds: float
    speeds: tuple[float, ...]
    drift: PopularityDrift
    log: Path
    key: str


@dataclass(slots=True)
class _Progress:
    step: int = 0
    map_version: int = 0
    compute_seconds: float = 0.0
    waited_steps: int = 0
    waited_seconds: float = 0.0
    token_shares: list[list[float]] = field(default_factory=list)

    def token_counts(self) -> list[list[int]]:
        return [
            [round(share * REPORTED_TOKENS_PER_LAYER) for share in row] for row in self.token_shares
        ]


class RankStandin:
    """One rank, which runs steps in lock-step with the others."""

    def __init__(self, rank: int, options: RankOptions, session: aiohttp.ClientSession) -> None:
        self.rank = rank
        self.options = options
        self._session = session
        self._progress = _Progress(compute_seconds=options.step_seconds)
        self.agent = RankAgent(
            RankConfig(options.group, rank, options.addresses, options.key),
            lambda: uuid.uuid4().hex[:INCARNATION_CHARACTERS],
            session,
            PlatformClient(options.platform, session),
            self._fetch_experts,
            self.report_load,
        )

    def report_load(self) -> RankLoad:
        """Return the current load of the rank."""
        progress = self._progress
        return RankLoad(
            rank=self.rank,
            step=progress.step,
            step_seconds=progress.compute_seconds,
            speed=self.options.speeds[self.rank],
            tokens=progress.token_counts() if self.rank == 0 else [],
            waited_steps=progress.waited_steps,
            waited_seconds=progress.waited_seconds,
        )

    async def run(self, log: TextIO) -> None:
        """Run steps until cancelled."""
        self.agent.start()
        loop = asyncio.get_running_loop()
        step = await self._read_position()
        while True:
            wait_started = loop.time()
            version = await self.agent.wait_for_grant(step)
            waited = loop.time() - wait_started
            generation = self._generation_hash()
            line = [self.rank, generation, step, version, round(waited, 4)]
            log.write(msgspec.json.encode(line).decode() + "\n")
            self._record_step(step, version, waited, loop.time())
            await asyncio.sleep(self._progress.compute_seconds)
            step = await self._wait_for_group(Arrival(self.rank, step, generation))

    def _generation_hash(self) -> str:
        return xxhash.xxh3_64_hexdigest("/".join(self.agent.state.generation).encode())

    def _record_step(self, step: int, version: int, waited: float, now: float) -> None:
        progress = self._progress
        progress.step = step
        # Only a wait for a grant that is longer than one step is counted.
        if waited > self.options.step_seconds:
            progress.waited_steps += 1
            progress.waited_seconds += waited
        if version != progress.map_version or step % LOAD_REFRESH_STEPS == 0:
            progress.map_version = version
            self._refresh_load(now)

    def _refresh_load(self, now: float) -> None:
        options, progress = self.options, self._progress
        layers = range(options.layers)
        progress.token_shares = [options.drift.expert_shares(layer, now) for layer in layers]
        expert_map = self.agent.maps[progress.map_version]
        shares = expert_map.shares
        work = 0.0
        for row, tokens in zip(expert_map.layers, progress.token_shares):
            for holders, weight in zip(row, tokens):
                if self.rank in holders:
                    work += weight * shares[self.rank] / sum(shares[rank] for rank in holders)
        even_work = options.layers / len(options.addresses)
        speed = options.speeds[self.rank]
        progress.compute_seconds = options.step_seconds * work / even_work / speed

    async def _read_position(self) -> int:
        while True:
            try:
                async with self._session.get(f"{self.options.interconnect}/position") as response:
                    return msgspec.json.decode(await response.read(), type=Position).step
            except (aiohttp.ClientError, OSError):
                await asyncio.sleep(RETRY_S)

    async def _wait_for_group(self, arrival: Arrival) -> int:
        body = msgspec.json.encode(arrival)
        url = f"{self.options.interconnect}/arrive"
        while True:
            try:
                async with asyncio.timeout(ARRIVAL_TIMEOUT_S):
                    async with self._session.post(url, data=body) as response:
                        step = msgspec.json.decode(await response.read(), type=Position).step
            except (aiohttp.ClientError, OSError, TimeoutError):
                await asyncio.sleep(RETRY_S)
                continue
            if step > arrival.step:
                return step

    async def _fetch_experts(self, experts: int) -> None:
        if not experts:
            return
        size = experts * self.options.expert_bytes
        url = f"{self.options.weights}/weights?group={self.options.group}&bytes={size}"
        async with self._session.post(url) as response:
            if response.status != 200:
                raise OSError(f"weight store responded with status {response.status}")


def _parse() -> tuple[argparse.ArgumentParser, list[int], RankOptions]:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--ranks", required=True, help="ranks of this process, as in 0,1,2")
    parser.add_argument("--addresses", required=True, help="host:port of all ranks")
    parser.add_argument("--listen", help="host:port that all ranks listen on, if another")
    for name in ("platform", "interconnect", "weights", "log", "key"):
        parser.add_argument(f"--{name}", required=True)
    parser.add_argument("--group", default="group-1")
    parser.add_argument("--layers", type=int, default=4)
    parser.add_argument("--experts", type=int, default=64)
    parser.add_argument("--expert-bytes", type=int, default=8 << 20)
    parser.add_argument("--step-seconds", type=float, default=0.02)
    parser.add_argument("--speeds", default="")
    parser.add_argument("--drift", choices=DRIFT_KINDS, default="season")
    parser.add_argument("--period", type=float, default=60.0)
    parser.add_argument("--seed", type=int, default=1)
    arguments, _ = parser.parse_known_args()
    addresses = tuple(arguments.addresses.split(","))
    speeds = tuple(float(part) for part in arguments.speeds.split(",") if part)
    options = RankOptions(
        addresses=addresses,
        listen=tuple(arguments.listen.split(",")) if arguments.listen else addresses,
        group=arguments.group,
        platform=arguments.platform,
        interconnect=arguments.interconnect,
        weights=arguments.weights,
        layers=arguments.layers,
        experts=arguments.experts,
        expert_bytes=arguments.expert_bytes,
        step_seconds=arguments.step_seconds,
        speeds=speeds or (1.0,) * len(addresses),
        drift=PopularityDrift(arguments.drift, arguments.experts, arguments.seed, arguments.period),
        log=Path(arguments.log),
        key=arguments.key,
    )
    return parser, [int(part) for part in arguments.ranks.split(",")], options


def _exit_on_failure(task: asyncio.Task[None]) -> None:
    # A failed rank ends its process, so that the failure is as visible as an engine crash.
    if not task.cancelled() and task.exception() is not None:
        traceback.print_exception(task.exception())
        os._exit(1)


def _main() -> None:
    parser, ranks, options = _parse()
    running: list[asyncio.Task[None]] = []

    def start(runtime: Runtime, bind: tuple[str, int]) -> WebServer:
        session = open_session()
        log = options.log.open("a", buffering=1, encoding="utf-8")
        for rank in ranks:
            standin = RankStandin(rank, options, session)
            host, port = options.listen[rank].rsplit(":", 1)
            WebServer(runtime, (host, int(port)), standin.agent.handle)
            task = asyncio.get_running_loop().create_task(standin.run(log))
            task.add_done_callback(_exit_on_failure)
            running.append(task)
        # This server starts last, so the process's own address shows that all ranks are listening. It
        # also serves the last rank's agent.
        return WebServer(runtime, bind, standin.agent.handle)

    run_standin(start, parser)


if __name__ == "__main__":
    _main()
