"""Nine entry daemons in three zones with a faulty route before each of their connections."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

import msgspec

from magnoliarouter.standins.bench.rollout_judge import Outage
from magnoliarouter.standins.launch import PEER_KEY, Process, Site, find_port

if TYPE_CHECKING:
    from collections.abc import Callable

    import aiohttp

__all__ = ["Member", "RolloutSite"]

ZONES = 3
DAEMONS_PER_ZONE = 3
HOLD_FAULTS = {"hold_up": True, "hold_down": True}
NO_FAULTS: dict[str, Any] = {}


@dataclass(slots=True)
class Member:
    """One entry daemon of the experiment.

    Parameters
    ----------
    name, zone : str
        The daemon.
    peers_address : str
        Its real peers' address, asked for its status by the experiment.
    settings : dict
        Settings for every start.
    listed_port : int
        Port of the route before its peers' port, which the platform lists.
    outages : list of Outage
        When it was killed or paused, or the platform was down.
    """

    name: str
    zone: str
    peers_address: str
    settings: dict[str, Any]
    listed_port: int
    process: Process | None = None
    outages: list[Outage] = field(default_factory=list)
    unavailable_since: float | None = None


class RolloutSite:
    """Processes of the experiment and the faults that it causes.

    Parameters
    ----------
    site : Site
        Owner of the processes.
    session : aiohttp.ClientSession
        Session for fault controls.
    clock : callable
        Time in seconds.
    """

    def __init__(
        self, site: Site, session: aiohttp.ClientSession, clock: Callable[[], float]
    ) -> None:
        self.members: dict[str, Member] = {}
        self._site = site
        self._session = session
        self._clock = clock
        self._proxies: dict[str, Process] = {}

    async def start(self) -> None:
        """Start the platform's stand-in, a proxy a zone, and all daemons."""
        self.platform = await self._site.start_standin("platform", "127.0.0.1")
        for number in range(1, ZONES + 1):
            await self._start_zone(f"zone-{number}", f"127.0.{number}.1")
        for member in self.members.values():
            await self.start_member(member.name)

    async def start_member(self, name: str) -> None:
        """Start a daemon, again after a kill."""
        member = self.members[name]
        member.process = await self._site.start_daemon(member.settings, member.listed_port)

    async def kill_member(self, name: str) -> None:
        """Kill a daemon."""
        member = self.members[name]
        member.unavailable_since = self._clock()
        assert member.process is not None
        await member.process.kill()

    def pause_member(self, name: str) -> None:
        """Stop a daemon in its steps."""
        member = self.members[name]
        member.unavailable_since = self._clock()
        assert member.process is not None
        member.process.pause()

    def resume_member(self, name: str) -> None:
        """Let a paused daemon go on."""
        member = self.members[name]
        assert member.process is not None
        member.process.resume()
        self.record_return(name)

    def record_return(self, name: str) -> None:
        """Note that a daemon that was away is back."""
        member = self.members[name]
        if member.unavailable_since is not None:
            member.outages.append(Outage(member.unavailable_since, self._clock()))
            member.unavailable_since = None

    async def set_platform_faults(self, **faults: Any) -> None:
        """Set what goes wrong in the platform."""
        body = msgspec.json.encode(faults)
        async with self._session.put(f"{self.platform.url}/faults", data=body) as response:
            assert response.status == 200, await response.text()

    async def read_platform_calls(self) -> dict[str, int]:
        """Return the calls that the platform counted."""
        async with self._session.get(f"{self.platform.url}/calls") as response:
            return msgspec.json.decode(await response.read())

    async def hold_route(self, route: str, name: str, held: bool = True) -> None:
        """Hold all bytes of a daemon's ``platform`` or ``peers`` route, or let them go."""
        proxy = self._proxies[self.members[name].zone]
        body = msgspec.json.encode(HOLD_FAULTS if held else NO_FAULTS)
        url = f"{proxy.url}/routes/{route}-{name}"
        async with self._session.put(url, data=body) as response:
            assert response.status == 200, await response.text()

    async def _start_zone(self, zone: str, host: str) -> None:
        routes = []
        for number in range(1, DAEMONS_PER_ZONE + 1):
            name = f"{zone}-entry-{number}"
            peers, listed, to_platform = (find_port(host) for _ in range(3))
            routes.append(f"--route=peers-{name}={host}:{listed}={host}:{peers}")
            routes.append(f"--route=platform-{name}={host}:{to_platform}={self.platform.address}")
            settings = {
                "role": "entry",
                "name": name,
                "zone": zone,
                "platform": f"http://{host}:{to_platform}",
                "listen": {"host": host},
                "peers": {"host": host, "port": peers},
                "peer_key": PEER_KEY,
                "shutdown_seconds": 0.1,
            }
            self.members[name] = Member(name, zone, f"{host}:{peers}", settings, listed)
        self._proxies[zone] = await self._site.start_standin("proxy", host, *routes)
