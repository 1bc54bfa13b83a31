"""Messages between borrowers and quota homes, used by the state machines on both sides.

A borrower is a daemon that spends quota; a quota home is the daemon that holds a home slot and
lends the part of the quota that belongs to the slot.
"""

from __future__ import annotations

import msgspec

__all__ = ["LoanGrant", "LoanRequest", "QuotaGrant", "QuotaRequest", "ResourceRequest"]


class ResourceRequest(msgspec.Struct, array_like=True, frozen=True):
    """State of one resource of a loan, and the amount requested.

    Parameters
    ----------
    held : float
        Amount lent earlier that is neither spent nor returned.
    requested : float
        Further amount requested.
    minimum : float
        Amount below which the home lends nothing, unless it can lend `MIN_LEND_SHARE` of its cap.
    returned : float
        Amount returned unspent since the loan started.
    refunded : float
        Amount charged but not used since the loan started.
    refund_since : float
        Smallest `QuotaGrant.home_time` known at any charge whose refund is not confirmed.
    """

    held: float = 0.0
    requested: float = 0.0
    minimum: float = 0.0
    returned: float = 0.0
    refunded: float = 0.0
    refund_since: float = 0.0


class LoanRequest(msgspec.Struct, array_like=True, frozen=True):
    """State of one customer's loan from one home, as the borrower records it.

    Parameters
    ----------
    customer : str
        Customer.
    loan : int
        Sequence number of the request that started the loan; identifies it.
    acknowledged : int
        Sequence number of the last request for this loan whose response arrived; 0 for none.
    requests, tokens : ResourceRequest
        State and requested amount of each resource.
    permits_held, permits_used, permits_requested : int
        Permits for concurrent requests: lent, in use among those, and requested in addition.
    max_use_seconds : float
        Longest time in seconds for which a permit may stay in use.
    """

    customer: str
    loan: int
    acknowledged: int
    requests: ResourceRequest = ResourceRequest()
    tokens: ResourceRequest = ResourceRequest()
    permits_held: int = 0
    permits_used: int = 0
    permits_requested: int = 0
    max_use_seconds: float = 0.0


class QuotaRequest(msgspec.Struct, array_like=True, frozen=True):
    """Request of one daemon to the home that holds a slot.

    Parameters
    ----------
    borrower, incarnation : str
        Daemon and the id of its current start.
    slot : str
        Home slot.
    epoch : int
        Epoch of the slot that granted the loans.
    sequence : int
        Increases with each request of this incarnation to this slot; one request is in flight at
        a time.
    lines : list of LoanRequest
        Loans to report or to increase.
    """

    borrower: str
    incarnation: str
    slot: str
    epoch: int
    sequence: int
    lines: list[LoanRequest]


class LoanGrant(msgspec.Struct, array_like=True, frozen=True):
    """Part of a response for one customer.

    Parameters
    ----------
    customer : str
        Customer.
    requests, tokens : float
        Amounts lent.
    permits : int
        Permits lent.
    request_wait, token_wait : float
        Seconds until the part of the request that was not lent is available.
    known : bool
        Whether the home has a record of the loan; if not, the borrower ends the loan.
    """

    customer: str
    requests: float = 0.0
    tokens: float = 0.0
    permits: int = 0
    request_wait: float = 0.0
    token_wait: float = 0.0
    known: bool = True


class QuotaGrant(msgspec.Struct, array_like=True, frozen=True):
    """Response to a `QuotaRequest`.

    Parameters
    ----------
    epoch : int
        Epoch of the home that responds.
    accepted : bool
        Whether the receiver holds the slot and applied the request.
    loan_seconds : float
        Duration in seconds of all loans in the request, counted from when it was sent.
    home_time : float
        Loop time of the home in seconds; only the home can interpret it.
    lines : list of LoanGrant
        One for each line of the request, in the same order.
    """

    epoch: int
    accepted: bool
    loan_seconds: float
    home_time: float = 0.0
    lines: list[LoanGrant] = []
