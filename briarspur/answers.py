"""Interpret the head of an answer from a backend server or another entry."""

import re
from dataclasses import dataclass

from twisted.web.http_headers import Headers

from briarspur import headers as names
from briarspur.answerhead import AnswerHead
from briarspur.codes import Code, Ran
from briarspur.messages import Failure

__all__ = [
    "Declined",
    "is_continuation",
    "is_draining",
    "is_resumable",
    "parse_declined",
    "strong_etag",
]

OK = 200
PARTIAL_CONTENT = 206
SERVICE_UNAVAILABLE = 503
GATEWAY_TIMEOUT = 504
CONTENT_RANGE = re.compile(rb"bytes (\d+)-(\d+)/(\d+)")


@dataclass(frozen=True, slots=True)
class Declined:
    """An answer that the request was not run, was abandoned, or has an unknown outcome.

    Attributes
    ----------
    code : Code or None
        The code that another entry sent; None from a backend server.
    """

    failure: Failure
    retry_after: float | None
    code: Code | None = None


def parse_declined(head: AnswerHead, from_entry: bool) -> Declined | None:
    """Return a :class:`Declined` if the request was possibly not run; None for an answer.

    Parameters
    ----------
    from_entry : bool
        The answer came from another entry, whose headers must state the outcome of the request;
        without these headers the outcome is unknown.
    """
    retry_after = names.parse_retry_after(head.headers)
    if not from_entry:
        value = names.last_value(head.headers, names.NOT_RUN)
        if head.status == SERVICE_UNAVAILABLE and value is not None and value.lower() == b"true":
            return Declined(Failure.SHED, retry_after)
        if head.status == GATEWAY_TIMEOUT:
            # It gave up at the deadline that this entry sent; relayed, it would count as an answer.
            return Declined(Failure.DEADLINE, retry_after)
        return None
    ran = names.last_value(head.headers, names.RAN)
    code = _code(names.last_value(head.headers, names.CODE))
    if code is None or ran not in _RAN_BY_VALUE:
        return Declined(Failure.LOST, retry_after)
    if _RAN_BY_VALUE[ran] is Ran.NO:
        return Declined(Failure.SHED, retry_after, code)
    if _RAN_BY_VALUE[ran] is Ran.UNKNOWN:
        return Declined(Failure.LOST, retry_after, code)
    return None


_RAN_BY_VALUE = {ran.value.encode(): ran for ran in Ran}


def is_draining(head: AnswerHead) -> bool:
    """Return whether a backend server reports that it accepts no requests after this one."""
    value = names.last_value(head.headers, names.DRAINING)
    return value is not None and value.lower() == b"true"


def strong_etag(headers: Headers) -> bytes | None:
    """Return the entity tag if it is strong, i.e. equal only for identical bytes."""
    etag = names.last_value(headers, b"ETag")
    return etag if etag is not None and etag.startswith(b'"') else None


def is_resumable(head: AnswerHead) -> bool:
    """Return whether a truncated body can be resumed with Range and If-Range."""
    ranges = names.last_value(head.headers, b"Accept-Ranges")
    return (
        head.status == OK
        and head.length is not None
        and strong_etag(head.headers) is not None
        and ranges is not None
        and ranges.lower() == b"bytes"
    )


def is_continuation(first: AnswerHead, head: AnswerHead, resume_at: int) -> bool:
    """Return whether ``head`` starts the rest of the body that ``first`` started.

    A backend server without the same version of the file sends another entity or the whole file.
    Appended to the part already relayed, that would be a corrupt file that looks complete.
    """
    match = CONTENT_RANGE.fullmatch(names.last_value(head.headers, b"Content-Range") or b"")
    if head.status != PARTIAL_CONTENT or match is None:
        return False
    start, _, total = (int(group) for group in match.groups())
    same = strong_etag(head.headers) == strong_etag(first.headers)
    return same and start == resume_at and total == first.length


def _code(value: bytes | None) -> Code | None:
    try:
        return Code(int(value)) if value is not None else None
    except ValueError:
        return None
