"""A replica applies only newer, valid objects, even if a lagging source delivers old ones."""

from __future__ import annotations

from typing import Any

from magnoliarouter.store.objects import StoredObject
from magnoliarouter.store.replica import Replica

__all__ = ["decode_color", "main"]


def decode_color(value: Any) -> str:
    """Validate the value of an object and return it.

    Raises
    ------
    ValueError
        If the value is not a color.
    """
    if value not in ("red", "green"):
        raise ValueError(f"color is {value!r}; valid are 'red' and 'green'")
    return value


def main() -> None:
    """Print the value in force after each delivery."""
    replica = Replica("lamp", decode_color)
    for version, value in ((5, "red"), (3, "green"), (7, "blue"), (8, None), (6, "red")):
        replica.apply(StoredObject("lamp", "door", version, value))
        print(version, value, "->", replica.cache.get("door"), replica.errors or "")


if __name__ == "__main__":
    main()
