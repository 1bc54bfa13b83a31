"""Parts of prompts that crash endpoints: requests with them are refused."""

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
    _by_part: dict[str, list[frozenset[str]]] = field(default_factory=dict)

    def __iter__(self) -> Iterator[frozenset[str]]:
        for causes in self._by_part.values():
            yield from causes

    def add(self, cause: frozenset[str]) -> bool:
        """Add a set of parts, and return whether it is new; an empty set is not added."""
        if not cause or cause in self:
            return False
        self._by_part.setdefault(min(cause), []).append(cause)
        self.on_add()
        return True

    def remove(self, cause: frozenset[str]) -> bool:
        """Remove a set of parts, and return whether it was there."""
        causes = self._by_part.get(min(cause, default=""), [])
        if cause not in causes:
            return False
        causes.remove(cause)
        if not causes:
            del self._by_part[min(cause)]
        return True

    def __contains__(self, cause: frozenset[str]) -> bool:
        return cause in self._by_part.get(min(cause, default=""), ())

    def find(self, parts: Iterable[str]) -> frozenset[str] | None:
        """Return a set that a prompt holds as a whole, or None.

        Parameters
        ----------
        parts : iterable of str
            All parts of the prompt.
        """
        held = frozenset(parts)
        for part in held:
            for cause in self._by_part.get(part, ()):
                if cause <= held:
                    return cause
        return None
