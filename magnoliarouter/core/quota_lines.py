"""Messages between borrowers and quota homes, as the state machines on both sides use them."""

from __future__ import annotations

import msgspec

__all__ = ["QuotaRequest", "LoanRequest", "QuotaGrant", "LoanGrant", "ResourceRequest"]


class ResourceRequest(msgspec.Struct, array_like=True, frozen=True):
    """State of one resource of a loan, and what is asked for.

    Parameters
    ----------
    held : float
        Amount lent earlier and neither spent nor returned.
    requested : float
        Further amount wanted.
    minimum : float
        Smallest amount of use; a home that cannot lend as much lends nothing.
    returned : float
        Amount returned unspent since the loan began.
    refunded : float
        Amount charged but not used since the loan began.
    refund_since : float
        Smallest `QuotaGrant.home_time` known at any charge whose refund the home has not confirmed.
    """

    held: float = 0.0
    requested: float = 0.0
    minimum: float = 0.0
    returned: float = 0.0
    refunded: float = 0.0
    refund_since: float = 0.0


class LoanRequest(msgspec.Struct, array_like=True, frozen=True):
    """One customer's loan from one home, as the borrower knows it.

    Parameters
    ----------
    customer : str
        Customer.
    loan : int
        Sequence number of the ask that began the loan.
    acknowledged : int
        Sequence number of the last ask on this loan whose answer arrived; 0 for none.
    requests, tokens : ResourceRequest
        Amounts.
    permits_held, permits_used, permits_requested : int
        Permits for concurrent requests: lent, in use among them, and wanted besides.
    max_use_seconds : float
        Longest time for which a permit may stay in use.
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
    """Ask of one daemon to the home that holds a slot.

    Parameters
    ----------
    borrower, incarnation : str
        Daemon and the id of its present start.
    slot : str
        Home slot.
    epoch : int
        Epoch of the slot that the loans are from.
    sequence : int
        Grows with each ask of this incarnation to this slot; one ask is on its way at a time.
    lines : list of LoanRequest
        Loans that something is to be said about.
    """

    borrower: str
    incarnation: str
    slot: str
    epoch: int
    sequence: int
    lines: list[LoanRequest]


class LoanGrant(msgspec.Struct, array_like=True, frozen=True):
    """Answer for one customer.

    Parameters
    ----------
    customer : str
        Customer.
    requests, tokens : float
        Amounts lent.
    permits : int
        Permits lent.
    request_wait, token_wait : float
        Seconds until the part of the ask that was not lent will be there.
    known : bool
        Whether the home knows the loan; if not, the borrower drops what it holds of it.
    """

    customer: str
    requests: float = 0.0
    tokens: float = 0.0
    permits: int = 0
    request_wait: float = 0.0
    token_wait: float = 0.0
    known: bool = True


class QuotaGrant(msgspec.Struct, array_like=True, frozen=True):
    """Answer to an `Ask`.

    Parameters
    ----------
    epoch : int
        Epoch of the home that answers.
    accepted : bool
        Whether it holds the slot and acted on the ask.
    loan_seconds : float
        Life of all loans named in the ask, from when the ask was sent.
    home_time : float
        Loop time of the home, meaningful to itself alone.
    lines : list of LoanGrant
        One for each line of the ask.
    """

    epoch: int
    accepted: bool
    loan_seconds: float
    home_time: float = 0.0
    lines: list[LoanGrant] = []
