"""One request on its way through the gateway, and the ports to the interface that it came by."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from magnoliarouter.gateway.routes import Route
    from magnoliarouter.web.upstream import HeaderFields

__all__ = ["ResponseHeaders", "GatewayCall", "HeaderCodec", "RequestHeaders"]


@dataclass(frozen=True, slots=True)
class RequestHeaders:
    """What a request's header fields say.

    Parameters
    ----------
    request_id : bytes
        Id of this request; a repeat by the caller has another one.
    host : str
        Host in lower case, without a port.
    timeout_s : float, optional
        How long the caller waits.
    key : str, optional
        Key of the customer.
    resume_after : bytes, optional
        Id of the last event that the caller has.
    prompt_tokens, output_tokens : int
        Size of the prompt, and the most tokens that may be generated; 0 if not said.
    expected_tokens : int
        The caller's estimate of the generated tokens; 0 if not said.
    forwarded : list of (bytes, bytes)
        Header fields that go on to the endpoint unchanged.
    """

    request_id: bytes
    host: str
    timeout_s: float | None
    key: str | None
    resume_after: bytes | None
    prompt_tokens: int
    output_tokens: int
    expected_tokens: int
    forwarded: HeaderFields


@dataclass(frozen=True, slots=True)
class ResponseHeaders:
    """What an endpoint's header fields say.

    Parameters
    ----------
    request_id : bytes, optional
        Id of the request that is answered.
    not_run : bool
        Whether the endpoint proves that the request did not run and will not.
    misdirected : bool
        Whether another endpoint has the address, or another version was asked for.
    signed : bool
        Whether the answer bears the endpoint's signature.
    stalled : bool
        Whether the endpoint refused because its group stands still, not for want of room.
    keep_alive_s : float, optional
        Idle time after which the endpoint closes the connection.
    forwarded : list of (bytes, bytes)
        Header fields that go on to the caller unchanged.
    """

    request_id: bytes | None
    not_run: bool
    misdirected: bool
    signed: bool
    stalled: bool
    keep_alive_s: float | None
    forwarded: HeaderFields


class HeaderCodec(Protocol):
    """Names and spelling of header fields on one interface."""

    def parse_request(self, fields: HeaderFields) -> RequestHeaders:
        """Return what a request's fields say.

        Raises
        ------
        ValueError
            A field is malformed; the message names it.
        """

    def build_attempt_fields(
        self,
        call: GatewayCall,
        identity: str,
        left_s: float,
        resume_after: bytes | None,
    ) -> HeaderFields:
        """Return the fields of a request to an endpoint."""

    def parse_response(self, status: int, fields: HeaderFields) -> ResponseHeaders:
        """Return what an endpoint's fields say."""


@dataclass(slots=True)
class GatewayCall:
    """Request that was admitted.

    Parameters
    ----------
    headers : RequestHeaders
        What its header fields said.
    method, target : bytes
        Request line.
    body : bytes
        Whole body.
    route : Route
        Route in force when it was admitted.
    service : str
        Service that it goes to.
    tenant : str, optional
        Customer that holds its key.
    urgency : int
        0 is the most urgent.
    admitted_at : float
        Loop time at which it came.
    deadline : float
        Loop time by which it must be answered.
    version : int
        Version of the configuration that admitted it.
    first_event_s : float, optional
        Seconds until the first event of a stream went to the caller.
    longest_event_gap_s : float
        Longest pause between two events that went to the caller.
    """

    headers: RequestHeaders
    method: bytes
    target: bytes
    body: bytes
    route: Route
    service: str
    tenant: str | None
    urgency: int
    admitted_at: float
    deadline: float
    version: int
    first_event_s: float | None = None
    longest_event_gap_s: float = 0.0
