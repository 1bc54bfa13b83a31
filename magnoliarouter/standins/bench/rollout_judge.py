"""Judges how fast accepted changes came into force at each daemon, and whether any reverted."""

from __future__ import annotations

from dataclasses import dataclass, field

__all__ = ["Absence", "Accepted", "RolloutJudge", "Sighting"]


@dataclass(frozen=True, slots=True)
class Accepted:
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
class Absence:
    """Time in which a daemon could not have learned of a change: killed, paused, platform down."""

    start: float
    end: float


@dataclass(frozen=True, slots=True)
class Sighting:
    """First time that a daemon was seen with a version of a contract."""

    version: int
    at: float


@dataclass(slots=True)
class RolloutJudge:
    """Collects accepted changes and what daemons have in force.

    Examples
    --------
    >>> judge = RolloutJudge()
    >>> judge.accept(Accepted("grower", 7, 10.0))
    >>> judge.see("entry-1", {"grower": 7}, 10.4)
    >>> judge.measure({"entry-1": []})
    [0.4]
    """

    accepted: list[Accepted] = field(default_factory=list)
    reverts: list[str] = field(default_factory=list)
    _seen: dict[tuple[str, str], list[Sighting]] = field(default_factory=dict)

    def accept(self, change: Accepted) -> None:
        """Note a change that was accepted."""
        self.accepted.append(change)

    def see(self, daemon: str, versions: dict[str, int], now: float) -> None:
        """Note the versions in force at a daemon that is ready."""
        for customer, version in versions.items():
            sightings = self._seen.setdefault((daemon, customer), [])
            newest = sightings[-1].version if sightings else 0
            if version < newest:
                self.reverts.append(f"{daemon} went from {newest} to {version} of {customer}")
            if version > newest:
                sightings.append(Sighting(version, now))

    def measure(self, absences: dict[str, list[Absence]]) -> list[float]:
        """Return the seconds to force of each change at each daemon.

        Parameters
        ----------
        absences : dict of str to list of Absence
            For each daemon; time before an absence ended does not count when the absence
            overlaps the wait. A change never seen in force counts as infinite.
        """
        return [
            self._measure_one(change, daemon, gone)
            for change in self.accepted
            for daemon, gone in absences.items()
        ]

    def _measure_one(self, change: Accepted, daemon: str, gone: list[Absence]) -> float:
        sightings = self._seen.get((daemon, change.customer), [])
        seen = next((s.at for s in sightings if s.version >= change.version), float("inf"))
        start = change.at
        for absence in gone:
            if absence.start < seen and absence.end > change.at:
                start = max(start, absence.end)
        return round(max(0.0, seen - start), 3)
