"""Translation between the gateway and the users' platform.

The users' platform is an environment that a gateway daemon can run in, with settings, header
fields, engines and an object store of its own. It is not the platform whose object API
`store.client` calls by default.

Names of the platform's settings, header fields, store kinds and orders occur only in this package.
Each message is decoded once, into types of this project.
"""

from __future__ import annotations

__all__: list[str] = []
