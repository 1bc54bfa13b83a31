"""Entry VMs as the platform lists them, and the ones that hold a duty by agreement of hashing.

A duty that needs no exclusive holder, such as collecting reports or relaying configuration, is
held by the first VMs in rendezvous order. Every process derives the same holders from the same
list; a process that cannot reach a holder goes on to the next.
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
    """Entry VM.

    Parameters
    ----------
    name, zone : str
        VM and its availability zone.
    address : str
        ``host:port`` of its peers' port.
    leaving : bool
        Whether the platform is about to take it away.
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
        All entry VMs; those leaving come last.
    """
    by_name = {vm.name: vm for vm in vms if vm.zone == zone}
    ordered = [by_name[name] for name in rendezvous_order(f"{duty}/{zone}", by_name)]
    return sorted(ordered, key=lambda vm: vm.leaving)
