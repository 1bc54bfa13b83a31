from __future__ import annotations

import unittest
from dataclasses import dataclass, field
from itertools import product
from typing import TYPE_CHECKING

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from magnoliarouter.core.borrowing import Borrower, CallCost, Shortage
from magnoliarouter.core.loans import Charge
from magnoliarouter.core.quota import LOAN_DURATION_S, LOAN_MARGIN_S, Bucket, HomeQuota, QuotaHome
from magnoliarouter.core.quota_lines import LoanRequest, QuotaRequest, ResourceRequest

if TYPE_CHECKING:
    from magnoliarouter.core.quota_lines import QuotaGrant

CUSTOMER = "grower"
SLOTS = ("quota.a.0", "quota.b.0")
TERMS = HomeQuota(4.0, 6.0, 40.0, 60.0, 2)
LARGER = HomeQuota(8.0, 12.0, 80.0, 120.0, 4)
USE_SECONDS = 20.0
OPEN_S = LOAN_DURATION_S + LOAN_MARGIN_S
EPSILON = 1e-6
MAX_WAITING = 12


@dataclass
class Spend:
    """One admission as a plain observer notes it; `amount` becomes the real use."""

    time: float
    amount: float


def measure_excess(spends: list[Spend], rate: float, burst: float) -> float:
    """Return by how much the worst window passes ``rate * window + burst``."""
    backlog, last, worst = 0.0, 0.0, 0.0
    for spend in spends:
        backlog = max(0.0, backlog - rate * (spend.time - last)) + spend.amount
        last = spend.time
        worst = max(worst, backlog - burst)
    return worst


@dataclass
class Running:
    daemon: int
    charge: Charge
    spend: Spend


@dataclass
class Traffic:
    """Daemons and homes joined by a network that the test controls."""

    now: float = 100.0
    terms: HomeQuota = TERMS
    homes: dict[str, QuotaHome] = field(default_factory=dict)
    daemons: list[Borrower] = field(default_factory=list)
    starts: int = 0
    asks: list[tuple[int, QuotaRequest]] = field(default_factory=list)
    answers: list[tuple[int, QuotaRequest, QuotaGrant]] = field(default_factory=list)
    requests: list[Spend] = field(default_factory=list)
    tokens: list[Spend] = field(default_factory=list)
    running: list[Running] = field(default_factory=list)
    waiting: list[tuple[int, CallCost]] = field(default_factory=list)

    def start(self, daemons: int = 3) -> None:
        for slot in SLOTS:
            self.homes[slot] = QuotaHome(slot, 1, lambda name: self.terms, self.now, True)
        for index in range(daemons):
            self.daemons.append(self.open_daemon(index))

    def open_daemon(self, index: int) -> Borrower:
        self.starts += 1
        borrower = Borrower(f"entry-{index}", f"start-{self.starts}", USE_SECONDS)
        borrower.set_customer(CUSTOMER, SLOTS, pooled=False)
        for slot, home in self.homes.items():
            borrower.set_home(slot, home.epoch)
        return borrower

    def arrive(self, index: int, tokens: float) -> Charge | Shortage:
        daemon, need = self.daemons[index], CallCost(tokens)
        daemon.record_demand(CUSTOMER, need, self.now)
        taken = daemon.admit(CUSTOMER, need, self.now)
        if isinstance(taken, Charge):
            self.requests.append(Spend(self.now, 1.0))
            self.tokens.append(Spend(self.now, tokens))
            self.running.append(Running(index, taken, self.tokens[-1]))
        return taken

    def wait(self, index: int, tokens: float) -> Charge | Shortage:
        """Let a call arrive and wait for stock if an ask may bring it."""
        taken = self.arrive(index, tokens)
        if (
            isinstance(taken, Shortage)
            and taken.request_pending
            and len(self.waiting) < MAX_WAITING
        ):
            self.daemons[index].add_waiting(CUSTOMER, CallCost(tokens))
            self.waiting.append((index, CallCost(tokens)))
        return taken

    def serve_waiting(self, index: int) -> None:
        for waiting in [waiting for waiting in self.waiting if waiting[0] == index]:
            taken = self.arrive(index, waiting[1].tokens)
            if isinstance(taken, Charge) or not taken.request_pending:
                self.daemons[index].remove_waiting(CUSTOMER, waiting[1])
                self.waiting.remove(waiting)

    def settle(self, running: Running, share: float, ran: bool = True) -> None:
        self.running.remove(running)
        running.spend.amount *= share
        daemon = self.daemons[running.daemon]
        daemon.settle(running.charge, running.spend.amount, self.now, ran)

    def ask(self, index: int, slot: str) -> QuotaRequest | None:
        ask = self.daemons[index].build_request(slot, self.now)
        if ask is not None:
            self.asks.append((index, ask))
        return ask

    def answer(self, place: int, keep: bool = False) -> None:
        index, ask = self.asks[place] if keep else self.asks.pop(place)
        grant = self.homes[ask.slot].handle(ask, self.now)
        self.answers.append((index, ask, grant))

    def apply(self, place: int) -> None:
        index, ask, grant = self.answers.pop(place)
        if self.daemons[index].incarnation == ask.incarnation:
            self.daemons[index].apply(ask, grant, self.now)
            self.serve_waiting(index)

    def exchange(self, index: int, slot: str) -> bool:
        if self.ask(index, slot) is None:
            return False
        self.answer(-1)
        self.apply(-1)
        return True

    def advance(self, seconds: float) -> None:
        self.now += seconds
        for running in list(self.running):
            if self.now - running.charge.admitted_at >= USE_SECONDS:
                self.settle(running, 1.0)

    def replace_home(self, slot: str) -> None:
        epoch = self.homes[slot].epoch + 1
        self.homes[slot] = QuotaHome(slot, epoch, lambda name: self.terms, self.now)
        for daemon in self.daemons:
            daemon.set_home(slot, epoch)

    def crash(self, index: int) -> None:
        self.running = [running for running in self.running if running.daemon != index]
        self.waiting = [waiting for waiting in self.waiting if waiting[0] != index]
        self.daemons[index] = self.open_daemon(index)


DAEMON = st.integers(0, 2)
SLOT = st.sampled_from(SLOTS)


class QuotaMachine(RuleBasedStateMachine):
    """Any order of calls, losses, repeats, crashes, pauses and changes of holder."""

    bound = TERMS
    changes_holders = True

    @initialize()
    def start(self):
        self.traffic = Traffic()
        self.traffic.start()

    @rule(daemon=DAEMON, tokens=st.integers(0, 30), calls=st.integers(1, 8))
    def arrive(self, daemon, tokens, calls):
        for _ in range(calls):
            self.traffic.wait(daemon, float(tokens))

    @rule(daemon=DAEMON, slot=SLOT)
    def ask(self, daemon, slot):
        self.traffic.ask(daemon, slot)

    @rule(daemon=DAEMON, slot=SLOT)
    def exchange(self, daemon, slot):
        self.traffic.exchange(daemon, slot)

    @rule(place=st.integers(0, 9), repeat=st.booleans())
    def answer(self, place, repeat):
        if place < len(self.traffic.asks):
            self.traffic.answer(place, repeat)

    @rule(place=st.integers(0, 9))
    def apply(self, place):
        if place < len(self.traffic.answers):
            self.traffic.apply(place)

    @rule(place=st.integers(0, 9), lost=st.booleans())
    def give_up(self, place, lost):
        if place < len(self.traffic.asks):
            index, ask = self.traffic.asks[place]
            self.traffic.daemons[index].fail(ask, self.traffic.now)
            if lost:
                del self.traffic.asks[place]

    @rule(place=st.integers(0, 9), lost=st.booleans())
    def give_up_answered(self, place, lost):
        if place < len(self.traffic.answers):
            index, ask, _ = self.traffic.answers[place]
            self.traffic.daemons[index].fail(ask, self.traffic.now)
            if lost:
                del self.traffic.answers[place]

    @rule(seconds=st.sampled_from([0.05, 0.3, 1.1, 3.0, 3.6, 8.0]))
    def advance(self, seconds):
        self.traffic.advance(seconds)

    @rule(place=st.integers(0, 9), share=st.sampled_from([0.0, 0.3, 1.0]), ran=st.booleans())
    def settle(self, place, share, ran):
        if place < len(self.traffic.running):
            running = self.traffic.running[place]
            if not ran:
                position = self.traffic.tokens.index(running.spend)
                self.traffic.requests[position].amount = 0.0
            self.traffic.settle(running, share if ran else 0.0, ran)

    @rule(slot=SLOT)
    def replace_home(self, slot):
        if self.changes_holders:
            self.traffic.replace_home(slot)

    @rule(daemon=DAEMON)
    def crash(self, daemon):
        self.traffic.crash(daemon)

    @rule(daemon=DAEMON, slot=SLOT)
    def confirm(self, daemon, slot):
        borrower = self.traffic.daemons[daemon]
        self.traffic.homes[slot].confirm_incarnation(borrower.name, borrower.incarnation)

    @invariant()
    def no_window_passes_the_bound(self):
        bound, homes = self.bound, len(SLOTS)
        requests = measure_excess(
            self.traffic.requests, homes * bound.request_rate, homes * bound.request_cap
        )
        tokens = measure_excess(
            self.traffic.tokens, homes * bound.token_rate, homes * bound.token_cap
        )
        assert requests <= EPSILON, f"{requests} requests too many"
        assert tokens <= EPSILON, f"{tokens} tokens too many"

    @invariant()
    def homes_own_no_more_than_their_cap(self):
        for home in self.traffic.homes.values():
            account = home.find_account(CUSTOMER, self.traffic.now)
            if account is not None:
                requests, tokens = account.requests, account.tokens
                assert requests.level + requests.outstanding <= self.bound.request_cap + EPSILON
                assert tokens.level + tokens.outstanding <= self.bound.token_cap + EPSILON


class SteadyHomesMachine(QuotaMachine):
    """Without a change of holder, permits in use are bounded too."""

    changes_holders = False

    @invariant()
    def permits_in_use_are_bounded(self):
        permits = len(SLOTS) * self.bound.permits
        assert len(self.traffic.running) <= permits, f"{len(self.traffic.running)} in progress"


class AmendedMachine(SteadyHomesMachine):
    """Across amendments the larger terms bound what is admitted."""

    bound = LARGER

    @rule()
    def amend(self):
        self.traffic.terms = LARGER if self.traffic.terms is TERMS else TERMS


EXAMPLES = settings(
    max_examples=40, stateful_step_count=50, derandomize=True, deadline=None, database=None
)
QuotaMachine.TestCase.settings = EXAMPLES
SteadyHomesMachine.TestCase.settings = EXAMPLES
AmendedMachine.TestCase.settings = EXAMPLES
QuotaMachineTest = QuotaMachine.TestCase
SteadyHomesMachineTest = SteadyHomesMachine.TestCase
AmendedMachineTest = AmendedMachine.TestCase


class QuotaTest(unittest.TestCase):
    def setUp(self):
        self.traffic = Traffic()
        self.traffic.start()

    def serve(self, index: int, rate: float, seconds: float, tokens: float = 1.0) -> int:
        """Send calls at a steady rate, with asks every quarter of a second."""
        admitted, step, due = 0, 0.01, 0.0
        for count in range(int(seconds / step)):
            if count % 25 == 0:
                for daemon, slot in product(range(len(self.traffic.daemons)), SLOTS):
                    self.traffic.exchange(daemon, slot)
            due += rate * step
            while due >= 1:
                due -= 1
                taken = self.traffic.arrive(index, tokens)
                if isinstance(taken, Charge):
                    admitted += 1
                    self.traffic.settle(self.traffic.running[-1], 1.0)
            self.traffic.advance(step)
        return admitted

    def test_steady_demand_gets_its_rate(self):
        self.serve(0, 16.0, 10)
        admitted = self.serve(0, 16.0, 20)
        self.assertGreaterEqual(admitted, 0.95 * 20 * 2 * TERMS.request_rate)

    def test_traffic_that_moves_gets_its_rate_within_five_seconds(self):
        self.serve(0, 16.0, 10)
        self.serve(1, 16.0, 5)
        admitted = self.serve(1, 16.0, 5)
        self.assertGreaterEqual(admitted, 0.95 * 5 * 2 * TERMS.request_rate)

    def test_lost_answer_returns_what_it_lent(self):
        self.traffic.wait(0, 1.0)
        ask = self.traffic.ask(0, SLOTS[0])
        self.traffic.answer(0)
        self.traffic.daemons[0].fail(ask, self.traffic.now)
        self.traffic.advance(0.6)
        self.assertTrue(self.traffic.exchange(0, SLOTS[0]))
        account = self.traffic.homes[SLOTS[0]].find_account(CUSTOMER, self.traffic.now)
        held = self.stock(0)[0] + len(self.traffic.requests)
        self.assertAlmostEqual(account.requests.outstanding, held)

    def stock(self, index: int) -> tuple[float, float, int]:
        return self.traffic.daemons[index].available(CUSTOMER, self.traffic.now)

    def fill(self, index: int, calls: int = 1, tokens: float = 1.0) -> None:
        """Let calls wait, and exchange one ask that brings what they need."""
        for _ in range(calls):
            self.traffic.wait(index, tokens)
        self.assertTrue(self.traffic.exchange(index, SLOTS[0]))

    def test_expired_stock_is_not_spent(self):
        self.fill(0, 4)
        self.assertGreater(self.stock(0)[0], 1.0)
        self.traffic.advance(LOAN_DURATION_S)
        self.assertEqual(self.stock(0), (0.0, 0.0, 0))
        self.assertIsInstance(self.traffic.arrive(0, 0.0), Shortage)

    def test_stock_expires_by_the_time_before_the_ask(self):
        self.traffic.wait(0, 1.0)
        self.traffic.ask(0, SLOTS[0])
        self.traffic.advance(LOAN_DURATION_S)
        self.traffic.answer(0)
        self.traffic.apply(0)
        self.assertEqual(self.traffic.requests, [])

    def test_new_holder_waits_out_the_loans_of_the_old_one(self):
        self.traffic.replace_home(SLOTS[0])
        self.fill(0)
        self.assertEqual(self.traffic.requests, [])
        self.traffic.advance(OPEN_S)
        self.fill(0)
        self.traffic.advance(1.0)
        self.fill(0)
        self.assertGreaterEqual(len(self.traffic.requests), 1)

    def test_daemon_that_restarted_is_known_apart_from_its_late_asks(self):
        self.traffic.wait(0, 1.0)
        self.traffic.ask(0, SLOTS[0])
        self.traffic.crash(0)
        self.fill(0)
        self.traffic.answer(0)
        home, daemon = self.traffic.homes[SLOTS[0]], self.traffic.daemons[0]
        self.assertEqual(home.find_contested(), {"entry-0"})
        home.confirm_incarnation("entry-0", daemon.incarnation)
        self.assertEqual(home.find_contested(), set())
        account = home.find_account(CUSTOMER, self.traffic.now)
        self.assertEqual([key[1] for key in account.loans], [daemon.incarnation])

    def test_tokens_used_beyond_the_estimate_are_paid_from_the_stock(self):
        self.fill(0, 3, 10.0)
        running = self.traffic.running[0]
        before = self.stock(0)[1]
        self.traffic.daemons[0].settle(running.charge, 14.0, self.traffic.now)
        self.assertAlmostEqual(before - self.stock(0)[1], 4.0)

    def test_permits_of_an_unheard_daemon_stay_taken_while_its_calls_may_run(self):
        self.fill(0)
        self.assertEqual(len(self.traffic.running), 1)
        self.traffic.now += 5.0
        account = self.traffic.homes[SLOTS[0]].find_account(CUSTOMER, self.traffic.now)
        self.assertGreaterEqual(sum(loan.permits for loan in account.loans.values()), 1)
        self.traffic.now += USE_SECONDS
        account = self.traffic.homes[SLOTS[0]].find_account(CUSTOMER, self.traffic.now)
        self.assertEqual(account.loans, {})

    def test_answer_after_giving_up_is_not_taken(self):
        self.traffic.wait(0, 1.0)
        ask = self.traffic.ask(0, SLOTS[0])
        self.traffic.answer(0)
        self.traffic.daemons[0].fail(ask, self.traffic.now)
        self.traffic.apply(0)
        self.assertEqual(self.stock(0), (0.0, 0.0, 0))

    def test_idle_permits_end_with_their_loan(self):
        self.fill(0, 4)
        self.traffic.settle(self.traffic.running[0], 1.0)
        self.traffic.advance(LOAN_DURATION_S)
        self.traffic.wait(0, 1.0)
        used = len(self.traffic.running)
        line = self.traffic.ask(0, SLOTS[0]).lines[0]
        self.assertEqual((line.permits_held, line.permits_used), (used, used))


class HomeTest(unittest.TestCase):
    """A home that is asked directly, by borrowers that do their worst."""

    def open_home(self, epoch: int, now: float, first: bool = False) -> QuotaHome:
        return QuotaHome(SLOTS[0], epoch, lambda name: TERMS, now, first)

    def ask(
        self,
        sequence: int,
        requested: float = 0.0,
        acknowledged: int = 0,
        epoch: int = 1,
        **fields: float,
    ) -> QuotaRequest:
        number = fields.pop("loan", 1)
        line = LoanRequest(
            CUSTOMER, int(number), acknowledged, ResourceRequest(requested=requested, **fields)
        )
        return QuotaRequest("entry-0", "start-1", SLOTS[0], epoch, sequence, [line])

    def test_successor_counts_all_that_its_predecessor_may_have_lent(self):
        old = self.open_home(1, 0.0, first=True)
        lent = old.handle(self.ask(1, requested=100.0), 0.0).lines[0].requests
        self.assertEqual(lent, TERMS.request_cap)
        new = self.open_home(2, 0.1)
        late = new.handle(self.ask(1, requested=100.0, epoch=2), LOAN_DURATION_S).lines[0].requests
        self.assertEqual(late, 0.0)

    def test_refund_after_the_bucket_was_full_is_lost(self):
        bucket = Bucket(rate=4.0, cap=6.0, level=6.0, updated=0.0)
        bucket.write_off(bucket.lend(5.0, 0.0))
        bucket.refill(1.0)
        bucket.refund(4.0, since=0.5)
        self.assertEqual(bucket.level, 6.0)
        bucket.write_off(bucket.lend(6.0, 0.0))
        bucket.refill(1.5)
        bucket.refund(3.0, since=0.5)
        self.assertEqual(bucket.level, 2.0)

    def test_refund_undoes_a_charge_that_still_counts(self):
        bucket = Bucket(rate=1.0, cap=10.0, level=10.0, updated=0.0)
        bucket.write_off(bucket.lend(8.0, 0.0))
        bucket.refill(1.0)
        bucket.refund(6.0, since=0.5)
        self.assertEqual(bucket.level, 9.0)

    def test_repeated_ask_is_not_acted_on_again(self):
        home = self.open_home(1, 0.0, first=True)
        ask = self.ask(1, requested=2.0)
        self.assertTrue(home.handle(ask, 0.0).accepted)
        self.assertTrue(home.handle(self.ask(2, held=2.0, acknowledged=1), 0.1).accepted)
        self.assertFalse(home.handle(ask, 0.2).accepted)
        self.assertEqual(home.find_account(CUSTOMER, 0.2).requests.outstanding, 2.0)

    def test_amount_that_was_never_lent_cannot_be_returned(self):
        home = self.open_home(1, 0.0, first=True)
        home.handle(self.ask(1, requested=2.0), 0.0)
        home.handle(self.ask(2, acknowledged=1, returned=50.0, held=50.0), 0.0)
        account = home.find_account(CUSTOMER, 0.0)
        self.assertEqual(account.requests.level + account.requests.outstanding, 6.0)

    def test_unknown_loan_is_answered_as_unknown(self):
        home = self.open_home(1, 0.0, first=True)
        line = home.handle(self.ask(7, requested=2.0, acknowledged=6, held=3.0), 0.0).lines[0]
        self.assertFalse(line.known)

    def test_borrower_does_not_ask_again_at_once_for_an_unknown_customer(self):
        traffic = Traffic(terms=None)
        traffic.start()
        traffic.wait(0, 1.0)
        for slot in SLOTS:
            self.assertTrue(traffic.exchange(0, slot))
        self.assertEqual(traffic.daemons[0].slots_to_request(traffic.now), set())

    def test_customer_without_service_gets_nothing(self):
        home = QuotaHome(SLOTS[0], 1, lambda name: None, 0.0, first=True)
        self.assertFalse(home.handle(self.ask(1, requested=2.0), 0.0).lines[0].known)
