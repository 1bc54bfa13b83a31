"""Messages between entry daemons about the load of endpoints."""

from __future__ import annotations

import dataclasses

import msgspec

from magnoliarouter.core.digest import DigestRow
from magnoliarouter.endpoints.report import CacheChangeRow, LoadRow

__all__ = [
    "Digest",
    "DigestRequest",
    "EndpointRow",
    "EndpointIdentity",
    "decode_row",
    "encode_rows",
]


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


class EndpointIdentity(msgspec.Struct, frozen=True, array_like=True):
    """Names the endpoint that a number stands for within one epoch."""

    number: int
    name: str
    zone: str
    incarnation: str


class EndpointRow(msgspec.Struct, frozen=True, array_like=True):
    """Report of an endpoint that an `EndpointIdentity` has named; ages are included in the load."""

    number: int
    load: LoadRow
    cache: CacheChangeRow | None = None


class Digest(msgspec.Struct, frozen=True, array_like=True):
    """Endpoints whose reports changed.

    Parameters
    ----------
    epoch : str
        Id of the collector's table; versions and numbers hold within one epoch only.
    version : int
        Version that this digest is complete up to.
    identities : list of EndpointIdentity
        Endpoints that the follower does not know yet.
    rows : list of EndpointRow
        Changed endpoints.
    stale : list of str
        Endpoints that the collector has lost contact with; the reports of all others hold.
    """

    epoch: str
    version: int
    identities: list[EndpointIdentity]
    rows: list[EndpointRow]
    stale: list[str]


def encode_rows(
    rows: list[DigestRow], now: float
) -> tuple[list[EndpointIdentity], list[EndpointRow]]:
    """Return rows in the form in which they are sent at a loop time."""
    identities = [
        EndpointIdentity(row.number, row.name, row.zone, row.incarnation)
        for row in rows
        if row.is_new
    ]
    return identities, [_encode_row(row, now) for row in rows]


def decode_row(row: EndpointRow, endpoint: EndpointIdentity, now: float) -> DigestRow:
    """Return a row that was received at a loop time."""
    cache = row.cache.to_change() if row.cache else None
    report = row.load.to_report()
    return DigestRow(endpoint.name, endpoint.zone, endpoint.incarnation, report, now, cache)


def _encode_row(row: DigestRow, now: float) -> EndpointRow:
    age = row.report.age + max(0.0, now - row.measured_at)
    load = LoadRow.from_report(dataclasses.replace(row.report, age=age))
    return EndpointRow(
        row.number, load, CacheChangeRow.from_change(row.cache) if row.cache else None
    )
