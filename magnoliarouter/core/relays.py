"""Which entry daemons read configuration from the platform, and whom the others follow.

In each availability zone the first two entry VMs in rendezvous order watch the platform. Every
other daemon follows both of them. A watching daemon also follows the other one and one of another
zone, so that a zone cut off from the platform alone still hears of changes.
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
    """Part of one daemon in spreading configuration.

    Parameters
    ----------
    holds_duty : bool
        Whether it watches the platform and relays.
    local_sources, remote_sources : tuple of str
        Peers' addresses to follow, the preferred ones first, in its own zone and in others.
    """

    holds_duty: bool
    local_sources: tuple[str, ...]
    remote_sources: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class RelayObservations:
    """What a daemon has seen of its sources, in loop time.

    Parameters
    ----------
    followed_at : float, optional
        When another daemon last followed this one.
    unreachable_since : float, optional
        Since when no relay answers, at first since the start; None while one does.
    platform_contact_at : float
        When the platform was last heard of for the kind heard of longest ago.
    """

    followed_at: float | None
    unreachable_since: float | None
    platform_contact_at: float


def plan_relays(name: str, zone: str, vms: Iterable[EntryVm]) -> RelayPlan:
    """Return the part of a daemon.

    Parameters
    ----------
    name, zone : str
        The daemon's VM, which a lagging list may not hold yet, and its availability zone.
    vms : iterable of EntryVm
        Entry VMs as the platform lists them.
    """
    known = list(vms)
    order = order_duty_holders(DUTY, zone, known)
    local_sources = [vm for vm in order if vm.name != name]
    holders = {vm.name for vm in order[:RELAYS_PER_ZONE]}
    if name in holders:
        # To follow a daemon makes it watch; a holder needs no more than the other holder.
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
    """Return whether a daemon reads from the platform itself.

    Parameters
    ----------
    plan : RelayPlan
        The daemon's part.
    observations : RelayObservations
        What it has seen.
    now : float
        Loop time in seconds.
    jitter : float
        Number from 0 to 1 of this daemon, which staggers those that lose their relays together.
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
