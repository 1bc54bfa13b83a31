"""Applies ``--file`` and ``--set`` changes to an object and compares it before and after.

A contract has a limit set for each standing, such as ``current`` or ``late``. The customer's
standing selects the limits in force; a suspended customer gets no service.
"""

from __future__ import annotations

import copy
from pathlib import Path
from typing import Any

import msgspec

from magnoliarouter.cli.output import format_table
from magnoliarouter.cli.result import ExitCode, Failed
from magnoliarouter.core.contract import effective_limits
from magnoliarouter.store.contracts import to_json
from magnoliarouter.store.objects import ContractSpec, ObjectError, build_contract, decode_object

__all__ = [
    "LIMIT_UNITS",
    "apply_assignments",
    "check_contract",
    "compare_limits",
    "compare_values",
    "format_comparison",
    "read_file",
]

LIMIT_UNITS = {
    "requests_per_second": "requests/s",
    "tokens_per_second": "tokens/s",
    "burst_seconds": "s",
    "concurrent_requests": "requests",
    "tokens_per_request": "tokens",
    "models": "names",
    "services": "names",
    "priority": "0 is first",
    "weight": "share",
}
NO_SERVICE = "no service"


def read_file(path: str) -> dict[str, Any] | Failed:
    """Read a JSON object from a file."""
    try:
        return msgspec.json.decode(Path(path).read_bytes(), type=dict[str, Any])
    except (OSError, msgspec.MsgspecError, RecursionError) as error:
        return Failed(ExitCode.INVALID, f"file {path}: {error}")


def apply_assignments(value: dict[str, Any], assignments: list[str]) -> dict[str, Any] | Failed:
    """Return a copy of a value with ``field=value`` assignments applied.

    Parameters
    ----------
    value : dict
        JSON object; not modified.
    assignments : list of str
        Such as ``"limits.current.requests_per_second=5"``. The right side is parsed as
        JSON, and used as a plain string if it is not valid JSON; ``null`` removes the field.

    Examples
    --------
    >>> apply_assignments({"a": {"b": 1}}, ["a.b=2", "c=late"])
    {'a': {'b': 2}, 'c': 'late'}
    """
    changed = copy.deepcopy(value)
    for assignment in assignments:
        path, separator, text = assignment.partition("=")
        if not separator or not all(path.split(".")):
            return Failed(ExitCode.USAGE, f"--set {assignment}: write it as field=value")
        failure = _assign(changed, path, _parse_value(text))
        if failure is not None:
            return failure
    return changed


def check_contract(value: dict[str, Any], customer: str) -> ContractSpec | Failed:
    """Validate a contract as the daemons do, and check that it belongs to the customer."""
    try:
        spec: ContractSpec = decode_object("contract", {"customer": customer, **value})
        build_contract(spec)
    except ObjectError as error:
        return Failed(ExitCode.INVALID, str(error))
    if spec.customer != customer:
        reason = f"contract: customer is {spec.customer!r}, expected {customer!r}"
        return Failed(ExitCode.INVALID, reason)
    return spec


def compare_limits(
    before: ContractSpec | None, after: ContractSpec | None
) -> list[tuple[str, str, str, str, str]]:
    """Return rows for the standing, each limit in force, and each other changed limit or key.

    Returns
    -------
    list of tuple
        Field, unit, value before, value after, and ``"changed"`` or an empty string.
    """
    rows = [_comparison_row("standing", "", before and before.standing, after and after.standing)]
    old, new = _limits_in_force(before), _limits_in_force(after)
    for name, unit in LIMIT_UNITS.items():
        rows.append(
            _comparison_row(name, unit, old.get(name, NO_SERVICE), new.get(name, NO_SERVICE))
        )
    for path, old_value, new_value in compare_values(_encode_spec(before), _encode_spec(after)):
        if path.startswith(("limits.", "key_hashes")):
            rows.append(
                _comparison_row(
                    path, LIMIT_UNITS.get(path.rsplit(".", 1)[-1], ""), old_value, new_value
                )
            )
    return rows


def compare_values(before: Any, after: Any, path: str = "") -> list[tuple[str, Any, Any]]:
    """Return path and both values of each field in which two JSON values differ.

    Examples
    --------
    >>> compare_values({"a": {"b": 1}}, {"a": {"b": 2}, "c": 3})
    [('a.b', 1, 2), ('c', None, 3)]
    """
    if not (isinstance(before, dict) and isinstance(after, dict)):
        return [] if before == after else [(path, before, after)]
    differences = []
    for name in dict.fromkeys((*before, *after)):
        inner = f"{path}.{name}" if path else name
        differences += compare_values(before.get(name), after.get(name), inner)
    return differences


def format_comparison(rows: list[tuple[str, str, str, str, str]]) -> str:
    """Return the rows of `compare_limits` as a table."""
    return format_table(("field", "unit", "before", "after", ""), rows)


def _assign(value: dict[str, Any], path: str, new: Any) -> Failed | None:
    *parents, last = path.split(".")
    target: Any = value
    for position, name in enumerate(parents):
        target = target.setdefault(name, {})
        if not isinstance(target, dict):
            field = ".".join(parents[: position + 1])
            return Failed(ExitCode.USAGE, f"--set {path}: {field} is {target!r}, not an object")
    if new is None:
        target.pop(last, None)
    else:
        target[last] = new
    return None


def _parse_value(text: str) -> Any:
    try:
        return msgspec.json.decode(text)
    except (msgspec.MsgspecError, RecursionError):
        return text


def _limits_in_force(spec: ContractSpec | None) -> dict[str, Any]:
    limits = effective_limits(build_contract(spec)) if spec else None
    return {name: getattr(limits, name) for name in LIMIT_UNITS} if limits else {}


def _encode_spec(spec: ContractSpec | None) -> dict[str, Any]:
    if spec is None:
        return {}
    return to_json(spec)


def _comparison_row(
    field: str, unit: str, before: Any, after: Any
) -> tuple[str, str, str, str, str]:
    mark = "" if before == after else "changed"
    return field, unit, _format_value(before), _format_value(after), mark


def _format_value(value: Any) -> str:
    match value:
        case None:
            return "-"
        case str():
            return value
        case tuple() | list():
            return ",".join(map(str, value))
        case float():
            return f"{value:g}"
        case dict():
            return msgspec.json.encode(value).decode()
    return str(value)
