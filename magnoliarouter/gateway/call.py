"""Admitted request, its parsed header fields, and the protocol of the header codec."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol

import xxhash

from magnoliarouter.core.crashes import REQUEST_PREFIX
from magnoliarouter.core.work import CallWork

if TYPE_CHECKING:
    from magnoliarouter.core.framing import Framing
    from magnoliarouter.gateway.routes import Route
    from magnoliarouter.web.upstream import HeaderFields

__all__ = [
    "ResponseHeaders",
    "GatewayCall",
    "HeaderCodec",
    "RequestHeaders",
    "fingerprint_request",
]

# No endpoint is expected to respond within a smaller share of the target latency.
MIN_RESPONSE_SHARE = 0.1


@dataclass(frozen=True, slots=True)
class RequestHeaders:
    """Parsed header fields of a request.

    Parameters
    ----------
    request_id : bytes
        Id of this request; a retry by the caller has a different one.
    host : str
        Host in lower case, without a port.
    timeout_s : float, optional
        Time in seconds that the caller waits for the response.
    key : str, optional
        API key of the customer.
    resume_after : bytes, optional
        Id of the last event that the caller received.
    prompt_tokens, output_tokens : int
        Size of the prompt, and the maximum number of generated tokens; 0 if not given.
    expected_tokens : int
        The caller's estimate of the generated tokens; 0 if not given.
    prompt_parts : tuple of str
        Ids of the parts of the prompt in order. The last one belongs to the request or to its
        session, other requests may share the rest.
    forwarded : list of (bytes, bytes)
        Header fields forwarded to the endpoint unchanged.
    """

    request_id: bytes
    host: str
    timeout_s: float | None
    key: str | None
    resume_after: bytes | None
    prompt_tokens: int
    output_tokens: int
    expected_tokens: int
    prompt_parts: tuple[str, ...]
    forwarded: HeaderFields


@dataclass(frozen=True, slots=True)
class ResponseHeaders:
    """Parsed header fields of an endpoint's response.

    Parameters
    ----------
    request_id : bytes, optional
        Id of the request that the response belongs to.
    not_run : bool
        Whether the endpoint proves that the request did not run and will not.
    misdirected : bool
        Whether another endpoint has the address, or another version was requested.
    signed : bool
        Whether the response carries the endpoint's signature.
    stalled : bool
        Whether the endpoint refused because its group is stalled, not for lack of free capacity.
    leaving : bool
        Whether the endpoint says that it is leaving.
    pause : bytes, optional
        Seconds for which the endpoint wants no requests from this daemon, as received.
    rate : bytes, optional
        Requests per second that the endpoint takes from all daemons together, as received.
    keep_alive_s : float, optional
        Idle time in seconds after which the endpoint closes the connection.
    forwarded : list of (bytes, bytes)
        Header fields forwarded to the caller unchanged.
    cold : bytes, optional
        Milliseconds for which the endpoint stays cold, as received.
    """

    request_id: bytes | None
    not_run: bool
    misdirected: bool
    signed: bool
    stalled: bool
    leaving: bool
    pause: bytes | None
    rate: bytes | None
    keep_alive_s: float | None
    forwarded: HeaderFields
    cold: bytes | None = None


class HeaderCodec(Protocol):
    """Parses and builds the header fields of one platform."""

    def parse_request(self, fields: HeaderFields) -> RequestHeaders:
        """Parse the header fields of a request.

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
        """Return the header fields of a request to an endpoint."""

    def parse_response(self, status: int, fields: HeaderFields) -> ResponseHeaders:
        """Parse the header fields of an endpoint's response."""


@dataclass(slots=True, eq=False)
class GatewayCall:
    """Admitted request.

    Parameters
    ----------
    headers : RequestHeaders
        Parsed header fields.
    method, target : bytes
        Method and target of the request line.
    body : bytes or bytearray
        Complete body.
    route : Route
        Route at the time of admission.
    service : str
        Service that the request is sent to.
    tenant : str, optional
        Customer that owns the key.
    urgency : int
        0 is the most urgent.
    admitted_at : float
        Loop time of admission.
    deadline : float
        Loop time by which the response must be complete.
    cut_short : bool
        Whether the deadline is earlier than the caller's and the route's, because this daemon stops.
    version : int
        Version of the configuration at the time of admission.
    first_event_s : float, optional
        Seconds from admission until the first event of a stream was relayed to the caller.
    longest_event_gap_s : float
        Longest gap in seconds between two events relayed to the caller.
    framing : Framing, optional
        What marks the end of the body of the last response.
    fingerprint : str
        Names the request as the same whenever its caller sends it again; empty if unknown.
    events, unfinished_bytes : int
        Events of the stream that were relayed to the caller, and size of the incomplete event with
        which the last response ended.
    """

    headers: RequestHeaders
    method: bytes
    target: bytes
    body: bytes | bytearray
    route: Route
    service: str
    tenant: str | None
    urgency: int
    admitted_at: float
    deadline: float
    version: int
    fingerprint: str = ""
    first_event_s: float | None = None
    longest_event_gap_s: float = 0.0
    framing: Framing | None = None
    events: int = 0
    unfinished_bytes: int = 0
    cut_short: bool = False

    def finish_by(self, at: float) -> None:
        """Move the deadline to a loop time, if that is earlier."""
        if at < self.deadline:
            self.deadline, self.cut_short = at, True

    @property
    def send_until(self) -> float:
        """Loop time until which a send leaves an endpoint time to respond."""
        return self.deadline - MIN_RESPONSE_SHARE * self.route.target_latency_s

    def estimate_work(self) -> CallWork:
        """Return the work that the call brings to its endpoint.

        The caller's estimate of the generated tokens counts up to the maximum that it asked for.
        """
        headers = self.headers
        output = min(headers.expected_tokens or headers.output_tokens, headers.output_tokens)
        return CallWork(headers.prompt_tokens, output)

    def list_parts(self) -> tuple[str, ...]:
        """Return the parts of the prompt and the fingerprint."""
        parts = self.headers.prompt_parts
        return (*parts, self.fingerprint) if self.fingerprint else parts

    def list_suspects(self) -> tuple[str, ...]:
        """Return the parts that may crash endpoints: all but the prompt's own last one."""
        parts = self.headers.prompt_parts[:-1]
        return (*parts, self.fingerprint) if self.fingerprint else parts


def fingerprint_request(method: bytes, target: bytes, key: str, body: bytes | bytearray) -> str:
    """Return a name that requests share if they are the same but for their id.

    Parameters
    ----------
    method, target : bytes
        Method and target of the request line.
    key : str
        API key of the caller; empty if it names none.
    body : bytes or bytearray
        Complete body.
    """
    digest = xxhash.xxh3_128()
    for field in (method, target, key.encode(), body):
        digest.update(len(field).to_bytes(8))
        digest.update(field)
    return REQUEST_PREFIX + digest.hexdigest()
