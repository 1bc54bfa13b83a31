"""Changes of contracts by operators, with numbered revisions, a history and unique keys.

A change takes three steps, each a settled conditional write (see `store.settle`):

1. Reserve new keys as ``contract-key/DIGEST``, which only one customer can create.
2. Record the revision to be replaced in ``contract-history/CUSTOMER``, so that no revision that
   was ever in force is lost.
3. Write the contract if it still has the version that the change is based on.
"""

from __future__ import annotations

import asyncio
import datetime
import uuid
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any, TypeAlias

import msgspec

from magnoliarouter.store.backoff import Backoff
from magnoliarouter.store.objects import (
    ContractSpec,
    HistorySpec,
    ObjectError,
    RevisionSpec,
    StoredObject,
    decode_object,
)
from magnoliarouter.store.results import (
    Ambiguous,
    Conflict,
    Failure,
    Missing,
    Unavailable,
    Written,
)
from magnoliarouter.store.settle import delete_settled, write_settled

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from magnoliarouter.store.client import PlatformClient

__all__ = ["Accepted", "ContractStore", "ContractOutcome", "KeyTaken", "to_json"]

CONTRACT_KIND = "contract"
HISTORY_KIND = "contract-history"
KEY_KIND = "contract-key"
MAX_HISTORY_REVISIONS = 50
MAX_HISTORY_TRIES = 10
MAX_RESOLVE_TRIES = 5


@dataclass(frozen=True, slots=True)
class Accepted:
    """The change was written to the platform.

    Parameters
    ----------
    version : int
        Version that daemons report once the change is in force.
    value : dict, optional
        The contract as written; None if it was deleted.
    """

    version: int
    value: dict[str, Any] | None


@dataclass(frozen=True, slots=True)
class KeyTaken:
    """A key is reserved for another customer; the contract was not written."""

    key_hash: str
    customer: str


ContractOutcome: TypeAlias = Accepted | KeyTaken | Conflict | Ambiguous | Unavailable


def to_json(spec: msgspec.Struct) -> Any:
    """Return the JSON value that the platform stores for a model."""
    return msgspec.json.decode(msgspec.json.encode(spec))


def _create_write_id() -> str:
    return uuid.uuid4().hex


def _format_current_time() -> str:
    return datetime.datetime.now(datetime.UTC).isoformat(timespec="seconds")


@dataclass(slots=True)
class ContractStore:
    """Writes contracts on behalf of one operator.

    Parameters
    ----------
    client : PlatformClient
        Client of the object API.
    author : str
        Name of the operator, stored with each revision.
    make_write_id, make_time : callable
        Return a new write id, and the time to store with a revision for display.
    make_backoff : callable
        Returns the back-off for the retries of one write.
    """

    client: PlatformClient
    author: str = ""
    make_write_id: Callable[[], str] = _create_write_id
    make_time: Callable[[], str] = _format_current_time
    make_backoff: Callable[[], Backoff] = field(default=Backoff)

    async def create(self, spec: ContractSpec) -> ContractOutcome:
        """Create a contract; the outcome is a `Conflict` if it exists."""
        history = await self.read_history(spec.customer)
        if isinstance(history, Unavailable):
            return history
        _, revisions = history
        number = 1 + max((_revision_number(revision) for revision in revisions), default=0)
        return await self._write_revision(spec, None, number)

    async def amend(self, current: StoredObject, spec: ContractSpec) -> ContractOutcome:
        """Replace a contract if it has not changed since it was read."""
        recorded = await self._record_revision(current)
        if not isinstance(recorded, int):
            return recorded
        return await self._write_revision(spec, current, recorded + 1)

    async def delete(self, current: StoredObject) -> ContractOutcome:
        """Delete a contract if it has not changed since it was read; its keys stay reserved."""
        recorded = await self._record_revision(current)
        if not isinstance(recorded, int):
            return recorded
        outcome = await delete_settled(
            self.client, CONTRACT_KIND, current.name, current.version, backoff=self.make_backoff()
        )
        if isinstance(outcome, Written):
            # The outcome has version 0 if a response was lost and the object no longer exists. The
            # version of the tombstone is then at least one above that of the contract.
            return Accepted(max(outcome.version, current.version + 1), None)
        return outcome

    async def read_history(self, customer: str) -> tuple[int, list[ContractSpec]] | Unavailable:
        """Return the version of the history and its revisions, oldest first."""
        outcome = await self.client.read(HISTORY_KIND, customer)
        match outcome:
            case Unavailable():
                return outcome
            case Missing():
                return 0, []
        item = outcome.items[0]
        try:
            history: HistorySpec = decode_object(HISTORY_KIND, item.value)
        except ObjectError as error:
            return Unavailable(f"the history cannot be read: {error}")
        return item.version, history.revisions

    async def _write_revision(
        self, spec: ContractSpec, current: StoredObject | None, number: int
    ) -> ContractOutcome:
        reserved = _keys_of(current)
        refused = await self._reserve(spec.customer, set(spec.key_hashes) - reserved)
        if refused is not None:
            return refused
        write_id = self.make_write_id()
        revision = RevisionSpec(number, write_id, self.author[:64], self.make_time())
        value = to_json(msgspec.structs.replace(spec, revision=revision))
        outcome = await write_settled(
            self.client,
            CONTRACT_KIND,
            spec.customer,
            value,
            current.version if current else 0,
            is_own=lambda found: _write_id_of(found) == write_id,
            backoff=self.make_backoff(),
        )
        match outcome:
            case Written(version):
                return Accepted(version, value)
            case Conflict(found, True):
                return await self._resolve_conflict(spec.customer, write_id, value, found)
        return outcome

    async def _resolve_conflict(
        self, customer: str, write_id: str, value: dict[str, Any], found: StoredObject | None
    ) -> Accepted | Conflict | Ambiguous:
        """Find out whether a write with a lost response took effect, and return the outcome.

        If it took effect and was then replaced, the writer that replaced it recorded it in the
        history first.
        """
        backoff = self.make_backoff()
        for _ in range(MAX_RESOLVE_TRIES):
            history = await self.read_history(customer)
            if not isinstance(history, Unavailable):
                recorded = [spec.revision.write_id for spec in history[1] if spec.revision]
                if write_id not in recorded:
                    return Conflict(found)
                return Accepted(found.version if found else history[0], value)
            await asyncio.sleep(backoff.next_wait())
        return Ambiguous("the history that would tell cannot be read")

    async def _reserve(
        self, customer: str, keys: Iterable[str]
    ) -> KeyTaken | Ambiguous | Unavailable | None:
        new_keys = sorted(keys)
        if not new_keys:
            return None
        listed = await self.client.list(CONTRACT_KIND)
        if isinstance(listed, Unavailable):
            return listed
        for item in listed.items:
            for key in new_keys:
                if item.name != customer and key in _keys_of(item):
                    return KeyTaken(key, item.name)
        for key in new_keys:
            refused = await self._reserve_one(customer, key)
            if refused is not None:
                return refused
        return None

    async def _reserve_one(
        self, customer: str, key: str
    ) -> KeyTaken | Ambiguous | Unavailable | None:
        value = {"customer": customer}
        outcome = await write_settled(
            self.client, KEY_KIND, key, value, 0, backoff=self.make_backoff()
        )
        match outcome:
            case Written():
                return None
            case Conflict(current):
                holder = _customer_of(current)
                return None if holder == customer else KeyTaken(key, holder)
        return outcome

    async def _record_revision(self, current: StoredObject) -> int | Ambiguous | Unavailable:
        """Record an object's revision in the history, unless it is there already.

        Returns its number. A malformed contract is not recorded; the number is then that of the
        last entry.
        """
        for _ in range(MAX_HISTORY_TRIES):
            history = await self.read_history(current.name)
            if isinstance(history, Unavailable):
                return history
            version, revisions = history
            entry = _build_history_entry(current, revisions)
            if isinstance(entry, int):
                return entry
            recorded = [*revisions, entry][-MAX_HISTORY_REVISIONS:]
            value = to_json(HistorySpec(recorded))
            outcome = await write_settled(
                self.client, HISTORY_KIND, current.name, value, version, backoff=self.make_backoff()
            )
            if isinstance(outcome, Written):
                return _revision_number(entry)
            if not isinstance(outcome, Conflict):
                return outcome
        return Unavailable("the history is written by too many at once", Failure.REFUSED)


def _build_history_entry(
    current: StoredObject, revisions: list[ContractSpec]
) -> ContractSpec | int:
    """Return the history entry for an object, or a revision number if nothing is to be recorded.

    The number is that of the object if it is already recorded, and that of the last entry if the
    contract is malformed.
    """
    write_id = _write_id_of(current.value) or f"version-{current.version}"
    for spec in revisions:
        if spec.revision and spec.revision.write_id == write_id:
            return spec.revision.number
    last = max((_revision_number(spec) for spec in revisions), default=0)
    try:
        spec = decode_object(CONTRACT_KIND, current.value)
    except ObjectError:
        # A malformed contract was never in force: it is not recorded, and the change replaces it.
        return last
    if spec.revision is None:
        return msgspec.structs.replace(spec, revision=RevisionSpec(last + 1, write_id))
    return spec


def _revision_number(spec: ContractSpec) -> int:
    return spec.revision.number if spec.revision else 0


def _write_id_of(value: Any) -> str:
    revision = value.get("revision") if isinstance(value, dict) else None
    return str(revision.get("write_id", "")) if isinstance(revision, dict) else ""


def _keys_of(item: StoredObject | None) -> set[str]:
    value = item.value if item else None
    keys = value.get("key_hashes") if isinstance(value, dict) else None
    return {key for key in keys if isinstance(key, str)} if isinstance(keys, list) else set()


def _customer_of(item: StoredObject | None) -> str:
    value = item.value if item else None
    return str(value.get("customer", "")) if isinstance(value, dict) else ""
