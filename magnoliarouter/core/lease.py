"""Lease over conditional updates, with epochs that serve as fencing numbers.

A lease is one record in a store with conditional updates. Clocks of different processes are never
compared. A candidate takes over once it has observed the same version of the record for the
record's whole duration on its own clock. A holder stops one margin before that duration has passed
since it started to send its last successful write. `Lease` decides the next step; the caller reads
and writes the store.
"""

from __future__ import annotations

from dataclasses import dataclass, field, replace
from typing import TypeAlias

__all__ = ["Lease", "LeaseRecord", "LeaseStep", "ReadLease", "Wait", "WriteLease"]

DEFAULT_DURATION_S = 9.0
MARGIN_SHARE = 0.15
RENEW_SHARE = 1 / 3
MAX_SENT_WRITES = 8
NEVER = float("-inf")


@dataclass(frozen=True, slots=True)
class LeaseRecord:
    """Stored form of a lease.

    Parameters
    ----------
    holder : str
        Id of one start of the holding process; not reused after a restart.
    epoch : int
        Fencing number; increases with each acquisition.
    duration : float
        Seconds for which one write keeps other candidates from acquiring the lease.
    write : str
        Id of the write, by which its sender recognizes it after a lost response.
    released : bool
        Whether the holder released the lease; it may then be acquired immediately.
    """

    holder: str
    epoch: int
    duration: float
    write: str
    released: bool = False


@dataclass(frozen=True, slots=True)
class ReadLease:
    """Read the record and pass it to `Lease.observe`."""


@dataclass(frozen=True, slots=True)
class WriteLease:
    """Write a record if the stored version is `expect`; 0 if there must be none."""

    record: LeaseRecord
    expect: int


@dataclass(frozen=True, slots=True)
class Wait:
    """Take no step before the time `until`, a clock reading in seconds."""

    until: float


LeaseStep: TypeAlias = ReadLease | WriteLease | Wait


@dataclass(slots=True)
class Lease:
    """State of one lease in one process.

    Parameters
    ----------
    holder : str
        Id of this start of the process, unique over all processes and starts.
    duration : float
        Seconds for which a write keeps other candidates from acquiring the lease.
    margin : float, optional
        Seconds before expiry at which the holder stops; covers the drift between clocks.
    owner : str
        Prefix that `holder` shares with all starts of this process, of which at most one runs at a
        time; empty if that is not certain. A lease held by an earlier start is free at once.

    Examples
    --------
    >>> lease = Lease("a", duration=9.0, margin=1.0)
    >>> lease.observe(0, None, now=0.0)
    >>> step = lease.next_step(now=0.0)
    >>> lease.confirm(step.record.write, 5, now=0.5)
    >>> lease.held_epoch(now=7.9), lease.held_epoch(now=8.0)
    (1, None)
    """

    holder: str
    duration: float = DEFAULT_DURATION_S
    margin: float | None = None
    owner: str = ""
    _version: int = 0
    _record: LeaseRecord | None = None
    _seen_at: float = NEVER
    _unverified: bool = True
    _epoch: int = 0
    _held_until: float = NEVER
    _acquired_at: float = NEVER
    _inherited: bool = False
    _highest_epoch: int = 0
    _writes: int = 0
    _sent: dict[str, tuple[LeaseRecord, float]] = field(default_factory=dict)

    def __post_init__(self) -> None:
        if self.margin is None:
            self.margin = MARGIN_SHARE * self.duration

    def held_epoch(self, now: float) -> int | None:
        """Return the epoch while the lease is held, else None.

        Call it right before each effect: the lease may expire while the process is suspended.

        Parameters
        ----------
        now : float
            Clock reading in seconds.
        """
        return self._epoch if now < self._held_until else None

    def order_epoch(self, now: float, checks_fencing: bool, max_delivery_s: float) -> int | None:
        """Return the epoch if an order may be sent to an endpoint now, else None.

        Parameters
        ----------
        now : float
            Clock reading in seconds.
        checks_fencing : bool
            Whether the endpoint, or a guard before it, refuses older epochs.
        max_delivery_s : float
            Longest time in seconds for which an order of the previous holder may stay in flight.
        """
        if not checks_fencing and self._inherited and now < self._acquired_at + max_delivery_s:
            return None
        return self.held_epoch(now)

    def last_record(self) -> tuple[int, LeaseRecord] | None:
        """Return the version and record last observed, or None if there is none."""
        return None if self._record is None else (self._version, self._record)

    def next_step(self, now: float) -> LeaseStep:
        """Return the next step.

        Pass the result of a write to `confirm`, `observe` or `mark_unverified`, and that of a read
        to `observe` or `mark_unverified`. Then call `next_step` again.
        """
        if self._unverified:
            return ReadLease()
        if self.held_epoch(now) is not None:
            sent_at = self._held_until + (self.margin or 0.0) - self.duration
            renew_at = sent_at + RENEW_SHARE * self.duration
            return self._write(self._epoch, now) if now >= renew_at else Wait(renew_at)
        expiry = self._expiry_time()
        if now >= expiry:
            return self._write(self._highest_epoch + 1, now)
        return Wait(expiry)

    def release(self, now: float) -> WriteLease | None:
        """Stop holding the lease, and return the write that releases it, or None if not held.

        Call it only after all effects under the lease have ended. The lease counts as released
        here even if the write is lost.
        """
        held = self.held_epoch(now) is not None
        self._held_until = NEVER
        if not held or self._record is None:
            return None
        step = self._write(self._epoch, now)
        del self._sent[step.record.write]
        return replace(step, record=replace(step.record, released=True))

    def confirm(self, write: str, version: int, now: float) -> None:
        """Record that a write took effect and created a version of the record."""
        record, _ = self._sent[write]
        self.observe(version, record, now)

    def observe(
        self, version: int, record: LeaseRecord | None, now: float, lagging: bool = False
    ) -> None:
        """Apply a record that was read, that caused a write to be refused, or that was written.

        Parameters
        ----------
        version : int
            Version of the record; 0 if there is none.
        record : LeaseRecord or None
            The record.
        now : float
            Clock reading in seconds, taken after the response arrived.
        lagging : bool
            Whether the response may be older than the known record, as with a plain read.
        """
        self._unverified = False
        if lagging and version < self._version:
            return
        if version != self._version or self._seen_at == NEVER:
            self._version, self._record, self._seen_at = version, record, now
            self._forget_refused(record)
        if record is None:
            self._held_until = NEVER
            return
        self._highest_epoch = max(self._highest_epoch, record.epoch)
        if record.write in self._sent:
            self._accept_write(record, now)
        elif record.holder != self.holder or record.epoch != self._epoch:
            self._held_until = NEVER

    def mark_unverified(self) -> None:
        """Record that the outcome of a call is unknown; the record must be read back."""
        self._unverified = True

    def _forget_refused(self, record: LeaseRecord | None) -> None:
        # Writes sent for an earlier version can no longer take effect.
        if record is None or record.write not in self._sent:
            self._sent.clear()

    def _accept_write(self, record: LeaseRecord, now: float) -> None:
        _, sent_at = self._sent[record.write]
        held_until = sent_at + self.duration - (self.margin or 0.0)
        self._sent.clear()
        renewal = record.epoch == self._epoch
        # An expired epoch stays expired, even if its renewal took effect in time.
        if now >= held_until or (renewal and self.held_epoch(now) is None):
            self._held_until = NEVER
            return
        if not renewal:
            self._acquired_at = now
        self._epoch, self._held_until = record.epoch, held_until

    def _expiry_time(self) -> float:
        record = self._record
        if record is None or record.released or record.holder == self.holder:
            return NEVER
        if self.owner and record.holder.startswith(self.owner):
            return NEVER
        return self._seen_at + record.duration

    def _write(self, epoch: int, now: float) -> WriteLease:
        if epoch != self._epoch:
            record = self._record
            self._inherited = record is not None and not record.released
        self._writes += 1
        write = f"{self.holder}/{self._writes}"
        record = LeaseRecord(self.holder, epoch, self.duration, write)
        self._sent[write] = (record, now)
        if len(self._sent) > MAX_SENT_WRITES:
            del self._sent[next(iter(self._sent))]
        return WriteLease(record, self._version)
