"""Decodes the operator's evacuations of availability zones."""

from __future__ import annotations

from typing import Any

import msgspec

from magnoliarouter.store.validation import check_value

__all__ = ["EVACUATION_KIND", "decode_evacuation"]

# The name of an object is that of the zone.
EVACUATION_KIND = "evacuations"


class _Evacuation(msgspec.Struct):
    """Value of an evacuation; it has no fields so far."""


def decode_evacuation(value: Any) -> bool:
    """Return True for a zone that is to be evacuated.

    Raises
    ------
    ValidationFailure
        The value is no object.
    """
    check_value(value, _Evacuation)
    return True
