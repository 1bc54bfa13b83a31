"""Reports of a guard on its endpoint: the load header of every response, load and cache rows."""

from __future__ import annotations

import msgspec

from magnoliarouter.core.load import LoadReport
from magnoliarouter.core.prefixes import CacheChange

__all__ = [
    "LOAD_HEADER",
    "CacheChangeRow",
    "LoadRow",
    "decode_load_header",
    "encode_load_header",
]

LOAD_HEADER = "x-load"
MICROSECONDS_PER_S = 1_000_000
MILLISECONDS_PER_S = 1000


class LoadRow(msgspec.Struct, frozen=True, array_like=True):
    """Wire form of `core.load.LoadReport`; durations in whole microseconds, age in milliseconds."""

    running: int
    slots: int
    queue_limit: int
    token_us: int = 0
    service_us: int = 0
    draining: bool = False
    engine_requests: int = 0
    age_ms: int = 0

    @classmethod
    def from_report(cls, report: LoadReport) -> LoadRow:
        """Return the wire form of a report."""
        return cls(
            report.running,
            report.slots,
            report.queue_limit,
            round(report.token_seconds * MICROSECONDS_PER_S),
            round(report.service_seconds * MICROSECONDS_PER_S),
            report.draining,
            report.engine_requests,
            round(report.age * MILLISECONDS_PER_S),
        )

    def to_report(self) -> LoadReport:
        """Return the report in the row."""
        return LoadReport(
            self.running,
            max(1, self.slots),
            self.queue_limit,
            self.token_us / MICROSECONDS_PER_S,
            self.service_us / MICROSECONDS_PER_S,
            self.draining,
            self.engine_requests,
            max(0, self.age_ms) / MILLISECONDS_PER_S,
        )


class CacheChangeRow(msgspec.Struct, frozen=True, array_like=True):
    """Wire form of `core.prefixes.CacheChange`."""

    after: int
    last: int
    stored: tuple[int, ...] = ()
    removed: tuple[int, ...] = ()
    reset: bool = False

    @classmethod
    def from_change(cls, change: CacheChange) -> CacheChangeRow:
        """Return the wire form of a change."""
        return cls(change.after, change.last, change.stored, change.removed, change.reset)

    def to_change(self) -> CacheChange:
        """Return the change in the row."""
        return CacheChange(self.after, self.last, self.stored, self.removed, self.reset)


def encode_load_header(report: LoadReport) -> str:
    """Return the value of the load header."""
    return msgspec.json.encode(LoadRow.from_report(report)).decode()


def decode_load_header(value: str) -> LoadReport | None:
    """Return the report in a load header, or None if it is not valid."""
    try:
        return msgspec.json.decode(value, type=LoadRow).to_report()
    except msgspec.DecodeError:
        return None
