"""Division of a contract's rates, bursts and permits over quota homes.

A quota home is the daemon that holds a home slot; it owns part of a customer's quota and lends
from it. Every availability zone has a fixed number of home slots. A customer's quota is divided
over a primary and a secondary slot in each zone. The shares depend only on the customer's name and
the list of zones, never on the amounts, so an amended contract moves no share between homes.
"""

from __future__ import annotations

import heapq
from dataclasses import dataclass
from typing import TYPE_CHECKING

from magnoliarouter.core.hashing import rendezvous_order

if TYPE_CHECKING:
    from collections.abc import Sequence

__all__ = ["SLOTS_PER_ZONE", "HomePart", "divide_contract", "divide_permits", "list_slots"]

SLOTS_PER_ZONE = 2
PRIMARY_SHARE = 0.75


@dataclass(frozen=True, slots=True)
class HomePart:
    """Part of a customer's quota that one home slot owns.

    Parameters
    ----------
    slot : str
        Name of the slot.
    zone : str
        Availability zone of the slot.
    share : float
        Share of the contract's rates and bursts; the shares of a customer sum to 1.
    """

    slot: str
    zone: str
    share: float


def list_slots(zone: str, count: int = SLOTS_PER_ZONE) -> list[str]:
    """Return the names of a zone's home slots."""
    return [f"quota.{zone}.{index}" for index in range(count)]


def divide_contract(
    customer: str, zones: Sequence[str], count: int = SLOTS_PER_ZONE
) -> tuple[HomePart, ...]:
    """Return a customer's parts, primaries first, in an order that is the same in all daemons.

    Parameters
    ----------
    customer : str
        Name of the customer.
    zones : sequence of str
        All availability zones.
    count : int
        Number of home slots in each zone.

    Examples
    --------
    >>> [part.share for part in divide_contract("grower", ["a"])]
    [0.75, 0.25]
    """
    primaries, secondaries = [], []
    for zone in rendezvous_order(f"quota/{customer}", zones):
        slots = rendezvous_order(f"quota/{customer}", list_slots(zone, count))
        first = PRIMARY_SHARE if len(slots) > 1 else 1.0
        primaries.append(HomePart(slots[0], zone, first / len(zones)))
        if len(slots) > 1:
            secondaries.append(HomePart(slots[1], zone, (1.0 - first) / len(zones)))
    return (*primaries, *secondaries)


def divide_permits(permits: int, parts: Sequence[HomePart]) -> dict[str, int]:
    """Return the number of permits for concurrent requests that each slot owns.

    Permits are assigned one at a time to the slot with the largest quotient of share and next
    permit number (D'Hondt method), so raising the total never takes a permit from any slot.

    Parameters
    ----------
    permits : int
        Maximum number of concurrent requests of the contract.
    parts : sequence of HomePart
        Parts of the customer.

    Examples
    --------
    >>> divide_permits(4, divide_contract("grower", ["a"]))["quota.a.0"] in (1, 3)
    True
    """
    assigned = dict.fromkeys((part.slot for part in parts), 0)
    order = [(-part.share, index) for index, part in enumerate(parts)]
    heapq.heapify(order)
    for _ in range(permits):
        _, index = order[0]
        part = parts[index]
        assigned[part.slot] += 1
        heapq.heapreplace(order, (-part.share / (assigned[part.slot] + 1), index))
    return assigned
