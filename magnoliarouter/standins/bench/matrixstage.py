"""Processes of a fault matrix scene: one entry daemon and two endpoints behind a fault proxy."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

import aiohttp
import msgspec

from magnoliarouter.pipeline.deliver import LAST_FRAME
from magnoliarouter.standins.launch import Process, Site, contract_value, find_port
from magnoliarouter.standins.load import CompletionRequest, CompletionResult, send_completion
from magnoliarouter.store.client import PlatformClient

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

__all__ = ["ENDPOINT_COUNT", "Refusal", "SceneRun"]

ENDPOINT_COUNT = 2
HOST = "127.0.1.1"
ZONE = "zone-1"
CUSTOMER_KEY = "key-of-the-matrix"
LIMITS = {"requests_per_second": 500, "tokens_per_second": 500_000, "concurrent_requests": 500}
POLL_INTERVAL_S = 0.02
WAIT_TIMEOUT_S = 20.0
STREAM_TOKENS = 60
RECOVERY_TIMEOUT_S = 5.0


@dataclass(frozen=True, slots=True)
class Refusal:
    """Result of a call as its caller saw it.

    Parameters
    ----------
    status : int
        HTTP status.
    outcome : str
        ``"not_run"`` or ``"unknown"``; empty if the call completed.
    """

    status: int
    outcome: str = ""


class _ErrorDetail(msgspec.Struct):
    outcome: str


class _ErrorBody(msgspec.Struct):
    error: _ErrorDetail


class SceneRun:
    """Processes of one scene and the violations found in it.

    Parameters
    ----------
    site : Site
        Site that starts and stops the processes.
    session : aiohttp.ClientSession
        HTTP session for callers and for control requests to stand-ins.
    admission : {"static", "escrow"}
        How the entry daemon enforces limits.
    """

    def __init__(
        self, site: Site, session: aiohttp.ClientSession, admission: str = "static"
    ) -> None:
        self._admission = admission
        self.violations: list[str] = []
        self.engines: list[Process] = []
        self.guards: list[Process] = []
        self._site = site
        self._session = session
        self._guard_settings: list[dict[str, Any]] = []

    async def start(self) -> None:
        """Start all processes and wait until a request is served."""
        self.platform = await self._site.start_standin("platform", "127.0.0.1")
        self.client = PlatformClient(self.platform.url, self._session)
        await self.client.write(
            "contract", "grower", contract_value("grower", CUSTOMER_KEY, current=LIMITS)
        )
        ports = [find_port(HOST) for _ in range(2 * ENDPOINT_COUNT + 1)]
        routes = [
            f"--route=guard-{n}={HOST}:{ports[2 * n]}={HOST}:{ports[2 * n + 1]}"
            for n in range(ENDPOINT_COUNT)
        ]
        to_platform = f"{HOST}:{ports[-1]}"
        routes.append(f"--route=platform={to_platform}={self.platform.address}")
        self.proxy = await self._site.start_standin("proxy", HOST, *routes)
        for number in range(ENDPOINT_COUNT):
            await self._start_endpoint(number, ports[2 * number], ports[2 * number + 1])
        self._entry_settings: dict[str, Any] = {
            "role": "entry",
            "name": "entry-1",
            "zone": ZONE,
            "zones": [ZONE],
            "platform": f"http://{to_platform}",
            "listen": {"host": HOST, "port": find_port(HOST)},
            "shutdown_seconds": 0.1,
            "admission": self._admission,
        }
        await self.start_entry()
        await self.wait_until(self.is_served)

    async def start_entry(self) -> None:
        """Start the entry daemon, also after a kill."""
        self.entry = await self._site.start_daemon(self._entry_settings)

    async def restart_guard(self, number: int) -> None:
        """Kill a guard and start it again with empty memory."""
        await self.guards[number].kill()
        self.guards[number] = await self._site.start_daemon(self._guard_settings[number])

    async def set_routes(self, name: str, **faults: Any) -> None:
        """Set the faults of proxy routes.

        Parameters
        ----------
        name : str
            ``"platform"``, or a prefix of the names of guard routes.
        **faults
            Faults of each route; the others are cleared.
        """
        for number in range(ENDPOINT_COUNT):
            if f"guard-{number}".startswith(name):
                await self._put_json(f"{self.proxy.url}/routes/guard-{number}", faults)
        if name == "platform":
            await self._put_json(f"{self.proxy.url}/routes/platform", faults)

    async def set_platform_faults(self, **faults: Any) -> None:
        """Set the faults of the platform stand-in."""
        await self._put_json(f"{self.platform.url}/faults", faults)

    async def send_request(
        self,
        tokens: int = 3,
        prompt: str = "Batch note",
        stream: bool = True,
        key: str = CUSTOMER_KEY,
    ) -> CompletionResult:
        """Send one request and return its result."""
        request = CompletionRequest(self.entry.url, key, prompt, tokens, stream)
        return await send_completion(self._session, request)

    async def send_with_deadline(self, seconds: float, tokens: int = 3) -> Refusal:
        """Send a request with a deadline and return the result that its caller saw."""
        headers = {
            "Authorization": f"Bearer {CUSTOMER_KEY}",
            "x-deadline-ms": str(int(seconds * 1000)),
        }
        body = {"model": "draft", "prompt": "Batch note", "max_tokens": tokens}
        url = f"{self.entry.url}/v1/completions"
        async with self._session.post(url, json=body, headers=headers) as response:
            data = await response.read()
        if response.status == 200:
            return Refusal(200)
        return Refusal(response.status, msgspec.json.decode(data, type=_ErrorBody).error.outcome)

    async def open_stream(
        self, seconds: float = WAIT_TIMEOUT_S
    ) -> tuple[asyncio.Task[CompletionResult], int]:
        """Start a long stream, wait for its first bytes, and return its task and endpoint number.

        Parameters
        ----------
        seconds : float
            Deadline of the stream, in seconds.
        """
        before = await self.read_counts("started")
        first_bytes = asyncio.Event()
        task = asyncio.create_task(self._read_stream(first_bytes, seconds))
        async with asyncio.timeout(WAIT_TIMEOUT_S):
            await first_bytes.wait()
        after = await self.read_counts("started")
        return task, [new > old for new, old in zip(after, before, strict=True)].index(True)

    async def _read_stream(self, first_bytes: asyncio.Event, seconds: float) -> CompletionResult:
        body = {"model": "draft", "prompt": "x", "max_tokens": STREAM_TOKENS, "stream": True}
        headers = {
            "Authorization": f"Bearer {CUSTOMER_KEY}",
            "x-deadline-ms": str(int(seconds * 1000)),
        }
        result = CompletionResult()
        try:
            url = f"{self.entry.url}/v1/completions"
            async with self._session.post(url, json=body, headers=headers) as response:
                result.status = response.status
                async for part in response.content.iter_any():
                    result.body += part
                    first_bytes.set()
                result.complete = result.body.endswith(LAST_FRAME)
        except aiohttp.ClientError:
            result.complete = False
        return result

    async def read_counts(self, name: str) -> list[int]:
        """Return the named counter of each engine; -1 for an engine that has exited."""
        counts = []
        for engine in self.engines:
            try:
                async with self._session.get(f"{engine.url}/stats") as response:
                    counts.append((await response.json(content_type=None))[name])
            except aiohttp.ClientError:
                counts.append(-1)
        return counts

    async def is_served(self) -> bool:
        """Return whether a new request is served completely."""
        return (await self.send_request()).complete

    async def wait_until(self, check: Callable[[], Awaitable[bool]]) -> None:
        """Poll until the check returns True."""
        async with asyncio.timeout(WAIT_TIMEOUT_S):
            while True:
                if await check():
                    return
                await asyncio.sleep(POLL_INTERVAL_S)

    def check(self, holds: bool, text: str) -> None:
        """Record a violation unless the condition holds."""
        if not holds:
            self.violations.append(text)

    async def check_served(self, count: int = 10) -> None:
        """Record a violation unless all of `count` new requests are served completely."""
        results = await asyncio.gather(
            *(self.send_request(prompt=f"note {n}") for n in range(count))
        )
        whole = sum(result.complete for result in results)
        self.check(whole == count, f"{whole} of {count} new requests were served")

    async def check_recovers(self, count: int = 10) -> None:
        """Record a violation unless `count` concurrent requests all complete in time.

        Requests are repeated for at most `RECOVERY_TIMEOUT_S`; until all of them complete, they may
        fail only with an error that the caller sees.
        """
        end = asyncio.get_running_loop().time() + RECOVERY_TIMEOUT_S
        while asyncio.get_running_loop().time() < end:
            results = await asyncio.gather(
                *(self.send_request(prompt=f"note {n}") for n in range(count))
            )
            if all(result.complete for result in results):
                return
            for result in results:
                if not result.complete:
                    self.check_error_shown(result)
        self.check(False, f"not all new requests were served after {RECOVERY_TIMEOUT_S} s")

    def check_error_shown(self, result: CompletionResult) -> None:
        """Record a violation if a broken stream looks complete to its caller or shows no error."""
        self.check(not result.complete, "a broken stream looks whole")
        shown = b"event: error" in result.body or result.status != 200
        self.check(shown, "a broken stream shows no error")

    async def _start_endpoint(self, number: int, advertised_port: int, port: int) -> None:
        engine = await self._site.start_standin("engine", HOST)
        settings = {
            "role": "endpoint",
            "name": f"engine-{number}",
            "zone": ZONE,
            "platform": self.platform.url,
            "listen": {"host": HOST, "port": port},
            "advertise": f"{HOST}:{advertised_port}",
            "target": engine.url,
            "models": ["draft"],
        }
        self.engines.append(engine)
        self._guard_settings.append(settings)
        self.guards.append(await self._site.start_daemon(settings))

    async def _put_json(self, url: str, value: dict[str, Any]) -> None:
        async with self._session.put(url, data=msgspec.json.encode(value)) as response:
            assert response.status == 200, await response.text()
