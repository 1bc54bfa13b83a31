"""Client of the platform's object API.

The client limits the rate and duration of calls and the size of responses. `store.wire` encodes the
calls and decodes the responses, `store.transport` sends the calls. No response of the platform,
however malformed, raises an exception: every call returns one of the result classes of
`magnoliarouter.store.results`.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

import msgspec

from magnoliarouter.store.jsontext import PART_BYTES
from magnoliarouter.store.objects import WatchBatch
from magnoliarouter.store.results import (
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
from magnoliarouter.store.transport import SessionTransport, Transport
from magnoliarouter.store.turns import run_in_turns
from magnoliarouter.store.values import decode_plain
from magnoliarouter.store.wire import EntityTagCodec, ObjectCodec, StoreCall

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    import aiohttp

    from magnoliarouter.store.backoff import CallBudget
    from magnoliarouter.store.objects import StoredObject
    from magnoliarouter.store.turns import Work

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
MAX_OBJECT_BYTES = 2 * 1_048_576
MAX_LIST_BYTES = 16 * 1_048_576
# More changes than that are listed, part by part.
MAX_WATCH_BYTES = 4 * 1_048_576
# Ends a list that never reports a last page. A page may consist of a single large object.
MAX_LIST_PAGES = 10_000
# Converting a small object takes as long as converting this much of a large one.
ITEM_OVERHEAD_BYTES = 512


def _convert_all(
    items: Iterable[StoredObject], convert: Callable[[StoredObject], StoredObject]
) -> Work[list[StoredObject]]:
    converted, size = [], 0
    for item in items:
        converted.append(convert(item))
        size += ITEM_OVERHEAD_BYTES
        if isinstance(item.value, msgspec.Raw):
            size += len(item.value)
        if size > PART_BYTES:
            size = 0
            yield
    return converted


class PlatformClient:
    """Calls the platform's object API.

    Parameters
    ----------
    base_url : str
        URL of the platform, such as ``"http://127.0.0.1:8000"``.
    session : aiohttp.ClientSession or Transport
        HTTP session of the process, which must not retry requests by itself, or another
        transport, with which `base_url` is not used.
    budget : CallBudget, optional
        Rate limit of the calls; a call waits for it for at most `call_timeout`.
    on_call : callable, optional
        Called after each call with its operation (``"read"``, ``"list"``, ``"watch"``,
        ``"write"`` or ``"delete"``) and result: the HTTP status, or a `Failure` value.
    wire : ObjectCodec, optional
        Wire format of the calls; `EntityTagCodec` by default.
    call_timeout : float
        Longest time of a call in seconds, in addition to the wait of a watch.

    Examples
    --------
    Write only if the object does not exist, even if responses are lost::

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
        session: aiohttp.ClientSession | Transport,
        budget: CallBudget | None = None,
        on_call: Callable[[str, str], None] = lambda operation, result: None,
        wire: ObjectCodec | None = None,
        call_timeout: float = CALL_TIMEOUT_S,
    ) -> None:
        is_transport = hasattr(session, "exchange")
        self._transport: Transport = (
            session if is_transport else SessionTransport(base_url, session)
        )
        self._wire = wire or EntityTagCodec()
        self._budget = budget
        self._on_call = on_call
        self._call_timeout = call_timeout

    async def read(self, kind: str, name: str) -> ReadOutcome:
        """Read one object."""
        outcome = await self._call("read", self._wire.read_call(kind, name))
        if isinstance(outcome, Unavailable):
            return outcome
        return self._wire.decode_read(*outcome, kind, name)

    async def list(
        self, kind: str, convert: Callable[[StoredObject], StoredObject] = decode_plain
    ) -> Found | Unavailable:
        """Read all objects of a kind; the version is that of the first page.

        Parameters
        ----------
        kind : str
            Kind to list.
        convert : callable
            Converts each object, whose value is encoded, before the next page is read. What it keeps
            of them decides the memory that a list takes.
        """
        items: list[StoredObject] = []
        version, after = None, None
        for _ in range(MAX_LIST_PAGES):
            call = self._wire.list_call(kind, after)
            outcome = await self._call("list", call, limit=MAX_LIST_BYTES)
            if isinstance(outcome, Unavailable):
                return outcome
            page = await run_in_turns(self._wire.decode_page(*outcome, kind))
            if isinstance(page, Unavailable):
                return page
            items += await run_in_turns(_convert_all(page.items, convert))
            version = page.version if version is None else version
            if page.after is not None and page.after == after:
                return Unavailable("two parts of a list end with one name", Failure.MALFORMED)
            after = page.after
            if after is None:
                return Found(version, tuple(items))
        return Unavailable(f"a list of more than {MAX_LIST_PAGES} parts", Failure.TOO_LARGE)

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
            `Ambiguous` if a response was lost; `store.settle.write_settled` determines the
            outcome in that case.
        """
        try:
            call = self._wire.write_call(kind, name, value, expect)
        except (TypeError, ValueError, OverflowError, RecursionError) as error:
            return Unavailable(f"value is not JSON: {error}", Failure.NOT_SENT)
        return await self._send_write("write", call, kind, name)

    async def delete(self, kind: str, name: str, expect: int | None = None) -> WriteOutcome:
        """Delete an object if its version is as expected."""
        call = self._wire.delete_call(kind, name, expect)
        return await self._send_write("delete", call, kind, name)

    async def watch(
        self,
        kind: str,
        after: int,
        wait: float = WATCH_WAIT_S,
        convert: Callable[[StoredObject], StoredObject] = decode_plain,
    ) -> WatchOutcome:
        """Wait for changes of a kind after a version.

        Parameters
        ----------
        kind : str
            Kind to watch.
        after : int
            Version up to which the changes are already known.
        wait : float
            Longest wait in seconds, after which an empty batch is returned.
        convert : callable
            Converts each object, whose value is encoded.
        """
        call = self._wire.watch_call(kind, after, wait)
        outcome = await self._call("watch", call, wait, MAX_WATCH_BYTES)
        if isinstance(outcome, Unavailable):
            return outcome
        outcome = await run_in_turns(self._wire.decode_watch(*outcome, kind))
        if not isinstance(outcome, Changes):
            return outcome
        items = await run_in_turns(_convert_all(outcome.batch.items, convert))
        return Changes(WatchBatch(outcome.batch.version, items))

    async def _send_write(
        self, operation: str, call: StoreCall, kind: str, name: str
    ) -> WriteOutcome:
        outcome = await self._call(operation, call)
        if isinstance(outcome, Unavailable):
            if outcome.failure in (Failure.BUDGET, Failure.CONNECT, Failure.NOT_SENT):
                return outcome
            # The request may have taken effect although its response was lost.
            return Ambiguous(outcome.reason, outcome.failure)
        return self._wire.decode_write(*outcome, kind, name)

    async def _call(
        self, operation: str, call: StoreCall, wait: float = 0.0, limit: int = MAX_OBJECT_BYTES
    ) -> tuple[int, bytes] | Unavailable:
        if not await self._wait_for_budget():
            self._on_call(operation, Failure.BUDGET.value)
            return Unavailable("the budget of platform calls is used up", Failure.BUDGET)
        outcome = await self._transport.exchange(call, wait + self._call_timeout, limit)
        match outcome:
            case Unavailable(failure=failure):
                self._on_call(operation, failure.value)
            case (status, _):
                self._on_call(operation, str(status))
        return outcome

    async def _wait_for_budget(self) -> bool:
        """Wait until the budget allows a call, and return whether it did before the call timed out."""
        if self._budget is None:
            return True
        loop = asyncio.get_running_loop()
        latest = loop.time() + self._call_timeout
        while wait := self._budget.try_acquire(loop.time()):
            if loop.time() + wait > latest:
                return False
            await asyncio.sleep(wait)
        return True
