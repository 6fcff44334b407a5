"""Header names of the HTTP interfaces, and the selection of headers that are forwarded."""

from collections.abc import Iterable, Iterator

from twisted.web.http_headers import Headers

__all__ = [
    "ATTEMPTS",
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
    "SOURCE_ADDRESS",
    "TIMEOUT_MS",
    "answer_headers",
    "connection_tokens",
    "last_value",
    "parse_retry_after",
    "request_headers",
]

IDEMPOTENCY_KEY = b"Idempotency-Key"
TIMEOUT_MS = b"Request-Timeout-Ms"
NOT_RUN = b"Request-Not-Run"
DRAINING = b"Draining"
RETRY_AFTER = b"Retry-After"
CODE = b"Briarspur-Code"
RAN = b"Briarspur-Ran"
REQUEST_ID = b"Briarspur-Request-Id"
SOURCE_ADDRESS = b"Briarspur-Source-Address"
"""IP address of the caller; entries of the former release add it to requests between entries."""
FORWARDED_BY = b"Briarspur-Forwarded-By"
DEADLINE_MS = b"Briarspur-Deadline-Ms"
BLOCK = b"Briarspur-Block"
DISPATCH_ONLY = b"Briarspur-Dispatch-Only"
ATTEMPTS = b"Briarspur-Attempts"
"""Number of backend servers to which the entry that gets a request may send it."""

BRIARSPUR_PREFIX = b"briarspur-"
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
DROPPED_FROM_CALLER = HOP_BY_HOP | {b"content-length", b"expect", TIMEOUT_MS.lower()}
DROPPED_FROM_BACKEND = HOP_BY_HOP | {NOT_RUN.lower(), DRAINING.lower()}

Pairs = Iterable[tuple[bytes, bytes]]


def last_value(headers: Headers, name: bytes) -> bytes | None:
    """Return the last value of a header, or None if it is absent."""
    values = headers.getRawHeaders(name)
    return values[-1] if values else None


def parse_retry_after(headers: Headers) -> float | None:
    """Parse a Retry-After in seconds; return None if it is absent or not a plain number."""
    value = last_value(headers, RETRY_AFTER)
    if value is None:
        return None
    try:
        seconds = float(value)
    except ValueError:
        return None
    return seconds if 0.0 <= seconds < float("inf") else None


def request_headers(received: Headers) -> Headers:
    """Return the headers of a caller's request that are forwarded to its backend server.

    Hop-by-hop headers are dropped since they apply to the caller's connection only. Headers with
    briarspur's prefix are dropped since a caller could use them to impersonate another entry.
    """
    forwarded = Headers()
    dropped = DROPPED_FROM_CALLER | connection_tokens(received)
    for name, values in received.getAllRawHeaders():
        lowered = name.lower()
        if lowered not in dropped and not lowered.startswith(BRIARSPUR_PREFIX):
            forwarded.setRawHeaders(name, values)
    return forwarded


def answer_headers(received: Headers, from_entry: bool) -> Iterator[tuple[bytes, bytes]]:
    """Yield the headers of a response that are forwarded to the caller.

    Parameters
    ----------
    from_entry : bool
        The response came through another entry, whose result code is kept. Headers with
        briarspur's prefix from a backend server are dropped.
    """
    dropped = DROPPED_FROM_BACKEND | connection_tokens(received)
    for name, values in received.getAllRawHeaders():
        lowered = name.lower()
        if lowered in dropped or lowered == REQUEST_ID.lower():
            continue
        if lowered.startswith(BRIARSPUR_PREFIX) and not from_entry:
            continue
        for value in values:
            yield name, value


def connection_tokens(headers: Headers) -> frozenset[bytes]:
    """Return the header names, in lower case, that the Connection header lists as hop-by-hop."""
    values = headers.getRawHeaders(b"connection")
    if not values:
        return frozenset()
    return frozenset(token.strip().lower() for v in values for token in v.split(b","))
