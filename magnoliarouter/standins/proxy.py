"""Fault-injecting TCP proxy between processes.

Each route listens on an address and connects to a target. ``PUT /routes/NAME`` with a JSON object
of `RouteFaults` fields sets the faults to inject on a route from then on; ``PUT /routes/*`` sets
them on all routes. ``GET /routes`` returns the counts of connections, faults and bytes of each
route.
"""

from __future__ import annotations

import argparse
import asyncio
import random
from dataclasses import dataclass, field

import msgspec

from magnoliarouter.standins.process import run_standin
from magnoliarouter.web.server import Exchange, WebServer

__all__ = ["Route", "RouteFaults", "RouteProxy"]

READ_BLOCK_BYTES = 65_536
COUNTER_NAMES = ("open", "cut", "dup", "bytes_up", "bytes_down")


class RouteFaults(msgspec.Struct, forbid_unknown_fields=True):
    """Faults to inject on a route.

    Parameters
    ----------
    delay, jitter : float
        Delay of each block of bytes in seconds, and upper bound of a random addition to it.
    refuse : bool
        New connections are aborted at once.
    hold_up, hold_down : bool
        Bytes to the target, or from it, are held back in the proxy. Simulates a network partition
        in one direction or both.
    cut_up, cut_down : float
        Probability that a block to the target, or from it, resets the connection.
    cut_after_up, cut_after_down : int
        Number of bytes to the target, or from it, after which a connection is reset; negative for
        no limit.
    duplicate : float
        Probability that the bytes that a connection sent to the target are sent again on a second
        connection.
    seed : int
        Seed of all random choices on the route.
    """

    delay: float = 0.0
    jitter: float = 0.0
    refuse: bool = False
    hold_up: bool = False
    hold_down: bool = False
    cut_up: float = 0.0
    cut_down: float = 0.0
    cut_after_up: int = -1
    cut_after_down: int = -1
    duplicate: float = 0.0
    seed: int = 1


@dataclass(slots=True)
class Route:
    """Listening address and its target.

    Parameters
    ----------
    name : str
        Name of the route.
    listen, target : tuple of (str, int)
        Host and port on which the route listens, and to which it connects.
    """

    name: str
    listen: tuple[str, int]
    target: tuple[str, int]
    faults: RouteFaults = field(default_factory=RouteFaults)
    random: random.Random = field(default_factory=lambda: random.Random(1))
    faults_changed: asyncio.Event = field(default_factory=asyncio.Event)
    counts: dict[str, int] = field(default_factory=lambda: dict.fromkeys(COUNTER_NAMES, 0))

    def set_faults(self, faults: RouteFaults) -> None:
        """Replace the faults and reseed the random choices."""
        self.faults = faults
        self.faults_changed.set()
        self.faults_changed = asyncio.Event()
        self.random = random.Random(f"{faults.seed}/{self.name}")

    async def serve(self) -> asyncio.Server:
        """Start to listen and return the server."""
        return await asyncio.start_server(self._accept, *self.listen)

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self.faults.refuse:
            writer.transport.abort()
            return
        try:
            target_reader, target_writer = await asyncio.open_connection(*self.target)
        except OSError:
            writer.transport.abort()
            return
        self.counts["open"] += 1
        sent_bytes = bytearray() if self.random.random() < self.faults.duplicate else None
        pumps = (
            asyncio.create_task(self._pump(reader, target_writer, up=True, sent_copy=sent_bytes)),
            asyncio.create_task(self._pump(target_reader, writer, up=False)),
        )
        await asyncio.wait(pumps, return_when=asyncio.FIRST_COMPLETED)
        await _cancel_pumps(pumps)
        writer.transport.abort() if any(map(_was_cut, pumps)) else writer.close()
        target_writer.close()
        if sent_bytes:
            await self._send_duplicate(bytes(sent_bytes))

    async def _pump(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        up: bool,
        sent_copy: bytearray | None = None,
    ) -> bool:
        """Forward bytes in one direction until the end, and return whether a fault cut them off."""
        forwarded = 0
        while block := await reader.read(READ_BLOCK_BYTES):
            await self._wait_for_release(up)
            allowed = self._allowed_bytes(up, forwarded, len(block))
            writer.write(block[:allowed])
            if sent_copy is not None:
                sent_copy += block[:allowed]
            await writer.drain()
            forwarded += allowed
            self.counts["bytes_up" if up else "bytes_down"] += allowed
            if allowed < len(block):
                self.counts["cut"] += 1
                return True
        return False

    async def _wait_for_release(self, up: bool) -> None:
        delay_s = self.faults.delay + self.random.random() * self.faults.jitter
        if delay_s:
            await asyncio.sleep(delay_s)
        while self.faults.hold_up if up else self.faults.hold_down:
            await self.faults_changed.wait()

    def _allowed_bytes(self, up: bool, forwarded: int, size: int) -> int:
        faults = self.faults
        share = faults.cut_up if up else faults.cut_down
        if share and self.random.random() < share:
            return self.random.randrange(size)
        limit = faults.cut_after_up if up else faults.cut_after_down
        return size if limit < 0 else min(size, max(0, limit - forwarded))

    async def _send_duplicate(self, data: bytes) -> None:
        self.counts["dup"] += 1
        try:
            reader, writer = await asyncio.open_connection(*self.target)
            writer.write(data)
            await reader.read(READ_BLOCK_BYTES)
        except OSError:
            return
        writer.close()


def _was_cut(pump: asyncio.Task[bool]) -> bool:
    return not pump.cancelled() and pump.exception() is None and pump.result()


async def _cancel_pumps(pumps: tuple[asyncio.Task[bool], ...]) -> None:
    for pump in pumps:
        pump.cancel()
    await asyncio.gather(*pumps, return_exceptions=True)


class RouteProxy:
    """All routes of a proxy process, and their control API."""

    def __init__(self, routes: list[Route]) -> None:
        self.routes = {route.name: route for route in routes}
        self._servers: list[asyncio.Server] = []

    async def open_routes(self) -> None:
        """Start to listen on all routes."""
        for route in self.routes.values():
            self._servers.append(await route.serve())

    async def handle(self, exchange: Exchange) -> None:
        """Handle one control request."""
        request = exchange.request
        match (request.method, *request.path.strip("/").split("/")):
            case ("GET", "routes"):
                counts = {route.name: route.counts for route in self.routes.values()}
                await exchange.send(200, msgspec.json.encode(counts))
            case ("PUT", "routes", name) if name == "*" or name in self.routes:
                faults = msgspec.json.decode(request.body, type=RouteFaults)
                names = list(self.routes) if name == "*" else [name]
                for route_name in names:
                    self.routes[route_name].set_faults(faults)
                await exchange.send(200, b"{}")
            case _:
                await exchange.send(404, b'{"error": "no such route"}')


def _parse_route(text: str) -> Route:
    name, listen, target = text.split("=")
    return Route(name, _parse_address(listen), _parse_address(target))


def _parse_address(text: str) -> tuple[str, int]:
    host, port = text.rsplit(":", 1)
    return host, int(port)


def _main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--route", action="append", default=[], help="NAME=LISTEN=TARGET")
    options, _ = parser.parse_known_args()
    opening: list[asyncio.Task[None]] = []

    def start(runtime: object, bind: tuple[str, int]) -> WebServer:
        proxy = RouteProxy([_parse_route(text) for text in options.route])
        opening.append(asyncio.get_running_loop().create_task(proxy.open_routes()))
        return WebServer(runtime, bind, proxy.handle)

    run_standin(start, parser)


if __name__ == "__main__":
    _main()
