"""Commands ``contract create|get|list|amend|history|delete``."""

from __future__ import annotations

import getpass
from typing import TYPE_CHECKING, Any

from cleo.helpers import argument, option

from magnoliarouter.cli.amendment import (
    apply_assignments,
    check_contract,
    compare_limits,
    format_comparison,
    read_file,
)
from magnoliarouter.cli.confirmation import build_write_result, wait_until_in_force
from magnoliarouter.cli.output import (
    SHARED_OPTIONS,
    OperatorCommand,
    build_failure,
    build_unverified_failure,
    format_table,
)
from magnoliarouter.cli.result import CommandResult, Done, ExitCode, Failed
from magnoliarouter.cli.view import (
    build_contract_row,
    build_revision_rows,
    describe_conflict,
    describe_revision,
    encode_value,
)
from magnoliarouter.store.client import Ambiguous, Conflict, Missing, Unavailable
from magnoliarouter.store.contracts import CONTRACT_KIND, Accepted, ContractStore, KeyTaken, to_json
from magnoliarouter.store.objects import ContractSpec, ObjectError, decode_object

if TYPE_CHECKING:
    from cleo.commands.command import Command

    from magnoliarouter.cli.desk import CommandContext
    from magnoliarouter.store.contracts import ContractOutcome
    from magnoliarouter.store.objects import StoredObject

__all__ = ["commands"]

DEFAULT_TIMEOUT_S = 30.0
CUSTOMER_ARGUMENT = argument("customer", "Name of the customer")
AUTHOR_OPTION = option("author", None, "Name kept with the revision", flag=False)
WAIT_OPTIONS = [
    option("wait", None, "Return when it is in force at every reachable daemon"),
    option("timeout", None, "Longest wait in seconds", flag=False, default=str(DEFAULT_TIMEOUT_S)),
]
CHANGE_OPTIONS = [
    option("file", None, "JSON file with the contract", flag=False),
    option("set", None, "field=value; may be repeated", flag=False, multiple=True),
    option("dry-run", None, "Show each limit before and after, and write nothing"),
    AUTHOR_OPTION,
    *WAIT_OPTIONS,
]


class _WriteCommand(OperatorCommand):
    """Base of the commands that write contracts."""

    def open_contracts(self, context: CommandContext) -> ContractStore:
        """Return the contracts for reading and for writing under the operator's name."""
        return ContractStore(context.platform, self.option("author") or _find_author())

    async def resolve_outcome(
        self,
        context: CommandContext,
        customer: str,
        outcome: ContractOutcome,
        intended: ContractSpec | None,
    ) -> CommandResult:
        """Convert the outcome of a write into a result, after waiting if ``--wait`` is given."""
        match outcome:
            case KeyTaken(key_hash, holder):
                message = f"contract {customer}: key_hashes holds {key_hash}, which belongs to "
                details = {"key_hash": key_hash, "customer": holder}
                return Failed(ExitCode.INVALID, f"{message}customer {holder}", details)
            case Conflict(current, True):
                return build_unverified_failure(f"contract {customer}", current)
            case Conflict(current):
                return describe_conflict(customer, intended, current)
            case Ambiguous() | Unavailable():
                return build_failure(outcome, f"contract {customer}")
        return await self._confirm(context, customer, outcome)

    async def _confirm(
        self, context: CommandContext, customer: str, accepted: Accepted
    ) -> CommandResult:
        confirmation = None
        if self.option("wait"):
            seconds = _parse_seconds(self.option("timeout"))
            confirmation = await wait_until_in_force(
                context, CONTRACT_KIND, customer, accepted.version, seconds
            )
        revision = (accepted.value or {}).get("revision", {}).get("number")
        summary = f"revision {revision}" if revision else "deleted"
        value = {"customer": customer, "version": accepted.version, "revision": revision}
        text = f"contract {customer}: {summary} accepted as version {accepted.version}"
        return build_write_result(text, value, confirmation)

    def check_timeout(self) -> Failed | None:
        """Return a failure if ``--timeout`` is invalid."""
        text = self.option("timeout")
        try:
            if 0 < _parse_seconds(text) < float("inf"):
                return None
        except ValueError:
            pass
        return Failed(ExitCode.USAGE, f"--timeout {text}: give seconds greater than 0")

    def build_spec(self, value: dict[str, Any], customer: str) -> ContractSpec | Failed:
        """Build a contract from ``--file``, or from `value` without it, and ``--set``.

        Returns the contract if it is valid, otherwise the failure.
        """
        path = self.option("file")
        base = read_file(path) if path else value
        if isinstance(base, Failed):
            return base
        changed = apply_assignments(base, self.option("set"))
        return changed if isinstance(changed, Failed) else check_contract(changed, customer)

    def format_dry_run(self, before: ContractSpec | None, after: ContractSpec) -> Done:
        """Return the table of ``--dry-run``."""
        rows = compare_limits(before, after)
        names = ("field", "unit", "before", "after", "change")
        value = [dict(zip(names, row, strict=True)) for row in rows]
        return Done(f"nothing is written\n{format_comparison(rows)}", value)


class ContractCreate(_WriteCommand):
    """Command ``contract create``."""

    name = "contract create"
    description = "Create the contract of a customer"
    arguments = [CUSTOMER_ARGUMENT]
    options = [*SHARED_OPTIONS, *CHANGE_OPTIONS]

    async def perform(self, context: CommandContext) -> CommandResult:
        """Create the contract if the customer has none."""
        customer = self.argument("customer")
        if failure := self.check_timeout():
            return failure
        empty = {"key_hashes": [], "standing": "current", "limits": {}}
        spec = self.build_spec(empty, customer)
        if isinstance(spec, Failed):
            return spec
        if self.option("dry-run"):
            return self.format_dry_run(None, spec)
        outcome = await self.open_contracts(context).create(spec)
        if isinstance(outcome, Conflict):
            version = outcome.current.version if outcome.current else None
            message = f"contract {customer}: exists already as version {version}; use amend"
            details = {"yours": to_json(spec), "current": outcome.current and outcome.current.value}
            return Failed(ExitCode.CONFLICT, message, details)
        return await self.resolve_outcome(context, customer, outcome, spec)


class ContractAmend(_WriteCommand):
    """Command ``contract amend``."""

    name = "contract amend"
    description = "Change the contract of a customer"
    arguments = [CUSTOMER_ARGUMENT]
    options = [*SHARED_OPTIONS, *CHANGE_OPTIONS]

    async def perform(self, context: CommandContext) -> CommandResult:
        """Write the changed contract unless it was modified concurrently."""
        customer = self.argument("customer")
        if failure := self.check_timeout():
            return failure
        current = await _read_contract(context, customer)
        if isinstance(current, Failed):
            return current
        after = self.build_spec(current.value, customer)
        if isinstance(after, Failed):
            return after
        before = _decode_or_none(current)
        if before and _is_outdated(before, after):
            return describe_conflict(customer, after, current)
        if self.option("dry-run"):
            return self.format_dry_run(before, after)
        if before == after:
            value = {"customer": customer, "version": current.version, "changed": False}
            return Done(f"contract {customer}: nothing to change", value)
        outcome = await self.open_contracts(context).amend(current, after)
        return await self.resolve_outcome(context, customer, outcome, after)


class ContractDelete(_WriteCommand):
    """Command ``contract delete``."""

    name = "contract delete"
    description = "Delete the contract of a customer; its keys stay reserved"
    arguments = [CUSTOMER_ARGUMENT]
    options = [*SHARED_OPTIONS, AUTHOR_OPTION, *WAIT_OPTIONS]

    async def perform(self, context: CommandContext) -> CommandResult:
        """Delete the contract unless it is modified concurrently."""
        customer = self.argument("customer")
        if failure := self.check_timeout():
            return failure
        current = await _read_contract(context, customer)
        if isinstance(current, Failed):
            return current
        outcome = await self.open_contracts(context).delete(current)
        return await self.resolve_outcome(context, customer, outcome, None)


class ContractGet(OperatorCommand):
    """Command ``contract get``."""

    name = "contract get"
    description = "Show the contract of a customer and the limits in force"
    arguments = [CUSTOMER_ARGUMENT]

    async def perform(self, context: CommandContext) -> CommandResult:
        """Read the contract."""
        customer = self.argument("customer")
        current = await _read_contract(context, customer)
        if isinstance(current, Failed):
            return current
        spec = check_contract(current.value, customer)
        if isinstance(spec, Failed):
            # Not written by this tool: show the stored value and the validation error.
            text = f"version {current.version} is refused by the daemons: {spec.message}\n"
            return Done(text + encode_value(current.value), current.value, ExitCode.INVALID)
        rows = [(field, unit, after) for field, unit, _, after, _ in compare_limits(None, spec)]
        table = format_table(("field", "unit", "value"), rows)
        head = f"contract {customer}, version {current.version}{describe_revision(spec)}"
        return Done(f"{head}\n{table}", current.value)


class ContractList(OperatorCommand):
    """Command ``contract list``."""

    name = "contract list"
    description = "List all contracts"

    async def perform(self, context: CommandContext) -> CommandResult:
        """Read all contracts."""
        found = await context.platform.list(CONTRACT_KIND)
        if isinstance(found, Unavailable):
            return build_failure(found, "contracts")
        items = sorted(found.items, key=lambda item: item.name)
        rows = [build_contract_row(item) for item in items]
        headers = ("customer", "standing", "keys", "standings", "revision", "version", "problem")
        value = [
            {"name": item.name, "version": item.version, "value": item.value} for item in items
        ]
        return Done(format_table(headers, rows), value)


class ContractHistory(OperatorCommand):
    """Command ``contract history``."""

    name = "contract history"
    description = "List the revisions of a contract and what each changed"
    arguments = [CUSTOMER_ARGUMENT]

    async def perform(self, context: CommandContext) -> CommandResult:
        """Read the earlier revisions and the current contract."""
        customer = self.argument("customer")
        history = await ContractStore(context.platform).read_history(customer)
        if isinstance(history, Unavailable):
            return build_failure(history, f"history of contract {customer}")
        outcome = await context.platform.read(CONTRACT_KIND, customer)
        if isinstance(outcome, Unavailable):
            return build_failure(outcome, f"contract {customer}")
        revisions = list(history[1])
        if isinstance(outcome, Missing):
            if not revisions:
                return build_failure(outcome, f"contract {customer}")
        elif spec := _decode_or_none(outcome.items[0]):
            if spec.revision not in [known.revision for known in revisions]:
                revisions.append(spec)
        rows = build_revision_rows(revisions)
        text = format_table(("revision", "written at", "author", "change"), rows)
        if isinstance(outcome, Missing):
            text += "\nthe contract was deleted after the last revision"
        return Done(text, [to_json(revision) for revision in revisions])


def commands() -> list[Command]:
    """Return the commands of this module."""
    return [
        ContractCreate(),
        ContractGet(),
        ContractList(),
        ContractAmend(),
        ContractHistory(),
        ContractDelete(),
    ]


async def _read_contract(context: CommandContext, customer: str) -> StoredObject | Failed:
    outcome = await context.platform.read(CONTRACT_KIND, customer)
    if isinstance(outcome, Missing | Unavailable):
        return build_failure(outcome, f"contract {customer}")
    return outcome.items[0]


def _is_outdated(before: ContractSpec, after: ContractSpec) -> bool:
    """Return whether a change is based on a revision that is no longer the latest."""
    return after.revision is not None and after.revision != before.revision


def _decode_or_none(item: StoredObject) -> ContractSpec | None:
    try:
        return decode_object(CONTRACT_KIND, item.value)
    except ObjectError:
        return None


def _find_author() -> str:
    try:
        return getpass.getuser()
    except (KeyError, OSError, ImportError):
        return ""


def _parse_seconds(text: str) -> float:
    return float(text)
