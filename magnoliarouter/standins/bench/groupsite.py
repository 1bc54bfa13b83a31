"""A group of real processes for experiments: ranks, interconnect, weight store and controllers."""

from __future__ import annotations

import asyncio
import contextlib
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

import msgspec

from magnoliarouter.standins.launch import PEER_KEY, Process, Site, find_port

if TYPE_CHECKING:
    import aiohttp

__all__ = ["ROUTE_DELAY_S", "GroupSite", "PhaseEvent", "StepRecord"]

ROUTE_DELAY_S = 0.02
POLL_INTERVAL_S = 0.005


@dataclass(frozen=True, slots=True)
class PhaseEvent:
    """Phase that a controller entered, as its log tells."""

    daemon: str
    phase: str
    epoch: int
    version: int
    target: int
    timestamp: float


@dataclass(frozen=True, slots=True)
class StepRecord:
    """Step that a rank began, as its log tells."""

    rank: int
    generation: str
    step: int
    version: int
    wait_s: float


@dataclass(slots=True)
class GroupSite:
    """One group with its own platform, between two entry daemons that compete for its lease.

    Parameters
    ----------
    site : Site
        Owner of the processes.
    session : aiohttp.ClientSession
        Session for switching faults.
    number : int
        Number of the group; its processes use the addresses 127.0.``number``.x.
    ranks : int
        Ranks of the group.
    settings : dict
        Fields of the group object.
    rank_options : tuple of str
        Options of the rank stand-in.
    ranks_per_process : int
        Ranks that share a process.
    """

    site: Site
    session: aiohttp.ClientSession
    number: int
    ranks: int
    settings: dict[str, Any]
    rank_options: tuple[str, ...] = ()
    ranks_per_process: int = 1
    platform: Process | None = None
    weight_store: Process | None = None
    proxy: Process | None = None
    entries: dict[str, Process] = field(default_factory=dict)
    rank_processes: list[Process] = field(default_factory=list)
    events: list[PhaseEvent] = field(default_factory=list)
    _rank_arguments: tuple[str, ...] = ()
    _log_offsets: dict[str, int] = field(default_factory=dict)

    @property
    def name(self) -> str:
        """Name of the group."""
        return f"group-{self.number}"

    @property
    def host(self) -> str:
        """Address of the group's processes."""
        return f"127.0.{self.number}.1"

    async def start(self) -> None:
        """Start all processes and write the group object."""
        start_standin, host = self.site.start_standin, self.host
        self.platform = await start_standin("platform", host)
        self.weight_store = await start_standin("weights", host)
        interconnect = await start_standin("group", host, "--size", str(self.ranks))
        direct = [f"{host}:{find_port(host)}" for _ in range(self.ranks)]
        routed = [f"127.0.{self.number}.2:{find_port(host)}" for _ in range(self.ranks)]
        routes = [f"--route=rank-{n}={routed[n]}={direct[n]}" for n in range(self.ranks)]
        self.proxy = await start_standin("proxy", host, *routes)
        self._rank_arguments = (
            f"--addresses={','.join(routed)}",
            f"--listen={','.join(direct)}",
            f"--platform={self.platform.url}",
            f"--interconnect={interconnect.url}",
            f"--weights={self.weight_store.url}",
            f"--group={self.name}",
            f"--key={PEER_KEY}",
            f"--log={self.site.folder / self.name}.steps",
            f"--layers={self.settings['layers']}",
            f"--experts={self.settings['experts']}",
            f"--expert-bytes={self.settings['expert_bytes']}",
            *self.rank_options,
        )
        for first in range(0, self.ranks, self.ranks_per_process):
            self.rank_processes.append(await self._start_ranks(first))
        await self.set_route("*", {"delay": ROUTE_DELAY_S})
        value = {"name": self.name, "ranks": routed, **self.settings}
        await self.put_json(f"{self.platform.url}/v1/objects/group/{self.name}", value)
        for number in (1, 2):
            await self.start_entry(f"entry-{self.number}-{number}")

    async def start_entry(self, name: str) -> None:
        """Start an entry daemon, anew if it was killed."""
        settings = {
            "role": "entry",
            "name": name,
            "zone": "zone-1",
            "zones": ["zone-1"],
            "platform": self.platform.url,
            "listen": {"host": self.host},
            "group_lease_seconds": 1.5,
        }
        self.entries[name] = await self.site.start_daemon(settings)

    async def restart_rank(self, rank: int) -> None:
        """Kill a process of ranks and start it again with empty memory."""
        await self.rank_processes[rank].kill()
        self.rank_processes[rank] = await self._start_ranks(rank * self.ranks_per_process)

    async def set_route(self, route: str, faults: dict[str, Any]) -> None:
        """Set the faults between the controllers and one rank, or all."""
        await self.put_json(f"{self.proxy.url}/routes/{route}", faults)

    async def put_json(self, url: str, value: Any) -> None:
        """Send a JSON value."""
        async with self.session.put(url, data=msgspec.json.encode(value)) as answer:
            await answer.read()

    async def wait_for_phase(
        self, phases: set[str], after: int, seconds: float
    ) -> PhaseEvent | None:
        """Return the first event past a position in `events` that enters one of the phases."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(seconds):
                position = after
                while True:
                    self.read_events()
                    for event in self.events[position:]:
                        if event.phase in phases:
                            return event
                    position = len(self.events)
                    await asyncio.sleep(POLL_INTERVAL_S)
        return None

    def read_steps(self) -> list[StepRecord]:
        """Return all steps that the ranks began."""
        path = self.site.folder / f"{self.name}.steps"
        lines = path.read_text(encoding="utf-8").splitlines() if path.exists() else []
        steps = []
        for line in lines:
            # A killed rank may leave half a line.
            with contextlib.suppress(msgspec.MsgspecError):
                steps.append(StepRecord(*msgspec.json.decode(line)))
        return steps

    async def _start_ranks(self, first: int) -> Process:
        ranks = range(first, min(self.ranks, first + self.ranks_per_process))
        ranks_option = f"--ranks={','.join(map(str, ranks))}"
        return await self.site.start_standin("rank", self.host, ranks_option, *self._rank_arguments)

    def read_events(self) -> None:
        """Take in what the controllers logged since the last call."""
        for name in self.entries:
            path = self.site.folder / f"{name}.log"
            if not path.exists():
                continue
            with path.open("rb") as log:
                log.seek(self._log_offsets.get(name, 0))
                complete_lines, _, _ = log.read().rpartition(b"\n")
            self._log_offsets[name] = (
                self._log_offsets.get(name, 0) + len(complete_lines) + bool(complete_lines)
            )
            for line in complete_lines.splitlines():
                if b'"map_phase"' in line:
                    self._record_event(name, msgspec.json.decode(line))

    def _record_event(self, daemon: str, line: dict[str, Any]) -> None:
        fields = (line[name] for name in ("phase", "epoch", "version", "target", "timestamp"))
        self.events.append(PhaseEvent(daemon, *fields))
