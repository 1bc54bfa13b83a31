"""Contracts as operators see them: conflicts, summaries and revisions."""

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
    "describe_conflict",
    "describe_revision",
    "encode_value",
    "list_revisions",
    "summarize",
]


def describe_conflict(
    customer: str, yours: ContractSpec | None, current: StoredObject | None
) -> Failed:
    """Show both versions of a contract that someone else changed first."""
    mine = to_json(yours) if yours else None
    theirs = current.value if current else None
    version = current.version if current else None
    message = f"contract {customer}: changed by someone else meanwhile; nothing was written"
    if isinstance(theirs, dict) and isinstance(mine, dict):
        rows = [
            (path, encode_value(ours), encode_value(other))
            for path, ours, other in compare_values(mine, theirs)
        ]
        message += "\n" + format_table(("field", "yours", "in the platform"), rows)
    elif theirs is None:
        message += "\nthe contract no longer exists in the platform"
    else:
        message += f"\nin the platform, version {version}: {encode_value(theirs)}"
    return Failed(
        ExitCode.CONFLICT, message, {"yours": mine, "current": theirs, "version": version}
    )


def summarize(item: StoredObject) -> tuple[Any, ...]:
    """Return the row of a contract in the list of all."""
    spec = check_contract(item.value, item.name) if isinstance(item.value, dict) else None
    if not isinstance(spec, ContractSpec):
        problem = spec.message if spec else "not a JSON object"
        return item.name, "-", "-", "-", "-", item.version, problem
    number = spec.revision.number if spec.revision else "-"
    keys = len(spec.key_hashes)
    return item.name, spec.standing, keys, ",".join(spec.limits), number, item.version, ""


def list_revisions(revisions: list[ContractSpec]) -> list[tuple[Any, ...]]:
    """Return a row for each revision with what it changed."""
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
    """Return who wrote a contract and when."""
    revision = spec.revision
    if revision is None:
        return ", written past magnoliactl"
    return f", revision {revision.number} by {revision.author} at {revision.written_at}"


def encode_value(value: Any) -> str:
    """Return a JSON value as text."""
    return msgspec.json.encode(value).decode()
