"""Decodes the entries with which engines register themselves in the store."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING, Annotated, Any, Literal

import msgspec
from msgspec import Meta

from magnoliarouter.core.coldstart import check_cold_ms
from magnoliarouter.gateway.endpoints import Endpoint
from magnoliarouter.store.validation import ValidationFailure, check_value
from magnoliarouter.web.addresses import parse_address

__all__ = ["REGISTRY_KIND", "decode_entry"]

if TYPE_CHECKING:
    from collections.abc import Callable

REGISTRY_KIND = "servers"
MAX_SLOTS = 100_000
# Clocks of different machines differ by seconds. An engine registers about once a second, and once
# more for each change; an entry that claims far more is another writer's.
MAX_CLOCK_SKEW_S = 60.0
MAX_REGISTRATIONS_PER_S = 20.0
# Length of each text field.
MAX_TEXT_CHARS = 1_024
MAX_COLD_BYTES = 64

Text = Annotated[str, Meta(max_length=MAX_TEXT_CHARS)]


class _Entry(msgspec.Struct):
    service: Text
    address: Text
    zone: Text
    slots: Annotated[int, Meta(ge=1, le=MAX_SLOTS)]
    state: Literal["ready", "draining"]
    born: Annotated[int, Meta(ge=0)] = 0
    version: Text = ""
    sequence: Annotated[int, Meta(ge=0)] | None = None
    # A malformed value leaves the entry usable.
    cold_remaining_ms: Any = None


class _EncodedEntry(_Entry):
    cold_remaining_ms: msgspec.Raw = msgspec.Raw()


def decode_entry(name: str, value: Any, time_of_day: Callable[[], float] = time.time) -> Endpoint:
    """Convert a registry entry into an endpoint.

    Parameters
    ----------
    name : str
        Name of the entry, which is the id of the engine.
    value : object
        Value of the entry, decoded or as `msgspec.Raw`. Fields unknown here are not held decoded.
    time_of_day : callable
        Unix time in seconds, to which the start of an engine is compared.

    Raises
    ------
    ValidationFailure
        A field is missing or invalid, so the entry names no usable endpoint.
    """
    entry = check_value(value, _EncodedEntry if isinstance(value, msgspec.Raw) else _Entry)
    if not name.isascii() or not name.isprintable():
        raise ValidationFailure(f"name is {ascii(name)}; valid: printable ASCII")
    try:
        parse_address(entry.address)
    except ValueError as error:
        raise ValidationFailure(str(error)) from error
    _check_order(entry, time_of_day())
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
        entry.sequence,
    )


def _check_order(entry: _Entry, now_s: float) -> None:
    """Refuse what would make all later entries of the engine seem older than this one."""
    if not entry.born:
        return
    age_s = now_s - entry.born / 1000 + MAX_CLOCK_SKEW_S
    if age_s < 0:
        raise ValidationFailure(f"born is {entry.born}, {-age_s:.0f} s and more in the future")
    limit = age_s * MAX_REGISTRATIONS_PER_S
    if entry.sequence is not None and entry.sequence > limit:
        raise ValidationFailure(f"sequence is {entry.sequence}; an engine that old: {limit:.0f}")


def _read_cold(value: Any) -> tuple[float | None, str]:
    """Return the seconds for which an engine stays cold, and what is malformed in the field."""
    if isinstance(value, msgspec.Raw):
        value = _decode_cold(value)
    if value is None:
        return None, ""
    try:
        return check_cold_ms(value), ""
    except ValueError as error:
        return None, f"cold_remaining_ms: {error}"


def _decode_cold(value: msgspec.Raw) -> Any:
    if not value:
        return None
    # No time takes more; what a longer value holds is shown as text.
    if len(value) <= MAX_COLD_BYTES:
        return msgspec.json.decode(value)
    return bytes(value)[:MAX_COLD_BYTES].decode("ascii", "backslashreplace")
