"""Plays zones that are evacuated and taken back at full load, for `test_zonereturn`."""

from __future__ import annotations

import asyncio
import random
from dataclasses import dataclass
from typing import TYPE_CHECKING

from magnoliarouter.tests.clock import run_auto_advance
from magnoliarouter.tests.hardload import Player
from magnoliarouter.tests.hardloadbuilders import SLOTS, ZONES, Arrivals, Change

if TYPE_CHECKING:
    from magnoliarouter.core.coldstart import ColdLimit
    from magnoliarouter.tests.hardload import Daemon, Exchange
    from magnoliarouter.tests.hardloadbuilders import Load

LEAVE_S, BACK_S, END_S = 1.0, 2.5, 6.0


def build_return(seed: int, *changes: Change) -> Load:
    """Return a load of the whole room with changes."""
    return Arrivals(seed).mix(1.0, 0.0, END_S).build("return", *changes)


def leave_and_return(
    zone: str, leave: float = LEAVE_S, back: float = BACK_S, cold_s: float = 0.0
) -> list[Change]:
    """Return the changes that empty a zone, and that take it back with endpoints that may be cold."""
    return [Change(leave, zone, 0), Change(back, zone, SLOTS, cold_s)]


@dataclass(frozen=True)
class Sample:
    """What was seen at one moment: requests and slots of each zone, and calls that wait."""

    at: float
    running: dict[str, int]
    slots: dict[str, int]
    waiting: int

    def free(self) -> int:
        return sum(self.slots.values()) - sum(self.running.values())


class ReturnPlayer(Player):
    """Player that samples the zones, and knows when each endpoint got its requests.

    Attributes
    ----------
    samples : list of Sample
        One each `SAMPLE_S`.
    refused_at : list of float
        Times of refusals in seconds after the start.
    """

    SAMPLE_S = 0.01

    async def play(self) -> None:
        self.samples: list[Sample] = []
        self.refused_at: list[float] = []
        self.began = asyncio.get_running_loop().time()
        sampler = asyncio.ensure_future(self._sample())
        await super().play()
        sampler.cancel()

    async def _sample(self) -> None:
        while True:
            at = asyncio.get_running_loop().time() - self.began
            places = self.places.values()
            running, slots = (
                {
                    zone: sum(getattr(one, name) for one in places if one.zone == zone)
                    for zone in ZONES
                }
                for name in ("running", "slots")
            )
            waiting = sum(sum(one.queue.list_lengths().values()) for one in self.daemons.values())
            self.samples.append(Sample(at, running, slots, waiting))
            await asyncio.sleep(self.SAMPLE_S)

    def arrivals(self, zone: str) -> dict[str, list[float]]:
        """Return the times of the requests at each endpoint of a zone."""
        return {
            place.name: [round(at - self.began, 6) for at in place.arrivals]
            for place in self.places.values()
            if place.zone == zone
        }

    def measure_unused(self, start: float, end: float) -> float:
        """Return the share of all places that are free while as many calls wait."""
        samples = [one for one in self.samples if start <= one.at < end]
        unused = sum(min(one.free(), one.waiting) for one in samples)
        return unused / sum(sum(one.slots.values()) for one in samples)

    def count_refused(self, start: float, end: float, free: int) -> int:
        """Return how many calls were refused while at least `free` places were free."""
        return sum(
            self.samples[int(at / self.SAMPLE_S)].free() >= free
            for at in self.refused_at
            if start <= at < end
        )

    async def _handle(self, daemon: Daemon, exchange: Exchange) -> None:
        await super()._handle(daemon, exchange)
        if exchange.retry_after_s is not None:
            self.refused_at.append(asyncio.get_running_loop().time() - self.began)


def play_return(
    daemons: int, *changes: Change, seed: int = 1, cold_limit: ColdLimit | None = None
) -> ReturnPlayer:
    """Play zones that return, and return the player with what it saw."""
    state = random.getstate()
    random.seed(seed)

    async def run() -> ReturnPlayer:
        player = ReturnPlayer(build_return(seed, *changes), daemons, seed, "arrival", cold_limit)
        await player.play()
        return player

    try:
        return run_auto_advance(run())
    finally:
        random.setstate(state)
