"""Booking site with a fault proxy between all of its processes, and the faults to inject."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

import msgspec

from magnoliarouter.standins.bookings import BookingSite
from magnoliarouter.standins.launch import find_port

if TYPE_CHECKING:
    import random
    from collections.abc import Awaitable, Callable

    import aiohttp

    from magnoliarouter.standins.launch import Process, Site

__all__ = ["FAULTS", "FaultySite"]

ENTRY_COUNT = 3
ENDPOINT_COUNT = 2
PAUSE_S = 1.2
APPLICATION_FAULT_SHARE = 0.15
CUT_SHARE = 0.1
STORE_DELAY_S = 0.3


class FaultySite(BookingSite):
    """Booking site in which every connection passes through a fault proxy.

    Parameters
    ----------
    site : Site
        Site that starts and stops the processes.
    session : aiohttp.ClientSession
        HTTP session for callers and for control requests to stand-ins.
    rng : random.Random
        Source of all random choices.
    """

    def __init__(self, site: Site, session: aiohttp.ClientSession, rng: random.Random) -> None:
        super().__init__(site, session)
        self.rng = rng
        self._restart_tasks: list[asyncio.Task[None]] = []
        self._target_ports: dict[str, int] = {}
        self._applications: list[Process] = []

    async def open(self) -> None:
        """Start the proxy, the site, and the tasks that restart applications after an exit."""
        platform_port = find_port("127.0.0.1")
        routes = {"platform": ("127.0.0.1", platform_port)}
        for number in range(1, ENTRY_COUNT + 1):
            routes[f"entry-{number}"] = (f"127.0.{number}.2", find_port(f"127.0.{number}.2"))
        for number in range(1, ENDPOINT_COUNT + 1):
            host = f"127.0.{number}.1"
            routes[f"guard-{number}"] = (host, find_port(host))
            routes[f"app-{number}"] = (host, find_port(host))
        self._target_ports = {name: port for name, (_, port) in routes.items()}
        self.routes = {name: f"{host}:{find_port(host)}" for name, (host, _) in routes.items()}
        options = []
        for name, (host, port) in routes.items():
            options += ["--route", f"{name}={self.routes[name]}={host}:{port}"]
        self.proxy = await self.site.start_standin("proxy", "127.0.0.1", *options)
        self.platform_url = f"http://{self.routes['platform']}"
        await self.start(ENTRY_COUNT, ENDPOINT_COUNT)
        for number in range(1, ENDPOINT_COUNT + 1):
            self._restart_tasks.append(
                asyncio.create_task(self._restart_application_on_exit(number))
            )

    async def close(self) -> None:
        """Cancel the tasks that restart applications."""
        for task in self._restart_tasks:
            task.cancel()
        await asyncio.gather(*self._restart_tasks, return_exceptions=True)

    def entry_url(self, number: int) -> str:
        """Return the base URL of an entry daemon's proxy route; `number` counts from 0."""
        return f"http://{self.routes[f'entry-{number + 1}']}"

    async def start_platform(self) -> Process:
        """Start the platform stand-in at the target address of its route."""
        return await self.site.start_standin(
            "platform", "127.0.0.1", port=self._target_ports["platform"]
        )

    async def start_application(
        self, number: int, work_seconds: float = 0.01, port: int | None = None
    ) -> Process:
        """Start an application at the target address of its route."""
        return await super().start_application(
            number, work_seconds, port=self._target_ports[f"app-{number}"]
        )

    async def start_guard(self, number: int, target: str, **changes: Any) -> Process:
        """Start a guard that advertises its route and reaches its application through a route."""
        listen = {"host": f"127.0.{number}.1", "port": self._target_ports[f"guard-{number}"]}
        return await super().start_guard(
            number,
            f"http://{self.routes[f'app-{number}']}",
            listen=listen,
            advertise=self.routes[f"guard-{number}"],
            **changes,
        )

    async def start_entry(self, number: int, **changes: Any) -> Process:
        """Start an entry daemon at the target address of its route."""
        listen = {"host": f"127.0.{number}.2", "port": self._target_ports[f"entry-{number}"]}
        return await super().start_entry(number, listen=listen, **changes)

    async def set_route(self, name: str, **faults: Any) -> None:
        """Set the faults of a route, or of all routes with the name ``"*"``."""
        faults.setdefault("seed", self.rng.randrange(1 << 30))
        url = f"{self.proxy.url}/routes/{name}"
        async with self.session.put(url, data=msgspec.json.encode(faults)) as response:
            assert response.status == 200, response.status

    async def clear_faults(self) -> None:
        """Clear all faults of stand-ins and routes."""
        await self.set_route("*")
        await self.set_faults(self.platform)
        for number, application in enumerate(self.applications):
            if application.child.returncode is None:
                await self.set_application(number)

    async def set_application(self, index: int, **faults: Any) -> None:
        """Set the faults of an application; does nothing if it is not reachable."""
        try:
            await self.set_faults(self.applications[index], **faults)
        except OSError:
            return

    async def _restart_application_on_exit(self, number: int) -> None:
        while True:
            await self.applications[number - 1].child.wait()
            await asyncio.sleep(0.1)
            self.applications[number - 1] = await self.start_application(number)


async def _no_fault(site: FaultySite, seconds: float) -> None:
    await asyncio.sleep(seconds)


async def _kill_entry(site: FaultySite, seconds: float) -> None:
    index = site.rng.randrange(len(site.entries))
    await asyncio.sleep(seconds / 4)
    await site.entries[index].kill()
    await asyncio.sleep(seconds / 4)
    site.entries[index] = await site.start_entry(index + 1)
    await asyncio.sleep(seconds / 4)


async def _kill_guard(site: FaultySite, seconds: float) -> None:
    index = site.rng.randrange(len(site.guards))
    await asyncio.sleep(seconds / 4)
    await site.guards[index].kill()
    await asyncio.sleep(seconds / 4)
    site.guards[index] = await site.start_guard(index + 1, "")
    await asyncio.sleep(seconds / 4)


async def _drain_guards(site: FaultySite, seconds: float) -> None:
    for draining in (True, False):
        for guard in site.guards:
            body = msgspec.json.encode({"draining": draining})
            async with site.session.post(f"{guard.url}/guard/drain", data=body) as response:
                assert response.status == 200, response.status
        await asyncio.sleep(seconds / 2)


async def _pause_entry(site: FaultySite, seconds: float) -> None:
    await _pause(site.rng.choice(site.entries), seconds)


async def _pause_guard(site: FaultySite, seconds: float) -> None:
    await _pause(site.rng.choice(site.guards), seconds)


async def _pause(process: Process, seconds: float) -> None:
    await asyncio.sleep(seconds / 4)
    process.pause()
    await asyncio.sleep(PAUSE_S)
    process.resume()
    await asyncio.sleep(seconds / 4)


def _fault_application(**faults: float) -> Callable[[FaultySite, float], Awaitable[None]]:
    async def inject(site: FaultySite, seconds: float) -> None:
        end = asyncio.get_running_loop().time() + seconds
        while asyncio.get_running_loop().time() < end:
            for index in range(len(site.applications)):
                seed = site.rng.randrange(1 << 30)
                await site.set_application(index, seed=seed, **faults)
            await asyncio.sleep(0.3)

    return inject


def _fault_platform(**faults: Any) -> Callable[[FaultySite, float], Awaitable[None]]:
    async def inject(site: FaultySite, seconds: float) -> None:
        await site.set_faults(site.platform, seed=site.rng.randrange(1 << 30), **faults)
        await asyncio.sleep(seconds * 0.75)

    return inject


def _fault_routes(prefix: str, **faults: Any) -> Callable[[FaultySite, float], Awaitable[None]]:
    async def inject(site: FaultySite, seconds: float) -> None:
        for name in site.routes:
            if name.startswith(prefix):
                await site.set_route(name, **faults)
        await asyncio.sleep(seconds * 0.75)

    return inject


def _combine_faults(*injectors: Callable[[FaultySite, float], Awaitable[None]]) -> Any:
    async def inject(site: FaultySite, seconds: float) -> None:
        await asyncio.gather(*(each(site, seconds) for each in injectors))

    return inject


_STORE_RESPONSE_LOST = _fault_platform(lose_answers=0.3)
_APPLICATION_RESPONSE_LOST = _fault_application(lose_answer=APPLICATION_FAULT_SHARE)
_GUARD_CUT_DOWN = _fault_routes("guard-", cut_down=CUT_SHARE)

FAULTS: dict[str, Callable[[FaultySite, float], Awaitable[None]]] = {
    "none": _no_fault,
    "kill_entry": _kill_entry,
    "kill_guard": _kill_guard,
    "drain_guards": _drain_guards,
    "pause_entry": _pause_entry,
    "pause_guard": _pause_guard,
    "application_dies_before": _fault_application(die_before=APPLICATION_FAULT_SHARE),
    "application_dies_during": _fault_application(die_during=APPLICATION_FAULT_SHARE),
    "application_dies_after": _fault_application(die_after=APPLICATION_FAULT_SHARE),
    "application_answer_lost": _APPLICATION_RESPONSE_LOST,
    "application_late": _fault_application(late=APPLICATION_FAULT_SHARE, late_seconds=4.0),
    "caller_to_entry_cut": _fault_routes("entry-", cut_up=CUT_SHARE),
    "entry_to_caller_cut": _fault_routes("entry-", cut_down=CUT_SHARE),
    "entry_to_guard_cut": _fault_routes("guard-", cut_up=CUT_SHARE),
    "guard_to_entry_cut": _GUARD_CUT_DOWN,
    "guard_requests_duplicated": _fault_routes("guard-", duplicate=0.5),
    "guard_to_application_cut": _fault_routes("app-", cut_up=CUT_SHARE),
    "application_to_guard_cut": _fault_routes("app-", cut_down=CUT_SHARE),
    "store_down": _fault_platform(down=True),
    "store_slow": _fault_platform(delay=STORE_DELAY_S),
    "store_answer_lost": _STORE_RESPONSE_LOST,
    "store_cut": _fault_routes("platform", cut_up=CUT_SHARE, cut_down=CUT_SHARE),
    "store_answer_lost_and_kill_entry": _combine_faults(_STORE_RESPONSE_LOST, _kill_entry),
    "guard_cut_and_pause_entry": _combine_faults(_GUARD_CUT_DOWN, _pause_entry),
    "answer_lost_and_store_down": _combine_faults(
        _APPLICATION_RESPONSE_LOST, _fault_platform(down=True)
    ),
    "kill_entry_and_kill_guard": _combine_faults(_kill_entry, _kill_guard),
}
