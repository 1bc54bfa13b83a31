"""Formats contracts for operators: conflicts, table rows and revisions."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import msgspec

from magnoliarouter.cli.amendment import check_contract, compare_values
from magnoliarouter.cli.output import format_table
from magnoliarouter.cli.result import ExitCode, Failed
from magnoliarouter.store.contracts import to_json
from magnoliarouter.store.objects import ContractSpec

if TYPE_CHECKING:
    from magnoliarouter.store.objects import StoredObject

__all__ = [
    "build_contract_row",
    "build_revision_rows",
    "describe_conflict",
    "describe_revision",
    "encode_value",
]


def describe_conflict(
    customer: str, intended: ContractSpec | None, current: StoredObject | None
) -> Failed:
    """Return the failure of a write that lost to a concurrent change, with both versions."""
    intended_value = to_json(intended) if intended else None
    stored_value = current.value if current else None
    version = current.version if current else None
    message = f"contract {customer}: changed by someone else meanwhile; nothing was written"
    if isinstance(stored_value, dict) and isinstance(intended_value, dict):
        rows = [
            (path, encode_value(intended_field), encode_value(stored_field))
            for path, intended_field, stored_field in compare_values(intended_value, stored_value)
        ]
        message += "\n" + format_table(("field", "yours", "in the platform"), rows)
    elif stored_value is None:
        message += "\nthe contract no longer exists in the platform"
    else:
        message += f"\nin the platform, version {version}: {encode_value(stored_value)}"
    return Failed(
        ExitCode.CONFLICT,
        message,
        {"yours": intended_value, "current": stored_value, "version": version},
    )


def build_contract_row(item: StoredObject) -> tuple[Any, ...]:
    """Return the row of a contract in the list of contracts."""
    spec = check_contract(item.value, item.name) if isinstance(item.value, dict) else None
    if not isinstance(spec, ContractSpec):
        problem = spec.message if spec else "not a JSON object"
        return item.name, "-", "-", "-", "-", item.version, problem
    number = spec.revision.number if spec.revision else "-"
    keys = len(spec.key_hashes)
    return item.name, spec.standing, keys, ",".join(spec.limits), number, item.version, ""


def build_revision_rows(revisions: list[ContractSpec]) -> list[tuple[Any, ...]]:
    """Return a row for each revision with its changes."""
    rows, previous = [], None
    for spec in revisions:
        changes = [
            f"{path}: {encode_value(before)} -> {encode_value(after)}"
            for path, before, after in compare_values(previous and to_json(previous), to_json(spec))
            if not path.startswith("revision")
        ]
        text = "; ".join(changes) if previous else "first known revision"
        revision = spec.revision
        number = revision.number if revision else "-"
        written = (revision.written_at, revision.author) if revision else ("", "")
        rows.append((number, *written, text))
        previous = spec
    return rows


def describe_revision(spec: ContractSpec) -> str:
    """Return number, author and time of a contract's revision as text."""
    revision = spec.revision
    if revision is None:
        return ", written past magnoliactl"
    return f", revision {revision.number} by {revision.author} at {revision.written_at}"


def encode_value(value: Any) -> str:
    """Return a JSON value as text."""
    return msgspec.json.encode(value).decode()
