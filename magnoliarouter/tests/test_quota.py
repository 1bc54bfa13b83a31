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
QUOTA = HomeQuota(4.0, 6.0, 40.0, 60.0, 2)
LARGER_QUOTA = HomeQuota(8.0, 12.0, 80.0, 120.0, 4)
MAX_CALL_S = 20.0
HOME_OPENING_S = LOAN_DURATION_S + LOAN_MARGIN_S
EPSILON = 1e-6
MAX_WAITING_CALLS = 12


@dataclass
class Spend:
    """One admitted amount, recorded independently of the quota code.

    `amount` is the estimate at admission, and the actual use once the call is settled.
    """

    time: float
    amount: float


def measure_excess(spends: list[Spend], rate: float, burst: float) -> float:
    """Return the largest excess over ``rate * window + burst`` in any time window."""
    backlog, last, worst = 0.0, 0.0, 0.0
    for spend in spends:
        backlog = max(0.0, backlog - rate * (spend.time - last)) + spend.amount
        last = spend.time
        worst = max(worst, backlog - burst)
    return worst


@dataclass
class RunningCall:
    daemon: int
    charge: Charge
    spend: Spend


@dataclass
class QuotaModel:
    """Quota homes, and daemons that borrow from them, on a network that the test controls.

    `sent_requests` and `sent_grants` are the messages in flight.
    """

    now: float = 100.0
    quota: HomeQuota = QUOTA
    homes: dict[str, QuotaHome] = field(default_factory=dict)
    daemons: list[Borrower] = field(default_factory=list)
    starts: int = 0
    sent_requests: list[tuple[int, QuotaRequest]] = field(default_factory=list)
    sent_grants: list[tuple[int, QuotaRequest, QuotaGrant]] = field(default_factory=list)
    requests: list[Spend] = field(default_factory=list)
    tokens: list[Spend] = field(default_factory=list)
    running: list[RunningCall] = field(default_factory=list)
    waiting: list[tuple[int, CallCost]] = field(default_factory=list)

    def start(self, daemons: int = 3) -> None:
        for slot in SLOTS:
            self.homes[slot] = QuotaHome(slot, 1, lambda name: self.quota, self.now, True)
        for index in range(daemons):
            self.daemons.append(self.open_daemon(index))

    def open_daemon(self, index: int) -> Borrower:
        self.starts += 1
        borrower = Borrower(f"entry-{index}", f"start-{self.starts}", MAX_CALL_S)
        borrower.set_customer(CUSTOMER, SLOTS, pooled=False)
        for slot, home in self.homes.items():
            borrower.set_home(slot, home.epoch)
        return borrower

    def arrive(self, index: int, tokens: float) -> Charge | Shortage:
        daemon, cost = self.daemons[index], CallCost(tokens)
        daemon.record_demand(CUSTOMER, cost, self.now)
        outcome = daemon.admit(CUSTOMER, cost, self.now)
        if isinstance(outcome, Charge):
            self.requests.append(Spend(self.now, 1.0))
            self.tokens.append(Spend(self.now, tokens))
            self.running.append(RunningCall(index, outcome, self.tokens[-1]))
        return outcome

    def arrive_or_wait(self, index: int, tokens: float) -> Charge | Shortage:
        """Let a call arrive, and wait for balance if a pending request may bring it."""
        outcome = self.arrive(index, tokens)
        if (
            isinstance(outcome, Shortage)
            and outcome.request_pending
            and len(self.waiting) < MAX_WAITING_CALLS
        ):
            self.daemons[index].add_waiting(CUSTOMER, CallCost(tokens))
            self.waiting.append((index, CallCost(tokens)))
        return outcome

    def serve_waiting(self, index: int) -> None:
        for waiting in [waiting for waiting in self.waiting if waiting[0] == index]:
            outcome = self.arrive(index, waiting[1].tokens)
            if isinstance(outcome, Charge) or not outcome.request_pending:
                self.daemons[index].remove_waiting(CUSTOMER, waiting[1])
                self.waiting.remove(waiting)

    def settle(self, running: RunningCall, share: float, ran: bool = True) -> None:
        self.running.remove(running)
        running.spend.amount *= share
        daemon = self.daemons[running.daemon]
        daemon.settle(running.charge, running.spend.amount, self.now, ran)

    def send_request(self, index: int, slot: str) -> QuotaRequest | None:
        request = self.daemons[index].build_request(slot, self.now)
        if request is not None:
            self.sent_requests.append((index, request))
        return request

    def deliver_request(self, number: int, keep: bool = False) -> None:
        index, request = self.sent_requests[number] if keep else self.sent_requests.pop(number)
        grant = self.homes[request.slot].handle(request, self.now)
        self.sent_grants.append((index, request, grant))

    def deliver_grant(self, number: int) -> None:
        index, request, grant = self.sent_grants.pop(number)
        if self.daemons[index].incarnation == request.incarnation:
            self.daemons[index].apply(request, grant, self.now)
            self.serve_waiting(index)

    def exchange(self, index: int, slot: str) -> bool:
        if self.send_request(index, slot) is None:
            return False
        self.deliver_request(-1)
        self.deliver_grant(-1)
        return True

    def advance(self, seconds: float) -> None:
        self.now += seconds
        for running in list(self.running):
            if self.now - running.charge.admitted_at >= MAX_CALL_S:
                self.settle(running, 1.0)

    def replace_home(self, slot: str) -> None:
        epoch = self.homes[slot].epoch + 1
        self.homes[slot] = QuotaHome(slot, epoch, lambda name: self.quota, self.now)
        for daemon in self.daemons:
            daemon.set_home(slot, epoch)

    def crash(self, index: int) -> None:
        self.running = [running for running in self.running if running.daemon != index]
        self.waiting = [waiting for waiting in self.waiting if waiting[0] != index]
        self.daemons[index] = self.open_daemon(index)


DAEMON = st.integers(0, 2)
SLOT = st.sampled_from(SLOTS)


class QuotaMachine(RuleBasedStateMachine):
    """Calls, losses, repeated messages, crashes, pauses and changes of holder in any order."""

    bound = QUOTA
    changes_holders = True

    @initialize()
    def start(self):
        self.model = QuotaModel()
        self.model.start()

    @rule(daemon=DAEMON, tokens=st.integers(0, 30), calls=st.integers(1, 8))
    def arrive(self, daemon, tokens, calls):
        for _ in range(calls):
            self.model.arrive_or_wait(daemon, float(tokens))

    @rule(daemon=DAEMON, slot=SLOT)
    def send_request(self, daemon, slot):
        self.model.send_request(daemon, slot)

    @rule(daemon=DAEMON, slot=SLOT)
    def exchange(self, daemon, slot):
        self.model.exchange(daemon, slot)

    @rule(number=st.integers(0, 9), repeat=st.booleans())
    def deliver_request(self, number, repeat):
        if number < len(self.model.sent_requests):
            self.model.deliver_request(number, repeat)

    @rule(number=st.integers(0, 9))
    def deliver_grant(self, number):
        if number < len(self.model.sent_grants):
            self.model.deliver_grant(number)

    @rule(number=st.integers(0, 9), lost=st.booleans())
    def time_out_request(self, number, lost):
        if number < len(self.model.sent_requests):
            index, request = self.model.sent_requests[number]
            self.model.daemons[index].fail(request, self.model.now)
            if lost:
                del self.model.sent_requests[number]

    @rule(number=st.integers(0, 9), lost=st.booleans())
    def time_out_granted_request(self, number, lost):
        if number < len(self.model.sent_grants):
            index, request, _ = self.model.sent_grants[number]
            self.model.daemons[index].fail(request, self.model.now)
            if lost:
                del self.model.sent_grants[number]

    @rule(seconds=st.sampled_from([0.05, 0.3, 1.1, 3.0, 3.6, 8.0]))
    def advance(self, seconds):
        self.model.advance(seconds)

    @rule(number=st.integers(0, 9), share=st.sampled_from([0.0, 0.3, 1.0]), ran=st.booleans())
    def settle(self, number, share, ran):
        if number < len(self.model.running):
            running = self.model.running[number]
            if not ran:
                position = self.model.tokens.index(running.spend)
                self.model.requests[position].amount = 0.0
            self.model.settle(running, share if ran else 0.0, ran)

    @rule(slot=SLOT)
    def replace_home(self, slot):
        if self.changes_holders:
            self.model.replace_home(slot)

    @rule(daemon=DAEMON)
    def crash(self, daemon):
        self.model.crash(daemon)

    @rule(daemon=DAEMON, slot=SLOT)
    def confirm(self, daemon, slot):
        borrower = self.model.daemons[daemon]
        self.model.homes[slot].confirm_incarnation(borrower.name, borrower.incarnation)

    @invariant()
    def no_window_passes_the_bound(self):
        bound, homes = self.bound, len(SLOTS)
        requests = measure_excess(
            self.model.requests, homes * bound.request_rate, homes * bound.request_cap
        )
        tokens = measure_excess(
            self.model.tokens, homes * bound.token_rate, homes * bound.token_cap
        )
        assert requests <= EPSILON, f"requests exceed the bound by {requests}"
        assert tokens <= EPSILON, f"tokens exceed the bound by {tokens}"

    @invariant()
    def homes_own_no_more_than_their_cap(self):
        for home in self.model.homes.values():
            account = home.find_account(CUSTOMER, self.model.now)
            if account is not None:
                requests, tokens = account.requests, account.tokens
                assert requests.level + requests.outstanding <= self.bound.request_cap + EPSILON
                assert tokens.level + tokens.outstanding <= self.bound.token_cap + EPSILON


class SteadyHomesMachine(QuotaMachine):
    """Without a change of holder, the permits in use are bounded as well."""

    changes_holders = False

    @invariant()
    def permits_in_use_are_bounded(self):
        permits = len(SLOTS) * self.bound.permits
        assert len(self.model.running) <= permits, f"{len(self.model.running)} calls in progress"


class AmendedMachine(SteadyHomesMachine):
    """Across amendments of the contract, the larger quota bounds the admitted amounts."""

    bound = LARGER_QUOTA

    @rule()
    def amend(self):
        self.model.quota = LARGER_QUOTA if self.model.quota is QUOTA else QUOTA


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
        self.model = QuotaModel()
        self.model.start()

    def serve(self, index: int, rate: float, seconds: float, tokens: float = 1.0) -> int:
        """Send calls at a steady rate, and request quota every quarter of a second."""
        admitted, step, due = 0, 0.01, 0.0
        for count in range(int(seconds / step)):
            if count % 25 == 0:
                for daemon, slot in product(range(len(self.model.daemons)), SLOTS):
                    self.model.exchange(daemon, slot)
            due += rate * step
            while due >= 1:
                due -= 1
                outcome = self.model.arrive(index, tokens)
                if isinstance(outcome, Charge):
                    admitted += 1
                    self.model.settle(self.model.running[-1], 1.0)
            self.model.advance(step)
        return admitted

    def test_steady_demand_gets_its_rate(self):
        self.serve(0, 16.0, 10)
        admitted = self.serve(0, 16.0, 20)
        self.assertGreaterEqual(admitted, 0.95 * 20 * 2 * QUOTA.request_rate)

    def test_traffic_that_moves_gets_its_rate_within_five_seconds(self):
        self.serve(0, 16.0, 10)
        self.serve(1, 16.0, 5)
        admitted = self.serve(1, 16.0, 5)
        self.assertGreaterEqual(admitted, 0.95 * 5 * 2 * QUOTA.request_rate)

    def test_lost_answer_returns_what_it_lent(self):
        self.model.arrive_or_wait(0, 1.0)
        request = self.model.send_request(0, SLOTS[0])
        self.model.deliver_request(0)
        self.model.daemons[0].fail(request, self.model.now)
        self.model.advance(0.6)
        self.assertTrue(self.model.exchange(0, SLOTS[0]))
        account = self.model.homes[SLOTS[0]].find_account(CUSTOMER, self.model.now)
        held = self.balance(0)[0] + len(self.model.requests)
        self.assertAlmostEqual(account.requests.outstanding, held)

    def balance(self, index: int) -> tuple[float, float, int]:
        return self.model.daemons[index].available(CUSTOMER, self.model.now)

    def borrow(self, index: int, calls: int = 1, tokens: float = 1.0) -> None:
        """Let calls wait, and exchange one request that brings the required balance."""
        for _ in range(calls):
            self.model.arrive_or_wait(index, tokens)
        self.assertTrue(self.model.exchange(index, SLOTS[0]))

    def test_expired_stock_is_not_spent(self):
        self.borrow(0, 4)
        self.assertGreater(self.balance(0)[0], 1.0)
        self.model.advance(LOAN_DURATION_S)
        self.assertEqual(self.balance(0), (0.0, 0.0, 0))
        self.assertIsInstance(self.model.arrive(0, 0.0), Shortage)

    def test_stock_expires_by_the_time_before_the_ask(self):
        self.model.arrive_or_wait(0, 1.0)
        self.model.send_request(0, SLOTS[0])
        self.model.advance(LOAN_DURATION_S)
        self.model.deliver_request(0)
        self.model.deliver_grant(0)
        self.assertEqual(self.model.requests, [])

    def test_new_holder_waits_out_the_loans_of_the_old_one(self):
        self.model.replace_home(SLOTS[0])
        self.borrow(0)
        self.assertEqual(self.model.requests, [])
        self.model.advance(HOME_OPENING_S)
        self.borrow(0)
        self.model.advance(1.0)
        self.borrow(0)
        self.assertGreaterEqual(len(self.model.requests), 1)

    def test_daemon_that_restarted_is_known_apart_from_its_late_asks(self):
        self.model.arrive_or_wait(0, 1.0)
        self.model.send_request(0, SLOTS[0])
        self.model.crash(0)
        self.borrow(0)
        self.model.deliver_request(0)
        home, daemon = self.model.homes[SLOTS[0]], self.model.daemons[0]
        self.assertEqual(home.find_contested(), {"entry-0"})
        home.confirm_incarnation("entry-0", daemon.incarnation)
        self.assertEqual(home.find_contested(), set())
        account = home.find_account(CUSTOMER, self.model.now)
        self.assertEqual([key[1] for key in account.loans], [daemon.incarnation])

    def test_tokens_used_beyond_the_estimate_are_paid_from_the_balance(self):
        self.borrow(0, 3, 10.0)
        running = self.model.running[0]
        before = self.balance(0)[1]
        self.model.daemons[0].settle(running.charge, 14.0, self.model.now)
        self.assertAlmostEqual(before - self.balance(0)[1], 4.0)

    def test_permits_of_an_unheard_daemon_stay_taken_while_its_calls_may_run(self):
        self.borrow(0)
        self.assertEqual(len(self.model.running), 1)
        self.model.now += 5.0
        account = self.model.homes[SLOTS[0]].find_account(CUSTOMER, self.model.now)
        self.assertGreaterEqual(sum(loan.permits for loan in account.loans.values()), 1)
        self.model.now += MAX_CALL_S
        account = self.model.homes[SLOTS[0]].find_account(CUSTOMER, self.model.now)
        self.assertEqual(account.loans, {})

    def test_answer_after_giving_up_is_not_taken(self):
        self.model.arrive_or_wait(0, 1.0)
        request = self.model.send_request(0, SLOTS[0])
        self.model.deliver_request(0)
        self.model.daemons[0].fail(request, self.model.now)
        self.model.deliver_grant(0)
        self.assertEqual(self.balance(0), (0.0, 0.0, 0))

    def test_idle_permits_end_with_their_loan(self):
        self.borrow(0, 4)
        self.model.settle(self.model.running[0], 1.0)
        self.model.advance(LOAN_DURATION_S)
        self.model.arrive_or_wait(0, 1.0)
        used = len(self.model.running)
        line = self.model.send_request(0, SLOTS[0]).lines[0]
        self.assertEqual((line.permits_held, line.permits_used), (used, used))


class HomeTest(unittest.TestCase):
    """A home that gets requests directly, also wrong, late and repeated ones."""

    def open_home(self, epoch: int, now: float, first: bool = False) -> QuotaHome:
        return QuotaHome(SLOTS[0], epoch, lambda name: QUOTA, now, first)

    def build_request(
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
        lent = old.handle(self.build_request(1, requested=100.0), 0.0).lines[0].requests
        self.assertEqual(lent, QUOTA.request_cap)
        new = self.open_home(2, 0.1)
        late = (
            new.handle(self.build_request(1, requested=100.0, epoch=2), LOAN_DURATION_S)
            .lines[0]
            .requests
        )
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
        request = self.build_request(1, requested=2.0)
        self.assertTrue(home.handle(request, 0.0).accepted)
        self.assertTrue(home.handle(self.build_request(2, held=2.0, acknowledged=1), 0.1).accepted)
        self.assertFalse(home.handle(request, 0.2).accepted)
        self.assertEqual(home.find_account(CUSTOMER, 0.2).requests.outstanding, 2.0)

    def test_amount_that_was_never_lent_cannot_be_returned(self):
        home = self.open_home(1, 0.0, first=True)
        home.handle(self.build_request(1, requested=2.0), 0.0)
        home.handle(self.build_request(2, acknowledged=1, returned=50.0, held=50.0), 0.0)
        account = home.find_account(CUSTOMER, 0.0)
        self.assertEqual(account.requests.level + account.requests.outstanding, 6.0)

    def test_unknown_loan_is_answered_as_unknown(self):
        home = self.open_home(1, 0.0, first=True)
        line = home.handle(
            self.build_request(7, requested=2.0, acknowledged=6, held=3.0), 0.0
        ).lines[0]
        self.assertFalse(line.known)

    def test_borrower_does_not_repeat_a_request_at_once_for_an_unknown_customer(self):
        model = QuotaModel(quota=None)
        model.start()
        model.arrive_or_wait(0, 1.0)
        for slot in SLOTS:
            self.assertTrue(model.exchange(0, slot))
        self.assertEqual(model.daemons[0].slots_to_request(model.now), set())

    def test_customer_without_service_gets_nothing(self):
        home = QuotaHome(SLOTS[0], 1, lambda name: None, 0.0, first=True)
        self.assertFalse(home.handle(self.build_request(1, requested=2.0), 0.0).lines[0].known)
