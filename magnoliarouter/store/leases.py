"""Acquires, renews and releases a lease that is stored in the platform."""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING

import msgspec

from magnoliarouter.core.lease import DEFAULT_DURATION_S, Lease, LeaseRecord, Wait, WriteLease
from magnoliarouter.store.client import Conflict, Found, Missing, Written
from magnoliarouter.store.objects import StoredObject
from magnoliarouter.telemetry.logs import log_event

if TYPE_CHECKING:
    from collections.abc import Callable

    from magnoliarouter.core.lease import LeaseStep
    from magnoliarouter.store.client import PlatformClient, ReadOutcome, WriteOutcome

__all__ = ["LEASE_KIND", "LeaseManager"]

LEASE_KIND = "lease"
RETRY_DELAY_S = 0.3
MAX_RELEASE_TRIES = 3
CANDIDATE_POLL_FRACTION = 1 / 3
POLL_JITTER_FRACTION = 0.2


class LeaseManager:
    """Acquires a lease whenever it is free and renews it while it is held.

    Parameters
    ----------
    client : PlatformClient
        Client of the object API.
    name : str
        Name of the lease.
    holder : str
        Id of this start of the process, unique among all processes and starts.
    clock : callable
        Loop time in seconds.
    duration : float
        Seconds for which one write keeps other candidates from acquiring the lease.
    on_change : callable, optional
        Called with the epoch when the lease is acquired, and with None when its loss is noticed.
        Actions under the lease must not rely on it: call `epoch` immediately before each action.
    owner : str
        Prefix of `holder` that identifies this process over its starts; see `Lease`.
    on_written : callable, optional
        Called after each write of the lease that succeeded.

    Examples
    --------
    ::

        lease = LeaseManager(client, "sweeper.zone-1", uuid4().hex, loop.time)
        task = loop.create_task(lease.run())
        ...
        epoch = lease.epoch()
        if epoch is not None:
            send_order(epoch)
        ...
        task.cancel()
        await lease.release()
    """

    def __init__(
        self,
        client: PlatformClient,
        name: str,
        holder: str,
        clock: Callable[[], float],
        duration: float = DEFAULT_DURATION_S,
        on_change: Callable[[int | None], None] = lambda epoch: None,
        owner: str = "",
        on_written: Callable[[], None] = lambda: None,
    ) -> None:
        self.name = name
        self._on_written = on_written
        self.lease = Lease(holder, duration, owner=owner)
        self._client = client
        self._clock = clock
        self._on_change = on_change
        self._reported_epoch: int | None = None
        self._releasing = False

    def epoch(self) -> int | None:
        """Return the fencing number if the lease is held now, else None."""
        return None if self._releasing else self.lease.held_epoch(self._clock())

    def order_epoch(self, checks_fencing: bool, delivery: float) -> int | None:
        """Return the fencing number if an order may be sent now; see `Lease.order_epoch`."""
        if self._releasing:
            return None
        return self.lease.order_epoch(self._clock(), checks_fencing, delivery)

    def held_record(self) -> tuple[int, LeaseRecord] | None:
        """Return the version and record of the last write while the lease is held, else None."""
        return self.lease.last_record() if self.epoch() is not None else None

    def observe_holder(self, version: int, record: LeaseRecord) -> None:
        """Apply the record that the holder reports of its own last write.

        It counts as a read of the store that came late. A candidate that competes later has thus
        observed the record since the report, and waits no longer than the holder may act.
        """
        if self.epoch() is None:
            self.lease.observe(version, record, self._clock(), lagging=True)

    async def run(self) -> None:
        """Acquire and renew until cancelled."""
        while True:
            step = self.lease.next_step(self._clock())
            succeeded = await self._perform(step)
            self._report_epoch()
            if not succeeded:
                await asyncio.sleep(RETRY_DELAY_S * random.uniform(0.5, 1.0))

    def resume(self) -> None:
        """Allow the lease to be acquired again after `release`."""
        self._releasing = False
        self.lease.mark_unverified()

    def stop_acting(self) -> None:
        """Return no epoch from now on, until `resume`; the lease is not released yet."""
        self._releasing = True

    async def release(self) -> None:
        """Release the lease; call it after `run` is cancelled and all actions under the lease ended."""
        self.stop_acting()
        step = self.lease.release(self._clock())
        self._report_epoch()
        if step is None:
            return
        expect = step.expect
        for _ in range(MAX_RELEASE_TRIES):
            value = msgspec.to_builtins(step.record)
            outcome = await self._client.write(LEASE_KIND, self.name, value, expect=expect)
            match outcome:
                case Conflict(StoredObject(version=version, value={"holder": holder})) if (
                    holder == step.record.holder
                ):
                    # An earlier renewal took effect although its response was lost.
                    expect = version
                case _:
                    return

    async def _perform(self, step: LeaseStep) -> bool:
        match step:
            case Wait(until):
                await self._wait(until)
                return True
            case WriteLease(record, expect):
                value = msgspec.to_builtins(record)
                outcome = await self._client.write(LEASE_KIND, self.name, value, expect=expect)
                return self._apply_write(record.write, outcome)
        return self._apply_read(await self._client.read(LEASE_KIND, self.name))

    async def _wait(self, until: float) -> None:
        now = self._clock()
        if self.lease.held_epoch(now) is not None:
            await asyncio.sleep(max(0.0, until - now))
            return
        # A candidate polls the record often enough to observe each renewal.
        poll = (
            self.lease.duration
            * CANDIDATE_POLL_FRACTION
            * random.uniform(1 - POLL_JITTER_FRACTION, 1.0)
        )
        await asyncio.sleep(max(0.0, min(until - now, poll)))
        self.lease.mark_unverified()

    def _apply_write(self, write: str, outcome: WriteOutcome) -> bool:
        now = self._clock()
        match outcome:
            case Written(version):
                self.lease.confirm(write, version, now)
                self._on_written()
            case Conflict(None):
                self.lease.observe(0, None, now)
            case Conflict(current):
                return self._observe(current, lagging=False)
            case _:
                self.lease.mark_unverified()
                return False
        return True

    def _apply_read(self, outcome: ReadOutcome) -> bool:
        now = self._clock()
        match outcome:
            case Found(_, (item,)):
                return self._observe(item, lagging=True)
            case Missing():
                self.lease.observe(0, None, now, lagging=True)
                return True
        return False

    def _observe(self, item: StoredObject, lagging: bool) -> bool:
        try:
            record = msgspec.convert(item.value, type=LeaseRecord)
        except msgspec.ValidationError as error:
            # Overwriting it could restart the epochs, so an operator has to correct it.
            log_event("lease_invalid", lease=self.name, version=item.version, error=str(error))
            self.lease.mark_unverified()
            return False
        self.lease.observe(item.version, record, self._clock(), lagging)
        return True

    def _report_epoch(self) -> None:
        epoch = self.epoch()
        if epoch != self._reported_epoch:
            self._reported_epoch = epoch
            self._on_change(epoch)
