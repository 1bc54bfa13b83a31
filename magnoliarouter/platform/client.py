"""Client of the platform's object API.

The API is HTTP with JSON bodies: entity tags carry object versions, ``If-Match`` and
``If-None-Match`` make writes conditional (RFC 9110), and a watch is a long poll.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any, TypeAlias

import msgspec

from magnoliarouter.platform.objects import StoredObject, WatchBatch

if TYPE_CHECKING:
    import aiohttp

__all__ = [
    "Ambiguous",
    "Conflict",
    "Found",
    "Missing",
    "PlatformClient",
    "ReadOutcome",
    "Unavailable",
    "WatchOutcome",
    "WriteOutcome",
    "Written",
]

CALL_TIMEOUT_S = 5.0
WATCH_WAIT_S = 25.0


@dataclass(frozen=True, slots=True)
class Found:
    """Objects that were read, complete up to a version."""

    version: int
    items: tuple[StoredObject, ...]


@dataclass(frozen=True, slots=True)
class Missing:
    """The object does not exist."""


@dataclass(frozen=True, slots=True)
class Written:
    """The write took effect and gave the object this version."""

    version: int


@dataclass(frozen=True, slots=True)
class Conflict:
    """The condition of the write did not hold; nothing changed."""

    current: StoredObject | None


@dataclass(frozen=True, slots=True)
class Ambiguous:
    """No answer to a write that was sent: it may have taken effect."""

    reason: str


@dataclass(frozen=True, slots=True)
class Unavailable:
    """The platform did not serve the call, and nothing changed."""

    reason: str


@dataclass(frozen=True, slots=True)
class Changes:
    """Changes that a watch returned."""

    batch: WatchBatch


@dataclass(frozen=True, slots=True)
class Gone:
    """The watch's version is too old; list again."""


ReadOutcome: TypeAlias = Found | Missing | Unavailable
WriteOutcome: TypeAlias = Written | Conflict | Ambiguous | Unavailable
WatchOutcome: TypeAlias = Changes | Gone | Unavailable


class PlatformClient:
    """Calls the platform's object API.

    Parameters
    ----------
    base_url : str
        Such as ``"http://127.0.0.1:8000"``.
    session : aiohttp.ClientSession
        HTTP session of the process.
    """

    def __init__(self, base_url: str, session: aiohttp.ClientSession) -> None:
        self._base = f"{base_url}/v1"
        self._session = session

    async def read(self, kind: str, name: str) -> ReadOutcome:
        """Read one object."""
        outcome = await self._call("GET", f"/objects/{kind}/{name}")
        if isinstance(outcome, Unavailable):
            return outcome
        status, body = outcome
        if status == 404:
            return Missing()
        if status != 200:
            return Unavailable(f"status {status}")
        item = msgspec.json.decode(body, type=StoredObject)
        return Found(item.version, (item,))

    async def list(self, kind: str) -> Found | Unavailable:
        """Read all objects of a kind."""
        outcome = await self._call("GET", f"/objects/{kind}")
        if isinstance(outcome, Unavailable):
            return outcome
        status, body = outcome
        if status != 200:
            return Unavailable(f"status {status}")
        batch = msgspec.json.decode(body, type=WatchBatch)
        return Found(batch.version, tuple(batch.items))

    async def write(
        self, kind: str, name: str, value: Any, expect: int | None = None
    ) -> WriteOutcome:
        """Write an object if its version is as expected.

        Parameters
        ----------
        kind, name : str
            Object to write.
        value : object
            JSON value.
        expect : int, optional
            Version that the object must have; 0 if it must not exist; None for any.

        Returns
        -------
        Written, Conflict, Ambiguous or Unavailable
            `Ambiguous` when an answer was lost: read the object back to settle it.
        """
        headers = _condition(expect)
        body = msgspec.json.encode(value)
        return await self._send("PUT", f"/objects/{kind}/{name}", headers, body)

    async def delete(self, kind: str, name: str, expect: int | None = None) -> WriteOutcome:
        """Delete an object if its version is as expected."""
        return await self._send("DELETE", f"/objects/{kind}/{name}", _condition(expect), b"")

    async def watch(self, kind: str, after: int, wait: float = WATCH_WAIT_S) -> WatchOutcome:
        """Wait for changes of a kind after a version.

        Parameters
        ----------
        kind : str
            Kind to watch.
        after : int
            Version already known.
        wait : float
            Longest wait in seconds; an empty batch comes back after it.
        """
        path = f"/watch/{kind}?after={after}&wait={wait:g}"
        outcome = await self._call("GET", path, timeout=wait + CALL_TIMEOUT_S)
        if isinstance(outcome, Unavailable):
            return outcome
        status, body = outcome
        if status == 410:
            return Gone()
        if status != 200:
            return Unavailable(f"status {status}")
        return Changes(msgspec.json.decode(body, type=WatchBatch))

    async def _send(
        self, method: str, path: str, headers: dict[str, str], body: bytes
    ) -> WriteOutcome:
        outcome = await self._call(method, path, headers=headers, body=body)
        if isinstance(outcome, Unavailable):
            # The request may have arrived although its answer did not.
            return Ambiguous(outcome.reason)
        status, answer = outcome
        if status == 200:
            return Written(msgspec.json.decode(answer, type=StoredObject).version)
        if status == 412:
            return Conflict(msgspec.json.decode(answer, type=StoredObject | None))
        if status == 503:
            return Unavailable("platform refused the call")
        return Ambiguous(f"status {status}")

    async def _call(
        self,
        method: str,
        path: str,
        headers: dict[str, str] | None = None,
        body: bytes | None = None,
        timeout: float = CALL_TIMEOUT_S,
    ) -> tuple[int, bytes] | Unavailable:
        import aiohttp

        try:
            async with asyncio.timeout(timeout):
                async with self._session.request(
                    method, self._base + path, headers=headers, data=body
                ) as answer:
                    return answer.status, await answer.read()
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            return Unavailable(type(error).__name__)


def _condition(expect: int | None) -> dict[str, str]:
    if expect is None:
        return {}
    if expect == 0:
        return {"If-None-Match": "*"}
    return {"If-Match": f'"{expect}"'}
