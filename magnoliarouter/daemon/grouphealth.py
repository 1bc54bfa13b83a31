"""Load that expert groups add to the endpoints that they compute for."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from magnoliarouter.store.groups import GroupHealthSpec

__all__ = ["GroupHealth"]


class GroupHealth:
    """Published health of all groups, by endpoint.

    Examples
    --------
    >>> GroupHealth().extra_load("engine-1")
    0.0
    """

    def __init__(self) -> None:
        self._groups: dict[str, GroupHealthSpec] = {}
        self._extra: dict[str, float] = {}

    def update(self, name: str, health: GroupHealthSpec | None) -> None:
        """Take a group's health that was written or deleted."""
        if health is None:
            self._groups.pop(name, None)
        else:
            self._groups[name] = health
        self._extra = {}
        for found in self._groups.values():
            for endpoint in found.endpoints:
                self._extra[endpoint] = max(self._extra.get(endpoint, 0.0), found.extra_load)

    def extra_load(self, endpoint: str) -> float:
        """Return the load to add to an endpoint's, in requests a slot."""
        return self._extra.get(endpoint, 0.0)
