"""Models of expert groups as stored in the platform."""

from __future__ import annotations

from typing import Annotated, Literal

import msgspec
from msgspec import Meta

__all__ = ["GROUP_HEALTH_KIND", "GROUP_KIND", "GroupHealthSpec", "GroupSpec"]

GROUP_KIND = "group"
GROUP_HEALTH_KIND = "group-health"

Name = Annotated[str, Meta(pattern=r"^[a-z0-9][a-z0-9.-]{0,62}$")]


class GroupSpec(msgspec.Struct, frozen=True, forbid_unknown_fields=True, omit_defaults=True):
    """Expert group as an operator writes it.

    Parameters
    ----------
    name : str
        Name of the group; also that of its map.
    ranks : tuple of str
        ``host:port`` of the agent of each rank, in order of rank.
    layers, experts : int
        Number of layers with experts, and of experts in each layer.
    endpoints : tuple of str
        Endpoints that the group computes for; its health adds to their load.
    favour : {"skew", "cost"}
        Whether rebalancing gives more weight to step-time skew or to its own cost.
    layer_slots : int
        Experts of one layer that fit into the memory of a rank.
    expert_bytes : int
        Size of one expert of one layer in bytes.
    store_bytes_per_second : float
        Bandwidth of the weight store that this group may use, in bytes per second.
    interval_seconds : float
        Time between two rebalancing plans in seconds.
    pinned : bool
        Whether the map in force is kept unchanged.
    """

    name: Name
    ranks: Annotated[tuple[str, ...], Meta(min_length=1, max_length=255)]
    layers: Annotated[int, Meta(ge=1, le=1000)]
    experts: Annotated[int, Meta(ge=1, le=4096)]
    endpoints: tuple[Name, ...] = ()
    favour: Literal["skew", "cost"] = "skew"
    layer_slots: Annotated[int, Meta(ge=1)] = 4
    expert_bytes: Annotated[int, Meta(ge=1)] = 50_000_000
    store_bytes_per_second: Annotated[float, Meta(gt=0)] = 1e9
    interval_seconds: Annotated[float, Meta(ge=1)] = 20.0
    pinned: bool = False


class GroupHealthSpec(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Health of a group as published by its controller.

    Parameters
    ----------
    name : str
        Name of the group.
    skew : float
        Step-time skew, (slowest - mean)/mean.
    extra_load : float
        Load to add to that of the group's endpoints; see `core.rebalance.extra_group_load`.
    version : int
        Map version in force.
    stragglers : tuple of int
        Ranks reported as persistently slow.
    endpoints : tuple of str
        Endpoints that the load is added to.
    """

    name: Name
    skew: float
    extra_load: float
    version: int
    stragglers: tuple[int, ...] = ()
    endpoints: tuple[Name, ...] = ()
