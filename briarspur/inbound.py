"""Parses and validates a request of a caller or another entry; each error has a result code."""

import hashlib
import math
import re
import socket
from dataclasses import dataclass

from expression import Error, Ok, Result
from twisted.web.http_headers import Headers

from briarspur import headers as names
from briarspur.codes import Code
from briarspur.messages import Request
from briarspur.refusal import Refusal

__all__ = ["RawRequest", "block_of_address", "parse_forwarded", "parse_lookup", "parse_request"]

METHODS = frozenset({b"GET", b"HEAD", b"POST", b"PUT", b"PATCH", b"DELETE", b"OPTIONS"})
PATH = re.compile(rb"/[\x21-\x22\x24-\x7e]*")
DOT_SEGMENT = re.compile(rb"/(\.|%2e){1,2}(/|$)", re.IGNORECASE)
KEY = re.compile(rb"[\x21-\x7e]{1,255}")
REQUEST_ID = re.compile(rb"[0-9A-Za-z._-]{1,64}")
ENTRY_ID = re.compile(rb"[a-z0-9][a-z0-9-]{0,62}")
DIGITS = re.compile(rb"[0-9]{1,10}")
BLOCK_COUNT = 1 << 32


@dataclass(frozen=True, slots=True)
class RawRequest:
    """A complete request as received.

    Attributes
    ----------
    block : int
        First 32 bits of the sender's IP address.
    """

    method: bytes
    uri: bytes
    headers: Headers
    body: bytes
    block: int


def parse_request(raw: RawRequest, request_id: str, now: float) -> Result[Request, Refusal]:
    """Parse a request of a caller.

    A caller can set a deadline with the header Request-Timeout-Ms. Without the header, the deadline
    is infinite here, and that of the rule applies.
    """
    refusal = _validate(raw)
    if refusal is not None:
        return Error(refusal)
    timeout = _parse_number(raw.headers, names.TIMEOUT_MS)
    if timeout is None or timeout == 0:
        return Error(Refusal(Code.BAD_REQUEST, "Request-Timeout-Ms is not a positive number"))
    key = names.last_value(raw.headers, names.IDEMPOTENCY_KEY)
    return Ok(
        Request(
            request_id=request_id,
            method=raw.method.decode("ascii"),
            path=raw.uri.decode("ascii"),
            key=key.decode("ascii") if key is not None else None,
            body_digest=_compute_digest(raw),
            block=raw.block,
            deadline=now + timeout / 1000.0,
        )
    )


def parse_forwarded(raw: RawRequest, now: float) -> Result[Request, Refusal]:
    """Parse a request that another entry forwarded."""
    refusal = _validate(raw)
    if refusal is not None:
        return Error(refusal)
    sender = names.last_value(raw.headers, names.FORWARDED_BY)
    request_id = names.last_value(raw.headers, names.REQUEST_ID)
    remaining = _parse_number(raw.headers, names.DEADLINE_MS)
    block = _parse_number(raw.headers, names.BLOCK)
    if sender is None or ENTRY_ID.fullmatch(sender) is None:
        return Error(Refusal(Code.BAD_REQUEST, "Briarspur-Forwarded-By is missing or malformed"))
    if request_id is None or REQUEST_ID.fullmatch(request_id) is None:
        return Error(Refusal(Code.BAD_REQUEST, "Briarspur-Request-Id is missing or malformed"))
    if remaining is None or remaining == math.inf:
        return Error(Refusal(Code.BAD_REQUEST, "Briarspur-Deadline-Ms is missing or malformed"))
    if block is None or block >= BLOCK_COUNT:
        return Error(Refusal(Code.BAD_REQUEST, "Briarspur-Block is missing or malformed"))
    key = names.last_value(raw.headers, names.IDEMPOTENCY_KEY)
    return Ok(
        Request(
            request_id=request_id.decode("ascii"),
            method=raw.method.decode("ascii"),
            path=raw.uri.decode("ascii"),
            key=key.decode("ascii") if key is not None else None,
            body_digest=_compute_digest(raw),
            block=int(block),
            deadline=now + remaining / 1000.0,
            forwarded_by=sender.decode("ascii"),
            dispatch_only=names.last_value(raw.headers, names.DISPATCH_ONLY) == b"1",
        )
    )


def parse_lookup(query: bytes, host: str) -> tuple[str, int | None]:
    """Parse service and block of a look-up; the block is None if the query is malformed."""
    service, address = "", host
    for pair in query.split(b"&"):
        name, _, value = pair.partition(b"=")
        if not value.isascii():
            return "", None
        if name == b"service":
            service = value.decode()
        elif name == b"block":
            address = value.decode()
        else:
            return "", None
    return service, block_of_address(address) if service else None


def block_of_address(host: str) -> int | None:
    """Return the first 32 bits of an IP address, or None if ``host`` is not an IP address."""
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    try:
        return int.from_bytes(socket.inet_pton(family, host)[:4], "big")
    except (OSError, ValueError):
        return None


def _validate(raw: RawRequest) -> Refusal | None:
    """Return a refusal if method, path or key is invalid."""
    if raw.method not in METHODS:
        return Refusal(Code.BAD_REQUEST, "unknown method")
    if PATH.fullmatch(raw.uri) is None:
        return Refusal(Code.BAD_REQUEST, "malformed path")
    # A backend server that resolves dot segments would run a different request from the classified
    # one: a booking could be classified as idempotent and retried.
    if DOT_SEGMENT.search(raw.uri.split(b"?", 1)[0]) is not None:
        return Refusal(Code.BAD_REQUEST, "the path has dot segments")
    keys = raw.headers.getRawHeaders(names.IDEMPOTENCY_KEY)
    if keys is not None and (len(keys) > 1 or KEY.fullmatch(keys[0]) is None):
        return Refusal(Code.MALFORMED_KEY)
    return None


def _parse_number(headers: Headers, name: bytes) -> float | None:
    """Parse the number in a header; infinite if the header is absent, None if it is malformed."""
    value = names.last_value(headers, name)
    if value is None:
        return math.inf
    return float(value) if DIGITS.fullmatch(value) else None


def _compute_digest(raw: RawRequest) -> bytes:
    digest = hashlib.sha256(b"%b %b\n" % (raw.method, raw.uri))
    digest.update(raw.body)
    return digest.digest()
