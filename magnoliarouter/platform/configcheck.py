"""Checks the operator's configuration before it is sent, and compares it to the one in force."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING, Any

from magnoliarouter.gateway.configcheck import (
    Finding,
    Severity,
    check_configuration,
    sort_findings,
)
from magnoliarouter.platform.configuration import decode_configuration

if TYPE_CHECKING:
    from collections.abc import Iterator

__all__ = ["check_document", "hide_keys", "name_entries", "read_document"]

NAMED_LISTS = ("routes", "services", "tenants")


def read_document(value: Any) -> Any:
    """Return the configuration of a file: the value itself, or the `spec` of a stored object."""
    if isinstance(value, dict) and "spec" in value and "metadata" in value:
        return value["spec"]
    return value


def check_document(value: Any, in_force: Any = None) -> list[Finding]:
    """Return what is wrong with a configuration, errors first.

    Parameters
    ----------
    value : object
        JSON value of the configuration.
    in_force : object, optional
        JSON value of the configuration that it would replace.

    Raises
    ------
    ValidationFailure
        A field is missing or invalid, so that daemons would keep the configuration in force.
    """
    config = decode_configuration(value)
    findings = check_configuration(config)
    findings += _check_attempts(value)
    findings += _find_repeated_services(value)
    findings += _check_tenants(value)
    if in_force is not None:
        before = decode_configuration(in_force).version
        if config.version <= before:
            reason = f"version is {config.version}; valid: above the {before} in force"
            findings.append(Finding(Severity.ERROR, "version", reason))
    return sort_findings(findings)


def name_entries(value: dict[str, Any]) -> dict[str, Any]:
    """Return a valid configuration with its lists as objects by name, for a comparison.

    Entries of the same name get a number.
    """
    named = dict(value)
    for field in NAMED_LISTS:
        entries: dict[str, Any] = {}
        for entry in value.get(field) or ():
            name, number = entry["name"], 1
            while (key := name if number == 1 else f"{name}#{number}") in entries:
                number += 1
            entries[key] = entry
        named[field] = entries
    return named


def hide_keys(named: dict[str, Any], other: dict[str, Any], word: str) -> dict[str, Any]:
    """Return a configuration by `name_entries` with the number of keys instead of the keys.

    The keys that `other` lacks are counted apart with a word for them, so that a key that replaces
    another shows.
    """
    tenants = {}
    for name, tenant in named["tenants"].items():
        keys = set(tenant["api_keys"])
        known = set(other["tenants"].get(name, {}).get("api_keys", ()))
        shown = f"{len(keys)} keys, {len(keys - known)} of them {word}"
        tenants[name] = {**tenant, "api_keys": shown if keys != known else f"{len(keys)} keys"}
    return {**named, "tenants": tenants}


def _check_attempts(value: Any) -> Iterator[Finding]:
    for route in value["routes"]:
        attempts = route.get("attempts", 1)
        if attempts < 1:
            reason = f"attempts is {attempts}; valid: 1 or more"
            yield Finding(Severity.ERROR, f"route {route['name']}", reason)
        if route.get("service") and route.get("traffic_split"):
            reason = f"service {route['service']!r} has no effect beside a traffic_split"
            yield Finding(Severity.WARNING, f"route {route['name']}", reason)


def _find_repeated_services(value: Any) -> Iterator[Finding]:
    for name, count in Counter(service["name"] for service in value["services"]).items():
        if count > 1:
            reason = f"{count} services have this name; the last one counts"
            yield Finding(Severity.ERROR, f"service {name}", reason)


def _check_tenants(value: Any) -> Iterator[Finding]:
    holders: dict[str, str] = {}
    for tenant in value.get("tenants") or ():
        entry, keys = f"tenant {tenant['name']}", tenant["api_keys"]
        if not keys:
            yield Finding(Severity.WARNING, entry, "it has no key, so that it can't send requests")
        for number, key in enumerate(keys, start=1):
            holder = holders.setdefault(key, tenant["name"])
            if not key or key != key.strip():
                reason = f"key {number} never matches: it is empty, or begins or ends with a space"
                yield Finding(Severity.ERROR, entry, reason)
            elif holder != tenant["name"]:
                # The key itself is a secret.
                reason = f"key {number} is held by tenant {holder} as well; the last one counts"
                yield Finding(Severity.ERROR, entry, reason)
    repeated = Counter(tenant["name"] for tenant in value.get("tenants") or ())
    for name, count in repeated.items():
        if count > 1:
            yield Finding(Severity.WARNING, f"tenant {name}", f"{count} tenants have this name")
