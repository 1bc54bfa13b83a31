"""Messages with which an entry daemon reports its status to operators and to other daemons."""

from __future__ import annotations

from typing import Any

import msgspec

__all__ = ["STATUS_METHOD", "KindStatus", "StatusReply", "StatusRequest"]

STATUS_METHOD = "status"


class StatusRequest(msgspec.Struct, frozen=True):
    """Request for the status of a daemon.

    Parameters
    ----------
    kind : str
        Kind of object whose versions in force are requested; empty for none.
    names : list of str
        Objects of that kind.
    """

    kind: str = ""
    names: list[str] = []


class KindStatus(msgspec.Struct, frozen=True):
    """Status of one kind of object in a daemon.

    Parameters
    ----------
    kind : str
        Kind of object.
    objects : int
        Objects in force.
    version : int
        Version of the platform up to which all changes of the kind are known.
    age_s : float, optional
        Seconds since the last contact with the platform, directly or through a relay; None if
        there was none.
    errors : dict of str to str
        Objects whose newest version is refused, with the reason; an older version stays in force.
    regressed : str
        Why the platform's responses are older than the versions in force; empty if they are not.
    """

    kind: str
    objects: int
    version: int
    age_s: float | None = None
    errors: dict[str, str] = {}
    regressed: str = ""


class StatusReply(msgspec.Struct, frozen=True):
    """Status of a daemon.

    Parameters
    ----------
    name, zone : str
        VM and its availability zone.
    uptime_s : float
        Seconds since the daemon started.
    ready : bool
        Whether it serves callers.
    source : str
        Where its configuration comes from: ``"platform"``, ``"peers"`` or ``"none"``.
    kinds : list of KindStatus
        Status of each kind of object.
    applied : dict of str to int
        Newest version of each requested object that was not refused; 0 if there is none.
    sections : dict
        Status of other parts of the daemon, by part.
    """

    name: str
    zone: str
    uptime_s: float
    ready: bool
    source: str = "none"
    kinds: list[KindStatus] = []
    applied: dict[str, int] = {}
    sections: dict[str, Any] = {}
