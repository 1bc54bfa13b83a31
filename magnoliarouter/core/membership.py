"""Entry VMs as listed by the platform, and the order in which they hold a duty.

A duty is a task that a few entry VMs do for the others, such as collecting load reports or
relaying configuration, and that needs no exclusive holder. The first VMs in rendezvous hashing
order hold it. Every process computes the same order from the same list; a process that cannot
reach a holder tries the next one.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from magnoliarouter.core.hashing import rendezvous_order

if TYPE_CHECKING:
    from collections.abc import Iterable

__all__ = ["EntryVm", "order_duty_holders"]


@dataclass(frozen=True, slots=True)
class EntryVm:
    """VM that runs an entry daemon.

    Parameters
    ----------
    name, zone : str
        VM and its availability zone.
    address : str
        ``host:port`` at which the daemon accepts connections from other daemons.
    leaving : bool
        Whether the platform is about to remove the VM.
    """

    name: str
    zone: str
    address: str
    leaving: bool = False


def order_duty_holders(duty: str, zone: str, vms: Iterable[EntryVm]) -> list[EntryVm]:
    """Return the entry VMs of a zone in the order in which they hold a duty.

    Parameters
    ----------
    duty : str
        Name of the duty.
    zone : str
        Availability zone.
    vms : iterable of EntryVm
        Entry VMs of all zones; leaving VMs come last in the result.
    """
    by_name = {vm.name: vm for vm in vms if vm.zone == zone}
    ordered = [by_name[name] for name in rendezvous_order(f"{duty}/{zone}", by_name)]
    return sorted(ordered, key=lambda vm: vm.leaving)
