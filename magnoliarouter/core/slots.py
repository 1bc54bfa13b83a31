"""Lease of a quota home slot: a record in the platform, backed by its successor's promises.

A VM that holds the lease of a slot lends the quota that belongs to the slot. The holder renews a
record in the platform by conditional update. If renewals fail, the holder may continue as long as
the one VM that the record names as successor keeps promising not to take over.

Each take-over has to win the conditional update. The successor takes over only if it has seen no
renewal for the lease duration plus a margin, and no promise that it gave may still be in force. A
daemon that restarts on the holder's VM takes over at once, unless the platform's store was restored
from a backup. Other VMs take over only if neither the holder nor the successor is on the platform's
list of VMs, and at least two lease durations after they first observed the last renewal. After a
release, the candidates try to acquire the slot in the order of their positions. All times are
durations on each VM's own loop clock.
"""

from __future__ import annotations

from dataclasses import dataclass, replace

__all__ = ["LEASE_DURATION_S", "LEASE_MARGIN_S", "Slot", "SlotRecord", "SlotWrite"]

LEASE_DURATION_S = 10.0
LEASE_MARGIN_S = 1.0
RENEW_SHARE = 1 / 3


@dataclass(frozen=True, slots=True)
class SlotRecord:
    """Lease of a slot as stored in the platform.

    Parameters
    ----------
    epoch : int
        Number of the lease; increases with each take-over.
    holder, incarnation : str
        VM that holds the slot, and the id of its daemon's start; empty after a release.
    successor : str
        VM that may take over, and on whose promises the holder relies.
    renewal : int
        Increases with each renewal.
    """

    epoch: int
    holder: str
    incarnation: str
    successor: str
    renewal: int = 0


@dataclass(frozen=True, slots=True)
class SlotWrite:
    """Conditional update: the record to write, and the version it replaces (0 for none)."""

    record: SlotRecord
    expect: int


@dataclass(slots=True)
class Slot:
    """State of one slot as observed by one VM of its zone.

    Parameters
    ----------
    name : str
        Name of the slot.
    vm, incarnation : str
        This VM and the id of its daemon's start.
    started : float
        Loop time of the daemon's start in seconds.
    lease_seconds : float
        Duration of a lease without renewal; must be the same in all daemons.
    record : SlotRecord, optional
        Newest record observed; None if there is none.
    version : int
        Version of the record; 0 if there is none.
    observed_at : float
        Loop time in seconds at which this version was first observed.
    is_first_lease : bool
        Whether the slot had no holder before the current lease of this VM.
    held_until : float
        Loop time in seconds until which this VM is proven to hold the slot.
    promised_until : float
        Loop time in seconds until which this VM has promised not to take over.
    writing : bool
        Whether an update is in flight or its outcome is unknown.
    restored : bool
        Whether the platform's store was found to have been restored from a backup.
    last_epoch : int
        Highest epoch observed.
    """

    name: str
    vm: str
    incarnation: str
    started: float
    lease_seconds: float = LEASE_DURATION_S
    record: SlotRecord | None = None
    version: int = 0
    observed_at: float = 0.0
    is_first_lease: bool = False
    held_until: float = 0.0
    promised_until: float = 0.0
    writing: bool = False
    restored: bool = False
    last_epoch: int = 0

    @property
    def renew_seconds(self) -> float:
        """Seconds between renewals, and between reads of a slot that another VM holds."""
        return RENEW_SHARE * self.lease_seconds

    def observe(
        self, record: SlotRecord | None, version: int, now: float, authoritative: bool = False
    ) -> None:
        """Apply a record read from the platform; an older version is ignored.

        Parameters
        ----------
        record : SlotRecord or None
            Stored record, or None if there is none.
        version : int
            Version of the record; 0 if there is none.
        now : float
            Loop time in seconds.
        authoritative : bool
            Whether the record comes from a conditional update that failed. An older version then
            means that the platform's store was restored from a backup, and that a VM which
            acquired the slot after the backup may still be active.
        """
        if version < self.version and authoritative:
            self.restored = True
        elif version <= self.version:
            return
        self.record, self.version, self.observed_at = record, version, now
        if record is not None:
            self.last_epoch = max(self.last_epoch, record.epoch)

    @property
    def is_holder(self) -> bool:
        """Whether the newest record names this start of the daemon as the holder."""
        record = self.record
        if record is None or self.restored:
            return False
        return (record.holder, record.incarnation) == (self.vm, self.incarnation)

    def may_lend(self, now: float) -> bool:
        """Return whether this VM is proven to hold the slot now and may lend."""
        return self.is_holder and now < self.held_until

    def plan_write(
        self, now: float, successor: str, listed: frozenset[str], position: int
    ) -> SlotWrite | None:
        """Return the conditional update that this VM should send now, or None.

        Parameters
        ----------
        now : float
            Loop time in seconds.
        successor : str
            VM to record as successor.
        listed : frozenset of str
            Names of the VMs on the platform's list.
        position : int
            Position of this VM among the candidates for the slot; later ones wait longer.
        """
        if self.writing:
            return None
        record = self.record
        if record is None:
            # There is no record: VMs try to acquire the slot in the order of their positions.
            waited = now - self.started >= position * LEASE_MARGIN_S
            if self.restored:
                waited = now - self.observed_at >= self.lease_seconds + LEASE_MARGIN_S
            return SlotWrite(self._claim(successor), 0) if waited else None
        if self.is_holder:
            # The write that acquired the slot may take effect late, after this VM has promised
            # another holder not to take over. It must not renew before that promise ends.
            if now - self.observed_at < self.renew_seconds or now < self.promised_until:
                return None
            renewed = replace(record, renewal=record.renewal + 1, successor=successor)
            return SlotWrite(renewed, self.version)
        if self._may_take_over(record, now, listed, position):
            return SlotWrite(self._claim(successor), self.version)
        return None

    def plan_release(self) -> SlotWrite | None:
        """Stop lending, and return the update that releases the slot, or None if not held."""
        self.held_until = 0.0
        if not self.is_holder or self.record is None:
            return None
        return SlotWrite(replace(self.record, holder="", incarnation=""), self.version)

    def start_write(self) -> None:
        """Record that an update is in flight; no promise is given until it has finished."""
        self.writing = True

    def finish_write(self, write: SlotWrite, version: int | None, sent: float, now: float) -> None:
        """Record the result of an update: its new version, or None if it did not take effect.

        If the outcome is unknown, the record must be read back first; `writing` stays set until
        then.
        """
        self.writing = False
        if version is None:
            return
        created = write.expect == 0 and self.last_epoch == 0
        self.is_first_lease = created or (self.is_first_lease and self.is_holder)
        self.restored = False
        self.observe(write.record, version, now)
        if self.is_holder:
            self.held_until = max(self.held_until, sent + self.lease_seconds - LEASE_MARGIN_S)

    def needs_promise(self, now: float) -> bool:
        """Return whether renewals fail, so that a promise of the successor is needed."""
        return (
            self.is_holder
            and now < self.held_until
            and self.held_until - now
            < self.lease_seconds - LEASE_MARGIN_S - 1.2 * self.renew_seconds
        )

    def promise(self, epoch: int, incarnation: str, now: float) -> float:
        """Promise the holder not to take over, and return the duration of the promise in seconds.

        Returns
        -------
        float
            0 if this VM must not promise: it is not the successor, has a record of another holder,
            or has an update in flight.
        """
        record = self.record
        if record is None or self.writing or record.successor != self.vm:
            return 0.0
        if (record.epoch, record.incarnation) != (epoch, incarnation):
            return 0.0
        self.promised_until = max(self.promised_until, now + self.lease_seconds)
        return self.lease_seconds

    def accept_promise(self, seconds: float, sent: float, now: float) -> None:
        """Extend the lease by a promise that was requested at loop time `sent`."""
        if seconds > 0 and self.may_lend(now):
            self.held_until = max(self.held_until, sent + seconds - LEASE_MARGIN_S)

    def _claim(self, successor: str) -> SlotRecord:
        return SlotRecord(self.last_epoch + 1, self.vm, self.incarnation, successor)

    def _may_take_over(
        self, record: SlotRecord, now: float, listed: frozenset[str], position: int
    ) -> bool:
        if not record.holder:
            return now - self.observed_at >= position * LEASE_MARGIN_S
        if record.holder == self.vm and not self.restored:
            # Only one daemon runs on a VM, so the incarnation that held the slot has ended.
            return True
        if now - self.observed_at < self.lease_seconds + LEASE_MARGIN_S:
            return False
        if self.vm in (record.successor, record.holder):
            # Promises are lost when this daemon restarts, but one may still be in force.
            restarted = now - self.started < self.lease_seconds + LEASE_MARGIN_S
            return now >= self.promised_until and not restarted
        gone = record.holder not in listed and record.successor not in listed
        return gone and now - self.observed_at >= (2 + position) * self.lease_seconds
