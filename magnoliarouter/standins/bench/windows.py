"""Compares admitted work with ``rate * window + burst``, by the times that callers saw."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = [
    "AdmittedRequest",
    "measure_peak_share",
    "measure_peak_share_by_response",
    "measure_recovery_s",
    "sum_amounts",
]


@dataclass(frozen=True, slots=True)
class AdmittedRequest:
    """One request that was admitted at some time between `sent_at` and `responded_at`.

    Parameters
    ----------
    sent_at, responded_at : float
        Event loop times of the caller, in seconds.
    amount : float
        Number of requests or tokens.
    """

    sent_at: float
    responded_at: float
    amount: float


def measure_peak_share(
    admitted: list[AdmittedRequest], window: float, rate: float, burst: float
) -> float:
    """Return the largest share of ``rate * window + burst`` certainly admitted within a window.

    A request counts for a window only if it was sent and its response arrived within the window,
    so a share above 1 proves that the limit was exceeded. `window` is in seconds and `rate` is the
    amount per second.
    """
    ordered = sorted(admitted, key=lambda item: item.sent_at)
    worst = 0.0
    for index, first in enumerate(ordered):
        end = first.sent_at + window
        total = 0.0
        for item in ordered[index:]:
            if item.sent_at > end:
                break
            if item.responded_at <= end:
                total += item.amount
        worst = max(worst, total)
    return worst / (rate * window + burst)


def measure_peak_share_by_response(
    admitted: list[AdmittedRequest], window: float, rate: float, burst: float
) -> float:
    """Return the largest share of ``rate * window + burst`` whose responses arrive in a window.

    Responses that are delayed together can raise this above 1 without a fault in the limits.
    `window` is in seconds and `rate` is the amount per second.
    """
    ordered = sorted(admitted, key=lambda item: item.responded_at)
    worst, total, first = 0.0, 0.0, 0
    for item in ordered:
        total += item.amount
        while ordered[first].responded_at < item.responded_at - window:
            total -= ordered[first].amount
            first += 1
        worst = max(worst, total)
    return worst / (rate * window + burst)


def sum_amounts(admitted: list[AdmittedRequest], start: float, end: float) -> float:
    """Return the amount whose responses arrived between two times."""
    return sum(item.amount for item in admitted if start <= item.responded_at < end)


def measure_recovery_s(
    admitted: list[AdmittedRequest], start: float, end: float, rate: float, window: float = 2.0
) -> float:
    """Return the seconds from `start` to the first window that holds 95% of the rate.

    The window may lack the amount of the largest item, to allow for rounding. The result is
    ``end - start`` if there is no such window.
    """
    step_s = 0.1
    largest = max((item.amount for item in admitted), default=0.0)
    required_amount = 0.95 * rate * window - largest
    for index in range(int((end - window - start) / step_s) + 1):
        window_start = start + index * step_s
        if sum_amounts(admitted, window_start, window_start + window) >= required_amount:
            return index * step_s
    return end - start
