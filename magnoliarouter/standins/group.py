"""Stand-in for the interconnect of a group: a barrier between the steps of its ranks.

No rank starts a step before all ranks have completed the previous one. ``POST /arrive`` with an
`Arrival` returns ``{"step": N}`` once all ranks have completed the step with the same generation.
``GET /position`` returns the current step of the group.
"""

from __future__ import annotations

import argparse
import asyncio
from typing import TYPE_CHECKING

import msgspec

from magnoliarouter.standins.process import run_standin
from magnoliarouter.web.server import WebServer

if TYPE_CHECKING:
    from magnoliarouter.web.exchange import Exchange

__all__ = ["Arrival", "Interconnect", "Position"]


class Arrival(msgspec.Struct, frozen=True):
    """Report that a rank has completed a step.

    Parameters
    ----------
    rank, step : int
        The rank and the step that it has completed.
    generation : str
        Generation of the group; a step ends only if all ranks report the same generation.
    """

    rank: int
    step: int
    generation: str


class Position(msgspec.Struct, frozen=True):
    """Current step of the group."""

    step: int


class Interconnect:
    """Lock-step barrier between the ranks of a group.

    Parameters
    ----------
    rank_count : int
        Number of ranks in the group.
    """

    def __init__(self, rank_count: int) -> None:
        self.step = 0
        self._rank_count = rank_count
        self._arrived_generations: dict[int, str] = {}
        self._step_ended = asyncio.Event()

    async def handle(self, exchange: Exchange) -> None:
        """Handle one request."""
        request = exchange.request
        match (request.method, request.path):
            case ("GET", "/position"):
                await exchange.send(200, msgspec.json.encode(Position(self.step)))
            case ("POST", "/arrive"):
                await self._wait_for_step_end(msgspec.json.decode(request.body, type=Arrival))
                await exchange.send(200, msgspec.json.encode(Position(self.step)))
            case _:
                await exchange.send(404, b"{}")

    async def _wait_for_step_end(self, arrival: Arrival) -> None:
        if arrival.step != self.step:
            return
        self._arrived_generations[arrival.rank] = arrival.generation
        if (
            len(self._arrived_generations) == self._rank_count
            and len(set(self._arrived_generations.values())) == 1
        ):
            self.step += 1
            self._arrived_generations.clear()
            self._step_ended.set()
            self._step_ended = asyncio.Event()
            return
        await self._step_ended.wait()


def _main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--size", type=int, required=True)
    options, _ = parser.parse_known_args()

    def start(runtime: object, bind: tuple[str, int]) -> WebServer:
        return WebServer(runtime, bind, Interconnect(options.size).handle)

    run_standin(start, parser)


if __name__ == "__main__":
    _main()
