"""Quota home: owns part of every customer's amounts and lends from it.

For each customer and resource ``level + outstanding <= share * burst`` holds at all times, and the
level grows by ``share * rate``. What was lent leaves `outstanding` when it is reported spent,
returned, or can no longer be spent because its loan has expired. Hence all daemons together spend
at most ``share * (burst + rate * window)`` of this home's part in any window, whatever is lost,
repeated, delayed or restarted.
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

__all__ = ["LOAN_MARGIN_S", "LOAN_DURATION_S", "Bucket", "HomeQuota", "QuotaHome"]

LOAN_DURATION_S = 3.0
LOAN_MARGIN_S = 0.5
MAX_WAIT_S = 60.0
MIN_LEND_SHARE = 0.25
MAX_HEADROOM_ENTRIES = 256


@dataclass(frozen=True, slots=True)
class HomeQuota:
    """What a home owns of one customer's contract.

    Parameters
    ----------
    request_rate, request_cap : float
        Requests a second, and most requests that may be level or outstanding.
    token_rate, token_cap : float
        Tokens a second, and most tokens that may be level or outstanding.
    permits : int
        Concurrent requests.
    """

    request_rate: float
    request_cap: float
    token_rate: float
    token_cap: float
    permits: int


@dataclass(slots=True)
class Bucket:
    """Amount of one resource that a home owns.

    Parameters
    ----------
    rate, cap : float
        Refill a second and bound of level plus outstanding.
    level : float
        Amount that can be lent now.
    updated : float
        Loop time of the last refill.
    outstanding : float
        Amount lent and possibly still unspent.
    """

    rate: float
    cap: float
    level: float
    updated: float
    outstanding: float = 0.0
    _headroom: deque[list[float]] = field(default_factory=deque)
    _headroom_since: float = 0.0

    def refill(self, now: float) -> None:
        """Add what has accrued, as far as the cap allows."""
        elapsed = max(0.0, now - self.updated)
        self.updated = max(now, self.updated)
        free = max(0.0, self.cap - self.level - self.outstanding)
        self.level += min(self.rate * elapsed, free)
        self._record_headroom()

    def amend(self, rate: float, cap: float, now: float) -> None:
        """Apply amended terms."""
        self.refill(now)
        self.rate, self.cap = rate, cap
        self.level = max(0.0, min(self.level, cap - self.outstanding))
        self._record_headroom()

    def lend(self, requested: float, minimum: float) -> float:
        """Move up to `requested` from the level to outstanding.

        Nothing moves if less than `minimum` is there, or than a fair piece of the cap if that is less.
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

        The level becomes what it would be had the amount never been charged: no more than the
        smallest headroom below the cap since the charge.
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
        """Return the seconds until the level reaches an amount."""
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
    """One resource of one loan: outstanding amount and counters last reported."""

    held: float = 0.0
    pending: float = 0.0
    returned: float = 0.0
    refunded: float = 0.0


@dataclass(slots=True)
class _Loan:
    """Loan of one customer's amounts to one daemon."""

    number: int
    sequence: int = 0
    expires: float = 0.0
    requests: _LentAmount = field(default_factory=_LentAmount)
    tokens: _LentAmount = field(default_factory=_LentAmount)
    permits: int = 0
    used_until: float = 0.0


@dataclass(slots=True)
class _Account:
    """What a home owns of one customer, and its loans by borrower and incarnation."""

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
        Epoch of this tenure.
    quota : callable
        Returns the `HomeQuota` of a customer now, or None if it has no service.
    now : float
        Loop time at which the tenure was confirmed.
    first : bool
        Whether no tenure came before, so that nothing can be outstanding.
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
        self._first = first
        # Loans of the tenure before may be spent until then.
        self._lends_from = now if first else now + LOAN_DURATION_S + LOAN_MARGIN_S
        self._accounts: dict[str, _Account] = {}
        self._sequences: dict[tuple[str, str], int] = {}

    def handle(self, request: QuotaRequest, now: float) -> QuotaGrant:
        """Settle what an ask reports and lend what it wants, as far as the level allows."""
        key = (request.borrower, request.incarnation)
        if request.epoch != self.epoch or request.sequence <= self._sequences.get(key, 0):
            return QuotaGrant(self.epoch, False, LOAN_DURATION_S)
        self._sequences[key] = request.sequence
        lines = [self._update_loan(request, line, now) for line in request.lines]
        return QuotaGrant(self.epoch, True, LOAN_DURATION_S, now, lines)

    def find_borrowers(self) -> set[str]:
        """Return the names of all borrowers that are known."""
        return {name for name, _ in self._sequences}

    def find_contested(self) -> set[str]:
        """Return the borrowers that are known by more than one incarnation."""
        names = [name for name, _ in self._sequences]
        return {name for name in names if names.count(name) > 1}

    def confirm_incarnation(self, borrower: str, incarnation: str) -> None:
        """Forget all other incarnations of a borrower, for this one was alive after they asked.

        One daemon runs on a VM at a time, so the calls of the others have ended, and their
        permits are free again.
        """
        for key in [key for key in self._sequences if key[0] == borrower]:
            if key[1] != incarnation:
                del self._sequences[key]
                for account in self._accounts.values():
                    _close(account, key)

    def find_account(self, customer: str, now: float) -> _Account | None:
        """Return a customer's account with all expired loans closed."""
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
        # An idle permit may be put to use until the loan ends, and then stays in use as long.
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
        if self._first:
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
        # Requests may go on although their daemon is not heard.
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
        # The borrower has given up on the answer that carried this amount.
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
