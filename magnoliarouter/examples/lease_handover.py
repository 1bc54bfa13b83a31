"""Two processes hold one lease in turn: the second takes over when the first stops renewing."""

from __future__ import annotations

from magnoliarouter.core.lease import Lease, LeaseRecord, ReadLease, Wait, WriteLease

__all__ = ["LeaseStore", "advance", "main"]


class LeaseStore:
    """In-memory record with conditional updates."""

    def __init__(self) -> None:
        self.version = 0
        self.record: LeaseRecord | None = None

    def write(self, record: LeaseRecord, expect: int) -> bool:
        """Write the record if the stored version is `expect`, and return whether it did."""
        if expect != self.version:
            return False
        self.version, self.record = self.version + 1, record
        return True


def advance(lease: Lease, store: LeaseStore, now: float) -> None:
    """Perform the steps of a lease until it waits.

    Parameters
    ----------
    lease : Lease
        One process's view of the lease.
    store : LeaseStore
        Store of the record.
    now : float
        Clock reading in seconds.
    """
    while True:
        match lease.next_step(now):
            case Wait():
                return
            case ReadLease():
                lease.observe(store.version, store.record, now)
            case WriteLease(record, expect):
                if store.write(record, expect):
                    lease.confirm(record.write, store.version, now)
                else:
                    lease.observe(store.version, store.record, now)


def main() -> None:
    """Print the epoch that each process holds over time."""
    store = LeaseStore()
    first, second = Lease("first", duration=9.0), Lease("second", duration=9.0)
    advance(first, store, 0.0)
    advance(second, store, 1.0)
    print("at 1 s:", first.held_epoch(1.0), second.held_epoch(1.0))
    # The first process stops renewing. Its epoch expires before the second one may take over.
    print("at 9 s:", first.held_epoch(9.0), second.held_epoch(9.0))
    advance(second, store, 10.0)
    print("at 10 s:", first.held_epoch(10.0), second.held_epoch(10.0))


if __name__ == "__main__":
    main()
