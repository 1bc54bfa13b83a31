"""Extra load that expert groups cause at the endpoints that they serve."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from magnoliarouter.store.groups import GroupHealthSpec

__all__ = ["GroupHealth"]


class GroupHealth:
    """Extra load by endpoint, from the published health of all groups.

    Examples
    --------
    >>> GroupHealth().extra_load("engine-1")
    0.0
    """

    def __init__(self) -> None:
        self._health_by_group: dict[str, GroupHealthSpec] = {}
        self._extra_loads: dict[str, float] = {}

    def update(self, name: str, health: GroupHealthSpec | None) -> None:
        """Apply the health of a group that was written or deleted."""
        if health is None:
            self._health_by_group.pop(name, None)
        else:
            self._health_by_group[name] = health
        self._extra_loads = {}
        for found in self._health_by_group.values():
            for endpoint in found.endpoints:
                self._extra_loads[endpoint] = max(
                    self._extra_loads.get(endpoint, 0.0), found.extra_load
                )

    def extra_load(self, endpoint: str) -> float:
        """Return the load to add to that of an endpoint, in requests per slot."""
        return self._extra_loads.get(endpoint, 0.0)
