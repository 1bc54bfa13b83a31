"""Two daemons share one customer's rate through the quota homes of one zone."""

from __future__ import annotations

from magnoliarouter.core.borrowing import Borrower, CallCost
from magnoliarouter.core.division import HomePart, divide_contract, divide_permits
from magnoliarouter.core.loans import Charge
from magnoliarouter.core.quota import HomeQuota, QuotaHome

__all__ = ["exchange", "main", "open_home", "serve"]

CUSTOMER = "grower"
RATE, BURST = 10.0, 20.0
TOKEN_RATE, TOKEN_BURST = 1000.0, 2000.0
PERMITS = 100
NEED = CallCost(10.0)
TICK_S = 0.05
SECONDS = 10.0


def open_home(part: HomePart, permits: int) -> QuotaHome:
    """Return the first holder of a slot, which owns the slot's part of the customer's amounts."""
    share = part.share
    terms = HomeQuota(share * RATE, share * BURST, share * TOKEN_RATE, share * TOKEN_BURST, permits)
    return QuotaHome(part.slot, 1, {CUSTOMER: terms}.get, now=0.0, first=True)


def exchange(borrower: Borrower, home: QuotaHome, now: float) -> None:
    """Carry a borrower's ask to the home and the answer back, if it has something to say."""
    ask = borrower.build_request(home.slot, now)
    if ask is not None:
        borrower.apply(ask, home.handle(ask, now), now)


def serve(borrower: Borrower, now: float) -> int:
    """Admit one call if the stock allows, end it at once, and return 1 if it was admitted."""
    charge = borrower.admit(CUSTOMER, NEED, now)
    borrower.record_demand(CUSTOMER, NEED, now)
    if not isinstance(charge, Charge):
        return 0
    borrower.settle(charge, NEED.tokens, now)
    return 1


def main() -> None:
    """Print whether both daemons together stayed within burst and rate over ten seconds."""
    parts = divide_contract(CUSTOMER, ["zone-1"])
    permits = divide_permits(PERMITS, parts)
    homes = [open_home(part, permits[part.slot]) for part in parts]
    borrowers = [Borrower(f"entry-{number}", "start-1", 60.0) for number in range(2)]
    for borrower in borrowers:
        borrower.set_customer(CUSTOMER, [home.slot for home in homes], pooled=False)
        for home in homes:
            borrower.set_home(home.slot, home.epoch)
    admitted, asked = 0, 0
    for tick in range(round(SECONDS / TICK_S)):
        for borrower in borrowers:
            asked += 1
            admitted += serve(borrower, tick * TICK_S)
            for home in homes:
                exchange(borrower, home, tick * TICK_S)
    print("shares:", *(part.share for part in parts))
    print("asked:", asked, "admitted:", admitted)
    print("within burst and rate:", admitted <= BURST + RATE * SECONDS)


if __name__ == "__main__":
    main()
