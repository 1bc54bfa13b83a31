"""Parsed requests as they pass through the pipeline."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from magnoliarouter.core.contract import Contract, Limits

__all__ = ["ApplicationCall", "Call", "ModelCall"]


@dataclass(frozen=True, slots=True)
class ModelCall:
    """Request to a model engine.

    Parameters
    ----------
    model : str
        Model to run.
    stream : bool
        Whether the caller requests a stream of tokens.
    prefix : str
        Start of the prompt, used for placement.
    prompt_tokens : int
        Estimated number of tokens in the prompt.
    token_estimate : int
        Estimated prompt tokens plus the maximum number of generated tokens.
    """

    model: str
    stream: bool
    prefix: str
    prompt_tokens: int
    token_estimate: int


@dataclass(frozen=True, slots=True)
class ApplicationCall:
    """Request to an application service.

    Parameters
    ----------
    service : str
        Service to call.
    idempotency_key : str
        Idempotency key of the caller; empty if it sent none.
    repeatable : bool
        Whether the call may run more than once.
    """

    service: str
    idempotency_key: str
    repeatable: bool


@dataclass(frozen=True, slots=True)
class Call:
    """One request of an identified customer.

    Parameters
    ----------
    request_id : str
        Request id, sent by the caller or generated.
    contract : Contract
        The customer's contract.
    limits : Limits
        Limits in force.
    method, path, content_type : str
        Request line and body type sent to the endpoint.
    body : bytes
        Body sent to the endpoint.
    deadline : float
        Loop time in seconds after which the response is useless to the caller.
    work : ModelCall or ApplicationCall
        What is requested, which determines the kind of endpoint.
    headers : dict of str to str
        Other header fields of the caller, relayed to an application service.
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
