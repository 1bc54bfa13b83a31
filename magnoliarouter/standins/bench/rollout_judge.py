"""Judges how fast accepted changes came into force at each daemon, and whether any reverted."""

from __future__ import annotations

from dataclasses import dataclass, field

__all__ = ["AcceptedChange", "Outage", "PropagationTracker", "VersionObservation"]


@dataclass(frozen=True, slots=True)
class AcceptedChange:
    """A change that the platform accepted.

    Parameters
    ----------
    customer : str
        Whose contract.
    version : int
        Version of the change.
    at : float
        Time at which its writer learned that it was accepted, in seconds.
    """

    customer: str
    version: int
    at: float


@dataclass(frozen=True, slots=True)
class Outage:
    """Time in which a daemon could not have learned of a change: killed, paused, platform down."""

    start: float
    end: float


@dataclass(frozen=True, slots=True)
class VersionObservation:
    """First time that a daemon was seen with a version of a contract."""

    version: int
    at: float


@dataclass(slots=True)
class PropagationTracker:
    """Collects accepted changes and what daemons have in force.

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
        """Note a change that was accepted."""
        self.accepted.append(change)

    def record_versions(self, daemon: str, versions: dict[str, int], now: float) -> None:
        """Note the versions in force at a daemon that is ready."""
        for customer, version in versions.items():
            observations = self._observations.setdefault((daemon, customer), [])
            newest = observations[-1].version if observations else 0
            if version < newest:
                self.reverts.append(f"{daemon} went from {newest} to {version} of {customer}")
            if version > newest:
                observations.append(VersionObservation(version, now))

    def measure_propagation(self, outages: dict[str, list[Outage]]) -> list[float]:
        """Return the seconds to force of each change at each daemon.

        Parameters
        ----------
        outages : dict of str to list of Outage
            For each daemon; time before an absence ended does not count when the absence
            overlaps the wait. A change never seen in force counts as infinite.
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
