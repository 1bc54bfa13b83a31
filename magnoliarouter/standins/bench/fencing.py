"""Experiment `fencing`: holders of a lease that are paused past its lapse and wake."""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING, Any

import msgspec

from magnoliarouter.endpoints.client import open_session
from magnoliarouter.standins.bench.experiment import Experiment, Report
from magnoliarouter.standins.launch import Process, Site, find_port
from magnoliarouter.standins.orders import AppliedOrder
from magnoliarouter.store.client import Found, PlatformClient

if TYPE_CHECKING:
    import aiohttp

__all__ = ["experiments"]

DEFAULT_SECONDS = 45.0
HOLDERS = 3
LEASE_S = 0.8
PAUSE_S = 1.6
LONG_PAUSE_S = 3.2
DELAY_S = 0.15
POLL_S = 0.05
SETTLE_S = 0.3
KINDS = ("guard_ignoring", "guard_checking", "bare_checking", "bare_ignoring")


class _Scene:
    """Engines of every kind and competing holders of one lease."""

    def __init__(self, site: Site, session: aiohttp.ClientSession, blind: bool) -> None:
        self.site = site
        self.session = session
        self.blind = blind
        self.engines: dict[str, Process] = {}
        self.holders: list[Process] = []

    async def start(self) -> None:
        """Start platform, engines, guards, a delaying proxy and holders."""
        self.platform = await self.site.start_standin("platform", "127.0.0.1")
        self.client = PlatformClient(self.platform.url, self.session)
        for kind in KINDS:
            checks = ("--checks-fencing",) if kind.endswith("checking") else ()
            self.engines[kind] = await self.site.start_standin("orders", "127.0.0.1", *checks)
        guards = [await self._start_guard(kind) for kind in KINDS if kind.startswith("guard")]
        bare = [self.engines[kind].address for kind in KINDS if kind.startswith("bare")]
        options = await self._start_proxy([*guards, *bare])
        mode = ("--blind",) if self.blind else ()
        common = ("--holder", "--platform", self.platform.url, "--duration", str(LEASE_S), *mode)
        for _ in range(HOLDERS):
            self.holders.append(
                await self.site.start_standin("orders", "127.0.0.1", *common, *options)
            )

    async def _start_guard(self, kind: str) -> str:
        settings = {
            "role": "endpoint",
            "name": kind.replace("_", "-"),
            "zone": "zone-1",
            "platform": self.platform.url,
            "target": self.engines[kind].url,
        }
        return (await self.site.start_daemon(settings)).address

    async def _start_proxy(self, targets: list[str]) -> list[str]:
        routes, options = [], []
        for number, target in enumerate(targets):
            listen = f"127.0.0.1:{find_port('127.0.0.1')}"
            routes += ["--route", f"r{number}={listen}={target}"]
            options += ["--guard" if number < 2 else "--engine", f"http://{listen}"]
        proxy = await self.site.start_standin("proxy", "127.0.0.1", *routes)
        faults = msgspec.json.encode({"delay": DELAY_S / 3, "jitter": DELAY_S})
        async with self.session.put(f"{proxy.url}/routes/*", data=faults) as answer:
            assert answer.status == 200, answer.status
        return options

    async def find_epoch(self) -> int:
        """Return the epoch of the lease as stored."""
        match await self.client.read("lease", "orders"):
            case Found(_, (item,)):
                return item.value["epoch"]
        return 0

    async def wait_for_epoch(self, epoch: int) -> None:
        """Wait until the lease has at least this epoch."""
        while True:
            if await self.find_epoch() >= epoch:
                return
            await asyncio.sleep(POLL_S)

    async def read_journal(self, kind: str) -> list[AppliedOrder]:
        """Return the orders that took effect at an engine."""
        async with self.session.get(f"{self.engines[kind].url}/journal") as answer:
            return msgspec.json.decode(await answer.read(), type=list[AppliedOrder])


def count_stale(journal: list[AppliedOrder]) -> int:
    """Return how many effects carry an older epoch than one before them."""
    highest = stale = 0
    for effect in journal:
        stale += effect.epoch < highest
        highest = max(highest, effect.epoch)
    return stale


async def _pause_holders(scene: _Scene, draw: random.Random, end: float) -> int:
    loop = asyncio.get_running_loop()
    await scene.wait_for_epoch(1)
    pauses = 0
    while loop.time() < end:
        # All holders but one stand still in turn, so the one that holds the lease does as well.
        awake = draw.randrange(HOLDERS)
        paused = [holder for number, holder in enumerate(scene.holders) if number != awake]
        for holder in paused:
            holder.pause()
        await asyncio.sleep(draw.uniform(PAUSE_S, LONG_PAUSE_S))
        for holder in paused:
            holder.resume()
        pauses += len(paused)
        await asyncio.sleep(draw.uniform(0.0, SETTLE_S))
    await asyncio.sleep(SETTLE_S)
    return pauses


async def _watch(seed: int, seconds: float, blind: bool) -> dict[str, Any]:
    async with Site() as site, open_session() as session:
        scene = _Scene(site, session, blind)
        await scene.start()
        end = asyncio.get_running_loop().time() + seconds
        pauses = await _pause_holders(scene, random.Random(seed), end)
        journals = {kind: await scene.read_journal(kind) for kind in KINDS}
        return {
            "pauses": pauses,
            "epochs": await scene.find_epoch(),
            "effects": {kind: len(journal) for kind, journal in journals.items()},
            "stale": {kind: count_stale(journal) for kind, journal in journals.items()},
        }


async def _run(options: Any) -> Report:
    seconds = (options.seconds or DEFAULT_SECONDS) / 2
    report = Report()
    careful = await _watch(options.seed, seconds, blind=False)
    blind = await _watch(options.seed, seconds, blind=True)
    report.figures |= careful
    report.figures["blind_holder"] = blind
    report.expect(not any(careful["stale"].values()), "0 stale orders take effect")
    report.expect(all(careful["effects"].values()), "every endpoint gets orders")
    report.expect(careful["epochs"] > 2, "the lease changes hands")
    report.expect(blind["stale"]["bare_ignoring"] > 0, "a holder that does not ask again is caught")
    return report


def experiments() -> list[Experiment]:
    """Return the experiments of this module."""
    shows = "no order of a paused holder takes effect after its successor's"
    return [Experiment("fencing", shows, _run)]
