"""Decision logic of the router: pure functions and state machines without I/O or clock reads.

The names exported here can be used in other programs; ``docs/EMBEDDING.md`` shows how.
"""

from __future__ import annotations

from magnoliarouter.core.borrowing import Borrower, CallCost, Shortage
from magnoliarouter.core.cache import VersionedCache
from magnoliarouter.core.claims import ClaimRun
from magnoliarouter.core.claimsteps import ClaimKey, Target
from magnoliarouter.core.contract import Contract, Limits, effective_limits
from magnoliarouter.core.lease import Lease, LeaseRecord, ReadLease, Wait, WriteLease
from magnoliarouter.core.outcome import Completed, NotRun, Outcome, ResultCode, Unknown
from magnoliarouter.core.placement import Candidate, PrefixAffinity, choose_endpoint
from magnoliarouter.core.quota import HomeQuota, QuotaHome
from magnoliarouter.core.slots import Slot, SlotRecord

__all__ = [
    "Borrower",
    "CallCost",
    "Candidate",
    "ClaimKey",
    "ClaimRun",
    "Completed",
    "Contract",
    "HomeQuota",
    "Lease",
    "LeaseRecord",
    "Limits",
    "NotRun",
    "Outcome",
    "PrefixAffinity",
    "QuotaHome",
    "ReadLease",
    "ResultCode",
    "Shortage",
    "Slot",
    "SlotRecord",
    "Target",
    "Unknown",
    "VersionedCache",
    "Wait",
    "WriteLease",
    "choose_endpoint",
    "effective_limits",
]
