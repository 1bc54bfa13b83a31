"""Client of the platform's object API.

The API is HTTP with JSON bodies: entity tags carry object versions, ``If-Match`` and
``If-None-Match`` make writes conditional (RFC 9110), and a watch is a long poll. No answer of the
platform, however malformed, raises: every call returns one of the tagged results of
`magnoliarouter.platform.results`.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any
from urllib.parse import quote

import msgspec

from magnoliarouter.platform.objects import StoredObject, WatchBatch
from magnoliarouter.platform.results import (
    Ambiguous,
    Changes,
    Conflict,
    Failure,
    Found,
    Gone,
    Missing,
    ReadOutcome,
    Unavailable,
    WatchOutcome,
    WriteOutcome,
    Written,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    import aiohttp

    from magnoliarouter.platform.backoff import CallBudget

__all__ = [
    "Ambiguous",
    "Changes",
    "Conflict",
    "Failure",
    "Found",
    "Gone",
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
OBJECT_BYTES = 2 * 1_048_576
LIST_BYTES = 16 * 1_048_576
CHUNK_BYTES = 65_536
MAX_VERSION = 2**63 - 1
DECODE_ERRORS = (msgspec.MsgspecError, RecursionError, ValueError)


class PlatformClient:
    """Calls the platform's object API.

    Parameters
    ----------
    base_url : str
        Such as ``"http://127.0.0.1:8000"``.
    session : aiohttp.ClientSession
        HTTP session of the process; it must not repeat requests by itself.
    budget : CallBudget, optional
        Bound on the calls made; a call waits for it up to its own time limit.
    on_call : callable, optional
        Called after each call with its operation (``"read"``, ``"list"``, ``"watch"``,
        ``"write"`` or ``"delete"``) and result: the HTTP status, or a `Failure` value.

    Examples
    --------
    Write only if the object does not exist, whatever happens to the answers::

        async with open_session() as session:
            client = PlatformClient("http://10.0.0.5:8000", session)
            match await write_settled(client, "service", "tanks", {"name": "tanks"}, expect=0):
                case Written(version): ...
                case Conflict(current): ...
                case Ambiguous(reason) | Unavailable(reason): ...
    """

    def __init__(
        self,
        base_url: str,
        session: aiohttp.ClientSession,
        budget: CallBudget | None = None,
        on_call: Callable[[str, str], None] = lambda operation, result: None,
    ) -> None:
        self._base = f"{base_url}/v1"
        self._session = session
        self._budget = budget
        self._on_call = on_call

    async def read(self, kind: str, name: str) -> ReadOutcome:
        """Read one object."""
        outcome = await self._call("read", "GET", _object_path(kind, name))
        if isinstance(outcome, Unavailable):
            return outcome
        status, body = outcome
        if status == 404:
            return Missing()
        if status != 200:
            return _unexpected(status)
        item = _decode_item(body, kind, name)
        if isinstance(item, Unavailable):
            return item
        return Found(item.version, (item,))

    async def list(self, kind: str) -> Found | Unavailable:
        """Read all objects of a kind."""
        outcome = await self._call("list", "GET", f"/objects/{quote(kind, '')}", limit=LIST_BYTES)
        if isinstance(outcome, Unavailable):
            return outcome
        status, body = outcome
        if status != 200:
            return _unexpected(status)
        batch = _decode_batch(body, kind)
        if isinstance(batch, Unavailable):
            return batch
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
            `Ambiguous` when an answer was lost: `platform.settle.write_settled` settles it.
        """
        try:
            body = msgspec.json.encode(value)
        except (TypeError, ValueError, OverflowError, RecursionError) as error:
            return Unavailable(f"value is not JSON: {error}", Failure.NOT_SENT)
        return await self._send("write", "PUT", kind, name, expect, body)

    async def delete(self, kind: str, name: str, expect: int | None = None) -> WriteOutcome:
        """Delete an object if its version is as expected."""
        return await self._send("delete", "DELETE", kind, name, expect, b"")

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
        path = f"/watch/{quote(kind, '')}?after={after}&wait={wait:g}"
        timeout = wait + CALL_TIMEOUT_S
        outcome = await self._call("watch", "GET", path, timeout=timeout, limit=LIST_BYTES)
        if isinstance(outcome, Unavailable):
            return outcome
        status, body = outcome
        if status == 410:
            return Gone()
        if status != 200:
            return _unexpected(status)
        batch = _decode_batch(body, kind)
        return batch if isinstance(batch, Unavailable) else Changes(batch)

    async def _send(
        self, operation: str, method: str, kind: str, name: str, expect: int | None, body: bytes
    ) -> WriteOutcome:
        path, headers = _object_path(kind, name), _condition(expect)
        outcome = await self._call(operation, method, path, headers=headers, body=body)
        if isinstance(outcome, Unavailable):
            if outcome.failure in (Failure.BUDGET, Failure.CONNECT, Failure.NOT_SENT):
                return outcome
            # The request may have arrived although its answer did not.
            return Ambiguous(outcome.reason, outcome.failure)
        status, answer = outcome
        if status == 200:
            item = _decode_item(answer, kind, name)
            if isinstance(item, Unavailable):
                return Ambiguous(item.reason, item.failure)
            return Written(item.version)
        if status == 412:
            return _decode_conflict(answer, kind, name)
        if status == 503 or 400 <= status < 500:
            return _unexpected(status)
        return Ambiguous(f"status {status}", Failure.STATUS)

    async def _call(
        self,
        operation: str,
        method: str,
        path: str,
        headers: dict[str, str] | None = None,
        body: bytes | None = None,
        timeout: float = CALL_TIMEOUT_S,
        limit: int = OBJECT_BYTES,
    ) -> tuple[int, bytes] | Unavailable:
        if not await self._take_budget():
            self._on_call(operation, Failure.BUDGET.value)
            return Unavailable("the budget of platform calls is used up", Failure.BUDGET)
        outcome = await self._exchange(method, path, headers, body, timeout, limit)
        match outcome:
            case Unavailable(failure=failure):
                self._on_call(operation, failure.value)
            case (status, _):
                self._on_call(operation, str(status))
        return outcome

    async def _exchange(
        self,
        method: str,
        path: str,
        headers: dict[str, str] | None,
        body: bytes | None,
        timeout: float,
        limit: int,
    ) -> tuple[int, bytes] | Unavailable:
        import aiohttp
        from yarl import URL

        url = URL(self._base + path, encoded=True)
        try:
            async with asyncio.timeout(timeout):
                async with self._session.request(
                    method, url, headers=headers, data=body, allow_redirects=False
                ) as answer:
                    content = await _read_bounded(answer.content, limit)
                    if content is None:
                        answer.close()
                        reason = f"answer of more than {limit} bytes"
                        return Unavailable(reason, Failure.TOO_LARGE)
                    return answer.status, content
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            return Unavailable(type(error).__name__, Failure.CONNECT)
        except TimeoutError:
            return Unavailable(f"no answer within {timeout:g} s", Failure.TIMEOUT)
        except (aiohttp.ClientError, OSError, ValueError) as error:
            return Unavailable(type(error).__name__, Failure.BROKEN)

    async def _take_budget(self) -> bool:
        """Wait until the budget allows a call, and return whether it does in time."""
        if self._budget is None:
            return True
        loop = asyncio.get_running_loop()
        latest = loop.time() + CALL_TIMEOUT_S
        while wait := self._budget.take(loop.time()):
            if loop.time() + wait > latest:
                return False
            await asyncio.sleep(wait)
        return True


async def _read_bounded(content: aiohttp.StreamReader, limit: int) -> bytes | None:
    chunks, size = [], 0
    async for chunk in content.iter_chunked(CHUNK_BYTES):
        size += len(chunk)
        if size > limit:
            return None
        chunks.append(chunk)
    return b"".join(chunks)


def _object_path(kind: str, name: str) -> str:
    return f"/objects/{quote(kind, '')}/{quote(name, '')}"


def _unexpected(status: int) -> Unavailable:
    failure = Failure.REFUSED if status == 503 else Failure.STATUS
    return Unavailable(f"status {status}", failure)


def _decode(body: bytes, model: Any) -> Any:
    try:
        return msgspec.json.decode(body, type=model)
    except DECODE_ERRORS as error:
        return Unavailable(f"malformed answer: {error}", Failure.MALFORMED)


def _decode_item(body: bytes, kind: str, name: str) -> StoredObject | Unavailable:
    item = _decode(body, StoredObject)
    if isinstance(item, Unavailable):
        return item
    if (item.kind, item.name) != (kind, name) or not 0 < item.version <= MAX_VERSION:
        return Unavailable(
            f"answer is about {item.kind}/{item.name} version {item.version}", Failure.MALFORMED
        )
    return item


def _decode_batch(body: bytes, kind: str) -> WatchBatch | Unavailable:
    batch = _decode(body, WatchBatch)
    if isinstance(batch, Unavailable):
        return batch
    if not 0 <= batch.version <= MAX_VERSION:
        return Unavailable(f"batch has version {batch.version}", Failure.MALFORMED)
    for item in batch.items:
        if item.kind != kind or not 0 < item.version <= MAX_VERSION:
            reason = f"batch of {kind} holds {item.kind}/{item.name} version {item.version}"
            return Unavailable(reason, Failure.MALFORMED)
    return batch


def _decode_conflict(body: bytes, kind: str, name: str) -> Conflict | Unavailable:
    if body.strip() == b"null":
        return Conflict(None)
    item = _decode_item(body, kind, name)
    # The status proves that nothing changed, whatever the body says.
    return item if isinstance(item, Unavailable) else Conflict(item)


def _condition(expect: int | None) -> dict[str, str]:
    if expect is None:
        return {}
    if expect == 0:
        return {"If-None-Match": "*"}
    return {"If-Match": f'"{expect}"'}
