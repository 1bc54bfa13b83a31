"""Tenure of a quota home slot: a lease in the platform, backed by its successor's promises.

The holder renews a record in the platform by conditional update. While that fails it may go on as
long as the one VM that the record names as successor keeps promising not to take over. The
successor takes over only when it saw no renewal for a lease time and a margin, has no promise
out, and wins the conditional update. Other VMs take over only when the holder and the successor
are both off the platform's list of VMs, or the holder released the slot. Times are durations on
each VM's own loop clock.
"""

from __future__ import annotations

from dataclasses import dataclass, replace

__all__ = ["LEASE_MARGIN_S", "LEASE_DURATION_S", "Slot", "SlotRecord", "SlotWrite"]

LEASE_DURATION_S = 10.0
LEASE_MARGIN_S = 1.0
RENEW_SHARE = 1 / 3


@dataclass(frozen=True, slots=True)
class SlotRecord:
    """Lease of a slot as kept in the platform.

    Parameters
    ----------
    epoch : int
        Number of the tenure; grows with each take-over.
    holder, incarnation : str
        VM that holds the slot and the id of its daemon's start; an empty holder released it.
    successor : str
        VM that may take over and whose promises the holder relies on.
    renewal : int
        Grows with each renewal.
    """

    epoch: int
    holder: str
    incarnation: str
    successor: str
    renewal: int = 0


@dataclass(frozen=True, slots=True)
class SlotWrite:
    """Conditional update to send: the record, and the version that it replaces (0 for none)."""

    record: SlotRecord
    expect: int


@dataclass(slots=True)
class Slot:
    """One slot as one VM of its zone sees it.

    Parameters
    ----------
    name : str
        Name of the slot.
    vm, incarnation : str
        This VM and its daemon's start.
    started : float
        Loop time of the daemon's start.
    lease_seconds : float
        Life of a tenure without renewal, the same in all daemons.
    """

    name: str
    vm: str
    incarnation: str
    started: float
    lease_seconds: float = LEASE_DURATION_S
    record: SlotRecord | None = None
    version: int = 0
    observed_at: float = 0.0
    is_first_tenure: bool = False
    held_until: float = 0.0
    promised_until: float = 0.0
    writing: bool = False
    restored: bool = False
    last_epoch: int = 0

    @property
    def renew_seconds(self) -> float:
        """Seconds between renewals, and between looks at a slot that others hold."""
        return RENEW_SHARE * self.lease_seconds

    def observe(
        self, record: SlotRecord | None, version: int, now: float, authoritative: bool = False
    ) -> None:
        """Take what the platform shows; an older version is ignored.

        Parameters
        ----------
        record : SlotRecord or None
            Record, or None if there is none.
        version : int
            Its version; 0 if there is none.
        now : float
            Loop time in seconds.
        authoritative : bool
            Whether it comes from a conditional update that failed. An older version then means
            that the platform's store was restored, and whoever held the slot since may go on.
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
        """Whether the newest record names this daemon's start as holder."""
        record = self.record
        if record is None or self.restored:
            return False
        return (record.holder, record.incarnation) == (self.vm, self.incarnation)

    def may_grant(self, now: float) -> bool:
        """Return whether the tenure is proved at this moment."""
        return self.is_holder and now < self.held_until

    def plan_write(
        self, now: float, successor: str, listed: frozenset[str], position: int
    ) -> SlotWrite | None:
        """Return the update that this VM should try now, if any.

        Parameters
        ----------
        now : float
            Loop time in seconds.
        successor : str
            VM to name as successor.
        listed : frozenset of str
            VMs on the platform's list.
        position : int
            Place of this VM among those that may hold the slot; later ones wait longer.
        """
        if self.writing:
            return None
        record = self.record
        if record is None:
            # Nobody has held the slot; VMs try in order of rank.
            waited = now - self.started >= position * LEASE_MARGIN_S
            if self.restored:
                waited = now - self.observed_at >= self.lease_seconds + LEASE_MARGIN_S
            return SlotWrite(self._claim(successor), 0) if waited else None
        if self.is_holder:
            # A claim that took effect late must not break a promise given since.
            if now - self.observed_at < self.renew_seconds or now < self.promised_until:
                return None
            renewed = replace(record, renewal=record.renewal + 1, successor=successor)
            return SlotWrite(renewed, self.version)
        if self._may_take_over(record, now, listed, position):
            return SlotWrite(self._claim(successor), self.version)
        return None

    def plan_release(self) -> SlotWrite | None:
        """Return the update that gives the slot up, and stop granting."""
        self.held_until = 0.0
        if not self.is_holder or self.record is None:
            return None
        return SlotWrite(replace(self.record, holder="", incarnation=""), self.version)

    def start_write(self) -> None:
        """Note that an update is on its way; no promise is given meanwhile."""
        self.writing = True

    def finish_write(self, write: SlotWrite, version: int | None, sent: float, now: float) -> None:
        """Note the end of an update: its new version, or None if it did not take effect.

        An update whose fate is not known must be read back first; until then `writing` stays.
        """
        self.writing = False
        if version is None:
            return
        created = write.expect == 0 and self.last_epoch == 0
        self.is_first_tenure = created or (self.is_first_tenure and self.is_holder)
        self.restored = False
        self.observe(write.record, version, now)
        if self.is_holder:
            self.held_until = max(self.held_until, sent + self.lease_seconds - LEASE_MARGIN_S)

    def needs_promise(self, now: float) -> bool:
        """Return whether renewals fail so that the successor should be asked for a promise."""
        return (
            self.is_holder
            and now < self.held_until
            and self.held_until - now
            < self.lease_seconds - LEASE_MARGIN_S - 1.2 * self.renew_seconds
        )

    def promise(self, epoch: int, incarnation: str, now: float) -> float:
        """Promise the holder not to take over, and return for how many seconds.

        Returns
        -------
        float
            0 if this VM may not promise: it is not the successor, knows another holder, or is
            about to take over.
        """
        record = self.record
        if record is None or self.writing or record.successor != self.vm:
            return 0.0
        if (record.epoch, record.incarnation) != (epoch, incarnation):
            return 0.0
        self.promised_until = max(self.promised_until, now + self.lease_seconds)
        return self.lease_seconds

    def accept_promise(self, seconds: float, sent: float, now: float) -> None:
        """Rely on a promise that was asked for at `sent`."""
        if seconds > 0 and self.may_grant(now):
            self.held_until = max(self.held_until, sent + seconds - LEASE_MARGIN_S)

    def _claim(self, successor: str) -> SlotRecord:
        return SlotRecord(self.last_epoch + 1, self.vm, self.incarnation, successor)

    def _may_take_over(
        self, record: SlotRecord, now: float, listed: frozenset[str], position: int
    ) -> bool:
        if not record.holder:
            return now - self.observed_at >= position * LEASE_MARGIN_S
        if record.holder == self.vm and not self.restored:
            # One daemon runs on a VM: the incarnation that held the slot has ended.
            return True
        if now - self.observed_at < self.lease_seconds + LEASE_MARGIN_S:
            return False
        if self.vm in (record.successor, record.holder):
            # A promise given before a restart of this daemon is forgotten but may still run.
            restarted = now - self.started < self.lease_seconds + LEASE_MARGIN_S
            return now >= self.promised_until and not restarted
        gone = record.holder not in listed and record.successor not in listed
        return gone and now - self.observed_at >= (2 + position) * self.lease_seconds
