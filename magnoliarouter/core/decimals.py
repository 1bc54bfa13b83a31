"""Decimal numbers in the header fields of endpoints."""

from __future__ import annotations

__all__ = ["is_decimal"]

# A longer text is no figure of an endpoint.
MAX_CHARS = 20


def is_decimal(text: bytes) -> bool:
    """Return whether a text is a decimal number without a sign, with or without a fraction.

    Examples
    --------
    >>> [is_decimal(text) for text in (b"2", b"1.25", b"-1", b"nan", b"", b".")]
    [True, True, False, False, False, False]
    """
    return text.replace(b".", b"", 1).isdigit() and len(text) <= MAX_CHARS
