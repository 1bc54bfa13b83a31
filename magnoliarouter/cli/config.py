"""Commands on the operator's configuration: ``config check``."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from cleo.helpers import argument, option

from magnoliarouter.cli.amendment import compare_values, read_file
from magnoliarouter.cli.output import OperatorCommand, format_table
from magnoliarouter.cli.result import CommandResult, Done, ExitCode, Failed
from magnoliarouter.cli.view import encode_value
from magnoliarouter.gateway.configcheck import Severity
from magnoliarouter.platform.configcheck import (
    check_document,
    hide_keys,
    name_entries,
    read_document,
)
from magnoliarouter.platform.configuration import decode_configuration
from magnoliarouter.store.validation import ValidationFailure

if TYPE_CHECKING:
    from cleo.commands.command import Command

    from magnoliarouter.gateway.configcheck import Finding

__all__ = ["commands"]


class ConfigCheck(OperatorCommand):
    """Command ``config check``."""

    name = "config check"
    description = "Check a configuration of the users' platform before it is sent"
    arguments = [argument("file", "JSON file with the configuration, or with its stored object")]
    options = [
        option("in-force", None, "JSON file with the configuration in force", flag=False),
        option("json", None, "Print one JSON value instead of tables"),
    ]

    def handle(self) -> int:
        """Read, check and compare the files; no call is sent."""
        return self.report(self._check())

    def _check(self) -> CommandResult:
        value, path = _read_configuration(self.argument("file")), self.option("in-force")
        in_force = _read_configuration(path) if path else None
        for result in (value, in_force):
            if isinstance(result, Failed):
                return result
        findings = check_document(value, in_force)
        changes = [] if in_force is None else _list_changes(in_force, value)
        return _build_result(self.argument("file"), findings, changes, in_force is not None)


def commands() -> list[Command]:
    """Return the commands of this module."""
    return [ConfigCheck()]


def _read_configuration(path: str) -> Any:
    content = read_file(path)
    if isinstance(content, Failed):
        return content
    value = read_document(content)
    try:
        decode_configuration(value)
    except ValidationFailure as error:
        return Failed(ExitCode.INVALID, f"file {path}: {error}")
    return value


def _list_changes(in_force: Any, value: Any) -> list[tuple[str, Any, Any]]:
    before, after = name_entries(in_force), name_entries(value)
    return compare_values(hide_keys(before, after, "withdrawn"), hide_keys(after, before, "new"))


def _build_result(
    path: str, findings: list[Finding], changes: list[tuple[str, Any, Any]], compared: bool
) -> Done:
    errors = sum(finding.severity is Severity.ERROR for finding in findings)
    parts = [f"{path}: {errors} errors, {len(findings) - errors} warnings"]
    if findings:
        rows = [(finding.severity.value, finding.entry, finding.reason) for finding in findings]
        parts.append(format_table(("severity", "entry", "reason"), rows))
    if compared:
        parts.append(f"{len(changes)} fields differ from the configuration in force")
    if changes:
        rows = [(field, encode_value(old), encode_value(new)) for field, old, new in changes]
        parts.append(format_table(("field", "in force", "new"), rows))
    value = {
        "findings": [
            {"severity": finding.severity.value, "entry": finding.entry, "reason": finding.reason}
            for finding in findings
        ],
        "changes": [{"field": field, "in_force": old, "new": new} for field, old, new in changes],
    }
    code = ExitCode.INVALID if errors else ExitCode.DOUBTFUL if findings else ExitCode.OK
    return Done("\n".join(parts), value, code)
