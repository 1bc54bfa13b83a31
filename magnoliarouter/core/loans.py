"""Borrower's side of quota loans: lent amounts and permits with an expiry time.

A loan is the part of one customer's quota that one quota home has lent to this daemon. Home times
are readings of the home's clock; the borrower only stores them and sends them back.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field

__all__ = ["Charge", "Draw", "Loan", "Permits", "ResourceBalance", "draw_amount", "refund_draws"]


@dataclass(slots=True)
class ResourceBalance:
    """Balance of one resource of one loan.

    Parameters
    ----------
    held : float
        Amount lent that is neither spent nor returned.
    returned, refunded : float
        Total amounts returned unspent, and charged but not used, since the loan started.
    refund_since : float
        Earliest home time of a charge whose refund was sent but not confirmed.
    refund_unsent_since : float
        Earliest home time of a charge whose refund has not been sent.
    """

    held: float = 0.0
    returned: float = 0.0
    refunded: float = 0.0
    refund_since: float = math.inf
    refund_unsent_since: float = math.inf

    def return_unused(self, amount: float) -> float:
        """Return up to `amount` to the home, and return the amount that was returned."""
        returned = min(amount, self.held)
        self.held -= returned
        self.returned += returned
        return returned

    def refund(self, amount: float, home_time: float) -> None:
        """Record an amount that was charged at a home time but not used."""
        self.refunded += amount
        self.refund_unsent_since = min(self.refund_unsent_since, home_time)


@dataclass(slots=True)
class Loan:
    """Loan to one customer from one home.

    Parameters
    ----------
    slot : str
        Home slot.
    epoch : int
        Epoch of the home that granted the loan.
    number : int
        Sequence number of the request that started the loan; identifies it.
    acknowledged : int
        Sequence number of the last request whose response arrived; 0 for none.
    home_time : float
        Home time of that response.
    expires : float
        Loop time in seconds from which nothing of the loan may be spent.
    reported_at : float
        Loop time in seconds of the last request that included the loan.
    changed : bool
        Whether the balance changed since that request.
    closed : bool
        Whether the loan has ended.
    """

    slot: str
    epoch: int
    number: int
    acknowledged: int = 0
    home_time: float = 0.0
    expires: float = 0.0
    requests: ResourceBalance = field(default_factory=ResourceBalance)
    tokens: ResourceBalance = field(default_factory=ResourceBalance)
    reported_at: float = -math.inf
    changed: bool = False
    closed: bool = False

    def close(self) -> None:
        """End the loan; nothing of it may be spent or refunded any more."""
        self.closed = True
        self.requests.held = self.tokens.held = 0.0


@dataclass(slots=True)
class Permits:
    """Permits for concurrent requests that one slot has lent.

    Parameters
    ----------
    held : int
        Permits lent.
    used : int
        Permits in use, a part of those held.
    """

    held: int = 0
    used: int = 0

    @property
    def idle(self) -> int:
        """Permits that are not in use."""
        return self.held - self.used


@dataclass(frozen=True, slots=True)
class Draw:
    """Amount drawn from one loan, and the home time that was known then."""

    loan: Loan
    amount: float
    home_time: float


@dataclass(slots=True)
class Charge:
    """Resources charged for one admitted call.

    Parameters
    ----------
    customer : str
        Customer.
    admitted_at : float
        Loop time of the admission in seconds.
    estimated_tokens : float
        Tokens charged.
    requests, tokens : list of Draw
        Amounts drawn from each loan.
    permits : Permits
        Permits of the slot that lent the permit in use.
    settled : bool
        Whether the call has ended and its charge is settled.
    """

    customer: str
    admitted_at: float
    estimated_tokens: float
    requests: list[Draw]
    tokens: list[Draw]
    permits: Permits
    settled: bool = False


def draw_amount(loans: list[Loan], resource: str, amount: float) -> list[Draw]:
    """Draw an amount of ``"requests"`` or ``"tokens"`` from loans in order.

    Parameters
    ----------
    loans : list of Loan
        Loans to draw from; if they hold less than the amount, all of it is drawn.
    resource : {"requests", "tokens"}
        Resource to draw.
    amount : float
        Amount to draw.
    """
    draws = []
    for loan in loans:
        balance: ResourceBalance = getattr(loan, resource)
        taken = min(balance.held, amount)
        if taken <= 0:
            continue
        balance.held -= taken
        amount -= taken
        loan.changed = True
        draws.append(Draw(loan, taken, loan.home_time))
    return draws


def refund_draws(draws: list[Draw], resource: str, amount: float) -> None:
    """Refund an amount to the loans that it was drawn from, latest draw first.

    Parameters
    ----------
    draws : list of Draw
        Draws of one charge. Amounts drawn from loans that have ended are lost.
    resource : {"requests", "tokens"}
        Resource that was drawn.
    amount : float
        Unused amount; values of 0 or less have no effect.
    """
    for draw in reversed(draws):
        part = min(amount, draw.amount)
        if part <= 0:
            return
        amount -= part
        if not draw.loan.closed:
            balance: ResourceBalance = getattr(draw.loan, resource)
            balance.refund(part, draw.home_time)
            draw.loan.changed = True
