"""Parts of prompts, and requests, that crash endpoints: calls with them are refused."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Iterator

__all__ = ["Quarantine"]


@dataclass(slots=True)
class Quarantine:
    """Sets of parts that no request may hold together.

    Parameters
    ----------
    is_loaded : callable
        Returns whether the sets that other daemons found are known.
    on_add : callable
        Called when a set was added.
    runs_software : callable
        Returns whether an endpoint of a service runs a version of its software. A set is in force
        while one runs that crashed.

    Examples
    --------
    >>> quarantine = Quarantine()
    >>> quarantine.add(frozenset({"a", "b"}))
    True
    >>> quarantine.find(("a", "c")), sorted(quarantine.find(("c", "b", "a")))
    (None, ['a', 'b'])
    """

    is_loaded: Callable[[], bool] = lambda: True
    on_add: Callable[[], None] = lambda: None
    runs_software: Callable[[str, str], bool] = lambda service, version: True
    _software: dict[frozenset[str], frozenset[tuple[str, str]]] = field(default_factory=dict)
    _by_part: dict[str, list[frozenset[str]]] = field(default_factory=dict)

    def __iter__(self) -> Iterator[frozenset[str]]:
        for causes in self._by_part.values():
            yield from causes

    def add(
        self, cause: frozenset[str], software: frozenset[tuple[str, str]] = frozenset()
    ) -> bool:
        """Add a set of parts, and return whether it is new; an empty set is not added.

        Parameters
        ----------
        cause : frozenset of str
            The set.
        software : frozenset of (str, str)
            Services and versions of the endpoints that crashed, in addition to those known; empty
            if they are not known.
        """
        if not cause:
            return False
        known = self._software.get(cause)
        if known is None:
            self._by_part.setdefault(min(cause), []).append(cause)
        elif software and known:
            software |= known
        else:
            software = frozenset()
        self._software[cause] = software
        if software == known:
            return False
        self.on_add()
        return True

    def list_software(self, cause: frozenset[str]) -> frozenset[tuple[str, str]]:
        """Return services and versions of the endpoints that crashed; empty if not known."""
        return self._software.get(cause, frozenset())

    def remove(self, cause: frozenset[str]) -> bool:
        """Remove a set of parts, and return whether it was there."""
        causes = self._by_part.get(min(cause, default=""), [])
        if cause not in causes:
            return False
        causes.remove(cause)
        del self._software[cause]
        if not causes:
            del self._by_part[min(cause)]
        return True

    def __contains__(self, cause: frozenset[str]) -> bool:
        return cause in self._by_part.get(min(cause, default=""), ())

    def find(self, parts: Iterable[str]) -> frozenset[str] | None:
        """Return a set in force that a prompt holds as a whole, or None.

        Parameters
        ----------
        parts : iterable of str
            All parts of the prompt.
        """
        held = frozenset(parts)
        for part in held:
            for cause in self._by_part.get(part, ()):
                if cause <= held and self._is_in_force(cause):
                    return cause
        return None

    def _is_in_force(self, cause: frozenset[str]) -> bool:
        software = self._software[cause]
        return not software or any(self.runs_software(*version) for version in software)
