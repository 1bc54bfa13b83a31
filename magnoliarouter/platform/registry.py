"""Decodes the entries with which engines register themselves in the store."""

from __future__ import annotations

from typing import Any, Literal

import msgspec

from magnoliarouter.core.coldstart import check_cold_ms
from magnoliarouter.gateway.endpoints import Endpoint
from magnoliarouter.store.validation import ValidationFailure, check_value

__all__ = ["REGISTRY_KIND", "decode_entry"]

REGISTRY_KIND = "servers"


class _Entry(msgspec.Struct):
    service: str
    address: str
    zone: str
    slots: int
    state: Literal["ready", "draining"]
    born: int = 0
    version: str = ""
    # A malformed value leaves the entry usable.
    cold_remaining_ms: Any = None


def decode_entry(name: str, value: Any) -> Endpoint:
    """Convert a registry entry into an endpoint.

    Raises
    ------
    ValidationFailure
        A field is missing or invalid, so the entry names no usable endpoint.
    """
    entry = check_value(value, _Entry)
    host, _, port = entry.address.rpartition(":")
    if not host or not port.isdigit() or entry.slots < 1:
        raise ValidationFailure(f"address is {entry.address!r}, slots is {entry.slots}")
    cold_s, fault = _read_cold(entry.cold_remaining_ms)
    return Endpoint(
        name,
        entry.service,
        entry.address,
        entry.zone,
        entry.slots,
        entry.state == "draining",
        entry.born,
        entry.version,
        cold_s,
        fault,
    )


def _read_cold(value: Any) -> tuple[float | None, str]:
    """Return the seconds for which an engine stays cold, and what is malformed in the field."""
    if value is None:
        return None, ""
    try:
        return check_cold_ms(value), ""
    except ValueError as error:
        return None, f"cold_remaining_ms: {error}"
