from __future__ import annotations

import asyncio
import random
import unittest
from collections import Counter
from itertools import count

from hypothesis import given
from hypothesis import strategies as st
from msgspec.structs import replace

from magnoliarouter.standins.platform import ObjectStore
from magnoliarouter.store.backoff import Backoff
from magnoliarouter.store.contracts import Accepted, ContractStore, KeyTaken
from magnoliarouter.store.objects import StoredObject, decode_object
from magnoliarouter.store.results import (
    Ambiguous,
    Conflict,
    Found,
    Missing,
    Unavailable,
    Written,
)
from magnoliarouter.tests.builders import build_contract_value
from magnoliarouter.tests.clock import advance, run_paused
from magnoliarouter.tests.test_replica import SETTINGS

RUN_DURATION_S = 400.0


class UnreliableClient:
    """Client that loses responses: the write is dropped, takes effect, or takes effect later."""

    def __init__(self, store, rng, faults):
        self.store, self.random, self.faults = store, rng, faults
        self.late_writes = []

    async def read(self, kind, name):
        await asyncio.sleep(self.random.uniform(0, 0.2))
        if self.random.random() < self.faults / 2:
            return Unavailable("lost")
        item = self.store.objects.get((kind, name))
        return Found(item.version, (item,)) if item else Missing()

    async def list(self, kind):
        await asyncio.sleep(0.1)
        return Found(self.store.version, tuple(self.store.list(kind)))

    async def write(self, kind, name, value, expect=None):
        await asyncio.sleep(self.random.uniform(0, 0.2))
        draw = self.random.random() / self.faults if self.faults else 1.0
        if draw < 0.3:
            return Ambiguous("lost before it took effect")
        if draw < 0.5:
            self.late_writes.append(asyncio.create_task(self.write_late(kind, name, value, expect)))
            return Ambiguous("still in flight")
        item = self.store.write(kind, name, value, expect)
        if draw < 1.0:
            return Ambiguous("lost after it was evaluated")
        return Written(item.version) if item else Conflict(self.store.objects.get((kind, name)))

    async def delete(self, kind, name, expect=None):
        return await self.write(kind, name, None, expect)

    async def write_late(self, kind, name, value, expect):
        await asyncio.sleep(self.random.uniform(0, 20))
        self.store.write(kind, name, value, expect)


class Operators:
    """Concurrent operators that each increment a counter in one contract several times."""

    def __init__(self, seed, faults, operators=3, amendments=4):
        self.store = ObjectStore()
        rng = random.Random(seed)
        self.client = UnreliableClient(self.store, rng, faults)
        self.random = rng
        self.numbers = count(1)
        self.outcomes = {}
        self.operators, self.amendments = operators, amendments

    def open_contract_store(self):
        self.write_id = ""

        def make_write_id():
            self.last_write_id = f"write-{next(self.numbers)}"
            return self.last_write_id

        return ContractStore(
            self.client,
            make_write_id=make_write_id,
            make_time=lambda: "",
            make_backoff=lambda: Backoff(0.2, 2.0, self.random),
        )

    async def run(self):
        value = build_contract_value(key_hashes=[])
        value["limits"]["current"]["tokens_per_request"] = 1
        value["revision"] = {"number": 1, "write_id": "first"}
        self.store.write("contract", "grower", value, 0)
        tasks = [asyncio.create_task(self.operate()) for _ in range(self.operators)]
        await advance(RUN_DURATION_S)
        assert all(task.done() for task in tasks), "an operator did not finish"
        for task in tasks:
            task.result()
        return self

    async def operate(self):
        contracts = self.open_contract_store()
        for _ in range(self.amendments):
            await asyncio.sleep(self.random.uniform(0, 1.0))
            found = await self.client.read("contract", "grower")
            if not isinstance(found, Found):
                continue
            spec = decode_object("contract", found.items[0].value)
            limits = spec.limits["current"]
            limits = replace(limits, tokens_per_request=limits.tokens_per_request + 1)
            write_ids = []
            contracts.make_write_id = (
                lambda write_ids=write_ids: write_ids.append(f"w{next(self.numbers)}")
                or write_ids[0]
            )
            outcome = await contracts.amend(
                found.items[0], replace(spec, limits={"current": limits})
            )
            if write_ids:
                self.outcomes[write_ids[0]] = outcome

    def list_revisions(self):
        current = decode_object("contract", self.store.objects["contract", "grower"].value)
        history = self.store.objects.get(("contract-history", "grower"))
        earlier = decode_object("contract-history", history.value).revisions if history else []
        # The history also has the current revision if an operator recorded it and then wrote nothing.
        return [spec for spec in earlier if spec.revision != current.revision] + [current]


class RacingOperatorsTest(unittest.TestCase):
    @SETTINGS
    @given(st.integers(0, 10_000), st.sampled_from([0.0, 0.3, 0.8]))
    def test_accepted_is_kept_and_conflict_is_not(self, seed, faults):
        async def main():
            return await Operators(seed, faults).run()

        run = run_paused(main())
        revisions = run.list_revisions()
        kept = {spec.revision.write_id for spec in revisions}
        for write_id, outcome in run.outcomes.items():
            match outcome:
                case Accepted():
                    self.assertIn(write_id, kept)
                case Conflict() | Unavailable():
                    self.assertNotIn(write_id, kept)
                case _:
                    self.assertIsInstance(outcome, Ambiguous)
        numbers = [spec.revision.number for spec in revisions]
        self.assertEqual(numbers, list(range(1, len(numbers) + 1)))
        counters = [spec.limits["current"].tokens_per_request for spec in revisions]
        self.assertEqual(counters, numbers, "no amendment overwrote another")

    def test_every_kind_of_outcome_occurs(self):
        async def main(seed):
            return await Operators(seed, 0.8).run()

        runs = [run_paused(main(seed)) for seed in range(6)]
        seen = Counter(type(outcome) for run in runs for outcome in run.outcomes.values())
        self.assertLessEqual({Accepted, Conflict}, set(seen))


class KeysTest(unittest.TestCase):
    def test_one_of_two_racing_contracts_gets_the_key(self):
        async def main():
            store = ObjectStore()
            client = UnreliableClient(store, random.Random(1), 0.0)
            specs = [
                decode_object("contract", build_contract_value(customer=name))
                for name in ("grower", "yard")
            ]
            creating = [asyncio.create_task(ContractStore(client).create(s)) for s in specs]
            await advance(60)
            return store, [task.result() for task in creating]

        store, outcomes = run_paused(main())
        self.assertEqual(sorted(type(o).__name__ for o in outcomes), ["Accepted", "KeyTaken"])
        self.assertEqual(len(store.list("contract")), 1)

    def test_key_of_a_contract_written_directly_to_the_store_is_taken(self):
        async def main():
            store = ObjectStore()
            store.write("contract", "yard", build_contract_value(customer="yard"), None)
            client = UnreliableClient(store, random.Random(1), 0.0)
            spec = decode_object("contract", build_contract_value())
            creating = asyncio.create_task(ContractStore(client).create(spec))
            await advance(60)
            return creating.result()

        outcome = run_paused(main())
        self.assertIsInstance(outcome, KeyTaken)
        self.assertEqual(outcome.customer, "yard")


class RawContractTest(unittest.TestCase):
    def test_contract_without_revision_is_recorded_once(self):
        async def main():
            store = ObjectStore()
            item = store.write("contract", "grower", build_contract_value(key_hashes=[]), None)
            client = UnreliableClient(store, random.Random(1), 0.0)
            spec = replace(decode_object("contract", item.value), standing="suspended")
            amending = asyncio.create_task(ContractStore(client).amend(item, spec))
            await advance(60)
            return store, amending.result()

        store, outcome = run_paused(main())
        self.assertIsInstance(outcome, Accepted)
        history: StoredObject = store.objects["contract-history", "grower"]
        numbers = [entry["revision"]["number"] for entry in history.value["revisions"]]
        self.assertEqual((numbers, outcome.value["revision"]["number"]), ([1], 2))
