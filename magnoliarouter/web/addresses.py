"""Addresses that other processes registered."""

from __future__ import annotations

from ipaddress import AddressValueError, IPv4Address

__all__ = ["parse_address"]

MAX_PORT = 65_535


def parse_address(address: str) -> tuple[str, int]:
    """Return host and port of ``"host:port"``.

    Raises
    ------
    ValueError
        The host is no IPv4 address, so that it would have to be looked up, or the port no number
        from 1 to 65535.

    Examples
    --------
    >>> parse_address("10.0.0.5:8080")
    ('10.0.0.5', 8080)
    """
    host, _, port = address.rpartition(":")
    try:
        IPv4Address(host)
    except AddressValueError as error:
        raise ValueError(f"address is {ascii(address[:80])}: {error}") from error
    if not (port.isascii() and port.isdigit() and 0 < int(port[:6]) <= MAX_PORT):
        raise ValueError(f"address is {ascii(address[:80])}; valid ports: 1 to {MAX_PORT}")
    return host, int(port)
