"""Site of the limits bench: three zones of three entry daemons, with all peers behind a proxy."""

from __future__ import annotations

import asyncio
import itertools
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

import msgspec

from magnoliarouter.standins.bench.measure import read_process
from magnoliarouter.standins.bench.windows import AdmittedRequest
from magnoliarouter.standins.launch import Process, Site, contract_value, find_port
from magnoliarouter.standins.load import CompletionRequest, CompletionResult, send_completion
from magnoliarouter.store.client import PlatformClient

if TYPE_CHECKING:
    import aiohttp

__all__ = ["CUSTOMERS", "DAEMONS", "Customer", "LimitsSite", "Phase"]

ZONES = ("zone-1", "zone-2", "zone-3")
ENTRIES_PER_ZONE = 3
DAEMONS = len(ZONES) * ENTRIES_PER_ZONE
MODEL = "draft"
READY_TIMEOUT_S = 20.0
READY_ATTEMPTS = 100
# Statuses of calls that reached an engine; one that broke off in an entry daemon is not known.
ADMITTED_STATUSES = (200, 502)


@dataclass(frozen=True, slots=True)
class Customer:
    """Customer of the bench and what bounds it.

    Parameters
    ----------
    name : str
        Customer, also its key.
    requests_per_s, tokens_per_s : float
        Contract a second.
    burst_seconds : float
        Burst of the contract.
    tokens_per_call : int
        Tokens that one call of it generates.
    """

    name: str
    requests_per_s: float
    tokens_per_s: float
    burst_seconds: float = 2.0
    tokens_per_call: int = 1

    @property
    def is_token_bound(self) -> bool:
        """Whether tokens bound it rather than requests."""
        return self.tokens_per_s / (self.tokens_per_call + 1) < self.requests_per_s

    @property
    def rate(self) -> float:
        """Requests or tokens a second, whichever binds."""
        return self.tokens_per_s if self.is_token_bound else self.requests_per_s

    @property
    def call_rate(self) -> float:
        """Calls a second that the contract allows."""
        return (
            self.tokens_per_s / (self.tokens_per_call + 1)
            if self.is_token_bound
            else self.requests_per_s
        )


CUSTOMERS = (
    Customer("intake", 30.0, 100_000.0),
    Customer("cellar", 20.0, 100_000.0, burst_seconds=1.0),
    Customer("registry", 1000.0, 400.0, tokens_per_call=19),
    Customer("counsel", 1000.0, 150.0, tokens_per_call=14),
    *(Customer(f"grower-{index}", 4.0, 100_000.0) for index in range(5)),
    Customer("litigant", 2.0, 100_000.0),
)


@dataclass(frozen=True, slots=True)
class Phase:
    """Part of a run: when it was, and its share of demand for each entry daemon."""

    name: str
    start: float
    end: float


@dataclass(slots=True)
class _CallLog:
    admitted: list[AdmittedRequest] = field(default_factory=list)
    statuses: dict[int, int] = field(default_factory=dict)


class LimitsSite:
    """Processes and callers of one run.

    Parameters
    ----------
    site : Site
        Owner of the processes.
    session : aiohttp.ClientSession
        Callers' session.
    admission : {"escrow", "static"}
        How the daemons share limits.
    static_share : float
        Part of each contract that a daemon admits under "static".
    """

    def __init__(
        self,
        site: Site,
        session: aiohttp.ClientSession,
        admission: str,
        static_share: float = 1 / DAEMONS,
    ) -> None:
        self.session = session
        self.entries: list[Process] = []
        self._engines: list[Process] = []
        self.logs = {customer.name: _CallLog() for customer in CUSTOMERS}
        self.phases: list[Phase] = []
        self._site = site
        self._admission = admission
        self._static_share = static_share
        self._calls: set[asyncio.Task[None]] = set()
        self._settings: list[dict[str, Any]] = []
        self._clock = asyncio.get_running_loop().time

    async def start(self) -> None:
        """Start the platform, the proxy, an engine for each zone, and the entry daemons."""
        self.platform = await self._site.start_standin("platform", "127.0.0.1")
        self.client = PlatformClient(self.platform.url, self.session)
        for customer in CUSTOMERS:
            limits = {
                "requests_per_second": customer.requests_per_s,
                "tokens_per_second": customer.tokens_per_s,
                "burst_seconds": customer.burst_seconds,
                "concurrent_requests": 200,
            }
            value = contract_value(customer.name, customer.name, current=limits)
            await self.client.write("contract", customer.name, value)
        await self._start_proxy()
        await asyncio.gather(
            *(self._start_engine(number, zone) for number, zone in enumerate(ZONES, 1))
        )
        self.entries = list(
            await asyncio.gather(*(self._site.start_daemon(each) for each in self._settings))
        )
        for settings, address in zip(self._settings, self._peer_routes, strict=True):
            await self._register_vm(settings, address)
        await self._wait_until_ready()

    async def restart(self, index: int) -> None:
        """Start an entry daemon again that has ended."""
        process = await self._site.start_daemon(self._settings[index])
        await self._register_vm(self._settings[index], self._peer_routes[index])
        self.entries[index] = process

    async def set_route_faults(self, names: list[str], **faults: Any) -> None:
        """Set the faults of routes named ``peer-N`` or ``store-N``; none heals them."""
        for name in names:
            await self._put_json(f"{self._proxy.url}/routes/{name}", faults)

    async def set_platform_faults(self, **faults: Any) -> None:
        """Set the platform's faults; none heals it."""
        await self._put_json(f"{self.platform.url}/faults", faults)

    async def read_traffic(self) -> dict[str, int]:
        """Return the bytes carried so far by the routes to peers and to the store."""
        async with self.session.get(f"{self._proxy.url}/routes") as response:
            counts = msgspec.json.decode(await response.read())
        totals = {"peer": 0, "store": 0}
        for name, count in counts.items():
            totals[name.partition("-")[0]] += count["bytes_up"] + count["bytes_down"]
        return totals

    async def read_platform_calls(self) -> dict[str, int]:
        """Return the platform's calls so far by kind."""
        async with self.session.get(f"{self.platform.url}/calls") as response:
            return msgspec.json.decode(await response.read())

    async def count_loan_requests(self) -> float:
        """Return the asks that all entry daemons have sent to homes of other daemons so far."""
        total = 0.0
        for entry in self.entries:
            async with self.session.get(f"{entry.url}/metrics") as response:
                for line in (await response.text()).splitlines():
                    if line.startswith("magnoliarouter_quota_asks_total"):
                        total += float(line.rpartition(" ")[2])
        return total

    def read_cpu(self) -> float:
        """Return the processor seconds of all entry daemons so far."""
        return sum(
            read_process(entry.child.pid).cpu_seconds
            for entry in self.entries
            if entry.child.returncode is None
        )

    async def send_load(
        self, name: str, seconds: float, demand_factor: float, choose_entry: Any
    ) -> Phase:
        """Send every customer's calls for some time, without waiting for the last answers.

        Parameters
        ----------
        name : str
            Name of the phase.
        seconds : float
            Length.
        demand_factor : float
            Demand as a multiple of what the contract allows.
        choose_entry : callable
            Index of the entry daemon from the customer's place and the number of its call.
        """
        start = self._clock()
        await asyncio.gather(
            *(
                self._send_calls(
                    customer_index, customer, start, seconds, demand_factor, choose_entry
                )
                for customer_index, customer in enumerate(CUSTOMERS)
            )
        )
        phase = Phase(name, start, start + seconds)
        self.phases.append(phase)
        return phase

    async def wait_for_calls(self) -> None:
        """Wait until all calls are answered."""
        while self._calls:
            await asyncio.wait(self._calls)

    async def count_started(self) -> int:
        """Return the calls that the engines began, counted by themselves."""
        started = 0
        for engine in self._engines:
            async with self.session.get(f"{engine.url}/stats") as response:
                started += msgspec.json.decode(await response.read())["started"]
        return started

    async def _send_calls(
        self,
        customer_index: int,
        customer: Customer,
        start: float,
        seconds: float,
        demand_factor: float,
        choose_entry: Any,
    ) -> None:
        rate = customer.call_rate * demand_factor
        for number in itertools.count():
            send_time = start + (number + customer_index / len(CUSTOMERS)) / rate
            if send_time >= start + seconds:
                break
            await asyncio.sleep(max(0.0, send_time - self._clock()))
            entry = self.entries[choose_entry(customer_index, number)]
            call = asyncio.create_task(self._call(customer, entry))
            self._calls.add(call)
            call.add_done_callback(self._calls.discard)

    async def _call(self, customer: Customer, entry: Process) -> None:
        request = CompletionRequest(
            entry.url, customer.name, "note", customer.tokens_per_call, stream=False, model=MODEL
        )
        result = await send_completion(self.session, request)
        log = self.logs[customer.name]
        log.statuses[result.status] = log.statuses.get(result.status, 0) + 1
        if result.status in ADMITTED_STATUSES:
            amount = float(customer.tokens_per_call + 1) if customer.is_token_bound else 1.0
            log.admitted.append(AdmittedRequest(result.sent_at, _responded_at(result), amount))

    async def _start_proxy(self) -> None:
        options: list[str] = []
        self._peer_routes: list[str] = []
        host = self.platform.address
        for index in range(DAEMONS):
            zone = ZONES[index // ENTRIES_PER_ZONE]
            listen = f"127.0.{index // ENTRIES_PER_ZONE + 1}.{index % ENTRIES_PER_ZONE + 1}"
            ports = {name: find_port(listen) for name in ("peer", "target", "store")}
            self._peer_routes.append(f"{listen}:{ports['peer']}")
            options += [
                "--route",
                f"peer-{index}={listen}:{ports['peer']}={listen}:{ports['target']}",
            ]
            options += ["--route", f"store-{index}={listen}:{ports['store']}={host}"]
            self._settings.append(
                {
                    "role": "entry",
                    "name": f"entry-{index}",
                    "zone": zone,
                    "zones": list(ZONES),
                    "platform": f"http://{listen}:{ports['store']}",
                    "listen": {"host": listen},
                    "peers": {"host": listen, "port": ports["target"]},
                    "admission": self._admission,
                    "static_share": self._static_share,
                    "shutdown_seconds": 0.2,
                    "request_seconds": 20.0,
                }
            )
        self._proxy = await self._site.start_standin("proxy", "127.0.0.1", *options)

    async def _start_engine(self, number: int, zone: str) -> None:
        host = f"127.0.{number}.10"
        engine = await self._site.start_standin(
            "engine", host, "--slots", "1000", "--step-seconds", "0"
        )
        self._engines.append(engine)
        await self._site.start_daemon(
            {
                "role": "endpoint",
                "name": f"engine-{number}",
                "zone": zone,
                "platform": self.platform.url,
                "listen": {"host": host},
                "target": engine.url,
                "models": [MODEL],
                "slots": 1000,
            }
        )

    async def _register_vm(self, settings: dict[str, Any], address: str) -> None:
        name, zone = settings["name"], settings["zone"]
        value = {"name": name, "zone": zone, "role": "entry", "address": address}
        await self.client.write("vm", name, value)

    async def _wait_until_ready(self) -> None:
        async with asyncio.timeout(READY_TIMEOUT_S):
            for entry in self.entries:
                request = CompletionRequest(entry.url, CUSTOMERS[0].name, "note", 1, stream=False)
                for _ in range(READY_ATTEMPTS):
                    if (await send_completion(self.session, request)).status == 200:
                        break
                    await asyncio.sleep(0.2)

    async def _put_json(self, url: str, value: dict[str, Any]) -> None:
        async with self.session.put(url, data=msgspec.json.encode(value)) as response:
            if response.status != 200:
                raise RuntimeError(f"{url}: {response.status} {await response.text()}")


def _responded_at(result: CompletionResult) -> float:
    return result.sent_at + result.total_s
