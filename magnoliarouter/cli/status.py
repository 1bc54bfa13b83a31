"""Commands ``status`` and ``gateway status``: daemons, zones and the configuration in force."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any
from urllib.request import urlopen

import msgspec
from cleo.helpers import argument, option

from magnoliarouter.cli.confirmation import list_entry_daemons, query_daemons
from magnoliarouter.cli.output import SHARED_OPTIONS, OperatorCommand, build_failure, format_table
from magnoliarouter.cli.result import CommandResult, Done, ExitCode, Failed
from magnoliarouter.cli.view import encode_value
from magnoliarouter.peers.status import StatusReply, StatusRequest
from magnoliarouter.store.client import Unavailable

if TYPE_CHECKING:
    from cleo.commands.command import Command

    from magnoliarouter.cli.desk import CommandContext
    from magnoliarouter.peers import PeerError

__all__ = ["commands"]

# A daemon responds to a status request immediately; one that takes longer is considered stalled.
STATUS_TIMEOUT_S = 3.0
DAEMON_HEADERS = ("daemon", "zone", "state", "source", "contracts", "version", "age s", "problems")


class Status(OperatorCommand):
    """Command ``status``."""

    name = "status"
    description = "Show all entry daemons and the configuration that each has in force"
    options = [*SHARED_OPTIONS, option("daemon", None, "Show one daemon in full", flag=False)]

    async def perform(self, context: CommandContext) -> CommandResult:
        """Query the status of every entry daemon."""
        daemons = await list_entry_daemons(context)
        if isinstance(daemons, Unavailable):
            return build_failure(daemons, "list of VMs")
        if chosen := self.option("daemon"):
            daemons = {name: address for name, address in daemons.items() if name == chosen}
        replies = await query_daemons(context, daemons, StatusRequest())
        text = _format_daemons(replies) if not chosen else _format_daemon(replies)
        value = {name: _to_json(reply) for name, reply in replies.items()}
        unreachable = [
            name for name, reply in replies.items() if not isinstance(reply, StatusReply)
        ]
        code = ExitCode.NOT_CONFIRMED if unreachable else ExitCode.OK
        return Done(text, value, ExitCode.NOT_FOUND if chosen and not replies else code)


class GatewayStatus(OperatorCommand):
    """Command ``gateway status``."""

    name = "gateway status"
    description = "Show what one gateway daemon believes: configuration, store, endpoints, groups"
    arguments = [argument("address", "Status address of the daemon, HOST:PORT")]
    options = [option("json", None, "Print one JSON value instead of tables")]

    def handle(self) -> int:
        """Query the daemon and print its status."""
        address = self.argument("address")
        try:
            with urlopen(f"http://{address}/status", timeout=STATUS_TIMEOUT_S) as response:
                value = msgspec.json.decode(response.read())
        except (OSError, ValueError, msgspec.MsgspecError) as error:
            message = f"daemon at {address!r} gives no status: {error}"
            return self.report(Failed(ExitCode.UNAVAILABLE, message))
        return self.report(Done(_format_gateway(value), value))


def commands() -> list[Command]:
    """Return the commands of this module."""
    return [Status(), GatewayStatus()]


def _format_gateway(value: dict[str, Any]) -> str:
    configuration = value["configuration"]
    lines = [
        f"{value['name']} in {value['zone']}: {'ready' if value['ready'] else 'not ready'}",
        f"configuration {configuration['version']}, confirmed {configuration['age_s']} s ago",
        f"{value['daemons']} daemons; in charge of expert maps: {value['in_charge']}",
    ]
    for kind, watch in value["store"].items():
        state = f"failing: {watch['reason']}" if watch["failures"] else "served"
        lines.append(f"store, {kind}: {state}, last {watch['served_s_ago']} s ago")
    if evacuated := value.get("evacuated"):
        lines.append(f"evacuated zones: {', '.join(evacuated)}")
    for service, facts in value.get("zones", {}).get("services", {}).items():
        fullness = ", ".join(f"{zone} {part}" for zone, part in facts["fullness"].items())
        leaving = (
            f"{facts['share']} of the calls leave the zone" if facts["sending"] else "none leave"
        )
        lines.append(f"{service}: zones are full to {fullness}; {leaving}")
    endpoints = [
        (
            name,
            facts["service"],
            facts["zone"],
            _name_state(facts),
            f"{facts['load']}/{facts['slots']}",
        )
        for name, facts in value["endpoints"].items()
    ]
    lines.append(format_table(("endpoint", "service", "zone", "state", "load"), endpoints))
    waiting = [
        (service, urgency, calls, facts["expected_wait_s"][urgency], facts["places_per_s"])
        for service, facts in value.get("queues", {}).items()
        for urgency, calls in facts["waiting"].items()
    ]
    if waiting:
        header = ("service", "urgency", "waiting", "expected wait, s", "places per s")
        lines.append(format_table(header, waiting))
    refused = [
        (service, code, calls)
        for service, facts in value.get("queues", {}).items()
        for code, calls in facts["refused"].items()
    ]
    if refused:
        lines.append(format_table(("service", "refused as", "calls"), refused))
    quarantined = [(name, ", ".join(parts)) for name, parts in value.get("quarantined", {}).items()]
    if quarantined:
        lines.append(format_table(("record", "parts of prompts that crash endpoints"), quarantined))
    groups = [
        (name, facts["epoch"], facts["map"], facts["step"])
        for name, facts in value["groups"].items()
    ]
    if groups:
        lines.append(format_table(("group", "epoch", "map", "step"), groups))
    return "\n".join(lines)


def _name_state(facts: dict[str, Any]) -> str:
    pause_s, rate = facts.get("pause_s"), facts.get("rate")
    state = f"{facts['state']} for {pause_s} s" if pause_s else facts["state"]
    state = f"{state}, cold for {cold_s} s" if (cold_s := facts.get("cold_s")) else state
    return state if rate is None else f"{state}, {rate} requests/s"


def _format_daemons(replies: dict[str, StatusReply | PeerError]) -> str:
    rows = [_daemon_row(name, reply) for name, reply in replies.items()]
    text = format_table(DAEMON_HEADERS, rows)
    responding = [reply for reply in replies.values() if isinstance(reply, StatusReply)]
    zones = sorted({reply.zone for reply in responding})
    text += f"\n{len(responding)} of {len(replies)} daemons answer, in zones: {', '.join(zones)}"
    problems = _collect_problems(responding)
    return text + (
        "\n" + format_table(("object", "problem", "daemons"), problems) if problems else ""
    )


def _daemon_row(name: str, reply: StatusReply | PeerError) -> tuple[Any, ...]:
    if not isinstance(reply, StatusReply):
        return name, "-", "not reachable", "-", "-", "-", "-", str(reply)
    contracts = next((status for status in reply.kinds if status.kind == "contract"), None)
    ages = [status.age_s for status in reply.kinds if status.age_s is not None]
    problems = sum(len(status.errors) + bool(status.regressed) for status in reply.kinds)
    return (
        reply.name,
        reply.zone,
        "ready" if reply.ready else "not ready",
        reply.source,
        contracts.objects if contracts else "-",
        max((status.version for status in reply.kinds), default=0),
        f"{max(ages):.1f}" if ages else "never",
        problems,
    )


def _collect_problems(replies: list[StatusReply]) -> list[tuple[str, str, int]]:
    counts: dict[tuple[str, str], int] = {}
    for reply in replies:
        for status in reply.kinds:
            found = [(f"{status.kind}/{name}", text) for name, text in status.errors.items()]
            if status.regressed:
                found.append((status.kind, status.regressed))
            for problem in found:
                counts[problem] = counts.get(problem, 0) + 1
    return [(*problem, count) for problem, count in sorted(counts.items())]


def _format_daemon(replies: dict[str, StatusReply | PeerError]) -> str:
    lines = [_format_daemons(replies)]
    for reply in replies.values():
        if isinstance(reply, StatusReply):
            rows = [
                (status.kind, status.objects, status.version, status.age_s)
                for status in reply.kinds
            ]
            lines.append(format_table(("kind", "objects", "version", "age s"), rows))
            lines += [f"{name}: {encode_value(facts)}" for name, facts in reply.sections.items()]
    return "\n".join(lines)


def _to_json(reply: StatusReply | PeerError) -> Any:
    if isinstance(reply, StatusReply):
        return msgspec.to_builtins(reply)
    return {"error": str(reply)}
