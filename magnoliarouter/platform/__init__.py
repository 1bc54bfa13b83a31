"""Client of the platform's object API and the kinds of object kept there."""

from __future__ import annotations

from magnoliarouter.platform.client import PlatformClient
from magnoliarouter.platform.objects import StoredObject

__all__ = ["PlatformClient", "StoredObject"]
