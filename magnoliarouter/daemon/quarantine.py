"""Keeps crashes and the parts of prompts that cause them in the store, where all daemons find them."""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING, Annotated, Any, TypeAlias

import msgspec
import xxhash
from msgspec import Meta

from magnoliarouter.core.crashes import CRASH_EXPIRY_S, CrashReport
from magnoliarouter.store.results import Conflict, Written
from magnoliarouter.store.validation import convert_value
from magnoliarouter.telemetry.logs import log_event

if TYPE_CHECKING:
    from magnoliarouter.gateway.crashwatch import CrashWatch
    from magnoliarouter.store.backoff import Backoff
    from magnoliarouter.store.client import PlatformClient
    from magnoliarouter.store.feed import ObjectFeed

__all__ = [
    "QUARANTINE_KIND",
    "CauseRecord",
    "CrashRecord",
    "QuarantineRecords",
    "decode_record",
    "name_record",
]

QUARANTINE_KIND = "quarantined-prompts"
# Daemons that find the same parts at the same time write them one after the other, so that most of
# them learn of the first write instead.
WRITE_SPREAD_S = 0.3
# Records of crashes are deleted by the daemon whose time comes first.
EXPIRY_SPREAD = 1.2
MAX_RECORDS = 1_000
# Ten times the record of a crash at which 64 prompts of 20 parts were in progress.
MAX_RECORD_BYTES = 262_144

Prompts: TypeAlias = Annotated[frozenset[frozenset[str]], Meta(max_length=64)]


class CauseRecord(
    msgspec.Struct,
    frozen=True,
    forbid_unknown_fields=True,
    tag_field="record",
    tag="cause",
):
    """Parts of prompts that crash endpoints.

    Parameters
    ----------
    parts : frozenset of str
        Ids of the parts; a prompt that holds all of them is not sent.
    endpoints : tuple of str
        Names of the endpoints that crashed.
    software : frozenset of (str, str)
        Their services and versions of their software; empty if not known.
    """

    parts: Annotated[frozenset[str], Meta(min_length=1, max_length=256)]
    endpoints: tuple[str, ...] = ()
    software: frozenset[tuple[str, str]] = frozenset()


class CrashRecord(
    msgspec.Struct,
    frozen=True,
    forbid_unknown_fields=True,
    tag_field="record",
    tag="crash",
):
    """Crash of an endpoint as one daemon saw it; the fields are those of `CrashReport`."""

    endpoint: str
    started_ms: int
    began: Prompts = frozenset()
    waiting: Prompts = frozenset()
    service: str = ""
    software: str = ""


def decode_record(value: Any) -> CauseRecord | CrashReport:
    """Return a cause or a crash; raises `ValueError` if the record is malformed."""
    if isinstance(value, msgspec.Raw) and len(value) > MAX_RECORD_BYTES:
        raise ValueError(f"record has {len(value)} bytes; valid: up to {MAX_RECORD_BYTES}")
    record = convert_value(value, CauseRecord | CrashRecord)
    match record:
        case CauseRecord():
            return record
        case CrashRecord(endpoint, started_ms, began, waiting, service, software):
            return CrashReport(endpoint, started_ms, began, waiting, service, software)


def _encode_record(record: CauseRecord | CrashRecord) -> dict[str, Any]:
    """Return the value of a record; daemons of an earlier version refuse fields unknown to them."""
    value = msgspec.to_builtins(record)
    return {
        name: field for name, field in value.items() if field or name not in ("service", "software")
    }


def name_record(cause: frozenset[str], software: frozenset[tuple[str, str]] = frozenset()) -> str:
    """Return the name of the record of a set of parts that crashed versions of software."""
    names = sorted(cause) + [f"{service}={version}" for service, version in sorted(software)]
    return xxhash.xxh64_hexdigest(",".join(names).encode())


class QuarantineRecords:
    """Writes the crashes and causes that this daemon found to the store, and applies those of all.

    Parameters
    ----------
    store : PlatformClient
        Client of the store.
    watch : CrashWatch
        Receives the records of all daemons.
    backoff : Backoff
        Delays after failed writes.

    Attributes
    ----------
    feed : ObjectFeed
        Records of all daemons; set before `run` is called.
    """

    feed: ObjectFeed

    def __init__(self, store: PlatformClient, watch: CrashWatch, backoff: Backoff) -> None:
        self._store = store
        self._watch = watch
        self._backoff = backoff
        self._recorded: dict[str, CauseRecord | CrashReport] = {}
        self._expiry_timers: dict[str, asyncio.TimerHandle] = {}
        # Values to be written, or None for records to be deleted, by name.
        self._pending: dict[str, CauseRecord | CrashRecord | None] = {}
        self._wake = asyncio.Event()

    def is_loaded(self) -> bool:
        """Return whether all records were read once."""
        return self.feed.synchronized.is_set()

    def apply(self, name: str, value: CauseRecord | CrashReport | None) -> None:
        """Apply a record of the store, or its deletion."""
        known = self._recorded.pop(name, None)
        if name in self._expiry_timers:
            self._expiry_timers.pop(name).cancel()
        if isinstance(known, CauseRecord) and known != value:
            self._release(known.parts)
        if value is not None:
            self._recorded[name] = value
        match value:
            case CauseRecord(parts) if self._watch.has_answered(parts):
                # The daemon that found it may not have heard of the answers.
                log_event("quarantine_disputed", parts=sorted(parts), name=name, important=True)
                self._put(name, None)
            case CauseRecord(parts, _, software):
                if self._watch.quarantine.add(parts, software):
                    log_event("prompt_quarantine_read", parts=sorted(parts))
            case CrashReport():
                # Of a record that a daemon reads as it starts, the time is not known.
                self._watch.apply_report(value, is_recent=self.is_loaded())
                delay_s = CRASH_EXPIRY_S * random.uniform(1.0, EXPIRY_SPREAD)
                loop = asyncio.get_running_loop()
                self._expiry_timers[name] = loop.call_later(delay_s, self._put, name, None)

    def write_cause(self, cause: frozenset[str]) -> None:
        """Record parts in the store as soon as it takes them."""
        endpoints = tuple(self._watch.list_endpoints(cause))
        software = self._watch.quarantine.list_software(cause)
        self._put(name_record(cause, software), CauseRecord(cause, endpoints, software))

    def write_crash(self, report: CrashReport) -> None:
        """Record a crash in the store as soon as it takes it, unless its cause is known by then."""
        record = CrashRecord(
            report.endpoint,
            report.started_ms,
            report.began,
            report.waiting,
            report.service,
            report.software,
        )
        prompts = sorted(map(sorted, report.began | report.waiting))
        key = f"{report.endpoint} {report.started_ms} {prompts}"
        self._put(f"crash-{xxhash.xxh64_hexdigest(key.encode())}", record)

    def delete_cause(self, cause: frozenset[str]) -> None:
        """Delete the records of parts as soon as the store takes it."""
        for name, known in {**self._recorded, **self._pending}.items():
            if isinstance(known, CauseRecord) and known.parts == cause:
                self._put(name, None)

    async def run(self) -> None:
        """Write and delete records until cancelled."""
        while True:
            await self._wake.wait()
            self._wake.clear()
            await asyncio.sleep(WRITE_SPREAD_S * random.random())
            while self._pending:
                name, record = next(iter(self._pending.items()))
                if await self._settle(name, record):
                    self._backoff.reset()
                    if name in self._pending and self._pending[name] is record:
                        del self._pending[name]
                else:
                    await asyncio.sleep(self._backoff.next_wait())

    def _put(self, name: str, record: CauseRecord | CrashRecord | None) -> None:
        self._pending[name] = record
        self._wake.set()

    def _release(self, cause: frozenset[str]) -> None:
        """Release parts, and delete the records by which a daemon that starts would find them."""
        self._watch.release(cause)
        self.delete_cause(cause)
        for name, known in self._recorded.items():
            if isinstance(known, CrashReport) and known.holds(cause):
                self._put(name, None)

    async def _settle(self, name: str, record: CauseRecord | CrashRecord | None) -> bool:
        """Write or delete one record, and return whether nothing remains to be done."""
        if record is None:
            if name not in self._recorded:
                return True
            outcome = await self._store.delete(QUARANTINE_KIND, name)
            # A record that is not there is a conflict.
            return isinstance(outcome, (Written, Conflict))
        if name in self._recorded or self._is_explained(record):
            return True
        if len(self._recorded) >= MAX_RECORDS:
            log_event("quarantine_full", records=len(self._recorded), name=name)
            return True
        value = _encode_record(record)
        outcome = await self._store.write(QUARANTINE_KIND, name, value, expect=0)
        return isinstance(outcome, (Written, Conflict))

    def _is_explained(self, record: CauseRecord | CrashRecord) -> bool:
        """Return whether the cause of a crash is known, so that its record is not needed."""
        if isinstance(record, CauseRecord):
            return False
        return any(map(self._watch.quarantine.find, record.began or record.waiting))
