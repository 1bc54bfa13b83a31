"""Messages between entry daemons about the load of endpoints."""

from __future__ import annotations

import msgspec

from magnoliarouter.core.digest import DigestRow
from magnoliarouter.endpoints.report import CacheRun, LoadRow

__all__ = ["Digest", "DigestRequest", "EndpointRow"]

MILLISECONDS = 1000


class DigestRequest(msgspec.Struct, frozen=True, array_like=True):
    """Asks a collector for what changed.

    Parameters
    ----------
    epoch : str
        Epoch of the digest known so far; empty at first.
    after : int
        Version known so far within that epoch.
    zone : str
        Only endpoints of this availability zone, without caches; empty for all.
    """

    epoch: str
    after: int
    zone: str = ""


class EndpointRow(msgspec.Struct, frozen=True, array_like=True):
    """`core.digest.DigestRow` as it is sent; its time as an age in milliseconds."""

    name: str
    zone: str
    incarnation: str
    age_ms: int
    load: LoadRow
    cache: CacheRun | None = None

    @classmethod
    def from_row(cls, row: DigestRow, now: float) -> EndpointRow:
        """Return a row in the form in which it is sent at a loop time."""
        age = max(0, round((now - row.measured) * MILLISECONDS))
        cache = CacheRun.from_change(row.cache) if row.cache else None
        load = LoadRow.from_report(row.report)
        return cls(row.name, row.zone, row.incarnation, age, load, cache)

    def to_row(self, now: float) -> DigestRow:
        """Return the row that was received at a loop time."""
        measured = now - max(0, self.age_ms) / MILLISECONDS
        cache = self.cache.to_change() if self.cache else None
        report = self.load.to_report()
        return DigestRow(self.name, self.zone, self.incarnation, report, measured, cache)


class Digest(msgspec.Struct, frozen=True, array_like=True):
    """Endpoints whose reports changed.

    Parameters
    ----------
    epoch : str
        Id of the collector's table; versions compare within one epoch only.
    version : int
        Version that this digest is complete up to.
    rows : list of EndpointRow
        Changed endpoints.
    stale : list of str
        Endpoints that the collector has lost contact with; the reports of all others hold.
    """

    epoch: str
    version: int
    rows: list[EndpointRow]
    stale: list[str]
