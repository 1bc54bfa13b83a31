"""Translation between the gateway and the users' platform, and nothing else.

Names of the platform's files, header fields, store kinds and orders stand only in this package;
each is decoded once, into types of the product whose fields say what they hold.
"""

from __future__ import annotations

__all__: list[str] = []
