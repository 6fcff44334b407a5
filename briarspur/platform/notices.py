"""Reads what a backend server says of itself from the headers of its answers."""

import math

from twisted.web.http_headers import Headers

from briarspur.gateway.outcome import Outcome
from briarspur.gateway.servernotice import NO_LIMIT, ServerNotice
from briarspur.headers import RETRY_AFTER
from briarspur.platform import names

__all__ = ["read_notice"]

OTHERS = frozenset({Outcome.MISDIRECTED, Outcome.INVALID})
"""Answers that are not known to come from the server that was asked."""
MOST_PER_S = 1_000_000.0
MOST_REST = 60.0
"""Seconds; a longer rest is taken as this long, so that no server is shut out for good."""
UNAVAILABLE = 503
LEAVING = b"1"


def read_notice(headers: Headers, status: int, outcome: Outcome) -> ServerNotice | None:
    """Return what an answer says of its server; None if it may be another server's."""
    if outcome in OTHERS:
        return None
    return ServerNotice(
        limit_per_s=_limit(headers, outcome),
        leaving=LEAVING in _parts(headers, names.SERVER_LEAVING),
        rest=_rest(headers) if status == UNAVAILABLE else 0.0,
    )


def _limit(headers: Headers, outcome: Outcome) -> float | None:
    """Return the limit that is named; several values or a malformed one count as the least read.

    A rejection that names none proves nothing: the server did no more than turn a request away.
    """
    if not headers.hasHeader(names.SERVER_LIMIT):
        return None if outcome is Outcome.REJECTED else NO_LIMIT
    read = _numbers(headers, names.SERVER_LIMIT)
    return min(MOST_PER_S, *read) if read else None


def _rest(headers: Headers) -> float:
    """Return the longest rest that is asked for; a malformed one counts as none."""
    return min(MOST_REST, max(_numbers(headers, RETRY_AFTER), default=0.0))


def _numbers(headers: Headers, name: bytes) -> list[float]:
    read = [_number(part) for part in _parts(headers, name)]
    return [number for number in read if number is not None]


def _parts(headers: Headers, name: bytes) -> list[bytes]:
    values = headers.getRawHeaders(name, [])
    return [part.strip() for value in values for part in value.split(b",")]


def _number(text: bytes) -> float | None:
    """Return a finite number of at least 0; None if the text is none."""
    try:
        number = float(text.decode("ascii"))
    except ValueError:
        return None
    return number if math.isfinite(number) and number >= 0.0 else None
