"""First pipeline stage: turns an HTTP request into a `Call` of a known customer, or refuses it."""

from __future__ import annotations

import hashlib
import re
import uuid
from typing import TYPE_CHECKING, Annotated

import msgspec
from msgspec import Meta

from magnoliarouter.core.contract import effective_limits
from magnoliarouter.core.outcome import NotRun, ResultCode
from magnoliarouter.endpoints.messages import (
    DEADLINE_HEADER,
    REQUEST_HEADER,
    select_relayed_headers,
)
from magnoliarouter.pipeline.call import ApplicationCall, Call, ModelCall

if TYPE_CHECKING:
    from collections.abc import Mapping

    from magnoliarouter.core.contract import Contract, Limits
    from magnoliarouter.store.objects import ServiceSpec
    from magnoliarouter.web.server import HttpRequest

__all__ = ["hash_key", "identify"]

BYTES_PER_TOKEN = 4
PREFIX_CHARACTERS = 256
DEFAULT_MAX_TOKENS = 256
MODEL_PATHS = ("/v1/chat/completions", "/v1/completions")
MAX_DEADLINE_MS = 86_400_000
DEADLINE_PATTERN = re.compile(r"^[0-9]{1,8}$")
REQUEST_ID_PATTERN = re.compile(r"^[A-Za-z0-9._-]{1,64}$")


class _Message(msgspec.Struct):
    role: str
    content: str


class _ModelBody(msgspec.Struct):
    model: str
    prompt: str | None = None
    messages: list[_Message] | None = None
    stream: bool = False
    max_tokens: Annotated[int, Meta(ge=1)] = DEFAULT_MAX_TOKENS


def hash_key(key: str) -> str:
    """Return the digest under which a customer's key is stored."""
    return hashlib.sha256(key.encode()).hexdigest()


def identify(
    request: HttpRequest,
    contracts: Mapping[str, Contract],
    services: Mapping[str, ServiceSpec],
    now: float,
    request_seconds: float,
) -> Call | NotRun:
    """Identify the customer of a request and parse what it requests.

    Parameters
    ----------
    request : HttpRequest
        Request to ``/v1/...`` or ``/services/...``.
    contracts : mapping of str to Contract
        Contracts by key digest.
    services : mapping of str to ServiceSpec
        Services by name.
    now : float
        Loop time in seconds.
    request_seconds : float
        Longest duration of the request in seconds; the caller may set a shorter one, in
        milliseconds, with the header ``x-deadline-ms``.

    Returns
    -------
    Call or NotRun
        The call, or the reason for refusing the request.
    """
    contract = _find_contract(request, contracts)
    if isinstance(contract, NotRun):
        return contract
    limits = effective_limits(contract)
    if limits is None:
        return NotRun(ResultCode.SUSPENDED, f"standing is {contract.standing!r}")
    work = _parse_work(request, limits, services)
    if isinstance(work, NotRun):
        return work
    seconds = _parse_deadline(request, request_seconds)
    if isinstance(seconds, NotRun):
        return seconds
    return Call(
        request_id=_request_id(request),
        contract=contract,
        limits=limits,
        method=request.method,
        path=request.target,
        content_type=request.headers.get("content-type", "application/json"),
        body=request.body,
        deadline=now + seconds,
        work=work,
        headers=(
            select_relayed_headers(request.headers) if isinstance(work, ApplicationCall) else {}
        ),
    )


def _find_contract(request: HttpRequest, contracts: Mapping[str, Contract]) -> Contract | NotRun:
    scheme, _, key = request.headers.get("authorization", "").partition(" ")
    if scheme.lower() != "bearer" or not key:
        return NotRun(ResultCode.KEY_MISSING, "header 'authorization' needs 'Bearer KEY'")
    # The lookup compares digests only, so its duration reveals nothing about valid keys.
    contract = contracts.get(hash_key(key.strip()))
    if contract is None:
        return NotRun(ResultCode.KEY_UNKNOWN, "key belongs to no customer")
    return contract


def _request_id(request: HttpRequest) -> str:
    value = request.headers.get(REQUEST_HEADER, "")
    return value if REQUEST_ID_PATTERN.match(value) else uuid.uuid4().hex


def _parse_deadline(request: HttpRequest, max_seconds: float) -> float | NotRun:
    value = request.headers.get(DEADLINE_HEADER)
    if value is None:
        return max_seconds
    if not DEADLINE_PATTERN.match(value) or not 1 <= int(value) <= MAX_DEADLINE_MS:
        reason = f"header {DEADLINE_HEADER!r} is {value[:32]!r}; valid: 1 to {MAX_DEADLINE_MS} ms"
        return NotRun(ResultCode.MALFORMED_HTTP, reason)
    return min(max_seconds, int(value) / 1000)


def _parse_work(
    request: HttpRequest, limits: Limits, services: Mapping[str, ServiceSpec]
) -> ModelCall | ApplicationCall | NotRun:
    if request.path in MODEL_PATHS:
        return _parse_model_call(request, limits)
    if request.path.startswith("/services/"):
        return _parse_application_call(request, limits, services)
    return NotRun(ResultCode.NOT_FOUND, f"no such path: {request.path}")


def _parse_model_call(request: HttpRequest, limits: Limits) -> ModelCall | NotRun:
    if request.method != "POST":
        return NotRun(ResultCode.METHOD_NOT_ALLOWED, "valid method: POST")
    try:
        body = msgspec.json.decode(request.body, type=_ModelBody)
    except msgspec.DecodeError as error:
        return NotRun(ResultCode.MALFORMED_BODY, f"body: {error}")
    if (body.prompt is None) == (body.messages is None):
        return NotRun(ResultCode.MALFORMED_BODY, "body: give one of 'prompt', 'messages'")
    if not _allows(limits.models, body.model):
        return NotRun(ResultCode.MODEL_NOT_ALLOWED, f"model {body.model!r} is not allowed")
    prompt = body.prompt
    if prompt is None:
        prompt = "\n".join(f"{message.role}: {message.content}" for message in body.messages or ())
    prompt_tokens = len(prompt.encode()) // BYTES_PER_TOKEN
    estimate = prompt_tokens + body.max_tokens
    if estimate > limits.tokens_per_request:
        reason = f"{estimate} tokens; the contract allows {limits.tokens_per_request} a request"
        return NotRun(ResultCode.TOKENS_PER_REQUEST, reason)
    return ModelCall(body.model, body.stream, prompt[:PREFIX_CHARACTERS], prompt_tokens, estimate)


def _parse_application_call(
    request: HttpRequest, limits: Limits, services: Mapping[str, ServiceSpec]
) -> ApplicationCall | NotRun:
    name, _, rest = request.path.removeprefix("/services/").partition("/")
    service = services.get(name)
    if service is None:
        return NotRun(ResultCode.NOT_FOUND, f"no such service: {name!r}")
    if not _allows(limits.services, name):
        return NotRun(ResultCode.SERVICE_NOT_ALLOWED, f"service {name!r} is not allowed")
    key = request.headers.get("idempotency-key", "")
    repeatable = not _is_non_repeatable(service, request.method, f"/{rest}")
    if not repeatable and not key:
        reason = "this call may run only once: header 'idempotency-key' is needed"
        return NotRun(ResultCode.IDEMPOTENCY_KEY_MISSING, reason)
    return ApplicationCall(name, key, repeatable)


def _allows(allowed: tuple[str, ...], name: str) -> bool:
    return "*" in allowed or name in allowed


def _is_non_repeatable(service: ServiceSpec, method: str, path: str) -> bool:
    for rule in service.non_repeatable:
        rule_method, _, prefix = rule.partition(" ")
        if method == rule_method and path.startswith(prefix):
            return True
    return False
