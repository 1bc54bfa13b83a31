"""Two daemons share one customer's rate through a quota home."""

from __future__ import annotations

from magnoliarouter.core.borrowing import Borrower, Need
from magnoliarouter.core.loans import Charge
from magnoliarouter.core.quota import HomeTerms, QuotaHome

__all__ = ["exchange", "main", "serve"]

CUSTOMER = "grower"
SLOT = "quota.zone-1.0"
TERMS = HomeTerms(
    request_rate=10.0, request_cap=10.0, token_rate=1000.0, token_cap=1000.0, permits=100
)
NEED = Need(10.0)
TICK_S = 0.05


def exchange(borrower: Borrower, home: QuotaHome, now: float) -> None:
    """Carry a borrower's ask to the home and the answer back, if it has something to say."""
    ask = borrower.build_ask(SLOT, now)
    if ask is not None:
        borrower.apply(ask, home.answer(ask, now), now)


def serve(borrower: Borrower, now: float) -> int:
    """Admit one call if the stock allows, end it at once, and return 1 if it was admitted."""
    charge = borrower.take(CUSTOMER, NEED, now)
    borrower.note_demand(CUSTOMER, NEED, now)
    if not isinstance(charge, Charge):
        return 0
    borrower.settle(charge, NEED.tokens, now)
    return 1


def main() -> None:
    """Print whether both daemons together stayed within burst and rate over ten seconds."""
    home = QuotaHome(SLOT, 1, {CUSTOMER: TERMS}.get, now=0.0, first=True)
    borrowers = [Borrower(f"entry-{number}", "start-1", 60.0) for number in range(2)]
    for borrower in borrowers:
        borrower.set_customer(CUSTOMER, [SLOT], pooled=False)
        borrower.set_home(SLOT, 1)
    admitted, asked = 0, 0
    for tick in range(200):
        for borrower in borrowers:
            asked += 1
            admitted += serve(borrower, tick * TICK_S)
            exchange(borrower, home, tick * TICK_S)
    print("asked:", asked, "admitted:", admitted)
    print("within burst and rate:", admitted <= TERMS.request_cap + TERMS.request_rate * 10)


if __name__ == "__main__":
    main()
