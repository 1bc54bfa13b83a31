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

__all__ = ["RelayPlan", "RelayView", "plan_relays", "should_watch"]

DUTY = "configuration-relay"
HOLDERS_PER_ZONE = 2
NEAR_CANDIDATES = 4
ASKED_S = 15.0
SILENT_S = 2.0
STALE_S = 30.0


@dataclass(frozen=True, slots=True)
class RelayPlan:
    """Part of one daemon in spreading configuration.

    Parameters
    ----------
    holds_duty : bool
        Whether it watches the platform and relays.
    near, far : tuple of str
        Peers' addresses to follow, the preferred ones first, in its own zone and in others.
    """

    holds_duty: bool
    near: tuple[str, ...]
    far: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class RelayView:
    """What a daemon has seen of its sources, in loop time.

    Parameters
    ----------
    asked_at : float, optional
        When another daemon last followed this one.
    silent_since : float, optional
        Since when no relay answers, at first since the start; None while one does.
    contact : float
        When the platform was last heard of for the kind heard of longest ago.
    """

    asked_at: float | None
    silent_since: float | None
    contact: float


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
    near = [vm for vm in order if vm.name != name]
    holders = {vm.name for vm in order[:HOLDERS_PER_ZONE]}
    if name in holders:
        # To follow a daemon makes it watch; a holder needs no more than the other holder.
        near = [vm for vm in near if vm.name in holders]
    others = {vm.zone for vm in known if vm.zone != zone}
    far = [
        vm
        for other in rendezvous_order(f"{DUTY}/{name}", others)
        for vm in order_duty_holders(DUTY, other, known)[:HOLDERS_PER_ZONE]
    ]
    return RelayPlan(
        name in holders or not near,
        tuple(vm.address for vm in near[:NEAR_CANDIDATES]),
        tuple(vm.address for vm in far),
    )


def should_watch(plan: RelayPlan, view: RelayView, now: float, jitter: float) -> bool:
    """Return whether a daemon reads from the platform itself.

    Parameters
    ----------
    plan : RelayPlan
        The daemon's part.
    view : RelayView
        What it has seen.
    now : float
        Loop time in seconds.
    jitter : float
        Number from 0 to 1 of this daemon, which staggers those that lose their relays together.
    """
    if plan.holds_duty:
        return True
    if view.asked_at is not None and now - view.asked_at < ASKED_S:
        return True
    if view.silent_since is not None and now - view.silent_since > SILENT_S * (1 + jitter):
        return True
    return now - view.contact > STALE_S * (1 + jitter)
