"""Borrower: the quota lent to one entry daemon and its requests to quota homes.

A quota home is the daemon that holds a home slot, owns part of each quota and lends from it.
`admit` charges a call to the local balance without a message. `build_request` collects what one
home needs to receive, `apply` applies its response, and `fail` records that none arrived. The code
that drives a `Borrower` sends one request to a slot at a time and drops a response that arrives
after `fail`.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from magnoliarouter.core.balance import (
    INITIAL_RETRY_S,
    MAINTENANCE_INTERVAL_S,
    CallCost,
    CustomerBalance,
    HomeStatus,
    RequestedAmounts,
    apply_grant,
    build_resource_request,
    compute_deficit,
    needs_report,
    schedule_next_request,
)
from magnoliarouter.core.loans import Charge, Loan, Permits, draw_amount, refund_draws
from magnoliarouter.core.quota_lines import LoanRequest, QuotaGrant, QuotaRequest

if TYPE_CHECKING:
    from collections.abc import Sequence

__all__ = ["MAINTENANCE_INTERVAL_S", "Borrower", "CallCost", "Shortage"]

MAX_BURST_S = 3.0
SHORTAGE_MEMORY_S = 5.0
MIN_DOWN_S = 0.5
MAX_DOWN_S = 4.0


@dataclass(frozen=True, slots=True)
class Shortage:
    """Why a call cannot be admitted now.

    Parameters
    ----------
    resource : {"requests", "tokens", "permits", "homes"}
        Resource that is short; ``"homes"`` if no home can be reached.
    retry_after : float
        Seconds after which the resource is expected to be available.
    request_pending : bool
        Whether a request that may end the shortage is in flight or due.
    """

    resource: str
    retry_after: float
    request_pending: bool


@dataclass(slots=True)
class _SlotRequests:
    """State of the requests to one slot."""

    sequence: int = 0
    epoch: int = 0
    sent: float = 0.0
    in_flight: QuotaRequest | None = None
    failures: int = 0
    down_until: float = 0.0

    def is_up(self, now: float) -> bool:
        """Return whether a request to this slot is likely to get a response.

        After a failure it returns False until `down_until`, and then while the next request is in
        flight.
        """
        return now >= self.down_until and not (self.failures and self.in_flight)


class Borrower:
    """Lent quota of one daemon.

    Parameters
    ----------
    name, incarnation : str
        Daemon and the id of its current start.
    max_use_seconds : float
        Longest time for which an admitted call may run, in seconds.
    """

    def __init__(self, name: str, incarnation: str, max_use_seconds: float) -> None:
        self.name = name
        self.incarnation = incarnation
        self._max_use_seconds = max_use_seconds
        self._customers: dict[str, CustomerBalance] = {}
        self._slot_requests: dict[str, _SlotRequests] = {}
        self._active: set[str] = set()

    def set_customer(
        self,
        name: str,
        order: Sequence[str],
        pooled: bool,
        burst_seconds: float = 1.0,
        reserve_call: CallCost | None = None,
    ) -> None:
        """Set a customer's homes, in the order in which quota is requested from them.

        Parameters
        ----------
        name : str
            Customer.
        order : sequence of str
            Home slots.
        pooled : bool
            Whether one home owns too little for a few calls (`MIN_CALLS_PER_PART` in
            `pipeline.escrow`), so that amounts are gathered from several; the order must then be
            the same in all daemons.
        burst_seconds : float
            Burst of the contract; a longer one allows a larger balance and later reports.
        reserve_call : CallCost, optional
            Call for which a balance is kept beyond the demand, so that few calls wait for a
            request; for customers whose burst is many times as large.
        """
        known = self._customers.setdefault(name, CustomerBalance(name, tuple(order)))
        known.order, known.pooled = tuple(order), pooled
        known.capped_burst_s = min(burst_seconds, MAX_BURST_S)
        known.reserve_call = reserve_call

    def set_home(self, slot: str, epoch: int) -> None:
        """Record the epoch of the home that holds a slot now."""
        slot_requests = self._slot_requests.setdefault(slot, _SlotRequests())
        if epoch > slot_requests.epoch:
            slot_requests.epoch = epoch
            slot_requests.down_until, slot_requests.failures = 0.0, 0

    def admit(self, name: str, cost: CallCost, now: float) -> Charge | Shortage:
        """Charge a call to the balance, or return why it cannot be admitted."""
        customer = self._customers[name]
        loans = customer.active_loans(now)
        short = customer.find_shortage(cost, now)
        if short:
            return self._build_shortage(customer, short, cost, now)
        permits = next(
            customer.permits[loan.slot]
            for loan in loans
            if loan.acknowledged and customer.permits[loan.slot].idle > 0
        )
        permits.used += 1
        requests = draw_amount(loans, "requests", 1.0)
        return Charge(
            name, now, cost.tokens, requests, draw_amount(loans, "tokens", cost.tokens), permits
        )

    def record_demand(self, name: str, cost: CallCost, now: float) -> None:
        """Count an arriving call in the demand that sets the target balance."""
        customer = self._customers[name]
        self._active.add(name)
        customer.requests.add(1.0, now)
        customer.tokens.add(cost.tokens, now)

    def settle(self, charge: Charge, tokens: float, now: float, ran: bool = True) -> None:
        """End a call: free its permit and refund what it did not use.

        Parameters
        ----------
        charge : Charge
            Charge of the call; settling it again has no effect.
        tokens : float
            Tokens actually used.
        now : float
            Loop time in seconds.
        ran : bool
            Whether the call ran; if not, the request is refunded too.
        """
        if charge.settled:
            return
        charge.settled = True
        charge.permits.used -= 1
        customer = self._customers[charge.customer]
        customer.mean_duration_s += 0.2 * (now - charge.admitted_at - customer.mean_duration_s)
        refund_draws(charge.tokens, "tokens", charge.estimated_tokens - tokens)
        if tokens > charge.estimated_tokens:
            customer.tokens.add_debt(tokens - charge.estimated_tokens)
        if not ran:
            refund_draws(charge.requests, "requests", 1.0)

    def add_waiting(self, name: str, cost: CallCost) -> None:
        """Add a call that waits for quota."""
        self._customers[name].waiting.append(cost)

    def remove_waiting(self, name: str, cost: CallCost) -> None:
        """Remove a call that waited for quota."""
        self._customers[name].waiting.remove(cost)

    def slots_to_request(self, now: float) -> set[str]:
        """Return the slots that need a request now: for waiting calls and pooled spending."""
        found = set()
        for name in list(self._active):
            customer = self._customers[name]
            if customer.pooled:
                # A home refills its small part only after the spending is reported.
                found.update(loan.slot for loan in customer.loans if loan.changed)
            if customer.waiting and not customer.requested_slot:
                found.add(self._choose_slot(customer, now))
        return found - {""}

    def build_request(self, slot: str, now: float) -> QuotaRequest | None:
        """Return the request to send to a slot, or None if none is needed.

        Parameters
        ----------
        slot : str
            Slot to send the request to.
        now : float
            Loop time in seconds, read before the request is sent.
        """
        slot_requests = self._slot_requests.get(slot)
        if slot_requests is None or slot_requests.in_flight or now < slot_requests.down_until:
            return None
        sequence = slot_requests.sequence + 1
        candidates = [
            customer
            for customer in map(self._customers.__getitem__, list(self._active))
            if customer.may_need_request(slot, now)
        ]
        lines = self._build_lines(candidates, slot_requests, slot, sequence, now, piggyback=False)
        if lines:
            # A request that is sent anyway reports all changes, whatever their age.
            included = {line.customer for line in lines}
            others = [customer for customer in candidates if customer.name not in included]
            lines += self._build_lines(others, slot_requests, slot, sequence, now, piggyback=True)
        for name in list(self._active):
            self._drop_if_idle(self._customers[name], now)
        if not lines:
            return None
        slot_requests.sequence, slot_requests.sent = sequence, now
        slot_requests.in_flight = QuotaRequest(
            self.name, self.incarnation, slot, slot_requests.epoch, sequence, lines
        )
        return slot_requests.in_flight

    def apply(self, request: QuotaRequest, grant: QuotaGrant, now: float) -> None:
        """Apply the response to a request."""
        slot_requests = self._slot_requests[request.slot]
        if slot_requests.in_flight is not request:
            return
        if not grant.accepted:
            self.fail(request, now)
            return
        slot_requests.in_flight, slot_requests.failures = None, 0
        expires = slot_requests.sent + grant.loan_seconds
        for line, granted in zip(request.lines, grant.lines, strict=True):
            customer = self._customers[line.customer]
            if customer.requested_slot == request.slot:
                customer.requested_slot = ""
            loan = customer.find_loan(request.slot, request.epoch)
            if loan is None or loan.number != line.loan:
                continue
            if not granted.known:
                customer.close(loan)
                customer.statuses[request.slot].next_request_at = now + INITIAL_RETRY_S
                continue
            loan.acknowledged, loan.home_time, loan.expires = (
                request.sequence,
                grant.home_time,
                expires,
            )
            apply_grant(loan, customer.permits[request.slot], granted)
            customer.pay_debt()
            if schedule_next_request(customer.statuses[request.slot], line, granted, now):
                customer.contended_until = now + SHORTAGE_MEMORY_S

    def fail(self, request: QuotaRequest, now: float) -> None:
        """Record that a request got no response in time, or one from a VM without the slot."""
        slot_requests = self._slot_requests[request.slot]
        if slot_requests.in_flight is not request:
            return
        slot_requests.in_flight = None
        slot_requests.down_until = now + min(MAX_DOWN_S, MIN_DOWN_S * 2**slot_requests.failures)
        slot_requests.failures = min(slot_requests.failures + 1, 8)
        for line in request.lines:
            customer = self._customers[line.customer]
            if customer.requested_slot == request.slot:
                customer.requested_slot = ""

    def return_all(self) -> None:
        """Return everything that is not in use; the next requests report it to the homes."""
        for name in self._active:
            self._customers[name].return_all()

    def available(self, name: str, now: float) -> tuple[float, float, int]:
        """Return a customer's requests, tokens and idle permits that are available now."""
        return self._customers[name].available(now)

    def _drop_if_idle(self, customer: CustomerBalance, now: float) -> None:
        """Remove an idle customer from the active set.

        A customer is idle if it has no loans, no waiting calls, no permits in use, and too little
        demand to keep a balance for.
        """
        if customer.loans or customer.waiting or customer.keeps_balance(now):
            return
        if not any(permits.used for permits in customer.permits.values()):
            self._active.discard(customer.name)

    def _build_shortage(
        self, customer: CustomerBalance, short: str, cost: CallCost, now: float
    ) -> Shortage:
        request_pending = bool(customer.requested_slot or self._choose_slot(customer, now))
        reached = [slot for slot in customer.order if self._is_up(slot, now)]
        if not reached and not request_pending:
            return Shortage("homes", MIN_DOWN_S, False)
        statuses = [customer.statuses[slot] for slot in reached if slot in customer.statuses]
        match short:
            case "requests":
                wait = min((status.request_wait for status in statuses), default=0.0)
            case "tokens":
                wait = min((status.token_wait for status in statuses), default=0.0)
            case _:
                used = sum(permits.used for permits in customer.permits.values())
                wait = customer.mean_duration_s / max(1, used)
        return Shortage(short, max(wait, MAINTENANCE_INTERVAL_S), request_pending)

    def _is_up(self, slot: str, now: float) -> bool:
        slot_requests = self._slot_requests.get(slot)
        return slot_requests is not None and slot_requests.is_up(now)

    def _choose_slot(self, customer: CustomerBalance, now: float) -> str:
        """Return the slot for a customer's next request, or an empty string if none is due."""
        for slot in customer.order:
            if not self._is_up(slot, now):
                continue
            status = customer.statuses.setdefault(slot, HomeStatus())
            if now >= status.next_request_at:
                return slot
            if customer.pooled and not customer.holds_balance_from(slot):
                # Only a daemon that holds an amount from this home may request from the later ones,
                # so that the parts of a pooled quota meet in one daemon.
                return ""
        return ""

    def _build_lines(
        self,
        customers: list[CustomerBalance],
        slot_requests: _SlotRequests,
        slot: str,
        sequence: int,
        now: float,
        piggyback: bool,
    ) -> list[LoanRequest]:
        lines = (
            self._build_line(customer, slot, slot_requests.epoch, sequence, now, piggyback)
            for customer in customers
        )
        return [line for line in lines if line is not None]

    def _build_line(
        self,
        customer: CustomerBalance,
        slot: str,
        epoch: int,
        sequence: int,
        now: float,
        piggyback: bool,
    ) -> LoanRequest | None:
        customer.active_loans(now)
        loan = customer.find_loan(slot, epoch)
        requested = self._plan_request(customer, slot, now)
        permits = customer.permits.setdefault(slot, Permits())
        if loan is not None and not requested:
            customer.return_surplus(loan, permits, now)
        report_after = 0.0 if piggyback else customer.report_age(now)
        if not requested and not needs_report(loan, permits, now, report_after):
            return None
        if loan is None:
            loan = Loan(slot, epoch, sequence)
            customer.loans.append(loan)
        if requested and not self._slot_requests[slot].failures:
            customer.requested_slot = slot
        loan.reported_at, loan.changed = now, False
        # The first home lends the whole request. If it cannot, it lends what it has if that is at
        # least `MIN_LEND_SHARE` of its cap, otherwise nothing. The daemon that gets such a part
        # gathers the rest from the other homes.
        first = customer.pooled and slot == customer.order[0]
        return LoanRequest(
            customer.name,
            loan.number,
            loan.acknowledged,
            build_resource_request(
                loan.requests, requested.requests, requested.requests if first else 0.0
            ),
            build_resource_request(
                loan.tokens, requested.tokens, requested.tokens if first else 0.0
            ),
            permits.held,
            permits.used,
            requested.permits,
            self._max_use_seconds,
        )

    def _plan_request(self, customer: CustomerBalance, slot: str, now: float) -> RequestedAmounts:
        if customer.requested_slot or self._choose_slot(customer, now) != slot:
            return RequestedAmounts()
        requests, tokens, permits = customer.available(now)
        targets = customer.plan_targets(now)
        waiting = len(customer.waiting)
        waiting_tokens = sum(cost.tokens for cost in customer.waiting)
        return RequestedAmounts(
            compute_deficit(requests, waiting, targets.requests, targets.low_requests),
            compute_deficit(tokens, waiting_tokens, targets.tokens, targets.low_tokens),
            int(
                compute_deficit(permits, waiting, round(targets.requests), targets.low_requests / 2)
            ),
        )
