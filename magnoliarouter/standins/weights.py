"""Stand-in for the weight store: serves experts at a rate that all groups share fairly.

``POST /weights?group=NAME&bytes=N`` responds once the transfer of the bytes would be complete.
``PUT /faults`` with ``{"down": true}`` makes the store refuse transfers; ``GET /stats`` returns the
bytes sent to each group.
"""

from __future__ import annotations

import argparse
import asyncio
from collections import Counter, deque
from typing import TYPE_CHECKING

import msgspec

from magnoliarouter.standins.process import run_standin
from magnoliarouter.web.server import WebServer

if TYPE_CHECKING:
    from magnoliarouter.web.exchange import Exchange

__all__ = ["WeightStoreStandin"]

CHUNK_BYTES = 4 << 20


class _Faults(msgspec.Struct, forbid_unknown_fields=True):
    down: bool = False


class WeightStoreStandin:
    """Serves chunks to the waiting groups in round-robin order.

    Parameters
    ----------
    bytes_per_second : float
        Total transfer rate of all groups.
    """

    def __init__(self, bytes_per_second: float) -> None:
        self.sent_bytes: Counter[str] = Counter()
        self._bytes_per_second = bytes_per_second
        self._down = False
        self._waiting_groups: deque[str] = deque()
        self._pending_chunks: dict[str, deque[asyncio.Future[None]]] = {}
        self._worker: asyncio.Task[None] | None = None

    async def handle(self, exchange: Exchange) -> None:
        """Handle one request."""
        request = exchange.request
        match (request.method, request.path):
            case ("PUT", "/faults"):
                self._down = msgspec.json.decode(request.body, type=_Faults).down
                await exchange.send(200, b"{}")
            case ("GET", "/stats"):
                await exchange.send(200, msgspec.json.encode(self.sent_bytes))
            case ("POST", "/weights") if self._down:
                await exchange.send(503, b"{}")
            case ("POST", "/weights"):
                await self._transfer(request.query["group"], int(request.query["bytes"]))
                await exchange.send(200, b"{}")
            case _:
                await exchange.send(404, b"{}")

    async def _transfer(self, group: str, size: int) -> None:
        for _ in range(-(-size // CHUNK_BYTES)):
            chunk_sent = asyncio.get_running_loop().create_future()
            if group not in self._waiting_groups:
                self._waiting_groups.append(group)
            self._pending_chunks.setdefault(group, deque()).append(chunk_sent)
            if self._worker is None or self._worker.done():
                self._worker = asyncio.create_task(self._send_chunks())
            await chunk_sent

    async def _send_chunks(self) -> None:
        while self._waiting_groups:
            group = self._waiting_groups.popleft()
            chunk_sent = self._pending_chunks[group].popleft()
            await asyncio.sleep(CHUNK_BYTES / self._bytes_per_second)
            self.sent_bytes[group] += CHUNK_BYTES
            if self._pending_chunks[group] and group not in self._waiting_groups:
                self._waiting_groups.append(group)
            if not chunk_sent.done():
                chunk_sent.set_result(None)


def _main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--bytes-per-second", type=float, default=2e9)
    options, _ = parser.parse_known_args()

    def start(runtime: object, bind: tuple[str, int]) -> WebServer:
        return WebServer(runtime, bind, WeightStoreStandin(options.bytes_per_second).handle)

    run_standin(start, parser)


if __name__ == "__main__":
    _main()
