"""Loans as a borrowing daemon keeps them: stock of amounts and permits with an expiry."""

from __future__ import annotations

import math
from dataclasses import dataclass, field

__all__ = ["Charge", "Draw", "Loan", "Permits", "ResourceBalance", "draw_amount", "refund_draws"]


@dataclass(slots=True)
class ResourceBalance:
    """One resource of one loan.

    Parameters
    ----------
    held : float
        Amount lent and neither spent nor returned.
    returned, refunded : float
        Amounts returned unspent, and charged but not used, since the loan began.
    refund_since : float
        Smallest stamp known at a charge whose refund was sent but not confirmed.
    refund_unsent_since : float
        Smallest stamp known at a charge whose refund has not been sent.
    """

    held: float = 0.0
    returned: float = 0.0
    refunded: float = 0.0
    refund_since: float = math.inf
    refund_unsent_since: float = math.inf

    def return_unused(self, amount: float) -> float:
        """Return up to an amount of the stock, and return how much it was."""
        given = min(amount, self.held)
        self.held -= given
        self.returned += given
        return given

    def refund(self, amount: float, home_time: float) -> None:
        """Note an amount that was charged at a stamp but not used."""
        self.refunded += amount
        self.refund_unsent_since = min(self.refund_unsent_since, home_time)


@dataclass(slots=True)
class Loan:
    """Loan of one customer's amounts from one home.

    Parameters
    ----------
    slot : str
        Home slot.
    epoch : int
        Epoch of the home.
    number : int
        Sequence number of the ask that began the loan.
    acknowledged : int
        Sequence number of the last ask whose answer arrived.
    home_time : float
        Stamp of that answer.
    expires : float
        Loop time from which nothing of the loan may be spent.
    reported_at : float
        Loop time of the last ask that named the loan.
    changed : bool
        Whether something happened since that ask.
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
        """End the loan; nothing of it may be spent or refunded."""
        self.closed = True
        self.requests.held = self.tokens.held = 0.0


@dataclass(slots=True)
class Permits:
    """Permits for concurrent requests that one slot has lent: held, and in use among them."""

    held: int = 0
    used: int = 0

    @property
    def idle(self) -> int:
        """Permits that are not in use."""
        return self.held - self.used


@dataclass(frozen=True, slots=True)
class Draw:
    """Amount taken from one loan, and the home's stamp known then."""

    loan: Loan
    amount: float
    home_time: float


@dataclass(slots=True)
class Charge:
    """What one admitted call took.

    Parameters
    ----------
    customer : str
        Customer.
    admitted_at : float
        Loop time of the admission.
    estimated_tokens : float
        Tokens charged.
    requests, tokens : list of Draw
        Amounts by loan.
    permits : Permits
        Permits of the slot whose permit is in use.
    """

    customer: str
    admitted_at: float
    estimated_tokens: float
    requests: list[Draw]
    tokens: list[Draw]
    permits: Permits
    settled: bool = False


def draw_amount(loans: list[Loan], resource: str, amount: float) -> list[Draw]:
    """Take an amount of ``"requests"`` or ``"tokens"`` from loans in order.

    Parameters
    ----------
    loans : list of Loan
        Loans that together hold at least the amount.
    resource : {"requests", "tokens"}
        Resource to take.
    amount : float
        Amount to take.
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
    """Refund an amount to the loans that it was drawn from, the last draw first.

    Parameters
    ----------
    draws : list of Draw
        Draws of one charge; what was drawn from loans that have ended is lost.
    resource : {"requests", "tokens"}
        Resource that was drawn.
    amount : float
        Amount that was not used; nothing happens unless it is positive.
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
