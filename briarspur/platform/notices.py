"""Parsing of the notices that backend servers send in their response headers."""

import math

from twisted.web.http_headers import Headers

from briarspur.gateway.outcome import Outcome
from briarspur.gateway.servernotice import NO_LIMIT, ServerNotice
from briarspur.headers import RETRY_AFTER
from briarspur.platform import names

__all__ = ["read_notice"]

UNTRUSTED_OUTCOMES = frozenset({Outcome.MISDIRECTED, Outcome.INVALID})
"""Outcomes of responses that another server than the requested one may have sent."""
MAX_LIMIT_PER_S = 1_000_000.0
MAX_BACKOFF_S = 60.0
"""Longer backoffs are reduced to this, so that no server is excluded for good."""
UNAVAILABLE = 503
LEAVING = b"1"


def read_notice(headers: Headers, status: int, outcome: Outcome) -> ServerNotice | None:
    """Return the notices of a response; None if another server may have sent it."""
    if outcome in UNTRUSTED_OUTCOMES:
        return None
    return ServerNotice(
        limit_per_s=_limit(headers, outcome),
        leaving=LEAVING in _parts(headers, names.SERVER_LEAVING),
        backoff=_backoff(headers) if status == UNAVAILABLE else 0.0,
    )


def _limit(headers: Headers, outcome: Outcome) -> float | None:
    """Return the advertised limit: the smallest of the valid values.

    None means that the earlier limit still applies: no value is valid, or a rejection has no limit.
    Such a rejection only says that the server did not accept this request.
    """
    if not headers.hasHeader(names.SERVER_LIMIT):
        return None if outcome is Outcome.REJECTED else NO_LIMIT
    values = _numbers(headers, names.SERVER_LIMIT)
    return min(MAX_LIMIT_PER_S, *values) if values else None


def _backoff(headers: Headers) -> float:
    """Return the longest backoff that is requested, in seconds; malformed values are ignored."""
    return min(MAX_BACKOFF_S, max(_numbers(headers, RETRY_AFTER), default=0.0))


def _numbers(headers: Headers, name: bytes) -> list[float]:
    parsed = [_number(part) for part in _parts(headers, name)]
    return [number for number in parsed if number is not None]


def _parts(headers: Headers, name: bytes) -> list[bytes]:
    values = headers.getRawHeaders(name, [])
    return [part.strip() for value in values for part in value.split(b",")]


def _number(text: bytes) -> float | None:
    """Parse a finite number of at least 0; return None if the text is not one."""
    try:
        number = float(text.decode("ascii"))
    except ValueError:
        return None
    return number if math.isfinite(number) and number >= 0.0 else None
