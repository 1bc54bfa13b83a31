"""Call: what the pipeline knows of one request."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from magnoliarouter.core.contract import Contract, Limits

__all__ = ["ApplicationCall", "Call", "ModelCall"]


@dataclass(frozen=True, slots=True)
class ModelCall:
    """Work for a model engine.

    Parameters
    ----------
    model : str
        Model to run.
    stream : bool
        Whether the caller wants tokens as they come.
    prefix : str
        Start of the prompt, used for placement.
    prompt_tokens : int
        Estimate of the prompt's tokens.
    token_estimate : int
        Prompt tokens plus the most that may be generated.
    """

    model: str
    stream: bool
    prefix: str
    prompt_tokens: int
    token_estimate: int


@dataclass(frozen=True, slots=True)
class ApplicationCall:
    """Work for a plain service.

    Parameters
    ----------
    service : str
        Service to call.
    idempotency_key : str
        The caller's key; empty if it gave none.
    repeatable : bool
        Whether the call may run more than once.
    """

    service: str
    idempotency_key: str
    repeatable: bool


@dataclass(frozen=True, slots=True)
class Call:
    """One request of a known customer.

    Parameters
    ----------
    request_id : str
        Id of the request, the caller's or a new one.
    contract : Contract
        The customer's contract.
    limits : Limits
        Limits in force.
    method, path, content_type : str
        Request line towards the endpoint and the body's type.
    body : bytes
        Body towards the endpoint.
    deadline : float
        Loop time after which the answer is of no use.
    work : ModelCall or ApplicationCall
        What kind of endpoint it needs.
    headers : dict of str to str
        Further header fields of the caller for a plain service.
    """

    request_id: str
    contract: Contract
    limits: Limits
    method: str
    path: str
    content_type: str
    body: bytes
    deadline: float
    work: ModelCall | ApplicationCall
    headers: dict[str, str] = field(default_factory=dict)
