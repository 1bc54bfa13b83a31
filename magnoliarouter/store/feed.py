"""Keeps a replica of platform objects up to date by list and watch."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

from magnoliarouter.store.backoff import Backoff
from magnoliarouter.store.replica import Replica
from magnoliarouter.store.results import Changes, Failure, Found, Gone, Unavailable
from magnoliarouter.store.turns import run_in_turns

if TYPE_CHECKING:
    from collections.abc import Callable

    from magnoliarouter.store.client import PlatformClient
    from magnoliarouter.store.objects import StoredObject
    from magnoliarouter.store.recovery import SharedRecovery

__all__ = ["ObjectFeed"]

WATCH_WAIT_S = 10.0


class ObjectFeed(Replica):
    """Replica of one kind of object, updated by list and watch calls while `run` runs.

    Parameters
    ----------
    client : PlatformClient
        Client to read from.
    kind, decode, on_change, **options
        As in `Replica`.
    backoff : Backoff, optional
        Waits after failed calls.
    watch_wait_s : float
        Longest wait of a watch in seconds; it may be changed at any time.
    on_served : callable, optional
        Called with the loop time in seconds at which a call was sent, after each successful call
        whose response is no older than the replica.
    on_availability : callable, optional
        Called with the reason when calls start to fail, and with "" when they succeed again.
    batch_interval_s : float
        Seconds between a watch that returned changes and the next watch, so that changes in quick
        succession arrive in one batch; it may be changed at any time.
    recovery : SharedRecovery, optional
        Turns that the feeds of one process take while the store is unavailable; by default each
        waits by its own back-off.

    Attributes
    ----------
    failures : int
        Consecutive calls that failed.
    reason : str
        Why the last of them failed.
    served_at : float, optional
        Loop time in seconds at which a call last succeeded.
    confirmed_at : float, optional
        Loop time in seconds at which the last call was sent after which `on_served` was called; the
        replica was up to date at that time.
    failed_at : float
        Loop time in seconds at which a call last failed.
    """

    def __init__(
        self,
        client: PlatformClient,
        kind: str,
        decode: Callable[..., Any],
        on_change: Callable[[str, Any], None] = lambda name, value: None,
        backoff: Backoff | None = None,
        watch_wait_s: float = WATCH_WAIT_S,
        on_served: Callable[[float], None] = lambda sent_at: None,
        on_availability: Callable[[str], None] = lambda reason: None,
        batch_interval_s: float = 0.0,
        recovery: SharedRecovery | None = None,
        **options: Any,
    ) -> None:
        super().__init__(kind, decode, on_change, **options)
        self.failures = 0
        self.reason = ""
        self.served_at: float | None = None
        self.failed_at = float("-inf")
        self._history_gap = False
        self._client = client
        self._backoff = backoff or Backoff()
        self.watch_wait_s = watch_wait_s
        self.confirmed_at: float | None = None
        self._current_wait_s = 0.0
        self._pending_call: asyncio.Future[bool] | None = None
        self._refresh_requested = False
        self._on_served = on_served
        self._on_availability = on_availability
        self.batch_interval_s = batch_interval_s
        self._recovery = recovery
        self._changed_at = float("-inf")

    async def run(self) -> None:
        """List the objects, then watch for changes, until cancelled."""
        while True:
            can_watch = self.synchronized.is_set() and not self._refresh_requested
            self._refresh_requested = False
            self._pending_call = asyncio.ensure_future(self.watch() if can_watch else self.list())
            try:
                served = await self._pending_call
            except asyncio.CancelledError:
                task = asyncio.current_task()
                if not self._refresh_requested or (task is not None and task.cancelling()):
                    raise
                continue
            if served and not self.regressed and not self._history_gap:
                self._backoff.reset()
                await asyncio.sleep(
                    max(0.0, self._changed_at + self.batch_interval_s - self._now())
                )
            elif served or self._recovery is None:
                await asyncio.sleep(self._backoff.next_wait())
            else:
                await self._recovery.wait()

    def is_waiting_longer(self, wait: float) -> bool:
        """Return whether the current watch may wait for longer than `wait` seconds."""
        return self._current_wait_s > wait

    def refresh(self) -> None:
        """Cancel the current watch and list the objects immediately."""
        if self._pending_call is not None and not self._pending_call.done() and not self.failures:
            self._refresh_requested = True
            self._pending_call.cancel()

    async def list(self) -> bool:
        """List the objects once, and return whether the call succeeded."""
        version_at_request, sent_at = self.version, self._now()
        match await self._client.list(self.kind, self._receive):
            case Found(version, items):
                await run_in_turns(self.apply_list_in_turns(version, items, version_at_request))
                return self._record_call(True, sent_at)
            case Unavailable(reason=reason):
                self.reason = reason
        return self._record_call(False, sent_at)

    def _receive(self, item: StoredObject) -> StoredObject:
        """Check a listed object, and apply it at once if the others of the list do not matter to it.

        The first list comes into force as a whole, since nobody may act on a part of it.
        """
        item = self.prepare(item)
        if self.synchronized.is_set() and not self.may_clash:
            self.apply(item)
        return item

    async def watch(self) -> bool:
        """Wait for changes once, and return whether the call succeeded."""
        after, sent_at = self.version, self._now()
        # After a failure, a watch without a wait shows at once whether the platform responds.
        wait = self.watch_wait_s if not self.failures else 0.0
        self._current_wait_s = wait
        try:
            outcome = await self._client.watch(self.kind, after, wait, self.prepare)
        finally:
            self._current_wait_s = 0.0
        if isinstance(outcome, Unavailable):
            self.reason = outcome.reason
        self._history_gap = isinstance(outcome, Gone)
        match outcome:
            case Changes(batch):
                await run_in_turns(self.apply_changes_in_turns(batch.version, batch.items, after))
                if batch.items:
                    self._changed_at = self._now()
                # A source that lags or was restored may have objects that no watch reports.
                return await self.list() if self.regressed else self._record_call(True, sent_at)
            case Gone() | Unavailable(failure=Failure.TOO_LARGE):
                return await self.list()
        return self._record_call(False, sent_at)

    @staticmethod
    def _now() -> float:
        return asyncio.get_running_loop().time()

    def _record_call(self, served: bool, sent_at: float) -> bool:
        if served:
            if self.failures:
                self._on_availability("")
                if self._recovery is not None:
                    self._recovery.record_success()
            self.failures = 0
            self.served_at = self._now()
            self.record_contact(self.served_at)
            if not self.regressed:
                # A platform that answers from its past may not know of a later change.
                self.confirmed_at = sent_at
                self._on_served(sent_at)
        else:
            self.failures += 1
            if self.failures == 1:
                self._on_availability(self.reason)
            self.failed_at = self._now()
        return served
