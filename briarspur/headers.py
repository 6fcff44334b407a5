"""Header names of the HTTP interfaces, and which headers of a message are passed on."""

from collections.abc import Iterable, Iterator

from twisted.web.http_headers import Headers

__all__ = [
    "BLOCK",
    "CODE",
    "DEADLINE_MS",
    "DISPATCH_ONLY",
    "DRAINING",
    "FORWARDED_BY",
    "HOP_BY_HOP",
    "IDEMPOTENCY_KEY",
    "NOT_RUN",
    "RAN",
    "REQUEST_ID",
    "RETRY_AFTER",
    "TIMEOUT_MS",
    "answer_headers",
    "connection_tokens",
    "last_value",
    "request_headers",
    "retry_after_of",
]

IDEMPOTENCY_KEY = b"Idempotency-Key"
TIMEOUT_MS = b"Request-Timeout-Ms"
NOT_RUN = b"Request-Not-Run"
DRAINING = b"Draining"
RETRY_AFTER = b"Retry-After"
CODE = b"Briarspur-Code"
RAN = b"Briarspur-Ran"
REQUEST_ID = b"Briarspur-Request-Id"
FORWARDED_BY = b"Briarspur-Forwarded-By"
DEADLINE_MS = b"Briarspur-Deadline-Ms"
BLOCK = b"Briarspur-Block"
DISPATCH_ONLY = b"Briarspur-Dispatch-Only"

OWN_PREFIX = b"briarspur-"
HOP_BY_HOP = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    }
)
NOT_FROM_CALLER = HOP_BY_HOP | {b"content-length", b"expect", TIMEOUT_MS.lower()}
NOT_FROM_BACKEND = HOP_BY_HOP | {NOT_RUN.lower(), DRAINING.lower()}

Pairs = Iterable[tuple[bytes, bytes]]


def last_value(headers: Headers, name: bytes) -> bytes | None:
    """Return the last value of a header, or None if it is absent."""
    values = headers.getRawHeaders(name)
    return values[-1] if values else None


def retry_after_of(headers: Headers) -> float | None:
    """Return a Retry-After in seconds; None if it is absent or not a plain number."""
    value = last_value(headers, RETRY_AFTER)
    if value is None:
        return None
    try:
        seconds = float(value)
    except ValueError:
        return None
    return seconds if 0.0 <= seconds < float("inf") else None


def request_headers(received: Headers) -> Headers:
    """Return the headers of a caller's request that its backend server gets.

    Headers of one connection and those in briarspur's own name are left out: the first belong to
    the caller's connection alone, the second would let a caller pose as another entry.
    """
    passed = Headers()
    dropped = NOT_FROM_CALLER | connection_tokens(received)
    for name, values in received.getAllRawHeaders():
        lowered = name.lower()
        if lowered not in dropped and not lowered.startswith(OWN_PREFIX):
            passed.setRawHeaders(name, values)
    return passed


def answer_headers(received: Headers, from_entry: bool) -> Iterator[tuple[bytes, bytes]]:
    """Yield the headers of an answer that its caller gets.

    Parameters
    ----------
    from_entry : bool
        The answer came through another entry, whose result code is kept. A backend server's
        headers in briarspur's name are dropped.
    """
    dropped = NOT_FROM_BACKEND | connection_tokens(received)
    for name, values in received.getAllRawHeaders():
        lowered = name.lower()
        if lowered in dropped or lowered == REQUEST_ID.lower():
            continue
        if lowered.startswith(OWN_PREFIX) and not from_entry:
            continue
        for value in values:
            yield name, value


def connection_tokens(headers: Headers) -> frozenset[bytes]:
    """Return the lower-case names that the Connection header declares hop-by-hop."""
    values = headers.getRawHeaders(b"connection")
    if not values:
        return frozenset()
    return frozenset(token.strip().lower() for v in values for token in v.split(b","))
