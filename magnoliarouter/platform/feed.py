"""Keeps caches of platform objects up to date by list and watch."""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING, Any

from magnoliarouter.core.cache import VersionedCache
from magnoliarouter.platform.client import Changes, Found, Gone
from magnoliarouter.platform.objects import ObjectError

if TYPE_CHECKING:
    from collections.abc import Callable

    from magnoliarouter.platform.client import PlatformClient
    from magnoliarouter.platform.objects import StoredObject

__all__ = ["ObjectFeed"]

FIRST_BACKOFF_S = 0.2
LAST_BACKOFF_S = 5.0


class ObjectFeed:
    """Objects of one kind, kept current by list and watch.

    Parameters
    ----------
    client : PlatformClient
        Client to read from.
    kind : str
        Kind of object.
    decode : callable
        Turns a JSON value into a checked value; raises `ObjectError`.
    on_change : callable, optional
        Called with the name and value (None once deleted) of each object that changed.
    """

    def __init__(
        self,
        client: PlatformClient,
        kind: str,
        decode: Callable[[Any], Any],
        on_change: Callable[[str, Any], None] = lambda name, value: None,
    ) -> None:
        self.kind = kind
        self.cache: VersionedCache[Any] = VersionedCache()
        self.errors: dict[str, str] = {}
        self.synchronized = asyncio.Event()
        self.version = 0
        self._client = client
        self._decode = decode
        self._on_change = on_change

    async def run(self) -> None:
        """List, then watch, for ever."""
        backoff = FIRST_BACKOFF_S
        listed = False
        while True:
            listed, served = await (self._watch() if listed else self._list())
            if served:
                backoff = FIRST_BACKOFF_S
                continue
            await asyncio.sleep(backoff * random.uniform(0.5, 1.0))
            backoff = min(2 * backoff, LAST_BACKOFF_S)

    def apply(self, item: StoredObject) -> bool:
        """Take an object if it is newer and valid, and return whether it changed the cache."""
        if item.value is None:
            return self._store(item, None)
        try:
            value = self._decode(item.value)
        except ObjectError as error:
            self.errors[item.name] = f"version {item.version}: {error}"
            return False
        self.errors.pop(item.name, None)
        return self._store(item, value)

    def _store(self, item: StoredObject, value: Any) -> bool:
        changed = self.cache.apply(item.name, item.version, value)
        if changed:
            self._on_change(item.name, value)
        return changed

    async def _list(self) -> tuple[bool, bool]:
        match await self._client.list(self.kind):
            case Found(version, items):
                for item in items:
                    self.apply(item)
                self._delete_absent({item.name for item in items}, version)
                self.version = max(self.version, version)
                self.synchronized.set()
                return True, True
        return False, False

    def _delete_absent(self, present: set[str], version: int) -> None:
        for name, entry in list(self.cache.entries.items()):
            if name not in present and entry.version < version and entry.value is not None:
                if self.cache.apply(name, version, None):
                    self._on_change(name, None)

    async def _watch(self) -> tuple[bool, bool]:
        match await self._client.watch(self.kind, self.version):
            case Changes(batch):
                for item in batch.items:
                    self.apply(item)
                self.version = max(self.version, batch.version)
                return True, True
            case Gone():
                return False, True
        return True, False
