"""Stand-in for the platform's object API, with fault injection.

``PUT /faults`` with a JSON object of `PlatformFaults` fields replaces the active faults.
"""

from __future__ import annotations

import asyncio
import contextlib
import random
from urllib.parse import unquote

import msgspec

from magnoliarouter.standins.process import run_standin
from magnoliarouter.store.objects import StoredObject, WatchBatch
from magnoliarouter.web.server import Exchange, ServerLimits, WebServer

__all__ = ["PlatformFaults", "ObjectStore", "PlatformStandin"]

HISTORY_LENGTH = 10_000
MAX_VALUE_BYTES = 1_048_576
SERVER_LIMITS = ServerLimits(max_body_bytes=2 * MAX_VALUE_BYTES, max_connections=100_000)


class PlatformFaults(msgspec.Struct, forbid_unknown_fields=True):
    """Faults to inject.

    Parameters
    ----------
    down : bool
        Every call of the object API gets a 503 response.
    delay : float
        Delay before each response in seconds.
    lose_answers : float
        Probability that the connection is aborted after a write took effect, without a response.
    stale_reads : int
        Number of newest changes that reads and lists omit.
    gap : bool
        Every watch responds that its version is too old.
    malformed : bool
        Objects in responses are truncated to half their length, so that they are not valid JSON.
    seed : int
        Seed of the random choice of lost responses.
    """

    down: bool = False
    delay: float = 0.0
    lose_answers: float = 0.0
    stale_reads: int = 0
    gap: bool = False
    malformed: bool = False
    seed: int = 1


class ObjectStore:
    """Versioned objects with conditional writes and a bounded history."""

    def __init__(self, history_length: int = HISTORY_LENGTH) -> None:
        self.version = 0
        self.objects: dict[tuple[str, str], StoredObject] = {}
        self.history: list[StoredObject] = []
        self.last_dropped_version = 0
        self._history_length = history_length
        self._changed = asyncio.Condition()

    def write(self, kind: str, name: str, value: object, expect: int | None) -> StoredObject | None:
        """Write an object and return it; None if its version is not `expect`.

        An `expect` of 0 requires that the object does not exist; None disables the check.
        """
        current = self.objects.get((kind, name))
        if expect is not None and expect != (current.version if current else 0):
            return None
        self.version += 1
        item = StoredObject(kind, name, self.version, value)
        if value is None:
            self.objects.pop((kind, name), None)
        else:
            self.objects[kind, name] = item
        self._append_history(item)
        return item

    def list(self, kind: str) -> list[StoredObject]:
        """Return all objects of a kind."""
        return [item for (item_kind, _), item in self.objects.items() if item_kind == kind]

    def changes(self, kind: str, after: int) -> list[StoredObject]:
        """Return the changes of a kind after a version, the oldest first."""
        recent = []
        for item in reversed(self.history):
            if item.version <= after:
                break
            if item.kind == kind:
                recent.append(item)
        return recent[::-1]

    def replica_view(self, behind: int) -> ObjectStore:
        """Return the store as seen by a replica without the newest `behind` changes."""
        if not behind or not self.history:
            return self
        replica = ObjectStore(self._history_length)
        visible = self.history[:-behind]
        replica.version = visible[-1].version if visible else self.last_dropped_version
        replica.objects = {
            key: item for key, item in self.objects.items() if item.version <= replica.version
        }
        for item in visible:
            _apply_change(replica.objects, item)
        return replica

    def restore(self, behind: int) -> None:
        """Restore the state before the newest `behind` changes, as from a backup."""
        replica = self.replica_view(behind)
        self.version, self.objects = replica.version, replica.objects
        self.history = [item for item in self.history if item.version <= self.version]

    async def notify(self) -> None:
        """Wake the waiting watches."""
        async with self._changed:
            self._changed.notify_all()

    async def wait_for_change(self, kind: str, after: int, wait: float) -> list[StoredObject]:
        """Return changes of a kind after a version; wait up to `wait` seconds for the first."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(wait), self._changed:
                await self._changed.wait_for(lambda: self.changes(kind, after))
        return self.changes(kind, after)

    def _append_history(self, item: StoredObject) -> None:
        self.history.append(item)
        if len(self.history) > self._history_length:
            self.last_dropped_version = self.history.pop(0).version


class PlatformStandin:
    """Serves an `ObjectStore` over HTTP."""

    def __init__(self) -> None:
        self.store = ObjectStore()
        self.faults = PlatformFaults()
        self.calls = {"read": 0, "write": 0, "watch": 0}
        self._random = random.Random(1)

    async def handle(self, exchange: Exchange) -> None:
        """Handle one request."""
        request = exchange.request
        parts = [unquote(part) for part in request.path.strip("/").split("/")]
        match (request.method, *parts):
            case ("PUT", "faults"):
                self.faults = msgspec.json.decode(request.body, type=PlatformFaults)
                self._random.seed(self.faults.seed)
                await exchange.send(200, b"{}")
                return
            case ("POST", "restore"):
                self.store.restore(int(request.query.get("behind", "0")))
                await exchange.send(200, b"{}")
                return
            case ("GET", "calls"):
                await exchange.send(200, msgspec.json.encode(self.calls))
                return
        if self.faults.delay:
            await asyncio.sleep(self.faults.delay)
        if self.faults.down:
            await exchange.send(503, b'{"error": "unavailable"}')
            return
        match (request.method, *parts):
            case ("GET", "v1", "objects", kind):
                await self._list(exchange, kind)
            case ("GET", "v1", "objects", kind, name):
                await self._read(exchange, kind, name)
            case ("GET", "v1", "watch", kind):
                await self._watch(exchange, kind)
            case ("PUT", "v1", "objects", kind, name):
                await self._write(exchange, kind, name, msgspec.json.decode(request.body))
            case ("DELETE", "v1", "objects", kind, name):
                await self._write(exchange, kind, name, None)
            case _:
                await exchange.send(404, b'{"error": "no such path"}')

    async def _list(self, exchange: Exchange, kind: str) -> None:
        self.calls["read"] += 1
        store = self.store.replica_view(self.faults.stale_reads)
        await self._send(exchange, 200, WatchBatch(store.version, store.list(kind)))

    async def _send(self, exchange: Exchange, status: int, content: object) -> None:
        body = msgspec.json.encode(content)
        await exchange.send(status, body[: len(body) // 2] if self.faults.malformed else body)

    async def _read(self, exchange: Exchange, kind: str, name: str) -> None:
        self.calls["read"] += 1
        item = self.store.replica_view(self.faults.stale_reads).objects.get((kind, name))
        await self._send(exchange, 200 if item else 404, item)

    async def _watch(self, exchange: Exchange, kind: str) -> None:
        self.calls["watch"] += 1
        after = int(exchange.request.query.get("after", "0"))
        wait = float(exchange.request.query.get("wait", "25"))
        if self.faults.gap or after < self.store.last_dropped_version:
            await exchange.send(410, b'{"error": "version is too old"}')
            return
        items = await self.store.wait_for_change(kind, after, wait)
        version = items[-1].version if items else self.store.version
        await self._send(exchange, 200, WatchBatch(version, items))

    async def _write(self, exchange: Exchange, kind: str, name: str, value: object) -> None:
        self.calls["write"] += 1
        if len(exchange.request.body) > MAX_VALUE_BYTES:
            await exchange.send(413, b'{"error": "value is too large"}')
            return
        item = self.store.write(kind, name, value, _expected_version(exchange.request.headers))
        if item is None:
            current = self.store.objects.get((kind, name))
            await self._send(exchange, 412, current)
            return
        await self.store.notify()
        if self._random.random() < self.faults.lose_answers:
            exchange.abort()
            return
        await self._send(exchange, 200, item)


def _apply_change(objects: dict[tuple[str, str], StoredObject], item: StoredObject) -> None:
    if item.value is None:
        objects.pop((item.kind, item.name), None)
    else:
        objects[item.kind, item.name] = item


def _expected_version(headers: dict[str, str]) -> int | None:
    if headers.get("if-none-match") == "*":
        return 0
    if "if-match" in headers:
        return int(headers["if-match"].strip('"'))
    return None


if __name__ == "__main__":
    run_standin(
        lambda runtime, bind: WebServer(runtime, bind, PlatformStandin().handle, SERVER_LIMITS)
    )
