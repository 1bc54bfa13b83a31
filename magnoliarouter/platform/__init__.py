"""Translation between the gateway and the users' platform.

Names of the platform's settings, header fields, store kinds and orders occur only in this package.
Each message is decoded once, into types of this project.
"""

from __future__ import annotations

__all__: list[str] = []
