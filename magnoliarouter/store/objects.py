"""Kinds of objects stored in the platform and the models that validate them.

Objects are validated when they enter the process and then converted to the data classes of `core`.
"""

from __future__ import annotations

from typing import Annotated, Any, Literal

import msgspec
from msgspec import Meta

from magnoliarouter.core.contract import NO_SERVICE_STANDING, Contract, Limits
from magnoliarouter.store.groups import (
    GROUP_HEALTH_KIND,
    GROUP_KIND,
    GroupHealthSpec,
    GroupSpec,
)
from magnoliarouter.store.validation import ValidationFailure, check_value

__all__ = [
    "ContractSpec",
    "EndpointSpec",
    "HistorySpec",
    "KeySpec",
    "LimitsSpec",
    "ObjectError",
    "RevisionSpec",
    "ServiceSpec",
    "StoredObject",
    "UnreadableValue",
    "VmSpec",
    "WatchBatch",
    "build_contract",
    "decode_contract",
    "decode_object",
]

Name = Annotated[str, Meta(pattern=r"^[a-z0-9][a-z0-9.-]{0,62}$")]
Standing = Annotated[str, Meta(pattern=r"^[a-z0-9][a-z0-9-]{0,62}$")]
Rate = Annotated[float, Meta(ge=0, le=1e9)]
CallPattern = Annotated[str, Meta(pattern=r"^[A-Z]{1,16} /[!-~]{0,255}$")]
KeyHash = Annotated[str, Meta(pattern=r"^[0-9a-f]{64}$")]


class ObjectError(ValueError):
    """An object from the platform or an operator is not valid."""


class UnreadableValue(msgspec.Struct, frozen=True):
    """Stands for a value that is no JSON; no model accepts it.

    Parameters
    ----------
    unreadable : str
        Why it cannot be decoded.
    """

    unreadable: str


class StoredObject(msgspec.Struct, frozen=True):
    """Object as the platform stores it.

    Parameters
    ----------
    kind, name : str
        Kind and name; together they identify the object.
    version : int
        Version counter of the whole platform at the last write; increases with every write.
    value : object, optional
        JSON value, as `msgspec.Raw` until it is decoded; None if the object was deleted.
    """

    kind: str
    name: str
    version: int
    value: Any = None


class WatchBatch(msgspec.Struct, frozen=True):
    """Changes of one kind since a version.

    Parameters
    ----------
    version : int
        Version up to which the batch is complete.
    items : list of StoredObject
        Changed objects in order of version; deleted objects have no value.
    """

    version: int
    items: list[StoredObject]


class LimitsSpec(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Limit set as an operator writes it; fields as in `core.contract.Limits`."""

    requests_per_second: Rate
    tokens_per_second: Rate
    burst_seconds: Annotated[float, Meta(ge=1, le=60)] = 2.0
    concurrent_requests: Annotated[int, Meta(ge=0, le=1_000_000)] = 16
    tokens_per_request: Annotated[int, Meta(ge=1, le=1_000_000_000)] = 8192
    models: tuple[str, ...] = ("*",)
    services: tuple[str, ...] = ("*",)
    priority: Annotated[int, Meta(ge=0, le=9)] = 0
    weight: Annotated[float, Meta(gt=0, le=1000)] = 1.0


class RevisionSpec(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Revision of a contract.

    Parameters
    ----------
    number : int
        Number of the revision; the count continues after a deletion of the contract.
    write_id : str
        Random id of the write, by which its author recognizes it after a lost response.
    author : str
        Name of the operator who wrote it.
    written_at : str
        Time of writing in ISO 8601, by the author's clock; for display only.
    """

    number: Annotated[int, Meta(ge=1, le=2**53)]
    write_id: Annotated[str, Meta(max_length=64)]
    author: Annotated[str, Meta(max_length=64)] = ""
    written_at: Annotated[str, Meta(max_length=40)] = ""


class ContractSpec(msgspec.Struct, frozen=True, forbid_unknown_fields=True, omit_defaults=True):
    """Contract as an operator writes it; fields as in `core.contract.Contract`.

    Parameters
    ----------
    customer : str
        Name of the customer; also the object's name.
    key_hashes : tuple of str
        Hexadecimal SHA-256 digests of the customer's keys.
    standing : str
        Name of the limit set in force.
    limits : dict of str to LimitsSpec
        Limit set for each standing.
    revision : RevisionSpec, optional
        Revision of the contract; set by `magnoliactl`.
    """

    customer: Name
    key_hashes: Annotated[tuple[KeyHash, ...], Meta(max_length=64)]
    standing: Standing
    limits: dict[Standing, LimitsSpec]
    revision: RevisionSpec | None = None


class HistorySpec(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Earlier revisions of one contract; the object's name is the customer's.

    Parameters
    ----------
    revisions : list of ContractSpec
        Revisions, oldest first, without the one in force.
    """

    revisions: list[ContractSpec]


class KeySpec(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Reservation of a key digest for one customer; the object's name is the digest.

    Parameters
    ----------
    customer : str
        The only customer whose contract may contain the key.
    """

    customer: Name


class EndpointSpec(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Endpoint as its daemon registers it.

    Parameters
    ----------
    name, zone : str
        Endpoint and its availability zone.
    address : str
        ``host:port`` of the guard.
    incarnation : str
        Id of the current start of the guard.
    kind : {"engine", "application"}
        Kind of process behind the guard.
    models, services : tuple of str
        Models and services that the endpoint serves.
    slots : int
        Requests processed concurrently.
    draining : bool
        Whether an operator or the endpoint itself requested that no new requests be sent.
    drain_requested : bool
        Whether an operator requested a drain; it stays set when the daemon restarts.
    """

    name: Name
    zone: Name
    address: str
    incarnation: str
    kind: Literal["engine", "application"] = "engine"
    models: tuple[str, ...] = ()
    services: tuple[str, ...] = ()
    slots: int = 8
    draining: bool = False
    drain_requested: bool = False


class ServiceSpec(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Service that callers reach under ``/services/NAME/``.

    Parameters
    ----------
    name : str
        Name of the service.
    non_repeatable : tuple of str
        ``"METHOD /path-prefix"`` of calls that may run at most once; such a call requires an
        ``Idempotency-Key``.
    """

    name: Name
    non_repeatable: tuple[CallPattern, ...] = ()


class VmSpec(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """VM as listed by the platform; the list may lag behind.

    Parameters
    ----------
    name, zone : str
        VM and its availability zone.
    role : {"entry", "endpoint"}
        Kind of daemon that runs on the VM.
    address : str
        ``host:port`` of the peer port of an entry VM, or of the guard of an endpoint VM.
    leaving : bool
        Whether the platform is about to remove the VM.
    """

    name: Name
    zone: Name
    role: Literal["entry", "endpoint"]
    address: str
    leaving: bool = False


MODELS_BY_KIND: dict[str, type[msgspec.Struct]] = {
    "contract": ContractSpec,
    "contract-history": HistorySpec,
    "contract-key": KeySpec,
    "endpoint": EndpointSpec,
    GROUP_KIND: GroupSpec,
    GROUP_HEALTH_KIND: GroupHealthSpec,
    "service": ServiceSpec,
    "vm": VmSpec,
}


def decode_object(kind: str, value: Any) -> Any:
    """Validate a JSON value against the model of its kind.

    Parameters
    ----------
    kind : str
        Kind of object.
    value : object
        Decoded JSON value.

    Returns
    -------
    msgspec.Struct
        Instance of the model of the kind.

    Raises
    ------
    ObjectError
        The value has a missing, unknown or invalid field; the message names it.
    """
    model = MODELS_BY_KIND.get(kind)
    if model is None:
        raise ObjectError(
            f"kind {kind!r} is not known; valid kinds: {', '.join(sorted(MODELS_BY_KIND))}"
        )
    try:
        return check_value(value, model)
    except ValidationFailure as error:
        raise ObjectError(f"{kind}: {error}") from error


def decode_contract(value: Any) -> Contract:
    """Validate a contract and return it as a data class.

    Raises
    ------
    ObjectError
        A field is invalid, a key is listed twice, or the standing is neither "suspended" nor the
        name of a limit set.
    """
    return build_contract(decode_object("contract", value))


def build_contract(spec: ContractSpec) -> Contract:
    """Check the rules that the model of a contract cannot express and return the data class.

    Raises
    ------
    ObjectError
        The standing is neither "suspended" nor the name of a limit set, or a key is listed twice.
    """
    if len(set(spec.key_hashes)) < len(spec.key_hashes):
        duplicate = next(key for key in spec.key_hashes if spec.key_hashes.count(key) > 1)
        raise ObjectError(
            f"contract: key_hashes lists {duplicate} twice; each may stand there once"
        )
    if spec.standing not in spec.limits and spec.standing != NO_SERVICE_STANDING:
        valid = ", ".join(sorted({*spec.limits, NO_SERVICE_STANDING}))
        raise ObjectError(f"contract: standing {spec.standing!r} has no limits; valid: {valid}")
    limits = {
        standing: Limits(**msgspec.structs.asdict(limit)) for standing, limit in spec.limits.items()
    }
    return Contract(spec.customer, spec.key_hashes, spec.standing, limits)
