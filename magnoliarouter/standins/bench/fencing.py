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
LEASE_DURATION_S = 0.8
MIN_PAUSE_S = 1.6
MAX_PAUSE_S = 3.2
ROUTE_JITTER_S = 0.15
POLL_INTERVAL_S = 0.05
SETTLE_S = 0.3
ENGINE_KINDS = ("guard_ignoring", "guard_checking", "bare_checking", "bare_ignoring")


class _FencingSite:
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
        for kind in ENGINE_KINDS:
            checks = ("--checks-fencing",) if kind.endswith("checking") else ()
            self.engines[kind] = await self.site.start_standin("orders", "127.0.0.1", *checks)
        guards = [
            await self._start_guard(kind) for kind in ENGINE_KINDS if kind.startswith("guard")
        ]
        bare = [self.engines[kind].address for kind in ENGINE_KINDS if kind.startswith("bare")]
        options = await self._start_proxy([*guards, *bare])
        mode = ("--blind",) if self.blind else ()
        common = (
            "--holder",
            "--platform",
            self.platform.url,
            "--duration",
            str(LEASE_DURATION_S),
            *mode,
        )
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
        faults = msgspec.json.encode({"delay": ROUTE_JITTER_S / 3, "jitter": ROUTE_JITTER_S})
        async with self.session.put(f"{proxy.url}/routes/*", data=faults) as response:
            assert response.status == 200, response.status
        return options

    async def read_epoch(self) -> int:
        """Return the epoch of the lease as stored."""
        match await self.client.read("lease", "orders"):
            case Found(_, (item,)):
                return item.value["epoch"]
        return 0

    async def wait_for_epoch(self, epoch: int) -> None:
        """Wait until the lease has at least this epoch."""
        while True:
            if await self.read_epoch() >= epoch:
                return
            await asyncio.sleep(POLL_INTERVAL_S)

    async def read_journal(self, kind: str) -> list[AppliedOrder]:
        """Return the orders that took effect at an engine."""
        async with self.session.get(f"{self.engines[kind].url}/journal") as response:
            return msgspec.json.decode(await response.read(), type=list[AppliedOrder])


def count_stale_orders(journal: list[AppliedOrder]) -> int:
    """Return how many effects carry an older epoch than one before them."""
    highest = stale = 0
    for effect in journal:
        stale += effect.epoch < highest
        highest = max(highest, effect.epoch)
    return stale


async def _pause_holders(fencing_site: _FencingSite, rng: random.Random, deadline: float) -> int:
    loop = asyncio.get_running_loop()
    await fencing_site.wait_for_epoch(1)
    pauses = 0
    while loop.time() < deadline:
        # All holders but one stand still in turn, so the one that holds the lease does as well.
        running = rng.randrange(HOLDERS)
        paused = [holder for number, holder in enumerate(fencing_site.holders) if number != running]
        for holder in paused:
            holder.pause()
        await asyncio.sleep(rng.uniform(MIN_PAUSE_S, MAX_PAUSE_S))
        for holder in paused:
            holder.resume()
        pauses += len(paused)
        await asyncio.sleep(rng.uniform(0.0, SETTLE_S))
    await asyncio.sleep(SETTLE_S)
    return pauses


async def _run_holders(seed: int, seconds: float, blind: bool) -> dict[str, Any]:
    async with Site() as site, open_session() as session:
        fencing_site = _FencingSite(site, session, blind)
        await fencing_site.start()
        deadline = asyncio.get_running_loop().time() + seconds
        pauses = await _pause_holders(fencing_site, random.Random(seed), deadline)
        journals = {kind: await fencing_site.read_journal(kind) for kind in ENGINE_KINDS}
        return {
            "pauses": pauses,
            "epochs": await fencing_site.read_epoch(),
            "effects": {kind: len(journal) for kind, journal in journals.items()},
            "stale": {kind: count_stale_orders(journal) for kind, journal in journals.items()},
        }


async def _run(options: Any) -> Report:
    seconds = (options.seconds or DEFAULT_SECONDS) / 2
    report = Report()
    verifying = await _run_holders(options.seed, seconds, blind=False)
    blind = await _run_holders(options.seed, seconds, blind=True)
    report.figures |= verifying
    report.figures["blind_holder"] = blind
    report.expect(not any(verifying["stale"].values()), "0 stale orders take effect")
    report.expect(all(verifying["effects"].values()), "every endpoint gets orders")
    report.expect(verifying["epochs"] > 2, "the lease changes hands")
    report.expect(blind["stale"]["bare_ignoring"] > 0, "a holder that does not ask again is caught")
    return report


def experiments() -> list[Experiment]:
    """Return the experiments of this module."""
    description = "no order of a paused holder takes effect after its successor's"
    return [Experiment("fencing", description, _run)]
