"""Borrower: the stock of one entry daemon and its asks to quota homes.

`take` admits from the stock without a message. `build_ask` collects what is to be said to one
home, `apply` takes its answer, `fail` notes that none came. The caller sends one ask to a slot at
a time and drops an answer that comes after `fail`.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from magnoliarouter.core.loans import Charge, Loan, Permits, draw_amount, refund_draws
from magnoliarouter.core.quota_lines import Ask, AskLine, Grant
from magnoliarouter.core.stock import (
    RETRY_FIRST_S,
    TICK_SECONDS,
    CustomerStock,
    Need,
    Source,
    Wants,
    describe_stock,
    find_lack,
    has_news,
    note_source,
    take_grant,
)

if TYPE_CHECKING:
    from collections.abc import Sequence

__all__ = ["TICK_SECONDS", "Borrower", "Need", "Shortage"]

LONGEST_PACE_S = 3.0
SHORT_MEMORY_S = 5.0
DOWN_FIRST_S = 0.5
DOWN_LAST_S = 4.0


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
        self._customers: dict[str, CustomerStock] = {}
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
        known = self._customers.setdefault(name, CustomerStock(name, tuple(order)))
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
        short = customer.find_shortage(need, now)
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
        refund_draws(charge.tokens, "tokens", charge.estimate - tokens)
        if tokens > charge.estimate:
            customer.tokens.owe(tokens - charge.estimate)
        if not ran:
            refund_draws(charge.requests, "requests", 1.0)

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
            loan = customer.find_loan(ask.slot, ask.epoch)
            if loan is None or loan.number != line.loan:
                continue
            if not granted.known:
                customer.close(loan)
                customer.sources[ask.slot].due = now + RETRY_FIRST_S
                continue
            loan.acked, loan.stamp, loan.expires = ask.sequence, grant.stamp, expires
            take_grant(loan, customer.permits[ask.slot], granted)
            customer.pay_debt()
            if note_source(customer.sources[ask.slot], line, granted, now):
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

    def give_back_all(self) -> None:
        """Return everything that is not in use; the next asks tell the homes."""
        for name in self._active:
            self._customers[name].give_back_all()

    def stock(self, name: str, now: float) -> tuple[float, float, int]:
        """Return the requests, tokens and idle permits that can be spent now."""
        return self._customers[name].count(now)

    def _rest(self, customer: CustomerStock, now: float) -> None:
        """Stop looking at a customer that has no demand and holds nothing."""
        if customer.loans or customer.waiting or customer.keeps_stock(now):
            return
        if not any(permits.used for permits in customer.permits.values()):
            self._active.discard(customer.name)

    def _explain(self, customer: CustomerStock, short: str, need: Need, now: float) -> Shortage:
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

    def _choose_slot(self, customer: CustomerStock, now: float) -> str:
        """Return the slot that a customer's next ask goes to, or nothing if none is due."""
        for slot in customer.order:
            if not self._is_up(slot, now):
                continue
            source = customer.sources.setdefault(slot, Source())
            if now >= source.due:
                return slot
            if customer.pooled and not customer.holds(slot):
                # Whoever holds the first home's amount gathers the others'.
                return ""
        return ""

    def _build_lines(
        self,
        customers: list[CustomerStock],
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
        customer: CustomerStock,
        slot: str,
        epoch: int,
        sequence: int,
        now: float,
        along: bool,
    ) -> AskLine | None:
        customer.live(now)
        loan = customer.find_loan(slot, epoch)
        wants = self._plan_wants(customer, slot, now)
        permits = customer.permits.setdefault(slot, Permits())
        if loan is not None and not wants:
            customer.return_surplus(loan, permits, now)
        report_after = 0.0 if along else customer.report_age(now)
        if not wants and not has_news(loan, permits, now, report_after):
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
            describe_stock(loan.requests, wants.requests, wants.requests if first else 0.0),
            describe_stock(loan.tokens, wants.tokens, wants.tokens if first else 0.0),
            permits.held,
            permits.used,
            wants.permits,
            self._use_seconds,
        )

    def _plan_wants(self, customer: CustomerStock, slot: str, now: float) -> Wants:
        if customer.asking or self._choose_slot(customer, now) != slot:
            return Wants()
        requests, tokens, permits = customer.count(now)
        targets = customer.plan_stock(now)
        waiting = len(customer.waiting)
        waiting_tokens = sum(need.tokens for need in customer.waiting)
        return Wants(
            find_lack(requests, waiting, targets.requests, targets.low_requests),
            find_lack(tokens, waiting_tokens, targets.tokens, targets.low_tokens),
            int(find_lack(permits, waiting, round(targets.requests), targets.low_requests / 2)),
        )
