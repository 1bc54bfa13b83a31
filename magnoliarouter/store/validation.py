"""Checks JSON values against models, with messages that name field, bad value and valid fields."""

from __future__ import annotations

import re
from typing import Any, get_args, get_type_hints

import msgspec

__all__ = ["ValidationFailure", "check_value"]

PATH = re.compile(r" - at (?P<key>`key` in )?`\$(?:\.)?(?P<path>[^`]*)`$")
STEP = re.compile(r"[^.\[\]]+|\[\d+\]|\[\.\.\.\]")
LONGEST_SHOWN = 80


class ValidationFailure(ValueError):
    """A JSON value does not fit its model."""


def check_value(value: Any, model: type[msgspec.Struct]) -> Any:
    """Convert a JSON value into a model.

    Parameters
    ----------
    value : object
        JSON value as decoded.
    model : type of msgspec.Struct
        Model with the fields and their bounds.

    Raises
    ------
    ValidationFailure
        A field is missing, unknown or invalid.

    Examples
    --------
    >>> class Point(msgspec.Struct, forbid_unknown_fields=True):
    ...     x: int
    >>> check_value({"x": "one"}, Point)
    Traceback (most recent call last):
    ...
    magnoliarouter.store.validation.ValidationFailure: x is "one": Expected `int`, got `str`
    """
    try:
        return msgspec.convert(value, type=model, strict=True)
    except (msgspec.ValidationError, RecursionError) as error:
        raise ValidationFailure(_explain(value, model, str(error))) from error


def _explain(value: Any, model: type[msgspec.Struct], text: str) -> str:
    found = PATH.search(text)
    steps = STEP.findall(found["path"]) if found else []
    reason = PATH.sub("", text)
    if found and found["key"]:
        # The key of a mapping is at fault, not its entry.
        path, _, _ = _walk(value, model, [*steps, "[...]"])
        return f"{path} is a field that may not have this name: {reason}"
    path, bad, owner = _walk(value, model, steps)
    if "unknown field" in reason or "missing required field" in reason:
        place = f"{path}: " if path else ""
        return f"{place}{reason}; valid fields: {', '.join(_list_fields(owner))}"
    return f"{path or 'value'} is {_show(bad)}: {reason}"


def _walk(
    value: Any, model: type[msgspec.Struct], steps: list[str]
) -> tuple[str, Any, type[msgspec.Struct]]:
    """Follow the steps of an error's path and return its path, the value and the model there."""
    path, owner, kind = "", model, model
    for position, step in enumerate(steps):
        if step == "[...]":
            name = _find_bad_entry(value, kind)
            path, value = f"{path}.{name}", value.get(name) if isinstance(value, dict) else value
            kind = get_args(kind)[-1] if len(get_args(kind)) == 2 else kind
        elif step.startswith("["):
            path, value = f"{path}{step}", value[int(step[1:-1])]
            kind = next(iter(get_args(kind)), kind)
        else:
            path = f"{path}.{step}" if position else step
            value = value.get(step) if isinstance(value, dict) else value
            kind = get_type_hints(owner).get(step, owner)
        owner = _find_struct(kind) or owner
    return path, value, owner


def _find_bad_entry(value: Any, kind: Any) -> str:
    """Return the key of a mapping whose entry does not fit; msgspec leaves it unnamed."""
    key_kind, entry_kind = get_args(kind) if len(get_args(kind)) == 2 else (Any, Any)
    for name, entry in value.items() if isinstance(value, dict) else ():
        try:
            msgspec.convert(name, type=key_kind)
            msgspec.convert(entry, type=entry_kind)
        except (msgspec.ValidationError, RecursionError):
            return str(name)
    return "..."


def _list_fields(model: type[msgspec.Struct]) -> list[str]:
    tag = model.__struct_config__.tag_field
    return [*([tag] if tag else []), *model.__struct_fields__]


def _find_struct(kind: Any) -> type[msgspec.Struct] | None:
    for candidate in (kind, *get_args(kind)):
        if isinstance(candidate, type) and issubclass(candidate, msgspec.Struct):
            return candidate
    return None


def _show(value: Any) -> str:
    try:
        text = msgspec.json.encode(value).decode()
    except (TypeError, ValueError, OverflowError, RecursionError):
        text = repr(type(value).__name__)
    return text if len(text) <= LONGEST_SHOWN else f"{text[:LONGEST_SHOWN]}..."
