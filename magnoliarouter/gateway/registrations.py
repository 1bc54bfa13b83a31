"""Order of the registrations of each endpoint.

The store may execute a write seconds after newer ones, so that its revisions do not tell which
registration an endpoint sent last. An endpoint numbers its registrations from its start on, and each
start is later than the one before.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field
from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from magnoliarouter.gateway.endpoints import Endpoint

__all__ = ["RegistrationOrder", "RegistrationStatus"]

# Four times the endpoints of the largest deployment, of which most starts have a name of their own.
MAX_REMEMBERED = 4_096


class RegistrationStatus(Enum):
    """How a registration relates to the last one of its endpoint."""

    CURRENT = "current"
    OUTDATED = "outdated"
    UNORDERED = "unordered"


@dataclass(slots=True)
class _Last:
    started_ms: int
    sequence: int


@dataclass(slots=True)
class RegistrationOrder:
    """Last registration of each endpoint, also for some time after it was removed.

    Parameters
    ----------
    max_remembered : int
        Number of removed endpoints whose last registration is remembered.
    """

    max_remembered: int = MAX_REMEMBERED
    _present: dict[str, _Last] = field(default_factory=dict)
    _removed: OrderedDict[str, _Last] = field(default_factory=OrderedDict)

    def record(self, endpoint: Endpoint) -> RegistrationStatus:
        """Compare a registration with the last one, and remember it if it is not older.

        Returns
        -------
        RegistrationStatus
            `OUTDATED` if the endpoint sent it before the last one that is known, and `UNORDERED` if
            it lacks what orders it although an earlier one had that: it is not the endpoint's.
        """
        name, sequence = endpoint.identity, endpoint.sequence
        removed = self._removed.get(name)
        last = removed or self._present.get(name)
        if not endpoint.started_ms or sequence is None:
            return RegistrationStatus.CURRENT if last is None else RegistrationStatus.UNORDERED
        if last is not None:
            # The last registration itself may be executed again after the removal.
            least = last.sequence + 1 if removed else last.sequence
            if (endpoint.started_ms, sequence) < (last.started_ms, least):
                return RegistrationStatus.OUTDATED
        self._removed.pop(name, None)
        self._present[name] = _Last(endpoint.started_ms, sequence)
        return RegistrationStatus.CURRENT

    def record_removal(self, name: str) -> None:
        """Record that an endpoint is no longer registered.

        What it sent up to then may still be executed, and would register it again.
        """
        last = self._present.pop(name, None)
        if last is None:
            return
        self._removed[name] = last
        while len(self._removed) > self.max_remembered:
            self._removed.popitem(last=False)
