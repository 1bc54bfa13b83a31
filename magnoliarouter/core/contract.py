"""Customer contracts and the limits that they define."""

from __future__ import annotations

from dataclasses import dataclass, field

__all__ = ["Contract", "Limits", "effective_limits"]

NO_SERVICE_STANDING = "suspended"


@dataclass(frozen=True, slots=True)
class Limits:
    """Limits that apply to a customer while one standing is in force.

    Parameters
    ----------
    requests_per_second : float
        Sustained request rate, summed over all daemons.
    tokens_per_second : float
        Sustained rate of prompt and generated tokens, summed over all daemons.
    burst_seconds : float
        Burst size, in seconds of either rate.
    concurrent_requests : int
        Maximum number of requests in progress, summed over all daemons.
    tokens_per_request : int
        Maximum number of prompt plus generated tokens of one request.
    models : tuple of str
        Models that may be called; ``"*"`` allows all.
    services : tuple of str
        Non-model services that may be called; ``"*"`` allows all.
    priority : int
        Priority passed to engines; 0 is the highest.
    weight : float
        Fair-queueing weight relative to other customers of the same standing.
    """

    requests_per_second: float
    tokens_per_second: float
    burst_seconds: float = 2.0
    concurrent_requests: int = 16
    tokens_per_request: int = 8192
    models: tuple[str, ...] = ("*",)
    services: tuple[str, ...] = ("*",)
    priority: int = 0
    weight: float = 1.0

    @property
    def request_burst(self) -> float:
        """Largest number of requests that may be admitted at once."""
        return self.requests_per_second * self.burst_seconds

    @property
    def token_burst(self) -> float:
        """Largest number of tokens that may be admitted at once."""
        return self.tokens_per_second * self.burst_seconds


@dataclass(frozen=True, slots=True)
class Contract:
    """Contract with one customer.

    Parameters
    ----------
    customer : str
        Name of the customer, unique among all contracts.
    key_hashes : tuple of str
        Hexadecimal SHA-256 digests of the customer's API keys.
    standing : str
        Name of the limits in force, such as ``"current"``, ``"late"`` or ``"suspended"``.
    limits : dict of str to Limits
        Limits for each standing.
    """

    customer: str
    key_hashes: tuple[str, ...]
    standing: str
    limits: dict[str, Limits] = field(default_factory=dict)


def effective_limits(contract: Contract) -> Limits | None:
    """Return the limits in force for a contract.

    Parameters
    ----------
    contract : Contract
        Validated contract.

    Returns
    -------
    Limits or None
        None if the standing grants no service.

    Examples
    --------
    >>> contract = Contract("grower", (), "late", {"late": Limits(1.0, 100.0)})
    >>> effective_limits(contract).requests_per_second
    1.0
    """
    return contract.limits.get(contract.standing)
