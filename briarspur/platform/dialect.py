"""Decoding and encoding of the HTTP messages of callers and backend servers."""

import math

from twisted.web.http_headers import Headers

from briarspur.answerhead import AnswerHead
from briarspur.codes import CODES, Code
from briarspur.gateway.customers import key_digest
from briarspur.gateway.outcome import Outcome
from briarspur.gateway.servernotice import ServerNotice
from briarspur.gateway.work import Arrival, Refused
from briarspur.headers import (
    ATTEMPTS,
    CODE,
    HOP_BY_HOP,
    RETRY_AFTER,
    SOURCE_ADDRESS,
    connection_tokens,
    last_value,
)
from briarspur.platform import names
from briarspur.platform.notices import read_notice

__all__ = ["PlatformDialect"]

MISDIRECTED = 421
NOT_RUN_STATUSES = frozenset({408, MISDIRECTED, 429, 503})
SUCCESS = range(200, 300)
SERVER_ERRORS = range(500, 600)
SET_BY_GATEWAY = frozenset(
    {
        names.DEADLINE_MS.lower(),
        names.EXPECTED_INSTANCE.lower(),
        names.API_KEY.lower(),
        names.CUSTOMER.lower(),
        SOURCE_ADDRESS.lower(),
        ATTEMPTS.lower(),
        b"content-length",
        b"expect",
    }
)
NOT_FORWARDED = HOP_BY_HOP | {names.NOT_EXECUTED.lower(), CODE.lower()}
"""Headers of backend servers that callers don't get; result codes are those of entries only."""


class PlatformDialect:
    """Implementation of :class:`briarspur.gateway.dialect.Dialect`."""

    def arrival(self, uri: bytes, headers: Headers, size: int) -> Arrival:
        """Parse the head of a caller's request."""
        return Arrival(
            request_id=_text(last_value(headers, names.REQUEST_ID)),
            host=_text(last_value(headers, b"host")),
            path=uri.decode("latin-1"),
            key=last_value(headers, names.AFFINITY_KEY),
            timeout=_timeout(last_value(headers, names.DEADLINE_MS)),
            size=size,
            key_digest=_key_digest(headers),
            attempts=_attempts(last_value(headers, ATTEMPTS)),
        )

    def request_bytes(
        self,
        method: bytes,
        uri: bytes,
        headers: Headers,
        body: bytes,
        target_id: str,
        remaining_ms: int,
        customer_name: str | None = None,
    ) -> bytes:
        """Return a request, encoded to be sent to a backend server."""
        added = [
            (names.DEADLINE_MS, b"%d" % remaining_ms),
            (names.EXPECTED_INSTANCE, target_id.encode("latin-1")),
        ]
        if customer_name is not None:
            added.append((names.CUSTOMER, customer_name.encode()))
        return _encode(method, uri, headers, SET_BY_GATEWAY, added, body)

    def forwarded_bytes(
        self,
        method: bytes,
        uri: bytes,
        headers: Headers,
        body: bytes,
        remaining_ms: int,
        attempts: int,
    ) -> bytes:
        """Return a request, encoded to be passed on to another entry with its API key."""
        added = [(names.DEADLINE_MS, b"%d" % remaining_ms), (ATTEMPTS, b"%d" % attempts)]
        return _encode(method, uri, headers, SET_BY_GATEWAY - {names.API_KEY.lower()}, added, body)

    def refusal(self, head: AnswerHead) -> Refused | None:
        """Return the refusal that an entry generated; None if a backend server responded."""
        code = last_value(head.headers, CODE)
        if code is None:
            return None
        retry_after = last_value(head.headers, RETRY_AFTER)
        try:
            return Refused(Code(int(code)), None if retry_after is None else float(retry_after))
        except ValueError:
            return None

    def matches_request(self, headers: Headers, request_id: bytes) -> bool | None:
        """Return whether a response belongs to a request; None if it has no request id."""
        echoed = last_value(headers, names.REQUEST_ID)
        return None if echoed is None else echoed == request_id

    def outcome(self, head: AnswerHead) -> Outcome:
        """Classify a backend server's response by its head."""
        is_signed = head.headers.hasHeader(names.RESPONSE_SIGNATURE)
        is_rejection = head.headers.hasHeader(names.NOT_EXECUTED)
        if is_signed and (is_rejection or head.status == MISDIRECTED):
            return Outcome.SERVER_ERROR
        if head.status == MISDIRECTED:
            # It has the header of rejections too, but another server than the expected sent it.
            return Outcome.MISDIRECTED
        if is_rejection:
            return Outcome.REJECTED
        if head.status in SUCCESS:
            encoded = head.headers.hasHeader(b"content-encoding")
            return Outcome.ANSWERED if is_signed and not encoded else Outcome.INVALID
        return Outcome.SERVER_ERROR if head.status in SERVER_ERRORS else Outcome.ANSWERED

    def states_not_run(self, status: int) -> bool:
        """Return whether callers take a status for the statement that a request was not run."""
        return status in NOT_RUN_STATUSES

    def notice(self, head: AnswerHead) -> ServerNotice | None:
        """Return the notices of a response; None if another server may have sent it."""
        return read_notice(head.headers, head.status, self.outcome(head))

    def answer_headers(self, headers: Headers) -> list[tuple[bytes, bytes]]:
        """Return the headers of a response that are forwarded to the caller."""
        dropped = NOT_FORWARDED | connection_tokens(headers) | {b"content-length"}
        return [
            (name, value)
            for name, values in headers.getAllRawHeaders()
            if name.lower() not in dropped
            for value in values
        ]

    def status(self, code: Code) -> int:
        """Return the HTTP status of a final response that the gateway generates itself."""
        return CODES[code].http_status


def _encode(
    method: bytes,
    uri: bytes,
    headers: Headers,
    replaced: frozenset[bytes],
    added: list[tuple[bytes, bytes]],
    body: bytes,
) -> bytes:
    """Return a request with a caller's headers, except for those that are replaced or dropped."""
    dropped = HOP_BY_HOP | replaced | connection_tokens(headers)
    lines = [b"%b %b HTTP/1.1" % (method, uri)]
    for name, values in headers.getAllRawHeaders():
        if name.lower() not in dropped:
            lines.extend(b"%b: %b" % (name, value) for value in values)
    lines.extend(b"%b: %b" % (name, value) for name, value in added)
    if body or method not in (b"GET", b"HEAD", b"DELETE", b"OPTIONS"):
        lines.append(b"Content-Length: %d" % len(body))
    return b"\r\n".join(lines) + b"\r\n\r\n" + body


def _text(value: bytes | None) -> str:
    return "" if value is None else value.decode("latin-1")


def _key_digest(headers: Headers) -> bytes | None:
    """Return the digest of the request's API key; None if it has several different keys."""
    keys = set(headers.getRawHeaders(names.API_KEY, []))
    return key_digest(keys.pop()) if len(keys) == 1 else None


def _attempts(value: bytes | None) -> int | None:
    return int(value) if value is not None and value.isdigit() and int(value) > 0 else None


def _timeout(value: bytes | None) -> float:
    if value is None:
        return math.inf
    try:
        milliseconds = float(value)
    except ValueError:
        return math.inf
    return milliseconds / 1000.0 if milliseconds > 0.0 else 0.0
