"""Request pipeline of an entry daemon: identify, admit, place, dispatch, deliver."""

from __future__ import annotations

__all__: list[str] = []
