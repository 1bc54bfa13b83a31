"""Two daemons share one customer's rate through the quota homes of one zone.

A quota home owns a share of each customer's quota and lends from it to the daemons that admit calls.
"""

from __future__ import annotations

from magnoliarouter.core.borrowing import Borrower, CallCost
from magnoliarouter.core.division import HomePart, divide_contract, divide_permits
from magnoliarouter.core.loans import Charge
from magnoliarouter.core.quota import HomeQuota, QuotaHome

__all__ = ["admit_call", "main", "open_home", "request_quota"]

CUSTOMER = "grower"
REQUESTS_PER_S, BURST_REQUESTS = 10.0, 20.0
TOKENS_PER_S, BURST_TOKENS = 1000.0, 2000.0
CONCURRENCY_PERMITS = 100
CALL_COST = CallCost(10.0)
TICK_S = 0.05
DURATION_S = 10.0


def open_home(part: HomePart, permits: int) -> QuotaHome:
    """Return the first quota home of a slot, which owns the slot's share of the customer's quota."""
    share = part.share
    quota = HomeQuota(
        share * REQUESTS_PER_S,
        share * BURST_REQUESTS,
        share * TOKENS_PER_S,
        share * BURST_TOKENS,
        permits,
    )
    return QuotaHome(part.slot, 1, {CUSTOMER: quota}.get, now=0.0, first=True)


def request_quota(borrower: Borrower, home: QuotaHome, now: float) -> None:
    """Send a borrower's request to the home, if it has one, and apply the grant."""
    request = borrower.build_request(home.slot, now)
    if request is not None:
        borrower.apply(request, home.handle(request, now), now)


def admit_call(borrower: Borrower, now: float) -> int:
    """Admit one call if the balance allows, complete it at once, and return 1 if it was admitted."""
    charge = borrower.admit(CUSTOMER, CALL_COST, now)
    borrower.record_demand(CUSTOMER, CALL_COST, now)
    if not isinstance(charge, Charge):
        return 0
    borrower.settle(charge, CALL_COST.tokens, now)
    return 1


def main() -> None:
    """Print whether both daemons together stayed within burst and rate over ten seconds."""
    parts = divide_contract(CUSTOMER, ["zone-1"])
    permits = divide_permits(CONCURRENCY_PERMITS, parts)
    homes = [open_home(part, permits[part.slot]) for part in parts]
    borrowers = [Borrower(f"entry-{number}", "start-1", 60.0) for number in range(2)]
    for borrower in borrowers:
        borrower.set_customer(CUSTOMER, [home.slot for home in homes], pooled=False)
        for home in homes:
            borrower.set_home(home.slot, home.epoch)
    admitted, attempted = 0, 0
    for tick in range(round(DURATION_S / TICK_S)):
        for borrower in borrowers:
            attempted += 1
            admitted += admit_call(borrower, tick * TICK_S)
            for home in homes:
                request_quota(borrower, home, tick * TICK_S)
    print("shares:", *(part.share for part in parts))
    print("asked:", attempted, "admitted:", admitted)
    print("within burst and rate:", admitted <= BURST_REQUESTS + REQUESTS_PER_S * DURATION_S)


if __name__ == "__main__":
    main()
