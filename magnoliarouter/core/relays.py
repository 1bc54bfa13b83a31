"""Choice of the entry daemons that watch configuration on the platform and relay it to the others.

In each availability zone the first two entry VMs in rendezvous hashing order hold this duty: they
watch the platform. Every other daemon follows both of them. Each relay also follows the other
relay of its zone and one of another zone, so that changes reach a zone that is cut off from the
platform but not from other zones.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from magnoliarouter.core.hashing import rendezvous_order
from magnoliarouter.core.membership import order_duty_holders

if TYPE_CHECKING:
    from collections.abc import Iterable

    from magnoliarouter.core.membership import EntryVm

__all__ = ["RelayObservations", "RelayPlan", "plan_relays", "should_watch"]

DUTY = "configuration-relay"
RELAYS_PER_ZONE = 2
MAX_LOCAL_SOURCES = 4
FOLLOWER_TIMEOUT_S = 15.0
RELAY_TIMEOUT_S = 2.0
PLATFORM_STALE_S = 30.0


@dataclass(frozen=True, slots=True)
class RelayPlan:
    """Role of one daemon in the distribution of configuration.

    Parameters
    ----------
    holds_duty : bool
        Whether the daemon watches the platform and relays configuration.
    local_sources, remote_sources : tuple of str
        Addresses of peers to follow in its own zone and in other zones, in order of preference.
    """

    holds_duty: bool
    local_sources: tuple[str, ...]
    remote_sources: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class RelayObservations:
    """A daemon's contacts with its followers and sources, as loop times in seconds.

    Parameters
    ----------
    followed_at : float, optional
        Time at which another daemon last followed this one.
    unreachable_since : float, optional
        Time since which no relay responds, initially the start; None while a relay responds.
    platform_contact_at : float
        Time of the last contact with the platform, direct or through relays, for the kind of object
        whose last contact is the oldest.
    """

    followed_at: float | None
    unreachable_since: float | None
    platform_contact_at: float


def plan_relays(name: str, zone: str, vms: Iterable[EntryVm]) -> RelayPlan:
    """Return the role of a daemon.

    Parameters
    ----------
    name, zone : str
        The daemon's VM, which may be missing from a stale list, and its availability zone.
    vms : iterable of EntryVm
        Entry VMs as listed by the platform.
    """
    known = list(vms)
    order = order_duty_holders(DUTY, zone, known)
    local_sources = [vm for vm in order if vm.name != name]
    holders = {vm.name for vm in order[:RELAYS_PER_ZONE]}
    if name in holders:
        # A daemon that is followed watches the platform itself, so a relay follows only the other
        # relay to keep further daemons from watching.
        local_sources = [vm for vm in local_sources if vm.name in holders]
    others = {vm.zone for vm in known if vm.zone != zone}
    remote_sources = [
        vm
        for other in rendezvous_order(f"{DUTY}/{name}", others)
        for vm in order_duty_holders(DUTY, other, known)[:RELAYS_PER_ZONE]
    ]
    return RelayPlan(
        name in holders or not local_sources,
        tuple(vm.address for vm in local_sources[:MAX_LOCAL_SOURCES]),
        tuple(vm.address for vm in remote_sources),
    )


def should_watch(
    plan: RelayPlan, observations: RelayObservations, now: float, jitter: float
) -> bool:
    """Return whether a daemon watches the platform itself.

    It does if it holds the duty, if another daemon followed it recently, or if it has been without
    a response from any relay or without contact with the platform for too long.

    Parameters
    ----------
    plan : RelayPlan
        Role of the daemon.
    observations : RelayObservations
        Its contacts with followers and sources.
    now : float
        Loop time in seconds.
    jitter : float
        Number from 0 to 1, different for each daemon, which spreads out the load on the platform
        when many daemons lose their relays at the same time.
    """
    if plan.holds_duty:
        return True
    if observations.followed_at is not None and now - observations.followed_at < FOLLOWER_TIMEOUT_S:
        return True
    if (
        observations.unreachable_since is not None
        and now - observations.unreachable_since > RELAY_TIMEOUT_S * (1 + jitter)
    ):
        return True
    return now - observations.platform_contact_at > PLATFORM_STALE_S * (1 + jitter)
