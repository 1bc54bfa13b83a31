"""Judges admitted work against ``rate * window + burst`` from what callers saw."""

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
    """One admitted request: admitted at some moment between `sent_at` and `responded_at`.

    Parameters
    ----------
    sent_at, responded_at : float
        Loop times of the caller.
    amount : float
        Requests or tokens.
    """

    sent_at: float
    responded_at: float
    amount: float


def measure_peak_share(
    admitted: list[AdmittedRequest], window: float, rate: float, burst: float
) -> float:
    """Return the largest share of ``rate * window + burst`` surely admitted within a window.

    A request counts for a window only if it was sent and answered within it, so that a share
    above 1 proves that the limit was passed.
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
    """Return the largest share of ``rate * window + burst`` answered within a window.

    Answers that are held up together may make this pass 1 without a fault in the limits.
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
    """Return the amount answered between two times."""
    return sum(item.amount for item in admitted if start <= item.responded_at < end)


def measure_recovery_s(
    admitted: list[AdmittedRequest], start: float, end: float, rate: float, window: float = 2.0
) -> float:
    """Return the seconds from `start` until a window begins that holds 95% of the rate.

    One item is allowed for rounding. The result is ``end - start`` if there is no such window.
    """
    step = 0.1
    largest = max((item.amount for item in admitted), default=0.0)
    required_amount = 0.95 * rate * window - largest
    for index in range(int((end - window - start) / step) + 1):
        window_start = start + index * step
        if sum_amounts(admitted, window_start, window_start + window) >= required_amount:
            return index * step
    return end - start
