"""A customer's lent quota in one daemon: balance, target balance and requests to quota homes.

A quota home is the daemon that owns part of a quota and lends from it. The balance is what all
loans hold together. It is refilled to a target that follows recent demand.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from magnoliarouter.core.demand import Demand
from magnoliarouter.core.loans import Loan, Permits, ResourceBalance, draw_amount
from magnoliarouter.core.quota import LOAN_DURATION_S
from magnoliarouter.core.quota_lines import ResourceRequest

if TYPE_CHECKING:
    from magnoliarouter.core.quota_lines import LoanGrant, LoanRequest

__all__ = [
    "INITIAL_RETRY_S",
    "MAINTENANCE_INTERVAL_S",
    "CallCost",
    "CustomerBalance",
    "HomeStatus",
    "RequestedAmounts",
    "apply_grant",
    "build_resource_request",
    "compute_deficit",
    "needs_report",
    "schedule_next_request",
]

MAINTENANCE_INTERVAL_S = 0.4
# Shares of the burst seconds: demand that the target covers, and age at which spending is reported.
DEMAND_HORIZON_SHARE = 0.35
REPORT_SHARE = 0.3
UNCONTENDED_FACTOR = 1.5
LOAN_REFRESH_S = LOAN_DURATION_S / 2
MIN_RETRY_S = 0.1
INITIAL_RETRY_S = 0.2
MAX_RETRY_S = 1.0
MIN_CALLS_PER_LOAN = 2
AMOUNT_TOLERANCE = 1e-9


@dataclass(frozen=True, slots=True)
class CallCost:
    """Quota that one call needs: one request, one permit, and an estimate of tokens."""

    tokens: float


@dataclass(slots=True)
class HomeStatus:
    """State of one home for one customer: next request and the waits that the home reported.

    The waits are the seconds until the part of the last request that was not lent is available.
    """

    next_request_at: float = 0.0
    backoff_s: float = INITIAL_RETRY_S
    request_wait: float = 0.0
    token_wait: float = 0.0


@dataclass(slots=True)
class RequestedAmounts:
    """Amounts to request from a home."""

    requests: float = 0.0
    tokens: float = 0.0
    permits: int = 0

    def __bool__(self) -> bool:
        return (
            self.requests > AMOUNT_TOLERANCE or self.tokens > AMOUNT_TOLERANCE or self.permits > 0
        )


@dataclass(frozen=True, slots=True)
class BalanceTargets:
    """Balance to refill to, and the low balance that triggers a refill."""

    requests: float
    tokens: float
    low_requests: float
    low_tokens: float


NO_TARGETS = BalanceTargets(0.0, 0.0, 0.0, 0.0)


@dataclass(slots=True)
class CustomerBalance:
    """Balance, demand and homes of one customer.

    Parameters
    ----------
    name : str
        Customer.
    order : tuple of str
        Home slots in the order in which quota is requested from them.
    pooled : bool
        Whether amounts are gathered from several homes because one owns too little for a few calls
        (`MIN_CALLS_PER_PART` in `pipeline.escrow`).
    capped_burst_s : float
        Burst of the contract in seconds, up to a maximum.
    reserve_call : CallCost, optional
        Call for which a balance is kept beyond the demand.
    contended_until : float
        Loop time until which a home counts as short of quota.
    loans : list of Loan
        Loans that have not ended.
    permits : dict of str to Permits
        Permits by home slot.
    statuses : dict of str to HomeStatus
        Homes by slot.
    requests, tokens : Demand
        Recent demand.
    mean_duration_s : float
        Moving average of the duration of calls.
    waiting : list of CallCost
        Calls that wait for quota.
    requested_slot : str
        Slot of the request in flight that carries amounts for this customer; empty for none.
    """

    name: str
    order: tuple[str, ...]
    pooled: bool = False
    capped_burst_s: float = 1.0
    reserve_call: CallCost | None = None
    contended_until: float = 0.0
    loans: list[Loan] = field(default_factory=list)
    permits: dict[str, Permits] = field(default_factory=dict)
    statuses: dict[str, HomeStatus] = field(default_factory=dict)
    requests: Demand = field(default_factory=Demand)
    tokens: Demand = field(default_factory=Demand)
    mean_duration_s: float = 0.0
    waiting: list[CallCost] = field(default_factory=list)
    requested_slot: str = ""

    def may_need_request(self, slot: str, now: float) -> bool:
        """Return whether a request to a slot may have to include this customer."""
        if slot not in self.order:
            return False
        if self.waiting or self.keeps_balance(now):
            return True
        permits = self.permits.get(slot)
        if permits is not None and permits.held:
            return True
        return any(loan.slot == slot for loan in self.loans)

    def active_loans(self, now: float) -> list[Loan]:
        """Close the loans that have expired, and return the others."""
        for loan in self.loans:
            if now >= loan.expires and loan.acknowledged and not loan.closed:
                self.close(loan)
        self.loans = [loan for loan in self.loans if not loan.closed]
        return self.loans

    def keeps_balance(self, now: float) -> bool:
        """Return whether calls are frequent enough to spend a balance before its loan expires.

        For rarer calls, renewing a small loan costs more messages than a request per call.
        """
        return not self.pooled and self.requests.rate(now) * LOAN_DURATION_S >= MIN_CALLS_PER_LOAN

    def report_age(self, now: float) -> float:
        """Return the seconds after which spending is reported; longer while no home is short."""
        if self.pooled:
            # Pooled amounts are small, so other daemons run short of them sooner.
            return 0.0
        return (
            REPORT_SHARE
            * self.capped_burst_s
            * (1 if now < self.contended_until else UNCONTENDED_FACTOR)
        )

    def plan_targets(self, now: float) -> BalanceTargets:
        """Return the target balance."""
        if not self.keeps_balance(now):
            return NO_TARGETS
        requests, tokens = self.requests.rate(now), self.tokens.rate(now)
        ahead = DEMAND_HORIZON_SHARE * self.capped_burst_s
        if self.reserve_call is None:
            low = ahead / 2
            return BalanceTargets(requests * ahead, tokens * ahead, requests * low, tokens * low)
        return BalanceTargets(
            requests * ahead + 1,
            tokens * ahead + self.reserve_call.tokens,
            requests * MAINTENANCE_INTERVAL_S + 1,
            tokens * MAINTENANCE_INTERVAL_S + self.reserve_call.tokens,
        )

    def close(self, loan: Loan) -> None:
        """End a loan; permits in use stay in use until their calls end."""
        loan.close()
        permits = self.permits.get(loan.slot)
        if permits is not None and not self._has_other_loan(loan):
            permits.held = permits.used

    def _has_other_loan(self, loan: Loan) -> bool:
        return any(
            other.slot == loan.slot
            and not other.closed
            and other.acknowledged
            and other is not loan
            for other in self.loans
        )

    def available(self, now: float) -> tuple[float, float, int]:
        """Return the requests, tokens and idle permits that are available now."""
        loans = self.active_loans(now)
        requests = sum(loan.requests.held for loan in loans)
        tokens = sum(loan.tokens.held for loan in loans) - self.tokens.debt
        slots = {loan.slot for loan in loans if loan.acknowledged}
        return requests, tokens, sum(self.permits[slot].idle for slot in slots)

    def find_shortage(self, cost: CallCost, now: float) -> str:
        """Return the resource that is short for a call, or an empty string."""
        requests, tokens, permits = self.available(now)
        if permits < 1:
            return "permits"
        if requests < 1.0 - AMOUNT_TOLERANCE:
            return "requests"
        if cost.tokens > 0 and tokens < cost.tokens - AMOUNT_TOLERANCE:
            return "tokens"
        return ""

    def holds_balance_from(self, slot: str) -> bool:
        """Return whether the balance includes requests or tokens lent by a slot."""
        return any(
            loan.slot == slot
            and (loan.requests.held > AMOUNT_TOLERANCE or loan.tokens.held > AMOUNT_TOLERANCE)
            for loan in self.loans
        )

    def find_loan(self, slot: str, epoch: int) -> Loan | None:
        """Return the open loan that a slot's home of one epoch granted, or None."""
        for loan in self.loans:
            if loan.slot == slot and loan.epoch == epoch and not loan.closed:
                return loan
        return None

    def return_surplus(self, loan: Loan, permits: Permits, now: float) -> None:
        """Return from a loan what the customer's whole balance holds beyond twice the target."""
        if self.waiting or self.requested_slot:
            return
        requests, tokens, idle = self.available(now)
        targets = self.plan_targets(now)
        request_keep, token_keep = 2 * targets.requests, 2 * targets.tokens
        returned = 0.0
        if requests > request_keep + AMOUNT_TOLERANCE:
            returned += loan.requests.return_unused(requests - request_keep)
        if tokens > token_keep + AMOUNT_TOLERANCE:
            returned += loan.tokens.return_unused(tokens - token_keep)
        surplus = min(permits.idle, idle - round(request_keep))
        if surplus > 0:
            permits.held -= surplus
        loan.changed = loan.changed or returned > 0 or surplus > 0

    def return_all(self) -> None:
        """Return everything that is not in use, and reset the demand to stop refills."""
        self.requests, self.tokens = Demand(), Demand(debt=self.tokens.debt)
        for loan in self.loans:
            loan.requests.return_unused(loan.requests.held)
            loan.tokens.return_unused(loan.tokens.held)
            loan.changed, loan.reported_at = True, -math.inf
        for permits in self.permits.values():
            permits.held = permits.used

    def pay_debt(self) -> None:
        """Deduct tokens that were used beyond their charge from the balance."""
        if self.tokens.debt > 0:
            draws = draw_amount(self.loans, "tokens", self.tokens.debt)
            paid = sum(draw.amount for draw in draws)
            self.tokens.debt = max(0.0, self.tokens.debt - paid)


def compute_deficit(balance: float, waiting: float, target: float, low: float) -> float:
    """Return the amount to request, or 0 while the balance is neither low nor short.

    The balance is short if it is less than what waiting calls need.
    """
    if balance >= low and balance >= waiting:
        return 0.0
    return max(0.0, waiting + target - balance)


def build_resource_request(
    balance: ResourceBalance, requested: float, minimum: float
) -> ResourceRequest:
    """Return the part of a request for one resource of a loan."""
    balance.refund_since = min(balance.refund_since, balance.refund_unsent_since)
    balance.refund_unsent_since = math.inf
    since = balance.refund_since if balance.refund_since < math.inf else 0.0
    # An integer 0 is encoded in one byte, a float 0.0 in nine.
    return ResourceRequest(
        balance.held or 0,
        requested or 0,
        minimum or 0,
        balance.returned or 0,
        balance.refunded or 0,
        since or 0,
    )


def needs_report(loan: Loan | None, permits: Permits, now: float, report_after: float) -> bool:
    """Return whether a loan has to be included in a request."""
    if loan is None:
        # Permits in use are reported to the slot's new home immediately.
        return permits.used > 0
    age = now - loan.reported_at
    holds = loan.requests.held > 0 or loan.tokens.held > 0 or permits.held > 0
    return (loan.changed and age >= report_after) or (holds and age >= LOAN_REFRESH_S)


def apply_grant(loan: Loan, permits: Permits, granted: LoanGrant) -> None:
    """Add the amounts that a home has lent."""
    loan.requests.held += granted.requests
    loan.tokens.held += granted.tokens
    permits.held += granted.permits
    loan.requests.refund_since = loan.tokens.refund_since = math.inf


def schedule_next_request(
    status: HomeStatus, line: LoanRequest, granted: LoanGrant, now: float
) -> bool:
    """Set the time of the next request to a home, and return whether it lent less than requested.

    The backoff doubles while the home lends nothing.
    """
    status.request_wait, status.token_wait = granted.request_wait, granted.token_wait
    short = (
        granted.requests < line.requests.requested - AMOUNT_TOLERANCE
        or granted.tokens < line.tokens.requested - AMOUNT_TOLERANCE
        or granted.permits < line.permits_requested
    )
    if not short:
        status.next_request_at, status.backoff_s = now, INITIAL_RETRY_S
        return False
    nothing = granted.requests <= 0 and granted.tokens <= 0 and granted.permits <= 0
    if nothing:
        status.backoff_s = min(2 * status.backoff_s, MAX_RETRY_S)
        wait = max(granted.request_wait, granted.token_wait)
        status.next_request_at = now + max(MIN_RETRY_S, min(status.backoff_s, wait))
    else:
        status.backoff_s = INITIAL_RETRY_S
        status.next_request_at = now + status.backoff_s
    return True
