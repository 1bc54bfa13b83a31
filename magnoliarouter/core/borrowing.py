"""Borrower: the stock of one entry daemon and its asks to quota homes.

`take` admits from the stock without a message. `build_ask` collects what is to be said to one
home, `apply` takes its answer, `fail` notes that none came. The caller sends one ask to a slot at
a time and drops an answer that comes after `fail`.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from magnoliarouter.core.demand import Demand
from magnoliarouter.core.loans import Charge, Loan, Permits, Stock, draw_amount
from magnoliarouter.core.quota import LOAN_SECONDS
from magnoliarouter.core.quota_lines import Ask, AskLine, Grant, GrantLine, ResourceAsk

if TYPE_CHECKING:
    from collections.abc import Sequence

__all__ = ["TICK_SECONDS", "Borrower", "Need", "Shortage"]

TICK_SECONDS = 0.4
HORIZON_SHARE = 0.45
REPORT_SHARE = 0.4
LONGEST_PACE_S = 3.0
CALM_FACTOR = 2
SHORT_MEMORY_S = 5.0
REFRESH_S = LOAN_SECONDS / 2
RETRY_LEAST_S = 0.1
RETRY_FIRST_S = 0.2
RETRY_LAST_S = 1.0
DOWN_FIRST_S = 0.5
DOWN_LAST_S = 4.0
FEW_CALLS = 2
TOLERANCE = 1e-9


@dataclass(frozen=True, slots=True)
class Need:
    """What one call takes: a request, a permit, and tokens."""

    tokens: float


@dataclass(frozen=True, slots=True)
class Shortage:
    """Why a call cannot be admitted now.

    Parameters
    ----------
    resource : {"requests", "tokens", "permits", "homes"}
        What is short; ``"homes"`` when no home can be reached.
    retry_after : float
        Seconds after which the resource is expected to suffice.
    waits : bool
        Whether an ask that may end the shortage is on its way or due.
    """

    resource: str
    retry_after: float
    waits: bool


@dataclass(slots=True)
class _Source:
    """One home as one customer's traffic sees it."""

    due: float = 0.0
    pause: float = RETRY_FIRST_S
    request_wait: float = 0.0
    token_wait: float = 0.0


@dataclass(slots=True)
class _Wants:
    requests: float = 0.0
    tokens: float = 0.0
    permits: int = 0

    def __bool__(self) -> bool:
        return self.requests > TOLERANCE or self.tokens > TOLERANCE or self.permits > 0


@dataclass(frozen=True, slots=True)
class _Targets:
    """Stock to fill up to, and the stock below which it is filled."""

    requests: float
    tokens: float
    low_requests: float
    low_tokens: float


NO_STOCK = _Targets(0.0, 0.0, 0.0, 0.0)


@dataclass(slots=True)
class _Customer:
    """Stock, demand and homes of one customer."""

    name: str
    order: tuple[str, ...]
    pooled: bool = False
    pace: float = 1.0
    spare: Need | None = None
    short_until: float = 0.0
    loans: list[Loan] = field(default_factory=list)
    permits: dict[str, Permits] = field(default_factory=dict)
    sources: dict[str, _Source] = field(default_factory=dict)
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

    def plan_stock(self, now: float) -> _Targets:
        """Return the stock to keep."""
        if not self.keeps_stock(now):
            return NO_STOCK
        requests, tokens = self.requests.rate(now), self.tokens.rate(now)
        ahead = HORIZON_SHARE * self.pace
        if self.spare is None:
            low = ahead / 2
            return _Targets(requests * ahead, tokens * ahead, requests * low, tokens * low)
        return _Targets(
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


@dataclass(slots=True)
class _Link:
    """State of the asks to one slot."""

    sequence: int = 0
    epoch: int = 0
    sent: float = 0.0
    flying: Ask | None = None
    failures: int = 0
    down_until: float = 0.0

    def is_up(self, now: float) -> bool:
        """Return whether a customer may count on an ask to this slot."""
        return now >= self.down_until and not (self.failures and self.flying)


class Borrower:
    """Stock of one daemon.

    Parameters
    ----------
    name, incarnation : str
        Daemon and the id of its present start.
    use_seconds : float
        Longest time for which an admitted call may run, in seconds.
    """

    def __init__(self, name: str, incarnation: str, use_seconds: float) -> None:
        self.name = name
        self.incarnation = incarnation
        self._use_seconds = use_seconds
        self._customers: dict[str, _Customer] = {}
        self._links: dict[str, _Link] = {}
        self._active: set[str] = set()

    def set_customer(
        self,
        name: str,
        order: Sequence[str],
        pooled: bool,
        burst_seconds: float = 1.0,
        spare: Need | None = None,
    ) -> None:
        """Set the homes of a customer in the order in which they are asked.

        Parameters
        ----------
        name : str
            Customer.
        order : sequence of str
            Home slots.
        pooled : bool
            Whether single homes own too little for a call, so that amounts are gathered from
            several; the order must then be the same in all daemons.
        burst_seconds : float
            Burst of the contract; with a longer one more is kept in stock and reported later.
        spare : Need, optional
            Call for which stock is kept beyond the demand, so that few calls wait for an ask;
            for customers whose burst is many times as large.
        """
        known = self._customers.setdefault(name, _Customer(name, tuple(order)))
        known.order, known.pooled = tuple(order), pooled
        known.pace = min(burst_seconds, LONGEST_PACE_S)
        known.spare = spare

    def set_home(self, slot: str, epoch: int) -> None:
        """Note the epoch of the home that holds a slot now."""
        link = self._links.setdefault(slot, _Link())
        if epoch > link.epoch:
            link.epoch = epoch
            link.down_until, link.failures = 0.0, 0

    def take(self, name: str, need: Need, now: float) -> Charge | Shortage:
        """Admit a call from the stock, or tell what is short."""
        customer = self._customers[name]
        loans = customer.live(now)
        short = self._find_shortage(customer, need, now)
        if short:
            return self._explain(customer, short, need, now)
        permits = next(
            customer.permits[loan.slot]
            for loan in loans
            if loan.acked and customer.permits[loan.slot].idle > 0
        )
        permits.used += 1
        requests = draw_amount(loans, "requests", 1.0)
        return Charge(
            name, now, need.tokens, requests, draw_amount(loans, "tokens", need.tokens), permits
        )

    def note_demand(self, name: str, need: Need, now: float) -> None:
        """Count an arriving call towards the amounts kept in stock."""
        customer = self._customers[name]
        self._active.add(name)
        customer.requests.add(1.0, now)
        customer.tokens.add(need.tokens, now)

    def settle(self, charge: Charge, tokens: float, now: float, ran: bool = True) -> None:
        """End a call: free its permit and refund what it did not use.

        Parameters
        ----------
        charge : Charge
            What the call took; a second settlement of it has no effect.
        tokens : float
            Tokens really used.
        now : float
            Loop time in seconds.
        ran : bool
            Whether it ran; if not, the request is refunded too.
        """
        if charge.settled:
            return
        charge.settled = True
        charge.permits.used -= 1
        customer = self._customers[charge.customer]
        customer.duration += 0.2 * (now - charge.started - customer.duration)
        unused = charge.estimate - tokens
        for draw in reversed(charge.tokens):
            amount = min(unused, draw.amount)
            if amount > 0 and not draw.loan.closed:
                draw.loan.tokens.refund(amount, draw.stamp)
                draw.loan.changed = True
            unused -= max(0.0, amount)
        if tokens > charge.estimate:
            customer.tokens.owe(tokens - charge.estimate)
        for draw in () if ran else charge.requests:
            if not draw.loan.closed:
                draw.loan.requests.refund(draw.amount, draw.stamp)
                draw.loan.changed = True

    def wait(self, name: str, need: Need) -> None:
        """Add a call that waits for stock."""
        self._customers[name].waiting.append(need)

    def stop_waiting(self, name: str, need: Need) -> None:
        """Remove a call that waited for stock."""
        self._customers[name].waiting.remove(need)

    def slots_wanted(self, now: float) -> set[str]:
        """Return the slots to ask now for calls that wait, or to report to for pooled ones."""
        found = set()
        for name in list(self._active):
            customer = self._customers[name]
            if customer.pooled:
                # Small parts accrue again only once their spending is reported.
                found.update(loan.slot for loan in customer.loans if loan.changed)
            if customer.waiting and not customer.asking:
                found.add(self._choose_slot(customer, now))
        return found - {""}

    def build_ask(self, slot: str, now: float) -> Ask | None:
        """Return the ask to send to a slot, or None if there is nothing to say.

        Parameters
        ----------
        slot : str
            Slot to ask.
        now : float
            Loop time in seconds, read before the ask is sent.
        """
        link = self._links.get(slot)
        if link is None or link.flying or now < link.down_until:
            return None
        sequence = link.sequence + 1
        concerned = [
            customer
            for customer in map(self._customers.__getitem__, list(self._active))
            if customer.concerns(slot, now)
        ]
        lines = self._build_lines(concerned, link, slot, sequence, now, along=False)
        if lines:
            # An ask that is sent anyway carries all that is new.
            said = {line.customer for line in lines}
            others = [customer for customer in concerned if customer.name not in said]
            lines += self._build_lines(others, link, slot, sequence, now, along=True)
        for name in list(self._active):
            self._rest(self._customers[name], now)
        if not lines:
            return None
        link.sequence, link.sent = sequence, now
        link.flying = Ask(self.name, self.incarnation, slot, link.epoch, sequence, lines)
        return link.flying

    def apply(self, ask: Ask, grant: Grant, now: float) -> None:
        """Take the answer to an ask."""
        link = self._links[ask.slot]
        if link.flying is not ask:
            return
        if not grant.granting:
            self.fail(ask, now)
            return
        link.flying, link.failures = None, 0
        expires = link.sent + grant.loan_seconds
        for line, granted in zip(ask.lines, grant.lines, strict=True):
            customer = self._customers[line.customer]
            if customer.asking == ask.slot:
                customer.asking = ""
            loan = self._find_loan(customer, ask.slot, ask.epoch)
            if loan is None or loan.number != line.loan:
                continue
            if not granted.known:
                customer.close(loan)
                continue
            loan.acked, loan.stamp, loan.expires = ask.sequence, grant.stamp, expires
            _take_grant(loan, customer.permits[ask.slot], granted)
            _pay_debt(customer)
            if _note_source(customer.sources[ask.slot], line, granted, now):
                customer.short_until = now + SHORT_MEMORY_S

    def fail(self, ask: Ask, now: float) -> None:
        """Note that no answer to an ask came in time, or that the slot was not held there."""
        link = self._links[ask.slot]
        if link.flying is not ask:
            return
        link.flying = None
        link.down_until = now + min(DOWN_LAST_S, DOWN_FIRST_S * 2**link.failures)
        link.failures = min(link.failures + 1, 8)
        for line in ask.lines:
            customer = self._customers[line.customer]
            if customer.asking == ask.slot:
                customer.asking = ""

    def stock(self, name: str, now: float) -> tuple[float, float, int]:
        """Return the requests, tokens and idle permits that can be spent now."""
        customer = self._customers[name]
        loans = customer.live(now)
        requests = sum(loan.requests.held for loan in loans)
        tokens = sum(loan.tokens.held for loan in loans) - customer.tokens.debt
        slots = {loan.slot for loan in loans if loan.acked}
        return requests, tokens, sum(customer.permits[slot].idle for slot in slots)

    def _rest(self, customer: _Customer, now: float) -> None:
        """Stop looking at a customer that has no demand and holds nothing."""
        if customer.loans or customer.waiting or customer.keeps_stock(now):
            return
        if not any(permits.used for permits in customer.permits.values()):
            self._active.discard(customer.name)

    def _find_shortage(self, customer: _Customer, need: Need, now: float) -> str:
        requests, tokens, permits = self.stock(customer.name, now)
        if permits < 1:
            return "permits"
        if requests < 1.0 - TOLERANCE:
            return "requests"
        if need.tokens > 0 and tokens < need.tokens - TOLERANCE:
            return "tokens"
        return ""

    def _explain(self, customer: _Customer, short: str, need: Need, now: float) -> Shortage:
        waits = bool(customer.asking or self._choose_slot(customer, now))
        reached = [slot for slot in customer.order if self._is_up(slot, now)]
        if not reached and not waits:
            return Shortage("homes", DOWN_FIRST_S, False)
        sources = [customer.sources[slot] for slot in reached if slot in customer.sources]
        match short:
            case "requests":
                wait = min((source.request_wait for source in sources), default=0.0)
            case "tokens":
                wait = min((source.token_wait for source in sources), default=0.0)
            case _:
                used = sum(permits.used for permits in customer.permits.values())
                wait = customer.duration / max(1, used)
        return Shortage(short, max(wait, TICK_SECONDS), waits)

    def _is_up(self, slot: str, now: float) -> bool:
        link = self._links.get(slot)
        return link is not None and link.is_up(now)

    def _choose_slot(self, customer: _Customer, now: float) -> str:
        """Return the slot that a customer's next ask goes to, or nothing if none is due."""
        for slot in customer.order:
            if not self._is_up(slot, now):
                continue
            source = customer.sources.setdefault(slot, _Source())
            if now >= source.due:
                return slot
            if customer.pooled and not self._holds(customer, slot):
                # Whoever holds the first home's amount gathers the others'.
                return ""
        return ""

    def _holds(self, customer: _Customer, slot: str) -> bool:
        return any(
            loan.slot == slot and (loan.requests.held > TOLERANCE or loan.tokens.held > TOLERANCE)
            for loan in customer.loans
        )

    def _build_lines(
        self,
        customers: list[_Customer],
        link: _Link,
        slot: str,
        sequence: int,
        now: float,
        along: bool,
    ) -> list[AskLine]:
        lines = (
            self._build_line(customer, slot, link.epoch, sequence, now, along)
            for customer in customers
        )
        return [line for line in lines if line is not None]

    def _build_line(
        self,
        customer: _Customer,
        slot: str,
        epoch: int,
        sequence: int,
        now: float,
        along: bool,
    ) -> AskLine | None:
        customer.live(now)
        loan = self._find_loan(customer, slot, epoch)
        wants = self._plan_wants(customer, slot, now)
        permits = customer.permits.setdefault(slot, Permits())
        if loan is not None and not wants:
            self._return_surplus(customer, loan, permits, now)
        report_after = 0.0 if along else customer.report_age(now)
        if not wants and not _has_news(loan, permits, now, report_after):
            return None
        if loan is None:
            loan = Loan(slot, epoch, sequence)
            customer.loans.append(loan)
        if wants and not self._links[slot].failures:
            customer.asking = slot
        loan.reported, loan.changed = now, False
        # Whoever gets a fair piece from the first home gathers the rest from the others.
        first = customer.pooled and slot == customer.order[0]
        return AskLine(
            customer.name,
            loan.number,
            loan.acked,
            _describe(loan.requests, wants.requests, wants.requests if first else 0.0),
            _describe(loan.tokens, wants.tokens, wants.tokens if first else 0.0),
            permits.held,
            permits.used,
            wants.permits,
            self._use_seconds,
        )

    def _plan_wants(self, customer: _Customer, slot: str, now: float) -> _Wants:
        if customer.asking or self._choose_slot(customer, now) != slot:
            return _Wants()
        requests, tokens, permits = self.stock(customer.name, now)
        targets = customer.plan_stock(now)
        waiting = len(customer.waiting)
        waiting_tokens = sum(need.tokens for need in customer.waiting)
        return _Wants(
            _lack(requests, waiting, targets.requests, targets.low_requests),
            _lack(tokens, waiting_tokens, targets.tokens, targets.low_tokens),
            int(_lack(permits, waiting, round(targets.requests), targets.low_requests / 2)),
        )

    def _return_surplus(
        self, customer: _Customer, loan: Loan, permits: Permits, now: float
    ) -> None:
        if customer.waiting or customer.asking:
            return
        requests, tokens, idle = self.stock(customer.name, now)
        targets = customer.plan_stock(now)
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

    def _find_loan(self, customer: _Customer, slot: str, epoch: int) -> Loan | None:
        for loan in customer.loans:
            if loan.slot == slot and loan.epoch == epoch and not loan.closed:
                return loan
        return None


def _lack(stock: float, waiting: float, target: float, low: float) -> float:
    """Return what is missing, once stock is low or less than what calls wait for."""
    if stock >= low and stock >= waiting:
        return 0.0
    return max(0.0, waiting + target - stock)


def _describe(stock: Stock, want: float, least: float) -> ResourceAsk:
    stock.refund_since = min(stock.refund_since, stock.refund_unsent)
    stock.refund_unsent = math.inf
    since = stock.refund_since if stock.refund_since < math.inf else 0.0
    # A whole zero takes one byte on the way, a real one nine.
    return ResourceAsk(
        stock.held or 0, want or 0, least or 0, stock.returned or 0, stock.refunded or 0, since or 0
    )


def _has_news(loan: Loan | None, permits: Permits, now: float, report_after: float) -> bool:
    if loan is None:
        # Permits in use are declared to the slot's new home at once.
        return permits.used > 0
    age = now - loan.reported
    holds = loan.requests.held > 0 or loan.tokens.held > 0 or permits.held > 0
    return (loan.changed and age >= report_after) or (holds and age >= REFRESH_S)


def _take_grant(loan: Loan, permits: Permits, granted: GrantLine) -> None:
    loan.requests.held += granted.requests
    loan.tokens.held += granted.tokens
    permits.held += granted.permits
    loan.requests.refund_since = loan.tokens.refund_since = math.inf


def _pay_debt(customer: _Customer) -> None:
    demand = customer.tokens
    if demand.debt > 0:
        draws = draw_amount(customer.loans, "tokens", demand.debt)
        demand.debt = max(0.0, demand.debt - sum(draw.amount for draw in draws))


def _note_source(source: _Source, line: AskLine, granted: GrantLine, now: float) -> bool:
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
