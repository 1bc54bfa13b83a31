"""Validates JSON values against models; messages name the field, bad value and valid fields."""

from __future__ import annotations

import re
from functools import cache
from typing import Any, get_args, get_type_hints

import msgspec

from magnoliarouter.store.jsontext import DECODE_ERRORS, check_encoding, is_small

__all__ = ["ValidationFailure", "check_value", "convert_value"]

ERROR_PATH = re.compile(r" - at (?P<key>`key` in )?`\$(?:\.)?(?P<path>[^`]*)`$")
PATH_STEP = re.compile(r"[^.\[\]]+|\[\d+\]|\[\.\.\.\]")
MAX_SHOWN_CHARS = 80
MAX_MESSAGE_CHARS = 400


class ValidationFailure(ValueError):
    """A JSON value does not match its model; the message is cut off after `MAX_MESSAGE_CHARS`."""

    def __init__(self, message: str) -> None:
        super().__init__(message[:MAX_MESSAGE_CHARS])


def check_value(value: Any, model: type[msgspec.Struct]) -> Any:
    """Convert a JSON value to a model.

    Parameters
    ----------
    value : object
        JSON value, decoded or as `msgspec.Raw`. Of the latter only the fields of the model are
        decoded.
    model : type of msgspec.Struct
        Model that defines the fields and their bounds.

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
        return convert_value(value, model)
    except (msgspec.ValidationError, RecursionError) as error:
        reason = str(error)
        if isinstance(value, msgspec.Raw):
            if not is_small(value):
                raise ValidationFailure(reason) from error
            # The message shows the bad value, which a typed decoder does not keep.
            value = convert_value(value, Any)
        raise ValidationFailure(_describe_error(value, model, reason)) from error


def convert_value(value: Any, model: Any) -> Any:
    """Convert a JSON value to a type, as `check_value` does, with messages of the decoder.

    Raises
    ------
    msgspec.ValidationError, RecursionError
        The value does not match the type.
    ValidationFailure
        The value is encoded and cannot be read.
    """
    if not isinstance(value, msgspec.Raw):
        return msgspec.convert(value, type=model, strict=True)
    try:
        converted = msgspec.json.decode(value, type=model)
        check_encoding(value)
    except msgspec.ValidationError:
        raise
    except DECODE_ERRORS as error:
        raise ValidationFailure(f"value cannot be read: {error}") from error
    return converted


def _describe_error(value: Any, model: type[msgspec.Struct], text: str) -> str:
    found = ERROR_PATH.search(text)
    steps = PATH_STEP.findall(found["path"]) if found else []
    reason = ERROR_PATH.sub("", text)
    if found and found["key"]:
        # The key of a mapping is invalid, not its value.
        path, _, _ = _follow_path(value, model, [*steps, "[...]"])
        return f"{path} is a field that may not have this name: {reason}"
    path, bad, owner = _follow_path(value, model, steps)
    if "unknown field" in reason or "missing required field" in reason:
        prefix = f"{path}: " if path else ""
        return f"{prefix}{reason}; valid fields: {', '.join(_list_fields(owner))}"
    return f"{path or 'value'} is {_format_value(bad)}: {reason}"


def _follow_path(
    value: Any, model: type[msgspec.Struct], steps: list[str]
) -> tuple[str, Any, type[msgspec.Struct]]:
    """Follow the path of an error; return the path as text, and the value and model at its end."""
    path, owner, annotation = "", model, model
    for position, step in enumerate(steps):
        if step == "[...]":
            name = _find_bad_entry(value, annotation)
            path, value = f"{path}.{name}", value.get(name) if isinstance(value, dict) else value
            annotation = get_args(annotation)[-1] if len(get_args(annotation)) == 2 else annotation
        elif step.startswith("["):
            path, value = f"{path}{step}", value[int(step[1:-1])]
            annotation = next(iter(get_args(annotation)), annotation)
        else:
            path = f"{path}.{step}" if position else step
            value = value.get(step) if isinstance(value, dict) else value
            annotation = _read_hints(owner).get(step, owner)
        owner = _find_struct(annotation) or owner
    return path, value, owner


@cache
def _read_hints(model: type[msgspec.Struct]) -> dict[str, Any]:
    return get_type_hints(model)


def _find_bad_entry(value: Any, annotation: Any) -> str:
    """Return the key of the invalid entry of a mapping, which msgspec does not name."""
    key_type, entry_type = get_args(annotation) if len(get_args(annotation)) == 2 else (Any, Any)
    for name, entry in value.items() if isinstance(value, dict) else ():
        try:
            msgspec.convert(name, type=key_type)
            msgspec.convert(entry, type=entry_type)
        except (msgspec.ValidationError, RecursionError):
            return str(name)
    return "..."


def _list_fields(model: type[msgspec.Struct]) -> list[str]:
    tag = model.__struct_config__.tag_field
    return [*([tag] if tag else []), *model.__struct_fields__]


def _find_struct(annotation: Any) -> type[msgspec.Struct] | None:
    for candidate in (annotation, *get_args(annotation)):
        if isinstance(candidate, type) and issubclass(candidate, msgspec.Struct):
            return candidate
    return None


def _format_value(value: Any) -> str:
    try:
        text = msgspec.json.encode(value).decode()
    except (TypeError, ValueError, OverflowError, RecursionError):
        text = repr(type(value).__name__)
    return text if len(text) <= MAX_SHOWN_CHARS else f"{text[:MAX_SHOWN_CHARS]}..."
