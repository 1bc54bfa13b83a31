"""Measures how fast accepted changes come into force at each daemon, and detects reverts."""

from __future__ import annotations

from dataclasses import dataclass, field

__all__ = ["AcceptedChange", "Outage", "PropagationTracker", "VersionObservation"]


@dataclass(frozen=True, slots=True)
class AcceptedChange:
    """Change that the platform accepted.

    Parameters
    ----------
    customer : str
        Customer whose contract was changed.
    version : int
        Version of the change.
    at : float
        Time at which the writer received the acceptance, in seconds.
    """

    customer: str
    version: int
    at: float


@dataclass(frozen=True, slots=True)
class Outage:
    """Period in which a daemon could not receive changes: killed, paused, or platform down."""

    start: float
    end: float


@dataclass(frozen=True, slots=True)
class VersionObservation:
    """First time that a daemon reported a version of a contract as in force."""

    version: int
    at: float


@dataclass(slots=True)
class PropagationTracker:
    """Collects accepted changes and the versions that daemons have in force.

    Examples
    --------
    >>> tracker = PropagationTracker()
    >>> tracker.record_accepted(AcceptedChange("grower", 7, 10.0))
    >>> tracker.record_versions("entry-1", {"grower": 7}, 10.4)
    >>> tracker.measure_propagation({"entry-1": []})
    [0.4]
    """

    accepted: list[AcceptedChange] = field(default_factory=list)
    reverts: list[str] = field(default_factory=list)
    _observations: dict[tuple[str, str], list[VersionObservation]] = field(default_factory=dict)

    def record_accepted(self, change: AcceptedChange) -> None:
        """Record an accepted change."""
        self.accepted.append(change)

    def record_versions(self, daemon: str, versions: dict[str, int], now: float) -> None:
        """Record the versions in force at a daemon that is ready."""
        for customer, version in versions.items():
            observations = self._observations.setdefault((daemon, customer), [])
            newest = observations[-1].version if observations else 0
            if version < newest:
                self.reverts.append(f"{daemon} went from {newest} to {version} of {customer}")
            if version > newest:
                observations.append(VersionObservation(version, now))

    def measure_propagation(self, outages: dict[str, list[Outage]]) -> list[float]:
        """Return the seconds until each change came into force at each daemon.

        Parameters
        ----------
        outages : dict of str to list of Outage
            For each daemon. Time before the end of an outage does not count if the outage
            overlaps the wait. A change that is never observed in force counts as infinite.
        """
        return [
            self._measure_one(change, daemon, daemon_outages)
            for change in self.accepted
            for daemon, daemon_outages in outages.items()
        ]

    def _measure_one(
        self, change: AcceptedChange, daemon: str, daemon_outages: list[Outage]
    ) -> float:
        observations = self._observations.get((daemon, change.customer), [])
        seen = next((s.at for s in observations if s.version >= change.version), float("inf"))
        start = change.at
        for outage in daemon_outages:
            if outage.start < seen and outage.end > change.at:
                start = max(start, outage.end)
        return round(max(0.0, seen - start), 3)
