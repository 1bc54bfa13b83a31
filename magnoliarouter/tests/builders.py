"""Builders of test data with default values."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from magnoliarouter.core.contract import Contract, Limits
from magnoliarouter.core.crashes import CrashReport
from magnoliarouter.gateway.ranks import RankReport
from magnoliarouter.pipeline.call import ApplicationCall, Call, ModelCall
from magnoliarouter.pipeline.identify import hash_key
from magnoliarouter.store.objects import EndpointSpec
from magnoliarouter.web.server import HttpRequest

if TYPE_CHECKING:
    from collections.abc import Iterable


def build_limits(**changes: Any) -> Limits:
    values: dict[str, Any] = {"requests_per_second": 10.0, "tokens_per_second": 1000.0}
    return Limits(**{**values, **changes})


def build_contract(
    customer: str = "grower", standing: str = "current", **limits: Limits
) -> Contract:
    return Contract(
        customer, (hash_key(customer),), standing, limits or {"current": build_limits()}
    )


def build_request(
    path: str = "/v1/completions",
    method: str = "POST",
    key: str = "grower",
    body: bytes = b'{"model": "draft", "prompt": "hello"}',
    **headers: str,
) -> HttpRequest:
    fields = {name.replace("_", "-"): value for name, value in headers.items()}
    return HttpRequest(method, path, {}, {"authorization": f"Bearer {key}", **fields}, body)


def build_contract_value(**changes: Any) -> dict[str, Any]:
    value = {
        "customer": "grower",
        "key_hashes": [hash_key("grower")],
        "standing": "current",
        "limits": {"current": {"requests_per_second": 10, "tokens_per_second": 1000}},
    }
    return {**value, **changes}


def build_call(work: ModelCall | ApplicationCall | None = None, **changes: Any) -> Call:
    values: dict[str, Any] = {
        "request_id": "r1",
        "contract": build_contract(),
        "limits": build_limits(),
        "method": "POST",
        "path": "/v1/completions",
        "content_type": "application/json",
        "body": b"{}",
        "deadline": 1060.0,
        "work": work or ModelCall("draft", False, "hello", 1, 20),
    }
    return Call(**{**values, **changes})


def build_endpoint(name: str = "engine-1", **changes: Any) -> EndpointSpec:
    values: dict[str, Any] = {
        "zone": "zone-1",
        "address": f"127.0.0.1:{sum(name.encode())}",
        "incarnation": "i1",
        "models": ("draft",),
        "services": ("tanks",),
    }
    return EndpointSpec(name, **{**values, **changes})


def build_rank_report(group: str = "g0", **changes: Any) -> RankReport:
    values = {
        "epoch": 1,
        "rank": 0,
        "size": 2,
        "open": True,
        "step": 1,
        "map_version": 0,
        "prepared_version": None,
        "armed_version": None,
        "held_step": None,
    }
    return RankReport(group, **{**values, **changes})


def build_crash_report(
    endpoint: str, began: Iterable[Iterable[str]] = (), waiting: Iterable[Iterable[str]] = ()
) -> CrashReport:
    """Return the report of a crash; each letter of a prompt that is text is one of its parts."""
    return CrashReport(
        endpoint, 0, frozenset(map(frozenset, began)), frozenset(map(frozenset, waiting))
    )
