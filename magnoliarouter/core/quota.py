"""Quota home: owns part of every customer's quota and lends from it to the daemons.

For each customer and resource ``level + outstanding <= share * burst`` holds at all times, and the
level grows by ``share * rate`` per second. A lent amount leaves `outstanding` when it is reported
as spent or returned, or can no longer be spent because its loan has expired. Hence all daemons
together spend at most ``share * (burst + rate * window)`` of this home's part in any window, even
if messages are lost, repeated or delayed, or daemons restart.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from magnoliarouter.core.quota_lines import (
    LoanGrant,
    LoanRequest,
    QuotaGrant,
    QuotaRequest,
    ResourceRequest,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

__all__ = ["LOAN_DURATION_S", "LOAN_MARGIN_S", "Bucket", "HomeQuota", "QuotaHome"]

LOAN_DURATION_S = 3.0
LOAN_MARGIN_S = 0.5
MAX_WAIT_S = 60.0
MIN_LEND_SHARE = 0.25
MAX_HEADROOM_ENTRIES = 256


@dataclass(frozen=True, slots=True)
class HomeQuota:
    """Part of one customer's contract that a home owns.

    Parameters
    ----------
    request_rate, request_cap : float
        Requests per second, and maximum of level plus outstanding requests.
    token_rate, token_cap : float
        Tokens per second, and maximum of level plus outstanding tokens.
    permits : int
        Maximum number of concurrent requests.
    """

    request_rate: float
    request_cap: float
    token_rate: float
    token_cap: float
    permits: int


@dataclass(slots=True)
class Bucket:
    """Token bucket for one resource that a home owns, including the part that is lent.

    Parameters
    ----------
    rate, cap : float
        Refill per second, and maximum of level plus outstanding.
    level : float
        Amount that can be lent now.
    updated : float
        Loop time of the last refill in seconds.
    outstanding : float
        Amount lent that may still be unspent.
    """

    rate: float
    cap: float
    level: float
    updated: float
    outstanding: float = 0.0
    _headroom: deque[list[float]] = field(default_factory=deque)
    _headroom_since: float = 0.0

    def refill(self, now: float) -> None:
        """Add what has accrued since the last refill, up to the cap."""
        elapsed = max(0.0, now - self.updated)
        self.updated = max(now, self.updated)
        free = max(0.0, self.cap - self.level - self.outstanding)
        self.level += min(self.rate * elapsed, free)
        self._record_headroom()

    def amend(self, rate: float, cap: float, now: float) -> None:
        """Apply an amended rate and cap."""
        self.refill(now)
        self.rate, self.cap = rate, cap
        self.level = max(0.0, min(self.level, cap - self.outstanding))
        self._record_headroom()

    def lend(self, requested: float, minimum: float) -> float:
        """Move up to `requested` from the level to outstanding.

        Nothing moves if the level is below `minimum`, or below `MIN_LEND_SHARE` of the cap if
        that is less.
        """
        amount = min(requested, self.level)
        if amount <= 0 or amount < min(minimum, requested, self.cap * MIN_LEND_SHARE):
            return 0.0
        self.level -= amount
        self.outstanding += amount
        return amount

    def write_off(self, amount: float) -> None:
        """Remove a spent or expired amount from outstanding."""
        self.outstanding = max(0.0, self.outstanding - amount)

    def restore(self, amount: float) -> None:
        """Return an unspent amount from outstanding to the level."""
        self.write_off(amount)
        self.level += max(0.0, min(amount, self.cap - self.level - self.outstanding))

    def refund(self, amount: float, since: float) -> None:
        """Credit an amount that was charged at `since` or later but not used.

        The level becomes what it would be without the charge. The credit is therefore limited by
        the smallest headroom below the cap since the charge. If the recorded headroom does not
        reach back to `since`, nothing is credited.
        """
        if since < self._headroom_since:
            return
        entries = [entry for entry in self._headroom if entry[0] >= since]
        credit = min([amount, *(entry[1] for entry in entries)])
        if credit <= 0:
            return
        self.level += credit
        for entry in entries:
            entry[1] -= credit

    def seconds_until(self, amount: float) -> float:
        """Return the seconds until the level reaches an amount, at most `MAX_WAIT_S`."""
        if amount <= self.level:
            return 0.0
        if self.rate <= 0:
            return MAX_WAIT_S
        return min(MAX_WAIT_S, (amount - self.level) / self.rate)

    def _record_headroom(self) -> None:
        headroom = self.cap - self.level - self.outstanding
        entries = self._headroom
        while entries and entries[-1][1] >= headroom:
            entries.pop()
        entries.append([self.updated, headroom])
        if len(entries) > MAX_HEADROOM_ENTRIES:
            self._headroom_since = entries.popleft()[0]


@dataclass(slots=True)
class _LentAmount:
    """One resource of one loan: outstanding amount and the totals that were last reported.

    Parameters
    ----------
    held : float
        Amount that the borrower has received and may still spend.
    pending : float
        Amount in the last response, whose arrival is not confirmed.
    returned, refunded : float
        Last reported totals.
    """

    held: float = 0.0
    pending: float = 0.0
    returned: float = 0.0
    refunded: float = 0.0


@dataclass(slots=True)
class _Loan:
    """Loan of part of one customer's quota to one daemon."""

    number: int
    sequence: int = 0
    expires: float = 0.0
    requests: _LentAmount = field(default_factory=_LentAmount)
    tokens: _LentAmount = field(default_factory=_LentAmount)
    permits: int = 0
    used_until: float = 0.0


@dataclass(slots=True)
class _Account:
    """Quota of one customer that a home owns, and its loans by borrower and incarnation."""

    requests: Bucket
    tokens: Bucket
    permits: int
    initial_outstanding: tuple[float, float] = (0.0, 0.0)
    lends_from: float = 0.0
    loans: dict[tuple[str, str], _Loan] = field(default_factory=dict)


class QuotaHome:
    """State of one home slot during one epoch.

    Parameters
    ----------
    slot : str
        Name of the slot.
    epoch : int
        Epoch of the slot's lease, by which one daemon holds the slot.
    quota : callable
        Returns the current `HomeQuota` of a customer, or None if it has no service.
    now : float
        Loop time in seconds at which the lease was confirmed.
    first : bool
        Whether the slot had no earlier lease, so that nothing can be outstanding.
    """

    def __init__(
        self,
        slot: str,
        epoch: int,
        quota: Callable[[str], HomeQuota | None],
        now: float,
        first: bool = False,
    ) -> None:
        self.slot = slot
        self.epoch = epoch
        self._find_quota = quota
        self._is_first_lease = first
        # Loans of the previous lease may be spent until then.
        self._lends_from = now if first else now + LOAN_DURATION_S + LOAN_MARGIN_S
        self._accounts: dict[str, _Account] = {}
        self._sequences: dict[tuple[str, str], int] = {}

    def handle(self, request: QuotaRequest, now: float) -> QuotaGrant:
        """Apply the reports of a request, and lend what it requests as far as the level allows.

        Requests for another epoch, and repeated or reordered ones, are refused.
        """
        key = (request.borrower, request.incarnation)
        if request.epoch != self.epoch or request.sequence <= self._sequences.get(key, 0):
            return QuotaGrant(self.epoch, False, LOAN_DURATION_S)
        self._sequences[key] = request.sequence
        lines = [self._update_loan(request, line, now) for line in request.lines]
        return QuotaGrant(self.epoch, True, LOAN_DURATION_S, now, lines)

    def find_borrowers(self) -> set[str]:
        """Return the names of all borrowers with recorded requests."""
        return {name for name, _ in self._sequences}

    def find_contested(self) -> set[str]:
        """Return the borrowers with requests from more than one incarnation."""
        names = [name for name, _ in self._sequences]
        return {name for name in names if names.count(name) > 1}

    def confirm_incarnation(self, borrower: str, incarnation: str) -> None:
        """Close the loans of a borrower's other incarnations.

        This incarnation is confirmed to be running after the others sent their requests. Only one
        daemon runs on a VM at a time, so the calls of the others have ended and their permits are
        free again.
        """
        for key in [key for key in self._sequences if key[0] == borrower]:
            if key[1] != incarnation:
                del self._sequences[key]
                for account in self._accounts.values():
                    _close(account, key)

    def find_account(self, customer: str, now: float) -> _Account | None:
        """Return a customer's account after closing its expired loans, or None."""
        account = self._accounts.get(customer)
        if account is not None:
            self._advance(account, now)
        return account

    def _update_loan(self, request: QuotaRequest, line: LoanRequest, now: float) -> LoanGrant:
        account = self._open_account(line.customer, now)
        if account is None:
            return LoanGrant(line.customer, known=False)
        self._advance(account, now)
        key = (request.borrower, request.incarnation)
        loan = account.loans.get(key)
        if loan is None or loan.number != line.loan:
            if line.acknowledged:
                return LoanGrant(line.customer, known=False)
            _close(account, key)
            loan = account.loans[key] = _Loan(line.loan)
        response_arrived = line.acknowledged == loan.sequence
        loan.sequence = request.sequence
        loan.expires = now + LOAN_DURATION_S + LOAN_MARGIN_S
        requests = _update_resource(
            account.requests, loan.requests, line.requests, response_arrived
        )
        tokens = _update_resource(account.tokens, loan.tokens, line.tokens, response_arrived)
        permits = self._lend_permits(account, loan, line, now)
        return LoanGrant(
            line.customer,
            requests or 0,
            tokens or 0,
            permits,
            account.requests.seconds_until(line.requests.requested - requests) or 0,
            account.tokens.seconds_until(line.tokens.requested - tokens) or 0,
        )

    def _lend_permits(self, account: _Account, loan: _Loan, line: LoanRequest, now: float) -> int:
        loan.permits = line.permits_held
        # An idle permit may be used until the loan ends, and its call may then run for the longest
        # time of use.
        loan.used_until = loan.expires + line.max_use_seconds
        if now < account.lends_from:
            return 0
        free = account.permits - sum(other.permits for other in account.loans.values())
        lent = max(0, min(free, line.permits_requested))
        loan.permits += lent
        return lent

    def _open_account(self, customer: str, now: float) -> _Account | None:
        quota = self._find_quota(customer)
        account = self._accounts.get(customer)
        if quota is None:
            return None
        if account is None:
            account = self._accounts[customer] = self._create_account(quota, now)
        requests, tokens = account.requests, account.tokens
        if (requests.rate, requests.cap) != (quota.request_rate, quota.request_cap):
            requests.amend(quota.request_rate, quota.request_cap, now)
        if (tokens.rate, tokens.cap) != (quota.token_rate, quota.token_cap):
            tokens.amend(quota.token_rate, quota.token_cap, now)
        account.permits = quota.permits
        return account

    def _create_account(self, quota: HomeQuota, now: float) -> _Account:
        requests = Bucket(quota.request_rate, quota.request_cap, 0.0, now)
        tokens = Bucket(quota.token_rate, quota.token_cap, 0.0, now)
        account = _Account(requests, tokens, quota.permits, lends_from=self._lends_from)
        if self._is_first_lease:
            requests.level, tokens.level = requests.cap, tokens.cap
        elif now >= self._lends_from:
            elapsed = now - self._lends_from
            requests.level = min(requests.cap, elapsed * requests.rate)
            tokens.level = min(tokens.cap, elapsed * tokens.rate)
        else:
            account.initial_outstanding = (requests.cap, tokens.cap)
            requests.outstanding, tokens.outstanding = account.initial_outstanding
        return account

    def _advance(self, account: _Account, now: float) -> None:
        account.requests.refill(now)
        account.tokens.refill(now)
        if account.initial_outstanding != (0.0, 0.0) and now >= account.lends_from:
            account.requests.write_off(account.initial_outstanding[0])
            account.tokens.write_off(account.initial_outstanding[1])
            account.initial_outstanding = (0.0, 0.0)
        for key, loan in list(account.loans.items()):
            if now >= loan.expires:
                _expire(account, key, loan, now)


def _expire(account: _Account, key: tuple[str, str], loan: _Loan, now: float) -> None:
    for bucket, lent in _resource_pairs(account, loan):
        bucket.write_off(lent.held + lent.pending)
    if loan.permits and now < loan.used_until:
        # Calls may still be running although their daemon does not report.
        account.loans[key] = _Loan(-1, expires=loan.used_until, permits=loan.permits)
    else:
        del account.loans[key]


def _close(account: _Account, key: tuple[str, str]) -> None:
    loan = account.loans.pop(key, None)
    if loan is not None:
        for bucket, lent in _resource_pairs(account, loan):
            bucket.write_off(lent.held + lent.pending)


def _resource_pairs(account: _Account, loan: _Loan) -> Iterator[tuple[Bucket, _LentAmount]]:
    yield account.requests, loan.requests
    yield account.tokens, loan.tokens


def _update_resource(
    bucket: Bucket, lent: _LentAmount, request: ResourceRequest, response_arrived: bool
) -> float:
    if response_arrived:
        lent.held += lent.pending
    else:
        # The borrower stopped waiting for the response with this amount and drops a late one.
        bucket.restore(lent.pending)
    returned = min(max(0.0, request.returned - lent.returned), lent.held)
    bucket.restore(returned)
    held = min(request.held, lent.held - returned)
    bucket.write_off(lent.held - returned - held)
    if request.refunded > lent.refunded:
        bucket.refund(request.refunded - lent.refunded, request.refund_since)
    lent.held, lent.returned, lent.refunded = held, request.returned, request.refunded
    lent.pending = bucket.lend(request.requested, request.minimum)
    return lent.pending
