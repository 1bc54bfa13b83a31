"""Deployment with a service whose calls must run at most once, and a client for it."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

import aiohttp
import msgspec

from magnoliarouter.standins.application import read_journal
from magnoliarouter.standins.launch import Process, Site, contract_value
from magnoliarouter.store.client import PlatformClient

if TYPE_CHECKING:
    from magnoliarouter.standins.application import Execution

__all__ = ["SERVICE", "BookingResponse", "BookingSite"]

SERVICE = "tanks"
KEY = "key-of-the-yard"
LIMITS = {"requests_per_second": 5000, "tokens_per_second": 1, "concurrent_requests": 1000}
READY_TIMEOUT_S = 15.0
CALL_TIMEOUT_S = 10.0
POLL_S = 0.05


@dataclass(frozen=True, slots=True)
class BookingResponse:
    """Response as the caller receives it.

    Parameters
    ----------
    status : int
        HTTP status; 0 if the connection failed.
    outcome : str
        ``"completed"``, ``"not_run"`` or ``"unknown"``.
    code : int
        Result code of an error; 0 if there is no error.
    scope : str
        What a refusal applies to: ``"key"`` or ``"request"``.
    body : bytes
        Response body.
    """

    status: int
    outcome: str
    code: int
    scope: str
    body: bytes


class BookingSite:
    """Platform, applications behind guards, and entry daemons.

    Parameters
    ----------
    site : Site
        Site that starts the processes.
    session : aiohttp.ClientSession
        Session for the calls.
    """

    def __init__(self, site: Site, session: aiohttp.ClientSession) -> None:
        self.site = site
        self.session = session
        self.entries: list[Process] = []
        self.guards: list[Process] = []
        self.applications: list[Process] = []
        self.platform_url = ""

    async def start(self, entries: int, endpoints: int, work_seconds: float = 0.01) -> None:
        """Start all processes and wait until every entry daemon completes a booking."""
        self.platform = await self.start_platform()
        self.platform_url = self.platform_url or self.platform.url
        self.client = PlatformClient(self.platform.url, self.session)
        service_spec = {"name": SERVICE, "non_repeatable": ["POST /release"]}
        await self.client.write("service", SERVICE, service_spec)
        contract = contract_value("yard", KEY, current=LIMITS)
        await self.client.write("contract", "yard", contract)
        for number in range(1, endpoints + 1):
            await self.start_endpoint(number, work_seconds)
        for number in range(1, entries + 1):
            self.entries.append(await self.start_entry(number))
        for entry in self.entries:
            await self.wait_until_ready(entry)

    async def start_platform(self) -> Process:
        """Start the platform stand-in."""
        return await self.site.start_standin("platform", "127.0.0.1")

    async def start_endpoint(self, number: int, work_seconds: float = 0.01) -> None:
        """Start an application and its guard."""
        self.applications.append(await self.start_application(number, work_seconds))
        self.guards.append(await self.start_guard(number, self.applications[number - 1].url))

    async def start_application(
        self, number: int, work_seconds: float = 0.01, port: int | None = None
    ) -> Process:
        """Start an application whose journal survives its process."""
        journal = self.site.folder / f"journal-{number}"
        options = ("--journal", str(journal), "--name", f"app-{number}")
        work = ("--work-seconds", str(work_seconds))
        return await self.site.start_standin(
            "application", f"127.0.{number}.1", *options, *work, port=port
        )

    async def start_guard(self, number: int, target: str, **overrides: Any) -> Process:
        """Start the guard of an application."""
        settings = {
            "role": "endpoint",
            "name": f"app-{number}",
            "zone": f"zone-{number}",
            "platform": self.platform_url,
            "listen": {"host": f"127.0.{number}.1"},
            "target": target,
            "kind": "application",
            "services": [SERVICE],
        }
        return await self.site.start_daemon({**settings, **overrides})

    async def start_entry(self, number: int, **overrides: Any) -> Process:
        """Start an entry daemon."""
        settings = {
            "role": "entry",
            "name": f"entry-{number}",
            "zone": f"zone-{number}",
            "zones": ["zone-1", "zone-2", "zone-3"],
            "platform": self.platform_url,
            "listen": {"host": f"127.0.{number}.2"},
            "request_seconds": 3.0,
            "shutdown_seconds": 0.5,
            "admission": "static",
            "claim_calls_per_second": 400.0,
        }
        return await self.site.start_daemon({**settings, **overrides})

    async def wait_until_ready(self, entry: Process) -> None:
        """Wait until an entry daemon completes a booking."""
        async with asyncio.timeout(READY_TIMEOUT_S):
            number = 0
            while True:
                number += 1
                response = await self.book(entry, f"ready-{entry.name}-{number}", "probe")
                if response.outcome == "completed":
                    return
                await asyncio.sleep(POLL_S)

    async def book(
        self, entry: Process, key: str, body: str, url: str = "", timeout: float = CALL_TIMEOUT_S
    ) -> BookingResponse:
        """Send one call that must run at most once, and return its response."""
        headers = {"Authorization": f"Bearer {KEY}", "Idempotency-Key": key}
        target = f"{url or entry.url}/services/{SERVICE}/release/7?vessel=3"
        try:
            async with asyncio.timeout(timeout):
                async with self.session.post(target, data=body, headers=headers) as response:
                    return _parse_response(response.status, response.headers, await response.read())
        except (aiohttp.ClientError, OSError):
            return BookingResponse(0, "unknown", 0, "", b"")

    async def set_faults(self, process: Process, **faults: Any) -> None:
        """Replace the faults of a stand-in; omitted ones are switched off."""
        url = f"{process.url}/faults"
        async with self.session.put(url, data=msgspec.json.encode(faults)) as response:
            assert response.status == 200, response.status

    def read_executions(self) -> list[Execution]:
        """Return the executions in the journals of all applications."""
        paths = sorted(self.site.folder.glob("journal-*"))
        return [execution for path in paths for execution in read_journal(path)]


def _parse_response(status: int, headers: Any, body: bytes) -> BookingResponse:
    try:
        error = msgspec.json.decode(body).get("error")
    except (msgspec.DecodeError, AttributeError):
        error = None
    if error is None:
        return BookingResponse(status, "completed", 0, "", body)
    scope = headers.get("x-not-run-scope", "request")
    return BookingResponse(status, error["outcome"], error["code"], scope, body)
