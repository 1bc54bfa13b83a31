"""Messages between entry daemons about the load of endpoints.

A collector is an entry daemon that gathers the reports of a zone's endpoints; a digest contains the
reports that changed since the last request of a follower, another entry daemon.
"""

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
    """Request to a collector for the reports that changed.

    Parameters
    ----------
    epoch : str
        Epoch of the last digest received; empty at first.
    after : int
        Version of the last digest received in that epoch.
    zone : str
        Availability zone whose endpoints are requested, without caches; empty for all endpoints.
    """

    epoch: str
    after: int
    zone: str = ""


class EndpointIdentity(msgspec.Struct, frozen=True, array_like=True):
    """Endpoint that a number identifies within one epoch."""

    number: int
    name: str
    zone: str
    incarnation: str


class EndpointRow(msgspec.Struct, frozen=True, array_like=True):
    """Report of an endpoint whose `EndpointIdentity` was sent; the load includes the report's age."""

    number: int
    load: LoadRow
    cache: CacheChangeRow | None = None


class Digest(msgspec.Struct, frozen=True, array_like=True):
    """Endpoints whose reports changed.

    Parameters
    ----------
    epoch : str
        Id of the collector's table; versions and numbers are valid within one epoch only.
    version : int
        Version up to which this digest is complete.
    identities : list of EndpointIdentity
        Endpoints whose identity was not sent to the follower yet.
    rows : list of EndpointRow
        Reports of endpoints that changed.
    stale : list of str
        Endpoints that the collector lost contact with; the reports of all others are still valid.
    """

    epoch: str
    version: int
    identities: list[EndpointIdentity]
    rows: list[EndpointRow]
    stale: list[str]


def encode_rows(
    rows: list[DigestRow], now: float
) -> tuple[list[EndpointIdentity], list[EndpointRow]]:
    """Encode rows for sending at the loop time `now` in seconds."""
    identities = [
        EndpointIdentity(row.number, row.name, row.zone, row.incarnation)
        for row in rows
        if row.is_new
    ]
    return identities, [_encode_row(row, now) for row in rows]


def decode_row(row: EndpointRow, endpoint: EndpointIdentity, now: float) -> DigestRow:
    """Decode a row that was received at the loop time `now` in seconds."""
    cache = row.cache.to_change() if row.cache else None
    report = row.load.to_report()
    return DigestRow(endpoint.name, endpoint.zone, endpoint.incarnation, report, now, cache)


def _encode_row(row: DigestRow, now: float) -> EndpointRow:
    age = row.report.age + max(0.0, now - row.measured_at)
    load = LoadRow.from_report(dataclasses.replace(row.report, age=age))
    return EndpointRow(
        row.number, load, CacheChangeRow.from_change(row.cache) if row.cache else None
    )
