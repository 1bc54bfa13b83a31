"""Table of endpoint reports that a collector keeps and hands out as what changed.

Every change gets a version of the table. A follower names the version that it knows and receives
only the endpoints that changed since, so that a quiet fleet costs next to nothing.
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
    """Report of one endpoint.

    Parameters
    ----------
    name, zone : str
        Endpoint and its availability zone.
    incarnation : str
        Incarnation of the guard that reported.
    report : LoadReport
        Load of the endpoint.
    measured_at : float
        Loop time at which the report was sent.
    cache : CacheChange, optional
        Changes of the prefix cache that the follower does not know.
    number : int
        Number of the endpoint in the table that the row was read from.
    is_new : bool
        Whether the follower does not know the endpoint's incarnation under that number yet.
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
    # Version of the table at which the endpoint's name, zone or incarnation last changed.
    identity_version: int
    cache_log: CacheLog = field(default_factory=CacheLog)
    # Version of the table and number of the cache's last event before it, oldest first.
    cache_positions: deque[tuple[int, int]] = field(
        default_factory=lambda: deque(maxlen=MAX_CACHE_VERSIONS)
    )


@dataclass(slots=True)
class DigestTable:
    """Latest report of each endpoint, by version of the table."""

    version: int = 0
    _numbers: int = 0
    _records: dict[str, _Record] = field(default_factory=dict)

    def update(self, row: DigestRow, now: float) -> None:
        """Take a report of an endpoint, seen at a loop time."""
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
        """Note that the last report of an endpoint still held at a loop time."""
        if name in self._records:
            self._records[name].last_contact = now

    def confirm_zone(self, zone: str, stale: Set[str], now: float) -> None:
        """Note the same for all endpoints of a zone but those that are stale."""
        for name, record in self._records.items():
            if record.row.zone == zone and name not in stale:
                record.last_contact = now

    def cache_position(self, name: str) -> int:
        """Return the number of the last cache event known of an endpoint."""
        record = self._records.get(name)
        return record.cache_log.last if record else 0

    def drop(self, names: Iterable[str]) -> None:
        """Forget endpoints that are no longer registered."""
        for name in names:
            self._records.pop(name, None)

    def read(self, after: int, zone: str | None = None) -> list[DigestRow]:
        """Return the rows that changed after a version.

        Parameters
        ----------
        after : int
            Version that the follower knows.
        zone : str, optional
            Only the endpoints of this availability zone, without their caches.
        """
        changed = [record for record in self._records.values() if record.version > after]
        if zone is not None:
            changed = [record for record in changed if record.row.zone == zone]
        return [_read_row(record, after, zone is None) for record in changed]

    def list_stale(self, now: float) -> list[str]:
        """Return the endpoints without contact for longer than the limit."""
        return [
            name for name, record in self._records.items() if now - record.last_contact > STALE_S
        ]


def _read_row(record: _Record, after: int, with_cache: bool) -> DigestRow:
    position = next((number for version, number in record.cache_positions if version > after), None)
    cache = record.cache_log.read(position) if with_cache and position is not None else None
    is_new = record.identity_version > after
    return replace(record.row, cache=cache, number=record.number, is_new=is_new)
