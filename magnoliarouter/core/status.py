"""Status codes of HTTP responses (RFC 9110, section 15)."""

from __future__ import annotations

__all__ = ["FINAL_STATUSES", "INFORMATIONAL_STATUSES", "find_status_error"]

INFORMATIONAL_STATUSES = range(100, 200)
FINAL_STATUSES = range(200, 600)


def find_status_error(status: int) -> str:
    """Return why a status is not that of a final response, or an empty string if it is.

    HTTP parsers accept any three digits. A head with other digits is no response at all, so that
    nothing in it may be read: it proves neither that a request ran nor that it did not.

    Parameters
    ----------
    status : int
        Status code of a response that is not to be followed by another one.

    Examples
    --------
    >>> find_status_error(0)
    'status is 000; valid: 200 to 599'
    >>> find_status_error(404)
    ''
    """
    if status in FINAL_STATUSES:
        return ""
    return f"status is {status:03}; valid: {FINAL_STATUSES.start} to {FINAL_STATUSES.stop - 1}"
