"""Client of the agents of a group's ranks."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import aiohttp
import msgspec

from magnoliarouter.core.mapmessages import Order, Report
from magnoliarouter.endpoints.group import KEY_HEADER, RankLoad
from magnoliarouter.web.bodies import read_body

if TYPE_CHECKING:
    from collections.abc import Sequence

__all__ = ["RankClient"]

CALL_TIMEOUT_S = 1.0


class RankClient:
    """Client of all ranks of one group.

    Parameters
    ----------
    addresses : sequence of str
        ``host:port`` of each rank's agent.
    session : aiohttp.ClientSession
        HTTP session.
    key : str
        Key shared by all of the system's processes.
    """

    def __init__(self, addresses: Sequence[str], session: aiohttp.ClientSession, key: str) -> None:
        self._headers = {KEY_HEADER: key}
        self._addresses = addresses
        self._session = session

    async def send(self, rank: int, order: Order) -> Report | None:
        """Send an order and return the rank's report, or None without a valid response."""
        raw = await self._call("POST", rank, "order", msgspec.json.encode(order))
        return _decode(raw, Report)

    async def read_loads(self) -> list[RankLoad | None]:
        """Return the load of each rank, None for those that do not respond."""
        ranks = range(len(self._addresses))
        responses = await asyncio.gather(*(self._call("GET", rank, "load") for rank in ranks))
        return [_decode(raw, RankLoad) for raw in responses]

    async def _call(self, method: str, rank: int, path: str, body: bytes = b"") -> bytes | None:
        url = f"http://{self._addresses[rank]}/rank/{path}"
        try:
            async with asyncio.timeout(CALL_TIMEOUT_S):
                async with self._session.request(
                    method, url, data=body, headers=self._headers
                ) as response:
                    raw = await read_body(response)
                    return raw if response.status == 200 else None
        except (aiohttp.ClientError, OSError, TimeoutError):
            return None


def _decode(raw: bytes | None, model: type) -> object | None:
    try:
        return msgspec.json.decode(raw, type=model) if raw is not None else None
    except msgspec.MsgspecError:
        return None
