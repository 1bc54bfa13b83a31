"""A replica takes newer valid objects only, whatever a lagging source delivers."""

from __future__ import annotations

from typing import Any

from magnoliarouter.store.objects import StoredObject
from magnoliarouter.store.replica import Replica

__all__ = ["decode_color", "main"]


def decode_color(value: Any) -> str:
    """Return the checked value of an object.

    Raises
    ------
    ValueError
        If the value is not a color.
    """
    if value not in ("red", "green"):
        raise ValueError(f"color is {value!r}; valid are 'red' and 'green'")
    return value


def main() -> None:
    """Print what is in force after each delivery."""
    replica = Replica("lamp", decode_color)
    for version, value in ((5, "red"), (3, "green"), (7, "blue"), (8, None), (6, "red")):
        replica.apply(StoredObject("lamp", "door", version, value))
        print(version, value, "->", replica.cache.get("door"), replica.errors or "")


if __name__ == "__main__":
    main()
