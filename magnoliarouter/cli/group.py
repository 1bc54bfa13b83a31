"""Commands ``group ...``: expert groups, their maps, skew and planned moves.

An expert group is a set of ranks that together serve one expert-parallel model. Its map assigns the
experts of each layer to ranks. Skew is the slowest rank's step time over the mean, minus 1.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import msgspec
from cleo.helpers import argument, option

from magnoliarouter.cli.amendment import read_file
from magnoliarouter.cli.output import SHARED_OPTIONS, OperatorCommand, build_failure, format_table
from magnoliarouter.cli.result import CommandResult, Done, ExitCode, Failed
from magnoliarouter.core.expertmap import FULL_SHARE, ExpertMap, ExpertMapError
from magnoliarouter.core.mapstate import MapRecord
from magnoliarouter.core.rebalance import measure_skew
from magnoliarouter.daemon.groupbalance import plan_group
from magnoliarouter.endpoints.group import MAP_KIND
from magnoliarouter.endpoints.ranks import RankClient
from magnoliarouter.store.client import Conflict, Found, Missing, Written
from magnoliarouter.store.groups import GROUP_HEALTH_KIND, GROUP_KIND, GroupSpec
from magnoliarouter.store.objects import ObjectError, decode_object

if TYPE_CHECKING:
    from cleo.commands.command import Command

    from magnoliarouter.cli.desk import CommandContext
    from magnoliarouter.core.rebalance import RebalancePlan
    from magnoliarouter.endpoints.group import RankLoad

__all__ = ["commands"]

LIST_HEADERS = ("group", "ranks", "favours", "pinned", "version", "in flight", "skew", "stragglers")
RANK_HEADERS = (
    "rank",
    "address",
    "step",
    "step ms",
    "speed",
    "share",
    "experts",
    "waits",
    "wait s",
)
PLAN_HEADERS = ("layer", "moves", "slowest before", "slowest after")
GROUP_ARGUMENT = argument("name", "Name of the group")


class GroupList(OperatorCommand):
    """Command ``group list``."""

    name = "group list"
    description = "List the expert groups with their map versions and skew"

    async def perform(self, context: CommandContext) -> CommandResult:
        """Read groups, maps and health from the platform."""
        collections = []
        for kind in (GROUP_KIND, MAP_KIND, GROUP_HEALTH_KIND):
            outcome = await context.platform.list(kind)
            if not isinstance(outcome, Found):
                return build_failure(outcome, f"list of kind {kind}")
            collections.append({item.name: item.value for item in outcome.items})
        groups, maps, healths = collections
        rows = [
            _group_row(value, maps.get(name), healths.get(name, {}))
            for name, value in groups.items()
        ]
        value = [dict(zip(LIST_HEADERS, row, strict=True)) for row in sorted(rows)]
        return Done(format_table(LIST_HEADERS, sorted(rows)), value)


class GroupShow(OperatorCommand):
    """Command ``group show``."""

    name = "group show"
    description = "Show a group's map version, skew and ranks"
    arguments = [GROUP_ARGUMENT]

    async def perform(self, context: CommandContext) -> CommandResult:
        """Read the group's objects and query its ranks."""
        group_state = await _read_group(context, self.argument("name"))
        if isinstance(group_state, Failed):
            return group_state
        _, spec, record, current = group_state
        loads = await _create_rank_client(context, spec).read_loads()
        rows = [_rank_row(rank, spec, current, load) for rank, load in enumerate(loads)]
        silent = sum(load is None for load in loads)
        facts = {
            "group": spec.name,
            "version": record.schedule.version,
            "since_step": record.schedule.since,
            "in_flight": record.in_flight,
            "epoch": record.epoch,
            "favour": spec.favour,
            "pinned": spec.pinned,
            "skew": _measure_group_skew(current, loads),
            "silent_ranks": silent,
        }
        head = "\n".join(f"{name}: {_format_value(value)}" for name, value in facts.items())
        value = {**facts, "ranks": [dict(zip(RANK_HEADERS, row, strict=True)) for row in rows]}
        code = ExitCode.NOT_CONFIRMED if silent else ExitCode.OK
        return Done(f"{head}\n{format_table(RANK_HEADERS, rows)}", value, code)


class GroupRebalance(OperatorCommand):
    """Command ``group rebalance``."""

    name = "group rebalance"
    description = "Show the moves that the group's controller would make for the present load"
    arguments = [GROUP_ARGUMENT]
    options = [*SHARED_OPTIONS, option("dry-run", None, "Only show the plan; always required")]

    async def perform(self, context: CommandContext) -> CommandResult:
        """Compute and print a plan for the ranks' current loads."""
        if not self.option("dry-run"):
            reason = "group rebalance: give --dry-run; the group's controller moves by itself"
            return Failed(ExitCode.USAGE, reason)
        group_state = await _read_group(context, self.argument("name"))
        if isinstance(group_state, Failed):
            return group_state
        _, spec, _, current = group_state
        loads = await _create_rank_client(context, spec).read_loads()
        if None in loads or not loads[0].tokens:
            reason = f"group {spec.name}: not all ranks tell their load"
            return Failed(ExitCode.UNAVAILABLE, reason)
        plan = plan_group(spec, current, loads[0].tokens, [load.speed for load in loads])
        return Done(_format_plan(spec, plan), _encode_plan(plan))


class GroupPin(OperatorCommand):
    """Command ``group pin``."""

    name = "group pin"
    description = "Keep a group's map as it is, or let it change again"
    arguments = [GROUP_ARGUMENT]
    options = [*SHARED_OPTIONS, option("off", None, "Let the map change again")]

    async def perform(self, context: CommandContext) -> CommandResult:
        """Write the group with its field `pinned` changed."""
        name = self.argument("name")
        versioned_spec = await _read_spec(context, name)
        if isinstance(versioned_spec, Failed):
            return versioned_spec
        version, spec = versioned_spec
        changed = msgspec.structs.replace(spec, pinned=not self.option("off"))
        return await _write_group(context, changed, version)


class GroupApply(OperatorCommand):
    """Command ``group apply``."""

    name = "group apply"
    description = "Create or replace a group from a JSON file"
    arguments = [argument("file", "JSON file with the fields of a group")]

    async def perform(self, context: CommandContext) -> CommandResult:
        """Validate the file and write the group."""
        value = read_file(self.argument("file"))
        if isinstance(value, Failed):
            return value
        try:
            spec: GroupSpec = decode_object(GROUP_KIND, value)
        except ObjectError as error:
            return Failed(ExitCode.INVALID, str(error))
        match await context.platform.read(GROUP_KIND, spec.name):
            case Found(version, _):
                return await _write_group(context, spec, version)
            case Missing():
                return await _write_group(context, spec, 0)
            case outcome:
                return build_failure(outcome, f"group {spec.name}")


def commands() -> list[Command]:
    """Return the commands of this module."""
    return [GroupList(), GroupShow(), GroupRebalance(), GroupPin(), GroupApply()]


def _create_rank_client(context: CommandContext, spec: GroupSpec) -> RankClient:
    return RankClient(spec.ranks, context.session, context.settings.peer_key)


async def _write_group(context: CommandContext, spec: GroupSpec, expect: int) -> CommandResult:
    value = msgspec.to_builtins(spec)
    match await context.platform.write(GROUP_KIND, spec.name, value, expect):
        case Written(version):
            return Done(f"group {spec.name}: written as version {version}", value)
        case Conflict():
            reason = f"group {spec.name} was changed by someone else; nothing written"
            return Failed(ExitCode.CONFLICT, reason)
        case outcome:
            return build_failure(outcome, f"group {spec.name}")


async def _read_spec(context: CommandContext, name: str) -> tuple[int, GroupSpec] | Failed:
    match await context.platform.read(GROUP_KIND, name):
        case Found(_, (item,)):
            try:
                return item.version, decode_object(GROUP_KIND, item.value)
            except ObjectError as error:
                return Failed(ExitCode.INVALID, str(error))
        case outcome:
            return build_failure(outcome, f"group {name}")


async def _read_group(
    context: CommandContext, name: str
) -> tuple[int, GroupSpec, MapRecord, ExpertMap] | Failed:
    versioned_spec = await _read_spec(context, name)
    if isinstance(versioned_spec, Failed):
        return versioned_spec
    match await context.platform.read(MAP_KIND, name):
        case Found(_, (item,)):
            try:
                record = msgspec.convert(item.value, type=MapRecord)
                current = ExpertMap.decode(record.text_of(record.schedule.version))
            except (msgspec.ValidationError, ExpertMapError) as error:
                return Failed(ExitCode.INVALID, f"map {name}: {error}")
            return *versioned_spec, record, current
        case outcome:
            return build_failure(outcome, f"map of group {name}")


def _group_row(
    group: dict[str, Any], record: dict[str, Any] | None, health: dict[str, Any]
) -> tuple:
    schedule = (record or {}).get("schedule", {})
    return (
        group["name"],
        len(group["ranks"]),
        group.get("favour", "skew"),
        "yes" if group.get("pinned") else "no",
        schedule.get("version", "-"),
        (record or {}).get("in_flight", 0) or "-",
        health.get("skew", "-"),
        ",".join(map(str, health.get("stragglers", ()))) or "-",
    )


def _rank_row(rank: int, spec: GroupSpec, current: ExpertMap, load: RankLoad | None) -> tuple:
    share, experts = current.shares[rank], current.count_slots(rank)
    if load is None:
        return rank, spec.ranks[rank], "silent", "-", "-", share, experts, "-", "-"
    milliseconds = round(1000 * load.step_seconds, 2)
    waits = (load.waited_steps, round(load.waited_seconds, 2))
    return (
        rank, spec.ranks[rank], load.step, milliseconds, round(load.speed, 2), share, experts, *waits
    )  # fmt: skip


def _measure_group_skew(current: ExpertMap, loads: list[RankLoad | None]) -> float | None:
    if None in loads or not loads[0].tokens:
        return None
    return round(measure_skew(current, loads[0].tokens, [load.speed for load in loads]), 4)


def _format_plan(spec: GroupSpec, plan: RebalancePlan) -> str:
    rows = [
        (part.layer, part.moves, round(part.before, 5), round(part.after, 5))
        for part in plan.layers
    ]
    lines = [
        f"group {spec.name}: {plan.moves} moves in {len(rows)} layers",
        f"skew: {plan.skew_before:.3f} -> {plan.skew_after:.3f}",
        f"expected saving: {plan.saved_seconds:.2f} s of step time over the horizon",
        f"cost: {plan.cost_seconds:.2f} s of the weight store, "
        f"{plan.moves * spec.expert_bytes / 1e9:.2f} GB",
    ]
    return "\n".join([*lines, format_table(PLAN_HEADERS, rows)] if rows else lines)


def _encode_plan(plan: RebalancePlan) -> dict[str, Any]:
    return {
        "moves": plan.moves,
        "saved_seconds": plan.saved_seconds,
        "cost_seconds": plan.cost_seconds,
        "skew_before": plan.skew_before,
        "skew_after": plan.skew_after,
        "shares": [share / FULL_SHARE for share in plan.map.shares],
        "layers": [msgspec.to_builtins(part) for part in plan.layers],
    }


def _format_value(value: Any) -> str:
    return "unknown" if value is None else str(value)
