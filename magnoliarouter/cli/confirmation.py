"""Queries the status of entry daemons and waits until all of them have applied a write."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import TYPE_CHECKING

from magnoliarouter.cli.output import format_table
from magnoliarouter.cli.result import Done, ExitCode
from magnoliarouter.peers import PeerError
from magnoliarouter.peers.status import STATUS_METHOD, StatusReply, StatusRequest
from magnoliarouter.store.client import Unavailable
from magnoliarouter.store.objects import ObjectError, decode_object

if TYPE_CHECKING:
    from collections.abc import Iterable

    from magnoliarouter.cli.desk import CommandContext
    from magnoliarouter.store.objects import StoredObject, VmSpec

__all__ = [
    "Confirmation",
    "build_write_result",
    "list_entry_daemons",
    "query_daemons",
    "wait_until_in_force",
]

POLL_INTERVAL_S = 0.1
CALL_TIMEOUT_S = 1.0
MAX_FAILED_CALLS = 3
MAX_CONCURRENT_CALLS = 64


@dataclass(frozen=True, slots=True)
class Confirmation:
    """Result of waiting until daemons have applied a written version.

    Parameters
    ----------
    confirmed : tuple of str
        Daemons that have applied the version.
    pending : dict of str to str
        Remaining daemons, each with its last known state.
    seconds : float
        Duration of the wait in seconds.
    """

    confirmed: tuple[str, ...]
    pending: dict[str, str]
    seconds: float


async def list_entry_daemons(context: CommandContext) -> dict[str, str] | Unavailable:
    """Return the peer address of each entry daemon by name.

    If the platform is unavailable, the seeds from the settings are returned, named by address.
    """
    found = await context.platform.list("vm")
    if isinstance(found, Unavailable):
        return {seed: seed for seed in context.settings.seeds} or found
    return {vm.name: vm.address for vm in _entry_vms(found.items)}


async def query_daemons(
    context: CommandContext, daemons: dict[str, str], request: StatusRequest
) -> dict[str, StatusReply | PeerError]:
    """Query the status of daemons with bounded concurrency."""
    semaphore = asyncio.Semaphore(MAX_CONCURRENT_CALLS)

    async def query(address: str) -> StatusReply | PeerError:
        async with semaphore:
            try:
                return await context.peers.call(
                    address, STATUS_METHOD, request, StatusReply, deadline=CALL_TIMEOUT_S
                )
            except PeerError as error:
                return error

    replies = await asyncio.gather(*map(query, daemons.values()))
    return dict(zip(daemons, replies, strict=True))


async def wait_until_in_force(
    context: CommandContext, kind: str, name: str, version: int, seconds: float
) -> Confirmation | Unavailable:
    """Wait until every reachable daemon has applied a version of an object, or a newer one.

    Parameters
    ----------
    context : CommandContext
        Connections of the command.
    kind, name : str
        Kind and name of the written object.
    version : int
        Version that the write created.
    seconds : float
        Maximum wait in seconds. The wait ends earlier once every daemon that is still pending
        has failed to respond to three calls in a row.
    """
    daemons = await list_entry_daemons(context)
    if isinstance(daemons, Unavailable):
        return daemons
    loop = asyncio.get_running_loop()
    start = loop.time()
    request = StatusRequest(kind, [name])
    pending = dict.fromkeys(daemons, "not asked yet")
    failed_calls = dict.fromkeys(daemons, 0)
    while loop.time() - start < seconds:
        polled = {daemon: daemons[daemon] for daemon in pending}
        for daemon, reply in (await query_daemons(context, polled, request)).items():
            if isinstance(reply, PeerError):
                failed_calls[daemon] += 1
                pending[daemon] = f"not reachable: {reply}"
            elif reply.applied.get(name, 0) >= version:
                del pending[daemon]
            else:
                failed_calls[daemon] = 0
                pending[daemon] = _describe_status(reply, kind, name)
        if all(failed_calls[daemon] >= MAX_FAILED_CALLS for daemon in pending):
            break
        await asyncio.sleep(POLL_INTERVAL_S)
    confirmed = tuple(daemon for daemon in daemons if daemon not in pending)
    return Confirmation(confirmed, pending, loop.time() - start)


def build_write_result(
    text: str, value: dict[str, object], confirmation: Confirmation | Unavailable | None
) -> Done:
    """Return the result of an accepted write, with its confirmation if the command waited for it.

    Parameters
    ----------
    text, value
        Text and JSON value that describe the write.
    confirmation : Confirmation or Unavailable, optional
        Result of the wait; None if the command did not wait.
    """
    match confirmation:
        case None:
            return Done(text, value)
        case Unavailable(reason):
            text += f"\nno daemon could be asked: the platform's list of VMs failed ({reason})"
            return Done(text, {**value, "confirmed": [], "pending": {}}, ExitCode.NOT_CONFIRMED)
    confirmed, pending = confirmation.confirmed, confirmation.pending
    text += f"\nin force at {len(confirmed)} daemons after {confirmation.seconds:.1f} s"
    if pending:
        text += f"\n{len(pending)} daemons have not confirmed:\n"
        text += format_table(("daemon", "state"), sorted(pending.items()))
    wait_fields = {
        "confirmed": list(confirmed),
        "pending": pending,
        "seconds": round(confirmation.seconds, 3),
    }
    code = ExitCode.NOT_CONFIRMED if pending else ExitCode.OK
    return Done(text, {**value, **wait_fields}, code)


def _entry_vms(items: Iterable[StoredObject]) -> list[VmSpec]:
    found = []
    for item in items:
        try:
            vm = decode_object("vm", item.value)
        except ObjectError:
            continue
        if vm.role == "entry" and not vm.leaving:
            found.append(vm)
    return sorted(found, key=lambda vm: (vm.zone, vm.name))


def _describe_status(reply: StatusReply, kind: str, name: str) -> str:
    for status in reply.kinds:
        if status.kind == kind and name in status.errors:
            return f"refused: {status.errors[name]}"
    return f"has version {reply.applied.get(name, 0)}, configuration from {reply.source}"
