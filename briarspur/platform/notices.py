"""Reads what a backend server says of itself from the headers of its answers."""

import math

from twisted.web.http_headers import Headers

from briarspur.gateway.outcome import Outcome
from briarspur.gateway.servernotice import NO_LIMIT, ServerNotice
from briarspur.platform import names

__all__ = ["read_notice"]

OTHERS = frozenset({Outcome.MISDIRECTED, Outcome.INVALID})
"""Answers that are not known to come from the server that was asked."""
MOST_PER_S = 1_000_000.0


def read_notice(headers: Headers, outcome: Outcome) -> ServerNotice | None:
    """Return what an answer says of its server; None if it may be another server's."""
    if outcome in OTHERS:
        return None
    return ServerNotice(limit_per_s=_limit(headers, outcome))


def _limit(headers: Headers, outcome: Outcome) -> float | None:
    """Return the limit that is named; several values or a malformed one count as the least read.

    A rejection that names none proves nothing: the server did no more than turn a request away.
    """
    values = headers.getRawHeaders(names.SERVER_LIMIT)
    if values is None:
        return None if outcome is Outcome.REJECTED else NO_LIMIT
    read = [_number(part) for value in values for part in value.split(b",")]
    return min((number for number in read if number is not None), default=None)


def _number(text: bytes) -> float | None:
    """Return a finite number of at least 0; None if the text is none."""
    try:
        number = float(text.decode("ascii"))
    except ValueError:
        return None
    if not math.isfinite(number) or number < 0.0:
        return None
    return min(number, MOST_PER_S)
