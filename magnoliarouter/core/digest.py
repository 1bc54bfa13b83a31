"""Table of endpoint reports that a collector keeps and other entry daemons read incrementally.

Every change increments the version of the table. A follower, an entry daemon that polls the table,
sends the last version it has and receives only the endpoints that changed since. Polling therefore
transfers almost nothing while the endpoints' load doesn't change.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field, replace
from typing import TYPE_CHECKING

from magnoliarouter.core.prefixes import CacheChange, CacheLog

if TYPE_CHECKING:
    from collections.abc import Iterable, Set

    from magnoliarouter.core.load import LoadReport

__all__ = ["DigestRow", "DigestTable"]

STALE_S = 30.0
MAX_CACHE_VERSIONS = 64


@dataclass(frozen=True, slots=True)
class DigestRow:
    """Load report of one endpoint.

    Parameters
    ----------
    name, zone : str
        Endpoint and its availability zone.
    incarnation : str
        Incarnation of the guard that reported.
    report : LoadReport
        Load of the endpoint.
    measured_at : float
        Loop time in seconds at which the report was sent.
    cache : CacheChange, optional
        Changes of the prefix cache that the follower has not received yet.
    number : int
        Number that identifies the endpoint in the table that the row was read from.
    is_new : bool
        Whether the follower has not received this incarnation of the endpoint under that number.
    """

    name: str
    zone: str
    incarnation: str
    report: LoadReport
    measured_at: float
    cache: CacheChange | None = None
    number: int = 0
    is_new: bool = False


@dataclass(slots=True)
class _Record:
    row: DigestRow
    version: int
    last_contact: float
    number: int
    # Table version at which the endpoint's name, zone or incarnation last changed.
    identity_version: int
    cache_log: CacheLog = field(default_factory=CacheLog)
    # Each table version that changed the cache, with the number of the last cache event before
    # that change; oldest first.
    cache_positions: deque[tuple[int, int]] = field(
        default_factory=lambda: deque(maxlen=MAX_CACHE_VERSIONS)
    )


@dataclass(slots=True)
class DigestTable:
    """Latest report of each endpoint, with the table version at which it changed."""

    version: int = 0
    _numbers: int = 0
    _records: dict[str, _Record] = field(default_factory=dict)

    def update(self, row: DigestRow, now: float) -> None:
        """Store the report of an endpoint that was received at loop time `now`."""
        self.version += 1
        record = self._records.get(row.name)
        if record is None:
            self._numbers += 1
            record = _Record(row, self.version, now, self._numbers, self.version)
            self._records[row.name] = record
        if record.row.incarnation != row.incarnation:
            record.identity_version = self.version
            record.cache_log.clear()
            record.cache_positions.clear()
        record.row, record.version, record.last_contact = row, self.version, now
        if row.cache is not None:
            record.cache_positions.append((self.version, record.cache_log.last))
            record.cache_log.append(row.cache)

    def confirm(self, name: str, now: float) -> None:
        """Record that the last report of an endpoint was still valid at loop time `now`."""
        if name in self._records:
            self._records[name].last_contact = now

    def confirm_zone(self, zone: str, stale: Set[str], now: float) -> None:
        """Confirm the reports of all endpoints of a zone except those named in `stale`."""
        for name, record in self._records.items():
            if record.row.zone == zone and name not in stale:
                record.last_contact = now

    def cache_position(self, name: str) -> int:
        """Return the number of the last cache event received from an endpoint; 0 if none."""
        record = self._records.get(name)
        return record.cache_log.last if record else 0

    def drop(self, names: Iterable[str]) -> None:
        """Remove endpoints that are no longer registered."""
        for name in names:
            self._records.pop(name, None)

    def read(self, after: int, zone: str | None = None) -> list[DigestRow]:
        """Return the rows that changed after a version.

        Parameters
        ----------
        after : int
            Last table version that the follower received.
        zone : str, optional
            Return only the endpoints of this availability zone, without their cache changes.
        """
        changed = [record for record in self._records.values() if record.version > after]
        if zone is not None:
            changed = [record for record in changed if record.row.zone == zone]
        return [_read_row(record, after, zone is None) for record in changed]

    def list_stale(self, now: float) -> list[str]:
        """Return the endpoints without contact for more than `STALE_S` seconds."""
        return [
            name for name, record in self._records.items() if now - record.last_contact > STALE_S
        ]


def _read_row(record: _Record, after: int, with_cache: bool) -> DigestRow:
    position = next((number for version, number in record.cache_positions if version > after), None)
    cache = record.cache_log.read(position) if with_cache and position is not None else None
    is_new = record.identity_version > after
    return replace(record.row, cache=cache, number=record.number, is_new=is_new)
