"""Demonstration: three zones, two customers with contracts, and a refusal by a limit."""

from __future__ import annotations

import asyncio
import sys

import aiohttp

from magnoliarouter.standins.launch import Process, Site, contract_value
from magnoliarouter.store.client import PlatformClient, Written

__all__ = ["main", "start_zone", "wait_for_model"]

ZONES = ("zone-1", "zone-2", "zone-3")
MODEL = "draft"
LIMITS = {"requests_per_second": 20, "tokens_per_second": 4000}
LATE_LIMITS = {"requests_per_second": 1, "tokens_per_second": 100, "burst_seconds": 1}


async def start_zone(site: Site, platform: Process, number: int, zone: str) -> Process:
    """Start an engine, its guard and an entry daemon in a zone, and return the entry daemon."""
    host = f"127.0.{number}.1"
    engine = await site.start_standin("engine", host)
    await site.start_daemon(
        {
            "role": "endpoint",
            "name": f"engine-{number}",
            "zone": zone,
            "platform": platform.url,
            "listen": {"host": host},
            "target": engine.url,
            "models": [MODEL],
        }
    )
    return await site.start_daemon(
        {
            "role": "entry",
            "name": f"entry-{number}",
            "zone": zone,
            "zones": list(ZONES),
            "platform": platform.url,
            "listen": {"host": host},
        }
    )


async def wait_for_model(session: aiohttp.ClientSession, entry: Process) -> None:
    """Wait until an entry daemon lists the model of the demonstration."""
    while True:
        async with session.get(f"{entry.url}/v1/models") as response:
            if MODEL in await response.text():
                return
        await asyncio.sleep(0.05)


async def _send_prompt(
    session: aiohttp.ClientSession, entry: Process, key: str, prompt: str
) -> int:
    body = {"model": MODEL, "prompt": prompt, "stream": True, "max_tokens": 8}
    headers = {"Authorization": f"Bearer {key}"}
    url = f"{entry.url}/v1/completions"
    async with session.post(url, json=body, headers=headers) as response:
        text = (await response.text()).strip()
        print(f"  {entry.name} -> {response.status}: {text.splitlines()[0][:90]} ...")
        return response.status


async def _run() -> bool:
    async with Site() as site, aiohttp.ClientSession() as session:
        print("starting the platform's stand-in, three zones of engine, guard and entry daemon")
        platform = await site.start_standin("platform", "127.0.0.1")
        client = PlatformClient(platform.url, session)
        contracts = (
            contract_value("intake-yard", "key-intake", current=LIMITS, late=LATE_LIMITS),
            contract_value("slow-payer", "key-slow", "late", current=LIMITS, late=LATE_LIMITS),
        )
        for contract in contracts:
            written = await client.write("contract", contract["customer"], contract, expect=0)
            assert isinstance(written, Written), written
        entries = [
            await start_zone(site, platform, number, zone)
            for number, zone in enumerate(ZONES, start=1)
        ]
        for entry in entries:
            await wait_for_model(session, entry)
        print("a customer in standing 'current' asks each entry daemon:")
        current_statuses = [
            await _send_prompt(session, entry, "key-intake", "Batch note") for entry in entries
        ]
        print("a customer in standing 'late' asks four times at once:")
        requests = (_send_prompt(session, entries[0], "key-slow", "Draft") for _ in range(4))
        late_statuses = await asyncio.gather(*requests)
        return current_statuses == [200, 200, 200] and 200 in late_statuses and 429 in late_statuses


def main() -> int:
    """Run the demonstration and return 0 if all statuses are as expected, else 1."""
    passed = asyncio.run(_run())
    print("demonstration complete" if passed else "demonstration FAILED")
    return 0 if passed else 1


if __name__ == "__main__":
    sys.exit(main())
