"""Stock of one customer in one daemon: what is held, what is kept, what is said to homes."""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from magnoliarouter.core.demand import Demand
from magnoliarouter.core.loans import Loan, Permits, Stock, draw_amount
from magnoliarouter.core.quota import LOAN_SECONDS
from magnoliarouter.core.quota_lines import ResourceAsk

if TYPE_CHECKING:
    from magnoliarouter.core.quota_lines import AskLine, GrantLine

__all__ = [
    "RETRY_FIRST_S",
    "TICK_SECONDS",
    "CustomerStock",
    "Need",
    "Source",
    "Wants",
    "describe_stock",
    "find_lack",
    "has_news",
    "note_source",
    "take_grant",
]

TICK_SECONDS = 0.4
HORIZON_SHARE = 0.35
REPORT_SHARE = 0.3
CALM_FACTOR = 1.5
REFRESH_S = LOAN_SECONDS / 2
RETRY_LEAST_S = 0.1
RETRY_FIRST_S = 0.2
RETRY_LAST_S = 1.0
FEW_CALLS = 2
TOLERANCE = 1e-9


@dataclass(frozen=True, slots=True)
class Need:
    """What one call takes: a request, a permit, and tokens."""

    tokens: float


@dataclass(slots=True)
class Source:
    """One home as one customer's traffic sees it."""

    due: float = 0.0
    pause: float = RETRY_FIRST_S
    request_wait: float = 0.0
    token_wait: float = 0.0


@dataclass(slots=True)
class Wants:
    """What is to be asked for."""

    requests: float = 0.0
    tokens: float = 0.0
    permits: int = 0

    def __bool__(self) -> bool:
        return self.requests > TOLERANCE or self.tokens > TOLERANCE or self.permits > 0


@dataclass(frozen=True, slots=True)
class Targets:
    """Stock to fill up to, and the stock below which it is filled."""

    requests: float
    tokens: float
    low_requests: float
    low_tokens: float


NO_STOCK = Targets(0.0, 0.0, 0.0, 0.0)


@dataclass(slots=True)
class CustomerStock:
    """Stock, demand and homes of one customer."""

    name: str
    order: tuple[str, ...]
    pooled: bool = False
    pace: float = 1.0
    spare: Need | None = None
    short_until: float = 0.0
    loans: list[Loan] = field(default_factory=list)
    permits: dict[str, Permits] = field(default_factory=dict)
    sources: dict[str, Source] = field(default_factory=dict)
    requests: Demand = field(default_factory=Demand)
    tokens: Demand = field(default_factory=Demand)
    duration: float = 0.0
    waiting: list[Need] = field(default_factory=list)
    asking: str = ""

    def concerns(self, slot: str, now: float) -> bool:
        """Return whether there may be something to say to a slot."""
        if slot not in self.order:
            return False
        if self.waiting or self.keeps_stock(now):
            return True
        permits = self.permits.get(slot)
        if permits is not None and permits.held:
            return True
        return any(loan.slot == slot for loan in self.loans)

    def live(self, now: float) -> list[Loan]:
        """Return the loans that may be spent from, after closing those that have expired."""
        for loan in self.loans:
            if now >= loan.expires and loan.acked and not loan.closed:
                self.close(loan)
        self.loans = [loan for loan in self.loans if not loan.closed]
        return self.loans

    def keeps_stock(self, now: float) -> bool:
        """Return whether stock is worth keeping: calls come often enough to use it up soon.

        To keep a small amount alive costs more messages than to ask when the next call comes.
        """
        return not self.pooled and self.requests.rate(now) * LOAN_SECONDS >= FEW_CALLS

    def report_age(self, now: float) -> float:
        """Return after how long spending is reported: later while no home is short."""
        if self.pooled:
            # Amounts gathered from several homes are missed by others sooner.
            return 0.0
        return REPORT_SHARE * self.pace * (1 if now < self.short_until else CALM_FACTOR)

    def plan_stock(self, now: float) -> Targets:
        """Return the stock to keep."""
        if not self.keeps_stock(now):
            return NO_STOCK
        requests, tokens = self.requests.rate(now), self.tokens.rate(now)
        ahead = HORIZON_SHARE * self.pace
        if self.spare is None:
            low = ahead / 2
            return Targets(requests * ahead, tokens * ahead, requests * low, tokens * low)
        return Targets(
            requests * ahead + 1,
            tokens * ahead + self.spare.tokens,
            requests * TICK_SECONDS + 1,
            tokens * TICK_SECONDS + self.spare.tokens,
        )

    def close(self, loan: Loan) -> None:
        """End a loan; permits in use stay in use."""
        loan.close()
        permits = self.permits.get(loan.slot)
        if permits is not None and not self._has_later(loan):
            permits.held = permits.used

    def _has_later(self, loan: Loan) -> bool:
        return any(
            other.slot == loan.slot and not other.closed and other.acked and other is not loan
            for other in self.loans
        )

    def count(self, now: float) -> tuple[float, float, int]:
        """Return the requests, tokens and idle permits that can be spent now."""
        loans = self.live(now)
        requests = sum(loan.requests.held for loan in loans)
        tokens = sum(loan.tokens.held for loan in loans) - self.tokens.debt
        slots = {loan.slot for loan in loans if loan.acked}
        return requests, tokens, sum(self.permits[slot].idle for slot in slots)

    def find_shortage(self, need: Need, now: float) -> str:
        """Return the resource that is short for a call, or nothing."""
        requests, tokens, permits = self.count(now)
        if permits < 1:
            return "permits"
        if requests < 1.0 - TOLERANCE:
            return "requests"
        if need.tokens > 0 and tokens < need.tokens - TOLERANCE:
            return "tokens"
        return ""

    def holds(self, slot: str) -> bool:
        """Return whether anything of a slot's amounts is in stock."""
        return any(
            loan.slot == slot and (loan.requests.held > TOLERANCE or loan.tokens.held > TOLERANCE)
            for loan in self.loans
        )

    def find_loan(self, slot: str, epoch: int) -> Loan | None:
        """Return the loan from a slot's home of an epoch."""
        for loan in self.loans:
            if loan.slot == slot and loan.epoch == epoch and not loan.closed:
                return loan
        return None

    def return_surplus(self, loan: Loan, permits: Permits, now: float) -> None:
        """Return what a loan holds beyond the stock to keep."""
        if self.waiting or self.asking:
            return
        requests, tokens, idle = self.count(now)
        targets = self.plan_stock(now)
        request_keep, token_keep = 2 * targets.requests, 2 * targets.tokens
        given = 0.0
        if requests > request_keep + TOLERANCE:
            given += loan.requests.give_back(requests - request_keep)
        if tokens > token_keep + TOLERANCE:
            given += loan.tokens.give_back(tokens - token_keep)
        spare = min(permits.idle, idle - round(request_keep))
        if spare > 0:
            permits.held -= spare
        loan.changed = loan.changed or given > 0 or spare > 0

    def give_back_all(self) -> None:
        """Return everything that is not in use, and keep no stock from now on."""
        self.requests, self.tokens = Demand(), Demand(debt=self.tokens.debt)
        for loan in self.loans:
            loan.requests.give_back(loan.requests.held)
            loan.tokens.give_back(loan.tokens.held)
            loan.changed, loan.reported = True, -math.inf
        for permits in self.permits.values():
            permits.held = permits.used

    def pay_debt(self) -> None:
        """Take tokens that were used beyond a charge from the stock."""
        if self.tokens.debt > 0:
            draws = draw_amount(self.loans, "tokens", self.tokens.debt)
            paid = sum(draw.amount for draw in draws)
            self.tokens.debt = max(0.0, self.tokens.debt - paid)


def find_lack(stock: float, waiting: float, target: float, low: float) -> float:
    """Return what is missing, once stock is low or less than what calls wait for."""
    if stock >= low and stock >= waiting:
        return 0.0
    return max(0.0, waiting + target - stock)


def describe_stock(stock: Stock, want: float, least: float) -> ResourceAsk:
    """Return what an ask says about one resource of a loan."""
    stock.refund_since = min(stock.refund_since, stock.refund_unsent)
    stock.refund_unsent = math.inf
    since = stock.refund_since if stock.refund_since < math.inf else 0.0
    # A whole zero takes one byte on the way, a real one nine.
    return ResourceAsk(
        stock.held or 0, want or 0, least or 0, stock.returned or 0, stock.refunded or 0, since or 0
    )


def has_news(loan: Loan | None, permits: Permits, now: float, report_after: float) -> bool:
    """Return whether a loan is to be named in an ask."""
    if loan is None:
        # Permits in use are declared to the slot's new home at once.
        return permits.used > 0
    age = now - loan.reported
    holds = loan.requests.held > 0 or loan.tokens.held > 0 or permits.held > 0
    return (loan.changed and age >= report_after) or (holds and age >= REFRESH_S)


def take_grant(loan: Loan, permits: Permits, granted: GrantLine) -> None:
    """Add what a home has lent."""
    loan.requests.held += granted.requests
    loan.tokens.held += granted.tokens
    permits.held += granted.permits
    loan.requests.refund_since = loan.tokens.refund_since = math.inf


def note_source(source: Source, line: AskLine, granted: GrantLine, now: float) -> bool:
    """Decide when a home is asked again, and return whether it was short."""
    source.request_wait, source.token_wait = granted.request_wait, granted.token_wait
    short = (
        granted.requests < line.requests.want - TOLERANCE
        or granted.tokens < line.tokens.want - TOLERANCE
        or granted.permits < line.permits_wanted
    )
    if not short:
        source.due, source.pause = now, RETRY_FIRST_S
        return False
    nothing = granted.requests <= 0 and granted.tokens <= 0 and granted.permits <= 0
    if nothing:
        source.pause = min(2 * source.pause, RETRY_LAST_S)
        wait = max(granted.request_wait, granted.token_wait)
        source.due = now + max(RETRY_LEAST_S, min(source.pause, wait))
    else:
        source.pause = RETRY_FIRST_S
        source.due = now + source.pause
    return True
