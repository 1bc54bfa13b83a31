from __future__ import annotations

import asyncio
import random
import unittest

from magnoliarouter.core.keys import KeyIndex
from magnoliarouter.daemon.configuration import Configuration
from magnoliarouter.daemon.settings import EntrySettings
from magnoliarouter.daemon.status import StatusService
from magnoliarouter.endpoints.client import open_session
from magnoliarouter.peers import PeerClient, PeerServer
from magnoliarouter.peers.status import StatusReply, StatusRequest
from magnoliarouter.standins.platform import PlatformFaults, PlatformStandin
from magnoliarouter.store.client import PlatformClient
from magnoliarouter.store.objects import decode_contract
from magnoliarouter.telemetry.metrics import Metrics
from magnoliarouter.tests.builders import build_contract_value
from magnoliarouter.web.loop import Runtime
from magnoliarouter.web.server import WebServer

KEY = "0123456789abcdef"


class Daemon:
    """Configuration part of an entry daemon, without its request pipeline."""

    def __init__(self, name, zone, platform, session, seeds=()):
        self.settings = EntrySettings(
            name=name, zone=zone, platform=platform, peer_key=KEY, seeds=seeds
        )
        self.server, self.client = PeerServer(KEY), PeerClient(KEY)
        self.metrics = Metrics()
        calls = self.metrics.add_counter("platform_calls", "Calls", "operation", "result")
        self.configuration = Configuration(
            self.settings,
            PlatformClient(platform, session, on_call=lambda *call: calls.labels(*call).inc()),
            self.client,
            self.server,
            self.metrics,
            random.Random(name),
        )
        self.key_index = KeyIndex()
        self.contract_changed = asyncio.Event()
        self.on_contract_change = self.apply_contract
        self.contracts = self.configuration.add(
            "contract", decode_contract, self.handle_change, self.key_index.find_clash
        )
        self.status_service = StatusService(
            self.settings, self.configuration, self.server, lambda: True
        )

    def handle_change(self, name, contract):
        self.on_contract_change(name, contract)

    def apply_contract(self, name, contract):
        self.key_index.update(name, contract)
        self.contract_changed.set()

    @property
    def is_watching(self):
        return b"configuration_watching 1.0" in self.metrics.render()

    async def start(self):
        await self.server.start("127.0.0.1", 0)
        self.address = f"127.0.0.1:{self.server.port}"
        return self

    async def stop(self):
        await self.configuration.stop()
        await self.server.stop()
        await self.client.close()


class ConfigurationTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.standin = PlatformStandin()
        self.store = self.standin.store
        server = WebServer(Runtime(), ("127.0.0.1", 0), self.standin.handle)
        self.addCleanup(server.stop_listening)
        self.platform = f"http://127.0.0.1:{server.port}"
        self.session = open_session()
        self.addAsyncCleanup(self.session.close)

    async def start_daemons(self, *names, zone="zone-1", seeds=(), platform=None):
        daemons = []
        for name in names:
            url = platform or self.platform
            daemon = await Daemon(name, zone, url, self.session, seeds).start()
            self.addAsyncCleanup(daemon.stop)
            daemons.append(daemon)
            vm = {"name": name, "zone": zone, "role": "entry", "address": daemon.address}
            self.store.write("vm", name, vm, None)
        for daemon in daemons:
            daemon.configuration.start()
        return daemons

    async def write_contract(self, standing="suspended", customer="grower"):
        value = build_contract_value(customer=customer, standing=standing)
        item = self.store.write("contract", customer, value, None)
        await self.store.notify()
        return item.version

    async def wait_for_version(self, daemons, version, customer="grower"):
        async with asyncio.timeout(10):
            for daemon in daemons:
                while daemon.contracts.cache.version_of(customer) < version:
                    await daemon.contract_changed.wait()
                    daemon.contract_changed.clear()

    async def synchronize(self, daemons):
        async with asyncio.timeout(10):
            for daemon in daemons:
                await daemon.configuration.synchronized.wait()

    async def test_two_daemons_of_a_zone_watch_and_all_receive_changes(self):
        await self.write_contract()
        daemons = await self.start_daemons("a", "b", "c", "d")
        await self.synchronize(daemons)
        # A daemon may have synchronized from a peer before it finds that it should watch.
        async with asyncio.timeout(10):
            while sum(daemon.is_watching for daemon in daemons) < 2:  # noqa: ASYNC110 - no event
                await asyncio.sleep(0.01)
        await self.wait_for_version(daemons, await self.write_contract("current"))
        for daemon in daemons:
            self.assertEqual(daemon.contracts.cache.get("grower").standing, "current")
        sources = sorted(daemon.configuration.source for daemon in daemons)
        self.assertEqual(sources, ["peers", "peers", "platform", "platform"])
        self.assertEqual(sum(daemon.is_watching for daemon in daemons), 2)

    async def test_new_daemon_starts_from_peers_while_the_platform_is_down(self):
        version = await self.write_contract()
        daemons = await self.start_daemons("a", "b", "c")
        await self.synchronize(daemons)
        self.standin.faults = PlatformFaults(down=True)
        seeds = tuple(daemon.address for daemon in daemons)
        (new_daemon,) = await self.start_daemons("d", seeds=seeds)
        await self.synchronize([new_daemon])
        self.assertEqual(new_daemon.contracts.cache.version_of("grower"), version)
        self.assertIsNotNone(new_daemon.contracts.last_contact_at)

    async def test_others_take_over_when_the_relays_die(self):
        daemons = await self.start_daemons("a", "b", "c", "d")
        await self.synchronize(daemons)
        relays = [daemon for daemon in daemons if daemon.is_watching]
        others = [daemon for daemon in daemons if daemon not in relays]
        for relay in relays:
            await relay.stop()
        await self.wait_for_version(others, await self.write_contract())

    async def test_zone_without_the_platform_follows_another_zone(self):
        connected = await self.start_daemons("a", "b")
        await self.synchronize(connected)
        seeds = tuple(daemon.address for daemon in connected)
        unreachable_url = "http://127.0.0.1:1"
        disconnected = await self.start_daemons(
            "c", "d", "e", zone="zone-2", seeds=seeds, platform=unreachable_url
        )
        await self.synchronize(disconnected)
        await self.wait_for_version(disconnected, await self.write_contract())
        for daemon in disconnected:
            self.assertEqual(daemon.configuration.source, "peers")
            self.assertLess(daemon.contracts.last_contact_at, daemon.configuration._clock())
            self.assertIn(b'result="connect"', daemon.metrics.render())

    async def test_status_reports_versions_refusals_and_age(self):
        valid_version = await self.write_contract()
        self.store.write("contract", "grower", {"customer": 5}, None)
        (daemon,) = await self.start_daemons("a")
        other_version = await self.write_contract(customer="other")
        await self.synchronize([daemon])
        client = PeerClient(KEY)
        self.addAsyncCleanup(client.close)
        daemon.status_service.add_section("quota", lambda: {"lent": 3})
        request = StatusRequest("contract", ["grower", "other", "nobody"])
        reply = await client.call(daemon.address, "status", request, StatusReply)
        self.assertEqual(reply.applied, {"grower": 0, "other": other_version, "nobody": 0})
        contracts = next(status for status in reply.kinds if status.kind == "contract")
        self.assertIn("customer is 5", contracts.errors["grower"])
        self.assertGreaterEqual(contracts.version, valid_version)
        self.assertLess(contracts.age_s, 5.0)
        self.assertEqual(reply.sections, {"quota": {"lent": 3}})
        self.assertIn(b'configuration_refused{kind="contract"} 1.0', daemon.metrics.render())

    async def test_faulty_callback_is_counted_and_reading_continues(self):
        (daemon,) = await self.start_daemons("a")
        await self.synchronize([daemon])
        errors = iter([KeyError("grower")])

        def fail_once(name, contract):
            for error in errors:
                raise error
            daemon.apply_contract(name, contract)

        daemon.on_contract_change = fail_once
        await self.write_contract()
        await self.wait_for_version([daemon], await self.write_contract("current"))
        text = daemon.metrics.render()
        self.assertIn(b'configuration_faults_total{task="change-contract"} 1.0', text)
